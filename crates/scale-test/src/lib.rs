//! The scale run: the fleet of the target size on one machine, in two parts that share one scenario. The
//! hollow part plays copies of the decision module on virtual time, the same for a seed; the real part starts
//! processes, watches and backends on loopback sockets and measures them.

#![forbid(unsafe_code)]

pub mod fit;
pub mod real;
pub mod report;
pub mod scenario;
pub mod simulated;
pub mod soak;
