//! Events: what the proxy reports to an instance.

use super::{AttemptNumber, BackendId, RequestId, TimerToken};

/// An event.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The endpoint list, or changes to it.
    EndpointList {
        /// How the list relates to the current list of the instance.
        kind: EndpointListKind,
        /// The endpoints of the list.
        endpoints: Vec<EndpointInfo>,
    },
    /// A request arrived. From now on exactly one final answer is pending.
    RequestArrived(RequestArrival),
    /// The last byte of a request's body was received.
    BodyReceived {
        /// The request.
        request: RequestId,
        /// Deadline of the client, which counts from now on.
        deadline_ms: f64,
    },
    /// The body of a request is not read any further, because no backend takes it. Its last byte may have
    /// arrived.
    BodyStalled {
        /// The request.
        request: RequestId,
        /// The earliest time at which the client's deadline can be.
        deadline_ms: f64,
    },
    /// An attempt ended.
    AttemptFinished(AttemptResult),
    /// The client disconnected. No answer is pending any more.
    ClientDisconnected {
        /// The request.
        request: RequestId,
    },
    /// The operators suspend a backend or resume it.
    SetSuspended {
        /// The backend, which need not be listed.
        backend: BackendId,
        /// Whether it is suspended.
        is_suspended: bool,
    },
    /// The operators drain this instance or activate it again.
    SetDraining {
        /// Whether the instance is draining.
        is_draining: bool,
    },
    /// The number of processes that act as this instance, each making the same decisions.
    ProcessCount {
        /// Number of processes, this one included.
        count: u32,
    },
    /// A timer fired.
    TimerFired {
        /// Token that was given in [`Action::SetTimer`](super::Action::SetTimer).
        token: TimerToken,
    },
}

/// Whether a backend accepts new requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Phase {
    /// Accepts requests.
    #[default]
    Ready,
    /// Finishes its requests and must not be sent new ones.
    Draining,
    /// Removed from the endpoint list.
    Removed,
}

/// A backend, as the endpoint list describes it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EndpointInfo {
    /// The backend.
    pub backend: BackendId,
    /// Whether it accepts new requests.
    pub phase: Phase,
    /// Its zone.
    pub zone: u16,
    /// Time at which its process last started; 0 if that was long ago.
    pub started_at_ms: f64,
    /// Its capacity relative to other backends.
    pub weight: f64,
    /// Its cell.
    pub cell: u16,
}

/// How an endpoint list relates to the current list of the instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointListKind {
    /// The full list. Backends that it does not contain were removed.
    Full,
    /// Changes: only the endpoints that changed.
    Delta,
    /// The full list as last received, which may be out of date.
    Cached,
    /// A poll failed or a watch was interrupted. The event has no endpoints.
    Failed,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// Rejected by a backend whose queue is full; the request never ran.
    Full,
    /// No response in time; the request may have run.
    Timeout,
    /// No connection could be established; the request never ran.
    ConnectFailed,
    /// The connection was lost; the request may have run.
    Reset,
    /// Cancelled; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Returns whether this outcome proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent)
    }
}

/// A request that arrived.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestArrival {
    /// The request.
    pub request: RequestId,
    /// Ordering key, shared by requests that belong together; 0 for none.
    pub key: u64,
    /// Index of its class in the settings.
    pub class: u16,
    /// Index of its tenant in the settings; 0 if there are no tenants.
    pub tenant: u16,
    /// Deadline of the client.
    pub deadline_ms: f64,
    /// Whether the body is still arriving and is streamed; a backend begins work with the last byte.
    pub is_body_streamed: bool,
}

/// The result of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptResult {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The backend that it was sent to.
    pub backend: BackendId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since the attempt was sent.
    pub latency_ms: f64,
    /// Whether the request has its final answer, so that nothing is pending.
    pub is_request_closed: bool,
    /// Whether the body was streamed with the attempt, so that it can't be sent again, whether or not the
    /// attempt ran.
    pub is_body_consumed: bool,
}
