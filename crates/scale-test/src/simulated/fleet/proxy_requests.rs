//! Requests at their proxies: the events that a balancer gets, and the actions that it decides.

use super::request_table::{Attempt, End, Request, Stage};
use super::{Fleet, place};
use crate::simulated::event_queue::Happening;
use foldhitch_balancer::api::*;

impl Fleet<'_> {
    /// A proxy is asked for a call.
    pub(super) fn call(&mut self, request: Request) -> RequestId {
        let id = self.requests.next_id();
        let (copy, class, deadline) = (request.copy, request.class as u16, request.deadline);
        self.tally.hop(request.depth).calls += 1;
        self.copies[copy].open += 1;
        self.requests.push(request);
        self.agenda.at(deadline, Happening::Expire { request: id });
        self.tally.part().module.requests += 1;
        let arrival = RequestArrival {
            request: id,
            key: 0,
            class,
            tenant: 0,
            deadline_ms: deadline,
            is_body_streamed: false,
        };
        self.tell(copy, Event::RequestArrived(arrival));
        id
    }

    /// Tells a proxy's module and carries out what it decides.
    pub(super) fn tell(&mut self, copy: usize, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.copies[copy].balancer.handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.tally.decided(copy, self.now, &action);
            match action {
                Action::Send { request, backend, expires_at_ms } => {
                    self.send(copy, request, backend, expires_at_ms)
                }
                Action::Reject { request, retry_after_ms: retry_after } => {
                    self.end(request, End::Refused { retry_after })
                }
                Action::Fail { request } => self.end(request, End::Failed),
                Action::Cancel { request, attempt } => {
                    let (attempt, outcome) = (usize::from(attempt), Outcome::Cancelled);
                    self.agenda.at(self.now, Happening::Reply { request, attempt, outcome });
                }
                Action::SetTimer { delay_ms: delay, token } => {
                    self.agenda.at(self.now + delay, Happening::Wake { copy, token });
                }
                Action::CloseIdleConnections { backend } => {
                    self.copies[copy].links.remove(&place(backend));
                }
                // Lists are pushed, and no operator says anything.
                Action::PollEndpoints | Action::SetSuspended { .. } | Action::SetDraining { .. } => {}
            }
        }
        self.actions = actions;
    }

    fn send(&mut self, copy: usize, id: RequestId, backend: BackendId, expires_at_ms: f64) {
        let (to, now) = (place(backend), self.now);
        let held = self.copies[copy].held.get(&backend).copied();
        let told = held.is_some_and(|h| h.started_at_ms == self.backends[to].started_at_ms);
        match held {
            None => self.checks.sent_unlisted += 1,
            Some(h) if h.phase != Phase::Ready => {
                self.checks.sent_after_told += 1;
                self.checks.sent_past_grace += u64::from(now > h.since + self.grace);
            }
            Some(_) => {}
        }
        let Some(r) = self.requests.get_mut(id) else { return self.checks.sent_after_end += 1 };
        let (attempt, depth, ended) = (r.attempts.len(), r.depth, r.ended);
        r.attempts.push(Attempt { backend: to, sent: now, out: true, stage: Stage::Over, told });
        self.checks.sent_after_end += u64::from(ended);
        let linked = self.copies[copy].links.contains(&to);
        let way = self.way(self.copies[copy].zone, self.backends[to].zone);
        let (down, silent) = (self.backends[to].down, self.backends[to].silent);
        let hop = self.tally.hop(depth);
        hop.attempts += 1;
        hop.connects += u64::from(!linked);
        let failed = Happening::Reply { request: id, attempt, outcome: Outcome::ConnectFailed };
        match way.filter(|_| !silent) {
            // Nothing comes back: on a connection not before the call's time is over.
            None if linked => {}
            None => {
                let patience = self.scenario.backend.connect_timeout_ms;
                self.agenda.at((now + patience).min(expires_at_ms), failed);
            }
            Some(way) if down => self.agenda.at(now + 2.0 * way, failed),
            Some(way) => {
                let connect = if linked { 0.0 } else { 2.0 * way * self.scenario.network.connect_rtts };
                self.copies[copy].links.insert(to);
                if let Some(r) = self.requests.get_mut(id) {
                    r.attempts[attempt].stage = Stage::OnTheWay;
                }
                self.agenda.at(now + connect + way, Happening::Arrive { request: id, attempt });
            }
        }
    }

    pub(super) fn reply(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        let (copy, depth) = (r.copy, r.depth);
        let Some(a) = r.attempts.get_mut(attempt).filter(|a| a.out) else { return };
        a.out = false;
        let (to, sent, stage) = (a.backend, a.sent, a.stage);
        if !self.copies[copy].alive {
            return self.clear(id);
        }
        self.tally.hop(depth).failed_attempts += u64::from(outcome != Outcome::Ok);
        if outcome == Outcome::Ok {
            self.end(id, End::Served);
        }
        if matches!(outcome, Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset) {
            self.copies[copy].links.remove(&to);
        }
        if stage != Stage::Over
            && let Some(way) = self.way(self.copies[copy].zone, self.backends[to].zone)
        {
            self.agenda.at(now + way, Happening::Withdraw { request: id, attempt });
        }
        let closed = self.requests.get(id).is_none_or(|r| r.ended);
        self.tally.part().module.resolved += 1;
        let resolved = AttemptResult {
            request: id,
            attempt: attempt as AttemptNumber,
            backend: to as BackendId + 1,
            outcome,
            latency_ms: now - sent,
            is_request_closed: closed,
            is_body_consumed: false,
        };
        self.tell(copy, Event::AttemptFinished(resolved));
        self.clear(id);
    }

    pub(super) fn expire(&mut self, id: RequestId) {
        let Some(r) = self.requests.get(id) else { return };
        let out: Vec<usize> = (0..r.attempts.len()).filter(|&i| r.attempts[i].out).collect();
        for attempt in out {
            self.reply(id, attempt, Outcome::Timeout);
        }
        if self.requests.get(id).is_some_and(|r| !r.ended) {
            let overdue = self.now + self.scenario.guarantee("graceToAnswer");
            self.agenda.at(overdue, Happening::Overdue { request: id });
        }
    }

    /// A call is over for whoever made it.
    pub(super) fn end(&mut self, id: RequestId, how: End) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.ended) else { return };
        r.ended = true;
        let (copy, depth, class, tries) = (r.copy, r.depth, r.class, r.tries);
        let (born, deadline, parent) = (r.born, r.deadline, r.parent);
        self.copies[copy].open -= 1;
        self.tally.hop(depth).served += u64::from(how == End::Served);
        match parent {
            Some((of, attempt)) => self.answered(of, attempt, id, how == End::Served),
            None => self.client_answered(class, tries, born, deadline, how),
        }
        self.clear(id);
    }

    /// Forgets a call that nobody holds any more.
    pub(super) fn clear(&mut self, id: RequestId) {
        self.requests.remove_if_over(id);
    }
}
