//! Backends that do with each request what their present behavior says, byte by byte.

use super::plan::{BackendBehavior, SoakPlan, play_address};
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

/// A slow backend takes so many times as long.
const SLOWDOWN: u32 = 8;
/// A stray second answer comes so long after the first.
const STRAY_DELAY: Duration = Duration::from_millis(3);
/// Pause between two bytes of an answer without an end.
const TRICKLE: Duration = Duration::from_millis(20);
/// Longest request head and body that a backend reads.
const MAX_REQUEST_BYTES: usize = 1 << 16;

/// A backend.
pub struct Backend {
    /// Its name at discovery.
    pub name: String,
    /// Where it listens, also after a restart.
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
    /// When its process started, if that was in this play.
    started_at: Option<Duration>,
    /// The process: its end resets all connections.
    process: JoinSet<()>,
}

impl Backend {
    /// Starts a backend that is warm.
    pub async fn start(number: usize, plan: &SoakPlan, recorder: Recorder) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((play_address(plan.seed), 0)).await?;
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
        backend.run(listener);
        Ok(backend)
    }

    /// Behaves so from now on.
    pub fn behave(&self, behavior: BackendBehavior) {
        self.with_state(|state| state.behavior = behavior);
    }

    /// Ends its process: its connections are reset, new ones refused.
    pub async fn crash(&self) {
        let mut process = self.with_state(|state| std::mem::take(&mut state.process));
        process.shutdown().await;
    }

    /// Starts its process again, cold.
    pub async fn restart(self: &Arc<Self>) -> io::Result<()> {
        let listener = TcpListener::bind(self.address).await?;
        let at = self.recorder.now();
        self.with_state(|state| {
            state.started_at = Some(at);
            state.behavior = BackendBehavior::Serve;
        });
        let warm_rate = self.concurrency as f64 / self.service_time.as_secs_f64();
        self.recorder.records().cold_starts.push(ColdStart { backend: self.name.clone(), at, warm_rate });
        self.run(listener);
        Ok(())
    }

    fn with_state<T>(&self, change: impl FnOnce(&mut BackendState) -> T) -> T {
        change(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn run(self: &Arc<Self>, listener: TcpListener) {
        let backend = self.clone();
        let accept = async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                let backend = backend.clone();
                connections.spawn(async move {
                    // Its end is a reset, as when a process ends.
                    let _ = stream.set_zero_linger();
                    // A client that goes is not the backend's concern.
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
            self.record(&request, effect);
            if !self.answer(&mut stream, &request, behavior).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Answers, and tells whether the connection goes on.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: &ReceivedRequest,
        behavior: BackendBehavior,
    ) -> io::Result<bool> {
        let served = response("200 OK", "", &request.body());
        match behavior {
            BackendBehavior::Hang => {
                // Until the other side gives up.
                stream.read_u8().await.ok();
                return Ok(false);
            }
            BackendBehavior::Reset => return Ok(false),
            BackendBehavior::HalfAnswer => {
                stream.write_all(&served.as_bytes()[..served.len() / 2]).await?;
                return Ok(false);
            }
            BackendBehavior::Endless => {
                // As long as the protocol allows: a longer one would be passed on as it comes.
                stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 65536\r\n\r\n").await?;
                loop {
                    stream.write_all(b"x").await?;
                    sleep(TRICKLE).await;
                }
            }
            BackendBehavior::Fail => {
                stream.write_all(response("500 Internal Server Error", "", "").as_bytes()).await?;
                return Ok(true);
            }
            BackendBehavior::Decline => {
                let declined = response("503 Service Unavailable", "Srv-Declined: 1\r\n", "");
                stream.write_all(declined.as_bytes()).await?;
                return Ok(true);
            }
            BackendBehavior::Serve
            | BackendBehavior::Slow
            | BackendBehavior::TooMuch
            | BackendBehavior::StrayAnswer => {}
        }
        self.work(behavior).await;
        stream.write_all(served.as_bytes()).await?;
        if behavior == BackendBehavior::TooMuch {
            stream.write_all(b"and more than belongs to it").await?;
        }
        if behavior == BackendBehavior::StrayAnswer {
            sleep(STRAY_DELAY).await;
            stream.write_all(served.as_bytes()).await?;
        }
        Ok(true)
    }

    async fn work(&self, behavior: BackendBehavior) {
        let Ok(_core) = self.cores.acquire().await else { return };
        let slowdown = if behavior == BackendBehavior::Slow { SLOWDOWN } else { 1 };
        let capacity = self.capacity_fraction();
        sleep((self.service_time * slowdown).div_f64(capacity)).await;
    }

    /// Share of its capacity that it has warmed up to.
    fn capacity_fraction(&self) -> f64 {
        let Some(started_at) = self.with_state(|state| state.started_at) else { return 1.0 };
        let age = self.recorder.now().saturating_sub(started_at).as_secs_f64();
        let progress = (age / self.warm_up.as_secs_f64()).min(1.0);
        self.initial_capacity + (1.0 - self.initial_capacity) * progress
    }

    fn record(&self, request: &ReceivedRequest, effect: AttemptEffect) {
        let attempt = AttemptRecord {
            request: request.id,
            backend: self.name.clone(),
            first_byte_at: request.first_byte_at,
            complete_at: self.recorder.now(),
            told_deadline: request.told_deadline,
            effect,
        };
        self.recorder.records().attempts.push(attempt);
    }

    /// Reads a request; none if the connection ends before its last byte.
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

/// A request that has come completely.
struct ReceivedRequest {
    id: RequestId,
    told_deadline: Option<Duration>,
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
            told_deadline: deadline.map(Duration::from_millis),
            first_byte_at,
        })
    }

    /// The body of its answer, by which its client knows it.
    fn body(&self) -> String {
        format!("{:016x}", self.id)
    }
}

fn response(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}
