//! One FIFO queue per key. Only the head of a queue is dispatched, and it remains the head until it is
//! removed.

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
    /// Adds an item to the queue of its key. Returns whether the item has to wait; the first item of a
    /// queue is dispatched by this call.
    pub fn push(&mut self, key: u64, item: T) -> bool {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.items.push_back(item);
            return true;
        }
        let items = VecDeque::from([item]);
        self.queues.insert(key, KeyQueue { items, is_head_dispatched: true, quarantined_until_ms: 0.0 });
        false
    }

    /// Removes an item. If it is the dispatched head, the next item can be dispatched.
    pub fn remove(&mut self, key: u64, item: T) {
        let Some(queue) = self.queues.get_mut(&key) else { return };
        if queue.items.front() == Some(&item) {
            queue.is_head_dispatched = false;
        }
        queue.items.retain(|&queued| queued != item);
    }

    /// Prevents items of a key from being dispatched up to and including a time.
    pub fn quarantine(&mut self, key: u64, until_ms: f64) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quarantined_until_ms = until_ms;
        }
    }

    /// Dispatches the head of a key's queue, unless it was dispatched already or the key is quarantined.
    /// Removes the queue if it is empty.
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

    /// Returns the keys that have a queue.
    pub fn keys(&self) -> Vec<u64> {
        self.queues.keys().copied().collect()
    }

    /// Returns the items that have not been dispatched.
    pub fn waiting(&self) -> impl Iterator<Item = T> {
        self.queues.values().flat_map(|queue| {
            let dispatched = usize::from(queue.is_head_dispatched);
            queue.items.iter().skip(dispatched).copied()
        })
    }
}
