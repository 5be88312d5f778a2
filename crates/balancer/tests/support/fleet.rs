//! A fleet on virtual time: many instances of the balancer, the backends that they send to, one queue of events.
//! The same plan and seed give the same run. Every send is checked against what its instance was told.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};

/// A connection rests so long before its backend closes it.
const IDLE_MS: f64 = 5000.0;
/// Work of a new connection's handshake.
pub const HANDSHAKE: f64 = 0.1;
/// Time on the way, there and back.
const TRIP_MS: f64 = 1.0;

/// What of a class the fleet has to know beside the settings.
#[derive(Clone)]
pub struct Mix {
    pub share: f64,
    /// Mean work of the class.
    pub work: f64,
}

#[derive(Clone)]
pub struct Plan {
    pub settings: Settings,
    pub mix: Vec<Mix>,
    /// Cores of each backend.
    pub cores: usize,
    /// Time that a mean request takes a warm core; work is counted in means.
    pub mean: f64,
    /// What is asked, as a share of what all backends serve warm.
    pub load: f64,
    /// Traffic of an instance beside the others'; instances past the end of the list are like its last.
    pub uneven: Vec<f64>,
    /// Lists reach each instance up to so much later.
    pub notice: f64,
    /// Backends that are warm from the beginning; `load` is of these.
    pub warm: u32,
    /// The time within which too much work makes a backend that is warming up fall.
    pub fall: f64,
    /// Every request is of its class's mean work; else their work is exponential.
    pub even: bool,
    pub change: Vec<(f64, Change)>,
    pub end: f64,
}

#[derive(Clone, Debug)]
pub enum Change {
    /// So many times the load, from now on.
    Load(f64),
    /// Instances are killed and come again with nothing but the list, spread over so many ms.
    RestartCopies(f64),
    /// The backend's process is replaced by a cold one of the same name.
    RestartBackend(BackendId),
    /// The first is notified to drain, ends after the grace, and the second is new.
    Replace(BackendId, BackendId),
    /// A new backend.
    Add(BackendId),
    /// So many processes act as each instance (the traffic is what this one gets).
    Processes(u32),
    /// Instances whose number has this remainder by 5 ask so many times as much.
    Shift(u32, f64),
}

#[derive(Debug)]
enum Due {
    Change(usize),
    Drained(BackendId),
    Told { instance_index: usize, life: u32, version: usize },
    Start(usize),
    Wake { instance_index: usize, life: u32, token: TimerToken },
    Ask { instance_index: usize, life: u32 },
    Answer { instance_index: usize, life: u32, request: RequestId, attempt: usize, outcome: Outcome },
}

struct Queued {
    at: f64,
    seq: u64,
    due: Due,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        self.seq == other.seq
    }
}
impl Eq for Queued {}
impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.seq.cmp(&other.seq))
    }
}

pub struct Instance {
    pub balancer: Option<Balancer>,
    pub life: u32,
    /// The newest list that it was told.
    pub version: usize,
    /// When it was told that a backend takes nothing more.
    left: BTreeMap<BackendId, f64>,
    idle: HashMap<BackendId, VecDeque<f64>>,
    open: HashMap<RequestId, RequestRecord>,
    next: RequestId,
}

struct RequestRecord {
    class: usize,
    deadline_ms: f64,
    sends: Vec<(BackendId, f64)>,
}

#[derive(Clone, Copy)]
pub struct Work {
    pub at: f64,
    /// In requests of mean work.
    pub amount: f64,
    /// Whether its instance had been told of the start.
    pub told: bool,
}

pub struct Server {
    pub endpoint: EndpointInfo,
    /// When each core is free again.
    cores: Vec<f64>,
    /// What was sent to it since its start.
    pub work: Vec<Work>,
    pub served: usize,
}

pub struct Fleet {
    pub plan: Plan,
    pub now: f64,
    pub instance_count: Vec<Instance>,
    pub servers: BTreeMap<BackendId, Server>,
    /// Earlier processes of backends, with the time of their end.
    pub ended: Vec<(Server, f64)>,
    /// All lists so far; instances are told the newest.
    pub lists: Vec<Vec<EndpointInfo>>,
    pub answered: usize,
    pub refused: usize,
    queue: BinaryHeap<Reverse<Queued>>,
    seq: u64,
    rng: fastrand::Rng,
    load: f64,
    shift: [f64; 5],
    processes: u32,
}

impl Fleet {
    pub fn run(plan: Plan, seed: u64) -> Fleet {
        let mut f = Fleet::new(plan, seed);
        while let Some(Reverse(q)) = f.queue.pop().filter(|Reverse(q)| q.at <= f.plan.end) {
            f.now = q.at;
            f.happens(q.due);
        }
        f
    }

    fn new(plan: Plan, seed: u64) -> Fleet {
        let instance_count = plan.settings.instance_count as usize;
        let instance_index = |_| Instance {
            balancer: None,
            life: 0,
            version: 0,
            left: BTreeMap::new(),
            idle: HashMap::new(),
            open: HashMap::new(),
            next: 1,
        };
        let mut f = Fleet {
            now: 1.0,
            instance_count: (0..instance_count).map(instance_index).collect(),
            servers: BTreeMap::new(),
            ended: Vec::new(),
            lists: Vec::new(),
            answered: 0,
            refused: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            load: plan.load,
            shift: [1.0; 5],
            processes: 1,
            plan,
        };
        (1..=f.plan.warm).for_each(|id| f.start_server(id, 0.0));
        f.publish();
        (0..instance_count).for_each(|c| f.at(1.0, Due::Start(c)));
        (0..f.plan.change.len()).for_each(|n| f.at(f.plan.change[n].0, Due::Change(n)));
        f
    }

    fn at(&mut self, at: f64, due: Due) {
        self.seq += 1;
        self.queue.push(Reverse(Queued { at, seq: self.seq, due }));
    }

    fn start_server(&mut self, id: BackendId, started_at_ms: f64) {
        let endpoint = EndpointInfo { backend: id, started_at_ms, weight: 1.0, ..EndpointInfo::default() };
        let server = Server { endpoint, cores: vec![0.0; self.plan.cores], work: Vec::new(), served: 0 };
        if let Some(old) = self.servers.insert(id, server) {
            self.ended.push((old, self.now));
        }
    }

    /// The list has changed: each instance hears of it within the notice.
    fn publish(&mut self) {
        self.lists.push(self.servers.values().map(|s| s.endpoint.clone()).collect());
        let version = self.lists.len() - 1;
        for instance_index in 0..self.instance_count.len() {
            let (life, at) =
                (self.instance_count[instance_index].life, self.now + self.rng.f64() * self.plan.notice);
            if self.instance_count[instance_index].balancer.is_some() {
                self.at(at, Due::Told { instance_index, life, version });
            }
        }
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Change(n) => self.change(self.plan.change[n].1.clone()),
            Due::Drained(id) => {
                if let Some(old) = self.servers.remove(&id) {
                    self.ended.push((old, self.now));
                }
                self.publish();
            }
            Due::Start(instance_index) => self.start_instance(instance_index),
            Due::Told { instance_index, life, version } => {
                // Lists that come out of turn are not given on: what is newer has been told.
                let c = &self.instance_count[instance_index];
                if c.life == life && c.version < version {
                    self.list(instance_index, version, EndpointListKind::Full);
                }
            }
            Due::Wake { instance_index, life, token } => {
                if self.instance_count[instance_index].life == life {
                    self.handle(instance_index, Event::TimerFired { token });
                }
            }
            Due::Ask { instance_index, life } => {
                if self.instance_count[instance_index].life == life {
                    self.send_request(instance_index);
                    self.schedule_request(instance_index);
                }
            }
            Due::Answer { instance_index, life, request, attempt, outcome } => {
                if self.instance_count[instance_index].life == life {
                    self.answer(instance_index, request, attempt, outcome);
                }
            }
        }
    }

    fn change(&mut self, change: Change) {
        match change {
            Change::Load(load) => self.load = load,
            Change::Shift(rest, times) => self.shift[rest as usize] = times,
            Change::RestartCopies(spread) => {
                for instance_index in 0..self.instance_count.len() {
                    self.instance_count[instance_index].life += 1;
                    self.instance_count[instance_index].balancer = None;
                    let at = self.now + self.rng.f64() * spread;
                    self.at(at, Due::Start(instance_index));
                }
            }
            Change::RestartBackend(id) => {
                self.start_server(id, self.now);
                self.publish();
            }
            Change::Add(id) => {
                self.start_server(id, self.now);
                self.publish();
            }
            Change::Replace(old, new) => {
                self.servers.get_mut(&old).expect("it runs").endpoint.phase = Phase::Draining;
                self.start_server(new, self.now);
                self.publish();
                self.at(self.now + 2000.0, Due::Drained(old));
            }
            Change::Processes(count) => {
                self.processes = count;
                (0..self.instance_count.len()).for_each(|c| self.handle(c, Event::ProcessCount { count }));
            }
        }
    }

    fn start_instance(&mut self, instance_index: usize) {
        let s = Settings { instance_index: instance_index as u32, ..self.plan.settings.clone() };
        let seed = self.rng.u64(..);
        let c = &mut self.instance_count[instance_index];
        c.balancer = Some(Balancer::new(s, seed).expect("settings are sound"));
        (c.idle, c.open, c.left) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        self.list(instance_index, self.lists.len() - 1, EndpointListKind::Cached);
        if self.processes > 1 {
            self.handle(instance_index, Event::ProcessCount { count: self.processes });
        }
        self.schedule_request(instance_index);
    }

    /// Every other list comes as its changes to the one before, where the instance has that.
    fn list(&mut self, instance_index: usize, version: usize, kind: EndpointListKind) {
        let endpoints = self.lists[version].clone();
        let delta = kind == EndpointListKind::Full
            && version.is_multiple_of(2)
            && self.instance_count[instance_index].version + 1 == version;
        let event = if delta {
            let old = &self.lists[version - 1];
            let gone = old.iter().filter(|o| endpoints.iter().all(|n| n.backend != o.backend));
            let gone = gone.map(|o| EndpointInfo { phase: Phase::Removed, ..o.clone() });
            let changed = endpoints.iter().filter(|n| !old.contains(n)).cloned();
            Event::EndpointList { kind: EndpointListKind::Delta, endpoints: changed.chain(gone).collect() }
        } else {
            Event::EndpointList { kind, endpoints: endpoints.clone() }
        };
        let c = &mut self.instance_count[instance_index];
        let before = std::mem::replace(&mut c.version, version);
        for e in &endpoints {
            if e.phase == Phase::Ready {
                c.left.remove(&e.backend);
            } else {
                c.left.entry(e.backend).or_insert(self.now);
            }
        }
        for e in &self.lists[before] {
            if endpoints.iter().all(|n| n.backend != e.backend) {
                c.left.entry(e.backend).or_insert(self.now);
            }
        }
        self.handle(instance_index, event);
    }

    /// Requests a millisecond that an instance is asked.
    fn rate(&self, instance_index: usize) -> f64 {
        let uneven = |c: usize| *self.plan.uneven.get(c).or(self.plan.uneven.last()).unwrap_or(&1.0);
        let all: f64 = (0..self.instance_count.len()).map(uneven).sum();
        let capacity = f64::from(self.plan.warm.max(1)) * self.plan.cores as f64 / self.plan.mean;
        self.load * capacity * uneven(instance_index) / all * self.shift[instance_index % 5]
    }

    fn schedule_request(&mut self, instance_index: usize) {
        let wait = -(1.0 - self.rng.f64()).ln() / self.rate(instance_index).max(1e-9);
        let life = self.instance_count[instance_index].life;
        self.at(self.now + wait, Due::Ask { instance_index, life });
    }

    fn send_request(&mut self, instance_index: usize) {
        let mut draw = self.rng.f64() * self.plan.mix.iter().map(|m| m.share).sum::<f64>();
        let of = |m: &Mix| {
            draw -= m.share;
            draw < 0.0
        };
        let class = self.plan.mix.iter().position(of).unwrap_or(0);
        let deadline_ms = self.now + 2.5 * self.plan.settings.classes[class].latency_objective_ms;
        let c = &mut self.instance_count[instance_index];
        let request = c.next;
        c.next += 1;
        c.open.insert(request, RequestRecord { class, deadline_ms, sends: Vec::new() });
        let class = class as u16;
        let arrival =
            RequestArrival { request, key: 0, class, tenant: 0, deadline_ms, is_body_streamed: false };
        self.handle(instance_index, Event::RequestArrived(arrival));
    }

    fn handle(&mut self, instance_index: usize, event: Event) {
        let mut actions = Vec::new();
        let c = &mut self.instance_count[instance_index];
        let (life, Some(balancer)) = (c.life, c.balancer.as_mut()) else { return };
        balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, backend, expires_at_ms } => {
                    self.send(instance_index, request, backend, expires_at_ms)
                }
                Action::Reject { request, .. } | Action::Fail { request, .. } => {
                    self.refused += 1;
                    self.instance_count[instance_index].open.remove(&request);
                }
                Action::SetTimer { delay_ms, token } => {
                    self.at(self.now + delay_ms, Due::Wake { instance_index, life, token });
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, instance_index: usize, request: RequestId, backend: BackendId, expires_at_ms: f64) {
        let c = &mut self.instance_count[instance_index];
        let listed = self.lists[c.version].iter().find(|e| e.backend == backend).map(|e| e.started_at_ms);
        let told = c.left.get(&backend);
        assert!(
            listed.is_some() && told.is_none(),
            "copy {instance_index} sent to {backend}, told at {told:?} that it takes nothing"
        );
        let a = c.open.get_mut(&request).expect("it is open");
        let (attempt, class) = (a.sends.len(), a.class);
        a.sends.push((backend, self.now));
        let idle = c.idle.entry(backend).or_default();
        idle.retain(|since| self.now - since < IDLE_MS);
        let handshake = if idle.pop_back().is_some() { 0.0 } else { HANDSHAKE };
        let chance = if self.plan.even { 1.0 } else { -(1.0 - self.rng.f64()).ln() };
        let work = self.plan.mix[class].work * chance;
        let life = c.life;
        let Some(s) = self.servers.get_mut(&backend) else {
            let due = Due::Answer { instance_index, life, request, attempt, outcome: Outcome::ConnectFailed };
            return self.at(self.now + TRIP_MS, due);
        };
        let mean = self.plan.mean;
        s.work.push(Work {
            at: self.now,
            amount: work + handshake,
            told: listed == Some(s.endpoint.started_at_ms),
        });
        let warm = warm_up_fraction(&self.plan.settings.guarantees, &s.endpoint, self.now);
        let core = s.cores.iter_mut().min_by(|a, b| a.total_cmp(b)).expect("a core");
        let begin = core.max(self.now);
        let (at, outcome) = if begin - self.now > 20.0 * mean {
            (self.now + TRIP_MS, Outcome::Full)
        } else {
            *core = begin + (work + handshake) * mean / warm;
            if *core + TRIP_MS > expires_at_ms {
                (expires_at_ms, Outcome::Timeout)
            } else {
                (*core + TRIP_MS, Outcome::Ok)
            }
        };
        self.at(at, Due::Answer { instance_index, life, request, attempt, outcome });
    }

    fn answer(&mut self, instance_index: usize, request: RequestId, attempt: usize, outcome: Outcome) {
        let c = &mut self.instance_count[instance_index];
        let Some(a) = c.open.get(&request) else { return };
        let (backend, sent) = a.sends[attempt];
        let closed = outcome == Outcome::Ok;
        if closed {
            c.open.remove(&request);
            c.idle.entry(backend).or_default().push_back(self.now);
            self.answered += 1;
            if let Some(s) = self.servers.get_mut(&backend) {
                s.served += 1;
            }
        }
        let (attempt, latency_ms) = (attempt as AttemptNumber, self.now - sent);
        let resolved = AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            latency_ms,
            is_request_closed: closed,
            is_body_consumed: false,
        };
        self.handle(instance_index, Event::AttemptFinished(resolved));
    }

    /// Backends that started cold, with the end of their cold time.
    fn cold(&self) -> impl Iterator<Item = (&Server, f64)> {
        let cold = self.plan.settings.guarantees.warm_up_ms;
        let ended = self.ended.iter().map(|(s, end)| (s, *end));
        let all = ended.chain(self.servers.values().map(|s| (s, self.now)));
        let of = all.filter(|(s, _)| s.endpoint.started_at_ms > 0.0);
        of.map(move |(s, end)| (s, end.min(s.endpoint.started_at_ms + cold)))
    }

    /// The worst window at a backend that is warming up: work beyond its budget of N, over the 2 sqrt(N) + 2 that are
    /// chance; above 1 it falls. As in the rule, windows count of which over two thirds come from instances that
    /// were told of the start.
    pub fn worst(&self) -> f64 {
        let (guarantees, window) = (&self.plan.settings.guarantees, self.plan.fall);
        let full = self.plan.cores as f64 / self.plan.mean;
        let mut worst = -99.0_f64;
        for (s, end) in self.cold() {
            let (mut first, mut sum, mut told) = (0, 0.0, 0.0);
            let of_told = |w: &Work| if w.told { w.amount } else { 0.0 };
            for work in s.work.iter().take_while(|w| w.at < end) {
                (sum, told) = (sum + work.amount, told + of_told(work));
                while s.work[first].at <= work.at - window {
                    (sum, told) = (sum - s.work[first].amount, told - of_told(&s.work[first]));
                    first += 1;
                }
                if told * 3.0 <= sum * 2.0 {
                    continue;
                }
                let since = (work.at - window).max(s.endpoint.started_at_ms);
                let n = guarantees.overload_multiple
                    * full
                    * warm_up_fraction(guarantees, &s.endpoint, since)
                    * window;
                worst = worst.max((sum - n) / (2.0 * n.sqrt() + 2.0));
            }
        }
        worst
    }

    /// Records that an instance holds of backends, beyond those of its list and of its open requests' attempts.
    pub fn records_beyond_need(&self, instance_index: usize) -> usize {
        let c = &self.instance_count[instance_index];
        let attempts: usize = c.open.values().map(|a| a.sends.len()).sum();
        let known = c.balancer.as_ref().map_or(0, Balancer::known_backend_count);
        known.saturating_sub(self.lists[c.version].len() + attempts)
    }

    /// Work that backends that are warming up got, as a share of what they could have done: the mean, and the least at one
    /// that was there for its whole cold time.
    pub fn used(&self) -> (f64, f64) {
        let guarantees = &self.plan.settings.guarantees;
        let full = self.plan.cores as f64 / self.plan.mean;
        let (mut all, mut least) = ([0.0, 0.0], f64::MAX);
        for (s, end) in
            self.cold().filter(|(s, end)| *end >= s.endpoint.started_at_ms + guarantees.warm_up_ms)
        {
            let work: f64 = s.work.iter().take_while(|w| w.at < end).map(|w| w.amount).sum();
            let able = full * (guarantees.initial_capacity_fraction + 1.0) / 2.0 * guarantees.warm_up_ms;
            all = [all[0] + work, all[1] + able];
            least = least.min(work / able);
        }
        (all[0] / all[1], least)
    }
}

/// Capacity that a backend surely has, as a share of its full one.
fn warm_up_fraction(guarantees: &Guarantees, endpoint: &EndpointInfo, now: f64) -> f64 {
    if endpoint.started_at_ms == 0.0 {
        return 1.0;
    }
    let grown = ((now - endpoint.started_at_ms) / guarantees.warm_up_ms).clamp(0.0, 1.0);
    guarantees.initial_capacity_fraction + (1.0 - guarantees.initial_capacity_fraction) * grown
}
