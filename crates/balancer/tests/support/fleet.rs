//! Simulates a fleet in virtual time: balancer instances, the backends that they send to, and one event
//! queue. The same scenario and seed give the same run. Every attempt is checked against the endpoint list of
//! its instance.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// How long a connection may be idle before its backend closes it.
const BACKEND_IDLE_TIMEOUT_MS: f64 = 5000.0;
/// Work of the handshake of a new connection, in mean requests.
pub const HANDSHAKE_WORK: f64 = 0.1;
/// Network round-trip time.
const ROUND_TRIP_MS: f64 = 1.0;

/// The traffic of a class.
#[derive(Clone)]
pub struct ClassTraffic {
    /// Share of the requests, relative to the other classes.
    pub share: f64,
    /// Mean work of a request, in mean requests over all classes.
    pub mean_work: f64,
}

/// The description of a run.
#[derive(Clone)]
pub struct Scenario {
    pub settings: Settings,
    pub traffic: Vec<ClassTraffic>,
    /// Cores of each backend.
    pub cores_per_backend: usize,
    /// Time that a warm core takes for a request of work 1.
    pub mean_service_ms: f64,
    /// Offered load, as a share of the capacity of `warm_backends` warm backends.
    pub load: f64,
    /// Traffic of each instance relative to the others; the last entry holds for all further instances.
    pub instance_weights: Vec<f64>,
    /// Longest time until an endpoint list reaches an instance.
    pub max_notification_delay_ms: f64,
    /// Number of backends at the start, which are warm.
    pub warm_backends: u32,
    /// Length of the window in which work beyond its budget overloads a backend in slow start.
    pub overload_window_ms: f64,
    /// Whether every request has the mean work of its class; otherwise its work is exponentially distributed.
    pub is_work_constant: bool,
    /// Changes with the times at which they happen, in milliseconds.
    pub changes: Vec<(f64, Change)>,
    pub end_ms: f64,
}

/// A change to the fleet or its traffic.
#[derive(Clone, Debug)]
pub enum Change {
    /// Sets the offered load, on the scale of [`Scenario::load`].
    SetLoad(f64),
    /// Kills all instances. They restart, without history but with the endpoint list, within this many
    /// milliseconds.
    RestartInstances(f64),
    /// Restarts the process of a backend, which then warms up again.
    RestartBackend(BackendId),
    /// Drains the first backend, stops it 2 s later, and starts the second one.
    ReplaceBackend(BackendId, BackendId),
    /// Starts a new backend.
    AddBackend(BackendId),
    /// Sets how many processes act as each instance. The simulated traffic is that of one process.
    SetProcessCount(u32),
    /// Multiplies the traffic of the instances whose number modulo 5 is the first value by the second.
    ScaleTraffic(u32, f64),
}

#[derive(Debug)]
enum FleetEvent {
    Change(usize),
    BackendStopped(BackendId),
    ListDelivered {
        instance_index: usize,
        incarnation: u32,
        version: usize,
    },
    InstanceStarted(usize),
    TimerFired {
        instance_index: usize,
        incarnation: u32,
        token: TimerToken,
    },
    RequestArrived {
        instance_index: usize,
        incarnation: u32,
    },
    AttemptFinished {
        instance_index: usize,
        incarnation: u32,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
    },
}

struct ScheduledEvent {
    at_ms: f64,
    sequence: u64,
    event: FleetEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at_ms.total_cmp(&other.at_ms).then(self.sequence.cmp(&other.sequence))
    }
}

/// A balancer instance; `balancer` is `None` while it restarts.
pub struct Instance {
    pub balancer: Option<Balancer>,
    /// Counts restarts; events for earlier incarnations are dropped.
    pub incarnation: u32,
    /// Index in [`Fleet::lists`] of the newest list that was delivered.
    pub list_version: usize,
    /// When the endpoint list first reported each backend as draining or removed.
    unavailable_since: BTreeMap<BackendId, f64>,
    /// When each idle connection to a backend became idle, oldest first.
    idle_since: HashMap<BackendId, VecDeque<f64>>,
    open_requests: HashMap<RequestId, RequestRecord>,
    next_request: RequestId,
}

struct RequestRecord {
    class: usize,
    deadline_ms: f64,
    /// Backend and send time of each attempt.
    attempts: Vec<(BackendId, f64)>,
}

/// The work of an attempt that a backend received.
#[derive(Clone, Copy)]
pub struct ReceivedWork {
    pub received_at_ms: f64,
    /// Work in mean requests, with the handshake.
    pub amount: f64,
    /// Whether the endpoint list of the sender had the current start time of the backend.
    pub is_start_known: bool,
}

/// A process of a backend.
pub struct Backend {
    pub endpoint: EndpointInfo,
    /// When each core becomes free.
    core_free_at_ms: Vec<f64>,
    /// The work received since the start of the process, in order of arrival.
    pub received: Vec<ReceivedWork>,
    pub served: usize,
}

/// A simulated fleet.
pub struct Fleet {
    pub scenario: Scenario,
    pub now_ms: f64,
    pub instances: Vec<Instance>,
    pub backends: BTreeMap<BackendId, Backend>,
    /// Stopped processes of backends, with the time of their end.
    pub stopped: Vec<(Backend, f64)>,
    /// All endpoint lists that were published, oldest first.
    pub lists: Vec<Vec<EndpointInfo>>,
    pub served: usize,
    /// Requests that instances rejected or failed.
    pub unserved: usize,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    sequence: u64,
    rng: fastrand::Rng,
    load: f64,
    traffic_factors: [f64; 5],
    process_count: u32,
}

impl Fleet {
    /// Runs a scenario to its end.
    pub fn run(scenario: Scenario, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(scenario, seed);
        while let Some(Reverse(scheduled)) =
            fleet.queue.pop().filter(|Reverse(scheduled)| scheduled.at_ms <= fleet.scenario.end_ms)
        {
            fleet.now_ms = scheduled.at_ms;
            fleet.process(scheduled.event);
        }
        fleet
    }

    fn new(scenario: Scenario, seed: u64) -> Fleet {
        let instance_count = scenario.settings.instance_count as usize;
        let new_instance = |_| Instance {
            balancer: None,
            incarnation: 0,
            list_version: 0,
            unavailable_since: BTreeMap::new(),
            idle_since: HashMap::new(),
            open_requests: HashMap::new(),
            next_request: 1,
        };
        let mut fleet = Fleet {
            now_ms: 1.0,
            instances: (0..instance_count).map(new_instance).collect(),
            backends: BTreeMap::new(),
            stopped: Vec::new(),
            lists: Vec::new(),
            served: 0,
            unserved: 0,
            queue: BinaryHeap::new(),
            sequence: 0,
            rng: fastrand::Rng::with_seed(seed),
            load: scenario.load,
            traffic_factors: [1.0; 5],
            process_count: 1,
            scenario,
        };
        (1..=fleet.scenario.warm_backends).for_each(|id| fleet.start_backend(id, 0.0));
        fleet.publish();
        (0..instance_count).for_each(|index| fleet.schedule(1.0, FleetEvent::InstanceStarted(index)));
        (0..fleet.scenario.changes.len())
            .for_each(|n| fleet.schedule(fleet.scenario.changes[n].0, FleetEvent::Change(n)));
        fleet
    }

    fn schedule(&mut self, at_ms: f64, event: FleetEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(ScheduledEvent { at_ms, sequence: self.sequence, event }));
    }

    fn start_backend(&mut self, id: BackendId, started_at_ms: f64) {
        let endpoint = EndpointInfo { backend: id, started_at_ms, weight: 1.0, ..EndpointInfo::default() };
        let backend = Backend {
            endpoint,
            core_free_at_ms: vec![0.0; self.scenario.cores_per_backend],
            received: Vec::new(),
            served: 0,
        };
        if let Some(old) = self.backends.insert(id, backend) {
            self.stopped.push((old, self.now_ms));
        }
    }

    /// Publishes the endpoint list. It reaches each running instance after a random delay.
    fn publish(&mut self) {
        self.lists.push(self.backends.values().map(|backend| backend.endpoint.clone()).collect());
        let version = self.lists.len() - 1;
        for instance_index in 0..self.instances.len() {
            let (incarnation, at_ms) = (
                self.instances[instance_index].incarnation,
                self.now_ms + self.rng.f64() * self.scenario.max_notification_delay_ms,
            );
            if self.instances[instance_index].balancer.is_some() {
                self.schedule(at_ms, FleetEvent::ListDelivered { instance_index, incarnation, version });
            }
        }
    }

    fn process(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Change(n) => self.apply_change(self.scenario.changes[n].1.clone()),
            FleetEvent::BackendStopped(id) => {
                if let Some(old) = self.backends.remove(&id) {
                    self.stopped.push((old, self.now_ms));
                }
                self.publish();
            }
            FleetEvent::InstanceStarted(instance_index) => self.start_instance(instance_index),
            FleetEvent::ListDelivered { instance_index, incarnation, version } => {
                // A list that is older than one already delivered is dropped.
                let instance = &self.instances[instance_index];
                if instance.incarnation == incarnation && instance.list_version < version {
                    self.deliver_list(instance_index, version, EndpointListKind::Full);
                }
            }
            FleetEvent::TimerFired { instance_index, incarnation, token } => {
                if self.instances[instance_index].incarnation == incarnation {
                    self.handle(instance_index, Event::TimerFired { token });
                }
            }
            FleetEvent::RequestArrived { instance_index, incarnation } => {
                if self.instances[instance_index].incarnation == incarnation {
                    self.submit_request(instance_index);
                    self.schedule_request(instance_index);
                }
            }
            FleetEvent::AttemptFinished { instance_index, incarnation, request, attempt, outcome } => {
                if self.instances[instance_index].incarnation == incarnation {
                    self.finish_attempt(instance_index, request, attempt, outcome);
                }
            }
        }
    }

    fn apply_change(&mut self, change: Change) {
        match change {
            Change::SetLoad(load) => self.load = load,
            Change::ScaleTraffic(group, factor) => self.traffic_factors[group as usize] = factor,
            Change::RestartInstances(spread_ms) => {
                for instance_index in 0..self.instances.len() {
                    self.instances[instance_index].incarnation += 1;
                    self.instances[instance_index].balancer = None;
                    let at_ms = self.now_ms + self.rng.f64() * spread_ms;
                    self.schedule(at_ms, FleetEvent::InstanceStarted(instance_index));
                }
            }
            Change::RestartBackend(id) => {
                self.start_backend(id, self.now_ms);
                self.publish();
            }
            Change::AddBackend(id) => {
                self.start_backend(id, self.now_ms);
                self.publish();
            }
            Change::ReplaceBackend(old, new) => {
                self.backends.get_mut(&old).expect("a running backend").endpoint.phase = Phase::Draining;
                self.start_backend(new, self.now_ms);
                self.publish();
                self.schedule(self.now_ms + 2000.0, FleetEvent::BackendStopped(old));
            }
            Change::SetProcessCount(count) => {
                self.process_count = count;
                (0..self.instances.len()).for_each(|index| self.handle(index, Event::ProcessCount { count }));
            }
        }
    }

    fn start_instance(&mut self, instance_index: usize) {
        let settings = Settings { instance_index: instance_index as u32, ..self.scenario.settings.clone() };
        let seed = self.rng.u64(..);
        let instance = &mut self.instances[instance_index];
        instance.balancer = Some(Balancer::new(settings, seed).expect("valid settings"));
        (instance.idle_since, instance.open_requests, instance.unavailable_since) =
            (HashMap::new(), HashMap::new(), BTreeMap::new());
        self.deliver_list(instance_index, self.lists.len() - 1, EndpointListKind::Cached);
        if self.process_count > 1 {
            self.handle(instance_index, Event::ProcessCount { count: self.process_count });
        }
        self.schedule_request(instance_index);
    }

    /// Delivers an endpoint list. Every other list is sent as a delta if the instance has the list before it.
    fn deliver_list(&mut self, instance_index: usize, version: usize, kind: EndpointListKind) {
        let endpoints = self.lists[version].clone();
        let is_delta = kind == EndpointListKind::Full
            && version.is_multiple_of(2)
            && self.instances[instance_index].list_version + 1 == version;
        let event = if is_delta {
            let old = &self.lists[version - 1];
            let removed = old.iter().filter(|o| endpoints.iter().all(|n| n.backend != o.backend));
            let removed = removed.map(|o| EndpointInfo { phase: Phase::Removed, ..o.clone() });
            let changed = endpoints.iter().filter(|n| !old.contains(n)).cloned();
            Event::EndpointList { kind: EndpointListKind::Delta, endpoints: changed.chain(removed).collect() }
        } else {
            Event::EndpointList { kind, endpoints: endpoints.clone() }
        };
        let instance = &mut self.instances[instance_index];
        let before = std::mem::replace(&mut instance.list_version, version);
        for e in &endpoints {
            if e.phase == Phase::Ready {
                instance.unavailable_since.remove(&e.backend);
            } else {
                instance.unavailable_since.entry(e.backend).or_insert(self.now_ms);
            }
        }
        for e in &self.lists[before] {
            if endpoints.iter().all(|n| n.backend != e.backend) {
                instance.unavailable_since.entry(e.backend).or_insert(self.now_ms);
            }
        }
        self.handle(instance_index, event);
    }

    /// Returns the request rate of an instance, in requests per millisecond.
    fn requests_per_ms(&self, instance_index: usize) -> f64 {
        let weight = |index: usize| {
            *self
                .scenario
                .instance_weights
                .get(index)
                .or(self.scenario.instance_weights.last())
                .unwrap_or(&1.0)
        };
        let all: f64 = (0..self.instances.len()).map(weight).sum();
        let capacity = f64::from(self.scenario.warm_backends.max(1)) * self.scenario.cores_per_backend as f64
            / self.scenario.mean_service_ms;
        self.load * capacity * weight(instance_index) / all * self.traffic_factors[instance_index % 5]
    }

    fn schedule_request(&mut self, instance_index: usize) {
        let wait_ms = -(1.0 - self.rng.f64()).ln() / self.requests_per_ms(instance_index).max(1e-9);
        let incarnation = self.instances[instance_index].incarnation;
        self.schedule(self.now_ms + wait_ms, FleetEvent::RequestArrived { instance_index, incarnation });
    }

    fn submit_request(&mut self, instance_index: usize) {
        let mut draw = self.rng.f64() * self.scenario.traffic.iter().map(|class| class.share).sum::<f64>();
        let is_drawn_class = |class: &ClassTraffic| {
            draw -= class.share;
            draw < 0.0
        };
        let class = self.scenario.traffic.iter().position(is_drawn_class).unwrap_or(0);
        let deadline_ms = self.now_ms + 2.5 * self.scenario.settings.classes[class].latency_objective_ms;
        let instance = &mut self.instances[instance_index];
        let request = instance.next_request;
        instance.next_request += 1;
        instance.open_requests.insert(request, RequestRecord { class, deadline_ms, attempts: Vec::new() });
        let class = class as u16;
        let arrival =
            RequestArrival { request, key: 0, class, tenant: 0, deadline_ms, is_body_streamed: false };
        self.handle(instance_index, Event::RequestArrived(arrival));
    }

    fn handle(&mut self, instance_index: usize, event: Event) {
        let mut actions = Vec::new();
        let instance = &mut self.instances[instance_index];
        let (incarnation, Some(balancer)) = (instance.incarnation, instance.balancer.as_mut()) else {
            return;
        };
        balancer.handle(self.now_ms, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, backend, expires_at_ms, .. } => {
                    self.send_attempt(instance_index, request, backend, expires_at_ms)
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.unserved += 1;
                    self.instances[instance_index].open_requests.remove(&request);
                }
                Action::SetTimer { delay_ms, token } => {
                    self.schedule(
                        self.now_ms + delay_ms,
                        FleetEvent::TimerFired { instance_index, incarnation, token },
                    );
                }
                _ => {}
            }
        }
    }

    fn send_attempt(
        &mut self,
        instance_index: usize,
        request: RequestId,
        backend: BackendId,
        expires_at_ms: f64,
    ) {
        let instance = &mut self.instances[instance_index];
        let listed_start_ms =
            self.lists[instance.list_version].iter().find(|e| e.backend == backend).map(|e| e.started_at_ms);
        let unavailable_since = instance.unavailable_since.get(&backend);
        assert!(
            listed_start_ms.is_some() && unavailable_since.is_none(),
            "instance {instance_index} sent to backend {backend}, unavailable since {unavailable_since:?} ms"
        );
        let record = instance.open_requests.get_mut(&request).expect("an open request");
        let (attempt, class) = (record.attempts.len(), record.class);
        record.attempts.push((backend, self.now_ms));
        let idle = instance.idle_since.entry(backend).or_default();
        idle.retain(|since| self.now_ms - since < BACKEND_IDLE_TIMEOUT_MS);
        let handshake = if idle.pop_back().is_some() { 0.0 } else { HANDSHAKE_WORK };
        let work_factor = if self.scenario.is_work_constant { 1.0 } else { -(1.0 - self.rng.f64()).ln() };
        let work = self.scenario.traffic[class].mean_work * work_factor;
        let incarnation = instance.incarnation;
        let Some(target) = self.backends.get_mut(&backend) else {
            let event = FleetEvent::AttemptFinished {
                instance_index,
                incarnation,
                request,
                attempt,
                outcome: Outcome::ConnectFailed,
            };
            return self.schedule(self.now_ms + ROUND_TRIP_MS, event);
        };
        let mean_service_ms = self.scenario.mean_service_ms;
        target.received.push(ReceivedWork {
            received_at_ms: self.now_ms,
            amount: work + handshake,
            is_start_known: listed_start_ms == Some(target.endpoint.started_at_ms),
        });
        let warm_fraction =
            warm_up_fraction(&self.scenario.settings.guarantees, &target.endpoint, self.now_ms);
        let core = target.core_free_at_ms.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a core");
        let start_ms = core.max(self.now_ms);
        let (at_ms, outcome) = if start_ms - self.now_ms > 20.0 * mean_service_ms {
            (self.now_ms + ROUND_TRIP_MS, Outcome::Full)
        } else {
            *core = start_ms + (work + handshake) * mean_service_ms / warm_fraction;
            if *core + ROUND_TRIP_MS > expires_at_ms {
                (expires_at_ms, Outcome::Timeout)
            } else {
                (*core + ROUND_TRIP_MS, Outcome::Ok)
            }
        };
        self.schedule(
            at_ms,
            FleetEvent::AttemptFinished { instance_index, incarnation, request, attempt, outcome },
        );
    }

    fn finish_attempt(
        &mut self,
        instance_index: usize,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
    ) {
        let instance = &mut self.instances[instance_index];
        let Some(record) = instance.open_requests.get(&request) else { return };
        let (backend, sent_at_ms) = record.attempts[attempt];
        let is_request_closed = outcome == Outcome::Ok;
        if is_request_closed {
            instance.open_requests.remove(&request);
            instance.idle_since.entry(backend).or_default().push_back(self.now_ms);
            self.served += 1;
            if let Some(target) = self.backends.get_mut(&backend) {
                target.served += 1;
            }
        }
        let (attempt, latency_ms) = (attempt as AttemptNumber, self.now_ms - sent_at_ms);
        let result = AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            latency_ms,
            is_request_closed,
            is_body_consumed: false,
        };
        self.handle(instance_index, Event::AttemptFinished(result));
    }

    /// Returns the backend processes that started during the run, each with the time at which its slow start
    /// ended or the process stopped.
    fn slow_start_backends(&self) -> impl Iterator<Item = (&Backend, f64)> {
        let warm_up_ms = self.scenario.settings.guarantees.warm_up_ms;
        let stopped = self.stopped.iter().map(|(backend, end)| (backend, *end));
        let all = stopped.chain(self.backends.values().map(|backend| (backend, self.now_ms)));
        let restarted = all.filter(|(backend, _)| backend.endpoint.started_at_ms > 0.0);
        restarted.map(move |(backend, end)| (backend, end.min(backend.endpoint.started_at_ms + warm_up_ms)))
    }

    /// Returns the worst overload of a backend in slow start. For each window it is the work beyond the
    /// budget N, divided by 2 sqrt(N) + 2, the excess that random arrivals may cause; above 1 the backend is
    /// overloaded. As in the guarantee, only windows count in which more than two thirds of the work
    /// come from instances that know of the start.
    pub fn worst_overload(&self) -> f64 {
        let (guarantees, window_ms) = (&self.scenario.settings.guarantees, self.scenario.overload_window_ms);
        let capacity = self.scenario.cores_per_backend as f64 / self.scenario.mean_service_ms;
        let mut worst = -99.0_f64;
        for (backend, end) in self.slow_start_backends() {
            let (mut first, mut sum, mut known) = (0, 0.0, 0.0);
            let of_known = |w: &ReceivedWork| if w.is_start_known { w.amount } else { 0.0 };
            for work in backend.received.iter().take_while(|w| w.received_at_ms < end) {
                (sum, known) = (sum + work.amount, known + of_known(work));
                while backend.received[first].received_at_ms <= work.received_at_ms - window_ms {
                    (sum, known) =
                        (sum - backend.received[first].amount, known - of_known(&backend.received[first]));
                    first += 1;
                }
                if known * 3.0 <= sum * 2.0 {
                    continue;
                }
                let since = (work.received_at_ms - window_ms).max(backend.endpoint.started_at_ms);
                let budget = guarantees.overload_multiple
                    * capacity
                    * warm_up_fraction(guarantees, &backend.endpoint, since)
                    * window_ms;
                worst = worst.max((sum - budget) / (2.0 * budget.sqrt() + 2.0));
            }
        }
        worst
    }

    /// Returns how many backend records an instance holds beyond those of its endpoint list and of the
    /// attempts of its open requests.
    pub fn excess_backend_records(&self, instance_index: usize) -> usize {
        let instance = &self.instances[instance_index];
        let attempts: usize = instance.open_requests.values().map(|record| record.attempts.len()).sum();
        let known = instance.balancer.as_ref().map_or(0, Balancer::known_backend_count);
        known.saturating_sub(self.lists[instance.list_version].len() + attempts)
    }

    /// Returns the work that backends received in slow start as a share of their capacity: the mean, and the
    /// minimum. Only backends that ran for their whole slow start count.
    pub fn slow_start_utilization(&self) -> (f64, f64) {
        let guarantees = &self.scenario.settings.guarantees;
        let capacity = self.scenario.cores_per_backend as f64 / self.scenario.mean_service_ms;
        let (mut all, mut least) = ([0.0, 0.0], f64::MAX);
        for (backend, end) in self
            .slow_start_backends()
            .filter(|(backend, end)| *end >= backend.endpoint.started_at_ms + guarantees.warm_up_ms)
        {
            let work: f64 =
                backend.received.iter().take_while(|w| w.received_at_ms < end).map(|w| w.amount).sum();
            let possible =
                capacity * (guarantees.initial_capacity_fraction + 1.0) / 2.0 * guarantees.warm_up_ms;
            all = [all[0] + work, all[1] + possible];
            least = least.min(work / possible);
        }
        (all[0] / all[1], least)
    }
}

/// Returns the guaranteed capacity of a backend, as a share of its full capacity.
fn warm_up_fraction(guarantees: &Guarantees, endpoint: &EndpointInfo, now_ms: f64) -> f64 {
    if endpoint.started_at_ms == 0.0 {
        return 1.0;
    }
    let warmth = ((now_ms - endpoint.started_at_ms) / guarantees.warm_up_ms).clamp(0.0, 1.0);
    guarantees.initial_capacity_fraction + (1.0 - guarantees.initial_capacity_fraction) * warmth
}
