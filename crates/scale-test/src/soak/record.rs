//! What was seen while a seed was played: requests, attempts, lists, processes. Times are since the start of the play.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Id of a request, as its `Req-Id` tells it.
pub type RequestId = u64;

/// What a class allows when an attempt may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Idempotency {
    /// It may run any number of times.
    Idempotent,
    /// Repeats are dropped by its key within a window.
    Deduplicated,
    /// It must not run twice.
    NonIdempotent,
}

/// How a request ended for its client.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Outcome {
    /// A whole answer came. One that was served carries the request's id in its body.
    Answered {
        /// Its status.
        status: u16,
        /// Whether the body was that of this request.
        is_own_body: bool,
        /// When its last byte came.
        at: Duration,
    },
    /// An answer began and ended short, so that the client can tell.
    BrokenAnswer {
        /// When it ended.
        at: Duration,
    },
    /// The connection ended before a byte of an answer.
    Closed {
        /// When.
        at: Duration,
    },
    /// The client has left.
    Left {
        /// When it closed its connection.
        at: Duration,
    },
}

/// A request of a client.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// Name of its class.
    pub class: String,
    /// What its class allows.
    pub idempotency: Idempotency,
    /// How long its client waits, from its last byte.
    pub deadline: Duration,
    /// Whether it is the first on its connection.
    pub is_first_on_connection: bool,
    /// The request whose answer was outstanding on its connection when it was sent.
    pub behind: Option<RequestId>,
    /// When its last byte was written; none if that did not happen.
    pub complete_at: Option<Duration>,
    /// How it ended; none as long as it has not.
    pub outcome: Option<Outcome>,
}

/// What a backend did with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum AttemptEffect {
    /// It was declined unseen.
    Declined,
    /// It has run, or may have.
    MayHaveRun,
}

/// An attempt that a backend got completely.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// Its request.
    pub request: RequestId,
    /// Name of the backend.
    pub backend: String,
    /// When its first byte came.
    pub first_byte_at: Duration,
    /// When its last byte came.
    pub complete_at: Duration,
    /// The deadline that it told, if it told one.
    pub told_deadline: Option<Duration>,
    /// What the backend did with it.
    pub effect: AttemptEffect,
}

/// A client that is owed an error or a close, since it sends nothing proper.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ImproperRecord {
    /// When it connected.
    pub connected_at: Duration,
    /// When it got an error or a close.
    pub ended_at: Option<Duration>,
}

/// Since when a backend takes nothing new.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum WithdrawalCause {
    /// It drains by the endpoint list, or is gone.
    Listed,
    /// The operators suspended it.
    Suspended,
}

/// A time in which a backend must get nothing new.
#[derive(Debug, Clone, Serialize)]
pub struct Withdrawal {
    /// Name of the backend.
    pub backend: String,
    /// Why.
    pub cause: WithdrawalCause,
    /// When it began: discovery had it then, or the operators had their yes.
    pub from: Duration,
    /// The version of the list that tells it, if one does.
    pub version: Option<u64>,
    /// When it takes requests again.
    pub until: Option<Duration>,
}

/// A backend's process that is warming up.
#[derive(Debug, Clone, Serialize)]
pub struct ColdStart {
    /// Name of the backend.
    pub backend: String,
    /// When its process started.
    pub at: Duration,
    /// What it serves when it is warm, in requests a second.
    pub warm_rate: f64,
}

/// A version of the endpoint list.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ListChange {
    /// Its version.
    pub version: u64,
    /// When discovery had it.
    pub at: Duration,
}

/// A configuration was replaced, and its signal sent.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ReloadRecord {
    /// Place of the process.
    pub process: usize,
    /// The version of the configuration.
    pub version: u64,
    /// When the signal was sent.
    pub at: Duration,
}

/// An answer that discovery has written completely.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ListAnswer {
    /// The version of its list.
    pub version: u64,
    /// When.
    pub at: Duration,
}

/// A time in which discovery did not answer as it should.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct DiscoveryOutage {
    /// When it began.
    pub from: Duration,
    /// When discovery answered again.
    pub until: Duration,
}

/// What is seen of a process at one look.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct UsageSample {
    /// When.
    pub at: Duration,
    /// Descriptors of all processes of the proxy.
    pub descriptors: usize,
    /// Their memory in bytes.
    pub memory: u64,
}

/// A process of the proxy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ProcessRecord {
    /// When it was started.
    pub started_at: Duration,
    /// When it was ready.
    pub ready_at: Option<Duration>,
    /// When it was told to end first.
    pub terminated_at: Option<Duration>,
    /// When it had ended by itself.
    pub ended_at: Option<Duration>,
    /// Whether it had to be killed.
    pub was_killed: bool,
    /// Whether its exit status was a success.
    pub is_success: bool,
    /// Its log with the times at which the lines came.
    pub log: Vec<(Duration, String)>,
}

/// A call of the admin API.
#[derive(Debug, Clone, Serialize)]
pub struct AdminCall {
    /// Its path.
    pub path: String,
    /// When it was made.
    pub at: Duration,
    /// How long its answer took; none if there was none.
    pub took: Option<Duration>,
}

/// All that was seen.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Records {
    /// Requests by their ids.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Attempts in the order in which they were complete.
    pub attempts: Vec<AttemptRecord>,
    /// Clients that sent nothing proper.
    pub improper: Vec<ImproperRecord>,
    /// When backends must get nothing new.
    pub withdrawals: Vec<Withdrawal>,
    /// Backends that started.
    pub cold_starts: Vec<ColdStart>,
    /// Versions of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// What discovery answered, in order of time.
    pub list_answers: Vec<ListAnswer>,
    /// Configurations that were replaced.
    pub reloads: Vec<ReloadRecord>,
    /// When discovery did not answer as it should, in order of time.
    pub discovery_outages: Vec<DiscoveryOutage>,
    /// What the processes held.
    pub usage: Vec<UsageSample>,
    /// The processes, in the order of their starts.
    pub processes: Vec<ProcessRecord>,
    /// Calls of the admin API.
    pub admin_calls: Vec<AdminCall>,
    /// When a crowd of clients filled the proxy.
    pub crowd: Option<(Duration, Duration)>,
    /// How late the test's own timers were at the most.
    pub own_lateness: Duration,
}

/// Records that many tasks write.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    records: Arc<Mutex<Records>>,
}

impl Recorder {
    /// Begins now.
    pub fn start() -> Self {
        Recorder { started_at: Instant::now(), records: Arc::default() }
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The instant at a time since the start.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started_at + at
    }

    /// The records, to be changed.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        // A task that panicked left whole records behind.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
