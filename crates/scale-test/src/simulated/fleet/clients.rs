//! Clients, which send requests, retry rejected ones, and receive the answers.

use super::Fleet;
use super::request_table::{Request, RequestOutcome};
use crate::simulated::event_queue::SimulationEvent;
use crate::simulated::report::Worth;
use rand::Rng;

impl Fleet<'_> {
    pub(super) fn handle_client_arrival(&mut self) {
        let interval = rand_distr::Exp::new(self.topology.clients_per_s / 1000.0);
        let interval_ms: f64 = interval.map_or(f64::MAX, |e| self.rng.sample(e));
        self.event_queue.schedule(self.now_ms + interval_ms, SimulationEvent::ClientArrival);
        let mix = &self.scenario.calls.mix;
        let mut remaining = self.rng.random::<f64>() * mix.iter().sum::<f64>();
        let class = mix.iter().position(|share| {
            remaining -= share;
            remaining < 0.0
        });
        let class = class.unwrap_or(0);
        self.metrics.record_request(self.now_ms, self.classes[class].priority_weight);
        self.send_client_request(class, 0, self.now_ms);
    }

    pub(super) fn send_client_request(&mut self, class: usize, retries: u32, created_ms: f64) {
        let deadline_ms = created_ms + self.client_timeouts_ms[class];
        let entry_proxies = self.proxies[self.topology.backends.len()..].iter();
        let running: Vec<usize> = entry_proxies.filter(|p| p.is_running).map(|p| p.instance).collect();
        if running.is_empty() || deadline_ms <= self.now_ms {
            return self.metrics.window_at(created_ms).failed += 1;
        }
        let instance = running[self.rng.random_range(..running.len())];
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

    pub(super) fn handle_client_answer(
        &mut self,
        class: usize,
        retries: u32,
        created_ms: f64,
        deadline_ms: f64,
        outcome: RequestOutcome,
    ) {
        let (now_ms, calls) = (self.now_ms, &self.scenario.calls);
        let (priority_weight, latency_objective_ms, late_worth_share) = (
            self.classes[class].priority_weight,
            self.classes[class].latency_objective_ms,
            self.late_worth_shares[class],
        );
        if let RequestOutcome::Rejected { retry_after_ms } = outcome
            && retries < calls.client_retries
        {
            let backoff_ms =
                retry_after_ms.max(calls.client_backoff_ms) * (1.0 + 0.2 * self.rng.random::<f64>());
            if now_ms + backoff_ms < deadline_ms {
                let class = class as u16;
                let retry = SimulationEvent::ClientRetry { class, retries: retries + 1, created_ms };
                return self.event_queue.schedule(now_ms + backoff_ms, retry);
            }
        }
        let window: &mut Worth = self.metrics.window_at(created_ms);
        match outcome {
            RequestOutcome::Served if now_ms <= created_ms + latency_objective_ms => {
                (window.in_time, window.served) = (window.in_time + 1, window.served + priority_weight)
            }
            RequestOutcome::Served if now_ms <= deadline_ms => {
                (window.late, window.served) =
                    (window.late + 1, window.served + priority_weight * late_worth_share);
            }
            RequestOutcome::Rejected { .. } => window.refused += 1,
            _ => window.failed += 1,
        }
    }
}
