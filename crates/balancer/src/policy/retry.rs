//! Retries: limited by the idempotency of the class, the deadline, the attempt limit and a retry budget.

use super::Policy;
use super::state::Request;
use crate::api::{Idempotency, RequestId};

/// Budget for retries of requests that may have run, per request: more would allow a retry storm.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Minimum burst of the retry budget, in retries.
pub const MIN_RETRY_BURST: f64 = 10.0;

impl Policy {
    /// Adds the share of one request to the retry budget, whose burst grows with the concurrency limit.
    pub fn add_retry_tokens(&mut self) {
        let burst = MIN_RETRY_BURST.max(self.limit.total() * RETRIES_PER_REQUEST);
        self.retry_budget.add_tokens(RETRIES_PER_REQUEST, burst);
    }

    /// Sends another attempt if that is allowed and a backend can take it; returns whether it was sent. A
    /// retry of a request that never ran costs no budget.
    pub fn retry(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let is_free = request.possibly_executed_attempt().is_none();
        let has_time = self.now_ms + self.settings.tick_ms < request.certain_deadline_ms();
        let is_allowed = has_time && self.has_attempt_left(request) && self.may_run_again(request);
        let is_sent = is_allowed && (is_free || self.retry_budget.has_token()) && self.send(id);
        if is_sent && !is_free {
            self.retry_budget.take();
        }
        is_sent
    }

    /// Returns whether another attempt is within the limits, both as of the admission and as in force now.
    pub fn has_attempt_left(&self, request: &Request) -> bool {
        let max_attempts = request.max_attempts.min(self.settings.capabilities.max_attempts);
        request.attempts.len() < max_attempts as usize && !request.is_body_consumed
    }

    /// Returns whether the idempotency of the class allows another attempt to run.
    fn may_run_again(&self, request: &Request) -> bool {
        if request.possibly_executed_attempt().is_none() {
            return true;
        }
        match self.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { .. } => {
                self.deduplicated_until_ms(request).is_some_and(|until_ms| self.now_ms < until_ms)
            }
            Idempotency::NonIdempotent => false,
        }
    }

    /// Returns the time until which backends certainly drop a duplicate of a request that may have run, or
    /// `None` if the request has not run or its class is not deduplicated.
    pub fn deduplicated_until_ms(&self, request: &Request) -> Option<f64> {
        let first = request.possibly_executed_attempt()?;
        match self.classes[request.class].idempotency {
            Idempotency::Deduplicated { window_ms, .. } => {
                Some(first.sent_at_ms + window_ms - self.settings.tick_ms)
            }
            Idempotency::Idempotent | Idempotency::NonIdempotent => None,
        }
    }
}
