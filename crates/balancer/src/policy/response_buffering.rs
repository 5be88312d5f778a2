//! How long responses are buffered, so that another attempt can replace them.

use super::Policy;
use super::state::Request;
use crate::api::{Idempotency, ResponseBuffering};

/// The fraction of the time to the latency objective for which a response of an unknown length is buffered.
/// The rest is for its way to the client.
const MAX_BUFFERED_FRACTION: f64 = 0.75;
/// How long a body may pause that is not served, or that another attempt could replace.
const REPLACEABLE_PAUSE_MS: f64 = 500.0;
/// How long any other response may pause. Clients wait for no longer.
const MAX_PAUSE_MS: f64 = 3000.0;

impl Policy {
    /// Returns the time at which an incomplete response of an unknown length to a request that arrives now is
    /// forwarded. Such a response may be a long one, of which the client times the first byte.
    pub fn forward_response_by_ms(&self, class: usize, deadline_ms: f64) -> f64 {
        let objective_ms = self.classes[class].latency_objective_ms.min(deadline_ms - self.now_ms);
        self.now_ms + objective_ms.max(0.0) * MAX_BUFFERED_FRACTION
    }

    /// Returns how the response to the next attempt of a request is buffered.
    pub fn response_buffering(&self, request: &Request) -> ResponseBuffering {
        let is_replaceable = match self.classes[request.class].idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { .. } => true,
            Idempotency::NonIdempotent => false,
        };
        ResponseBuffering {
            forward_by_ms: request.forward_response_by_ms,
            max_error_pause_ms: REPLACEABLE_PAUSE_MS,
            max_served_pause_ms: if is_replaceable { REPLACEABLE_PAUSE_MS } else { MAX_PAUSE_MS },
            max_open_ended_pause_ms: MAX_PAUSE_MS,
        }
    }
}
