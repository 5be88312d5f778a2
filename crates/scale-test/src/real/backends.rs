//! Simulated backends: many listeners in one process, each of which serves, warms up, is unresponsive or is stopped.
//!
//! A request may ask its backend to call further hops. The backend then acts as a client of the next proxy and passes
//! on the time that remains until the deadline.

use super::client::{Answer, Call, Client};
use super::loopback;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The backlog of a listener: connections that wait in the kernel to be accepted.
const ACCEPT_QUEUE_LENGTH: u32 = 1024;
/// The part of the remaining time that is not passed to the next hop but reserved for returning its response.
const NEXT_HOP_MARGIN: Duration = Duration::from_millis(1);

/// The state of a backend's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers requests.
    Serving,
    /// Keeps connections open without responding, and new connections are never established.
    Unresponsive,
    /// Has no process: open connections are reset and new ones are refused.
    Stopped,
}

/// The configuration that all backends share.
pub struct BackendConfig {
    /// The service time of a warm backend.
    pub warm_service_time: Duration,
    /// The service time of a backend that has just started. It falls linearly to that of a warm one.
    pub cold_service_time: Duration,
    /// The time from the start of a backend until it is warm.
    pub warm_up: Duration,
    /// The time for which a backend may still receive requests after it began to drain.
    pub drain_deadline: Duration,
}

/// The addresses to which backends send calls for further hops.
pub struct NextHops {
    /// Proxies, for calls that go through proxies.
    pub proxies: Vec<SocketAddr>,
    /// Backends, for direct calls.
    pub backends: Vec<SocketAddr>,
}

/// The number of retries, 10 ms apart, of a bind to an address that is still in use.
const BIND_RETRIES: usize = 500;

/// Counters over all backends.
#[derive(Default)]
pub struct Counts {
    /// Requests that came through proxies.
    pub calls: AtomicU64,
    /// Requests through proxies that reached a backend after its drain deadline.
    pub late_to_draining: AtomicU64,
    /// Accepted connections.
    pub connections: AtomicU64,
}

struct Common {
    config: BackendConfig,
    counts: Counts,
    client: Client,
    next_hops: OnceLock<NextHops>,
    next_hop_index: AtomicU64,
}

/// A simulated backend.
pub struct Backend {
    /// The address that it listens on.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    timestamps: Mutex<Timestamps>,
}

#[derive(Default)]
struct Timestamps {
    started_at: Option<Instant>,
    draining_since: Option<Instant>,
}

/// The simulated backends of a run. They stop when this is dropped.
pub struct Backends {
    /// All backends, by number.
    pub all: Vec<Arc<Backend>>,
    common: Arc<Common>,
    tasks: JoinSet<()>,
}

impl Backends {
    /// Starts `count` warm backends.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on.
    pub fn start(count: usize, config: BackendConfig) -> io::Result<Self> {
        let common = Common {
            config,
            counts: Counts::default(),
            client: Client::new(1 << 48),
            next_hops: OnceLock::new(),
            next_hop_index: AtomicU64::new(0),
        };
        let (common, mut tasks) = (Arc::new(common), JoinSet::new());
        let mut all = Vec::new();
        for number in 0..count {
            let listener = listen((loopback(3, number), 0).into(), ACCEPT_QUEUE_LENGTH)?;
            let backend = Arc::new(Backend {
                address: listener.local_addr()?,
                mode: watch::Sender::new(Mode::Serving),
                timestamps: Mutex::default(),
            });
            tasks.spawn(backend.clone().run(listener, common.clone()));
            all.push(backend);
        }
        Ok(Backends { all, common, tasks })
    }

    /// Sets the addresses for calls to further hops. Only the first call has an effect.
    pub fn set_next_hops(&self, next_hops: NextHops) {
        // `set` fails if the addresses were set before, and leaves them unchanged.
        let _ = self.common.next_hops.set(next_hops);
    }

    /// Returns the counters over all backends.
    pub fn counts(&self) -> &Counts {
        &self.common.counts
    }

    /// Returns the number of running backend tasks.
    pub fn running(&self) -> usize {
        self.tasks.len()
    }
}

fn listen(address: SocketAddr, queue: u32) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(queue)
}

/// The listening socket at a backend's address.
enum ListenerState {
    Open(TcpListener),
    /// A listener that accepts nothing and whose backlog of one is filled by a connection of this program, so that the
    /// kernel drops all further connection attempts. If another client takes the place in the backlog first, the task
    /// of this connection waits until it is aborted with the others.
    Blocked {
        _listener: TcpListener,
        _connection: JoinSet<()>,
    },
    Closed,
}

impl ListenerState {
    /// Returns the listener state for a mode. If the address can't be bound, the state is `Closed` and the error is
    /// logged. The bind is retried while the address is in use, because a child process that is just being started
    /// briefly inherits all descriptors of this process, the old listener among them.
    async fn for_mode(mode: Mode, address: SocketAddr) -> Self {
        let mut listener_state = ListenerState::try_for_mode(mode, address);
        for _ in 0..BIND_RETRIES {
            if !listener_state.as_ref().is_err_and(|e| e.kind() == io::ErrorKind::AddrInUse) {
                break;
            }
            sleep(Duration::from_millis(10)).await;
            listener_state = ListenerState::try_for_mode(mode, address);
        }
        listener_state.unwrap_or_else(|e| {
            tracing::warn!("backend {address}: can't listen, connections will be refused: {e}");
            ListenerState::Closed
        })
    }

    fn try_for_mode(mode: Mode, address: SocketAddr) -> io::Result<Self> {
        match mode {
            Mode::Serving => listen(address, ACCEPT_QUEUE_LENGTH).map(ListenerState::Open),
            Mode::Unresponsive => listen(address, 0).map(|listener| {
                let mut connection = JoinSet::new();
                connection.spawn(async move {
                    let _held = TcpStream::connect(address).await;
                    std::future::pending().await
                });
                ListenerState::Blocked { _listener: listener, _connection: connection }
            }),
            Mode::Stopped => Ok(ListenerState::Closed),
        }
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        match self {
            ListenerState::Open(listener) => listener.accept().await.map(|(stream, _)| stream),
            ListenerState::Blocked { .. } | ListenerState::Closed => std::future::pending().await,
        }
    }
}

impl Backend {
    /// Changes the mode of the backend.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Makes the backend count as a new, cold process from now on.
    pub fn restart(&self) {
        let mut timestamps = self.timestamps.lock().unwrap_or_else(PoisonError::into_inner);
        *timestamps = Timestamps { started_at: Some(Instant::now()), draining_since: None };
    }

    /// Records that the endpoint list marks the backend as draining from now on.
    pub fn drain(&self) {
        self.timestamps.lock().unwrap_or_else(PoisonError::into_inner).draining_since = Some(Instant::now());
    }

    async fn run(self: Arc<Self>, listener: TcpListener, common: Arc<Common>) {
        let (mut listener_state, mut mode) = (ListenerState::Open(listener), self.mode.subscribe());
        loop {
            tokio::select! {
                changed = mode.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    // The old listener must release the address before the new one binds to it.
                    drop(std::mem::replace(&mut listener_state, ListenerState::Closed));
                    let mode = *mode.borrow_and_update();
                    listener_state = ListenerState::for_mode(mode, self.address).await;
                }
                accepted = listener_state.accept() => match accepted {
                    Ok(stream) => {
                        common.counts.connections.fetch_add(1, Relaxed);
                        tokio::spawn(self.clone().connection(stream, common.clone()));
                    }
                    // The process is out of file descriptors; retry, because others will be closed.
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, common: Arc<Common>) {
        // TCP_NODELAY only reduces latency. With a linger time of zero the close sends a reset, as the end of a
        // process does.
        let _ = (stream.set_nodelay(true), stream.set_zero_linger());
        let mut mode = self.mode.subscribe();
        let service = service_fn(|request| self.answer(request, &common));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // The client closed the connection.
            _ = connection => {}
            _ = mode.wait_for(|mode| *mode == Mode::Stopped) => {}
        }
    }

    async fn answer(&self, request: Request<Incoming>, common: &Common) -> io::Result<Response<Full<Bytes>>> {
        let (head, body) = request.into_parts();
        body.collect().await.map_err(io::Error::other)?;
        let received = Instant::now();
        let query = Query::parse(head.uri.query().unwrap_or_default());
        if !query.direct {
            common.counts.calls.fetch_add(1, Relaxed);
            let draining_since =
                self.timestamps.lock().unwrap_or_else(PoisonError::into_inner).draining_since;
            if draining_since.is_some_and(|since| since.elapsed() > common.config.drain_deadline) {
                common.counts.late_to_draining.fetch_add(1, Relaxed);
            }
        }
        let service_time = self.service_time(&common.config);
        if !service_time.is_zero() {
            sleep(service_time).await;
        }
        let status = match query.hops {
            0 => StatusCode::OK,
            _ => {
                self.call_next_hop(&head.headers, &head.method, head.uri.path(), &query, received, common)
                    .await
            }
        };
        // An unresponsive backend responds once its mode changes, if the client still waits.
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode != Mode::Unresponsive).await;
        let mut reply = Response::new(Full::from("served"));
        *reply.status_mut() = status;
        Ok(reply)
    }

    /// Returns the current service time, which depends on the time since the start of the backend.
    fn service_time(&self, config: &BackendConfig) -> Duration {
        let started_at = self.timestamps.lock().unwrap_or_else(PoisonError::into_inner).started_at;
        let age = started_at.map_or(1.0, |started_at| {
            started_at.elapsed().as_secs_f64() / config.warm_up.as_secs_f64().max(f64::MIN_POSITIVE)
        });
        config.warm_service_time
            + config.cold_service_time.saturating_sub(config.warm_service_time).mul_f64((1.0 - age).max(0.0))
    }

    /// Calls the next hop, and returns 200 if it was served and 500 otherwise.
    async fn call_next_hop(
        &self,
        headers: &HeaderMap,
        method: &hyper::Method,
        path: &str,
        query: &Query,
        received: Instant,
        common: &Common,
    ) -> StatusCode {
        let Some(next_hops) = common.next_hops.get() else { return StatusCode::INTERNAL_SERVER_ERROR };
        let addresses = if query.direct { &next_hops.backends } else { &next_hops.proxies };
        let index = common.next_hop_index.fetch_add(1, Relaxed) as usize;
        let Some(&address) = addresses.get(index % addresses.len().max(1)) else {
            return StatusCode::INTERNAL_SERVER_ERROR;
        };
        let deadline_ms = headers.get("req-deadline-ms").and_then(|value| value.to_str().ok()?.parse().ok());
        let remaining = Duration::from_millis(deadline_ms.unwrap_or(0))
            .saturating_sub(received.elapsed() + NEXT_HOP_MARGIN);
        let call = Call {
            class: path.trim_start_matches('/').to_string(),
            method: method.clone(),
            has_idempotency_key: headers.contains_key("idempotency-key"),
            query: Query { hops: query.hops - 1, direct: query.direct }.text(),
            time_limit: remaining,
        };
        match common.client.call(address, &call).await {
            Answer::Served => StatusCode::OK,
            _ => StatusCode::INTERNAL_SERVER_ERROR,
        }
    }
}

/// The instructions to a backend in the query of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// The number of further hops, each called by the one before.
    pub hops: usize,
    /// Whether further hops are called directly instead of through proxies.
    pub direct: bool,
}

impl Query {
    /// Parses the query of a request. Parameters that are missing or invalid count as 0.
    pub fn parse(text: &str) -> Self {
        let number = |name: &str| {
            let mut pairs = text.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(key, _)| *key == name)
                .and_then(|(_, value)| value.parse::<usize>().ok())
                .unwrap_or(0)
        };
        Query { hops: number("hops"), direct: number("direct") != 0 }
    }

    /// Formats the instructions as the query of a request.
    pub fn text(self) -> String {
        format!("hops={}&direct={}", self.hops, u8::from(self.direct))
    }
}
