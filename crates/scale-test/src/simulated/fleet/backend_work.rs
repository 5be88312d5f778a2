//! Attempts at their backends: queues, work, and requests of a backend's own.

use super::Fleet;
use super::request_table::{Request, Stage};
use crate::simulated::event_queue::{Happening, Step};
use foldhitch_balancer::api::{Event, Outcome, RequestId};
use rand::Rng;

impl Fleet<'_> {
    pub(super) fn arrive(&mut self, id: RequestId, attempt: usize) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        let a = &mut r.attempts[attempt];
        let (to, told) = (a.backend, a.told);
        if a.stage != Stage::OnTheWay {
            return;
        }
        a.stage = Stage::Over;
        let b = &mut self.backends[to];
        if b.down {
            if !b.silent {
                self.answer(id, attempt, Outcome::Reset);
            }
            return self.clear(id);
        }
        let fell = b.came(now, told, &self.scenario.backend, self.tally.cold, &mut self.checks);
        if fell {
            self.stop(to, false);
            let back = self.scenario.backend.fall_s * 1000.0;
            self.agenda.at(now + back, Happening::Step(Step::Start { backend: to }));
            self.answer(id, attempt, Outcome::Reset);
            return self.clear(id);
        }
        let b = &mut self.backends[to];
        if b.busy >= self.scenario.backend.slots && b.queue.len() >= self.scenario.backend.queue {
            self.answer(id, attempt, Outcome::Full);
            return self.clear(id);
        }
        b.jobs.insert((id, attempt));
        b.queue.push_back((id, attempt));
        if let Some(r) = self.requests.get_mut(id) {
            r.attempts[attempt].stage = Stage::Queued;
        }
        self.work(to);
    }

    /// A backend begins what waits there, while it has room.
    fn work(&mut self, at: usize) {
        let cold = self.scenario.backend.work_ms;
        while self.backends[at].busy < self.scenario.backend.slots {
            let Some((id, attempt)) = self.backends[at].queue.pop_front() else { return };
            let warmth = self.backends[at].warmth(self.now, &self.scenario.backend);
            let work: f64 = self.rng.sample(rand_distr::Exp1);
            let Some(r) = self.requests.get_mut(id) else { continue };
            r.attempts[attempt].stage = Stage::Working;
            self.backends[at].busy += 1;
            self.agenda.at(self.now + work * cold / warmth, Happening::Worked { request: id, attempt });
        }
    }

    pub(super) fn worked(&mut self, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get(id) else { return };
        let a = &r.attempts[attempt];
        if a.stage != Stage::Working {
            return;
        }
        let (to, depth, class, born) = (a.backend, r.depth + 1, r.class, r.born);
        let deadline = r.deadline - self.scenario.calls.reserve_ms;
        self.backends[to].busy -= 1;
        let calls = self.plan.calls[self.backends[to].service].is_some();
        let onward = calls && self.rng.random::<f64>() < self.scenario.calls.onward_share;
        if onward && deadline > self.now {
            let copy = self.proxies[to].copy;
            // The child is known before its module answers, for that may be at once.
            let child = self.requests.next_id();
            self.set_stage(id, attempt, Stage::Onward(child));
            let parent = Some((id, attempt));
            let (tries, ended, attempts) = (0, false, Vec::new());
            self.call(Request { copy, depth, class, tries, born, deadline, parent, ended, attempts });
        } else {
            self.finish(id, attempt, if onward { Outcome::Error } else { Outcome::Ok });
        }
        self.work(to);
    }

    pub(super) fn set_stage(&mut self, id: RequestId, attempt: usize, stage: Stage) {
        if let Some(r) = self.requests.get_mut(id) {
            r.attempts[attempt].stage = stage;
        }
    }

    /// A backend's call of its own is over.
    pub(super) fn answered(&mut self, id: RequestId, attempt: usize, child: RequestId, served: bool) {
        if self.requests.get(id).is_some_and(|r| r.attempts[attempt].stage == Stage::Onward(child)) {
            self.finish(id, attempt, if served { Outcome::Ok } else { Outcome::Error });
        }
    }

    /// A backend is done with an attempt.
    fn finish(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.leave(id, attempt);
        self.answer(id, attempt, outcome);
        self.clear(id);
    }

    fn leave(&mut self, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get_mut(id) else { return };
        r.attempts[attempt].stage = Stage::Over;
        let at = r.attempts[attempt].backend;
        self.backends[at].jobs.remove(&(id, attempt));
    }

    /// Sends an outcome back to the proxy.
    pub(super) fn answer(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(r) = self.requests.get(id).filter(|r| r.attempts[attempt].out) else { return };
        let (from, to) = (self.backends[r.attempts[attempt].backend].zone, self.copies[r.copy].zone);
        if let Some(way) = self.way(from, to) {
            self.agenda.at(self.now + way, Happening::Reply { request: id, attempt, outcome });
        }
    }

    pub(super) fn withdraw(&mut self, id: RequestId, attempt: usize) {
        let Some(r) = self.requests.get(id) else { return };
        let (at, stage) = (r.attempts[attempt].backend, r.attempts[attempt].stage);
        match stage {
            Stage::Over => return,
            Stage::OnTheWay => {}
            Stage::Queued => self.backends[at].queue.retain(|&j| j != (id, attempt)),
            Stage::Working => self.backends[at].busy -= 1,
            Stage::Onward(child) => self.hang_up(child),
        }
        self.leave(id, attempt);
        self.clear(id);
        self.work(at);
    }

    pub(super) fn hang_up(&mut self, id: RequestId) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.ended) else { return };
        r.ended = true;
        let copy = r.copy;
        self.copies[copy].open -= 1;
        if self.copies[copy].alive {
            self.tell(copy, Event::ClientDisconnected { request: id });
        }
        self.clear(id);
    }
}
