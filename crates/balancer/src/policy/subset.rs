//! Subsetting: each instance uses a part of the tier that is as large as its load, at an offset given by
//! its index.

use super::Policy;
use crate::api::BackendId;
use crate::collections::ring_window;

/// Minimum size of the subset, which leaves two choices when one or two members are ejected.
const MIN_SUBSET_SIZE: f64 = 5.0;
/// Minimum number of instances per backend, so that no backend depends on a single instance.
const MIN_INSTANCES_PER_BACKEND: f64 = 2.0;
/// Calls in flight of this instance per member before the subset widens.
const CALLS_PER_MEMBER: f64 = 1.0;
/// Fraction by which the subset narrows per second: connections are costly, so the subset does not follow
/// every short drop in load.
const NARROWING_FRACTION_PER_S: f64 = 0.03;
/// Initial limit in calls per member: growing from too low a limit takes seconds.
const INITIAL_CALLS_PER_MEMBER: f64 = 4.0;
/// Price of crossing zones up to which zones are not separated, because pooling all zones is worth more.
const MIN_CROSS_ZONE_PRICE: f64 = 0.01;
/// Rise of the mean latency, in latency objectives, that is accepted to avoid crossing zones at a price of
/// 1.
const CROSS_ZONE_LATENCY: f64 = 0.25;
/// Proportional gain of the spillover controller.
const SPILLOVER_GAIN: f64 = 1.0;
/// Integral gain of the spillover controller per second: behind a queue a higher gain would oscillate.
const SPILLOVER_INTEGRAL_GAIN_PER_S: f64 = 0.4;
/// Decay time, in milliseconds, of the excess latency: a zone without calls gives no responses and has to
/// be tried again.
const EXCESS_LATENCY_DECAY_MS: f64 = 8000.0;

impl Policy {
    /// Rebuilds the ring of ready backends and the state that depends on it.
    pub fn rebuild_ring(&mut self) {
        let had_backends = self.warm_capacity != 0.0;
        let ring: Vec<BackendId> = self.ready_backends().map(|(id, _)| id).collect();
        let weight: f64 = ring.iter().map(|id| self.backends[id].endpoint.weight).sum();
        self.mean_weight = weight / (ring.len() as f64).max(1.0);
        self.subset.set_ring(ring);
        self.scale_limit_to_warm_capacity();
        self.resize_subset(0.0);
        if !had_backends {
            // The minimum subset size is not counted: over many instances it would add up to more than the
            // tier's capacity.
            let backends = MIN_INSTANCES_PER_BACKEND * self.warm_capacity;
            let share = backends / f64::from(self.settings.instance_count);
            self.limit.raise_to(INITIAL_CALLS_PER_MEMBER * self.subset_size.min(share));
        }
    }

    /// Scales the limit with the ready backends, each counted by the capacity that it certainly has. If a
    /// backend that is warming up counted in full, its part of the limit would be admitted at once and sent
    /// to the warm backends.
    pub fn scale_limit_to_warm_capacity(&mut self) {
        let in_service =
            self.ready_backends().filter(|(_, backend)| !backend.health[None].ejection.is_active());
        let after: f64 = in_service.map(|(_, backend)| self.warm_up_fraction(backend)).sum();
        let before = std::mem::replace(&mut self.warm_capacity, after);
        // The limit is scaled up as well as down: where backends are removed and added again all day, scaling
        // it in one direction only would reduce it further each time.
        if before > 0.0 && after > 0.0 {
            self.limit.scale(before, after);
        }
    }

    /// Widens the subset at once with the calls in flight, and narrows it slowly. Prefers this zone if
    /// crossing zones has a price.
    pub fn resize_subset(&mut self, elapsed_ms: f64) {
        let instances = self.settings.instance_count;
        let backends = self.subset.ring().len() as f64;
        let overlap = MIN_INSTANCES_PER_BACKEND * backends / f64::from(instances);
        let needed = (self.peak_in_flight.value() / CALLS_PER_MEMBER).max(overlap).max(MIN_SUBSET_SIZE);
        let narrowed = self.subset_size * (1.0 - NARROWING_FRACTION_PER_S * elapsed_ms / 1000.0);
        self.subset_size = needed.max(narrowed).min(backends);
        let ring = self.subset.ring().iter().copied();
        let (remote, local): (Vec<_>, Vec<_>) = ring.partition(|&id| self.is_remote(id));
        let remote_share = match (local.is_empty(), remote.is_empty()) {
            (true, _) => 1.0,
            (false, true) => 0.0,
            (false, false) => self.spillover.output(),
        };
        let choose = |part: &[BackendId], share: f64| {
            let wanted = (self.subset_size * share).ceil().max(MIN_SUBSET_SIZE);
            let is_healthy = |id| !self.backends[&id].health[None].ejection.is_active();
            ring_window(part, self.settings.instance_index, instances, wanted, is_healthy)
        };
        let (local, remote) = (choose(&local, 1.0 - remote_share), choose(&remote, remote_share));
        self.subset.set_members(local, remote);
        // Members that the operators suspended become members again when they are resumed, even if the
        // subset has moved.
        for id in self.suspensions.resumed_members() {
            self.subset.add_member(id, !self.is_remote(id));
        }
    }

    /// Returns whether a backend is in another zone and zones are separated.
    fn is_remote(&self, id: BackendId) -> bool {
        let are_zones_separated = self.settings.objective.cross_zone_price > MIN_CROSS_ZONE_PRICE;
        let backend = self.backends.get(&id).filter(|_| are_zones_separated);
        backend.is_some_and(|backend| backend.endpoint.zone != self.settings.zone)
    }

    /// Adapts the share of calls that is sent to other zones to the latencies in this zone and outside of
    /// it.
    pub fn update_spillover(&mut self, elapsed_ms: f64) {
        self.local_excess_latency.decay(elapsed_ms, EXCESS_LATENCY_DECAY_MS);
        self.remote_excess_latency.decay(elapsed_ms, EXCESS_LATENCY_DECAY_MS);
        let excess = self.local_excess_latency.value() - self.remote_excess_latency.value();
        let error = excess - self.settings.objective.cross_zone_price * CROSS_ZONE_LATENCY;
        self.spillover.update(error, elapsed_ms, SPILLOVER_GAIN, SPILLOVER_INTEGRAL_GAIN_PER_S);
    }
}
