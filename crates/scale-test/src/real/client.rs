//! An HTTP client that reuses idle connections and applies a time limit to each call.

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The tenant of all calls.
pub const TENANT: &str = "scale";

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Answered with status 200.
    Served,
    /// Rejected with 429 or 503, so that a retry is safe.
    Rejected,
    /// Answered with another status, or ended by an error.
    Failed,
    /// Got no complete response within the time limit.
    TimedOut,
}

/// A call to make.
#[derive(Debug, Clone)]
pub struct Call {
    /// The name of its request class.
    pub class: String,
    /// The HTTP method: an idempotent one for calls that may be repeated without an idempotency key.
    pub method: hyper::Method,
    /// Whether the call carries an idempotency key, by which repeats are dropped.
    pub has_idempotency_key: bool,
    /// The query, which holds the instructions to the backends.
    pub query: String,
    /// The time limit for the whole call.
    pub time_limit: Duration,
}

type Connection = SendRequest<Full<Bytes>>;

/// A pool of idle connections and a generator of request ids.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    next_id: AtomicU64,
}

impl Client {
    /// Creates a client whose request ids start at `first_id`, so that the ids of several clients differ.
    pub fn new(first_id: u64) -> Self {
        Client { next_id: AtomicU64::new(first_id), ..Client::default() }
    }

    /// Makes a call and waits for its outcome.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Answer {
        timeout(call.time_limit, self.attempt(address, call)).await.unwrap_or(Answer::TimedOut)
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle().clear();
    }

    fn idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Connection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = idle.get_mut(&address)?;
        connections.retain(|connection| !connection.is_closed());
        connections.pop()
    }

    async fn attempt(&self, address: SocketAddr, call: &Call) -> Answer {
        let id = self.next_id.fetch_add(1, Relaxed);
        while let Some(connection) = self.take_idle(address) {
            // The server may close an idle connection at any time. The request was then not read, so it is sent again
            // on another connection.
            if let Ok(answer) = self.send(connection, address, call, id).await {
                return answer;
            }
        }
        let Ok(connection) = connect(address).await else { return Answer::Failed };
        self.send(connection, address, call, id).await.unwrap_or(Answer::Failed)
    }

    /// Sends the request and reads the response. Returns an error if the connection was closed before the request was
    /// read.
    async fn send(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        call: &Call,
        id: u64,
    ) -> Result<Answer, hyper::Error> {
        let request = Request::builder()
            .method(call.method.clone())
            .uri(format!("/{}?{}", call.class, call.query))
            .header(header::HOST, "origin.svc")
            .header("req-id", format!("{id:016x}"))
            .header("req-owner", TENANT)
            .header("req-deadline-ms", call.time_limit.as_millis().to_string());
        let request = if call.has_idempotency_key {
            request.header("idempotency-key", format!("{id:x}"))
        } else {
            request
        };
        let Ok(request) = request.body(Full::default()) else { return Ok(Answer::Failed) };
        let response = match connection.send_request(request).await {
            Ok(response) => response,
            Err(e) if e.is_canceled() || e.is_incomplete_message() => return Err(e),
            Err(_) => return Ok(Answer::Failed),
        };
        let status = response.status();
        if response.into_body().collect().await.is_err() {
            return Ok(Answer::Failed);
        }
        if connection.ready().await.is_ok() {
            self.idle().entry(address).or_default().push(connection);
        }
        Ok(match status {
            StatusCode::OK => Answer::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Answer::Rejected,
            _ => Answer::Failed,
        })
    }
}

async fn connect(address: SocketAddr) -> std::io::Result<Connection> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::spawn(async move {
        // The sender reports the error if the connection ends.
        let _ = connection.await;
    });
    Ok(sender)
}
