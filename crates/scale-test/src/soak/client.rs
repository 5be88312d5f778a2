//! Clients of the proxy: regular clients, which send requests, disconnect, stall or pipeline, and the clients
//! of a crowd.

use super::plan::{ClientPlan, CrowdKind, SoakClass, SoakSettings};
use super::record::{Idempotency, ImproperRecord, Outcome, Recorder, RequestId, RequestRecord};
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// A client stops waiting for a response this long after the deadline.
const RESPONSE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1500);
/// A client that sent an incomplete request waits this long for an error response or a close.
const INCOMPLETE_REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause after a failed connect.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
/// Pause between the requests of a busy crowd client.
const BUSY_CROWD_PAUSE: Duration = Duration::from_millis(2);
/// Maximum size of a response.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// First request id of a crowd; regular clients use the ids below it.
const FIRST_CROWD_REQUEST_ID: RequestId = 1 << 32;
/// Number of pieces in which a slow client writes its request.
const SLOW_WRITE_PIECES: usize = 4;

/// The state that all clients share.
pub struct Clients {
    /// The address on which the proxy listens.
    pub address: SocketAddr,
    /// The settings, from which classes and tenants are drawn.
    pub settings: SoakSettings,
    /// The probabilities of what the clients do.
    pub plan: ClientPlan,
    /// Records the requests and their outcomes.
    pub recorder: Recorder,
    /// Whether the clients are to stop.
    pub is_over: watch::Receiver<bool>,
    next_id: AtomicU64,
}

/// A client's connection to the proxy.
struct Connection {
    stream: TcpStream,
    /// Bytes that were received and not yet parsed.
    unread: Vec<u8>,
    requests: usize,
}

/// A request that is ready to be sent.
struct Request {
    id: RequestId,
    text: String,
    deadline: Duration,
}

/// What a client does with its next request.
#[derive(Clone, Copy)]
enum ClientBehavior {
    Wait,
    Disconnect,
    WriteSlowly,
    Stall,
    Pipeline,
}

/// A complete response.
struct Response {
    status: u16,
    body: Vec<u8>,
    closes_connection: bool,
}

/// The reason why no complete response was received.
enum ResponseError {
    /// The connection ended before the first byte.
    Closed,
    /// The connection ended in the middle of the response.
    Truncated,
    /// The response was not complete in time.
    TimedOut,
}

impl Clients {
    /// Creates the shared state of clients of the proxy at `address`.
    pub fn new(
        address: SocketAddr,
        settings: SoakSettings,
        plan: ClientPlan,
        recorder: Recorder,
        is_over: watch::Receiver<bool>,
    ) -> Arc<Self> {
        let next_id = AtomicU64::new(1);
        Arc::new(Clients { address, settings, plan, recorder, is_over, next_id })
    }

    fn is_over(&self) -> bool {
        *self.is_over.borrow()
    }

    /// Sends one request after the other until the clients are to stop.
    pub async fn run(self: Arc<Self>, mut random: StdRng) {
        let mut connection = None;
        while !self.is_over() {
            let behavior = self.draw_behavior(&mut random);
            let was_rejected = match behavior {
                ClientBehavior::Stall => {
                    self.send_partial_head().await;
                    false
                }
                _ => self.send_requests(&mut connection, behavior, &mut random).await,
            };
            if !(was_rejected && random.random_bool(self.plan.retrying)) {
                sleep(random.random_range(Duration::ZERO..=self.plan.pause)).await;
            }
        }
    }

    fn draw_behavior(&self, random: &mut StdRng) -> ClientBehavior {
        let plan = &self.plan;
        let draw = random.random::<f64>();
        if draw < plan.leaving {
            ClientBehavior::Disconnect
        } else if draw < plan.leaving + plan.slow {
            ClientBehavior::WriteSlowly
        } else if draw < plan.leaving + plan.slow + plan.stopping {
            ClientBehavior::Stall
        } else if draw < plan.leaving + plan.slow + plan.stopping + plan.pipelining {
            ClientBehavior::Pipeline
        } else {
            ClientBehavior::Wait
        }
    }

    /// Sends a request, or two pipelined ones, and receives the responses. Returns whether the last response
    /// was a rejection.
    async fn send_requests(
        &self,
        kept: &mut Option<Connection>,
        behavior: ClientBehavior,
        random: &mut StdRng,
    ) -> bool {
        let Some(mut connection) = self.take_or_connect(kept).await else { return false };
        let count = if matches!(behavior, ClientBehavior::Pipeline) { 2 } else { 1 };
        let requests: Vec<Request> = (0..count).map(|_| self.draw_request(random)).collect();
        let mut behind = None;
        for request in &requests {
            let is_first = connection.requests == 0 && behind.is_none();
            self.record_start(request, is_first, behind);
            behind = Some(request.id);
        }
        connection.requests += count;
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let written = match behavior {
            ClientBehavior::WriteSlowly => write_slowly(&mut connection.stream, &text, random).await,
            _ => connection.stream.write_all(text.as_bytes()).await,
        };
        if written.is_err() {
            // The proxy owes no response to a request that was not written completely.
            return false;
        }
        self.record_complete(&requests);
        if matches!(behavior, ClientBehavior::Disconnect) {
            sleep(random.random_range(Duration::ZERO..=requests[0].deadline / 2)).await;
            drop(connection);
            self.record_outcome(&requests[0], Outcome::Left { at: self.recorder.now() });
            return false;
        }
        let mut was_rejected = false;
        let mut waiting = requests.iter();
        while let Some(request) = waiting.next() {
            let response = self.receive_response(&mut connection, request).await;
            was_rejected = response.as_ref().is_some_and(|response| matches!(response.status, 429 | 503));
            if response.is_none_or(|response| response.closes_connection) {
                // The requests behind it on the connection get no response.
                let at = self.recorder.now();
                waiting.for_each(|request| self.record_outcome(request, Outcome::Closed { at }));
                return was_rejected;
            }
        }
        *kept = Some(connection);
        was_rejected
    }

    /// Returns the kept connection or a new one, or `None` if the connect fails.
    async fn take_or_connect(&self, kept: &mut Option<Connection>) -> Option<Connection> {
        if let Some(connection) = kept.take() {
            return Some(connection);
        }
        match TcpStream::connect(self.address).await {
            Ok(stream) => {
                // Without `TCP_NODELAY` requests are slower, but still valid.
                let _ = stream.set_nodelay(true);
                Some(Connection { stream, unread: Vec::new(), requests: 0 })
            }
            Err(_) => {
                sleep(RECONNECT_DELAY).await;
                None
            }
        }
    }

    /// Waits for the response to a request and records the outcome.
    async fn receive_response(&self, connection: &mut Connection, request: &Request) -> Option<Response> {
        let response_timeout = request.deadline + RESPONSE_TIMEOUT_MARGIN;
        let response = timeout(response_timeout, read_response(connection)).await;
        let at = self.recorder.now();
        match response.unwrap_or(Err(ResponseError::TimedOut)) {
            Ok(response) => {
                let is_own_body = response.body == format!("{:016x}", request.id).as_bytes();
                let outcome = Outcome::Answered { status: response.status, is_own_body, at };
                self.record_outcome(request, outcome);
                Some(response)
            }
            Err(ResponseError::Closed) => {
                self.record_outcome(request, Outcome::Closed { at });
                None
            }
            Err(ResponseError::Truncated) => {
                self.record_outcome(request, Outcome::BrokenAnswer { at });
                None
            }
            Err(ResponseError::TimedOut) => None,
        }
    }

    fn draw_request(&self, random: &mut StdRng) -> Request {
        let id = self.next_id.fetch_add(1, Relaxed);
        let class = self.settings.classes.choose(random).unwrap_or(&self.settings.classes[0]);
        let tenant = self.settings.tenants.choose(random).copied().unwrap_or("acme");
        Request { id, text: request_text(id, class, tenant), deadline: class.deadline }
    }

    fn record_start(&self, request: &Request, is_first_on_connection: bool, behind: Option<RequestId>) {
        let name = request.text.split(['/', '?']).nth(1).unwrap_or_default();
        let class = self.settings.classes.iter().find(|class| class.name == name);
        let record = RequestRecord {
            class: name.to_string(),
            idempotency: class.map_or(Idempotency::NonIdempotent, |class| class.idempotency),
            deadline: request.deadline,
            is_first_on_connection,
            behind,
            complete_at: None,
            outcome: None,
        };
        self.recorder.records().requests.insert(request.id, record);
    }

    fn record_complete(&self, requests: &[Request]) {
        let at = self.recorder.now();
        let mut records = self.recorder.records();
        for request in requests {
            if let Some(record) = records.requests.get_mut(&request.id) {
                record.complete_at = Some(at);
            }
        }
    }

    fn record_outcome(&self, request: &Request, outcome: Outcome) {
        if let Some(record) = self.recorder.records().requests.get_mut(&request.id) {
            record.outcome = Some(outcome);
        }
    }

    /// Connects, sends an incomplete request head, and waits for an error response or a close.
    async fn send_partial_head(&self) {
        self.send_incomplete_request("GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: 1").await;
    }

    /// Connects, sends `text`, which is not a complete request, and waits for an error response or a close.
    async fn send_incomplete_request(&self, text: &str) {
        let Ok(mut stream) = TcpStream::connect(self.address).await else {
            return sleep(RECONNECT_DELAY).await;
        };
        let connected_at = self.recorder.now();
        let mut is_over = self.is_over.clone();
        let error_or_close = async {
            // A reset counts as a close, so errors are ignored.
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.read(&mut [0; 256]).await;
        };
        let ended_at = tokio::select! {
            ended = timeout(INCOMPLETE_REQUEST_TIMEOUT, error_or_close) => {
                ended.is_ok().then(|| self.recorder.now())
            }
            // The client stops first, so it is unknown when the proxy would have responded or closed the
            // connection, and nothing is recorded.
            _ = async { is_over.wait_for(|is_over| *is_over).await.is_ok() } => return,
        };
        self.recorder.records().improper.push(ImproperRecord { connected_at, ended_at });
    }

    /// Returns shared state for the clients of a crowd, which stop on a signal of their own.
    pub fn for_crowd(&self, is_over: watch::Receiver<bool>) -> Arc<Self> {
        // A separate range of ids, above all ids of the regular clients.
        let next_id = AtomicU64::new(FIRST_CROWD_REQUEST_ID);
        Arc::new(Clients {
            address: self.address,
            settings: self.settings.clone(),
            plan: self.plan,
            recorder: self.recorder.clone(),
            is_over,
            next_id,
        })
    }

    /// Runs a client of a crowd, which reconnects as soon as its connection has ended.
    pub async fn run_crowd_client(self: Arc<Self>, kind: CrowdKind, mut random: StdRng) {
        let mut connection = None;
        while !self.is_over() {
            match kind {
                CrowdKind::Idle => self.send_incomplete_request("").await,
                CrowdKind::HalfOpen => self.send_partial_head().await,
                CrowdKind::Busy => {
                    self.send_requests(&mut connection, ClientBehavior::Wait, &mut random).await;
                    sleep(BUSY_CROWD_PAUSE).await;
                }
            }
        }
    }
}

fn request_text(id: RequestId, class: &SoakClass, tenant: &str) -> String {
    let (method, key) = match class.idempotency {
        Idempotency::Idempotent => ("GET", String::new()),
        Idempotency::Deduplicated => ("POST", format!("Idempotency-Key: {id:x}\r\n")),
        Idempotency::NonIdempotent => ("POST", String::new()),
    };
    let body = if method == "POST" { "body" } else { "" };
    let (name, deadline_ms, length) = (class.name, class.deadline.as_millis(), body.len());
    format!(
        "{method} /{name}?k=1 HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id:016x}\r\nReq-Owner: {tenant}\r\n\
         Req-Deadline-Ms: {deadline_ms}\r\n{key}Content-Length: {length}\r\n\r\n{body}"
    )
}

async fn write_slowly(stream: &mut TcpStream, text: &str, random: &mut StdRng) -> io::Result<()> {
    let pieces = text.as_bytes().chunks(text.len().div_ceil(SLOW_WRITE_PIECES));
    for (index, piece) in pieces.enumerate() {
        if index > 0 {
            sleep(Duration::from_millis(random.random_range(5..60))).await;
        }
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// Reads a response, whose body is delimited by `Content-Length`.
async fn read_response(connection: &mut Connection) -> Result<Response, ResponseError> {
    loop {
        if let Some(response) = take_response(&mut connection.unread) {
            return Ok(response);
        }
        let before = connection.unread.len();
        let read = connection.stream.read_buf(&mut connection.unread).await;
        let has_ended = read.map_or(true, |length| length == 0) || before > MAX_RESPONSE_BYTES;
        if has_ended {
            return Err(if before == 0 { ResponseError::Closed } else { ResponseError::Truncated });
        }
    }
}

fn take_response(unread: &mut Vec<u8>) -> Option<Response> {
    let head_end = unread.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&unread[..head_end]).to_ascii_lowercase();
    let header = |wanted: &str| {
        let mut lines = head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(name, _)| *name == wanted).map(|(_, value)| value.trim().to_string())
    };
    let length = header("content-length").and_then(|length| length.parse::<usize>().ok()).unwrap_or(0);
    let end = head_end + length;
    if unread.len() < end {
        return None;
    }
    let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let closes_connection = header("connection").is_some_and(|value| value.contains("close"));
    let body = unread[head_end..end].to_vec();
    unread.drain(..end);
    Some(Response { status, body, closes_connection })
}
