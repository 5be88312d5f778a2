//! Budgets of memory that many owners share.

use std::cell::Cell;
use std::rc::Rc;

/// A number of bytes that its reservations share.
pub struct MemoryBudget {
    limit_bytes: Cell<usize>,
    reserved_bytes: Cell<usize>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(limit_bytes: usize) -> Rc<Self> {
        Rc::new(MemoryBudget { limit_bytes: Cell::new(limit_bytes), reserved_bytes: Cell::new(0) })
    }

    /// Changes the limit. Reservations above it remain.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.limit_bytes.set(limit_bytes);
    }

    /// Returns whether more is reserved than the limit allows.
    pub fn is_exceeded(&self) -> bool {
        self.reserved_bytes.get() > self.limit_bytes.get()
    }

    /// Returns a reservation of no bytes yet.
    pub fn reservation(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes that one owner has reserved. They are released when it is dropped.
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more bytes. Returns `false`, and reserves nothing, if that would exceed the limit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let reserved_bytes = self.budget.reserved_bytes.get() + bytes;
        if reserved_bytes > self.budget.limit_bytes.get() {
            return false;
        }
        self.budget.reserved_bytes.set(reserved_bytes);
        self.bytes += bytes;
        true
    }

    /// Changes the number of reserved bytes. Returns `false`, and changes nothing, if more would exceed the
    /// limit.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.try_grow(bytes - self.bytes);
        }
        self.resize(bytes);
        true
    }

    /// Changes the number of reserved bytes, whatever the limit is.
    pub fn resize(&mut self, bytes: usize) {
        let others = self.budget.reserved_bytes.get() - self.bytes;
        self.budget.reserved_bytes.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
