//! The backends that the endpoint list names, or that open requests were sent to.

use crate::upstream::{ConnectionPool, Endpoint};
use foldhitch_balancer::api::{BackendId, EndpointInfo, Phase};
use foldhitch_discovery_client::{EndpointRecord, HealthState};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// A process of a backend, as the list names it.
#[derive(Debug, Clone, Copy, PartialEq)]
struct BackendProcess {
    address: SocketAddr,
    started_at_ms: f64,
}

/// A backend.
pub(super) struct EndpointEntry {
    pub(super) name: String,
    /// Whether the list names it.
    is_listed: bool,
    /// Whether the balancer has it suspended on the operators' word.
    pub(super) is_suspended: bool,
    /// Its process by the list, while it takes requests.
    process: Option<BackendProcess>,
    /// The start of its process, while that drains by the list.
    draining_process_started_at_ms: Option<f64>,
    /// What is sent to, once it was ready.
    endpoint: Option<Rc<Endpoint>>,
}

impl EndpointEntry {
    fn new(name: &str) -> Self {
        EndpointEntry {
            name: name.to_string(),
            is_listed: false,
            is_suspended: false,
            process: None,
            draining_process_started_at_ms: None,
            endpoint: None,
        }
    }

    fn is_listed_or_suspended(&self) -> bool {
        self.is_listed || self.is_suspended
    }

    /// Nothing new is sent to the backend from now on.
    fn start_draining(&self, pool: &ConnectionPool) {
        let endpoint = self.endpoint.as_ref().filter(|endpoint| !endpoint.is_draining());
        if let Some(endpoint) = endpoint {
            endpoint.draining_since.set(Some(Instant::now()));
            pool.close_idle(endpoint);
        }
    }

    /// Requests are sent to the process that the list names, unless the backend is suspended. A new process knows
    /// nothing of the old one's connections: where its machine fell silent they look open still, and a request on one
    /// would end as a reset, which may have run.
    fn refresh_endpoint(&mut self, pool: &ConnectionPool) {
        let Some(process) = self.process.filter(|_| !self.is_suspended) else { return };
        let is_current = self.endpoint.as_ref().is_some_and(|endpoint| {
            let current = BackendProcess { address: endpoint.address, started_at_ms: endpoint.started_at_ms };
            current == process && !endpoint.is_draining()
        });
        if !is_current {
            self.start_draining(pool);
            self.endpoint = Some(Rc::new(pool.endpoint(process.address, process.started_at_ms)));
        }
    }

    /// The phase that a record of the list brings. One of an older list brings no process back that was told to
    /// drain: that may have been later.
    fn phase(&self, record: &EndpointRecord, is_older: bool) -> Phase {
        let is_draining_process = self.draining_process_started_at_ms == Some(record.started_at_ms);
        match record.health {
            HealthState::Serving if is_older && is_draining_process => Phase::Draining,
            HealthState::Serving => Phase::Ready,
            HealthState::Draining => Phase::Draining,
            HealthState::Deleted => Phase::Gone,
        }
    }

    fn update(&mut self, record: &EndpointRecord, phase: Phase, pool: &ConnectionPool) {
        let is_draining = phase == Phase::Draining;
        self.draining_process_started_at_ms = is_draining.then_some(record.started_at_ms);
        let address = record.address.filter(|_| phase == Phase::Ready);
        self.process = address.map(|address| BackendProcess { address, started_at_ms: record.started_at_ms });
        if self.process.is_some() {
            self.refresh_endpoint(pool);
        } else {
            self.start_draining(pool);
        }
    }
}

/// An endpoint of the list is in a zone that the settings don't name.
#[derive(Debug, thiserror::Error)]
#[error("{name}: zone {zone:?} is unknown, passed over")]
pub(super) struct UnknownZone {
    name: String,
    zone: String,
}

/// The backends, by their ids.
pub(super) struct EndpointTable {
    pool: Rc<ConnectionPool>,
    ids: HashMap<String, BackendId>,
    endpoints: HashMap<BackendId, EndpointEntry>,
}

impl EndpointTable {
    pub(super) fn new(pool: Rc<ConnectionPool>) -> Self {
        EndpointTable { pool, ids: HashMap::new(), endpoints: HashMap::new() }
    }

    /// A backend by its name, with the balancer's id for it. That is made from the name, since every instance orders
    /// the backends by it: the instances' subsets are to overlap evenly.
    pub(super) fn find_or_add(&mut self, name: &str) -> (BackendId, &mut EndpointEntry) {
        let id = self.ids.get(name).copied().unwrap_or_else(|| {
            let id = self.new_id(name);
            self.ids.insert(name.to_string(), id);
            id
        });
        (id, self.endpoints.entry(id).or_insert_with(|| EndpointEntry::new(name)))
    }

    fn new_id(&self, name: &str) -> BackendId {
        let mut id = hash_str(name) as BackendId;
        while self.endpoints.contains_key(&id) {
            id = id.wrapping_add(1);
        }
        id
    }

    /// Whether a backend of this name is listed or suspended.
    pub(super) fn contains(&self, name: &str) -> bool {
        let endpoint = self.ids.get(name).and_then(|id| self.endpoints.get(id));
        endpoint.is_some_and(EndpointEntry::is_listed_or_suspended)
    }

    pub(super) fn name(&self, id: BackendId) -> Option<&str> {
        self.endpoints.get(&id).map(|endpoint| endpoint.name.as_str())
    }

    /// What requests to a backend are sent to.
    pub(super) fn endpoint(&self, id: BackendId) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(&id)?.endpoint.as_ref()
    }

    /// Whether some backend takes requests.
    pub(super) fn has_ready(&self) -> bool {
        self.ready().next().is_some()
    }

    /// How many backends take requests.
    pub(super) fn ready_count(&self) -> usize {
        self.ready().count()
    }

    fn ready(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        let endpoints = self.endpoints.values().filter_map(|entry| entry.endpoint.as_ref());
        endpoints.filter(|endpoint| !endpoint.is_draining())
    }

    /// The suspended backends.
    pub(super) fn suspended(&self) -> impl Iterator<Item = (BackendId, &str)> {
        let suspended = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_suspended);
        suspended.map(|(&id, endpoint)| (id, endpoint.name.as_str()))
    }

    /// Suspends a backend or resumes it; returns its name.
    pub(super) fn set_suspended(&mut self, id: BackendId, is_suspended: bool) -> Option<&str> {
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.is_suspended = is_suspended;
        if is_suspended {
            endpoint.start_draining(&self.pool);
        } else {
            endpoint.refresh_endpoint(&self.pool);
        }
        Some(&endpoint.name)
    }

    /// A whole list follows: what it lacks is gone.
    pub(super) fn mark_all_unlisted(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_listed = false;
        }
    }

    /// Withdraws what the list lacked.
    pub(super) fn drain_unlisted(&mut self) {
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !endpoint.is_listed) {
            endpoint.process = None;
            endpoint.start_draining(&self.pool);
        }
    }

    /// Takes an endpoint of the list; returns what the balancer is told of it.
    pub(super) fn update(
        &mut self,
        record: &EndpointRecord,
        zone_names: &[String],
        is_older: bool,
    ) -> Result<EndpointInfo, UnknownZone> {
        let pool = self.pool.clone();
        let (backend, endpoint) = self.find_or_add(&record.name);
        endpoint.is_listed = record.health != HealthState::Deleted;
        let phase = endpoint.phase(record, is_older);
        let zone = match zone_names.iter().position(|zone| *zone == record.zone) {
            Some(zone) => zone,
            // Nothing is sent to it, so that its zone doesn't matter.
            None if phase != Phase::Ready => 0,
            None => return Err(UnknownZone { name: record.name.clone(), zone: record.zone.clone() }),
        };
        endpoint.update(record, phase, &pool);
        Ok(EndpointInfo {
            backend,
            phase,
            zone: zone as u16,
            started_at_ms: record.started_at_ms.max(0.0),
            weight: record.weight.max(0.0),
            cell: record.cell,
        })
    }

    /// Whether some backends are neither listed nor suspended.
    pub(super) fn has_stale(&self) -> bool {
        !self.endpoints.values().all(EndpointEntry::is_listed_or_suspended)
    }

    /// Forgets the backends that are neither listed nor suspended nor in use.
    pub(super) fn remove_stale(&mut self, in_use: &HashSet<BackendId>) {
        let ids = &mut self.ids;
        self.endpoints.retain(|id, endpoint| {
            let is_kept = endpoint.is_listed_or_suspended() || in_use.contains(id);
            if !is_kept {
                ids.remove(&endpoint.name);
            }
            is_kept
        });
    }

    #[cfg(test)]
    pub(super) fn counts(&self) -> (usize, usize) {
        (self.ids.len(), self.endpoints.len())
    }

    #[cfg(test)]
    pub(super) fn id(&self, name: &str) -> BackendId {
        self.ids[name]
    }
}

/// A hash of a text.
pub(super) fn hash_str(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
