//! What is known of a backend that repeats its responses.

use crate::log::log;
use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// A backend is known to repeat for so long after a copy.
pub(super) const REPEATER_MEMORY: Duration = Duration::from_secs(60);
/// A copy may come this many times later than the latest one that was seen.
const COPY_DELAY_FACTOR: u32 = 8;
/// Copies are expected for so long at the least: either side may be held up.
const MIN_COPY_WINDOW: Duration = Duration::from_millis(250);
/// A connection rests for so long at the least: it costs the backend work to make another in its place.
const MIN_REST_TIME: Duration = Duration::from_millis(50);
/// A copy that comes later than this is not told from a response.
const MAX_COPY_WINDOW: Duration = Duration::from_secs(2);
/// A connection on which a response equalled an earlier one is not used for so long, to see whether the response
/// proper is yet to come. Until then its backend is suspected to repeat.
pub(super) const OBSERVATION_TIME: Duration = Duration::from_secs(1);
/// A connection is observed if so many responses in a row before differed.
const MIN_DISTINCT_RESPONSES: u32 = 8;
/// How often one connection of a backend is observed for the response behind a copy.
const OBSERVATION_INTERVAL: Duration = Duration::from_secs(30);

/// What is known of the copies that one process of a backend sends.
pub(in crate::upstream) struct RepeatHistory {
    /// Where the process is reached, for the log.
    address: SocketAddr,
    last_repeat_at: Cell<Option<Instant>>,
    longest_delay: Cell<Duration>,
    /// Responses in a row, on any connection, that differed from those before on their connection.
    distinct_responses: Cell<u32>,
    observed_at: Cell<Option<Instant>>,
    last_response_hash: Cell<Option<u64>>,
    gives_equal_responses: Cell<bool>,
}

impl RepeatHistory {
    /// Of a process that has sent nothing yet.
    pub(in crate::upstream) fn new(address: SocketAddr) -> Self {
        RepeatHistory {
            address,
            last_repeat_at: Cell::default(),
            longest_delay: Cell::default(),
            distinct_responses: Cell::default(),
            observed_at: Cell::default(),
            last_response_hash: Cell::default(),
            gives_equal_responses: Cell::default(),
        }
    }

    /// Whether the backend is known to repeat.
    pub(super) fn repeats(&self, now: Instant) -> bool {
        self.last_repeat_at.get().is_some_and(|at| now.duration_since(at) < REPEATER_MEMORY)
    }

    /// Whether what the backend sends is compared with what it sent before.
    pub(super) fn is_filtered(&self, now: Instant) -> bool {
        self.repeats(now) || self.suspected_until().is_some_and(|until| now < until)
    }

    /// Until when a connection is observed, or was.
    pub(super) fn suspected_until(&self) -> Option<Instant> {
        self.observed_at.get().map(|at| at + OBSERVATION_TIME)
    }

    /// A response came that nobody waited for.
    pub(in crate::upstream) fn record_repeat(&self, now: Instant) {
        if !self.repeats(now) {
            log!("backend at {} sends responses again", self.address);
        }
        self.last_repeat_at.set(Some(now));
    }

    /// A copy came, so long after its response.
    pub(super) fn record_copy(&self, now: Instant, delay: Duration) {
        self.record_repeat(now);
        self.longest_delay.set(self.longest_delay.get().max(delay));
    }

    /// How long after a response its copy may come.
    pub(super) fn copy_window(&self) -> Duration {
        (self.longest_delay.get() * COPY_DELAY_FACTOR).clamp(MIN_COPY_WINDOW, MAX_COPY_WINDOW)
    }

    /// How long a connection rests behind a response that the next may rightly equal.
    pub(super) fn rest_time(&self) -> Duration {
        (self.longest_delay.get() * COPY_DELAY_FACTOR).clamp(MIN_REST_TIME, MAX_COPY_WINDOW)
    }

    /// A response was passed on, and was no copy.
    pub(super) fn record_response(&self, response: &[u8]) {
        let mut hasher = DefaultHasher::new();
        response.hash(&mut hasher);
        let hash = hasher.finish();
        if self.last_response_hash.replace(Some(hash)) == Some(hash) {
            self.gives_equal_responses.set(true);
        }
    }

    /// Whether the backend has given equal responses to different requests.
    pub(super) fn gives_equal_responses(&self) -> bool {
        self.gives_equal_responses.get()
    }

    /// A response differed from all that are remembered of its connection.
    pub(super) fn record_distinct_response(&self) {
        self.distinct_responses.set(self.distinct_responses.get().saturating_add(1));
    }

    /// A response equalled an earlier one. Tells whether its connection is to be observed: where equal responses are
    /// nothing new they tell nothing.
    pub(super) fn begin_observation(&self, now: Instant) -> bool {
        let is_news = self.distinct_responses.replace(0) >= MIN_DISTINCT_RESPONSES;
        let is_due = self.observed_at.get().is_none_or(|at| now.duration_since(at) >= OBSERVATION_INTERVAL);
        if is_news && is_due {
            self.observed_at.set(Some(now));
        }
        is_news && is_due
    }
}
