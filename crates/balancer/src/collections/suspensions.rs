//! Who is suspended, and who was resumed not long ago.

use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy)]
struct Resumed {
    at_ms: f64,
    was_member: bool,
}

/// The suspended and the resumed, by their ids.
#[derive(Debug)]
pub struct Suspensions<K> {
    suspended: BTreeMap<K, bool>, // whether it was in use
    resumed: BTreeMap<K, Resumed>,
}

impl<K> Default for Suspensions<K> {
    fn default() -> Self {
        Suspensions { suspended: BTreeMap::new(), resumed: BTreeMap::new() }
    }
}

impl<K: Copy + Ord> Suspensions<K> {
    /// Whether somebody is suspended.
    pub fn is_suspended(&self, id: K) -> bool {
        self.suspended.contains_key(&id)
    }

    /// Suspends somebody who was in use, or not.
    pub fn suspend(&mut self, id: K, was_member: bool) {
        self.suspended.insert(id, was_member);
    }

    /// Resumes somebody.
    pub fn resume(&mut self, id: K, now_ms: f64) {
        let was_member = self.suspended.remove(&id).unwrap_or(false);
        self.resumed.insert(id, Resumed { at_ms: now_ms, was_member });
    }

    /// When somebody was resumed; 0 where that is long ago, or never was.
    pub fn resumed_at_ms(&self, id: K) -> f64 {
        self.resumed.get(&id).map_or(0.0, |resumed| resumed.at_ms)
    }

    /// Those resumed who had been in use before.
    pub fn resumed_members(&self) -> impl Iterator<Item = K> {
        self.resumed.iter().filter(|(_, resumed)| resumed.was_member).map(|(&id, _)| id)
    }

    /// Forgets those resumed as long ago as this, or longer.
    pub fn prune_resumed(&mut self, now_ms: f64, duration_ms: f64) {
        self.resumed.retain(|_, resumed| now_ms - resumed.at_ms < duration_ms);
    }
}
