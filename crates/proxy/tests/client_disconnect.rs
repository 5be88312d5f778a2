//! Nothing more is sent for a client that has disconnected, wherever its request or the next attempt is
//! waiting. In these tests the proxy detects the end of the wait before the disconnect or at the same time.

mod support;

use socket2::SockRef;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;

/// A number of concurrent requests that the initial concurrency limit certainly admits.
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

/// The way in which a client disconnects.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    /// Closes its sending direction.
    Shutdown,
    /// Resets the connection.
    Reset,
}

/// Disconnects a client. Returns the connection if it can still be read.
fn disconnect(client: TcpStream, how: Disconnect) -> Option<TcpStream> {
    let socket = SockRef::from(&client);
    match how {
        Disconnect::Shutdown => socket.shutdown(std::net::Shutdown::Write).expect("open"),
        Disconnect::Reset => socket.set_linger(Some(Duration::ZERO)).expect("open"),
    }
    matches!(how, Disconnect::Shutdown).then_some(client)
}

/// Waits until the kernel has received each client's FIN or RST on the proxy's side.
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
    client.local_addr().expect("a local address").port()
}

/// Sends health checks on new connections. Once they are answered, the proxy has read what arrived before
/// them.
async fn check_health_on_new_connections(proxy: &Proxy, count: usize) {
    for _ in 0..count {
        let mut other = connect_tcp(proxy.addr).await;
        other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
        assert_eq!(read_status(&mut other).await, Some(200));
    }
}

/// An attempt fails while the client's FIN is buffered behind bytes that the proxy hasn't read yet.
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
        // When: the client disconnects, and then the attempt fails.
        let mut client = disconnect(client, Disconnect::Shutdown).expect("open");
        // By then the FIN has arrived too, behind the bytes.
        check_health_on_new_connections(&fixture.proxy, 1).await;
        release.notify_one();
        // Then: there is no second attempt.
        assert_eq!(read_status(&mut client).await, None, "{n}: the proxy has detected the disconnect");
        assert_eq!(fixture.proxy.call("look").await.0, 200);
        assert_eq!(
            fixture.script.seen.borrow().len(),
            requests_before + 2,
            "{n}: its one attempt, and that of the other client"
        );
    }
}

/// Many attempts fail and their clients disconnect in one turn of the proxy's event loop, which sees the
/// failures first.
#[tokio::test]
async fn no_retry_for_a_disconnect_in_the_turn_of_a_failure() {
    for how in [Disconnect::Shutdown, Disconnect::Reset] {
        let fixture = fixture().await;
        let releases: Vec<_> = (0..CONCURRENT_REQUESTS).map(|_| Arc::new(Notify::new())).collect();
        fixture.script.enqueue(releases.iter().cloned().map(BackendBehavior::HoldThenDecline));
        // Given: requests that are held at the backends.
        let mut clients = Vec::new();
        for n in 0..CONCURRENT_REQUESTS {
            let mut client = connect_tcp(fixture.proxy.addr).await;
            client.write_all(request_head("GET /look", &n.to_string()).as_bytes()).await.expect("open");
            clients.push(client);
        }
        fixture.script.wait_for_requests(CONCURRENT_REQUESTS).await;
        // When: they fail and their clients disconnect in one turn of the proxy.
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
        // Then: there are no further attempts.
        for client in &mut closing {
            assert_eq!(read_status(client).await, None, "{how:?}");
        }
        assert_eq!(fixture.proxy.call("look").await.0, 200);
        assert_eq!(fixture.script.seen.borrow().len(), CONCURRENT_REQUESTS + 1, "{how:?}");
    }
}

/// The proxy finds a request and its client's disconnect at the same time: on a connection in the accept
/// queue, on an open connection, and behind two pipelined requests.
#[tokio::test]
async fn request_read_after_its_client_disconnected_is_not_sent() {
    let fixture = fixture().await;
    // Given: one open connection.
    let mut open = connect_tcp(fixture.proxy.addr).await;
    open.write_all(request_head("GET /look", "first").as_bytes()).await.expect("open");
    assert_eq!(read_status(&mut open).await, Some(200));
    // When: clients send requests and disconnect while the proxy is paused.
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
    // Then: the requests are not sent to a backend.
    for client in &mut closing {
        // The proxy may send a response to the disconnected client, but it must close the connection.
        while read_status(client).await.is_some() {}
    }
    assert_eq!(fixture.proxy.call("look").await.0, 200);
    assert_eq!(fixture.script.seen.borrow().len(), 2, "the first request, and that of the other client");
}

/// Guards against requests that are sent long after their client has closed its connection behind more of them
/// than the kernel's buffers take, which hides the close.
#[tokio::test]
async fn requests_behind_a_full_receive_buffer_are_not_sent_after_a_close() {
    const REQUEST_COUNT: usize = 20_000;
    const BLOCKED_AFTER: Duration = Duration::from_millis(300);
    let fixture = fixture().await;
    let release = Arc::new(Notify::new());
    fixture.script.enqueue([BackendBehavior::Hold(release.clone())]);
    let requests: String =
        (0..REQUEST_COUNT).map(|number| request_head("POST /once", &format!("many-{number}"))).collect();
    // Given: a client that has written as many requests as the buffers take, and has closed.
    let mut client = connect_tcp(fixture.proxy.addr).await;
    let mut rest = requests.as_bytes();
    while !rest.is_empty() {
        let Ok(written) = tokio::time::timeout(BLOCKED_AFTER, client.write(rest)).await else { break };
        rest = &rest[written.expect("open")..];
    }
    fixture.script.wait_for_requests(1).await;
    let _client = disconnect(client, Disconnect::Shutdown).expect("open");
    tokio::time::sleep(BLOCKED_AFTER).await;

    // When: its first request is answered.
    release.notify_one();
    check_health_on_new_connections(&fixture.proxy, 10).await;
    tokio::time::sleep(BLOCKED_AFTER).await;

    // Then: none of the others is sent.
    assert_eq!(fixture.script.seen.borrow().len(), 1);
}
