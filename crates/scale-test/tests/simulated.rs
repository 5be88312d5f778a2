//! The hollow fleet on virtual time: the same for a seed, and what must hold exactly. No clock decides here.

use foldhitch_scale_test::fit;
use foldhitch_scale_test::scenario::Scenario;
use foldhitch_scale_test::simulated::{self, Checks, EVENTS, Report};
use std::sync::OnceLock;

const TARGET: &str = include_str!("../scenarios/target.toml");
const SIZE: usize = 60;

/// The target's scenario, cut short.
fn scenario() -> Scenario {
    let mut s = Scenario::parse(TARGET).expect("sound");
    (s.run.steady_s, s.run.event_s, s.run.after_s) = (4.0, 3.0, 3.0);
    s.run.simulated_calls_per_s_per_backend = 16.0;
    s
}

/// All events at CI size, played once for all tests.
fn played() -> &'static Report {
    static REPORT: OnceLock<Report> = OnceLock::new();
    REPORT.get_or_init(|| simulated::run(&scenario(), SIZE, 7).expect("sound"))
}

#[test]
fn the_same_seed_gives_the_same_decisions_and_another_seed_others() {
    let again = simulated::run(&scenario(), SIZE, 7).expect("sound");
    assert_eq!(played(), &again);
    let other = simulated::run(&scenario(), SIZE, 8).expect("sound");
    assert_ne!(played().decisions, other.decisions);
}

fn sound(checks: &Checks) {
    let Checks { sent_after_told, sent_past_grace, sent_unlisted, sent_after_end, .. } = *checks;
    assert_eq!((sent_after_told, sent_past_grace, sent_unlisted, sent_after_end), (0, 0, 0, 0), "{checks:?}");
    assert_eq!((checks.lost_while_cut, checks.lists_behind, checks.never_ended), (0, 0, 0), "{checks:?}");
    // Who has not been told of a start can't spare the backend.
    assert_eq!(checks.cold_falls_told, 0, "{checks:?}");
    assert!(checks.cold_worst > 0.0, "{checks:?}");
}

/// Nobody sends to what it was told is draining, gone or unlisted; the last good list holds while regions are
/// cut from each other; all end at the newest list; every request is ended; cold backends stay under the sum
/// of all copies.
#[test]
fn the_rules_hold_through_all_events() {
    let report = played();
    assert_eq!(report.events.iter().map(|e| e.name).collect::<Vec<_>>(), EVENTS);
    assert!(report.checks.cold_starts > 10 && report.checks.cold_calls > 100, "{:?}", report.checks);
    assert!(report.events.iter().any(|e| e.during.control.changes > 0));
    sound(&report.checks);
}

/// The same of the target's fleet, at few calls and for a short time.
#[test]
fn the_rules_hold_in_a_fleet_of_720() {
    let mut s = scenario();
    (s.run.steady_s, s.run.event_s, s.run.after_s) = (1.0, 3.0, 2.0);
    s.run.simulated_calls_per_s_per_backend = 2.0;
    let report = simulated::run_events(&s, 720, 7, &["release", "regions cut"]).expect("sound");
    assert!(report.proxies >= 720 && report.checks.cold_starts > 100, "{:?}", report.checks);
    sound(&report.checks);
}

/// A change is in force at the last proxy after what discovery takes, and once the regions are joined again
/// where they were cut.
#[test]
fn changes_come_into_force_everywhere() {
    let s = scenario();
    let d = &s.discovery;
    let most = d.notice_ms + d.spread_ms[1] + d.region_ms;
    for event in &played().events {
        assert_eq!(event.not_in_force, 0, "{}", event.name);
        let late = match event.name {
            "regions cut" | "discovery down" => 1000.0 * s.run.event_s,
            _ => d.silent_notice_ms,
        };
        // Three digits of a histogram.
        assert!(event.in_force.max <= (most + late) * 1.001, "{}: {:?}", event.name, event.in_force);
    }
    let quiet = &played().events[0].in_force;
    assert!(quiet.count > 10 && quiet.p50 <= most * 1.001, "{quiet:?}");
}

/// Every request that a client made stands in one window with one end.
#[test]
fn every_request_is_counted_once() {
    for event in &played().events {
        for w in &event.windows {
            assert_eq!(w.requests, w.in_time + w.late + w.refused + w.failed, "{}: {w:?}", event.name);
            assert!(w.served <= w.asked + 1e-9);
        }
        assert!(event.during.worth.requests > 0, "{}", event.name);
    }
}

/// Backends that bear little while cold, and copies that know it: their sum stays under what chance allows,
/// also where new copies meet cold backends.
#[test]
fn cold_backends_are_spared_by_the_sum_of_all_copies() {
    let mut s = scenario();
    (s.backend.cold_capacity, s.backend.cold_s) = (0.05, 60.0);
    let guarantees = s.settings["guarantees"].as_object_mut().expect("a table");
    guarantees.insert("cold".to_string(), 60_000.0.into());
    guarantees.insert("coldFrom".to_string(), 0.05.into());
    guarantees.insert("fallMultiple".to_string(), 1.0.into());
    s.run.simulated_calls_per_s_per_backend = 64.0;
    // Many copies to few services: each has few calls out, so that only the budget spares the cold.
    (s.target.services, s.target.depth) = (2, 2);
    let events = ["release", "zone lost and back", "all replaced in a release"];
    for (size, seed) in [(20, 1), (60, 2), (80, 3)] {
        let report = simulated::run_events(&s, size, seed, &events).expect("sound");
        sound(&report.checks);
    }
}

/// A cold backend that gets too much falls, and that is seen: copies that were told of no cold start spare
/// none.
#[test]
fn a_cold_backend_that_gets_too_much_falls() {
    let mut s = scenario();
    (s.backend.cold_capacity, s.backend.cold_s) = (0.001, 600.0);
    (s.backend.slots, s.backend.work_ms) = (8, 400.0);
    let guarantees = s.settings["guarantees"].as_object_mut().expect("a table");
    guarantees.insert("coldFrom".to_string(), 1.0.into());
    let report = simulated::run_events(&s, SIZE, 7, &["release"]).expect("sound");
    assert!(report.checks.cold_falls > 0 && report.checks.cold_worst > 1.0, "{:?}", report.checks);
}

#[test]
fn a_line_is_fitted() {
    let exact = fit::line(&[(90.0, 1.9), (180.0, 2.8), (360.0, 4.6), (720.0, 8.2)]).expect("a line");
    assert!((exact.slope - 0.01).abs() < 1e-12 && (exact.intercept - 1.0).abs() < 1e-9);
    assert!(exact.residual < 1e-9 && exact.slope_error < 1e-9 && exact.points == 4);
    assert!((exact.at(2880.0) - 29.8).abs() < 1e-9);
    // Worked out by hand: y = 0.5 + 1.4 x, residuals 0.1, -0.3, 0.3, -0.1.
    let noisy = fit::line(&[(0.0, 0.6), (1.0, 1.6), (2.0, 3.6), (3.0, 4.6)]).expect("a line");
    assert!((noisy.slope - 1.4).abs() < 1e-12 && (noisy.intercept - 0.5).abs() < 1e-12);
    assert!((noisy.residual - 0.1_f64.sqrt()).abs() < 1e-12);
    assert!((noisy.slope_error - 0.02_f64.sqrt()).abs() < 1e-12);
    assert!((noisy.intercept_error - 0.07_f64.sqrt()).abs() < 1e-12);
    let two = fit::line(&[(1.0, 1.0), (2.0, 3.0)]).expect("a line");
    assert_eq!((two.slope, two.intercept, two.slope_error), (2.0, -1.0, 0.0));
    for none in [&[][..], &[(1.0, 1.0)], &[(1.0, 1.0), (1.0, 2.0)], &[(1.0, f64::NAN), (2.0, 1.0)]] {
        assert_eq!(fit::line(none), None);
    }
}
