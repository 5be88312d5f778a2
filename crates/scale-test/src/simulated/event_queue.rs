//! The events of the simulation, and the queue that orders them by virtual time.

use foldhitch_balancer::api::{Outcome, RequestId, TimerToken};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// An event of the simulation.
#[derive(Debug, Clone, Copy)]
pub enum SimulationEvent {
    /// A client makes a request; the next one follows.
    ClientArrival,
    /// A client that was rejected sends its request again.
    ClientRetry { class: u16, retries: u32, created_ms: f64 },
    /// A proxy's timer is due.
    TimerFired { instance: usize, token: TimerToken },
    /// An attempt comes to its backend.
    AttemptArrived { request: RequestId, attempt: usize },
    /// A backend has done its own work on it.
    WorkFinished { request: RequestId, attempt: usize },
    /// Its outcome comes to the proxy.
    OutcomeArrived { request: RequestId, attempt: usize, outcome: Outcome },
    /// Its backend learns that nobody waits for it any more.
    AttemptCancelled { request: RequestId, attempt: usize },
    /// A request's time is over.
    DeadlinePassed { request: RequestId },
    /// By then the request must have its final answer.
    FinalAnswerDue { request: RequestId },
    /// Discovery takes notice of a backend as it is now; changed at `since`.
    EndpointPublished { backend: usize, changed_at_ms: f64 },
    /// A change comes to a proxy.
    ChangeDelivered { instance: usize, change: usize },
    /// A full list comes to a proxy.
    FullListDelivered { instance: usize },
    /// A step of the scenario.
    Step(ScenarioStep),
}

/// What the scenario does to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum ScenarioStep {
    /// Another part of the report begins.
    BeginPart(usize),
    /// A change of configuration: a backend's weight.
    ChangeWeight,
    /// A backend is drained and restarted.
    RestartBackend { backend: Option<usize> },
    /// A backend's process ends.
    StopBackend { backend: usize },
    /// It is back, warming up.
    StartBackend { backend: usize },
    /// A machine becomes unresponsive, proxy and backend, and comes back after so many ms.
    FailMachine { backend: Option<usize>, outage_ms: f64 },
    /// A machine is back.
    RecoverMachine { backend: usize },
    /// A zone becomes unresponsive, or is back.
    SetZone { zone: u16, is_up: bool },
    /// Regions lose each other, or are joined again.
    SetRegionPartition { is_partitioned: bool },
    /// Every proxy gets the full list.
    Resync,
    /// Discovery is down, or back.
    SetDiscovery { is_up: bool },
    /// A proxy is replaced by a new process.
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
    /// The earliest is the greatest; of one time, the first that was scheduled.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at_ms.total_cmp(&self.at_ms).then(other.sequence.cmp(&self.sequence))
    }
}

/// What lies further ahead than the present slice of so many ms waits unsorted: most timers outlive their
/// requests, and in one heap they would make every other step slow.
const SLICE_MS: f64 = 8.0;

/// The events that are still to come, the earliest first.
#[derive(Default)]
pub struct EventQueue {
    near: BinaryHeap<QueuedEvent>,
    /// The slice up to which all is in `near`.
    near_slice: u64,
    far: BTreeMap<u64, Vec<QueuedEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    /// Schedules an event for a time.
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
    /// Takes out the next event before `end_ms`, with its time.
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
