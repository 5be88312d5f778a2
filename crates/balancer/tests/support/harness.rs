//! A proxy's side of the interface: delivers legal events on a clock and keeps its own record of what was
//! sent and answered, by which the rules are checked. It models no servers: outcomes are what a test says.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

pub const ANSWER_MARGIN_MS: f64 = 20.0;

pub fn class(latency_objective_ms: f64, priority_weight: f64, idempotency: Idempotency) -> Class {
    Class { latency_objective_ms, priority_weight, idempotency, is_ordered_by_key: false }
}

pub fn settings(instance_count: u32, classes: Vec<Class>) -> Settings {
    Settings {
        instance_count,
        tick_ms: 5.0,
        over_quota_weight: 0.05,
        classes,
        capabilities: Capabilities {
            can_cancel: true,
            sends_retry_after: true,
            max_retry_after_ms: 2000.0,
            max_attempts: 6,
        },
        guarantees: Guarantees {
            initial_capacity_fraction: 0.12,
            warm_up_ms: 20_000.0,
            overload_multiple: 3.0,
            poll_within_ms: 10_000.0,
            idle_release_ms: 500.0,
            key_quarantine_ms: 300.0,
        },
        ..Settings::default()
    }
}

pub fn endpoint(backend: BackendId) -> EndpointInfo {
    EndpointInfo { backend, weight: 1.0, ..EndpointInfo::default() }
}

pub fn endpoints(n: u32) -> Vec<EndpointInfo> {
    (1..=n).map(endpoint).collect()
}

#[derive(Debug, Clone)]
pub struct Sent {
    pub backend: BackendId,
    pub at: f64,
    pub expires_at_ms: f64,
    pub outcome: Option<Outcome>,
    /// When the outcome came.
    pub over: f64,
}

#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub key: u64,
    pub class: usize,
    /// The class and the most attempts, as it was taken: settings that change later change neither.
    pub taken: (Class, u32),
    pub deadline_ms: f64,
    pub sends: Vec<Sent>,
    /// When it ended and how: served, refused, failed or hung up.
    pub ended: Option<(f64, &'static str)>,
}

pub struct ProxyHarness {
    pub balancer: Balancer,
    pub s: Settings,
    pub now: f64,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    pub listed: HashMap<BackendId, EndpointInfo>,
    pub polls: Vec<f64>,
    /// Backends that the operators left out.
    pub suspended: BTreeSet<BackendId>,
    /// Whether clients are sent away, each time that it changed.
    pub drains: Vec<bool>,
    /// When idle connections were last closed.
    pub closed: HashMap<BackendId, f64>,
    /// Attempts withdrawn and still without an outcome.
    cancelled: Vec<(RequestId, usize)>,
    timers: Vec<(f64, TimerToken)>,
    next: RequestId,
}

impl ProxyHarness {
    pub fn new(s: Settings, seed: u64, list: Vec<EndpointInfo>) -> Self {
        let balancer = Balancer::new(s.clone(), seed).expect("settings are sound");
        let mut p = ProxyHarness {
            balancer,
            s,
            now: 1000.0,
            requests: BTreeMap::new(),
            listed: HashMap::new(),
            polls: Vec::new(),
            suspended: BTreeSet::new(),
            drains: Vec::new(),
            closed: HashMap::new(),
            cancelled: Vec::new(),
            timers: Vec::new(),
            next: 1,
        };
        p.list(EndpointListKind::Cached, list);
        p
    }

    pub fn list(&mut self, kind: EndpointListKind, endpoints: Vec<EndpointInfo>) {
        if kind != EndpointListKind::Delta && kind != EndpointListKind::Failed {
            self.listed.values_mut().for_each(|e| e.phase = Phase::Removed);
        }
        for e in &endpoints {
            self.listed.insert(e.backend, e.clone());
        }
        let draining: Vec<_> = endpoints.iter().filter(|e| e.phase == Phase::Draining).cloned().collect();
        self.handle(Event::EndpointList { kind, endpoints });
        draining.iter().for_each(|e| self.check_release(e.backend));
    }

    /// Connections to a draining backend are closed at the notice and after each outcome there.
    fn check_release(&self, backend: BackendId) {
        if self.s.guarantees.idle_release_ms > 0.0 && self.listed[&backend].phase == Phase::Draining {
            assert_eq!(self.closed.get(&backend), Some(&self.now), "connections to {backend} are kept open");
        }
    }

    /// Nothing is sent for a key while an earlier request is open, has an attempt out or left a doubt.
    fn check_order(&self, request: RequestId) {
        let a = &self.requests[&request];
        let ordered = |a: &RequestRecord| a.taken.0.is_ordered_by_key;
        if a.key == 0 || !ordered(a) {
            return;
        }
        for (id, earlier) in self.requests.range(..request).filter(|(_, e)| e.key == a.key && ordered(e)) {
            assert!(earlier.ended.is_some(), "{request} sent before {id} is over");
            for s in &earlier.sends {
                let rest = match s.outcome.expect("every attempt has its outcome") {
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                        self.s.guarantees.key_quarantine_ms
                    }
                    _ => 0.0,
                };
                assert!(self.now >= s.over + rest, "{request} sent while {id} may still run");
            }
        }
    }

    /// Delivers an event and checks each action against the four rules.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, backend, expires_at_ms } => {
                    self.sent(request, backend, expires_at_ms)
                }
                Action::Reject { request, .. } => self.refused(request),
                Action::Fail { request, .. } => self.close(request, "failed"),
                Action::SetTimer { delay_ms, token } => {
                    assert!(delay_ms.is_finite() && delay_ms > 0.0, "timers lie ahead");
                    self.timers.push((self.now + delay_ms, token));
                }
                Action::CloseIdleConnections { backend } => {
                    self.closed.insert(backend, self.now);
                }
                Action::PollEndpoints => {
                    self.polls.push(self.now);
                }
                Action::SetSuspended { backend, is_suspended } => {
                    let changed = if is_suspended {
                        self.suspended.insert(backend)
                    } else {
                        self.suspended.remove(&backend)
                    };
                    assert!(changed, "carried out twice");
                }
                Action::SetDraining { is_draining } => self.drains.push(is_draining),
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(self.s.capabilities.can_cancel, "cancelled where that is not allowed");
                    assert!(
                        self.requests[&request].sends.len() > usize::from(attempt),
                        "cancelled what was never sent"
                    );
                }
            }
        }
    }

    fn sent(&mut self, request: RequestId, backend: BackendId, expires_at_ms: f64) {
        self.check_order(request);
        let e = self.listed.get(&backend).expect("sent to a backend that no list named");
        assert_eq!(e.phase, Phase::Ready, "sent to a draining or gone backend");
        assert!(!self.suspended.contains(&backend), "sent to a suspended backend");
        let (zone, cell) = (e.zone, e.cell);
        let a = self.requests.get_mut(&request).expect("sent a request that was never asked");
        assert!(a.ended.is_none(), "sent after its end");
        assert!(expires_at_ms <= a.deadline_ms);
        assert!(
            a.sends.len() < a.taken.1.min(self.s.capabilities.max_attempts) as usize,
            "too many attempts"
        );
        let out = a.sends.iter().filter(|s| s.outcome.is_none()).count();
        assert_eq!(out, 0, "two attempts out at once");
        if let Some(ran) = a.sends.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran())) {
            let group = self.listed.get(&ran.backend).map(|e| (e.zone, e.cell));
            match a.taken.0.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => panic!("a fragile request that may have run was sent again"),
                Idempotency::Deduplicated { scope: g, window_ms: window } => {
                    assert!(self.now < ran.at + window, "repeated after the window");
                    let (z, c) = group.expect("listed");
                    assert!(g != DeduplicationScope::Zone || z == zone, "repeated in another zone");
                    assert!(g != DeduplicationScope::Cell || c == cell, "repeated in another cell");
                }
            }
        }
        a.sends.push(Sent { backend, at: self.now, expires_at_ms, outcome: None, over: 0.0 });
    }

    fn refused(&mut self, request: RequestId) {
        let a = &self.requests[&request];
        let idempotency = a.taken.0.idempotency;
        let unrun = a.sends.iter().all(|s| s.outcome.is_some_and(Outcome::never_ran));
        let all = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::Deduplicated { scope: DeduplicationScope::AllBackends, .. }
        );
        assert!(unrun || all, "refused what may have run");
        self.close(request, "refused");
    }

    pub fn close(&mut self, request: RequestId, how: &'static str) {
        let a = self.requests.get_mut(&request).expect("ended a request that was never asked");
        assert!(a.ended.is_none(), "answered twice");
        assert!(
            self.now <= a.deadline_ms + ANSWER_MARGIN_MS,
            "answered {} ms late",
            self.now - a.deadline_ms
        );
        a.ended = Some((self.now, how));
    }

    /// A new request; its id.
    pub fn send_request(&mut self, class: usize, tenant: u16, left: f64) -> RequestId {
        self.send_keyed_request(0, class, tenant, left)
    }

    /// A new request about a key; its id.
    pub fn send_keyed_request(&mut self, key: u64, class: usize, tenant: u16, left: f64) -> RequestId {
        let (request, deadline_ms) = self.take(key, class, left);
        self.handle(Event::RequestArrived(RequestArrival {
            request,
            key,
            class: class as u16,
            tenant,
            deadline_ms,
            is_body_streamed: false,
        }));
        request
    }

    fn take(&mut self, key: u64, class: usize, left: f64) -> (RequestId, f64) {
        let (request, deadline_ms) = (self.next, self.now + left);
        let taken =
            (self.s.classes.get(class).cloned().unwrap_or_default(), self.s.capabilities.max_attempts);
        self.next += 1;
        self.requests.insert(
            request,
            RequestRecord { key, class, taken, deadline_ms, sends: Vec::new(), ended: None },
        );
        (request, deadline_ms)
    }

    /// Puts other settings in force, whose classes and tenants continue those told.
    pub fn configure(
        &mut self,
        settings: Settings,
        classes: Vec<Option<u16>>,
        tenants: Vec<Option<u16>>,
    ) -> Result<u64, SettingsError> {
        let mut actions = Vec::new();
        let next = SettingsUpdate {
            version: 0,
            settings: settings.clone(),
            continued_classes: classes,
            continued_tenants: tenants,
            content_hash: 0,
        };
        let number = self.balancer.configure(self.now, next, &mut actions)?;
        self.s = settings;
        self.carry_out(actions);
        Ok(number)
    }

    /// A new request whose body is still arriving; its id.
    pub fn send_streamed_request(&mut self, class: usize, left: f64) -> RequestId {
        let (request, deadline_ms) = self.take(0, class, left);
        let arrival = RequestArrival {
            request,
            key: 0,
            class: class as u16,
            tenant: 0,
            deadline_ms,
            is_body_streamed: true,
        };
        self.handle(Event::RequestArrived(arrival));
        request
    }

    /// Ends an attempt.
    pub fn finish_attempt(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        self.finish_attempt_as(request, attempt, outcome, false);
    }

    /// Ends an attempt that took the request's body along.
    pub fn finish_consumed_attempt(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        self.finish_attempt_as(request, attempt, outcome, true);
    }

    fn finish_attempt_as(
        &mut self,
        request: RequestId,
        attempt: usize,
        outcome: Outcome,
        is_body_consumed: bool,
    ) {
        let a = self.requests.get_mut(&request).expect("asked");
        let s = &mut a.sends[attempt];
        assert!(s.outcome.is_none());
        (s.outcome, s.over) = (Some(outcome), self.now);
        let (backend, latency_ms) = (s.backend, self.now - s.at);
        if outcome == Outcome::Ok && a.ended.is_none() {
            self.close(request, "served");
        }
        let is_request_closed = self.requests[&request].ended.is_some();
        let attempt = attempt as AttemptNumber;
        self.handle(Event::AttemptFinished(AttemptResult {
            request,
            attempt,
            backend,
            outcome,
            latency_ms,
            is_request_closed,
            is_body_consumed,
        }));
        self.check_release(backend);
    }

    pub fn disconnect(&mut self, request: RequestId) {
        self.close(request, "hung up");
        self.handle(Event::ClientDisconnected { request });
    }

    /// Attempts that are out, oldest request first.
    pub fn out(&self) -> Vec<(RequestId, usize, Sent)> {
        let sends = |(&id, a): (&RequestId, &RequestRecord)| {
            let of = a.sends.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
            of.map(|(n, s)| (id, n, s.clone())).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(sends).collect()
    }

    /// Moves the clock, firing timers and attempts' time-outs on the way.
    pub fn advance(&mut self, to: f64) {
        while self.now < to {
            self.now = (self.now + self.s.tick_ms).min(to);
            let now = self.now;
            let due: Vec<TimerToken> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|token| self.handle(Event::TimerFired { token }));
            let late: Vec<_> = self.out().into_iter().filter(|(_, _, s)| s.expires_at_ms <= now).collect();
            late.into_iter().for_each(|(id, n, _)| self.finish_attempt(id, n, Outcome::Timeout));
            for (id, n) in std::mem::take(&mut self.cancelled) {
                if self.requests.get(&id).is_some_and(|a| a.sends[n].outcome.is_none()) {
                    self.finish_attempt(id, n, Outcome::Cancelled);
                }
            }
        }
    }

    /// Drops the record of what is over, so that long tests stay quick.
    pub fn forget(&mut self) {
        self.requests.retain(|_, a| a.ended.is_none() || a.sends.iter().any(|s| s.outcome.is_none()));
    }

    /// Serves steadily: `per_tick` requests of a class each tick, every answer after `wait`; how many were refused.
    pub fn serve(&mut self, ms: f64, per_tick: usize, class: usize, wait: f64) -> usize {
        let (end, mut refused) = (self.now + ms, 0);
        while self.now < end {
            for _ in 0..per_tick {
                self.send_request(class, 0, 1e5);
            }
            self.advance(self.now + self.s.tick_ms);
            for (id, n, s) in self.out() {
                if self.now - s.at >= wait {
                    self.finish_attempt(id, n, Outcome::Ok);
                }
            }
            refused += self.requests.values().filter(|a| a.ended.is_some_and(|e| e.1 == "refused")).count();
            self.forget();
        }
        refused
    }
}
