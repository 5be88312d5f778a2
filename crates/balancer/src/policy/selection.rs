//! Selection: the cheaper of two random members of the subset.

use super::Policy;
use super::state::{Backend, Request};
use crate::api::{BackendId, DeduplicationScope, Idempotency, Phase, RequestId};
use crate::collections::random_pair;

/// Weight of the error rate in the cost of a backend: a failed call costs more than a slow one.
const ERROR_RATE_COST: f64 = 8.0;
/// Cost of crossing zones, in calls in flight, if crossing has a price.
const CROSS_ZONE_COST_CALLS: f64 = 0.5;
/// Minimum weight of a backend in its cost.
const MIN_WEIGHT: f64 = 0.01;
/// Maximum number of random draws to find two eligible backends.
const MAX_DRAWS: usize = 12;

impl Policy {
    /// Selects the cheaper of two random eligible members of the subset. Backends outside of the subset are
    /// used only if no member is eligible, and ejected backends only if there is no other.
    pub fn select_backend(&mut self, id: RequestId) -> Option<BackendId> {
        let request = self.requests.get(&id)?;
        let mut rng = self.rng.clone();
        let (local, remote, members) = (self.subset.local(), self.subset.remote(), self.subset.members());
        let is_spilled = local.is_empty() || rng.f64() < self.spillover.output() && !remote.is_empty();
        let preferred = if is_spilled { remote } else { local };
        let mut draw = |from: &[BackendId], may_be_ejected: bool| {
            let is_eligible = |id| self.is_eligible(request, id, may_be_ejected);
            let (first, second) = random_pair(&mut rng, from, MAX_DRAWS, is_eligible)?;
            let cheaper = second.filter(|&second| self.cost(second) < self.cost(first));
            Some(cheaper.unwrap_or(first))
        };
        let mut stages = [preferred, members, self.subset.ring()].into_iter();
        let selected = stages.find_map(|from| draw(from, false)).or_else(|| draw(members, true));
        self.rng = rng;
        selected
    }

    fn is_eligible(&self, request: &Request, id: BackendId, may_be_ejected: bool) -> bool {
        let Some(backend) = self.backends.get(&id) else { return false };
        let is_out_of_budget = self.warm_up_fraction(backend) < 1.0 && !backend.slow_start_budget.has_token();
        let was_last_attempt = request.attempts.last().is_some_and(|attempt| attempt.endpoint.backend == id);
        backend.endpoint.phase == Phase::Ready
            && !is_out_of_budget
            && !was_last_attempt
            && (may_be_ejected || self.is_not_ejected_or_probe_due(request, backend))
            && self.drops_duplicates(request, backend)
    }

    fn is_not_ejected_or_probe_due(&self, request: &Request, backend: &Backend) -> bool {
        // An ejected backend gets one probe request, which must be retryable, once its ejection time is
        // over.
        let is_idempotent = self.classes[request.class].idempotency != Idempotency::NonIdempotent;
        let ejection = backend.health[None].ejection;
        let may_probe = is_idempotent && ejection.is_due(self.now_ms) && backend.calls.is_empty();
        // A class that is ejected at the backend gets a probe request as well, idempotent or not: requests
        // of other classes show nothing about it.
        let class_ejection = backend.health[Some(request.class)].ejection;
        let has_calls = backend.calls.iter().any(|call| call.class == request.class);
        let may_probe_class = class_ejection.is_due(self.now_ms) && !has_calls;
        (!ejection.is_active() || may_probe) && (!class_ejection.is_active() || may_probe_class)
    }

    /// Returns whether a backend drops the duplicates of a deduplicated request that may have run.
    fn drops_duplicates(&self, request: &Request, backend: &Backend) -> bool {
        let Some(first) = request.possibly_executed_attempt() else { return true };
        let endpoint = &backend.endpoint;
        match self.classes[request.class].idempotency {
            Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                endpoint.zone == first.endpoint.zone
            }
            Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => {
                endpoint.cell == first.endpoint.cell
            }
            _ => true,
        }
    }

    /// Returns the expected wait at a backend relative to others, from its calls of this instance, latency,
    /// error rate and warm-up.
    fn cost(&self, id: BackendId) -> f64 {
        let backend = &self.backends[&id];
        let latency = backend.relative_latency.value() * (1.0 + ERROR_RATE_COST * backend.error_rate.value());
        let has_price = self.settings.objective.cross_zone_price > 0.0;
        let is_crossing = has_price && backend.endpoint.zone != self.settings.zone;
        let crossing = if is_crossing { CROSS_ZONE_COST_CALLS } else { 0.0 };
        // An idle backend that is warming up costs no more than others: its budget limits its calls.
        let calls = backend.calls.len() as f64 / self.warm_up_fraction(backend);
        let weight = backend.endpoint.weight.max(MIN_WEIGHT);
        (calls * self.mean_weight / weight + 1.0 + crossing) * latency
    }
}
