//! The polls that are under way: the current one, and earlier ones whose answers are overdue.

use crate::client::{Connection, Poll, PollAnswer, PollKind, PollProgress};
use crate::error::DiscoveryError;
use crate::overdue_polls::{OverduePoll, OverduePolls};
use crate::timeouts::WatchTimeouts;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{Instant, timeout};

/// An answer to a poll.
pub(crate) struct AnsweredPoll {
    pub(crate) answer: PollAnswer,
    pub(crate) kind: PollKind,
    pub(crate) polled_at: Instant,
}

/// What came of the polls.
pub(crate) enum PollEvent {
    /// One was answered. No other is under way any more.
    Answered(AnsweredPoll),
    /// The current one failed or is overdue.
    Failed(DiscoveryError),
}

/// A poll's task has ended.
struct FinishedPoll {
    id: u64,
    kind: PollKind,
    polled_at: Instant,
    result: Result<PollAnswer, DiscoveryError>,
}

/// The poll that is not overdue.
struct CurrentPoll {
    id: u64,
    polled_at: Instant,
    progress: Rc<PollProgress>,
    task: AbortHandle,
}

/// The polls of one address.
///
/// Discovery that serves a whole fleet may answer later than a new poll has to be made. A poll that is overdue is
/// therefore not ended when the next one begins: if it were, discovery that is always slower would never be heard.
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

    /// Whether there is a poll that is not overdue.
    pub(crate) fn has_current_poll(&self) -> bool {
        self.current.is_some()
    }

    /// Makes a poll.
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

    /// Waits for the first answer of any poll, or until the current one fails or is overdue.
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
            // One that was ended has nothing to say.
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

    /// The current poll is overdue. Those that go on began some time apart, so that there are few.
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
