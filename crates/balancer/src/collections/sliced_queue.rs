//! What is in flight and what waits, slice by slice of a limit.

use std::collections::VecDeque;

/// A slice of a limit.
#[derive(Debug)]
pub struct Slice<T> {
    /// Its share of the limit.
    pub share: f64,
    /// What is in flight in it.
    pub in_flight: f64,
    /// What waits for it, in order of arrival.
    pub queue: VecDeque<T>,
}

/// The slices of a limit, and what is in flight over all of them.
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
    /// How many slices there are.
    pub fn len(&self) -> usize {
        self.slices.len()
    }

    /// A slice.
    pub fn slice(&self, slice: usize) -> &Slice<T> {
        &self.slices[slice]
    }

    /// The queue of a slice.
    pub fn queue_mut(&mut self, slice: usize) -> &mut VecDeque<T> {
        &mut self.slices[slice].queue
    }

    /// What is in flight, over all slices.
    pub fn in_flight(&self) -> f64 {
        self.in_flight
    }

    /// The same, summed slice by slice.
    pub fn in_flight_by_slice(&self) -> f64 {
        self.slices.iter().map(|slice| slice.in_flight).sum()
    }

    /// What waits, over all slices.
    pub fn queued(&self) -> usize {
        self.slices.iter().map(|slice| slice.queue.len()).sum()
    }

    /// Something begins in a slice.
    pub fn begin(&mut self, slice: usize) {
        self.in_flight += 1.0;
        self.slices[slice].in_flight += 1.0;
    }

    /// Something ends in a slice.
    pub fn end(&mut self, slice: usize) {
        self.in_flight -= 1.0;
        self.slices[slice].in_flight -= 1.0;
    }

    /// Counts what is in flight already in a slice that was cut anew.
    pub fn carry_over(&mut self, slice: usize, in_flight: f64) {
        self.slices[slice].in_flight += in_flight;
    }

    /// Cuts other slices, by their shares; returns what waited, slice by slice.
    pub fn replace(&mut self, shares: impl Iterator<Item = f64>) -> Vec<T> {
        let queued = self.slices.drain(..).flat_map(|slice| slice.queue).collect();
        let slices = shares.map(|share| Slice { share, in_flight: 0.0, queue: VecDeque::new() });
        self.slices = slices.collect();
        queued
    }
}
