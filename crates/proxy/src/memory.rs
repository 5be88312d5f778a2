//! Budgets of memory that many owners share.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

/// A number of bytes that its reservations share.
///
/// It can be shared between threads only because the bytes of a body own a reservation and have to be `Send`.
#[derive(Debug)]
pub struct MemoryBudget {
    limit_bytes: AtomicUsize,
    reserved_bytes: AtomicUsize,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        let limit_bytes = AtomicUsize::new(limit_bytes);
        Arc::new(MemoryBudget { limit_bytes, reserved_bytes: AtomicUsize::new(0) })
    }

    /// Changes the limit. Reservations above it remain.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.limit_bytes.store(limit_bytes, Relaxed);
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Relaxed)
    }

    /// Returns the number of bytes that can still be reserved.
    pub fn available_bytes(&self) -> usize {
        self.limit_bytes.load(Relaxed).saturating_sub(self.reserved_bytes())
    }

    /// Returns a reservation of no bytes yet.
    pub fn reservation(self: &Arc<Self>) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }
}

/// The bytes that one owner has reserved. They are released when it is dropped.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Arc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more bytes. Returns `false`, and reserves nothing, if that would exceed the limit.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let limit_bytes = self.budget.limit_bytes.load(Relaxed);
        let grow = |reserved: usize| Some(reserved + bytes).filter(|&reserved| reserved <= limit_bytes);
        let is_reserved = self.budget.reserved_bytes.fetch_update(Relaxed, Relaxed, grow).is_ok();
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
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
        if bytes >= self.bytes {
            self.budget.reserved_bytes.fetch_add(bytes - self.bytes, Relaxed);
        } else {
            self.budget.reserved_bytes.fetch_sub(self.bytes - bytes, Relaxed);
        }
        self.bytes = bytes;
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}
