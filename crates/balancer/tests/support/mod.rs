//! Helpers that the integration tests of the balancer share.
// Each test binary uses only some of these helpers.
#![allow(dead_code, unused_imports)]

pub mod fleet;
pub mod harness;

pub use harness::*;
