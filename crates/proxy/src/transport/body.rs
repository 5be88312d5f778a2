//! Message bodies, either buffered or streamed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::StatusCode;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

/// A body that is forwarded as it arrives. Its sender waits until the previous frame has been taken.
#[derive(Debug)]
pub struct StreamedBody {
    frames: mpsc::Receiver<Option<Bytes>>,
    /// The number of bytes still to be received, if the length is known.
    remaining: Option<u64>,
}

/// The sender of a streamed body's frames: `Some` for data, and `None` for the regular end of the body.
/// Dropping the sender before that end aborts the body.
pub type FrameSender = mpsc::Sender<Option<Bytes>>;

impl StreamedBody {
    /// Creates a body of `length` bytes, or of unknown length, together with the sender of its frames.
    pub fn new(length: Option<u64>) -> (FrameSender, StreamedBody) {
        let (sender, frames) = mpsc::channel(1);
        (sender, StreamedBody { frames, remaining: length })
    }

    /// Subtracts received data from the remaining length. Returns `false` if the data exceeds it.
    fn count(&mut self, data: &Bytes) -> bool {
        let Some(remaining) = &mut self.remaining else { return true };
        match remaining.checked_sub(data.len() as u64) {
            Some(left) => {
                *remaining = left;
                true
            }
            None => false,
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match ready!(self.frames.poll_recv(context)) {
            Some(Some(data)) if self.count(&data) => Poll::Ready(Some(Ok(Frame::data(data)))),
            Some(None) if self.remaining.is_none_or(|remaining| remaining == 0) => {
                self.remaining = Some(0);
                Poll::Ready(None)
            }
            _ => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == Some(0)
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// The content of a body.
#[derive(Debug)]
pub enum BodyContent {
    /// The complete body.
    Buffered(Full<Bytes>),
    /// A body that is forwarded as it arrives.
    Streamed(StreamedBody),
}

impl BodyContent {
    /// Creates a body whose data is already complete.
    pub fn buffered(data: Bytes) -> Self {
        BodyContent::Buffered(Full::new(data))
    }

    /// Creates an empty body.
    pub fn empty() -> Self {
        BodyContent::Buffered(Full::default())
    }
}

impl Body for BodyContent {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            BodyContent::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|infallible| match infallible {})
            }
            BodyContent::Streamed(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            BodyContent::Buffered(body) => body.is_end_stream(),
            BodyContent::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            BodyContent::Buffered(body) => body.size_hint(),
            BodyContent::Streamed(body) => body.size_hint(),
        }
    }
}

/// A request body that is streamed and can therefore be sent by only one attempt. It is dropped with its
/// request, which closes the frame channel: this shows the sender of the frames that they are no longer
/// taken.
pub struct StreamedUpload {
    body: RefCell<Option<StreamedBody>>,
    status: Rc<UploadStatus>,
}

impl StreamedUpload {
    /// Creates an upload and the sender of its frames.
    pub fn new(length: Option<u64>, client_timeout: Duration) -> (FrameSender, Self) {
        let (frames, body) = StreamedBody::new(length);
        let status = UploadStatus { client_timeout, result: watch::Sender::new(None) };
        (frames, StreamedUpload { body: RefCell::new(Some(body)), status: Rc::new(status) })
    }

    /// Returns the upload's status, which can outlive the request.
    pub fn status(&self) -> &Rc<UploadStatus> {
        &self.status
    }

    /// Takes the body for an attempt. Returns `None` if another attempt has taken it.
    pub(super) fn take_body(&self) -> Option<StreamedBody> {
        self.body.take()
    }

    /// Puts back the body of an attempt that has sent nothing of it.
    pub(super) fn return_body(&self, body: StreamedBody) {
        self.body.replace(Some(body));
    }

    /// Returns whether an attempt has taken the body and not put it back.
    pub fn is_consumed(&self) -> bool {
        self.body.borrow().is_none()
    }
}

/// The status of a streamed upload. It outlives the request if the client is still sending the body.
pub struct UploadStatus {
    /// The client timeout, which counts from the last byte of the body.
    pub client_timeout: Duration,
    /// When the body was read to its end, or the response status if the body is incomplete or invalid. `None`
    /// until one of them is known.
    result: watch::Sender<Option<Result<Instant, StatusCode>>>,
}

impl UploadStatus {
    /// Records that the body was read to its end, or that it is incomplete or invalid.
    pub fn finish(&self, result: Result<Instant, StatusCode>) {
        self.result.send_replace(Some(result));
    }

    /// Returns the response status if the body is incomplete or invalid.
    pub fn failure(&self) -> Option<StatusCode> {
        self.result.borrow().and_then(Result::err)
    }

    /// Returns when the last byte arrived, if it has.
    pub fn completed_at(&self) -> Option<Instant> {
        self.result.borrow().and_then(Result::ok)
    }

    /// Waits for the last byte and returns when it arrived, or `None` if the body turns out to be incomplete
    /// or invalid.
    pub async fn completed(&self) -> Option<Instant> {
        // `self` owns the sender, so waiting cannot fail.
        let _ = self.result.subscribe().wait_for(Option::is_some).await;
        self.completed_at()
    }
}
