//! The simulated fleet: each proxy is an instance of the balancer on virtual time, without sockets or a real
//! clock. A run is reproducible for a given seed.
//!
//! The simulation models the network delays between zones and regions; backends with slots, queues and
//! warm-up that call other services through their own proxies; processes that stop and machines that become
//! unresponsive; and the delays of discovery. It does not model a proxy's processor time, the size of
//! messages, or more than one connection to each backend.

mod backend;
mod event_queue;
mod fleet;
mod metrics;
mod report;
mod topology;

pub use report::{Checks, Control, EventReport, Hop, Module, Part, Report, Spread, Worth};

use crate::scenario::{Scenario, ScenarioError};
use backend::WarmUpRule;
use event_queue::{ScenarioStep, SimulationEvent};
use fleet::Fleet;
use metrics::Metrics;
use rand::Rng;
use report::sum;

/// The events of a run in order, each after a quiet time. Events that leave most backends warming up come
/// last.
pub const EVENTS: [&str; 9] = [
    "changes",
    "zone lost and back",
    "regions cut",
    "whole list to all",
    "all proxies replaced",
    "machines lost",
    "discovery down",
    "release",
    "all replaced in a release",
];

/// Runs a fleet of `size` backends, each with its own proxy, through all events.
pub fn run(scenario: &Scenario, size: usize, seed: u64) -> Result<Report, ScenarioError> {
    run_events(scenario, size, seed, &EVENTS)
}

/// Start of the run, in virtual milliseconds.
const START_MS: f64 = 1000.0;
/// Minimum time for which the fleet runs on after the last event.
const MIN_TAIL_MS: f64 = 5000.0;
/// Number of parts of the report for each event: before, during and after it.
const PARTS_PER_EVENT: usize = 3;

/// The durations of the parts of a run, as multiples of the report's window.
struct Timeline {
    window_ms: f64,
    steady_ms: f64,
    event_ms: f64,
    after_ms: f64,
    longest_request_ms: f64,
}

impl Timeline {
    fn new(scenario: &Scenario) -> Self {
        let run = &scenario.run;
        let window_ms = run.window_s * 1000.0;
        Timeline {
            window_ms,
            steady_ms: whole_windows_ms(run.steady_s, window_ms),
            event_ms: whole_windows_ms(run.event_s, window_ms),
            after_ms: whole_windows_ms(run.after_s, window_ms),
            longest_request_ms: scenario.class_values("giveUp").into_iter().fold(0.0, f64::max),
        }
    }

    /// Returns the number of windows that the longest request spans.
    fn lead_windows(&self) -> usize {
        (self.longest_request_ms / self.window_ms).ceil() as usize
    }

    /// Returns how long the fleet runs on after the last event.
    fn tail_ms(&self) -> f64 {
        whole_windows_ms(self.longest_request_ms.max(MIN_TAIL_MS) / 1000.0, self.window_ms)
    }
}

/// Converts seconds to milliseconds, rounded up to at least one whole window.
fn whole_windows_ms(seconds: f64, window_ms: f64) -> f64 {
    (seconds * 1000.0 / window_ms).ceil().max(1.0) * window_ms
}

/// Returns the index of the report's part before an event.
fn part_before(event: usize) -> usize {
    1 + PARTS_PER_EVENT * event
}

/// Runs a fleet like [`run`], with the given events only.
pub fn run_events(
    scenario: &Scenario,
    size: usize,
    seed: u64,
    events: &[&'static str],
) -> Result<Report, ScenarioError> {
    let timeline = Timeline::new(scenario);
    let warm_up_rule = WarmUpRule {
        overload_multiple: scenario.guarantee("fallMultiple"),
        window_ms: scenario.guarantee("fall").max(1.0),
    };
    // The first part is the start-up, while the balancers learn their concurrency limits; the last one is the
    // end, while remaining requests are answered.
    let parts = 2 + PARTS_PER_EVENT * events.len();
    let metrics = Metrics::new(parts, scenario.target.depth, START_MS, timeline.window_ms, warm_up_rule);
    let mut fleet = Fleet::new(scenario, size, seed, metrics)?;
    let mut report = Report { size, seed, proxies: fleet.proxies.len(), ..Report::default() };
    let mut now_ms = START_MS + timeline.steady_ms;
    fleet.run_until(now_ms)?;
    for (index, &name) in events.iter().enumerate() {
        now_ms = run_event(&mut fleet, &timeline, name, part_before(index), now_ms)?;
        report.events.push(EventReport { name, ..EventReport::default() });
    }
    let last_part = ScenarioStep::BeginPart(part_before(events.len()));
    fleet.event_queue.schedule(now_ms, SimulationEvent::Step(last_part));
    // Messages in transit must arrive before lists and requests can be checked.
    fleet.run_until(now_ms + timeline.tail_ms())?;
    fleet.checks.lists_behind = fleet.outdated_instances();
    for (index, event_report) in report.events.iter_mut().enumerate() {
        summarize_event(&fleet, &timeline, index, event_report);
    }
    report.played_s = (fleet.now_ms - START_MS) / 1000.0;
    report.decisions = fleet.metrics.decisions;
    report.checks = fleet.checks;
    Ok(report)
}

/// Runs the quiet time before an event, the event, and the time after it. Returns the time at which that is
/// over.
fn run_event(
    fleet: &mut Fleet,
    timeline: &Timeline,
    name: &str,
    first_part: usize,
    now_ms: f64,
) -> Result<f64, ScenarioError> {
    let start_ms = now_ms + timeline.steady_ms;
    let end_ms = start_ms + timeline.event_ms;
    let recovery_end_ms = end_ms + timeline.after_ms;
    for (part, time_ms) in [(first_part, now_ms), (first_part + 1, start_ms), (first_part + 2, end_ms)] {
        fleet.event_queue.schedule(time_ms, SimulationEvent::Step(ScenarioStep::BeginPart(part)));
    }
    schedule_event(fleet, name, start_ms, end_ms);
    if name == "regions cut" {
        fleet.run_until(end_ms)?;
        fleet.checks.lost_while_cut += fleet.entries_lost_while_partitioned();
    }
    fleet.run_until(recovery_end_ms)?;
    Ok(recovery_end_ms)
}

/// Writes the measurements around an event into its report.
fn summarize_event(fleet: &Fleet, timeline: &Timeline, index: usize, event_report: &mut EventReport) {
    let metrics = &fleet.metrics;
    let Timeline { steady_ms, event_ms, after_ms, .. } = *timeline;
    let part = part_before(index);
    let quiet_start_ms = START_MS + steady_ms + (steady_ms + event_ms + after_ms) * index as f64;
    // A request in flight when the event began is attributed to the event.
    let (mut before, mut windows) = metrics.close_part(part, quiet_start_ms + steady_ms);
    let quiet_count = windows.len().saturating_sub(timeline.lead_windows()).max(1).min(windows.len());
    let lead_windows = windows.split_off(quiet_count);
    before.worth = sum(&windows);
    let (mut during, during_windows) = metrics.close_part(part + 1, quiet_start_ms + steady_ms + event_ms);
    let during_windows: Vec<Worth> = lead_windows.into_iter().chain(during_windows).collect();
    during.worth = sum(&during_windows);
    let (after, after_windows) =
        metrics.close_part(part + 2, quiet_start_ms + steady_ms + event_ms + after_ms);
    let baseline_share = before.worth.share();
    let window_s = fleet.scenario.run.window_s;
    let lost_s =
        |windows: &[Worth]| windows.iter().map(|w| (baseline_share - w.share()) * window_s).sum::<f64>();
    event_report.lost_s = [lost_s(&during_windows), lost_s(&after_windows)];
    windows.extend(during_windows.into_iter().chain(after_windows));
    event_report.before = before;
    event_report.during = during;
    event_report.after = after;
    event_report.windows = windows;
    event_report.in_force = metrics.propagation_times(&[part + 1, part + 2]);
    event_report.not_in_force = fleet.endpoint_log.unfinished_in_parts(part + 1..=part + 2);
}

/// Schedules consecutive configuration changes, each of which restarts every proxy within the target's time.
fn schedule_proxy_replacements(fleet: &mut Fleet, start_ms: f64, duration_ms: f64) {
    let interval_ms = (fleet.scenario.target.in_force_within_s * 1000.0).min(duration_ms);
    let proxies = fleet.proxies.len();
    for round in 0..(duration_ms / interval_ms) as usize {
        for proxy in 0..proxies {
            let time_ms = start_ms + interval_ms * (round as f64 + proxy as f64 / proxies as f64);
            fleet.event_queue.schedule(time_ms, SimulationEvent::Step(ScenarioStep::ReplaceProxy { proxy }));
        }
    }
}

/// Schedules a restart of every fifth backend, spread over three quarters of the event.
fn schedule_release(fleet: &mut Fleet, start_ms: f64, duration_ms: f64) {
    let restarted: Vec<usize> = (0..fleet.backends.len()).step_by(5).collect();
    for (index, &backend) in restarted.iter().enumerate() {
        let time_ms = start_ms + 0.75 * duration_ms * index as f64 / restarted.len() as f64;
        fleet.event_queue.schedule(
            time_ms,
            SimulationEvent::Step(ScenarioStep::RestartBackend { backend: Some(backend) }),
        );
    }
}

/// Schedules the steps of an event between `start_ms` and `end_ms`.
fn schedule_event(fleet: &mut Fleet, name: &str, start_ms: f64, end_ms: f64) {
    let mut schedule_at =
        |time_ms: f64, step: ScenarioStep| fleet.event_queue.schedule(time_ms, SimulationEvent::Step(step));
    let duration_ms = end_ms - start_ms;
    // Zone 0 belongs to the first region.
    let zone = 0;
    match name {
        "zone lost and back" => {
            schedule_at(start_ms, ScenarioStep::SetZone { zone, is_up: false });
            schedule_at(end_ms, ScenarioStep::SetZone { zone, is_up: true });
        }
        "regions cut" => {
            schedule_at(start_ms, ScenarioStep::SetRegionPartition { is_partitioned: true });
            schedule_at(end_ms, ScenarioStep::SetRegionPartition { is_partitioned: false });
        }
        "whole list to all" => schedule_at(start_ms, ScenarioStep::Resync),
        "all proxies replaced" => schedule_proxy_replacements(fleet, start_ms, duration_ms),
        "release" => schedule_release(fleet, start_ms, duration_ms),
        "all replaced in a release" => {
            // The new proxies start while backends are warming up or draining.
            schedule_release(fleet, start_ms, duration_ms);
            schedule_proxy_replacements(fleet, start_ms + 0.5 * duration_ms, 0.5 * duration_ms);
        }
        "machines lost" => {
            // A rack failure hits neighbouring machines, each with a backend and its sidecar proxy.
            let rack_size = (fleet.backends.len() / 36).max(1);
            for backend in 0..rack_size {
                schedule_at(
                    start_ms,
                    ScenarioStep::FailMachine {
                        backend: Some(backend * 29 % fleet.backends.len()),
                        outage_ms: duration_ms,
                    },
                );
            }
        }
        "discovery down" => {
            schedule_at(start_ms, ScenarioStep::SetDiscovery { is_up: false });
            schedule_at(end_ms, ScenarioStep::SetDiscovery { is_up: true });
        }
        _ => {}
    }
    if matches!(name, "changes" | "regions cut" | "discovery down") {
        schedule_changes(fleet, start_ms, end_ms);
    }
}

/// Schedules changes, restarts and machine failures at random times, with the rates of the scenario.
fn schedule_changes(fleet: &mut Fleet, start_ms: f64, end_ms: f64) {
    let scenario = fleet.scenario;
    let changes_per_ms = scenario.changes_per_s() / 1000.0;
    let target = &scenario.target;
    let rate_share = |per_day: f64| per_day / target.changes_per_day.max(1e-9);
    let restarts = rate_share(target.restarts_per_day);
    let machine_failures = rate_share(target.machine_failures_per_day);
    let mut time_ms = start_ms;
    loop {
        time_ms += -(1.0 - fleet.rng.random::<f64>()).ln() / changes_per_ms;
        if changes_per_ms <= 0.0 || time_ms >= end_ms {
            break;
        }
        let draw = fleet.rng.random::<f64>();
        let step = if draw < restarts {
            ScenarioStep::RestartBackend { backend: None }
        } else if draw < restarts + machine_failures {
            ScenarioStep::FailMachine { backend: None, outage_ms: scenario.backend.restart_s * 1000.0 }
        } else {
            ScenarioStep::ChangeWeight
        };
        fleet.event_queue.schedule(time_ms, SimulationEvent::Step(step));
    }
}
