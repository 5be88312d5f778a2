//! Ids that are suspended, and ids that were resumed recently.

use std::collections::BTreeMap;

#[derive(Debug, Clone, Copy)]
struct Resumed {
    at_ms: f64,
    was_member: bool,
}

/// Suspended and recently resumed ids.
#[derive(Debug)]
pub struct Suspensions<K> {
    /// Whether the id was a member when it was suspended.
    suspended: BTreeMap<K, bool>,
    resumed: BTreeMap<K, Resumed>,
}

impl<K> Default for Suspensions<K> {
    fn default() -> Self {
        Suspensions { suspended: BTreeMap::new(), resumed: BTreeMap::new() }
    }
}

impl<K: Copy + Ord> Suspensions<K> {
    /// Returns whether an id is suspended.
    pub fn is_suspended(&self, id: K) -> bool {
        self.suspended.contains_key(&id)
    }

    /// Suspends an id; `was_member` states whether it was in use.
    pub fn suspend(&mut self, id: K, was_member: bool) {
        self.suspended.insert(id, was_member);
    }

    /// Resumes an id.
    pub fn resume(&mut self, id: K, now_ms: f64) {
        let was_member = self.suspended.remove(&id).unwrap_or(false);
        self.resumed.insert(id, Resumed { at_ms: now_ms, was_member });
    }

    /// Returns the time at which an id was resumed; 0 if that was long ago or never.
    pub fn resumed_at_ms(&self, id: K) -> f64 {
        self.resumed.get(&id).map_or(0.0, |resumed| resumed.at_ms)
    }

    /// Returns the resumed ids that were members before.
    pub fn resumed_members(&self) -> impl Iterator<Item = K> {
        self.resumed.iter().filter(|(_, resumed)| resumed.was_member).map(|(&id, _)| id)
    }

    /// Removes the records of ids that were resumed at least `duration_ms` ago.
    pub fn prune_resumed(&mut self, now_ms: f64, duration_ms: f64) {
        self.resumed.retain(|_, resumed| now_ms - resumed.at_ms < duration_ms);
    }
}
