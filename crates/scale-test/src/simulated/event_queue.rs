//! What happens when, in virtual time.

use foldhitch_balancer::api::{Outcome, RequestId, TimerToken};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// Something that happens.
#[derive(Debug, Clone, Copy)]
pub enum Happening {
    /// A client makes a call; the next one follows.
    Client,
    /// A client that was refused tries again.
    TryAgain { class: u16, tries: u32, born: f64 },
    /// A proxy's timer is due.
    Wake { copy: usize, token: TimerToken },
    /// An attempt comes to its backend.
    Arrive { request: RequestId, attempt: usize },
    /// A backend has done its own work on it.
    Worked { request: RequestId, attempt: usize },
    /// Its outcome comes to the proxy.
    Reply { request: RequestId, attempt: usize, outcome: Outcome },
    /// Its backend learns that nobody waits for it any more.
    Withdraw { request: RequestId, attempt: usize },
    /// A call's time is over.
    Expire { request: RequestId },
    /// Longer than anything is owed after that.
    Overdue { request: RequestId },
    /// Discovery takes notice of a backend as it is now; changed at `since`.
    Publish { backend: usize, since: f64 },
    /// A change comes to a proxy.
    Tell { copy: usize, change: usize },
    /// A whole list comes to a proxy.
    TellAll { copy: usize },
    /// A step of the scenario.
    Step(Step),
}

/// What the scenario does to the fleet.
#[derive(Debug, Clone, Copy)]
pub enum Step {
    /// Another part of the report begins.
    Part(usize),
    /// A change of configuration: a backend's weight.
    Change,
    /// A backend is drained and restarted.
    Restart { backend: Option<usize> },
    /// A backend's process ends.
    Stop { backend: usize },
    /// It is back, cold.
    Start { backend: usize },
    /// A machine goes silent, proxy and backend, and comes back after so many ms.
    LoseMachine { backend: Option<usize>, back: f64 },
    /// A machine is back.
    MachineBack { backend: usize },
    /// A zone goes silent, or is back.
    Zone { zone: u16, on: bool },
    /// Regions lose each other, or are joined again.
    Cut { on: bool },
    /// Every proxy gets the whole list.
    Resync,
    /// Discovery is down, or back.
    Discovery { on: bool },
    /// A proxy is replaced by a new process.
    Replace { proxy: usize },
}

struct EndpointInfo {
    at: f64,
    no: u64,
    what: Happening,
}

impl PartialEq for EndpointInfo {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for EndpointInfo {}
impl PartialOrd for EndpointInfo {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for EndpointInfo {
    /// The earliest is the greatest; of one time, the first that was put down.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.no.cmp(&self.no))
    }
}

/// What lies further ahead than the present slice of so many ms waits unsorted: most timers outlive their
/// calls, and in one heap they would make every other step slow.
const SLICE: f64 = 8.0;

/// The queue of what is to happen.
#[derive(Default)]
pub struct Agenda {
    near: BinaryHeap<EndpointInfo>,
    /// The slice up to which all is in `near`.
    sorted: u64,
    far: BTreeMap<u64, Vec<EndpointInfo>>,
    no: u64,
}

impl Agenda {
    /// Puts down what happens at `at`.
    pub fn at(&mut self, at: f64, what: Happening) {
        self.no += 1;
        let (entry, slice) = (EndpointInfo { at, no: self.no, what }, (at / SLICE) as u64);
        if slice <= self.sorted {
            self.near.push(entry);
        } else {
            self.far.entry(slice).or_default().push(entry);
        }
    }
    /// The next thing before `end`.
    pub fn next(&mut self, end: f64) -> Option<(f64, Happening)> {
        while self.near.is_empty() {
            let (slice, entries) = self.far.pop_first()?;
            self.sorted = slice;
            self.near = entries.into();
        }
        if self.near.peek()?.at >= end {
            return None;
        }
        self.near.pop().map(|e| (e.at, e.what))
    }
}
