//! Steps of the scenario: changes of configuration, restarts, losses, and what ends them.

use super::Fleet;
use crate::scenario::Invalid;
use crate::simulated::event_queue::{ScenarioStep, SimulationEvent};
use rand::Rng;

impl Fleet<'_> {
    /// Takes a step of the scenario.
    pub(super) fn apply_step(&mut self, step: ScenarioStep) -> Result<(), Invalid> {
        let (notice, silence) = (self.scenario.discovery.notice_ms, self.scenario.discovery.silent_notice_ms);
        match step {
            ScenarioStep::Part(part) => self.metrics.begin_part(part, self.now),
            ScenarioStep::Change => {
                let backend = self.rng.random_range(..self.backends.len());
                self.backends[backend].weight = 0.8 + 0.4 * self.rng.random::<f64>();
                self.schedule_publication(backend, notice);
            }
            ScenarioStep::Restart { backend } => {
                let backend = backend.unwrap_or_else(|| self.rng.random_range(..self.proxies_beside()));
                let state = &mut self.backends[backend];
                if !state.is_down && !state.is_draining {
                    state.is_draining = true;
                    self.schedule_publication(backend, notice);
                    // It stops once every proxy has been notified and the drain deadline has passed.
                    let discovery = &self.scenario.discovery;
                    let told = notice + discovery.spread_ms[1] + discovery.region_ms;
                    let stop = told + self.scenario.guarantee("stopSendingWithin");
                    self.event_queue
                        .schedule(self.now + stop, SimulationEvent::Step(ScenarioStep::Stop { backend }));
                }
            }
            ScenarioStep::Stop { backend } => {
                self.stop_backend(backend, false);
                let back = self.scenario.backend.restart_s * 1000.0;
                self.event_queue
                    .schedule(self.now + back, SimulationEvent::Step(ScenarioStep::Start { backend }));
            }
            ScenarioStep::Start { backend } => {
                // One that became unresponsive meanwhile comes back with its machine.
                if self.backends[backend].is_down && !self.backends[backend].is_unresponsive {
                    self.start_backend(backend);
                    self.schedule_publication(backend, notice);
                }
            }
            ScenarioStep::LoseMachine { backend, back } => {
                let backend = backend.unwrap_or_else(|| self.rng.random_range(..self.proxies_beside()));
                if !self.backends[backend].is_unresponsive {
                    self.lose_machine(backend, silence);
                    self.event_queue.schedule(
                        self.now + back,
                        SimulationEvent::Step(ScenarioStep::MachineBack { backend }),
                    );
                }
            }
            ScenarioStep::MachineBack { backend } => self.machine_back(backend, notice)?,
            ScenarioStep::Zone { zone, on } => {
                for proxy in 0..self.proxies.len() {
                    if self.proxies[proxy].zone == zone {
                        match (on, proxy < self.backends.len()) {
                            (false, true) => self.lose_machine(proxy, silence),
                            (true, true) => self.machine_back(proxy, notice)?,
                            (false, false) => self.lose_proxy(proxy),
                            (true, false) => self.start_proxy(proxy)?,
                        }
                    }
                }
            }
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
            ScenarioStep::Replace { proxy } => {
                if self.proxies[proxy].is_running {
                    let old = self.proxies[proxy].instance;
                    self.discard_missed_changes(old);
                    self.instances[old].is_replaced = true;
                    self.start_proxy(proxy)?;
                }
            }
        }
        Ok(())
    }

    fn proxies_beside(&self) -> usize {
        self.backends.len()
    }

    fn lose_machine(&mut self, backend: usize, silence: f64) {
        self.lose_proxy(backend);
        self.stop_backend(backend, true);
        self.schedule_publication(backend, silence);
    }

    fn lose_proxy(&mut self, proxy: usize) {
        let instance = self.proxies[proxy].instance;
        self.stop_proxy(proxy);
        self.discard_missed_changes(instance);
    }

    fn machine_back(&mut self, backend: usize, notice: f64) -> Result<(), Invalid> {
        if self.backends[backend].is_unresponsive {
            self.start_backend(backend);
            self.schedule_publication(backend, notice);
            self.start_proxy(backend)?;
        }
        Ok(())
    }
}
