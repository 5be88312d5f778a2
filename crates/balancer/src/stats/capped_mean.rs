//! A mean over a limited number of samples in which no single sample has much more weight than the others.

use super::MovingAverage;

/// The mean of the latest samples, in which samples far above the mean are capped.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CappedMean {
    samples: f64,
    mean: MovingAverage,
}

impl CappedMean {
    /// Returns the mean.
    pub fn value(self) -> f64 {
        self.mean.value()
    }

    /// Returns the number of samples that the mean covers.
    pub fn samples(self) -> f64 {
        self.samples
    }

    /// Adds a sample to a mean over `max_samples` samples. The sample counts as at most `max_ratio` times
    /// the mean.
    pub fn record(&mut self, sample: f64, max_samples: f64, max_ratio: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        let cap = max_ratio * self.mean.value().max(sample / self.samples);
        self.mean.update_as_one_of(sample.min(cap), self.samples);
    }
}
