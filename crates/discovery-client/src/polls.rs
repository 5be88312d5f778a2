//! The polls in flight: the current one, and earlier ones whose responses are overdue.

use crate::client::{Connection, Poll, PollAnswer, PollKind, PollProgress};
use crate::error::DiscoveryError;
use crate::overdue_polls::{OverduePoll, OverduePolls};
use crate::timeouts::WatchTimeouts;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, timeout};

/// A poll that was answered.
pub(crate) struct AnsweredPoll {
    pub(crate) answer: PollAnswer,
    pub(crate) kind: PollKind,
    pub(crate) polled_at: Instant,
}

/// The result of waiting for the polls.
pub(crate) enum PollEvent {
    /// A poll was answered. All other polls have been aborted.
    Answered(AnsweredPoll),
    /// The current poll failed or is overdue.
    Failed(DiscoveryError),
}

/// The result of a poll's task.
struct FinishedPoll {
    id: u64,
    kind: PollKind,
    polled_at: Instant,
    result: Result<PollAnswer, DiscoveryError>,
}

/// The most recent poll, while it is not overdue.
struct CurrentPoll {
    id: u64,
    polled_at: Instant,
    progress: Rc<PollProgress>,
    task: AbortHandle,
}

/// The polls of one discovery address.
///
/// Discovery that serves a whole fleet may take longer to respond than the time until the next poll is due.
/// An overdue poll is therefore not aborted when the next one starts: otherwise the responses of discovery
/// that is always slower than that would never be received.
pub(crate) struct Polls {
    address: SocketAddr,
    timeouts: WatchTimeouts,
    tasks: JoinSet<FinishedPoll>,
    current: Option<CurrentPoll>,
    overdue: OverduePolls,
    next_id: u64,
}

impl Polls {
    pub(crate) fn new(address: SocketAddr, timeouts: WatchTimeouts) -> Self {
        Polls {
            address,
            timeouts,
            tasks: JoinSet::new(),
            current: None,
            overdue: OverduePolls::default(),
            next_id: 0,
        }
    }

    /// Returns whether a poll is in flight that is not overdue.
    pub(crate) fn has_current_poll(&self) -> bool {
        self.current.is_some()
    }

    /// Starts a poll, which becomes the current one.
    pub(crate) fn start(&mut self, kind: PollKind, connection: Option<Connection>) {
        let id = self.next_id;
        self.next_id += 1;
        let polled_at = Instant::now();
        let poll = Poll::new(self.address, self.timeouts, kind, connection);
        let progress = poll.progress();
        let give_up_after = kind.max_wait(self.timeouts) + self.timeouts.overdue_timeout;
        let task = self.tasks.spawn_local(async move {
            let result = timeout(give_up_after, poll.run()).await;
            let result = result.unwrap_or(Err(DiscoveryError::ResponseTimeout));
            FinishedPoll { id, kind, polled_at, result }
        });
        self.current = Some(CurrentPoll { id, polled_at, progress, task });
    }

    /// Waits for the first response to any poll, or until the current poll fails or is overdue.
    pub(crate) async fn next_event(&mut self) -> PollEvent {
        loop {
            let finished = tokio::select! {
                biased;
                Some(finished) = self.tasks.join_next() => finished,
                error = wait_until_overdue(self.address, self.current.as_ref()) => {
                    self.move_current_to_overdue();
                    return PollEvent::Failed(error);
                }
            };
            // An aborted poll yields no event.
            if let Some(event) = finished.ok().and_then(|finished| self.on_finished(finished)) {
                return event;
            }
        }
    }

    fn on_finished(&mut self, finished: FinishedPoll) -> Option<PollEvent> {
        let FinishedPoll { id, kind, polled_at, result } = finished;
        match result {
            Ok(answer) => {
                self.abort_all();
                Some(PollEvent::Answered(AnsweredPoll { answer, kind, polled_at }))
            }
            Err(error) => {
                self.current.take_if(|current| current.id == id)?;
                Some(PollEvent::Failed(error))
            }
        }
    }

    /// Moves the current poll to the overdue ones. Their minimum spacing keeps the number of open polls low.
    fn move_current_to_overdue(&mut self) {
        let Some(current) = self.current.take() else { return };
        let poll = OverduePoll { polled_at: current.polled_at, task: current.task };
        self.overdue.insert(poll, self.timeouts.overdue_poll_spacing);
    }

    fn abort_all(&mut self) {
        self.tasks = JoinSet::new();
        self.current = None;
        self.overdue.clear();
    }
}

async fn wait_until_overdue(address: SocketAddr, current: Option<&CurrentPoll>) -> DiscoveryError {
    match current {
        Some(current) => current.progress.wait_until_overdue(address).await,
        None => pending().await,
    }
}
