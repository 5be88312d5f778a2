//! The history of the copies that a backend sends.

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

/// How long a backend is taken to repeat after its last copy.
pub(super) const REPEATER_RETENTION: Duration = Duration::from_secs(60);
/// A copy may arrive after up to this many times the longest delay of a copy that was seen.
const COPY_DELAY_FACTOR: u32 = 8;
/// The minimum time for which a copy of a response is expected. Either side may be delayed.
const MIN_COPY_WINDOW: Duration = Duration::from_millis(250);
/// The minimum cooldown of a connection. It is short because a replacement connection costs the backend work.
const MIN_COOLDOWN_TIME: Duration = Duration::from_millis(50);
/// The maximum time for which a copy is expected. A later copy can't be distinguished from a response.
const MAX_COPY_WINDOW: Duration = Duration::from_secs(2);
/// The response after a copy arrives within this many times the slowest recent response time of the backend.
const HOLD_FACTOR: u32 = 8;
/// The minimum time for which an equal response is held. Either side may be delayed.
const MIN_HOLD_TIME: Duration = Duration::from_millis(100);
/// How long an equal response is held if its client has the time. A response may take longer than all earlier
/// ones.
const LONG_HOLD_TIME: Duration = Duration::from_millis(250);
/// The maximum time for which bytes are held.
pub(super) const MAX_HOLD_TIME: Duration = Duration::from_secs(2);
/// How many distinct responses a backend must have sent before its equal responses count as rare.
const MIN_DISTINCT_RESPONSES: u32 = 8;
/// The period of the recent maximum of the response times. A response time counts as recent for one to two
/// periods.
const RESPONSE_TIME_PERIOD: Duration = Duration::from_secs(10);

/// The history of the copies that one process of a backend sends.
pub(in crate::upstream) struct RepeatHistory {
    /// The address of the process, for the log.
    address: SocketAddr,
    last_repeat_at: Cell<Option<Instant>>,
    max_copy_delay: Cell<Duration>,
    response_times: Cell<RecentMaximum>,
    equal_served: RefCell<EqualContents>,
    equal_errors: RefCell<EqualContents>,
    next_connection: Cell<u64>,
    last_response: Cell<Option<ContentHash>>,
    sends_equal_responses: Cell<bool>,
    /// The number of served responses that differed from all earlier ones.
    distinct_count: Cell<u32>,
    /// The distinct responses of all backends of the tier.
    tier_distinct_run: Rc<DistinctRun>,
}

impl RepeatHistory {
    /// Creates the history of a process that has sent nothing yet. The backends of its tier behave alike.
    pub(in crate::upstream) fn new(address: SocketAddr, tier_distinct_run: Rc<DistinctRun>) -> Self {
        RepeatHistory {
            address,
            last_repeat_at: Cell::default(),
            max_copy_delay: Cell::default(),
            response_times: Cell::default(),
            equal_served: RefCell::default(),
            equal_errors: RefCell::default(),
            next_connection: Cell::default(),
            last_response: Cell::default(),
            sends_equal_responses: Cell::default(),
            distinct_count: Cell::default(),
            tier_distinct_run,
        }
    }

    /// Returns whether the backend is known to repeat responses.
    pub(super) fn repeats(&self, now: Instant) -> bool {
        self.last_repeat_at.get().is_some_and(|at| now.duration_since(at) < REPEATER_RETENTION)
    }

    /// Forgets the delay of copies once the backend no longer repeats.
    pub(super) fn forget_old_delays(&self, now: Instant) {
        if !self.repeats(now) {
            self.max_copy_delay.set(Duration::ZERO);
        }
    }

    /// Records a response that belongs to no request.
    pub(in crate::upstream) fn record_repeat(&self, now: Instant) {
        if !self.repeats(now) {
            log!("backend at {} sends copies of its responses", self.address);
        }
        self.last_repeat_at.set(Some(now));
    }

    /// Records a copy that arrived `delay` after its response.
    pub(super) fn record_copy(&self, now: Instant, delay: Duration) {
        self.record_repeat(now);
        self.max_copy_delay.set(self.max_copy_delay.get().max(delay));
    }

    /// Returns how long after a response its copy may arrive.
    pub(super) fn copy_window(&self) -> Duration {
        (self.max_copy_delay.get() * COPY_DELAY_FACTOR).clamp(MIN_COPY_WINDOW, MAX_COPY_WINDOW)
    }

    /// Returns the cooldown of a connection after a response that the next response may legitimately equal.
    pub(super) fn cooldown_time(&self) -> Duration {
        (self.max_copy_delay.get() * COPY_DELAY_FACTOR).clamp(MIN_COOLDOWN_TIME, MAX_COPY_WINDOW)
    }

    /// Records a response that was forwarded and was not a copy.
    pub(super) fn record_response(&self, content: &ResponseContent) {
        if self.last_response.replace(Some(content.hash())) == Some(content.hash()) {
            self.sends_equal_responses.set(true);
        }
    }

    /// Returns whether the backend has sent equal responses to different requests while it repeated.
    pub(super) fn sends_equal_responses(&self) -> bool {
        self.sends_equal_responses.get()
    }

    /// Returns the number of a new connection.
    pub(super) fn connection_number(&self) -> ConnectionNumber {
        let number = self.next_connection.get();
        self.next_connection.set(number + 1);
        ConnectionNumber(number)
    }

    /// Records a response that differed from the earlier ones on its connection.
    pub(super) fn record_distinct(&self, content: &ResponseContent, connection: ConnectionNumber) {
        let kind = content.kind();
        let is_newly_equal = self.equal_contents(kind).borrow_mut().record(content.hash(), connection);
        if kind == ResponseKind::Error {
            return;
        }
        self.distinct_count.set(self.distinct_count.get().saturating_add(1));
        self.tier_distinct_run.record_distinct();
        if is_newly_equal {
            self.tier_distinct_run.record_equal();
        }
    }

    /// Records that an equal response was forwarded because nothing followed it during its hold.
    pub(super) fn record_released(&self, content: &ResponseContent) {
        if content.kind() == ResponseKind::Served {
            self.tier_distinct_run.record_equal();
        }
    }

    /// Records that different requests received a response of this content.
    pub(super) fn record_equal(&self, content: &ResponseContent) {
        self.equal_contents(content.kind()).borrow_mut().insert(content.hash());
    }

    /// Returns whether different requests are known to have received this content, so that an equal response
    /// does not indicate a copy.
    pub(super) fn is_known_equal(&self, content: &ResponseContent) -> bool {
        self.equal_contents(content.kind()).borrow().contains(content.hash())
    }

    /// Errors are recorded separately: they are usually equal and say nothing about other responses.
    fn equal_contents(&self, kind: ResponseKind) -> &RefCell<EqualContents> {
        match kind {
            ResponseKind::Served => &self.equal_served,
            ResponseKind::Error => &self.equal_errors,
        }
    }

    /// Records the time from a request to the first byte of its response.
    pub(super) fn record_response_time(&self, now: Instant, time: Duration) {
        let mut response_times = self.response_times.get();
        response_times.record(now, time);
        self.response_times.set(response_times);
    }

    /// Returns how long a response is held to see whether more bytes follow.
    pub(super) fn hold_times(&self) -> HoldTimes {
        let usual = (self.response_times.get().value() * HOLD_FACTOR).clamp(MIN_HOLD_TIME, MAX_HOLD_TIME);
        HoldTimes { usual, longest: usual.max(LONG_HOLD_TIME) }
    }

    /// Returns how long a response of this content is held when it equals an earlier one.
    pub(super) fn hold_times_of(&self, content: &ResponseContent) -> HoldTimes {
        let times = self.hold_times();
        if self.is_known_equal(content) {
            return times.limited_to_usual();
        }
        if content.kind() == ResponseKind::Served && self.are_equal_responses_rare() {
            return HoldTimes { longest: MAX_HOLD_TIME, ..times };
        }
        times
    }

    /// Returns whether an equal response is more likely a copy than not.
    fn are_equal_responses_rare(&self) -> bool {
        self.distinct_count.get() >= MIN_DISTINCT_RESPONSES
            && self.tier_distinct_run.are_equal_responses_rare()
    }
}

/// The maximum of the recent times.
#[derive(Debug, Clone, Copy, Default)]
struct RecentMaximum {
    /// When the current period began.
    began_at: Option<Instant>,
    current: Duration,
    /// The maximum of the previous period.
    previous: Duration,
}

impl RecentMaximum {
    fn record(&mut self, now: Instant, time: Duration) {
        let is_over = |began_at: Instant| now.duration_since(began_at) >= RESPONSE_TIME_PERIOD;
        if self.began_at.is_none_or(is_over) {
            self.began_at = Some(now);
            self.previous = std::mem::take(&mut self.current);
        }
        self.current = self.current.max(time);
    }

    fn value(&self) -> Duration {
        self.current.max(self.previous)
    }
}
