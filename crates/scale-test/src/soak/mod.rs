//! Soak test of the real proxy program. The seed determines the settings, the clients, the faults and the
//! signals; the recorded events are checked against a set of rules.

pub mod backend;
pub mod client;
pub mod discovery;
pub mod plan;
pub mod process;
pub mod record;
pub mod rules;
pub mod runner;

use plan::SoakPlan;
use record::{Outcome, Records, RequestId};
use rules::{Rule, Violation};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::path::Path;
use std::time::Duration;

/// If one of the test's own timers fires later than this, the machine was too busy for broken rules to count.
const MAX_TIMER_LATENESS: Duration = Duration::from_millis(150);
/// Maximum number of violations per rule that are printed with their timelines.
const MAX_PRINTED_VIOLATIONS: usize = 2;
/// Maximum number of log lines per process in a violation's timeline.
const MAX_PRINTED_LOG_LINES: usize = 40;

/// The result of running one seed.
#[derive(Debug, Serialize)]
pub struct SeedReport {
    /// The seed that was run.
    pub seed: u64,
    /// Number of requests that were sent completely.
    pub requests: usize,
    /// Number of requests that were answered with status 200.
    pub served: usize,
    /// Number of served requests in each second of the run, which makes a stall visible.
    pub served_by_second: Vec<usize>,
    /// Number of requests that were answered with status 429 or 503.
    pub rejected: usize,
    /// Number of attempts that backends received completely.
    pub attempts: usize,
    /// Largest delay of the test's own timers, in milliseconds.
    pub own_lateness_ms: u128,
    /// Number of violations by rule.
    pub broken: BTreeMap<Rule, usize>,
    /// The first violations of each rule with their timelines.
    pub details: Vec<String>,
    /// Whether rules were broken while the machine was too busy for a verdict.
    pub is_void: bool,
}

impl SeedReport {
    fn new(plan: &SoakPlan, records: &Records) -> Self {
        let violations = rules::check(records, &plan.settings);
        let mut broken = BTreeMap::new();
        let mut details = Vec::new();
        for violation in &violations {
            let count = broken.entry(violation.rule).or_insert(0);
            *count += 1;
            if *count <= MAX_PRINTED_VIOLATIONS {
                details.push(describe_violation(violation, records));
            }
        }
        let count_with_status = |wanted: fn(u16) -> bool| {
            let outcomes = records.requests.values().filter_map(|request| request.outcome.as_ref());
            outcomes
                .filter(|outcome| matches!(outcome, Outcome::Answered { status, .. } if wanted(*status)))
                .count()
        };
        SeedReport {
            seed: plan.seed,
            requests: records.requests.values().filter(|request| request.complete_at.is_some()).count(),
            served: count_with_status(|status| status == 200),
            served_by_second: served_by_second(records),
            rejected: count_with_status(|status| matches!(status, 429 | 503)),
            attempts: records.attempts.len(),
            own_lateness_ms: records.own_lateness.as_millis(),
            details,
            is_void: !broken.is_empty() && records.own_lateness > MAX_TIMER_LATENESS,
            broken,
        }
    }
}

fn served_by_second(records: &Records) -> Vec<usize> {
    let mut seconds = Vec::new();
    for request in records.requests.values() {
        if let Some(Outcome::Answered { status: 200, at, .. }) = request.outcome {
            let second = at.as_secs() as usize;
            seconds.resize(seconds.len().max(second + 1), 0);
            seconds[second] += 1;
        }
    }
    seconds
}

impl fmt::Display for SeedReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SeedReport { seed, requests, served, rejected, attempts, own_lateness_ms, .. } = self;
        write!(formatter, "seed {seed}: {requests} requests, {served} served, {rejected} rejected, ")?;
        write!(formatter, "{:?} by second, ", self.served_by_second)?;
        write!(formatter, "{attempts} attempts, own timers up to {own_lateness_ms} ms late: ")?;
        if self.broken.is_empty() {
            return writeln!(formatter, "kept");
        }
        writeln!(formatter, "{}{:?}", if self.is_void { "void, " } else { "" }, self.broken)?;
        writeln!(formatter, "  foldhitch-scale-test soak --seed {seed}")?;
        for detail in &self.details {
            write!(formatter, "  {detail}")?;
        }
        Ok(())
    }
}

/// Runs one seed against the proxy program at `program`.
///
/// # Errors
///
/// Returns an error if the run can't be set up or carried out.
pub async fn run(seed: u64, program: &Path) -> anyhow::Result<SeedReport> {
    let plan = SoakPlan::draw(seed);
    let records = runner::run_plan(&plan, program).await?;
    Ok(SeedReport::new(&plan, &records))
}

/// Formats a violation with the timeline of the run.
fn describe_violation(violation: &Violation, records: &Records) -> String {
    let mut text = format!("{violation}\n");
    for line in timeline(violation.request, records) {
        // Writing to a `String` can't fail.
        let _ = writeln!(text, "    {line}");
    }
    text
}

fn timeline(request: Option<RequestId>, records: &Records) -> Vec<String> {
    let mut events: Vec<(Duration, String)> = Vec::new();
    let id = request.map(|id| format!("{id:016x}"));
    for (number, process) in records.processes.iter().enumerate() {
        events.push((process.started_at, format!("process {number} started")));
        let milestones = [
            ("ready", process.ready_at),
            ("told to end", process.terminated_at),
            ("ended", process.ended_at),
        ];
        for (milestone, at) in milestones {
            events.extend(at.map(|at| (at, format!("process {number} {milestone}"))));
        }
        let is_about = |line: &str| match &id {
            Some(id) if line.contains(id.as_str()) => true,
            _ => !begins_with_request_id(line),
        };
        let lines = process.log.iter().filter(|(_, line)| is_about(line));
        let lines = lines.map(|(at, line)| (*at, format!("log {number}: {line}")));
        events.extend(lines.take(MAX_PRINTED_LOG_LINES));
    }
    for withdrawal in &records.withdrawals {
        events.push((withdrawal.from, format!("{} {:?}", withdrawal.backend, withdrawal.cause)));
    }
    for outage in &records.discovery_outages {
        events.push((outage.from, format!("discovery fails until {:?}", outage.until)));
    }
    if let Some(id) = request {
        add_request_events(id, records, &mut events);
    }
    events.sort_by_key(|(at, _)| *at);
    events.into_iter().map(|(at, text)| format!("{:>9.4} s  {text}", at.as_secs_f64())).collect()
}

/// Returns whether a log line concerns a single request: the word after the program's name is a request id.
fn begins_with_request_id(line: &str) -> bool {
    let word = line.split(' ').nth(1).unwrap_or_default();
    word.len() == 16 && RequestId::from_str_radix(word, 16).is_ok()
}

fn add_request_events(id: RequestId, records: &Records, events: &mut Vec<(Duration, String)>) {
    if let Some(request) = records.requests.get(&id) {
        let at = request.complete_at.unwrap_or_default();
        events.push((at, format!("client sent {request:?}")));
    }
    for attempt in records.attempts.iter().filter(|attempt| attempt.request == id) {
        let deadline = attempt.sent_deadline;
        let text = format!("{} got it, {:?}, told {deadline:?}", attempt.backend, attempt.effect);
        events.push((attempt.first_byte_at, text));
    }
}
