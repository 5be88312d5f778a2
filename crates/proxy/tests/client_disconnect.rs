//! For a caller that has left nothing more is sent, wherever its request or the next attempt at it waits by then. The
//! program is told of the end of a wait as early as of its caller's leave, or earlier.

mod support;

use socket2::SockRef;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;

/// So many requests at once are surely let through by a limit that has learned nothing yet.
const AT_ONCE: usize = 7;

struct Scene {
    orders: Arc<Orders>,
    a: Backend,
    b: Backend,
    _discovery: Discovery,
    proxy: Proxy,
}

async fn scene() -> Scene {
    let orders = Arc::new(Orders::default());
    let (a, b) = (Backend::start("a", &orders).await, Backend::start("b", &orders).await);
    let discovery = Discovery::start(vec![a.line("SERVING"), b.line("SERVING")]).await;
    let proxy = Proxy::settled(&discovery, settings()).await;
    Scene { orders, a, b, _discovery: discovery, proxy }
}

/// How a caller leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// Ends its sending.
    End,
    /// Resets its connection.
    Reset,
}

/// Leaves. What is left of the connection on this side can still be read.
fn leave(caller: TcpStream, how: Leave) -> Option<TcpStream> {
    let socket = SockRef::from(&caller);
    match how {
        Leave::End => socket.shutdown(std::net::Shutdown::Write).expect("open"),
        Leave::Reset => socket.set_linger(Some(Duration::ZERO)).expect("open"),
    }
    matches!(how, Leave::End).then_some(caller)
}

/// Waits until the system, on the proxy's side, knows of each caller's end.
async fn known(proxy: &Proxy, callers: &[u16]) {
    let open = |row: &Row| {
        row.local == proxy.addr.port() && callers.contains(&row.remote) && row.state == ESTABLISHED
    };
    soon(async {
        while table().iter().any(open) {
            yield_now().await;
        }
    })
    .await;
}

fn port(caller: &TcpStream) -> u16 {
    caller.local_addr().expect("bound").port()
}

/// By the time that others have had answers, what came before them has been read.
async fn others_are_answered(proxy: &Proxy, others: usize) {
    for _ in 0..others {
        let mut other = connected(proxy.addr).await;
        other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
        assert_eq!(status(&mut other).await, Some(200));
    }
}

/// The end of what its caller sends lies behind bytes that nobody reads yet, as an attempt fails.
#[tokio::test]
async fn a_further_attempt_is_not_begun_for_a_caller_that_left_behind_unread_bytes() {
    let s = scene().await;
    for n in 0..5 {
        let release = Arc::new(Notify::new());
        let came = s.orders.seen.borrow().len();
        s.orders.give([Do::DeclineLater(release.clone())]);
        let mut caller = connected(s.proxy.addr).await;
        caller.write_all(call("GET /look", &format!("gone-{n}")).as_bytes()).await.expect("open");
        s.orders.came(came + 1).await;
        caller.write_all("x".repeat(60_000).as_bytes()).await.expect("open");
        others_are_answered(&s.proxy, 10).await;
        let mut caller = leave(caller, Leave::End).expect("open");
        // By then the end has come too, behind the bytes.
        others_are_answered(&s.proxy, 1).await;
        release.notify_one();
        assert_eq!(status(&mut caller).await, None, "{n}: the proxy knows that it left");
        assert_eq!(s.proxy.call("look").await.0, 200);
        assert_eq!(s.orders.seen.borrow().len(), came + 2, "{n}: its one attempt, and the other's");
    }
}

/// Many attempts fail and their callers leave in what is one turn to the program. It hears of the failures first.
#[tokio::test]
async fn no_further_attempts_are_begun_for_callers_that_leave_in_the_turn_of_a_failure() {
    for how in [Leave::End, Leave::Reset] {
        let s = scene().await;
        let release: Vec<_> = (0..AT_ONCE).map(|_| Arc::new(Notify::new())).collect();
        s.orders.give(release.iter().cloned().map(Do::DeclineLater));
        let mut callers = Vec::new();
        for n in 0..AT_ONCE {
            let mut caller = connected(s.proxy.addr).await;
            caller.write_all(call("GET /look", &n.to_string()).as_bytes()).await.expect("open");
            callers.push(caller);
        }
        s.orders.came(AT_ONCE).await;
        s.proxy.pause().await;
        release.iter().for_each(|release| release.notify_one());
        let backends = [s.a.addr.port(), s.b.addr.port()];
        let failed = || table().into_iter().filter(|r| backends.contains(&r.remote) && r.unread > 0).count();
        soon(async {
            while failed() < AT_ONCE {
                yield_now().await;
            }
        })
        .await;
        let ports: Vec<u16> = callers.iter().map(port).collect();
        let mut left: Vec<_> = callers.into_iter().filter_map(|caller| leave(caller, how)).collect();
        known(&s.proxy, &ports).await;
        s.proxy.go_on().await;
        for caller in &mut left {
            assert_eq!(status(caller).await, None, "{how:?}");
        }
        assert_eq!(s.proxy.call("look").await.0, 200);
        assert_eq!(s.orders.seen.borrow().len(), AT_ONCE + 1, "{how:?}");
    }
}

/// A request and its caller's leave are found together: on a connection that waits at the listener, on one that is
/// open, and with two requests in one.
#[tokio::test]
async fn what_its_caller_left_before_it_was_read_is_not_sent() {
    let s = scene().await;
    let mut open = connected(s.proxy.addr).await;
    open.write_all(call("GET /look", "first").as_bytes()).await.expect("open");
    assert_eq!(status(&mut open).await, Some(200));
    s.proxy.pause().await;
    let queued = connected(s.proxy.addr).await;
    let two = connected(s.proxy.addr).await;
    let (mut left, mut ports) = (Vec::new(), Vec::new());
    let behind = call("POST /once", "three") + &call("POST /once", "four");
    for (mut caller, text) in
        [(open, call("POST /once", "one")), (queued, call("POST /once", "two")), (two, behind)]
    {
        caller.write_all(text.as_bytes()).await.expect("open");
        ports.push(port(&caller));
        left.extend(leave(caller, Leave::End));
    }
    known(&s.proxy, &ports).await;
    s.proxy.go_on().await;
    for caller in &mut left {
        // What the proxy says to one that left is of no matter, as long as it lets go of it.
        while status(caller).await.is_some() {}
    }
    assert_eq!(s.proxy.call("look").await.0, 200);
    assert_eq!(s.orders.seen.borrow().len(), 2, "the first, and the other's");
}
