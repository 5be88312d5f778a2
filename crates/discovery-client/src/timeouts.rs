//! The timeouts of polls and watches, and the pause after failures.

use foldhitch_balancer::api::NOTIFICATION_DEADLINE_MS;
use std::time::Duration;

/// [`NOTIFICATION_DEADLINE_MS`] in whole milliseconds.
const DEADLINE_MS: u64 = NOTIFICATION_DEADLINE_MS as u64;

/// The delay after which a response is considered lost: no poll may wait longer than this at discovery.
const LOST_RESPONSE_AFTER: Duration = Duration::from_secs(60);

/// The timeouts of polls and watches.
///
/// When discovery responds again after a silence, the changes that it reports count as notified at once. An
/// unanswered poll and the pause after it must therefore together take well below a drain deadline.
///
/// For a long drain deadline, and where the balancer schedules the polls, [`NOTIFICATION_DEADLINE_MS`] is the
/// bound. A poll is overdue after its wait and at most three response timeouts: for the connection, the
/// response head and the rest of the response. An overdue watch and the balancer's first delay take 5/12 and
/// 2/12 of the deadline; a poll that is overdue after others and the balancer's longest delay take 3/12 and
/// 4/12. The remainder is left for the response.
#[derive(Debug, Clone, Copy)]
pub struct WatchTimeouts {
    /// How long discovery may hold a watch open until there is a change. A silent watch must be detected well
    /// before the changes that it misses count as notified, which is 6 s after they were made.
    pub(crate) watch_wait: Duration,
    /// A response that starts this much later than the wait is overdue, and so is one whose remainder takes
    /// this long. Another poll is then sent while the overdue one is still awaited.
    pub(crate) response_timeout: Duration,
    /// A response that is this much later than the wait is no longer awaited: the poll must have been lost.
    pub(crate) overdue_timeout: Duration,
    /// The minimum time between the starts of overdue polls that are still awaited.
    pub(crate) overdue_poll_spacing: Duration,
    /// The pause after a failed poll.
    pub(crate) failure_pause: Duration,
}

impl WatchTimeouts {
    /// Creates the timeouts for a drain deadline.
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
