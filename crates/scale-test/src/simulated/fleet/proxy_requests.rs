//! Requests at their proxies: the events of the balancers and the resulting actions.

use super::request_table::{Attempt, AttemptStage, Request, RequestOutcome};
use super::{Fleet, backend_index};
use crate::simulated::event_queue::SimulationEvent;
use foldhitch_balancer::api::{
    Action, AttemptNumber, AttemptResult, BackendId, Event, Outcome, Phase, RequestArrival, RequestId,
};

impl Fleet<'_> {
    /// Starts a request at a proxy.
    pub(super) fn open_request(&mut self, request: Request) -> RequestId {
        let id = self.requests.next_id();
        let (instance, class, deadline_ms) = (request.instance, request.class as u16, request.deadline_ms);
        self.metrics.hop(request.depth).calls += 1;
        self.instances[instance].open_requests += 1;
        self.requests.push(request);
        self.event_queue.schedule(deadline_ms, SimulationEvent::DeadlinePassed { request: id });
        self.metrics.current_part().module.requests += 1;
        let arrival =
            RequestArrival { request: id, key: 0, class, tenant: 0, deadline_ms, is_body_streamed: false };
        self.notify_balancer(instance, Event::RequestArrived(arrival));
        id
    }

    /// Passes an event to a proxy's balancer and carries out the resulting actions.
    pub(super) fn notify_balancer(&mut self, instance: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.instances[instance].balancer.handle(self.now_ms, event, &mut actions);
        for action in actions.drain(..) {
            self.metrics.record_decision(instance, self.now_ms, &action);
            match action {
                Action::Send { request, backend, expires_at_ms, .. } => {
                    self.send_attempt(instance, request, backend, expires_at_ms)
                }
                Action::Reject { request, retry_after_ms, .. } => {
                    self.complete(request, RequestOutcome::Rejected { retry_after_ms })
                }
                Action::Fail { request, .. } => self.complete(request, RequestOutcome::Failed),
                Action::Cancel { request, attempt } => {
                    let (attempt, outcome) = (usize::from(attempt), Outcome::Cancelled);
                    self.event_queue
                        .schedule(self.now_ms, SimulationEvent::OutcomeArrived { request, attempt, outcome });
                }
                Action::SetTimer { delay_ms, token } => {
                    self.event_queue
                        .schedule(self.now_ms + delay_ms, SimulationEvent::TimerFired { instance, token });
                }
                Action::CloseIdleConnections { backend } => {
                    self.instances[instance].connections.remove(&backend_index(backend));
                }
                // Discovery pushes its lists, and the scenario has no operator commands.
                Action::PollEndpoints | Action::SetSuspended { .. } | Action::SetDraining { .. } => {}
            }
        }
        self.actions = actions;
    }

    fn send_attempt(&mut self, instance: usize, id: RequestId, backend: BackendId, expires_at_ms: f64) {
        let (target, now_ms) = (backend_index(backend), self.now_ms);
        let known = self.instances[instance].endpoints.get(&backend).copied();
        let knows_start =
            known.is_some_and(|endpoint| endpoint.started_at_ms == self.backends[target].started_at_ms);
        match known {
            None => self.checks.sent_unlisted += 1,
            Some(endpoint) if endpoint.phase != Phase::Ready => {
                self.checks.sent_after_told += 1;
                self.checks.sent_past_grace +=
                    u64::from(now_ms > endpoint.phase_since_ms + self.drain_deadline_ms);
            }
            Some(_) => {}
        }
        let Some(request) = self.requests.get_mut(id) else { return self.checks.sent_after_end += 1 };
        let (attempt, depth, has_ended) = (request.attempts.len(), request.depth, request.has_ended);
        request.attempts.push(Attempt {
            backend: target,
            sent_ms: now_ms,
            is_pending: true,
            stage: AttemptStage::Finished,
            knows_start,
        });
        self.checks.sent_after_end += u64::from(has_ended);
        let is_connected = self.instances[instance].connections.contains(&target);
        let delay_ms = self.one_way_delay_ms(self.instances[instance].zone, self.backends[target].zone);
        let (is_down, is_unresponsive) =
            (self.backends[target].is_down, self.backends[target].is_unresponsive);
        let hop = self.metrics.hop(depth);
        hop.attempts += 1;
        hop.connects += u64::from(!is_connected);
        let connect_failed =
            SimulationEvent::OutcomeArrived { request: id, attempt, outcome: Outcome::ConnectFailed };
        match delay_ms.filter(|_| !is_unresponsive) {
            // No answer arrives: an attempt on an open connection only ends at the request's deadline.
            None if is_connected => {}
            None => {
                let timeout_ms = self.scenario.backend.connect_timeout_ms;
                self.event_queue.schedule((now_ms + timeout_ms).min(expires_at_ms), connect_failed);
            }
            Some(delay_ms) if is_down => self.event_queue.schedule(now_ms + 2.0 * delay_ms, connect_failed),
            Some(delay_ms) => {
                let connect_ms =
                    if is_connected { 0.0 } else { 2.0 * delay_ms * self.scenario.network.connect_rtts };
                self.instances[instance].connections.insert(target);
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts[attempt].stage = AttemptStage::InTransit;
                }
                self.event_queue.schedule(
                    now_ms + connect_ms + delay_ms,
                    SimulationEvent::AttemptArrived { request: id, attempt },
                );
            }
        }
    }

    pub(super) fn receive_outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let now_ms = self.now_ms;
        let Some(request) = self.requests.get_mut(id) else { return };
        let (instance, depth) = (request.instance, request.depth);
        let Some(sent_attempt) =
            request.attempts.get_mut(attempt).filter(|sent_attempt| sent_attempt.is_pending)
        else {
            return;
        };
        sent_attempt.is_pending = false;
        let (target, sent_ms, stage) = (sent_attempt.backend, sent_attempt.sent_ms, sent_attempt.stage);
        if !self.instances[instance].is_alive {
            return self.remove_if_finished(id);
        }
        self.metrics.hop(depth).failed_attempts += u64::from(outcome != Outcome::Ok);
        if outcome == Outcome::Ok {
            self.complete(id, RequestOutcome::Served);
        }
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
            self.instances[instance].connections.remove(&target);
        }
        if stage != AttemptStage::Finished
            && let Some(delay_ms) =
                self.one_way_delay_ms(self.instances[instance].zone, self.backends[target].zone)
        {
            self.event_queue
                .schedule(now_ms + delay_ms, SimulationEvent::AttemptCancelled { request: id, attempt });
        }
        let is_request_closed = self.requests.get(id).is_none_or(|request| request.has_ended);
        self.metrics.current_part().module.resolved += 1;
        let result = AttemptResult {
            request: id,
            attempt: attempt as AttemptNumber,
            backend: target as BackendId + 1,
            outcome,
            latency_ms: now_ms - sent_ms,
            is_request_closed,
            is_body_consumed: false,
        };
        self.notify_balancer(instance, Event::AttemptFinished(result));
        self.remove_if_finished(id);
    }

    pub(super) fn handle_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let pending: Vec<usize> =
            (0..request.attempts.len()).filter(|&i| request.attempts[i].is_pending).collect();
        for attempt in pending {
            self.receive_outcome(id, attempt, Outcome::Timeout);
        }
        if self.requests.get(id).is_some_and(|request| !request.has_ended) {
            let due_ms = self.now_ms + self.scenario.guarantee("graceToAnswer");
            self.event_queue.schedule(due_ms, SimulationEvent::FinalAnswerDue { request: id });
        }
    }

    /// Ends a request and passes the outcome to the client or to the parent request.
    pub(super) fn complete(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.has_ended) else { return };
        request.has_ended = true;
        let (instance, depth, class, retries) =
            (request.instance, request.depth, request.class, request.retries);
        let (created_ms, deadline_ms, parent) = (request.created_ms, request.deadline_ms, request.parent);
        self.instances[instance].open_requests -= 1;
        self.metrics.hop(depth).served += u64::from(outcome == RequestOutcome::Served);
        match parent {
            Some((parent_id, attempt)) => {
                self.finish_child(parent_id, attempt, id, outcome == RequestOutcome::Served)
            }
            None => self.handle_client_answer(class, retries, created_ms, deadline_ms, outcome),
        }
        self.remove_if_finished(id);
    }

    /// Removes a request if it has ended and none of its attempts is left.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        self.requests.remove_if_finished(id);
    }
}
