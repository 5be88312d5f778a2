//! The scale test: runs a fleet of the target size on one machine, in two parts that share one scenario.
//!
//! The simulated part, called `hollow` on the command line and in reports, runs many instances of the balancer on
//! virtual time and is deterministic for a seed. The real part starts processes, watches and backends on loopback
//! sockets and measures them.

#![forbid(unsafe_code)]

pub mod fit;
pub mod real;
pub mod report;
pub mod scenario;
pub mod simulated;
pub mod soak;
