//! Clients: they make requests, try rejected ones again, and get the answers.

use super::Fleet;
use super::request_table::{Request, RequestOutcome};
use crate::simulated::event_queue::SimulationEvent;
use crate::simulated::report::Worth;
use rand::Rng;

impl Fleet<'_> {
    pub(super) fn client_arrival(&mut self) {
        let gap = rand_distr::Exp::new(self.topology.clients_per_s / 1000.0);
        let gap: f64 = gap.map_or(f64::MAX, |e| self.rng.sample(e));
        self.event_queue.schedule(self.now + gap, SimulationEvent::ClientArrival);
        let mix = &self.scenario.calls.mix;
        let mut left = self.rng.random::<f64>() * mix.iter().sum::<f64>();
        let class = mix.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        let class = class.unwrap_or(0);
        self.metrics.record_request(self.now, self.classes[class].priority_weight);
        self.enter(class, 0, self.now);
    }

    pub(super) fn enter(&mut self, class: usize, retries: u32, created_ms: f64) {
        let deadline_ms = created_ms + self.client_timeouts_ms[class];
        let entries = self.proxies[self.topology.backends.len()..].iter();
        let open: Vec<usize> = entries.filter(|p| p.is_running).map(|p| p.instance).collect();
        if open.is_empty() || deadline_ms <= self.now {
            return self.metrics.window_at(created_ms).failed += 1;
        }
        let instance = open[self.rng.random_range(..open.len())];
        self.open_request(Request {
            instance,
            depth: 0,
            class,
            retries,
            created_ms,
            deadline_ms,
            parent: None,
            has_ended: false,
            attempts: Vec::new(),
        });
    }

    pub(super) fn client_answered(
        &mut self,
        class: usize,
        retries: u32,
        created_ms: f64,
        deadline_ms: f64,
        how: RequestOutcome,
    ) {
        let (now, calls) = (self.now, &self.scenario.calls);
        let (priority_weight, latency_objective_ms, late) = (
            self.classes[class].priority_weight,
            self.classes[class].latency_objective_ms,
            self.late_worth_shares[class],
        );
        if let RequestOutcome::Rejected { retry_after_ms } = how
            && retries < calls.client_retries
        {
            let pause = retry_after_ms.max(calls.client_backoff_ms) * (1.0 + 0.2 * self.rng.random::<f64>());
            if now + pause < deadline_ms {
                let class = class as u16;
                let again = SimulationEvent::ClientRetry { class, retries: retries + 1, created_ms };
                return self.event_queue.schedule(now + pause, again);
            }
        }
        let worth: &mut Worth = self.metrics.window_at(created_ms);
        match how {
            RequestOutcome::Served if now <= created_ms + latency_objective_ms => {
                (worth.in_time, worth.served) = (worth.in_time + 1, worth.served + priority_weight)
            }
            RequestOutcome::Served if now <= deadline_ms => {
                (worth.late, worth.served) = (worth.late + 1, worth.served + priority_weight * late);
            }
            RequestOutcome::Rejected { .. } => worth.refused += 1,
            _ => worth.failed += 1,
        }
    }
}
