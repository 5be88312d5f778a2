//! Clients: they make requests, try rejected ones again, and get the answers.

use super::Fleet;
use super::request_table::{End, Request};
use crate::simulated::event_queue::Happening;
use crate::simulated::report::Worth;
use rand::Rng;

impl Fleet<'_> {
    pub(super) fn client(&mut self) {
        let gap = rand_distr::Exp::new(self.plan.clients_per_s / 1000.0);
        let gap: f64 = gap.map_or(f64::MAX, |e| self.rng.sample(e));
        self.agenda.at(self.now + gap, Happening::Client);
        let mix = &self.scenario.calls.mix;
        let mut left = self.rng.random::<f64>() * mix.iter().sum::<f64>();
        let class = mix.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        let class = class.unwrap_or(0);
        self.tally.asked(self.now, self.classes[class].priority_weight);
        self.call_in(class, 0, self.now);
    }

    pub(super) fn call_in(&mut self, class: usize, tries: u32, born: f64) {
        let deadline = born + self.give_up[class];
        let entries = self.proxies[self.plan.backends.len()..].iter();
        let open: Vec<usize> = entries.filter(|p| p.on).map(|p| p.copy).collect();
        if open.is_empty() || deadline <= self.now {
            return self.tally.worth(born).failed += 1;
        }
        let copy = open[self.rng.random_range(..open.len())];
        self.call(Request {
            copy,
            depth: 0,
            class,
            tries,
            born,
            deadline,
            parent: None,
            ended: false,
            attempts: Vec::new(),
        });
    }

    pub(super) fn client_answered(&mut self, class: usize, tries: u32, born: f64, deadline: f64, how: End) {
        let (now, calls) = (self.now, &self.scenario.calls);
        let (points, aim, late) = (
            self.classes[class].priority_weight,
            self.classes[class].latency_objective_ms,
            self.late_worth[class],
        );
        if let End::Refused { retry_after } = how
            && tries < calls.client_retries
        {
            let pause = retry_after.max(calls.client_backoff_ms) * (1.0 + 0.2 * self.rng.random::<f64>());
            if now + pause < deadline {
                let class = class as u16;
                let again = Happening::TryAgain { class, tries: tries + 1, born };
                return self.agenda.at(now + pause, again);
            }
        }
        let worth: &mut Worth = self.tally.worth(born);
        match how {
            End::Served if now <= born + aim => {
                (worth.in_time, worth.served) = (worth.in_time + 1, worth.served + points)
            }
            End::Served if now <= deadline => {
                (worth.late, worth.served) = (worth.late + 1, worth.served + points * late);
            }
            End::Refused { .. } => worth.refused += 1,
            _ => worth.failed += 1,
        }
    }
}
