//! A connection to a backend.

use super::repeat_filter::{FilteredStream, RepeatFilter, RepeatHistory, is_response_start};
use crate::transport::{MAX_HEAD_BYTES, MAX_HEADERS, ObservedStream, RequestBody, StreamProgress, prepare};
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

/// Once its response is read a connection is free in no time, unless the request itself is still being written.
const IDLE_CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// A connection that carries one request at a time; closed when dropped, with whatever is in flight on it.
pub(super) struct Connection {
    pub(super) sender: SendRequest<RequestBody>,
    pub(super) progress: Rc<StreamProgress>,
    /// What was read and belongs to no response, once the connection has ended.
    leftover: Rc<RefCell<Bytes>>,
    filter: Rc<RefCell<RepeatFilter>>,
    repeat_history: Rc<RepeatHistory>,
    task: AbortHandle,
}

/// What a connection is good for behind a response.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleCheck {
    /// For the next request.
    Reusable,
    /// For nothing more.
    Finished,
    /// The response itself is not what it seemed.
    ResponseCorrupt,
}

impl Connection {
    /// Speaks HTTP on a stream, in a task of its own that holds `permit` as long as it runs.
    pub(super) async fn new(
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        repeat_history: Rc<RepeatHistory>,
    ) -> Result<Self, Outcome> {
        prepare(&stream).map_err(|_| Outcome::ConnectFailed)?;
        let filter = Rc::new(RefCell::new(RepeatFilter::new(&repeat_history)));
        let stream = FilteredStream::new(stream, filter.clone(), repeat_history.clone());
        let stream = ObservedStream::new(stream);
        let progress = stream.progress();
        let mut builder = Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES).max_headers(MAX_HEADERS);
        let handshake = builder.handshake(stream).await;
        let (sender, mut connection) = handshake.map_err(|_| Outcome::ConnectFailed)?;
        let leftover = Rc::<RefCell<Bytes>>::default();
        let unread = leftover.clone();
        let task = tokio::task::spawn_local(async move {
            let _permit = permit;
            // Its end shows at the sender, where it has a meaning.
            let _ = poll_fn(|context| connection.poll_without_shutdown(context)).await;
            unread.replace(connection.into_parts().read_buf);
        });
        let task = task.abort_handle();
        Ok(Connection { sender, progress, leftover, filter, repeat_history, task })
    }

    /// Sees what came behind a response before that counts. The HTTP library ends a body where its length says: if
    /// the length was too short, the rest of the body lies there, and the response would be forwarded cut off. A
    /// second response behind the first is no fault of the first.
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
                if is_plausible { IdleCheck::Finished } else { IdleCheck::ResponseCorrupt }
            }
            Err(_) => IdleCheck::Finished,
        }
    }

    /// The response to the next request is waited for until then.
    pub(super) fn expect_response_until(&self, expires_at: Instant) {
        self.filter.borrow_mut().expect_response_until(expires_at);
    }

    /// For how long the present response was held, which is none of the backend's time.
    pub(super) fn held_for(&self) -> Duration {
        self.filter.borrow().held_for()
    }

    /// The response is read, and the connection could be used again.
    pub(super) fn finish_response(&self, is_error: bool) {
        self.filter.borrow_mut().finish_response(is_error, &self.repeat_history, Instant::now());
    }

    /// Whether the connection can carry another request, now or later.
    pub(super) fn is_usable(&self, now: Instant) -> bool {
        self.sender.is_ready() && !self.filter.borrow().is_unusable(&self.repeat_history, now)
    }

    /// Whether the connection is not to be used yet.
    pub(super) fn is_resting(&self, now: Instant) -> bool {
        self.filter.borrow().is_resting(now)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}
