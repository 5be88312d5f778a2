//! The simulated fleet on virtual time: reproducibility for a seed, and invariants. No test depends on a real
//! clock.

use foldhitch_scale_test::fit;
use foldhitch_scale_test::scenario::Scenario;
use foldhitch_scale_test::simulated::{self, Checks, EVENTS, Report};
use std::sync::OnceLock;

const TARGET_SCENARIO: &str = include_str!("../scenarios/target.toml");
const BACKENDS: usize = 60;

/// The target's scenario with shorter times and fewer calls.
fn scenario() -> Scenario {
    let mut scenario = Scenario::parse(TARGET_SCENARIO).expect("the target scenario is valid");
    (scenario.run.steady_s, scenario.run.event_s, scenario.run.after_s) = (4.0, 3.0, 3.0);
    scenario.run.simulated_calls_per_s_per_backend = 16.0;
    scenario
}

/// The report of all events at the size for CI, run once for all tests.
fn full_report() -> &'static Report {
    static REPORT: OnceLock<Report> = OnceLock::new();
    REPORT.get_or_init(|| simulated::run(&scenario(), BACKENDS, 7).expect("the scenario is valid"))
}

#[test]
fn decisions_repeat_only_for_the_same_seed() {
    let repeated = simulated::run(&scenario(), BACKENDS, 7).expect("the scenario is valid");
    assert_eq!(full_report(), &repeated);

    let other = simulated::run(&scenario(), BACKENDS, 8).expect("the scenario is valid");
    assert_ne!(full_report().decisions, other.decisions);
}

fn assert_invariants(checks: &Checks) {
    let Checks { sent_after_told, sent_past_grace, sent_unlisted, sent_after_end, .. } = *checks;
    assert_eq!((sent_after_told, sent_past_grace, sent_unlisted, sent_after_end), (0, 0, 0, 0), "{checks:?}");
    assert_eq!((checks.lost_while_cut, checks.lists_behind, checks.never_ended), (0, 0, 0), "{checks:?}");
    // Only proxies that know of a start can limit their load on the backend.
    assert_eq!(checks.cold_falls_told, 0, "{checks:?}");
    assert!(checks.cold_worst > 0.0, "{checks:?}");
}

/// Guards against attempts to draining, removed or unlisted backends, endpoints lost during a partition,
/// proxies with an old list at the end, requests without a final answer, and overload of cold backends by the
/// sum of all proxies.
#[test]
fn invariants_hold_through_all_events() {
    let report = full_report();
    assert_eq!(report.events.iter().map(|e| e.name).collect::<Vec<_>>(), EVENTS);
    assert!(report.checks.cold_starts > 10 && report.checks.cold_calls > 100, "{:?}", report.checks);
    assert!(report.events.iter().any(|e| e.during.control.changes > 0));
    assert_invariants(&report.checks);
}

/// The same invariants for a fleet of the target's size, with few calls and short times.
#[test]
fn invariants_hold_with_720_backends() {
    let mut scenario = scenario();
    (scenario.run.steady_s, scenario.run.event_s, scenario.run.after_s) = (1.0, 3.0, 2.0);
    scenario.run.simulated_calls_per_s_per_backend = 2.0;

    let report =
        simulated::run_events(&scenario, 720, 7, &["release", "regions cut"]).expect("the scenario is valid");

    assert!(report.proxies >= 720 && report.checks.cold_starts > 100, "{:?}", report.checks);
    assert_invariants(&report.checks);
}

/// Guards against changes that don't reach every proxy: the last one must have a change within discovery's
/// delays or, after a partition or an outage of discovery, once the event is over.
#[test]
fn changes_reach_every_proxy_in_time() {
    let scenario = scenario();
    let discovery = &scenario.discovery;
    let max_ms = discovery.notice_ms + discovery.spread_ms[1] + discovery.region_ms;

    for event in &full_report().events {
        assert_eq!(event.not_in_force, 0, "{}", event.name);
        let extra_ms = match event.name {
            "regions cut" | "discovery down" => 1000.0 * scenario.run.event_s,
            _ => discovery.silent_notice_ms,
        };
        // Histograms have three significant digits.
        assert!(event.in_force.max <= (max_ms + extra_ms) * 1.001, "{}: {:?}", event.name, event.in_force);
    }

    let quiet = &full_report().events[0].in_force;
    assert!(quiet.count > 10 && quiet.p50 <= max_ms * 1.001, "{quiet:?}");
}

/// Guards against requests that are lost or counted twice: each is in one window with one outcome.
#[test]
fn every_request_is_counted_once() {
    for event in &full_report().events {
        for window in &event.windows {
            assert_eq!(
                window.requests,
                window.in_time + window.late + window.refused + window.failed,
                "{}: {window:?}",
                event.name
            );
            assert!(window.served <= window.asked + 1e-9);
        }
        assert!(event.during.worth.requests > 0, "{}", event.name);
    }
}

/// Guards against overload of cold backends with little capacity by the sum of proxies that know of the
/// start: their load must stay within random variation, also when new proxies meet cold backends.
#[test]
fn fleet_does_not_overload_cold_backends() {
    let mut scenario = scenario();
    (scenario.backend.cold_capacity, scenario.backend.cold_s) = (0.05, 60.0);
    let guarantees = scenario.settings["guarantees"].as_object_mut().expect("guarantees are a table");
    guarantees.insert("cold".to_string(), 60_000.0.into());
    guarantees.insert("coldFrom".to_string(), 0.05.into());
    guarantees.insert("fallMultiple".to_string(), 1.0.into());
    scenario.run.simulated_calls_per_s_per_backend = 64.0;
    // With many proxies and few services each proxy has few calls in flight, so that only the warm-up budget
    // protects cold backends.
    (scenario.target.services, scenario.target.depth) = (2, 2);

    let events = ["release", "zone lost and back", "all replaced in a release"];
    for (size, seed) in [(20, 1), (60, 2), (80, 3)] {
        let report = simulated::run_events(&scenario, size, seed, &events).expect("the scenario is valid");
        assert_invariants(&report.checks);
    }
}

/// Guards against an overload that goes undetected: proxies configured without slow start send a cold backend
/// more than it can process, so that it must fail.
#[test]
fn overloaded_cold_backend_fails() {
    let mut scenario = scenario();
    (scenario.backend.cold_capacity, scenario.backend.cold_s) = (0.001, 600.0);
    (scenario.backend.slots, scenario.backend.work_ms) = (8, 400.0);
    let guarantees = scenario.settings["guarantees"].as_object_mut().expect("guarantees are a table");
    guarantees.insert("coldFrom".to_string(), 1.0.into());

    let report = simulated::run_events(&scenario, BACKENDS, 7, &["release"]).expect("the scenario is valid");

    assert!(report.checks.cold_falls > 0 && report.checks.cold_worst > 1.0, "{:?}", report.checks);
}

#[test]
fn line_fit_matches_known_values() {
    let exact = fit::line(&[(90.0, 1.9), (180.0, 2.8), (360.0, 4.6), (720.0, 8.2)])
        .expect("the points determine a line");
    assert!((exact.slope - 0.01).abs() < 1e-12 && (exact.intercept - 1.0).abs() < 1e-9);
    assert!(exact.residual < 1e-9 && exact.slope_error < 1e-9 && exact.points == 4);
    assert!((exact.at(2880.0) - 29.8).abs() < 1e-9);

    // Calculated by hand: y = 0.5 + 1.4 x, residuals 0.1, -0.3, 0.3, -0.1.
    let noisy =
        fit::line(&[(0.0, 0.6), (1.0, 1.6), (2.0, 3.6), (3.0, 4.6)]).expect("the points determine a line");
    assert!((noisy.slope - 1.4).abs() < 1e-12 && (noisy.intercept - 0.5).abs() < 1e-12);
    assert!((noisy.residual - 0.1_f64.sqrt()).abs() < 1e-12);
    assert!((noisy.slope_error - 0.02_f64.sqrt()).abs() < 1e-12);
    assert!((noisy.intercept_error - 0.07_f64.sqrt()).abs() < 1e-12);

    let two_points = fit::line(&[(1.0, 1.0), (2.0, 3.0)]).expect("the points determine a line");
    assert_eq!((two_points.slope, two_points.intercept, two_points.slope_error), (2.0, -1.0, 0.0));

    for invalid in [&[][..], &[(1.0, 1.0)], &[(1.0, 1.0), (1.0, 2.0)], &[(1.0, f64::NAN), (2.0, 1.0)]] {
        assert_eq!(fit::line(invalid), None);
    }
}
