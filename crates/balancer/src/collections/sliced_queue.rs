//! Items in flight and queued items, by slice of a limit.

use std::collections::VecDeque;

/// A slice of a limit.
#[derive(Debug)]
pub struct Slice<T> {
    /// The share of the limit.
    pub share: f64,
    /// The number of items in flight.
    pub in_flight: f64,
    /// The queued items, in order of arrival.
    pub queue: VecDeque<T>,
}

/// The slices of a limit, and the number of items in flight over all of them.
#[derive(Debug)]
pub struct Slices<T> {
    slices: Vec<Slice<T>>,
    in_flight: f64,
}

impl<T> Default for Slices<T> {
    fn default() -> Self {
        Slices { slices: Vec::new(), in_flight: 0.0 }
    }
}

impl<T> Slices<T> {
    /// Returns the number of slices.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// Returns a slice.
    pub fn slice(&self, slice: usize) -> &Slice<T> {
        &self.slices[slice]
    }

    /// Returns the queue of a slice.
    pub fn queue_mut(&mut self, slice: usize) -> &mut VecDeque<T> {
        &mut self.slices[slice].queue
    }

    /// Returns the number of items in flight over all slices.
    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// Returns the same number as the sum over the slices.
    pub fn in_flight_by_slice(&self) -> f64 {
        self.slices.iter().map(|slice| slice.in_flight).sum()
    }

    /// Returns the number of queued items over all slices.
    pub fn queued(&self) -> usize {
        self.slices.iter().map(|slice| slice.queue.len()).sum()
    }

    /// Counts an item that begins in a slice.
    pub fn begin(&mut self, slice: usize) {
        self.in_flight += 1.0;
        self.slices[slice].in_flight += 1.0;
    }

    /// Counts an item that ends in a slice.
    pub fn end(&mut self, slice: usize) {
        self.in_flight -= 1.0;
        self.slices[slice].in_flight -= 1.0;
    }

    /// Adds items that are in flight already to a slice that was replaced.
    pub fn carry_over(&mut self, slice: usize, in_flight: f64) {
        self.slices[slice].in_flight += in_flight;
    }

    /// Replaces the slices by others with the given shares; returns the queued items, slice by slice.
    pub fn replace(&mut self, shares: impl Iterator<Item = f64>) -> Vec<T> {
        let queued = self.slices.drain(..).flat_map(|slice| slice.queue).collect();
        let slices = shares.map(|share| Slice { share, in_flight: 0.0, queue: VecDeque::new() });
        self.slices = slices.collect();
        queued
    }
}
