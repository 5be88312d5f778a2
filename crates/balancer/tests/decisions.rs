//! Decisions of the balancer under overload, failures and reconfiguration of the fleet. Each test fails
//! without the mechanism that it names.

mod support;

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use std::collections::{BTreeMap, BTreeSet};
use support::*;

/// Returns settings with one idempotent class.
fn single_class_settings(instance_count: u32) -> Settings {
    settings(instance_count, vec![class(1000.0, 1.0, Idempotency::Idempotent)])
}

/// Submits `requests` requests, more than the limit admits, and returns the number of attempts in flight.
fn fill_limit(proxy: &mut ProxyHarness, class: usize, tenant: u16, requests: usize) -> usize {
    (0..requests).for_each(|_| {
        proxy.submit_request(class, tenant, 1e5);
    });
    proxy.attempts_in_flight().len()
}

/// Returns the number of attempts sent to each backend.
fn attempts_by_backend(proxy: &ProxyHarness) -> BTreeMap<BackendId, usize> {
    let mut counts = BTreeMap::new();
    proxy
        .requests
        .values()
        .flat_map(|record| &record.attempts)
        .for_each(|sent| *counts.entry(sent.backend).or_default() += 1);
    counts
}

/// Guards against a limit that starts too low for full traffic, or that does not grow while responses are
/// fast.
#[test]
fn used_limit_grows_while_responses_are_fast() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));

    let initial = fill_limit(&mut proxy, 0, 0, 400);
    assert!(initial >= 30, "the initial limit of {initial} rejects what ten idle backends could serve");

    for _ in 0..200 {
        proxy.advance_to(proxy.now_ms + 50.0);
        proxy
            .attempts_in_flight()
            .into_iter()
            .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
        proxy.forget_finished_requests();
        fill_limit(&mut proxy, 0, 0, 400);
    }
    let grown = proxy.attempts_in_flight().len();
    assert!(
        grown >= 4 * initial,
        "{initial} attempts in flight at first, {grown} after 10 s of fast responses"
    );
}

/// Guards against a limit that drifts while an instance is idle.
#[test]
fn unused_limit_stays() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));

    let initial = fill_limit(&mut ProxyHarness::new(single_class_settings(1), 1, endpoints(10)), 0, 0, 400);
    proxy.serve_steadily(10_000.0, 1, 0, 10.0);
    let after = fill_limit(&mut proxy, 0, 0, 400);

    assert!(after <= initial + 1, "limit {initial} at first, {after} after a time of low load");
}

/// Guards against a limit that shrinks a little each time a release removes a backend and adds it again.
#[test]
fn limit_survives_backends_that_leave_and_return() {
    let initial = fill_limit(&mut ProxyHarness::new(single_class_settings(1), 1, endpoints(10)), 0, 0, 400);
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));
    for removed in 1..=10 {
        let remaining: Vec<EndpointInfo> =
            endpoints(10).into_iter().filter(|e| e.backend != removed).collect();
        proxy.update_endpoints(EndpointListKind::Full, remaining);
        proxy.update_endpoints(EndpointListKind::Full, endpoints(10));
    }

    assert_eq!(fill_limit(&mut proxy, 0, 0, 400), initial);
}

/// Guards against a limit that ignores overload: slow responses, or a third of the attempts rejected by
/// backends.
#[test]
fn limit_falls_on_slow_or_rejected_responses() {
    for (latency_ms, outcome) in [(900.0, Outcome::Ok), (60.0, Outcome::Full)] {
        let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));

        proxy.serve_steadily(3000.0, 4, 0, 40.0);
        let before = fill_limit(&mut proxy, 0, 0, 400);
        for _ in 0..12 {
            proxy.advance_to(proxy.now_ms + latency_ms);
            for (i, (request, attempt, _)) in proxy.attempts_in_flight().into_iter().enumerate() {
                proxy.finish_attempt(request, attempt, if i % 3 == 0 { outcome } else { Outcome::Ok });
            }
            proxy.forget_finished_requests();
            fill_limit(&mut proxy, 0, 0, 400);
        }
        let after = proxy.attempts_in_flight().len();

        assert!(after < before * 3 / 4, "{outcome:?}: {before} attempts in flight before, {after} after");
    }
}

/// Guards against a limit that overshoots. The first responses after a change are the fast ones, and a limit
/// that grows on them alone ignores the attempts that are still in flight.
#[test]
fn few_fast_responses_do_not_raise_the_limit() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));

    let initial = fill_limit(&mut proxy, 0, 0, 400);
    for _ in 0..40 {
        proxy.advance_to(proxy.now_ms + 50.0);
        // Only the newest attempt finishes; all others stay in flight.
        if let Some((request, attempt, _)) = proxy.attempts_in_flight().pop() {
            proxy.finish_attempt(request, attempt, Outcome::Ok);
        }
    }
    let after = fill_limit(&mut proxy, 0, 0, 400);

    assert!(after <= initial + 1, "limit {initial} at first, {after} after a few fast responses");
}

/// Guards against a limit that stays high after the tier shrinks, until the latency rises.
#[test]
fn limit_shrinks_with_the_endpoint_list() {
    let admitted = |is_shrunk: bool| {
        let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(20));
        if is_shrunk {
            proxy.update_endpoints(EndpointListKind::Full, endpoints(5));
        }
        fill_limit(&mut proxy, 0, 0, 400)
    };
    let (full, shrunk) = (admitted(false), admitted(true));
    assert!(shrunk * 3 <= full, "{full} attempts in flight over 20 backends, {shrunk} over the remaining 5");
}

/// Guards against limits that stay up in a large fleet: each instance sees only a few responses in a window,
/// and that all of them are slow must be enough.
#[test]
fn limits_fall_on_few_slow_responses_per_instance() {
    let (instance_count, mut before, mut after) = (10, 0, 0);
    for instance_index in 0..instance_count {
        let mut proxy = ProxyHarness::new(
            Settings { instance_index, ..single_class_settings(instance_count) },
            1,
            endpoints(10),
        );
        before += fill_limit(
            &mut ProxyHarness::new(
                Settings { instance_index, ..single_class_settings(instance_count) },
                1,
                endpoints(10),
            ),
            0,
            0,
            100,
        );
        // 20 requests per second with a latency of 0.2 s and then 0.55 s; the target latency is 0.3 s.
        for n in 0..3000 {
            if n % 10 == 0 {
                proxy.submit_request(0, 0, 1e5);
            }
            proxy.advance_to(proxy.now_ms + 5.0);
            let latency_ms = if n < 1000 { 200.0 } else { 550.0 };
            for (request, attempt, sent) in proxy.attempts_in_flight() {
                if proxy.now_ms - sent.sent_at_ms >= latency_ms {
                    proxy.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            proxy.forget_finished_requests();
        }
        after += fill_limit(&mut proxy, 0, 0, 100);
    }
    assert!(
        after * 4 <= before * 3,
        "all instances admit {before} attempts at first and {after} when responses are slow"
    );
}

/// Guards against a limit that grows while backend queues fill up. Several instances together overload the
/// backends long before responses are late, at a latency of about a third of the objective.
#[test]
fn growing_backend_queues_keep_the_limit_down() {
    let mut proxy = ProxyHarness::new(single_class_settings(4), 1, endpoints(10));

    let before = fill_limit(&mut ProxyHarness::new(single_class_settings(4), 1, endpoints(10)), 0, 0, 100);
    proxy.serve_steadily(5000.0, 1, 0, 100.0);
    proxy.serve_steadily(10_000.0, 1, 0, 360.0);
    let after = fill_limit(&mut proxy, 0, 0, 100);

    assert!(
        after * 4 <= before * 5,
        "{before} attempts in flight at first, {after} after 10 s of growing queues"
    );
}

/// Guards against the ejection of backends in slow start as overloaded. A backend that is warming up takes
/// longer for the same work without having a queue.
#[test]
fn backends_slow_from_warm_up_stay_in_service() {
    let attempts_at_new_backends = |is_warming_up: bool| {
        let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(4));
        proxy.serve_steadily(5000.0, 1, 0, 100.0);
        let started_at_ms = if is_warming_up { proxy.now_ms } else { 0.0 };
        proxy.update_endpoints(
            EndpointListKind::Delta,
            (5..=12).map(|b| EndpointInfo { started_at_ms, ..endpoint(b) }).collect(),
        );
        let (start_ms, mut attempts) = (proxy.now_ms, 0);
        while proxy.now_ms < start_ms + 6000.0 {
            proxy.submit_request(0, 0, 1e5);
            proxy.advance_to(proxy.now_ms + 5.0);
            let warm_up_fraction = 0.12 + 0.88 * (proxy.now_ms - start_ms) / 20_000.0;
            for (request, attempt, sent) in proxy.attempts_in_flight() {
                attempts += usize::from(
                    sent.backend >= 5
                        && sent.sent_at_ms + 5.0 >= proxy.now_ms
                        && sent.sent_at_ms >= start_ms + 3000.0,
                );
                if proxy.now_ms - sent.sent_at_ms
                    >= if is_warming_up && sent.backend >= 5 { 100.0 / warm_up_fraction } else { 100.0 }
                {
                    proxy.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            proxy.forget_finished_requests();
        }
        attempts
    };
    let (warm, warming_up) = (attempts_at_new_backends(false), attempts_at_new_backends(true));
    assert!(warming_up * 5 >= warm, "{warming_up} attempts at backends in slow start, {warm} at warm ones");
}

/// Guards against a limit that counts backends in slow start in full. They can only take part of that, and
/// the rest would go to the warm backends.
#[test]
fn limit_grows_as_new_backends_warm_up() {
    let before =
        fill_limit(&mut ProxyHarness::new(single_class_settings(1), 1, endpoints(10)), 0, 0, 400) as f64;
    let growth = |age_ms: f64| {
        let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));
        let started_at_ms = proxy.now_ms;
        let new_endpoints = (11..=20).map(|b| EndpointInfo { started_at_ms, ..endpoint(b) });
        proxy.update_endpoints(EndpointListKind::Delta, new_endpoints.collect());
        proxy.advance_to(proxy.now_ms + age_ms);
        fill_limit(&mut proxy, 0, 0, 400) as f64 / before
    };
    let (at_once, warm) = (growth(0.0), growth(20_000.0));

    assert!(
        (1.05..1.2).contains(&at_once),
        "ten backends in slow start beside ten warm ones: {at_once} of the limit"
    );
    assert!((1.9..=2.1).contains(&warm), "twenty warm backends: {warm} of the limit");
}

/// Guards against two faults under overload: low priority takes slots from high priority, or high priority
/// takes all slots of the low-priority slice.
#[test]
fn low_priority_is_shed_first_and_keeps_its_slice() {
    let classes =
        vec![class(1000.0, 9.0, Idempotency::Idempotent), class(1000.0, 1.0, Idempotency::Idempotent)];
    let mut proxy = ProxyHarness::new(settings(1, classes), 1, endpoints(10));

    let total = fill_limit(&mut proxy, 1, 0, 400);
    let high = fill_limit(&mut proxy, 0, 0, 400) - total;
    // Past the total limit, the slice with a share of 0.9 still fills up to its own limit; the one with 0.1
    // does not.
    assert_eq!(high, (total as f64 * 0.9).ceil() as usize);
    assert_eq!(fill_limit(&mut proxy, 1, 0, 50), total + high);

    // After all attempts finish and high priority fills the limit, the low-priority slice still has its
    // share.
    proxy.advance_to(proxy.now_ms + 1000.0);
    proxy
        .attempts_in_flight()
        .into_iter()
        .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
    proxy.forget_finished_requests();
    let high = fill_limit(&mut proxy, 0, 0, 400);
    assert_eq!(fill_limit(&mut proxy, 1, 0, 400) - high, (high as f64 * 0.1).ceil() as usize);
}

/// Guards against the rejection of a tenant over its quota while there is spare capacity: its requests only
/// get a lower priority.
#[test]
fn tenant_over_quota_is_served_from_spare_capacity() {
    let mut settings = single_class_settings(1);
    settings.tenants = vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 10.0 }];
    let mut proxy = ProxyHarness::new(settings.clone(), 1, endpoints(10));

    let total = fill_limit(&mut proxy, 0, 0, 400);
    assert!(total >= 20, "spare capacity is not used: {total} attempts");
    assert_eq!(fill_limit(&mut proxy, 0, 1, 9), total + 9, "a tenant within its quota was rejected");

    // In later tiers the work for a request has already begun, so the priority stays.
    settings.tier = 1;
    let mut proxy = ProxyHarness::new(settings, 1, endpoints(10));
    let deep = fill_limit(&mut proxy, 0, 0, 400);
    assert_eq!(fill_limit(&mut proxy, 0, 1, 9), deep);
}

/// Guards against a queue that ignores priority, or that holds requests after their queue timeout.
#[test]
fn queue_is_sent_by_priority_and_rejected_in_time() {
    let classes =
        vec![class(1000.0, 9.0, Idempotency::NonIdempotent), class(1000.0, 1.0, Idempotency::NonIdempotent)];
    let mut proxy = ProxyHarness::new(settings(1, classes), 1, endpoints(5));

    // The low-priority slice fills the total limit and queues four more.
    let in_flight = fill_limit(&mut proxy, 1, 0, 24);
    let low: Vec<_> = proxy
        .requests
        .iter()
        .filter(|(_, record)| record.attempts.is_empty())
        .map(|(&request, _)| request)
        .collect();
    assert_eq!((in_flight, low.len()), (20, 4));

    // The high-priority slice fills its own share past the total limit.
    fill_limit(&mut proxy, 0, 0, 20);
    let high = *proxy
        .requests
        .iter()
        .find(|(_, record)| record.class == 0 && record.attempts.is_empty())
        .expect("a queued request of high priority")
        .0;
    proxy.advance_to(proxy.now_ms + 20.0);
    let (request, attempt, _) =
        proxy.attempts_in_flight().pop().expect("the newest attempt, of the high-priority slice");
    proxy.finish_attempt(request, attempt, Outcome::Ok);
    assert_eq!(proxy.requests[&high].attempts.len(), 1, "the first free slot goes to the highest priority");
    assert!(
        low.iter().all(|request| proxy.requests[request].attempts.is_empty()),
        "low priority was sent first because it arrived first"
    );

    proxy.advance_to(proxy.now_ms + 300.0);
    assert!(
        low.iter().all(|request| proxy.requests[request].ended.is_some_and(|e| e.1 == "rejected")),
        "low priority stayed queued past its timeout"
    );
}

/// Guards against requests that are sent at their deadline, when no response can be in time. This happens at
/// the end of a planned stop, where the remaining time is cut to nothing.
#[test]
fn request_past_its_deadline_is_rejected_at_once() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut proxy =
            ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, idempotency)]), 1, endpoints(10));

        let late = proxy.submit_request(0, 0, 0.0);
        assert_eq!(
            (proxy.requests[&late].attempts.len(), proxy.requests[&late].ended.map(|e| e.1)),
            (0, Some("rejected"))
        );

        let timely = proxy.submit_request(0, 0, 1.0);
        assert_eq!(proxy.requests[&timely].attempts.len(), 1);
    }
}

/// Guards against backends that are in the subset of no instance, and against instances that use the whole
/// tier at low load.
#[test]
fn subsets_together_cover_the_tier() {
    for (instance_count, backends) in [(10, 60), (40, 100), (3, 30)] {
        let mut instances_by_backend: BTreeMap<BackendId, usize> = BTreeMap::new();
        for instance_index in 0..instance_count {
            let mut proxy = ProxyHarness::new(
                Settings { instance_index, ..single_class_settings(instance_count) },
                1,
                endpoints(backends),
            );
            for _ in 0..400 {
                let request = proxy.submit_request(0, 0, 1e5);
                proxy.advance_to(proxy.now_ms + 5.0);
                proxy.finish_attempt(request, 0, Outcome::Ok);
            }
            let subset = attempts_by_backend(&proxy);
            assert!(
                instance_count < 4 || subset.len() * 2 < backends as usize,
                "instance {instance_index} of {instance_count} used {} backends",
                subset.len()
            );
            subset.keys().for_each(|&b| *instances_by_backend.entry(b).or_default() += 1);
        }
        assert_eq!(
            instances_by_backend.len(),
            backends as usize,
            "{instance_count} instances leave backends unused"
        );
    }
}

/// Guards against a subset that does not follow the load, or that narrows as soon as a burst ends.
#[test]
fn subset_widens_with_load_and_narrows_slowly() {
    let backends_used = |proxy: &mut ProxyHarness, duration_ms: f64| {
        let mut seen = BTreeSet::new();
        for _ in 0..(duration_ms / 50.0) as usize {
            proxy.submit_request(0, 0, 1e5);
            seen.extend(proxy.attempts_in_flight().iter().map(|s| s.2.backend));
            proxy.advance_to(proxy.now_ms + 50.0);
            proxy
                .attempts_in_flight()
                .into_iter()
                .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
            proxy.forget_finished_requests();
        }
        seen.len()
    };
    let mut proxy = ProxyHarness::new(single_class_settings(40), 1, endpoints(80));

    let quiet = backends_used(&mut proxy, 20_000.0);
    proxy.serve_steadily(6000.0, 6, 0, 200.0);
    let after = backends_used(&mut proxy, 10_000.0);
    assert!(after > 2 * quiet, "{quiet} backends at low load, {after} after a burst");

    backends_used(&mut proxy, 120_000.0);
    let later = backends_used(&mut proxy, 20_000.0);
    assert!(later < after, "{after} backends after the burst, {later} two minutes later");
}

/// Guards against equal load on backends of different speed.
#[test]
fn load_follows_the_speed_of_each_backend() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));
    let mut attempts: BTreeMap<bool, usize> = BTreeMap::new();

    for _ in 0..4000 {
        proxy.submit_request(0, 0, 1e5);
        proxy.advance_to(proxy.now_ms + 5.0);
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            let is_slow = sent.backend <= 5;
            if proxy.now_ms - sent.sent_at_ms >= if is_slow { 120.0 } else { 40.0 } {
                *attempts.entry(is_slow).or_default() += 1;
                proxy.finish_attempt(request, attempt, Outcome::Ok);
            }
        }
        proxy.forget_finished_requests();
    }

    assert!(attempts[&false] > 2 * attempts[&true], "attempts by whether the backend is slow: {attempts:?}");
}

/// Submits a request every 5 ms for `duration_ms`. `outcome_of` returns the outcome of an attempt, or `None`
/// while it stays in flight. Returns the number of attempts sent to each backend.
fn run_for(
    proxy: &mut ProxyHarness,
    duration_ms: f64,
    outcome_of: impl Fn(&SentAttempt, f64) -> Option<Outcome>,
) -> BTreeMap<BackendId, usize> {
    let (end_ms, mut attempts) = (proxy.now_ms + duration_ms, BTreeMap::new());
    while proxy.now_ms < end_ms {
        proxy.submit_request(0, 0, 4000.0);
        let submitted_at_ms = proxy.now_ms;
        proxy.advance_to(submitted_at_ms + 5.0);
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            if sent.sent_at_ms >= submitted_at_ms {
                *attempts.entry(sent.backend).or_default() += 1;
            }
            if let Some(outcome) = outcome_of(&sent, proxy.now_ms) {
                proxy.finish_attempt(request, attempt, outcome);
            }
        }
        proxy.forget_finished_requests();
    }
    attempts
}

/// Finishes an attempt successfully after 50 ms.
fn answers_in_50_ms(sent: &SentAttempt, now_ms: f64) -> Option<Outcome> {
    (now_ms - sent.sent_at_ms >= 50.0).then_some(Outcome::Ok)
}

/// Guards against an unresponsive backend that holds slots until its attempts time out: it must be ejected,
/// other backends take its requests, and it is used again after it recovers.
#[test]
fn unresponsive_backend_is_ejected_and_restored() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    run_for(
        &mut proxy,
        3000.0,
        |sent, now_ms| if sent.backend == 2 { None } else { answers_in_50_ms(sent, now_ms) },
    );
    let stuck = proxy.attempts_in_flight().iter().filter(|(_, _, sent)| sent.backend == 2).count();
    let hanging =
        run_for(
            &mut proxy,
            2000.0,
            |sent, now_ms| if sent.backend == 2 { None } else { answers_in_50_ms(sent, now_ms) },
        );
    assert!(
        hanging.get(&2).copied().unwrap_or(0) <= 3,
        "the unresponsive backend still gets attempts: {hanging:?}, {stuck} unanswered"
    );

    run_for(&mut proxy, 30_000.0, answers_in_50_ms);
    let back = run_for(&mut proxy, 3000.0, answers_in_50_ms);
    assert!(back.get(&2).copied().unwrap_or(0) > 20, "the backend is not restored: {back:?}");
}

/// Guards against a backend that responds to one class and ignores another one: its responses must not hide
/// that. It is ejected for the ignored class only, even if that is not idempotent, and restored for it later.
#[test]
fn backend_ignoring_one_class_is_ejected_for_that_class() {
    let classes =
        vec![class(1000.0, 1.0, Idempotency::Idempotent), class(1000.0, 2.0, Idempotency::NonIdempotent)];
    let mut proxy = ProxyHarness::new(settings(1, classes), 1, endpoints(8));
    // Returns the number of attempts of each class at backend 2.
    let mut attempts_at_backend_2 = |duration_ms: f64, ignores_class_1: bool| {
        let (end_ms, mut attempts) = (proxy.now_ms + duration_ms, [0, 0]);
        while proxy.now_ms < end_ms {
            let submitted_at_ms = proxy.now_ms;
            for class in 0..2 {
                proxy.submit_request(class, 0, 4000.0);
            }
            proxy.advance_to(submitted_at_ms + 5.0);
            for (request, attempt, sent) in proxy.attempts_in_flight() {
                let class = proxy.requests[&request].class;
                attempts[class] += usize::from(sent.backend == 2 && sent.sent_at_ms >= submitted_at_ms);
                if !(ignores_class_1 && sent.backend == 2 && class == 1)
                    && proxy.now_ms - sent.sent_at_ms >= 50.0
                {
                    proxy.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            proxy.forget_finished_requests();
        }
        attempts
    };

    attempts_at_backend_2(3000.0, false);
    attempts_at_backend_2(1000.0, true);
    let while_ignoring = attempts_at_backend_2(6000.0, true);
    assert!(
        while_ignoring[1] <= 1 && while_ignoring[0] > 50,
        "attempts by class at the backend that ignores class 1: {while_ignoring:?}"
    );

    attempts_at_backend_2(20_000.0, false);
    let back = attempts_at_backend_2(3000.0, false);
    assert!(back[1] > 20, "the backend is not restored: {back:?}");
}

/// Guards against a limit that falls when ejected backends return in slow start. They add nothing to the
/// limit while they are ejected, so their return takes nothing away.
#[test]
fn return_in_slow_start_does_not_lower_the_limit() {
    let admitted =
        |is_restored: bool| {
            let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(10));
            run_for(&mut proxy, 3000.0, answers_in_50_ms);
            run_for(&mut proxy, 4000.0, |sent, now_ms| {
                if sent.backend <= 4 { None } else { answers_in_50_ms(sent, now_ms) }
            });
            if is_restored {
                let started_at_ms = proxy.now_ms - 1000.0;
                proxy.update_endpoints(
                    EndpointListKind::Delta,
                    (1..=4).map(|b| EndpointInfo { started_at_ms, ..endpoint(b) }).collect(),
                );
            }
            proxy.advance_to(proxy.now_ms + 100.0);
            let in_flight = proxy.attempts_in_flight().iter().filter(|(_, _, sent)| sent.backend > 4).count();
            fill_limit(&mut proxy, 0, 0, 400) - in_flight
        };
    let (before, after) = (admitted(false), admitted(true));
    assert!(after >= before, "{before} attempts admitted before their return, {after} after it");
}

/// Guards against a long ejection after a pause, which looks like a hang: once the backend answers all its
/// attempts in flight, it is restored without waiting for a probe request.
#[test]
fn paused_backend_that_answers_is_restored_at_once() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    run_for(
        &mut proxy,
        1000.0,
        |sent, now_ms| if sent.backend == 2 { None } else { answers_in_50_ms(sent, now_ms) },
    );
    let left =
        run_for(
            &mut proxy,
            200.0,
            |sent, now_ms| if sent.backend == 2 { None } else { answers_in_50_ms(sent, now_ms) },
        );
    assert_eq!(left.get(&2), None, "not ejected: {left:?}");

    let back = run_for(&mut proxy, 300.0, answers_in_50_ms);
    assert!(back.get(&2).copied().unwrap_or(0) > 2, "the backend is not restored: {back:?}");
}

/// Guards against an ejection that is prolonged by late errors: attempts sent before the ejection are no
/// probe requests.
#[test]
fn late_errors_do_not_prolong_an_ejection() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    run_for(
        &mut proxy,
        1000.0,
        |sent, now_ms| if sent.backend == 2 { None } else { answers_in_50_ms(sent, now_ms) },
    );
    // The backend is ejected as unresponsive, for two seconds. Its attempts in flight now fail one after
    // another.
    let stuck: Vec<_> =
        proxy.attempts_in_flight().into_iter().filter(|(_, _, sent)| sent.backend == 2).collect();
    assert!(stuck.len() >= 3, "{} attempts in flight at the backend", stuck.len());

    stuck
        .into_iter()
        .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Error));
    run_for(&mut proxy, 4000.0, answers_in_50_ms);
    let back = run_for(&mut proxy, 1000.0, answers_in_50_ms);
    assert!(back.get(&2).copied().unwrap_or(0) > 5, "the backend is not restored: {back:?}");
}

/// Guards against a backend that attracts requests because it fails fast.
#[test]
fn fast_failing_backend_is_ejected_and_restored() {
    let fails_at_2 = |sent: &SentAttempt, now_ms: f64| {
        if sent.backend == 2 { Some(Outcome::Error) } else { answers_in_50_ms(sent, now_ms) }
    };
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    run_for(&mut proxy, 1000.0, fails_at_2);
    let failing = run_for(&mut proxy, 2000.0, fails_at_2);
    assert!(
        failing.get(&2).copied().unwrap_or(0) <= 3,
        "the failing backend still gets attempts: {failing:?}"
    );

    run_for(&mut proxy, 30_000.0, answers_in_50_ms);
    let back = run_for(&mut proxy, 3000.0, answers_in_50_ms);
    assert!(back.get(&2).copied().unwrap_or(0) > 20, "the backend is not restored: {back:?}");
}

/// Guards against the ejection of all backends: errors that all of them return make none an outlier.
#[test]
fn errors_at_all_backends_eject_none() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    let error_everywhere =
        |sent: &SentAttempt, now_ms: f64| answers_in_50_ms(sent, now_ms).map(|_| Outcome::Error);
    run_for(&mut proxy, 4000.0, error_everywhere);
    let attempts = run_for(&mut proxy, 4000.0, error_everywhere);

    assert!(attempts.len() >= 7, "backends in service: {attempts:?}");
}

/// Guards against a failed third of the backends that stays in service. The mean error rate includes the
/// failed third and must not raise the ejection threshold out of reach; nor may their failed connections cut
/// the limit.
#[test]
fn failed_third_of_the_backends_is_ejected() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(9));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    let fails_at_a_third = |sent: &SentAttempt, now_ms: f64| {
        if sent.backend <= 3 {
            (now_ms - sent.sent_at_ms >= 250.0).then_some(Outcome::ConnectFailed)
        } else {
            answers_in_50_ms(sent, now_ms)
        }
    };
    run_for(&mut proxy, 4000.0, fails_at_a_third);
    let attempts = run_for(&mut proxy, 4000.0, fails_at_a_third);
    let wasted: usize = (1..=3).filter_map(|b| attempts.get(&b)).sum();
    let all: usize = attempts.values().sum();

    assert!(wasted * 20 < all, "{wasted} of {all} attempts sent to the failed third");
    assert!(all > 700, "the limit was cut: {all} attempts in 4 s");
}

/// Guards against an ejection on one or two samples at an instance with little traffic.
#[test]
fn two_errors_eject_no_backend() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(6));

    run_for(&mut proxy, 2000.0, answers_in_50_ms);
    let mut errors_left = 2;
    for _ in 0..1000 {
        proxy.submit_request(0, 0, 4000.0);
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            if sent.backend == 2 && errors_left > 0 {
                errors_left -= 1;
                proxy.finish_attempt(request, attempt, Outcome::Error);
            } else if sent.backend != 2 {
                proxy.finish_attempt(request, attempt, Outcome::Ok);
            }
        }
        proxy.advance_to(proxy.now_ms + 5.0);
        if errors_left == 0 {
            break;
        }
    }
    assert_eq!(errors_left, 0);

    let attempts = run_for(&mut proxy, 4000.0, answers_in_50_ms);
    assert!(
        attempts.get(&2).copied().unwrap_or(0) > 20,
        "the backend was ejected after two errors: {attempts:?}"
    );
}

/// Guards against a retry storm on a failing fleet: retries of requests that may have run are limited to a
/// share of the traffic.
#[test]
fn retries_are_a_bounded_share_of_requests() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));
    let (mut requests, mut attempts) = (0, 0);

    for _ in 0..2000 {
        proxy.submit_request(0, 0, 4000.0);
        requests += 1;
        proxy.advance_to(proxy.now_ms + 5.0);
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            if proxy.now_ms - sent.sent_at_ms >= 20.0 {
                attempts += 1;
                proxy.finish_attempt(request, attempt, Outcome::Error);
            }
        }
        proxy.forget_finished_requests();
    }

    assert!(attempts * 10 <= requests * 12, "{attempts} attempts for {requests} requests that all fail");
}

/// Guards against failed polls that are retried without backoff, or by all instances at the same time.
#[test]
fn failed_polls_are_retried_with_backoff_and_jitter() {
    let poll_times = |seed| {
        let mut proxy = ProxyHarness::new(
            Settings { discovery_mode: DiscoveryMode::Poll, ..single_class_settings(4) },
            seed,
            endpoints(6),
        );
        let mut failed = 0;
        for _ in 0..100_000 {
            proxy.advance_to(proxy.now_ms + 5.0);
            if proxy.polled_at_ms.len() > failed {
                failed += 1;
                proxy.update_endpoints(EndpointListKind::Failed, vec![]);
            }
        }
        assert!(proxy.polled_at_ms.len() > 6, "polling stopped after the polls at {:?}", proxy.polled_at_ms);
        proxy.polled_at_ms
    };

    let (a, b) = (poll_times(1), poll_times(2));

    assert!(a[0] - 1000.0 < 10_000.0, "the first poll is late");
    assert!(a[5] - a[4] > a[1] - a[0], "no backoff: {a:?}");
    assert!(a.iter().zip(&b).all(|(x, y)| (x - y).abs() > 1.0), "polls at the same times: {a:?} {b:?}");
}

/// Returns the delay before the first poll of an instance, and after each of `failures` polls that fail at
/// once.
fn poll_delays_ms(poll_within_ms: f64, seed: u64, failures: usize) -> Vec<f64> {
    let mut settings = Settings { discovery_mode: DiscoveryMode::Poll, ..single_class_settings(4) };
    settings.guarantees.poll_within_ms = poll_within_ms;
    let mut balancer = Balancer::new(settings, seed).expect("valid settings");
    let (mut now_ms, mut kind, mut delays_ms) = (1000.0, EndpointListKind::Cached, Vec::new());
    for _ in 0..=failures {
        let mut actions = Vec::new();
        balancer.handle(now_ms, Event::EndpointList { kind, endpoints: vec![] }, &mut actions);
        // The first event also sets another timer, so the last action is the poll timer.
        let Some(Action::SetTimer { delay_ms, token }) = actions.pop() else {
            panic!("no poll timer is set")
        };
        now_ms += delay_ms;
        balancer.handle(now_ms, Event::TimerFired { token }, &mut actions);
        assert!(actions.contains(&Action::PollEndpoints), "the timer does not start a poll");
        (kind, _) = (EndpointListKind::Failed, delays_ms.push(delay_ms));
    }
    delays_ms
}

/// Guards against poll backoff that delays an update. A change counts as notified 6 s after discovery can be
/// reached, so the delay between polls is at most a third of that, and at most the poll interval in the
/// settings.
#[test]
fn poll_delay_is_a_third_of_the_deadline_at_most() {
    for poll_within_ms in [100.0, 300.0, 1000.0, 2000.0, 5000.0, 10_000.0, 60_000.0, 3_600_000.0] {
        let longest = f64::min(poll_within_ms, NOTIFICATION_DEADLINE_MS / 3.0);
        for seed in 0..200 {
            let delays_ms = poll_delays_ms(poll_within_ms, seed, 20);
            assert!(
                delays_ms.iter().all(|&delay_ms| delay_ms > 0.0 && delay_ms <= longest),
                "{poll_within_ms} {seed}: {delays_ms:?}"
            );
            // After repeated failures there are at most two polls in the longest delay.
            assert!(
                delays_ms[3..].iter().all(|&delay_ms| delay_ms >= longest / 2.0),
                "{poll_within_ms} {seed}: {delays_ms:?}"
            );
        }
    }
}

/// Guards against synchronized polls of 720 instances that start, or see a poll fail, at the same time. No
/// tenth of their longest delay has more than three in ten polls; from the third poll on, the mean delay
/// exceeds 0.7 of the maximum.
#[test]
fn polls_of_many_instances_are_spread_out() {
    for poll_within_ms in [300.0, 10_000.0] {
        let fleet: Vec<Vec<f64>> = (0..720).map(|seed| poll_delays_ms(poll_within_ms, seed, 8)).collect();
        for failures in 0..=8 {
            let mut waits: Vec<f64> = fleet.iter().map(|delays_ms| delays_ms[failures]).collect();
            waits.sort_by(f64::total_cmp);
            let tenth = waits[719] / 10.0;
            let most =
                (0..720).map(|i| waits[i..].iter().take_while(|&&w| w < waits[i] + tenth).count()).max();
            assert!(
                most < Some(720 * 3 / 10),
                "{poll_within_ms}, failure {failures}: {most:?} polls within a tenth of the longest delay"
            );
            let mean = waits.iter().sum::<f64>() / 720.0;
            let longest = f64::min(poll_within_ms, NOTIFICATION_DEADLINE_MS / 3.0);
            assert!(failures < 2 || mean > 0.7 * longest, "{poll_within_ms}: mean delay {mean} ms");
        }
    }
}

/// Guards against an error that does not name the invalid setting.
#[test]
fn invalid_settings_error_names_the_field() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 6] = [
        ("peersTotal", |s| s.instance_count = 0),
        ("slotNo", |s| s.instance_index = 9),
        ("classes", |s| s.classes.clear()),
        ("classes[0].aim", |s| s.classes[0].latency_objective_ms = 0.0),
        ("tick", |s| s.tick_ms = f64::NAN),
        ("guarantees.coldFrom", |s| s.guarantees.initial_capacity_fraction = -1.0),
    ];

    for (field, change) in cases {
        let mut settings = single_class_settings(2);

        change(&mut settings);
        let error = Balancer::new(settings, 1).err().expect("rejected settings");

        assert_eq!(error.field, field);
        assert!(error.to_string().contains(field));
    }
}

/// Guards against an unfair queue: two classes of the same priority weight share a slice, and in a full queue
/// a longer latency objective must not let requests wait longer than others. Otherwise 0.62 of one class and
/// 0.89 of the other are served.
#[test]
fn longer_objective_gets_no_more_of_a_shared_slice() {
    let classes =
        vec![class(1000.0, 1.0, Idempotency::NonIdempotent), class(3000.0, 1.0, Idempotency::NonIdempotent)];
    let mut proxy = ProxyHarness::new(settings(1, classes), 1, endpoints(5));
    let mut served = [0, 0];

    for round in 0..4000 {
        proxy.submit_request(round % 2, 0, 1e5);
        proxy.advance_to(proxy.now_ms + 5.0);
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            if proxy.now_ms - sent.sent_at_ms >= 500.0 {
                served[proxy.requests[&request].class] += 1;
                proxy.finish_attempt(request, attempt, Outcome::Ok);
            }
        }
        proxy.forget_finished_requests();
    }

    assert!(
        served[1] * 4 < served[0] * 5 && served[0] * 4 < served[1] * 5,
        "requests served by class: {served:?}"
    );
}

/// Guards against requests over the quota that take slots from others under overload: they keep only one
/// slot.
#[test]
fn requests_over_quota_keep_one_slot() {
    let mut settings = single_class_settings(1);
    settings.over_quota_weight = 0.3;
    settings.tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut proxy = ProxyHarness::new(settings, 1, endpoints(10));

    let within = fill_limit(&mut proxy, 0, 1, 400);
    let demoted = fill_limit(&mut proxy, 0, 0, 100) - within;

    assert_eq!(demoted, 1, "beside {within} attempts within the quota");
}

/// Guards against an overloaded backend that never recovers: it stays slow while it gets even a few requests,
/// and needs seconds without any. One that is much slower than the others is ejected, and restored by a fast
/// probe request.
#[test]
fn much_slower_backend_is_ejected_to_recover() {
    let slow_at_2 = |sent: &SentAttempt, now_ms: f64| {
        (now_ms - sent.sent_at_ms >= if sent.backend == 2 { 250.0 } else { 50.0 }).then_some(Outcome::Ok)
    };
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    run_for(&mut proxy, 6000.0, slow_at_2);
    let quiet = (0..20).fold((0, 0), |(quiet_rounds, longest), _| {
        for _ in 0..4 {
            proxy.submit_request(0, 0, 4000.0);
        }
        let is_quiet = !run_for(&mut proxy, 250.0, slow_at_2).contains_key(&2);
        let quiet_rounds = if is_quiet { quiet_rounds + 1 } else { 0 };
        (quiet_rounds, longest.max(quiet_rounds))
    });
    assert!(quiet.1 >= 6, "never without requests for 1.5 s: {quiet:?}");

    run_for(&mut proxy, 30_000.0, answers_in_50_ms);
    let back = run_for(&mut proxy, 3000.0, answers_in_50_ms);
    assert!(back.get(&2).copied().unwrap_or(0) > 20, "the backend is not restored: {back:?}");
}

/// Returns the share of attempts that leave the zone when its backends answer in `near_ms` and all others in
/// 50 ms.
fn cross_zone_share_after_overload(price: f64, near_ms: f64) -> f64 {
    let mut proxy = proxy_in_two_zones(price);
    run_for(&mut proxy, 4000.0, answers_in_50_ms);
    let outcome_of = |sent: &SentAttempt, now_ms: f64| {
        (now_ms - sent.sent_at_ms >= if sent.backend <= 5 { near_ms } else { 50.0 }).then_some(Outcome::Ok)
    };
    run_for(&mut proxy, 8000.0, outcome_of);
    cross_zone_share(&run_for(&mut proxy, 2000.0, outcome_of))
}

/// Guards against cross-zone traffic that gains nothing: with a price on crossing zones, attempts stay in the
/// zone until its extra latency costs more than that price.
#[test]
fn attempts_cross_zones_only_for_more_than_the_price() {
    assert_eq!(
        cross_zone_share_after_overload(0.2, 50.0),
        0.0,
        "attempts left a zone that is as fast as the others"
    );

    let overloaded = cross_zone_share_after_overload(0.2, 700.0);
    assert!(overloaded > 0.5, "{overloaded} left a zone that is slower by 0.65 of the latency objective");

    let cheap = cross_zone_share_after_overload(0.0, 50.0);
    assert!(
        (0.3..0.7).contains(&cheap),
        "{cheap} left the zone where crossing is free and all zones are one pool"
    );
}

/// Returns an instance in the first of two zones, with five backends in each.
fn proxy_in_two_zones(price: f64) -> ProxyHarness {
    let mut settings = single_class_settings(1);
    settings.objective.cross_zone_price = price;
    let zones =
        endpoints(10).into_iter().map(|e| EndpointInfo { zone: u16::from(e.backend > 5), ..e }).collect();
    ProxyHarness::new(settings, 1, zones)
}

/// Returns the share of attempts that went to backends outside the zone.
fn cross_zone_share(attempts: &BTreeMap<BackendId, usize>) -> f64 {
    let far: usize = attempts.iter().filter(|(b, _)| **b > 5).map(|(_, n)| n).sum();
    far as f64 / attempts.values().sum::<usize>().max(1) as f64
}

/// Guards against a zone that is avoided forever: without attempts there are no responses, and the last high
/// latency estimate must not keep attempts away.
#[test]
fn abandoned_zone_is_probed_again() {
    let mut proxy = proxy_in_two_zones(0.2);
    let slow_in_zone = |sent: &SentAttempt, now_ms: f64| {
        (now_ms - sent.sent_at_ms >= if sent.backend <= 5 { 1800.0 } else { 50.0 }).then_some(Outcome::Ok)
    };

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    run_for(&mut proxy, 15_000.0, slow_in_zone);
    let left = cross_zone_share(&run_for(&mut proxy, 2000.0, slow_in_zone));
    assert!(left > 0.8, "{left} left a zone that answers in 1.8 times the latency objective");

    run_for(&mut proxy, 60_000.0, answers_in_50_ms);
    let back = cross_zone_share(&run_for(&mut proxy, 2000.0, answers_in_50_ms));
    assert!(back < 0.1, "{back} still leave the zone a minute after it recovered");
}

/// Guards against a slow zone that looks fast because clients disconnect before its slow responses arrive:
/// abandoned attempts count as slow for their zone.
#[test]
fn attempts_abandoned_by_clients_count_as_slow() {
    let mut proxy = proxy_in_two_zones(0.2);

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    let (end_ms, mut far, mut all) = (proxy.now_ms + 15_000.0, 0, 0);
    while proxy.now_ms < end_ms {
        proxy.submit_request(0, 0, 4000.0);
        proxy.advance_to(proxy.now_ms + 5.0);
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            let is_open = proxy.requests[&request].ended.is_none();
            // A third of the responses in the zone are fast, so its backends are not unresponsive.
            if (sent.backend > 5 || request % 3 == 0) && proxy.now_ms - sent.sent_at_ms >= 50.0 {
                proxy.finish_attempt(request, attempt, Outcome::Ok);
            } else if is_open && sent.backend <= 5 && proxy.now_ms - sent.sent_at_ms >= 900.0 {
                proxy.disconnect(request);
            }
            if sent.sent_at_ms >= proxy.now_ms - 5.0 && proxy.now_ms > end_ms - 3000.0 {
                (far, all) = (far + usize::from(sent.backend > 5), all + 1);
            }
        }
        proxy.forget_finished_requests();
    }

    assert!(far * 2 > all, "{far} of {all} attempts leave a zone whose clients disconnect");
}

/// Guards against a latency baseline learned under overload: an instance that has seen few responses must not
/// take an early overload as normal.
#[test]
fn early_overload_is_not_taken_as_the_baseline() {
    let mut proxy = ProxyHarness::new(single_class_settings(1), 1, endpoints(5));

    proxy.serve_steadily(100.0, 1, 0, 40.0);
    let initial = fill_limit(&mut proxy, 0, 0, 400);
    for _ in 0..30 {
        proxy.advance_to(proxy.now_ms + 700.0);
        proxy
            .attempts_in_flight()
            .into_iter()
            .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
        proxy.forget_finished_requests();
        fill_limit(&mut proxy, 0, 0, 100);
    }

    assert!(
        proxy.attempts_in_flight().len() < initial,
        "{initial} attempts in flight at first, {} after responses at 0.7 of the objective",
        proxy.attempts_in_flight().len()
    );
}

/// Guards against a limit that collapses when some responses are lost and the others are fast: timeouts alone
/// must not cut the limit to nothing, nor may lost attempts hold their slots until the deadline.
#[test]
fn lost_responses_do_not_cut_the_limit() {
    let mut proxy =
        ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, endpoints(8));
    let outcome_of =
        |sent: &SentAttempt, now_ms: f64| (now_ms - sent.sent_at_ms >= 150.0).then_some(Outcome::Ok);

    run_for(&mut proxy, 6000.0, outcome_of);
    // One response in six is lost, at any backend.
    let lossy = |sent: &SentAttempt, now_ms: f64| {
        if ((sent.sent_at_ms / 5.0) as u64).is_multiple_of(6) { None } else { outcome_of(sent, now_ms) }
    };
    let attempts = run_for(&mut proxy, 30_000.0, lossy);
    let sent: usize = attempts.values().sum();

    assert!(sent * 10 > 6000 * 9, "{sent} of 6000 requests sent");
}

/// Guards against lost attempts that hold slots until their deadline. An attempt in flight for several times
/// the mean latency of its class counts as lost.
#[test]
fn unresponsive_attempts_release_their_slots() {
    let mut proxy =
        ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, endpoints(8));

    run_for(&mut proxy, 3000.0, answers_in_50_ms);
    let first = fill_limit(&mut proxy, 0, 0, 400);
    proxy.advance_to(proxy.now_ms + 150.0);
    assert_eq!(
        fill_limit(&mut proxy, 0, 0, 400),
        first,
        "attempts may still be queued at the backend after three mean latencies"
    );

    proxy.advance_to(proxy.now_ms + 150.0);
    assert!(
        fill_limit(&mut proxy, 0, 0, 400) >= 2 * first,
        "{} attempts in flight after six mean latencies, {first} at first",
        proxy.attempts_in_flight().len()
    );
}

/// Guards against a suspended backend that gets requests because an endpoint list names it again. One resume
/// event ends the suspension; slow start follows. The harness checks that no attempt goes to a suspended
/// backend.
#[test]
fn suspended_backend_gets_nothing_until_resumed() {
    let mut proxy =
        ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 5, endpoints(3));
    let attempts_since = |proxy: &ProxyHarness, from: f64| {
        let attempts = proxy.requests.values().flat_map(|record| &record.attempts);
        attempts.filter(|sent| sent.backend == 2 && sent.sent_at_ms >= from).count()
    };
    let serve_until = |proxy: &mut ProxyHarness, end_ms: f64| {
        while proxy.now_ms < end_ms {
            proxy.submit_request(0, 0, 900.0);
            proxy.advance_to(proxy.now_ms + 20.0);
            proxy
                .attempts_in_flight()
                .into_iter()
                .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
        }
    };

    serve_until(&mut proxy, 5000.0);
    assert!(attempts_since(&proxy, 0.0) > 20, "the backend is not in use");

    for _ in 0..2 {
        proxy.handle(Event::SetSuspended { backend: 2, is_suspended: true });
    }
    let restarted = EndpointInfo { started_at_ms: 5500.0, ..endpoint(2) };
    for list in [
        (EndpointListKind::Full, endpoints(3)),
        (EndpointListKind::Full, vec![endpoint(1), endpoint(3)]),
        (EndpointListKind::Delta, vec![restarted.clone()]),
        (EndpointListKind::Cached, endpoints(3)),
        (EndpointListKind::Delta, vec![restarted]),
    ] {
        proxy.update_endpoints(list.0, list.1);
        let end_ms = proxy.now_ms + 500.0;
        serve_until(&mut proxy, end_ms);
    }
    // A list with only the suspended backend leaves none to send to.
    proxy.update_endpoints(EndpointListKind::Full, vec![endpoint(2)]);
    let request = proxy.submit_request(0, 0, 900.0);
    proxy.advance_to(proxy.now_ms + 1000.0);
    assert!(proxy.requests[&request].ended.is_some_and(|(_, end)| end == "rejected"));

    proxy.update_endpoints(EndpointListKind::Full, endpoints(3));
    assert_eq!(attempts_since(&proxy, 5000.0), 0);

    // The endpoint list still has the old start time of the backend.
    let back = proxy.now_ms;
    proxy.handle(Event::SetSuspended { backend: 2, is_suspended: false });
    assert!(proxy.suspended.is_empty(), "one resume event ends two suspensions");

    serve_until(&mut proxy, back + 1000.0);
    let first_second = attempts_since(&proxy, back);
    serve_until(&mut proxy, back + 5000.0);
    assert!(
        (1..8).contains(&first_second) && attempts_since(&proxy, back) > first_second,
        "{first_second} attempts in the first second, {} in five",
        attempts_since(&proxy, back)
    );
}

/// Guards against a repeated drain or activate event that acts twice.
#[test]
fn repeated_drain_events_act_once() {
    let mut proxy =
        ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 5, endpoints(3));

    for is_draining in [false, true, true, false, false] {
        proxy.handle(Event::SetDraining { is_draining });
    }
    assert_eq!(proxy.drain_changes, [true, false]);

    proxy.submit_request(0, 0, 900.0);
    assert_eq!(proxy.attempts_in_flight().len(), 1, "an active instance does not send requests");
}

/// Guards against two processes of one instance that each send a backend in slow start the full budget: each
/// gets half.
#[test]
fn processes_share_a_slow_start_budget() {
    let attempts_at_2 = |process_count: u32| {
        let mut proxy =
            ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 5, endpoints(4));
        proxy.handle(Event::ProcessCount { count: process_count });
        let serve_until = |proxy: &mut ProxyHarness, end_ms: f64| {
            while proxy.now_ms < end_ms {
                proxy.submit_request(0, 0, 900.0);
                proxy.advance_to(proxy.now_ms + 5.0);
                proxy
                    .attempts_in_flight()
                    .into_iter()
                    .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
            }
        };
        serve_until(&mut proxy, 5000.0);
        let restarted_at_ms = proxy.now_ms;
        proxy.update_endpoints(
            EndpointListKind::Delta,
            vec![EndpointInfo { started_at_ms: restarted_at_ms, ..endpoint(2) }],
        );
        serve_until(&mut proxy, restarted_at_ms + 4000.0);
        proxy
            .requests
            .values()
            .flat_map(|record| &record.attempts)
            .filter(|sent| sent.backend == 2 && sent.sent_at_ms > restarted_at_ms)
            .count()
    };
    let (alone, shared) = (attempts_at_2(1), attempts_at_2(2));
    assert!(
        alone >= 20 && (alone * 4 / 10..=alone * 6 / 10).contains(&shared),
        "{alone} attempts from a single process, {shared} from one of two"
    );
}

/// Guards against slow uploads that fill the limit: a request takes a slot only after its last byte has
/// arrived.
#[test]
fn streamed_request_takes_no_slot_until_its_end() {
    let mut proxy =
        ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::NonIdempotent)]), 5, endpoints(2));

    let streamed: Vec<RequestId> = (0..100).map(|_| proxy.submit_streamed_request(0, 60_000.0)).collect();
    assert_eq!(proxy.attempts_in_flight().len(), 100, "all requests are sent");

    // A backend is not unresponsive while it has not received the whole request.
    proxy.advance_to(proxy.now_ms + 5000.0);
    let short = proxy.submit_request(0, 0, 900.0);
    assert_eq!(proxy.requests[&short].attempts.len(), 1, "the limit has a free slot");

    proxy.finish_attempt(short, 0, Outcome::Ok);
    let deadline_ms = proxy.now_ms + 900.0;
    streamed.iter().for_each(|&request| proxy.handle(Event::BodyReceived { request, deadline_ms }));
    let late = proxy.submit_request(0, 0, 900.0);
    assert_eq!(proxy.requests[&late].attempts.len(), 0, "the finished uploads fill the limit");

    // A body that was consumed with its attempt cannot be sent again, although the request never ran.
    proxy.finish_consumed_attempt(streamed[0], 0, Outcome::Full);
    assert!(proxy.requests[&streamed[0]].ended.is_some_and(|(_, end)| end == "rejected"));
    assert_eq!(proxy.requests[&streamed[0]].attempts.len(), 1);
}

/// Guards against an upload that waits in a queue past the deadline of its client, whose last byte may have
/// arrived although no backend takes the body.
#[test]
fn queued_request_ends_by_the_deadline_of_its_stalled_body() {
    const OBJECTIVE_MS: f64 = 10_000.0;
    const EXTENDED_TIMEOUT_MS: f64 = 60_000.0;
    const CLIENT_TIMEOUT_MS: f64 = 900.0;
    let class = Class { is_ordered_by_key: true, ..class(OBJECTIVE_MS, 1.0, Idempotency::NonIdempotent) };
    let mut proxy = ProxyHarness::new(settings(1, vec![class]), 5, endpoints(2));
    proxy.submit_keyed_request(1, 0, 0, EXTENDED_TIMEOUT_MS);
    let queued = proxy.submit_keyed_streamed_request(1, 0, EXTENDED_TIMEOUT_MS);
    assert_eq!(proxy.requests[&queued].attempts.len(), 0, "it waits behind another request of its key");

    // Bytes have arrived after the first report, so that the last one can't have been among those before.
    let first_deadline_ms = proxy.now_ms + CLIENT_TIMEOUT_MS;
    proxy.handle(Event::BodyStalled { request: queued, deadline_ms: first_deadline_ms });
    let deadline_ms = first_deadline_ms + CLIENT_TIMEOUT_MS;
    proxy.handle(Event::BodyStalled { request: queued, deadline_ms });
    proxy.advance_to(first_deadline_ms);
    assert_eq!(proxy.requests[&queued].ended, None);

    proxy.advance_to(deadline_ms);
    assert!(proxy.requests[&queued].ended.is_some_and(|(_, end)| end == "rejected"));
}

/// Guards against a retry of an upload whose client's time may be over, although its body was not taken.
#[test]
fn request_with_a_stalled_body_is_not_retried_after_its_deadline() {
    let class = class(400.0, 1.0, Idempotency::Idempotent);
    let mut proxy = ProxyHarness::new(settings(1, vec![class]), 5, endpoints(3));
    let request = proxy.submit_streamed_request(0, 60_000.0);
    proxy.handle(Event::BodyStalled { request, deadline_ms: proxy.now_ms + 900.0 });
    proxy.advance_to(proxy.now_ms + 900.0);

    proxy.finish_attempt(request, 0, Outcome::NotSent);

    assert_eq!(proxy.requests[&request].attempts.len(), 1);
    assert!(proxy.requests[&request].ended.is_some_and(|(_, end)| end == "rejected"));
}

/// Guards against a resumed backend that stays unused because the subset has become narrower at lower load
/// since its suspension.
#[test]
fn resumed_backend_returns_to_its_former_subset() {
    let serve_until = |proxy: &mut ProxyHarness, end_ms: f64, requests_per_tick: usize| {
        while proxy.now_ms < end_ms {
            for _ in 0..requests_per_tick {
                proxy.submit_request(0, 0, 900.0);
            }
            proxy.advance_to(proxy.now_ms + 20.0);
            proxy
                .attempts_in_flight()
                .into_iter()
                .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
        }
        let attempts = std::mem::take(&mut proxy.requests).into_values().flat_map(|record| record.attempts);
        attempts.map(|sent| sent.backend).collect::<std::collections::BTreeSet<_>>()
    };
    for backend in (1..=30).step_by(3) {
        let mut proxy = ProxyHarness::new(
            settings(3, vec![class(400.0, 1.0, Idempotency::Idempotent)]),
            5,
            endpoints(30),
        );

        assert!(
            serve_until(&mut proxy, 2000.0, 40).contains(&backend),
            "backend {backend} is not used under load"
        );

        proxy.handle(Event::SetSuspended { backend, is_suspended: true });
        assert!(!serve_until(&mut proxy, 32_000.0, 1).contains(&backend));

        proxy.handle(Event::SetSuspended { backend, is_suspended: false });
        assert!(
            serve_until(&mut proxy, 37_000.0, 1).contains(&backend),
            "backend {backend} is not used after it was resumed"
        );
    }
}
