//! A proportional-integral controller for a share.

/// Converts an error into a share between 0 and 1.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PiController {
    integral: f64,
    output: f64,
}

impl PiController {
    /// Returns the share.
    pub fn output(self) -> f64 {
        self.output
    }

    /// Updates the share with an error that lasted for `elapsed_ms`.
    pub fn update(&mut self, error: f64, elapsed_ms: f64, gain: f64, integral_gain_per_s: f64) {
        let step = integral_gain_per_s * error * elapsed_ms / 1000.0;
        self.integral = (self.integral + step).clamp(0.0, 1.0);
        self.output = (self.integral + gain * error).clamp(0.0, 1.0);
    }
}
