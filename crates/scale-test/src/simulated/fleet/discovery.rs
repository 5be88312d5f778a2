//! Discovery in virtual time: what it knows of each backend, and how that comes to the proxies.

use super::Fleet;
use crate::scenario::Invalid;
use crate::simulated::event_queue::{Happening, Step};
use crate::simulated::topology::Plan;
use foldhitch_balancer::api::{BackendId, EndpointInfo, EndpointListKind, Event, Phase};
use rand::Rng;

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
        let entry = |(i, p): (usize, &crate::simulated::topology::Place)| EndpointInfo {
            backend: i as BackendId + 1,
            zone: p.zone,
            weight: 1.0,
            ..EndpointInfo::default()
        };
        Changes { published: plan.backends.iter().enumerate().map(entry).collect(), log: Vec::new() }
    }
}

impl Fleet<'_> {
    /// Discovery will take notice of what has just happened to a backend.
    fn notice(&mut self, backend: usize, after: f64) {
        self.agenda.at(self.now + after, Happening::Publish { backend, since: self.now });
    }

    /// Discovery takes notice of a backend as it is now, and the change goes out to those who follow it.
    pub fn publish(&mut self, backend: usize, since: f64) {
        let b = &self.backends[backend];
        let phase = match (b.down && b.silent, b.draining || b.down) {
            (true, _) => Phase::Gone,
            (_, true) => Phase::Draining,
            _ => Phase::Ready,
        };
        let old = &self.changes.published[backend];
        let entry = EndpointInfo { phase, weight: b.weight, started_at_ms: b.started_at_ms, ..old.clone() };
        if entry == *old {
            return;
        }
        self.changes.published[backend] = entry.clone();
        let (service, zone, change) = (b.service, b.zone, self.changes.log.len());
        let part = self.tally.number();
        self.changes.log.push(Change { entry, since, missing: 0, part });
        self.tally.part().control.changes += 1;
        for copy in 0..self.copies.len() {
            let c = &self.copies[copy];
            if !c.alive || c.replaced || c.service != service {
                continue;
            }
            self.changes.log[change].missing += 1;
            match self.discovery_way(zone, copy) {
                Some(way) => self.post(copy, way, Happening::Tell { copy, change }),
                None => self.copies[copy].missed.push(change),
            }
        }
    }

    /// How long a change in a zone takes to a proxy; never where they are cut off from each other.
    fn discovery_way(&mut self, zone: u16, copy: usize) -> Option<f64> {
        let d = &self.scenario.discovery;
        let [least, most] = d.spread_ms;
        let spread = least + (most - least) * self.rng.random::<f64>();
        let same = self.scenario.region_of(zone) == self.scenario.region_of(self.copies[copy].zone);
        match same {
            _ if !self.discovery_up => None,
            true => Some(spread),
            false => (!self.cut).then_some(spread + d.region_ms),
        }
    }

    /// Sends a message to a proxy; none overtakes another.
    fn post(&mut self, copy: usize, way: f64, what: Happening) {
        let c = &mut self.copies[copy];
        c.told_at = c.told_at.max(self.now + way);
        self.agenda.at(c.told_at, what);
    }

    /// A change comes to a proxy.
    pub fn tell_change(&mut self, copy: usize, change: usize) {
        if !self.in_force(copy, change) {
            return;
        }
        let entry = self.changes.log[change].entry.clone();
        self.hold(copy, &entry);
        self.list(copy, EndpointListKind::Delta, vec![entry]);
    }

    /// The whole list comes to a proxy.
    pub fn tell_all(&mut self, copy: usize) {
        let c = &mut self.copies[copy];
        if !c.alive || c.replaced {
            return;
        }
        let (service, missed) = (c.service, std::mem::take(&mut c.missed));
        for change in missed {
            self.in_force(copy, change);
        }
        let of = |(b, e): (&crate::simulated::backend::Backend, &EndpointInfo)| {
            (b.service == service && e.phase != Phase::Gone).then(|| e.clone())
        };
        let entries: Vec<EndpointInfo> =
            self.backends.iter().zip(&self.changes.published).filter_map(of).collect();
        let now = self.now;
        for (id, held) in &mut self.copies[copy].held {
            if held.phase != Phase::Gone && entries.iter().all(|e| e.backend != *id) {
                (held.phase, held.since) = (Phase::Gone, now);
            }
        }
        entries.iter().for_each(|e| self.hold(copy, e));
        self.tally.part().control.whole += 1;
        self.list(copy, EndpointListKind::Full, entries);
    }

    fn list(&mut self, copy: usize, kind: EndpointListKind, entries: Vec<EndpointInfo>) {
        let part = self.tally.part();
        part.control.messages += 1;
        part.control.entries += entries.len() as u64;
        part.module.lists += 1;
        self.tell(copy, Event::EndpointList { kind, endpoints: entries });
    }

    fn hold(&mut self, copy: usize, e: &EndpointInfo) {
        let held = &mut self.copies[copy].held;
        let since = held.get(&e.backend).filter(|h| h.phase == e.phase).map_or(self.now, |h| h.since);
        let (phase, weight, started_at_ms) = (e.phase, e.weight, e.started_at_ms);
        held.insert(e.backend, Held { phase, weight, started_at_ms, since });
    }

    /// A change is in force at a proxy, or its process runs no more; whether the former.
    fn in_force(&mut self, copy: usize, change: usize) -> bool {
        let (c, log) = (&self.copies[copy], &mut self.changes.log[change]);
        log.missing -= 1;
        if log.missing == 0 {
            self.tally.in_force(log.part, self.now - log.since);
        }
        c.alive && !c.replaced
    }

    /// A proxy's process runs no more: what it missed is owed to nobody.
    fn owe_nothing(&mut self, copy: usize) {
        let missed = std::mem::take(&mut self.copies[copy].missed);
        for change in missed {
            self.in_force(copy, change);
        }
    }

    /// Takes a step of the scenario.
    pub fn step(&mut self, step: Step) -> Result<(), Invalid> {
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

    /// Every proxy gets the whole list, or those that missed something do.
    fn resync(&mut self, missed: bool) {
        for copy in 0..self.copies.len() {
            let c = &self.copies[copy];
            if c.alive && !c.replaced && (!missed || !c.missed.is_empty()) {
                let way = self.discovery_way(c.zone, copy).unwrap_or(0.0);
                self.post(copy, way, Happening::TellAll { copy });
            }
        }
    }

    /// Proxies that do not hold what discovery has published for the service that they follow, and to which
    /// nothing is on its way.
    pub fn behind(&self) -> u64 {
        let behind = |c: &&super::Copy| {
            let (live, on_the_way) = (c.alive && !c.replaced, c.told_at > self.now);
            live && !on_the_way
                && self.backends.iter().zip(&self.changes.published).any(|(b, e)| {
                    b.service == c.service
                        && match c.held.get(&e.backend) {
                            Some(h) if h.phase == Phase::Gone => e.phase != Phase::Gone,
                            Some(h) => {
                                (h.phase, h.weight, h.started_at_ms) != (e.phase, e.weight, e.started_at_ms)
                            }
                            None => e.phase != Phase::Gone,
                        }
                })
        };
        self.copies.iter().filter(behind).count() as u64
    }

    /// Entries that proxies cut off have lost of the regions beyond: the last good list holds.
    pub fn lost_while_cut(&self) -> u64 {
        let lost = |c: &super::Copy| {
            let listed = self.backends.iter().zip(&self.changes.published);
            let region = self.scenario.region_of(c.zone);
            let beyond =
                listed.filter(|(b, _)| b.service == c.service && self.scenario.region_of(b.zone) != region);
            beyond.filter(|(_, e)| c.held.get(&e.backend).is_none_or(|h| h.phase == Phase::Gone)).count()
        };
        self.copies.iter().filter(|c| c.alive && !c.replaced).map(|c| lost(c) as u64).sum()
    }
}
