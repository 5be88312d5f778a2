//! Bodies, buffered or streamed through as they come.

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

/// A body that is streamed through as it comes. Whoever writes it waits until what went before was taken.
#[derive(Debug)]
pub struct StreamedBody {
    frames: mpsc::Receiver<Option<Bytes>>,
    /// Bytes still to come, where that is known.
    remaining: Option<u64>,
}

/// Where the frames of a streamed body are put: data, and nothing at its proper end. A body whose sender is dropped
/// before has broken off.
pub type FrameSender = mpsc::Sender<Option<Bytes>>;

impl StreamedBody {
    /// A body of so many bytes, if that is known.
    pub fn new(length: Option<u64>) -> (FrameSender, StreamedBody) {
        let (sender, frames) = mpsc::channel(1);
        (sender, StreamedBody { frames, remaining: length })
    }

    /// Counts data that came; false if it is more than the body's length.
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

/// What a body consists of.
#[derive(Debug)]
pub enum BodyContent {
    /// All of it.
    Buffered(Full<Bytes>),
    /// It is streamed through.
    Streamed(StreamedBody),
}

impl BodyContent {
    /// A body that is there already.
    pub fn buffered(data: Bytes) -> Self {
        BodyContent::Buffered(Full::new(data))
    }

    /// A body of no bytes.
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

/// A request's body that is streamed through, so that only one attempt can have it. It belongs to its request: once
/// that is over, whoever puts the frames is told that nobody takes them.
pub struct StreamedUpload {
    body: RefCell<Option<StreamedBody>>,
    status: Rc<UploadStatus>,
}

impl StreamedUpload {
    /// An upload, and where its frames are put.
    pub fn new(length: Option<u64>, client_timeout: Duration) -> (FrameSender, Self) {
        let (frames, body) = StreamedBody::new(length);
        let status = UploadStatus { client_timeout, result: watch::Sender::new(None) };
        (frames, StreamedUpload { body: RefCell::new(Some(body)), status: Rc::new(status) })
    }

    /// How far it has come.
    pub fn status(&self) -> &Rc<UploadStatus> {
        &self.status
    }

    /// Takes the body for an attempt; none if another one has it.
    pub(super) fn take_body(&self) -> Option<StreamedBody> {
        self.body.take()
    }

    /// Returns the body of an attempt that has had none of it.
    pub(super) fn return_body(&self, body: StreamedBody) {
        self.body.replace(Some(body));
    }

    /// Whether an attempt has had some of it.
    pub fn is_consumed(&self) -> bool {
        self.body.borrow().is_none()
    }
}

/// How far a streamed upload has come. It outlasts the request where its client still writes.
pub struct UploadStatus {
    /// How long its client waits after its last byte.
    pub client_timeout: Duration,
    /// Whether it has been read to its end, and when, or what was wrong with it.
    result: watch::Sender<Option<Result<Instant, StatusCode>>>,
}

impl UploadStatus {
    /// It has come to its end, or something is wrong with it.
    pub fn finish(&self, result: Result<Instant, StatusCode>) {
        self.result.send_replace(Some(result));
    }

    /// What was wrong with it.
    pub fn failure(&self) -> Option<StatusCode> {
        self.result.borrow().and_then(Result::err)
    }

    /// When its last byte came, if it has.
    pub fn completed_at(&self) -> Option<Instant> {
        self.result.borrow().and_then(Result::ok)
    }

    /// Waits for its last byte; nothing if it breaks off.
    pub async fn completed(&self) -> Option<Instant> {
        // The sender is this upload's own, so that the wait never fails.
        let _ = self.result.subscribe().wait_for(Option::is_some).await;
        self.completed_at()
    }
}
