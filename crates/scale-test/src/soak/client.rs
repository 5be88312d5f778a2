//! Clients: those that send requests in turn, with all that clients do, and those of a crowd.

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

/// So long after its deadline a client gives a request up.
const PATIENCE: Duration = Duration::from_millis(1500);
/// A client that stopped in the middle waits so long for its error or close.
const IMPROPER_PATIENCE: Duration = Duration::from_secs(5);
/// Pause after a connect that was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);
/// Pause of a busy client of a crowd.
const BUSY_PAUSE: Duration = Duration::from_millis(2);
/// Longest answer that a client reads.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// First id of a crowd's requests.
const CROWD_FIRST_ID: RequestId = 1 << 32;
/// Pieces of a request that is written slowly.
const SLOW_PIECES: usize = 4;

/// What all clients share.
pub struct Clients {
    /// Where the proxy listens.
    pub address: SocketAddr,
    /// The classes and tenants.
    pub settings: SoakSettings,
    /// What they do.
    pub plan: ClientPlan,
    /// Where they record it.
    pub recorder: Recorder,
    /// Whether the play is over.
    pub is_over: watch::Receiver<bool>,
    next_id: AtomicU64,
}

/// A connection of a client.
struct Connection {
    stream: TcpStream,
    /// Bytes that came and were not used.
    unread: Vec<u8>,
    requests: usize,
}

/// A request to be sent.
struct Request {
    id: RequestId,
    text: String,
    deadline: Duration,
}

/// What a client does with its next request.
#[derive(Clone, Copy)]
enum Conduct {
    Wait,
    Leave,
    WriteSlowly,
    Stop,
    Pipeline,
}

/// An answer that came whole.
struct Answer {
    status: u16,
    body: Vec<u8>,
    closes: bool,
}

/// Why no whole answer came.
enum AnswerError {
    /// The connection ended before a byte of it.
    Closed,
    /// It ended in the middle.
    Broken,
    /// Nothing came in time.
    TimedOut,
}

impl Clients {
    /// Clients of a proxy.
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

    /// Sends requests in turn until the play is over.
    pub async fn run(self: Arc<Self>, mut random: StdRng) {
        let mut connection = None;
        while !self.is_over() {
            let conduct = self.draw_conduct(&mut random);
            let was_rejected = match conduct {
                Conduct::Stop => {
                    self.stop_in_the_middle().await;
                    false
                }
                _ => self.send_requests(&mut connection, conduct, &mut random).await,
            };
            if !(was_rejected && random.random_bool(self.plan.retrying)) {
                sleep(random.random_range(Duration::ZERO..=self.plan.pause)).await;
            }
        }
    }

    fn draw_conduct(&self, random: &mut StdRng) -> Conduct {
        let plan = &self.plan;
        let draw = random.random::<f64>();
        if draw < plan.leaving {
            Conduct::Leave
        } else if draw < plan.leaving + plan.slow {
            Conduct::WriteSlowly
        } else if draw < plan.leaving + plan.slow + plan.stopping {
            Conduct::Stop
        } else if draw < plan.leaving + plan.slow + plan.stopping + plan.pipelining {
            Conduct::Pipeline
        } else {
            Conduct::Wait
        }
    }

    /// Sends a request, or two at once, and sees to what comes; whether the last was rejected.
    async fn send_requests(
        &self,
        kept: &mut Option<Connection>,
        conduct: Conduct,
        random: &mut StdRng,
    ) -> bool {
        let Some(mut connection) = self.connection(kept).await else { return false };
        let count = if matches!(conduct, Conduct::Pipeline) { 2 } else { 1 };
        let requests: Vec<Request> = (0..count).map(|_| self.draw_request(random)).collect();
        let mut behind = None;
        for request in &requests {
            let is_first = connection.requests == 0 && behind.is_none();
            self.record_start(request, is_first, behind);
            behind = Some(request.id);
        }
        connection.requests += count;
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let written = match conduct {
            Conduct::WriteSlowly => write_slowly(&mut connection.stream, &text, random).await,
            _ => connection.stream.write_all(text.as_bytes()).await,
        };
        if written.is_err() {
            // What was not written completely is not owed an answer.
            return false;
        }
        self.record_complete(&requests);
        if matches!(conduct, Conduct::Leave) {
            sleep(random.random_range(Duration::ZERO..=requests[0].deadline / 2)).await;
            drop(connection);
            self.record_outcome(&requests[0], Outcome::Left { at: self.recorder.now() });
            return false;
        }
        let mut was_rejected = false;
        let mut waiting = requests.iter();
        while let Some(request) = waiting.next() {
            let answer = self.await_answer(&mut connection, request).await;
            was_rejected = answer.as_ref().is_some_and(|answer| matches!(answer.status, 429 | 503));
            if answer.is_none_or(|answer| answer.closes) {
                // With the connection, those behind it end unanswered.
                let at = self.recorder.now();
                waiting.for_each(|request| self.record_outcome(request, Outcome::Closed { at }));
                return was_rejected;
            }
        }
        *kept = Some(connection);
        was_rejected
    }

    /// The kept connection, or a new one; none where nobody listens.
    async fn connection(&self, kept: &mut Option<Connection>) -> Option<Connection> {
        if let Some(connection) = kept.take() {
            return Some(connection);
        }
        match TcpStream::connect(self.address).await {
            Ok(stream) => {
                // It only makes requests quicker.
                let _ = stream.set_nodelay(true);
                Some(Connection { stream, unread: Vec::new(), requests: 0 })
            }
            Err(_) => {
                sleep(REFUSED_PAUSE).await;
                None
            }
        }
    }

    /// Waits for the answer to a request and records how it ended.
    async fn await_answer(&self, connection: &mut Connection, request: &Request) -> Option<Answer> {
        let patience = request.deadline + PATIENCE;
        let answer = timeout(patience, read_answer(connection)).await;
        let at = self.recorder.now();
        match answer.unwrap_or(Err(AnswerError::TimedOut)) {
            Ok(answer) => {
                let is_own_body = answer.body == format!("{:016x}", request.id).as_bytes();
                let outcome = Outcome::Answered { status: answer.status, is_own_body, at };
                self.record_outcome(request, outcome);
                Some(answer)
            }
            Err(AnswerError::Closed) => {
                self.record_outcome(request, Outcome::Closed { at });
                None
            }
            Err(AnswerError::Broken) => {
                self.record_outcome(request, Outcome::BrokenAnswer { at });
                None
            }
            Err(AnswerError::TimedOut) => None,
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

    /// Connects, sends half a head, and stays.
    async fn stop_in_the_middle(&self) {
        self.send_improper("GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: 1").await;
    }

    /// Connects, sends what is no request, and waits for an error or a close.
    async fn send_improper(&self, text: &str) {
        let Ok(mut stream) = TcpStream::connect(self.address).await else {
            return sleep(REFUSED_PAUSE).await;
        };
        let connected_at = self.recorder.now();
        let mut is_over = self.is_over.clone();
        let ended = async {
            // One that is reset has ended, too.
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.read(&mut [0; 256]).await;
        };
        let ended_at = tokio::select! {
            ended = timeout(IMPROPER_PATIENCE, ended) => ended.is_ok().then(|| self.recorder.now()),
            // It is not known how long it would have taken.
            _ = async { is_over.wait_for(|is_over| *is_over).await.is_ok() } => return,
        };
        self.recorder.records().improper.push(ImproperRecord { connected_at, ended_at });
    }

    /// The same clients' requests and records, over at another time.
    pub fn with_end(&self, is_over: watch::Receiver<bool>) -> Arc<Self> {
        // Ids of their own, above all that the others may come to.
        let next_id = AtomicU64::new(CROWD_FIRST_ID);
        Arc::new(Clients {
            address: self.address,
            settings: self.settings.clone(),
            plan: self.plan,
            recorder: self.recorder.clone(),
            is_over,
            next_id,
        })
    }

    /// A client of a crowd: it comes again at once when it is shut out.
    pub async fn crowd(self: Arc<Self>, kind: CrowdKind, mut random: StdRng) {
        let mut connection = None;
        while !self.is_over() {
            match kind {
                CrowdKind::Idle => self.send_improper("").await,
                CrowdKind::HalfOpen => self.stop_in_the_middle().await,
                CrowdKind::Busy => {
                    self.send_requests(&mut connection, Conduct::Wait, &mut random).await;
                    sleep(BUSY_PAUSE).await;
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
    let pieces = text.as_bytes().chunks(text.len().div_ceil(SLOW_PIECES));
    for (index, piece) in pieces.enumerate() {
        if index > 0 {
            sleep(Duration::from_millis(random.random_range(5..60))).await;
        }
        stream.write_all(piece).await?;
    }
    Ok(())
}

/// Reads an answer that tells its length.
async fn read_answer(connection: &mut Connection) -> Result<Answer, AnswerError> {
    loop {
        if let Some(answer) = take_answer(&mut connection.unread) {
            return Ok(answer);
        }
        let before = connection.unread.len();
        let read = connection.stream.read_buf(&mut connection.unread).await;
        let has_ended = read.map_or(true, |length| length == 0) || before > MAX_ANSWER_BYTES;
        if has_ended {
            return Err(if before == 0 { AnswerError::Closed } else { AnswerError::Broken });
        }
    }
}

fn take_answer(unread: &mut Vec<u8>) -> Option<Answer> {
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
    let closes = header("connection").is_some_and(|value| value.contains("close"));
    let body = unread[head_end..end].to_vec();
    unread.drain(..end);
    Some(Answer { status, body, closes })
}
