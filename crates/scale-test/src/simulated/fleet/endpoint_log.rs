//! What discovery has published of each backend, and what a proxy holds of it.

use crate::simulated::topology::{Placement, Topology};
use foldhitch_balancer::api::{BackendId, EndpointInfo, Phase};
use std::ops::RangeInclusive;

/// What a proxy holds of a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownEndpoint {
    pub phase: Phase,
    pub weight: f64,
    pub started_at_ms: f64,
    /// Time since which it has had this phase.
    pub phase_since_ms: f64,
}

impl KnownEndpoint {
    /// Whether it is what the entry says.
    pub fn matches(&self, entry: &EndpointInfo) -> bool {
        self.phase == entry.phase && self.weight == entry.weight && self.started_at_ms == entry.started_at_ms
    }
}

/// A change that discovery has published.
pub struct Change {
    pub entry: EndpointInfo,
    /// When it happened.
    pub changed_at_ms: f64,
    /// Proxies to which it has still to come.
    pub pending_proxies: usize,
    /// The report's part in which it happened.
    pub part: usize,
}

/// The endpoints as discovery has published them, and the changes that led there.
pub struct EndpointLog {
    /// By backend.
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

    /// Changes of some parts of the report that have not come to all their proxies.
    pub fn unfinished_in_parts(&self, parts: RangeInclusive<usize>) -> usize {
        let unfinished = self.changes.iter().filter(|change| change.pending_proxies > 0);
        unfinished.filter(|change| parts.contains(&change.part)).count()
    }
}
