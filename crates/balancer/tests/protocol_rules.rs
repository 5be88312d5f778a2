//! The four rules as properties over seeded random event sequences, checked by the proxy's own record.

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

fn all_effects() -> Vec<Class> {
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

/// One random life of an instance: requests of every class, every outcome, a list that changes all the time.
fn life(seed: u64, change: impl Fn(&mut Settings)) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut s = settings(1 + rng.u32(..4), all_effects());
    s.tier = rng.u32(..3);
    s.tenants = vec![Tenant { quota_per_s: 50.0 }, Tenant { quota_per_s: 5.0 }];
    s.objective.worst_class_weight = 0.3;
    change(&mut s);
    let place = |rng: &mut fastrand::Rng, mut e: EndpointInfo| {
        (e.zone, e.cell) = (rng.u16(..3), rng.u16(..4));
        e
    };
    let start: Vec<EndpointInfo> =
        endpoints(rng.u32(1..20)).into_iter().map(|e| place(&mut rng, e)).collect();
    let mut p = ProxyHarness::new(s, seed, start);
    for _ in 0..1500 {
        match rng.u32(..100) {
            0..40 => {
                let (class, left) = (rng.usize(..7), 1.0 + rng.f64().powi(2) * 1500.0);
                p.send_keyed_request(rng.u64(..12), class, rng.u16(..3), left);
            }
            40..75 => {
                let out = p.out();
                if !out.is_empty() {
                    let (id, n, _) = out[rng.usize(..out.len())].clone();
                    p.finish_attempt(id, n, OUTCOMES[rng.usize(..OUTCOMES.len())]);
                }
            }
            75..78 => {
                let open: Vec<_> =
                    p.requests.iter().filter(|(_, a)| a.ended.is_none()).map(|(&id, _)| id).collect();
                if !open.is_empty() {
                    p.disconnect(open[rng.usize(..open.len())]);
                }
            }
            78..84 => {
                let backend = rng.u32(1..25);
                let mut e = place(&mut rng, endpoint(backend));
                if let Some(known) = p.listed.get(&e.backend) {
                    (e.zone, e.cell) = (known.zone, known.cell);
                }
                e.phase = [Phase::Ready, Phase::Ready, Phase::Draining, Phase::Removed][rng.usize(..4)];
                e.started_at_ms = if rng.bool() { 0.0 } else { p.now - 500.0 * rng.f64() };
                p.list(EndpointListKind::Delta, vec![e]);
            }
            84..85 => {
                let keep: Vec<EndpointInfo> =
                    p.listed.values().filter(|e| e.phase == Phase::Ready).cloned().collect();
                let mut keep: Vec<EndpointInfo> = keep.into_iter().filter(|_| rng.u32(..5) > 0).collect();
                keep.sort_by_key(|e| e.backend);
                p.list(EndpointListKind::Full, keep);
            }
            85..86 => p.list(EndpointListKind::Failed, vec![]),
            86..88 => {
                // Events about what was never there are passed over.
                p.handle(Event::ClientDisconnected { request: 1 << 50 });
                p.handle(Event::TimerFired { token: TimerToken(999) });
                let (request, outcome) = (1 << 50, Outcome::Ok);
                let stray = AttemptResult {
                    request,
                    attempt: 3,
                    backend: 77,
                    outcome,
                    latency_ms: 1.0,
                    is_request_closed: true,
                    is_body_consumed: false,
                };
                p.handle(Event::AttemptFinished(stray));
            }
            _ => {
                let to = p.now + rng.f64() * 60.0;
                p.advance(to);
            }
        }
    }
    p.advance(p.now + 5000.0);
    let open = p.requests.values().filter(|a| a.ended.is_none()).count();
    assert_eq!(open, 0, "seed {seed}: requests without a final answer");
    assert!(
        p.requests.values().any(|a| a.ended.is_some_and(|e| e.1 == "served")),
        "seed {seed}: nothing served"
    );
}

#[test]
fn rules_hold_over_random_lives() {
    (0..60).for_each(|seed| life(seed, |_| {}));
}

#[test]
fn rules_hold_where_cancels_are_forbidden() {
    (100..140).for_each(|seed| {
        life(seed, |s| (s.capabilities.can_cancel, s.capabilities.max_attempts) = (false, 2))
    });
}

#[test]
fn rules_hold_where_the_list_is_polled() {
    (200..230).for_each(|seed| life(seed, |s| s.discovery_mode = DiscoveryMode::Poll));
}

/// Guards against an instance whose hash order or clock leaks into its decisions.
#[test]
fn same_events_give_same_actions() {
    let run = || {
        let mut p = ProxyHarness::new(settings(2, all_effects()), 7, endpoints(12));
        p.serve(3000.0, 2, 0, 80.0);
        for _ in 0..200 {
            p.send_request(1, 0, 900.0);
        }
        p.advance(p.now + 2000.0);
        format!("{:?}", p.requests)
    };
    assert_eq!(run(), run());
}

/// A client's last try can have less time left than housekeeping takes to come round (seen on the bench as
/// a lost request): it is answered at once.
#[test]
fn an_attempt_with_hardly_any_time_left_is_answered_in_time() {
    let mut p = ProxyHarness::new(settings(1, all_effects()), 1, vec![]);
    for left in [0.5, 5.0, 30.0, 60.0, 99.0, 101.0, 150.0] {
        p.send_request(1, 0, left);
    }
    p.advance(p.now + 1000.0);
    assert!(p.requests.values().all(|a| a.ended.is_some_and(|e| e.1 == "refused")));
}

/// Every instance hears of one start at the same moment and sends all that its own budget allows: together they
/// stay under the multiple of the capacity surely reached, whatever the number of instances.
#[test]
fn a_cold_backend_is_not_pushed_over_by_all_copies_together() {
    for instance_count in [2, 10, 40] {
        let n = 8;
        let fleet: Vec<ProxyHarness> = (0..instance_count)
            .map(|instance_index| {
                let mut s = settings(instance_count, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
                s.instance_index = instance_index;
                let mut p = ProxyHarness::new(s, u64::from(instance_index), endpoints(n));
                p.serve(6000.0, 2, 0, 250.0);
                p
            })
            .collect();
        let mut sends = Vec::new();
        for mut p in fleet {
            let started_at_ms = p.now;
            p.list(EndpointListKind::Delta, vec![EndpointInfo { started_at_ms, ..endpoint(3) }]);
            for _ in 0..600 {
                p.send_request(0, 0, 1e5);
                p.send_request(0, 0, 1e5);
                p.advance(p.now + 5.0);
                for (id, attempt, s) in p.out() {
                    if s.backend == 3 && s.at >= started_at_ms {
                        sends.push(s.at - started_at_ms);
                    }
                    if p.now - s.at >= 250.0 || s.backend == 3 {
                        p.finish_attempt(id, attempt, Outcome::Ok);
                    }
                }
                p.forget();
            }
        }
        sends.sort_by(f64::total_cmp);
        // 400 requests a second an instance over 8 backends: a warm one bears at least this many a second.
        let warm = 400.0 * f64::from(instance_count) / f64::from(n);
        for from in 0..2000 {
            let from = f64::from(from);
            let got = sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let present = 0.12 + 0.88 * from / 20_000.0;
            assert!(got <= 3.0 * present * warm, "{instance_count} copies: {got} sends from {from} ms on");
        }
        assert!(!sends.is_empty(), "{instance_count} copies: the cold backend gets its share");
    }
}

/// A release replaces ten of sixteen backends. Each instance has few calls out, but together the instances give the new
/// ones about what they surely bear, and not much less: the six that are left can't bear it all.
#[test]
fn cold_backends_get_their_part_of_a_fleet_whose_copies_call_each_seldom() {
    let (n, instance_count) = (16, 16);
    let mut sends = vec![Vec::new(); 1 + n + 10];
    for instance_index in 0..instance_count {
        let mut s = settings(instance_count, vec![class(2000.0, 1.0, Idempotency::Idempotent)]);
        s.instance_index = instance_index;
        let mut p = ProxyHarness::new(s, u64::from(instance_index), endpoints(n as u32));
        let mut rng = fastrand::Rng::with_seed(u64::from(instance_index));
        let mut released = f64::INFINITY;
        while p.now < released + 6000.0 {
            if released.is_infinite() && p.now >= 9000.0 {
                released = p.now;
                let old = (1..=10).map(|b| EndpointInfo { phase: Phase::Draining, ..endpoint(b) });
                let new = (17..=26).map(|b| EndpointInfo { started_at_ms: released, ..endpoint(b) });
                p.list(EndpointListKind::Delta, old.chain(new).collect());
            }
            // 20 requests a second an instance, so 20 a second a backend, as answers take 250 ms.
            if rng.f64() < 0.1 {
                p.send_request(0, 0, 1e5);
            }
            p.advance(p.now + 5.0);
            for (id, attempt, s) in p.out() {
                if s.at + 5.0 >= p.now && s.at >= released {
                    sends[s.backend as usize].push(s.at - released);
                }
                if p.now - s.at >= 250.0 {
                    p.finish_attempt(id, attempt, Outcome::Ok);
                }
            }
            p.forget();
        }
    }
    let share = |of: &[Vec<f64>]| {
        let got = of.iter().flatten().filter(|&&t| t >= 2000.0).count() as f64;
        got / (4.0 * 20.0 * of.len() as f64)
    };
    // From second 2 to 6 a new one has surely 0.3 of what the old ones bear, which is at least what they are sent.
    let (old, new) = (share(&sends[11..=16]), share(&sends[17..=26]));
    assert!(new >= 0.25 * old, "a new backend gets {new:.2} of what an old one got, an old one now {old:.2}");
    for (backend, sends) in sends.iter().enumerate().skip(17) {
        for from in (0..5000).map(f64::from) {
            let got = sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let present = 0.12 + 0.88 * from / 20_000.0;
            assert!(got <= 3.0 * present * 20.0 * old, "{backend}: {got} sends from {from} ms on");
        }
    }
}

/// What all instances together admit at first is so many calls a backend, however many instances share it.
#[test]
fn the_limits_of_many_copies_begin_no_higher_together_than_those_of_few() {
    let n = 16;
    for instance_count in [4, 16, 48] {
        let mut admitted = 0;
        for instance_index in 0..instance_count {
            let mut s = settings(instance_count, vec![class(1200.0, 2.0, Idempotency::Idempotent)]);
            s.instance_index = instance_index;
            let mut p = ProxyHarness::new(s, u64::from(instance_index), endpoints(n));
            for _ in 0..100 {
                p.send_request(0, 0, 3000.0);
            }
            admitted += p.out().len() as u32;
        }
        // Parts of a call are rounded down at each instance.
        assert!((6 * n..=8 * n).contains(&admitted), "{instance_count} copies admit {admitted} calls");
    }
}

/// A tier whose backends have all just started, and instances that have just started too: there is no answer to learn
/// from, but the settings tell what the tier bears.
#[test]
fn copies_without_history_use_a_tier_that_is_all_cold() {
    let (instance_count, n) = (4, 8);
    let mut sends = vec![Vec::new(); 1 + n];
    for instance_index in 0..instance_count {
        let mut s = settings(instance_count, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
        (s.instance_index, s.tenants) = (instance_index, vec![Tenant { quota_per_s: 160.0 }]);
        let cold =
            endpoints(n as u32).into_iter().map(|e| EndpointInfo { started_at_ms: 1000.0, ..e }).collect();
        let mut p = ProxyHarness::new(s, u64::from(instance_index), cold);
        while p.now < 9000.0 {
            p.send_request(0, 0, 1000.0);
            p.advance(p.now + 25.0);
            for (id, attempt, s) in p.out() {
                if s.at + 25.0 >= p.now {
                    sends[s.backend as usize].push(s.at - 1000.0);
                }
                if p.now - s.at >= 100.0 {
                    p.finish_attempt(id, attempt, Outcome::Ok);
                }
            }
            p.forget();
        }
    }
    for (backend, sends) in sends.iter().enumerate().skip(1) {
        // 20 a second when warm; in eight seconds at a fourth of that and less.
        assert!(sends.len() >= 20, "{backend}: {} sends in all", sends.len());
        for from in (0..7000).map(f64::from) {
            let got = sends.iter().filter(|&&t| t >= from && t < from + 1000.0).count() as f64;
            let bound = 3.0 * 20.0 * (0.12 + 0.88 * from / 20_000.0);
            assert!(got <= bound, "{backend}: {got} sends from {from} ms on");
        }
    }
}

/// A restarted instance knows its backends that are warming up only from a cached list and has seen no rate yet.
#[test]
fn an_instance_without_history_spares_backends_in_slow_start() {
    let mut s = settings(10, vec![class(400.0, 1.0, Idempotency::Idempotent)]);
    s.instance_index = 4;
    let cold = endpoints(10).into_iter().map(|e| EndpointInfo { started_at_ms: 900.0, ..e }).collect();
    let mut p = ProxyHarness::new(s, 3, cold);
    for _ in 0..200 {
        p.send_request(0, 0, 1000.0);
    }
    for b in 1..=10 {
        let sends = p.out().iter().filter(|(_, _, s)| s.backend == b).count();
        assert!(sends <= 1, "{sends} sends at once to a cold backend");
    }
}

fn ordered() -> ProxyHarness {
    let idempotency = Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window_ms: 800.0 };
    ProxyHarness::new(
        settings(1, vec![Class { is_ordered_by_key: true, ..class(1000.0, 1.0, idempotency) }]),
        1,
        endpoints(6),
    )
}

/// Order: the next request of a key waits for the first to be over with all its attempts, then for the rest
/// after doubt, also where the client hung up; other keys and requests without one are free meanwhile.
#[test]
fn one_key_runs_one_at_a_time_with_rest_after_doubt() {
    for (outcome, rest) in [(Outcome::Ok, 0.0), (Outcome::Reset, 300.0), (Outcome::Timeout, 300.0)] {
        let mut p = ordered();
        let [first, next, other, free] = [7, 7, 8, 0].map(|key| p.send_keyed_request(key, 0, 0, 3000.0));
        let sends = |p: &ProxyHarness, id| p.requests[&id].sends.len();
        assert_eq!([first, next, other, free].map(|id| sends(&p, id)), [1, 0, 1, 1]);
        if rest > 0.0 {
            p.disconnect(first);
        }
        assert_eq!(sends(&p, next), 0, "{outcome:?}: the first still has an attempt out");
        p.finish_attempt(first, 0, outcome);
        assert_eq!(sends(&p, next), usize::from(rest == 0.0), "{outcome:?}");
        p.advance(p.now + rest);
        p.advance(p.now + 100.0);
        assert_eq!(sends(&p, next), 1, "{outcome:?}: the key has rested");
    }
}

/// A popular key: those that wait for its turn hold no slot, are answered in time and keep nobody else out.
#[test]
fn a_popular_key_keeps_nobody_out() {
    let mut p = ordered();
    let line: Vec<_> = (0..200).map(|_| p.send_keyed_request(7, 0, 0, 3000.0)).collect();
    let free = p.send_keyed_request(0, 0, 0, 3000.0);
    assert_eq!((p.out().len(), p.requests[&free].sends.len()), (2, 1));
    p.advance(p.now + 2500.0);
    assert!(line[1..].iter().all(|id| p.requests[id].ended.is_some_and(|e| e.1 == "refused")));
}

/// Closing on drains: at the notice, and again after an outcome that comes later.
#[test]
fn idle_connections_to_a_draining_backend_are_closed() {
    let mut p =
        ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, endpoints(1));
    let id = p.send_request(0, 0, 3000.0);
    p.list(EndpointListKind::Delta, vec![EndpointInfo { phase: Phase::Draining, ..endpoint(1) }]);
    assert_eq!(p.closed.get(&1), Some(&p.now));
    p.advance(p.now + 400.0);
    p.finish_attempt(id, 0, Outcome::Ok);
    assert_eq!(p.closed.get(&1), Some(&p.now), "again after the last outcome");
}
