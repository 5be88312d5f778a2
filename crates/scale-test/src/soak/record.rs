//! Records of a soak run: requests, attempts, endpoint lists, processes. Times are relative to the start of
//! the run.

use serde::Serialize;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;

/// Id of a request, which its `Req-Id` header carries.
pub type RequestId = u64;

/// Whether a request may be repeated after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Idempotency {
    /// The request may run any number of times.
    Idempotent,
    /// Backends drop repeats by the idempotency key within a time window.
    Deduplicated,
    /// The request must not run twice.
    NonIdempotent,
}

/// The outcome of a request for its client.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub enum Outcome {
    /// A complete response was received. The body of a status 200 response carries the request's id.
    Answered {
        /// The status code.
        status: u16,
        /// Whether the body carries the id of this request.
        is_own_body: bool,
        /// When the last byte was received.
        at: Duration,
    },
    /// The response was cut short, which the client can detect.
    BrokenAnswer {
        /// When the connection ended.
        at: Duration,
    },
    /// The connection ended before the first byte of a response.
    Closed {
        /// When the connection ended.
        at: Duration,
    },
    /// The client disconnected.
    Left {
        /// When it closed its connection.
        at: Duration,
    },
}

/// A request that a client began to send.
#[derive(Debug, Clone, Serialize)]
pub struct RequestRecord {
    /// The name of the request class.
    pub class: String,
    /// Whether the request may be repeated.
    pub idempotency: Idempotency,
    /// Time for which the client waits, counted from the last byte of the request.
    pub deadline: Duration,
    /// Whether this is the first request on its connection.
    pub is_first_on_connection: bool,
    /// The request whose response was outstanding on the connection when this one was sent.
    pub behind: Option<RequestId>,
    /// When the last byte was written; `None` if the request was not written completely.
    pub complete_at: Option<Duration>,
    /// The outcome; `None` until there is one.
    pub outcome: Option<Outcome>,
}

/// What an attempt has done at the backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum AttemptEffect {
    /// The backend declined the attempt without running the request.
    Declined,
    /// The request has run or may have run.
    MayHaveRun,
}

/// An attempt that a backend received completely.
#[derive(Debug, Clone, Serialize)]
pub struct AttemptRecord {
    /// The id of the request.
    pub request: RequestId,
    /// Name of the backend.
    pub backend: String,
    /// When the first byte was received.
    pub first_byte_at: Duration,
    /// When the last byte was received.
    pub complete_at: Duration,
    /// The value of `Req-Deadline-Ms`, if the attempt carried that header.
    #[serde(rename = "told_deadline")]
    pub sent_deadline: Option<Duration>,
    /// What the attempt has done at the backend.
    pub effect: AttemptEffect,
}

/// A client that sends an incomplete request, or none, so that the proxy owes it an error response or a
/// close.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ImproperRecord {
    /// When the client connected.
    pub connected_at: Duration,
    /// When the client received an error response or a close.
    pub ended_at: Option<Duration>,
}

/// Why a backend must not be sent new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum WithdrawalCause {
    /// The endpoint list marks the backend as draining, or no longer contains it.
    Listed,
    /// The backend was suspended through the admin API.
    Suspended,
}

/// A period in which a backend must not be sent new requests.
#[derive(Debug, Clone, Serialize)]
pub struct Withdrawal {
    /// Name of the backend.
    pub backend: String,
    /// The cause.
    pub cause: WithdrawalCause,
    /// The start of the period: when discovery had the change, or when the admin API confirmed the
    /// suspension.
    pub from: Duration,
    /// The version of the endpoint list that contains the change, if the cause is the list.
    pub version: Option<u64>,
    /// The end of the period, if the backend takes requests again.
    pub until: Option<Duration>,
}

/// The start of a backend's process that has to warm up.
#[derive(Debug, Clone, Serialize)]
pub struct ColdStart {
    /// Name of the backend.
    pub backend: String,
    /// When the process started.
    pub at: Duration,
    /// The rate that the backend serves when it is warm, in requests per second.
    pub warm_rate: f64,
}

/// A change of the endpoint list.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ListChange {
    /// The version of the list that contains the change.
    pub version: u64,
    /// When discovery had the change.
    pub at: Duration,
}

/// A replaced configuration file and the SIGHUP after it.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ReloadRecord {
    /// Index of the process.
    pub process: usize,
    /// The version of the configuration.
    pub version: u64,
    /// When SIGHUP was sent.
    pub at: Duration,
}

/// A response that discovery has written completely.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ListResponse {
    /// The version of the endpoint list in the response.
    pub version: u64,
    /// When the last byte was written.
    pub at: Duration,
}

/// A period in which discovery did not respond normally.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct DiscoveryOutage {
    /// The start of the period.
    pub from: Duration,
    /// When discovery responded normally again.
    pub until: Duration,
}

/// A sample of the resource usage of all processes of the proxy.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct UsageSample {
    /// When the sample was taken.
    pub at: Duration,
    /// Number of open file descriptors.
    pub descriptors: usize,
    /// Resident memory in bytes.
    pub memory: u64,
}

/// A process of the proxy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ProcessRecord {
    /// When the process was started.
    pub started_at: Duration,
    /// When the process became ready.
    pub ready_at: Option<Duration>,
    /// When the process was first sent SIGTERM.
    pub terminated_at: Option<Duration>,
    /// When the process exited, by itself or by SIGKILL.
    pub ended_at: Option<Duration>,
    /// Whether the process had to be killed with SIGKILL.
    pub was_killed: bool,
    /// Whether the exit status was a success.
    pub is_success: bool,
    /// The log lines with the times at which they were read.
    pub log: Vec<(Duration, String)>,
}

/// A call to the admin API.
#[derive(Debug, Clone, Serialize)]
pub struct AdminCall {
    /// The path of the call.
    pub path: String,
    /// When the call was made.
    pub at: Duration,
    /// Time until the response; `None` if there was none.
    pub took: Option<Duration>,
}

/// Everything that is recorded during a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Records {
    /// Requests by id.
    pub requests: BTreeMap<RequestId, RequestRecord>,
    /// Attempts in the order in which backends received their last bytes.
    pub attempts: Vec<AttemptRecord>,
    /// Clients that sent no complete request.
    pub improper: Vec<ImproperRecord>,
    /// Periods in which backends must not be sent new requests.
    pub withdrawals: Vec<Withdrawal>,
    /// Cold starts of backends.
    pub cold_starts: Vec<ColdStart>,
    /// Changes of the endpoint list.
    pub list_changes: Vec<ListChange>,
    /// Responses of discovery, ordered by time.
    #[serde(rename = "list_answers")]
    pub list_responses: Vec<ListResponse>,
    /// Reloads of the configuration.
    pub reloads: Vec<ReloadRecord>,
    /// Outages of discovery, ordered by time.
    pub discovery_outages: Vec<DiscoveryOutage>,
    /// Samples of the processes' resource usage.
    pub usage: Vec<UsageSample>,
    /// The processes, ordered by start.
    pub processes: Vec<ProcessRecord>,
    /// Calls to the admin API.
    pub admin_calls: Vec<AdminCall>,
    /// Start and end of the period in which a crowd used up the proxy's connections.
    pub crowd: Option<(Duration, Duration)>,
    /// Largest delay of the test's own timers.
    pub own_lateness: Duration,
}

/// Records of a run in progress, which many tasks write.
#[derive(Clone)]
pub struct Recorder {
    started_at: Instant,
    records: Arc<Mutex<Records>>,
}

impl Recorder {
    /// Starts empty records; the run starts now.
    pub fn start() -> Self {
        Recorder { started_at: Instant::now(), records: Arc::default() }
    }

    /// Returns the time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Converts a time since the start of the run to an instant.
    pub fn instant(&self, at: Duration) -> Instant {
        self.started_at + at
    }

    /// Locks the records for reading and writing.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        // A task that panicked can't have left a record half written, so a poisoned lock is used as it is.
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
