//! The learned concurrency limit. It is judged in windows by two views: the latencies of the responses, and
//! Little's law, in which slow calls count while they are still in flight.

use crate::collections::{ByQuota, Quota, set_slot};
use crate::stats::{LatencyProfile, LoadWindow, MovingAverage};

const TARGET_OBJECTIVE_FRACTION: f64 = 0.3; // mean latency at which the limit is full: longer queues overload
const BASELINE_TOLERANCE: f64 = 1.3; // below this multiple of the baseline chance alone would cut the limit
const MEAN_LATENCY_SAMPLES: f64 = 100.0; // samples that a mean latency covers
pub const MAX_LATENCY_RATIO: f64 = 6.0; // one response weighs at most this: heavy tails are no queue
const DROP_TOLERANCE: f64 = 0.05; // share of drops that cuts the limit: fewer are single bad choices
const MIN_WINDOW_SAMPLES: f64 = 10.0;
const MIN_STEP: f64 = 0.7; // the limit moves by no more in a window, which may be chance
const MAX_STEP: f64 = 1.5;
const SATURATION_FRACTION: f64 = 0.8; // share of the limit in flight from which on it may grow
const LIGHT_LOAD_FRACTION: f64 = 0.5; // share of the limit in flight below which there is no load
const BASELINE_WEIGHT: f64 = 0.01; // weight with which the baseline follows the mean, under load ...
const BASELINE_WEIGHT_LIGHT_LOAD: f64 = 0.1; // ... and without

/// What is known of a class's latency.
#[derive(Default, Clone)]
pub struct ClassLatency {
    pub objective_ms: f64,
    pub profile: LatencyProfile,
    pub in_flight: ByQuota<f64>,
    pub last_response_at_ms: f64,
}

impl ClassLatency {
    /// The mean latency, or the objective as long as too few responses have come.
    pub fn expected(&self) -> f64 {
        if self.profile.samples() < MIN_WINDOW_SAMPLES { self.objective_ms } else { self.profile.mean() }
    }

    /// The mean latency at which the limit is full.
    fn target(&self) -> f64 {
        let tolerated = BASELINE_TOLERANCE * self.profile.baseline();
        (TARGET_OBJECTIVE_FRACTION * self.objective_ms).max(tolerated).max(1.0)
    }
}

/// The learned limit of calls in flight, over all classes.
#[derive(Default)]
pub struct ConcurrencyLimit {
    pub classes: Vec<ClassLatency>, // by class slot
    pub window: LoadWindow,         // what was counted since the limit was last judged
    pub is_saturated: bool,         // it was reached, or nearly, since then
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

    /// Follows the capacity behind the limit.
    pub fn scale(&mut self, from: f64, to: f64) {
        self.total = (self.total * to / from).max(1.0);
    }

    /// Begins a class, with what was learned of the one that it continues.
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

    /// Lets time pass, and judges the window once it holds enough outcomes and covers the mean latency.
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
        // A cut needs both views: unresponsive backends add calls in flight but slow no response, a queue
        // does both. Growth needs both as well: the first responses are the quick ones. Few responses count
        // in full: a discount for chance holds at every instance of a large fleet, and none ever cuts.
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

    /// How far drops alone cut the limit, less what single ones may be by chance.
    fn drop_cut(&self) -> f64 {
        // Time-outs are drops only while responses are slow too: lost ones alone would cut it to nothing.
        let window = &self.window;
        let are_timeouts_drops = window.latency_by_responses() > 1.0 || window.responses == 0.0;
        let drops = if are_timeouts_drops { window.drops + window.timeouts } else { window.drops };
        let share = drops / (window.responses.max(1.0) + drops) * (1.0 - 1.0 / drops.max(1.0).sqrt());
        if share > DROP_TOLERANCE { 1.0 - share / 2.0 } else { 1.0 }
    }
}
