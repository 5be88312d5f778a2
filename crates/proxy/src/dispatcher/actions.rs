//! Passes events to the balancer and carries out its actions.

use super::messages::Answer;
use super::request_table::{AttemptRecord, AttemptState, InFlightAttempt, RequestEntry};
use super::{Dispatcher, State};
use crate::log::log;
use crate::milliseconds::duration_from_ms;
use crate::upstream::{Attempt, AttemptOutcome, AttemptTimes, FinishedAttempt, printable_id};
use foldhitch_balancer::api::{Action, BackendId, Event, Outcome, RequestId, TimerToken, UnservedReason};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep};

impl Dispatcher {
    /// Passes an event to the balancer and carries out its actions, until no further events are pending.
    pub(super) fn handle(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        state.events.push_back(event);
        self.process_events(state);
    }

    pub(super) fn process_events(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(self.clock.now_ms(), event, &mut actions);
            self.carry_out_actions(state, actions);
        }
    }

    pub(super) fn carry_out_actions(self: &Rc<Self>, state: &mut State, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            self.carry_out_action(state, action);
        }
        state.actions = actions;
    }

    fn carry_out_action(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, backend, expires_at_ms, send_by_ms, buffering } => {
                let Some(entry) = state.requests.get(request) else { return };
                let times = AttemptTimes {
                    received_at: entry.received_at,
                    buffering,
                    expires_at: self.clock.instant_at(expires_at_ms),
                    send_by: send_by_ms.map(|send_by_ms| self.clock.instant_at(send_by_ms)),
                };
                self.send(state, request, backend, times);
            }
            Action::Reject { request, retry_after_ms, reason } => {
                let retry_after = Some(duration_from_ms(retry_after_ms)).filter(|delay| !delay.is_zero());
                state.log_unserved(request, "rejected", Some(reason));
                state.requests.answer(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request, reason } => {
                state.log_unserved(request, "failed", Some(reason));
                state.requests.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => state.requests.cancel(request, attempt),
            Action::SetTimer { delay_ms, token } => self.set_timer(duration_from_ms(delay_ms), token),
            Action::CloseIdleConnections { backend } => {
                if let Some(endpoint) = state.endpoints.endpoint(backend) {
                    self.pool.close_idle(endpoint);
                }
            }
            Action::PollEndpoints => {
                self.poll_wanted.send_replace(true);
            }
            Action::SetSuspended { backend, is_suspended } => {
                if let Some(name) = state.endpoints.set_suspended(backend, is_suspended) {
                    log!("backend {name} {}", if is_suspended { "suspended" } else { "resumed" });
                }
            }
            Action::SetDraining { is_draining } => {
                self.draining.send_replace(is_draining);
                log!("{}", if is_draining { "draining" } else { "active again" });
            }
        }
    }

    fn set_timer(self: &Rc<Self>, delay: Duration, token: TimerToken) {
        let dispatcher = self.clone();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            dispatcher.handle(Event::TimerFired { token });
        });
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, backend: BackendId, times: AttemptTimes) {
        let Some(entry) = state.requests.get_mut(request) else { return };
        let number = entry.attempts.len();
        let max_attempts = self.settings().balancer.capabilities.max_attempts as usize;
        let client = entry.send_guard().filter(|_| number < max_attempts);
        let Some((endpoint, client)) = state.endpoints.endpoint(backend).zip(client) else {
            let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
            let attempt_state = AttemptState::Finished { outcome, latency };
            entry.attempts.push(AttemptRecord { backend, state: attempt_state });
            state.events.push_back(entry.attempt_event(request, number, backend, outcome, latency));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        let in_flight = InFlightAttempt { sent_at: Instant::now(), cancel: Some(cancel) };
        entry.attempts.push(AttemptRecord { backend, state: AttemptState::InFlight(in_flight) });
        let attempt =
            Attempt { request: entry.request.clone(), endpoint: endpoint.clone(), times, client, cancelled };
        let dispatcher = self.clone();
        tokio::task::spawn_local(async move {
            let finished = attempt.run(dispatcher.pool.clone()).await;
            dispatcher.finish_attempt(request, number, finished);
        });
    }

    /// Handles the end of an attempt. The first served response is forwarded to the client without a decision
    /// of the balancer.
    fn finish_attempt(self: &Rc<Self>, request: RequestId, number: usize, finished: FinishedAttempt) {
        let events = self.state.borrow_mut().finish_attempt(request, number, finished);
        for event in events {
            self.handle(event);
        }
    }
}

impl State {
    /// Records the end of an attempt, answers the client if that is due, and returns the balancer's events.
    fn finish_attempt(&mut self, request: RequestId, number: usize, finished: FinishedAttempt) -> Vec<Event> {
        let FinishedAttempt { outcome, held_for } = finished;
        let Some(entry) = self.requests.get_mut(request) else { return Vec::new() };
        let attempt = entry.finish_attempt(number, outcome.outcome(), held_for);
        let Some((backend, latency)) = attempt else { return Vec::new() };
        let mut events = Vec::new();
        match &outcome {
            AttemptOutcome::Rejected => self.log_request(request, "rejected by a backend"),
            AttemptOutcome::InvalidRequest(status) => {
                self.log_request(request, &format!("aborted by its client, {status}"));
            }
            // The balancer may send another attempt at once when it gets this outcome, so the disconnect is
            // reported to it first.
            AttemptOutcome::Unserved(_) if self.complete_if_disconnected(request) => {
                events.push(Event::ClientDisconnected { request });
            }
            AttemptOutcome::Served(_) | AttemptOutcome::Unserved(_) => {}
        }
        let Some(entry) = self.requests.get_mut(request) else { return events };
        let balancer_outcome = outcome.outcome();
        match outcome {
            AttemptOutcome::Served(body) => entry.answer(Answer::Served(body)),
            AttemptOutcome::InvalidRequest(status) => entry.answer(Answer::InvalidRequest(status)),
            AttemptOutcome::Rejected => entry.answer(Answer::Failed),
            AttemptOutcome::Unserved(_) => {}
        }
        events.push(entry.attempt_event(request, number, backend, balancer_outcome, latency));
        self.requests.remove_if_finished(request);
        events
    }

    /// Completes a request without an answer if its client has disconnected, and returns whether that is so.
    fn complete_if_disconnected(&mut self, request: RequestId) -> bool {
        if !self.requests.get(request).is_some_and(RequestEntry::is_client_disconnected) {
            return false;
        }
        self.log_request(request, "client disconnected");
        if let Some(entry) = self.requests.get_mut(request) {
            entry.complete();
        }
        true
    }

    /// Logs a request that is about to end unserved, with its id, so that it can be traced.
    pub(super) fn log_request(&self, request: RequestId, what: &str) {
        self.log_unserved(request, what, None);
    }

    /// Logs a request that is about to end unserved, with the balancer's reason if there is one.
    fn log_unserved(&self, request: RequestId, what: &str, reason: Option<UnservedReason>) {
        let Some(entry) = self.requests.get(request).filter(|entry| entry.is_pending()) else { return };
        let class = &entry.settings.site.class_names[usize::from(entry.class)];
        let id = printable_id(&entry.request.id);
        let age = entry.received_at.elapsed().as_millis();
        let mut line = format!("{id} {class} {what} after {age} ms");
        if let Some(reason) = reason {
            let _ = write!(line, " ({reason})");
        }
        for attempt in &entry.attempts {
            let name = self.endpoints.name(attempt.backend).unwrap_or("?");
            let (state, latency) = match &attempt.state {
                AttemptState::InFlight(in_flight) => ("in flight".to_string(), in_flight.sent_at.elapsed()),
                AttemptState::Finished { outcome, latency } => (format!("{outcome:?}"), *latency),
            };
            let _ = write!(line, ", {name} {state} {} ms", latency.as_millis());
        }
        log!("{line}");
    }
}
