//! An exclusion from service whose duration grows with each extension.

use super::Backoff;

/// The start and the due time of an exclusion.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimedExclusion {
    since_ms: f64,
    /// 0 while in service.
    until_ms: f64,
    backoff: Backoff,
}

impl TimedExclusion {
    /// Returns whether the exclusion has begun and has not been ended.
    pub fn is_active(self) -> bool {
        self.until_ms > 0.0
    }

    /// Returns whether its duration is over, which does not end the exclusion.
    pub fn is_due(self, now_ms: f64) -> bool {
        now_ms >= self.until_ms
    }

    /// Returns whether the exclusion is active and began after a time.
    pub fn began_after(self, time_ms: f64) -> bool {
        self.is_active() && time_ms < self.since_ms
    }

    /// Begins or extends the exclusion: by `base_ms`, doubled for each earlier time up to `max_doublings`
    /// times.
    pub fn extend(&mut self, now_ms: f64, base_ms: f64, max_doublings: u32) {
        self.since_ms = now_ms;
        self.until_ms = now_ms + self.backoff.next(base_ms, max_doublings);
    }

    /// Ends the exclusion and resets its backoff.
    pub fn end(&mut self) {
        self.until_ms = 0.0;
        self.backoff.reset();
    }
}
