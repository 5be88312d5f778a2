//! The records that the policy keeps of backends and requests.

use crate::api::{EndpointInfo, RequestId};
use crate::collections::{ByClass, Quota};
use crate::stats::{MovingAverage, PriorMean, TimedExclusion, TokenBucket};
use std::collections::VecDeque;

/// A backend, as the endpoint list and its responses describe it.
#[derive(Default)]
pub struct Backend {
    pub endpoint: EndpointInfo,
    pub calls: VecDeque<Call>,
    pub health: ByClass<Health>, // it may answer one class, and be unresponsive for another
    pub relative_latency: PriorMean, // over the mean of its class
    pub error_rate: MovingAverage,
    pub slow_start_budget: TokenBucket,
}

/// A call in flight at a backend.
#[derive(Clone, Copy, PartialEq)]
pub struct Call {
    pub request: RequestId,
    pub sent_at_ms: f64,
    pub class: usize, // slot
}

/// Whether a backend responds.
#[derive(Default, Clone)]
pub struct Health {
    pub last_response_at_ms: f64,
    pub ejection: TimedExclusion,
}

impl Health {
    pub fn responsive_at(now_ms: f64) -> Self {
        Health { last_response_at_ms: now_ms, ..Health::default() }
    }
}

/// An attempt of a request.
#[derive(Default)]
pub struct Attempt {
    pub endpoint: EndpointInfo, // that it was sent to, as it was then
    pub sent_at_ms: f64,
    pub is_in_flight: bool,
    pub never_ran: bool,
    pub holds_limit_slot: bool,
}

/// A request that is pending, or has attempts in flight.
#[derive(Default)]
pub struct Request {
    pub key: u64,     // of an ordered class, else 0
    pub class: usize, // slot: it ends under the class that it was admitted with
    pub quota: Quota,
    pub max_attempts: u32, // as it was admitted
    pub charged_tenant: Option<usize>,
    pub deadline_ms: f64,
    pub queue_deadline_ms: f64,
    pub has_ended: bool,
    pub is_body_streamed: bool, // a backend begins work with the last byte
    pub is_body_consumed: bool, // it can't be sent again
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// The first attempt that may have run.
    pub fn possibly_executed_attempt(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| !attempt.never_ran)
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_in_flight)
    }
}
