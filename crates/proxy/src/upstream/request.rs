//! A request as it is sent to backends.

use crate::transport::{RequestBody, RequestPayload, StreamProgress, StreamedUpload};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use std::rc::Rc;
use tokio::time::Instant;

/// The `Host` header for a request received without one. Backends have always received this name.
const DEFAULT_HOST: HeaderValue = HeaderValue::from_static("heathroad");

/// The parts of a request that all of its attempts share.
pub struct UpstreamRequest {
    /// The request method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The client's `Host`.
    pub host: Option<HeaderValue>,
    /// `Req-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: RequestPayload,
}

impl UpstreamRequest {
    /// Returns the body if it is streamed.
    pub fn upload(&self) -> Option<&Rc<StreamedUpload>> {
        match &self.body {
            RequestPayload::Buffered(_) => None,
            RequestPayload::Streamed(upload) => Some(upload),
        }
    }

    /// Builds the message of an attempt that expires at `expires_at`. Returns `None` if an earlier attempt
    /// has taken the body.
    pub(super) fn build_message(
        &self,
        progress: &Rc<StreamProgress>,
        expires_at: Instant,
    ) -> Option<Request<RequestBody>> {
        let mut request = Request::builder().method(self.method.clone()).uri(self.uri.clone());
        let headers = request.headers_mut()?;
        headers.insert(HOST, self.host.clone().unwrap_or(DEFAULT_HOST));
        headers.insert("req-id", self.id.clone());
        headers.insert("req-deadline-ms", HeaderValue::from(self.remaining_ms(expires_at)));
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        let is_empty = matches!(&self.body, RequestPayload::Buffered(data) if data.is_empty());
        if is_empty && self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from_static("0"));
        }
        request.body(RequestBody::new(&self.body, progress.clone())?).ok()
    }

    /// Returns the time that is left to the client. For a streamed body it counts from the last byte.
    fn remaining_ms(&self, expires_at: Instant) -> u64 {
        let remaining = match &self.body {
            RequestPayload::Buffered(_) => expires_at.saturating_duration_since(Instant::now()),
            RequestPayload::Streamed(upload) => upload.status().time_left(),
        };
        remaining.as_millis() as u64
    }
}

/// Returns a request id as it is logged.
pub fn printable_id(id: &HeaderValue) -> &str {
    id.to_str().unwrap_or("?")
}
