//! Tests of the proxy program's admin API and of the effect of its calls on clients and backends.

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

/// Returns a configuration with an admin API.
fn config_with_admin_api(discovery: &Discovery) -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("classes") {
        // The maximum time that a request waits for a backend.
        class["aim"] = 500.0.into();
    }
    let mut config = discovery.config(settings);
    config["management"] = "127.0.0.1:0".into();
    config
}

async fn fixture() -> Fixture {
    fixture_with_descriptors(256).await
}

/// Returns a fixture whose proxy may hold this many descriptors.
async fn fixture_with_descriptors(descriptors: usize) -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let mut config = config_with_admin_api(&discovery);
    config["limits"]["sockets"] = descriptors.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    Fixture { script, a, b, discovery, proxy }
}

/// Sends bytes on a new connection and returns the status of the response, or `None` if there is none.
async fn send_raw(admin: std::net::SocketAddr, bytes: &[u8]) -> Option<u16> {
    let mut stream = TcpStream::connect(admin).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    // A reset after the response doesn't discard it.
    let _ = in_time(stream.read_to_end(&mut answer)).await;
    String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()
}

#[tokio::test]
async fn suspended_backend_gets_no_requests_after_list_updates() {
    // Given: a backend that was suspended twice.
    let fixture = fixture().await;
    for _ in 0..2 {
        assert_eq!(fixture.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 200);
    }
    // When: lists without and with the backend arrive. Then: it gets no requests.
    let lists = [
        vec![fixture.b.endpoint("SERVING")],
        vec![fixture.a.endpoint("SERVING"), fixture.b.endpoint("SERVING")],
    ];
    for list in lists.into_iter().cycle().take(4) {
        fixture.discovery.publish(list).await;
        for _ in 0..10 {
            assert_eq!(fixture.proxy.call("once").await, (200, "b".into()));
        }
    }
    // It gets no requests as the only backend of the list either.
    fixture.discovery.publish(vec![fixture.a.endpoint("SERVING")]).await;
    assert_eq!(fixture.proxy.call("look").await.0, 503);
    assert_eq!(fixture.script.requests_at("a"), 0);
    // One resume call undoes both suspend calls, also while the list doesn't contain the backend.
    fixture.discovery.publish(vec![fixture.b.endpoint("SERVING")]).await;
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/backends/a/resume").await, 200);
    fixture.discovery.publish(vec![fixture.a.endpoint("SERVING")]).await;
    while fixture.proxy.call("look").await.0 != 200 {}
    assert_eq!(fixture.script.requests_at("a"), 1);
}

/// A call to one process of a proxy applies to all of them, and a new process starts with the state that was
/// set before.
#[tokio::test]
async fn admin_calls_apply_to_both_processes() {
    let fixture = fixture().await;
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 200);
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/proxy/drain").await, 200);
    // Given: a suspended backend and a draining proxy, with an invalid file between the markers.
    std::fs::write(fixture.proxy.temp_dir.join("heathroad/stale"), [255]).expect("writable");
    // When: a second process starts. Then: it has the same state.
    let other = fixture.proxy.start_beside(&config_with_admin_api(&fixture.discovery)).await;
    while other.call_admin("GET", "/v1/readyz").await != 200 {}
    assert_eq!(health_status(&other).await, 503);
    for _ in 0..10 {
        assert_eq!(other.call("once").await, (200, "b".into()));
    }
    // When: the second process is called. Then: the first one, which polls the markers, follows.
    assert_eq!(other.call_admin("POST", "/v1/proxy/activate").await, 200);
    assert_eq!(other.call_admin("POST", "/v1/backends/b/suspend").await, 200);
    while health_status(&fixture.proxy).await != 503 || fixture.proxy.call("look").await.0 != 503 {}
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/backends/b/resume").await, 200);
    while other.call("look").await.0 != 200 {}
    assert_eq!(fixture.script.requests_at("a"), 0);
}

/// Returns the status of the health check.
async fn health_status(proxy: &Proxy) -> u16 {
    let get = b"GET /health/ready HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n";
    send_raw(proxy.addr, get).await.expect("a response")
}

#[tokio::test]
async fn drain_closes_client_connections_until_activated() {
    let fixture = fixture().await;
    // Given: two clients with keep-alive connections, and one that has sent nothing.
    let (mut kept_client, mut idle_client) = (fixture.proxy.client().await, fixture.proxy.client().await);
    assert_eq!((kept_client.call("look").await.0, idle_client.call("look").await.0), (200, 200));
    let mut silent_client = TcpStream::connect(fixture.proxy.addr).await.expect("connect");
    // When: the proxy is drained.
    for _ in 0..2 {
        assert_eq!(fixture.proxy.call_admin("POST", "/v1/proxy/drain").await, 200);
        assert_eq!(health_status(&fixture.proxy).await, 503);
    }
    assert_eq!(fixture.proxy.call_admin("GET", "/v1/readyz").await, 200, "the process itself is ready");
    // Then: requests on keep-alive and new connections are served, each as the last on its connection.
    assert_eq!(kept_client.call("look").await.0, 200);
    in_time(kept_client.wait_until_closed()).await;
    let mut late_client = fixture.proxy.client().await;
    assert_eq!(late_client.call("look").await.0, 200);
    in_time(late_client.wait_until_closed()).await;
    // Idle connections are closed too. A new one gets a response first, for a request that crosses the close.
    in_time(idle_client.wait_until_closed()).await;
    let mut rejection = String::new();
    in_time(silent_client.read_to_string(&mut rejection)).await.expect("no reset");
    assert_eq!(rejection, REJECTED_FIRST_REQUEST);
    // When: the proxy is activated again. Then: connections are kept.
    for _ in 0..2 {
        assert_eq!(fixture.proxy.call_admin("POST", "/v1/proxy/activate").await, 200);
        assert_eq!(health_status(&fixture.proxy).await, 200);
    }
    let mut kept_client = fixture.proxy.client().await;
    assert_eq!((kept_client.call("look").await.0, kept_client.call("look").await.0), (200, 200));
}

#[tokio::test]
async fn invalid_admin_call_is_rejected_without_effect() {
    let fixture = fixture().await;
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
        assert_eq!(fixture.proxy.call_admin(method, path).await, status, "{method} {path}");
    }
    let admin = fixture.proxy.admin.expect("an admin API");
    let long = format!("GET /v1/readyz HTTP/1.1\r\nHost: d\r\nLong: {}\r\n\r\n", "x".repeat(9000));
    let body = "POST /v1/proxy/drain HTTP/1.1\r\nHost: d\r\nContent-Length: 5000\r\n\r\n";
    let body = format!("{body}{}", "x".repeat(5000));
    for request in ["nonsense\r\n\r\n", &long, &body] {
        let status = send_raw(admin, request.as_bytes()).await;
        assert!(status.is_none_or(|s| (400..500).contains(&s)), "{status:?} to {:.40}", request);
    }
    assert_eq!(health_status(&fixture.proxy).await, 200);
}

#[tokio::test]
async fn incomplete_admin_calls_do_not_block_others() {
    let fixture = fixture().await;
    // Given: connections with half of a call.
    let mut connections = Vec::new();
    for _ in 0..40 {
        let mut stream =
            TcpStream::connect(fixture.proxy.admin.expect("an admin API")).await.expect("connect");
        stream.write_all(b"POST /v1/proxy/drain HT").await.expect("open");
        connections.push(stream);
    }
    // Then: other calls are answered.
    assert_eq!(fixture.proxy.call_admin("GET", "/v1/readyz").await, 200);
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 200);
    assert_eq!(health_status(&fixture.proxy).await, 200);
}

#[tokio::test]
async fn admin_call_fails_when_its_marker_cannot_be_written() {
    let fixture = fixture().await;
    // Given: a file in place of the markers' directory, so that no marker can be written.
    std::fs::remove_dir_all(fixture.proxy.temp_dir.join("heathroad")).expect("writable");
    std::fs::write(fixture.proxy.temp_dir.join("heathroad"), "a file").expect("writable");
    // Then: calls fail without an effect, and a new process still starts.
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/backends/a/suspend").await, 500);
    assert_eq!(fixture.proxy.call_admin("POST", "/v1/proxy/drain").await, 500);
    let other = fixture.proxy.start_beside(&config_with_admin_api(&fixture.discovery)).await;
    while other.call_admin("GET", "/v1/readyz").await != 200 {}
    assert_eq!((health_status(&fixture.proxy).await, health_status(&other).await), (200, 200));
    while fixture.script.requests_at("a") == 0 {
        assert_eq!(fixture.proxy.call("once").await.0, 200);
    }
}

#[tokio::test]
async fn no_admin_api_without_a_configured_address() {
    let fixture = fixture().await;
    let proxy = Proxy::start(&fixture.discovery, settings()).await;
    while health_status(&proxy).await != 200 {}
    assert!(proxy.admin.is_none() && proxy.call("once").await.0 == 200);
    assert!(!proxy.temp_dir.join("heathroad").exists());
}

/// While two processes listen, both serve. A process that is terminated answers everything that reached it,
/// each response being the last on its connection, and exits; clients that connect meanwhile or later are
/// served by the other process.
#[tokio::test]
async fn upgrade_loses_no_connection() {
    // Given: two processes on one address, clients, and a request in flight at the first process.
    //
    // Half of 256 descriptors would leave space for 42 clients, and the kernel distributes connections at
    // random between the processes. Beyond that the oldest idle client is evicted, which loses no request but
    // isn't what this test checks.
    let mut fixture = fixture_with_descriptors(512).await;
    let mut config = config_with_admin_api(&fixture.discovery);
    config["limits"]["sockets"] = 512.into();
    config["listen"] = fixture.proxy.addr.to_string().into();
    let other = fixture.proxy.start_beside(&config).await;
    while other.call_admin("GET", "/v1/readyz").await != 200 {}
    let mut clients = Vec::new();
    for _ in 0..40 {
        clients.push(fixture.proxy.client().await);
    }
    let (release, mut holding_client) = (Arc::new(tokio::sync::Notify::new()), fixture.proxy.client().await);
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    let held_call = tokio::spawn(async move { holding_client.call("once").await });
    fixture.script.wait_for_requests(1).await;
    // When: the first process is terminated, and further clients connect.
    fixture.proxy.terminate().await;
    assert_eq!(fixture.proxy.call_admin("GET", "/v1/readyz").await, 503, "the process is shutting down");
    for _ in 0..20 {
        clients.push(fixture.proxy.client().await);
    }
    // Then: all requests are served, and the first process exits and removes its files.
    for client in &mut clients {
        assert_eq!(client.call("once").await.0, 200);
    }
    release.notify_one();
    assert_eq!(held_call.await.expect("no panic").0, 200);
    assert!(fixture.proxy.wait_for_exit().await.success());
    for _ in 0..20 {
        assert_eq!(other.call("once").await.0, 200);
    }
    let files = std::fs::read_dir(other.temp_dir.join("heathroad")).expect("readable").count();
    assert!(files <= 2, "{files} files");
}

/// Operators can see which list is in use and that discovery doesn't answer.
#[tokio::test]
async fn admin_api_reports_list_version_and_failed_polls() {
    let fixture = fixture().await;
    let status = fixture.proxy.admin_json("/v1/discovery").await;
    assert_eq!((&status["list_version"], &status["failed_polls"]), (&1.into(), &0.into()), "{status}");
    fixture.discovery.set_behavior(DiscoveryBehavior::Refusing).await;
    let failed_polls = async || fixture.proxy.admin_json("/v1/discovery").await["failed_polls"].clone();
    in_time(async { while failed_polls().await.as_u64() < Some(3) {} }).await;
    let status = fixture.proxy.admin_json("/v1/discovery").await;
    assert_eq!(status["list_version"], 1, "{status}");
    assert!(status["last_answer_ms_ago"].as_f64() > Some(0.0), "{status}");
    fixture.discovery.set_behavior(DiscoveryBehavior::Up).await;
    in_time(async { while failed_polls().await != 0 {} }).await;
}

#[tokio::test]
async fn rejected_request_is_logged_with_its_reason() {
    let mut fixture = fixture().await;
    fixture.discovery.publish(vec![fixture.a.endpoint("DRAINING"), fixture.b.endpoint("DRAINING")]).await;
    assert_eq!(fixture.proxy.call("look").await.0, 503);
    let log = fixture.proxy.log.as_mut().expect("an open log");
    loop {
        let line = in_time(log.next_line()).await.expect("a readable log").expect("another log line");
        if line.contains("look rejected after ") {
            assert!(line.ends_with(" ms (no ready backend)"), "{line}");
            return;
        }
    }
}
