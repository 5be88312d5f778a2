//! How long a response is held that may be a copy of an earlier one.

use std::time::Duration;
use tokio::time::Instant;

/// How long a response is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct HoldTimes {
    /// Long enough for the response after a copy to arrive if it takes no longer than other responses.
    pub(super) usual: Duration,
    /// Long enough for the response after a copy to arrive in any case.
    pub(super) longest: Duration,
}

impl HoldTimes {
    /// Limits the hold to the usual time.
    pub(super) fn limited_to_usual(self) -> Self {
        HoldTimes { longest: self.usual, ..self }
    }
}

/// The kind of the held bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HeldKind {
    /// The start of bytes that may be a copy.
    Partial,
    /// A complete response that equals an earlier one.
    Complete,
}

/// A response that is held, or that was forwarded before it was known not to be a copy.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hold {
    /// The kind of the held bytes.
    pub(super) kind: HeldKind,
    /// When the response arrived.
    pub(super) began_at: Instant,
    /// When the response is forwarded, so that its client receives it in time.
    pub(super) release_at: Instant,
    /// When the response is known not to be a copy, if nothing has followed it.
    pub(super) decided_at: Instant,
}

impl Hold {
    /// Holds a response for the longest time, or for half of the time until it expires if that is shorter,
    /// but at least for the usual time.
    pub(super) fn begin(kind: HeldKind, now: Instant, times: HoldTimes, expires_at: Option<Instant>) -> Self {
        let half_of_remaining = expires_at.map(|expires_at| expires_at.saturating_duration_since(now) / 2);
        let release_after =
            half_of_remaining.map_or(times.longest, |half| half.clamp(times.usual, times.longest));
        Hold { kind, began_at: now, release_at: now + release_after, decided_at: now + times.longest }
    }

    /// Returns whether the response after a copy would have arrived by now.
    pub(super) fn is_decided(&self, now: Instant) -> bool {
        self.decided_at <= now
    }
}
