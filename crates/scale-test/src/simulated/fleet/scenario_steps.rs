//! Steps of the scenario: changes of configuration, restarts, losses, and what ends them.

use super::Fleet;
use crate::scenario::Invalid;
use crate::simulated::event_queue::{Happening, Step};
use rand::Rng;

impl Fleet<'_> {
    /// Takes a step of the scenario.
    pub(super) fn step(&mut self, step: Step) -> Result<(), Invalid> {
        let (notice, silence) = (self.scenario.discovery.notice_ms, self.scenario.discovery.silent_notice_ms);
        match step {
            Step::Part(part) => self.tally.begin(part, self.now),
            Step::Change => {
                let backend = self.rng.random_range(..self.backends.len());
                self.backends[backend].weight = 0.8 + 0.4 * self.rng.random::<f64>();
                self.notice(backend, notice);
            }
            Step::Restart { backend } => {
                let backend = backend.unwrap_or_else(|| self.rng.random_range(..self.proxies_beside()));
                let b = &mut self.backends[backend];
                if !b.down && !b.draining {
                    b.draining = true;
                    self.notice(backend, notice);
                    // It stops once every proxy has been told and the grace is over.
                    let d = &self.scenario.discovery;
                    let told = notice + d.spread_ms[1] + d.region_ms;
                    let stop = told + self.scenario.guarantee("stopSendingWithin");
                    self.agenda.at(self.now + stop, Happening::Step(Step::Stop { backend }));
                }
            }
            Step::Stop { backend } => {
                self.stop(backend, false);
                let back = self.scenario.backend.restart_s * 1000.0;
                self.agenda.at(self.now + back, Happening::Step(Step::Start { backend }));
            }
            Step::Start { backend } => {
                // One that went silent meanwhile comes back with its machine.
                if self.backends[backend].down && !self.backends[backend].silent {
                    self.start(backend);
                    self.notice(backend, notice);
                }
            }
            Step::LoseMachine { backend, back } => {
                let backend = backend.unwrap_or_else(|| self.rng.random_range(..self.proxies_beside()));
                if !self.backends[backend].silent {
                    self.lose_machine(backend, silence);
                    self.agenda.at(self.now + back, Happening::Step(Step::MachineBack { backend }));
                }
            }
            Step::MachineBack { backend } => self.machine_back(backend, notice)?,
            Step::Zone { zone, on } => {
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
            Step::Cut { on } => {
                self.cut = on;
                if !on {
                    self.resync(true);
                }
            }
            Step::Discovery { on } => {
                self.discovery_up = on;
                if on {
                    self.resync(true);
                }
            }
            Step::Resync => self.resync(false),
            Step::Replace { proxy } => {
                if self.proxies[proxy].on {
                    let old = self.proxies[proxy].copy;
                    self.owe_nothing(old);
                    self.copies[old].replaced = true;
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
        self.stop(backend, true);
        self.notice(backend, silence);
    }

    fn lose_proxy(&mut self, proxy: usize) {
        let copy = self.proxies[proxy].copy;
        self.stop_proxy(proxy);
        self.owe_nothing(copy);
    }

    fn machine_back(&mut self, backend: usize, notice: f64) -> Result<(), Invalid> {
        if self.backends[backend].silent {
            self.start(backend);
            self.notice(backend, notice);
            self.start_proxy(backend)?;
        }
        Ok(())
    }
}
