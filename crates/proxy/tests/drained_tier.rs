//! Drains that a list tells in its own ways: of a whole tier, which names nobody then, and by entries that lack the rest.

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
/// Discovery is away for so long.
const OUTAGE: Duration = Duration::from_secs(1);

/// Settings by which a request that no backend can take is rejected soon.
fn settings_with_short_queue_wait(mode: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = mode.into();
    settings["guarantees"]["askWithin"] = 10_000.0.into();
    for class in settings["classes"].as_array_mut().expect("classes") {
        class["aim"] = 200.0.into();
    }
    settings
}

/// Guards against new work at a tier that drained while discovery was away.
#[tokio::test]
async fn tier_drained_during_an_outage_gets_no_requests() {
    for mode in ["automatic", "subscribe"] {
        for outage in [DiscoveryBehavior::Refusing, DiscoveryBehavior::Silent] {
            let script = Arc::new(BackendScript::default());
            let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
            let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
            let proxy =
                Proxy::start_with_list_applied(&discovery, settings_with_short_queue_wait(mode)).await;
            discovery.set_behavior(outage).await;
            discovery.replace_list(Vec::new());
            sleep(OUTAGE).await;
            let full_lists_before = discovery.full_list_requests.load(SeqCst);
            discovery.set_behavior(DiscoveryBehavior::Up).await;
            // A watch that was not answered meanwhile tells it, too.
            let list_arrived = async {
                while discovery.full_list_requests.load(SeqCst) == full_lists_before
                    && !is_list_applied(&discovery).await
                {
                    sleep(Duration::from_millis(5)).await;
                }
            };
            in_time(list_arrived).await;
            let applied = timeout(DRAIN_DEADLINE, discovery.wait_until_applied()).await;
            assert!(applied.is_ok(), "{mode}: the list is not believed");
            let before = script.seen.borrow().len();
            for _ in 0..5 {
                assert_eq!(proxy.call("look").await.0, 503, "{mode}");
            }
            assert_eq!(script.seen.borrow().len(), before, "{mode}");
            // The first backend that is named again is used at once.
            discovery.publish(vec![b.endpoint("SERVING")]).await;
            assert_eq!(proxy.call("look").await, (200, "b".into()), "{mode}");
        }
    }
}

/// Whether the present list is held by now.
async fn is_list_applied(discovery: &Discovery) -> bool {
    timeout(Duration::ZERO, discovery.wait_until_applied()).await.is_ok()
}

/// What discovery does with a call.
#[derive(Clone)]
enum DiscoveryAnswer {
    /// Answers a whole list of these backends.
    FullList(u64, Vec<Value>),
    /// Answers these changes.
    Changes(u64, Vec<Value>),
    /// Ends the connection without an answer.
    Close,
}

/// Discovery that does with its n-th call what the n-th answer says, and answers no call behind the last; how many
/// calls have come.
async fn scripted_discovery(answers: Vec<DiscoveryAnswer>) -> (std::net::SocketAddr, watch::Receiver<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let (calls, call_count) = watch::channel(0);
    let (calls, answers) = (Arc::new(calls), Arc::new(answers));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
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

/// A started proxy whose discovery gives these answers, and has given them all.
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

/// Guards against an outage by one list of nobody, as discovery may give it that has just started.
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

/// Guards against new work at a drained tier where discovery falls silent right behind the list of nobody.
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

/// Guards against an outage by a discovery that lost its list: one older than the list that is held names nobody.
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

/// Guards against new work at a draining backend whose entry lacks what only a serving one needs.
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
