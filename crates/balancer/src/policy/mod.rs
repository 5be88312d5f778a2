//! The load balancing policy of one balancer instance: a learned concurrency limit, divided into slices by
//! priority weight, and a subset of the tier's backends whose size follows the load. All decisions are made
//! in this module; its interface is [`crate::api`].

mod admission;
mod concurrency_limit;
mod endpoints;
mod outlier_detection;
mod reconfigure;
mod request_lifecycle;
mod response_buffering;
mod retry;
mod selection;
mod slow_start;
mod state;
mod subset;
#[cfg(test)]
mod tests;

use crate::api::{
    Action, BackendId, Class, DiscoveryMode, Event, RequestId, Settings, SettingsUpdate, TimerToken,
};
use crate::collections::{ByQuota, KeyedQueues, RingSubset, Slices, SlotTable, Suspensions, TenantQuotas};
use crate::stats::{Backoff, DecayingPeak, MovingAverage, PiController, TokenBucket};
use concurrency_limit::ConcurrencyLimit;
use state::{Backend, Request};
use std::collections::{BTreeMap, HashMap};

/// Timer of the periodic run.
const PERIODIC_TIMER: TimerToken = TimerToken(0);
/// Timer of the next poll of the endpoint list.
const POLL_TIMER: TimerToken = TimerToken(1);
/// Ticks between two periodic runs: few enough that queues are handled in time, and enough to keep the cost
/// low.
const PERIOD_TICKS: f64 = 10.0;
/// Decay time, in milliseconds, of the peak of calls in flight, which keeps the subset wide.
const PEAK_IN_FLIGHT_DECAY_MS: f64 = 5000.0;

/// The state of one balancer instance, which only this module modifies. All times are in milliseconds.
#[derive(Default)]
pub struct Policy {
    pub settings: Settings,
    /// Actions decided on for the current event.
    pub actions: Vec<Action>,
    pub backends: BTreeMap<BackendId, Backend>,
    /// Looked up by id and never iterated, so that the map's order can't affect a decision.
    pub requests: HashMap<RequestId, Request>,
    pub classes: SlotTable<Class>,
    /// Slices of the concurrency limit, highest priority weight first.
    pub slices: Slices<RequestId>,
    pub limit: ConcurrencyLimit,
    /// Clock time of the current event.
    now_ms: f64,
    rng: fastrand::Rng,
    is_draining: bool,
    /// Number of processes that act as this instance.
    process_count: f64,
    last_periodic_run_at_ms: f64,
    is_poll_scheduled: bool,
    poll_backoff: Backoff,
    /// Backends that the operators suspended.
    suspensions: Suspensions<BackendId>,
    /// The ready backends, and the subset of them that is in use.
    subset: RingSubset<BackendId>,
    subset_size: f64,
    /// Mean weight of the backends in the ring.
    mean_weight: f64,
    /// Sum of the warm-up fractions of the backends in the ring that are not ejected.
    warm_capacity: f64,
    /// Controls the share of calls that is sent to other zones.
    spillover: PiController,
    /// Latency above the baseline within this zone, in latency objectives.
    local_excess_latency: MovingAverage,
    /// Latency above the baseline in other zones, in latency objectives.
    remote_excess_latency: MovingAverage,
    key_queues: KeyedQueues<RequestId>,
    /// By class slot.
    slices_of_class: Vec<ByQuota<usize>>,
    tenant_quotas: TenantQuotas,
    retry_budget: TokenBucket,
    peak_in_flight: DecayingPeak,
    /// Error rate over all backends.
    error_rate: MovingAverage,
    /// Time of the last response of any backend.
    last_response_at_ms: f64,
    /// Average responses per millisecond of a warm backend.
    response_rate: MovingAverage,
    /// Decaying peak of `response_rate`.
    peak_response_rate: DecayingPeak,
}

impl Policy {
    /// Creates an instance that has learned nothing yet, from validated settings.
    pub fn new(initial: SettingsUpdate, seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        let retry_budget = TokenBucket::with_tokens(retry::MIN_RETRY_BURST);
        let mut policy = Policy { rng, retry_budget, process_count: 1.0, ..Policy::default() };
        policy.apply_settings(initial);
        policy
    }

    /// Handles one event at clock time `now_ms`.
    pub fn on_event(&mut self, now_ms: f64, event: Event) {
        self.now_ms = now_ms;
        match event {
            Event::EndpointList { kind, endpoints } => self.on_endpoint_list(kind, endpoints),
            Event::RequestArrived(arrival) => self.on_request(&arrival),
            Event::BodyReceived { request, deadline_ms } => self.on_body_received(request, deadline_ms),
            Event::BodyStalled { request, deadline_ms } => self.on_body_stalled(request, deadline_ms),
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

    /// Starts the timers at clock time `now_ms`, right before the first event.
    pub fn start(&mut self, now_ms: f64) {
        self.last_periodic_run_at_ms = now_ms;
        self.last_response_at_ms = now_ms;
        self.actions.push(Action::SetTimer { delay_ms: self.period_ms(), token: PERIODIC_TIMER });
        if self.settings.discovery_mode == DiscoveryMode::Poll {
            // Instances may start at the same time: a random delay spreads their first polls, so that
            // discovery is not overloaded.
            let share = self.rng.f64();
            self.schedule_poll(share);
        }
    }

    /// Returns the time between two periodic runs.
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
