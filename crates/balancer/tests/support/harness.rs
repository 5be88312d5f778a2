//! Plays the proxy of a balancer: delivers valid events on a simulated clock and checks each action against
//! its own record of requests and attempts. It simulates no backends; the test decides the outcome of each
//! attempt.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// How long after its deadline a request may still get its final answer.
pub const FINAL_ANSWER_TOLERANCE_MS: f64 = 20.0;

/// Returns a class without an ordering key.
pub fn class(latency_objective_ms: f64, priority_weight: f64, idempotency: Idempotency) -> Class {
    Class { latency_objective_ms, priority_weight, idempotency, is_ordered_by_key: false }
}

/// Returns the settings of one of `instance_count` instances, the same for all tests but for the classes.
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

/// Returns a ready endpoint whose process started long ago.
pub fn endpoint(backend: BackendId) -> EndpointInfo {
    EndpointInfo { backend, weight: 1.0, ..EndpointInfo::default() }
}

/// Returns `n` ready endpoints, with backend numbers from 1.
pub fn endpoints(n: u32) -> Vec<EndpointInfo> {
    (1..=n).map(endpoint).collect()
}

/// An attempt that the balancer sent.
#[derive(Debug, Clone)]
pub struct SentAttempt {
    pub backend: BackendId,
    pub sent_at_ms: f64,
    pub expires_at_ms: f64,
    pub outcome: Option<Outcome>,
    /// When the outcome was reported.
    pub finished_at_ms: f64,
}

/// A request as the harness recorded it.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    pub key: u64,
    pub class: usize,
    /// The class and the attempt limit at admission; later settings change neither.
    pub admitted_with: (Class, u32),
    pub deadline_ms: f64,
    pub attempts: Vec<SentAttempt>,
    /// When and how the request ended: `served`, `rejected`, `failed` or `disconnected`.
    pub ended: Option<(f64, &'static str)>,
}

/// A balancer with a proxy that checks its actions.
pub struct ProxyHarness {
    pub balancer: Balancer,
    pub settings: Settings,
    pub now_ms: f64,
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// The last state of each endpoint that was ever listed; removed ones have the phase `Removed`.
    pub known_endpoints: HashMap<BackendId, EndpointInfo>,
    pub polled_at_ms: Vec<f64>,
    /// Backends that operators have suspended.
    pub suspended: BTreeSet<BackendId>,
    /// The changes of the draining state, in order.
    pub drain_changes: Vec<bool>,
    /// When the idle connections to each backend were last closed.
    pub idle_closed_at_ms: HashMap<BackendId, f64>,
    /// Cancelled attempts whose outcome has not been reported yet.
    cancelled: Vec<(RequestId, usize)>,
    timers: Vec<(f64, TimerToken)>,
    next_request: RequestId,
}

impl ProxyHarness {
    /// Creates a harness whose balancer starts with `endpoints` as its cached endpoint list.
    pub fn new(settings: Settings, seed: u64, endpoints: Vec<EndpointInfo>) -> Self {
        let balancer = Balancer::new(settings.clone(), seed).expect("valid settings");
        let mut harness = ProxyHarness {
            balancer,
            settings,
            now_ms: 1000.0,
            requests: BTreeMap::new(),
            known_endpoints: HashMap::new(),
            polled_at_ms: Vec::new(),
            suspended: BTreeSet::new(),
            drain_changes: Vec::new(),
            idle_closed_at_ms: HashMap::new(),
            cancelled: Vec::new(),
            timers: Vec::new(),
            next_request: 1,
        };
        harness.update_endpoints(EndpointListKind::Cached, endpoints);
        harness
    }

    /// Delivers an endpoint list, and checks that idle connections to draining endpoints are closed.
    pub fn update_endpoints(&mut self, kind: EndpointListKind, endpoints: Vec<EndpointInfo>) {
        if kind != EndpointListKind::Delta && kind != EndpointListKind::Failed {
            self.known_endpoints.values_mut().for_each(|e| e.phase = Phase::Removed);
        }
        for endpoint in &endpoints {
            self.known_endpoints.insert(endpoint.backend, endpoint.clone());
        }
        let draining: Vec<_> = endpoints.iter().filter(|e| e.phase == Phase::Draining).cloned().collect();
        self.handle(Event::EndpointList { kind, endpoints });
        draining.iter().for_each(|e| self.assert_idle_connections_closed(e.backend));
    }

    /// Checks that idle connections to a draining backend were closed just now. This is due when the endpoint
    /// list reports it as draining and after each outcome of an attempt there.
    fn assert_idle_connections_closed(&self, backend: BackendId) {
        if self.settings.guarantees.idle_release_ms > 0.0
            && self.known_endpoints[&backend].phase == Phase::Draining
        {
            assert_eq!(
                self.idle_closed_at_ms.get(&backend),
                Some(&self.now_ms),
                "idle connections to draining backend {backend} were not closed"
            );
        }
    }

    /// Checks that a request is sent only when earlier requests with its ordering key have ended, have no
    /// attempt in flight, and the key quarantine after attempts that may still be running is over.
    fn assert_ordering_key_is_free(&self, request: RequestId) {
        let record = &self.requests[&request];
        let is_ordered = |record: &RequestRecord| record.admitted_with.0.is_ordered_by_key;
        if record.key == 0 || !is_ordered(record) {
            return;
        }
        for (earlier_request, earlier) in
            self.requests.range(..request).filter(|(_, e)| e.key == record.key && is_ordered(e))
        {
            assert!(
                earlier.ended.is_some(),
                "request {request} was sent before request {earlier_request} ended"
            );
            for sent in &earlier.attempts {
                let quarantine_ms = match sent.outcome.expect("no attempt of an ended request is in flight") {
                    Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
                        self.settings.guarantees.key_quarantine_ms
                    }
                    _ => 0.0,
                };
                assert!(
                    self.now_ms >= sent.finished_at_ms + quarantine_ms,
                    "request {request} was sent while request {earlier_request} may still be running"
                );
            }
        }
    }

    /// Delivers an event, and checks and applies the resulting actions.
    pub fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut actions);
        self.apply_actions(actions);
    }

    /// Checks that a response is forwarded before its client's time is over, whenever it comes.
    fn check_buffering(&self, buffering: ResponseBuffering, expires_at_ms: f64) {
        let timeout_ms = expires_at_ms - self.now_ms;
        for elapsed_fraction in [0.0, 0.25, 0.5, 0.75, 0.99, 1.0] {
            let elapsed_ms = timeout_ms * elapsed_fraction;
            let head_ms = buffering.buffer_head_for_ms(elapsed_ms, timeout_ms);
            let body_ms = buffering.buffer_body_for_ms(elapsed_ms, timeout_ms);
            assert!(elapsed_ms + head_ms <= timeout_ms, "a head is forwarded in time");
            assert!(elapsed_ms + body_ms <= timeout_ms, "a response is forwarded in time");
        }
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, backend, expires_at_ms, send_by_ms, buffering } => {
                    self.check_buffering(buffering, expires_at_ms);
                    self.record_attempt(request, backend, expires_at_ms, send_by_ms)
                }
                Action::Reject { request, .. } => self.record_rejection(request),
                Action::Fail { request, .. } => self.record_end(request, "failed"),
                Action::SetTimer { delay_ms, token } => {
                    assert!(delay_ms.is_finite() && delay_ms > 0.0, "timers are set for a later time");
                    self.timers.push((self.now_ms + delay_ms, token));
                }
                Action::CloseIdleConnections { backend } => {
                    self.idle_closed_at_ms.insert(backend, self.now_ms);
                }
                Action::PollEndpoints => {
                    self.polled_at_ms.push(self.now_ms);
                }
                Action::SetSuspended { backend, is_suspended } => {
                    let changed = if is_suspended {
                        self.suspended.insert(backend)
                    } else {
                        self.suspended.remove(&backend)
                    };
                    assert!(changed, "the suspension of backend {backend} did not change");
                }
                Action::SetDraining { is_draining } => self.drain_changes.push(is_draining),
                Action::Cancel { request, attempt } => {
                    self.cancelled.push((request, usize::from(attempt)));
                    assert!(
                        self.settings.capabilities.can_cancel,
                        "cancelled although the settings forbid it"
                    );
                    assert!(
                        self.requests[&request].attempts.len() > usize::from(attempt),
                        "cancelled an attempt that was never sent"
                    );
                }
            }
        }
    }

    fn record_attempt(
        &mut self,
        request: RequestId,
        backend: BackendId,
        expires_at_ms: f64,
        send_by_ms: Option<f64>,
    ) {
        self.assert_ordering_key_is_free(request);
        let endpoint = self.known_endpoints.get(&backend).expect("the endpoint list has named the backend");
        assert_eq!(endpoint.phase, Phase::Ready, "sent to a draining or removed backend");
        assert!(!self.suspended.contains(&backend), "sent to a suspended backend");
        let (zone, cell) = (endpoint.zone, endpoint.cell);
        let record = self.requests.get_mut(&request).expect("the request was submitted");
        assert!(record.ended.is_none(), "request {request} was sent after it ended");
        assert!(expires_at_ms <= record.deadline_ms);
        assert!(
            record.attempts.len()
                < record.admitted_with.1.min(self.settings.capabilities.max_attempts) as usize,
            "request {request} exceeds its attempt limit"
        );
        let in_flight = record.attempts.iter().filter(|s| s.outcome.is_none()).count();
        assert_eq!(in_flight, 0, "request {request} has two attempts in flight");
        if let Some(ran) = record.attempts.iter().find(|s| s.outcome.is_none_or(|o| !o.never_ran())) {
            let first_location = self.known_endpoints.get(&ran.backend).map(|e| (e.zone, e.cell));
            match record.admitted_with.0.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => {
                    panic!("a non-idempotent request that may have run was retried")
                }
                Idempotency::Deduplicated { scope, window_ms } => {
                    assert!(
                        self.now_ms < ran.sent_at_ms + window_ms,
                        "retried after the deduplication window"
                    );
                    assert!(
                        send_by_ms.is_some_and(|send_by_ms| send_by_ms < ran.sent_at_ms + window_ms),
                        "a retry may be sent after the deduplication window"
                    );
                    let (first_zone, first_cell) =
                        first_location.expect("the endpoint list has named the backend");
                    assert!(
                        scope != DeduplicationScope::Zone || first_zone == zone,
                        "retried in another zone"
                    );
                    assert!(
                        scope != DeduplicationScope::Cell || first_cell == cell,
                        "retried in another cell"
                    );
                }
            }
        }
        record.attempts.push(SentAttempt {
            backend,
            sent_at_ms: self.now_ms,
            expires_at_ms,
            outcome: None,
            finished_at_ms: 0.0,
        });
    }

    fn record_rejection(&mut self, request: RequestId) {
        let record = &self.requests[&request];
        let idempotency = record.admitted_with.0.idempotency;
        let never_ran = record.attempts.iter().all(|s| s.outcome.is_some_and(Outcome::never_ran));
        let is_repeatable_anywhere = matches!(
            idempotency,
            Idempotency::Idempotent
                | Idempotency::Deduplicated { scope: DeduplicationScope::AllBackends, .. }
        );
        assert!(
            never_ran || is_repeatable_anywhere,
            "rejected request {request}, which may have run and must not be retried"
        );
        self.record_end(request, "rejected");
    }

    fn record_end(&mut self, request: RequestId, end: &'static str) {
        let record = self.requests.get_mut(&request).expect("the request was submitted");
        assert!(record.ended.is_none(), "request {request} ended twice");
        assert!(
            self.now_ms <= record.deadline_ms + FINAL_ANSWER_TOLERANCE_MS,
            "final answer {} ms after the deadline",
            self.now_ms - record.deadline_ms
        );
        record.ended = Some((self.now_ms, end));
    }

    /// Submits a request without an ordering key and returns its ID.
    pub fn submit_request(&mut self, class: usize, tenant: u16, timeout_ms: f64) -> RequestId {
        self.submit_keyed_request(0, class, tenant, timeout_ms)
    }

    /// Submits a request with an ordering key (0 is none) and returns its ID.
    pub fn submit_keyed_request(
        &mut self,
        key: u64,
        class: usize,
        tenant: u16,
        timeout_ms: f64,
    ) -> RequestId {
        let (request, deadline_ms) = self.record_arrival(key, class, timeout_ms);
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

    fn record_arrival(&mut self, key: u64, class: usize, timeout_ms: f64) -> (RequestId, f64) {
        let (request, deadline_ms) = (self.next_request, self.now_ms + timeout_ms);
        let admitted_with = (
            self.settings.classes.get(class).cloned().unwrap_or_default(),
            self.settings.capabilities.max_attempts,
        );
        self.next_request += 1;
        self.requests.insert(
            request,
            RequestRecord { key, class, admitted_with, deadline_ms, attempts: Vec::new(), ended: None },
        );
        (request, deadline_ms)
    }

    /// Replaces the settings. The lists name the class and the tenant that each new one continues.
    pub fn configure(
        &mut self,
        settings: Settings,
        continued_classes: Vec<Option<u16>>,
        continued_tenants: Vec<Option<u16>>,
    ) -> Result<u64, SettingsError> {
        let mut actions = Vec::new();
        let update = SettingsUpdate {
            version: 0,
            settings: settings.clone(),
            continued_classes,
            continued_tenants,
            content_hash: 0,
        };
        let version = self.balancer.configure(self.now_ms, update, &mut actions)?;
        self.settings = settings;
        self.apply_actions(actions);
        Ok(version)
    }

    /// Submits a request whose body is still arriving and returns its ID.
    pub fn submit_streamed_request(&mut self, class: usize, timeout_ms: f64) -> RequestId {
        self.submit_keyed_streamed_request(0, class, timeout_ms)
    }

    /// Submits a request with an ordering key (0 is none) whose body is streamed and returns its ID.
    pub fn submit_keyed_streamed_request(&mut self, key: u64, class: usize, timeout_ms: f64) -> RequestId {
        let (request, deadline_ms) = self.record_arrival(key, class, timeout_ms);
        let arrival = RequestArrival {
            request,
            key,
            class: class as u16,
            tenant: 0,
            deadline_ms,
            is_body_streamed: true,
        };
        self.handle(Event::RequestArrived(arrival));
        request
    }

    /// Reports the outcome of an attempt.
    pub fn finish_attempt(&mut self, request: RequestId, attempt: usize, outcome: Outcome) {
        self.finish_attempt_as(request, attempt, outcome, false);
    }

    /// Reports the outcome of an attempt that consumed the streamed body of its request.
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
        let record = self.requests.get_mut(&request).expect("the request was submitted");
        let sent = &mut record.attempts[attempt];
        assert!(sent.outcome.is_none());
        (sent.outcome, sent.finished_at_ms) = (Some(outcome), self.now_ms);
        let (backend, latency_ms) = (sent.backend, self.now_ms - sent.sent_at_ms);
        if outcome == Outcome::Ok && record.ended.is_none() {
            self.record_end(request, "served");
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
        self.assert_idle_connections_closed(backend);
    }

    /// Reports that the client of a request disconnected.
    pub fn disconnect(&mut self, request: RequestId) {
        self.record_end(request, "disconnected");
        self.handle(Event::ClientDisconnected { request });
    }

    /// Returns the attempts in flight as request, attempt number and record, in the order of request IDs.
    pub fn attempts_in_flight(&self) -> Vec<(RequestId, usize, SentAttempt)> {
        let in_flight = |(&id, record): (&RequestId, &RequestRecord)| {
            let of = record.attempts.iter().enumerate().filter(|(_, s)| s.outcome.is_none());
            of.map(|(n, s)| (id, n, s.clone())).collect::<Vec<_>>()
        };
        self.requests.iter().flat_map(in_flight).collect()
    }

    /// Advances the clock to `end_ms` in ticks. Fires due timers, times out expired attempts and reports
    /// cancelled ones at each tick.
    pub fn advance_to(&mut self, end_ms: f64) {
        while self.now_ms < end_ms {
            self.now_ms = (self.now_ms + self.settings.tick_ms).min(end_ms);
            let now = self.now_ms;
            let due: Vec<TimerToken> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
            self.timers.retain(|t| t.0 > now);
            due.into_iter().for_each(|token| self.handle(Event::TimerFired { token }));
            let late: Vec<_> =
                self.attempts_in_flight().into_iter().filter(|(_, _, s)| s.expires_at_ms <= now).collect();
            late.into_iter()
                .for_each(|(request, attempt, _)| self.finish_attempt(request, attempt, Outcome::Timeout));
            for (request, attempt) in std::mem::take(&mut self.cancelled) {
                if self
                    .requests
                    .get(&request)
                    .is_some_and(|record| record.attempts[attempt].outcome.is_none())
                {
                    self.finish_attempt(request, attempt, Outcome::Cancelled);
                }
            }
        }
    }

    /// Drops the records of requests that ended and have no attempt in flight, so that long tests stay fast.
    pub fn forget_finished_requests(&mut self) {
        self.requests.retain(|_, record| {
            record.ended.is_none() || record.attempts.iter().any(|s| s.outcome.is_none())
        });
    }

    /// Submits `requests_per_tick` requests of a class each tick and finishes each attempt successfully after
    /// `latency_ms`. Returns the number of rejections, counting a request again at each tick while it has an
    /// attempt in flight.
    pub fn serve_steadily(
        &mut self,
        duration_ms: f64,
        requests_per_tick: usize,
        class: usize,
        latency_ms: f64,
    ) -> usize {
        let (end_ms, mut rejected) = (self.now_ms + duration_ms, 0);
        while self.now_ms < end_ms {
            for _ in 0..requests_per_tick {
                self.submit_request(class, 0, 1e5);
            }
            self.advance_to(self.now_ms + self.settings.tick_ms);
            for (request, attempt, sent) in self.attempts_in_flight() {
                if self.now_ms - sent.sent_at_ms >= latency_ms {
                    self.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            rejected += self
                .requests
                .values()
                .filter(|record| record.ended.is_some_and(|e| e.1 == "rejected"))
                .count();
            self.forget_finished_requests();
        }
        rejected
    }
}
