//! The highest recent value.

/// A maximum that fades evenly until a higher value comes.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingPeak {
    value: f64,
}

impl DecayingPeak {
    /// The maximum.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Takes a value.
    pub fn record(&mut self, value: f64) {
        self.value = self.value.max(value);
    }

    /// Takes a value after a time; earlier ones fade by that time's part of `duration`.
    pub fn record_after(&mut self, value: f64, elapsed_ms: f64, duration_ms: f64) {
        self.value = value.max(self.value * (1.0 - elapsed_ms / duration_ms));
    }
}
