//! The mean of a latency, and its baseline without load.

use super::{CappedMean, MovingAverage};

/// A mean latency and its baseline: the lowest mean, which may rise again slowly.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LatencyProfile {
    mean: CappedMean,
    baseline: MovingAverage,
}

impl LatencyProfile {
    /// Returns the mean.
    pub fn mean(self) -> f64 {
        self.mean.value()
    }

    /// Returns the baseline.
    pub fn baseline(self) -> f64 {
        self.baseline.value()
    }

    /// Returns the number of samples that the mean covers.
    pub fn samples(self) -> f64 {
        self.mean.samples()
    }

    /// Returns a latency as a multiple of the mean, at most `max_ratio`.
    pub fn ratio_to_mean(self, latency: f64, max_ratio: f64) -> f64 {
        (latency / self.mean().max(0.001)).min(max_ratio)
    }

    /// Adds a sample to a mean over `max_samples` samples; the sample counts as at most `max_ratio` times
    /// the mean. The baseline follows the mean down, and in both directions while there are fewer than
    /// `min_samples` samples.
    pub fn record(&mut self, latency: f64, max_samples: f64, max_ratio: f64, min_samples: f64) {
        self.mean.record(latency, max_samples, max_ratio);
        if self.mean() < self.baseline() || self.samples() < min_samples {
            self.baseline = MovingAverage::new(self.mean());
        }
    }

    /// Moves the baseline towards the mean by a weight.
    pub fn update_baseline(&mut self, weight: f64) {
        self.baseline.update(self.mean.value(), weight);
    }
}
