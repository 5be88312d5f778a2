//! The report of a simulated run.

use serde::Serialize;

/// The report of a run of one size.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of backends, each with its own proxy.
    pub size: usize,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of proxies, including the entry proxies that receive the clients' requests.
    pub proxies: usize,
    /// Duration of the run, in virtual seconds.
    pub played_s: f64,
    /// Hash over all decisions of all proxies.
    pub decisions: u64,
    /// The reports of the events, in order.
    pub events: Vec<EventReport>,
    /// Invariants of the whole run.
    pub checks: Checks,
}

/// The report of an event and of the quiet time before it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EventReport {
    /// Name of the event.
    pub name: &'static str,
    /// The quiet time before the event.
    pub before: Part,
    /// The time of the event itself.
    pub during: Part,
    /// The time after the event.
    pub after: Part,
    /// Lost service during the event and after it, in seconds of full service relative to the share served
    /// before.
    pub lost_s: [f64; 2],
    /// Consecutive windows of `run.window_s`, starting with those before the event.
    pub windows: Vec<Worth>,
    /// Times from a change, made during the event or after it, until it was in force at the last proxy.
    pub in_force: Spread,
    /// Number of changes that were not in force at every proxy when the run ended.
    pub not_in_force: usize,
}

/// Clients' requests by the time of their creation, with the requested and the served priority weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Worth {
    /// Number of requests, without their retries.
    pub requests: u64,
    /// Requests answered within their latency objective.
    pub in_time: u64,
    /// Requests answered after their latency objective, but before their deadline.
    pub late: u64,
    /// Requests that were rejected and not retried again.
    pub refused: u64,
    /// Requests that failed or were not answered before their deadline.
    pub failed: u64,
    /// Sum of the priority weights of all requests.
    pub asked: f64,
    /// Sum of the priority weights of the served requests; a late answer counts for a part of its weight.
    pub served: f64,
}

impl Worth {
    /// Returns the served share of the priority weight, or 1 if there were no requests.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }

    fn add(&mut self, other: &Worth) {
        self.requests += other.requests;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.asked += other.asked;
        self.served += other.served;
    }
}

/// Returns the sum over all windows.
pub(super) fn sum(windows: &[Worth]) -> Worth {
    let mut sum = Worth::default();
    windows.iter().for_each(|w| sum.add(w));
    sum
}

/// The measurements of a part of the run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Part {
    /// Duration, in virtual seconds.
    pub seconds: f64,
    /// Clients' requests created in this part; requests in flight when an event began are attributed to the
    /// event.
    pub worth: Worth,
    /// Events handled by the balancers.
    pub module: Module,
    /// Messages sent by discovery.
    pub control: Control,
    /// Calls by depth, starting with the clients' own calls.
    pub hops: Vec<Hop>,
}

/// Number of events handled by the balancers of all proxies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Module {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that finished.
    pub resolved: u64,
    /// Timers that fired.
    pub wakes: u64,
    /// Full lists and changes.
    pub lists: u64,
}

/// Messages that discovery sent to all proxies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Control {
    /// Number of changes published.
    pub changes: u64,
    /// Number of messages to proxies.
    pub messages: u64,
    /// Number of list entries in these messages.
    pub entries: u64,
    /// Number of full lists among these messages.
    pub whole: u64,
}

/// The calls at one depth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Hop {
    /// Number of calls; a client's retry counts as a call.
    pub calls: u64,
    /// Attempts sent for these calls.
    pub attempts: u64,
    /// Attempts that failed for any reason.
    pub failed_attempts: u64,
    /// Connections opened.
    pub connects: u64,
    /// Calls that were served.
    pub served: u64,
}

impl Hop {
    /// Returns the attempts per call, which is the factor by which retries increase the load.
    pub fn factor(&self) -> f64 {
        if self.calls > 0 { self.attempts as f64 / self.calls as f64 } else { 1.0 }
    }
}

/// Distribution of times, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

/// Counts of violated invariants, which are 0 in a correct run, followed by five counters of cold starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Checks {
    /// Attempts sent to a backend that the proxy's list had as draining or removed.
    pub sent_after_told: u64,
    /// Those of them that were sent after the drain deadline.
    pub sent_past_grace: u64,
    /// Attempts sent to a backend that was on no list of the proxy.
    pub sent_unlisted: u64,
    /// Entries of other regions that the proxies' lists lost while the regions were partitioned.
    pub lost_while_cut: u64,
    /// Proxies that did not have the latest list at the end of the run.
    pub lists_behind: u64,
    /// Requests without a final answer from the balancer when it was due.
    pub never_ended: u64,
    /// Attempts that the balancer sent after their request had ended.
    pub sent_after_end: u64,
    /// Number of backends started during the run.
    pub cold_starts: u64,
    /// Calls sent to backends that were warming up.
    pub cold_calls: u64,
    /// Backends that failed under load during their warm-up: they received more than N + 2 √N + 2 calls, where
    /// the settings allow N calls within their time window.
    pub cold_falls: u64,
    /// Those of them where more than two thirds of the calls came from proxies that knew of the start.
    pub cold_falls_told: u64,
    /// Maximum ratio of the calls to a warming-up backend within that window to its N + 2 √N + 2.
    pub cold_worst: f64,
}
