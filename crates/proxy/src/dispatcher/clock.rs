//! The monotonic clock of the balancer, in milliseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// The maximum duration of a wait, in seconds: one day.
const MAX_DURATION_S: f64 = 86_400.0;

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

/// Converts a duration to milliseconds.
pub(super) fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts milliseconds to a duration of at most one day. A negative or non-finite number gives zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    let seconds = if ms.is_finite() { (ms / 1000.0).clamp(0.0, MAX_DURATION_S) } else { 0.0 };
    Duration::from_secs_f64(seconds)
}
