//! Processes of backends and proxies that start and end.

use super::Fleet;
use super::proxy::ProxyInstance;
use super::request_table::AttemptStage;
use crate::scenario::Invalid;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::Outcome;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

impl Fleet<'_> {
    /// Starts a proxy's process; it has the full list from discovery at once.
    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), Invalid> {
        let place = &mut self.proxies[proxy];
        let settings = self.scenario.resolved_settings(
            place.instance_index,
            place.instance_count,
            place.tier,
            place.zone,
        )?;
        let balancer = Balancer::new(settings.balancer, self.rng.random()).map_err(Invalid::of)?;
        place.instance = self.instances.len();
        place.is_running = true;
        self.instances.push(ProxyInstance {
            balancer,
            zone: place.zone,
            service: place.service,
            is_alive: true,
            is_replaced: false,
            open_requests: 0,
            connections: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            missed_changes: Vec::new(),
            last_delivery_ms: self.now,
        });
        let instance = place.instance;
        self.deliver_full_list(instance);
        Ok(())
    }

    /// A backend's process ends; one that becomes unresponsive notifies nobody.
    pub(super) fn stop_backend(&mut self, at: usize, is_unresponsive: bool) {
        let backend = &mut self.backends[at];
        if backend.is_down {
            backend.is_unresponsive |= is_unresponsive;
            return;
        }
        (backend.is_down, backend.is_unresponsive, backend.busy) = (true, is_unresponsive, 0);
        backend.queue.clear();
        for (id, attempt) in std::mem::take(&mut backend.jobs) {
            let stage = self.requests.get(id).map(|request| request.attempts[attempt].stage);
            self.set_stage(id, attempt, AttemptStage::Finished);
            if let Some(AttemptStage::WaitingForChild(child)) = stage {
                self.cancel_request(child);
            }
            if !is_unresponsive {
                self.send_outcome(id, attempt, Outcome::Reset);
            }
            self.forget_if_over(id);
        }
        if !is_unresponsive {
            self.drop_connections(at);
        }
    }

    fn drop_connections(&mut self, backend: usize) {
        for instance in &mut self.instances {
            instance.connections.remove(&backend);
        }
    }

    /// It is back, warming up.
    pub(super) fn start_backend(&mut self, at: usize) {
        let backend = &mut self.backends[at];
        (backend.is_down, backend.is_unresponsive, backend.started_at_ms, backend.is_draining) =
            (false, false, self.now, false);
        backend.recent_arrivals.clear();
        self.checks.cold_starts += 1;
        // Connections of the old process are reset at the first use; that costs a connection.
        self.drop_connections(at);
    }

    /// A proxy's process ends with all its requests, and notifies nobody.
    pub(super) fn stop_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].is_running = false;
        let dead = self.proxies[proxy].instance;
        self.instances[dead].is_alive = false;
        for id in self.requests.ids_of(dead) {
            let Some(request) = self.requests.get_mut(id) else { continue };
            let (created_ms, client) = (request.created_ms, request.parent.is_none() && !request.has_ended);
            request.has_ended = true;
            request.attempts.iter_mut().for_each(|attempt| attempt.is_pending = false);
            if client {
                self.metrics.window_at(created_ms).failed += 1;
            }
            self.forget_if_over(id);
        }
    }
}
