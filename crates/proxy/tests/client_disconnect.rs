//! For a client that has left nothing more is sent, wherever its request or the next attempt at it waits by then. The
//! program is told of the end of a wait as early as of its client's leave, or earlier.

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

struct Fixture {
    script: Arc<BackendScript>,
    a: Backend,
    b: Backend,
    _discovery: Discovery,
    proxy: Proxy,
}

async fn fixture() -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    Fixture { script, a, b, _discovery: discovery, proxy }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leave {
    /// Ends its sending.
    End,
    /// Resets its connection.
    Reset,
}

/// Leaves. What is left of the connection on this side can still be read.
fn leave(client: TcpStream, how: Leave) -> Option<TcpStream> {
    let socket = SockRef::from(&client);
    match how {
        Leave::End => socket.shutdown(std::net::Shutdown::Write).expect("open"),
        Leave::Reset => socket.set_linger(Some(Duration::ZERO)).expect("open"),
    }
    matches!(how, Leave::End).then_some(client)
}

/// Waits until the system, on the proxy's side, knows of each client's end.
async fn known(proxy: &Proxy, clients: &[u16]) {
    let open = |row: &TcpTableEntry| {
        row.local_port == proxy.addr.port() && clients.contains(&row.remote_port) && row.state == ESTABLISHED
    };
    in_time(async {
        while tcp_table().iter().any(open) {
            yield_now().await;
        }
    })
    .await;
}

fn port(client: &TcpStream) -> u16 {
    client.local_addr().expect("bound").port()
}

/// By the time that others have had answers, what came before them has been read.
async fn others_are_answered(proxy: &Proxy, others: usize) {
    for _ in 0..others {
        let mut other = connect_tcp(proxy.addr).await;
        other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
        assert_eq!(read_status(&mut other).await, Some(200));
    }
}

/// The end of what its client sends lies behind bytes that nobody reads yet, as an attempt fails.
#[tokio::test]
async fn no_retry_for_a_disconnect_behind_unread_bytes() {
    let s = fixture().await;
    for n in 0..5 {
        let release = Arc::new(Notify::new());
        let wait_for_requests = s.script.seen.borrow().len();
        s.script.enqueue([BackendBehavior::HoldThenDecline(release.clone())]);
        let mut client = connect_tcp(s.proxy.addr).await;
        client.write_all(request_head("GET /look", &format!("gone-{n}")).as_bytes()).await.expect("open");
        s.script.wait_for_requests(wait_for_requests + 1).await;
        client.write_all("x".repeat(60_000).as_bytes()).await.expect("open");
        others_are_answered(&s.proxy, 10).await;
        let mut client = leave(client, Leave::End).expect("open");
        // By then the end has come too, behind the bytes.
        others_are_answered(&s.proxy, 1).await;
        release.notify_one();
        assert_eq!(read_status(&mut client).await, None, "{n}: the proxy knows that it left");
        assert_eq!(s.proxy.call("look").await.0, 200);
        assert_eq!(
            s.script.seen.borrow().len(),
            wait_for_requests + 2,
            "{n}: its one attempt, and the other's"
        );
    }
}

/// Many attempts fail and their clients leave in what is one turn to the program. It hears of the failures first.
#[tokio::test]
async fn no_retry_for_a_disconnect_in_the_turn_of_a_failure() {
    for how in [Leave::End, Leave::Reset] {
        let s = fixture().await;
        let release: Vec<_> = (0..AT_ONCE).map(|_| Arc::new(Notify::new())).collect();
        s.script.enqueue(release.iter().cloned().map(BackendBehavior::HoldThenDecline));
        let mut clients = Vec::new();
        for n in 0..AT_ONCE {
            let mut client = connect_tcp(s.proxy.addr).await;
            client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
            clients.push(client);
        }
        s.script.wait_for_requests(AT_ONCE).await;
        s.proxy.pause().await;
        release.iter().for_each(|release| release.notify_one());
        let backends = [s.a.addr.port(), s.b.addr.port()];
        let failed = || {
            tcp_table()
                .into_iter()
                .filter(|r| backends.contains(&r.remote_port) && r.unread_bytes > 0)
                .count()
        };
        in_time(async {
            while failed() < AT_ONCE {
                yield_now().await;
            }
        })
        .await;
        let ports: Vec<u16> = clients.iter().map(port).collect();
        let mut left: Vec<_> = clients.into_iter().filter_map(|client| leave(client, how)).collect();
        known(&s.proxy, &ports).await;
        s.proxy.resume_process().await;
        for client in &mut left {
            assert_eq!(read_status(client).await, None, "{how:?}");
        }
        assert_eq!(s.proxy.call("look").await.0, 200);
        assert_eq!(s.script.seen.borrow().len(), AT_ONCE + 1, "{how:?}");
    }
}

/// A request and its client's leave are found together: on a connection that waits at the listener, on one that is
/// open, and with two requests in one.
#[tokio::test]
async fn request_read_after_its_client_disconnected_is_not_sent() {
    let s = fixture().await;
    let mut open = connect_tcp(s.proxy.addr).await;
    open.write_all(request_head("GET /look", "first").as_bytes()).await.expect("open");
    assert_eq!(read_status(&mut open).await, Some(200));
    s.proxy.pause().await;
    let queued = connect_tcp(s.proxy.addr).await;
    let two = connect_tcp(s.proxy.addr).await;
    let (mut left, mut ports) = (Vec::new(), Vec::new());
    let behind = request_head("POST /once", "three") + &request_head("POST /once", "four");
    for (mut client, text) in [
        (open, request_head("POST /once", "one")),
        (queued, request_head("POST /once", "two")),
        (two, behind),
    ] {
        client.write_all(text.as_bytes()).await.expect("open");
        ports.push(port(&client));
        left.extend(leave(client, Leave::End));
    }
    known(&s.proxy, &ports).await;
    s.proxy.resume_process().await;
    for client in &mut left {
        // What the proxy says to one that left is of no matter, as long as it lets go of it.
        while read_status(client).await.is_some() {}
    }
    assert_eq!(s.proxy.call("look").await.0, 200);
    assert_eq!(s.script.seen.borrow().len(), 2, "the first, and the other's");
}
