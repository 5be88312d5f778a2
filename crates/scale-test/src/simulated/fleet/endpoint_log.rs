//! The endpoints that discovery has published and the endpoints that a proxy knows.

use crate::simulated::topology::{Placement, Topology};
use foldhitch_balancer::api::{BackendId, EndpointInfo, Phase};
use std::ops::RangeInclusive;

/// An endpoint as a proxy knows it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownEndpoint {
    pub phase: Phase,
    pub weight: f64,
    pub started_at_ms: f64,
    /// Time at which the proxy learned of the current phase.
    pub phase_since_ms: f64,
}

impl KnownEndpoint {
    /// Returns whether the known state equals that of an entry.
    pub fn matches(&self, entry: &EndpointInfo) -> bool {
        self.phase == entry.phase && self.weight == entry.weight && self.started_at_ms == entry.started_at_ms
    }
}

/// A change published by discovery.
pub struct Change {
    pub entry: EndpointInfo,
    /// Time of the change itself.
    pub changed_at_ms: f64,
    /// Number of proxies that have not received the change yet.
    pub pending_proxies: usize,
    /// Index of the report's part in which the change was published.
    pub part: usize,
}

/// The published endpoints and the history of their changes.
pub struct EndpointLog {
    /// The published state of each backend, by index.
    pub published: Vec<EndpointInfo>,
    pub changes: Vec<Change>,
}

impl EndpointLog {
    pub fn new(topology: &Topology) -> Self {
        let entry = |(index, placement): (usize, &Placement)| EndpointInfo {
            backend: index as BackendId + 1,
            zone: placement.zone,
            weight: 1.0,
            ..EndpointInfo::default()
        };
        EndpointLog {
            published: topology.backends.iter().enumerate().map(entry).collect(),
            changes: Vec::new(),
        }
    }

    /// Returns the number of changes of the given parts that have not reached all their proxies.
    pub fn unfinished_in_parts(&self, parts: RangeInclusive<usize>) -> usize {
        let unfinished = self.changes.iter().filter(|change| change.pending_proxies > 0);
        unfinished.filter(|change| parts.contains(&change.part)).count()
    }
}
