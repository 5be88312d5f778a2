//! How long polls, watches and pauses may take.

use foldhitch_balancer::api::NOTIFICATION_DEADLINE_MS;
use std::time::Duration;

/// [`NOTIFICATION_DEADLINE_MS`] in whole milliseconds.
const NOTIFICATION_DEADLINE: u64 = NOTIFICATION_DEADLINE_MS as u64;

/// An answer that is so late will not come: no call may wait for longer at discovery.
const LOST_ANSWER: Duration = Duration::from_secs(60);

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
    pub(crate) watch: Duration,
    /// An answer that is later than its wait by this is overdue, and so is the rest of one that stops for so long:
    /// another poll is made beside it.
    pub(crate) answer: Duration,
    /// An answer that is later than its wait by this is not awaited any more: its call must have been lost.
    pub(crate) overdue_answer: Duration,
    /// Of the polls that are overdue those that go on began so far apart.
    pub(crate) overdue_poll_spacing: Duration,
    /// After a failed poll.
    pub(crate) pause: Duration,
}

impl WatchTimeouts {
    /// Those that suit a drain deadline.
    pub fn new(drain_deadline: Duration) -> Self {
        let watch = drain_deadline * 2;
        let answer = drain_deadline / 2;
        let pause = drain_deadline / 8;
        WatchTimeouts {
            watch: watch.clamp(Duration::from_millis(200), Duration::from_millis(NOTIFICATION_DEADLINE / 6)),
            answer: answer
                .clamp(Duration::from_millis(50), Duration::from_millis(NOTIFICATION_DEADLINE / 12)),
            overdue_answer: LOST_ANSWER,
            overdue_poll_spacing: Duration::from_millis(NOTIFICATION_DEADLINE / 6),
            pause: pause.clamp(Duration::from_millis(5), Duration::from_millis(250)),
        }
    }
}
