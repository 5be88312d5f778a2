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

/// The same with some of the events only.
pub fn run_events(
    scenario: &Scenario,
    size: usize,
    seed: u64,
    events: &[&'static str],
) -> Result<Report, Invalid> {
    let r = &scenario.run;
    // Parts begin and end with windows.
    let window = r.window_s * 1000.0;
    let whole = |s: f64| (s * 1000.0 / window).ceil().max(1.0) * window;
    let (steady, event, after) = (whole(r.steady_s), whole(r.event_s), whole(r.after_s));
    let warm_up_rule = WarmUpRule {
        multiple: scenario.guarantee("fallMultiple"),
        within_ms: scenario.guarantee("fall").max(1.0),
    };
    let begin = 1000.0;
    let longest = scenario.of_classes("giveUp").into_iter().fold(0.0, f64::max);
    let lead = (longest / window).ceil() as usize;
    // The first part is the start, until the limits are learned, and the last is the end, until all is
    // answered.
    let metrics = Metrics::new(2 + 3 * events.len(), scenario.target.depth, begin, window, warm_up_rule);
    let mut fleet = Fleet::new(scenario, size, seed, metrics)?;
    let mut report = Report { size, seed, proxies: fleet.proxies.len(), ..Report::default() };
    let mut now = begin + steady;
    fleet.play_until(now)?;
    for (i, &name) in events.iter().enumerate() {
        let part = 1 + 3 * i;
        let (starts, ends, over) = (now + steady, now + steady + event, now + steady + event + after);
        for (step, at) in [(part, now), (part + 1, starts), (part + 2, ends)] {
            fleet.event_queue.schedule(at, SimulationEvent::Step(ScenarioStep::Part(step)));
        }
        plan_event(&mut fleet, name, starts, ends);
        if name == "regions cut" {
            fleet.play_until(ends)?;
            fleet.checks.lost_while_cut += fleet.lost_while_cut();
        }
        fleet.play_until(over)?;
        now = over;
        report.events.push(EventReport { name, ..EventReport::default() });
    }
    fleet.event_queue.schedule(now, SimulationEvent::Step(ScenarioStep::Part(1 + 3 * events.len())));
    // What is still on its way comes, so that lists and requests can be judged.
    fleet.play_until(now + whole(longest.max(5000.0) / 1000.0))?;
    fleet.checks.lists_behind = fleet.instances_behind();
    for (i, event_report) in report.events.iter_mut().enumerate() {
        let (part, starts) = (1 + 3 * i, begin + steady + (steady + event + after) * i as f64);
        let metrics = &fleet.metrics;
        // A request that was under way when the event began is the event's.
        let (mut before, mut windows) = metrics.close_part(part, starts + steady);
        let lead = windows.split_off(windows.len().saturating_sub(lead).max(1).min(windows.len()));
        before.worth = sum(&windows);
        let (mut during, middle) = metrics.close_part(part + 1, starts + steady + event);
        let middle: Vec<Worth> = lead.into_iter().chain(middle).collect();
        during.worth = sum(&middle);
        let (later, rest) = metrics.close_part(part + 2, starts + steady + event + after);
        let share = before.worth.share();
        let lost = |windows: &[Worth]| windows.iter().map(|w| (share - w.share()) * r.window_s).sum::<f64>();
        event_report.lost_s = [lost(&middle), lost(&rest)];
        windows.extend(middle.into_iter().chain(rest));
        (event_report.before, event_report.during, event_report.after) = (before, during, later);
        event_report.windows = windows;
        event_report.in_force = metrics.propagation(&[part + 1, part + 2]);
        let of = |c: &&fleet::endpoint_log::Change| c.missing > 0 && (part + 1..=part + 2).contains(&c.part);
        event_report.not_in_force = fleet.endpoint_log.changes.iter().filter(of).count();
    }
    report.played_s = (fleet.now - begin) / 1000.0;
    report.decisions = fleet.metrics.decisions;
    report.checks = fleet.checks;
    Ok(report)
}

/// EndpointLog of configuration that need a restart of every proxy, one on the heels of the other, each in force
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
    let scenario = fleet.scenario;
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
        let per_ms = scenario.changes_per_s() / 1000.0;
        let t = &scenario.target;
        let share = |per_day: f64| per_day / t.changes_per_day.max(1e-9);
        let (restarts, failures) = (share(t.restarts_per_day), share(t.machine_failures_per_day));
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
}
