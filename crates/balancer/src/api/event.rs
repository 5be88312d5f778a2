//! What an instance is told.

use super::{AttemptNumber, BackendId, RequestId, TimerToken};

/// Something that happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// Relation to the list that is held.
        kind: EndpointListKind,
        /// Its endpoints.
        endpoints: Vec<EndpointInfo>,
    },
    /// A request arrived; exactly one final answer is pending from now on.
    RequestArrived(RequestArrival),
    /// The last byte of a request's body has come.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// When its client gives up: that counts from now.
        deadline_ms: f64,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The client disconnected; no answer is pending any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The operators suspend a backend, or resume it.
    SetSuspended {
        /// The backend; no list needs to name it.
        backend: BackendId,
        /// Suspended or not.
        is_suspended: bool,
    },
    /// The operators drain this instance, or activate it again.
    SetDraining {
        /// Draining or not.
        is_draining: bool,
    },
    /// Several processes act as this instance, each with the same decisions.
    ProcessCount {
        /// This one and the others.
        count: u32,
    },
    /// A timer fired.
    TimerFired {
        /// As given in [`Action::SetTimer`](super::Action::SetTimer).
        token: TimerToken,
    },
}

/// Whether a backend takes new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes its requests; to be sent nothing new.
    Draining,
    /// Removed.
    Removed,
}

/// One backend, as the endpoint list describes it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointInfo {
    /// The backend.
    pub backend: BackendId,
    /// Whether it takes new requests.
    pub phase: Phase,
    /// Its zone.
    pub zone: u16,
    /// When its process last started; 0 is long ago.
    pub started_at_ms: f64,
    /// Its size beside the others'.
    pub weight: f64,
    /// Its cell.
    pub cell: u16,
}

/// How an endpoint list relates to the one that the instance holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The whole list; what it lacks is gone.
    Full,
    /// Changed endpoints only.
    Delta,
    /// The whole list as last held; may be old.
    Cached,
    /// A poll failed or a watch broke; no endpoints.
    Failed,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// Rejected by a backend whose queue is full; never ran.
    Full,
    /// No response in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestArrival {
    /// The request.
    pub request: RequestId,
    /// What it is about; requests with one key belong together. 0 is none.
    pub key: u64,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant; 0 where there are none.
    pub tenant: u16,
    /// When its client gives up.
    pub deadline_ms: f64,
    /// Its body is still arriving and is streamed; a backend begins work with the last byte.
    pub is_body_streamed: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Its backend.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub latency_ms: f64,
    /// The request has its final answer; nothing is pending.
    pub is_request_closed: bool,
    /// The body was streamed with the attempt, so that it can't be sent again, whether or not it ran.
    pub is_body_consumed: bool,
}
