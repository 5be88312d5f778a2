//! How long responses are buffered, so that another attempt can replace them.

use super::Policy;
use super::state::Request;
use crate::api::{Idempotency, ResponseBuffering};

/// The fraction of the time that is left for which a response is buffered. The rest is for its way to the
/// client.
const MAX_BUFFERED_FRACTION: f64 = 0.75;
/// The fraction of the time to the client's timeout that a late response has instead of the time to the
/// latency objective.
const LATE_FRACTION: f64 = 0.25;
/// How long a body may pause that is not served, or that another attempt could replace.
const REPLACEABLE_PAUSE_MS: f64 = 500.0;
/// How long any other response may pause. Clients wait for no longer.
const MAX_PAUSE_MS: f64 = 3000.0;

impl Policy {
    /// Returns how the response to the next attempt of a request is buffered.
    pub fn response_buffering(&self, request: &Request) -> ResponseBuffering {
        let class = &self.classes[request.class];
        let is_replaceable = match class.idempotency {
            Idempotency::Idempotent | Idempotency::Deduplicated { .. } => true,
            Idempotency::NonIdempotent => false,
        };
        ResponseBuffering {
            latency_objective_ms: class.latency_objective_ms,
            max_error_pause_ms: REPLACEABLE_PAUSE_MS,
            max_served_pause_ms: if is_replaceable { REPLACEABLE_PAUSE_MS } else { MAX_PAUSE_MS },
            max_open_ended_pause_ms: MAX_PAUSE_MS,
        }
    }
}

impl ResponseBuffering {
    /// Returns how much longer a response is buffered of whose body nothing has arrived. `elapsed_ms` is the
    /// time since the last byte of its request, and `client_timeout_ms` the client's timeout from then on.
    pub fn buffer_head_for_ms(&self, elapsed_ms: f64, client_timeout_ms: f64) -> f64 {
        (client_timeout_ms - elapsed_ms).max(0.0) * MAX_BUFFERED_FRACTION
    }

    /// Returns how much longer a response of an unknown length is buffered whose body has just begun. It may
    /// be a long one, of which the client times the first byte.
    pub fn buffer_body_for_ms(&self, elapsed_ms: f64, client_timeout_ms: f64) -> f64 {
        let to_timeout_ms = (client_timeout_ms - elapsed_ms).max(0.0);
        let to_objective_ms = self.latency_objective_ms.min(client_timeout_ms) - elapsed_ms;
        to_objective_ms.max(to_timeout_ms * LATE_FRACTION) * MAX_BUFFERED_FRACTION
    }
}
