//! Polls that are overdue and still awaited.

use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// The maximum number of overdue polls; each of them holds a connection.
const MAX_OVERDUE_POLLS: usize = 4;

/// A poll whose response is overdue.
#[derive(Debug)]
pub(crate) struct OverduePoll {
    pub(crate) polled_at: Instant,
    pub(crate) task: AbortHandle,
}

/// The overdue polls that are still awaited, oldest first.
///
/// If discovery is always equally slow, it answers the oldest poll first. That poll may have been lost,
/// however, so newer polls must be given time as well, whether discovery takes one second or many. The ages
/// of the polls that are kept therefore grow approximately as powers of two.
#[derive(Debug, Default)]
pub(crate) struct OverduePolls {
    polls: Vec<OverduePoll>,
}

impl OverduePolls {
    /// Adds a poll that has become overdue, or aborts it if it was sent less than `spacing` after the
    /// previous one. If there are too many polls then, aborts one between the oldest and the newest.
    pub(crate) fn insert(&mut self, poll: OverduePoll, spacing: Duration) {
        self.polls.retain(|poll| !poll.task.is_finished());
        if self.polls.last().is_some_and(|last| poll.polled_at < last.polled_at + spacing) {
            poll.task.abort();
            return;
        }
        self.polls.push(poll);
        if self.polls.len() > MAX_OVERDUE_POLLS {
            self.abort_closest_to_neighbors();
        }
    }

    /// Removes all polls without aborting them.
    pub(crate) fn clear(&mut self) {
        self.polls.clear();
    }

    /// Aborts the poll whose neighbors are closest to each other, relative to its own age.
    fn abort_closest_to_neighbors(&mut self) {
        let now = Instant::now();
        let relative_gap = |index: usize| {
            let between = self.polls[index + 1].polled_at - self.polls[index - 1].polled_at;
            let age = now - self.polls[index].polled_at;
            between.as_secs_f64() / age.as_secs_f64().max(f64::EPSILON)
        };
        let middle = 1..self.polls.len() - 1;
        if let Some(index) = middle.min_by(|&one, &other| relative_gap(one).total_cmp(&relative_gap(other))) {
            self.polls.remove(index).task.abort();
        }
    }
}
