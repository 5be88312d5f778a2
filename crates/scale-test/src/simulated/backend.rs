//! A hollow backend: slots, a queue, warmth.

use super::report::Checks;
use crate::scenario;
use foldhitch_balancer::api::RequestId;
use std::collections::{BTreeSet, VecDeque};

/// A backend.
pub struct Backend {
    pub zone: u16,
    pub service: usize,
    pub weight: f64,
    /// Its process does not run; `silent`: nor does its machine answer.
    pub down: bool,
    pub silent: bool,
    pub draining: bool,
    /// When its process started; 0 is long ago.
    pub started_at_ms: f64,
    pub busy: usize,
    pub queue: VecDeque<(RequestId, usize)>,
    /// All attempts that are there.
    pub jobs: BTreeSet<(RequestId, usize)>,
    /// Calls that came while it was cold, not longer ago than counts; whether their proxy knew of the start.
    pub came: VecDeque<(f64, bool)>,
}

/// What the settings promise a cold backend.
#[derive(Debug, Clone, Copy)]
pub struct ColdRule {
    /// It falls when it gets more than this multiple of what it can do ...
    pub multiple: f64,
    /// ... in so many ms.
    pub within: f64,
}

impl Backend {
    pub fn new(zone: u16, service: usize) -> Self {
        Backend {
            zone,
            service,
            weight: 1.0,
            down: false,
            silent: false,
            draining: false,
            started_at_ms: 0.0,
            busy: 0,
            queue: VecDeque::new(),
            jobs: BTreeSet::new(),
            came: VecDeque::new(),
        }
    }

    /// Its capacity as a share of the full one.
    pub fn warmth(&self, now: f64, figures: &scenario::Backend) -> f64 {
        let cold = figures.cold_s * 1000.0;
        if self.started_at_ms == 0.0 || now >= self.started_at_ms + cold {
            return 1.0;
        }
        let grown = (now - self.started_at_ms) / cold;
        figures.cold_capacity * (1.0 - grown) + grown
    }

    /// Takes note of a call; whether it is one too many for a cold backend.
    pub fn came(
        &mut self,
        now: f64,
        told: bool,
        figures: &scenario::Backend,
        rule: ColdRule,
        checks: &mut Checks,
    ) -> bool {
        let warmth = self.warmth(now, figures);
        if warmth >= 1.0 {
            self.came.clear();
            return false;
        }
        checks.cold_calls += 1;
        self.came.push_back((now, told));
        while self.came.front().is_some_and(|c| c.0 < now - rule.within) {
            self.came.pop_front();
        }
        let capacity = figures.slots as f64 / figures.work_ms * rule.within;
        let budget = rule.multiple * warmth * capacity;
        let bears = budget + 2.0 * budget.sqrt() + 2.0;
        let sum = self.came.len() as f64;
        checks.cold_worst = checks.cold_worst.max(sum / bears);
        if sum <= bears {
            return false;
        }
        let knew = self.came.iter().filter(|c| c.1).count();
        checks.cold_falls += 1;
        checks.cold_falls_told += u64::from(3 * knew > 2 * self.came.len());
        true
    }
}
