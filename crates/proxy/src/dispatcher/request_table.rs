//! The open requests with their pending answers and their attempts.

use super::messages::Answer;
use crate::milliseconds::milliseconds;
use crate::transport::{SendGuard, WeakSendGuard};
use crate::upstream::UpstreamRequest;
use foldhitch_balancer::api::{AttemptNumber, AttemptResult, BackendId, Event, Outcome, RequestId};
use foldhitch_balancer::settings_format::ResolvedSettings;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The state of a request's answer. The one answer consumes the sender and drops the guard; without the
/// guard, attempts that have not started are no longer sent.
pub(super) enum ResponseSlot {
    /// No answer has been given yet.
    Pending {
        /// The sender of the answer.
        answer: oneshot::Sender<Answer>,
        /// Returns whether the client is still connected.
        is_client_connected: SendGuard,
    },
    /// The answer was given, or the client no longer waits for one.
    Completed,
}

/// An attempt in flight.
pub(super) struct InFlightAttempt {
    pub(super) sent_at: Instant,
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

/// The state of an attempt.
pub(super) enum AttemptState {
    InFlight(InFlightAttempt),
    Finished { outcome: Outcome, latency: Duration },
}

/// An attempt of a request.
pub(super) struct AttemptRecord {
    pub(super) backend: BackendId,
    pub(super) state: AttemptState,
}

/// An open request.
pub(super) struct RequestEntry {
    pub(super) request: Rc<UpstreamRequest>,
    /// The settings that the request was admitted under.
    pub(super) settings: Rc<ResolvedSettings>,
    /// The index of its class in these settings.
    pub(super) class: u16,
    pub(super) received_at: Instant,
    pub(super) response: ResponseSlot,
    /// The attempts, indexed by attempt number.
    pub(super) attempts: Vec<AttemptRecord>,
}

impl RequestEntry {
    /// Sends the answer to the client if one is still pending.
    pub(super) fn answer(&mut self, answer: Answer) {
        if let ResponseSlot::Pending { answer: client, .. } = self.complete() {
            // Sending fails if the client has just disconnected; the disconnect is a separate event.
            let _ = client.send(answer);
        }
    }

    /// Completes the request without an answer and returns the previous state.
    pub(super) fn complete(&mut self) -> ResponseSlot {
        std::mem::replace(&mut self.response, ResponseSlot::Completed)
    }

    pub(super) fn is_pending(&self) -> bool {
        matches!(self.response, ResponseSlot::Pending { .. })
    }

    /// Returns whether an answer is pending although the client has disconnected.
    pub(super) fn is_client_disconnected(&self) -> bool {
        match &self.response {
            ResponseSlot::Pending { is_client_connected, .. } => !is_client_connected(),
            ResponseSlot::Completed => false,
        }
    }

    /// Returns the guard that determines whether an attempt may be sent, or `None` if no answer is pending.
    pub(super) fn send_guard(&self) -> Option<WeakSendGuard> {
        match &self.response {
            ResponseSlot::Pending { is_client_connected, .. } => Some(Rc::downgrade(is_client_connected)),
            ResponseSlot::Completed => None,
        }
    }

    /// Returns whether no answer is pending and no attempt is in flight.
    fn is_finished(&self) -> bool {
        let is_finished = |attempt: &AttemptRecord| matches!(attempt.state, AttemptState::Finished { .. });
        !self.is_pending() && self.attempts.iter().all(is_finished)
    }

    /// Records the end of an attempt. `held_for` is the time for which the proxy held the response; the
    /// latency excludes it. Returns the backend and the latency, or `None` if the attempt was not in flight.
    pub(super) fn finish_attempt(
        &mut self,
        number: usize,
        outcome: Outcome,
        held_for: Duration,
    ) -> Option<(BackendId, Duration)> {
        let attempt = self.attempts.get_mut(number)?;
        let AttemptState::InFlight(in_flight) = &attempt.state else { return None };
        let latency = in_flight.sent_at.elapsed().saturating_sub(held_for);
        attempt.state = AttemptState::Finished { outcome, latency };
        Some((attempt.backend, latency))
    }

    /// Creates the event that reports the end of an attempt to the balancer.
    pub(super) fn attempt_event(
        &self,
        request: RequestId,
        number: usize,
        backend: BackendId,
        outcome: Outcome,
        latency: Duration,
    ) -> Event {
        let upload = self.request.upload();
        // The time that the client took to send the body is not part of the backend's latency.
        let completed_at = upload.and_then(|upload| upload.status().completed_at());
        let latency = completed_at.map_or(latency, |completed_at| latency.min(completed_at.elapsed()));
        Event::AttemptFinished(AttemptResult {
            request,
            attempt: number as AttemptNumber,
            backend,
            outcome,
            latency_ms: milliseconds(latency),
            is_request_closed: !self.is_pending(),
            is_body_consumed: upload.is_some_and(|upload| upload.is_consumed()),
        })
    }
}

/// The open requests by id.
pub(super) struct RequestTable {
    requests: HashMap<RequestId, RequestEntry>,
    next_id: RequestId,
}

impl RequestTable {
    pub(super) fn new() -> Self {
        RequestTable { requests: HashMap::new(), next_id: 1 }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn insert(&mut self, entry: RequestEntry) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.requests.insert(id, entry);
        id
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.requests.get_mut(&id)
    }

    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Returns the requests whose answer is pending.
    pub(super) fn pending(&self) -> impl Iterator<Item = &RequestEntry> {
        self.requests.values().filter(|entry| entry.is_pending())
    }

    /// Returns the backends that open requests were sent to.
    pub(super) fn backends(&self) -> HashSet<BackendId> {
        let attempts = self.requests.values().flat_map(|entry| &entry.attempts);
        attempts.map(|attempt| attempt.backend).collect()
    }

    /// Answers a request if its answer is still pending.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(entry) = self.requests.get_mut(&id) {
            entry.answer(answer);
        }
        self.remove_if_finished(id);
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(RequestEntry::is_finished) {
            self.requests.remove(&id);
        }
    }

    /// Cancels an attempt if it is in flight and not cancelled yet.
    pub(super) fn cancel(&mut self, id: RequestId, number: AttemptNumber) {
        let entry = self.requests.get_mut(&id);
        let attempt = entry.and_then(|entry| entry.attempts.get_mut(usize::from(number)));
        let Some(AttemptRecord { state: AttemptState::InFlight(in_flight), .. }) = attempt else { return };
        if let Some(cancel) = in_flight.cancel.take() {
            // Sending fails if the attempt has just ended.
            let _ = cancel.send(());
        }
    }

    #[cfg(test)]
    pub(super) fn clear(&mut self) {
        self.requests.clear();
    }
}
