//! The fleet on virtual time: carries out the actions of the balancers and passes them the resulting events.
//!
//! This module holds the state and dispatches the events; each submodule handles one kind of event.

mod backend_work;
mod clients;
mod discovery;
mod endpoint_log;
mod processes;
mod proxy;
mod proxy_requests;
mod request_table;
mod scenario_steps;

use super::backend::Backend;
use super::event_queue::{EventQueue, SimulationEvent};
use super::metrics::Metrics;
use super::report::Checks;
use super::topology::Topology;
use crate::scenario::{Scenario, ScenarioError};
use endpoint_log::EndpointLog;
use foldhitch_balancer::api::{Action, BackendId, Class, Event};
use proxy::{Proxy, ProxyInstance};
use rand::SeedableRng;
use rand::rngs::StdRng;
use request_table::RequestTable;
use std::collections::BTreeMap;

/// The state of the simulated fleet.
pub struct Fleet<'a> {
    pub scenario: &'a Scenario,
    pub topology: Topology,
    pub now_ms: f64,
    pub rng: StdRng,
    pub event_queue: EventQueue,
    pub instances: Vec<ProxyInstance>,
    /// The sidecar proxies in the order of their backends, followed by the entry proxies.
    pub proxies: Vec<Proxy>,
    pub backends: Vec<Backend>,
    requests: RequestTable,
    actions: Vec<Action>,
    pub endpoint_log: EndpointLog,
    pub are_regions_partitioned: bool,
    pub is_discovery_up: bool,
    pub metrics: Metrics,
    pub checks: Checks,
    client_timeouts_ms: Vec<f64>,
    late_worth_shares: Vec<f64>,
    classes: Vec<Class>,
    drain_deadline_ms: f64,
}

impl<'a> Fleet<'a> {
    /// Creates a fleet in which all backends are warm and all proxies have their lists.
    pub fn new(
        scenario: &'a Scenario,
        size: usize,
        seed: u64,
        metrics: Metrics,
    ) -> Result<Self, ScenarioError> {
        let topology = Topology::new(scenario, size);
        let settings = scenario.resolved_settings(0, 1, 0, 0)?;
        let backends = topology.backends.iter().map(|p| Backend::new(p.zone, p.service)).collect();
        let mut fleet = Fleet {
            scenario,
            now_ms: 1000.0,
            rng: StdRng::seed_from_u64(seed),
            event_queue: EventQueue::default(),
            instances: Vec::new(),
            proxies: Vec::new(),
            backends,
            requests: RequestTable::new(),
            actions: Vec::new(),
            endpoint_log: EndpointLog::new(&topology),
            are_regions_partitioned: false,
            is_discovery_up: true,
            metrics,
            checks: Checks::default(),
            client_timeouts_ms: scenario.class_values("giveUp"),
            late_worth_shares: scenario.class_values("lateWorth"),
            classes: settings.balancer.classes,
            drain_deadline_ms: settings.site.drain_deadline_ms,
            topology,
        };
        fleet.place_proxies();
        for proxy in 0..fleet.proxies.len() {
            fleet.start_proxy(proxy)?;
        }
        fleet.event_queue.schedule(fleet.now_ms, SimulationEvent::ClientArrival);
        Ok(fleet)
    }

    fn place_proxies(&mut self) {
        let entry_service = self.topology.entry_proxies.first().map_or(0, |e| e.service);
        let sidecars = self.topology.backends.iter().map(|b| (b.zone, self.topology.callees[b.service], 1));
        let entry_proxies = self.topology.entry_proxies.iter().map(|e| (e.zone, Some(e.service), 0));
        let placements: Vec<(u16, Option<usize>, u32)> = sidecars.chain(entry_proxies).collect();
        let count_callers_of =
            |callee: Option<usize>| placements.iter().filter(|p| p.1 == callee).count() as u32;
        let mut next_indices = BTreeMap::<Option<usize>, u32>::new();
        for &(zone, callee, tier) in &placements {
            let next_index = next_indices.entry(callee).or_default();
            // A sidecar proxy whose backend makes no calls still follows an endpoint list.
            let service = callee.unwrap_or(entry_service);
            let instance_count = count_callers_of(callee);
            self.proxies.push(Proxy {
                instance: 0,
                instance_index: *next_index,
                instance_count,
                tier,
                zone,
                service,
                is_running: true,
            });
            *next_index += 1;
        }
    }

    /// Runs the simulation until `end_ms`.
    pub fn run_until(&mut self, end_ms: f64) -> Result<(), ScenarioError> {
        while let Some((at_ms, event)) = self.event_queue.pop_before(end_ms) {
            self.now_ms = at_ms;
            self.handle_event(event)?;
        }
        self.now_ms = end_ms;
        Ok(())
    }

    fn handle_event(&mut self, event: SimulationEvent) -> Result<(), ScenarioError> {
        match event {
            SimulationEvent::ClientArrival => self.handle_client_arrival(),
            SimulationEvent::ClientRetry { class, retries, created_ms } => {
                self.send_client_request(usize::from(class), retries, created_ms)
            }
            SimulationEvent::TimerFired { instance, token } => {
                let proxy = &self.instances[instance];
                if proxy.is_alive && !(proxy.is_replaced && proxy.open_requests == 0) {
                    self.metrics.current_part().module.wakes += 1;
                    self.notify_balancer(instance, Event::TimerFired { token });
                }
            }
            SimulationEvent::AttemptArrived { request, attempt } => self.receive_attempt(request, attempt),
            SimulationEvent::WorkFinished { request, attempt } => self.finish_work(request, attempt),
            SimulationEvent::OutcomeArrived { request, attempt, outcome } => {
                self.receive_outcome(request, attempt, outcome)
            }
            SimulationEvent::AttemptCancelled { request, attempt } => self.cancel_attempt(request, attempt),
            SimulationEvent::DeadlinePassed { request } => self.handle_deadline(request),
            SimulationEvent::FinalAnswerDue { request } => {
                if self.requests.get(request).is_some_and(|request| !request.has_ended) {
                    self.checks.never_ended += 1;
                }
            }
            SimulationEvent::EndpointPublished { backend, changed_at_ms } => {
                self.publish(backend, changed_at_ms)
            }
            SimulationEvent::ChangeDelivered { instance, change } => self.deliver_change(instance, change),
            SimulationEvent::FullListDelivered { instance } => self.deliver_full_list(instance),
            SimulationEvent::Step(step) => return self.apply_step(step),
        }
        Ok(())
    }

    /// Returns the one-way delay between two zones, or `None` if their regions are partitioned.
    fn one_way_delay_ms(&self, from_zone: u16, to_zone: u16) -> Option<f64> {
        let network = &self.scenario.network;
        let is_same_region = self.scenario.region_of(from_zone) == self.scenario.region_of(to_zone);
        match (from_zone == to_zone, is_same_region) {
            (true, _) => Some(network.same_zone_ms),
            (_, true) => Some(network.same_region_ms),
            _ => (!self.are_regions_partitioned).then_some(network.cross_region_ms),
        }
    }
}

/// Converts a backend's number in endpoint lists, which starts at 1, to its index.
fn backend_index(backend: BackendId) -> usize {
    backend as usize - 1
}
