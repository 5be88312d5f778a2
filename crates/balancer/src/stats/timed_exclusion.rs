//! A time out of service that grows with each extension.

use super::Backoff;

/// Since when and until when something is out of service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimedExclusion {
    since_ms: f64,
    until_ms: f64, // 0: in service
    backoff: Backoff,
}

impl TimedExclusion {
    /// Whether it has begun and was not ended.
    pub fn is_active(self) -> bool {
        self.until_ms > 0.0
    }

    /// Whether its time is up, which does not end it.
    pub fn is_due(self, now_ms: f64) -> bool {
        now_ms >= self.until_ms
    }

    /// Whether it is active and began after a time.
    pub fn began_after(self, time_ms: f64) -> bool {
        self.is_active() && time_ms < self.since_ms
    }

    /// Begins it, or extends it: by `base`, doubled for each earlier time up to `max_doublings` times.
    pub fn extend(&mut self, now_ms: f64, base_ms: f64, max_doublings: u32) {
        self.since_ms = now_ms;
        self.until_ms = now_ms + self.backoff.next(base_ms, max_doublings);
    }

    /// Ends it.
    pub fn end(&mut self) {
        self.until_ms = 0.0;
        self.backoff.reset();
    }
}
