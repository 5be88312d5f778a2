//! One poll of discovery over a connection that is kept.

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

/// Longest list.
const MAX_LIST_BYTES: usize = 8 << 20;
/// How long discovery may wait for a change after a failed poll: it is only asked what there is.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(1);

/// A connection to discovery.
pub(crate) type Connection = SendRequest<Empty<Bytes>>;

/// What is polled for.
#[derive(Debug, Clone, Copy)]
pub(crate) enum PollKind {
    /// The whole list.
    List,
    /// Changes after a version, for which discovery may wait.
    Watch {
        /// The version that is held.
        version: u64,
        /// Whether the poll before failed.
        is_retry: bool,
    },
}

impl PollKind {
    /// The version that the answer must not be older than.
    pub(crate) fn known_version(self) -> Option<u64> {
        match self {
            PollKind::List => None,
            PollKind::Watch { version, .. } => Some(version),
        }
    }

    /// How long discovery may wait for a change.
    pub(crate) fn max_wait(self, timeouts: WatchTimeouts) -> Duration {
        match self {
            PollKind::List => Duration::ZERO,
            PollKind::Watch { is_retry: true, .. } => WAIT_AFTER_FAILURE,
            PollKind::Watch { is_retry: false, .. } => timeouts.watch_wait,
        }
    }
}

/// What a poll waits for.
#[derive(Debug, Clone, Copy)]
enum PollStage {
    Connecting,
    AwaitingHead,
    ReadingBody,
}

/// How far a poll has come.
pub(crate) struct PollProgress {
    stage: Cell<PollStage>,
    /// When what it waits for is overdue.
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

    /// Waits until the poll is overdue in the stage that it has come to; returns what is late.
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

/// A poll that is to be made.
pub(crate) struct Poll {
    address: SocketAddr,
    timeouts: WatchTimeouts,
    kind: PollKind,
    connection: Option<Connection>,
    progress: Rc<PollProgress>,
}

/// What a poll was answered.
pub(crate) struct PollAnswer {
    pub(crate) response: DiscoveryResponse,
    /// For the next poll.
    pub(crate) connection: Option<Connection>,
}

impl Poll {
    /// A poll over a connection that is kept, or else over a new one.
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

    /// Polls, for as long as discovery takes.
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
        // The wait is over once an answer has begun: one that stops short must not cost the whole of it again.
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
        // Its end shows at the sender.
        let _ = driver.await;
    });
    Ok(connection)
}
