//! Message bodies, either buffered or streamed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::sync::mpsc;

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

/// Returns a copy of a frame. The original keeps the whole read buffer of the HTTP library allocated.
pub fn copy_frame(frame: Bytes) -> Bytes {
    Bytes::copy_from_slice(&frame)
}

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
