//! How an attempt ended, and the outcome that is reported to the balancer.

use crate::transport::BodyContent;
use foldhitch_balancer::api::Outcome;
use hyper::StatusCode;
use std::time::Duration;

/// How an attempt ended.
pub enum AttemptOutcome {
    /// The backend served the request; this is the body to forward.
    Served(BodyContent),
    /// The client did not send a complete and valid request; this is the status to respond with.
    InvalidRequest(StatusCode),
    /// The backend rejected the request as one that no backend can serve.
    Rejected,
    /// Any other outcome.
    Unserved(Outcome),
}

impl AttemptOutcome {
    /// Returns the outcome that is reported to the balancer.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptOutcome::Served(_) => Outcome::Ok,
            // The request is at fault: this says nothing about the backend, and another backend would reject
            // it too.
            AttemptOutcome::Rejected | AttemptOutcome::InvalidRequest(_) => Outcome::Cancelled,
            AttemptOutcome::Unserved(outcome) => *outcome,
        }
    }
}

/// An attempt that has ended.
pub struct FinishedAttempt {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long this proxy held back the response. This does not count as the backend's time.
    pub held_for: Duration,
}
