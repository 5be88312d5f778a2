//! An exponentially weighted moving average.

/// A mean in which the caller chooses the weight of each new sample.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MovingAverage {
    value: f64,
}

impl MovingAverage {
    /// Creates an average with an initial value.
    pub fn new(value: f64) -> Self {
        MovingAverage { value }
    }

    /// Returns the mean.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Adds a sample with `weight` (0 to 1) relative to all earlier samples together.
    pub fn update(&mut self, sample: f64, weight: f64) {
        self.value += (sample - self.value) * weight;
    }

    /// Adds a sample like [`update`](Self::update), but the first sample counts in full; a mean of 0 has no
    /// sample yet.
    pub fn init_or_update(&mut self, sample: f64, weight: f64) {
        let weight = if self.value == 0.0 { 1.0 } else { weight };
        self.update(sample, weight);
    }

    /// Adds a sample with the weight of one of `count` equal samples.
    pub fn update_as_one_of(&mut self, sample: f64, count: f64) {
        self.value += (sample - self.value) / count;
    }

    /// Decays towards 0 by the fraction `elapsed_ms / duration_ms`.
    pub fn decay(&mut self, elapsed_ms: f64, duration_ms: f64) {
        self.value -= self.value * elapsed_ms / duration_ms;
    }
}
