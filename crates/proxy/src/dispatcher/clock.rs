//! The monotonic clock of the balancer, in milliseconds.

use crate::milliseconds::{duration_from_ms, milliseconds};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A monotonic clock that starts at the Unix time at which the process started. The start times of backends,
/// which discovery gives in Unix time, can therefore be compared with it directly.
pub(super) struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    pub(super) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_ms: unix.as_secs_f64() * 1000.0 }
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.ms_at(Instant::now())
    }

    pub(super) fn ms_at(&self, instant: Instant) -> f64 {
        self.start_ms + milliseconds(instant.saturating_duration_since(self.start))
    }

    pub(super) fn instant_at(&self, ms: f64) -> Instant {
        self.start + duration_from_ms(ms - self.start_ms)
    }
}
