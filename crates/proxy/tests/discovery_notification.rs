//! A list change counts as notified 6 s after discovery became reachable, regardless of earlier failures of
//! the proxy's calls. These tests run the proxy program where it must poll for its list. This deadline is
//! their only time bound.

mod support;

use foldhitch_balancer::api::NOTIFICATION_DEADLINE_MS;
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

/// Starts an agent that closes its first connections at their first call and then serves a list. Returns the
/// calls that it receives.
fn start_agent(
    listener: TcpListener,
    failing_connections: usize,
    hosts: Vec<Value>,
) -> mpsc::UnboundedReceiver<String> {
    let (call_sender, calls) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        for n in 0.. {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let (call_sender, hosts) = (call_sender.clone(), hosts.clone());
            tokio::spawn(async move {
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
                    if !seen.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let call = String::from_utf8(std::mem::take(&mut seen)).expect("text");
                    let is_watch = call.contains("after=9&");
                    // The test may be over.
                    let _ = call_sender.send(call);
                    if n < failing_connections {
                        return;
                    }
                    let list = if is_watch {
                        sleep(Duration::from_millis(200)).await;
                        json!({"seq": 9, "whole": false, "hosts": []})
                    } else {
                        json!({"seq": 9, "whole": true, "hosts": hosts})
                    };
                    let list = list.to_string();
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                    let _ = stream.write_all(answer.as_bytes()).await;
                }
            });
        }
    });
    calls
}

/// Awaits a call and panics if it takes longer than the notification deadline.
async fn within_deadline<T>(call: impl Future<Output = T>) -> T {
    timeout(Duration::from_millis(NOTIFICATION_DEADLINE_MS as u64), call).await.expect("within the deadline")
}

/// Returns settings with a poll interval so long that a pause derived from it alone exceeds the deadline.
fn settings_with_rare_polls() -> Value {
    let mut settings = settings();
    settings["discovery"] = "subscribe".into();
    settings["guarantees"]["askWithin"] = 120_000.0.into();
    settings
}

/// Waits for a log line that contains `line_part`.
async fn wait_for_log_line(proxy: &mut Proxy, line_part: &str) {
    let log = proxy.log.as_mut().expect("an open log");
    while !log.next_line().await.expect("a readable log").expect("another log line").contains(line_part) {}
}

/// Waits for a call which shows that the proxy holds the list.
async fn wait_until_list_is_held(calls: &mut mpsc::UnboundedReceiver<String>) {
    while !in_time(calls.recv()).await.expect("a poll").contains("after=9&") {}
}

/// The proxy starts while discovery is down; discovery recovers, but its first calls still fail.
#[tokio::test]
async fn recovered_discovery_is_polled_within_the_deadline() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let (socket, address) = bound_socket_without_listener();
    let known = json!({"seq": 1, "whole": true, "hosts": [a.endpoint("SERVING"), b.endpoint("SERVING")]});
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": address.to_string(),
                        "seed": "8c1f30d27a5be964", "known": known,
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                        "settings": settings_with_rare_polls()});
    let mut proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    within_deadline(wait_for_log_line(&mut proxy, "refused")).await;
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    assert!(script.requests_at("a") > 0, "the configured list is used");
    // When: discovery recovers and fails three calls. Then: it is polled again within the deadline each time.
    let listener = socket.listen(16).expect("listen");
    let mut calls = start_agent(listener, 3, vec![a.endpoint("DRAINING"), b.endpoint("SERVING")]);
    for _ in 0..4 {
        within_deadline(calls.recv()).await.expect("a poll");
    }
    wait_until_list_is_held(&mut calls).await;
    let before = script.requests_at("a");
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
    assert_eq!(script.requests_at("a"), before, "no new request to the draining backend");
}

/// A new configuration names a discovery address that refuses connections at first.
#[tokio::test]
async fn late_new_address_is_polled_within_the_deadline() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let mut proxy = Proxy::start_with_list_applied(&discovery, settings_with_rare_polls()).await;
    let (socket, address) = bound_socket_without_listener();
    let mut config = discovery.config(settings_with_rare_polls());
    config["discovery"] = address.to_string().into();
    proxy.reload(&config.to_string(), "configuration applied").await;
    within_deadline(wait_for_log_line(&mut proxy, "refused")).await;
    // When: the new address becomes reachable. Then: it is polled within the deadline.
    let listener = socket.listen(16).expect("listen");
    let mut calls = start_agent(listener, 0, vec![a.endpoint("DRAINING"), b.endpoint("SERVING")]);
    within_deadline(calls.recv()).await.expect("a poll");
    wait_until_list_is_held(&mut calls).await;
    let before = script.requests_at("a");
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
    assert_eq!(script.requests_at("a"), before, "no new request to the draining backend");
}

/// Connects to the agent neither succeed nor fail at first, because its accept queue is full.
#[tokio::test]
async fn unresponsive_agent_is_polled_within_the_deadline() {
    let script = Arc::new(BackendScript::default());
    let b = Backend::start("b", &script).await;
    let (listener, _queue) = listener_with_full_backlog().await;
    let address = listener.local_addr().expect("a local address");
    let config = json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": address.to_string(),
                        "seed": "8c1f30d27a5be964",
                        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
                        "settings": settings_with_rare_polls()});
    let mut proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    within_deadline(wait_for_log_line(&mut proxy, "connect timeout")).await;
    // When: the agent accepts connections. Then: it is polled within the deadline.
    let mut calls = start_agent(listener, 0, vec![b.endpoint("SERVING")]);
    within_deadline(calls.recv()).await.expect("a poll");
    wait_until_list_is_held(&mut calls).await;
    assert_eq!(proxy.call("look").await, (200, "b".into()));
}
