//! Admission: slices of the concurrency limit by priority weight, their queues, and tenant quotas.

use super::Policy;
use crate::api::{Class, RequestId, UnservedReason};
use crate::collections::{ByQuota, Quota, levels_with_shares, nearest_level};

/// Priority weights that differ by less than this share a slice.
const WEIGHT_TOLERANCE: f64 = 1e-9;
/// Maximum queueing time in the first tier, as a fraction of the latency objective.
const QUEUE_TIME_FRACTION: f64 = 0.125;
/// Maximum queueing time in the tiers behind the first, as a fraction of the latency objective.
const QUEUE_TIME_FRACTION_INNER_TIER: f64 = 0.5;
/// Minimum burst of a tenant's quota, in requests.
const MIN_QUOTA_BURST: f64 = 2.0;

impl Policy {
    /// Returns whether a slice admits another call. A call is held back only when both the total limit and
    /// the slice's share of it are reached.
    pub fn admits(&self, slice: usize) -> bool {
        let total = self.limit.total().floor();
        let slice = self.slices.slice(slice);
        self.slices.in_flight() < total || slice.in_flight < (total * slice.share).ceil().max(1.0)
    }

    /// Returns the weight of a class, within and over the tenant's quota. The objective's weight for the
    /// worst-served class is added to all classes alike.
    fn weight_of(&self, class: &Class) -> ByQuota<f64> {
        let classes = &self.settings.classes;
        let mean = classes.iter().map(|class| class.priority_weight).sum::<f64>() / classes.len() as f64;
        let equal_weight = self.settings.objective.worst_class_weight;
        let within = (1.0 - equal_weight) * class.priority_weight / mean.max(WEIGHT_TOLERANCE) + equal_weight;
        ByQuota { within, over: within * self.settings.over_quota_weight }
    }

    /// Divides the limit into slices by class weight. Calls in flight are counted, and queued requests
    /// wait, in the slice of their weight, or in the nearest one if that no longer exists.
    pub fn rebuild_slices(&mut self) {
        let has_quotas = self.settings.tier == 0 && !self.settings.tenants.is_empty();
        let weights = self.settings.classes.iter().map(|class| self.weight_of(class));
        let within: Vec<f64> = weights.clone().map(|weight| weight.within).collect();
        let over: Vec<f64> = weights.map(|weight| weight.over).filter(|_| has_quotas).collect();
        // Requests over their tenant's quota have no share of their own: they get unused capacity and a
        // minimum of one slot.
        let levels = levels_with_shares(&within, &over, WEIGHT_TOLERANCE);
        let queued = self.slices.replace(levels.iter().map(|level| level.share));
        let weights = self.classes.values().map(|class| self.weight_of(class));
        self.slices_of_class =
            weights.map(|weight| weight.map(|weight| nearest_level(&levels, weight))).collect();
        for (slices, class) in self.slices_of_class.iter().zip(&self.limit.classes) {
            self.slices.carry_over(slices.within, class.in_flight.within);
            self.slices.carry_over(slices.over, class.in_flight.over);
        }
        queued.into_iter().for_each(|id| self.enqueue(id));
    }

    pub fn release_slot(&mut self, class: usize, quota: Quota) {
        self.slices.end(self.slices_of_class[class][quota]);
        self.limit.end_call(class, quota);
    }

    pub fn enqueue(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get(&id) {
            let slice = self.slices_of_class[request.class][request.quota];
            self.slices.queue_mut(slice).push_back(id);
        }
    }

    /// Returns the longest queueing time in milliseconds. It is the same for all classes: requests of a
    /// class with a longer one would fill the whole queue.
    pub fn max_queue_time_ms(&self) -> f64 {
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective_ms);
        let is_first_tier = self.settings.tier == 0;
        let fraction = if is_first_tier { QUEUE_TIME_FRACTION } else { QUEUE_TIME_FRACTION_INNER_TIER };
        fraction * objectives.fold(f64::MAX, f64::min)
    }

    /// Sends the queued requests that are admitted, highest priority first.
    pub fn dispatch_queued(&mut self) {
        for slice in 0..self.slices.len() {
            while self.admits(slice) {
                let Some(&id) = self.slices.slice(slice).queue.front() else { break };
                if self.requests.contains_key(&id) && !self.send(id) {
                    break;
                }
                self.slices.queue_mut(slice).pop_front();
            }
        }
    }

    /// Visits all queues: ends requests that have waited too long, and sends those that are admitted.
    pub fn expire_or_dispatch_queued(&mut self) {
        for slice in 0..self.slices.len() {
            for _ in 0..self.slices.slice(slice).queue.len() {
                let is_admitted = self.admits(slice);
                let Some(id) = self.slices.queue_mut(slice).pop_front() else { break };
                let request = self.requests.get(&id);
                if request.is_none_or(|request| self.now_ms >= request.queue_deadline_ms) {
                    self.reject_or_fail(id, UnservedReason::QueueTimeout);
                } else if !is_admitted || !self.send(id) {
                    self.slices.queue_mut(slice).push_back(id);
                }
            }
        }
    }

    /// Charges a request to its tenant's quota, in the first tier only. A request over the quota gets a
    /// lower priority and no other disadvantage.
    pub fn charge_tenant(&mut self, tenant: usize) -> (Quota, Option<usize>) {
        let settings = self.settings.tenants.get(tenant).filter(|_| self.settings.tier == 0);
        let Some(settings) = settings else { return (Quota::Within, None) };
        let rate_per_s = settings.quota_per_s / f64::from(self.settings.instance_count);
        let burst = rate_per_s.max(MIN_QUOTA_BURST);
        let quota = self.tenant_quotas.charge(tenant, self.now_ms, rate_per_s, burst);
        (quota, (quota == Quota::Within).then_some(tenant))
    }

    /// Refunds the request of a disconnected client to its tenant and completes it. A client that
    /// disconnects before its deadline usually retries; if both requests were charged, its tenant would
    /// lose twice the quota for one answer. Rejected and timed out requests are not refunded: a client that
    /// retries again and again with a short timeout would never exceed its quota.
    pub fn on_client_disconnected(&mut self, id: RequestId) {
        let tenant = self.requests.get_mut(&id).and_then(|request| request.charged_tenant.take());
        tenant.into_iter().for_each(|tenant| self.tenant_quotas.refund(tenant));
        self.complete(id);
    }

    /// Returns the `Retry-After` delay for a rejected client in milliseconds, 0 for none. It is jittered,
    /// so that clients do not return at the same time.
    pub fn retry_after(&mut self, objective_ms: f64) -> f64 {
        let wait = objective_ms * QUEUE_TIME_FRACTION * (1.0 + self.rng.f64());
        let capabilities = &self.settings.capabilities;
        if capabilities.sends_retry_after { wait.min(capabilities.max_retry_after_ms) } else { 0.0 }
    }
}
