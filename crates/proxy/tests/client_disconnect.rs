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
const CONCURRENT_REQUESTS: usize = 7;

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
enum Disconnect {
    /// Ends its sending.
    Shutdown,
    /// Resets its connection.
    Reset,
}

/// Leaves. What is left of the connection on this side can still be read.
fn disconnect(client: TcpStream, how: Disconnect) -> Option<TcpStream> {
    let socket = SockRef::from(&client);
    match how {
        Disconnect::Shutdown => socket.shutdown(std::net::Shutdown::Write).expect("open"),
        Disconnect::Reset => socket.set_linger(Some(Duration::ZERO)).expect("open"),
    }
    matches!(how, Disconnect::Shutdown).then_some(client)
}

/// Waits until the system, on the proxy's side, knows of each client's end.
async fn wait_until_closes_arrived(proxy: &Proxy, clients: &[u16]) {
    let is_open = |row: &TcpTableEntry| {
        row.local_port == proxy.addr.port() && clients.contains(&row.remote_port) && row.state == ESTABLISHED
    };
    in_time(async {
        while tcp_table().iter().any(is_open) {
            yield_now().await;
        }
    })
    .await;
}

fn local_port(client: &TcpStream) -> u16 {
    client.local_addr().expect("bound").port()
}

/// By the time that others have had answers, what came before them has been read.
async fn check_health_on_new_connections(proxy: &Proxy, count: usize) {
    for _ in 0..count {
        let mut other = connect_tcp(proxy.addr).await;
        other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
        assert_eq!(read_status(&mut other).await, Some(200));
    }
}

/// The end of what its client sends lies behind bytes that nobody reads yet, as an attempt fails.
#[tokio::test]
async fn no_retry_for_a_disconnect_behind_unread_bytes() {
    let fixture = fixture().await;
    for n in 0..5 {
        let release = Arc::new(Notify::new());
        let requests_before = fixture.script.seen.borrow().len();
        fixture.script.enqueue([BackendBehavior::HoldThenDecline(release.clone())]);
        let mut client = connect_tcp(fixture.proxy.addr).await;
        client.write_all(request_head("GET /look", &format!("gone-{n}")).as_bytes()).await.expect("open");
        fixture.script.wait_for_requests(requests_before + 1).await;
        client.write_all("x".repeat(60_000).as_bytes()).await.expect("open");
        check_health_on_new_connections(&fixture.proxy, 10).await;
        let mut client = disconnect(client, Disconnect::Shutdown).expect("open");
        // By then the end has come too, behind the bytes.
        check_health_on_new_connections(&fixture.proxy, 1).await;
        release.notify_one();
        assert_eq!(read_status(&mut client).await, None, "{n}: the proxy knows that it left");
        assert_eq!(fixture.proxy.call("look").await.0, 200);
        assert_eq!(
            fixture.script.seen.borrow().len(),
            requests_before + 2,
            "{n}: its one attempt, and the other's"
        );
    }
}

/// Many attempts fail and their clients leave in what is one turn to the program. It hears of the failures first.
#[tokio::test]
async fn no_retry_for_a_disconnect_in_the_turn_of_a_failure() {
    for how in [Disconnect::Shutdown, Disconnect::Reset] {
        let fixture = fixture().await;
        let releases: Vec<_> = (0..CONCURRENT_REQUESTS).map(|_| Arc::new(Notify::new())).collect();
        fixture.script.enqueue(releases.iter().cloned().map(BackendBehavior::HoldThenDecline));
        let mut clients = Vec::new();
        for n in 0..CONCURRENT_REQUESTS {
            let mut client = connect_tcp(fixture.proxy.addr).await;
            client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
            clients.push(client);
        }
        fixture.script.wait_for_requests(CONCURRENT_REQUESTS).await;
        fixture.proxy.pause().await;
        releases.iter().for_each(|release| release.notify_one());
        let backends = [fixture.a.addr.port(), fixture.b.addr.port()];
        let failed_attempts = || {
            tcp_table()
                .into_iter()
                .filter(|r| backends.contains(&r.remote_port) && r.unread_bytes > 0)
                .count()
        };
        in_time(async {
            while failed_attempts() < CONCURRENT_REQUESTS {
                yield_now().await;
            }
        })
        .await;
        let ports: Vec<u16> = clients.iter().map(local_port).collect();
        let mut closing: Vec<_> = clients.into_iter().filter_map(|client| disconnect(client, how)).collect();
        wait_until_closes_arrived(&fixture.proxy, &ports).await;
        fixture.proxy.resume_process().await;
        for client in &mut closing {
            assert_eq!(read_status(client).await, None, "{how:?}");
        }
        assert_eq!(fixture.proxy.call("look").await.0, 200);
        assert_eq!(fixture.script.seen.borrow().len(), CONCURRENT_REQUESTS + 1, "{how:?}");
    }
}

/// A request and its client's leave are found together: on a connection that waits at the listener, on one that is
/// open, and with two requests in one.
#[tokio::test]
async fn request_read_after_its_client_disconnected_is_not_sent() {
    let fixture = fixture().await;
    let mut open = connect_tcp(fixture.proxy.addr).await;
    open.write_all(request_head("GET /look", "first").as_bytes()).await.expect("open");
    assert_eq!(read_status(&mut open).await, Some(200));
    fixture.proxy.pause().await;
    let queued = connect_tcp(fixture.proxy.addr).await;
    let pipelining = connect_tcp(fixture.proxy.addr).await;
    let (mut closing, mut ports) = (Vec::new(), Vec::new());
    let pipelined = request_head("POST /once", "three") + &request_head("POST /once", "four");
    for (mut client, text) in [
        (open, request_head("POST /once", "one")),
        (queued, request_head("POST /once", "two")),
        (pipelining, pipelined),
    ] {
        client.write_all(text.as_bytes()).await.expect("open");
        ports.push(local_port(&client));
        closing.extend(disconnect(client, Disconnect::Shutdown));
    }
    wait_until_closes_arrived(&fixture.proxy, &ports).await;
    fixture.proxy.resume_process().await;
    for client in &mut closing {
        // What the proxy says to one that left is of no matter, as long as it lets go of it.
        while read_status(client).await.is_some() {}
    }
    assert_eq!(fixture.proxy.call("look").await.0, 200);
    assert_eq!(fixture.script.seen.borrow().len(), 2, "the first, and the other's");
}
