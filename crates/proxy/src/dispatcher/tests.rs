//! Unit tests of the dispatcher.

use super::request_table::{AttemptRecord, AttemptState, RequestEntry, ResponseSlot};
use super::{Dispatcher, previous_indices};
use crate::milliseconds::duration_from_ms;
use crate::transport::MAX_READ_BYTES;
use crate::transport::{BufferedBody, RequestPayload};
use crate::upstream::{ConnectionPool, PoolLimits, ResponseMemory, UpstreamRequest};
use foldhitch_balancer::api::{EndpointListKind, Outcome};
use foldhitch_balancer::settings_format::ResolvedSettings;
use foldhitch_discovery_client::{EndpointListUpdate, EndpointRecord, HealthState, ListOrigin};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::task::LocalSet;
use tokio::time::Instant;

fn settings() -> ResolvedSettings {
    let text = r#"{"slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [],
        "classes": [{"name": "look", "aim": 1000.0, "points": 1.0, "semantics": "retryable", "group": "all",
                     "window": 0.0}],
        "caps": {"cancelling": true, "retryAfter": false, "maxRetryAfter": 0.0, "tryLimit": 3, "openCap": 10},
        "guarantees": {"coldFrom": 0.1, "cold": 1000.0, "fallMultiple": 3.0}}"#;
    foldhitch_balancer::settings_format::parse(text.as_bytes()).expect("good settings")
}

fn endpoint(name: &str, health: HealthState) -> EndpointRecord {
    EndpointRecord {
        name: name.to_string(),
        address: Some("127.0.0.1:9".parse().expect("an address")),
        zone: "a".to_string(),
        cell: 0,
        health,
        weight: 1.0,
        started_at_ms: 0.0,
    }
}

fn request() -> UpstreamRequest {
    UpstreamRequest {
        method: hyper::Method::GET,
        uri: hyper::Uri::from_static("/look"),
        host: None,
        id: hyper::header::HeaderValue::from_static("1"),
        idempotency_key: None,
        body: RequestPayload::Buffered(BufferedBody::default()),
    }
}

fn dispatcher() -> Rc<Dispatcher> {
    let limit = Duration::from_secs(1);
    let limits = PoolLimits {
        memory: ResponseMemory { buffered_bytes: usize::MAX, remembered_bytes: usize::MAX },
        read_bytes: MAX_READ_BYTES,
        connections: 4,
        connect_timeout: limit,
        idle_timeout: limit,
        drain_deadline: limit,
    };
    let (poll_wanted, _) = watch::channel(false);
    Dispatcher::new(settings(), 1, Rc::new(ConnectionPool::new(limits)), poll_wanted).expect("good settings")
}

fn entry(settings: Rc<ResolvedSettings>, response: ResponseSlot) -> RequestEntry {
    let (request, received_at) = (Rc::new(request()), Instant::now());
    RequestEntry { request, settings, class: 0, received_at, response, attempts: Vec::new() }
}

fn insert(dispatcher: &Dispatcher, entry: RequestEntry) {
    dispatcher.state.borrow_mut().requests.insert(entry);
}

fn update(kind: EndpointListKind, endpoints: Vec<EndpointRecord>) -> EndpointListUpdate {
    EndpointListUpdate { kind, origin: ListOrigin::Watch, version: 1, endpoints, is_older: false }
}

/// Guards against a planned stop that ends too early after a change of the settings: it must wait for as long
/// as the settings allow that the pending requests were admitted under.
#[tokio::test]
async fn requests_keep_the_settings_they_were_admitted_under() {
    let (dispatcher, tasks) = (dispatcher(), LocalSet::new());
    let objective = |dispatcher: &Dispatcher| {
        dispatcher.max_over_settings(|site| duration_from_ms(site.longest_latency_objective_ms))
    };
    let (long, short) = (Duration::from_secs(1), Duration::from_millis(200));
    let (client, _answer) = oneshot::channel();
    let response = ResponseSlot::Pending { answer: client, is_client_connected: Rc::new(|| true) };
    insert(&dispatcher, entry(dispatcher.settings(), response));

    let mut next = settings();
    next.balancer.classes[0].latency_objective_ms = 200.0;
    next.site.longest_latency_objective_ms = 200.0;
    let configured = async { dispatcher.configure(next, 3, 1) };
    assert_eq!(tasks.run_until(configured).await, Ok(3));

    assert_eq!((dispatcher.settings_version(), objective(&dispatcher)), (3, long));
    dispatcher.state.borrow_mut().requests.clear();
    assert_eq!(objective(&dispatcher), short);
}

#[test]
fn classes_continue_by_name_and_duplicates_once() {
    let names = |names: &[&str]| names.iter().map(|name| name.to_string()).collect::<Vec<_>>();
    let (old, new) = (names(&["a", "b", "b"]), names(&["b", "c", "b", "a"]));
    assert_eq!(previous_indices(&old, &new), [Some(1), None, None, Some(0)]);
}

#[tokio::test]
async fn unlisted_backends_are_removed_once_unused() {
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let dispatcher = dispatcher();
            for n in 0..100 {
                let (old, new) = (format!("s-{n}"), format!("s-{}", n + 1));
                let serving = endpoint(&new, HealthState::Serving);
                if n % 2 == 0 {
                    let endpoints = vec![endpoint(&old, HealthState::Deleted), serving];
                    dispatcher.update_endpoints(update(EndpointListKind::Delta, endpoints));
                } else {
                    dispatcher.update_endpoints(update(EndpointListKind::Full, vec![serving]));
                }
                assert_eq!(dispatcher.state.borrow().endpoints.counts(), (1, 1), "after {n}");
            }
            // A backend that an open request was sent to is kept until the request is closed.
            let backend = dispatcher.state.borrow().endpoints.id("s-100");
            let mut entry = entry(dispatcher.settings(), ResponseSlot::Completed);
            let (outcome, latency) = (Outcome::Error, Duration::from_secs(1));
            let state = AttemptState::Finished { outcome, latency };
            entry.attempts.push(AttemptRecord { backend, state });
            insert(&dispatcher, entry);
            let other = endpoint("s-101", HealthState::Serving);
            dispatcher.update_endpoints(update(EndpointListKind::Full, vec![other]));
            assert_eq!(dispatcher.state.borrow().endpoints.counts().1, 2);
            dispatcher.state.borrow_mut().requests.clear();
            dispatcher.remove_stale_endpoints();
            assert_eq!(dispatcher.state.borrow().endpoints.counts().1, 1);
        })
        .await;
}
