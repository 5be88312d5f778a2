//! What an instance decides.

use super::{AttemptNumber, BackendId, RequestId, TimerToken};

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
    },
    /// Final answer: failed, the request may have run.
    Fail {
        /// The request.
        request: RequestId,
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
