//! The events of the simulation and the queue that orders them by virtual time.

use foldhitch_balancer::api::{Outcome, RequestId, TimerToken};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// An event of the simulation.
#[derive(Debug, Clone, Copy)]
pub enum SimulationEvent {
    /// A client sends a request; the next arrival is scheduled.
    ClientArrival,
    /// A client retries a request that was rejected.
    ClientRetry { class: u16, retries: u32, created_ms: f64 },
    /// A timer of a proxy's balancer fires.
    TimerFired { instance: usize, token: TimerToken },
    /// An attempt arrives at its backend.
    AttemptArrived { request: RequestId, attempt: usize },
    /// A backend has finished its own processing of an attempt.
    WorkFinished { request: RequestId, attempt: usize },
    /// The outcome of an attempt arrives at the proxy.
    OutcomeArrived { request: RequestId, attempt: usize, outcome: Outcome },
    /// The cancellation of an attempt arrives at its backend.
    AttemptCancelled { request: RequestId, attempt: usize },
    /// The deadline of a request has passed.
    DeadlinePassed { request: RequestId },
    /// The time by which a request must have its final answer.
    FinalAnswerDue { request: RequestId },
    /// Discovery publishes the current state of a backend, which changed at `changed_at_ms`.
    EndpointPublished { backend: usize, changed_at_ms: f64 },
    /// A change of the endpoint list arrives at a proxy.
    ChangeDelivered { instance: usize, change: usize },
    /// A full list arrives at a proxy.
    FullListDelivered { instance: usize },
    /// A step of the scenario.
    Step(ScenarioStep),
}

/// A step of the scenario that changes the state of the fleet.
#[derive(Debug, Clone, Copy)]
pub enum ScenarioStep {
    /// The next part of the report begins.
    BeginPart(usize),
    /// The weight of a random backend changes, as a change of configuration.
    ChangeWeight,
    /// A backend is drained and then restarted.
    RestartBackend { backend: Option<usize> },
    /// A backend's process stops.
    StopBackend { backend: usize },
    /// A backend's process starts, with a warm-up.
    StartBackend { backend: usize },
    /// A machine with its proxy and its backend becomes unresponsive for `outage_ms`.
    FailMachine { backend: Option<usize>, outage_ms: f64 },
    /// An unresponsive machine recovers.
    RecoverMachine { backend: usize },
    /// A zone becomes unresponsive or recovers.
    SetZone { zone: u16, is_up: bool },
    /// The network between the regions is partitioned or restored.
    SetRegionPartition { is_partitioned: bool },
    /// Every proxy receives the full list.
    Resync,
    /// Discovery becomes unavailable or recovers.
    SetDiscovery { is_up: bool },
    /// A new process replaces a proxy.
    ReplaceProxy { proxy: usize },
}

struct QueuedEvent {
    at_ms: f64,
    sequence: u64,
    event: SimulationEvent,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    /// Orders events in reverse, so that the max-heap returns the earliest first, and of events at the same
    /// time the first that was scheduled.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at_ms.total_cmp(&self.at_ms).then(other.sequence.cmp(&self.sequence))
    }
}

/// Length of the time slices of the queue. Only the events of the current slice are kept sorted: most timers
/// outlive their requests, and with all of them in one heap every other step would become slow.
const SLICE_MS: f64 = 8.0;

/// The pending events, the earliest first.
#[derive(Default)]
pub struct EventQueue {
    near: BinaryHeap<QueuedEvent>,
    /// The last slice whose events are in `near`.
    near_slice: u64,
    far: BTreeMap<u64, Vec<QueuedEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event at a virtual time.
    pub fn schedule(&mut self, at_ms: f64, event: SimulationEvent) {
        self.last_sequence += 1;
        let entry = QueuedEvent { at_ms, sequence: self.last_sequence, event };
        let slice = (at_ms / SLICE_MS) as u64;
        if slice <= self.near_slice {
            self.near.push(entry);
        } else {
            self.far.entry(slice).or_default().push(entry);
        }
    }

    /// Removes and returns the next event before `end_ms`, together with its time.
    pub fn pop_before(&mut self, end_ms: f64) -> Option<(f64, SimulationEvent)> {
        while self.near.is_empty() {
            let (slice, entries) = self.far.pop_first()?;
            self.near_slice = slice;
            self.near = entries.into();
        }
        if self.near.peek()?.at_ms >= end_ms {
            return None;
        }
        self.near.pop().map(|entry| (entry.at_ms, entry.event))
    }
}
