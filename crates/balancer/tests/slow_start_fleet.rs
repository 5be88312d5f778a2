//! Checks that all instances together do not overload a backend in slow start. Compares the work that it
//! receives in each window with its budget and a random excess, in fleets of 3 to 720 instances and in the
//! events that start backends.

mod support;

use foldhitch_balancer::api::*;
use support::fleet::*;

const WARM_UP_MS: f64 = 15_000.0;

fn class(latency_objective_ms: f64, priority_weight: f64, idempotency: Idempotency) -> Class {
    Class { latency_objective_ms, priority_weight, idempotency, is_ordered_by_key: false }
}

/// Returns a scenario without changes: ten warm backends at half load.
fn base_scenario(instance_count: u32) -> Scenario {
    let warm_backends = 10;
    let guarantees = Guarantees {
        initial_capacity_fraction: 0.12,
        warm_up_ms: WARM_UP_MS,
        overload_multiple: 3.0,
        poll_within_ms: 10_000.0,
        ..Guarantees::default()
    };
    let quota_per_s = 0.9 * f64::from(warm_backends) * 40.0;
    let settings = Settings {
        instance_count,
        tick_ms: 5.0,
        over_quota_weight: 0.05,
        classes: vec![
            class(1200.0, 2.0, Idempotency::Idempotent),
            class(600.0, 5.0, Idempotency::NonIdempotent),
        ],
        tenants: vec![Tenant { quota_per_s }],
        capabilities: Capabilities { max_attempts: 4, ..Capabilities::default() },
        guarantees,
        ..Settings::default()
    };
    Scenario {
        settings,
        traffic: vec![
            ClassTraffic { share: 0.5, mean_work: 1.3 },
            ClassTraffic { share: 0.5, mean_work: 0.7 },
        ],
        cores_per_backend: 4,
        mean_service_ms: 100.0,
        load: 0.5,
        instance_weights: vec![1.0],
        max_notification_delay_ms: 1000.0,
        warm_backends,
        overload_window_ms: 1000.0,
        is_work_constant: false,
        changes: Vec::new(),
        end_ms: 30_000.0,
    }
}

/// A name, and the changes that make the base scenario this case.
type Case = (&'static str, fn(Scenario) -> Scenario);

fn cases() -> Vec<Case> {
    use Change::*;
    vec![
        ("a backend restarts under a burst", |base| Scenario {
            changes: vec![(8000.0, RestartBackend(3)), (9000.0, SetLoad(0.9)), (14_000.0, SetLoad(0.5))],
            ..base
        }),
        ("a release", |base| Scenario {
            changes: (0..5)
                .map(|n| (6000.0 + 1500.0 * f64::from(n), ReplaceBackend(1 + n, 11 + n)))
                .collect(),
            load: 0.6,
            ..base
        }),
        ("all instances restart during a slow start", |base| Scenario {
            changes: vec![
                (6000.0, RestartBackend(3)),
                (6000.0, RestartBackend(7)),
                (8000.0, RestartInstances(300.0)),
            ],
            load: 0.6,
            ..base
        }),
        ("new instances, all backends in slow start", |base| Scenario {
            changes: (1..=10)
                .map(|b| (2.0, RestartBackend(b)))
                .chain([(3.0, RestartInstances(100.0))])
                .collect(),
            load: 0.6,
            max_notification_delay_ms: 0.0,
            end_ms: 18_000.0,
            ..base
        }),
        ("the whole tier restarts", |base| Scenario {
            changes: (1..=10).map(|b| (8000.0, RestartBackend(b))).collect(),
            load: 0.7,
            ..base
        }),
        ("the whole tier restarts under a burst", |base| Scenario {
            changes: (1..=10)
                .map(|b| (8000.0, RestartBackend(b)))
                .chain([(9000.0, SetLoad(1.3)), (12_000.0, SetLoad(0.7))])
                .collect(),
            load: 0.7,
            ..base
        }),
        ("a tier that starts with half of its backends", |base| Scenario {
            changes: (1..=5)
                .map(|b| (2.0, RestartBackend(b)))
                .chain([(3.0, RestartInstances(100.0))])
                .chain((6..=10).map(|b| (1000.0 + 500.0 * f64::from(b), AddBackend(b))))
                .collect(),
            load: 1.2,
            max_notification_delay_ms: 0.0,
            warm_backends: 5,
            ..base
        }),
        ("most of the tier restarts", |base| Scenario {
            changes: (1..=7).map(|b| (8000.0, RestartBackend(b))).collect(),
            load: 0.7,
            ..base
        }),
        ("heavy requests", |base| {
            let traffic = vec![
                ClassTraffic { share: 0.85, mean_work: 0.3 },
                ClassTraffic { share: 0.15, mean_work: 4.95 },
            ];
            let changes = vec![(8000.0, RestartBackend(3)), (8000.0, RestartBackend(4))];
            Scenario { traffic, changes, ..base }
        }),
        ("two processes per instance", |base| Scenario {
            changes: vec![(5000.0, SetProcessCount(2)), (8000.0, RestartBackend(3))],
            ..base
        }),
        ("uneven traffic of the instances", |base| {
            let instance_count = base.settings.instance_count as usize;
            let instance_weights = (0..instance_count).map(|c| if c % 5 == 0 { 4.0 } else { 0.5 }).collect();
            Scenario {
                instance_weights,
                changes: vec![(8000.0, RestartBackend(3)), (8000.0, RestartBackend(8))],
                ..base
            }
        }),
        ("traffic moves between instances", |base| Scenario {
            changes: (0..5)
                .flat_map(|n| {
                    let at = 2000.0 + 1200.0 * f64::from(n);
                    [(at, ScaleTraffic(n, 3.0)), (at + 1200.0, ScaleTraffic(n, 0.7))]
                })
                .chain((0..5).map(|n| (8000.0, ScaleTraffic(n, 1.0))))
                .chain([(8000.0, RestartBackend(3)), (8000.0, RestartBackend(4)), (9500.0, SetLoad(0.9))])
                .collect(),
            ..base
        }),
        ("low load, then a burst", |base| Scenario {
            changes: vec![
                (8000.0, SetLoad(0.03)),
                (8000.0, RestartBackend(3)),
                (8000.0, RestartBackend(8)),
                (12_000.0, SetLoad(1.0)),
                (13_500.0, SetLoad(0.5)),
            ],
            load: 0.7,
            ..with_single_core_backends(base)
        }),
        ("instances restart into a burst", |base| Scenario {
            changes: vec![
                (8000.0, RestartInstances(50.0)),
                (8000.0, SetLoad(4.0)),
                (8400.0, SetLoad(0.6)),
                (8600.0, RestartBackend(3)),
                (8600.0, RestartBackend(4)),
                (10_500.0, SetLoad(1.0)),
            ],
            load: 0.6,
            ..base
        }),
        ("small backends, all replaced within 7 s", |base| Scenario {
            changes: (0..10)
                .map(|n| (8000.0 + 700.0 * f64::from(n), ReplaceBackend(1 + n, 11 + n)))
                .collect(),
            load: 0.7,
            ..with_single_core_backends(base)
        }),
    ]
}

/// Gives each backend a single core that takes 250 ms for a request, so that the budget is one or two
/// requests per window. All requests have the same work; otherwise a single one could exceed the budget and
/// the random excess.
fn with_single_core_backends(mut scenario: Scenario) -> Scenario {
    (scenario.cores_per_backend, scenario.mean_service_ms, scenario.is_work_constant) = (1, 250.0, true);
    scenario.settings.tenants[0].quota_per_s = 0.9 * f64::from(scenario.warm_backends) * 4.0;
    scenario
}

/// Checks all cases. An instance derives its share of the budget from its own traffic alone, so each case
/// runs with several seeds. `FLEET_SEEDS=40 cargo test --test slow_start_fleet -- --nocapture` runs more
/// seeds and prints results.
fn assert_no_slow_start_overload(instance_count: u32, seeds: u64) {
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(seeds);
    let mut failed = Vec::new();
    for (name, case) in cases() {
        let (mut worst, mut worst_seed, mut used, mut least) = (f64::MIN, 0, 0.0, f64::MAX);
        let (mut served, mut unserved) = (0, 0);
        for seed in 0..seeds {
            let fleet = Fleet::run(case(base_scenario(instance_count)), seed);
            if fleet.worst_overload() > worst {
                (worst, worst_seed) = (fleet.worst_overload(), seed);
            }
            let (mean, low) = fleet.slow_start_utilization();
            (used, least) = (used + mean / seeds as f64, low.min(least));
            (served, unserved) = (served + fleet.served, unserved + fleet.unserved);
        }
        println!(
            "{name:50}{instance_count:4} instances: worst {worst:5.2} (seed {worst_seed:2}), capacity used {used:.2}, \
             least {least:.2}; {served} served, {unserved} not served"
        );
        if worst > 1.0 {
            failed.push(format!("{name}: overload {worst:.2} of the random excess, seed {worst_seed}"));
        }
        // Sending almost nothing does not count as keeping the budget.
        if used < 0.05 {
            failed.push(format!("{name}: backends in slow start get {used:.3} of their capacity"));
        }
    }
    assert!(failed.is_empty(), "{instance_count} instances: {}", failed.join("; "));
}

#[test]
fn fleet_of_3_does_not_overload_backends_in_slow_start() {
    assert_no_slow_start_overload(3, 4);
}

#[test]
fn fleet_of_30_does_not_overload_backends_in_slow_start() {
    assert_no_slow_start_overload(30, 4);
}

#[test]
fn fleet_of_100_does_not_overload_backends_in_slow_start() {
    assert_no_slow_start_overload(100, 3);
}

/// Guards against faults at 720 instances while 40 backends are replaced continuously: an attempt at an
/// unavailable backend (checked at every send), an instance without the newest list, an overload in slow
/// start, or records of removed backends that accumulate.
#[test]
fn all_720_instances_follow_every_list_update() {
    let (backends, replacements) = (40, 160);
    let replacement =
        |n: u32| (2000.0 + 100.0 * f64::from(n), Change::ReplaceBackend(1 + n, 1 + n + backends));
    let mut scenario = base_scenario(720);
    (scenario.settings.tick_ms, scenario.settings.guarantees.warm_up_ms) = (10.0, 3000.0);
    scenario.settings.tenants[0].quota_per_s = 0.9 * f64::from(backends) * 40.0;
    let changes = (0..replacements).map(replacement).collect();
    // The last backend stops 2 s after its replacement starts, and all instances have that list 1 s later.
    let end_ms = 2000.0 + 100.0 * f64::from(replacements) + 2000.0 + 1000.0;

    let fleet = Fleet::run(Scenario { changes, warm_backends: backends, end_ms, ..scenario }, 1);
    let newest = fleet.lists.last().expect("a list").iter().map(|e| e.backend);
    assert_eq!(newest.collect::<Vec<_>>(), (replacements + 1..=replacements + backends).collect::<Vec<_>>());

    for (index, instance) in fleet.instances.iter().enumerate() {
        assert_eq!(
            instance.list_version,
            fleet.lists.len() - 1,
            "instance {index} does not have the newest list"
        );
        assert_eq!(
            fleet.excess_backend_records(index),
            0,
            "instance {index} keeps records of removed backends"
        );
    }
    let unused = fleet.backends.values().filter(|s| s.received.is_empty()).count();
    println!(
        "720 instances: worst {:.2}, {} served, {} not served",
        fleet.worst_overload(),
        fleet.served,
        fleet.unserved
    );
    assert_eq!(unused, 0, "backends without attempts");
    assert!(
        fleet.worst_overload() <= 1.0,
        "a backend in slow start is overloaded: {:.2} of the random excess",
        fleet.worst_overload()
    );
    assert!(fleet.served > 10 * fleet.unserved, "{} served, {} not served", fleet.served, fleet.unserved);
}
