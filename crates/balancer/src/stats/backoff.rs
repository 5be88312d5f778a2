//! Exponential backoff.

/// How many times in a row something failed, and the delay that follows from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The delay after another failure: `base`, doubled for each earlier one up to `max_doublings` times.
    pub fn next(&mut self, base: f64, max_doublings: u32) -> f64 {
        let doublings = self.failures.min(max_doublings);
        self.failures = self.failures.saturating_add(1);
        base * f64::from(1_u32 << doublings.min(u32::BITS - 1))
    }

    /// Starts again after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
