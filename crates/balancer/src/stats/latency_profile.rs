//! What is known of a latency: its mean, and the baseline that it has without load.

use super::{CappedMean, MovingAverage};

/// A mean latency and its baseline, the lowest mean, which may creep up again.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyProfile {
    mean: CappedMean,
    baseline: MovingAverage,
}

impl LatencyProfile {
    /// The mean.
    pub fn mean(self) -> f64 {
        self.mean.value()
    }

    /// The baseline.
    pub fn baseline(self) -> f64 {
        self.baseline.value()
    }

    /// Samples that the mean covers.
    pub fn samples(self) -> f64 {
        self.mean.samples()
    }

    /// A latency as a multiple of the mean, at most `max_ratio`.
    pub fn ratio_to_mean(self, latency: f64, max_ratio: f64) -> f64 {
        (latency / self.mean().max(0.001)).min(max_ratio)
    }

    /// Takes a sample into a mean over `memory` samples, at most `max_ratio` times the mean. The baseline
    /// follows the mean down, and anywhere as long as there are fewer than `min_samples`.
    pub fn record(&mut self, latency: f64, max_samples: f64, max_ratio: f64, min_samples: f64) {
        self.mean.record(latency, max_samples, max_ratio);
        if self.mean() < self.baseline() || self.samples() < min_samples {
            self.baseline = MovingAverage::new(self.mean());
        }
    }

    /// Lets the baseline follow the mean with a weight.
    pub fn update_baseline(&mut self, weight: f64) {
        self.baseline.update(self.mean.value(), weight);
    }
}
