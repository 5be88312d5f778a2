//! A value for all classes together and one for each class.

use std::ops::{Index, IndexMut};

/// A value for all classes together (`None`) and for each class slot (`Some`).
#[derive(Debug, Default, Clone, PartialEq)]
pub struct ByClass<T> {
    overall: T,
    classes: Vec<T>,
}

impl<T: Clone> ByClass<T> {
    /// Creates the same value for all classes together and for each of `classes` slots.
    pub fn new(value: T, classes: usize) -> Self {
        ByClass { overall: value.clone(), classes: vec![value; classes] }
    }

    /// Sets the value of a class slot. A new slot must be the next one.
    pub fn set(&mut self, slot: usize, value: T) {
        super::set_slot(&mut self.classes, slot, value);
    }

    /// Keeps the first `classes` slots and removes the others.
    pub fn truncate(&mut self, classes: usize) {
        self.classes.truncate(classes);
    }
}

impl<T> Index<Option<usize>> for ByClass<T> {
    type Output = T;

    fn index(&self, class: Option<usize>) -> &T {
        class.map_or(&self.overall, |slot| &self.classes[slot])
    }
}

impl<T> IndexMut<Option<usize>> for ByClass<T> {
    fn index_mut(&mut self, class: Option<usize>) -> &mut T {
        match class {
            Some(slot) => &mut self.classes[slot],
            None => &mut self.overall,
        }
    }
}
