//! A process that starts again while discovery is down: when it is ready, and that it can serve then.

mod support;

use serde_json::{Value, json};
use std::sync::Arc;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

async fn ready(proxy: &Proxy) -> bool {
    let mut stream = soon(TcpStream::connect(proxy.addr)).await.expect("it listens");
    let get = b"GET /health/ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
    let mut answer = Vec::new();
    let _ = stream.write_all(get).await;
    let _ = soon(stream.read_to_end(&mut answer)).await;
    answer.starts_with(b"HTTP/1.1 200 ")
}

fn config(discovery: &Discovery, how: &str, known: Option<&[Value]>) -> Value {
    let mut settings = settings();
    settings["discovery"] = how.into();
    settings["guarantees"]["askWithin"] = 1000.0.into();
    let mut config = discovery.config(settings);
    if let Some(hosts) = known {
        config["known"] = json!({"seq": 1, "whole": true, "hosts": hosts});
    }
    config
}

/// With a list that it had, also an old one, it waits for nothing: its first answer says ready, and it
/// serves, also a crowd that comes at once. What discovery has to tell at its return holds.
#[tokio::test]
async fn with_a_known_list_it_is_ready_at_once() {
    for (how, down) in [
        ("automatic", Agent::Refusing),
        ("automatic", Agent::Silent),
        ("subscribe", Agent::Refusing),
        ("subscribe", Agent::Silent),
    ] {
        let orders = Arc::new(Orders::default());
        let (a, b) = (Backend::start("a", &orders).await, Backend::start("b", &orders).await);
        let gone = TcpStream::connect(a.addr).await.expect("it listens").local_addr().expect("bound");
        let stale = [line("gone", gone, "SERVING"), a.line("SERVING")];
        let discovery = Discovery::start(vec![b.line("SERVING")]).await;
        discovery.set(down).await;
        let proxy = Proxy::start_as(&config(&discovery, how, Some(&stale)), "exec \"$0\"").await;
        assert!(ready(&proxy).await, "{how}");
        let mut callers = JoinSet::new();
        for _ in 0..8 {
            let mut caller = proxy.caller().await;
            callers.spawn(async move { caller.call("look").await });
        }
        while let Some(answer) = callers.join_next().await {
            assert_eq!(answer.expect("no panic"), (200, "a".into()));
        }
        discovery.set(Agent::Up).await;
        discovery.settled().await;
        assert!(ready(&proxy).await);
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
}

/// Without one it can't serve, and doesn't say so before it can; then it does.
#[tokio::test]
async fn without_a_list_it_is_ready_once_discovery_told_one() {
    for (how, down) in [("automatic", Agent::Refusing), ("subscribe", Agent::Silent)] {
        let orders = Arc::new(Orders::default());
        let a = Backend::start("a", &orders).await;
        let discovery = Discovery::start(vec![a.line("SERVING")]).await;
        discovery.set(down).await;
        let proxy = Proxy::start_as(&config(&discovery, how, None), "exec \"$0\"").await;
        assert!(!ready(&proxy).await, "{how}");
        discovery.set(Agent::Up).await;
        discovery.settled().await;
        assert!(ready(&proxy).await, "{how}");
        assert_eq!(proxy.call("look").await, (200, "a".into()));
    }
}
