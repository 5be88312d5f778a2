//! How an attempt ended, and what the balancer is told of it.

use crate::transport::BodyContent;
use foldhitch_balancer::api::Outcome;
use hyper::StatusCode;
use std::time::Duration;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// With a response to forward.
    Served(BodyContent),
    /// Its client did not send a complete request.
    InvalidRequest(StatusCode),
    /// Rejected as a request that no backend can use.
    Rejected,
    /// Otherwise.
    Unserved(Outcome),
}

impl AttemptOutcome {
    /// What the balancer is told of it.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptOutcome::Served(_) => Outcome::Ok,
            // The request's fault: it says nothing of the backend, and another would say the same.
            AttemptOutcome::Rejected | AttemptOutcome::InvalidRequest(_) => Outcome::Cancelled,
            AttemptOutcome::Unserved(outcome) => *outcome,
        }
    }
}

/// An attempt that has ended.
pub struct FinishedAttempt {
    /// How.
    pub outcome: AttemptOutcome,
    /// For how long this proxy held the response: none of the backend's time.
    pub held_for: Duration,
}
