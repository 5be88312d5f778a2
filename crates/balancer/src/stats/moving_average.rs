//! An exponentially weighted moving average.

/// A mean in which each new sample has a weight of the caller's choice.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MovingAverage {
    value: f64,
}

impl MovingAverage {
    /// Starts at a value.
    pub fn new(value: f64) -> Self {
        MovingAverage { value }
    }

    /// The mean.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Takes a sample that weighs `weight` (0 to 1) beside all earlier ones together.
    pub fn update(&mut self, sample: f64, weight: f64) {
        self.value += (sample - self.value) * weight;
    }

    /// The same, but the first sample counts in full; a mean of 0 has none.
    pub fn init_or_update(&mut self, sample: f64, weight: f64) {
        let weight = if self.value == 0.0 { 1.0 } else { weight };
        self.update(sample, weight);
    }

    /// Takes a sample that weighs as much as one of `count` equal ones.
    pub fn update_as_one_of(&mut self, sample: f64, count: f64) {
        self.value += (sample - self.value) / count;
    }

    /// Fades towards 0 over a time.
    pub fn decay(&mut self, elapsed_ms: f64, duration_ms: f64) {
        self.value -= self.value * elapsed_ms / duration_ms;
    }
}
