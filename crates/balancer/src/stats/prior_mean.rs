//! A mean that begins at a prior value.

use super::MovingAverage;

/// The mean of the latest samples; as long as there are few, a prior counts for some more.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PriorMean {
    samples: f64,
    mean: MovingAverage,
}

impl PriorMean {
    /// Starts at a value, without samples.
    pub fn new(prior: f64) -> Self {
        PriorMean { samples: 0.0, mean: MovingAverage::new(prior) }
    }

    /// The mean.
    pub fn value(self) -> f64 {
        self.mean.value()
    }

    /// Samples that the mean covers.
    pub fn samples(self) -> f64 {
        self.samples
    }

    /// Takes a sample into a mean over `memory` samples, in which the prior counts as `prior_samples`.
    pub fn record(&mut self, sample: f64, max_samples: f64, prior_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.mean.update_as_one_of(sample, self.samples + prior_samples);
    }
}
