//! The messages between the downstream side and the dispatcher.

use crate::transport::{BodyContent, SendGuard};
use crate::upstream::UpstreamRequest;
use std::time::Duration;
use tokio::time::Instant;

/// A received request whose class and tenant have been resolved.
pub struct IncomingRequest {
    /// The request as it is sent to backends.
    pub request: UpstreamRequest,
    /// The index of its class in the settings.
    pub class: u16,
    /// The index of its tenant in the settings.
    pub tenant: u16,
    /// Its ordering key, if it has one.
    pub ordering_key: Option<String>,
    /// Returns whether its client is still connected.
    pub is_client_connected: SendGuard,
    /// The time at which its head was complete.
    pub received_at: Instant,
    /// The client timeout.
    pub client_timeout: Duration,
    /// The extension of the client timeout for a streamed body, since the timeout counts from the last byte.
    pub body_extension: Duration,
}

/// The final answer to a request.
#[derive(Debug)]
pub enum Answer {
    /// The response of a backend.
    Served(BodyContent),
    /// The client did not send a complete request.
    InvalidRequest(hyper::StatusCode),
    /// The request was rejected and has not run; the client can retry it safely.
    Rejected {
        /// The delay for the `Retry-After` header, if there is one.
        retry_after: Option<Duration>,
    },
    /// The request failed and may have run.
    Failed,
    /// There was no response in time; the request may have run.
    TimedOut,
}
