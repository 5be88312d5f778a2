//! Processing of attempts at their backends: queues, work, and nested requests.

use super::Fleet;
use super::request_table::{AttemptStage, Request};
use crate::simulated::event_queue::{ScenarioStep, SimulationEvent};
use foldhitch_balancer::api::{Event, Outcome, RequestId};
use rand::Rng;

impl Fleet<'_> {
    pub(super) fn receive_attempt(&mut self, id: RequestId, attempt: usize) {
        let now_ms = self.now_ms;
        let Some(request) = self.requests.get_mut(id) else { return };
        let entry = &mut request.attempts[attempt];
        let (target, knows_start) = (entry.backend, entry.knows_start);
        if entry.stage != AttemptStage::InTransit {
            return;
        }
        entry.stage = AttemptStage::Finished;
        let backend = &mut self.backends[target];
        if backend.is_down {
            if !backend.is_unresponsive {
                self.send_outcome(id, attempt, Outcome::Reset);
            }
            return self.remove_if_finished(id);
        }
        let is_overloaded = backend.record_arrival(
            now_ms,
            knows_start,
            &self.scenario.backend,
            self.metrics.warm_up_rule,
            &mut self.checks,
        );
        if is_overloaded {
            self.stop_backend(target, false);
            let outage_ms = self.scenario.backend.fall_s * 1000.0;
            self.event_queue.schedule(
                now_ms + outage_ms,
                SimulationEvent::Step(ScenarioStep::StartBackend { backend: target }),
            );
            self.send_outcome(id, attempt, Outcome::Reset);
            return self.remove_if_finished(id);
        }
        let backend = &mut self.backends[target];
        if backend.busy_slots >= self.scenario.backend.slots
            && backend.queue.len() >= self.scenario.backend.queue
        {
            self.send_outcome(id, attempt, Outcome::Full);
            return self.remove_if_finished(id);
        }
        backend.active_attempts.insert((id, attempt));
        backend.queue.push_back((id, attempt));
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts[attempt].stage = AttemptStage::Queued;
        }
        self.start_queued_work(target);
    }

    /// Starts processing queued attempts while the backend has free slots.
    fn start_queued_work(&mut self, target: usize) {
        let work_ms = self.scenario.backend.work_ms;
        while self.backends[target].busy_slots < self.scenario.backend.slots {
            let Some((id, attempt)) = self.backends[target].queue.pop_front() else { return };
            let capacity_fraction =
                self.backends[target].capacity_fraction(self.now_ms, &self.scenario.backend);
            let work_factor: f64 = self.rng.sample(rand_distr::Exp1);
            let Some(request) = self.requests.get_mut(id) else { continue };
            request.attempts[attempt].stage = AttemptStage::Processing;
            self.backends[target].busy_slots += 1;
            self.event_queue.schedule(
                self.now_ms + work_factor * work_ms / capacity_fraction,
                SimulationEvent::WorkFinished { request: id, attempt },
            );
        }
    }

    pub(super) fn finish_work(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let entry = &request.attempts[attempt];
        if entry.stage != AttemptStage::Processing {
            return;
        }
        let (target, depth, class, created_ms) =
            (entry.backend, request.depth + 1, request.class, request.created_ms);
        let deadline_ms = request.deadline_ms - self.scenario.calls.reserve_ms;
        self.backends[target].busy_slots -= 1;
        let has_callee = self.topology.callees[self.backends[target].service].is_some();
        let calls_onward = has_callee && self.rng.random::<f64>() < self.scenario.calls.onward_share;
        if calls_onward && deadline_ms > self.now_ms {
            let instance = self.proxies[target].instance;
            // The identifier of the nested request is stored first, because its balancer may answer
            // immediately.
            let child = self.requests.next_id();
            self.set_stage(id, attempt, AttemptStage::WaitingForChild(child));
            let parent = Some((id, attempt));
            let (retries, has_ended, attempts) = (0, false, Vec::new());
            self.open_request(Request {
                instance,
                depth,
                class,
                retries,
                created_ms,
                deadline_ms,
                parent,
                has_ended,
                attempts,
            });
        } else {
            self.finish_attempt(id, attempt, if calls_onward { Outcome::Error } else { Outcome::Ok });
        }
        self.start_queued_work(target);
    }

    pub(super) fn set_stage(&mut self, id: RequestId, attempt: usize, stage: AttemptStage) {
        if let Some(request) = self.requests.get_mut(id) {
            request.attempts[attempt].stage = stage;
        }
    }

    /// Handles the end of a nested request.
    pub(super) fn finish_child(&mut self, id: RequestId, attempt: usize, child: RequestId, served: bool) {
        if self
            .requests
            .get(id)
            .is_some_and(|request| request.attempts[attempt].stage == AttemptStage::WaitingForChild(child))
        {
            self.finish_attempt(id, attempt, if served { Outcome::Ok } else { Outcome::Error });
        }
    }

    /// Ends an attempt at its backend and reports the outcome.
    fn finish_attempt(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        self.remove_job(id, attempt);
        self.send_outcome(id, attempt, outcome);
        self.remove_if_finished(id);
    }

    fn remove_job(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.attempts[attempt].stage = AttemptStage::Finished;
        let target = request.attempts[attempt].backend;
        self.backends[target].active_attempts.remove(&(id, attempt));
    }

    /// Sends the outcome of an attempt to its proxy.
    pub(super) fn send_outcome(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(request) = self.requests.get(id).filter(|request| request.attempts[attempt].is_pending)
        else {
            return;
        };
        let (from_zone, to_zone) =
            (self.backends[request.attempts[attempt].backend].zone, self.instances[request.instance].zone);
        if let Some(delay_ms) = self.one_way_delay_ms(from_zone, to_zone) {
            self.event_queue.schedule(
                self.now_ms + delay_ms,
                SimulationEvent::OutcomeArrived { request: id, attempt, outcome },
            );
        }
    }

    pub(super) fn cancel_attempt(&mut self, id: RequestId, attempt: usize) {
        let Some(request) = self.requests.get(id) else { return };
        let (target, stage) = (request.attempts[attempt].backend, request.attempts[attempt].stage);
        match stage {
            AttemptStage::Finished => return,
            AttemptStage::InTransit => {}
            AttemptStage::Queued => self.backends[target].queue.retain(|&j| j != (id, attempt)),
            AttemptStage::Processing => self.backends[target].busy_slots -= 1,
            AttemptStage::WaitingForChild(child) => self.cancel_request(child),
        }
        self.remove_job(id, attempt);
        self.remove_if_finished(id);
        self.start_queued_work(target);
    }

    pub(super) fn cancel_request(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(id).filter(|request| !request.has_ended) else { return };
        request.has_ended = true;
        let instance = request.instance;
        self.instances[instance].open_requests -= 1;
        if self.instances[instance].is_alive {
            self.notify_balancer(instance, Event::ClientDisconnected { request: id });
        }
        self.remove_if_finished(id);
    }
}
