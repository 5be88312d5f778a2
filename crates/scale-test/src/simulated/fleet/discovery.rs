//! Discovery on virtual time: publishes the state of the backends and delivers it to the proxies.

use super::Fleet;
use super::endpoint_log::{Change, KnownEndpoint};
use super::proxy::ProxyInstance;
use crate::simulated::event_queue::SimulationEvent;
use foldhitch_balancer::api::{EndpointInfo, EndpointListKind, Event, Phase};
use rand::Rng;

impl Fleet<'_> {
    /// Schedules the publication of a change that has just happened to a backend.
    pub(super) fn schedule_publication(&mut self, backend: usize, delay_ms: f64) {
        self.event_queue.schedule(
            self.now_ms + delay_ms,
            SimulationEvent::EndpointPublished { backend, changed_at_ms: self.now_ms },
        );
    }

    /// Publishes the current state of a backend and sends the change to the proxies that follow its service.
    pub(super) fn publish(&mut self, backend: usize, changed_at_ms: f64) {
        let backend_state = &self.backends[backend];
        let phase = match (
            backend_state.is_down && backend_state.is_unresponsive,
            backend_state.is_draining || backend_state.is_down,
        ) {
            (true, _) => Phase::Removed,
            (_, true) => Phase::Draining,
            _ => Phase::Ready,
        };
        let previous = &self.endpoint_log.published[backend];
        let entry = EndpointInfo {
            phase,
            weight: backend_state.weight,
            started_at_ms: backend_state.started_at_ms,
            ..previous.clone()
        };
        if entry == *previous {
            return;
        }
        self.endpoint_log.published[backend] = entry.clone();
        let (service, zone, change) =
            (backend_state.service, backend_state.zone, self.endpoint_log.changes.len());
        let part = self.metrics.part_index();
        self.endpoint_log.changes.push(Change { entry, changed_at_ms, pending_proxies: 0, part });
        self.metrics.current_part().control.changes += 1;
        for instance in 0..self.instances.len() {
            let proxy = &self.instances[instance];
            if !proxy.follows_discovery() || proxy.service != service {
                continue;
            }
            self.endpoint_log.changes[change].pending_proxies += 1;
            match self.discovery_delay_ms(zone, instance) {
                Some(delay_ms) => self.schedule_delivery(
                    instance,
                    delay_ms,
                    SimulationEvent::ChangeDelivered { instance, change },
                ),
                None => self.instances[instance].missed_changes.push(change),
            }
        }
    }

    /// Returns the delay of a change from a zone to a proxy, or `None` if the change can't reach the proxy.
    fn discovery_delay_ms(&mut self, zone: u16, instance: usize) -> Option<f64> {
        let discovery = &self.scenario.discovery;
        let [min_ms, max_ms] = discovery.spread_ms;
        let spread_ms = min_ms + (max_ms - min_ms) * self.rng.random::<f64>();
        let is_same_region =
            self.scenario.region_of(zone) == self.scenario.region_of(self.instances[instance].zone);
        match is_same_region {
            _ if !self.is_discovery_up => None,
            true => Some(spread_ms),
            false => (!self.are_regions_partitioned).then_some(spread_ms + discovery.region_ms),
        }
    }

    /// Schedules a message to a proxy. Messages to the same proxy stay in order.
    fn schedule_delivery(&mut self, instance: usize, delay_ms: f64, event: SimulationEvent) {
        let proxy = &mut self.instances[instance];
        proxy.last_delivery_ms = proxy.last_delivery_ms.max(self.now_ms + delay_ms);
        self.event_queue.schedule(proxy.last_delivery_ms, event);
    }

    /// Delivers a change to a proxy.
    pub(super) fn deliver_change(&mut self, instance: usize, change: usize) {
        if !self.acknowledge_change(instance, change) {
            return;
        }
        let entry = self.endpoint_log.changes[change].entry.clone();
        self.record_endpoint(instance, &entry);
        self.deliver_list(instance, EndpointListKind::Delta, vec![entry]);
    }

    /// Delivers the full list to a proxy.
    pub(super) fn deliver_full_list(&mut self, instance: usize) {
        let proxy = &mut self.instances[instance];
        if !proxy.follows_discovery() {
            return;
        }
        let (service, missed) = (proxy.service, std::mem::take(&mut proxy.missed_changes));
        for change in missed {
            self.acknowledge_change(instance, change);
        }
        let entries = self.listed_endpoints(service);
        let now_ms = self.now_ms;
        for (id, known) in &mut self.instances[instance].endpoints {
            let is_listed = entries.iter().any(|entry| entry.backend == *id);
            if known.phase != Phase::Removed && !is_listed {
                known.phase = Phase::Removed;
                known.phase_since_ms = now_ms;
            }
        }
        for entry in &entries {
            self.record_endpoint(instance, entry);
        }
        self.metrics.current_part().control.whole += 1;
        self.deliver_list(instance, EndpointListKind::Full, entries);
    }

    /// Returns the endpoints of a service, without removed ones.
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
        let phase_since_ms = match endpoints.get(&entry.backend) {
            Some(known) if known.phase == entry.phase => known.phase_since_ms,
            _ => self.now_ms,
        };
        let known = KnownEndpoint {
            phase: entry.phase,
            weight: entry.weight,
            started_at_ms: entry.started_at_ms,
            phase_since_ms,
        };
        endpoints.insert(entry.backend, known);
    }

    /// Counts a proxy as done with a change, because the change is in force there or its process has ended.
    /// Returns whether the proxy still follows discovery.
    fn acknowledge_change(&mut self, instance: usize, change: usize) -> bool {
        let change = &mut self.endpoint_log.changes[change];
        change.pending_proxies -= 1;
        if change.pending_proxies == 0 {
            self.metrics.record_in_force(change.part, self.now_ms - change.changed_at_ms);
        }
        self.instances[instance].follows_discovery()
    }

    /// Discards the missed changes of a proxy whose process has ended or was replaced.
    pub(super) fn discard_missed_changes(&mut self, instance: usize) {
        let missed = std::mem::take(&mut self.instances[instance].missed_changes);
        for change in missed {
            self.acknowledge_change(instance, change);
        }
    }

    /// Sends the full list to every proxy, or only to those that missed changes.
    pub(super) fn resync(&mut self, only_incomplete: bool) {
        for instance in 0..self.instances.len() {
            let proxy = &self.instances[instance];
            if proxy.follows_discovery() && (!only_incomplete || !proxy.missed_changes.is_empty()) {
                let delay_ms = self.discovery_delay_ms(proxy.zone, instance).unwrap_or(0.0);
                self.schedule_delivery(instance, delay_ms, SimulationEvent::FullListDelivered { instance });
            }
        }
    }

    /// Returns the number of proxies whose list differs from the published one and to which no message is in
    /// transit.
    pub fn outdated_instances(&self) -> u64 {
        let is_outdated = |proxy: &&ProxyInstance| {
            let awaits_delivery = proxy.last_delivery_ms > self.now_ms;
            proxy.follows_discovery() && !awaits_delivery && self.differs_from_published(proxy)
        };
        self.instances.iter().filter(is_outdated).count() as u64
    }

    /// Returns whether a proxy's list differs from the published endpoints of its service.
    fn differs_from_published(&self, proxy: &ProxyInstance) -> bool {
        let mut published = self.backends.iter().zip(&self.endpoint_log.published);
        published.any(|(backend, entry)| {
            backend.service == proxy.service
                && match proxy.endpoints.get(&entry.backend) {
                    Some(known) if known.phase != Phase::Removed => !known.matches(entry),
                    _ => entry.phase != Phase::Removed,
                }
        })
    }

    /// Returns the number of entries of other regions that the proxies' lists have lost. During a partition
    /// the last valid list must stay in use.
    pub fn entries_lost_while_partitioned(&self) -> u64 {
        let followers = self.instances.iter().filter(|proxy| proxy.follows_discovery());
        followers.map(|proxy| self.count_lost_of_other_regions(proxy)).sum()
    }

    /// Returns the number of entries of other regions that are missing from a proxy's list.
    fn count_lost_of_other_regions(&self, proxy: &ProxyInstance) -> u64 {
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
