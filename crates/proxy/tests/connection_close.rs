//! Responses and requests that are still due when a connection, a listener or the program closes. The tests
//! pause the program while they arrange an unfavorable order of events in the kernel's queues, so that it
//! finds this order in every run.

mod support;

use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// A number of concurrent requests that the initial concurrency limit certainly admits.
const CONCURRENT_REQUESTS: usize = 7;
/// The number of connections of a burst: fewer than the accept queue holds, and several times the size of the
/// connection table.
const BURST_CONNECTIONS: usize = 1000;
/// The number of bursts: the accept loop chooses at random between two events that are ready.
const BURSTS: usize = 10;
/// The number of times that the program is resumed and paused again during a burst.
const STEPS_PER_BURST: usize = 20;
/// The length of such a pause: longer than the proxy waits before it evicts a client.
const STEP_PAUSE: Duration = Duration::from_millis(10);

struct Fixture {
    script: Arc<BackendScript>,
    _a: Backend,
    _discovery: Discovery,
    proxy: Proxy,
}

/// Starts a proxy with one backend and a changed configuration.
async fn fixture(change: impl FnOnce(&mut Value)) -> Fixture {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    change(&mut config);
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    Fixture { script, _a: a, _discovery: discovery, proxy }
}

/// Reads a response and returns whether it has status 200 and the backend's name as the body.
async fn is_served(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\na") {
        match in_time(stream.read_buf(&mut answer)).await {
            Ok(1..) => {}
            _ => return false,
        }
    }
    answer.starts_with(b"HTTP/1.1 200")
}

/// At the connection limit a new client evicts the one that has been idle longest, unless that one has just
/// sent a request.
#[tokio::test]
async fn request_during_eviction_of_its_connection_is_served() {
    let fixture = fixture(|config| config["limits"]["sockets"] = 64.into()).await;
    // Given: idle clients up to the limit. More clients than that connect, and each is served.
    let mut clients = Vec::new();
    for n in 0..40 {
        let mut client = connect_tcp(fixture.proxy.addr).await;
        client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(is_served(&mut client).await, "{n}");
        clients.push(client);
    }
    // Evicted clients are closed by now.
    let mut idle = Vec::new();
    for client in clients {
        if client.try_read(&mut [0]).is_err() {
            idle.push(client);
        }
    }
    let (late, _others) = idle.split_at_mut(CONCURRENT_REQUESTS);
    // When: in one turn of the proxy, new clients connect and as many of the longest idle ones send a
    // request.
    fixture.proxy.pause().await;
    let mut new_clients = Vec::new();
    for _ in 0..CONCURRENT_REQUESTS {
        new_clients.push(connect_tcp(fixture.proxy.addr).await);
    }
    for (n, client) in late.iter_mut().enumerate() {
        client.write_all(request_head("POST /once", &format!("late-{n}")).as_bytes()).await.expect("open");
    }
    fixture.proxy.resume_process().await;
    // Then: each of these requests is served exactly once.
    for (n, client) in late.iter_mut().enumerate() {
        assert!(is_served(client).await, "{n}");
    }
    assert_eq!(fixture.script.requests_at("a"), 40 + CONCURRENT_REQUESTS, "each runs once");
}

/// Lets a paused program run in short steps.
async fn resume_in_steps(proxy: &Proxy) {
    for _ in 0..STEPS_PER_BURST {
        proxy.resume_process().await;
        proxy.pause().await;
        sleep(STEP_PAUSE).await;
    }
}

/// A burst of connections fills the table in one turn of the accept loop and has disconnected before the next
/// turn, so that no idle client needs to be evicted.
#[tokio::test]
async fn short_burst_evicts_no_idle_client() {
    // Given: idle clients.
    let fixture = fixture(|_| {}).await;
    let mut clients = Vec::new();
    for n in 0..CONCURRENT_REQUESTS {
        let mut client = connect_tcp(fixture.proxy.addr).await;
        client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(is_served(&mut client).await, "{n}");
        clients.push(client);
    }
    for burst in 0..BURSTS {
        // When: a burst of clients connects and disconnects.
        fixture.proxy.pause().await;
        for _ in 0..BURST_CONNECTIONS {
            drop(connect_tcp(fixture.proxy.addr).await);
        }
        resume_in_steps(&fixture.proxy).await;
        fixture.proxy.resume_process().await;
        // Then: a connection that is queued behind the burst is served, and so are the idle clients.
        assert_eq!(fixture.proxy.call("look").await, (200, "a".into()));
        for (n, client) in clients.iter_mut().enumerate() {
            client
                .write_all(request_head("GET /look", &format!("{burst}-{n}")).as_bytes())
                .await
                .expect("open");
            assert!(is_served(client).await, "client {n} after burst {burst}");
        }
    }
}

/// Near the end of a graceful shutdown idle connections are closed, while a request may already be buffered
/// on one.
#[tokio::test]
async fn request_crossing_an_idle_close_at_stop_is_served() {
    let mut fixture = fixture(|config| {
        for class in config["settings"]["classes"].as_array_mut().expect("a list") {
            class["aim"] = 1800.0.into();
        }
    })
    .await;
    // Given: idle clients of a proxy that shuts down.
    let mut clients = Vec::new();
    for n in 0..CONCURRENT_REQUESTS {
        let mut client = connect_tcp(fixture.proxy.addr).await;
        client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(is_served(&mut client).await);
        clients.push(client);
    }
    fixture.proxy.terminate().await;
    let terminated_at = Instant::now();
    wait_until_listener_closed(fixture.proxy.addr).await;
    // When: the clients send requests, and their connections are due to be closed in the same turn of the
    // proxy.
    fixture.proxy.pause().await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(request_head("POST /once", &format!("late-{n}")).as_bytes()).await.expect("open");
    }
    // With these settings idle connections are closed 1.5 s after the signal.
    sleep_until(terminated_at + Duration::from_millis(1600)).await;
    fixture.proxy.resume_process().await;
    // Then: the requests are served.
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(is_served(client).await, "{n}");
    }
    assert_eq!(fixture.proxy.wait_for_exit().await.code(), Some(0));
}

/// The proxy doesn't know of the connections that the kernel has established and that are still in the accept
/// queue.
#[tokio::test]
async fn backlog_is_served_when_the_listener_closes() {
    let mut fixture = fixture(|_| {}).await;
    fixture.proxy.terminate().await;
    let terminated_at = Instant::now();
    // When: clients connect and send requests, and the listener is due to be closed in the same turn of the
    // proxy.
    fixture.proxy.pause().await;
    let mut clients = Vec::new();
    for n in 0..CONCURRENT_REQUESTS {
        let mut client = connect_tcp(fixture.proxy.addr).await;
        client.write_all(request_head("POST /once", &n.to_string()).as_bytes()).await.expect("open");
        clients.push(client);
    }
    // The listener is closed 0.5 s after the signal.
    sleep_until(terminated_at + Duration::from_millis(700)).await;
    fixture.proxy.resume_process().await;
    // Then: the requests are served.
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(is_served(client).await, "{n}");
    }
    assert_eq!(fixture.proxy.wait_for_exit().await.code(), Some(0));
}

/// A response that its client has not read yet is buffered by the kernel when the proxy closes the
/// connection. A close with unread received bytes would reset the connection and discard the response.
#[tokio::test]
async fn response_survives_extra_bytes_from_its_client() {
    const LENGTH: usize = 60_000;
    let backend = canned_backend(|_| {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n{}", "y".repeat(LENGTH));
        Some([answer.into_bytes(), Vec::new()])
    });
    let backend = backend.await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    // When: a client with a small receive buffer sends more than its request and reads only a part of the
    // response.
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(2048).expect("a size");
    let mut client = in_time(socket.connect(proxy.addr)).await.expect("connect");
    let text = request_head("GET /look", "1").replace("Host: o", "Host: o\r\nConnection: close");
    client.write_all((text + &"x".repeat(100_000)).as_bytes()).await.expect("the system accepts it");
    let mut answer = Vec::new();
    assert_ne!(in_time(client.read_buf(&mut answer)).await.expect("open"), 0);
    // Then: it gets the complete response. Once other requests were served, the connection has been closed.
    for _ in 0..10 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    in_time(client.read_to_end(&mut answer)).await.expect("a close without a reset");
    assert!(answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"yyy"));
    assert!(answer.len() > LENGTH, "{} bytes", answer.len());
}

/// A disconnect is detected although the client has written more than its request, so that unread bytes are
/// buffered before its FIN.
#[tokio::test]
async fn disconnect_behind_unread_bytes_is_detected() {
    let fixture = fixture(|_| {}).await;
    // The bytes sent together with the request, and those sent later.
    for (pipelined, later) in [("GET /lo", ""), ("", "GET /lo"), ("", &"x".repeat(60_000))] {
        let abandoned_before = *fixture.script.abandoned.borrow();
        let requests_before = fixture.script.seen.borrow().len();
        fixture.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
        let mut client = connect_tcp(fixture.proxy.addr).await;
        let text = request_head("GET /look", "1") + pipelined;
        client.write_all(text.as_bytes()).await.expect("open");
        fixture.script.wait_for_requests(requests_before + 1).await;
        client.write_all(later.as_bytes()).await.expect("open");
        // When: the client disconnects.
        client.shutdown().await.expect("open");
        // Then: its request is cancelled at the backend.
        in_time(
            fixture.script.abandoned.subscribe().wait_for(|abandoned| *abandoned == abandoned_before + 1),
        )
        .await
        .expect("open");
        // The connection is closed as well, and the extra bytes are not treated as a request.
        assert_eq!(read_status(&mut client).await, None);
        assert_eq!(fixture.script.seen.borrow().len(), requests_before + 1);
    }
}

/// The setting `cancelling` only concerns requests that were sent: a backend connection that is established
/// after the client has disconnected carries no request.
#[tokio::test]
async fn disconnect_before_the_backend_connect_sends_nothing() {
    let (listener, backlog) = listener_with_full_backlog().await;
    let addr = listener.local_addr().expect("a local address");
    let discovery = Discovery::start(vec![endpoint("a", addr, "SERVING")]).await;
    let mut settings = settings();
    settings["caps"]["cancelling"] = false.into();
    settings["caps"]["connectTimeout"] = 20_000.0.into();
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    // Given: a request that waits for a backend connection, and whose client disconnects.
    let mut client = connect_tcp(proxy.addr).await;
    client.write_all(request_head("POST /once", "1").as_bytes()).await.expect("open");
    in_time(wait_for_connect_attempt(addr)).await;
    client.shutdown().await.expect("open");
    assert_eq!(read_status(&mut client).await, None, "the proxy has detected the disconnect");
    // When: the accept queue gets space, and the kernel establishes the connection with its next retry.
    for _ in &backlog {
        drop(in_time(listener.accept()).await.expect("queued"));
    }
    let (mut late, _) = in_time(listener.accept()).await.expect("the connection of the proxy");
    // Then: nothing is sent on it.
    let mut bytes = Vec::new();
    in_time(late.read_buf(&mut bytes)).await.expect("a close");
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}

/// Sends requests that fail, each of which writes a log line, and one that is served.
async fn make_logged_failures(proxy: &Proxy, script: &Arc<BackendScript>, count: usize) {
    for _ in 0..count {
        script.enqueue([BackendBehavior::Answer(500)]);
        assert_eq!(proxy.call("once").await.0, 502);
    }
    assert_eq!(proxy.call("look").await.0, 200);
}

#[tokio::test]
async fn closed_log_pipe_does_not_end_the_proxy() {
    let mut fixture = fixture(|_| {}).await;
    drop(fixture.proxy.log.take());
    make_logged_failures(&fixture.proxy, &fixture.script, 3).await;
    fixture.proxy.terminate_without_log().await;
    assert_eq!(fixture.proxy.wait_for_exit().await.code(), Some(0));
}

#[tokio::test]
async fn full_log_pipe_drops_lines_and_reports_the_loss() {
    let mut fixture = fixture(|_| {}).await;
    // A pipe holds 64 KiB, and a line of these has about 80 bytes.
    make_logged_failures(&fixture.proxy, &fixture.script, 2000).await;
    let mut log = fixture.proxy.log.take().expect("an open log");
    // Reading a part of it makes space again.
    for _ in 0..500 {
        in_time(log.next_line()).await.expect("readable");
    }
    make_logged_failures(&fixture.proxy, &fixture.script, 1).await;
    while !in_time(log.next_line())
        .await
        .expect("a readable log")
        .expect("another log line")
        .contains("were lost")
    {}
}

/// The list of a new discovery address may be older than the one held: a backend that started to drain since
/// then gets no requests. If the address keeps serving the older list, discovery was restarted, and the list
/// is applied.
#[tokio::test]
async fn older_list_after_a_move_restores_no_draining_backend() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let endpoints = |health: &str| vec![a.endpoint(health), b.endpoint("SERVING")];
    let discovery = Discovery::start(endpoints("SERVING")).await;
    let mut proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    discovery.publish(endpoints("SERVING")).await;
    discovery.publish(endpoints("DRAINING")).await;
    let older = Discovery::start(endpoints("SERVING")).await;
    proxy.reload(&older.config(settings()).to_string(), "configuration applied").await;
    older.wait_until_applied().await;
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
    in_time(async { while proxy.call("look").await.1 != "a" {} }).await;
}

/// A request is not sent after its client has disconnected, wherever it is waiting.
#[tokio::test]
async fn queued_request_of_a_disconnected_client_is_not_sent() {
    let upload = request_head("POST /once", "1").replace("Host: o", "Host: o\r\nContent-Length: 200000");
    let texts = [
        // In the balancer's queue for a backend.
        request_head("POST /once", "1"),
        // The same, with a second pipelined request behind it.
        request_head("POST /once", "1") + &request_head("POST /once", "2"),
        // With an incomplete body that is too long to be buffered.
        upload.clone() + &"x".repeat(100_000),
        // With an incomplete body that is buffered.
        upload.replace("200000", "20000") + "x",
    ];
    for text in texts {
        let script = Arc::new(BackendScript::default());
        let a = Backend::start("a", &script).await;
        let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
        let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
        discovery.publish(vec![a.endpoint("DRAINING")]).await;
        let mut client = connect_tcp(proxy.addr).await;
        client.write_all(text.as_bytes()).await.expect("open");
        // Once requests on later connections are answered, it has been read.
        for _ in 0..10 {
            let mut other = connect_tcp(proxy.addr).await;
            other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
            assert_eq!(read_status(&mut other).await, Some(503));
        }
        client.shutdown().await.expect("open");
        let status = read_status(&mut client).await;
        assert!(matches!(status, None | Some(400)), "{status:?}");
        discovery.publish(vec![a.endpoint("SERVING")]).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()));
        assert_eq!(script.seen.borrow().len(), 1);
    }
}

/// The endpoint list is followed until the end of a graceful shutdown: the discovery address changes and a
/// backend drains meanwhile.
#[tokio::test]
async fn new_configuration_applies_during_a_graceful_shutdown() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = 500.0.into();
    }
    let mut proxy = Proxy::start_with_list_applied(&discovery, settings.clone()).await;
    let mut client = proxy.client().await;
    assert_eq!(client.call("look").await, (200, "a".into()));
    let other = Discovery::start(vec![a.endpoint("DRAINING"), b.endpoint("SERVING")]).await;
    proxy.terminate().await;
    proxy.reload(&other.config(settings).to_string(), "configuration applied").await;
    other.wait_until_applied().await;
    assert_eq!(client.call("look").await, (200, "b".into()));
    drop(client);
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
}
