//! Calls as clients make them: over connections that are kept, each within its time.

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

/// The tenant of every call.
pub const TENANT: &str = "scale";

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served,
    /// Rejected; a retry is harmless.
    Rejected,
    /// Failed.
    Failed,
    /// No complete answer in time.
    TimedOut,
}

/// What is called.
#[derive(Debug, Clone)]
pub struct Call {
    /// Name of its class.
    pub class: String,
    /// Whether it may be repeated without a key.
    pub method: hyper::Method,
    /// The key by which repeats are dropped, where its class has one.
    pub has_idempotency_key: bool,
    /// What the backends are told, as a query.
    pub query: String,
    /// Its time.
    pub time_limit: Duration,
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections and the ids of requests.
#[derive(Default)]
pub struct Client {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    next_id: AtomicU64,
}

impl Client {
    /// Ids begin at a number, so that those of several clients differ.
    pub fn new(first_id: u64) -> Self {
        Client { next_id: AtomicU64::new(first_id), ..Client::default() }
    }

    /// Makes a call and waits for its answer.
    pub async fn call(&self, address: SocketAddr, call: &Call) -> Answer {
        timeout(call.time_limit, self.attempt(address, call)).await.unwrap_or(Answer::TimedOut)
    }

    /// Closes the connections that are idle.
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
            // One that the other side closed between requests, which it may: the request was not read.
            if let Ok(answer) = self.send(connection, address, call, id).await {
                return answer;
            }
        }
        let Ok(connection) = connect(address).await else { return Answer::Failed };
        self.send(connection, address, call, id).await.unwrap_or(Answer::Failed)
    }

    /// An error where the connection was at its end before the request was read.
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
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}
