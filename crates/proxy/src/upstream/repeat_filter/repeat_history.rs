//! What is known of a backend that repeats its responses.

use super::distinct_run::DistinctRun;
use super::equal_contents::{ConnectionNumber, EqualContents};
use super::hold::HoldTimes;
use super::response_content::{ContentHash, ResponseContent, ResponseKind};
use crate::log::log;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
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
/// What comes behind a copy comes within this many times the slowest recent response of its backend.
const HOLD_FACTOR: u32 = 8;
/// An equal response is held for so long at the least: either side may be held up.
const MIN_HOLD_TIME: Duration = Duration::from_millis(100);
/// One whose client has the time is held for so long: a response may take longer than all before.
const LONG_HOLD_TIME: Duration = Duration::from_millis(250);
/// Nothing is held for longer than this.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_secs(2);
/// A backend gives few equal responses if so many of it were unlike all others.
const MIN_DISTINCT_RESPONSES: u32 = 8;
/// How long a response time counts as recent, at the least; twice that at the most.
const RESPONSE_TIME_PERIOD: Duration = Duration::from_secs(10);

/// What is known of the copies that one process of a backend sends.
pub(in crate::upstream) struct RepeatHistory {
    /// Where the process is reached, for the log.
    address: SocketAddr,
    last_repeat_at: Cell<Option<Instant>>,
    longest_delay: Cell<Duration>,
    response_times: Cell<RecentMaximum>,
    equal_served: RefCell<EqualContents>,
    equal_errors: RefCell<EqualContents>,
    next_connection: Cell<u64>,
    last_response: Cell<Option<ContentHash>>,
    gives_equal_responses: Cell<bool>,
    /// Served responses that were unlike all before them.
    distinct_count: Cell<u32>,
    /// Those of all backends of the tier.
    tier_run: Rc<DistinctRun>,
}

impl RepeatHistory {
    /// Of a process that has sent nothing yet, of a tier whose backends are much alike.
    pub(in crate::upstream) fn new(address: SocketAddr, tier_run: Rc<DistinctRun>) -> Self {
        RepeatHistory {
            address,
            last_repeat_at: Cell::default(),
            longest_delay: Cell::default(),
            response_times: Cell::default(),
            equal_served: RefCell::default(),
            equal_errors: RefCell::default(),
            next_connection: Cell::default(),
            last_response: Cell::default(),
            gives_equal_responses: Cell::default(),
            distinct_count: Cell::default(),
            tier_run,
        }
    }

    /// Whether the backend is known to repeat.
    pub(super) fn repeats(&self, now: Instant) -> bool {
        self.last_repeat_at.get().is_some_and(|at| now.duration_since(at) < REPEATER_MEMORY)
    }

    /// Forgets how late copies came once the backend no longer repeats.
    pub(super) fn forget_old_delays(&self, now: Instant) {
        if !self.repeats(now) {
            self.longest_delay.set(Duration::ZERO);
        }
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
    pub(super) fn record_response(&self, content: &ResponseContent) {
        if self.last_response.replace(Some(content.hash())) == Some(content.hash()) {
            self.gives_equal_responses.set(true);
        }
    }

    /// Whether the backend has given equal responses to different requests while it repeated.
    pub(super) fn gives_equal_responses(&self) -> bool {
        self.gives_equal_responses.get()
    }

    /// A number for a new connection.
    pub(super) fn connection_number(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        ConnectionNumber(number)
    }

    /// A response differed from those before it on its connection.
    pub(super) fn record_distinct(&self, content: &ResponseContent, connection: ConnectionNumber) {
        let kind = content.kind();
        let is_newly_equal = self.equal_contents(kind).borrow_mut().record(content.hash(), connection);
        if kind == ResponseKind::Error {
            return;
        }
        self.distinct_count.set(self.distinct_count.get().saturating_add(1));
        self.tier_run.record_distinct();
        if is_newly_equal {
            self.tier_run.record_equal();
        }
    }

    /// An equal response of this content was passed on, since nothing came behind it for as long as it was held.
    pub(super) fn record_released(&self, content: &ResponseContent) {
        if content.kind() == ResponseKind::Served {
            self.tier_run.record_equal();
        }
    }

    /// Equal responses of this content were given to different requests.
    pub(super) fn record_equal(&self, content: &ResponseContent) {
        self.equal_contents(content.kind()).borrow_mut().insert(content.hash());
    }

    /// Whether an equal response of this content tells nothing: different requests were given it before.
    pub(super) fn is_equal_known(&self, content: &ResponseContent) -> bool {
        self.equal_contents(content.kind()).borrow().contains(content.hash())
    }

    /// Errors are equal more often than not, and say nothing of other responses.
    fn equal_contents(&self, kind: ResponseKind) -> &RefCell<EqualContents> {
        match kind {
            ResponseKind::Served => &self.equal_served,
            ResponseKind::Error => &self.equal_errors,
        }
    }

    /// A response began so long after its request.
    pub(super) fn record_response_time(&self, now: Instant, time: Duration) {
        let mut response_times = self.response_times.get();
        response_times.record(now, time);
        self.response_times.set(response_times);
    }

    /// How long a response is held to see whether something comes behind it.
    pub(super) fn hold_times(&self) -> HoldTimes {
        let usual = (self.response_times.get().value() * HOLD_FACTOR).clamp(MIN_HOLD_TIME, MAX_HOLD_TIME);
        HoldTimes { usual, longest: usual.max(LONG_HOLD_TIME) }
    }

    /// How long one of this content is held, which equals an earlier one.
    pub(super) fn hold_times_of(&self, content: &ResponseContent) -> HoldTimes {
        let times = self.hold_times();
        if self.is_equal_known(content) {
            return times.without_longest();
        }
        if content.kind() == ResponseKind::Served && self.are_equals_rare() {
            return HoldTimes { longest: MAX_HOLD_TIME, ..times };
        }
        times
    }

    /// Whether an equal response is a copy more likely than not.
    fn are_equals_rare(&self) -> bool {
        self.distinct_count.get() >= MIN_DISTINCT_RESPONSES && self.tier_run.are_equals_rare()
    }
}

/// The longest of the recent times.
#[derive(Debug, Clone, Copy, Default)]
struct RecentMaximum {
    /// When the present period began.
    began_at: Option<Instant>,
    present: Duration,
    /// Of the period before.
    previous: Duration,
}

impl RecentMaximum {
    fn record(&mut self, now: Instant, time: Duration) {
        let is_over = |began_at: Instant| now.duration_since(began_at) >= RESPONSE_TIME_PERIOD;
        if self.began_at.is_none_or(is_over) {
            self.began_at = Some(now);
            self.previous = std::mem::take(&mut self.present);
        }
        self.present = self.present.max(time);
    }

    fn value(&self) -> Duration {
        self.present.max(self.previous)
    }
}
