//! What the tests of the balancer have in common.
#![allow(dead_code, unused_imports)] // each test program uses a part of it

pub mod fleet;
pub mod harness;

pub use harness::*;
