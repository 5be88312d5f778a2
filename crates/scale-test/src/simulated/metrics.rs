//! Counters for each part of the run.

use super::backend::WarmUpRule;
use super::report::{Hop, Part, Spread, Worth, sum};
use foldhitch_balancer::api::Action;
use hdrhistogram::Histogram;

/// Creates a histogram from one microsecond to one hour with three significant digits.
fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).ok()
}

/// The counters of a run.
pub struct Metrics {
    parts: Vec<Part>,
    part_starts_ms: Vec<f64>,
    part_index: usize,
    depth: usize,
    windows: Vec<Worth>,
    window_ms: f64,
    start_ms: f64,
    in_force: Vec<Histogram<u64>>,
    pub decisions: u64,
    pub warm_up_rule: WarmUpRule,
}

impl Metrics {
    /// Creates counters for `parts` parts that start at `start_ms`, in windows of `window_ms`.
    pub fn new(parts: usize, depth: usize, start_ms: f64, window_ms: f64, warm_up_rule: WarmUpRule) -> Self {
        let part = Part { hops: vec![Hop::default(); depth], ..Part::default() };
        Metrics {
            parts: vec![part; parts],
            part_starts_ms: vec![start_ms; parts + 1],
            part_index: 0,
            depth,
            windows: Vec::new(),
            window_ms,
            start_ms,
            in_force: (0..parts).filter_map(|_| histogram()).collect(),
            // The FNV-1a offset basis.
            decisions: 0xcbf2_9ce4_8422_2325,
            warm_up_rule,
        }
    }

    /// Begins a part of the report.
    pub fn begin_part(&mut self, part: usize, now_ms: f64) {
        self.part_index = part;
        self.part_starts_ms[part] = now_ms;
    }

    /// Returns the index of the current part.
    pub fn part_index(&self) -> usize {
        self.part_index
    }

    /// Returns the counters of the current part.
    pub fn current_part(&mut self) -> &mut Part {
        &mut self.parts[self.part_index]
    }

    /// Returns the counters of the current part's calls at a depth.
    pub fn hop(&mut self, depth: usize) -> &mut Hop {
        let last = self.depth - 1;
        &mut self.parts[self.part_index].hops[depth.min(last)]
    }

    /// Returns the window of a request created at `created_ms`.
    pub fn window_at(&mut self, created_ms: f64) -> &mut Worth {
        let index = ((created_ms - self.start_ms) / self.window_ms).max(0.0) as usize;
        if index >= self.windows.len() {
            self.windows.resize(index + 1, Worth::default());
        }
        &mut self.windows[index]
    }

    /// Records a new request of a client.
    pub fn record_request(&mut self, now_ms: f64, priority_weight: f64) {
        let worth = self.window_at(now_ms);
        worth.requests += 1;
        worth.asked += priority_weight;
    }

    /// Records the time until a change was in force at the last proxy.
    pub fn record_in_force(&mut self, part: usize, elapsed_ms: f64) {
        if let Some(histogram) = self.in_force.get_mut(part) {
            histogram.saturating_record((elapsed_ms * 1000.0) as u64);
        }
    }

    /// Adds a decision to the hash, which is FNV-1a over words of 64 bits.
    pub fn record_decision(&mut self, instance: usize, now_ms: f64, action: &Action) {
        let words: [u64; 4] = match *action {
            Action::Send { request, backend, expires_at_ms, .. } => {
                [1, request, backend.into(), expires_at_ms.to_bits()]
            }
            Action::Reject { request, retry_after_ms, .. } => [2, request, 0, retry_after_ms.to_bits()],
            Action::Fail { request, .. } => [3, request, 0, 0],
            Action::Cancel { request, attempt } => [4, request, attempt.into(), 0],
            Action::SetTimer { delay_ms, token } => [5, token.0, 0, delay_ms.to_bits()],
            Action::CloseIdleConnections { backend } => [6, backend.into(), 0, 0],
            Action::PollEndpoints => [7, 1, 0, 0],
            Action::SetSuspended { backend, is_suspended } => [8, backend.into(), is_suspended.into(), 0],
            Action::SetDraining { is_draining } => [9, is_draining.into(), 0, 0],
        };
        for word in [instance as u64, now_ms.to_bits()].into_iter().chain(words) {
            // Multiplies by the FNV-1a prime.
            self.decisions = (self.decisions ^ word).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// Returns the windows from `start_ms` to `end_ms`.
    pub fn windows(&self, start_ms: f64, end_ms: f64) -> Vec<Worth> {
        let window_index = |time_ms: f64| ((time_ms - self.start_ms) / self.window_ms).round() as usize;
        let (first, end) =
            (window_index(start_ms).min(self.windows.len()), window_index(end_ms).min(self.windows.len()));
        self.windows[first..end].to_vec()
    }

    /// Returns a part that ends at `end_ms`, together with its windows.
    pub fn close_part(&self, part: usize, end_ms: f64) -> (Part, Vec<Worth>) {
        let windows = self.windows(self.part_starts_ms[part], end_ms);
        let mut closed = self.parts[part].clone();
        closed.seconds = (end_ms - self.part_starts_ms[part]) / 1000.0;
        closed.worth = sum(&windows);
        (closed, windows)
    }

    /// Returns the distribution of the times until changes of the given parts were in force.
    pub fn propagation_times(&self, parts: &[usize]) -> Spread {
        let Some(mut merged) = histogram() else { return Spread::default() };
        for histogram in parts.iter().filter_map(|&p| self.in_force.get(p)) {
            // Adding can't fail, because all histograms have the same bounds.
            let _ = merged.add(histogram);
        }
        let ms = |us: u64| us as f64 / 1000.0;
        Spread {
            count: merged.len(),
            p50: ms(merged.value_at_quantile(0.5)),
            p99: ms(merged.value_at_quantile(0.99)),
            max: ms(merged.max()),
        }
    }
}
