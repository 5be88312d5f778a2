//! Settings put in force while the balancer works: what requests in work are owed, what stays learned, and what is
//! turned down.

mod support;

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use support::*;

const RETRYABLE: Idempotency = Idempotency::Idempotent;
const FRAGILE: Idempotency = Idempotency::NonIdempotent;
/// Each continues the one at its place.
const ONE: [Option<u16>; 1] = [Some(0)];
const TWO: [Option<u16>; 2] = [Some(0), Some(1)];

fn with(classes: Vec<Class>) -> Settings {
    settings(1, classes)
}

fn tenants(quotas: &[f64]) -> Vec<Tenant> {
    quotas.iter().map(|&quota_per_s| Tenant { quota_per_s }).collect()
}

/// How a request ended; nothing while it is open.
fn end(p: &ProxyHarness, request: RequestId) -> Option<&'static str> {
    p.requests[&request].ended.map(|(_, how)| how)
}

fn sends(p: &ProxyHarness, request: RequestId) -> usize {
    p.requests[&request].sends.len()
}

/// Asks until one is not sent at once; how many were. While the limit is full those are within their tenant's quota.
fn within(p: &mut ProxyHarness, tenant: u16) -> usize {
    let mut send_request = || {
        let id = p.send_request(0, tenant, 60_000.0);
        sends(p, id) > 0
    };
    (0..100).take_while(|_| send_request()).count()
}

/// Nobody is out or waits, and the counts say so.
fn assert_idle(p: &ProxyHarness) {
    let g = p.balancer.gauges();
    let counts = (g.requests, g.in_flight, g.in_flight_in_slices, g.queued);
    assert_eq!(counts, (0, 0.0, 0.0, 0), "what is over still counts");
}

#[test]
fn a_request_keeps_the_idempotency_that_it_was_admitted_with() {
    for (before, after) in [(RETRYABLE, FRAGILE), (FRAGILE, RETRYABLE)] {
        let mut p = ProxyHarness::new(with(vec![class(1000.0, 1.0, before)]), 1, endpoints(4));
        let old = p.send_request(0, 0, 5000.0);
        p.configure(with(vec![class(1000.0, 1.0, after)]), ONE.into(), vec![]).expect("sound");
        let new = p.send_request(0, 0, 5000.0);
        for (id, idempotency) in [(old, before), (new, after)] {
            p.finish_attempt(id, 0, Outcome::Reset);
            let again = idempotency == RETRYABLE;
            assert_eq!(sends(&p, id), if again { 2 } else { 1 }, "taken as {idempotency:?}");
            assert_eq!(end(&p, id), if again { None } else { Some("failed") }, "taken as {idempotency:?}");
        }
        p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
        assert_idle(&p);
    }
}

/// Repeats of one that was taken with a window end with that window, and not past its attempts.
#[test]
fn a_request_keeps_its_window_and_its_attempts() {
    let dedup =
        |window| Idempotency::Deduplicated { scope: DeduplicationScope::AllBackends, window_ms: window };
    let mut short = with(vec![class(1000.0, 1.0, dedup(200.0))]);
    short.capabilities.max_attempts = 2;
    let long = with(vec![class(1000.0, 1.0, dedup(60_000.0))]);
    for (wait, outcome, most) in [(250.0, Outcome::Reset, 1), (5.0, Outcome::Full, 2)] {
        let mut p = ProxyHarness::new(short.clone(), 1, endpoints(8));
        let old = p.send_request(0, 0, 5000.0);
        p.configure(long.clone(), ONE.into(), vec![]).expect("sound");
        let new = p.send_request(0, 0, 5000.0);
        p.advance(p.now + wait);
        for n in 0..2 {
            for id in [old, new] {
                if sends(&p, id) > n {
                    p.finish_attempt(id, n, outcome);
                }
            }
        }
        assert_eq!(sends(&p, old), most, "{outcome:?}");
        assert!(sends(&p, new) > most, "{outcome:?}: the new one goes on");
    }
}

#[test]
fn a_class_that_is_gone_drains() {
    let (kept, gone) = (class(1000.0, 1.0, FRAGILE), class(400.0, 5.0, RETRYABLE));
    let mut p = ProxyHarness::new(with(vec![gone.clone(), kept.clone()]), 1, endpoints(4));
    let old = p.send_request(0, 0, 5000.0);
    p.configure(with(vec![kept.clone()]), vec![Some(1)], vec![]).expect("sound");
    assert_eq!(end(&p, old), None);
    // Its place is another's now; the place behind that is nobody's.
    let new = p.send_request(0, 0, 5000.0);
    let none = p.send_request(1, 0, 5000.0);
    assert_eq!((end(&p, none), sends(&p, none)), (Some("failed"), 0));
    p.finish_attempt(old, 0, Outcome::Error);
    assert_eq!(sends(&p, old), 2, "it is repeatable as it was taken");
    p.finish_attempt(new, 0, Outcome::Error);
    assert_eq!((end(&p, new), sends(&p, new)), (Some("failed"), 1));
    p.finish_attempt(old, 1, Outcome::Ok);
    assert_eq!(end(&p, old), Some("served"));
    assert_idle(&p);
    p.configure(with(vec![kept, gone]), vec![Some(0), None], vec![]).expect("sound");
    assert_eq!(p.balancer.gauges().classes, 2, "the drained one's record serves again");
}

/// What was charged goes back to the tenant that paid it, wherever that stands now, and to nobody if it is gone.
#[test]
fn a_charge_stays_with_its_tenant() {
    let of =
        |quotas: &[f64]| Settings { tenants: tenants(quotas), ..with(vec![class(1000.0, 1.0, RETRYABLE)]) };
    for (quotas, continued, tenant, full, given) in [
        ([3.0, 0.0], [Some(0), Some(1)], 0, 0, 3),
        ([0.0, 3.0], [Some(1), Some(0)], 1, 0, 3),
        ([3.0, 0.0], [None, Some(1)], 0, 3, 0),
    ] {
        let mut p = ProxyHarness::new(of(&[3.0, 0.0]), 1, endpoints(4));
        let paid: Vec<RequestId> = (0..3).map(|_| p.send_request(0, 0, 5000.0)).collect();
        assert!(within(&mut p, 1) > 3, "the rest of the limit");
        assert_eq!(within(&mut p, 0), 0, "all is spent");
        p.configure(of(&quotas), ONE.into(), continued.into()).expect("sound");
        assert_eq!(within(&mut p, tenant), full, "{continued:?}");
        paid.into_iter().for_each(|id| p.disconnect(id));
        assert_eq!(within(&mut p, tenant), given, "{continued:?}");
    }
}

/// The learned limit, the mean latency of a class that only changes its priority weight, and slow-start budget hold.
#[test]
fn what_was_learned_holds() {
    let two =
        |priority_weight| with(vec![class(1000.0, priority_weight, RETRYABLE), class(500.0, 1.0, FRAGILE)]);
    let mut p = ProxyHarness::new(two(1.0), 1, endpoints(10));
    p.serve(5000.0, 4, 0, 40.0);
    let before = p.balancer.gauges();
    for priority_weight in [2.0, 3.0, 1.0] {
        p.configure(two(priority_weight), TWO.into(), vec![]).expect("sound");
        let after = p.balancer.gauges();
        assert_eq!((after.concurrency_limit, after.in_flight), (before.concurrency_limit, before.in_flight));
    }
}

/// Of two instances alike, one is told the same settings again and again between its events.
#[test]
fn the_same_settings_again_change_nothing() {
    let s = Settings { tenants: tenants(&[50.0]), ..with(vec![class(300.0, 1.0, RETRYABLE)]) };
    let run = |again: bool| {
        let mut p = ProxyHarness::new(s.clone(), 9, endpoints(6));
        let mut sent = Vec::new();
        for n in 0..2000u64 {
            let id = p.send_request(0, 0, 900.0);
            sent.extend(p.requests[&id].sends.first().map(|s| s.backend));
            p.advance(p.now + 5.0);
            for (id, attempt, s) in p.out() {
                if p.now - s.at >= 60.0 + f64::from(s.backend) * 5.0 {
                    p.finish_attempt(
                        id,
                        attempt,
                        if (id + n) % 17 == 0 { Outcome::Full } else { Outcome::Ok },
                    );
                }
            }
            p.forget();
            if again {
                let first = p.configure(s.clone(), ONE.into(), ONE.into()).expect("sound");
                assert_eq!(first, 0, "the number counts contents");
            }
        }
        (sent, p.balancer.gauges())
    };
    assert_eq!(run(false), run(true));
}

/// Held requests wait on, in their order, and are let go once the new settings have room.
#[test]
fn held_requests_wait_on_in_their_order() {
    let two = |priority_weight| {
        with(vec![class(8000.0, priority_weight, RETRYABLE), class(8000.0, 1.0, RETRYABLE)])
    };
    let mut p = ProxyHarness::new(two(3.0), 1, endpoints(2));
    // Both slices are full, then some are held in each.
    for n in 0..2 {
        while {
            let id = p.send_request(n, 0, 60_000.0);
            sends(&p, id) > 0
        } {}
    }
    for n in 0..4 {
        p.send_request(n % 2, 0, 60_000.0);
    }
    let queued = |p: &ProxyHarness, class: usize| -> Vec<RequestId> {
        let waits =
            p.requests.iter().filter(|(_, a)| a.class == class && a.sends.is_empty() && a.ended.is_none());
        waits.map(|(id, _)| *id).collect()
    };
    let (first, second) = (queued(&p, 0), queued(&p, 1));
    assert!(first.len() >= 3 && second.len() >= 3, "{first:?} {second:?}");
    // The classes change places, and worths: what waits does so still, each class in its order.
    let swapped = with(vec![class(8000.0, 5.0, RETRYABLE), class(8000.0, 1.0, FRAGILE)]);
    p.configure(swapped, vec![Some(1), Some(0)], vec![]).expect("sound");
    assert_eq!(p.balancer.gauges().queued, first.len() + second.len());
    let mut order = Vec::new();
    while !(queued(&p, 0).is_empty() && queued(&p, 1).is_empty()) {
        let waits = [queued(&p, 0), queued(&p, 1)].concat();
        let (id, n, _) = p.out().remove(0);
        p.finish_attempt(id, n, Outcome::Ok);
        order.extend(waits.into_iter().filter(|id| sends(&p, *id) > 0));
    }
    for of in [first, second] {
        let of_class: Vec<RequestId> = order.iter().copied().filter(|id| of.contains(id)).collect();
        assert_eq!(of_class, of, "in the order they came");
    }
    p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
    assert_idle(&p);
}

#[test]
fn a_quota_counts_from_its_change_on() {
    let of = |quota| {
        let s = with(vec![class(20_000.0, 1.0, RETRYABLE)]);
        Settings { tenants: tenants(&[quota, 0.0]), ..s }
    };
    for (before, after) in [(2.0, 6.0), (6.0, 3.0), (3.0, 12.0), (12.0, 12.0)] {
        let mut p = ProxyHarness::new(of(before), 1, endpoints(8));
        assert!(within(&mut p, 1) > 20, "the rest of the limit");
        assert_eq!(within(&mut p, 0), before as usize, "all of it");
        p.configure(of(after), ONE.into(), TWO.into()).expect("sound");
        assert_eq!(within(&mut p, 0), 0, "no quota of a time before the change");
        p.advance(p.now + 1000.0);
        assert_eq!(within(&mut p, 0), after as usize);
    }
}

/// What can't be put in force changes nothing at all: the instance goes on as one that was never told of it.
#[test]
fn a_bad_configuration_changes_nothing() {
    let s = Settings { tenants: tenants(&[5.0]), ..with(vec![class(3000.0, 1.0, RETRYABLE)]) };
    let good = SettingsUpdate {
        settings: Settings { over_quota_weight: 0.5, ..s.clone() },
        continued_classes: ONE.into(),
        continued_tenants: ONE.into(),
        ..SettingsUpdate::default()
    };
    let bad = |change: fn(&mut SettingsUpdate)| {
        let mut next = good.clone();
        change(&mut next);
        next
    };
    let wrong = [
        ("classes[0].aim", bad(|c| c.settings.classes[0].latency_objective_ms = 0.0)),
        ("tenants[0].quotaPerS", bad(|c| c.settings.tenants[0].quota_per_s = f64::NAN)),
        ("classes", bad(|c| c.settings.classes.clear())),
        ("classes", bad(|c| c.continued_classes = vec![])),
        ("classes", bad(|c| c.continued_classes = vec![Some(1)])),
        ("tenants", bad(|c| c.continued_tenants = vec![Some(7)])),
        (
            "tenants",
            bad(|c| {
                c.continued_tenants = vec![Some(0); 2];
                c.settings.tenants.push(Tenant::default());
            }),
        ),
        ("tier", bad(|c| c.settings.tier = 1)),
        ("locality", bad(|c| c.settings.zone = 1)),
        ("tick", bad(|c| c.settings.tick_ms = 1.0)),
        ("discovery", bad(|c| c.settings.discovery_mode = DiscoveryMode::Poll)),
        ("version", bad(|c| c.version = 6)),
        ("version", bad(|c| c.version = 7)),
        ("version", bad(|c| (c.version, c.settings, c.content_hash) = (7, with(vec![]), 1))),
    ];
    let run = |handle: bool| {
        let mut p = ProxyHarness::new(s.clone(), 5, endpoints(3));
        let first = SettingsUpdate { version: 7, settings: s.clone(), ..good.clone() };
        assert_eq!(p.balancer.configure(p.now, first, &mut Vec::new()), Ok(7));
        for (field, next) in &wrong {
            for n in 0..30 {
                p.send_request(0, 0, 9000.0);
                p.advance(p.now + 5.0);
                // Too slow for all: the limit is full, and some are held.
                if let Some((id, n, _)) = p.out().first().cloned().filter(|_| n % 3 == 0) {
                    p.finish_attempt(id, n, Outcome::Ok);
                }
            }
            if handle {
                let mut actions = Vec::new();
                let said = p.balancer.configure(p.now, next.clone(), &mut actions).expect_err(field);
                assert!(said.field == *field || next.settings.classes.is_empty(), "{said} and not {field}");
                assert!(actions.is_empty() && p.balancer.version() == 7);
            }
        }
        (format!("{:?}", p.requests), p.balancer.gauges())
    };
    assert_eq!(run(false), run(true));
}

#[test]
fn versions_never_go_back() {
    let s = with(vec![class(300.0, 1.0, RETRYABLE)]);
    let mut balancer = Balancer::new(s.clone(), 1).expect("sound");
    let mut handle = |version, priority_weight, content_hash| {
        let mut settings = s.clone();
        settings.classes[0].priority_weight = priority_weight;
        let next = SettingsUpdate {
            version,
            settings,
            continued_classes: ONE.into(),
            continued_tenants: vec![],
            content_hash,
        };
        balancer.configure(0.0, next, &mut Vec::new()).map_err(|e| e.field)
    };
    let stale = || Err("version".to_string());
    assert_eq!(handle(0, 1.0, 0), Ok(0), "as it was");
    assert_eq!(handle(0, 2.0, 0), Ok(1), "it counts by itself");
    assert_eq!(handle(0, 2.0, 0), Ok(1));
    assert_eq!(handle(0, 2.0, 1), Ok(2), "other contents that are not the module's");
    assert_eq!(handle(9, 2.0, 1), Ok(9), "the same by another number");
    assert_eq!(handle(9, 2.0, 1), Ok(9), "told twice");
    assert_eq!(handle(9, 3.0, 1), stale());
    assert_eq!(handle(9, 2.0, 0), stale());
    assert_eq!(handle(8, 3.0, 1), stale());
    assert_eq!(handle(8, 2.0, 1), stale(), "not even with the same contents");
    assert_eq!(handle(0, 3.0, 1), Ok(10));
}

/// Thousands of random changes under traffic: the checks of the rules hold for every request as it was taken, each
/// has one answer, the counts return to nothing, and nothing grows with the number of changes.
#[test]
fn thousands_of_changes_under_traffic() {
    let first = decisions(7, 3000);
    assert_eq!(first, decisions(7, 3000), "the same seed decides alike");
    assert_ne!(first, decisions(8, 3000));
}

/// Runs so many changes with traffic, and gives all ends and sends in their order.
fn decisions(seed: u64, changes: usize) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let idempotency = |n: u8| match n {
        0 => RETRYABLE,
        1 => FRAGILE,
        2 => Idempotency::Deduplicated { scope: DeduplicationScope::AllBackends, window_ms: 400.0 },
        _ => Idempotency::Deduplicated { scope: DeduplicationScope::Zone, window_ms: 900.0 },
    };
    let new_class = |rng: &mut fastrand::Rng| Class {
        latency_objective_ms: 100.0 + 100.0 * f64::from(rng.u8(..8)),
        priority_weight: f64::from(rng.u8(1..5)),
        idempotency: idempotency(rng.u8(..4)),
        is_ordered_by_key: rng.u8(..4) == 0,
    };
    let list: Vec<EndpointInfo> =
        (1..=12).map(|b| EndpointInfo { zone: b as u16 % 3, ..endpoint(b) }).collect();
    let start = Settings { tenants: tenants(&[20.0]), ..with(vec![new_class(&mut rng)]) };
    let mut p = ProxyHarness::new(start, seed, list.clone());
    let mut story = Vec::new();
    for _ in 0..changes {
        let mut s = p.s.clone();
        let mut classes: Vec<Option<u16>> = (0..s.classes.len() as u16).map(Some).collect();
        let mut places: Vec<Option<u16>> = (0..s.tenants.len() as u16).map(Some).collect();
        match rng.u8(..9) {
            0 if s.classes.len() < 6 => {
                let at = rng.usize(..=s.classes.len());
                s.classes.insert(at, new_class(&mut rng));
                classes.insert(at, None);
            }
            1 if s.classes.len() > 1 => {
                let at = rng.usize(..s.classes.len());
                s.classes.remove(at);
                classes.remove(at);
            }
            2 => {
                let at = rng.usize(..s.classes.len());
                s.classes[at] = new_class(&mut rng);
            }
            3 => {
                let (a, b) = (rng.usize(..s.classes.len()), rng.usize(..s.classes.len()));
                s.classes.swap(a, b);
                classes.swap(a, b);
            }
            4 if s.tenants.len() < 5 => {
                let at = rng.usize(..=s.tenants.len());
                s.tenants.insert(at, Tenant { quota_per_s: f64::from(rng.u8(..50)) });
                places.insert(at, None);
            }
            5 if !s.tenants.is_empty() => {
                let at = rng.usize(..s.tenants.len());
                s.tenants.remove(at);
                places.remove(at);
            }
            6 => {
                s.instance_count = rng.u32(1..5);
                s.instance_index = rng.u32(..s.instance_count);
            }
            7 => s.capabilities.max_attempts = rng.u32(1..6),
            _ => {
                s.objective.worst_class_weight = f64::from(rng.u8(..10)) / 10.0;
                s.over_quota_weight = f64::from(rng.u8(..10)) / 10.0;
                s.guarantees.warm_up_ms = 1000.0 * f64::from(rng.u8(1..20));
                s.objective.cross_zone_price = f64::from(rng.u8(..3)) / 10.0;
            }
        }
        p.configure(s, classes, places).expect("sound");
        for _ in 0..rng.u8(..12) {
            let class = rng.usize(..p.s.classes.len());
            let tenant = rng.u16(..p.s.tenants.len().max(1) as u16);
            let key = rng.u64(..4);
            let id = match rng.u8(..8) {
                0 => p.send_streamed_request(class, 600.0),
                _ => p.send_keyed_request(key, class, tenant, f64::from(rng.u16(20..1500))),
            };
            if rng.u8(..20) == 0 && p.requests[&id].ended.is_none() {
                p.disconnect(id);
            }
        }
        p.advance(p.now + f64::from(rng.u8(1..30)));
        for (id, n, s) in p.out() {
            if p.now - s.at > 10.0 && rng.u8(..3) > 0 {
                let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::Error, Outcome::Reset];
                p.finish_attempt(id, n, outcomes[rng.usize(..outcomes.len())]);
            }
        }
        let over = p.requests.iter().filter(|(_, a)| a.ended.is_some());
        story.extend(over.map(|(id, a)| format!("{id} {:?} {:?}", a.ended, a.sends)));
        p.forget();
        let (g, open) = (p.balancer.gauges(), p.requests.len());
        assert!(g.requests <= open, "{} requests of {open}", g.requests);
        assert_eq!(g.in_flight, g.in_flight_in_slices);
        assert!(g.classes <= 2 * 6 + open, "{} records of classes", g.classes);
    }
    // All that is open ends by itself.
    p.advance(p.now + 3000.0);
    assert!(p.requests.values().all(|a| a.ended.is_some()), "without an answer");
    let same = (0..p.s.classes.len() as u16).map(Some).collect();
    let places = (0..p.s.tenants.len() as u16).map(Some).collect();
    let s = Settings { over_quota_weight: p.s.over_quota_weight + 1.0, ..p.s.clone() };
    p.configure(s, same, places).expect("sound");
    assert_idle(&p);
    assert!(p.balancer.gauges().classes <= 12);
    story
}
