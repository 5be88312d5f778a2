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
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Longest list.
const MAX_LIST_BYTES: usize = 8 << 20;
/// How long discovery may wait for a change after a failed poll: it is only asked what there is.
const WAIT_AFTER_FAILURE: Duration = Duration::from_millis(1);

type Sender = SendRequest<Empty<Bytes>>;

/// A client of discovery at one address.
pub struct DiscoveryClient {
    address: SocketAddr,
    timeouts: WatchTimeouts,
    connection: Option<Sender>,
}

/// What is polled for.
#[derive(Clone, Copy)]
pub enum Poll {
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

impl DiscoveryClient {
    /// A client without a connection.
    pub fn new(address: SocketAddr, timeouts: WatchTimeouts) -> Self {
        DiscoveryClient { address, timeouts, connection: None }
    }

    /// Polls once.
    pub async fn poll(&mut self, poll: Poll) -> Result<DiscoveryResponse, DiscoveryError> {
        let wait = self.wait(poll);
        let request = self.request(poll, wait)?;
        let mut sender = match self.connection.take().filter(|sender| !sender.is_closed()) {
            Some(sender) => sender,
            None => connect(self.address, self.timeouts.answer).await?,
        };
        let response = timeout(wait + self.timeouts.answer, sender.send_request(request)).await;
        let response = response.map_err(|_| DiscoveryError::AnswerTimeout)??;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        // The wait is over once an answer has begun: one that stops short must not cost the whole of it again.
        let body = timeout(self.timeouts.answer, async {
            let body = read_body(response).await?;
            Ok::<_, DiscoveryError>((body, sender.ready().await.is_ok()))
        });
        let (body, is_reusable) = body.await.map_err(|_| DiscoveryError::IncompleteAnswer)??;
        self.connection = is_reusable.then_some(sender);
        serde_json::from_slice(&body).map_err(DiscoveryError::List)
    }

    /// Closes the connection; the next poll makes a new one.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// How long discovery may wait for a change.
    fn wait(&self, poll: Poll) -> Duration {
        match poll {
            Poll::List => Duration::ZERO,
            Poll::Watch { is_retry: true, .. } => WAIT_AFTER_FAILURE,
            Poll::Watch { is_retry: false, .. } => self.timeouts.watch,
        }
    }

    fn request(&self, poll: Poll, wait: Duration) -> Result<Request<Empty<Bytes>>, DiscoveryError> {
        let path = match poll {
            Poll::List => "/registry/instances".to_string(),
            Poll::Watch { version, .. } => {
                format!("/registry/instances?after={version}&wait_ms={}", wait.as_millis())
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

async fn connect(address: SocketAddr, within: Duration) -> Result<Sender, DiscoveryError> {
    let stream = timeout(within, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| DiscoveryError::ConnectTimeout { address })?;
    let stream = stream.map_err(|source| DiscoveryError::Connect { address, source })?;
    stream.set_nodelay(true).map_err(|source| DiscoveryError::Connect { address, source })?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}
