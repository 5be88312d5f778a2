//! A simulated backend with slots, a queue, and a capacity that grows during its warm-up.

use super::report::Checks;
use crate::scenario;
use foldhitch_balancer::api::RequestId;
use std::collections::{BTreeSet, VecDeque};

/// The state of a simulated backend.
pub struct Backend {
    pub zone: u16,
    pub service: usize,
    pub weight: f64,
    /// Whether the backend's process is not running.
    pub is_down: bool,
    /// Whether the backend's machine doesn't answer at all.
    pub is_unresponsive: bool,
    pub is_draining: bool,
    /// Start time of the backend's process; 0 if it was started before the run and is warm.
    pub started_at_ms: f64,
    pub busy_slots: usize,
    pub queue: VecDeque<(RequestId, usize)>,
    /// All attempts that are queued or processed at this backend.
    pub active_attempts: BTreeSet<(RequestId, usize)>,
    /// Requests received during the warm-up, within the window of the `WarmUpRule`.
    pub recent_arrivals: VecDeque<Arrival>,
}

/// A request received by a backend during its warm-up.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: f64,
    /// Whether the sending proxy knew the start time of the backend's process.
    pub knows_start: bool,
}

/// The load that the settings guarantee not to exceed at a backend that is warming up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// The backend fails if it receives more than this multiple of its current capacity within `window_ms`.
    pub overload_multiple: f64,
    /// Window over which requests are counted, in milliseconds.
    pub window_ms: f64,
}

impl Backend {
    pub fn new(zone: u16, service: usize) -> Self {
        Backend {
            zone,
            service,
            weight: 1.0,
            is_down: false,
            is_unresponsive: false,
            is_draining: false,
            started_at_ms: 0.0,
            busy_slots: 0,
            queue: VecDeque::new(),
            active_attempts: BTreeSet::new(),
            recent_arrivals: VecDeque::new(),
        }
    }

    /// Returns the current capacity as a share of the full capacity.
    pub fn capacity_fraction(&self, now_ms: f64, config: &scenario::Backend) -> f64 {
        let warm_up_ms = config.cold_s * 1000.0;
        if self.started_at_ms == 0.0 || now_ms >= self.started_at_ms + warm_up_ms {
            return 1.0;
        }
        let progress = (now_ms - self.started_at_ms) / warm_up_ms;
        config.cold_capacity * (1.0 - progress) + progress
    }

    /// Records a received request. Returns whether it overloads a backend that is warming up.
    pub fn record_arrival(
        &mut self,
        now_ms: f64,
        knows_start: bool,
        config: &scenario::Backend,
        rule: WarmUpRule,
        checks: &mut Checks,
    ) -> bool {
        let capacity_fraction = self.capacity_fraction(now_ms, config);
        if capacity_fraction >= 1.0 {
            self.recent_arrivals.clear();
            return false;
        }
        checks.cold_calls += 1;
        self.recent_arrivals.push_back(Arrival { at_ms: now_ms, knows_start });
        while self.recent_arrivals.front().is_some_and(|arrival| arrival.at_ms < now_ms - rule.window_ms) {
            self.recent_arrivals.pop_front();
        }
        let capacity_in_window = config.slots as f64 / config.work_ms * rule.window_ms;
        let budget = rule.overload_multiple * capacity_fraction * capacity_in_window;
        let max_arrivals = budget + 2.0 * budget.sqrt() + 2.0;
        let arrivals = self.recent_arrivals.len() as f64;
        checks.cold_worst = checks.cold_worst.max(arrivals / max_arrivals);
        if arrivals <= max_arrivals {
            return false;
        }
        let informed_arrivals = self.recent_arrivals.iter().filter(|arrival| arrival.knows_start).count();
        checks.cold_falls += 1;
        checks.cold_falls_told += u64::from(3 * informed_arrivals > 2 * self.recent_arrivals.len());
        true
    }
}
