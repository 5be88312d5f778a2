//! The proxies of the fleet and their processes.

use super::endpoint_log::KnownEndpoint;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::BackendId;
use std::collections::{BTreeMap, BTreeSet};

/// A process of a proxy.
pub struct ProxyInstance {
    pub balancer: Balancer,
    pub zone: u16,
    pub service: usize,
    /// Whether the process runs; a replaced process runs until its requests have ended.
    pub is_alive: bool,
    pub is_replaced: bool,
    pub open_requests: usize,
    /// Backends with an open connection.
    pub connections: BTreeSet<usize>,
    pub endpoints: BTreeMap<BackendId, KnownEndpoint>,
    /// Changes that could not be delivered; the next full list contains them.
    pub missed_changes: Vec<usize>,
    /// Delivery time of the last message that was sent, which keeps messages in order.
    pub last_delivery_ms: f64,
}

impl ProxyInstance {
    /// Returns whether changes of the endpoint list are delivered to this process.
    pub fn follows_discovery(&self) -> bool {
        self.is_alive && !self.is_replaced
    }
}

/// A proxy of the fleet, with its current process and the parameters of a new one.
pub struct Proxy {
    pub instance: usize,
    pub instance_index: u32,
    pub instance_count: u32,
    pub tier: u32,
    pub zone: u16,
    pub service: usize,
    pub is_running: bool,
}
