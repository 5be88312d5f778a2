//! A single poll of the discovery service over a keep-alive connection.

use crate::endpoint_list::DiscoveryResponse;
use crate::error::DiscoveryError;
use crate::timeouts::WatchTimeouts;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// The maximum size of a response body, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;
/// The time that discovery may wait for a change after a failed poll: the minimum, so that it returns its
/// current state at once.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(1);

/// An HTTP/1.1 connection to discovery.
pub(crate) type Connection = SendRequest<Empty<Bytes>>;

/// The kind of a poll.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PollKind {
    /// Polls the full list.
    List,
    /// Watches for changes after a version, for which discovery may hold the request open.
    Watch {
        /// The version of the current list.
        version: u64,
        /// Whether the previous poll failed.
        is_retry: bool,
    },
}

impl PollKind {
    /// Returns the version that the response must not be older than.
    pub(crate) fn known_version(self) -> Option<u64> {
        match self {
            PollKind::List => None,
            PollKind::Watch { version, .. } => Some(version),
        }
    }

    /// Returns how long discovery may wait for a change.
    pub(crate) fn max_wait(self, timeouts: WatchTimeouts) -> Duration {
        match self {
            PollKind::List => Duration::ZERO,
            PollKind::Watch { is_retry: true, .. } => WAIT_AFTER_FAILURE,
            PollKind::Watch { is_retry: false, .. } => timeouts.watch_wait,
        }
    }
}

/// The stage of a poll in progress.
#[derive(Debug, Clone, Copy)]
enum PollStage {
    Connecting,
    AwaitingHead,
    ReadingBody,
}

/// The progress of a poll.
pub(crate) struct PollProgress {
    stage: Cell<PollStage>,
    /// The time at which the current stage is overdue.
    overdue_at: Cell<Instant>,
}

impl PollProgress {
    fn new(time_limit: Duration) -> Self {
        let overdue_at = Instant::now() + time_limit;
        PollProgress { stage: Cell::new(PollStage::Connecting), overdue_at: Cell::new(overdue_at) }
    }

    fn enter(&self, stage: PollStage, time_limit: Duration) {
        self.stage.set(stage);
        self.overdue_at.set(Instant::now() + time_limit);
    }

    /// Waits until the current stage is overdue, and returns the matching timeout error.
    pub(crate) async fn wait_until_overdue(&self, address: SocketAddr) -> DiscoveryError {
        while Instant::now() < self.overdue_at.get() {
            sleep_until(self.overdue_at.get()).await;
        }
        match self.stage.get() {
            PollStage::Connecting => DiscoveryError::ConnectTimeout { address },
            PollStage::AwaitingHead => DiscoveryError::ResponseTimeout,
            PollStage::ReadingBody => DiscoveryError::BodyTimeout,
        }
    }
}

/// A poll that has not been sent yet.
pub(crate) struct Poll {
    address: SocketAddr,
    timeouts: WatchTimeouts,
    kind: PollKind,
    connection: Option<Connection>,
    progress: Rc<PollProgress>,
}

/// The response to a poll.
pub(crate) struct PollAnswer {
    pub(crate) response: DiscoveryResponse,
    /// The connection, if the next poll can use it.
    pub(crate) connection: Option<Connection>,
}

impl Poll {
    /// Creates a poll that uses `connection` if it is still open, and a new connection otherwise.
    pub(crate) fn new(
        address: SocketAddr,
        timeouts: WatchTimeouts,
        kind: PollKind,
        connection: Option<Connection>,
    ) -> Self {
        let connection = connection.filter(|connection| !connection.is_closed());
        let progress = Rc::new(PollProgress::new(timeouts.response_timeout));
        Poll { address, timeouts, kind, connection, progress }
    }

    pub(crate) fn progress(&self) -> Rc<PollProgress> {
        self.progress.clone()
    }

    /// Sends the poll and waits for the response without a time limit.
    pub(crate) async fn run(mut self) -> Result<PollAnswer, DiscoveryError> {
        let max_wait = self.kind.max_wait(self.timeouts);
        let request = self.request(max_wait)?;
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => connect(self.address).await?,
        };
        self.progress.enter(PollStage::AwaitingHead, max_wait + self.timeouts.response_timeout);
        let response = connection.send_request(request).await?;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        // Discovery no longer waits for a change once the response has started, so a stalled body is overdue
        // without another full wait.
        self.progress.enter(PollStage::ReadingBody, self.timeouts.response_timeout);
        let body = read_body(response).await?;
        let is_reusable = connection.ready().await.is_ok();
        let response = serde_json::from_slice(&body).map_err(DiscoveryError::InvalidList)?;
        Ok(PollAnswer { response, connection: is_reusable.then_some(connection) })
    }

    fn request(&self, max_wait: Duration) -> Result<Request<Empty<Bytes>>, DiscoveryError> {
        let path = match self.kind {
            PollKind::List => "/registry/instances".to_string(),
            PollKind::Watch { version, .. } => {
                format!("/registry/instances?after={version}&wait_ms={}", max_wait.as_millis())
            }
        };
        let request = Request::get(path).header(header::HOST, self.address.to_string());
        Ok(request.body(Empty::new())?)
    }
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, DiscoveryError> {
    let body = Limited::new(response.into_body(), MAX_LIST_BYTES).collect().await;
    Ok(body.map_err(DiscoveryError::Body)?.to_bytes())
}

async fn connect(address: SocketAddr) -> Result<Connection, DiscoveryError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|source| DiscoveryError::Connect { address, source })?;
    stream.set_nodelay(true).map_err(|source| DiscoveryError::Connect { address, source })?;
    let (connection, driver) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        // The request sender reports a closed connection.
        let _ = driver.await;
    });
    Ok(connection)
}
