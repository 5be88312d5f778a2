//! The steps of the scenario: configuration changes, restarts, failures and recoveries.

use super::Fleet;
use crate::scenario::ScenarioError;
use crate::simulated::event_queue::{ScenarioStep, SimulationEvent};
use rand::Rng;

impl Fleet<'_> {
    /// Applies a step of the scenario.
    pub(super) fn apply_step(&mut self, step: ScenarioStep) -> Result<(), ScenarioError> {
        match step {
            ScenarioStep::BeginPart(part) => self.metrics.begin_part(part, self.now_ms),
            ScenarioStep::ChangeWeight => self.change_weight(),
            ScenarioStep::RestartBackend { backend } => self.drain_for_restart(backend),
            ScenarioStep::StopBackend { backend } => self.stop_for_restart(backend),
            ScenarioStep::StartBackend { backend } => self.start_after_restart(backend),
            ScenarioStep::FailMachine { backend, outage_ms } => self.fail_machine_for(backend, outage_ms),
            ScenarioStep::RecoverMachine { backend } => self.recover_machine(backend)?,
            ScenarioStep::SetZone { zone, is_up: false } => self.fail_zone(zone),
            ScenarioStep::SetZone { zone, is_up: true } => self.recover_zone(zone)?,
            ScenarioStep::SetRegionPartition { is_partitioned } => {
                self.are_regions_partitioned = is_partitioned;
                if !is_partitioned {
                    self.resync(true);
                }
            }
            ScenarioStep::SetDiscovery { is_up } => {
                self.is_discovery_up = is_up;
                if is_up {
                    self.resync(true);
                }
            }
            ScenarioStep::Resync => self.resync(false),
            ScenarioStep::ReplaceProxy { proxy } => self.replace_proxy(proxy)?,
        }
        Ok(())
    }

    fn schedule_step(&mut self, delay_ms: f64, step: ScenarioStep) {
        self.event_queue.schedule(self.now_ms + delay_ms, SimulationEvent::Step(step));
    }

    /// Schedules the publication of a state that the backend's process announces itself.
    fn schedule_notice(&mut self, backend: usize) {
        self.schedule_publication(backend, self.scenario.discovery.notice_ms);
    }

    fn random_backend(&mut self) -> usize {
        self.rng.random_range(..self.backends.len())
    }

    fn change_weight(&mut self) {
        let backend = self.random_backend();
        self.backends[backend].weight = 0.8 + 0.4 * self.rng.random::<f64>();
        self.schedule_notice(backend);
    }

    fn drain_for_restart(&mut self, backend: Option<usize>) {
        let backend = backend.unwrap_or_else(|| self.random_backend());
        let state = &mut self.backends[backend];
        if state.is_down || state.is_draining {
            return;
        }
        state.is_draining = true;
        self.schedule_notice(backend);
        // The backend stops once every proxy has been notified and the drain deadline has passed.
        let discovery = &self.scenario.discovery;
        let notified_ms = discovery.notice_ms + discovery.spread_ms[1] + discovery.region_ms;
        let stop_ms = notified_ms + self.scenario.guarantee("stopSendingWithin");
        self.schedule_step(stop_ms, ScenarioStep::StopBackend { backend });
    }

    fn stop_for_restart(&mut self, backend: usize) {
        self.stop_backend(backend, false);
        let restart_ms = self.scenario.backend.restart_s * 1000.0;
        self.schedule_step(restart_ms, ScenarioStep::StartBackend { backend });
    }

    fn start_after_restart(&mut self, backend: usize) {
        let state = &self.backends[backend];
        // A backend that became unresponsive in the meantime recovers together with its machine.
        if state.is_down && !state.is_unresponsive {
            self.start_backend(backend);
            self.schedule_notice(backend);
        }
    }

    fn fail_machine_for(&mut self, backend: Option<usize>, outage_ms: f64) {
        let backend = backend.unwrap_or_else(|| self.random_backend());
        if !self.backends[backend].is_unresponsive {
            self.fail_machine(backend);
            self.schedule_step(outage_ms, ScenarioStep::RecoverMachine { backend });
        }
    }

    fn fail_machine(&mut self, backend: usize) {
        self.fail_proxy(backend);
        self.stop_backend(backend, true);
        self.schedule_publication(backend, self.scenario.discovery.silent_notice_ms);
    }

    fn recover_machine(&mut self, backend: usize) -> Result<(), ScenarioError> {
        if self.backends[backend].is_unresponsive {
            self.start_backend(backend);
            self.schedule_notice(backend);
            self.start_proxy(backend)?;
        }
        Ok(())
    }

    /// Returns whether a proxy is a sidecar; its backend has the same index.
    fn is_sidecar(&self, proxy: usize) -> bool {
        proxy < self.backends.len()
    }

    fn proxies_in(&self, zone: u16) -> Vec<usize> {
        (0..self.proxies.len()).filter(|&proxy| self.proxies[proxy].zone == zone).collect()
    }

    fn fail_zone(&mut self, zone: u16) {
        for proxy in self.proxies_in(zone) {
            if self.is_sidecar(proxy) {
                self.fail_machine(proxy);
            } else {
                self.fail_proxy(proxy);
            }
        }
    }

    fn recover_zone(&mut self, zone: u16) -> Result<(), ScenarioError> {
        for proxy in self.proxies_in(zone) {
            if self.is_sidecar(proxy) {
                self.recover_machine(proxy)?;
            } else {
                self.start_proxy(proxy)?;
            }
        }
        Ok(())
    }

    fn fail_proxy(&mut self, proxy: usize) {
        let instance = self.proxies[proxy].instance;
        self.stop_proxy(proxy);
        self.discard_missed_changes(instance);
    }

    fn replace_proxy(&mut self, proxy: usize) -> Result<(), ScenarioError> {
        if !self.proxies[proxy].is_running {
            return Ok(());
        }
        let old = self.proxies[proxy].instance;
        self.discard_missed_changes(old);
        self.instances[old].is_replaced = true;
        self.start_proxy(proxy)
    }
}
