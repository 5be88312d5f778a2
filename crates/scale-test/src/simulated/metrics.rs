//! Counts what happens, part by part of the run.

use super::backend::ColdRule;
use super::report::{Hop, Part, Spread, Worth, sum};
use foldhitch_balancer::api::Action;
use hdrhistogram::Histogram;

/// For microseconds up to an hour, three digits of each.
fn histogram() -> Option<Histogram<u64>> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).ok()
}

/// The counts of a run.
pub struct Tally {
    parts: Vec<Part>,
    begins: Vec<f64>,
    part: usize,
    depth: usize,
    windows: Vec<Worth>,
    window: f64,
    begin: f64,
    in_force: Vec<Histogram<u64>>,
    pub decisions: u64,
    pub cold: ColdRule,
}

impl Tally {
    /// For so many parts, from `begin` on, in windows of so many ms.
    pub fn new(parts: usize, depth: usize, begin: f64, window: f64, cold: ColdRule) -> Self {
        let part = Part { hops: vec![Hop::default(); depth], ..Part::default() };
        Tally {
            parts: vec![part; parts],
            begins: vec![begin; parts + 1],
            part: 0,
            depth,
            windows: Vec::new(),
            window,
            begin,
            in_force: (0..parts).filter_map(|_| histogram()).collect(),
            decisions: 0xcbf2_9ce4_8422_2325,
            cold,
        }
    }

    /// A part begins.
    pub fn begin(&mut self, part: usize, now: f64) {
        self.part = part;
        self.begins[part] = now;
    }
    /// The number of the present part.
    pub fn number(&self) -> usize {
        self.part
    }
    /// The present part.
    pub fn part(&mut self) -> &mut Part {
        &mut self.parts[self.part]
    }
    /// The present part's calls at a depth.
    pub fn hop(&mut self, depth: usize) -> &mut Hop {
        let last = self.depth - 1;
        &mut self.parts[self.part].hops[depth.min(last)]
    }

    /// The window of a request made at `born`.
    pub fn worth(&mut self, born: f64) -> &mut Worth {
        let window = ((born - self.begin) / self.window).max(0.0) as usize;
        if window >= self.windows.len() {
            self.windows.resize(window + 1, Worth::default());
        }
        &mut self.windows[window]
    }
    /// A client makes a request.
    pub fn asked(&mut self, now: f64, points: f64) {
        let worth = self.worth(now);
        worth.requests += 1;
        worth.asked += points;
    }

    /// A change came into force at the last proxy.
    pub fn in_force(&mut self, part: usize, after: f64) {
        if let Some(histogram) = self.in_force.get_mut(part) {
            histogram.saturating_record((after * 1000.0) as u64);
        }
    }

    /// Takes a decision into the hash (FNV-1a, by words).
    pub fn decided(&mut self, copy: usize, now: f64, action: &Action) {
        let words: [u64; 4] = match *action {
            Action::Send { request, backend, expires_at_ms } => {
                [1, request, backend.into(), expires_at_ms.to_bits()]
            }
            Action::Reject { request, retry_after_ms: retry_after } => [2, request, 0, retry_after.to_bits()],
            Action::Fail { request } => [3, request, 0, 0],
            Action::Cancel { request, attempt } => [4, request, attempt.into(), 0],
            Action::SetTimer { delay_ms: delay, token } => [5, token.0, 0, delay.to_bits()],
            Action::CloseIdleConnections { backend } => [6, backend.into(), 0, 0],
            Action::PollEndpoints => [7, 1, 0, 0],
            Action::SetSuspended { backend, is_suspended: on } => [8, backend.into(), on.into(), 0],
            Action::SetDraining { is_draining: on } => [9, on.into(), 0, 0],
        };
        for word in [copy as u64, now.to_bits()].into_iter().chain(words) {
            self.decisions = (self.decisions ^ word).wrapping_mul(0x0100_0000_01b3);
        }
    }

    /// The windows from `begin` to `end`.
    pub fn windows(&self, begin: f64, end: f64) -> Vec<Worth> {
        let at = |time: f64| ((time - self.begin) / self.window).round() as usize;
        let (from, to) = (at(begin).min(self.windows.len()), at(end).min(self.windows.len()));
        self.windows[from..to].to_vec()
    }

    /// A part with its requests, from its begin to `end`.
    pub fn close(&self, part: usize, end: f64) -> (Part, Vec<Worth>) {
        let windows = self.windows(self.begins[part], end);
        let mut closed = self.parts[part].clone();
        closed.seconds = (end - self.begins[part]) / 1000.0;
        closed.worth = sum(&windows);
        (closed, windows)
    }

    /// Times to being in force of the changes of some parts.
    pub fn spread(&self, parts: &[usize]) -> Spread {
        let Some(mut all) = histogram() else { return Spread::default() };
        for histogram in parts.iter().filter_map(|&p| self.in_force.get(p)) {
            // All have the same bounds, so that none is refused.
            let _ = all.add(histogram);
        }
        let ms = |us: u64| us as f64 / 1000.0;
        Spread {
            count: all.len(),
            p50: ms(all.value_at_quantile(0.5)),
            p99: ms(all.value_at_quantile(0.99)),
            max: ms(all.max()),
        }
    }
}
