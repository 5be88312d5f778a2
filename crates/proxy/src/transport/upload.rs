//! Streamed uploads: the body of a client's request that one attempt forwards as it arrives, and its status.

use super::body::{FrameSender, StreamedBody};
use hyper::StatusCode;
use std::cell::RefCell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

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
        let status = UploadStatus { client_timeout, progress: watch::Sender::new(UploadProgress::Arriving) };
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

/// How far the body of an upload has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UploadProgress {
    /// The client is sending it.
    Arriving,
    /// Bytes that have arrived are not read, because no backend takes them. The last byte may be among them.
    Stalled {
        /// The earliest time at which the last byte can have arrived.
        last_byte_at: Instant,
    },
    /// It was read to its end.
    Complete {
        /// The earliest time at which the last byte can have arrived.
        last_byte_at: Instant,
        /// When the last byte was read.
        read_at: Instant,
    },
    /// It is incomplete or invalid.
    Failed(StatusCode),
}

impl UploadProgress {
    /// Returns the time from which the client's timeout counts. Returns `None` if the last byte is certainly
    /// still to come, or never will.
    pub fn last_byte_at(self) -> Option<Instant> {
        match self {
            UploadProgress::Stalled { last_byte_at } | UploadProgress::Complete { last_byte_at, .. } => {
                Some(last_byte_at)
            }
            UploadProgress::Arriving | UploadProgress::Failed(_) => None,
        }
    }
}

/// The status of a streamed upload. It outlives the request if the client is still sending the body.
pub struct UploadStatus {
    /// The client timeout, which counts from the last byte of the body.
    pub client_timeout: Duration,
    progress: watch::Sender<UploadProgress>,
}

impl UploadStatus {
    /// Records how far the body has come.
    pub fn set_progress(&self, progress: UploadProgress) {
        self.progress.send_if_modified(|current| {
            let previous = std::mem::replace(current, progress);
            previous != progress
        });
    }

    /// Returns a receiver of how far the body has come.
    pub fn progress(&self) -> watch::Receiver<UploadProgress> {
        self.progress.subscribe()
    }

    /// Returns the response status if the body is incomplete or invalid.
    pub fn failure(&self) -> Option<StatusCode> {
        match *self.progress.borrow() {
            UploadProgress::Failed(status) => Some(status),
            _ => None,
        }
    }

    /// Returns when the last byte was read, if it has been.
    pub fn completed_at(&self) -> Option<Instant> {
        match *self.progress.borrow() {
            UploadProgress::Complete { read_at, .. } => Some(read_at),
            _ => None,
        }
    }

    /// Returns the time that is left to the client. It is shorter than its timeout once the last byte may
    /// have arrived.
    pub fn time_left(&self) -> Duration {
        self.client_timeout.saturating_sub(self.elapsed_since_last_byte())
    }

    /// Returns the time since the last byte may have arrived, or zero before that.
    pub fn elapsed_since_last_byte(&self) -> Duration {
        let last_byte_at = self.progress.borrow().last_byte_at();
        last_byte_at.map_or(Duration::ZERO, |last_byte_at| last_byte_at.elapsed())
    }

    /// Waits until the client may have waited for `timeout` since its last byte.
    pub async fn waited_since_last_byte(&self, timeout: Duration) {
        let mut progress = self.progress.subscribe();
        loop {
            let last_byte_at = progress.borrow_and_update().last_byte_at();
            let is_due = async {
                match last_byte_at {
                    Some(last_byte_at) => sleep_until(last_byte_at + timeout).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = is_due => return,
                // `self` owns the sender, so waiting cannot fail.
                _ = progress.changed() => {}
            }
        }
    }
}
