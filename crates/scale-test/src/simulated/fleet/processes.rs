//! Start and end of the processes of backends and proxies.

use super::Fleet;
use super::proxy::ProxyInstance;
use super::request_table::AttemptStage;
use crate::scenario::ScenarioError;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::Outcome;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

impl Fleet<'_> {
    /// Starts a proxy's process, which receives the full list from discovery immediately.
    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), ScenarioError> {
        let slot = &mut self.proxies[proxy];
        let settings = self.scenario.resolved_settings(
            slot.instance_index,
            slot.instance_count,
            slot.tier,
            slot.zone,
        )?;
        let balancer = Balancer::new(settings.balancer, self.rng.random()).map_err(ScenarioError::new)?;
        slot.instance = self.instances.len();
        slot.is_running = true;
        self.instances.push(ProxyInstance {
            balancer,
            zone: slot.zone,
            service: slot.service,
            is_alive: true,
            is_replaced: false,
            open_requests: 0,
            connections: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            missed_changes: Vec::new(),
            last_delivery_ms: self.now_ms,
        });
        let instance = slot.instance;
        self.deliver_full_list(instance);
        Ok(())
    }

    /// Stops a backend's process. An unresponsive backend resets neither its attempts nor its connections.
    pub(super) fn stop_backend(&mut self, index: usize, is_unresponsive: bool) {
        let backend = &mut self.backends[index];
        if backend.is_down {
            backend.is_unresponsive |= is_unresponsive;
            return;
        }
        (backend.is_down, backend.is_unresponsive, backend.busy_slots) = (true, is_unresponsive, 0);
        backend.queue.clear();
        for (id, attempt) in std::mem::take(&mut backend.active_attempts) {
            let stage = self.requests.get(id).map(|request| request.attempts[attempt].stage);
            self.set_stage(id, attempt, AttemptStage::Finished);
            if let Some(AttemptStage::WaitingForChild(child)) = stage {
                self.cancel_request(child);
            }
            if !is_unresponsive {
                self.send_outcome(id, attempt, Outcome::Reset);
            }
            self.remove_if_finished(id);
        }
        if !is_unresponsive {
            self.drop_connections(index);
        }
    }

    fn drop_connections(&mut self, backend: usize) {
        for instance in &mut self.instances {
            instance.connections.remove(&backend);
        }
    }

    /// Starts a backend's process, which then warms up.
    pub(super) fn start_backend(&mut self, index: usize) {
        let backend = &mut self.backends[index];
        (backend.is_down, backend.is_unresponsive, backend.started_at_ms, backend.is_draining) =
            (false, false, self.now_ms, false);
        backend.recent_arrivals.clear();
        self.checks.cold_starts += 1;
        // Connections of the old process are reset on first use, so each proxy needs a new connection.
        self.drop_connections(index);
    }

    /// Ends a proxy's process and all its requests without notifying clients or backends.
    pub(super) fn stop_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].is_running = false;
        let stopped = self.proxies[proxy].instance;
        self.instances[stopped].is_alive = false;
        for id in self.requests.ids_of(stopped) {
            let Some(request) = self.requests.get_mut(id) else { continue };
            let (created_ms, is_client_request) =
                (request.created_ms, request.parent.is_none() && !request.has_ended);
            request.has_ended = true;
            request.attempts.iter_mut().for_each(|attempt| attempt.is_pending = false);
            if is_client_request {
                self.metrics.window_at(created_ms).failed += 1;
            }
            self.remove_if_finished(id);
        }
    }
}
