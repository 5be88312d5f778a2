//! The body of a request as it is written to a backend.

use super::body::{BodyContent, BufferedBody};
use super::progress::StreamProgress;
use super::upload::StreamedUpload;
use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// The body of a client's request.
pub enum RequestPayload {
    /// The complete body.
    Buffered(BufferedBody),
    /// A body that is forwarded as it arrives.
    Streamed(Rc<StreamedUpload>),
}

/// The body of a request that is being written. It records when the HTTP library has taken all of it.
pub struct RequestBody {
    content: Option<BodyContent>,
    /// Where a streamed body is put back if nothing of it was sent.
    upload: Option<Rc<StreamedUpload>>,
    progress: Rc<StreamProgress>,
}

impl RequestBody {
    /// Creates the body of a request that is about to be written. Returns `None` if an earlier attempt has
    /// taken the body.
    pub fn new(payload: &RequestPayload, progress: Rc<StreamProgress>) -> Option<Self> {
        let (content, upload) = match payload {
            RequestPayload::Buffered(data) => (BodyContent::Buffered(data.clone()), None),
            RequestPayload::Streamed(upload) => {
                (BodyContent::Streamed(upload.take_body()?), Some(upload.clone()))
            }
        };
        progress.begin_request();
        // The HTTP library does not poll an empty body.
        progress.write.is_body_taken.set(content.is_end_stream());
        Some(RequestBody { content: Some(content), upload, progress })
    }
}

impl Drop for RequestBody {
    fn drop(&mut self) {
        // No byte of the request was written, so nothing was taken from its body and the next attempt can
        // send it.
        if self.progress.is_request_started() {
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
        // A reused connection may turn out to be closed when the first byte is written. A streamed body stays
        // complete until then, so that it can be sent over another connection.
        if this.upload.is_some() && !write.is_request_started.get() {
            write.first_byte_waker.replace(Some(context.waker().clone()));
            return Poll::Pending;
        }
        if this.upload.is_some() {
            ready!(this.progress.poll_sent(context));
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
