//! Actions: the decisions of an instance.

use super::{AttemptNumber, BackendId, RequestId, TimerToken};
use std::fmt;

/// Why a request was not served, for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnservedReason {
    /// The settings have no such class.
    UnknownClass,
    /// No backend accepts requests.
    NoReadyBackend,
    /// The concurrency limit is reached, and the queue is as long as the limit.
    QueueFull,
    /// The request was queued for the longest time allowed.
    QueueTimeout,
    /// The request waited behind others of its ordering key for the longest time allowed.
    KeyQueueTimeout,
    /// Too little time is left before the client's deadline.
    DeadlineTooClose,
    /// All attempts ended without being served, and another one is not allowed or would be too late.
    AttemptsFailed,
}

impl fmt::Display for UnservedReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            UnservedReason::UnknownClass => "unknown class",
            UnservedReason::NoReadyBackend => "no ready backend",
            UnservedReason::QueueFull => "queue full",
            UnservedReason::QueueTimeout => "queue timeout",
            UnservedReason::KeyQueueTimeout => "queue timeout behind its ordering key",
            UnservedReason::DeadlineTooClose => "deadline too close",
            UnservedReason::AttemptsFailed => "attempts failed",
        })
    }
}

/// How long a response is buffered. Another attempt can replace a response only while nothing of it was
/// forwarded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseBuffering {
    /// The latency objective of the request's class, from the last byte of the request.
    pub latency_objective_ms: f64,
    /// How long the body of an error may pause before the attempt fails.
    pub max_error_pause_ms: f64,
    /// How long a served response of a known length may pause. Its length may exceed what the backend sends.
    pub max_served_pause_ms: f64,
    /// How long a served response of an unknown length may pause while it is buffered.
    pub max_open_ended_pause_ms: f64,
}

/// A decision. The proxy carries out the actions in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request.
    Send {
        /// The request.
        request: RequestId,
        /// The backend to send it to.
        backend: BackendId,
        /// Time at which the attempt is abandoned.
        expires_at_ms: f64,
        /// Time at which the first byte must have been written, if an earlier attempt may have run and
        /// backends drop duplicates only for a limited time.
        send_by_ms: Option<f64>,
        /// How its response is buffered.
        buffering: ResponseBuffering,
    },
    /// Give the final answer that the request was rejected. A retry by the client is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// Delay after which the client should retry; 0 for no advice.
        retry_after_ms: f64,
        /// Why it was not served.
        reason: UnservedReason,
    },
    /// Give the final answer that the request failed. The request may have run.
    Fail {
        /// The request.
        request: RequestId,
        /// Why it was not served.
        reason: UnservedReason,
    },
    /// Cancel one attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
    },
    /// Start a timer, which reports [`Event::TimerFired`](super::Event::TimerFired).
    SetTimer {
        /// Delay from now.
        delay_ms: f64,
        /// Token that the event returns.
        token: TimerToken,
    },
    /// Close the idle connections to a backend.
    CloseIdleConnections {
        /// The backend.
        backend: BackendId,
    },
    /// Poll the endpoint list.
    PollEndpoints,
    /// Send nothing more to a backend, attempts in progress included, or send to it again.
    SetSuspended {
        /// The backend.
        backend: BackendId,
        /// Whether it is suspended.
        is_suspended: bool,
    },
    /// Direct clients to other instances, or serve them again.
    SetDraining {
        /// Whether the instance is draining.
        is_draining: bool,
    },
}
