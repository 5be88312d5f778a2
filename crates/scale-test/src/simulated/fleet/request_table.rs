//! The table of requests in flight and their attempts.

use foldhitch_balancer::api::RequestId;
use std::collections::VecDeque;

/// A request at its proxy.
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
    /// Returns whether the request has ended and neither its proxy nor a backend has an open attempt of it.
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
    /// Whether the proxy has no outcome yet.
    pub is_pending: bool,
    pub stage: AttemptStage,
    /// Whether the proxy knew the start time of the backend's process.
    pub knows_start: bool,
}

/// The stage of an attempt at its backend.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum AttemptStage {
    InTransit,
    Queued,
    Processing,
    /// Waits for a nested request.
    WaitingForChild(RequestId),
    Finished,
}

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestOutcome {
    Served,
    Rejected { retry_after_ms: f64 },
    Failed,
}

/// The requests that have not been removed, numbered in the order of their arrival.
pub struct RequestTable {
    entries: VecDeque<Option<Request>>,
    /// Identifier of the first entry.
    first: RequestId,
}

impl RequestTable {
    /// Creates an empty table, in which the first request gets the identifier 1.
    pub fn new() -> Self {
        RequestTable { entries: VecDeque::new(), first: 1 }
    }

    /// Returns the identifier of the next request.
    pub fn next_id(&self) -> RequestId {
        self.first + self.entries.len() as RequestId
    }

    /// Adds a request with the next identifier.
    pub fn push(&mut self, request: Request) {
        self.entries.push_back(Some(request));
    }

    fn index_of(&self, id: RequestId) -> Option<usize> {
        let index = id.checked_sub(self.first)? as usize;
        (index < self.entries.len()).then_some(index)
    }

    /// Returns a request, or `None` if it was removed.
    pub fn get(&self, id: RequestId) -> Option<&Request> {
        self.entries[self.index_of(id)?].as_ref()
    }

    /// Returns a mutable reference to a request, or `None` if it was removed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        let index = self.index_of(id)?;
        self.entries[index].as_mut()
    }

    /// Returns the identifiers of all requests of a proxy's process.
    pub fn ids_of(&self, instance: usize) -> Vec<RequestId> {
        let mut ids = Vec::new();
        for (id, entry) in (self.first..).zip(&self.entries) {
            if entry.as_ref().is_some_and(|request| request.instance == instance) {
                ids.push(id);
            }
        }
        ids
    }

    /// Removes a request if it has ended and none of its attempts is left at the proxy or a backend.
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
