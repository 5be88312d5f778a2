//! End-to-end tests of the proxy on loopback sockets: the responses to clients and the requests to backends.

mod support;

use http_body_util::Full;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::{Duration, Instant};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A proxy with two backends that share a script, and the discovery service that lists them.
struct Fixture {
    script: Arc<BackendScript>,
    a: Backend,
    b: Backend,
    discovery: Discovery,
    proxy: Proxy,
}

async fn start_fixture(settings: serde_json::Value) -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    Fixture { script, a, b, discovery, proxy }
}

/// Returns the default settings with `cap` set to `value`.
fn with_cap(cap: &str, value: serde_json::Value) -> serde_json::Value {
    let mut settings = settings();
    settings["caps"][cap] = value;
    settings
}

#[tokio::test]
async fn request_is_forwarded_unchanged_and_served() {
    let fixture = start_fixture(settings()).await;
    let body = "a claim".repeat(9000);
    let call = request("keep").body(Full::from(body.clone())).expect("well formed");
    let id = call.headers()["req-id"].clone();
    // When: the request is sent through the proxy.
    let (status, answer) = fixture.proxy.client().await.send(call).await;
    assert_eq!(status, 200);
    // Then: the backend received it as it was sent, with the remaining time as its deadline.
    let seen = fixture.script.seen.borrow();
    let [(name, head, body_received)] = &seen[..] else { panic!("the request runs once") };
    assert_eq!((answer.as_str(), body_received), (*name, &body.into()));
    assert_eq!((head.method.as_str(), head.uri.to_string().as_str()), ("POST", "/keep?k=7f3a"));
    assert_eq!(
        (&head.headers["req-id"], &head.headers["idempotency-key"]),
        (&id, &"5c0f6e1a".parse().unwrap())
    );
    let left: u64 = head.headers["req-deadline-ms"].to_str().expect("text").parse().expect("a number");
    assert!((1..60_000).contains(&left), "a remaining deadline of {left} ms");
}

#[tokio::test]
async fn declined_request_is_retried_whatever_its_class() {
    let fixture = start_fixture(settings()).await;
    for (n, status) in [503, 504].into_iter().enumerate() {
        fixture.script.enqueue([BackendBehavior::Decline(status)]);
        assert_eq!(fixture.proxy.call("once").await.0, 200);
        assert_eq!(fixture.script.seen.borrow().len(), 2 * (n + 1));
    }
}

/// Guards against running a request twice that is neither retryable nor deduplicated: it may have run, so it
/// is neither retried nor answered with a 503, which would invite the client to retry. Requests that are safe
/// to run again are retried.
#[tokio::test]
async fn possibly_executed_request_is_retried_only_if_safe() {
    for behavior in [
        || BackendBehavior::Answer(500),
        || BackendBehavior::Answer(503),
        || BackendBehavior::Answer(429),
        || BackendBehavior::CloseWithoutResponse,
        || BackendBehavior::TruncateResponse,
    ] {
        let fixture = start_fixture(settings()).await;
        fixture.script.enqueue([behavior()]);
        assert_eq!(fixture.proxy.call("once").await.0, 502);
        assert_eq!(fixture.script.seen.borrow().len(), 1);
        for class in ["look", "keep"] {
            let before = fixture.script.seen.borrow().len();
            fixture.script.enqueue([behavior()]);
            let (status, body) = fixture.proxy.call(class).await;
            assert_eq!((status, body.len()), (200, 1));
            assert_eq!(fixture.script.seen.borrow().len(), before + 2);
        }
    }
}

/// Checks that a request is retried after an attempt at an unreachable address. `b` declines the first
/// attempt, so that the next one goes to the unreachable backend, and serves the third. A request that must
/// not run twice reaches the third attempt only if each failure proves that nothing ran.
async fn assert_retried_on_another_backend(addr: std::net::SocketAddr) {
    let script = Arc::new(BackendScript::default());
    let b = Backend::start("b", &script).await;
    let discovery = Discovery::start(vec![endpoint("a", addr, "SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, with_cap("connectTimeout", 250.0.into())).await;
    script.enqueue([BackendBehavior::Decline(503)]);
    assert_eq!(proxy.call("once").await, (200, "b".into()));
    assert_eq!(script.requests_at("b"), 2);
}

#[tokio::test]
async fn request_is_retried_after_a_refused_connection() {
    let (_held, addr) = bound_socket_without_listener();
    assert_retried_on_another_backend(addr).await;
}

#[tokio::test]
async fn request_is_retried_after_a_connect_timeout() {
    let (listener, _held) = listener_with_full_backlog().await;
    assert_retried_on_another_backend(listener.local_addr().expect("bound")).await;
}

#[tokio::test]
async fn connections_are_reused_until_the_backend_closes_them() {
    let fixture = start_fixture(settings()).await;
    let mut client = fixture.proxy.client().await;
    for _ in 0..20 {
        assert_eq!(client.call("once").await.0, 200);
    }
    let connections = || fixture.a.total_connections() + fixture.b.total_connections();
    assert!(connections() <= 2, "{} connections", connections());
    // When: the backends close the idle connections. A request on one of them would get a reset, and an
    // unsafe one would fail.
    fixture.a.close_idle_connections().await;
    fixture.b.close_idle_connections().await;
    for _ in 0..20 {
        assert_eq!(client.call("once").await.0, 200);
    }
}

#[tokio::test]
async fn idle_connections_are_closed_by_the_proxy() {
    let fixture = start_fixture(with_cap("connIdle", 3000.0.into())).await;
    assert_eq!(fixture.proxy.call("look").await.0, 200);
    // The backends never close a connection by themselves.
    fixture.a.wait_until_all_closed().await;
    fixture.b.wait_until_all_closed().await;
    assert_eq!(fixture.proxy.call("once").await.0, 200);
}

#[tokio::test]
async fn backend_restart_closes_its_old_connections() {
    let fixture = start_fixture(settings()).await;
    for _ in 0..20 {
        assert_eq!(fixture.proxy.call("once").await.0, 200);
    }
    let (mut a, mut b) = (fixture.a.endpoint("SERVING"), fixture.b.endpoint("SERVING"));
    (a["born_ms"], b["born_ms"]) = (1.0.into(), 1.0.into());
    fixture.discovery.publish(vec![a, b]).await;
    fixture.a.wait_until_all_closed().await;
    fixture.b.wait_until_all_closed().await;
    assert_eq!(fixture.proxy.call("once").await.0, 200);
}

/// Guards against a pool that uses its connections in turn: the additional ones opened by a burst become idle
/// only if requests prefer the most recently used connection.
#[tokio::test]
async fn surplus_connections_become_idle_and_are_closed() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, with_cap("connIdle", 3000.0.into())).await;
    let release = Arc::new(Notify::new());
    script.enqueue([BackendBehavior::Hold(release.clone()), BackendBehavior::Hold(release.clone())]);
    // Given: two connections to the backend, opened by two concurrent requests.
    let (mut first, mut second) = (proxy.client().await, proxy.client().await);
    let held_calls = [
        tokio::spawn(async move { first.call("look").await }),
        tokio::spawn(async move { second.call("look").await }),
    ];
    script.wait_for_requests(2).await;
    release.notify_one();
    release.notify_one();
    for call in held_calls {
        assert_eq!(call.await.expect("no panic").0, 200);
    }
    assert_eq!(a.total_connections(), 2);
    // When: single requests follow. Then: one connection is closed, and the other serves them.
    in_time(async {
        while *a.open_connections.borrow() > 1 {
            assert_eq!(proxy.call("look").await.0, 200);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    })
    .await;
    assert_eq!(a.total_connections(), 2, "requests should use the open connections");
}

#[tokio::test]
async fn draining_backend_finishes_requests_and_gets_no_new_ones() {
    let fixture = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    // Given: a request in flight at one of the backends.
    let mut client = fixture.proxy.client().await;
    let held_call = tokio::spawn(async move { client.call("once").await });
    fixture.script.wait_for_requests(1).await;
    let busy_name = fixture.script.seen.borrow()[0].0;
    let (draining, other) =
        if busy_name == "a" { (&fixture.a, &fixture.b) } else { (&fixture.b, &fixture.a) };
    // When: that backend drains. Then: new requests go to the other one, and the open request is served.
    fixture.discovery.publish(vec![draining.endpoint("DRAINING"), other.endpoint("SERVING")]).await;
    for _ in 0..20 {
        assert_eq!(fixture.proxy.call("look").await, (200, other.name.into()));
    }
    release.notify_one();
    assert_eq!(held_call.await.expect("no panic"), (200, busy_name.into()));
    // Then: the connection to the draining backend is closed as well, since no request will use it.
    draining.wait_until_all_closed().await;
    fixture.discovery.publish(vec![draining.endpoint("SERVING"), other.endpoint("DRAINING")]).await;
    assert_eq!(fixture.proxy.call("look").await, (200, draining.name.into()));
}

#[tokio::test]
async fn connect_completed_after_the_drain_grace_is_not_used() {
    // Given: a connect that is still in progress when its backend drains.
    let (listener, queue_fillers) = listener_with_full_backlog().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = Discovery::start(vec![endpoint("a", addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, with_cap("connectTimeout", 20_000.0.into())).await;
    let mut client = proxy.client().await;
    let call = tokio::spawn(async move { client.call("once").await });
    let script = Arc::new(BackendScript::default());
    let b = Backend::start("b", &script).await;
    in_time(wait_for_connect_attempt(addr)).await;
    discovery.publish(vec![endpoint("a", addr, "DRAINING"), b.endpoint("SERVING")]).await;
    let drain_published_at = Instant::now();
    tokio::time::sleep(Duration::from_millis(600)).await;
    // When: the accept queue gets room only now, and the connect succeeds at the next retransmission of its SYN.
    for _ in &queue_fillers {
        drop(in_time(listener.accept()).await.expect("a queued connection"));
    }
    let (mut late_connection, _) = in_time(listener.accept()).await.expect("the proxy's connection");
    assert!(drain_published_at.elapsed() > Duration::from_millis(500));
    // Then: nothing is sent on that connection, and the request is served by the other backend.
    assert_eq!(
        in_time(late_connection.read(&mut [0; 64])).await.expect("closed"),
        0,
        "the proxy sent bytes after the grace period"
    );
    assert_eq!(in_time(call).await.expect("no panic"), (200, "b".into()));
}

/// Checks that the connections of `attempts` attempts have been closed by the time that 100 further requests
/// are served.
async fn assert_cancelled_soon(fixture: &Fixture, attempts: usize) {
    for _ in 0..100 {
        assert_eq!(fixture.proxy.call("look").await.0, 200);
    }
    assert_eq!(*fixture.script.abandoned.borrow(), attempts);
}

/// Guards against attempts that continue for a client that has disconnected. A backend stops the work for an
/// attempt when its connection is closed.
#[tokio::test]
async fn client_disconnect_cancels_its_attempt() {
    for may_duplicate in [false, true] {
        let fixture = start_fixture(with_cap("mayDuplicate", may_duplicate.into())).await;
        fixture.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
        let mut client = fixture.proxy.client().await;
        let call = tokio::spawn(async move { client.call("look").await });
        fixture.script.wait_for_requests(1).await;
        call.abort();
        assert_cancelled_soon(&fixture, 1).await;
    }
}

/// Returns settings under which a request beyond the concurrency limit is rejected after a short time.
fn with_short_queue_wait() -> serde_json::Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = 4000.0.into();
    }
    settings
}

/// Sends requests, which their backends hold, until the first one beyond the concurrency limit is rejected.
/// Returns the clients of the held requests, and a release for each request. The last release belongs to the
/// script entry of the rejected request, which the next request takes.
async fn fill_concurrency_limit(
    fixture: &Fixture,
    deadline_header: &str,
) -> (Vec<TcpStream>, Vec<Arc<Notify>>) {
    let (mut clients, mut releases, mut rejection) = (Vec::new(), Vec::new(), Vec::new());
    while rejection.is_empty() {
        let release = Arc::new(Notify::new());
        fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
        releases.push(release);
        let mut client = TcpStream::connect(fixture.proxy.addr).await.expect("the proxy listens");
        let call = raw_request("GET /look", &clients.len().to_string(), deadline_header);
        client.write_all(call.as_bytes()).await.expect("open");
        tokio::select! {
            () = fixture.script.wait_for_requests(clients.len() + 1) => clients.push(client),
            read = client.read_buf(&mut rejection) => assert_ne!(read.expect("open"), 0),
        }
    }
    assert!(rejection.starts_with(b"HTTP/1.1 503"), "{}", String::from_utf8_lossy(&rejection));
    (clients, releases)
}

/// Disconnects a client and waits until the proxy has detected it and closed the connection.
async fn disconnect(mut client: TcpStream) {
    client.shutdown().await.expect("open");
    in_time(client.read_to_end(&mut Vec::new())).await.expect("a close");
}

/// Checks that the requests of `fill_concurrency_limit` have ended at the backends, which release nothing by
/// themselves, and that their slots are free.
async fn assert_all_cancelled(fixture: &Fixture, attempts: usize, releases: &[Arc<Notify>]) {
    // The next request takes the script entry of the request that was rejected by `fill_concurrency_limit`.
    releases.last().expect("one release per request").notify_one();
    assert_cancelled_soon(fixture, attempts).await;
}

#[tokio::test]
async fn requests_of_disconnected_clients_are_cancelled() {
    let fixture = start_fixture(with_short_queue_wait()).await;
    let (clients, releases) = fill_concurrency_limit(&fixture, "Req-Deadline-Ms: 60000").await;
    let attempts = clients.len();
    for client in clients {
        disconnect(client).await;
    }
    assert_all_cancelled(&fixture, attempts, &releases).await;
}

#[tokio::test]
async fn timed_out_requests_are_cancelled() {
    let fixture = start_fixture(with_short_queue_wait()).await;
    let (clients, releases) = fill_concurrency_limit(&fixture, "Req-Deadline-Ms: 1500").await;
    let attempts = clients.len();
    for mut client in clients {
        // A retryable request is rejected at its deadline, since it may be sent again.
        let mut answer = Vec::new();
        assert_ne!(in_time(client.read_buf(&mut answer)).await.expect("open"), 0);
        assert!(answer.starts_with(b"HTTP/1.1 503"), "{}", String::from_utf8_lossy(&answer));
    }
    assert_all_cancelled(&fixture, attempts, &releases).await;
}

/// Guards against a quota that still counts the requests of disconnected clients. The tenant may have two
/// requests within its quota, and `fill_concurrency_limit` sends one beyond it, which is rejected. Once the
/// client of one of the two has disconnected, the next request is within the quota and is served although the
/// limit is reached.
#[tokio::test]
async fn client_disconnect_frees_its_quota_share() {
    let mut limited_quota = with_short_queue_wait();
    limited_quota["tenants"][0]["quotaPerS"] = 0.001.into();
    let fixture = start_fixture(limited_quota).await;
    // Given: a tenant at its quota, and a proxy at its concurrency limit.
    let (mut clients, releases) = fill_concurrency_limit(&fixture, "Req-Deadline-Ms: 60000").await;
    // When: one client disconnects.
    disconnect(clients.remove(0)).await;
    // Then: the next request is served.
    releases.last().expect("one release per request").notify_one();
    assert_eq!(fixture.proxy.call("look").await.0, 200);
}

#[tokio::test]
async fn request_fails_before_its_deadline_and_is_cancelled() {
    let fixture = start_fixture(settings()).await;
    fixture.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
    // Given: a backend that does not answer, and a deadline of 700 ms.
    let call = request("once").body(Full::default()).expect("well formed");
    let (mut parts, body) = call.into_parts();
    parts.headers.insert("req-deadline-ms", "700".parse().expect("a value"));
    let started_at = Instant::now();
    let (status, _) = fixture.proxy.client().await.send(hyper::Request::from_parts(parts, body)).await;
    assert!(
        (500..600).contains(&status) && status != 503,
        "{status}: only 503 states that the request did not run"
    );
    assert!(started_at.elapsed() >= Duration::from_millis(500), "the request failed too early");
    // Then: the close of the connection shows the backend that no client waits for the response any more.
    assert_cancelled_soon(&fixture, 1).await;
}

#[tokio::test]
async fn graceful_shutdown_answers_all_admitted_requests() {
    let mut fixture = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    // Given: a request in flight, and an idle client.
    let (mut busy, mut idle) = (fixture.proxy.client().await, fixture.proxy.client().await);
    let held_call = tokio::spawn(async move { busy.call("once").await });
    fixture.script.wait_for_requests(1).await;
    // When: the proxy gets a SIGTERM. Then: requests are served until the listener has closed.
    fixture.proxy.terminate().await;
    assert_eq!(idle.call("look").await.0, 200, "idle connections should stay usable");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(fixture.proxy.call("look").await.0, 200, "new connections should be accepted for a while");
    in_time(async {
        while idle.0.ready().await.is_ok() && TcpStream::connect(fixture.proxy.addr).await.is_ok() {}
    })
    .await;
    // Then: the open request is answered before the process ends.
    release.notify_one();
    assert_eq!(held_call.await.expect("no panic").0, 200);
    assert_eq!(fixture.proxy.wait_for_exit().await.code(), Some(0));
}

/// Guards against closing client connections together with the listener. Other instances may be down too, so
/// clients keep their connections for as long as a request can still be answered in time.
#[tokio::test]
async fn open_connections_outlast_the_listener_on_shutdown() {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = 500.0.into();
    }
    let mut fixture = start_fixture(settings).await;
    let mut idle = fixture.proxy.client().await;
    assert_eq!(idle.call("look").await.0, 200);
    fixture.proxy.terminate().await;
    // When: the listener has closed. Then: the open connection is still served.
    in_time(async { while TcpStream::connect(fixture.proxy.addr).await.is_ok() {} }).await;
    assert_eq!(idle.call("look").await.0, 200);
    drop(idle);
    assert_eq!(fixture.proxy.wait_for_exit().await.code(), Some(0));
}

#[tokio::test]
async fn graceful_shutdown_does_not_wait_for_a_silent_backend() {
    let mut fixture = start_fixture(settings()).await;
    fixture.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
    let mut client = fixture.proxy.client().await;
    let held_call = tokio::spawn(async move { client.call("once").await });
    fixture.script.wait_for_requests(1).await;
    fixture.proxy.terminate().await;
    let (status, _) = held_call.await.expect("no panic");
    assert_eq!(status, 504, "the request may have run");
    assert_eq!(fixture.proxy.wait_for_exit().await.code(), Some(0));
}

#[tokio::test]
async fn reload_switches_to_another_discovery_address() {
    let mut fixture = start_fixture(settings()).await;
    // Given: another discovery service, whose list version is lower than the current one. A watch that asked it
    // for changes after the current version would wait forever.
    fixture.discovery.publish(vec![fixture.a.endpoint("SERVING")]).await;
    let other = Discovery::start(vec![fixture.b.endpoint("SERVING")]).await;
    // When: a reload is rejected. Then: the old discovery service applies.
    fixture.proxy.reload("{", "configuration rejected").await;
    assert_eq!(fixture.proxy.call("look").await, (200, "a".into()));
    // When: a reload names the other discovery service. Then: only its list applies, as do its changes.
    fixture.proxy.reload(&other.config(settings()).to_string(), "configuration applied").await;
    other.wait_until_applied().await;
    in_time(fixture.discovery.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
    for _ in 0..20 {
        assert_eq!(fixture.proxy.call("look").await, (200, "b".into()));
    }
    other.publish(vec![fixture.a.endpoint("SERVING")]).await;
    assert_eq!(fixture.proxy.call("look").await, (200, "a".into()));
}

#[tokio::test]
async fn proxy_survives_running_out_of_descriptors() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    // Given: a descriptor limit of the operating system far below the configured one.
    let config = discovery.config(settings());
    let proxy = Proxy::start_with_command(&config, "ulimit -n 24; exec \"$0\"").await;
    discovery.wait_until_applied().await;
    // When: more clients connect than there are descriptors, and disconnect.
    let mut connections = Vec::new();
    for _ in 0..60 {
        connections.push(TcpStream::connect(proxy.addr).await.expect("the system queues the connection"));
    }
    drop(connections);
    // Then: new clients are served.
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
}

#[tokio::test]
async fn idle_clients_do_not_block_new_ones() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    // Given: idle clients that have sent a request and clients that have sent nothing. There is room for at
    // most 40.
    let (mut idle, mut silent) = (Vec::new(), Vec::new());
    for _ in 0..30 {
        let mut client = proxy.client().await;
        assert_eq!(client.call("look").await.0, 200);
        idle.push(client);
        silent.push(in_time(TcpStream::connect(proxy.addr)).await.expect("the system queues the connection"));
        silent.push(in_time(TcpStream::connect(proxy.addr)).await.expect("the system queues the connection"));
    }
    // When: hundreds of clients that send nothing connect.
    let mut active = proxy.client().await;
    assert_eq!(active.call("look").await.0, 200);
    let started_at = Instant::now();
    for _ in 0..200 {
        silent.push(in_time(TcpStream::connect(proxy.addr)).await.expect("the system queues the connection"));
    }
    // Then: the client that was served and a new one are served without a delay.
    assert_eq!(
        active.call("look").await.0,
        200,
        "a client that was served before should keep its connection"
    );
    assert_eq!(proxy.call("look").await.0, 200);
    assert!(started_at.elapsed() < Duration::from_secs(2), "no request should wait for a time limit");
}

#[tokio::test]
async fn malformed_requests_are_rejected_and_not_forwarded() {
    let fixture = start_fixture(settings()).await;
    let without = |class: &str, name: &str| {
        let mut call = request(class).body(Full::<bytes::Bytes>::default()).expect("well formed");
        call.headers_mut().remove(name).expect("the header is set");
        call
    };
    for (class, header) in
        [("look", "req-id"), ("look", "req-owner"), ("look", "req-deadline-ms"), ("keep", "idempotency-key")]
    {
        assert_eq!(
            fixture.proxy.client().await.send(without(class, header)).await.0,
            400,
            "{class} without {header}"
        );
    }
    let malformed = [
        (request("look").uri("/nothing?k=1"), 404),
        (request("look").uri("/"), 404),
        (request("look").method("POST"), 405),
        (request("once").method("GET"), 405),
        (request("once").header("idempotency-key", "1"), 400),
        (request("look").header("req-owner", "other"), 400),
        (request("look").header("req-id", "second"), 400),
    ];
    for (call, status) in malformed {
        let call = call.body(Full::default()).expect("well formed");
        assert_eq!(fixture.proxy.client().await.send(call).await.0, status);
    }
    assert_eq!(fixture.script.seen.borrow().len(), 0);
}

/// Sends raw bytes, and returns all that is received until the proxy closes the connection.
async fn send_raw(addr: std::net::SocketAddr, bytes: &[u8]) -> String {
    let mut stream = in_time(TcpStream::connect(addr)).await.expect("the proxy listens");
    stream.write_all(bytes).await.expect("the connection is open");
    let mut answer = Vec::new();
    in_time(stream.read_to_end(&mut answer)).await.expect("an orderly close");
    String::from_utf8(answer).expect("text")
}

/// Returns a request as text, with additional headers that are separated by `|`.
fn raw_request(method_and_path: &str, id: &str, headers: &str) -> String {
    let mut text = format!("{method_and_path} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\n");
    for header in headers.split('|') {
        text += &format!("{header}\r\n");
    }
    text + "\r\n"
}

#[tokio::test]
async fn request_with_invalid_framing_is_not_forwarded() {
    let fixture = start_fixture(settings()).await;
    let smuggled = raw_request("GET /look", "b", "Req-Deadline-Ms: 60000");
    let length = format!("Content-Length: {}", smuggled.len() + 5);
    let (chunked, deadline) = ("Transfer-Encoding: chunked", "Req-Deadline-Ms: 60000");
    for (headers, status) in [
        (format!("{deadline}|{length}|{chunked}"), "400"),
        (format!("{deadline}|{chunked}|{length}"), "400"),
        (format!("{deadline}|{chunked}|{chunked}"), "400"),
        (format!("{deadline}|Transfer-Encoding: gzip, chunked"), "400"),
        (format!("{deadline}|Transfer-Encoding: gzip"), "400"),
        (format!("{deadline}|Content-Length: 33554433"), "413"),
        (format!("{deadline}|Content-Length: 4|Content-Length: 9"), "400"),
        (format!("{deadline}|Content-Length: -4"), "400"),
        (format!("{deadline}|Content-Length: 99999999999999999999"), "400"),
        (format!("{deadline}|Content-Length: 3000000000"), "413"),
        ("Req-Deadline-Ms: +60000|Content-Length: 0".to_string(), "400"),
    ] {
        let text = raw_request("POST /once", "a", &headers) + "0\r\n\r\n" + &smuggled;
        let answer = send_raw(fixture.proxy.addr, text.as_bytes()).await;
        let statuses: Vec<_> = answer.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
        assert_eq!(statuses, [status], "{headers}");
    }
    assert_eq!(fixture.script.seen.borrow().len(), 0, "no request should be forwarded");
}

#[tokio::test]
async fn incomplete_requests_time_out() {
    let fixture = start_fixture(settings()).await;
    let body = raw_request("POST /once", "a", "Req-Deadline-Ms: 60000|Content-Length: 300") + "half";
    let head = "GET /look HTTP/1.1\r\nHost:";
    let started_at = Instant::now();
    let (silent, head, body) = tokio::join!(
        send_raw(fixture.proxy.addr, b""),
        send_raw(fixture.proxy.addr, head.as_bytes()),
        send_raw(fixture.proxy.addr, body.as_bytes())
    );
    assert!(started_at.elapsed() < Duration::from_secs(20), "another time limit ended the wait");
    // A request that may still arrive in full on such a connection has its answer already.
    assert_eq!((silent.as_str(), head.as_str()), (REJECTED_FIRST_REQUEST, REJECTED_FIRST_REQUEST));
    assert!(body.starts_with("HTTP/1.1 408 "), "{body}");
    let endless = format!("GET /look HTTP/1.1\r\nX-Pad: {}", "p".repeat(200_000));
    let mut stream = in_time(TcpStream::connect(fixture.proxy.addr)).await.expect("the proxy listens");
    // The proxy closes the connection during this write.
    let _ = stream.write_all(endless.as_bytes()).await;
    let _ = in_time(stream.read_to_end(&mut Vec::new())).await;
    assert_eq!(fixture.script.seen.borrow().len(), 0);
}

#[tokio::test]
async fn duplicate_id_of_an_open_request_is_rejected() {
    let fixture = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    let call = || {
        let call = request("look").header("x-try", "1").body(Full::default()).expect("well formed");
        let (mut parts, body) = call.into_parts();
        parts.headers.insert("req-id", "5d468814b7549764".parse().expect("a value"));
        hyper::Request::from_parts(parts, body)
    };
    // Given: an open request.
    let (mut first_client, mut second_client) = (fixture.proxy.client().await, fixture.proxy.client().await);
    let first_call = tokio::spawn(async move { first_client.send(call()).await });
    fixture.script.wait_for_requests(1).await;
    // When: another request has the same id. Then: it is rejected.
    assert_eq!(second_client.send(call()).await.0, 409);
    // When: the first request is answered. Then: its id is free.
    release.notify_one();
    assert_eq!(first_call.await.expect("no panic").0, 200);
    assert_eq!(fixture.script.seen.borrow().len(), 1, "the duplicate request should not be forwarded");
    assert_eq!(second_client.send(call()).await.0, 200, "the id should be free once its request is answered");
}

/// Other backends would reject the request as well, and the failure does not count against this one.
#[tokio::test]
async fn request_a_backend_calls_malformed_is_not_retried() {
    let fixture = start_fixture(settings()).await;
    for status in [400, 404, 413] {
        let before = fixture.script.seen.borrow().len();
        fixture.script.enqueue([BackendBehavior::Answer(status)]);
        assert_eq!(fixture.proxy.call("look").await.0, 502);
        assert_eq!(fixture.script.seen.borrow().len(), before + 1);
    }
}

/// Guards against a deadline that starts when a request is taken from its connection: a request that is
/// pipelined behind another has its deadline from its arrival.
#[tokio::test]
async fn deadline_of_a_pipelined_request_counts_from_arrival() {
    let fixture = start_fixture(settings()).await;
    let release = Arc::new(Notify::new());
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    // Given: two pipelined requests, the second of which has a deadline of 300 ms.
    let first = raw_request("GET /look", "a", "Req-Deadline-Ms: 60000");
    let second = raw_request("GET /look", "b", "Req-Deadline-Ms: 300|Connection: close");
    let addr = fixture.proxy.addr;
    let text = first + &second;
    let answers = tokio::spawn(async move { send_raw(addr, text.as_bytes()).await });
    fixture.script.wait_for_requests(1).await;
    // When: the first one is answered after 400 ms.
    tokio::time::sleep(Duration::from_millis(400)).await;
    release.notify_one();
    // Then: the second one is rejected and not forwarded.
    let answers = answers.await.expect("no panic");
    let statuses: Vec<_> = answers.split("HTTP/1.1 ").skip(1).map(|a| &a[..3]).collect();
    assert_eq!(statuses, ["200", "503"]);
    assert_eq!(fixture.script.seen.borrow().len(), 1, "the expired request should not be forwarded");
}

/// The total size of buffered bodies is bounded by the configured memory; requests beyond it are rejected.
#[tokio::test]
async fn buffered_bodies_stay_within_the_memory_limit() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["memory_mb"] = 19.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    // When: more unfinished bodies are sent than the memory for bodies holds, which is 34 of them: 6 of 32 parts of
    // what the program and the allocator leave. The first one beyond the limit is rejected at once.
    let mut clients = Vec::new();
    for number in 0..40 {
        let text =
            raw_request("POST /once", &number.to_string(), "Req-Deadline-Ms: 60000|Content-Length: 65536");
        let mut stream = in_time(TcpStream::connect(proxy.addr)).await.expect("the proxy listens");
        stream.write_all(text.as_bytes()).await.expect("the connection is open");
        stream.write_all(&vec![b'x'; 65_535]).await.expect("the connection is open");
        clients.push(stream);
    }
    // Then: the bodies beyond the limit are rejected, and other requests are served.
    let mut rejected = 0;
    for mut stream in clients {
        let mut answer = [0; 12];
        in_time(stream.read_exact(&mut answer)).await.expect("an answer");
        rejected += usize::from(&answer == b"HTTP/1.1 503");
    }
    assert!((1..=8).contains(&rejected), "{rejected} were rejected");
    assert_eq!(proxy.call("look").await.0, 200);
}

/// Starts a scripted backend and a proxy that has no other.
async fn start_scripted(
    bytes: impl Fn(usize) -> Option<[Vec<u8>; 2]> + Send + Sync + 'static,
) -> (CannedBackend, Proxy, Discovery) {
    let backend = canned_backend(bytes).await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    (backend, proxy, discovery)
}

#[tokio::test]
async fn malformed_response_fails_at_once_and_is_not_retried() {
    let head = |headers: &str, body: &str| format!("HTTP/1.1 200 OK\r\n{headers}\r\n{body}");
    let malformed = [
        head("", "goes on to the end"),
        head("Content-Length: 4\r\nContent-Length: 4\r\n", "good"),
        head("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "4\r\ngood\r\n0\r\n\r\n"),
        head("Content-Length: 3000000000\r\n", "it keeps coming"),
        // A body shorter than its Content-Length, and one that is longer, with the rest behind the response.
        head("Content-Length: 10\r\n", "good"),
        head("Content-Length: 2\r\n", "good"),
        head("Transfer-Encoding: chunked\r\n", "4\r\ngood\r\nzz\r\n"),
        head(&"X-Pad: pppppppppppppppppppppppp\r\n".repeat(3000), ""),
        "HTTP/1.1 2x0 OK\r\nContent-Length: 4\r\n\r\ngood".to_string(),
        "noise".to_string() + "\r\n\r\n",
    ];
    let count = malformed.len();
    let answers = malformed.map(String::into_bytes);
    let (backend, proxy, _discovery) =
        start_scripted(move |n| Some([answers.get(n)?.clone(), Vec::new()])).await;
    for n in 0..count {
        let started_at = Instant::now();
        assert_eq!(
            proxy.call("once").await.0,
            502,
            "malformed response {n} should be neither passed on nor answered with 503"
        );
        assert!(started_at.elapsed() < Duration::from_secs(4), "the proxy waited on the malformed response");
        in_time(backend.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
    }
    assert_eq!(proxy.call("once").await, (200, "good".into()));
    assert_eq!(backend.requests.load(SeqCst), count + 1, "no request should be retried");
}

/// Guards against taking bytes that follow a complete response for the response to the next request, whether
/// they are received with the response or later.
#[tokio::test]
async fn bytes_after_a_response_never_answer_the_next_request() {
    let answer = |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let hints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n";
    let bytes = move |n: usize| {
        let first = answer(&format!("answer {n}"));
        let (first, second) = match n % 4 {
            0 => (first.clone() + &first, String::new()),
            1 => (first.clone(), first),
            2 => (first, "noise\r\n\r\n".to_string()),
            _ => (hints.to_string() + &first, String::new()),
        };
        Some([first.into_bytes(), second.into_bytes()])
    };
    let (backend, proxy, _discovery) = start_scripted(bytes).await;
    let mut client = proxy.client().await;
    for n in 0..24 {
        assert_eq!(client.call("once").await, (200, format!("answer {n}")));
        if n % 4 != 3 {
            // A connection on which more than the response was received is closed.
            in_time(backend.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
        }
    }
    assert_eq!(backend.requests.load(SeqCst), 24);
}

#[tokio::test]
async fn connections_belong_to_a_backend_not_its_address() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![endpoint("old", a.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    assert_eq!(proxy.call("once").await.0, 200);
    // When: a new backend replaces the old one at the same address. Then: it gets a connection of its own.
    discovery.publish(vec![endpoint("new", a.addr, "SERVING"), endpoint("old", a.addr, "DRAINING")]).await;
    a.wait_until_all_closed().await;
    assert_eq!(proxy.call("once").await.0, 200);
    assert_eq!((a.total_connections(), *a.open_connections.borrow()), (2, 1));
    // When: the old backend is removed from the list. Then: the new one keeps its connection.
    discovery.publish(vec![endpoint("new", a.addr, "SERVING"), b.endpoint("DRAINING")]).await;
    assert_eq!(proxy.call("once").await.0, 200);
    assert_eq!((a.total_connections(), *a.open_connections.borrow()), (2, 1));
}

#[tokio::test]
async fn ready_with_one_backend_despite_malformed_entries() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let malformed = serde_json::json!({"host": 5});
    let discovery = Discovery::start(vec![malformed.clone()]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    let ready_request = || {
        hyper::Request::get("/health/ready").header("host", "p").body(Full::default()).expect("well formed")
    };
    // Given: a list without a valid entry. Then: the proxy is not ready.
    assert_eq!(proxy.client().await.send(ready_request()).await.0, 503);
    // When: the list gets a valid entry. Then: the proxy is ready and serves.
    discovery.publish(vec![malformed, a.endpoint("SERVING"), serde_json::json!("?")]).await;
    assert_eq!(proxy.client().await.send(ready_request()).await.0, 200);
    assert_eq!(proxy.call("look").await, (200, "a".into()));
}

#[tokio::test]
async fn invalid_configuration_ends_the_start_with_one_line() {
    let discovery = Discovery::start(Vec::new()).await;
    let valid = discovery.config(settings());
    let mut no_class = valid.clone();
    no_class["settings"]["classes"] = serde_json::json!([]);
    let mut bad_seed = valid.clone();
    bad_seed["seed"] = "xyz".into();
    for (text, expected) in [
        ("{".to_string(), "config: "),
        (no_class.to_string(), "classes"),
        (bad_seed.to_string(), "seed"),
        (valid.to_string().replace("127.0.0.1:0", "nowhere"), "listen"),
        (valid.to_string().replace("openCap", "other"), "openCap"),
    ] {
        let program = std::process::Command::new(env!("CARGO_BIN_EXE_foldhitch-proxy"))
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env("RELAY_CONFIG", write_config(&text))
            .output()
            .expect("the program starts");
        let log = String::from_utf8(program.stderr).expect("text");
        assert!(!program.status.success() && log.lines().count() == 1, "{log}");
        assert!(log.contains(expected), "{log}");
    }
}

/// Guards against evicting a client in the middle of its head: it has time to finish, however many other
/// clients send one request and stay connected meanwhile.
#[tokio::test]
async fn idle_clients_are_evicted_before_sending_ones() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = 64.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    // Given: clients that have sent a part of their heads.
    let (mut sending, mut idle) = (Vec::new(), Vec::new());
    for number in 0..4 {
        let mut stream = in_time(TcpStream::connect(proxy.addr)).await.expect("the proxy listens");
        let head =
            raw_request("GET /look", &format!("slow-{number}"), "Req-Deadline-Ms: 60000|Connection: close");
        let (first, last) = head.split_at(20);
        stream.write_all(first.as_bytes()).await.expect("open");
        sending.push((stream, last.to_string()));
    }
    // When: more other clients connect than there is room for.
    for _ in 0..60 {
        let mut client = proxy.client().await;
        assert_eq!(client.call("look").await.0, 200);
        idle.push(client);
    }
    // Then: the first ones are served once they have sent the rest.
    for (stream, last) in &mut sending {
        stream.write_all(last.as_bytes()).await.expect("open");
        let mut answer = String::new();
        in_time(stream.read_to_string(&mut answer)).await.expect("the connection was not reset");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
    }
}
