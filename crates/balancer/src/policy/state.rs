//! Records of backends and requests.

use crate::api::{EndpointInfo, RequestId};
use crate::collections::{ByClass, Quota};
use crate::stats::{MovingAverage, PriorMean, TimedExclusion, TokenBucket};
use std::collections::VecDeque;

/// A backend: its endpoint list entry, its calls, and what its responses have shown.
#[derive(Default)]
pub struct Backend {
    pub endpoint: EndpointInfo,
    pub calls: VecDeque<Call>,
    /// Overall and by class: a backend can respond to one class and be unresponsive to another.
    pub health: ByClass<Health>,
    /// Latency as a multiple of the mean latency of the class.
    pub relative_latency: PriorMean,
    pub error_rate: MovingAverage,
    pub slow_start_budget: TokenBucket,
}

/// A call in flight at a backend.
#[derive(Clone, Copy, PartialEq)]
pub struct Call {
    pub request: RequestId,
    pub sent_at_ms: f64,
    /// Slot of the class.
    pub class: usize,
}

/// Whether a backend responds, and its ejection if it does not.
#[derive(Default, Clone)]
pub struct Health {
    pub last_response_at_ms: f64,
    pub ejection: TimedExclusion,
}

impl Health {
    /// Creates the record of a backend that responded at `now_ms`.
    pub fn responsive_at(now_ms: f64) -> Self {
        Health { last_response_at_ms: now_ms, ..Health::default() }
    }
}

/// An attempt of a request.
#[derive(Default)]
pub struct Attempt {
    /// The endpoint that it was sent to, as listed at that time.
    pub endpoint: EndpointInfo,
    pub sent_at_ms: f64,
    pub is_in_flight: bool,
    pub never_ran: bool,
    pub holds_limit_slot: bool,
}

/// A request that is pending, or has attempts in flight.
#[derive(Default)]
pub struct Request {
    /// Ordering key; 0 if the class is not ordered by key.
    pub key: u64,
    /// Slot of the class that it was admitted with, which it keeps until it ends.
    pub class: usize,
    pub quota: Quota,
    /// Attempt limit at admission.
    pub max_attempts: u32,
    pub charged_tenant: Option<usize>,
    pub deadline_ms: f64,
    /// End of the longest queueing time, whatever the deadline is.
    pub max_queued_until_ms: f64,
    pub queue_deadline_ms: f64,
    /// Earliest time at which the deadline of a request with a stalled body can be.
    pub stalled_deadline_ms: Option<f64>,
    pub has_ended: bool,
    /// Whether the body is still arriving; a backend begins work with the last byte.
    pub is_body_streamed: bool,
    /// Whether the body was streamed to a backend and can't be sent again.
    pub is_body_consumed: bool,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// Returns the deadline that is certain to be kept: a stalled body may be complete already.
    pub fn certain_deadline_ms(&self) -> f64 {
        self.stalled_deadline_ms.map_or(self.deadline_ms, |deadline_ms| deadline_ms.min(self.deadline_ms))
    }

    /// Returns the first attempt that may have run.
    pub fn possibly_executed_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}
