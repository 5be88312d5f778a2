//! Outlier detection: ejects backends that fail, are slow or unresponsive while others are not.

use super::Policy;
use super::concurrency_limit::{ClassLatency, MAX_LATENCY_RATIO};
use super::state::{Backend, Call, Health};
use crate::api::{AttemptResult, BackendId, Idempotency, Outcome};
use crate::stats::PriorMean;

/// First ejection time in milliseconds; it doubles with each failed probe request.
const EJECTION_BASE_MS: f64 = 2000.0;
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 3;
/// First ejection time for a non-idempotent class in milliseconds: there a failed probe costs a client's
/// request, and a wrong ejection ends with the next response.
const NON_IDEMPOTENT_EJECTION_BASE_MS: f64 = 8000.0;
/// Maximum number of doublings of the ejection time for a non-idempotent class.
const MAX_NON_IDEMPOTENT_EJECTION_DOUBLINGS: u32 = 1;
/// Maximum ejected fraction of the ring: if more backends fail, the fault is shared and not their own.
const MAX_EJECTED_FRACTION: f64 = 0.5;
/// Weight of one outcome in a backend's error rate.
const ERROR_WEIGHT: f64 = 0.125;
/// Weight of a failed connection attempt in a backend's error rate.
const CONNECT_FAILURE_WEIGHT: f64 = 0.375;
/// Weight of a served probe request in a backend's error rate.
const PROBE_SUCCESS_WEIGHT: f64 = 0.5;
/// Weight of one outcome in the error rate over all backends.
const OVERALL_ERROR_WEIGHT: f64 = 0.02;
/// Error rate below which a backend is healthy.
const HEALTHY_ERROR_RATE: f64 = 0.125;
/// Error rate below which a fast response ends an ejection.
const RECOVERED_ERROR_RATE: f64 = 0.15;
/// Error rate up to which a backend is not ejected.
const EJECTION_ERROR_RATE: f64 = 0.35;
/// Multiple of the overall error rate up to which a fault is shared, and a backend is not ejected for it.
const MIN_ERROR_RATE_RATIO: f64 = 3.0;
/// Mean latency relative to all backends above which a backend is ejected, so that it can recover.
const EJECTION_RELATIVE_LATENCY: f64 = 2.5;
/// Number of latency samples up to which a backend is not ejected as slow.
const MIN_LATENCY_SAMPLES: f64 = 8.0;
/// Samples that a backend's relative latency covers.
const MAX_LATENCY_SAMPLES: f64 = 16.0;
/// Number of samples that the initial assumption of an average latency counts as for a new backend.
const PRIOR_LATENCY_SAMPLES: f64 = 4.0;
/// Weight of one response in the mean latency over all backends.
const OVERALL_LATENCY_WEIGHT: f64 = 0.02;
/// Weight of one response in a zone's excess latency.
const EXCESS_LATENCY_WEIGHT: f64 = 0.1;
/// Missed responses, estimated by Little's law, above which a backend is unresponsive and not just pausing.
const MIN_MISSED_RESPONSES: f64 = 8.0;
/// Mean latencies without a response above which a backend may be unresponsive.
const MIN_SILENCE_LATENCIES: f64 = 2.0;
/// Fraction of the time that a backend has been silent: if no backend has responded for at least that long,
/// all of them count as silent, and the backend is not ejected.
const MAX_SILENCE_RATIO_OF_OTHERS: f64 = 0.25;
/// Mean latencies for which a call may hold a slot of the limit. With exponentially distributed latencies,
/// 2 in 100 calls take longer.
const MAX_SLOT_HOLD_LATENCIES: f64 = 4.0;

impl Policy {
    /// Records the outcome of a call for its backend and for the concurrency limit.
    pub fn record_outcome(&mut self, result: &AttemptResult, call: Call) {
        let (id, class) = (result.backend, call.class);
        let Some(backend) = self.backends.get(&id) else { return };
        // A backend that is warming up takes longer for the same work, without a queue or a fault.
        let latency = result.latency_ms * self.warm_up_fraction(backend);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        backend.calls.retain(|other| *other != call);
        if matches!(result.outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            backend.health[None].last_response_at_ms = self.now_ms;
            backend.health[Some(class)] = Health::responsive_at(self.now_ms);
            self.last_response_at_ms = self.now_ms;
            self.limit.classes[class].last_response_at_ms = self.now_ms;
        }
        match result.outcome {
            Outcome::Ok => self.record_served(id, call, latency),
            // A call that its client abandoned would have taken even longer. It counts for its backend and
            // zone but not for the limit, which unresponsive backends would cut.
            Outcome::Cancelled if latency > self.limit.classes[class].profile.mean() => {
                self.record_latency(id, class, latency);
                self.eject_if_slow(id);
            }
            Outcome::Error | Outcome::Reset | Outcome::ConnectFailed => {
                self.record_error(id, call, result.outcome);
            }
            Outcome::Full => self.limit.window.drops += 1.0,
            Outcome::Timeout if !backend.health[None].ejection.is_active() => {
                self.limit.window.timeouts += 1.0
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    fn record_served(&mut self, id: BackendId, call: Call, latency: f64) {
        self.limit.record_served(call.class, latency);
        let ratio = self.record_latency(id, call.class, latency);
        self.error_rate.update(0.0, OVERALL_ERROR_WEIGHT);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        let weight =
            if backend.health[None].ejection.is_active() { PROBE_SUCCESS_WEIGHT } else { ERROR_WEIGHT };
        backend.error_rate.update(0.0, weight);
        if !backend.end_ejection_if_recovered(call.sent_at_ms, ratio) {
            self.eject_if_slow(id);
        }
    }

    /// Records a latency for its zone and backend; returns its ratio to the mean of its class.
    fn record_latency(&mut self, id: BackendId, class: usize, latency: f64) -> f64 {
        self.limit.mean_latency.init_or_update(latency, OVERALL_LATENCY_WEIGHT);
        let class = &self.limit.classes[class];
        let ratio = class.profile.ratio_to_mean(latency, MAX_LATENCY_RATIO);
        let excess = (latency - class.profile.baseline()) / class.objective_ms;
        let Some(backend) = self.backends.get_mut(&id) else { return ratio };
        let is_local = backend.endpoint.zone == self.settings.zone;
        let zone_excess =
            if is_local { &mut self.local_excess_latency } else { &mut self.remote_excess_latency };
        zone_excess.update(excess, EXCESS_LATENCY_WEIGHT);
        backend.relative_latency.record(ratio, MAX_LATENCY_SAMPLES, PRIOR_LATENCY_SAMPLES);
        ratio
    }

    /// Ejects a backend that is slow: an overloaded backend recovers only without load.
    fn eject_if_slow(&mut self, id: BackendId) {
        let Some(backend) = self.backends.get(&id) else { return };
        let is_slow = backend.relative_latency.value() > EJECTION_RELATIVE_LATENCY;
        let is_certain = backend.relative_latency.samples() > MIN_LATENCY_SAMPLES;
        if is_slow && is_certain && backend.health[None].ejection.is_due(self.now_ms) {
            self.eject(id, None);
        }
    }

    fn record_error(&mut self, id: BackendId, call: Call, outcome: Outcome) {
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if outcome == Outcome::Error {
            self.limit.window.responses += 1.0;
        }
        // Calls sent before the ejection are ignored: counted as failed probes, the calls of one overload
        // would keep the backend ejected for many times as long as the overload lasts.
        if backend.health[None].ejection.began_after(call.sent_at_ms) {
            return;
        }
        let is_unreachable = outcome == Outcome::ConnectFailed;
        // Only a failed connection attempt to an otherwise healthy backend is a sign of load; a backend
        // that is down is not.
        if is_unreachable && backend.error_rate.value() < HEALTHY_ERROR_RATE {
            self.limit.window.drops += 1.0;
        }
        let weight = if is_unreachable { CONNECT_FAILURE_WEIGHT } else { ERROR_WEIGHT };
        backend.error_rate.update(1.0, weight);
        self.error_rate.update(1.0, OVERALL_ERROR_WEIGHT);
        let others = self.error_rate.value();
        let shared = (MIN_ERROR_RATE_RATIO * others).min((1.0 + others) / 2.0);
        if backend.health[None].ejection.is_active()
            || backend.error_rate.value() > shared.max(EJECTION_ERROR_RATE)
        {
            self.eject(id, None);
        }
    }

    /// Ejects a backend, for all classes (`None`) or for one, unless so many are ejected that the fault
    /// must be shared.
    fn eject(&mut self, id: BackendId, class: Option<usize>) {
        let is_ejected = |backend: &Backend| backend.health[class].ejection.is_active();
        let ring = self.subset.ring();
        let ejected = ring.iter().filter(|id| is_ejected(&self.backends[id])).count();
        let max_ejected = (ring.len() as f64 * MAX_EJECTED_FRACTION).max(1.0) as usize;
        let class_idempotency = class.map(|class| self.classes[class].idempotency);
        let Some(backend) = self.backends.get_mut(&id) else { return };
        if !is_ejected(backend) && ejected >= max_ejected {
            return;
        }
        let ejection = &mut backend.health[class].ejection;
        if class_idempotency == Some(Idempotency::NonIdempotent) {
            ejection.extend(
                self.now_ms,
                NON_IDEMPOTENT_EJECTION_BASE_MS,
                MAX_NON_IDEMPOTENT_EJECTION_DOUBLINGS,
            );
        } else {
            ejection.extend(self.now_ms, EJECTION_BASE_MS, MAX_EJECTION_DOUBLINGS);
        }
        if class.is_none() {
            // An ejected backend holds no slots of the limit.
            self.release_slots(id, 0.0);
        }
    }

    /// Releases the slots of calls that have been in flight for too long.
    pub fn release_overdue_slots(&mut self) {
        let busy = self.backends.iter().filter(|(_, backend)| !backend.calls.is_empty());
        for id in busy.map(|(&id, _)| id).collect::<Vec<_>>() {
            self.release_slots(id, MAX_SLOT_HOLD_LATENCIES);
        }
    }

    /// Releases the slots of a backend's calls that have been in flight for `latencies` times the expected
    /// latency of their class: they no longer count against the limit.
    fn release_slots(&mut self, id: BackendId, latencies: f64) {
        for call in self.backends[&id].calls.clone() {
            let Some(request) = self.requests.get_mut(&call.request) else { continue };
            let is_overdue =
                self.now_ms - call.sent_at_ms >= latencies * self.limit.classes[call.class].expected();
            let mut attempts = request.attempts.iter_mut();
            let attempt = attempts
                .find(|a| a.endpoint.backend == id && a.sent_at_ms == call.sent_at_ms && a.is_in_flight);
            if let Some(attempt) = attempt.filter(|attempt| is_overdue && attempt.holds_limit_slot) {
                attempt.holds_limit_slot = false;
                let quota = request.quota;
                self.release_slot(call.class, quota);
            }
        }
    }

    /// Returns the backends of `busy` that have not responded for far too long, to any call (`None`) or to
    /// calls of one class, while others have responded.
    fn unresponsive_backends(&self, busy: &[BackendId], class: Option<usize>) -> Vec<BackendId> {
        let of_class = class.map(|class| &self.limit.classes[class]);
        let expected_latency = of_class.map_or(self.limit.mean_latency.value(), ClassLatency::expected);
        let others_responded_at_ms =
            of_class.map_or(self.last_response_at_ms, |class| class.last_response_at_ms);
        let is_unresponsive = |id: &BackendId| {
            let backend = &self.backends[id];
            let health = &backend.health[class];
            let calls = backend.calls.iter().filter(|call| class.is_none_or(|class| call.class == class));
            let mut calls = calls.peekable();
            let oldest = calls.peek().map_or(self.now_ms, |call| call.sent_at_ms);
            let silent_ms = self.now_ms - health.last_response_at_ms.max(oldest);
            let latency = (expected_latency * backend.relative_latency.value()).max(1.0);
            health.ejection.is_due(self.now_ms)
                && calls.count() as f64 * silent_ms / latency > MIN_MISSED_RESPONSES
                && silent_ms > MIN_SILENCE_LATENCIES * expected_latency
                && self.now_ms - others_responded_at_ms < silent_ms * MAX_SILENCE_RATIO_OF_OTHERS
        };
        busy.iter().copied().filter(is_unresponsive).collect()
    }

    /// Ejects the backends that are unresponsive while others respond, for all classes or for one.
    pub fn eject_unresponsive(&mut self) {
        // No response is due from a backend without calls in flight. The cost depends on the calls, not on
        // the length of the endpoint list.
        let busy = self.ready_backends().filter(|(_, backend)| !backend.calls.is_empty());
        let busy: Vec<BackendId> = busy.map(|(id, _)| id).collect();
        for class in std::iter::once(None).chain((0..self.classes.len()).map(Some)) {
            for id in self.unresponsive_backends(&busy, class) {
                self.eject(id, class);
            }
        }
    }
}

impl Backend {
    /// Ends the ejection if a served attempt shows that its cause no longer exists; returns whether it was
    /// ended.
    fn end_ejection_if_recovered(&mut self, sent_at_ms: f64, ratio: f64) -> bool {
        let (ejection, error_rate) = (self.health[None].ejection, self.error_rate.value());
        if !ejection.is_active() {
            return false;
        }
        let is_slow = self.relative_latency.value() >= EJECTION_RELATIVE_LATENCY;
        let oldest = self.calls.front().map_or(f64::MAX, |call| call.sent_at_ms);
        let has_caught_up = ejection.began_after(sent_at_ms) && !ejection.began_after(oldest);
        if error_rate < HEALTHY_ERROR_RATE && !is_slow && has_caught_up {
            // It was ejected as unresponsive and responds again.
            self.health[None].ejection.end();
        } else if error_rate < RECOVERED_ERROR_RATE && ratio < EJECTION_RELATIVE_LATENCY / 2.0 {
            self.health[None].ejection.end();
            self.relative_latency = PriorMean::new(ratio);
        }
        !self.health[None].ejection.is_active()
    }
}
