//! The simulated fleet: every proxy an instance of the balancer, on virtual time, the same for a seed. No
//! socket, no clock.
//!
//! What it models: the ways between zones and regions, backends with slots, queues and warm-up that call other
//! services through their own proxies, processes that end and machines that become unresponsive, and discovery's delays. What
//! it doesn't: a proxy's processor time, the bytes of messages, connections beyond the first to each backend.

mod backend;
mod event_queue;
mod fleet;
mod metrics;
mod report;
mod topology;

pub use report::{Checks, Control, EventReport, Hop, Module, Part, Report, Spread, Worth};

use crate::scenario::{Invalid, Scenario};
use backend::WarmUpRule;
use event_queue::{ScenarioStep, SimulationEvent};
use fleet::Fleet;
use metrics::Metrics;
use rand::Rng;
use report::sum;

/// What happens to the fleet, in this order, each after a quiet time; those that leave most backends warming up
/// come last.
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

/// Plays a fleet of `size` backends, each with its proxy, through all events.
pub fn run(scenario: &Scenario, size: usize, seed: u64) -> Result<Report, Invalid> {
    run_events(scenario, size, seed, &EVENTS)
}

/// When the run begins, in virtual milliseconds.
const BEGIN_MS: f64 = 1000.0;
/// After the last event the fleet is played on for this long at the least.
const MIN_TAIL_MS: f64 = 5000.0;
/// Parts of the report for each event: before, during and after it.
const PARTS_PER_EVENT: usize = 3;

/// How long the parts of a run last, in whole windows.
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
            longest_request_ms: scenario.of_classes("giveUp").into_iter().fold(0.0, f64::max),
        }
    }

    /// Windows that the longest request spans.
    fn lead_windows(&self) -> usize {
        (self.longest_request_ms / self.window_ms).ceil() as usize
    }

    /// How long the fleet is played after the last event.
    fn tail_ms(&self) -> f64 {
        whole_windows_ms(self.longest_request_ms.max(MIN_TAIL_MS) / 1000.0, self.window_ms)
    }
}

/// Seconds, rounded up to whole windows of at least one.
fn whole_windows_ms(seconds: f64, window_ms: f64) -> f64 {
    (seconds * 1000.0 / window_ms).ceil().max(1.0) * window_ms
}

/// The part of the report that stands before an event.
fn part_before(event: usize) -> usize {
    1 + PARTS_PER_EVENT * event
}

/// The same with some of the events only.
pub fn run_events(
    scenario: &Scenario,
    size: usize,
    seed: u64,
    events: &[&'static str],
) -> Result<Report, Invalid> {
    let timeline = Timeline::new(scenario);
    let warm_up_rule = WarmUpRule {
        multiple: scenario.guarantee("fallMultiple"),
        within_ms: scenario.guarantee("fall").max(1.0),
    };
    // The first part is the start, until the limits are learned, and the last is the end, until all is
    // answered.
    let parts = 2 + PARTS_PER_EVENT * events.len();
    let metrics = Metrics::new(parts, scenario.target.depth, BEGIN_MS, timeline.window_ms, warm_up_rule);
    let mut fleet = Fleet::new(scenario, size, seed, metrics)?;
    let mut report = Report { size, seed, proxies: fleet.proxies.len(), ..Report::default() };
    let mut now = BEGIN_MS + timeline.steady_ms;
    fleet.play_until(now)?;
    for (index, &name) in events.iter().enumerate() {
        now = play_event(&mut fleet, &timeline, name, part_before(index), now)?;
        report.events.push(EventReport { name, ..EventReport::default() });
    }
    let last_part = ScenarioStep::Part(part_before(events.len()));
    fleet.event_queue.schedule(now, SimulationEvent::Step(last_part));
    // What is still on its way comes, so that lists and requests can be judged.
    fleet.play_until(now + timeline.tail_ms())?;
    fleet.checks.lists_behind = fleet.instances_behind();
    for (index, event_report) in report.events.iter_mut().enumerate() {
        summarize_event(&fleet, &timeline, index, event_report);
    }
    report.played_s = (fleet.now - BEGIN_MS) / 1000.0;
    report.decisions = fleet.metrics.decisions;
    report.checks = fleet.checks;
    Ok(report)
}

/// Plays the quiet time before an event, the event, and the time after it; returns when that is over.
fn play_event(
    fleet: &mut Fleet,
    timeline: &Timeline,
    name: &str,
    first_part: usize,
    now: f64,
) -> Result<f64, Invalid> {
    let starts = now + timeline.steady_ms;
    let ends = starts + timeline.event_ms;
    let over = ends + timeline.after_ms;
    for (part, at) in [(first_part, now), (first_part + 1, starts), (first_part + 2, ends)] {
        fleet.event_queue.schedule(at, SimulationEvent::Step(ScenarioStep::Part(part)));
    }
    plan_event(fleet, name, starts, ends);
    if name == "regions cut" {
        fleet.play_until(ends)?;
        fleet.checks.lost_while_cut += fleet.lost_while_cut();
    }
    fleet.play_until(over)?;
    Ok(over)
}

/// Puts what was measured around an event into its report.
fn summarize_event(fleet: &Fleet, timeline: &Timeline, index: usize, event_report: &mut EventReport) {
    let metrics = &fleet.metrics;
    let Timeline { steady_ms, event_ms, after_ms, .. } = *timeline;
    let part = part_before(index);
    let starts = BEGIN_MS + steady_ms + (steady_ms + event_ms + after_ms) * index as f64;
    // A request that was under way when the event began is the event's.
    let (mut before, mut windows) = metrics.close_part(part, starts + steady_ms);
    let quiet = windows.len().saturating_sub(timeline.lead_windows()).max(1).min(windows.len());
    let lead = windows.split_off(quiet);
    before.worth = sum(&windows);
    let (mut during, middle) = metrics.close_part(part + 1, starts + steady_ms + event_ms);
    let middle: Vec<Worth> = lead.into_iter().chain(middle).collect();
    during.worth = sum(&middle);
    let (after, rest) = metrics.close_part(part + 2, starts + steady_ms + event_ms + after_ms);
    let share = before.worth.share();
    let window_s = fleet.scenario.run.window_s;
    let lost_s = |windows: &[Worth]| windows.iter().map(|w| (share - w.share()) * window_s).sum::<f64>();
    event_report.lost_s = [lost_s(&middle), lost_s(&rest)];
    windows.extend(middle.into_iter().chain(rest));
    event_report.before = before;
    event_report.during = during;
    event_report.after = after;
    event_report.windows = windows;
    event_report.in_force = metrics.propagation(&[part + 1, part + 2]);
    event_report.not_in_force = fleet.endpoint_log.unfinished_of_parts(part + 1..=part + 2);
}

/// Changes of configuration that need a restart of every proxy, one on the heels of the other, each in force
/// within its time.
fn replace_all(fleet: &mut Fleet, starts: f64, lasts: f64) {
    let within = (fleet.scenario.target.in_force_within_s * 1000.0).min(lasts);
    let proxies = fleet.proxies.len();
    for round in 0..(lasts / within) as usize {
        for proxy in 0..proxies {
            let time = starts + within * (round as f64 + proxy as f64 / proxies as f64);
            fleet.event_queue.schedule(time, SimulationEvent::Step(ScenarioStep::Replace { proxy }));
        }
    }
}

/// Every fifth backend is restarted, spread over three quarters of the event.
fn release(fleet: &mut Fleet, starts: f64, lasts: f64) {
    let wave: Vec<usize> = (0..fleet.backends.len()).step_by(5).collect();
    for (i, &backend) in wave.iter().enumerate() {
        let time = starts + 0.75 * lasts * i as f64 / wave.len() as f64;
        fleet
            .event_queue
            .schedule(time, SimulationEvent::Step(ScenarioStep::Restart { backend: Some(backend) }));
    }
}

/// Schedules what an event does between `starts` and `ends`.
fn plan_event(fleet: &mut Fleet, name: &str, starts: f64, ends: f64) {
    let mut at =
        |time: f64, step: ScenarioStep| fleet.event_queue.schedule(time, SimulationEvent::Step(step));
    let lasts = ends - starts;
    // The first zone is of the first region.
    let zone = 0;
    match name {
        "zone lost and back" => {
            at(starts, ScenarioStep::Zone { zone, on: false });
            at(ends, ScenarioStep::Zone { zone, on: true });
        }
        "regions cut" => {
            at(starts, ScenarioStep::Cut { on: true });
            at(ends, ScenarioStep::Cut { on: false });
        }
        "whole list to all" => at(starts, ScenarioStep::Resync),
        "all proxies replaced" => replace_all(fleet, starts, lasts),
        "release" => release(fleet, starts, lasts),
        "all replaced in a release" => {
            // The new proxies find backends that are warming up or on their way out.
            release(fleet, starts, lasts);
            replace_all(fleet, starts + 0.5 * lasts, 0.5 * lasts);
        }
        "machines lost" => {
            // A rack: backends that stand side by side, and with them their proxies.
            let rack = (fleet.backends.len() / 36).max(1);
            for backend in 0..rack {
                at(
                    starts,
                    ScenarioStep::LoseMachine {
                        backend: Some(backend * 29 % fleet.backends.len()),
                        back: lasts,
                    },
                );
            }
        }
        "discovery down" => {
            at(starts, ScenarioStep::Discovery { on: false });
            at(ends, ScenarioStep::Discovery { on: true });
        }
        _ => {}
    }
    if matches!(name, "changes" | "regions cut" | "discovery down") {
        schedule_changes(fleet, starts, ends);
    }
}

/// Changes, restarts and lost machines at random instants, at the rates of the scenario.
fn schedule_changes(fleet: &mut Fleet, starts: f64, ends: f64) {
    let scenario = fleet.scenario;
    let per_ms = scenario.changes_per_s() / 1000.0;
    let target = &scenario.target;
    let share = |per_day: f64| per_day / target.changes_per_day.max(1e-9);
    let restarts = share(target.restarts_per_day);
    let failures = share(target.machine_failures_per_day);
    let mut time = starts;
    loop {
        time += -(1.0 - fleet.rng.random::<f64>()).ln() / per_ms;
        if per_ms <= 0.0 || time >= ends {
            break;
        }
        let kind = fleet.rng.random::<f64>();
        let step = if kind < restarts {
            ScenarioStep::Restart { backend: None }
        } else if kind < restarts + failures {
            ScenarioStep::LoseMachine { backend: None, back: scenario.backend.restart_s * 1000.0 }
        } else {
            ScenarioStep::Change
        };
        fleet.event_queue.schedule(time, SimulationEvent::Step(step));
    }
}
