//! A request's body as it is written to a backend.

use super::body::{BodyContent, StreamedUpload};
use super::progress::StreamProgress;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// What is sent as a request's body.
pub enum RequestPayload {
    /// All of it.
    Buffered(Bytes),
    /// It is streamed through.
    Streamed(Rc<StreamedUpload>),
}

/// A request's body as it is written; notes when the HTTP library has taken it.
pub struct RequestBody {
    content: Option<BodyContent>,
    /// Where a streamed body is returned to if nothing of it was sent.
    upload: Option<Rc<StreamedUpload>>,
    progress: Rc<StreamProgress>,
}

impl RequestBody {
    /// The body of the request that is about to be written; none if an attempt before this one has had it.
    pub fn new(payload: &RequestPayload, progress: Rc<StreamProgress>) -> Option<Self> {
        let (content, upload) = match payload {
            RequestPayload::Buffered(data) => (BodyContent::buffered(data.clone()), None),
            RequestPayload::Streamed(upload) => {
                (BodyContent::Streamed(upload.take_body()?), Some(upload.clone()))
            }
        };
        progress.begin_request();
        // The library does not ask for a body that is empty.
        progress.write.is_body_taken.set(content.is_end_stream());
        Some(RequestBody { content: Some(content), upload, progress })
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        // Of a request that was never begun nothing was taken: the next attempt may have its body.
        if self.progress.has_begun() {
            return;
        }
        if let (Some(upload), Some(BodyContent::Streamed(body))) = (&self.upload, self.content.take()) {
            upload.return_body(body);
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        let write = &this.progress.write;
        // A kept connection may turn out to be closed at its first byte. Until that is written a streamed body stays
        // whole, for another connection.
        if this.upload.is_some() && !write.has_begun.get() {
            write.first_byte_waiter.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        let Some(content) = &mut this.content else { return Poll::Ready(None) };
        let frame = ready!(Pin::new(&mut *content).poll_frame(context));
        write.is_body_taken.set(frame.is_none() || content.is_end_stream());
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.content.as_ref().is_none_or(BodyContent::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        self.content.as_ref().map_or_else(SizeHint::default, BodyContent::size_hint)
    }
}
