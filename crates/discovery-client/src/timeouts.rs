//! How long polls, watches and pauses may take.

use foldhitch_balancer::api::NOTIFICATION_DEADLINE_MS;
use std::time::Duration;

/// [`NOTIFICATION_DEADLINE_MS`] in whole milliseconds.
const DEADLINE_MS: u64 = NOTIFICATION_DEADLINE_MS as u64;

/// An answer that is so late will not come: no call may wait for longer at discovery.
const LOST_RESPONSE_AFTER: Duration = Duration::from_secs(60);

/// How long is waited.
///
/// What discovery has to tell once it is back after a silence counts as notified at once, so that a whole round of
/// a poll that is not answered and the pause after it has to fit well into a drain deadline.
///
/// For a long drain deadline, and where the balancer schedules the polls, [`NOTIFICATION_DEADLINE_MS`] is the
/// bound. A poll is overdue after its wait and at most three answer timeouts, for the connection, the answer and the
/// rest of it. A watch that is overdue and the balancer's first delay take 5 and 2 twelfths of the deadline; a poll
/// that is overdue after others and the balancer's longest delay 3 and 4. What is left is the answer's.
#[derive(Debug, Clone, Copy)]
pub struct WatchTimeouts {
    /// A watch, for a change. One that fell silent has to be noticed long before what it misses counts as
    /// notified, 6 s later.
    pub(crate) watch_wait: Duration,
    /// An answer that is later than its wait by this is overdue, and so is the rest of one that stops for so long:
    /// another poll is made beside it.
    pub(crate) response_timeout: Duration,
    /// An answer that is later than its wait by this is not awaited any more: its call must have been lost.
    pub(crate) overdue_timeout: Duration,
    /// Of the polls that are overdue those that go on began so far apart.
    pub(crate) overdue_poll_spacing: Duration,
    /// After a failed poll.
    pub(crate) failure_pause: Duration,
}

impl WatchTimeouts {
    /// Those that suit a drain deadline.
    pub fn new(drain_deadline: Duration) -> Self {
        let watch_wait = drain_deadline * 2;
        let response_timeout = drain_deadline / 2;
        let failure_pause = drain_deadline / 8;
        WatchTimeouts {
            watch_wait: watch_wait.clamp(Duration::from_millis(200), Duration::from_millis(DEADLINE_MS / 6)),
            response_timeout: response_timeout
                .clamp(Duration::from_millis(50), Duration::from_millis(DEADLINE_MS / 12)),
            overdue_timeout: LOST_RESPONSE_AFTER,
            overdue_poll_spacing: Duration::from_millis(DEADLINE_MS / 6),
            failure_pause: failure_pause.clamp(Duration::from_millis(5), Duration::from_millis(250)),
        }
    }
}
