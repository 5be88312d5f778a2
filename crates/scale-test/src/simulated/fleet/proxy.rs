//! The proxies of the fleet: their places, and the processes that run there.

use super::endpoint_log::Held;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::BackendId;
use std::collections::{BTreeMap, BTreeSet};

/// A proxy's process.
pub struct Copy {
    pub balancer: Balancer,
    pub zone: u16,
    pub service: usize,
    /// Runs; one that was replaced runs on until its calls are over.
    pub alive: bool,
    pub replaced: bool,
    pub open: usize,
    /// Backends to which it has connections.
    pub links: BTreeSet<usize>,
    pub held: BTreeMap<BackendId, Held>,
    /// Changes that did not come to it; the next whole list brings them.
    pub missed: Vec<usize>,
    /// When the last list comes to it: none overtakes another.
    pub told_at: f64,
}

/// A proxy's place in the fleet: its present process and what a new one is started with.
pub struct Proxy {
    pub copy: usize,
    pub number: u32,
    pub copies: u32,
    pub tier: u32,
    pub zone: u16,
    pub service: usize,
    pub on: bool,
}
