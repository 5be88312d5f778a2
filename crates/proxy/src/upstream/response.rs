//! Responses of backends: what they mean, and their bodies.

use super::MAX_BUFFERED_BODY_BYTES;
use super::attempt_outcome::AttemptOutcome;
use super::connection::{Connection, IdleCheck};
use super::connection_pool::{ConnectionPool, Endpoint};
use crate::transport::{BodyContent, FrameSender, MAX_BODY_BYTES, WRITE_STALL_TIMEOUT};
use bytes::{Bytes, BytesMut};
use foldhitch_balancer::api::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, header};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// A body that is buffered, has begun and makes no headway for so long is not coming: its length doesn't fit.
const BUFFERED_BODY_STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// What was read of a response.
pub(super) enum ResponseRead {
    /// All of it.
    Complete(AttemptOutcome),
    /// The first part of a long one, and its body.
    Partial(PartialResponse, Incoming),
}

/// What was read of a long response.
pub(super) struct PartialResponse {
    pub(super) outcome: AttemptOutcome,
    pub(super) length: Option<u64>,
    data: Bytes,
}

/// Reads a response as far as it is buffered; nothing if it is corrupt.
pub(super) async fn read_response(response: Response<Incoming>) -> Option<ResponseRead> {
    let (head, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    if !is_framing_valid(&head, length) {
        return None;
    }
    let mut data = BytesMut::new();
    let mut is_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES as u64);
    while !is_long {
        // A response that breaks off is none: the request may have run.
        let frame = timeout(BUFFERED_BODY_STALL_TIMEOUT, body.frame()).await.ok()?;
        let Some(frame) = frame else { break };
        // Trailers are left out.
        if let Ok(more) = frame.ok()?.into_data() {
            data.extend_from_slice(&more);
            is_long = data.len() > MAX_BUFFERED_BODY_BYTES;
        }
    }
    let data = data.freeze();
    let outcome = outcome(&head, &data);
    Some(if is_long {
        ResponseRead::Partial(PartialResponse { outcome, length, data }, body)
    } else {
        ResponseRead::Complete(outcome)
    })
}

/// Whether a response says where it ends. Of a length and a coding at most one is true; where neither is given it
/// ends with its connection.
fn is_framing_valid(head: &Parts, length: Option<u64>) -> bool {
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_too_long = length.is_some_and(|length| length > MAX_BODY_BYTES);
    lengths + codings <= 1 && !(has_no_body && codings > 0) && !is_too_long
}

/// What a response means.
fn outcome(head: &Parts, data: &Bytes) -> AttemptOutcome {
    let is_declined = head.headers.get("srv-declined").is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => AttemptOutcome::Served(BodyContent::buffered(data.clone())),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            AttemptOutcome::Unserved(Outcome::Full)
        }
        // These speak of the moment and not of the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            AttemptOutcome::Unserved(Outcome::Error)
        }
        status if status.is_client_error() => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Unserved(Outcome::Error),
    }
}

/// A long response that is streamed to the client.
pub(super) struct ResponseStream {
    pub(super) body: Incoming,
    pub(super) frames: FrameSender,
    pub(super) pool: Rc<ConnectionPool>,
    pub(super) endpoint: Rc<Endpoint>,
    pub(super) connection: Connection,
}

/// The client no longer takes the response, or the response has broken off: the client is shown so.
struct Aborted;

impl ResponseStream {
    /// Streams the response. One that is not known to have come to its proper end has broken off.
    pub(super) async fn run(mut self, begun: PartialResponse) {
        if let Ok(IdleCheck::Reusable) = self.stream(begun).await {
            self.connection.finish_response(false);
            self.pool.keep_idle(&self.endpoint, self.connection);
        }
    }

    async fn stream(&mut self, begun: PartialResponse) -> Result<IdleCheck, Aborted> {
        let mut data = begun.data;
        let mut remaining = begun.length;
        loop {
            remaining = remaining.map(|remaining| remaining.saturating_sub(data.len() as u64));
            if remaining == Some(0) {
                // The last of it waits until it is seen that it is the last.
                return self.finish(data).await;
            }
            self.send(data).await?;
            data = match self.next_data(remaining.is_some()).await? {
                Some(data) => data,
                None => return self.finish(Bytes::new()).await,
            };
        }
    }

    async fn send(&self, data: Bytes) -> Result<(), Aborted> {
        if data.is_empty() {
            return Ok(());
        }
        self.frames.send(Some(data)).await.map_err(|_| Aborted)
    }

    /// The next data of the body; none at the end of one whose length is not known.
    async fn next_data(&mut self, has_length: bool) -> Result<Option<Bytes>, Aborted> {
        loop {
            let frame = tokio::select! {
                frame = timeout(WRITE_STALL_TIMEOUT, self.body.frame()) => frame,
                () = self.frames.closed() => return Err(Aborted),
            };
            match frame {
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) if !data.is_empty() => return Ok(Some(data)),
                    // Trailers, which are left out.
                    _ => {}
                },
                Ok(None) if !has_length => return Ok(None),
                _ => return Err(Aborted),
            }
        }
    }

    /// Sends the last data and the end, unless what lies behind the response shows that it is corrupt.
    async fn finish(&mut self, last: Bytes) -> Result<IdleCheck, Aborted> {
        let check = self.connection.check_idle().await;
        if check == IdleCheck::ResponseCorrupt {
            return Err(Aborted);
        }
        self.send(last).await?;
        let _ = self.frames.send(None).await;
        Ok(check)
    }
}
