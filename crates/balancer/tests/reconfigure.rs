//! Configures a running balancer: the effect on open requests, the state that is kept, and rejected settings.

mod support;

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use support::*;

const IDEMPOTENT: Idempotency = Idempotency::Idempotent;
const NON_IDEMPOTENT: Idempotency = Idempotency::NonIdempotent;
/// Each class or tenant continues the one at the same index.
const CONTINUE_ONE: [Option<u16>; 1] = [Some(0)];
const CONTINUE_TWO: [Option<u16>; 2] = [Some(0), Some(1)];

/// Returns settings with these classes.
fn settings_with(classes: Vec<Class>) -> Settings {
    settings(1, classes)
}

/// Returns tenants with these quotas.
fn tenants(quotas: &[f64]) -> Vec<Tenant> {
    quotas.iter().map(|&quota_per_s| Tenant { quota_per_s }).collect()
}

/// Returns how a request ended, or `None` while it is open.
fn end_of(proxy: &ProxyHarness, request: RequestId) -> Option<&'static str> {
    proxy.requests[&request].ended.map(|(_, end)| end)
}

/// Returns the number of attempts of a request.
fn attempt_count(proxy: &ProxyHarness, request: RequestId) -> usize {
    proxy.requests[&request].attempts.len()
}

/// Submits requests until one is not sent at once, and returns the number before it. While the limit is full,
/// only requests within the quota of their tenant are sent.
fn count_sent_at_once(proxy: &mut ProxyHarness, tenant: u16) -> usize {
    let mut is_sent_at_once = || {
        let request = proxy.submit_request(0, tenant, 60_000.0);
        attempt_count(proxy, request) > 0
    };
    (0..100).take_while(|_| is_sent_at_once()).count()
}

/// Checks that no request is open, in flight or queued.
fn assert_idle(proxy: &ProxyHarness) {
    let gauges = proxy.balancer.gauges();
    let counts = (gauges.requests, gauges.in_flight, gauges.in_flight_in_slices, gauges.queued);
    assert_eq!(counts, (0, 0.0, 0.0, 0), "requests that ended are still counted");
}

/// Guards against a retry that follows the idempotency of the new settings instead of that at admission.
#[test]
fn open_request_keeps_its_idempotency() {
    for (before, after) in [(IDEMPOTENT, NON_IDEMPOTENT), (NON_IDEMPOTENT, IDEMPOTENT)] {
        let mut proxy = ProxyHarness::new(settings_with(vec![class(1000.0, 1.0, before)]), 1, endpoints(4));

        let old = proxy.submit_request(0, 0, 5000.0);
        proxy
            .configure(settings_with(vec![class(1000.0, 1.0, after)]), CONTINUE_ONE.into(), vec![])
            .expect("valid settings");
        let new = proxy.submit_request(0, 0, 5000.0);
        for (request, idempotency) in [(old, before), (new, after)] {
            proxy.finish_attempt(request, 0, Outcome::Reset);
            let is_retried = idempotency == IDEMPOTENT;
            assert_eq!(
                attempt_count(&proxy, request),
                if is_retried { 2 } else { 1 },
                "admitted as {idempotency:?}"
            );
            assert_eq!(
                end_of(&proxy, request),
                if is_retried { None } else { Some("failed") },
                "admitted as {idempotency:?}"
            );
        }
        proxy
            .attempts_in_flight()
            .into_iter()
            .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));

        assert_idle(&proxy);
    }
}

/// Guards against retries past the deduplication window or the attempt limit at admission, after a
/// configuration with a longer window and more attempts.
#[test]
fn open_request_keeps_its_window_and_attempt_limit() {
    let dedup = |window_ms| Idempotency::Deduplicated { scope: DeduplicationScope::AllBackends, window_ms };
    let mut short = settings_with(vec![class(1000.0, 1.0, dedup(200.0))]);
    short.capabilities.max_attempts = 2;
    let long = settings_with(vec![class(1000.0, 1.0, dedup(60_000.0))]);

    for (delay_ms, outcome, max_attempts) in [(250.0, Outcome::Reset, 1), (5.0, Outcome::Full, 2)] {
        let mut proxy = ProxyHarness::new(short.clone(), 1, endpoints(8));

        let old = proxy.submit_request(0, 0, 5000.0);
        proxy.configure(long.clone(), CONTINUE_ONE.into(), vec![]).expect("valid settings");
        let new = proxy.submit_request(0, 0, 5000.0);
        proxy.advance_to(proxy.now_ms + delay_ms);
        for attempt in 0..2 {
            for request in [old, new] {
                if attempt_count(&proxy, request) > attempt {
                    proxy.finish_attempt(request, attempt, outcome);
                }
            }
        }

        assert_eq!(attempt_count(&proxy, old), max_attempts, "{outcome:?}");
        assert!(attempt_count(&proxy, new) > max_attempts, "{outcome:?}: the new request is not retried");
    }
}

/// Guards against open requests that change their class when it is removed and another takes its index.
#[test]
fn removed_class_serves_its_open_requests() {
    let (kept, removed) = (class(1000.0, 1.0, NON_IDEMPOTENT), class(400.0, 5.0, IDEMPOTENT));
    let mut proxy = ProxyHarness::new(settings_with(vec![removed.clone(), kept.clone()]), 1, endpoints(4));
    let old = proxy.submit_request(0, 0, 5000.0);
    proxy.configure(settings_with(vec![kept.clone()]), vec![Some(1)], vec![]).expect("valid settings");
    assert_eq!(end_of(&proxy, old), None);

    // Index 0 now belongs to the other class, and index 1 to none.
    let new = proxy.submit_request(0, 0, 5000.0);
    let none = proxy.submit_request(1, 0, 5000.0);
    assert_eq!((end_of(&proxy, none), attempt_count(&proxy, none)), (Some("failed"), 0));

    proxy.finish_attempt(old, 0, Outcome::Error);
    assert_eq!(attempt_count(&proxy, old), 2, "the request is retried as its removed class allows");

    proxy.finish_attempt(new, 0, Outcome::Error);
    assert_eq!((end_of(&proxy, new), attempt_count(&proxy, new)), (Some("failed"), 1));

    proxy.finish_attempt(old, 1, Outcome::Ok);
    assert_eq!(end_of(&proxy, old), Some("served"));
    assert_idle(&proxy);

    proxy.configure(settings_with(vec![kept, removed]), vec![Some(0), None], vec![]).expect("valid settings");
    assert_eq!(proxy.balancer.gauges().classes, 2, "the record of the removed class is reused");
}

/// Guards against a quota refund to the wrong tenant: a charge returns to the tenant that paid, at whatever
/// index it now is, and to none if that tenant was removed.
#[test]
fn quota_charge_returns_to_the_tenant_that_paid() {
    let settings_with_quotas = |quotas: &[f64]| Settings {
        tenants: tenants(quotas),
        ..settings_with(vec![class(1000.0, 1.0, IDEMPOTENT)])
    };
    for (quotas, continued, tenant, before_end, after_end) in [
        ([3.0, 0.0], [Some(0), Some(1)], 0, 0, 3),
        ([0.0, 3.0], [Some(1), Some(0)], 1, 0, 3),
        ([3.0, 0.0], [None, Some(1)], 0, 3, 0),
    ] {
        let mut proxy = ProxyHarness::new(settings_with_quotas(&[3.0, 0.0]), 1, endpoints(4));

        let paid: Vec<RequestId> = (0..3).map(|_| proxy.submit_request(0, 0, 5000.0)).collect();
        assert!(count_sent_at_once(&mut proxy, 1) > 3, "the rest of the limit is not used");
        assert_eq!(count_sent_at_once(&mut proxy, 0), 0, "the quota is not spent");

        proxy
            .configure(settings_with_quotas(&quotas), CONTINUE_ONE.into(), continued.into())
            .expect("valid settings");
        assert_eq!(count_sent_at_once(&mut proxy, tenant), before_end, "{continued:?}");

        paid.into_iter().for_each(|request| proxy.disconnect(request));
        assert_eq!(count_sent_at_once(&mut proxy, tenant), after_end, "{continued:?}");
    }
}

/// Guards against a configuration that resets learned state. The concurrency limit and the attempts in flight
/// stay when only a priority weight changes; so do the mean latency of the class and the slow-start budget
/// behind them.
#[test]
fn learned_limit_survives_a_configuration() {
    let settings_with_weight = |priority_weight| {
        settings_with(vec![class(1000.0, priority_weight, IDEMPOTENT), class(500.0, 1.0, NON_IDEMPOTENT)])
    };
    let mut proxy = ProxyHarness::new(settings_with_weight(1.0), 1, endpoints(10));

    proxy.serve_steadily(5000.0, 4, 0, 40.0);
    let before = proxy.balancer.gauges();
    for priority_weight in [2.0, 3.0, 1.0] {
        proxy
            .configure(settings_with_weight(priority_weight), CONTINUE_TWO.into(), vec![])
            .expect("valid settings");
        let after = proxy.balancer.gauges();
        assert_eq!((after.concurrency_limit, after.in_flight), (before.concurrency_limit, before.in_flight));
    }
}

/// Guards against side effects of settings that are already in force: of two equal instances, one is
/// configured with the same settings after each round of events.
#[test]
fn configuring_the_same_settings_changes_nothing() {
    let settings =
        Settings { tenants: tenants(&[50.0]), ..settings_with(vec![class(300.0, 1.0, IDEMPOTENT)]) };
    let run = |is_reconfigured: bool| {
        let mut proxy = ProxyHarness::new(settings.clone(), 9, endpoints(6));
        let mut sent = Vec::new();
        for n in 0..2000u64 {
            let request = proxy.submit_request(0, 0, 900.0);
            sent.extend(proxy.requests[&request].attempts.first().map(|sent| sent.backend));
            proxy.advance_to(proxy.now_ms + 5.0);
            for (request, attempt, sent) in proxy.attempts_in_flight() {
                if proxy.now_ms - sent.sent_at_ms >= 60.0 + f64::from(sent.backend) * 5.0 {
                    proxy.finish_attempt(
                        request,
                        attempt,
                        if (request + n) % 17 == 0 { Outcome::Full } else { Outcome::Ok },
                    );
                }
            }
            proxy.forget_finished_requests();
            if is_reconfigured {
                let first = proxy
                    .configure(settings.clone(), CONTINUE_ONE.into(), CONTINUE_ONE.into())
                    .expect("valid settings");
                assert_eq!(first, 0, "the version changes only with the content");
            }
        }
        (sent, proxy.balancer.gauges())
    };

    assert_eq!(run(false), run(true));
}

/// Guards against queued requests that are lost or reordered by a configuration: they stay queued in order,
/// and are sent when slots become free.
#[test]
fn queued_requests_keep_their_order() {
    let settings_with_weight = |priority_weight| {
        settings_with(vec![class(8000.0, priority_weight, IDEMPOTENT), class(8000.0, 1.0, IDEMPOTENT)])
    };
    let mut proxy = ProxyHarness::new(settings_with_weight(3.0), 1, endpoints(2));

    // Fill both slices, then queue requests in each.
    for n in 0..2 {
        while {
            let request = proxy.submit_request(n, 0, 60_000.0);
            attempt_count(&proxy, request) > 0
        } {}
    }
    for n in 0..4 {
        proxy.submit_request(n % 2, 0, 60_000.0);
    }
    let queued = |proxy: &ProxyHarness, class: usize| -> Vec<RequestId> {
        let queued_requests = proxy.requests.iter().filter(|(_, record)| {
            record.class == class && record.attempts.is_empty() && record.ended.is_none()
        });
        queued_requests.map(|(request, _)| *request).collect()
    };
    let (first, second) = (queued(&proxy, 0), queued(&proxy, 1));
    assert!(first.len() >= 3 && second.len() >= 3, "{first:?} {second:?}");

    // The classes swap their indexes and change their weights; the queued requests of each class stay in
    // order.
    let swapped = settings_with(vec![class(8000.0, 5.0, IDEMPOTENT), class(8000.0, 1.0, NON_IDEMPOTENT)]);
    proxy.configure(swapped, vec![Some(1), Some(0)], vec![]).expect("valid settings");
    assert_eq!(proxy.balancer.gauges().queued, first.len() + second.len());

    let mut order = Vec::new();
    while !(queued(&proxy, 0).is_empty() && queued(&proxy, 1).is_empty()) {
        let still_queued = [queued(&proxy, 0), queued(&proxy, 1)].concat();
        let (request, attempt, _) = proxy.attempts_in_flight().remove(0);
        proxy.finish_attempt(request, attempt, Outcome::Ok);
        order.extend(still_queued.into_iter().filter(|request| attempt_count(&proxy, *request) > 0));
    }

    for of in [first, second] {
        let of_class: Vec<RequestId> = order.iter().copied().filter(|request| of.contains(request)).collect();
        assert_eq!(of_class, of, "not sent in order of arrival");
    }

    proxy
        .attempts_in_flight()
        .into_iter()
        .for_each(|(request, attempt, _)| proxy.finish_attempt(request, attempt, Outcome::Ok));
    assert_idle(&proxy);
}

/// Guards against a new quota that also counts for the time before its configuration.
#[test]
fn new_quota_counts_from_its_configuration() {
    let settings_with_quota = |quota| {
        let settings = settings_with(vec![class(20_000.0, 1.0, IDEMPOTENT)]);
        Settings { tenants: tenants(&[quota, 0.0]), ..settings }
    };
    for (before, after) in [(2.0, 6.0), (6.0, 3.0), (3.0, 12.0), (12.0, 12.0)] {
        let mut proxy = ProxyHarness::new(settings_with_quota(before), 1, endpoints(8));

        assert!(count_sent_at_once(&mut proxy, 1) > 20, "the rest of the limit is not used");
        assert_eq!(count_sent_at_once(&mut proxy, 0), before as usize, "not the whole quota");

        proxy
            .configure(settings_with_quota(after), CONTINUE_ONE.into(), CONTINUE_TWO.into())
            .expect("valid settings");
        assert_eq!(
            count_sent_at_once(&mut proxy, 0),
            0,
            "the new quota was granted for the time before the configuration"
        );

        proxy.advance_to(proxy.now_ms + 1000.0);
        assert_eq!(count_sent_at_once(&mut proxy, 0), after as usize);
    }
}

/// Guards against a rejected configuration that takes effect in part: the instance must continue as one that
/// never got it.
#[test]
fn rejected_configuration_changes_nothing() {
    let settings =
        Settings { tenants: tenants(&[5.0]), ..settings_with(vec![class(3000.0, 1.0, IDEMPOTENT)]) };
    let good = SettingsUpdate {
        settings: Settings { over_quota_weight: 0.5, ..settings.clone() },
        continued_classes: CONTINUE_ONE.into(),
        continued_tenants: CONTINUE_ONE.into(),
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
        ("version", bad(|c| (c.version, c.settings, c.content_hash) = (7, settings_with(vec![]), 1))),
    ];
    let run = |is_configured: bool| {
        let mut proxy = ProxyHarness::new(settings.clone(), 5, endpoints(3));
        let first = SettingsUpdate { version: 7, settings: settings.clone(), ..good.clone() };
        assert_eq!(proxy.balancer.configure(proxy.now_ms, first, &mut Vec::new()), Ok(7));
        for (field, next) in &wrong {
            for n in 0..30 {
                proxy.submit_request(0, 0, 9000.0);
                proxy.advance_to(proxy.now_ms + 5.0);
                // Only every third round finishes an attempt, so the limit is full and requests are queued.
                if let Some((request, attempt, _)) =
                    proxy.attempts_in_flight().first().cloned().filter(|_| n % 3 == 0)
                {
                    proxy.finish_attempt(request, attempt, Outcome::Ok);
                }
            }
            if is_configured {
                let mut actions = Vec::new();
                let error =
                    proxy.balancer.configure(proxy.now_ms, next.clone(), &mut actions).expect_err(field);
                assert!(error.field == *field || next.settings.classes.is_empty(), "{error} and not {field}");
                assert!(actions.is_empty() && proxy.balancer.version() == 7);
            }
        }
        (format!("{:?}", proxy.requests), proxy.balancer.gauges())
    };

    assert_eq!(run(false), run(true));
}

/// Guards against a stale configuration that replaces a newer one, and against one version with two contents.
#[test]
fn version_never_decreases() {
    let settings = settings_with(vec![class(300.0, 1.0, IDEMPOTENT)]);
    let mut balancer = Balancer::new(settings.clone(), 1).expect("valid settings");
    let mut configure = |version, priority_weight, content_hash| {
        let mut settings = settings.clone();
        settings.classes[0].priority_weight = priority_weight;
        let update = SettingsUpdate {
            version,
            settings,
            continued_classes: CONTINUE_ONE.into(),
            continued_tenants: vec![],
            content_hash,
        };
        balancer.configure(0.0, update, &mut Vec::new()).map_err(|e| e.field)
    };
    let stale = || Err("version".to_string());

    assert_eq!(configure(0, 1.0, 0), Ok(0), "the same settings");
    assert_eq!(configure(0, 2.0, 0), Ok(1), "version 0 asks for the next version");
    assert_eq!(configure(0, 2.0, 0), Ok(1));
    assert_eq!(configure(0, 2.0, 1), Ok(2), "another content hash is other content");
    assert_eq!(configure(9, 2.0, 1), Ok(9), "the same content with a higher version");
    assert_eq!(configure(9, 2.0, 1), Ok(9), "the same version again");
    assert_eq!(configure(9, 3.0, 1), stale());
    assert_eq!(configure(9, 2.0, 0), stale());
    assert_eq!(configure(8, 3.0, 1), stale());
    assert_eq!(configure(8, 2.0, 1), stale(), "a lower version with the same content");
    assert_eq!(configure(0, 3.0, 1), Ok(10));
}

/// Guards against faults that only a sequence of configurations shows. Under random changes and traffic, each
/// request follows its settings at admission and ends once, counts return to zero, and no state grows with
/// the changes.
#[test]
fn rules_hold_over_random_changes_under_traffic() {
    let first = run_random_changes(7, 3000);
    assert_eq!(first, run_random_changes(7, 3000), "the same seed gives other decisions");
    assert_ne!(first, run_random_changes(8, 3000));
}

/// Runs `changes` random configurations under traffic, and returns the ends and attempts of all requests in
/// order.
fn run_random_changes(seed: u64, changes: usize) -> Vec<String> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let idempotency = |n: u8| match n {
        0 => IDEMPOTENT,
        1 => NON_IDEMPOTENT,
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
    let start = Settings { tenants: tenants(&[20.0]), ..settings_with(vec![new_class(&mut rng)]) };
    let mut proxy = ProxyHarness::new(start, seed, list.clone());
    let mut decisions = Vec::new();
    for _ in 0..changes {
        let mut settings = proxy.settings.clone();
        let mut continued_classes: Vec<Option<u16>> = (0..settings.classes.len() as u16).map(Some).collect();
        let mut continued_tenants: Vec<Option<u16>> = (0..settings.tenants.len() as u16).map(Some).collect();
        match rng.u8(..9) {
            0 if settings.classes.len() < 6 => {
                let at = rng.usize(..=settings.classes.len());
                settings.classes.insert(at, new_class(&mut rng));
                continued_classes.insert(at, None);
            }
            1 if settings.classes.len() > 1 => {
                let at = rng.usize(..settings.classes.len());
                settings.classes.remove(at);
                continued_classes.remove(at);
            }
            2 => {
                let at = rng.usize(..settings.classes.len());
                settings.classes[at] = new_class(&mut rng);
            }
            3 => {
                let (a, b) = (rng.usize(..settings.classes.len()), rng.usize(..settings.classes.len()));
                settings.classes.swap(a, b);
                continued_classes.swap(a, b);
            }
            4 if settings.tenants.len() < 5 => {
                let at = rng.usize(..=settings.tenants.len());
                settings.tenants.insert(at, Tenant { quota_per_s: f64::from(rng.u8(..50)) });
                continued_tenants.insert(at, None);
            }
            5 if !settings.tenants.is_empty() => {
                let at = rng.usize(..settings.tenants.len());
                settings.tenants.remove(at);
                continued_tenants.remove(at);
            }
            6 => {
                settings.instance_count = rng.u32(1..5);
                settings.instance_index = rng.u32(..settings.instance_count);
            }
            7 => settings.capabilities.max_attempts = rng.u32(1..6),
            _ => {
                settings.objective.worst_class_weight = f64::from(rng.u8(..10)) / 10.0;
                settings.over_quota_weight = f64::from(rng.u8(..10)) / 10.0;
                settings.guarantees.warm_up_ms = 1000.0 * f64::from(rng.u8(1..20));
                settings.objective.cross_zone_price = f64::from(rng.u8(..3)) / 10.0;
            }
        }
        proxy.configure(settings, continued_classes, continued_tenants).expect("valid settings");
        for _ in 0..rng.u8(..12) {
            let class = rng.usize(..proxy.settings.classes.len());
            let tenant = rng.u16(..proxy.settings.tenants.len().max(1) as u16);
            let key = rng.u64(..4);
            let request = match rng.u8(..8) {
                0 => proxy.submit_streamed_request(class, 600.0),
                _ => proxy.submit_keyed_request(key, class, tenant, f64::from(rng.u16(20..1500))),
            };
            if rng.u8(..20) == 0 && proxy.requests[&request].ended.is_none() {
                proxy.disconnect(request);
            }
        }
        proxy.advance_to(proxy.now_ms + f64::from(rng.u8(1..30)));
        for (request, attempt, sent) in proxy.attempts_in_flight() {
            if proxy.now_ms - sent.sent_at_ms > 10.0 && rng.u8(..3) > 0 {
                let outcomes = [Outcome::Ok, Outcome::Ok, Outcome::Full, Outcome::Error, Outcome::Reset];
                proxy.finish_attempt(request, attempt, outcomes[rng.usize(..outcomes.len())]);
            }
        }
        let finished = proxy.requests.iter().filter(|(_, record)| record.ended.is_some());
        decisions.extend(
            finished.map(|(request, record)| format!("{request} {:?} {:?}", record.ended, record.attempts)),
        );
        proxy.forget_finished_requests();
        let (gauges, open) = (proxy.balancer.gauges(), proxy.requests.len());
        assert!(gauges.requests <= open, "{} requests of {open}", gauges.requests);
        assert_eq!(gauges.in_flight, gauges.in_flight_in_slices);
        assert!(gauges.classes <= 2 * 6 + open, "{} class records", gauges.classes);
    }
    // All open requests end by their deadline.
    proxy.advance_to(proxy.now_ms + 3000.0);
    assert!(proxy.requests.values().all(|record| record.ended.is_some()), "a request has no final answer");
    let continued_classes = (0..proxy.settings.classes.len() as u16).map(Some).collect();
    let continued_tenants = (0..proxy.settings.tenants.len() as u16).map(Some).collect();
    let settings =
        Settings { over_quota_weight: proxy.settings.over_quota_weight + 1.0, ..proxy.settings.clone() };
    proxy.configure(settings, continued_classes, continued_tenants).expect("valid settings");
    assert_idle(&proxy);
    assert!(proxy.balancer.gauges().classes <= 12);
    decisions
}
