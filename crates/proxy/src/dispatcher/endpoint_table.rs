//! The table of backends: listed ones, suspended ones, and those that open requests were sent to.

use crate::upstream::{ConnectionPool, Endpoint};
use foldhitch_balancer::api::{BackendId, EndpointInfo, Phase};
use foldhitch_discovery_client::{EndpointRecord, HealthState};
use std::collections::{HashMap, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The process of a backend according to the endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
struct BackendProcess {
    address: SocketAddr,
    started_at_ms: f64,
}

/// A backend in the table.
pub(super) struct EndpointEntry {
    pub(super) name: String,
    /// Whether the endpoint list contains it.
    is_listed: bool,
    /// Whether the operators have suspended it.
    pub(super) is_suspended: bool,
    /// Its process according to the list, while it takes requests.
    process: Option<BackendProcess>,
    /// The start time of its process, while that is draining according to the list.
    draining_process_started_at_ms: Option<f64>,
    /// The endpoint that requests are sent to; set once the backend has been ready.
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

    /// Marks the endpoint as draining, so that no new requests are sent to it, and closes its idle
    /// connections.
    fn start_draining(&self, pool: &ConnectionPool) {
        let endpoint = self.endpoint.as_ref().filter(|endpoint| !endpoint.is_draining());
        if let Some(endpoint) = endpoint {
            endpoint.draining_since.set(Some(Instant::now()));
            pool.close_idle(endpoint);
        }
    }

    /// Creates a new endpoint if the process in the list has changed, unless the backend is suspended. A new
    /// process does not use the connections to the old one: if the old machine went silent they still look
    /// open, and a request on one of them would end with a reset, after which it may have run.
    fn refresh_endpoint(&mut self, pool: &ConnectionPool) {
        let Some(process) = self.process.filter(|_| !self.is_suspended) else { return };
        let is_current = self.endpoint.as_ref().is_some_and(|endpoint| {
            let current = BackendProcess { address: endpoint.address, started_at_ms: endpoint.started_at_ms };
            current == process && !endpoint.is_draining()
        });
        if !is_current {
            self.start_draining(pool);
            self.endpoint = Some(Rc::new(pool.create_endpoint(process.address, process.started_at_ms)));
        }
    }

    /// Returns the phase of a backend according to a record. A record of an older list does not return a
    /// draining process to service, because the drain may be newer than that list.
    fn phase(&self, record: &EndpointRecord, is_older: bool) -> Phase {
        let is_draining_process = self.draining_process_started_at_ms == Some(record.started_at_ms);
        match record.health {
            HealthState::Serving if is_older && is_draining_process => Phase::Draining,
            HealthState::Serving => Phase::Ready,
            HealthState::Draining => Phase::Draining,
            HealthState::Deleted => Phase::Removed,
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

/// The error for a listed endpoint whose zone is not in the settings.
#[derive(Debug, thiserror::Error)]
#[error("skipped endpoint {name}: zone {zone:?} is not in the settings")]
pub(super) struct UnknownZone {
    name: String,
    zone: String,
}

/// The backends by id.
pub(super) struct EndpointTable {
    pool: Rc<ConnectionPool>,
    ids: HashMap<String, BackendId>,
    endpoints: HashMap<BackendId, EndpointEntry>,
}

impl EndpointTable {
    pub(super) fn new(pool: Rc<ConnectionPool>) -> Self {
        EndpointTable { pool, ids: HashMap::new(), endpoints: HashMap::new() }
    }

    /// Returns the backend with this name and its id, and adds it if it is missing. The id is derived from
    /// the name because every instance orders the backends by id, so that the subsets of the instances
    /// overlap evenly.
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

    /// Returns whether a backend with this name is listed or suspended.
    pub(super) fn contains(&self, name: &str) -> bool {
        let endpoint = self.ids.get(name).and_then(|id| self.endpoints.get(id));
        endpoint.is_some_and(EndpointEntry::is_listed_or_suspended)
    }

    pub(super) fn name(&self, id: BackendId) -> Option<&str> {
        self.endpoints.get(&id).map(|endpoint| endpoint.name.as_str())
    }

    /// Returns the endpoint that requests to a backend are sent to.
    pub(super) fn endpoint(&self, id: BackendId) -> Option<&Rc<Endpoint>> {
        self.endpoints.get(&id)?.endpoint.as_ref()
    }

    /// Returns whether at least one backend takes requests.
    pub(super) fn has_ready(&self) -> bool {
        self.ready().next().is_some()
    }

    /// Returns the number of backends that take requests.
    pub(super) fn ready_count(&self) -> usize {
        self.ready().count()
    }

    fn ready(&self) -> impl Iterator<Item = &Rc<Endpoint>> {
        let endpoints = self.endpoints.values().filter_map(|entry| entry.endpoint.as_ref());
        endpoints.filter(|endpoint| !endpoint.is_draining())
    }

    /// Returns the suspended backends.
    pub(super) fn suspended(&self) -> impl Iterator<Item = (BackendId, &str)> {
        let suspended = self.endpoints.iter().filter(|(_, endpoint)| endpoint.is_suspended);
        suspended.map(|(&id, endpoint)| (id, endpoint.name.as_str()))
    }

    /// Suspends or resumes a backend and returns its name, or `None` if the id is unknown.
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

    /// Marks all backends as unlisted before a full list is applied.
    pub(super) fn mark_all_unlisted(&mut self) {
        for endpoint in self.endpoints.values_mut() {
            endpoint.is_listed = false;
        }
    }

    /// Drains the backends that the list does not contain.
    pub(super) fn drain_unlisted(&mut self) {
        for endpoint in self.endpoints.values_mut().filter(|endpoint| !endpoint.is_listed) {
            endpoint.process = None;
            endpoint.start_draining(&self.pool);
        }
    }

    /// Applies a record of the list and returns the information for the balancer.
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
            // The zone doesn't matter, because nothing is sent to this backend.
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

    /// Returns whether some backends are neither listed nor suspended.
    pub(super) fn has_stale(&self) -> bool {
        !self.endpoints.values().all(EndpointEntry::is_listed_or_suspended)
    }

    /// Removes the backends that are neither listed nor suspended nor in `in_use`.
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

/// Returns a hash of a string.
pub(super) fn hash_str(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}
