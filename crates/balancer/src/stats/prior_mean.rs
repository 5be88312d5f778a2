//! A mean that starts from a prior.

use super::MovingAverage;

/// The mean of the latest samples, in which a prior counts as some more samples while there are few.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PriorMean {
    samples: f64,
    mean: MovingAverage,
}

impl PriorMean {
    /// Creates a mean with a prior value and without samples.
    pub fn new(prior: f64) -> Self {
        PriorMean { samples: 0.0, mean: MovingAverage::new(prior) }
    }

    /// Returns the mean.
    pub fn value(self) -> f64 {
        self.mean.value()
    }

    /// Returns the number of samples that the mean covers.
    pub fn samples(self) -> f64 {
        self.samples
    }

    /// Adds a sample to a mean over `max_samples` samples, in which the prior counts as `prior_samples`
    /// samples.
    pub fn record(&mut self, sample: f64, max_samples: f64, prior_samples: f64) {
        self.samples = (self.samples + 1.0).min(max_samples);
        self.mean.update_as_one_of(sample, self.samples + prior_samples);
    }
}
