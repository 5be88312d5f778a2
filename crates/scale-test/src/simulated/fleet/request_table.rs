//! The requests under way, with their attempts.

use foldhitch_balancer::api::RequestId;
use std::collections::VecDeque;

/// A request as its proxy sees it.
pub struct Request {
    pub instance: usize,
    pub depth: usize,
    pub class: usize,
    pub retries: u32,
    pub created_ms: f64,
    pub deadline_ms: f64,
    pub parent: Option<(RequestId, usize)>,
    pub has_ended: bool,
    pub attempts: Vec<Attempt>,
}

impl Request {
    /// It has ended, and neither its proxy nor a backend has an attempt of it.
    fn is_finished(&self) -> bool {
        let is_attempt_finished =
            |attempt: &Attempt| !attempt.is_pending && attempt.stage == AttemptStage::Finished;
        self.has_ended && self.attempts.iter().all(is_attempt_finished)
    }
}

/// An attempt of a request.
pub struct Attempt {
    pub backend: usize,
    pub sent_ms: f64,
    /// Without an outcome.
    pub is_pending: bool,
    pub stage: AttemptStage,
    /// The proxy knew when the backend's process started.
    pub knows_start: bool,
}

/// What an attempt's backend does with it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    InTransit,
    Queued,
    Processing,
    /// Waits for a request of its own.
    WaitingForChild(RequestId),
    Finished,
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestOutcome {
    Served,
    Rejected { retry_after_ms: f64 },
    Failed,
}

/// The requests that are not forgotten yet, numbered in the order in which they came.
pub struct RequestTable {
    entries: VecDeque<Option<Request>>,
    /// Number of the first entry.
    first: RequestId,
}

impl RequestTable {
    /// Without any request; the first one gets the number 1.
    pub fn new() -> Self {
        RequestTable { entries: VecDeque::new(), first: 1 }
    }

    /// The number that the next request gets.
    pub fn next_id(&self) -> RequestId {
        self.first + self.entries.len() as RequestId
    }

    /// Adds a request under the next number.
    pub fn push(&mut self, request: Request) {
        self.entries.push_back(Some(request));
    }

    fn index_of(&self, id: RequestId) -> Option<usize> {
        let index = id.checked_sub(self.first)? as usize;
        (index < self.entries.len()).then_some(index)
    }

    /// A request, unless it is forgotten.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.entries[self.index_of(id)?].as_ref()
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        let index = self.index_of(id)?;
        self.entries[index].as_mut()
    }

    /// The requests of a proxy's process.
    pub fn ids_of(&self, instance: usize) -> Vec<RequestId> {
        let mut ids = Vec::new();
        for (id, entry) in (self.first..).zip(&self.entries) {
            if entry.as_ref().is_some_and(|request| request.instance == instance) {
                ids.push(id);
            }
        }
        ids
    }

    /// Forgets a request that has ended and of which no attempt is left anywhere.
    pub fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = self.get(id).is_some_and(Request::is_finished);
        if is_finished && let Some(index) = self.index_of(id) {
            self.entries[index] = None;
        }
        while self.entries.front().is_some_and(Option::is_none) {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}
