//! Discovery in virtual time: how what it knows of each backend comes to the proxies.

use super::Fleet;
use super::endpoint_log::{Change, Held};
use super::proxy::Copy;
use crate::simulated::backend::Backend;
use crate::simulated::event_queue::Happening;
use foldhitch_balancer::api::{EndpointInfo, EndpointListKind, Event, Phase};
use rand::Rng;

impl Fleet<'_> {
    /// Discovery will take notice of what has just happened to a backend.
    pub(super) fn notice(&mut self, backend: usize, after: f64) {
        self.agenda.at(self.now + after, Happening::Publish { backend, since: self.now });
    }

    /// Discovery takes notice of a backend as it is now, and the change goes out to those who follow it.
    pub(super) fn publish(&mut self, backend: usize, since: f64) {
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
    pub(super) fn tell_change(&mut self, copy: usize, change: usize) {
        if !self.in_force(copy, change) {
            return;
        }
        let entry = self.changes.log[change].entry.clone();
        self.hold(copy, &entry);
        self.list(copy, EndpointListKind::Delta, vec![entry]);
    }

    /// The whole list comes to a proxy.
    pub(super) fn tell_all(&mut self, copy: usize) {
        let c = &mut self.copies[copy];
        if !c.alive || c.replaced {
            return;
        }
        let (service, missed) = (c.service, std::mem::take(&mut c.missed));
        for change in missed {
            self.in_force(copy, change);
        }
        let of = |(b, e): (&Backend, &EndpointInfo)| {
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
    pub(super) fn owe_nothing(&mut self, copy: usize) {
        let missed = std::mem::take(&mut self.copies[copy].missed);
        for change in missed {
            self.in_force(copy, change);
        }
    }

    /// Every proxy gets the whole list, or those that missed something do.
    pub(super) fn resync(&mut self, missed: bool) {
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
        let behind = |c: &&Copy| {
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
        let lost = |c: &Copy| {
            let listed = self.backends.iter().zip(&self.changes.published);
            let region = self.scenario.region_of(c.zone);
            let beyond =
                listed.filter(|(b, _)| b.service == c.service && self.scenario.region_of(b.zone) != region);
            beyond.filter(|(_, e)| c.held.get(&e.backend).is_none_or(|h| h.phase == Phase::Gone)).count()
        };
        self.copies.iter().filter(|c| c.alive && !c.replaced).map(|c| lost(c) as u64).sum()
    }
}
