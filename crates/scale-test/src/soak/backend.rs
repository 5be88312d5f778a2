//! Simulated backends that read and write HTTP directly on the socket, according to their current behavior.

use super::plan::{BackendBehavior, SoakPlan, run_address};
use super::record::{AttemptEffect, AttemptRecord, ColdStart, Recorder, RequestId};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// A slow backend multiplies its service time by this factor.
const SLOWDOWN_FACTOR: u32 = 8;
/// Delay between a response and its stray copy.
const STRAY_ANSWER_DELAY: Duration = Duration::from_millis(3);
/// Interval between two bytes of a response that is not completed in time.
const ENDLESS_BYTE_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum size of a request head and body together.
const MAX_REQUEST_BYTES: usize = 1 << 16;

/// A simulated backend.
pub struct Backend {
    /// The name under which discovery lists the backend.
    pub name: String,
    /// The address on which the backend listens; a restart keeps it.
    pub address: SocketAddr,
    state: Mutex<BackendState>,
    service_time: Duration,
    cores: Semaphore,
    concurrency: usize,
    warm_up: Duration,
    initial_capacity: f64,
    recorder: Recorder,
}

struct BackendState {
    behavior: BackendBehavior,
    /// When the backend was restarted; `None` for a backend that has been warm from the start.
    started_at: Option<Duration>,
    /// The tasks that stand for the backend's process; aborting them resets all connections.
    process: JoinSet<()>,
}

impl Backend {
    /// Starts a warm backend.
    pub async fn start(number: usize, plan: &SoakPlan, recorder: Recorder) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((run_address(plan.seed), 0)).await?;
        let state =
            BackendState { behavior: BackendBehavior::Serve, started_at: None, process: JoinSet::new() };
        let backend = Arc::new(Backend {
            name: format!("s-{number}"),
            address: listener.local_addr()?,
            state: Mutex::new(state),
            service_time: plan.service_time,
            cores: Semaphore::new(plan.concurrency),
            concurrency: plan.concurrency,
            warm_up: plan.settings.warm_up,
            initial_capacity: plan.settings.initial_capacity,
            recorder,
        });
        backend.accept_connections(listener);
        Ok(backend)
    }

    /// Sets the behavior for the requests that follow.
    pub fn set_behavior(&self, behavior: BackendBehavior) {
        self.with_state(|state| state.behavior = behavior);
    }

    /// Ends the backend's process: open connections are reset and new ones refused.
    pub async fn crash(&self) {
        let mut process = self.with_state(|state| std::mem::take(&mut state.process));
        process.shutdown().await;
    }

    /// Restarts the backend's process, which is cold.
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let at = self.recorder.now();
        self.with_state(|state| {
            state.started_at = Some(at);
            state.behavior = BackendBehavior::Serve;
        });
        let warm_rate = self.concurrency as f64 / self.service_time.as_secs_f64();
        self.recorder.records().cold_starts.push(ColdStart { backend: self.name.clone(), at, warm_rate });
        self.accept_connections(listener);
        Ok(())
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut BackendState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn accept_connections(self: &Arc<Self>, listener: TcpListener) {
        let backend = self.clone();
        let accept = async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let backend = backend.clone();
                connections.spawn(async move {
                    // Closing the socket sends a reset, as the end of a process does.
                    let _ = stream.set_zero_linger();
                    // A disconnect by the proxy is not an error of the backend.
                    let _ = backend.serve(stream).await;
                });
            }
        };
        self.with_state(|state| state.process.spawn(accept));
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        while let Some(request) = self.read_request(&mut stream).await? {
            let behavior = self.with_state(|state| state.behavior);
            let effect = match behavior {
                BackendBehavior::Decline => AttemptEffect::Declined,
                _ => AttemptEffect::MayHaveRun,
            };
            self.record_attempt(&request, effect);
            if !self.respond(&mut stream, &request, behavior).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Sends the response. Returns whether the connection stays open.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
        behavior: BackendBehavior,
    ) -> io::Result<bool> {
        let response = response_text("200 OK", "", &request.body());
        match behavior {
            BackendBehavior::Hang => {
                // Waits until the proxy closes the connection.
                stream.read_u8().await.ok();
                return Ok(false);
            }
            BackendBehavior::Reset => return Ok(false),
            BackendBehavior::HalfAnswer => {
                stream.write_all(&response.as_bytes()[..response.len() / 2]).await?;
                return Ok(false);
            }
            BackendBehavior::Endless => {
                // The longest body that the proxy buffers whole; a longer one would be streamed to the
                // client.
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n").await?;
                loop {
                    stream.write_all(b"x").await?;
                    sleep(ENDLESS_BYTE_INTERVAL).await;
                }
            }
            BackendBehavior::Fail => {
                stream.write_all(response_text("500 Internal Server Error", "", "").as_bytes()).await?;
                return Ok(true);
            }
            BackendBehavior::Decline => {
                let declined = response_text("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
                stream.write_all(declined.as_bytes()).await?;
                return Ok(true);
            }
            BackendBehavior::Serve
            | BackendBehavior::Slow
            | BackendBehavior::TooMuch
            | BackendBehavior::StrayAnswer => {}
        }
        self.process_request(behavior).await;
        stream.write_all(response.as_bytes()).await?;
        if behavior == BackendBehavior::TooMuch {
            stream.write_all(b"and more than belongs to it").await?;
        }
        if behavior == BackendBehavior::StrayAnswer {
            sleep(STRAY_ANSWER_DELAY).await;
            stream.write_all(response.as_bytes()).await?;
        }
        Ok(true)
    }

    async fn process_request(&self, behavior: BackendBehavior) {
        let Ok(_core) = self.cores.acquire().await else { return };
        let slowdown = if behavior == BackendBehavior::Slow { SLOWDOWN_FACTOR } else { 1 };
        let capacity = self.capacity_fraction();
        sleep((self.service_time * slowdown).div_f64(capacity)).await;
    }

    /// Returns the fraction of its capacity that the backend has warmed up to.
    fn capacity_fraction(&self) -> f64 {
        let Some(started_at) = self.with_state(|state| state.started_at) else { return 1.0 };
        let age = self.recorder.now().saturating_sub(started_at).as_secs_f64();
        let progress = (age / self.warm_up.as_secs_f64()).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }

    fn record_attempt(&self, request: &ReceivedRequest, effect: AttemptEffect) {
        let attempt = AttemptRecord {
            request: request.id,
            backend: self.name.clone(),
            first_byte_at: request.first_byte_at,
            complete_at: self.recorder.now(),
            sent_deadline: request.sent_deadline,
            effect,
        };
        self.recorder.records().attempts.push(attempt);
    }

    /// Reads a request. Returns `None` if the connection ends before the last byte or the request is too
    /// long.
    async fn read_request(&self, stream: &mut TcpStream) -> io::Result<Option<ReceivedRequest>> {
        let mut bytes = Vec::new();
        let mut first_byte_at = None;
        loop {
            if stream.read_buf(&mut bytes).await? == 0 || bytes.len() > MAX_REQUEST_BYTES {
                return Ok(None);
            }
            let first_byte_at = *first_byte_at.get_or_insert_with(|| self.recorder.now());
            if let Some(request) = ReceivedRequest::parse(&bytes, first_byte_at) {
                return Ok(Some(request));
            }
        }
    }
}

/// A request that was received completely.
struct ReceivedRequest {
    id: RequestId,
    sent_deadline: Option<Duration>,
    first_byte_at: Duration,
}

impl ReceivedRequest {
    fn parse(bytes: &[u8], first_byte_at: Duration) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        let header = |wanted: &str| {
            let mut lines = head.lines().filter_map(|line| line.split_once(':'));
            lines.find(|(name, _)| name.eq_ignore_ascii_case(wanted)).map(|(_, value)| value.trim())
        };
        let length = header("content-length").map_or(Some(0), |length| length.parse().ok())?;
        if body.len() < length {
            return None;
        }
        let deadline = header("req-deadline-ms").and_then(|text| text.parse().ok());
        Some(ReceivedRequest {
            id: header("req-id").and_then(|id| RequestId::from_str_radix(id, 16).ok()).unwrap_or_default(),
            sent_deadline: deadline.map(Duration::from_millis),
            first_byte_at,
        })
    }

    /// Returns the body of the response, by which the client recognizes the response to its request.
    fn body(&self) -> String {
        format!("{:016x}", self.id)
    }
}

fn response_text(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
