//! The admin API of the started program, and what its calls do to clients and backends.

mod support;

use serde_json::Value;
use std::sync::Arc;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

struct Fixture {
    script: Arc<BackendScript>,
    a: Backend,
    b: Backend,
    discovery: Discovery,
    proxy: Proxy,
}

fn with_admin_api(discovery: &Discovery) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        // What no backend can take is held for so long.
        class["aim"] = 500.0.into();
    }
    let mut config = discovery.config(settings);
    config["management"] = "127.0.0.1:0".into();
    config
}

async fn fixture() -> Fixture {
    scene_with(256).await
}

/// A proxy that may hold so many descriptors.
async fn scene_with(sockets: usize) -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let mut config = with_admin_api(&discovery);
    config["limits"]["sockets"] = sockets.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    Fixture { script, a, b, discovery, proxy }
}

/// Bytes as they are; the status, or nothing if the connection ends without one.
async fn raw(admin: std::net::SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(admin).await.expect("it listens");
    stream.write_all(bytes).await.expect("it is taken");
    let mut answer = Vec::new();
    // A reset behind the answer does not take it away.
    let _ = in_time(stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

#[tokio::test]
async fn suspended_backend_gets_no_requests_after_list_updates() {
    let s = fixture().await;
    for _ in 0..2 {
        assert_eq!(s.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 200);
    }
    let lists = [vec![s.b.endpoint("SERVING")], vec![s.a.endpoint("SERVING"), s.b.endpoint("SERVING")]];
    for list in lists.into_iter().cycle().take(4) {
        s.discovery.publish(list).await;
        for _ in 0..10 {
            assert_eq!(s.proxy.call("once").await, (200, "b".into()));
        }
    }
    // Where nothing else is left it is not a last resort either.
    s.discovery.publish(vec![s.a.endpoint("SERVING")]).await;
    assert_eq!(s.proxy.call("look").await.0, 503);
    assert_eq!(s.script.requests_at("a"), 0);
    // One call back undoes both, and works while the list does not name it.
    s.discovery.publish(vec![s.b.endpoint("SERVING")]).await;
    assert_eq!(s.proxy.call_admin("POST", "/v1/backends/a/resume").await, 200);
    s.discovery.publish(vec![s.a.endpoint("SERVING")]).await;
    while s.proxy.call("look").await.0 != 200 {}
    assert_eq!(s.script.requests_at("a"), 1);
}

/// Both processes keep to what was told to either; a new one begins with it.
#[tokio::test]
async fn admin_calls_apply_to_both_processes() {
    let s = fixture().await;
    assert_eq!(s.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 200);
    assert_eq!(s.proxy.call_admin("POST", "/v1/proxy/drain").await, 200);
    std::fs::write(s.proxy.temp_dir.join("heathroad/stale"), [255]).expect("writable");
    let other = s.proxy.start_beside(&with_admin_api(&s.discovery)).await;
    while other.call_admin("GET", "/v1/readyz").await != 200 {}
    assert_eq!(healthy(&other).await, 503);
    for _ in 0..10 {
        assert_eq!(other.call("once").await, (200, "b".into()));
    }
    assert_eq!(other.call_admin("POST", "/v1/proxy/activate").await, 200);
    assert_eq!(other.call_admin("POST", "/v1/backends/b/suspend").await, 200);
    // The other looks at the markers every so often.
    while healthy(&s.proxy).await != 503 || s.proxy.call("look").await.0 != 503 {}
    assert_eq!(s.proxy.call_admin("POST", "/v1/backends/b/resume").await, 200);
    while other.call("look").await.0 != 200 {}
    assert_eq!(s.script.requests_at("a"), 0);
}

async fn healthy(proxy: &Proxy) -> u16 {
    let get = b"GET /health/ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
    raw(proxy.addr, get).await.expect("an answer")
}

#[tokio::test]
async fn drain_closes_client_connections_until_activated() {
    let s = fixture().await;
    let (mut kept, mut idle) = (s.proxy.client().await, s.proxy.client().await);
    assert_eq!((kept.call("look").await.0, idle.call("look").await.0), (200, 200));
    let mut silent = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    for _ in 0..2 {
        assert_eq!(s.proxy.call_admin("POST", "/v1/proxy/drain").await, 200);
        assert_eq!(healthy(&s.proxy).await, 503);
    }
    assert_eq!(s.proxy.call_admin("GET", "/v1/readyz").await, 200, "the process itself is well");
    // Requests on kept and new connections are served, each the last on its connection.
    assert_eq!(kept.call("look").await.0, 200);
    in_time(kept.wait_until_closed()).await;
    let mut late = s.proxy.client().await;
    assert_eq!(late.call("look").await.0, 200);
    in_time(late.wait_until_closed()).await;
    // Those that say nothing are closed too. What may still come first on a new one has its answer.
    in_time(idle.wait_until_closed()).await;
    let mut last_words = String::new();
    in_time(silent.read_to_string(&mut last_words)).await.expect("no reset");
    assert_eq!(last_words, REJECTED_FIRST_REQUEST);
    for _ in 0..2 {
        assert_eq!(s.proxy.call_admin("POST", "/v1/proxy/activate").await, 200);
        assert_eq!(healthy(&s.proxy).await, 200);
    }
    let mut kept = s.proxy.client().await;
    assert_eq!((kept.call("look").await.0, kept.call("look").await.0), (200, 200));
}

#[tokio::test]
async fn invalid_admin_call_is_rejected_without_effect() {
    let s = fixture().await;
    for (method, path, status) in [
        ("POST", "/v1/backends/c/suspend", 404),
        ("POST", "/v1/backends/c/resume", 404),
        ("POST", "/v1/backends//suspend", 404),
        ("POST", "/v1/backends/a", 404),
        ("POST", "/v1/backends/a/suspend/", 404),
        ("GET", "/", 404),
        ("GET", "/v1/backends/a/suspend", 405),
        ("GET", "/v1/proxy/drain", 405),
        ("POST", "/v1/readyz", 405),
        ("POST", "/v1/backends/%61/suspend", 200),
        ("POST", "/v1/backends/a/resume", 200),
    ] {
        assert_eq!(s.proxy.call_admin(method, path).await, status, "{method} {path}");
    }
    let admin = s.proxy.admin.expect("an admin API");
    let long = format!("GET /v1/readyz HTTP/1.1\r\nHost: d\r\nLong: {}\r\n\r\n", "x".repeat(9000));
    let body = "POST /v1/proxy/drain HTTP/1.1\r\nHost: d\r\nContent-Length: 5000\r\n\r\n";
    let body = format!("{body}{}", "x".repeat(5000));
    for bad in ["nonsense\r\n\r\n", &long, &body] {
        let status = raw(admin, bad.as_bytes()).await;
        assert!(status.is_none_or(|s| (400..500).contains(&s)), "{status:?} to {:.40}", bad);
    }
    assert_eq!(healthy(&s.proxy).await, 200);
}

#[tokio::test]
async fn incomplete_admin_calls_do_not_block_others() {
    let s = fixture().await;
    let mut half = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(s.proxy.admin.expect("an admin API")).await.expect("it listens");
        stream.write_all(b"POST /v1/proxy/drain HT").await.expect("open");
        half.push(stream);
    }
    assert_eq!(s.proxy.call_admin("GET", "/v1/readyz").await, 200);
    assert_eq!(s.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 200);
    assert_eq!(healthy(&s.proxy).await, 200);
}

#[tokio::test]
async fn admin_call_fails_when_its_marker_cannot_be_written() {
    let s = fixture().await;
    // What lies where the folder of markers would be can't be written to, and stops no start either.
    std::fs::remove_dir_all(s.proxy.temp_dir.join("heathroad")).expect("writable");
    std::fs::write(s.proxy.temp_dir.join("heathroad"), "a file").expect("writable");
    assert_eq!(s.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 500);
    assert_eq!(s.proxy.call_admin("POST", "/v1/proxy/drain").await, 500);
    let other = s.proxy.start_beside(&with_admin_api(&s.discovery)).await;
    while other.call_admin("GET", "/v1/readyz").await != 200 {}
    assert_eq!((healthy(&s.proxy).await, healthy(&other).await), (200, 200));
    while s.script.requests_at("a") == 0 {
        assert_eq!(s.proxy.call("once").await.0, 200);
    }
}

#[tokio::test]
async fn no_admin_api_without_a_configured_address() {
    let s = fixture().await;
    let proxy = Proxy::start(&s.discovery, settings()).await;
    while healthy(&proxy).await != 200 {}
    assert!(proxy.admin.is_none() && proxy.call("once").await.0 == 200);
    assert!(!proxy.temp_dir.join("heathroad").exists());
}

/// While two processes listen, both serve. The one that is told to stop answers all that reached it, each answer the
/// last on its connection, and is gone; whoever connects meanwhile or later is served by the other.
#[tokio::test]
async fn upgrade_loses_no_connection() {
    // Half of 256 descriptors would be 42 places, and the system deals out connections by chance: past them the oldest
    // at rest gives way, which is no loss of a request but is not what is looked at here.
    let mut s = scene_with(512).await;
    let mut config = with_admin_api(&s.discovery);
    config["limits"]["sockets"] = 512.into();
    config["listen"] = s.proxy.addr.to_string().into();
    let other = s.proxy.start_beside(&config).await;
    while other.call_admin("GET", "/v1/readyz").await != 200 {}
    let mut clients = Vec::new();
    for _ in 0..40 {
        clients.push(s.proxy.client().await);
    }
    let (hold, held) = (Arc::new(tokio::sync::Notify::new()), s.proxy.client().await);
    s.script.enqueue([BackendBehavior::Hold(hold.clone())]);
    let mut held = held;
    let held = tokio::spawn(async move { held.call("once").await });
    s.script.wait_for_requests(1).await;
    s.proxy.terminate().await;
    assert_eq!(s.proxy.call_admin("GET", "/v1/readyz").await, 503, "it is leaving");
    for _ in 0..20 {
        clients.push(s.proxy.client().await);
    }
    for client in &mut clients {
        assert_eq!(client.call("once").await.0, 200);
    }
    hold.notify_one();
    assert_eq!(held.await.expect("no panic").0, 200);
    assert!(s.proxy.wait_for_exit().await.success());
    for _ in 0..20 {
        assert_eq!(other.call("once").await.0, 200);
    }
    let left = std::fs::read_dir(other.temp_dir.join("heathroad")).expect("readable").count();
    assert!(left <= 2, "{left} files");
}

/// Whoever is on call sees which list is in force and that discovery does not answer.
#[tokio::test]
async fn admin_api_reports_list_version_and_failed_polls() {
    let s = fixture().await;
    let status = s.proxy.admin_json("/v1/discovery").await;
    assert_eq!((&status["list_version"], &status["failed_polls"]), (&1.into(), &0.into()), "{status}");
    s.discovery.set_behavior(DiscoveryBehavior::Refusing).await;
    let failed_polls = async || s.proxy.admin_json("/v1/discovery").await["failed_polls"].clone();
    in_time(async { while failed_polls().await.as_u64() < Some(3) {} }).await;
    let status = s.proxy.admin_json("/v1/discovery").await;
    assert_eq!(status["list_version"], 1, "{status}");
    assert!(status["last_answer_ms_ago"].as_f64() > Some(0.0), "{status}");
    s.discovery.set_behavior(DiscoveryBehavior::Up).await;
    in_time(async { while failed_polls().await != 0 {} }).await;
}

#[tokio::test]
async fn rejected_request_is_logged_with_its_reason() {
    let mut s = fixture().await;
    s.discovery.publish(vec![s.a.endpoint("DRAINING"), s.b.endpoint("DRAINING")]).await;
    assert_eq!(s.proxy.call("look").await.0, 503);
    let log = s.proxy.log.as_mut().expect("it is read");
    loop {
        let line = in_time(log.next_line()).await.expect("readable").expect("it goes on");
        if line.contains("look rejected after ") {
            assert!(line.ends_with(" ms (no ready backend)"), "{line}");
            return;
        }
    }
}
