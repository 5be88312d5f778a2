//! The polls that are overdue and still awaited.

use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// So many at the most: each holds a connection.
const MAX_OVERDUE_POLLS: usize = 4;

/// A poll whose answer is overdue.
#[derive(Debug)]
pub(crate) struct OverduePoll {
    pub(crate) polled_at: Instant,
    pub(crate) task: AbortHandle,
}

/// The overdue polls that are still awaited, the oldest first.
///
/// The oldest is answered first by discovery that is always as slow. But its call may be lost, so that newer ones have
/// to be given time, too, whether discovery takes one second or many. The ages of those that are kept therefore grow
/// about as the powers of two.
#[derive(Debug, Default)]
pub(crate) struct OverduePolls {
    polls: Vec<OverduePoll>,
}

impl OverduePolls {
    /// Awaits another one that has become overdue, unless it began within `spacing` of the one before. Ends one in the
    /// middle if there are too many.
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

    /// Forgets them all.
    pub(crate) fn clear(&mut self) {
        self.polls.clear();
    }

    /// Ends the one whose neighbours are closest to each other, measured by its age.
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
