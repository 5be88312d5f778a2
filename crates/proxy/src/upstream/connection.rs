//! A connection to a backend.

use super::repeat_filter::{FilteredStream, RepeatFilter, RepeatHistory, is_response_start};
use crate::transport::{
    MAX_HEAD_BYTES, MAX_HEADERS, ObservedStream, RequestBody, StreamProgress, configure_socket,
};
use bytes::Bytes;
use foldhitch_balancer::api::Outcome;
use hyper::client::conn::http1::{Builder, SendRequest};
use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout};

/// How long to wait for the HTTP library to be ready for another request. It is ready right after the
/// response was read, unless the request is still being written.
const IDLE_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that carries one request at a time. Dropping it closes the connection, even with a request in
/// flight.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) progress: Rc<StreamProgress>,
    /// Bytes that were read but belong to no response, set when the connection ends.
    leftover: Rc<RefCell<Bytes>>,
    filter: Rc<RefCell<RepeatFilter>>,
    repeat_history: Rc<RepeatHistory>,
    task: AbortHandle,
}

/// What a connection can be used for after a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleCheck {
    /// The connection can carry another request.
    Reusable,
    /// The connection can't be used again.
    NotReusable,
    /// The response itself is corrupt.
    ResponseCorrupt,
}

impl Connection {
    /// Starts HTTP on a stream, in a separate task that holds `permit` as long as it runs.
    pub(super) async fn new(
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        filter: RepeatFilter,
        repeat_history: Rc<RepeatHistory>,
        read_bytes: usize,
    ) -> Result<Self, Outcome> {
        configure_socket(&stream).map_err(|_| Outcome::ConnectFailed)?;
        let filter = Rc::new(RefCell::new(filter));
        let stream = FilteredStream::new(stream, filter.clone(), repeat_history.clone());
        let stream = ObservedStream::new(stream, read_bytes);
        let progress = stream.progress();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let handshake = builder.handshake(stream).await;
        let (sender, mut connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let leftover = Rc::<RefCell<Bytes>>::default();
        let unread = leftover.clone();
        let task = tokio::task::spawn_local(async move {
            let _permit = permit;
            // An error of the connection also reaches the sender, where it is handled.
            let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            unread.replace(connection.into_parts().read_buf);
        });
        let task = task.abort_handle();
        Ok(Connection { sender, progress, leftover, filter, repeat_history, task })
    }

    /// Checks the bytes after a response before the response is used. The HTTP library ends a body at its
    /// declared length. If that length is too short, the rest of the body follows, and the response would be
    /// forwarded truncated. A second response after the first does not make the first one corrupt.
    pub(super) async fn check_idle(&mut self) -> IdleCheck {
        match timeout(IDLE_CHECK_TIMEOUT, self.sender.ready()).await {
            Ok(Ok(())) => IdleCheck::Reusable,
            Ok(Err(_)) => {
                let rest = self.leftover.take();
                let is_repeat = is_response_start(&rest);
                if is_repeat {
                    self.repeat_history.record_repeat(Instant::now());
                }
                let is_plausible = rest.is_empty() || is_repeat;
                if is_plausible { IdleCheck::NotReusable } else { IdleCheck::ResponseCorrupt }
            }
            Err(_) => IdleCheck::NotReusable,
        }
    }

    /// Sets when the response to the next request expires.
    pub(super) fn expect_response_until(&self, expires_at: Instant) {
        self.filter.borrow_mut().expect_response_until(expires_at);
    }

    /// Returns how long the current response was held back. This does not count as the backend's time.
    pub(super) fn held_for(&self) -> Duration {
        self.filter.borrow().held_for()
    }

    /// Records that a response was read completely on a connection that may be reused.
    pub(super) fn finish_response(&self, is_error: bool) {
        self.filter.borrow_mut().finish_response(is_error, &self.repeat_history, Instant::now());
    }

    /// Returns whether the connection can carry another request, now or after its cooldown.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.sender.is_ready() && !self.filter.borrow().is_unusable(&self.repeat_history, now)
    }

    /// Returns whether the connection must not be used yet.
    pub(super) fn is_cooling_down(&self, now: Instant) -> bool {
        self.filter.borrow().is_cooling_down(now)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
