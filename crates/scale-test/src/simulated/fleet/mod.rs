//! The fleet in virtual time: carries out what the copies of the decision module decide, and tells them what
//! comes of it.

pub mod discovery;

use super::backend::Backend;
use super::event_queue::{Agenda, Happening};
use super::metrics::Tally;
use super::report::{Checks, Worth};
use super::topology::Plan;
use crate::scenario::{Invalid, Scenario};
use discovery::{Changes, Held};
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A proxy's process.
pub struct Copy {
    pub balancer: Balancer,
    pub zone: u16,
    pub service: usize,
    /// Runs; one that was replaced runs on until its calls are over.
    pub alive: bool,
    pub replaced: bool,
    pub open: usize,
    /// Backends to which it has connections.
    pub links: BTreeSet<usize>,
    pub held: BTreeMap<BackendId, Held>,
    /// Changes that did not come to it; the next whole list brings them.
    pub missed: Vec<usize>,
    /// When the last list comes to it: none overtakes another.
    pub told_at: f64,
}

/// A call as its proxy sees it.
pub struct Request {
    pub copy: usize,
    pub depth: usize,
    pub class: usize,
    pub tries: u32,
    pub born: f64,
    pub deadline: f64,
    pub parent: Option<(RequestId, usize)>,
    pub ended: bool,
    pub attempts: Vec<Attempt>,
}

/// An attempt of a call.
pub struct Attempt {
    pub backend: usize,
    pub sent: f64,
    /// Without an outcome.
    pub out: bool,
    pub stage: Stage,
    /// The proxy knew when the backend's process started.
    pub told: bool,
}

/// What an attempt's backend does with it.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    OnTheWay,
    Queued,
    Working,
    /// Waits for a call of its own.
    Onward(RequestId),
    Over,
}

/// A proxy's place in the fleet: its present process and what a new one is started with.
pub struct Proxy {
    pub copy: usize,
    pub number: u32,
    pub copies: u32,
    pub tier: u32,
    pub zone: u16,
    pub service: usize,
    pub on: bool,
}

/// The fleet.
pub struct Fleet<'a> {
    pub scenario: &'a Scenario,
    pub plan: Plan,
    pub now: f64,
    pub rng: StdRng,
    pub agenda: Agenda,
    pub copies: Vec<Copy>,
    /// Those beside the backends first, then those through which clients come.
    pub proxies: Vec<Proxy>,
    pub backends: Vec<Backend>,
    requests: VecDeque<Option<Request>>,
    first: RequestId,
    actions: Vec<Action>,
    pub changes: Changes,
    pub cut: bool,
    pub discovery_up: bool,
    pub tally: Tally,
    pub checks: Checks,
    give_up: Vec<f64>,
    late_worth: Vec<f64>,
    classes: Vec<Class>,
    grace: f64,
}

impl<'a> Fleet<'a> {
    /// A fleet whose backends are warm and whose proxies have their lists.
    pub fn new(scenario: &'a Scenario, size: usize, seed: u64, tally: Tally) -> Result<Self, Invalid> {
        let plan = Plan::new(scenario, size);
        let facts = scenario.facts(0, 1, 0, 0)?;
        let backends = plan.backends.iter().map(|p| Backend::new(p.zone, p.service)).collect();
        let mut fleet = Fleet {
            scenario,
            now: 1000.0,
            rng: StdRng::seed_from_u64(seed),
            agenda: Agenda::default(),
            copies: Vec::new(),
            proxies: Vec::new(),
            backends,
            requests: VecDeque::new(),
            first: 1,
            actions: Vec::new(),
            changes: Changes::new(&plan),
            cut: false,
            discovery_up: true,
            tally,
            checks: Checks::default(),
            give_up: scenario.of_classes("giveUp"),
            late_worth: scenario.of_classes("lateWorth"),
            classes: facts.balancer.classes,
            grace: facts.site.drain_deadline_ms,
            plan,
        };
        fleet.place_proxies();
        for proxy in 0..fleet.proxies.len() {
            fleet.start_proxy(proxy)?;
        }
        fleet.agenda.at(fleet.now, Happening::Client);
        Ok(fleet)
    }

    fn place_proxies(&mut self) {
        let layer_of_clients = self.plan.entries.first().map_or(0, |e| e.service);
        let beside = self.plan.backends.iter().map(|b| (b.zone, self.plan.calls[b.service], 1));
        let entries = self.plan.entries.iter().map(|e| (e.zone, Some(e.service), 0));
        let places: Vec<(u16, Option<usize>, u32)> = beside.chain(entries).collect();
        let callers = |to: Option<usize>| places.iter().filter(|p| p.1 == to).count() as u32;
        let mut numbers = BTreeMap::<Option<usize>, u32>::new();
        for &(zone, calls, tier) in &places {
            let number = numbers.entry(calls).or_default();
            // A proxy beside a backend that calls nobody follows a list all the same.
            let service = calls.unwrap_or(layer_of_clients);
            let copies = callers(calls);
            self.proxies.push(Proxy { copy: 0, number: *number, copies, tier, zone, service, on: true });
            *number += 1;
        }
    }

    /// Starts a proxy's process; it has the whole list from discovery at once.
    pub fn start_proxy(&mut self, proxy: usize) -> Result<(), Invalid> {
        let p = &mut self.proxies[proxy];
        let facts = self.scenario.facts(p.number, p.copies, p.tier, p.zone)?;
        let balancer = Balancer::new(facts.balancer, self.rng.random()).map_err(Invalid::of)?;
        p.copy = self.copies.len();
        p.on = true;
        self.copies.push(Copy {
            balancer,
            zone: p.zone,
            service: p.service,
            alive: true,
            replaced: false,
            open: 0,
            links: BTreeSet::new(),
            held: BTreeMap::new(),
            missed: Vec::new(),
            told_at: self.now,
        });
        let copy = p.copy;
        self.tell_all(copy);
        Ok(())
    }

    /// Plays until `end`.
    pub fn play(&mut self, end: f64) -> Result<(), Invalid> {
        while let Some((at, what)) = self.agenda.next(end) {
            self.now = at;
            self.happen(what)?;
        }
        self.now = end;
        Ok(())
    }

    fn happen(&mut self, what: Happening) -> Result<(), Invalid> {
        match what {
            Happening::Client => self.client(),
            Happening::TryAgain { class, tries, born } => self.call_in(usize::from(class), tries, born),
            Happening::Wake { copy, token } => {
                let c = &self.copies[copy];
                if c.alive && !(c.replaced && c.open == 0) {
                    self.tally.part().module.wakes += 1;
                    self.tell(copy, Event::TimerFired { token });
                }
            }
            Happening::Arrive { request, attempt } => self.arrive(request, attempt),
            Happening::Worked { request, attempt } => self.worked(request, attempt),
            Happening::Reply { request, attempt, outcome } => self.reply(request, attempt, outcome),
            Happening::Withdraw { request, attempt } => self.withdraw(request, attempt),
            Happening::Expire { request } => self.expire(request),
            Happening::Overdue { request } => {
                if self.request(request).is_some_and(|r| !r.ended) {
                    self.checks.never_ended += 1;
                }
            }
            Happening::Publish { backend, since } => self.publish(backend, since),
            Happening::Tell { copy, change } => self.tell_change(copy, change),
            Happening::TellAll { copy } => self.tell_all(copy),
            Happening::Step(step) => return self.step(step),
        }
        Ok(())
    }

    // Clients.

    fn client(&mut self) {
        let gap = rand_distr::Exp::new(self.plan.clients_per_s / 1000.0);
        let gap: f64 = gap.map_or(f64::MAX, |e| self.rng.sample(e));
        self.agenda.at(self.now + gap, Happening::Client);
        let mix = &self.scenario.calls.mix;
        let mut left = self.rng.random::<f64>() * mix.iter().sum::<f64>();
        let class = mix.iter().position(|share| {
            left -= share;
            left < 0.0
        });
        let class = class.unwrap_or(0);
        self.tally.asked(self.now, self.classes[class].priority_weight);
        self.call_in(class, 0, self.now);
    }

    fn call_in(&mut self, class: usize, tries: u32, born: f64) {
        let deadline = born + self.give_up[class];
        let entries = self.proxies[self.plan.backends.len()..].iter();
        let open: Vec<usize> = entries.filter(|p| p.on).map(|p| p.copy).collect();
        if open.is_empty() || deadline <= self.now {
            return self.tally.worth(born).failed += 1;
        }
        let copy = open[self.rng.random_range(..open.len())];
        self.call(Request {
            copy,
            depth: 0,
            class,
            tries,
            born,
            deadline,
            parent: None,
            ended: false,
            attempts: Vec::new(),
        });
    }

    // Calls at their proxies.

    /// A proxy is asked for a call.
    fn call(&mut self, request: Request) -> RequestId {
        let id = self.first + self.requests.len() as RequestId;
        let (copy, class, deadline) = (request.copy, request.class as u16, request.deadline);
        self.tally.hop(request.depth).calls += 1;
        self.copies[copy].open += 1;
        self.requests.push_back(Some(request));
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

    fn place_of(&self, id: RequestId) -> Option<usize> {
        id.checked_sub(self.first).map(|i| i as usize).filter(|&i| i < self.requests.len())
    }
    fn request(&self, id: RequestId) -> Option<&Request> {
        self.place_of(id).and_then(|i| self.requests[i].as_ref())
    }
    fn request_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        self.place_of(id).and_then(|i| self.requests[i].as_mut())
    }

    /// Tells a proxy's module and carries out what it decides.
    pub fn tell(&mut self, copy: usize, event: Event) {
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

    /// One way between two zones, or nothing where they are cut off from each other.
    fn way(&self, from: u16, to: u16) -> Option<f64> {
        let n = &self.scenario.network;
        let same_region = self.scenario.region_of(from) == self.scenario.region_of(to);
        match (from == to, same_region) {
            (true, _) => Some(n.same_zone_ms),
            (_, true) => Some(n.same_region_ms),
            _ => (!self.cut).then_some(n.cross_region_ms),
        }
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
        let Some(r) = self.request_mut(id) else { return self.checks.sent_after_end += 1 };
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
                if let Some(r) = self.request_mut(id) {
                    r.attempts[attempt].stage = Stage::OnTheWay;
                }
                self.agenda.at(now + connect + way, Happening::Arrive { request: id, attempt });
            }
        }
    }

    fn reply(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let now = self.now;
        let Some(r) = self.request_mut(id) else { return };
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
        let closed = self.request(id).is_none_or(|r| r.ended);
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

    fn expire(&mut self, id: RequestId) {
        let Some(r) = self.request(id) else { return };
        let out: Vec<usize> = (0..r.attempts.len()).filter(|&i| r.attempts[i].out).collect();
        for attempt in out {
            self.reply(id, attempt, Outcome::Timeout);
        }
        if self.request(id).is_some_and(|r| !r.ended) {
            let overdue = self.now + self.scenario.guarantee("graceToAnswer");
            self.agenda.at(overdue, Happening::Overdue { request: id });
        }
    }

    /// A call is over for whoever made it.
    fn end(&mut self, id: RequestId, how: End) {
        let Some(r) = self.request_mut(id).filter(|r| !r.ended) else { return };
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

    fn client_answered(&mut self, class: usize, tries: u32, born: f64, deadline: f64, how: End) {
        let (now, calls) = (self.now, &self.scenario.calls);
        let (points, aim, late) = (
            self.classes[class].priority_weight,
            self.classes[class].latency_objective_ms,
            self.late_worth[class],
        );
        if let End::Refused { retry_after } = how
            && tries < calls.client_retries
        {
            let pause = retry_after.max(calls.client_backoff_ms) * (1.0 + 0.2 * self.rng.random::<f64>());
            if now + pause < deadline {
                let class = class as u16;
                let again = Happening::TryAgain { class, tries: tries + 1, born };
                return self.agenda.at(now + pause, again);
            }
        }
        let worth: &mut Worth = self.tally.worth(born);
        match how {
            End::Served if now <= born + aim => {
                (worth.in_time, worth.served) = (worth.in_time + 1, worth.served + points)
            }
            End::Served if now <= deadline => {
                (worth.late, worth.served) = (worth.late + 1, worth.served + points * late);
            }
            End::Refused { .. } => worth.refused += 1,
            _ => worth.failed += 1,
        }
    }

    /// Forgets a call that nobody holds any more.
    fn clear(&mut self, id: RequestId) {
        let over = |a: &Attempt| !a.out && a.stage == Stage::Over;
        if self.request(id).is_some_and(|r| r.ended && r.attempts.iter().all(over))
            && let Some(i) = self.place_of(id)
        {
            self.requests[i] = None;
        }
        while self.requests.front().is_some_and(Option::is_none) {
            self.requests.pop_front();
            self.first += 1;
        }
    }

    // Attempts at their backends.

    fn arrive(&mut self, id: RequestId, attempt: usize) {
        let now = self.now;
        let Some(r) = self.request_mut(id) else { return };
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
            self.agenda.at(now + back, Happening::Step(super::event_queue::Step::Start { backend: to }));
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
        if let Some(r) = self.request_mut(id) {
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
            let Some(r) = self.request_mut(id) else { continue };
            r.attempts[attempt].stage = Stage::Working;
            self.backends[at].busy += 1;
            self.agenda.at(self.now + work * cold / warmth, Happening::Worked { request: id, attempt });
        }
    }

    fn worked(&mut self, id: RequestId, attempt: usize) {
        let Some(r) = self.request(id) else { return };
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
            let child = self.first + self.requests.len() as RequestId;
            self.set_stage(id, attempt, Stage::Onward(child));
            let parent = Some((id, attempt));
            let (tries, ended, attempts) = (0, false, Vec::new());
            self.call(Request { copy, depth, class, tries, born, deadline, parent, ended, attempts });
        } else {
            self.finish(id, attempt, if onward { Outcome::Error } else { Outcome::Ok });
        }
        self.work(to);
    }

    fn set_stage(&mut self, id: RequestId, attempt: usize, stage: Stage) {
        if let Some(r) = self.request_mut(id) {
            r.attempts[attempt].stage = stage;
        }
    }

    /// A backend's call of its own is over.
    fn answered(&mut self, id: RequestId, attempt: usize, child: RequestId, served: bool) {
        if self.request(id).is_some_and(|r| r.attempts[attempt].stage == Stage::Onward(child)) {
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
        let Some(r) = self.request_mut(id) else { return };
        r.attempts[attempt].stage = Stage::Over;
        let at = r.attempts[attempt].backend;
        self.backends[at].jobs.remove(&(id, attempt));
    }

    /// Sends an outcome back to the proxy.
    fn answer(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let Some(r) = self.request(id).filter(|r| r.attempts[attempt].out) else { return };
        let (from, to) = (self.backends[r.attempts[attempt].backend].zone, self.copies[r.copy].zone);
        if let Some(way) = self.way(from, to) {
            self.agenda.at(self.now + way, Happening::Reply { request: id, attempt, outcome });
        }
    }

    fn withdraw(&mut self, id: RequestId, attempt: usize) {
        let Some(r) = self.request(id) else { return };
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

    fn hang_up(&mut self, id: RequestId) {
        let Some(r) = self.request_mut(id).filter(|r| !r.ended) else { return };
        r.ended = true;
        let copy = r.copy;
        self.copies[copy].open -= 1;
        if self.copies[copy].alive {
            self.tell(copy, Event::ClientDisconnected { request: id });
        }
        self.clear(id);
    }

    // Processes.

    /// A backend's process ends; one that goes silent tells nobody.
    pub fn stop(&mut self, at: usize, silent: bool) {
        let b = &mut self.backends[at];
        if b.down {
            b.silent |= silent;
            return;
        }
        (b.down, b.silent, b.busy) = (true, silent, 0);
        b.queue.clear();
        for (id, attempt) in std::mem::take(&mut b.jobs) {
            let stage = self.request(id).map(|r| r.attempts[attempt].stage);
            self.set_stage(id, attempt, Stage::Over);
            if let Some(Stage::Onward(child)) = stage {
                self.hang_up(child);
            }
            if !silent {
                self.answer(id, attempt, Outcome::Reset);
            }
            self.clear(id);
        }
        if !silent {
            self.unlink(at);
        }
    }

    fn unlink(&mut self, backend: usize) {
        for copy in &mut self.copies {
            copy.links.remove(&backend);
        }
    }

    /// It is back, cold.
    pub fn start(&mut self, at: usize) {
        let b = &mut self.backends[at];
        (b.down, b.silent, b.started_at_ms, b.draining) = (false, false, self.now, false);
        b.came.clear();
        self.checks.cold_starts += 1;
        // Connections of the old process are reset at the first use; that costs a connection.
        self.unlink(at);
    }

    /// A proxy's process ends with all its calls, and tells nobody.
    pub fn stop_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].on = false;
        let dead = self.proxies[proxy].copy;
        self.copies[dead].alive = false;
        let first = self.first;
        let of = |(i, r): (usize, &Option<Request>)| {
            r.as_ref().filter(|r| r.copy == dead).map(|_| first + i as RequestId)
        };
        let lost: Vec<RequestId> = self.requests.iter().enumerate().filter_map(of).collect();
        for id in lost {
            let Some(r) = self.request_mut(id) else { continue };
            let (born, client) = (r.born, r.parent.is_none() && !r.ended);
            r.ended = true;
            r.attempts.iter_mut().for_each(|a| a.out = false);
            if client {
                self.tally.worth(born).failed += 1;
            }
            self.clear(id);
        }
    }
}

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq)]
enum End {
    Served,
    Refused { retry_after: f64 },
    Failed,
}

/// Backends are numbered from 1 in lists.
fn place(backend: BackendId) -> usize {
    backend as usize - 1
}
