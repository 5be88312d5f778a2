//! Simulated backends: many listeners in one process that serve, are unresponsive, are gone or are warming up.
//! One that is to call another does so as a client of the next proxy, with the time that is left.

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

/// Connections that the system keeps waiting to be accepted.
const ACCEPT_QUEUE_LENGTH: u32 = 1024;
/// So much of the time that is left is kept from the next hop, for the way back.
const NEXT_HOP_MARGIN: Duration = Duration::from_millis(1);

/// What a backend does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Answers.
    Serving,
    /// Keeps connections open and says nothing; new ones never come up.
    Unresponsive,
    /// Its process is gone: connections are reset, new ones refused.
    Stopped,
}

/// What all of them have in common.
pub struct BackendConfig {
    /// Time that a warm one works on a call.
    pub warm_service_time: Duration,
    /// Time that one works at its start, which falls to that of a warm one.
    pub cold_service_time: Duration,
    /// How long that takes.
    pub warm_up: Duration,
    /// A draining one may be sent to for so long after the change.
    pub drain_deadline: Duration,
}

/// Where calls go on to.
pub struct NextHops {
    /// Through proxies.
    pub proxies: Vec<SocketAddr>,
    /// Straight to backends.
    pub backends: Vec<SocketAddr>,
}

/// An address that is still held is tried again so often.
const BIND_RETRIES: usize = 500;

/// Counts over all backends.
#[derive(Default)]
pub struct Counts {
    /// Calls that came through proxies.
    pub calls: AtomicU64,
    /// Those of them that came to a backend past its drain deadline.
    pub late_to_draining: AtomicU64,
    /// Connections.
    pub connections: AtomicU64,
}

struct Common {
    config: BackendConfig,
    counts: Counts,
    client: Client,
    next_hops: OnceLock<NextHops>,
    next_hop_index: AtomicU64,
}

/// One of them.
pub struct Backend {
    /// Where it listens.
    pub address: SocketAddr,
    mode: watch::Sender<Mode>,
    timestamps: Mutex<Timestamps>,
}

#[derive(Default)]
struct Timestamps {
    started_at: Option<Instant>,
    draining_since: Option<Instant>,
}

/// All of them; they end when it is dropped.
pub struct Backends {
    /// By number.
    pub all: Vec<Arc<Backend>>,
    common: Arc<Common>,
    tasks: JoinSet<()>,
}

impl Backends {
    /// Starts so many, warm.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
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

    /// Tells them where calls go on to; holds from the first time on.
    pub fn set_next_hops(&self, next_hops: NextHops) {
        // A second time changes nothing, as said.
        let _ = self.common.next_hops.set(next_hops);
    }

    /// What has come.
    pub fn counts(&self) -> &Counts {
        &self.common.counts
    }

    /// How many run.
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

/// What stands at a backend's address.
enum ListenerState {
    Open(TcpListener),
    /// A listener whose queue of one is full, by a connection that nobody takes: the system drops what else comes.
    /// If another client has the place, the task waits in vain and is ended with the rest.
    Blocked {
        _listener: TcpListener,
        _connection: JoinSet<()>,
    },
    Closed,
}

impl ListenerState {
    /// The state for a mode. One whose address can't be had is shut, which the log says. A process that is just being
    /// started holds all that this one had open for a moment, an old listener too: that is waited out.
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
            tracing::warn!("{address}: {e}");
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
    /// Changes what it does.
    pub fn set_mode(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// It is a new process from now on: cold.
    pub fn restart(&self) {
        let mut timestamps = self.timestamps.lock().unwrap_or_else(PoisonError::into_inner);
        *timestamps = Timestamps { started_at: Some(Instant::now()), draining_since: None };
    }

    /// The list says from now on that it drains.
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
                    // The old one has to let go of the address first.
                    drop(std::mem::replace(&mut listener_state, ListenerState::Closed));
                    let mode = *mode.borrow_and_update();
                    listener_state = ListenerState::for_mode(mode, self.address).await;
                }
                accepted = listener_state.accept() => match accepted {
                    Ok(stream) => {
                        common.counts.connections.fetch_add(1, Relaxed);
                        tokio::spawn(self.clone().connection(stream, common.clone()));
                    }
                    // Descriptors, which come free again.
                    Err(_) => sleep(Duration::from_millis(10)).await,
                }
            }
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, common: Arc<Common>) {
        // The first only makes answers quicker; by the second its end is a reset, as when a process is gone.
        let _ = (stream.set_nodelay(true), stream.set_zero_linger());
        let mut mode = self.mode.subscribe();
        let service = service_fn(|request| self.answer(request, &common));
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            // Its client has gone, as clients may.
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
        // One that is unresponsive answers once it is heard again, if its client still waits.
        let mut mode = self.mode.subscribe();
        let _ = mode.wait_for(|mode| *mode != Mode::Unresponsive).await;
        let mut reply = Response::new(Full::from("served"));
        *reply.status_mut() = status;
        Ok(reply)
    }

    /// How long it works on a call now.
    fn service_time(&self, config: &BackendConfig) -> Duration {
        let started_at = self.timestamps.lock().unwrap_or_else(PoisonError::into_inner).started_at;
        let age = started_at.map_or(1.0, |started_at| {
            started_at.elapsed().as_secs_f64() / config.warm_up.as_secs_f64().max(f64::MIN_POSITIVE)
        });
        config.warm_service_time
            + config.cold_service_time.saturating_sub(config.warm_service_time).mul_f64((1.0 - age).max(0.0))
    }

    /// The next hop's answer decides this one's.
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

/// What a backend is asked to do with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Query {
    /// Calls that are to follow, one behind the other.
    pub hops: usize,
    /// Whether they go straight to backends.
    pub direct: bool,
}

impl Query {
    /// As it stands in a request; what can't be read counts as not there.
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

    /// The text.
    pub fn text(self) -> String {
        format!("hops={}&direct={}", self.hops, u8::from(self.direct))
    }
}
