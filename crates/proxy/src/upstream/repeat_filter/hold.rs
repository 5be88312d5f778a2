//! How long a response is held that may be the copy of an earlier one.

use std::time::Duration;
use tokio::time::Instant;

/// How long a response is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HoldTimes {
    /// The response behind a copy would have come by then, if it takes no longer than others took.
    pub(super) usual: Duration,
    /// It would have come by then in any case.
    pub(super) longest: Duration,
}

impl HoldTimes {
    /// For what is held no longer than usual.
    pub(super) fn without_longest(self) -> Self {
        HoldTimes { longest: self.usual, ..self }
    }
}

/// What is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldBytes {
    /// The beginning of what may be a copy.
    Part,
    /// A response that equals an earlier one.
    Response,
}

/// A response that is held, or that was passed on before it was known to be no copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// What is held.
    pub(super) bytes: HeldBytes,
    /// When it came.
    pub(super) began_at: Instant,
    /// When it is passed on: its client is to get it in time.
    pub(super) release_at: Instant,
    /// If nothing has come behind it by then, it is no copy.
    pub(super) verdict_at: Instant,
}

impl Hold {
    /// Holds a response for the longest time; where that is more than half of what is left until it expires, for that
    /// half, but not for less than the usual time.
    pub(super) fn begin(
        bytes: HeldBytes,
        now: Instant,
        times: HoldTimes,
        expires_at: Option<Instant>,
    ) -> Self {
        let half_of_rest = expires_at.map(|expires_at| expires_at.saturating_duration_since(now) / 2);
        let release_after = half_of_rest.map_or(times.longest, |half| half.clamp(times.usual, times.longest));
        Hold { bytes, began_at: now, release_at: now + release_after, verdict_at: now + times.longest }
    }

    /// Whether what was to come behind a copy would have come.
    pub(super) fn is_verdict_due(&self, now: Instant) -> bool {
        self.verdict_at <= now
    }
}
