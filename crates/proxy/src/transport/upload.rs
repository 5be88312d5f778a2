//! Streamed uploads: the body of a client's request that one attempt forwards as it arrives, and its status.

use super::body::{FrameSender, StreamedBody};
use hyper::StatusCode;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

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
