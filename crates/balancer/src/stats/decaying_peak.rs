//! The highest recent value.

/// A maximum that decays until a higher value is recorded.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingPeak {
    value: f64,
}

impl DecayingPeak {
    /// Returns the maximum.
    pub fn value(self) -> f64 {
        self.value
    }

    /// Records a value.
    pub fn record(&mut self, value: f64) {
        self.value = self.value.max(value);
    }

    /// Records a value after `elapsed_ms`, in which the earlier maximum decays by the fraction `elapsed_ms` /
    /// `duration_ms`.
    pub fn record_after(&mut self, value: f64, elapsed_ms: f64, duration_ms: f64) {
        self.value = value.max(self.value * (1.0 - elapsed_ms / duration_ms));
    }
}
