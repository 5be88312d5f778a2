//! What an instance decides.

use super::{AttemptNumber, BackendId, RequestId, TimerToken};
use std::fmt;

/// Why a request is not served, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnservedReason {
    /// No class of the settings is the request's.
    UnknownClass,
    /// No backend takes requests.
    NoReadyBackend,
    /// The concurrency limit is reached, and as many requests are queued.
    QueueFull,
    /// It was queued for as long as it may be.
    QueueTimeout,
    /// It was behind others of its ordering key for as long as it may be.
    KeyQueueTimeout,
    /// Too little of its client's time is left to begin.
    DeadlineTooClose,
    /// Its attempts ended unserved, and no further one is allowed or in time.
    AttemptsFailed,
}

impl fmt::Display for UnservedReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            UnservedReason::UnknownClass => "unknown class",
            UnservedReason::NoReadyBackend => "no ready backend",
            UnservedReason::QueueFull => "queue full",
            UnservedReason::QueueTimeout => "queue timeout",
            UnservedReason::KeyQueueTimeout => "queue timeout behind its key",
            UnservedReason::DeadlineTooClose => "deadline too close",
            UnservedReason::AttemptsFailed => "attempts failed",
        })
    }
}

/// A decision; the proxy carries them out in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// Where to.
        backend: BackendId,
        /// When the attempt is abandoned.
        expires_at_ms: f64,
    },
    /// Final answer: rejected, a retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should stay away; 0 is no advice.
        retry_after_ms: f64,
        /// Why it is not served.
        reason: UnservedReason,
    },
    /// Final answer: failed, the request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it is not served.
        reason: UnservedReason,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Ask for an [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// Time from now.
        delay_ms: f64,
        /// Comes back with the event.
        token: TimerToken,
    },
    /// Close the idle connections to a backend.
    CloseIdleConnections {
        /// The backend.
        backend: BackendId,
    },
    /// Poll the endpoint list.
    PollEndpoints,
    /// Send nothing more to a backend, attempts under way included, or send to it again.
    SetSuspended {
        /// The backend.
        backend: BackendId,
        /// Suspended or not.
        is_suspended: bool,
    },
    /// Send clients elsewhere, or serve them again.
    SetDraining {
        /// Draining or not.
        is_draining: bool,
    },
}
