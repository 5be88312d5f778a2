//! Bytes that one exchange leaves on a keep-alive connection of either side never affect the next exchange:
//! each request gets its own response, once, within its own deadline. The tests drive clients and backends
//! byte by byte to force an order of events.

mod support;

use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep_until, timeout};

/// A body size that is streamed: the proxy buffers bodies of at most 64 KiB.
const STREAMED_BYTES: usize = 200_000;
/// A body size that exceeds all that the kernel buffers while the proxy doesn't read.
const LARGE_BODY_BYTES: usize = 30_000_000;
/// The number of bytes that the proxy reads at once where it expects a head.
const READ_BYTES: usize = 4096;
/// A number of concurrent requests that the initial concurrency limit certainly admits.
const CONCURRENT_REQUESTS: usize = 7;
/// The time within which a misbehaving client must get an error or a close.
const BAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// A backend that the test drives, and a proxy with this backend only.
struct Fixture {
    backend: RawBackend,
    _discovery: Discovery,
    proxy: Proxy,
}

impl Fixture {
    async fn new(settings: Value) -> Self {
        let backend = RawBackend::start().await;
        let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
        let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
        Fixture { backend, _discovery: discovery, proxy }
    }

    async fn client(&self) -> RawConnection {
        RawConnection::connect(self.proxy.addr).await
    }

    /// Returns a backend connection that is kept after one exchange, and the response of that exchange.
    async fn kept_connection(&self) -> (RawConnection, Vec<u8>) {
        let mut client = self.client().await;
        client.write(request_head("GET /look", "first")).await;
        let mut connection = self.backend.accept().await;
        let first = response(200, "", "first");
        assert_eq!(connection.read_request().await.expect("a request").0, "first");
        connection.write(&first).await;
        assert_eq!(client.read_answer().await, Some((200, "first".into())));
        (connection, first)
    }

    /// Checks that a request of a new client gets its own response over a new backend connection.
    async fn next_is_served_on_a_new_connection(&self) {
        let mut client = self.client().await;
        client.write(request_head("POST /once", "next")).await;
        let mut connection = self.backend.accept().await;
        assert_eq!(connection.read_request().await.expect("a request").0, "next");
        connection.write(response(200, "", "next")).await;
        assert_eq!(client.read_answer().await, Some((200, "next".into())));
    }

    /// Checks that a chunked request after a response is served on the same client connection, unless that
    /// response closed it.
    async fn next_is_served_unless_closed(&self, client: &mut RawConnection, answer: &str) {
        if header(answer, "connection") == Some("close") {
            assert_eq!(client.read_to_close().await, b"");
            return;
        }
        client.write(chunked_request("next", 4)).await;
        let mut connection = self.backend.accept().await;
        assert_eq!(connection.read_request().await, Some(("next".into(), "xxxx".into())));
        connection.write(response(200, "", "next")).await;
        assert_eq!(client.read_answer().await, Some((200, "next".into())));
    }
}

/// Returns the head of a request with further headers.
fn request_head_with(line: &str, id: &str, headers: &str) -> String {
    request_head(line, id).replace("Host: o\r\n", &format!("Host: o\r\n{headers}\r\n"))
}

fn upload_head(id: &str, length: usize) -> String {
    request_head_with("POST /once", id, &format!("Content-Length: {length}"))
}

fn chunked_request(id: &str, chunks: usize) -> String {
    let head = request_head_with("POST /once", id, "Transfer-Encoding: chunked");
    head + &"1\r\nx\r\n".repeat(chunks) + "0\r\n\r\n"
}

/// A copy of an earlier response arrives while an upload is still being sent, so that it can't be the
/// response to the upload.
#[tokio::test]
async fn response_copy_during_an_upload_does_not_answer_it() {
    let fixture = Fixture::new(settings()).await;
    // Given: a keep-alive connection that carries the first half of an upload.
    let (mut connection, first) = fixture.kept_connection().await;
    let mut client = fixture.client().await;
    client.write(upload_head("upload", STREAMED_BYTES)).await;
    client.write("u".repeat(STREAMED_BYTES / 2)).await;
    assert!(connection.read_head().await.expect("a request").contains("req-id: upload"));
    // When: the previous response arrives a second time, before the rest of the upload.
    connection.write(first).await;
    let answer = client.read_answer().await.expect("a response");
    // Then: it does not answer the upload, which never runs.
    assert_ne!(answer.0, 200, "{answer:?} belongs to another request");
    connection.read_to_close().await;
    fixture.next_is_served_on_a_new_connection().await;
}

/// The rest of an upload that was answered early is not read as a part of the next head.
#[tokio::test]
async fn request_after_an_early_answered_upload_is_served() {
    let fixture = Fixture::new(settings()).await;
    // Given: an upload that the backend answers before its last byte.
    let mut client = fixture.client().await;
    client.write(upload_head("upload", STREAMED_BYTES)).await;
    client.write("u".repeat(STREAMED_BYTES / 2)).await;
    let mut connection = fixture.backend.accept().await;
    connection.read_head().await.expect("a request");
    connection.write(response(404, "", "")).await;
    let (answer, _) = client.read_message().await.expect("a response");
    assert!(answer.starts_with("http/1.1 502 "), "{answer}");
    // When: its client sends the rest.
    client.write("u".repeat(STREAMED_BYTES - STREAMED_BYTES / 2)).await;
    // Then: what it sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// The same holds for a chunked upload, whose end only the HTTP library finds.
#[tokio::test]
async fn request_after_an_early_answered_chunked_upload_is_served() {
    let fixture = Fixture::new(settings()).await;
    let chunk = format!("{:x}\r\n{}\r\n", STREAMED_BYTES / 2, "u".repeat(STREAMED_BYTES / 2));
    // Given: an upload in chunks that the backend answers before its last byte.
    let mut client = fixture.client().await;
    client.write(request_head_with("POST /once", "upload", "Transfer-Encoding: chunked")).await;
    client.write(&chunk).await;
    let mut connection = fixture.backend.accept().await;
    connection.read_head().await.expect("a request");
    connection.write(response(404, "", "")).await;
    let (answer, _) = client.read_message().await.expect("a response");
    assert!(answer.starts_with("http/1.1 502 "), "{answer}");
    // When: its client sends the rest.
    client.write(chunk + "0\r\n\r\n").await;
    // Then: what it sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// A head with both `Content-Length` and `Transfer-Encoding` is rejected, even if the rest of the body before
/// it looks like a valid head.
#[tokio::test]
async fn rest_of_an_upload_is_not_checked_as_the_next_head() {
    let fixture = Fixture::new(settings()).await;
    let rest = chunked_request("in-the-body", 0);
    let next_head =
        request_head_with("POST /once", "next", "Transfer-Encoding: chunked\r\nContent-Length: 5");
    // Given: an upload that was answered early.
    let mut client = fixture.client().await;
    client.write(upload_head("upload", STREAMED_BYTES + rest.len())).await;
    client.write("u".repeat(STREAMED_BYTES)).await;
    let mut connection = fixture.backend.accept().await;
    connection.read_head().await.expect("a request");
    connection.write(response(404, "", "")).await;
    assert_eq!(client.read_answer().await.expect("a response").0, 502);
    // When: its rest looks like a valid request, and the request after it is invalid.
    client.write(rest + &next_head + "0\r\n\r\n").await;
    // Then: the invalid request is rejected.
    assert_eq!(client.read_answer().await.expect("a response").0, 400);
}

/// An upload that is rejected before any part was sent to a backend is read to its end; unread, it would
/// block its connection forever.
#[tokio::test]
async fn request_after_a_rejected_upload_is_served() {
    let mut settings = settings();
    settings["caps"]["openCap"] = 1.into();
    let fixture = Fixture::new(settings).await;
    // Given: the one request that may be in flight.
    let mut open_client = fixture.client().await;
    open_client.write(request_head("GET /look", "open")).await;
    let mut connection = fixture.backend.accept().await;
    connection.read_request().await.expect("a request");
    // When: an upload is rejected while its client writes it, and the first request is answered.
    let mut client = fixture.client().await;
    client.write(upload_head("upload", LARGE_BODY_BYTES)).await;
    client.write("u".repeat(LARGE_BODY_BYTES)).await;
    let (answer, _) = client.read_message().await.expect("a response");
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    connection.write(response(200, "", "open")).await;
    assert_eq!(open_client.read_answer().await, Some((200, "open".into())));
    // Wait until the proxy has closed the backend connection: a request that crosses its close may have run.
    connection.stream.shutdown().await.expect("open");
    assert_eq!(connection.read_to_close().await, b"");
    // Then: what its client sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// The same holds for an upload that is rejected because no backend became available in time.
#[tokio::test]
async fn upload_rejected_in_the_queue_is_read_to_its_end() {
    const MAX_QUEUE_WAIT_MS: f64 = 200.0;
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = MAX_QUEUE_WAIT_MS.into();
    }
    let discovery = Discovery::start(Vec::new()).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    let mut client = RawConnection::connect(proxy.addr).await;
    client.write(upload_head("upload", LARGE_BODY_BYTES)).await;
    client.write("u".repeat(LARGE_BODY_BYTES)).await;
    assert_eq!(client.read_answer().await.expect("a response").0, 503);
}

/// The same holds for a chunked upload, after which the connection is closed: the client must still get the
/// response.
#[tokio::test]
async fn chunked_upload_rejected_in_the_queue_is_read_to_its_end() {
    const MAX_QUEUE_WAIT_MS: f64 = 200.0;
    const CHUNK_BYTES: usize = 1_000_000;
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = MAX_QUEUE_WAIT_MS.into();
    }
    let discovery = Discovery::start(Vec::new()).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    let mut client = RawConnection::connect(proxy.addr).await;
    client.write(request_head_with("POST /once", "upload", "Transfer-Encoding: chunked")).await;
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "u".repeat(CHUNK_BYTES));
    client.write(chunk.repeat(LARGE_BODY_BYTES / CHUNK_BYTES) + "0\r\n\r\n").await;
    let (answer, _) = client.read_message().await.expect("a response");
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    assert_eq!(header(&answer, "connection"), Some("close"));
    assert_eq!(client.read_to_close().await, b"");
}

/// The body of a request that was rejected by its head is read after the response, and not as a part of the
/// next head.
#[tokio::test]
async fn request_after_a_discarded_body_is_served() {
    let fixture = Fixture::new(settings()).await;
    // Given: a request that is rejected by its head, before all of its body is read.
    let mut client = fixture.client().await;
    let head = request_head_with("POST /unknown", "rejected", &format!("Content-Length: {READ_BYTES}"));
    client.write(head + &"{".repeat(READ_BYTES)).await;
    let (answer, _) = client.read_message().await.expect("a response");
    assert!(answer.starts_with("http/1.1 404 "), "{answer}");
    // When: its body has been discarded.
    wait_until_read(&fixture.proxy, &client).await;
    // Then: what its client sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// At the connection limit an idle client is evicted, unless it has just sent a request. That request may
/// have been read at once while its chunks are processed one by one.
#[tokio::test]
async fn chunked_request_during_eviction_is_served_once() {
    const DESCRIPTORS: usize = 64;
    const CHUNKS: usize = 500;
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    // Given: idle clients up to the connection limit.
    let mut idle = Vec::new();
    for n in 0..DESCRIPTORS / 4 {
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(request_head("GET /look", &n.to_string())).await;
        assert_eq!(client.read_answer().await, Some((200, "a".into())));
        idle.push(client);
    }
    let served = script.requests_at("a");
    // When: new clients connect while as many of the longest idle ones send requests, in one turn of the
    // proxy.
    proxy.pause().await;
    let mut others = Vec::new();
    for _ in 0..CONCURRENT_REQUESTS {
        others.push(RawConnection::connect(proxy.addr).await);
    }
    let late = &mut idle[..CONCURRENT_REQUESTS];
    for (n, client) in late.iter_mut().enumerate() {
        client.write(chunked_request(&format!("late-{n}"), CHUNKS)).await;
    }
    proxy.resume_process().await;
    // Then: each of the requests is served exactly once.
    for (n, client) in late.iter_mut().enumerate() {
        assert_eq!(client.read_answer().await, Some((200, "a".into())), "{n}");
    }
    assert_eq!(script.requests_at("a"), served + CONCURRENT_REQUESTS);
}

/// Pipelined requests that were read at once are processed one by one. A connection that is selected for
/// eviction meanwhile ends with a response that announces the close.
#[tokio::test]
async fn pipelined_requests_during_eviction_get_a_last_answer() {
    const DESCRIPTORS: usize = 64;
    const PIPELINED: usize = 80;
    const HEALTH_CHECK: &str = "GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n";
    let discovery = Discovery::start(Vec::new()).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    // Given: idle clients up to the connection limit.
    let mut idle = Vec::new();
    for _ in 0..DESCRIPTORS / 4 {
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(HEALTH_CHECK).await;
        client.read_answer().await.expect("a response");
        idle.push(client);
    }
    // When: new clients connect while as many of the longest idle ones send requests, in one turn of the
    // proxy.
    proxy.pause().await;
    let mut others = Vec::new();
    for _ in 0..CONCURRENT_REQUESTS {
        others.push(RawConnection::connect(proxy.addr).await);
    }
    let late = &mut idle[..CONCURRENT_REQUESTS];
    for client in late.iter_mut() {
        client.write(HEALTH_CHECK.repeat(PIPELINED)).await;
    }
    proxy.resume_process().await;
    // Then: each client gets all its responses, or a last one with `Connection: close`.
    for (n, client) in late.iter_mut().enumerate() {
        let mut answers = Vec::new();
        while let Some((head, _)) = client.read_message().await {
            answers.push(head);
        }
        let is_last = answers.last().is_some_and(|head| header(head, "connection") == Some("close"));
        assert!(is_last || answers.len() == PIPELINED, "client {n}: {} responses", answers.len());
    }
}

/// The idle time of a backend connection starts when the backend has written its response, however long the
/// client takes to read it. The backend closes the connection by its own idle timeout, and a request that is
/// written to it after that may or may not have run.
#[tokio::test]
async fn idle_time_starts_at_the_end_of_a_streamed_response() {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
    const MAX_WRITE_TIME: Duration = Duration::from_millis(20);
    const SIZES: usize = 48;
    const SIZE_STEP_BYTES: usize = 8 * 1024;
    let mut settings = settings();
    settings["caps"]["connIdle"] = (IDLE_TIMEOUT.as_millis() as u64).into();
    let fixture = Fixture::new(settings).await;
    // Given: clients that read nothing of shorter and shorter responses, until the proxy has forwarded a
    // complete one. The backend has completely written most of the others.
    let mut exchanges: Vec<(RawConnection, RawConnection, bool)> = Vec::new();
    for n in (0..SIZES).rev() {
        let mut client = RawConnection::connect_with_small_buffer(fixture.proxy.addr).await;
        client.write(request_head("GET /look", &n.to_string())).await;
        let is_connection_used_again = async {
            match exchanges.last() {
                Some((_, connection, _)) => connection.stream.readable().await.expect("open"),
                None => std::future::pending().await,
            }
        };
        let mut connection = tokio::select! {
            connection = fixture.backend.accept() => connection,
            () = is_connection_used_again => break,
        };
        connection.read_request().await.expect("a request");
        let text = response(200, "", &"y".repeat(STREAMED_BYTES / 2 + n * SIZE_STEP_BYTES));
        let written = timeout(MAX_WRITE_TIME, connection.stream.write_all(&text)).await;
        exchanges.push((client, connection, written.is_ok()));
    }
    exchanges.pop();
    let last_ended_at = Instant::now();
    exchanges.retain(|(_, _, is_written)| *is_written);
    assert!(!exchanges.is_empty(), "no response ended before its client read it");
    // When: the clients read on shortly before the backend's idle timeout.
    sleep_until(last_ended_at + IDLE_TIMEOUT * 9 / 10).await;
    let mut idle = Vec::new();
    for (mut client, connection, _) in exchanges {
        client.read_message().await.expect("a response");
        idle.push(connection);
    }
    sleep_until(last_ended_at + IDLE_TIMEOUT).await;
    // Then: the next request is sent on none of these connections.
    let mut client = fixture.client().await;
    client.write(request_head("POST /once", "next")).await;
    let mut connection = fixture.backend.accept().await;
    assert_eq!(connection.read_request().await.expect("a request").0, "next");
}

/// An incomplete head that arrives together with the request before it gets the timeout of a head, not the
/// longer idle timeout.
#[tokio::test]
async fn incomplete_head_behind_a_request_times_out() {
    let fixture = Fixture::new(settings()).await;
    let mut client = fixture.client().await;
    // When: a complete request and an incomplete head arrive in one write.
    let started_at = Instant::now();
    client.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\nGET /look HTTP/1.1\r\nHost:").await;
    assert_eq!(client.read_answer().await.expect("a response").0, 200);
    // Then: the connection is closed within the timeout of a head.
    client.read_to_close().await;
    assert!(started_at.elapsed() < BAD_PEER_TIMEOUT, "{:?}", started_at.elapsed());
}

/// The backend's response to a request whose client has disconnected, or whose deadline has passed, does not
/// answer the next request.
#[tokio::test]
async fn response_to_an_abandoned_request_answers_no_other() {
    for is_timeout in [false, true] {
        let fixture = Fixture::new(settings()).await;
        // Given: a request on a keep-alive connection.
        let (mut connection, _) = fixture.kept_connection().await;
        let mut client = fixture.client().await;
        let text = request_head("POST /once", "abandoned");
        let deadline_ms = if is_timeout { "200" } else { "60000" };
        client.write(text.replace("60000", deadline_ms)).await;
        assert_eq!(connection.read_request().await.expect("a request").0, "abandoned");
        // When: the request is abandoned, the backend responds nevertheless, and another request arrives.
        if is_timeout {
            assert_ne!(client.read_answer().await.expect("a response").0, 200);
        } else {
            drop(client);
        }
        assert_eq!(connection.read_to_close().await, b"", "nothing more is sent on the connection");
        // The proxy may have reset the connection, so that the write fails.
        let _ = connection.stream.write_all(&response(200, "", "abandoned")).await;
        // Then: the other request gets its own response.
        fixture.next_is_served_on_a_new_connection().await;
    }
}

/// Bytes after a response that closes its connection belong to no request, whether they form a final or an
/// interim response.
#[tokio::test]
async fn bytes_after_a_closing_response_answer_no_request() {
    let interim = b"HTTP/1.1 103 X\r\n\r\n".to_vec();
    for rest in [response(200, "", "other"), response(500, "", ""), interim] {
        let fixture = Fixture::new(settings()).await;
        let mut client = fixture.client().await;
        client.write(request_head("POST /once", "last")).await;
        let mut connection = fixture.backend.accept().await;
        connection.read_request().await.expect("a request");
        connection.write([response(200, "Connection: close\r\n", "last"), rest].concat()).await;
        assert_eq!(client.read_answer().await, Some((200, "last".into())));
        fixture.next_is_served_on_a_new_connection().await;
    }
}

/// An interim response that arrives on an idle connection, or after the first bytes of the next request,
/// answers no request.
#[tokio::test]
async fn leftover_interim_response_answers_no_request() {
    const INTERIM: &str = "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n";
    let fixture = Fixture::new(settings()).await;
    // Given: a keep-alive connection, on which an interim response arrives after the next request was sent.
    let (mut connection, _) = fixture.kept_connection().await;
    let mut client = fixture.client().await;
    client.write(request_head("POST /once", "second")).await;
    assert_eq!(connection.read_request().await.expect("a request").0, "second");
    connection.write(INTERIM).await;
    connection.write(response(200, "", "second")).await;
    assert_eq!(client.read_answer().await, Some((200, "second".into())));
    // When: another interim response arrives while the connection is idle.
    connection.write(INTERIM).await;
    assert_eq!(connection.read_to_close().await, b"");
    // Then: it closes that connection and has no other effect.
    fixture.next_is_served_on_a_new_connection().await;
}

/// Response bytes beyond the `Content-Length` that arrive late close the connection and answer no request.
#[tokio::test]
async fn excess_response_bytes_answer_no_request() {
    let fixture = Fixture::new(settings()).await;
    let (mut connection, _) = fixture.kept_connection().await;
    // The excess bytes look like a complete response.
    connection.write(response(200, "", "rest")).await;
    assert_eq!(connection.read_to_close().await, b"");
    fixture.next_is_served_on_a_new_connection().await;
}

/// A body that its client aborts never completes at a backend, and its backend connection is not used again.
#[tokio::test]
async fn aborted_upload_closes_its_backend_connection() {
    let fixture = Fixture::new(settings()).await;
    // Given: the first half of a chunked upload on a keep-alive connection.
    let (mut connection, _) = fixture.kept_connection().await;
    let mut client = fixture.client().await;
    let chunk = format!("{:x}\r\n{}\r\n", STREAMED_BYTES, "u".repeat(STREAMED_BYTES));
    client.write(request_head_with("POST /once", "aborted", "Transfer-Encoding: chunked") + &chunk).await;
    assert!(connection.read_head().await.expect("a request").contains("req-id: aborted"));
    // When: the client aborts it with an invalid chunk.
    client.write("zz\r\n").await;
    // Then: the backend never receives the last chunk, and the next request gets a new connection.
    assert_eq!(client.read_answer().await.expect("a response").0, 400);
    assert!(!connection.read_to_close().await.ends_with(b"0\r\n\r\n"));
    fixture.next_is_served_on_a_new_connection().await;
}

/// Bytes after a request whose response is the last on its connection are not processed, even if they form a
/// complete request.
#[tokio::test]
async fn request_after_the_last_response_does_not_run() {
    let fixture = Fixture::new(settings()).await;
    let mut client = fixture.client().await;
    let last = request_head_with("POST /once", "last", "Connection: close");
    client.write(last + &request_head("POST /once", "behind")).await;
    let mut connection = fixture.backend.accept().await;
    assert_eq!(connection.read_request().await.expect("a request").0, "last");
    connection.write(response(200, "", "last")).await;
    assert_eq!(client.read_answer().await, Some((200, "last".into())));
    assert_eq!(client.read_to_close().await, b"");
    // The next request on the keep-alive backend connection is that of another client.
    let mut other = fixture.client().await;
    other.write(request_head("POST /once", "other")).await;
    assert_eq!(connection.read_request().await.expect("a request").0, "other");
    connection.write(response(200, "", "other")).await;
    assert_eq!(other.read_answer().await, Some((200, "other".into())));
}

/// Pipelined requests get their own responses in order, also after a rejected request whose body looks like a
/// request.
#[tokio::test]
async fn requests_pipelined_after_a_rejection_get_own_answers() {
    let fixture = Fixture::new(settings()).await;
    let mut client = fixture.client().await;
    let hidden = request_head("POST /once", "hidden");
    let rejected =
        request_head_with("POST /unknown", "rejected", &format!("Content-Length: {}", hidden.len()))
            + &hidden;
    let pipelined = request_head("GET /look", "one")
        + &request_head("GET /look", "two")
        + &rejected
        + &request_head("POST /once", "three");
    client.write(pipelined).await;
    let mut connection = fixture.backend.accept().await;
    for id in ["one", "two"] {
        assert_eq!(connection.read_request().await.expect("a request").0, id);
        connection.write(response(200, "", id)).await;
        assert_eq!(client.read_answer().await, Some((200, id.into())));
    }
    let (head, _) = client.read_message().await.expect("a response");
    assert!(head.starts_with("http/1.1 404 "), "{head}");
    if header(&head, "connection") == Some("close") {
        assert_eq!(client.read_to_close().await, b"");
        return;
    }
    assert_eq!(connection.read_request().await.expect("a request").0, "three");
    connection.write(response(200, "", "three")).await;
    assert_eq!(client.read_answer().await, Some((200, "three".into())));
}
