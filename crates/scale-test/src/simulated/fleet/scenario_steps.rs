//! Steps of the scenario: changes of configuration, restarts, losses, and what ends them.

use super::Fleet;
use crate::scenario::Invalid;
use crate::simulated::event_queue::{ScenarioStep, SimulationEvent};
use rand::Rng;

impl Fleet<'_> {
    /// Takes a step of the scenario.
    pub(super) fn apply_step(&mut self, step: ScenarioStep) -> Result<(), Invalid> {
        match step {
            ScenarioStep::Part(part) => self.metrics.begin_part(part, self.now),
            ScenarioStep::Change => self.change_weight(),
            ScenarioStep::Restart { backend } => self.drain_for_restart(backend),
            ScenarioStep::Stop { backend } => self.stop_for_restart(backend),
            ScenarioStep::Start { backend } => self.start_after_restart(backend),
            ScenarioStep::LoseMachine { backend, back } => self.lose_machine_for(backend, back),
            ScenarioStep::MachineBack { backend } => self.machine_back(backend)?,
            ScenarioStep::Zone { zone, on: false } => self.lose_zone(zone),
            ScenarioStep::Zone { zone, on: true } => self.zone_back(zone)?,
            ScenarioStep::Cut { on } => {
                self.is_region_cut = on;
                if !on {
                    self.resync(true);
                }
            }
            ScenarioStep::Discovery { on } => {
                self.is_discovery_up = on;
                if on {
                    self.resync(true);
                }
            }
            ScenarioStep::Resync => self.resync(false),
            ScenarioStep::Replace { proxy } => self.replace_proxy(proxy)?,
        }
        Ok(())
    }

    fn schedule_step(&mut self, delay_ms: f64, step: ScenarioStep) {
        self.event_queue.schedule(self.now + delay_ms, SimulationEvent::Step(step));
    }

    /// Discovery takes notice of a backend whose process says what it does.
    fn schedule_notice(&mut self, backend: usize) {
        self.schedule_publication(backend, self.scenario.discovery.notice_ms);
    }

    fn any_backend(&mut self) -> usize {
        self.rng.random_range(..self.backends.len())
    }

    fn change_weight(&mut self) {
        let backend = self.any_backend();
        self.backends[backend].weight = 0.8 + 0.4 * self.rng.random::<f64>();
        self.schedule_notice(backend);
    }

    fn drain_for_restart(&mut self, backend: Option<usize>) {
        let backend = backend.unwrap_or_else(|| self.any_backend());
        let state = &mut self.backends[backend];
        if state.is_down || state.is_draining {
            return;
        }
        state.is_draining = true;
        self.schedule_notice(backend);
        // It stops once every proxy has been notified and the drain deadline has passed.
        let discovery = &self.scenario.discovery;
        let notified_ms = discovery.notice_ms + discovery.spread_ms[1] + discovery.region_ms;
        let stop_ms = notified_ms + self.scenario.guarantee("stopSendingWithin");
        self.schedule_step(stop_ms, ScenarioStep::Stop { backend });
    }

    fn stop_for_restart(&mut self, backend: usize) {
        self.stop_backend(backend, false);
        let restart_ms = self.scenario.backend.restart_s * 1000.0;
        self.schedule_step(restart_ms, ScenarioStep::Start { backend });
    }

    fn start_after_restart(&mut self, backend: usize) {
        let state = &self.backends[backend];
        // One that became unresponsive meanwhile comes back with its machine.
        if state.is_down && !state.is_unresponsive {
            self.start_backend(backend);
            self.schedule_notice(backend);
        }
    }

    fn lose_machine_for(&mut self, backend: Option<usize>, outage_ms: f64) {
        let backend = backend.unwrap_or_else(|| self.any_backend());
        if !self.backends[backend].is_unresponsive {
            self.lose_machine(backend);
            self.schedule_step(outage_ms, ScenarioStep::MachineBack { backend });
        }
    }

    fn lose_machine(&mut self, backend: usize) {
        self.lose_proxy(backend);
        self.stop_backend(backend, true);
        self.schedule_publication(backend, self.scenario.discovery.silent_notice_ms);
    }

    fn machine_back(&mut self, backend: usize) -> Result<(), Invalid> {
        if self.backends[backend].is_unresponsive {
            self.start_backend(backend);
            self.schedule_notice(backend);
            self.start_proxy(backend)?;
        }
        Ok(())
    }

    /// Whether a proxy stands beside a backend, which has the same index.
    fn has_backend(&self, proxy: usize) -> bool {
        proxy < self.backends.len()
    }

    fn proxies_in(&self, zone: u16) -> Vec<usize> {
        (0..self.proxies.len()).filter(|&proxy| self.proxies[proxy].zone == zone).collect()
    }

    fn lose_zone(&mut self, zone: u16) {
        for proxy in self.proxies_in(zone) {
            if self.has_backend(proxy) {
                self.lose_machine(proxy);
            } else {
                self.lose_proxy(proxy);
            }
        }
    }

    fn zone_back(&mut self, zone: u16) -> Result<(), Invalid> {
        for proxy in self.proxies_in(zone) {
            if self.has_backend(proxy) {
                self.machine_back(proxy)?;
            } else {
                self.start_proxy(proxy)?;
            }
        }
        Ok(())
    }

    fn lose_proxy(&mut self, proxy: usize) {
        let instance = self.proxies[proxy].instance;
        self.stop_proxy(proxy);
        self.discard_missed_changes(instance);
    }

    fn replace_proxy(&mut self, proxy: usize) -> Result<(), Invalid> {
        if !self.proxies[proxy].is_running {
            return Ok(());
        }
        let old = self.proxies[proxy].instance;
        self.discard_missed_changes(old);
        self.instances[old].is_replaced = true;
        self.start_proxy(proxy)
    }
}
