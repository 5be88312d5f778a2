//! Every decision of a balancer instance: one learned concurrency limit, cut into slices by priority weight,
//! over a load-sized subset of the tier. The interface is in [`crate::api`].

mod admission;
mod concurrency_limit;
mod endpoints;
mod outlier_detection;
mod reconfigure;
mod request_lifecycle;
mod retry;
mod selection;
mod slow_start;
mod state;
mod subset;
#[cfg(test)]
mod tests;

use crate::api::*;
use crate::collections::{ByQuota, KeyedQueues, RingSubset, Slices, SlotTable, Suspensions, TenantQuotas};
use crate::stats::{Backoff, DecayingPeak, MovingAverage, PiController, TokenBucket};
use concurrency_limit::ConcurrencyLimit;
use state::{Backend, Request};
use std::collections::{BTreeMap, HashMap};

const PERIODIC_TIMER: TimerToken = TimerToken(0);
const POLL_TIMER: TimerToken = TimerToken(1);
const PERIOD_TICKS: f64 = 10.0; // often enough for queues, rare enough to be cheap
const PEAK_IN_FLIGHT_DECAY_MS: f64 = 5000.0; // for so long a peak of calls in flight keeps the subset wide

/// The state of a balancer instance, which only its own files change. Times are in milliseconds.
#[derive(Default)]
pub struct Policy {
    pub settings: Settings,
    pub actions: Vec<Action>, // decided on the event in hand
    pub backends: BTreeMap<BackendId, Backend>,
    pub requests: HashMap<RequestId, Request>, // looked up, never iterated: its order decides nothing
    pub classes: SlotTable<Class>,
    pub slices: Slices<RequestId>, // of the limit, highest priority weight first
    pub limit: ConcurrencyLimit,
    now_ms: f64, // of the event in hand
    rng: fastrand::Rng,
    is_draining: bool,
    process_count: f64, // that act as this instance
    last_periodic_run_at_ms: f64,
    is_poll_scheduled: bool,
    poll_backoff: Backoff,
    suspensions: Suspensions<BackendId>, // by the operators
    subset: RingSubset<BackendId>,       // of the backends that take requests
    subset_size: f64,
    mean_weight: f64,                     // of the ring's backends
    warm_capacity: f64,                   // in the ring, each counted by its warm-up fraction
    spillover: PiController,              // share of calls that leaves the zone
    local_excess_latency: MovingAverage,  // latency over the baseline, in objectives, in this zone ...
    remote_excess_latency: MovingAverage, // ... and outside of it
    key_queues: KeyedQueues<RequestId>,
    slices_of_class: Vec<ByQuota<usize>>, // by class slot
    tenant_quotas: TenantQuotas,
    retry_budget: TokenBucket,
    peak_in_flight: DecayingPeak,
    error_rate: MovingAverage,        // over all backends
    last_response_at_ms: f64,         // of any backend
    response_rate: MovingAverage,     // of a warm backend, a millisecond ...
    peak_response_rate: DecayingPeak, // ... and the most of it
}

impl Policy {
    /// An instance that knows nothing yet, with settings that were validated.
    pub fn new(initial: SettingsUpdate, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let retry_budget = TokenBucket::with_tokens(retry::MIN_RETRY_BURST);
        let mut policy = Policy { rng, retry_budget, process_count: 1.0, ..Policy::default() };
        policy.apply_settings(initial);
        policy
    }

    /// Decides on one event at clock time `now`.
    pub fn on_event(&mut self, now_ms: f64, event: Event) {
        self.now_ms = now_ms;
        match event {
            Event::EndpointList { kind, endpoints } => self.on_endpoint_list(kind, endpoints),
            Event::RequestArrived(arrival) => self.on_request(&arrival),
            Event::BodyReceived { request, deadline_ms } => self.on_body_received(request, deadline_ms),
            Event::AttemptFinished(result) => self.on_attempt_finished(&result),
            Event::ClientDisconnected { request } => self.on_client_disconnected(request),
            Event::SetSuspended { backend, is_suspended } => self.on_set_suspended(backend, is_suspended),
            Event::SetDraining { is_draining } if is_draining != self.is_draining => {
                self.is_draining = is_draining;
                self.actions.push(Action::SetDraining { is_draining });
            }
            Event::ProcessCount { count } => self.process_count = f64::from(count.max(1)),
            Event::TimerFired { token: PERIODIC_TIMER } => self.run_periodic(),
            Event::TimerFired { token: POLL_TIMER } => self.on_poll_timer(),
            Event::SetDraining { .. } | Event::TimerFired { .. } => {}
        }
        self.dispatch_queued();
    }

    /// Begins at clock time `now`, right before the first event.
    pub fn start(&mut self, now_ms: f64) {
        self.last_periodic_run_at_ms = now_ms;
        self.last_response_at_ms = now_ms;
        self.actions.push(Action::SetTimer { delay_ms: self.period_ms(), token: PERIODIC_TIMER });
        if self.settings.discovery_mode == DiscoveryMode::Poll {
            // Instances start together: the first poll is spread so that discovery is not overrun.
            let share = self.rng.f64();
            self.schedule_poll(share);
        }
    }

    /// Time between two periodic runs.
    fn period_ms(&self) -> f64 {
        (self.settings.tick_ms * PERIOD_TICKS).max(1.0)
    }

    fn run_periodic(&mut self) {
        self.actions.push(Action::SetTimer { delay_ms: self.period_ms(), token: PERIODIC_TIMER });
        let elapsed_ms = (self.now_ms - self.last_periodic_run_at_ms).max(0.0);
        self.last_periodic_run_at_ms = self.now_ms;
        let members = self.subset.members().iter();
        let warm: f64 = members.map(|id| self.warm_up_fraction(&self.backends[id])).sum();
        self.limit.advance(elapsed_ms, warm.max(1.0));
        self.suspensions.prune_resumed(self.now_ms, self.settings.guarantees.warm_up_ms);
        self.scale_limit_to_warm_capacity();
        self.update_spillover(elapsed_ms);
        self.resize_subset(elapsed_ms);
        self.peak_in_flight.record_after(self.slices.in_flight(), elapsed_ms, PEAK_IN_FLIGHT_DECAY_MS);
        self.run_key_queues();
        self.release_overdue_slots();
        self.expire_or_dispatch_queued();
        self.refill_slow_start_budgets(elapsed_ms);
        self.eject_unresponsive();
    }
}
