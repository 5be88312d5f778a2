//! Requests at their proxies: the events that a balancer gets, and the actions that it decides.

use super::request_table::{Attempt, AttemptStage, Request, RequestOutcome};
use super::{Fleet, backend_index};
use crate::simulated::event_queue::SimulationEvent;
use foldhitch_balancer::api::*;

impl Fleet<'_> {
    /// A proxy gets a request.
    pub(super) fn open_request(&mut self, request: Request) -> RequestId {
        let id = self.requests.next_id();
        let (instance, class, deadline) = (request.instance, request.class as u16, request.deadline_ms);
        self.metrics.hop(request.depth).calls += 1;
        self.instances[instance].open_requests += 1;
        self.requests.push(request);
        self.event_queue.schedule(deadline, SimulationEvent::DeadlinePassed { request: id });
        self.metrics.current_part().module.requests += 1;
        let arrival = RequestArrival {
            request: id,
            key: 0,
            class,
            tenant: 0,
            deadline_ms: deadline,
            is_body_streamed: false,
        };
        self.notify_balancer(instance, Event::RequestArrived(arrival));
        id
    }

    /// Notifies a proxy's balancer and carries out what it decides.
    pub(super) fn notify_balancer(&mut self, instance: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.instances[instance].balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.metrics.record_decision(instance, self.now, &action);
            match action {
                Action::Send { request, backend, expires_at_ms } => {
                    self.send_attempt(instance, request, backend, expires_at_ms)
                }
                Action::Reject { request, retry_after_ms, .. } => {
                    self.complete(request, RequestOutcome::Rejected { retry_after_ms })
                }
                Action::Fail { request, .. } => self.complete(request, RequestOutcome::Failed),
                Action::Cancel { request, attempt } => {
                    let (attempt, outcome) = (usize::from(attempt), Outcome::Cancelled);
                    self.event_queue
                        .schedule(self.now, SimulationEvent::OutcomeArrived { request, attempt, outcome });
                }
                Action::SetTimer { delay_ms, token } => {
                    self.event_queue
                        .schedule(self.now + delay_ms, SimulationEvent::TimerFired { instance, token });
                }
                Action::CloseIdleConnections { backend } => {
                    self.instances[instance].connections.remove(&backend_index(backend));
                }
                // Lists are pushed, and no operator says anything.
                Action::PollEndpoints | Action::SetSuspended { .. } | Action::SetDraining { .. } => {}
            }
        }
        self.actions = actions;
    }

    fn send_attempt(&mut self, instance: usize, id: RequestId, backend: BackendId, expires_at_ms: f64) {
        let (to, now) = (backend_index(backend), self.now);
        let held = self.instances[instance].endpoints.get(&backend).copied();
        let knows_start = held.is_some_and(|known| known.started_at_ms == self.backends[to].started_at_ms);
        match held {
            None => self.checks.sent_unlisted += 1,
            Some(known) if known.phase != Phase::Ready => {
                self.checks.sent_after_told += 1;
                self.checks.sent_past_grace += u64::from(now > known.since_ms + self.drain_deadline_ms);
            }
            Some(_) => {}
        }
        let Some(request) = self.requests.get_mut(id) else { return self.checks.sent_after_end += 1 };
        let (attempt, depth, ended) = (request.attempts.len(), request.depth, request.has_ended);
        request.attempts.push(Attempt {
            backend: to,
            sent_ms: now,
            is_pending: true,
            stage: AttemptStage::Finished,
            knows_start,
        });
        self.checks.sent_after_end += u64::from(ended);
        let linked = self.instances[instance].connections.contains(&to);
        let way = self.one_way_ms(self.instances[instance].zone, self.backends[to].zone);
        let (down, is_unresponsive) = (self.backends[to].is_down, self.backends[to].is_unresponsive);
        let hop = self.metrics.hop(depth);
        hop.attempts += 1;
        hop.connects += u64::from(!linked);
        let failed =
            SimulationEvent::OutcomeArrived { request: id, attempt, outcome: Outcome::ConnectFailed };
        match way.filter(|_| !is_unresponsive) {
            // Nothing comes back: on a connection not before the request's time is over.
            None if linked => {}
            None => {
                let timeout_ms = self.scenario.backend.connect_timeout_ms;
                self.event_queue.schedule((now + timeout_ms).min(expires_at_ms), failed);
            }
            Some(way) if down => self.event_queue.schedule(now + 2.0 * way, failed),
            Some(way) => {
                let connect = if linked { 0.0 } else { 2.0 * way * self.scenario.network.connect_rtts };
                self.instances[instance].connections.insert(to);
                if let Some(request) = self.requests.get_mut(id) {
                    request.attempts[attempt].stage = AttemptStage::InTransit;
                }
                self.event_queue
                    .schedule(now + connect + way, SimulationEvent::AttemptArrived { request: id, attempt });
            }
        }
    }

    pub(super) fn receive_outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        let (instance, depth) = (request.instance, request.depth);
        let Some(sent_attempt) =
            request.attempts.get_mut(attempt).filter(|sent_attempt| sent_attempt.is_pending)
        else {
            return;
        };
        sent_attempt.is_pending = false;
        let (to, sent, stage) = (sent_attempt.backend, sent_attempt.sent_ms, sent_attempt.stage);
        if !self.instances[instance].is_alive {
            return self.forget_if_over(id);
        }
        self.metrics.hop(depth).failed_attempts += u64::from(outcome != Outcome::Ok);
        if outcome == Outcome::Ok {
            self.complete(id, RequestOutcome::Served);
        }
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
            self.instances[instance].connections.remove(&to);
        }
        if stage != AttemptStage::Finished
            && let Some(way) = self.one_way_ms(self.instances[instance].zone, self.backends[to].zone)
        {
            self.event_queue.schedule(now + way, SimulationEvent::AttemptCancelled { request: id, attempt });
        }
        let closed = self.requests.get(id).is_none_or(|request| request.has_ended);
        self.metrics.current_part().module.resolved += 1;
        let resolved = AttemptResult {
            request: id,
            attempt: attempt as AttemptNumber,
            backend: to as BackendId + 1,
            outcome,
            latency_ms: now - sent,
            is_request_closed: closed,
            is_body_consumed: false,
        };
        self.notify_balancer(instance, Event::AttemptFinished(resolved));
        self.forget_if_over(id);
    }

    pub(super) fn pass_deadline(&mut self, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        let out: Vec<usize> =
            (0..request.attempts.len()).filter(|&i| request.attempts[i].is_pending).collect();
        for attempt in out {
            self.receive_outcome(id, attempt, Outcome::Timeout);
        }
        if self.requests.get(id).is_some_and(|request| !request.has_ended) {
            let overdue = self.now + self.scenario.guarantee("graceToAnswer");
            self.event_queue.schedule(overdue, SimulationEvent::FinalAnswerDue { request: id });
        }
    }

    /// A request is over for whoever made it.
    pub(super) fn complete(&mut self, id: RequestId, how: RequestOutcome) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.has_ended) else { return };
        request.has_ended = true;
        let (instance, depth, class, retries) =
            (request.instance, request.depth, request.class, request.retries);
        let (created_ms, deadline, parent) = (request.created_ms, request.deadline_ms, request.parent);
        self.instances[instance].open_requests -= 1;
        self.metrics.hop(depth).served += u64::from(how == RequestOutcome::Served);
        match parent {
            Some((of, attempt)) => self.finish_child(of, attempt, id, how == RequestOutcome::Served),
            None => self.client_answered(class, retries, created_ms, deadline, how),
        }
        self.forget_if_over(id);
    }

    /// Forgets a request that nobody waits for any more.
    pub(super) fn forget_if_over(&mut self, id: RequestId) {
        self.requests.remove_if_over(id);
    }
}
