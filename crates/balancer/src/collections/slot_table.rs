//! Values that can be replaced while some of them are still in use. A value keeps its slot as long as it
//! does not change; a changed value gets a slot that is not in use.

use std::ops::Index;

#[derive(Debug, Default)]
struct Slot<T> {
    value: T,
    use_count: usize,
}

/// The slots, and the slot in force at each index.
#[derive(Debug)]
pub struct SlotTable<T> {
    slots: Vec<Slot<T>>,
    slot_by_index: Vec<usize>,
}

/// A slot that a value was assigned to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AssignedSlot {
    /// The slot.
    pub slot: usize,
    /// The slot of the value that it continues.
    pub continues: Option<usize>,
}

impl<T> Default for SlotTable<T> {
    fn default() -> Self {
        SlotTable { slots: Vec::new(), slot_by_index: Vec::new() }
    }
}

impl<T> Index<usize> for SlotTable<T> {
    type Output = T;

    fn index(&self, slot: usize) -> &T {
        &self.slots[slot].value
    }
}

impl<T: Clone + PartialEq> SlotTable<T> {
    /// Returns the number of slots that are in force or still in use.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns the values by slot.
    pub fn values(&self) -> impl Iterator<Item = &T> {
        self.slots.iter().map(|slot| &slot.value)
    }

    /// Returns the slot in force at an index.
    pub fn slot_at(&self, index: u16) -> Option<usize> {
        self.slot_by_index.get(usize::from(index)).copied()
    }

    /// Adds a use of a slot.
    pub fn acquire(&mut self, slot: usize) {
        self.slots[slot].use_count += 1;
    }

    /// Removes a use of a slot.
    pub fn release(&mut self, slot: usize) {
        self.slots[slot].use_count -= 1;
    }

    /// Puts values in force; each may continue the value at an earlier index. Returns the slots that were
    /// assigned another value. None of these was in force before, so that state kept by slot for a
    /// continued value still exists.
    pub fn replace(&mut self, values: &[T], continued: &[Option<u16>]) -> Vec<AssignedSlot> {
        let before = std::mem::take(&mut self.slot_by_index);
        let mut assigned = Vec::new();
        for (value, old_index) in values.iter().zip(continued) {
            let continues = old_index.map(|index| before[usize::from(index)]);
            let unchanged = continues.filter(|&slot| self.slots[slot].value == *value);
            let slot = unchanged.unwrap_or_else(|| self.assign_slot(value, &before));
            if unchanged.is_none() {
                assigned.push(AssignedSlot { slot, continues });
            }
            self.slot_by_index.push(slot);
        }
        assigned
    }

    /// Removes the slots behind the last one in use; returns the number of those left.
    pub fn truncate(&mut self) -> usize {
        let is_used = |&slot: &usize| self.slots[slot].use_count > 0 || self.slot_by_index.contains(&slot);
        let used = (0..self.slots.len()).rfind(is_used).map_or(0, |slot| slot + 1);
        self.slots.truncate(used);
        used
    }

    /// Puts a value into a slot that is not in use, or into a new one.
    fn assign_slot(&mut self, value: &T, in_force_before: &[usize]) -> usize {
        let is_free = |&slot: &usize| {
            self.slots[slot].use_count == 0
                && !in_force_before.contains(&slot)
                && !self.slot_by_index.contains(&slot)
        };
        let value = value.clone();
        match (0..self.slots.len()).find(is_free) {
            Some(slot) => {
                self.slots[slot].value = value;
                slot
            }
            None => {
                self.slots.push(Slot { value, use_count: 0 });
                self.slots.len() - 1
            }
        }
    }
}

/// Sets the state kept for a slot. A new slot must be the next one.
pub fn set_slot<T>(values: &mut Vec<T>, slot: usize, value: T) {
    if slot < values.len() {
        values[slot] = value;
    } else {
        values.push(value);
    }
}
