//! How long the response to one request is buffered, as the balancer decided.

use crate::milliseconds::{duration_from_ms, milliseconds};
use foldhitch_balancer::api::ResponseBuffering;
use std::time::Duration;
use tokio::time::Instant;

/// How long the response to one request is buffered.
#[derive(Debug, Clone, Copy)]
pub(super) struct BufferingTimes {
    /// The balancer's decision.
    pub(super) decision: ResponseBuffering,
    /// When the last byte of the request was received.
    pub(super) received_at: Instant,
    /// The client's timeout, from then on.
    pub(super) client_timeout: Duration,
}

impl BufferingTimes {
    /// Returns how much longer a response is buffered of whose body nothing has arrived.
    pub(super) fn buffer_head_for(&self) -> Duration {
        duration_from_ms(self.decision.buffer_head_for_ms(self.elapsed_ms(), self.client_timeout_ms()))
    }

    /// Returns how much longer a response of an unknown length is buffered whose body has just begun.
    pub(super) fn buffer_body_for(&self) -> Duration {
        duration_from_ms(self.decision.buffer_body_for_ms(self.elapsed_ms(), self.client_timeout_ms()))
    }

    /// Returns how long the body of an error may pause.
    pub(super) fn max_error_pause(&self) -> Duration {
        duration_from_ms(self.decision.max_error_pause_ms)
    }

    /// Returns how long a served response of a known length may pause while it is buffered.
    pub(super) fn max_served_pause(&self) -> Duration {
        duration_from_ms(self.decision.max_served_pause_ms)
    }

    /// Returns how long a served response may pause that is streamed if it is not complete in time.
    pub(super) fn max_open_ended_pause(&self) -> Duration {
        duration_from_ms(self.decision.max_open_ended_pause_ms)
    }

    fn elapsed_ms(&self) -> f64 {
        milliseconds(self.received_at.elapsed())
    }

    fn client_timeout_ms(&self) -> f64 {
        milliseconds(self.client_timeout)
    }
}
