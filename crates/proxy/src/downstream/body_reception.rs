//! Receives the bodies of a connection's requests: buffers short ones, and streams or discards the others.

use super::connection_table::{ConnectionState, RequestIdGuard};
use super::request_body::{BodyBeginning, BodyReadDeadline, body_extension, read_beginning};
use super::request_parsing::{ParsedHead, Rejection, class_name};
use super::response::{closing_response, rejected_response};
use super::server::Server;
use super::upload_stream::UploadStream;
use crate::dispatcher::RESPONSE_MARGIN;
use crate::log::log;
use crate::transport::{BodyArrival, BodyBlocks, BufferedBody, FrameSender, RequestPayload, StreamedUpload};
use crate::upstream::printable_id;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// When a request started, and when its head was received.
#[derive(Clone, Copy)]
pub(super) struct RequestTimes {
    pub(super) started_at: Instant,
    pub(super) received_at: Instant,
}

/// What was read of a request body before the request is dispatched.
pub(super) enum ReceivedBody {
    /// The whole body.
    Complete(BufferedBody),
    /// The beginning of a body that is too long to be buffered.
    Partial { first: BodyBlocks, rest: Incoming, deadline: BodyReadDeadline },
}

/// Receives the bodies of one connection.
pub(super) struct BodyReception<'a> {
    pub(super) server: &'a Server,
    pub(super) connection: &'a Rc<ConnectionState>,
}

impl BodyReception<'_> {
    /// Reads a body up to the limit of buffered bodies.
    pub(super) async fn read_body(
        &self,
        head: &Parts,
        parsed: &ParsedHead,
        mut body: Incoming,
        times: RequestTimes,
        guard: &mut RequestIdGuard,
    ) -> Result<ReceivedBody, Rejection> {
        let mut deadline = BodyReadDeadline::new(times.started_at);
        let budget = self.server.table.body_memory();
        match read_beginning(&mut body, &mut deadline, budget, &mut guard.stream_memory).await {
            Ok(BodyBeginning::Complete(data)) => Ok(ReceivedBody::Complete(data)),
            Ok(BodyBeginning::Partial(first)) => Ok(ReceivedBody::Partial { first, rest: body, deadline }),
            Err(StatusCode::SERVICE_UNAVAILABLE) => {
                self.discard_body(parsed, body, deadline, times);
                Err(Box::new(rejected_response(self.server.retry_after())))
            }
            Err(status) => {
                let (id, class) = (printable_id(&parsed.id), class_name(head));
                log!("{id} {class} aborted by its client, {status}");
                Err(Box::new(closing_response(status)))
            }
        }
    }

    /// Returns the payload to send to the backend, and how much longer than the client timeout sending it may
    /// take. A body that is too long to be buffered is streamed.
    pub(super) fn request_payload(
        &self,
        body: ReceivedBody,
        length: Option<u64>,
        parsed: &ParsedHead,
        times: RequestTimes,
    ) -> (RequestPayload, Duration) {
        let (first, rest, deadline) = match body {
            ReceivedBody::Complete(data) => return (RequestPayload::Buffered(data), Duration::ZERO),
            ReceivedBody::Partial { first, rest, deadline } => (first, rest, deadline),
        };
        let client_timeout = parsed.client_timeout.saturating_sub(RESPONSE_MARGIN);
        let (frames, upload) = StreamedUpload::new(length, client_timeout);
        self.upload_stream(rest, deadline, frames, &upload, times).spawn(Some(first));
        (RequestPayload::Streamed(Rc::new(upload)), body_extension(length))
    }

    /// Reads and discards the rest of a rejected body. A client that is still writing would otherwise not see
    /// its answer.
    fn discard_body(
        &self,
        parsed: &ParsedHead,
        body: Incoming,
        deadline: BodyReadDeadline,
        times: RequestTimes,
    ) {
        let (frames, upload) = StreamedUpload::new(None, parsed.client_timeout);
        self.upload_stream(body, deadline, frames, &upload, times).spawn(None);
    }

    fn upload_stream(
        &self,
        body: Incoming,
        deadline: BodyReadDeadline,
        frames: FrameSender,
        upload: &StreamedUpload,
        times: RequestTimes,
    ) -> UploadStream {
        let connection = self.connection.clone();
        let arrival =
            BodyArrival::new(connection.liveness.clone(), connection.progress.clone(), times.received_at);
        UploadStream { body, deadline, frames, status: upload.status().clone(), arrival, connection }
    }
}
