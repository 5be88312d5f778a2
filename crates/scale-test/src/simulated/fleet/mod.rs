//! The fleet in virtual time: carries out what the copies of the decision module decide, and tells them what
//! comes of it. Here are its state and the events; each of the modules below handles events of one kind.

mod backend_work;
mod clients;
mod discovery;
pub mod endpoint_log;
mod processes;
mod proxy;
mod proxy_requests;
mod request_table;
mod scenario_steps;

use super::backend::Backend;
use super::event_queue::{Agenda, Happening};
use super::metrics::Tally;
use super::report::Checks;
use super::topology::Plan;
use crate::scenario::{Invalid, Scenario};
use endpoint_log::Changes;
use foldhitch_balancer::api::*;
use proxy::{Copy, Proxy};
use rand::SeedableRng;
use rand::rngs::StdRng;
use request_table::RequestTable;
use std::collections::BTreeMap;

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
    requests: RequestTable,
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
            requests: RequestTable::new(),
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
                if self.requests.get(request).is_some_and(|r| !r.ended) {
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
}

/// Backends are numbered from 1 in lists.
fn place(backend: BackendId) -> usize {
    backend as usize - 1
}
