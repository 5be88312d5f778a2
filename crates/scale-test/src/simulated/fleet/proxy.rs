//! The proxies of the fleet: their places, and the processes that run there.

use super::endpoint_log::KnownEndpoint;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::BackendId;
use std::collections::{BTreeMap, BTreeSet};

/// A proxy's process.
pub struct ProxyInstance {
    pub balancer: Balancer,
    pub zone: u16,
    pub service: usize,
    /// Runs; one that was replaced runs on until its requests are over.
    pub is_alive: bool,
    pub is_replaced: bool,
    pub open_requests: usize,
    /// Backends to which it has connections.
    pub connections: BTreeSet<usize>,
    pub endpoints: BTreeMap<BackendId, KnownEndpoint>,
    /// Changes that did not come to it; the next full list brings them.
    pub missed_changes: Vec<usize>,
    /// When the last list comes to it: none overtakes another.
    pub last_delivery_ms: f64,
}

impl ProxyInstance {
    /// Whether changes of the endpoint list are delivered to it.
    pub fn follows_discovery(&self) -> bool {
        self.is_alive && !self.is_replaced
    }
}

/// A proxy's place in the fleet: its present process and what a new one is started with.
pub struct Proxy {
    pub instance: usize,
    pub instance_index: u32,
    pub instance_count: u32,
    pub tier: u32,
    pub zone: u16,
    pub service: usize,
    pub is_running: bool,
}
