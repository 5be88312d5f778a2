//! Checks the protocol rules of the balancer over seeded random event sequences and in fleets of instances.
//! The harness checks each action against its own record.

mod support;

use foldhitch_balancer::api::*;
use support::*;

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
];

/// Returns classes of every idempotency, two of them ordered by key.
fn classes_of_every_kind() -> Vec<Class> {
    let dedup = |scope, window_ms| Idempotency::Deduplicated { scope, window_ms };
    vec![
        class(400.0, 1.0, Idempotency::Idempotent),
        class(500.0, 5.0, Idempotency::NonIdempotent),
        class(600.0, 2.0, dedup(DeduplicationScope::AllBackends, 700.0)),
        class(400.0, 2.0, dedup(DeduplicationScope::Zone, 900.0)),
        class(500.0, 1.0, dedup(DeduplicationScope::Cell, 300.0)),
        Class { is_ordered_by_key: true, ..class(500.0, 3.0, dedup(DeduplicationScope::Zone, 800.0)) },
        Class { is_ordered_by_key: true, ..class(700.0, 3.0, Idempotency::Idempotent) },
    ]
}

/// Runs an instance through random events: requests of every class, every outcome, and endpoint list changes.
fn run_random_events(seed: u64, change: impl Fn(&mut Settings)) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut settings = settings(1 + rng.u32(..4), classes_of_every_kind());
    settings.tier = rng.u32(..3);
    settings.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 5.0 }];
    settings.objective.worst_class_weight = 0.3;
    change(&mut settings);
    let with_random_location = |rng: &mut fastrand::Rng, mut e: EndpointInfo| {
        (e.zone, e.cell) = (rng.u16(..3), rng.u16(..4));
        e
    };
    let start: Vec<EndpointInfo> =
        endpoints(rng.u32(1..20)).into_iter().map(|e| with_random_location(&mut rng, e)).collect();
    let mut proxy = ProxyHarness::new(settings, seed, start);
    for _ in 0..1500 {
        match rng.u32(..100) {
            0..40 => {
                let (class, timeout_ms) = (rng.usize(..7), 1.0 + rng.f64().powi(2) * 1500.0);
                proxy.submit_keyed_request(rng.u64(..12), class, rng.u16(..3), timeout_ms);
            }
            40..75 => {
                let in_flight = proxy.attempts_in_flight();
                if !in_flight.is_empty() {
                    let (request, attempt, _) = in_flight[rng.usize(..in_flight.len())].clone();
                    proxy.finish_attempt(request, attempt, OUTCOMES[rng.usize(..OUTCOMES.len())]);
                }
            }
            75..78 => {
                let open: Vec<_> = proxy
                    .requests
                    .iter()
                    .filter(|(_, record)| record.ended.is_none())
                    .map(|(&request, _)| request)
                    .collect();
                if !open.is_empty() {
                    proxy.disconnect(open[rng.usize(..open.len())]);
                }
            }
            78..84 => {
                let backend = rng.u32(1..25);
                let mut changed = with_random_location(&mut rng, endpoint(backend));
                if let Some(known) = proxy.known_endpoints.get(&changed.backend) {
                    (changed.zone, changed.cell) = (known.zone, known.cell);
                }
                changed.phase = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Removed][rng.usize(..4)];
                changed.started_at_ms = if rng.bool() { 0.0 } else { proxy.now_ms - 500.0 * rng.f64() };
                proxy.update_endpoints(EndpointListKind::Delta, vec![changed]);
            }
            84..85 => {
                let keep: Vec<EndpointInfo> =
                    proxy.known_endpoints.values().filter(|e| e.phase == Phase::Ready).cloned().collect();
                let mut keep: Vec<EndpointInfo> = keep.into_iter().filter(|_| rng.u32(..5) > 0).collect();
                keep.sort_by_key(|e| e.backend);
                proxy.update_endpoints(EndpointListKind::Full, keep);
            }
            85..86 => proxy.update_endpoints(EndpointListKind::Failed, vec![]),
            86..88 => {
                // Events for unknown requests, timers and attempts must be ignored.
                proxy.handle(Event::ClientDisconnected { request: 1 << 50 });
                proxy.handle(Event::TimerFired { token: TimerToken(999) });
                let (request, outcome) = (1 << 50, Outcome::Ok);
                let unknown = AttemptResult {
                    request,
                    attempt: 3,
                    backend: 77,
                    outcome,
                    latency_ms: 1.0,
                    is_request_closed: true,
                    is_body_consumed: false,
                };
                proxy.handle(Event::AttemptFinished(unknown));
            }
            _ => {
                let end_ms = proxy.now_ms + rng.f64() * 60.0;
                proxy.advance_to(end_ms);
            }
        }
    }
    proxy.advance_to(proxy.now_ms + 5000.0);
    let open = proxy.requests.values().filter(|record| record.ended.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final answer");
    assert!(
        proxy.requests.values().any(|record| record.ended.is_some_and(|e| e.1 == "served")),
        "seed {seed}: no request was served"
    );
}

#[test]
fn rules_hold_over_random_events() {
    (0..60).for_each(|seed| run_random_events(seed, |_| {}));
}

#[test]
fn rules_hold_without_cancellation() {
    (100..140).for_each(|seed| {
        run_random_events(seed, |s| (s.capabilities.can_cancel, s.capabilities.max_attempts) = (false, 2))
    });
}

#[test]
fn rules_hold_with_polled_endpoint_list() {
    (200..230).for_each(|seed| run_random_events(seed, |s| s.discovery_mode = DiscoveryMode::Poll));
}

/// Guards against decisions that depend on hash order or on the system clock.
#[test]
fn same_events_give_same_actions() {
    let run_once = || {
        let mut proxy = ProxyHarness::new(settings(2, classes_of_every_kind()), 7, endpoints(12));
        proxy.serve_steadily(3000.0, 2, 0, 80.0);
        for _ in 0..200 {
            proxy.submit_request(1, 0, 900.0);
        }
        proxy.advance_to(proxy.now_ms + 2000.0);
        format!("{:?}", proxy.requests)
    };

    assert_eq!(run_once(), run_once());
}

/// Guards against a lost request: a deadline can be closer than the next housekeeping round, so the request
/// must get its final answer at once.
#[test]
fn short_deadline_gets_its_final_answer_in_time() {
    let mut proxy = ProxyHarness::new(settings(1, classes_of_every_kind()), 1, vec![]);

    for timeout_ms in [0.5, 5.0, 30.0, 60.0, 99.0, 101.0, 150.0] {
        proxy.submit_request(1, 0, timeout_ms);
    }
    proxy.advance_to(proxy.now_ms + 1000.0);

    assert!(proxy.requests.values().all(|record| record.ended.is_some_and(|e| e.1 == "rejected")));
}

/// Guards against a restarted backend that is overloaded because all instances learn of the restart at once
/// and each sends its whole budget: together they must stay below the overload multiple of its guaranteed
/// capacity.
#[test]
fn all_instances_together_spare_a_restarted_backend() {
    for instance_count in [2, 10, 40] {
        let backends = 8;
        let fleet: Vec<ProxyHarness> = (0..instance_count)
            .map(|instance_index| {
                let mut settings =
                    settings(instance_count, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
                settings.instance_index = instance_index;
                let mut proxy = ProxyHarness::new(settings, u64::from(instance_index), endpoints(backends));
                proxy.serve_steadily(6000.0, 2, 0, 250.0);
                proxy
            })
            .collect();

        let mut attempts = Vec::new();
        for mut proxy in fleet {
            let started_at_ms = proxy.now_ms;
            proxy.update_endpoints(
                EndpointListKind::Delta,
                vec![EndpointInfo { started_at_ms, ..endpoint(3) }],
            );
            for _ in 0..600 {
                proxy.submit_request(0, 0, 1e5);
                proxy.submit_request(0, 0, 1e5);
                proxy.advance_to(proxy.now_ms + 5.0);
                for (request, attempt, sent) in proxy.attempts_in_flight() {
                    if sent.backend == 3 && sent.sent_at_ms >= started_at_ms {
                        attempts.push(sent.sent_at_ms - started_at_ms);
                    }
                    if proxy.now_ms - sent.sent_at_ms >= 250.0 || sent.backend == 3 {
                        proxy.finish_attempt(request, attempt, Outcome::Ok);
                    }
                }
                proxy.forget_finished_requests();
            }
        }

        attempts.sort_by(f64::total_cmp);
        // Each instance submits 400 requests per second over 8 backends, so a warm backend takes at least
        // this rate.
        let warm_rate_per_s = 400.0 * f64::from(instance_count) / f64::from(backends);
        for from in 0..2000 {
            let from = f64::from(from);
            let got = attempts.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let warm_up_fraction = 0.12 + 0.88 * from / 20_000.0;
            assert!(
                got <= 3.0 * warm_up_fraction * warm_rate_per_s,
                "{instance_count} instances: {got} attempts in the second from {from} ms"
            );
        }
        assert!(!attempts.is_empty(), "{instance_count} instances: the restarted backend gets no attempts");
    }
}

/// Guards against new backends that get too little after a release replaced ten of sixteen: the other six
/// cannot take all traffic. Each instance has few attempts in flight, but together they must use about the
/// guaranteed capacity.
#[test]
fn new_backends_get_their_share_from_rare_senders() {
    let (backends, instance_count) = (16, 16);
    let mut attempts = vec![Vec::new(); 1 + backends + 10];

    for instance_index in 0..instance_count {
        let mut settings = settings(instance_count, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
        settings.instance_index = instance_index;
        let mut proxy = ProxyHarness::new(settings, u64::from(instance_index), endpoints(backends as u32));
        let mut rng = fastrand::Rng::with_seed(u64::from(instance_index));
        let mut released_at_ms = f64::INFINITY;
        while proxy.now_ms < released_at_ms + 6000.0 {
            if released_at_ms.is_infinite() && proxy.now_ms >= 9000.0 {
                released_at_ms = proxy.now_ms;
                let old = (1..=10).map(|b| EndpointInfo { phase: Phase::Draining, ..endpoint(b) });
                let new = (17..=26).map(|b| EndpointInfo { started_at_ms: released_at_ms, ..endpoint(b) });
                proxy.update_endpoints(EndpointListKind::Delta, old.chain(new).collect());
            }
            // 20 requests per second per instance are 20 per second per backend; responses take 250 ms.
            if rng.f64() < 0.1 {
                proxy.submit_request(0, 0, 1e5);
            }
            proxy.advance_to(proxy.now_ms + 5.0);
            for (request, attempt, sent) in proxy.attempts_in_flight() {
                if sent.sent_at_ms + 5.0 >= proxy.now_ms && sent.sent_at_ms >= released_at_ms {
                    attempts[sent.backend as usize].push(sent.sent_at_ms - released_at_ms);
                }
                if proxy.now_ms - sent.sent_at_ms >= 250.0 {
                    proxy.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            proxy.forget_finished_requests();
        }
    }

    let share = |of: &[Vec<f64>]| {
        let got = of.iter().flatten().filter(|&&t| t >= 2000.0).count() as f64;
        got / (4.0 * 20.0 * of.len() as f64)
    };
    // From second 2 to 6 a new backend has at least 0.3 of the capacity of an old one, which is at least its
    // load.
    let (old, new) = (share(&attempts[11..=16]), share(&attempts[17..=26]));
    assert!(
        new >= 0.25 * old,
        "new backends get {new:.2} of the former load of a backend, old ones {old:.2}"
    );
    for (backend, attempts) in attempts.iter().enumerate().skip(17) {
        for from in (0..5000).map(f64::from) {
            let got = attempts.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let warm_up_fraction = 0.12 + 0.88 * from / 20_000.0;
            assert!(
                got <= 3.0 * warm_up_fraction * 20.0 * old,
                "backend {backend}: {got} attempts in the second from {from} ms"
            );
        }
    }
}

/// Guards against initial limits that add up to more the more instances share the backends.
#[test]
fn sum_of_initial_limits_is_the_same_for_any_fleet() {
    let backends = 16;
    for instance_count in [4, 16, 48] {
        let mut admitted = 0;
        for instance_index in 0..instance_count {
            let mut settings = settings(instance_count, vec![class(1200.0, 2.0, Idempotency::Idempotent)]);
            settings.instance_index = instance_index;
            let mut proxy = ProxyHarness::new(settings, u64::from(instance_index), endpoints(backends));
            for _ in 0..100 {
                proxy.submit_request(0, 0, 3000.0);
            }
            admitted += proxy.attempts_in_flight().len() as u32;
        }
        // Each instance rounds its limit down.
        assert!(
            (6 * backends..=8 * backends).contains(&admitted),
            "{instance_count} instances admit {admitted} attempts"
        );
    }
}

/// Guards against a tier that stays unused when its backends and all instances have just started: there are
/// no responses to learn from, so the budget must follow from the settings.
#[test]
fn new_instances_use_a_tier_in_slow_start() {
    let (instance_count, backends) = (4, 8);
    let mut attempts = vec![Vec::new(); 1 + backends];

    for instance_index in 0..instance_count {
        let mut settings = settings(instance_count, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
        (settings.instance_index, settings.tenants) = (instance_index, vec![Tenant { quota_per_s: 160.0 }]);
        let warming_up = endpoints(backends as u32)
            .into_iter()
            .map(|e| EndpointInfo { started_at_ms: 1000.0, ..e })
            .collect();
        let mut proxy = ProxyHarness::new(settings, u64::from(instance_index), warming_up);
        while proxy.now_ms < 9000.0 {
            proxy.submit_request(0, 0, 1000.0);
            proxy.advance_to(proxy.now_ms + 25.0);
            for (request, attempt, sent) in proxy.attempts_in_flight() {
                if sent.sent_at_ms + 25.0 >= proxy.now_ms {
                    attempts[sent.backend as usize].push(sent.sent_at_ms - 1000.0);
                }
                if proxy.now_ms - sent.sent_at_ms >= 100.0 {
                    proxy.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            proxy.forget_finished_requests();
        }
    }

    for (backend, attempts) in attempts.iter().enumerate().skip(1) {
        // A warm backend gets 20 per second; in its first eight seconds it gets a quarter of that or less.
        assert!(attempts.len() >= 20, "backend {backend}: {} attempts", attempts.len());
        for from in (0..7000).map(f64::from) {
            let got = attempts.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let bound = 3.0 * 20.0 * (0.12 + 0.88 * from / 20_000.0);
            assert!(got <= bound, "backend {backend}: {got} attempts in the second from {from} ms");
        }
    }
}

/// Guards against an overload by a restarted instance: it has only a cached endpoint list with backends in
/// slow start, and has not measured any request rate.
#[test]
fn new_instance_spares_backends_in_slow_start() {
    let mut settings = settings(10, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
    settings.instance_index = 4;
    let warming_up = endpoints(10).into_iter().map(|e| EndpointInfo { started_at_ms: 900.0, ..e }).collect();
    let mut proxy = ProxyHarness::new(settings, 3, warming_up);

    for _ in 0..200 {
        proxy.submit_request(0, 0, 1000.0);
    }

    for b in 1..=10 {
        let attempts = proxy.attempts_in_flight().iter().filter(|(_, _, sent)| sent.backend == b).count();
        assert!(attempts <= 1, "{attempts} attempts at once at a backend in slow start");
    }
}

/// Returns an instance with one class that is ordered by key, in front of six backends.
fn proxy_with_ordered_class() -> ProxyHarness {
    let idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window_ms: 800.0 };
    ProxyHarness::new(
        settings(1, vec![Class { is_ordered_by_key: true, ..class(1000.0, 1.0, idempotency) }]),
        1,
        endpoints(6),
    )
}

/// Guards against two requests of one ordering key that run at the same time. The next one waits until the
/// first has ended, has no attempt in flight, and the key quarantine is over; other keys do not wait.
#[test]
fn ordering_key_runs_one_request_at_a_time() {
    for (outcome, quarantine_ms) in [(Outcome::Ok, 0.0), (Outcome::Reset, 300.0), (Outcome::Timeout, 300.0)] {
        let mut proxy = proxy_with_ordered_class();

        let [first, next, other, free] =
            [7, 7, 8, 0].map(|key| proxy.submit_keyed_request(key, 0, 0, 3000.0));
        let attempts = |proxy: &ProxyHarness, request| proxy.requests[&request].attempts.len();
        assert_eq!([first, next, other, free].map(|request| attempts(&proxy, request)), [1, 0, 1, 1]);

        if quarantine_ms > 0.0 {
            proxy.disconnect(first);
        }
        assert_eq!(attempts(&proxy, next), 0, "{outcome:?}: sent while the first has an attempt in flight");

        proxy.finish_attempt(first, 0, outcome);
        assert_eq!(attempts(&proxy, next), usize::from(quarantine_ms == 0.0), "{outcome:?}");

        proxy.advance_to(proxy.now_ms + quarantine_ms);
        proxy.advance_to(proxy.now_ms + 100.0);
        assert_eq!(attempts(&proxy, next), 1, "{outcome:?}: not sent after the key quarantine");
    }
}

/// Guards against a popular key that fills the limit: requests queued behind it hold no slot, do not keep
/// others out, and get their final answer in time.
#[test]
fn requests_queued_on_a_key_block_no_others() {
    let mut proxy = proxy_with_ordered_class();

    let same_key: Vec<_> = (0..200).map(|_| proxy.submit_keyed_request(7, 0, 0, 3000.0)).collect();
    let free = proxy.submit_keyed_request(0, 0, 0, 3000.0);
    assert_eq!((proxy.attempts_in_flight().len(), proxy.requests[&free].attempts.len()), (2, 1));

    proxy.advance_to(proxy.now_ms + 2500.0);
    assert!(
        same_key[1..].iter().all(|request| proxy.requests[request].ended.is_some_and(|e| e.1 == "rejected"))
    );
}

/// Guards against idle connections to a draining backend that stay open: they are closed when it starts to
/// drain, and again after each later outcome.
#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut proxy =
        ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, endpoints(1));

    let request = proxy.submit_request(0, 0, 3000.0);
    proxy.update_endpoints(
        EndpointListKind::Delta,
        vec![EndpointInfo { phase: Phase::Draining, ..endpoint(1) }],
    );
    assert_eq!(proxy.idle_closed_at_ms.get(&1), Some(&proxy.now_ms));

    proxy.advance_to(proxy.now_ms + 400.0);
    proxy.finish_attempt(request, 0, Outcome::Ok);
    assert_eq!(
        proxy.idle_closed_at_ms.get(&1),
        Some(&proxy.now_ms),
        "not closed again after the last outcome"
    );
}
