//! What is still owed at the instant in which something ends. The program is paused while the bad order is laid out
//! in the system's queues, so that it finds it so each time.

mod support;

use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// So many requests at once are surely let through by a limit that has learned nothing yet.
const AT_ONCE: usize = 7;
/// Connections that wait in the system's queue together: fewer than it has places, and several times the table.
const BURST_CONNECTIONS: usize = 1000;
/// Which of two things that are ready the accept loop does first is left to chance.
const BURSTS: usize = 10;
/// How often in a burst the program is held up, and for how long: longer than it waits before it forces somebody out.
const HOLD_UPS: usize = 20;
const HOLD_UP: Duration = Duration::from_millis(10);

struct Fixture {
    script: Arc<BackendScript>,
    _a: Backend,
    _discovery: Discovery,
    proxy: Proxy,
}

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

/// Reads the answer to a call whose body is the backend's name.
async fn served(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\na") {
        match in_time(stream.read_buf(&mut answer)).await {
            Ok(1..) => {}
            _ => return false,
        }
    }
    answer.starts_with(b"HTTP/1.1 200")
}

/// Where places are short, the client that has rested longest gives way to a new one, unless it has just asked.
#[tokio::test]
async fn request_during_eviction_of_its_connection_is_served() {
    let s = fixture(|config| config["limits"]["sockets"] = 64.into()).await;
    // More connect than there are places, and each is served: those that are left rest.
    let mut clients = Vec::new();
    for n in 0..40 {
        let mut client = connect_tcp(s.proxy.addr).await;
        client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(served(&mut client).await, "{n}");
        clients.push(client);
    }
    // Those that had to give way are closed by now.
    let mut resting = Vec::new();
    for client in clients {
        if client.try_read(&mut [0]).is_err() {
            resting.push(client);
        }
    }
    let (late, _others) = resting.split_at_mut(AT_ONCE);
    s.proxy.pause().await;
    let mut new = Vec::new();
    for _ in 0..AT_ONCE {
        new.push(connect_tcp(s.proxy.addr).await);
    }
    for (n, client) in late.iter_mut().enumerate() {
        client.write_all(request_head("POST /once", &format!("late-{n}")).as_bytes()).await.expect("open");
    }
    s.proxy.resume_process().await;
    for (n, client) in late.iter_mut().enumerate() {
        assert!(served(client).await, "{n}");
    }
    assert_eq!(s.script.requests_at("a"), 40 + AT_ONCE, "each runs once");
}

/// Lets a paused program go on a little at a time.
async fn hold_up(proxy: &Proxy) {
    for _ in 0..HOLD_UPS {
        proxy.resume_process().await;
        proxy.pause().await;
        sleep(HOLD_UP).await;
    }
}

/// A burst fills the table in one turn of the accept loop and is gone again before the next: nobody has to give way.
#[tokio::test]
async fn short_burst_evicts_no_idle_client() {
    let s = fixture(|_| {}).await;
    let mut clients = Vec::new();
    for n in 0..AT_ONCE {
        let mut client = connect_tcp(s.proxy.addr).await;
        client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(served(&mut client).await, "{n}");
        clients.push(client);
    }
    for burst in 0..BURSTS {
        s.proxy.pause().await;
        for _ in 0..BURST_CONNECTIONS {
            drop(connect_tcp(s.proxy.addr).await);
        }
        hold_up(&s.proxy).await;
        s.proxy.resume_process().await;
        // It waits behind the burst.
        assert_eq!(s.proxy.call("look").await, (200, "a".into()));
        for (n, client) in clients.iter_mut().enumerate() {
            client
                .write_all(request_head("GET /look", &format!("{burst}-{n}")).as_bytes())
                .await
                .expect("open");
            assert!(served(client).await, "client {n} after burst {burst}");
        }
    }
}

/// Connections at rest are closed near the end of a planned stop; a request may lie there by then.
#[tokio::test]
async fn request_crossing_an_idle_close_at_stop_is_served() {
    let mut s = fixture(|config| {
        for class in config["settings"]["classes"].as_array_mut().expect("a list") {
            class["aim"] = 1800.0.into();
        }
    })
    .await;
    let mut clients = Vec::new();
    for n in 0..AT_ONCE {
        let mut client = connect_tcp(s.proxy.addr).await;
        client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(served(&mut client).await);
        clients.push(client);
    }
    s.proxy.terminate().await;
    let told = Instant::now();
    wait_until_listener_closed(s.proxy.addr).await;
    s.proxy.pause().await;
    for (n, client) in clients.iter_mut().enumerate() {
        client.write_all(request_head("POST /once", &format!("late-{n}")).as_bytes()).await.expect("open");
    }
    // By these settings such connections are closed 1.5 s after the signal.
    sleep_until(told + Duration::from_millis(1600)).await;
    s.proxy.resume_process().await;
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(served(client).await, "{n}");
    }
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// Nobody knows of those that the system has taken for the proxy and that wait at its listener.
#[tokio::test]
async fn backlog_is_served_when_the_listener_closes() {
    let mut s = fixture(|_| {}).await;
    s.proxy.terminate().await;
    let told = Instant::now();
    s.proxy.pause().await;
    let mut clients = Vec::new();
    for n in 0..AT_ONCE {
        let mut client = connect_tcp(s.proxy.addr).await;
        client.write_all(request_head("POST /once", &n.to_string()).as_bytes()).await.expect("open");
        clients.push(client);
    }
    // The listener is closed 0.5 s after the signal.
    sleep_until(told + Duration::from_millis(700)).await;
    s.proxy.resume_process().await;
    for (n, client) in clients.iter_mut().enumerate() {
        assert!(served(client).await, "{n}");
    }
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

/// An answer that its client has not taken yet lies with the system when the connection is closed. Closed over bytes
/// that nobody has read, it would be thrown away.
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
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a size");
    let mut client = in_time(socket.connect(proxy.addr)).await.expect("it listens");
    let text = request_head("GET /look", "1").replace("Host: o", "Host: o\r\nConnection: close");
    client.write_all((text + &"x".repeat(100_000)).as_bytes()).await.expect("the system takes it");
    let mut answer = Vec::new();
    assert_ne!(in_time(client.read_buf(&mut answer)).await.expect("open"), 0);
    // By the time that others have been served the connection was closed.
    for _ in 0..10 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    in_time(client.read_to_end(&mut answer)).await.expect("a close in good order");
    assert!(answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"yyy"));
    assert!(answer.len() > LENGTH, "{} bytes", answer.len());
}

/// A client that has written more than its request and leaves is gone all the same: bytes that nobody reads yet lie
/// before the end of its stream.
#[tokio::test]
async fn disconnect_behind_unread_bytes_is_detected() {
    let s = fixture(|_| {}).await;
    // What comes in one with the request, and what comes later.
    for (one, later) in [("GET /lo", ""), ("", "GET /lo"), ("", &"x".repeat(60_000))] {
        let before = *s.script.abandoned.borrow();
        let wait_for_requests = s.script.seen.borrow().len();
        s.script.enqueue([BackendBehavior::Hold(Arc::new(Notify::new()))]);
        let mut client = connect_tcp(s.proxy.addr).await;
        let text = request_head("GET /look", "1") + one;
        client.write_all(text.as_bytes()).await.expect("open");
        s.script.wait_for_requests(wait_for_requests + 1).await;
        client.write_all(later.as_bytes()).await.expect("open");
        client.shutdown().await.expect("open");
        in_time(s.script.abandoned.subscribe().wait_for(|left| *left == before + 1)).await.expect("open");
        // Its connection is closed, too, and what it wrote is no request.
        assert_eq!(read_status(&mut client).await, None);
        assert_eq!(s.script.seen.borrow().len(), wait_for_requests + 1);
    }
}

/// Whether calls may be called off concerns what was sent: a connection that comes up only once the client has left
/// carries nothing.
#[tokio::test]
async fn disconnect_before_the_backend_connect_sends_nothing() {
    let (listener, held) = listener_with_full_backlog().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = Discovery::start(vec![endpoint("a", addr, "SERVING")]).await;
    let mut slow = settings();
    slow["caps"]["cancelling"] = false.into();
    slow["caps"]["connectTimeout"] = 20_000.0.into();
    let proxy = Proxy::start_with_list_applied(&discovery, slow).await;
    let mut client = connect_tcp(proxy.addr).await;
    client.write_all(request_head("POST /once", "1").as_bytes()).await.expect("open");
    in_time(wait_for_connect_attempt(addr)).await;
    client.shutdown().await.expect("open");
    assert_eq!(read_status(&mut client).await, None, "the proxy knows that it left");
    // Only now does the queue get room, and the connection comes up when the system next tries.
    for _ in &held {
        drop(in_time(listener.accept()).await.expect("queued"));
    }
    let (mut late, _) = in_time(listener.accept()).await.expect("the proxy's");
    let mut bytes = Vec::new();
    in_time(late.read_buf(&mut bytes)).await.expect("a close");
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}

/// Each call here is refused or failed, which the log tells with a line.
async fn calls_that_are_logged(proxy: &Proxy, script: &Arc<BackendScript>, calls: usize) {
    for _ in 0..calls {
        script.enqueue([BackendBehavior::Answer(500)]);
        assert_eq!(proxy.call("once").await.0, 502);
    }
    assert_eq!(proxy.call("look").await.0, 200);
}

#[tokio::test]
async fn closed_log_pipe_does_not_end_the_proxy() {
    let mut s = fixture(|_| {}).await;
    drop(s.proxy.log.take());
    calls_that_are_logged(&s.proxy, &s.script, 3).await;
    s.proxy.terminate_without_log().await;
    assert_eq!(s.proxy.wait_for_exit().await.code(), Some(0));
}

#[tokio::test]
async fn full_log_pipe_drops_lines_and_reports_the_loss() {
    let mut s = fixture(|_| {}).await;
    // A pipe holds 64 KiB, and a line of these has some 80 bytes.
    calls_that_are_logged(&s.proxy, &s.script, 2000).await;
    let mut log = s.proxy.log.take().expect("held");
    // There is room again once a part of it has been read.
    for _ in 0..500 {
        in_time(log.next_line()).await.expect("readable");
    }
    calls_that_are_logged(&s.proxy, &s.script, 1).await;
    while !in_time(log.next_line()).await.expect("readable").expect("it goes on").contains("were lost") {}
}

/// The list at a new address may be older than what is known: a backend that was told to drain since is not sent to
/// again. If it stays so, discovery has begun anew, and its list holds as it is.
#[tokio::test]
async fn older_list_after_a_move_restores_no_draining_backend() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let both = |health: &str| vec![a.endpoint(health), b.endpoint("SERVING")];
    let discovery = Discovery::start(both("SERVING")).await;
    let mut proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    discovery.publish(both("SERVING")).await;
    discovery.publish(both("DRAINING")).await;
    let older = Discovery::start(both("SERVING")).await;
    proxy.reload(&older.config(settings()).to_string(), "configuration applied").await;
    older.wait_until_applied().await;
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
    in_time(async { while proxy.call("look").await.1 != "a" {} }).await;
}

/// Wherever a request waits, it is not sent on once its client has left.
#[tokio::test]
async fn queued_request_of_a_disconnected_client_is_not_sent() {
    let upload = request_head("POST /once", "1").replace("Host: o", "Host: o\r\nContent-Length: 200000");
    let waiting = [
        // For a backend, in the balancer.
        request_head("POST /once", "1"),
        // The same behind another, which is of no more use.
        request_head("POST /once", "1") + &request_head("POST /once", "2"),
        // With a body still coming, too long to be kept.
        upload.clone() + &"x".repeat(100_000),
        // And with one that is kept.
        upload.replace("200000", "20000") + "x",
    ];
    for text in waiting {
        let script = Arc::new(BackendScript::default());
        let a = Backend::start("a", &script).await;
        let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
        let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
        discovery.publish(vec![a.endpoint("DRAINING")]).await;
        let mut client = connect_tcp(proxy.addr).await;
        client.write_all(text.as_bytes()).await.expect("open");
        // By the time that others have had answers it has been read.
        for _ in 0..10 {
            let mut other = connect_tcp(proxy.addr).await;
            other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
            assert_eq!(read_status(&mut other).await, Some(503));
        }
        client.shutdown().await.expect("open");
        let left = read_status(&mut client).await;
        assert!(matches!(left, None | Some(400)), "{left:?}");
        discovery.publish(vec![a.endpoint("SERVING")]).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()));
        assert_eq!(script.seen.borrow().len(), 1);
    }
}

/// The list is followed to the last: where discovery moves, and a backend drains, while the program stops.
#[tokio::test]
async fn new_configuration_applies_during_a_graceful_shutdown() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut brisk = settings();
    for class in brisk["classes"].as_array_mut().expect("a list") {
        class["aim"] = 500.0.into();
    }
    let mut proxy = Proxy::start_with_list_applied(&discovery, brisk.clone()).await;
    let mut client = proxy.client().await;
    assert_eq!(client.call("look").await, (200, "a".into()));
    let other = Discovery::start(vec![a.endpoint("DRAINING"), b.endpoint("SERVING")]).await;
    proxy.terminate().await;
    proxy.reload(&other.config(brisk).to_string(), "configuration applied").await;
    other.wait_until_applied().await;
    assert_eq!(client.call("look").await, (200, "b".into()));
    drop(client);
    assert_eq!(proxy.wait_for_exit().await.code(), Some(0));
}
