//! A time out of service that grows with each extension.

use super::Backoff;

/// Since when and until when something is out of service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TimedExclusion {
    since: f64,
    until: f64, // 0: in service
    backoff: Backoff,
}

impl TimedExclusion {
    /// Whether it has begun and was not ended.
    pub fn is_active(self) -> bool {
        self.until > 0.0
    }

    /// Whether its time is up, which does not end it.
    pub fn is_due(self, now: f64) -> bool {
        now >= self.until
    }

    /// Whether it is active and began after a time.
    pub fn began_after(self, time: f64) -> bool {
        self.is_active() && time < self.since
    }

    /// Begins it, or extends it: by `base`, doubled for each earlier time up to `max_doublings` times.
    pub fn extend(&mut self, now: f64, base: f64, max_doublings: u32) {
        self.since = now;
        self.until = now + self.backoff.next(base, max_doublings);
    }

    /// Ends it.
    pub fn end(&mut self) {
        self.until = 0.0;
        self.backoff.reset();
    }
}
