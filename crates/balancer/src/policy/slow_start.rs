//! Slow start: a backend that is warming up gets no more requests than it can certainly handle.

use super::Policy;
use super::state::Backend;
use crate::api::BackendId;
use crate::stats::{TokenBucket, low_discrepancy_point};

/// Fraction of the budget that is used: backends differ, and handshakes take capacity too.
const BUDGET_FRACTION: f64 = 0.3;
/// Burst of a backend's budget, in requests.
const BUDGET_BURST: f64 = 1.0;
/// Decay time, in milliseconds, of the response rate that a warm backend has proved to reach.
const PEAK_RESPONSE_RATE_DECAY_MS: f64 = 60_000.0;
/// Averaging time of the response rate, in milliseconds.
const RESPONSE_RATE_AVERAGE_MS: f64 = 1000.0;
/// Modulus of the backend ids in the low-discrepancy sequence, which keeps its fractions precise.
const BACKEND_ID_MODULUS: BackendId = 8191;

impl Policy {
    /// Returns the capacity that a backend certainly has by now, as a fraction of its full capacity.
    pub fn warm_up_fraction(&self, backend: &Backend) -> f64 {
        let guarantees = &self.settings.guarantees;
        let initial = guarantees.initial_capacity_fraction.min(1.0);
        let started_at_ms = backend.endpoint.started_at_ms;
        let progress = (self.now_ms - started_at_ms) / guarantees.warm_up_ms.max(1.0);
        let progress = if started_at_ms > 0.0 { progress.clamp(0.0, 1.0) } else { 1.0 };
        initial * (1.0 - progress) + progress
    }

    /// Returns the initial budget of a backend. It differs between instances, so that their first requests
    /// do not coincide.
    pub fn initial_slow_start_budget(&self, id: BackendId) -> TokenBucket {
        let index = f64::from(self.settings.instance_index) + f64::from(id % BACKEND_ID_MODULUS);
        TokenBucket::with_tokens(low_discrepancy_point(index))
    }

    /// Refills the budgets by the highest response rate that backends have proved to reach, scaled to their
    /// current capacity. The current response rate is low while many backends are warming up or all are idle.
    pub fn refill_slow_start_budgets(&mut self, elapsed_ms: f64) {
        let rate = self.limit.responses_per_warm_backend_ms;
        self.response_rate.update(rate, (elapsed_ms / RESPONSE_RATE_AVERAGE_MS).min(1.0));
        self.peak_response_rate.record_after(
            self.response_rate.value(),
            elapsed_ms,
            PEAK_RESPONSE_RATE_DECAY_MS,
        );
        // The tier is able to serve the quotas of its tenants. While all backends are warming up, there are
        // hardly any responses from which to learn the rate.
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
