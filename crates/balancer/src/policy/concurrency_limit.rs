//! The learned concurrency limit. It is updated once per window from two estimates of the mean latency: the
//! latencies of the responses, and Little's law, which includes slow calls that are still in flight.

use crate::collections::{ByQuota, Quota, set_slot};
use crate::stats::{LatencyProfile, LoadWindow, MovingAverage};

/// Mean latency at which the limit is full, as a fraction of the latency objective: longer queues overload
/// the backends.
const TARGET_OBJECTIVE_FRACTION: f64 = 0.3;
/// Minimum target latency as a multiple of the baseline. Below it, random variation alone would cut the
/// limit.
const BASELINE_TOLERANCE: f64 = 1.3;
/// Samples that a mean latency covers.
const MEAN_LATENCY_SAMPLES: f64 = 100.0;
/// Maximum ratio to the mean or the target with which one response counts, since a heavy tail does not
/// indicate a queue.
pub const MAX_LATENCY_RATIO: f64 = 6.0;
/// Share of drops above which the limit is cut: smaller shares come from single bad selections.
const DROP_TOLERANCE: f64 = 0.05;
/// Minimum number of outcomes in a window, and of samples in a mean latency, for either to be used.
const MIN_WINDOW_SAMPLES: f64 = 10.0;
/// Minimum factor by which one window changes the limit, because its outcomes may be due to chance.
const MIN_STEP: f64 = 0.7;
/// Maximum factor by which one window changes the limit.
const MAX_STEP: f64 = 1.5;
/// Share of the limit that must be in flight for the limit to grow.
const SATURATION_FRACTION: f64 = 0.8;
/// Share of the limit in flight below which the instance counts as unloaded.
const LIGHT_LOAD_FRACTION: f64 = 0.5;
/// Weight with which the baseline follows the mean latency under load.
const BASELINE_WEIGHT: f64 = 0.01;
/// Weight with which the baseline follows the mean latency without load.
const BASELINE_WEIGHT_LIGHT_LOAD: f64 = 0.1;

/// Latency statistics and calls in flight of a class.
#[derive(Default, Clone)]
pub struct ClassLatency {
    pub objective_ms: f64,
    pub profile: LatencyProfile,
    pub in_flight: ByQuota<f64>,
    pub last_response_at_ms: f64,
}

impl ClassLatency {
    /// Returns the mean latency, or the objective until enough responses have been received.
    pub fn expected(&self) -> f64 {
        if self.profile.samples() < MIN_WINDOW_SAMPLES { self.objective_ms } else { self.profile.mean() }
    }

    /// Returns the mean latency at which the limit is full.
    fn target(&self) -> f64 {
        let tolerated = BASELINE_TOLERANCE * self.profile.baseline();
        (TARGET_OBJECTIVE_FRACTION * self.objective_ms).max(tolerated).max(1.0)
    }
}

/// The learned limit of calls in flight, over all classes.
#[derive(Default)]
pub struct ConcurrencyLimit {
    /// By class slot.
    pub classes: Vec<ClassLatency>,
    /// Outcomes since the last update of the limit.
    pub window: LoadWindow,
    /// Whether the limit was reached, or nearly reached, since the last update.
    pub is_saturated: bool,
    pub responses_per_warm_backend_ms: f64,
    pub mean_latency: MovingAverage,
    total: f64,
}

impl ConcurrencyLimit {
    pub fn total(&self) -> f64 {
        self.total
    }

    pub fn raise_to(&mut self, least: f64) {
        self.total = self.total.max(least);
    }

    /// Scales the limit with the capacity of the backends.
    pub fn scale(&mut self, from: f64, to: f64) {
        self.total = (self.total * to / from).max(1.0);
    }

    /// Starts a class with the latencies of the class that it continues.
    pub fn start_class(&mut self, slot: usize, continues: Option<usize>, objective_ms: f64) {
        let learned = continues.map(|old| self.classes[old].clone()).unwrap_or_default();
        let class = ClassLatency { objective_ms, in_flight: ByQuota::default(), ..learned };
        set_slot(&mut self.classes, slot, class);
    }

    pub fn begin_call(&mut self, class: usize, quota: Quota, in_flight: f64) {
        self.classes[class].in_flight[quota] += 1.0;
        self.is_saturated |= in_flight >= SATURATION_FRACTION * self.total;
    }

    pub fn end_call(&mut self, class: usize, quota: Quota) {
        self.classes[class].in_flight[quota] -= 1.0;
    }

    pub fn record_served(&mut self, class: usize, latency: f64) {
        let class = &mut self.classes[class];
        class.profile.record(latency, MEAN_LATENCY_SAMPLES, MAX_LATENCY_RATIO, MIN_WINDOW_SAMPLES);
        self.window.record_response((latency / class.target()).min(MAX_LATENCY_RATIO));
    }

    /// Advances the window by `elapsed_ms`, and updates the limit once the window has enough outcomes and
    /// has lasted as long as the mean latency.
    pub fn advance(&mut self, elapsed_ms: f64, warm_capacity: f64) {
        let load = self.classes.iter().map(|class| class.in_flight.total() / class.target()).sum();
        self.window.advance(elapsed_ms, warm_capacity, load);
        let has_enough = self.window.outcomes() >= MIN_WINDOW_SAMPLES;
        if has_enough && self.window.elapsed_ms() >= self.mean_latency.value() {
            self.update_total();
            self.window = LoadWindow::default();
            self.is_saturated = false;
        }
    }

    fn update_total(&mut self) {
        let load = self.window.latency_by_load();
        let latency = self.window.latency_by_responses();
        self.responses_per_warm_backend_ms = self.window.responses_per_server_ms();
        // A cut requires both estimates: unresponsive backends add calls in flight but do not slow down
        // responses, while a queue does both. Growth also requires both, because the first responses are
        // the fast ones. A small number of responses counts in full: with a discount for chance at each
        // instance of a large fleet, none would ever cut its limit.
        let cut = self.drop_cut().min(1.0 / load.min(latency).max(1.0).sqrt());
        if cut < 1.0 {
            self.total = (self.total * cut.max(MIN_STEP)).max(1.0);
        } else if self.is_saturated && load.max(latency) < 1.0 {
            self.total *= (1.0 / load.max(latency).max(0.01).sqrt()).min(MAX_STEP);
        }
        let in_flight: f64 = self.classes.iter().map(|class| class.in_flight.total()).sum();
        let is_lightly_loaded = in_flight < LIGHT_LOAD_FRACTION * self.total;
        let weight = if is_lightly_loaded { BASELINE_WEIGHT_LIGHT_LOAD } else { BASELINE_WEIGHT };
        self.classes.iter_mut().for_each(|class| class.profile.update_baseline(weight));
    }

    /// Returns the factor by which drops alone cut the limit, after a discount for single drops by chance.
    fn drop_cut(&self) -> f64 {
        // Timeouts count as drops only while responses are slow as well or absent: lost responses alone
        // would cut the limit to its minimum.
        let window = &self.window;
        let are_timeouts_drops = window.latency_by_responses() > 1.0 || window.responses == 0.0;
        let drops = if are_timeouts_drops { window.drops + window.timeouts } else { window.drops };
        let share = drops / (window.responses.max(1.0) + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt());
        if share > DROP_TOLERANCE { 1.0 - share / 2.0 } else { 1.0 }
    }
}
