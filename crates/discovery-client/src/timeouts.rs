//! How long polls, watches and pauses may take.

use foldhitch_balancer::api::NOTIFICATION_DEADLINE_MS;
use std::time::Duration;

/// [`NOTIFICATION_DEADLINE_MS`] in whole milliseconds.
const NOTIFICATION_DEADLINE: u64 = NOTIFICATION_DEADLINE_MS as u64;

/// How long is waited.
///
/// What discovery has to tell once it is back after a silence counts as notified at once, so that a whole round of
/// a poll that is not answered and the pause after it has to fit well into a drain deadline. Polls cost nothing:
/// the agent is on the same machine.
///
/// For a long drain deadline, and where the balancer schedules the polls, [`NOTIFICATION_DEADLINE_MS`] is the
/// bound. Each poll takes its wait and at most three answer timeouts, for the connection, the answer and the rest
/// of it. A watch that is abandoned, the balancer's first delay and an answer as late take 5, 2 and 3 twelfths of
/// the deadline; a poll that is abandoned after others, the balancer's longest delay and that answer 3, 4 and 3.
#[derive(Debug, Clone, Copy)]
pub struct WatchTimeouts {
    /// A watch, for a change. One that fell silent has to be noticed long before what it misses counts as
    /// notified, 6 s later.
    pub(crate) watch: Duration,
    /// An answer that is later than its wait by this is not coming, nor is the rest of one that stops for so long.
    pub(crate) answer: Duration,
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
            pause: pause.clamp(Duration::from_millis(5), Duration::from_millis(250)),
        }
    }
}
