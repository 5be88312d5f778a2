//! Connections that wait in the kernel's accept queue: the deadlines of their requests run meanwhile. The
//! proxy is paused while the clients connect.

mod support;

use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until};

/// The time that a client waits for its answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
/// The time that the connections wait in the accept queue.
const ACCEPT_QUEUE_TIME: Duration = Duration::from_millis(500);
/// How far the deadline that a backend receives may exceed the time that is left to the client.
const FORWARDED_DEADLINE_SLACK: Duration = Duration::from_millis(150);
/// A number of concurrent requests that is below the initial concurrency limit.
const CONCURRENT_CLIENTS: usize = 7;
/// A body longer than one read, and short enough to be buffered as a whole.
const LONG_BODY_BYTES: usize = 40_000;

struct Fixture {
    script: Arc<BackendScript>,
    _backend: Backend,
    _discovery: Discovery,
    proxy: Proxy,
}

impl Fixture {
    async fn new() -> Self {
        let script = Arc::new(BackendScript::default());
        let backend = Backend::start("a", &script).await;
        let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
        let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
        Fixture { script, _backend: backend, _discovery: discovery, proxy }
    }

    /// Returns the deadlines that the backend received.
    fn forwarded_deadlines(&self) -> Vec<Duration> {
        let parse_deadline = |head: &hyper::http::request::Parts| {
            let text = head.headers["req-deadline-ms"].to_str().expect("text");
            Duration::from_millis(text.parse().expect("a number"))
        };
        self.script.seen.borrow().iter().map(|(_, head, _)| parse_deadline(head)).collect()
    }
}

/// Returns the text of a request with the given client timeout and body length.
fn request_text(client_timeout: Duration, number: usize, body_bytes: usize) -> String {
    let deadline = format!("Req-Deadline-Ms: {}", client_timeout.as_millis());
    let head =
        request_head("POST /once", &format!("{number:016x}")).replace("Req-Deadline-Ms: 60000", &deadline);
    let head = head.replace("Host: o", &format!("Host: o\r\nContent-Length: {body_bytes}"));
    head + &"x".repeat(body_bytes)
}

/// A client that has sent its whole request.
struct WaitingClient {
    stream: TcpStream,
    sent_at: Instant,
}

/// Connects clients that send their requests at once while the proxy accepts no connection.
async fn connect_waiting_clients(
    proxy: &Proxy,
    client_timeout: Duration,
    body_bytes: usize,
) -> Vec<WaitingClient> {
    let mut clients = Vec::new();
    for number in 0..CONCURRENT_CLIENTS {
        let mut stream = connect_tcp(proxy.addr).await;
        let text = request_text(client_timeout, number, body_bytes);
        in_time(stream.write_all(text.as_bytes())).await.expect("the system buffers it");
        clients.push(WaitingClient { stream, sent_at: Instant::now() });
    }
    clients
}

/// Guards against forwarding a deadline that includes the time that the connection has waited for the accept.
async fn assert_forwarded_deadline_excludes_queue_time(body_bytes: usize) {
    let fixture = Fixture::new().await;
    // Given: complete requests on connections that are not accepted.
    fixture.proxy.pause().await;
    let mut clients = connect_waiting_clients(&fixture.proxy, CLIENT_TIMEOUT, body_bytes).await;
    let last_sent_at = clients.iter().map(|client| client.sent_at).max().expect("at least one client");
    sleep_until(last_sent_at + ACCEPT_QUEUE_TIME).await;
    // When: the proxy is resumed.
    fixture.proxy.resume_process().await;
    // Then: each is served, and the deadline that the backend received is no longer than the time that was
    // left.
    for client in &mut clients {
        assert_eq!(read_status(&mut client.stream).await, Some(200));
    }
    let forwarded = fixture.forwarded_deadlines();
    println!("{forwarded:?}");
    assert_eq!(forwarded.len(), CONCURRENT_CLIENTS);
    for forwarded in forwarded {
        assert!(
            forwarded <= CLIENT_TIMEOUT - ACCEPT_QUEUE_TIME + FORWARDED_DEADLINE_SLACK,
            "forwarded {forwarded:?}"
        );
    }
}

#[tokio::test]
async fn forwarded_deadline_excludes_the_accept_queue_time() {
    assert_forwarded_deadline_excludes_queue_time(0).await;
}

#[tokio::test]
async fn long_request_forwards_deadline_without_queue_time() {
    assert_forwarded_deadline_excludes_queue_time(LONG_BODY_BYTES).await;
}

/// Guards against deadlines that count from the connect instead of the last byte of the request.
#[tokio::test]
async fn deadline_counts_from_the_last_byte_not_the_connect() {
    let fixture = Fixture::new().await;
    // Given: a connection that is not accepted, with half of a head.
    fixture.proxy.pause().await;
    let text = request_text(CLIENT_TIMEOUT, 0, 0);
    let (first, rest) = text.split_at(text.len() / 2);
    let mut stream = connect_tcp(fixture.proxy.addr).await;
    stream.write_all(first.as_bytes()).await.expect("the system buffers it");
    sleep_until(Instant::now() + ACCEPT_QUEUE_TIME).await;
    // When: the rest of the head is sent right before the proxy is resumed.
    let rest_sent_at = Instant::now();
    stream.write_all(rest.as_bytes()).await.expect("the system buffers it");
    fixture.proxy.resume_process().await;
    // Then: only the time since then is subtracted from the forwarded deadline.
    assert_eq!(read_status(&mut stream).await, Some(200));
    let elapsed = rest_sent_at.elapsed();
    let forwarded = fixture.forwarded_deadlines();
    println!("forwarded {forwarded:?} after {elapsed:?}");
    assert_eq!(forwarded.len(), 1);
    assert!(
        forwarded[0] + elapsed + FORWARDED_DEADLINE_SLACK >= CLIENT_TIMEOUT,
        "forwarded {forwarded:?} after {elapsed:?}"
    );
}

/// Guards against forwarding a request whose client no longer waits, and against leaving that client without
/// an answer.
#[tokio::test]
async fn expired_request_in_the_accept_queue_is_not_forwarded() {
    let fixture = Fixture::new().await;
    // Given: requests in the accept queue whose deadline passes.
    fixture.proxy.pause().await;
    let mut clients = connect_waiting_clients(&fixture.proxy, ACCEPT_QUEUE_TIME / 2, 0).await;
    let last_sent_at = clients.iter().map(|client| client.sent_at).max().expect("at least one client");
    sleep_until(last_sent_at + ACCEPT_QUEUE_TIME).await;
    // When: the proxy is resumed.
    fixture.proxy.resume_process().await;
    // Then: each is answered with an error, and none is forwarded.
    for client in &mut clients {
        let answer = read_status(&mut client.stream).await;
        assert!(matches!(answer, Some(429 | 502 | 503 | 504)), "{answer:?}");
    }
    assert_eq!(fixture.forwarded_deadlines(), []);
}
