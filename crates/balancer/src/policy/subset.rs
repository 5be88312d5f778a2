//! Subsetting: each instance uses a part of the tier that is as large as its load, offset by its number.

use super::Policy;
use crate::api::BackendId;
use crate::collections::ring_window;

const MIN_SUBSET_SIZE: f64 = 5.0; // room for two choices when a member or two are ejected
const MIN_INSTANCES_PER_BACKEND: f64 = 2.0; // so that no backend depends on a single instance
const CALLS_PER_MEMBER: f64 = 1.0; // own calls that a member carries before the subset widens
const NARROWING_FRACTION_PER_S: f64 = 0.03; // connections cost, so the subset does not follow every lull
const INITIAL_CALLS_PER_MEMBER: f64 = 4.0; // that the limit begins at: growing from too few takes seconds
const MIN_CROSS_ZONE_PRICE: f64 = 0.01; // up to it, pooling all zones is worth more
const CROSS_ZONE_LATENCY: f64 = 0.25; // objectives that a mean may grow to save a crossing
const SPILLOVER_GAIN: f64 = 1.0;
const SPILLOVER_INTEGRAL_GAIN_PER_S: f64 = 0.4; // behind a queue, haste would make it oscillate
const EXCESS_LATENCY_DECAY_MS: f64 = 8000.0; // a zone that gets no calls gives no answers and is tried again

impl Policy {
    /// Rebuilds the ring, the backends that take requests, and what follows from it.
    pub fn rebuild_ring(&mut self) {
        let had_backends = self.warm_capacity != 0.0;
        let ring: Vec<BackendId> = self.ready_backends().map(|(id, _)| id).collect();
        let weight: f64 = ring.iter().map(|id| self.backends[id].endpoint.weight).sum();
        self.mean_weight = weight / (ring.len() as f64).max(1.0);
        self.subset.set_ring(ring);
        self.scale_limit_to_warm_capacity();
        self.resize_subset(0.0);
        if !had_backends {
            // The subset's least size is not counted: over many instances it adds up to more than is there.
            let backends = MIN_INSTANCES_PER_BACKEND * self.warm_capacity;
            let share = backends / f64::from(self.settings.instance_count);
            self.limit.raise_to(INITIAL_CALLS_PER_MEMBER * self.subset_size.min(share));
        }
    }

    /// The limit follows the listed backends, each for what it surely bears: a backend that is warming up and
    /// counted in full would have its part admitted at once, and the warm ones would get it.
    pub fn scale_limit_to_warm_capacity(&mut self) {
        let in_service =
            self.ready_backends().filter(|(_, backend)| !backend.health[None].ejection.is_active());
        let after: f64 = in_service.map(|(_, backend)| self.warm_up_fraction(backend)).sum();
        let before = std::mem::replace(&mut self.warm_capacity, after);
        // Both ways: where backends leave and return all day, one way alone would wear the limit down.
        if before > 0.0 && after > 0.0 {
            self.limit.scale(before, after);
        }
    }

    /// Widens at once with the calls in flight, narrows slowly; prefers this zone if crossing has a price.
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
        // What was in use before the operators suspended it is in use again, though the subset has moved.
        for id in self.suspensions.resumed_members() {
            self.subset.add_member(id, !self.is_remote(id));
        }
    }

    /// Whether a backend is in another zone and zones are kept apart.
    fn is_remote(&self, id: BackendId) -> bool {
        let are_zones_separated = self.settings.objective.cross_zone_price > MIN_CROSS_ZONE_PRICE;
        let backend = self.backends.get(&id).filter(|_| are_zones_separated);
        backend.is_some_and(|backend| backend.endpoint.zone != self.settings.zone)
    }

    /// The share of calls that leaves the zone follows the latencies inside and outside of it.
    pub fn update_spillover(&mut self, elapsed_ms: f64) {
        self.local_excess_latency.decay(elapsed_ms, EXCESS_LATENCY_DECAY_MS);
        self.remote_excess_latency.decay(elapsed_ms, EXCESS_LATENCY_DECAY_MS);
        let excess = self.local_excess_latency.value() - self.remote_excess_latency.value();
        let error = excess - self.settings.objective.cross_zone_price * CROSS_ZONE_LATENCY;
        self.spillover.update(error, elapsed_ms, SPILLOVER_GAIN, SPILLOVER_INTEGRAL_GAIN_PER_S);
    }
}
