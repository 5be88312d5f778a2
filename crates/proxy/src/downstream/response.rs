//! Responses to clients.

use super::connection_table::ResponseGuard;
use crate::dispatcher::Answer;
use crate::transport::BodyContent;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{ALLOW, CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Method, Response, StatusCode};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// A response to a client.
pub(super) type ClientResponse = Response<ResponseBody>;

/// The body of a response to a client.
pub(super) struct ResponseBody {
    content: BodyContent,
    /// Keeps the connection from counting as idle until a streamed body has ended.
    guard: Option<ResponseGuard>,
    /// The error of a streamed body that is reported once everything before it was written.
    error: Option<io::Error>,
}

impl ResponseBody {
    /// Holds the guard until a streamed body ends. For a buffered body the guard is dropped at once.
    pub(super) fn hold_guard(&mut self, guard: ResponseGuard) {
        if matches!(self.content, BodyContent::Streamed(_)) {
            self.guard = Some(guard);
        }
    }
}

impl From<BodyContent> for ResponseBody {
    fn from(content: BodyContent) -> Self {
        ResponseBody { content, guard: None, error: None }
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(ResponseGuard(connection)) = &self.guard {
            ready!(connection.progress.poll_sent(context));
        }
        if let Some(error) = self.error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match ready!(Pin::new(&mut self.content).poll_frame(context)) {
            Some(Err(error)) => {
                // The HTTP library discards what it has not written yet, the head among it, when a body fails.
                // While a body is pending, it writes.
                self.error = Some(error);
                context.waker().wake_by_ref();
                Poll::Pending
            }
            frame => Poll::Ready(frame),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.content.size_hint()
    }
}

/// Creates a response without a body.
pub(super) fn empty_response(status: StatusCode) -> ClientResponse {
    let mut response = Response::new(BodyContent::empty().into());
    *response.status_mut() = status;
    response
}

/// Creates a response without a body that closes the connection, because the request can't be used.
pub(super) fn closing_response(status: StatusCode) -> ClientResponse {
    let mut response = empty_response(status);
    close_after(&mut response);
    response
}

/// Creates the response to a request with the wrong method.
pub(super) fn wrong_method_response(allowed: &Method) -> ClientResponse {
    let mut response = empty_response(StatusCode::METHOD_NOT_ALLOWED);
    let allowed = HeaderValue::from_static(if allowed == Method::GET { "GET" } else { "POST" });
    response.headers_mut().insert(ALLOW, allowed);
    response
}

/// Creates the response to a rejected request.
pub(super) fn rejected_response(retry_after: Option<Duration>) -> ClientResponse {
    let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = retry_after.map(retry_after_seconds);
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Returns a rejection as bytes that are written without the HTTP library before the connection is closed.
pub(super) fn rejected_response_bytes(retry_after: Option<Duration>) -> Vec<u8> {
    let mut text =
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n".to_string();
    if let Some(retry_after) = retry_after {
        text += &format!("Retry-After: {}\r\n", retry_after_seconds(retry_after));
    }
    text += "\r\n";
    text.into_bytes()
}

fn retry_after_seconds(retry_after: Duration) -> String {
    format!("{:.3}", retry_after.as_secs_f64())
}

/// Creates the response for a final answer.
pub(super) fn answer_response(answer: Answer) -> ClientResponse {
    match answer {
        Answer::Served(content) => Response::new(content.into()),
        Answer::InvalidRequest(status) => closing_response(status),
        Answer::Rejected { retry_after } => rejected_response(retry_after),
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
        Answer::TimedOut => empty_response(StatusCode::GATEWAY_TIMEOUT),
    }
}

/// Makes the connection close after this response.
pub(super) fn close_after(response: &mut ClientResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
