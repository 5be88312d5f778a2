//! Message bodies, either buffered or streamed.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::VecDeque;
use std::convert::Infallible;
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

/// A complete body in pieces. Copies of it share the bytes.
#[derive(Debug, Clone, Default)]
pub struct BufferedBody {
    pieces: VecDeque<Bytes>,
    length: usize,
}

impl BufferedBody {
    /// Returns whether the body has no bytes.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }
}

impl FromIterator<Bytes> for BufferedBody {
    fn from_iter<Pieces: IntoIterator<Item = Bytes>>(pieces: Pieces) -> Self {
        let pieces: VecDeque<_> = pieces.into_iter().filter(|piece| !piece.is_empty()).collect();
        let length = pieces.iter().map(Bytes::len).sum();
        BufferedBody { pieces, length }
    }
}

impl Body for BufferedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        self.length -= piece.as_ref().map_or(0, Bytes::len);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length as u64)
    }
}

/// The content of a body.
#[derive(Debug)]
pub enum BodyContent {
    /// The complete body.
    Buffered(BufferedBody),
    /// A body that is forwarded as it arrives.
    Streamed(StreamedBody),
}

impl BodyContent {
    /// Creates an empty body.
    pub fn empty() -> Self {
        BodyContent::Buffered(BufferedBody::default())
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
