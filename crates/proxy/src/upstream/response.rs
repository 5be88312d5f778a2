//! Responses of backends: their meaning and their bodies.

use super::MAX_BUFFERED_BODY_BYTES;
use super::attempt_outcome::AttemptOutcome;
use super::buffering_times::BufferingTimes;
use super::response_fault::ResponseFault;
use crate::memory::MemoryBudget;
use crate::transport::{BodyBlocks, BodyContent, BufferedBody, MAX_BODY_BYTES};
use foldhitch_balancer::api::Outcome;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode, header};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::timeout;

/// How far a response was read.
pub(super) enum ResponseRead {
    /// The complete response.
    Complete(AttemptOutcome),
    /// The first part of a long response, and the rest of its body.
    Partial(PartialResponse, Incoming),
}

/// The part of a long response that was read.
pub(super) struct PartialResponse {
    pub(super) outcome: AttemptOutcome,
    pub(super) length: Option<u64>,
    pub(super) buffered: BufferedResponse,
}

/// Reads a response as far as it is buffered and its memory is within `budget`. A truncated response does not
/// count as a response: the request may have run.
pub(super) async fn read_response(
    response: Response<Incoming>,
    times: BufferingTimes,
    budget: Arc<MemoryBudget>,
) -> Result<ResponseRead, ResponseFault> {
    let (head, mut body) = response.into_parts();
    let length = body.size_hint().exact();
    if !is_framing_valid(&head, length) {
        return Err(ResponseFault::Framing);
    }
    let mut buffered = BufferedResponse::new(head.status, budget);
    match length {
        Some(length) if length > MAX_BUFFERED_BODY_BYTES as u64 => {
            // Of an error only the head is used.
            if head.status == StatusCode::OK {
                buffered.read_beginning(&mut body, times).await?;
            }
        }
        _ if head.status != StatusCode::OK => buffered.read(&mut body, times.max_error_pause()).await?,
        Some(_) => buffered.read(&mut body, times.max_served_pause()).await?,
        None => buffered.read_open_ended(&mut body, times).await?,
    }
    if buffered.is_complete {
        let body = buffered.data.into_pieces().collect();
        return Ok(ResponseRead::Complete(outcome(&head, body)));
    }
    let outcome = outcome(&head, BufferedBody::default());
    Ok(ResponseRead::Partial(PartialResponse { outcome, length, buffered }, body))
}

/// The part of a response's body that was buffered.
pub(super) struct BufferedResponse {
    is_served: bool,
    pub(super) data: BodyBlocks,
    is_complete: bool,
}

impl BufferedResponse {
    fn new(status: StatusCode, budget: Arc<MemoryBudget>) -> Self {
        let is_served = status == StatusCode::OK;
        BufferedResponse { is_served, data: BodyBlocks::new(budget), is_complete: false }
    }

    /// Reads the body to its end, to the maximum size, or as far as the budget allows. Fails if it is
    /// truncated or pauses for longer than `max_pause`.
    async fn read(&mut self, body: &mut Incoming, max_pause: Duration) -> Result<(), ResponseFault> {
        loop {
            let read = timeout(max_pause, self.read_frame(body)).await;
            let may_continue = read.map_err(|_| ResponseFault::Stalled)??;
            if !may_continue {
                return Ok(());
            }
        }
    }

    /// Reads a body of unknown length like [`read`](Self::read), but not for longer than it is buffered. No
    /// frame is lost by that.
    async fn read_open_ended(
        &mut self,
        body: &mut Incoming,
        times: BufferingTimes,
    ) -> Result<(), ResponseFault> {
        if !self.read_beginning(body, times).await? {
            return Ok(());
        }
        let read = self.read(body, times.max_open_ended_pause());
        timeout(times.buffer_body_for(), read).await.unwrap_or(Ok(()))
    }

    /// Reads until some of the body is there, for as long as a head alone is buffered. Returns whether there is
    /// more to buffer.
    async fn read_beginning(
        &mut self,
        body: &mut Incoming,
        times: BufferingTimes,
    ) -> Result<bool, ResponseFault> {
        let max_pause = times.max_open_ended_pause();
        let begin = async {
            while self.data.len() == 0 {
                let read = timeout(max_pause, self.read_frame(body)).await;
                if !read.map_err(|_| ResponseFault::Stalled)?? {
                    return Ok(false);
                }
            }
            Ok(true)
        };
        timeout(times.buffer_head_for(), begin).await.unwrap_or(Ok(false))
    }

    /// Reads the next frame. Returns whether there may be more to buffer.
    async fn read_frame(&mut self, body: &mut Incoming) -> Result<bool, ResponseFault> {
        let Some(frame) = body.frame().await else {
            self.is_complete = true;
            return Ok(false);
        };
        // Trailers are ignored.
        let more = frame?.into_data().unwrap_or_default();
        // Of other responses only the head is used.
        if !self.is_served {
            return Ok(true);
        }
        let is_within_budget = self.data.push(&more);
        Ok(is_within_budget && self.data.len() <= MAX_BUFFERED_BODY_BYTES)
    }
}

/// Returns whether the framing of a response is unambiguous. It may have either one length or one transfer
/// coding. A response with neither ends when its connection closes.
fn is_framing_valid(head: &Parts, length: Option<u64>) -> bool {
    let lengths = head.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = head.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    let has_no_body = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let is_too_long = length.is_some_and(|length| length > MAX_BODY_BYTES);
    lengths + codings <= 1 && !(has_no_body && codings > 0) && !is_too_long
}

/// Determines the outcome of an attempt from its response.
fn outcome(head: &Parts, body: BufferedBody) -> AttemptOutcome {
    let is_declined = head.headers.get("srv-declined").is_some_and(|value| value == "1");
    match head.status {
        StatusCode::OK => AttemptOutcome::Served(BodyContent::Buffered(body)),
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_declined => {
            AttemptOutcome::Unserved(Outcome::Full)
        }
        // These statuses describe the current state of the backend and not the request.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_EARLY | StatusCode::TOO_MANY_REQUESTS => {
            AttemptOutcome::Unserved(Outcome::Error)
        }
        status if status.is_client_error() => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Unserved(Outcome::Error),
    }
}
