//! What discovery has published of each backend, and what a proxy holds of it.

use crate::simulated::topology::{Place, Plan};
use foldhitch_balancer::api::{BackendId, EndpointInfo, Phase};

/// What a proxy holds of a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Held {
    pub phase: Phase,
    pub weight: f64,
    pub started_at_ms: f64,
    /// Since when.
    pub since: f64,
}

/// A change that discovery has published.
pub struct Change {
    pub entry: EndpointInfo,
    /// When it happened.
    pub since: f64,
    /// Proxies to which it has still to come.
    pub missing: usize,
    /// The report's part in which it happened.
    pub part: usize,
}

/// What discovery knows.
pub struct Changes {
    /// By backend.
    pub published: Vec<EndpointInfo>,
    pub log: Vec<Change>,
}

impl Changes {
    pub fn new(plan: &Plan) -> Self {
        let entry = |(i, p): (usize, &Place)| EndpointInfo {
            backend: i as BackendId + 1,
            zone: p.zone,
            weight: 1.0,
            ..EndpointInfo::default()
        };
        Changes { published: plan.backends.iter().enumerate().map(entry).collect(), log: Vec::new() }
    }
}
