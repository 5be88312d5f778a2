//! Exponential backoff.

/// The number of consecutive failures, which determines the delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay after another failure: `base`, doubled for each earlier failure up to
    /// `max_doublings` times.
    pub fn next(&mut self, base: f64, max_doublings: u32) -> f64 {
        let doublings = self.failures.min(max_doublings);
        self.failures = self.failures.saturating_add(1);
        base * f64::from(1_u32 << doublings.min(u32::BITS - 1))
    }

    /// Resets the delay after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
