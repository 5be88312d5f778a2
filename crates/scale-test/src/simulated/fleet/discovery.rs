//! Discovery in virtual time: how what it knows of each backend comes to the proxies.

use super::Fleet;
use super::endpoint_log::{Change, KnownEndpoint};
use super::proxy::ProxyInstance;
use crate::simulated::event_queue::SimulationEvent;
use foldhitch_balancer::api::{EndpointInfo, EndpointListKind, Event, Phase};
use rand::Rng;

impl Fleet<'_> {
    /// Discovery will take notice of what has just happened to a backend.
    pub(super) fn schedule_publication(&mut self, backend: usize, after: f64) {
        self.event_queue
            .schedule(self.now + after, SimulationEvent::EndpointPublished { backend, since: self.now });
    }

    /// Discovery takes notice of a backend as it is now, and the change goes out to those who follow it.
    pub(super) fn publish(&mut self, backend: usize, since: f64) {
        let state = &self.backends[backend];
        let phase = match (state.is_down && state.is_unresponsive, state.is_draining || state.is_down) {
            (true, _) => Phase::Removed,
            (_, true) => Phase::Draining,
            _ => Phase::Ready,
        };
        let old = &self.endpoint_log.published[backend];
        let entry =
            EndpointInfo { phase, weight: state.weight, started_at_ms: state.started_at_ms, ..old.clone() };
        if entry == *old {
            return;
        }
        self.endpoint_log.published[backend] = entry.clone();
        let (service, zone, change) = (state.service, state.zone, self.endpoint_log.changes.len());
        let part = self.metrics.part_index();
        self.endpoint_log.changes.push(Change { entry, since, missing: 0, part });
        self.metrics.current_part().control.changes += 1;
        for instance in 0..self.instances.len() {
            let proxy = &self.instances[instance];
            if !proxy.follows_discovery() || proxy.service != service {
                continue;
            }
            self.endpoint_log.changes[change].missing += 1;
            match self.discovery_delay_ms(zone, instance) {
                Some(way) => self.schedule_delivery(
                    instance,
                    way,
                    SimulationEvent::ChangeDelivered { instance, change },
                ),
                None => self.instances[instance].missed_changes.push(change),
            }
        }
    }

    /// How long a change in a zone takes to a proxy; never where they are cut off from each other.
    fn discovery_delay_ms(&mut self, zone: u16, instance: usize) -> Option<f64> {
        let discovery = &self.scenario.discovery;
        let [least, most] = discovery.spread_ms;
        let spread = least + (most - least) * self.rng.random::<f64>();
        let same = self.scenario.region_of(zone) == self.scenario.region_of(self.instances[instance].zone);
        match same {
            _ if !self.is_discovery_up => None,
            true => Some(spread),
            false => (!self.is_region_cut).then_some(spread + discovery.region_ms),
        }
    }

    /// Sends a message to a proxy; none overtakes another.
    fn schedule_delivery(&mut self, instance: usize, way: f64, what: SimulationEvent) {
        let proxy = &mut self.instances[instance];
        proxy.last_delivery_ms = proxy.last_delivery_ms.max(self.now + way);
        self.event_queue.schedule(proxy.last_delivery_ms, what);
    }

    /// A change comes to a proxy.
    pub(super) fn deliver_change(&mut self, instance: usize, change: usize) {
        if !self.acknowledge(instance, change) {
            return;
        }
        let entry = self.endpoint_log.changes[change].entry.clone();
        self.record_endpoint(instance, &entry);
        self.deliver_list(instance, EndpointListKind::Delta, vec![entry]);
    }

    /// The full list comes to a proxy.
    pub(super) fn deliver_full_list(&mut self, instance: usize) {
        let proxy = &mut self.instances[instance];
        if !proxy.follows_discovery() {
            return;
        }
        let (service, missed) = (proxy.service, std::mem::take(&mut proxy.missed_changes));
        for change in missed {
            self.acknowledge(instance, change);
        }
        let entries = self.listed_endpoints(service);
        let now = self.now;
        for (id, known) in &mut self.instances[instance].endpoints {
            let is_listed = entries.iter().any(|entry| entry.backend == *id);
            if known.phase != Phase::Removed && !is_listed {
                known.phase = Phase::Removed;
                known.since_ms = now;
            }
        }
        for entry in &entries {
            self.record_endpoint(instance, entry);
        }
        self.metrics.current_part().control.whole += 1;
        self.deliver_list(instance, EndpointListKind::Full, entries);
    }

    /// The endpoints of a service that are not gone.
    fn listed_endpoints(&self, service: usize) -> Vec<EndpointInfo> {
        let mut entries = Vec::new();
        for (backend, entry) in self.backends.iter().zip(&self.endpoint_log.published) {
            if backend.service == service && entry.phase != Phase::Removed {
                entries.push(entry.clone());
            }
        }
        entries
    }

    fn deliver_list(&mut self, instance: usize, kind: EndpointListKind, entries: Vec<EndpointInfo>) {
        let part = self.metrics.current_part();
        part.control.messages += 1;
        part.control.entries += entries.len() as u64;
        part.module.lists += 1;
        self.notify_balancer(instance, Event::EndpointList { kind, endpoints: entries });
    }

    fn record_endpoint(&mut self, instance: usize, entry: &EndpointInfo) {
        let endpoints = &mut self.instances[instance].endpoints;
        let since_ms = match endpoints.get(&entry.backend) {
            Some(known) if known.phase == entry.phase => known.since_ms,
            _ => self.now,
        };
        let known = KnownEndpoint {
            phase: entry.phase,
            weight: entry.weight,
            started_at_ms: entry.started_at_ms,
            since_ms,
        };
        endpoints.insert(entry.backend, known);
    }

    /// A change is in force at a proxy, or its process runs no more; returns whether it is in force.
    fn acknowledge(&mut self, instance: usize, change: usize) -> bool {
        let change = &mut self.endpoint_log.changes[change];
        change.missing -= 1;
        if change.missing == 0 {
            self.metrics.record_in_force(change.part, self.now - change.since);
        }
        self.instances[instance].follows_discovery()
    }

    /// A proxy's process runs no more: what it missed is not delivered any more.
    pub(super) fn discard_missed_changes(&mut self, instance: usize) {
        let missed = std::mem::take(&mut self.instances[instance].missed_changes);
        for change in missed {
            self.acknowledge(instance, change);
        }
    }

    /// Every proxy gets the full list, or those that missed something do.
    pub(super) fn resync(&mut self, missed: bool) {
        for instance in 0..self.instances.len() {
            let proxy = &self.instances[instance];
            if proxy.follows_discovery() && (!missed || !proxy.missed_changes.is_empty()) {
                let way = self.discovery_delay_ms(proxy.zone, instance).unwrap_or(0.0);
                self.schedule_delivery(instance, way, SimulationEvent::FullListDelivered { instance });
            }
        }
    }

    /// Proxies that do not hold what discovery has published for the service that they follow, and to which
    /// nothing is on its way.
    pub fn instances_behind(&self) -> u64 {
        let is_behind = |proxy: &&ProxyInstance| {
            let awaits_delivery = proxy.last_delivery_ms > self.now;
            proxy.follows_discovery() && !awaits_delivery && self.differs_from_published(proxy)
        };
        self.instances.iter().filter(is_behind).count() as u64
    }

    /// Whether a proxy holds anything else than what is published for its service.
    fn differs_from_published(&self, proxy: &ProxyInstance) -> bool {
        let mut published = self.backends.iter().zip(&self.endpoint_log.published);
        published.any(|(backend, entry)| {
            backend.service == proxy.service
                && match proxy.endpoints.get(&entry.backend) {
                    Some(known) if known.phase != Phase::Removed => !known.equals(entry),
                    _ => entry.phase != Phase::Removed,
                }
        })
    }

    /// Entries that proxies cut off have lost of the regions beyond: the last valid list holds.
    pub fn lost_while_cut(&self) -> u64 {
        let followers = self.instances.iter().filter(|proxy| proxy.follows_discovery());
        followers.map(|proxy| self.lost_of_other_regions(proxy)).sum()
    }

    /// Entries of other regions that a proxy's list has lost.
    fn lost_of_other_regions(&self, proxy: &ProxyInstance) -> u64 {
        let region = self.scenario.region_of(proxy.zone);
        let mut lost = 0;
        for (backend, entry) in self.backends.iter().zip(&self.endpoint_log.published) {
            if backend.service != proxy.service || self.scenario.region_of(backend.zone) == region {
                continue;
            }
            let known = proxy.endpoints.get(&entry.backend);
            if known.is_none_or(|known| known.phase == Phase::Removed) {
                lost += 1;
            }
        }
        lost
    }
}
