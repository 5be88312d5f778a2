//! What a run showed.

use serde::Serialize;

/// What a run of one size showed.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Backends, each with its proxy.
    pub size: usize,
    /// What fed the random numbers.
    pub seed: u64,
    /// Proxies, with those through which clients come.
    pub proxies: usize,
    /// Virtual seconds played.
    pub played_s: f64,
    /// A hash over all decisions of all proxies.
    pub decisions: u64,
    /// Event by event.
    pub events: Vec<EventReport>,
    /// What must hold exactly.
    pub checks: Checks,
}

/// An event with the quiet time before it.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct EventReport {
    /// What happened.
    pub name: &'static str,
    /// Before it.
    pub before: Part,
    /// While it lasted.
    pub during: Part,
    /// Afterwards.
    pub after: Part,
    /// Seconds of full service lost, against the share served before: in the event, and after it.
    pub lost_s: [f64; 2],
    /// Window by window of `run.window_s`, before it first.
    pub windows: Vec<Worth>,
    /// From a change of the event and the time after it to its being in force at the last proxy.
    pub in_force: Spread,
    /// Changes that were not yet in force at the last proxy when the run ended.
    pub not_in_force: usize,
}

/// Clients' requests by when they were made, and the worth that was asked and served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Worth {
    /// Requests, further tries not counted.
    pub requests: u64,
    /// Answered within their aim.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused for good.
    pub refused: u64,
    /// Failed, or never answered in time.
    pub failed: u64,
    /// Worth of all.
    pub asked: f64,
    /// Worth of what was served.
    pub served: f64,
}

impl Worth {
    /// Share of the worth that was served; 1 where nothing was asked.
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

/// Of all windows.
pub(super) fn sum(windows: &[Worth]) -> Worth {
    let mut sum = Worth::default();
    windows.iter().for_each(|w| sum.add(w));
    sum
}

/// A part of the run.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Part {
    /// Virtual seconds.
    pub seconds: f64,
    /// Clients' requests made in it; those that were under way when an event began are the event's.
    pub worth: Worth,
    /// Events that the decision modules were told.
    pub module: Module,
    /// What discovery sent.
    pub control: Control,
    /// Calls by depth, the clients' first.
    pub hops: Vec<Hop>,
}

/// Events that the decision modules were told, over all proxies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Module {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts resolved.
    pub resolved: u64,
    /// Housekeepings.
    pub wakes: u64,
    /// Lists and changes.
    pub lists: u64,
}

/// What discovery sent, over all proxies.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Control {
    /// Changes that were published.
    pub changes: u64,
    /// Messages to proxies.
    pub messages: u64,
    /// Entries in them.
    pub entries: u64,
    /// Whole lists among them.
    pub whole: u64,
}

/// Calls at one depth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Hop {
    /// Calls; a client's further try is one of its own.
    pub calls: u64,
    /// Attempts sent for them.
    pub attempts: u64,
    /// Attempts that failed, whatever the reason.
    pub failed_attempts: u64,
    /// New connections.
    pub connects: u64,
    /// Calls that were served.
    pub served: u64,
}

impl Hop {
    /// Attempts a call: the factor that retries put on the load.
    pub fn factor(&self) -> f64 {
        if self.calls > 0 { self.attempts as f64 / self.calls as f64 } else { 1.0 }
    }
}

/// Times in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Spread {
    /// How many.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// Of 99 in 100.
    pub p99: f64,
    /// The longest.
    pub max: f64,
}

/// What must hold exactly: all but the last five are 0 in a sound run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Checks {
    /// Attempts sent to a backend that the proxy had been told is draining or gone.
    pub sent_after_told: u64,
    /// The same, later than the grace after it was told.
    pub sent_past_grace: u64,
    /// Attempts sent to a backend that no list named.
    pub sent_unlisted: u64,
    /// Lists that a proxy held while it was cut off and that lost an entry of the regions beyond.
    pub lost_while_cut: u64,
    /// Proxies that did not hold the newest list at the end.
    pub lists_behind: u64,
    /// Requests that the decision module had not ended when nothing was owed any more.
    pub never_ended: u64,
    /// Attempts for which something was decided after their request's end.
    pub sent_after_end: u64,
    /// Cold starts that were followed.
    pub cold_starts: u64,
    /// Calls sent to cold backends.
    pub cold_calls: u64,
    /// Cold backends that fell: more than N + 2 √N + 2 calls in the time that the settings name.
    pub cold_falls: u64,
    /// Of these, where more than two thirds came from proxies that had been told of the start.
    pub cold_falls_told: u64,
    /// The most calls to a cold backend in that time, over its N + 2 √N + 2.
    pub cold_worst: f64,
}
