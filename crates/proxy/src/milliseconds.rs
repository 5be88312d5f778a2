//! Conversions between durations and the milliseconds of the balancer.

use std::time::Duration;

/// The maximum duration of a wait, in seconds: one day.
const MAX_DURATION_S: f64 = 86_400.0;

/// Converts a duration to milliseconds.
pub fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}

/// Converts milliseconds to a duration of at most one day. A negative or non-finite number gives zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    let seconds = if ms.is_finite() { (ms / 1000.0).clamp(0.0, MAX_DURATION_S) } else { 0.0 };
    Duration::from_secs_f64(seconds)
}
