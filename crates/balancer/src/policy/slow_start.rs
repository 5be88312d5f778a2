//! Slow start: a backend that is warming up gets no more requests than it surely bears.

use super::Policy;
use super::state::Backend;
use crate::api::BackendId;
use crate::stats::{TokenBucket, low_discrepancy_point};

const BUDGET_FRACTION: f64 = 0.3; // of the budget is used: backends are unlike, handshakes count
const BUDGET_BURST: f64 = 1.0;
const PEAK_RESPONSE_RATE_DECAY_MS: f64 = 60_000.0; // how long a rate of answers proves what a warm backend serves
const RESPONSE_RATE_AVERAGE_MS: f64 = 1000.0;
const BACKEND_ID_MODULUS: BackendId = 8191; // keeps the fraction precise

impl Policy {
    /// Capacity that a backend surely has by now, as a share of its full one.
    pub fn warm_up_fraction(&self, backend: &Backend) -> f64 {
        let guarantees = &self.settings.guarantees;
        let initial = guarantees.initial_capacity_fraction.min(1.0);
        let started_at_ms = backend.endpoint.started_at_ms;
        let progress = (self.now_ms - started_at_ms) / guarantees.warm_up_ms.max(1.0);
        let progress = if started_at_ms > 0.0 { progress.clamp(0.0, 1.0) } else { 1.0 };
        initial * (1.0 - progress) + progress
    }

    /// Differs from instance to instance, so that the first requests of all do not coincide.
    pub fn initial_slow_start_budget(&self, id: BackendId) -> TokenBucket {
        let index = f64::from(self.settings.instance_index) + f64::from(id % BACKEND_ID_MODULUS);
        TokenBucket::with_tokens(low_discrepancy_point(index))
    }

    /// Lets the budgets grow with the most that backends have proved to serve, at the capacity reached:
    /// what is answered just now is little where many warm up or all are idle.
    pub fn refill_slow_start_budgets(&mut self, elapsed_ms: f64) {
        let rate = self.limit.responses_per_warm_backend_ms;
        self.response_rate.update(rate, (elapsed_ms / RESPONSE_RATE_AVERAGE_MS).min(1.0));
        self.peak_response_rate.record_after(
            self.response_rate.value(),
            elapsed_ms,
            PEAK_RESPONSE_RATE_DECAY_MS,
        );
        // The tier serves what its tenants may ask of it: where all warm up, there would hardly be an answer.
        let quota: f64 = self.settings.tenants.iter().map(|tenant| tenant.quota_per_s / 1000.0).sum();
        let instances = f64::from(self.settings.instance_count);
        let quota_rate = quota / instances / (self.subset.ring().len() as f64).max(1.0);
        let rate = self.peak_response_rate.value().max(quota_rate) * BUDGET_FRACTION;
        let tokens = rate * self.settings.guarantees.overload_multiple * elapsed_ms / self.process_count;
        for &id in self.subset.members() {
            let warm_up_fraction = self.warm_up_fraction(&self.backends[&id]);
            if let Some(backend) = self.backends.get_mut(&id) {
                backend.slow_start_budget.add_tokens(tokens * warm_up_fraction, BUDGET_BURST);
            }
        }
    }
}
