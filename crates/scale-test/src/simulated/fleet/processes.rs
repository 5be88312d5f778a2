//! Processes of backends and proxies that start and end.

use super::Fleet;
use super::proxy::Copy;
use super::request_table::Stage;
use crate::scenario::Invalid;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::Outcome;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

impl Fleet<'_> {
    /// Starts a proxy's process; it has the whole list from discovery at once.
    pub(super) fn start_proxy(&mut self, proxy: usize) -> Result<(), Invalid> {
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

    /// A backend's process ends; one that goes silent tells nobody.
    pub(super) fn stop(&mut self, at: usize, silent: bool) {
        let b = &mut self.backends[at];
        if b.down {
            b.silent |= silent;
            return;
        }
        (b.down, b.silent, b.busy) = (true, silent, 0);
        b.queue.clear();
        for (id, attempt) in std::mem::take(&mut b.jobs) {
            let stage = self.requests.get(id).map(|r| r.attempts[attempt].stage);
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
    pub(super) fn start(&mut self, at: usize) {
        let b = &mut self.backends[at];
        (b.down, b.silent, b.started_at_ms, b.draining) = (false, false, self.now, false);
        b.came.clear();
        self.checks.cold_starts += 1;
        // Connections of the old process are reset at the first use; that costs a connection.
        self.unlink(at);
    }

    /// A proxy's process ends with all its calls, and tells nobody.
    pub(super) fn stop_proxy(&mut self, proxy: usize) {
        self.proxies[proxy].on = false;
        let dead = self.proxies[proxy].copy;
        self.copies[dead].alive = false;
        for id in self.requests.ids_of(dead) {
            let Some(r) = self.requests.get_mut(id) else { continue };
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
