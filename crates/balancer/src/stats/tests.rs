//! Unit tests of the statistics.

use super::{
    Backoff, CappedMean, DecayingPeak, LatencyProfile, LoadWindow, MovingAverage, PiController, PriorMean,
    TimedExclusion, TokenBucket, low_discrepancy_point,
};

#[test]
fn a_moving_average_weighs_each_sample() {
    let mut average = MovingAverage::new(10.0);
    average.update(20.0, 0.5);
    assert_eq!(average.value(), 15.0);
    average.update_as_one_of(0.0, 3.0);
    assert_eq!(average.value(), 10.0);
    average.decay(1.0, 4.0);
    assert_eq!(average.value(), 7.5);
    let mut started = MovingAverage::default();
    started.init_or_update(8.0, 0.25);
    started.init_or_update(4.0, 0.25);
    assert_eq!(started.value(), 7.0);
}

#[test]
fn a_capped_mean_is_hardly_moved_by_a_single_large_sample() {
    let mut mean = CappedMean::default();
    for _ in 0..10 {
        mean.record(1.0, 10.0, 6.0);
    }
    assert_eq!((mean.value(), mean.samples()), (1.0, 10.0));
    mean.record(6.0, 10.0, 6.0);
    assert_eq!(mean.value(), 1.5);
    let mut other = CappedMean::default();
    for _ in 0..10 {
        other.record(1.0, 10.0, 6.0);
    }
    other.record(20.0, 10.0, 2.0);
    assert_eq!(other.value(), 1.3, "20 counts as twice a tenth of itself");
}

#[test]
fn a_backoff_doubles_up_to_its_limit_and_starts_again() {
    let mut backoff = Backoff::default();
    let delays: Vec<f64> = (0..5).map(|_| backoff.next(2.0, 3)).collect();
    assert_eq!(delays, [2.0, 4.0, 8.0, 16.0, 16.0]);
    backoff.reset();
    assert_eq!(backoff.next(2.0, 3), 2.0);
}

#[test]
fn a_controller_stays_between_0_and_1_and_keeps_its_integral() {
    let mut controller = PiController::default();
    controller.update(0.25, 1000.0, 1.0, 0.5);
    assert_eq!(controller.output(), 0.375);
    controller.update(100.0, 1000.0, 1.0, 0.5);
    assert_eq!(controller.output(), 1.0);
    controller.update(0.0, 1000.0, 1.0, 0.5);
    assert_eq!(controller.output(), 1.0, "without an error the integral stays the same");
    controller.update(-100.0, 1000.0, 1.0, 0.5);
    assert_eq!(controller.output(), 0.0);
}

#[test]
fn bucket_gives_its_capacity_then_its_refill_rate() {
    let mut bucket = TokenBucket::with_tokens(f64::MAX);
    let mut try_take_at = |now_ms| {
        bucket.refill(now_ms, 2.0, 3.0);
        bucket.try_take()
    };
    assert_eq!((0..5).filter(|_| try_take_at(0.0)).count(), 3);
    assert!(!try_take_at(499.0), "at 2 tokens per second the next one takes 500 ms");
    assert!(try_take_at(500.0));
    assert!(!try_take_at(500.0));
}

#[test]
fn returned_token_can_be_taken_again() {
    let mut bucket = TokenBucket::with_tokens(1.0);
    assert!(bucket.try_take());
    assert!(!bucket.try_take());
    bucket.return_token();
    assert!(bucket.try_take());
}

#[test]
fn debt_is_repaid_before_a_token_is_available() {
    let mut bucket = TokenBucket::with_tokens(0.5);
    bucket.take();
    bucket.add_tokens(1.0, 1.0);
    assert!(!bucket.has_token());
    bucket.add_tokens(1.0, 1.0);
    assert!(bucket.has_token());
}

#[test]
fn peak_decays_until_a_higher_value() {
    let mut peak = DecayingPeak::default();
    peak.record(8.0);
    peak.record(4.0);
    assert_eq!(peak.value(), 8.0);
    peak.record_after(1.0, 1.0, 4.0);
    assert_eq!(peak.value(), 6.0);
    peak.record_after(7.0, 1.0, 4.0);
    assert_eq!(peak.value(), 7.0);
}

#[test]
fn an_exclusion_lasts_longer_each_time_until_it_is_ended() {
    let mut exclusion = TimedExclusion::default();
    assert!(!exclusion.is_active() && exclusion.is_due(0.0));
    exclusion.extend(100.0, 10.0, 1);
    assert!(exclusion.is_active() && exclusion.began_after(99.0) && !exclusion.began_after(100.0));
    assert!(!exclusion.is_due(109.0) && exclusion.is_due(110.0));
    exclusion.extend(110.0, 10.0, 1);
    assert!(!exclusion.is_due(129.0) && exclusion.is_due(130.0));
    exclusion.end();
    assert!(!exclusion.is_active() && !exclusion.began_after(0.0));
    exclusion.extend(200.0, 10.0, 1);
    assert!(exclusion.is_due(210.0), "the backoff was reset");
}

#[test]
fn a_baseline_follows_the_mean_down_at_once_and_up_slowly() {
    let mut profile = LatencyProfile::default();
    for latency in [4.0, 2.0] {
        profile.record(latency, 10.0, 6.0, 3.0);
    }
    assert_eq!((profile.mean(), profile.baseline(), profile.samples()), (3.0, 3.0, 2.0));
    profile.record(6.0, 10.0, 6.0, 3.0);
    assert_eq!((profile.mean(), profile.baseline()), (4.0, 3.0));
    assert_eq!([2.0, 80.0].map(|latency| profile.ratio_to_mean(latency, 6.0)), [0.5, 6.0]);
    profile.update_baseline(0.5);
    assert_eq!(profile.baseline(), 3.5);
    for _ in 0..10 {
        profile.record(1.0, 10.0, 6.0, 3.0);
    }
    assert_eq!(profile.baseline(), profile.mean());
}

#[test]
fn load_window_gives_the_mean_latency_by_both_views() {
    let mut window = LoadWindow::default();
    assert_eq!((window.latency_by_load(), window.latency_by_responses()), (0.0, 0.0));
    window.advance(100.0, 2.0, 0.5);
    window.record_response(1.5);
    window.record_response(0.5);
    window.drops += 1.0;
    window.timeouts += 1.0;
    assert_eq!((window.elapsed_ms(), window.outcomes()), (100.0, 4.0));
    assert_eq!((window.latency_by_load(), window.latency_by_responses()), (25.0, 1.0));
    assert_eq!(window.responses_per_server_ms(), 0.01);
}

#[test]
fn prior_counts_as_a_fixed_number_of_samples() {
    let mut mean = PriorMean::new(1.0);
    mean.record(6.0, 2.0, 4.0);
    assert_eq!((mean.value(), mean.samples()), (2.0, 1.0));
    for _ in 0..3 {
        mean.record(2.0, 2.0, 4.0);
    }
    assert_eq!((mean.value(), mean.samples()), (2.0, 2.0));
}

#[test]
fn consecutive_points_leave_no_large_gap() {
    let mut points: Vec<f64> = (0..50).map(|index| low_discrepancy_point(f64::from(index))).collect();
    points.sort_by(f64::total_cmp);
    let gaps = points.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.fold(0.0, f64::max) < 2.0 / 50.0);
}
