//! A simulated backend: slots, a queue, and a capacity that grows while it warms up.

use super::report::Checks;
use crate::scenario;
use foldhitch_balancer::api::RequestId;
use std::collections::{BTreeSet, VecDeque};

/// A backend.
pub struct Backend {
    pub zone: u16,
    pub service: usize,
    pub weight: f64,
    /// Its process does not run.
    pub is_down: bool,
    /// Nor does its machine answer.
    pub is_unresponsive: bool,
    pub is_draining: bool,
    /// When its process started; 0 is long ago.
    pub started_at_ms: f64,
    pub busy_slots: usize,
    pub queue: VecDeque<(RequestId, usize)>,
    /// All attempts that are there.
    pub active_attempts: BTreeSet<(RequestId, usize)>,
    /// Requests that came while it was warming up, within the time of the `WarmUpRule`.
    pub recent_arrivals: VecDeque<Arrival>,
}

/// A request that came to a backend while it was warming up.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_ms: f64,
    /// Its proxy knew when the backend's process started.
    pub knows_start: bool,
}

/// What the settings promise a backend that is warming up.
#[derive(Debug, Clone, Copy)]
pub struct WarmUpRule {
    /// It falls when it gets more than this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... in this time.
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

    /// Its capacity as a share of the full one.
    pub fn capacity_fraction(&self, now_ms: f64, config: &scenario::Backend) -> f64 {
        let warm_up_ms = config.cold_s * 1000.0;
        if self.started_at_ms == 0.0 || now_ms >= self.started_at_ms + warm_up_ms {
            return 1.0;
        }
        let progress = (now_ms - self.started_at_ms) / warm_up_ms;
        config.cold_capacity * (1.0 - progress) + progress
    }

    /// Takes note of a request; whether it is one too many for a backend that is warming up.
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
