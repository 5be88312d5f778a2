//! The settings in force: those of the start, and one step from them to the next.

use super::state::{Lane, Latency, Slice, Slot};
use super::{ASK_FIRST, Balancer, HOLD, RETRY_DEPTH};
use crate::api::*;

const SAME: f64 = 1e-9; // worths no further apart share a slice

impl Balancer {
    /// Starts a copy that knows nothing yet; `seed` feeds its only random numbers.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        crate::check(&settings)?;
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            retry_tokens: RETRY_DEPTH,
            ask_backoff: ASK_FIRST,
            processes: 1.0,
            ..Balancer::default()
        };
        let none = (vec![None; settings.classes.len()], vec![None; settings.tenants.len()]);
        balancer.put_in_force(0.0, settings, &none.0, &none.1);
        Ok(balancer)
    }

    /// Number of the settings in force; 0 until one was told.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What the copy holds at present.
    pub fn gauges(&self) -> Gauges {
        Gauges {
            requests: self.requests.len(),
            calls: self.inflight,
            calls_of_slices: self.slices.iter().map(|s| s.busy).sum(),
            held: self.slices.iter().map(|s| s.held.len()).sum(),
            classes: self.slots.len(),
            limit: self.limiter.total,
        }
    }

    /// Puts other settings in force at clock time `now`, in one step between two events; gives their number.
    ///
    /// Requests taken before keep the effect, aim, deadline, charge and number of attempts that they were
    /// taken with. What was learned stays, and so do limits and budgets; a class or tenant that continues
    /// one goes on with what that had. An error names what is wrong; nothing has changed then.
    pub fn configure(
        &mut self,
        now: f64,
        next: Configuration,
        out: &mut Vec<Action>,
    ) -> Result<u64, SettingsError> {
        let Configuration { version, settings, classes, tenants, rest } = next;
        crate::check(&settings)?;
        let (old, new) = (&self.s, &settings);
        let place = |(at, told): (usize, &Option<u16>)| told.map(usize::from) == Some(at);
        let stays = classes.iter().enumerate().all(place) && tenants.iter().enumerate().all(place);
        let (alike, same) = (old == new && stays, old == new && stays && self.rest == rest);
        let stale = version != 0 && (version < self.version || version == self.version && !same);
        let wrong = [
            (stale, "version", "is not above the one in force"),
            (old.tier != new.tier, "tier", "needs a restart"),
            (old.zone != new.zone, "zone", "needs a restart"),
            (old.tick != new.tick, "tick", "needs a restart"),
            (old.must_ask != new.must_ask, "must_ask", "needs a restart"),
            (
                !continues(&classes, old.classes.len(), new.classes.len()),
                "classes",
                "continue no such classes",
            ),
            (
                !continues(&tenants, old.tenants.len(), new.tenants.len()),
                "tenants",
                "continue no such tenants",
            ),
        ];
        if let Some((_, field, reason)) = wrong.into_iter().find(|(wrong, ..)| *wrong) {
            return Err(SettingsError { field: field.into(), reason });
        }
        self.version = match version {
            0 => self.version.saturating_add(u64::from(!same)),
            version => version,
        };
        self.rest = rest;
        if !alike {
            let release = self.s.rules.release_within <= 0.0;
            self.put_in_force(now, settings, &classes, &tenants);
            if release {
                self.backends.keys().for_each(|&id| self.release(id, out));
            }
            self.follow_warmth(now);
            self.resize(0.0);
            self.free_held(now, false, out);
        }
        Ok(self.version)
    }

    /// The step itself. Nothing here fails, so that it is done whole.
    fn put_in_force(&mut self, now: f64, s: Settings, classes: &[Option<u16>], tenants: &[Option<u16>]) {
        // One for all classes: in a full queue the longer hold would take every slot of its slice.
        let shortest = s.classes.iter().map(|c| c.aim).fold(f64::MAX, f64::min);
        self.hold = HOLD[s.tier.min(1) as usize] * shortest;
        self.follow_classes(now, &s.classes, classes);
        self.cut_slices(&s);
        let carried = |t: &Option<u16>| t.map_or((f64::MAX, 0.0), |t| self.buckets[usize::from(t)]);
        self.buckets = tenants.iter().map(carried).collect();
        // What was charged to a tenant that is gone is given back to nobody.
        let continued = |old: usize| tenants.iter().position(|t| t.map(usize::from) == Some(old));
        let places: Vec<_> = (0..self.s.tenants.len()).map(continued).collect();
        self.requests.values_mut().for_each(|r| r.paid = r.paid.and_then(|t| places[t]));
        self.s = s;
    }

    /// Gives each class a slot: its own as long as it is the same, else one that no request is open under, so
    /// that there are never many.
    fn follow_classes(&mut self, now: f64, classes: &[Class], continued: &[Option<u16>]) {
        let before = std::mem::take(&mut self.slot_of);
        for (class, old) in classes.iter().zip(continued) {
            let old = old.map(|o| before[usize::from(o)]);
            if let Some(slot) = old.filter(|&o| self.slots[o].class == *class) {
                self.slot_of.push(slot);
                continue;
            }
            let free =
                |i: &usize| self.slots[*i].open == 0 && !before.contains(i) && !self.slot_of.contains(i);
            let slot = (0..self.slots.len()).find(free).unwrap_or(self.slots.len());
            if slot == self.slots.len() {
                self.slots.push(Slot::default());
                self.limiter.classes.push(Latency::default());
                self.backends.values_mut().for_each(|b| b.lanes.push(Lane::default()));
            }
            self.slots[slot].class = class.clone();
            let learned = old.map(|o| self.limiter.classes[o].clone()).unwrap_or_default();
            self.limiter.classes[slot] = Latency { aim: class.aim, busy: [0.0; 2], ..learned };
            for b in self.backends.values_mut() {
                b.lanes[slot] = old.map_or(Lane { heard: now, ..Lane::default() }, |o| b.lanes[o].clone());
            }
            self.slot_of.push(slot);
        }
        let used = |i: usize| self.slots[i].open > 0 || self.slot_of.contains(&i);
        let most = (0..self.slots.len()).rfind(|&i| used(i)).map_or(0, |i| i + 1);
        self.slots.truncate(most);
        self.limiter.classes.truncate(most);
        self.backends.values_mut().for_each(|b| b.lanes.truncate(most));
    }

    /// Cuts the limit into slices by the classes' worths. Calls out count, and what is held waits on, in the
    /// slice of its worth; where there is none any more, in the nearest.
    fn cut_slices(&mut self, s: &Settings) {
        let mean = s.classes.iter().map(|c| c.points).sum::<f64>() / s.classes.len() as f64;
        let (even, over) = (s.goal.worst_class, s.over_share_worth);
        // The goal's weight on the worst-served class is worth that every class has alike.
        let worth = |c: &Class| (1.0 - even) * c.points / mean.max(SAME) + even;
        let demoted = s.tier == 0 && !s.tenants.is_empty();
        let within: Vec<f64> = s.classes.iter().map(worth).collect();
        let beyond = within.iter().map(|w| w * over).filter(|_| demoted);
        let mut levels: Vec<f64> = within.iter().copied().chain(beyond).collect();
        levels.sort_by(|a, b| b.total_cmp(a));
        levels.dedup_by(|a, b| (*a - *b).abs() < SAME);
        // Work beyond its tenant's share has no claim but what is left over and the floor of one slot.
        let claim = |l: &f64| if within.iter().any(|w| (w - l).abs() < SAME) { *l } else { 0.0 };
        let sum = levels.iter().map(claim).sum::<f64>().max(SAME);
        let off = |i: usize, w: f64| (levels[i] - w).abs();
        let nearest =
            |w: f64| (0..levels.len()).min_by(|&a, &b| off(a, w).total_cmp(&off(b, w))).unwrap_or(0);
        let held: Vec<RequestId> = self.slices.drain(..).flat_map(|s| s.held).collect();
        self.slices = levels.iter().map(|l| Slice { share: claim(l) / sum, ..Slice::default() }).collect();
        for (slot, latency) in self.slots.iter_mut().zip(&self.limiter.classes) {
            let worth = worth(&slot.class);
            slot.slices = [worth, worth * over].map(nearest);
            for (slice, busy) in slot.slices.into_iter().zip(latency.busy) {
                self.slices[slice].busy += busy;
            }
        }
        for id in held {
            if let Some(r) = self.requests.get(&id) {
                self.slices[self.slots[r.class].slices[r.over]].held.push_back(id);
            }
        }
    }
}

/// Whether each of `new` classes or tenants says which of `old` it continues, and none is continued twice.
fn continues(told: &[Option<u16>], old: usize, new: usize) -> bool {
    let mut seen = vec![false; old];
    let mut once =
        |place: &u16| seen.get_mut(usize::from(*place)).is_some_and(|s| !std::mem::replace(s, true));
    told.len() == new && told.iter().flatten().all(&mut once)
}
