//! A process that restarts during an outage of discovery: when it reports ready, and that it serves from then
//! on.

mod support;

use serde_json::{Value, json};
use std::sync::Arc;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Returns whether the health check of the proxy reports that it is ready.
async fn is_ready(proxy: &Proxy) -> bool {
    let mut stream = in_time(TcpStream::connect(proxy.addr)).await.expect("the proxy listens");
    let request = b"GET /health/ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
    let mut answer = Vec::new();
    let _ = stream.write_all(request).await;
    let _ = in_time(stream.read_to_end(&mut answer)).await;
    answer.starts_with(b"HTTP/1.1 200 ")
}

fn config(discovery: &Discovery, mode: &str, known: Option<&[Value]>) -> Value {
    let mut settings = settings();
    settings["discovery"] = mode.into();
    settings["guarantees"]["askWithin"] = 1000.0.into();
    let mut config = discovery.config(settings);
    if let Some(hosts) = known {
        config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    }
    config
}

/// Guards against a start that waits for discovery although the configuration has an endpoint list, possibly
/// an outdated one: the first health check reports ready, and several clients at once are served. After the
/// outage, the list of discovery applies.
#[tokio::test]
async fn proxy_with_a_known_list_is_ready_at_once() {
    for (mode, outage) in [
        ("automatic", DiscoveryBehavior::Refusing),
        ("automatic", DiscoveryBehavior::Silent),
        ("subscribe", DiscoveryBehavior::Refusing),
        ("subscribe", DiscoveryBehavior::Silent),
    ] {
        let script = Arc::new(BackendScript::default());
        let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
        // Given: an outage of discovery, and a known list that is outdated.
        let refusing_addr =
            TcpStream::connect(a.addr).await.expect("the backend listens").local_addr().expect("bound");
        let stale = [endpoint("gone", refusing_addr, "SERVING"), a.endpoint("SERVING")];
        let discovery = Discovery::start(vec![b.endpoint("SERVING")]).await;
        discovery.set_behavior(outage).await;
        // When: the proxy starts. Then: it is ready and serves.
        let proxy = Proxy::start_with_command(&config(&discovery, mode, Some(&stale)), "exec \"$0\"").await;
        assert!(is_ready(&proxy).await, "{mode}");
        let mut calls = JoinSet::new();
        for _ in 0..8 {
            let mut client = proxy.client().await;
            calls.spawn(async move { client.call("look").await });
        }
        while let Some(answer) = calls.join_next().await {
            assert_eq!(answer.expect("no panic"), (200, "a".into()));
        }
        // When: discovery answers again. Then: its list applies.
        discovery.set_behavior(DiscoveryBehavior::Up).await;
        discovery.wait_until_applied().await;
        assert!(is_ready(&proxy).await);
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
}

/// Guards against reporting ready without an endpoint list: the proxy is ready once discovery has sent one.
#[tokio::test]
async fn proxy_without_a_list_is_ready_once_it_gets_one() {
    for (mode, outage) in
        [("automatic", DiscoveryBehavior::Refusing), ("subscribe", DiscoveryBehavior::Silent)]
    {
        let script = Arc::new(BackendScript::default());
        let a = Backend::start("a", &script).await;
        let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
        discovery.set_behavior(outage).await;
        // When: the proxy starts during an outage of discovery. Then: it is not ready.
        let proxy = Proxy::start_with_command(&config(&discovery, mode, None), "exec \"$0\"").await;
        assert!(!is_ready(&proxy).await, "{mode}");
        // When: discovery answers again. Then: the proxy is ready and serves.
        discovery.set_behavior(DiscoveryBehavior::Up).await;
        discovery.wait_until_applied().await;
        assert!(is_ready(&proxy).await, "{mode}");
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
}
