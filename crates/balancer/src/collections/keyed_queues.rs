//! First in, first out for each key: the head of a key's queue is dispatched alone, and stays the head until it
//! is removed.

use std::collections::{BTreeMap, VecDeque};

#[derive(Debug)]
struct KeyQueue<T> {
    items: VecDeque<T>,
    is_head_dispatched: bool,
    quarantined_until_ms: f64,
}

/// The queues of all keys that have items.
#[derive(Debug)]
pub struct KeyedQueues<T> {
    queues: BTreeMap<u64, KeyQueue<T>>,
}

impl<T> Default for KeyedQueues<T> {
    fn default() -> Self {
        KeyedQueues { queues: BTreeMap::new() }
    }
}

impl<T: Copy + PartialEq> KeyedQueues<T> {
    /// Adds an item to its key's queue. Returns whether it has to wait; a first item is dispatched with this.
    pub fn push(&mut self, key: u64, item: T) -> bool {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.items.push_back(item);
            return true;
        }
        let items = VecDeque::from([item]);
        self.queues.insert(key, KeyQueue { items, is_head_dispatched: true, quarantined_until_ms: 0.0 });
        false
    }

    /// Removes an item; behind the head that was dispatched, the next one may be.
    pub fn remove(&mut self, key: u64, item: T) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        if queue.items.front() == Some(&item) {
            queue.is_head_dispatched = false;
        }
        queue.items.retain(|&queued| queued != item);
    }

    /// Lets nothing of a key be dispatched up to a time.
    pub fn quarantine(&mut self, key: u64, until_ms: f64) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quarantined_until_ms = until_ms;
        }
    }

    /// Dispatches the head of a key's queue, once, and past the key's quarantine; forgets a queue that is empty.
    pub fn dispatch(&mut self, key: u64, now_ms: f64) -> Option<T> {
        let queue = self.queues.get_mut(&key)?;
        if queue.is_head_dispatched || now_ms <= queue.quarantined_until_ms {
            return None;
        }
        let head = queue.items.front().copied();
        queue.is_head_dispatched = true;
        if head.is_none() {
            self.queues.remove(&key);
        }
        head
    }

    /// The keys that have a queue.
    pub fn keys(&self) -> Vec<u64> {
        self.queues.keys().copied().collect()
    }

    /// The items that have not been dispatched.
    pub fn waiting(&self) -> impl Iterator<Item = T> {
        self.queues.values().flat_map(|queue| {
            let dispatched = usize::from(queue.is_head_dispatched);
            queue.items.iter().skip(dispatched).copied()
        })
    }
}
