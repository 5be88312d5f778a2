//! Drains that an endpoint list expresses in special ways: an empty full list drains a whole tier, and an
//! entry may drain its backend although its other fields are missing or invalid.

mod support;

use serde_json::{Value, json};
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// The drain deadline of the settings.
const DRAIN_DEADLINE: Duration = Duration::from_millis(500);
/// The length of a discovery outage.
const OUTAGE: Duration = Duration::from_secs(1);

/// Returns settings that reject a request soon if no backend can take it.
fn settings_with_short_queue_wait(mode: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = mode.into();
    settings["guarantees"]["askWithin"] = 10_000.0.into();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["aim"] = 200.0.into();
    }
    settings
}

/// Guards against new requests to a tier that drained during a discovery outage.
#[tokio::test]
async fn tier_drained_during_an_outage_gets_no_requests() {
    for mode in ["automatic", "subscribe"] {
        for outage in [DiscoveryBehavior::Refusing, DiscoveryBehavior::Silent] {
            let script = Arc::new(BackendScript::default());
            let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
            let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
            let proxy =
                Proxy::start_with_list_applied(&discovery, settings_with_short_queue_wait(mode)).await;
            // Given: a tier that drains during an outage of discovery.
            discovery.set_behavior(outage).await;
            discovery.replace_list(Vec::new());
            sleep(OUTAGE).await;
            // When: discovery recovers.
            let full_lists_before = discovery.full_list_requests.load(SeqCst);
            discovery.set_behavior(DiscoveryBehavior::Up).await;
            // A watch call that was unanswered during the outage may deliver the list as well.
            let list_arrived = async {
                while discovery.full_list_requests.load(SeqCst) == full_lists_before
                    && !is_list_applied(&discovery).await
                {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            in_time(list_arrived).await;
            // Then: the empty list is applied within the drain deadline, and all requests are rejected.
            let applied = timeout(DRAIN_DEADLINE, discovery.wait_until_applied()).await;
            assert!(applied.is_ok(), "{mode}: the list is not applied");
            let before = script.seen.borrow().len();
            for _ in 0..5 {
                assert_eq!(proxy.call("look").await.0, 503, "{mode}");
            }
            assert_eq!(script.seen.borrow().len(), before, "{mode}");
            // The first backend that is listed again is used at once.
            discovery.publish(vec![b.endpoint("SERVING")]).await;
            assert_eq!(proxy.call("look").await, (200, "b".into()), "{mode}");
        }
    }
}

/// Returns whether the proxy holds the current list.
async fn is_list_applied(discovery: &Discovery) -> bool {
    timeout(Duration::ZERO, discovery.wait_until_applied()).await.is_ok()
}

/// The scripted answer to a discovery call.
#[derive(Clone)]
enum DiscoveryAnswer {
    /// Answers with a version and a full list of these backends.
    FullList(u64, Vec<Value>),
    /// Answers with a version and these changes.
    Changes(u64, Vec<Value>),
    /// Closes the connection without an answer.
    Close,
}

/// Starts a discovery agent that handles its n-th call by the n-th answer and leaves further calls
/// unanswered. Returns its address and the number of calls received.
async fn scripted_discovery(answers: Vec<DiscoveryAnswer>) -> (std::net::SocketAddr, watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let address = listener.local_addr().expect("a local address");
    let (calls, call_count) = watch::channel(0);
    let (calls, answers) = (Arc::new(calls), Arc::new(answers));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let (calls, answers) = (calls.clone(), answers.clone());
            tokio::spawn(async move {
                let mut received = Vec::new();
                while stream.read_buf(&mut received).await.is_ok_and(|length| length > 0) {
                    if !received.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    received.clear();
                    let mut number = 0;
                    calls.send_modify(|calls| (number, *calls) = (*calls, *calls + 1));
                    let (is_full_list, version, hosts) = match answers.get(number).cloned() {
                        Some(DiscoveryAnswer::FullList(version, hosts)) => (true, version, hosts),
                        Some(DiscoveryAnswer::Changes(version, hosts)) => (false, version, hosts),
                        Some(DiscoveryAnswer::Close) => return,
                        None => continue,
                    };
                    let list = json!({"seq": version, "whole": is_full_list, "hosts": hosts}).to_string();
                    let length = list.len();
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{list}");
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    (address, call_count)
}

/// Starts a proxy whose discovery gives these answers, and waits until all were given.
async fn proxy_after_answers(answers: Vec<DiscoveryAnswer>) -> Proxy {
    let last = answers.len();
    let (address, mut calls) = scripted_discovery(answers).await;
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": address.to_string(),
                        "seed": "8c1f30d27a5be964",
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                        "settings": settings_with_short_queue_wait("automatic")});
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    in_time(calls.wait_for(|calls| *calls > last)).await.expect("open");
    proxy
}

/// Guards against an outage caused by a single empty list, which a discovery that has just started may send.
#[tokio::test]
async fn revoked_empty_list_rejects_no_request() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let endpoints = vec![a.endpoint("SERVING")];
    let proxy = proxy_after_answers(vec![
        DiscoveryAnswer::FullList(1, endpoints.clone()),
        DiscoveryAnswer::FullList(2, Vec::new()),
        DiscoveryAnswer::FullList(3, endpoints),
    ])
    .await;
    for _ in 0..5 {
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
}

/// Guards against new requests to a drained tier if discovery fails right after it has sent the empty list.
#[tokio::test]
async fn empty_list_applies_when_the_next_poll_fails() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let proxy = proxy_after_answers(vec![
        DiscoveryAnswer::FullList(1, vec![a.endpoint("SERVING")]),
        DiscoveryAnswer::FullList(2, Vec::new()),
        DiscoveryAnswer::Close,
    ])
    .await;
    for _ in 0..5 {
        assert_eq!(proxy.call("look").await.0, 503);
    }
    assert_eq!(script.seen.borrow().len(), 0);
}

/// Guards against an outage caused by a discovery that lost its list: it sends an empty list that is older
/// than the one held.
#[tokio::test]
async fn older_empty_list_rejects_no_request() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let proxy = proxy_after_answers(vec![
        DiscoveryAnswer::FullList(7, vec![a.endpoint("SERVING")]),
        DiscoveryAnswer::FullList(6, Vec::new()),
        DiscoveryAnswer::FullList(6, Vec::new()),
        DiscoveryAnswer::FullList(6, Vec::new()),
    ])
    .await;
    for _ in 0..5 {
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
}

/// Guards against new requests to a draining backend whose entry lacks fields that only a serving one needs.
#[tokio::test]
async fn drain_applies_when_the_rest_of_its_entry_is_invalid() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let with = |key: &str, value: Value| {
        let mut entry = a.endpoint("DRAINING");
        entry[key] = value;
        entry
    };
    let entries = [
        json!({"host": "a", "health": "DRAINING"}),
        json!({"host": "a", "health": "DELETED"}),
        with("dial", "nowhere".into()),
        with("dial", Value::Null),
        with("site", "a zone that the settings don't name".into()),
        with("born_ms", "long ago".into()),
        with("block", 70_000.into()),
        with("share", Value::Null),
    ];
    for entry in entries {
        let proxy = proxy_after_answers(vec![
            DiscoveryAnswer::FullList(1, vec![a.endpoint("SERVING"), b.endpoint("SERVING")]),
            DiscoveryAnswer::Changes(2, vec![entry.clone()]),
        ])
        .await;
        for _ in 0..10 {
            assert_eq!(proxy.call("look").await, (200, "b".into()), "{entry}");
        }
    }
}
