//! What the clients' side and the dispatcher tell each other.

use crate::transport::{BodyContent, SendGuard};
use crate::upstream::UpstreamRequest;
use std::time::Duration;
use tokio::time::Instant;

/// A request as it came in, its names resolved.
pub struct IncomingRequest {
    /// What is sent to backends.
    pub request: UpstreamRequest,
    /// Place of its class in the settings.
    pub class: u16,
    /// Place of its tenant.
    pub tenant: u16,
    /// What it is about.
    pub ordering_key: Option<String>,
    /// Whether its client is still connected.
    pub is_client_connected: SendGuard,
    /// When its head had come.
    pub received_at: Instant,
    /// How long its client waits.
    pub client_timeout: Duration,
    /// How much longer that may be where its body is streamed through, since it counts from the last byte.
    pub body_extension: Duration,
}

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A backend's response.
    Served(BodyContent),
    /// Its client did not send a complete request.
    InvalidRequest(hyper::StatusCode),
    /// Rejected; a retry by the client is harmless.
    Rejected {
        /// How long the client should stay away, where that is told.
        retry_after: Option<Duration>,
    },
    /// Failed; it may have run.
    Failed,
    /// No response in time; it may have run.
    TimedOut,
}
