//! The only owner of the decision module: turns what happens on the sockets into its events, in order, and
//! carries out its actions. Keeps the ids, the clock, the timers and each request's life.

use crate::downstream::printed;
use crate::log::log;
use crate::process_group::Marks;
use crate::transport::Permit;
use crate::upstream::{Attempt, Call, Content, End, Pool, Target};
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::{
    Action, AttemptResult, BackendId, EndpointInfo, EndpointListKind, Event, Outcome, Phase, RequestArrival,
    RequestId, SettingsError, SettingsUpdate,
};
use foldhitch_balancer::settings_format::{ResolvedSettings, SiteSettings};
use foldhitch_discovery_client::{Follower, Health, Host};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::Write;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// The module's deadline lies so much before the caller's: a deadline counts from the caller's send, and the
/// answer has yet to reach it.
pub const MARGIN: Duration = Duration::from_millis(25);
/// A request still without an answer so long before the caller's deadline is failed whatever the module says.
const BACKSTOP: Duration = Duration::from_millis(10);

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A backend's answer.
    Served(Content),
    /// Its caller did not send a whole request.
    Broken(hyper::StatusCode),
    /// Turned away; a further try is harmless.
    Refused {
        /// How long the caller should stay away, where that is told.
        retry_after: Option<Duration>,
    },
    /// Failed; nothing is promised.
    Failed,
    /// No answer in time; nothing is promised.
    TimedOut,
}

/// A request as it came in, its names resolved.
pub struct Incoming {
    /// What is sent to backends.
    pub call: Call,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<String>,
    /// Whether its caller is still there.
    pub there: Permit,
    /// When its head had come.
    pub received: Instant,
    /// How long its caller waits.
    pub patience: Duration,
    /// How much longer that may be where its body passes through, since it counts from the last byte.
    pub allowance: Duration,
}

/// Milliseconds for the module on a monotonic clock. It starts at the Unix time of the process's start, so that
/// the starts of backends, which are told in Unix time, lie on it as they are.
struct Clock {
    start: Instant,
    base: f64,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), base: unix.as_secs_f64() * 1000.0 }
    }
    fn at(&self, t: Instant) -> f64 {
        self.base + t.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
    fn instant(&self, ms: f64) -> Instant {
        self.start + millis(ms - self.base)
    }
}

/// A duration; what is not a sensible number of milliseconds counts as none, and a day is the most.
pub fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { (ms / 1000.0).clamp(0.0, 86_400.0) } else { 0.0 })
}

/// What a request is owed. The way to the caller is spent by its one answer, and with it goes what keeps its attempts
/// wanted that have not been begun.
enum Life {
    Owed(oneshot::Sender<Answer>, Permit),
    Over,
}

struct Out {
    sent: Instant,
    cancel: Option<oneshot::Sender<()>>,
}

/// What an attempt is while it is out, and how it ended and after how long.
enum Stand {
    Out(Out),
    Ended(Outcome, Duration),
}

struct Open {
    call: Rc<Call>,
    /// The settings that it was taken under.
    facts: Rc<ResolvedSettings>,
    /// Place of its class in them.
    class: u16,
    received: Instant,
    life: Life,
    /// Attempts by number: where each went, and how it stands.
    attempts: Vec<(BackendId, Stand)>,
}

impl Open {
    /// Gives the answer if one is still owed.
    fn answer(&mut self, answer: Answer) {
        if let Life::Owed(caller, _) = std::mem::replace(&mut self.life, Life::Over) {
            // A caller that has just left takes no answer; its hang-up says so.
            let _ = caller.send(answer);
        }
    }
    fn owed(&self) -> bool {
        matches!(self.life, Life::Owed(..))
    }
    /// Whether it is owed an answer that nobody is there to take.
    fn deserted(&self) -> bool {
        matches!(&self.life, Life::Owed(_, there) if !there())
    }
    fn done(&self) -> bool {
        !self.owed() && self.attempts.iter().all(|(_, stand)| matches!(stand, Stand::Ended(..)))
    }
}

/// A backend that the list names, or that an open request was sent to.
struct Known {
    name: String,
    /// Whether the list names it.
    listed: bool,
    /// Whether the module leaves it out on the operators' word.
    suspended: bool,
    /// Its process by the list, while it takes work: address and start.
    process: Option<(SocketAddr, f64)>,
    /// The start of its process, while that drains by the list.
    draining: Option<f64>,
    /// What is sent to, once it was ready.
    target: Option<Rc<Target>>,
}

impl Known {
    /// Nothing new goes to a backend from now on.
    fn withdraw(&self, pool: &Pool) {
        if let Some(target) = self.target.as_ref().filter(|t| t.drained.get().is_none()) {
            target.drained.set(Some(Instant::now()));
            pool.close(target);
        }
    }

    /// Sends go to the process that the list names, unless the backend is left out. A new process knows nothing of
    /// the old one's connections: where its machine fell silent they look open still, and a request on one would
    /// end as a reset, which may have run.
    fn renew(&mut self, pool: &Pool) {
        let Some((dial, born_ms)) = self.process.filter(|_| !self.suspended) else { return };
        let same = |t: &Rc<Target>| t.dial == dial && t.born_ms == born_ms && t.drained.get().is_none();
        if !self.target.as_ref().is_some_and(same) {
            self.withdraw(pool);
            self.target = Some(Rc::new(pool.target(dial, born_ms)));
        }
    }
}

struct State {
    balancer: Balancer,
    ids: HashMap<String, BackendId>,
    backends: HashMap<BackendId, Known>,
    requests: HashMap<RequestId, Open>,
    next: RequestId,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// The proxy's middle. Everything runs on one thread, so that events have one order.
pub struct Engine {
    state: RefCell<State>,
    pool: Rc<Pool>,
    clock: Clock,
    /// The settings in force: they change in the same turn as the module's.
    facts: RefCell<Rc<ResolvedSettings>>,
    watching: watch::Sender<bool>,
    /// Whether clients are sent away.
    away: watch::Sender<bool>,
    /// How many processes act as this proxy; each keeps to its part of what the proxy may hold.
    processes: watch::Sender<u32>,
    /// From when on nothing is awaited any more; set by a planned stop.
    last: Cell<Option<Instant>>,
}

impl Engine {
    /// Starts the module. What it asks of discovery comes through `watching`.
    pub fn new(
        facts: ResolvedSettings,
        seed: u64,
        pool: Rc<Pool>,
        watching: watch::Sender<bool>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(facts.balancer.clone(), seed)?,
            ids: HashMap::new(),
            backends: HashMap::new(),
            requests: HashMap::new(),
            next: 1,
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        let (state, clock, last) = (RefCell::new(state), Clock::new(), Cell::new(None));
        let (away, processes) = (watch::Sender::new(false), watch::Sender::new(1));
        let facts = RefCell::new(Rc::new(facts));
        Ok(Rc::new(Engine { state, pool, clock, facts, watching, away, processes, last }))
    }

    /// The settings in force.
    pub fn facts(&self) -> Rc<ResolvedSettings> {
        self.facts.borrow().clone()
    }

    /// Their number.
    pub fn version(&self) -> u64 {
        self.state.borrow().balancer.version()
    }

    /// Puts other settings in force, here and in the module, and gives their number. An error says what is wrong;
    /// nothing has changed then. A class or tenant continues the one of its name.
    pub fn configure(
        self: &Rc<Self>,
        facts: ResolvedSettings,
        version: u64,
        rest: u64,
    ) -> Result<u64, SettingsError> {
        let s = &mut *self.state.borrow_mut();
        let old = self.facts();
        let classes = continued(&old.site.class_names, &facts.site.class_names);
        let tenants = continued(&old.site.tenant_names, &facts.site.tenant_names);
        let next = SettingsUpdate {
            version,
            settings: facts.balancer.clone(),
            continued_classes: classes,
            continued_tenants: tenants,
            content_hash: rest,
        };
        let mut actions = std::mem::take(&mut s.actions);
        let version = s.balancer.configure(self.clock.at(Instant::now()), next, &mut actions)?;
        self.facts.replace(Rc::new(facts));
        self.carry_out(s, actions);
        self.go_on(s);
        Ok(version)
    }

    /// The longest that something lasts by the settings in force and by those that requests in work were taken under.
    pub fn longest(&self, lasts: impl Fn(&SiteSettings) -> Duration) -> Duration {
        let s = self.state.borrow();
        let owed = s.requests.values().filter(|r| r.owed()).map(|r| lasts(&r.facts.site));
        owed.fold(lasts(&self.facts().site), Duration::max)
    }

    /// Whether clients are sent away, and news of it.
    pub fn away(&self) -> watch::Receiver<bool> {
        self.away.subscribe()
    }

    /// How many processes act as this proxy, and news of it.
    pub fn processes(&self) -> watch::Receiver<u32> {
        self.processes.subscribe()
    }

    /// Whether a backend of this name is listed or left out.
    pub fn knows(&self, name: &str) -> bool {
        let s = self.state.borrow();
        let known = s.ids.get(name).and_then(|id| s.backends.get(id));
        known.is_some_and(|k| k.listed || k.suspended)
    }

    /// Tells the module what the marks say: these backends left out and no others, clients sent away or not, and how
    /// many processes live.
    pub fn follow_marks(self: &Rc<Self>, marks: &Marks) {
        let mut events = Vec::new();
        {
            let s = &mut *self.state.borrow_mut();
            for name in &marks.suspended {
                let (backend, known) = s.known(name);
                if !known.suspended {
                    events.push(Event::SetSuspended { backend, is_suspended: true });
                }
            }
            let ended = s.backends.iter().filter(|(_, k)| k.suspended && !marks.suspended.contains(&k.name));
            events.extend(ended.map(|(&backend, _)| Event::SetSuspended { backend, is_suspended: false }));
        }
        if *self.away.borrow() != marks.drain {
            events.push(Event::SetDraining { is_draining: marks.drain });
        }
        let count = marks.others + 1;
        if self.processes.send_if_modified(|held| std::mem::replace(held, count) != count) {
            log!("processes of this proxy: {count}");
            events.push(Event::ProcessCount { count });
        }
        events.into_iter().for_each(|event| self.tell(event));
    }

    /// Whether requests can be decided: some backend takes work.
    pub fn ready(&self) -> bool {
        let takes = |k: &Known| k.target.as_ref().is_some_and(|t| t.drained.get().is_none());
        self.state.borrow().backends.values().any(takes)
    }

    /// How many requests are owed an answer.
    pub fn owed(&self) -> usize {
        self.state.borrow().requests.values().filter(|r| r.owed()).count()
    }

    /// Takes a request and waits for its one answer. Dropped before that, the caller has hung up.
    pub async fn decide(self: &Rc<Self>, incoming: Incoming) -> Answer {
        let patience = incoming.patience + incoming.allowance;
        let limit = self
            .last
            .get()
            .map_or(patience, |last| patience.min(last.saturating_duration_since(incoming.received)));
        let end = incoming.received + limit;
        let deadline = self.clock.at(incoming.received + limit.saturating_sub(MARGIN));
        let key = incoming.key.map_or(0, |k| hash(&k).max(1));
        let (caller, answer) = oneshot::channel();
        let upload = incoming.call.upload().cloned();
        let request = {
            let s = &mut *self.state.borrow_mut();
            let facts = self.facts();
            if s.requests.len() >= facts.site.max_open_requests {
                return Answer::Refused { retry_after: None };
            }
            let id = s.next;
            s.next += 1;
            let (call, class, received) = (Rc::new(incoming.call), incoming.class, incoming.received);
            let life = Life::Owed(caller, incoming.there);
            let open = Open { call, facts, class, received, life, attempts: Vec::new() };
            s.requests.insert(id, open);
            id
        };
        let _here = Here { engine: self.clone(), request };
        let (class, tenant, arriving) = (incoming.class, incoming.tenant, upload.is_some());
        self.tell(Event::RequestArrived(RequestArrival {
            request,
            key,
            class,
            tenant,
            deadline_ms: deadline,
            is_body_streamed: arriving,
        }));
        if let Some(upload) = upload {
            let engine = self.clone();
            tokio::task::spawn_local(async move {
                if let Some(at) = upload.ended().await {
                    let deadline = engine.clock.at(at + upload.patience);
                    engine.tell(Event::BodyReceived { request, deadline_ms: deadline });
                }
            });
        }
        tokio::select! {
            biased;
            // None comes to a caller that has gone; its connection, which is about to notice, ends this.
            Ok(answer) = answer => answer,
            // The module answers in time; this guards against a late loop and against its silence.
            () = sleep_until(end - BACKSTOP.min(limit)) => Answer::TimedOut,
        }
    }

    /// A list of backends, or changes to it. One `older` than what was told before takes backends out like any other,
    /// but brings none back that was told to drain: that may have been later.
    pub fn list(self: &Rc<Self>, kind: EndpointListKind, hosts: Vec<Host>, older: bool) {
        let entries = {
            let s = &mut *self.state.borrow_mut();
            if kind != EndpointListKind::Delta {
                s.backends.values_mut().for_each(|k| k.listed = false);
            }
            let entries = hosts.into_iter().filter_map(|h| self.entry(s, h, older)).collect();
            s.backends.values_mut().filter(|k| !k.listed).for_each(|k| {
                k.process = None;
                k.withdraw(&self.pool);
            });
            entries
        };
        self.tell(Event::EndpointList { kind, endpoints: entries });
        self.forget_gone();
    }

    /// Forgets the backends that no list names, once no open request was sent to them: the module has let go of
    /// such a backend too. Where backends are replaced by new ones all day, nothing may grow with their number.
    pub fn forget_gone(&self) {
        let s = &mut *self.state.borrow_mut();
        if s.backends.values().all(|k| k.listed || k.suspended) {
            return;
        }
        let attempts = s.requests.values().flat_map(|r| &r.attempts);
        let named: HashSet<BackendId> = attempts.map(|(backend, _)| *backend).collect();
        let ids = &mut s.ids;
        s.backends.retain(|id, k| {
            let stays = k.listed || k.suspended || named.contains(id);
            if !stays {
                ids.remove(&k.name);
            }
            stays
        });
    }

    /// A call to discovery failed.
    pub fn list_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: Vec::new() });
    }

    /// Answers what is still open by then, and takes nothing that would last longer.
    pub fn end_by(self: &Rc<Self>, last: Instant) {
        self.last.set(Some(last));
        let engine = self.clone();
        tokio::task::spawn_local(async move {
            sleep_until(last).await;
            let open: Vec<RequestId> = {
                let s = &mut *engine.state.borrow_mut();
                let open: Vec<RequestId> = s.requests.keys().copied().collect();
                for request in &open {
                    engine.log(s, *request, "out of time at a planned stop");
                }
                s.requests.values_mut().for_each(|r| r.answer(Answer::TimedOut));
                open
            };
            open.into_iter().for_each(|request| engine.tell(Event::ClientDisconnected { request }));
        });
    }

    fn entry(&self, s: &mut State, h: Host, older: bool) -> Option<EndpointInfo> {
        let (backend, known) = s.known(&h.host);
        known.listed = h.health != Health::Deleted;
        let Some(zone) = self.facts().site.zone_names.iter().position(|z| *z == h.site) else {
            if h.health == Health::Deleted {
                return Some(EndpointInfo { backend, phase: Phase::Gone, ..EndpointInfo::default() });
            }
            log!("discovery: {}: zone {:?} is unknown, passed over", h.host, h.site);
            return None;
        };
        let phase = match h.health {
            Health::Serving if older && known.draining == Some(h.born_ms) => Phase::Draining,
            Health::Serving => Phase::Ready,
            Health::Draining => Phase::Draining,
            Health::Deleted => Phase::Gone,
        };
        known.draining = (phase == Phase::Draining).then_some(h.born_ms);
        match (phase, h.dial) {
            (Phase::Ready, Some(dial)) => {
                known.process = Some((dial, h.born_ms));
                known.renew(&self.pool);
            }
            _ => {
                known.process = None;
                known.withdraw(&self.pool);
            }
        }
        let (zone, started_at_ms, weight, cell) =
            (zone as u16, h.born_ms.max(0.0), h.share.max(0.0), h.block);
        Some(EndpointInfo { backend, phase, zone, started_at_ms, weight, cell })
    }

    /// A line for a request that is about to end unserved, so that it can be followed by its id.
    fn log(&self, s: &State, request: RequestId, how: &str) {
        let Some(open) = s.requests.get(&request).filter(|r| r.owed()) else { return };
        let class = &open.facts.site.class_names[usize::from(open.class)];
        let (id, age) = (printed(&open.call.id), open.received.elapsed().as_millis());
        let mut line = format!("{id} {class} {how} after {age} ms");
        for (backend, stand) in &open.attempts {
            let name = s.backends.get(backend).map_or("?", |k| &k.name);
            let (what, took) = match stand {
                Stand::Out(out) => ("out".to_string(), out.sent.elapsed()),
                Stand::Ended(outcome, took) => (format!("{outcome:?}"), *took),
            };
            let _ = write!(line, ", {name} {what} {} ms", took.as_millis());
        }
        log!("{line}");
    }

    /// Tells the module of an event and carries out what it decides, and so on until all is quiet.
    fn tell(self: &Rc<Self>, event: Event) {
        let s = &mut *self.state.borrow_mut();
        s.events.push_back(event);
        self.go_on(s);
    }

    fn go_on(self: &Rc<Self>, s: &mut State) {
        while let Some(event) = s.events.pop_front() {
            let mut actions = std::mem::take(&mut s.actions);
            s.balancer.handle(self.clock.at(Instant::now()), event, &mut actions);
            self.carry_out(s, actions);
        }
    }

    fn carry_out(self: &Rc<Self>, s: &mut State, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            self.act(s, action);
        }
        s.actions = actions;
    }

    fn act(self: &Rc<Self>, s: &mut State, action: Action) {
        match action {
            Action::Send { request, backend, expires_at_ms } => self.send(s, request, backend, expires_at_ms),
            Action::Reject { request, retry_after_ms: retry_after } => {
                let retry_after = Some(millis(retry_after)).filter(|d| !d.is_zero());
                self.log(s, request, "refused");
                s.answer(request, Answer::Refused { retry_after });
            }
            Action::Fail { request } => {
                self.log(s, request, "failed");
                s.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => {
                let open = s.requests.get_mut(&request);
                let of = open.and_then(|r| r.attempts.get_mut(usize::from(attempt)));
                if let Some((_, Stand::Out(out))) = of
                    && let Some(cancel) = out.cancel.take()
                {
                    // One that has just ended needs no cancel.
                    let _ = cancel.send(());
                }
            }
            Action::SetTimer { delay_ms: delay, token } => {
                let engine = self.clone();
                tokio::task::spawn_local(async move {
                    sleep(millis(delay)).await;
                    engine.tell(Event::TimerFired { token });
                });
            }
            Action::CloseIdleConnections { backend } => {
                if let Some(target) = s.backends.get(&backend).and_then(|k| k.target.as_ref()) {
                    self.pool.close(target);
                }
            }
            Action::PollEndpoints => {
                self.watching.send_replace(true);
            }
            Action::SetSuspended { backend, is_suspended: on } => {
                let Some(known) = s.backends.get_mut(&backend) else { return };
                known.suspended = on;
                if on {
                    known.withdraw(&self.pool);
                } else {
                    known.renew(&self.pool);
                }
                log!("backend {} {}", known.name, if on { "suspended" } else { "resumed" });
            }
            Action::SetDraining { is_draining: on } => {
                self.away.send_replace(on);
                log!("clients are {}", if on { "sent away" } else { "taken again" });
            }
        }
    }

    fn send(self: &Rc<Self>, s: &mut State, request: RequestId, backend: BackendId, expires_at_ms: f64) {
        let Some(open) = s.requests.get_mut(&request) else { return };
        let number = open.attempts.len();
        let sent = Instant::now();
        let target = s.backends.get(&backend).and_then(|k| k.target.as_ref());
        let within = number < self.facts().balancer.capabilities.max_attempts as usize;
        let wanted = match &open.life {
            Life::Owed(_, there) if within => Some(Rc::downgrade(there)),
            _ => None,
        };
        let Some((target, wanted)) = target.zip(wanted) else {
            open.attempts.push((backend, Stand::Ended(Outcome::NotSent, Duration::ZERO)));
            s.events.push_back(resolved(request, number, backend, Outcome::NotSent, 0.0, open));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        open.attempts.push((backend, Stand::Out(Out { sent, cancel: Some(cancel) })));
        let (call, target, expires_at_ms) =
            (open.call.clone(), target.clone(), self.clock.instant(expires_at_ms));
        let attempt = Attempt { call, target, expires_at_ms, wanted, cancelled };
        let (engine, pool) = (self.clone(), self.pool.clone());
        tokio::task::spawn_local(async move {
            let end = attempt.run(pool).await;
            engine.ended(request, number, end);
        });
    }

    /// An attempt ended. The first served answer goes to the caller by itself.
    fn ended(self: &Rc<Self>, request: RequestId, number: usize, end: End) {
        let (left, event) = {
            let s = &mut *self.state.borrow_mut();
            let Some(open) = s.requests.get_mut(&request) else { return };
            let Some((backend, stand)) = open.attempts.get_mut(number) else { return };
            let (backend, Stand::Out(out)) = (*backend, &*stand) else { return };
            let (outcome, took) = (end.outcome(), out.sent.elapsed());
            *stand = Stand::Ended(outcome, took);
            match &end {
                End::Rejected => self.log(s, request, "turned down by a backend"),
                End::Broken(status) => self.log(s, request, &format!("broken off by its caller, {status}")),
                _ => {}
            }
            // What comes next is decided with this outcome, and perhaps at once: a further attempt.
            let left =
                matches!(end, End::Unserved(_)) && s.requests.get(&request).is_some_and(Open::deserted);
            if left {
                self.log(s, request, "left unanswered");
            }
            let Some(open) = s.requests.get_mut(&request) else { return };
            if left {
                open.life = Life::Over;
            }
            match end {
                End::Served(body) => open.answer(Answer::Served(body)),
                End::Broken(status) => open.answer(Answer::Broken(status)),
                End::Rejected => open.answer(Answer::Failed),
                End::Unserved(_) => {}
            }
            // What its caller took to write it is none of the backend's time.
            let begun = open.call.upload().and_then(|upload| upload.whole());
            let took = begun.map_or(took, |at| took.min(at.elapsed()));
            let wait = took.as_secs_f64() * 1000.0;
            let event = resolved(request, number, backend, outcome, wait, open);
            s.forget(request);
            (left, event)
        };
        if left {
            self.tell(Event::ClientDisconnected { request });
        }
        self.tell(event);
    }
}

impl Follower for Engine {
    fn ready(&self) -> bool {
        Engine::ready(self)
    }
    fn list(self: &Rc<Self>, kind: EndpointListKind, hosts: Vec<Host>, older: bool) {
        Engine::list(self, kind, hosts, older);
    }
    fn list_failed(self: &Rc<Self>) {
        Engine::list_failed(self);
    }
    fn note(&self, line: String) {
        log!("{line}");
    }
}

fn resolved(
    request: RequestId,
    number: usize,
    backend: BackendId,
    outcome: Outcome,
    wait: f64,
    open: &Open,
) -> Event {
    let (attempt, closed) = (number as u8, matches!(open.life, Life::Over));
    let spent = open.call.upload().is_some_and(|upload| upload.spent());
    Event::AttemptFinished(AttemptResult {
        request,
        attempt,
        backend,
        outcome,
        latency_ms: wait,
        is_request_closed: closed,
        is_body_consumed: spent,
    })
}

/// For each new name the place that it had before. Of two alike the first goes on.
fn continued(old: &[String], new: &[String]) -> Vec<Option<u16>> {
    let mut places: HashMap<&String, u16> = HashMap::new();
    for (place, name) in (0..).zip(old) {
        places.entry(name).or_insert(place);
    }
    new.iter().map(|name| places.remove(name)).collect()
}

fn hash(text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    text.hash(&mut hasher);
    hasher.finish()
}

impl State {
    /// A backend by its name, with the module's number for it. That is made from the name, since every copy orders
    /// the backends by it: the copies' subsets are to overlap evenly.
    fn known(&mut self, host: &str) -> (BackendId, &mut Known) {
        let id = self.ids.get(host).copied().unwrap_or_else(|| {
            let mut id = hash(host) as BackendId;
            while self.backends.contains_key(&id) {
                id = id.wrapping_add(1);
            }
            self.ids.insert(host.to_string(), id);
            id
        });
        let name = host.to_string();
        let new =
            || Known { name, listed: false, suspended: false, process: None, draining: None, target: None };
        (id, self.backends.entry(id).or_insert_with(new))
    }

    fn answer(&mut self, request: RequestId, answer: Answer) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.answer(answer);
        }
        self.forget(request);
    }

    fn forget(&mut self, request: RequestId) {
        if self.requests.get(&request).is_some_and(Open::done) {
            self.requests.remove(&request);
        }
    }
}

/// A caller that waits. When it is gone without an answer, the module is told.
struct Here {
    engine: Rc<Engine>,
    request: RequestId,
}

impl Drop for Here {
    fn drop(&mut self) {
        let left = {
            let s = &mut *self.engine.state.borrow_mut();
            self.engine.log(s, self.request, "left unanswered");
            let open = s.requests.get_mut(&self.request);
            let left = open.filter(|r| r.owed()).map(|r| r.life = Life::Over).is_some();
            s.forget(self.request);
            left
        };
        if left {
            self.engine.tell(Event::ClientDisconnected { request: self.request });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::transport::Payload;
    use crate::upstream::Limits;
    use tokio::task::LocalSet;

    fn facts() -> ResolvedSettings {
        let text = r#"{"slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
            "overShareWorth": 0.05, "discovery": "automatic", "tenants": [],
            "classes": [{"name": "look", "aim": 1000.0, "points": 1.0, "semantics": "retryable", "group": "all",
                         "window": 0.0}],
            "caps": {"cancelling": true, "retryAfter": false, "maxRetryAfter": 0.0, "tryLimit": 3, "openCap": 10},
            "guarantees": {"coldFrom": 0.1, "cold": 1000.0, "fallMultiple": 3.0}}"#;
        foldhitch_balancer::settings_format::parse(text.as_bytes()).expect("good settings")
    }

    fn host(name: &str, health: Health) -> Host {
        let dial = Some("127.0.0.1:9".parse().expect("an address"));
        let (host, site) = (name.to_string(), "a".to_string());
        Host { host, dial, site, block: 0, health, share: 1.0, born_ms: 0.0 }
    }

    fn call() -> Call {
        Call {
            method: hyper::Method::GET,
            uri: hyper::Uri::from_static("/look"),
            host: None,
            id: hyper::header::HeaderValue::from_static("1"),
            key: None,
            body: Payload::Whole(bytes::Bytes::new()),
        }
    }

    fn engine() -> Rc<Engine> {
        let limit = Duration::from_secs(1);
        let limits = Limits { connections: 4, connect: limit, idle: limit, drain_grace: limit };
        let (watching, _) = watch::channel(false);
        Engine::new(facts(), 1, Rc::new(Pool::new(limits)), watching).expect("good settings")
    }

    /// A stop waits for as long as what was taken may last by the settings that it was taken under.
    #[tokio::test]
    async fn what_was_taken_before_a_change_lasts_as_long_as_then() {
        let (engine, tasks) = (engine(), LocalSet::new());
        let aim = |engine: &Engine| engine.longest(|site| millis(site.longest_latency_objective_ms));
        let (long, short) = (Duration::from_secs(1), Duration::from_millis(200));
        let (caller, _answer) = oneshot::channel();
        let life = Life::Owed(caller, Rc::new(|| true));
        let (class, received, facts) = (0, Instant::now(), engine.facts());
        let open = Open { call: Rc::new(call()), facts, class, received, life, attempts: Vec::new() };
        engine.state.borrow_mut().requests.insert(7, open);
        let mut next = self::facts();
        (next.balancer.classes[0].latency_objective_ms, next.site.longest_latency_objective_ms) =
            (200.0, 200.0);
        let configured = async { engine.configure(next, 3, 1) };
        assert_eq!(tasks.run_until(configured).await, Ok(3));
        assert_eq!((engine.version(), aim(&engine)), (3, long));
        engine.state.borrow_mut().requests.clear();
        assert_eq!(aim(&engine), short);
    }

    #[test]
    fn a_class_goes_on_under_its_name_and_of_two_alike_the_first() {
        let names = |names: &[&str]| names.iter().map(|n| n.to_string()).collect::<Vec<_>>();
        let (old, new) = (names(&["a", "b", "b"]), names(&["b", "c", "b", "a"]));
        assert_eq!(continued(&old, &new), [Some(1), None, None, Some(0)]);
    }

    #[tokio::test]
    async fn backends_that_are_gone_are_forgotten() {
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let engine = engine();
                for n in 0..100 {
                    let (old, new) = (format!("s-{n}"), format!("s-{}", n + 1));
                    if n % 2 == 0 {
                        let hosts = vec![host(&old, Health::Deleted), host(&new, Health::Serving)];
                        engine.list(EndpointListKind::Delta, hosts, false);
                    } else {
                        engine.list(EndpointListKind::Full, vec![host(&new, Health::Serving)], false);
                    }
                    let s = engine.state.borrow();
                    assert_eq!((s.ids.len(), s.backends.len()), (1, 1), "after {n}");
                }
                // One that an open request was sent to stays known until the request is closed.
                let id = engine.state.borrow().ids["s-100"];
                let life = Life::Over;
                let ended = Stand::Ended(Outcome::Error, Duration::from_secs(1));
                let (class, received, attempts) = (0, Instant::now(), vec![(id, ended)]);
                let facts = engine.facts();
                let open = Open { call: Rc::new(call()), facts, class, received, life, attempts };
                engine.state.borrow_mut().requests.insert(7, open);
                engine.list(EndpointListKind::Full, vec![host("s-101", Health::Serving)], false);
                assert_eq!(engine.state.borrow().backends.len(), 2);
                engine.state.borrow_mut().requests.clear();
                engine.forget_gone();
                assert_eq!(engine.state.borrow().backends.len(), 1);
            })
            .await;
    }
}
