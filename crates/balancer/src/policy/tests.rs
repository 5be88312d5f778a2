//! Unit tests of the learned concurrency limit.

use super::concurrency_limit::ConcurrencyLimit;
use crate::collections::Quota;

const OBJECTIVE_MS: f64 = 1000.0;
/// The mean latency at which the limit is full, as it follows from the objective.
const TARGET_MS: f64 = 300.0;

/// Returns a limit of 10 for one class, with `in_flight` calls in flight.
fn limit_with(in_flight: usize) -> ConcurrencyLimit {
    let mut limit = ConcurrencyLimit::default();
    limit.start_class(0, None, OBJECTIVE_MS);
    limit.raise_to(10.0);
    for calls in 1..=in_flight {
        limit.begin_call(0, Quota::Within, calls as f64);
    }
    limit
}

/// Records `calls` served calls with a latency, over the time that they take by Little's law.
fn serve(limit: &mut ConcurrencyLimit, calls: usize, latency: f64, in_flight: f64) {
    for _ in 0..calls {
        limit.record_served(0, latency);
        limit.mean_latency.init_or_update(latency, 0.02);
    }
    limit.advance(calls as f64 * latency / in_flight, 1.0);
}

#[test]
fn saturated_limit_grows_by_at_most_one_step() {
    let mut limit = limit_with(10);
    serve(&mut limit, 20, 10.0, 10.0);
    assert_eq!(limit.total(), 15.0);
}

#[test]
fn unsaturated_limit_does_not_grow() {
    let mut limit = limit_with(2);
    serve(&mut limit, 20, 10.0, 2.0);
    assert_eq!(limit.total(), 10.0);
}

#[test]
fn queue_in_both_views_cuts_by_at_most_one_step() {
    let mut limit = limit_with(10);
    // Fast responses give a low baseline, so that the target follows from the objective.
    serve(&mut limit, 20, 10.0, 10.0);
    let before = limit.total();
    serve(&mut limit, 20, 4.0 * TARGET_MS, 10.0);
    assert!(limit.total() < before && limit.total() >= 0.7 * before, "{} of {before}", limit.total());
}

#[test]
fn unanswered_calls_alone_do_not_cut_the_limit() {
    let mut limit = limit_with(10);
    for _ in 0..20 {
        limit.record_served(0, 10.0);
    }
    // Much longer than the responses take: the calls in flight are unresponsive.
    limit.advance(60_000.0, 1.0);
    assert_eq!(limit.total(), 10.0);
}

#[test]
fn timeouts_are_drops_only_while_responses_are_slow() {
    let timed_out = |latency: f64| {
        let mut limit = limit_with(2);
        serve(&mut limit, 20, 10.0, 2.0);
        limit.window.timeouts = 20.0;
        serve(&mut limit, 20, latency, 2.0);
        limit.total()
    };
    assert_eq!(timed_out(10.0), 10.0);
    assert!(timed_out(2.0 * OBJECTIVE_MS) < 10.0);
}

#[test]
fn window_with_few_outcomes_does_not_change_the_limit() {
    let mut limit = limit_with(10);
    serve(&mut limit, 9, 10.0, 10.0);
    assert_eq!(limit.total(), 10.0);
    serve(&mut limit, 1, 10.0, 10.0);
    assert_eq!(limit.total(), 15.0);
}

#[test]
fn limit_scales_with_capacity_but_never_below_one() {
    let mut limit = limit_with(0);
    limit.scale(4.0, 2.0);
    assert_eq!(limit.total(), 5.0);
    limit.scale(4.0, 0.1);
    assert_eq!(limit.total(), 1.0);
}

#[test]
fn continuing_class_keeps_latencies_but_no_calls() {
    let mut limit = limit_with(3);
    serve(&mut limit, 20, 10.0, 3.0);
    limit.start_class(1, Some(0), 2.0 * OBJECTIVE_MS);
    let (old, new) = (&limit.classes[0], &limit.classes[1]);
    assert_eq!((new.profile, new.objective_ms), (old.profile, 2.0 * OBJECTIVE_MS));
    assert_eq!((old.in_flight.total(), new.in_flight.total()), (3.0, 0.0));
    assert_eq!(new.expected(), 10.0);
    limit.start_class(2, None, OBJECTIVE_MS);
    assert_eq!(limit.classes[2].expected(), OBJECTIVE_MS, "nothing is known yet");
}
