//! Measures how long it takes to replace the settings, and the memory that 2,400 updates leave in use. Run
//! it alone, in release mode: `cargo run --release --locked -p foldhitch-balancer --example reconfigure`.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::{
    Capabilities, Class, EndpointInfo, EndpointListKind, Event, Idempotency, RequestArrival, Settings,
    SettingsError, SettingsUpdate, Tenant,
};
use std::time::Instant;

const BACKENDS: u32 = 720;
const OPEN_REQUESTS: u64 = 100;
const UPDATES: usize = 2400;

fn settings(n: usize) -> Settings {
    let class = |place: usize| Class {
        latency_objective_ms: 300.0 + 100.0 * place as f64 + (n % 7) as f64,
        priority_weight: 1.0 + place as f64,
        idempotency: if place.is_multiple_of(2) {
            Idempotency::Idempotent
        } else {
            Idempotency::NonIdempotent
        },
        is_ordered_by_key: false,
    };
    Settings {
        instance_count: 24,
        tick_ms: 5.0,
        over_quota_weight: 0.05,
        classes: (0..5).map(class).collect(),
        tenants: (0..20).map(|t| Tenant { quota_per_s: 100.0 + (n + t) as f64 }).collect(),
        capabilities: Capabilities { can_cancel: true, max_attempts: 3, ..Capabilities::default() },
        ..Settings::default()
    }
}

/// Returns the resident memory in kB.
fn resident_memory_kb() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok()).unwrap_or_default()
}

fn main() -> Result<(), SettingsError> {
    let mut balancer = Balancer::new(settings(0), 42)?;
    let (mut now_ms, mut actions) = (1000.0, Vec::new());
    let endpoints = (1..=BACKENDS)
        .map(|backend| EndpointInfo { backend, weight: 1.0, ..EndpointInfo::default() })
        .collect();
    balancer.handle(now_ms, Event::EndpointList { kind: EndpointListKind::Full, endpoints }, &mut actions);
    for request in 1..=OPEN_REQUESTS {
        let (class, tenant) = ((request % 5) as u16, (request % 20) as u16);
        let arrival =
            RequestArrival { request, key: 0, class, tenant, deadline_ms: 1e9, is_body_streamed: false };
        balancer.handle(now_ms, Event::RequestArrived(arrival), &mut actions);
    }
    let before = resident_memory_kb();
    let mut durations_us = Vec::with_capacity(UPDATES);
    for n in 1..=UPDATES {
        now_ms += 50.0;
        actions.clear();
        let (classes, tenants) = ((0..5).map(Some).collect(), (0..20).map(Some).collect());
        let next = SettingsUpdate {
            version: 0,
            settings: settings(n),
            continued_classes: classes,
            continued_tenants: tenants,
            content_hash: n as u64,
        };
        let started = Instant::now();
        balancer.configure(now_ms, next, &mut actions)?;
        durations_us.push(started.elapsed().as_secs_f64() * 1e6);
    }
    let gauges = balancer.gauges();
    durations_us.sort_by(f64::total_cmp);
    println!("{BACKENDS} backends, {} requests in flight, {} class records", gauges.requests, gauges.classes);
    println!(
        "one update, microseconds: median {:.1}, 99th percentile {:.1}, maximum {:.1}",
        durations_us[UPDATES / 2],
        durations_us[UPDATES * 99 / 100],
        durations_us[UPDATES - 1]
    );
    println!("resident memory after {UPDATES} updates: {} kB, before them {before} kB", resident_memory_kb());
    Ok(())
}
