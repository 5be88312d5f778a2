//! The lifecycle of a request: arrival, attempts, outcomes, and exactly one final answer.

use super::Policy;
use super::state::{Attempt, Call, Request};
use crate::api::{
    Action, AttemptNumber, AttemptResult, DeduplicationScope, Idempotency, Outcome, RequestArrival,
    RequestId, UnservedReason,
};

impl Policy {
    pub fn on_request(&mut self, arrival: &RequestArrival) {
        let id = arrival.request;
        let Some(class) = self.classes.slot_at(arrival.class) else {
            let reason = UnservedReason::UnknownClass;
            return self.actions.push(Action::Fail { request: id, reason });
        };
        self.add_retry_tokens();
        let mut request = self.create_request(class, arrival);
        let slice = self.slices_of_class[class][request.quota];
        // A request behind another one of its ordering key waits in the queue of that key and holds no
        // slot.
        let waits_for_key = request.key != 0 && self.key_queues.push(request.key, id);
        let is_queue_empty = self.slices.slice(slice).queue.is_empty();
        let has_slot = !waits_for_key && is_queue_empty && self.admits(slice);
        // With a slot but no backend, or behind its ordering key, a request waits as long as its latency
        // objective can still be met.
        let may_wait_until_objective = has_slot || waits_for_key;
        let time_to_spare_ms = self.classes[class].latency_objective_ms - self.limit.mean_latency.value();
        let wait = if may_wait_until_objective { time_to_spare_ms } else { self.max_queue_time_ms() };
        let last_start_ms = self.last_start_ms(arrival.deadline_ms);
        request.max_queued_until_ms = self.now_ms + wait;
        request.queue_deadline_ms = request.max_queued_until_ms.min(last_start_ms);
        self.requests.insert(id, request);
        self.classes.acquire(class);
        // A request past its deadline, as at the end of a planned stop, would only cost a backend work.
        if has_slot && self.now_ms < arrival.deadline_ms && self.send(id) {
            return;
        }
        self.limit.is_saturated |= !may_wait_until_objective;
        // A client's last retry may have less time left than there is until the next periodic run, so it is
        // never queued.
        let is_queue_full = self.slices.queued() as f64 >= self.limit.total();
        if last_start_ms <= self.now_ms {
            self.reject_or_fail(id, UnservedReason::DeadlineTooClose);
        } else if !waits_for_key && is_queue_full {
            self.reject_or_fail(id, UnservedReason::QueueFull);
        } else if !waits_for_key {
            self.enqueue(id);
        }
    }

    /// Returns the latest time at which a queued request may be sent.
    fn last_start_ms(&self, deadline_ms: f64) -> f64 {
        deadline_ms - 2.0 * self.period_ms()
    }

    /// Creates the record of a request and charges the request to its tenant.
    fn create_request(&mut self, class: usize, arrival: &RequestArrival) -> Request {
        let (quota, charged_tenant) = self.charge_tenant(usize::from(arrival.tenant));
        Request {
            key: if self.classes[class].is_ordered_by_key { arrival.key } else { 0 },
            class,
            quota,
            charged_tenant,
            max_attempts: self.settings.capabilities.max_attempts,
            deadline_ms: arrival.deadline_ms,
            is_body_streamed: arrival.is_body_streamed,
            ..Request::default()
        }
    }

    /// Sends the next attempt if a backend can take it; returns whether it was sent.
    pub fn send(&mut self, id: RequestId) -> bool {
        let Some(selected) = self.select_backend(id) else { return false };
        let Some(request) = self.requests.get(&id) else { return false };
        let send_by_ms = self.deduplicated_until_ms(request);
        let buffering = self.response_buffering(request);
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(backend) = self.backends.get_mut(&selected) else { return false };
        // The budget has no effect once the backend is warm.
        backend.slow_start_budget.take();
        let endpoint = backend.endpoint.clone();
        let attempt = Attempt { endpoint, sent_at_ms: self.now_ms, is_in_flight: true, ..Attempt::default() };
        request.attempts.push(attempt);
        self.actions.push(Action::Send {
            request: id,
            backend: selected,
            expires_at_ms: request.deadline_ms,
            send_by_ms,
            buffering,
        });
        if !request.is_body_streamed {
            self.begin_call(id);
        }
        true
    }

    /// Starts the call of a request's last attempt: it counts as in flight, and a response is due.
    fn begin_call(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (class, quota) = (request.class, request.quota);
        let attempt = request.attempts.last_mut().filter(|attempt| attempt.is_in_flight);
        let Some(attempt) = attempt else { return };
        let Some(backend) = self.backends.get_mut(&attempt.endpoint.backend) else { return };
        // No response was due from a backend without calls in flight: its silence begins now.
        if backend.calls.is_empty() {
            backend.health[None].last_response_at_ms = self.now_ms;
        }
        if backend.calls.iter().all(|call| call.class != class) {
            backend.health[Some(class)].last_response_at_ms = self.now_ms;
        }
        backend.calls.push_back(Call { request: id, sent_at_ms: self.now_ms, class });
        attempt.sent_at_ms = self.now_ms;
        attempt.holds_limit_slot = !backend.health[None].ejection.is_active();
        if attempt.holds_limit_slot {
            self.slices.begin(self.slices_of_class[class][quota]);
            self.limit.begin_call(class, quota, self.slices.in_flight());
            self.peak_in_flight.record(self.slices.in_flight());
        }
    }

    /// Starts the call of a request whose body is complete. Until then the request causes no work at a
    /// backend, however slowly its body is sent.
    pub fn on_body_received(&mut self, id: RequestId, deadline_ms: f64) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.deadline_ms = deadline_ms;
        request.stalled_deadline_ms = None;
        if std::mem::take(&mut request.is_body_streamed) {
            self.begin_call(id);
        }
    }

    /// Shortens the queueing time of a request whose body may be complete, although no backend has taken it.
    pub fn on_body_stalled(&mut self, id: RequestId, deadline_ms: f64) {
        let last_start_ms = self.last_start_ms(deadline_ms);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stalled_deadline_ms = Some(deadline_ms);
        request.queue_deadline_ms = request.max_queued_until_ms.min(last_start_ms);
    }

    pub fn on_attempt_finished(&mut self, result: &AttemptResult) {
        let id = result.request;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = request.attempts.get_mut(usize::from(result.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight) else { return };
        attempt.is_in_flight = false;
        attempt.never_ran = result.outcome.never_ran();
        let call = Call { request: id, sent_at_ms: attempt.sent_at_ms, class: request.class };
        let held_limit_slot = attempt.holds_limit_slot;
        let quota = request.quota;
        request.is_body_consumed |= result.is_body_consumed;
        let is_finished = result.is_request_closed || request.has_ended;
        let has_other_attempt = request.has_attempt_in_flight();
        // After these outcomes the attempt may still be running: its key is quarantined before the next
        // request is sent.
        if matches!(result.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            let until = self.now_ms + self.settings.guarantees.key_quarantine_ms;
            self.key_queues.quarantine(request.key, until);
        }
        if held_limit_slot {
            self.release_slot(call.class, quota);
        }
        self.record_outcome(result, call);
        self.close_idle_connections(result.backend);
        if is_finished {
            self.complete(id);
        } else if !has_other_attempt && !self.retry(id) {
            self.requeue_or_end(id);
        }
    }

    /// Queues again a request that never ran, while it has time and an attempt left, and ends it otherwise. A
    /// request past the attempt limit would be queued again forever without being sent.
    fn requeue_or_end(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        let never_ran = request.possibly_executed_attempt().is_none();
        if never_ran && self.now_ms < request.queue_deadline_ms && self.has_attempt_left(request) {
            self.enqueue(id);
        } else {
            self.reject_or_fail(id, UnservedReason::AttemptsFailed);
        }
    }

    /// Gives the final answer: a rejection if a retry by the client is harmless, a failure otherwise.
    pub fn reject_or_fail(&mut self, id: RequestId, reason: UnservedReason) {
        let Some(request) = self.requests.get(&id) else { return };
        let reason = if self.subset.ring().is_empty() { UnservedReason::NoReadyBackend } else { reason };
        let class = &self.classes[request.class];
        let is_repeatable = match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope, .. } => scope == DeduplicationScope::AllBackends,
            Idempotency::NonIdempotent => false,
        };
        let action = if is_repeatable || request.possibly_executed_attempt().is_none() {
            let retry_after_ms = self.retry_after(class.latency_objective_ms);
            Action::Reject { request: id, retry_after_ms, reason }
        } else {
            Action::Fail { request: id, reason }
        };
        self.actions.push(action);
        self.complete(id);
    }

    /// Ends a request: nothing is pending and nothing more is sent. Attempts in flight are cancelled if
    /// that is allowed, and the record is removed once there are none.
    pub fn complete(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let had_ended = std::mem::replace(&mut request.has_ended, true);
        if !request.has_attempt_in_flight() {
            let (key, class) = (request.key, request.class);
            self.requests.remove(&id);
            self.classes.release(class);
            self.key_queues.remove(key, id);
            self.dispatch_key(key);
        } else if !had_ended && self.settings.capabilities.can_cancel {
            let attempts = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight);
            let cancel = |number| Action::Cancel { request: id, attempt: number as AttemptNumber };
            self.actions.extend(attempts.map(|(number, _)| cancel(number)));
        }
    }

    /// Queues the next request of an ordering key like any other request.
    fn dispatch_key(&mut self, key: u64) {
        let next = self.key_queues.dispatch(key, self.now_ms);
        next.into_iter().for_each(|id| self.enqueue(id));
    }

    /// Ends the requests that have waited too long for their key, and dispatches keys whose quarantine is
    /// over.
    pub fn run_key_queues(&mut self) {
        let is_overdue =
            |id: &RequestId| self.requests.get(id).is_some_and(|r| self.now_ms >= r.queue_deadline_ms);
        let overdue: Vec<RequestId> = self.key_queues.waiting().filter(is_overdue).collect();
        for id in overdue {
            self.reject_or_fail(id, UnservedReason::KeyQueueTimeout);
        }
        self.key_queues.keys().into_iter().for_each(|key| self.dispatch_key(key));
    }
}
