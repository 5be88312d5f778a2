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
use tokio::time::{Instant, sleep_until};

/// So many requests at once are surely let through by a limit that has learned nothing yet.
const AT_ONCE: usize = 7;

struct Scene {
    orders: Arc<Orders>,
    _a: Backend,
    _discovery: Discovery,
    proxy: Proxy,
}

async fn scene(change: impl FnOnce(&mut Value)) -> Scene {
    let orders = Arc::new(Orders::default());
    let a = Backend::start("a", &orders).await;
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    change(&mut config);
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.settled().await;
    Scene { orders, _a: a, _discovery: discovery, proxy }
}

/// Reads the answer to a call whose body is the backend's name.
async fn served(stream: &mut TcpStream) -> bool {
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\na") {
        match soon(stream.read_buf(&mut answer)).await {
            Ok(1..) => {}
            _ => return false,
        }
    }
    answer.starts_with(b"HTTP/1.1 200")
}

/// Where places are short, the caller that has rested longest gives way to a new one, unless it has just asked.
#[tokio::test]
async fn a_request_that_comes_as_its_connection_is_to_give_way_is_served() {
    let s = scene(|config| config["limits"]["sockets"] = 64.into()).await;
    // More connect than there are places, and each is served: those that are left rest.
    let mut callers = Vec::new();
    for n in 0..40 {
        let mut caller = connected(s.proxy.addr).await;
        caller.write_all(call("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(served(&mut caller).await, "{n}");
        callers.push(caller);
    }
    // Those that had to give way are closed by now.
    let mut resting = Vec::new();
    for caller in callers {
        if caller.try_read(&mut [0]).is_err() {
            resting.push(caller);
        }
    }
    let (late, _others) = resting.split_at_mut(AT_ONCE);
    s.proxy.pause().await;
    let mut new = Vec::new();
    for _ in 0..AT_ONCE {
        new.push(connected(s.proxy.addr).await);
    }
    for (n, caller) in late.iter_mut().enumerate() {
        caller.write_all(call("POST /once", &format!("late-{n}")).as_bytes()).await.expect("open");
    }
    s.proxy.go_on().await;
    for (n, caller) in late.iter_mut().enumerate() {
        assert!(served(caller).await, "{n}");
    }
    assert_eq!(s.orders.by("a"), 40 + AT_ONCE, "each runs once");
}

/// Connections at rest are closed near the end of a planned stop; a request may lie there by then.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_a_resting_connection_is_served() {
    let mut s = scene(|config| {
        for class in config["settings"]["classes"].as_array_mut().expect("a list") {
            class["aim"] = 1800.0.into();
        }
    })
    .await;
    let mut callers = Vec::new();
    for n in 0..AT_ONCE {
        let mut caller = connected(s.proxy.addr).await;
        caller.write_all(call("GET /look", &n.to_string()).as_bytes()).await.expect("open");
        assert!(served(&mut caller).await);
        callers.push(caller);
    }
    s.proxy.terminate().await;
    let told = Instant::now();
    soon(async { while TcpStream::connect(s.proxy.addr).await.is_ok() {} }).await;
    s.proxy.pause().await;
    for (n, caller) in callers.iter_mut().enumerate() {
        caller.write_all(call("POST /once", &format!("late-{n}")).as_bytes()).await.expect("open");
    }
    // By these settings such connections are closed 1.5 s after the signal.
    sleep_until(told + Duration::from_millis(1600)).await;
    s.proxy.go_on().await;
    for (n, caller) in callers.iter_mut().enumerate() {
        assert!(served(caller).await, "{n}");
    }
    assert_eq!(s.proxy.ended().await.code(), Some(0));
}

/// Nobody knows of those that the system has taken for the proxy and that wait at its listener.
#[tokio::test]
async fn connections_that_wait_as_the_listener_is_closed_are_served() {
    let mut s = scene(|_| {}).await;
    s.proxy.terminate().await;
    let told = Instant::now();
    s.proxy.pause().await;
    let mut callers = Vec::new();
    for n in 0..AT_ONCE {
        let mut caller = connected(s.proxy.addr).await;
        caller.write_all(call("POST /once", &n.to_string()).as_bytes()).await.expect("open");
        callers.push(caller);
    }
    // The listener is closed 0.5 s after the signal.
    sleep_until(told + Duration::from_millis(700)).await;
    s.proxy.go_on().await;
    for (n, caller) in callers.iter_mut().enumerate() {
        assert!(served(caller).await, "{n}");
    }
    assert_eq!(s.proxy.ended().await.code(), Some(0));
}

/// An answer that its caller has not taken yet lies with the system when the connection is closed. Closed over bytes
/// that nobody has read, it would be thrown away.
#[tokio::test]
async fn an_answer_is_not_destroyed_by_what_its_caller_has_written_beyond() {
    const LENGTH: usize = 60_000;
    let backend = scripted(|_| {
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n{}", "y".repeat(LENGTH));
        Some([answer.into_bytes(), Vec::new()])
    });
    let backend = backend.await;
    let discovery = Discovery::start(vec![line("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(2048).expect("a size");
    let mut caller = soon(socket.connect(proxy.addr)).await.expect("it listens");
    let text = call("GET /look", "1").replace("Host: o", "Host: o\r\nConnection: close");
    caller.write_all((text + &"x".repeat(100_000)).as_bytes()).await.expect("the system takes it");
    let mut answer = Vec::new();
    assert_ne!(soon(caller.read_buf(&mut answer)).await.expect("open"), 0);
    // By the time that others have been served the connection was closed.
    for _ in 0..10 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    soon(caller.read_to_end(&mut answer)).await.expect("a close in good order");
    assert!(answer.starts_with(b"HTTP/1.1 200") && answer.ends_with(b"yyy"));
    assert!(answer.len() > LENGTH, "{} bytes", answer.len());
}

/// A caller that has written more than its request and leaves is gone all the same: bytes that nobody reads yet lie
/// before the end of its stream.
#[tokio::test]
async fn a_caller_that_leaves_with_bytes_unread_is_noticed() {
    let s = scene(|_| {}).await;
    // What comes in one with the request, and what comes later.
    for (one, later) in [("GET /lo", ""), ("", "GET /lo"), ("", &"x".repeat(60_000))] {
        let before = *s.orders.left.borrow();
        let came = s.orders.seen.borrow().len();
        s.orders.give([Do::Hold(Arc::new(Notify::new()))]);
        let mut caller = connected(s.proxy.addr).await;
        let text = call("GET /look", "1") + one;
        caller.write_all(text.as_bytes()).await.expect("open");
        s.orders.came(came + 1).await;
        caller.write_all(later.as_bytes()).await.expect("open");
        caller.shutdown().await.expect("open");
        soon(s.orders.left.subscribe().wait_for(|left| *left == before + 1)).await.expect("open");
        // Its connection is closed, too, and what it wrote is no request.
        assert_eq!(status(&mut caller).await, None);
        assert_eq!(s.orders.seen.borrow().len(), came + 1);
    }
}

/// Whether calls may be called off concerns what was sent: a connection that comes up only once the caller has left
/// carries nothing.
#[tokio::test]
async fn what_a_caller_left_before_its_connection_came_up_is_not_sent() {
    let (listener, held) = silent().await;
    let addr = listener.local_addr().expect("bound");
    let discovery = Discovery::start(vec![line("a", addr, "SERVING")]).await;
    let mut slow = settings();
    slow["caps"]["cancelling"] = false.into();
    slow["caps"]["connectTimeout"] = 20_000.0.into();
    let proxy = Proxy::settled(&discovery, slow).await;
    let mut caller = connected(proxy.addr).await;
    caller.write_all(call("POST /once", "1").as_bytes()).await.expect("open");
    soon(connecting(addr)).await;
    caller.shutdown().await.expect("open");
    assert_eq!(status(&mut caller).await, None, "the proxy knows that it left");
    // Only now does the queue get room, and the connection comes up when the system next tries.
    for _ in &held {
        drop(soon(listener.accept()).await.expect("queued"));
    }
    let (mut late, _) = soon(listener.accept()).await.expect("the proxy's");
    let mut bytes = Vec::new();
    soon(late.read_buf(&mut bytes)).await.expect("a close");
    assert_eq!(String::from_utf8_lossy(&bytes), "");
}

/// Each call here is refused or failed, which the log tells with a line.
async fn calls_that_are_logged(proxy: &Proxy, orders: &Arc<Orders>, calls: usize) {
    for _ in 0..calls {
        orders.give([Do::Answer(500)]);
        assert_eq!(proxy.call("once").await.0, 502);
    }
    assert_eq!(proxy.call("look").await.0, 200);
}

#[tokio::test]
async fn a_log_whose_reader_has_gone_ends_nothing() {
    let mut s = scene(|_| {}).await;
    drop(s.proxy.log.take());
    calls_that_are_logged(&s.proxy, &s.orders, 3).await;
    s.proxy.terminate_unheard().await;
    assert_eq!(s.proxy.ended().await.code(), Some(0));
}

#[tokio::test]
async fn a_log_that_nobody_reads_stops_nothing_and_says_what_was_lost() {
    let mut s = scene(|_| {}).await;
    // A pipe holds 64 KiB, and a line of these has some 80 bytes.
    calls_that_are_logged(&s.proxy, &s.orders, 2000).await;
    let mut log = s.proxy.log.take().expect("held");
    // There is room again once a part of it has been read.
    for _ in 0..500 {
        soon(log.next_line()).await.expect("readable");
    }
    calls_that_are_logged(&s.proxy, &s.orders, 1).await;
    while !soon(log.next_line()).await.expect("readable").expect("it goes on").contains("were lost") {}
}

/// The list at a new address may be older than what is known: a backend that was told to drain since is not sent to
/// again. If it stays so, discovery has begun anew, and its list holds as it is.
#[tokio::test]
async fn an_older_list_after_a_move_brings_no_draining_backend_back() {
    let orders = Arc::new(Orders::default());
    let (a, b) = (Backend::start("a", &orders).await, Backend::start("b", &orders).await);
    let both = |health: &str| vec![a.line(health), b.line("SERVING")];
    let discovery = Discovery::start(both("SERVING")).await;
    let mut proxy = Proxy::settled(&discovery, settings()).await;
    discovery.tell(both("SERVING")).await;
    discovery.tell(both("DRAINING")).await;
    let older = Discovery::start(both("SERVING")).await;
    proxy.reload(&older.config(settings()).to_string(), "configuration applied").await;
    older.settled().await;
    for _ in 0..20 {
        assert_eq!(proxy.call("look").await, (200, "b".into()));
    }
    soon(async { while proxy.call("look").await.1 != "a" {} }).await;
}

/// Wherever a request waits, it is not sent on once its caller has left.
#[tokio::test]
async fn what_a_caller_left_while_it_waited_is_not_sent() {
    let upload = call("POST /once", "1").replace("Host: o", "Host: o\r\nContent-Length: 200000");
    let waiting = [
        // For a backend, in the module.
        call("POST /once", "1"),
        // The same behind another, which is of no more use.
        call("POST /once", "1") + &call("POST /once", "2"),
        // With a body still coming, too long to be kept.
        upload.clone() + &"x".repeat(100_000),
        // And with one that is kept.
        upload.replace("200000", "20000") + "x",
    ];
    for text in waiting {
        let orders = Arc::new(Orders::default());
        let a = Backend::start("a", &orders).await;
        let discovery = Discovery::start(vec![a.line("SERVING")]).await;
        let proxy = Proxy::settled(&discovery, settings()).await;
        discovery.tell(vec![a.line("DRAINING")]).await;
        let mut caller = connected(proxy.addr).await;
        caller.write_all(text.as_bytes()).await.expect("open");
        // By the time that others have had answers it has been read.
        for _ in 0..10 {
            let mut other = connected(proxy.addr).await;
            other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
            assert_eq!(status(&mut other).await, Some(503));
        }
        caller.shutdown().await.expect("open");
        let left = status(&mut caller).await;
        assert!(matches!(left, None | Some(400)), "{left:?}");
        discovery.tell(vec![a.line("SERVING")]).await;
        assert_eq!(proxy.call("look").await, (200, "a".into()));
        assert_eq!(orders.seen.borrow().len(), 1);
    }
}

/// The list is followed to the last: where discovery moves, and a backend drains, while the program stops.
#[tokio::test]
async fn a_new_configuration_counts_while_the_program_stops() {
    let orders = Arc::new(Orders::default());
    let (a, b) = (Backend::start("a", &orders).await, Backend::start("b", &orders).await);
    let discovery = Discovery::start(vec![a.line("SERVING")]).await;
    let mut brisk = settings();
    for class in brisk["classes"].as_array_mut().expect("a list") {
        class["aim"] = 500.0.into();
    }
    let mut proxy = Proxy::settled(&discovery, brisk.clone()).await;
    let mut caller = proxy.caller().await;
    assert_eq!(caller.call("look").await, (200, "a".into()));
    let other = Discovery::start(vec![a.line("DRAINING"), b.line("SERVING")]).await;
    proxy.terminate().await;
    proxy.reload(&other.config(brisk).to_string(), "configuration applied").await;
    other.settled().await;
    assert_eq!(caller.call("look").await, (200, "b".into()));
    drop(caller);
    assert_eq!(proxy.ended().await.code(), Some(0));
}
