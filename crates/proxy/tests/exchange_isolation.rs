//! What one exchange leaves behind on a kept connection, of either side, never reaches the next one: each request gets
//! its own answer, once, within its own time. Tests force the order with peers that they drive byte by byte.

mod support;

use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep_until, timeout};

/// Bodies longer than 64 KiB are streamed through.
const STREAMED_BYTES: usize = 200_000;
/// More than all that the system holds of a body that nobody reads.
const LARGE_BODY_BYTES: usize = 30_000_000;
/// So many bytes the proxy reads at once where it expects a head.
const READ_BYTES: usize = 4096;
/// So many requests at once are surely let through by a limit that has learned nothing yet.
const CONCURRENT_REQUESTS: usize = 7;
/// Bad peers are owed an error or a close within this.
const BAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// A backend that the test drives, and a proxy that knows no other.
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

    /// A connection to the backend that is kept after one exchange, whose response it gives too.
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

    /// A request on a new connection of the proxy to its backend, and of a client to the proxy, gets its own answer.
    async fn next_is_served_on_a_new_connection(&self) {
        let mut client = self.client().await;
        client.write(request_head("POST /once", "next")).await;
        let mut connection = self.backend.accept().await;
        assert_eq!(connection.read_request().await.expect("a request").0, "next");
        connection.write(response(200, "", "next")).await;
        assert_eq!(client.read_answer().await, Some((200, "next".into())));
    }

    /// A request in chunks behind an answer is served on its client's connection, unless that answer ended it.
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

/// A request with more headers.
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

/// A copy of an earlier response comes while an upload is on its way: no backend has begun that request.
#[tokio::test]
async fn response_copy_during_an_upload_does_not_answer_it() {
    let fixture = Fixture::new(settings()).await;
    // Given: a kept connection that carries the first half of an upload.
    let (mut connection, first) = fixture.kept_connection().await;
    let mut client = fixture.client().await;
    client.write(upload_head("upload", STREAMED_BYTES)).await;
    client.write("u".repeat(STREAMED_BYTES / 2)).await;
    assert!(connection.read_head().await.expect("a request").contains("req-id: upload"));
    // When: the response before comes once more, and then the rest of the upload.
    connection.write(first).await;
    let answer = client.read_answer().await.expect("an answer");
    // Then: that is not the answer, and the upload never runs.
    assert_ne!(answer.0, 200, "{answer:?} is that of another request");
    connection.read_to_close().await;
    fixture.next_is_served_on_a_new_connection().await;
}

/// What is left of an upload that was answered early is no part of the next head.
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
    let (answer, _) = client.read_message().await.expect("an answer");
    assert!(answer.starts_with("http/1.1 502 "), "{answer}");
    // When: its client sends the rest.
    client.write("u".repeat(STREAMED_BYTES - STREAMED_BYTES / 2)).await;
    // Then: what it sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// The same where the rest comes in chunks: only the HTTP library sees where it ends.
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
    let (answer, _) = client.read_message().await.expect("an answer");
    assert!(answer.starts_with("http/1.1 502 "), "{answer}");
    // When: its client sends the rest.
    client.write(chunk + "0\r\n\r\n").await;
    // Then: what it sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// A head with a length beside its coding is rejected, also where what was left of the body before it looks like a head
/// in order.
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
    assert_eq!(client.read_answer().await.expect("an answer").0, 502);
    // When: its rest looks like a request in order, and the one behind it is none.
    client.write(rest + &next_head + "0\r\n\r\n").await;
    // Then: that one is rejected.
    assert_eq!(client.read_answer().await.expect("an answer").0, 400);
}

/// An upload that is rejected before any backend had some of it is read to its end: it would hold its connection for
/// ever.
#[tokio::test]
async fn request_after_a_rejected_upload_is_served() {
    let mut settings = settings();
    settings["caps"]["openCap"] = 1.into();
    let fixture = Fixture::new(settings).await;
    // Given: the one request that may be open.
    let mut open_client = fixture.client().await;
    open_client.write(request_head("GET /look", "open")).await;
    let mut connection = fixture.backend.accept().await;
    connection.read_request().await.expect("a request");
    // When: an upload is rejected while it is written, and that one is answered.
    let mut client = fixture.client().await;
    client.write(upload_head("upload", LARGE_BODY_BYTES)).await;
    client.write("u".repeat(LARGE_BODY_BYTES)).await;
    let (answer, _) = client.read_message().await.expect("an answer");
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    connection.write(response(200, "", "open")).await;
    assert_eq!(open_client.read_answer().await, Some((200, "open".into())));
    // The proxy has seen the end of the backend's connection: a request that crosses it may have run.
    connection.stream.shutdown().await.expect("open");
    assert_eq!(connection.read_to_close().await, b"");
    // Then: what its client sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// The same where it waited for a backend in vain.
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
    assert_eq!(client.read_answer().await.expect("an answer").0, 503);
}

/// The same in chunks, behind which its connection ends: its client is to see the answer all the same.
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
    let (answer, _) = client.read_message().await.expect("an answer");
    assert!(answer.starts_with("http/1.1 503 "), "{answer}");
    assert_eq!(header(&answer, "connection"), Some("close"));
    assert_eq!(client.read_to_close().await, b"");
}

/// The body of a request that was rejected by its head, read behind that answer, is no part of the next head.
#[tokio::test]
async fn request_after_a_discarded_body_is_served() {
    let fixture = Fixture::new(settings()).await;
    // Given: a request that is rejected by its head, before all of its body is read.
    let mut client = fixture.client().await;
    let head = request_head_with("POST /unknown", "rejected", &format!("Content-Length: {READ_BYTES}"));
    client.write(head + &"{".repeat(READ_BYTES)).await;
    let (answer, _) = client.read_message().await.expect("an answer");
    assert!(answer.starts_with("http/1.1 404 "), "{answer}");
    // When: its body has been passed over.
    wait_until_read(&fixture.proxy, &client).await;
    // Then: what its client sends next is served.
    fixture.next_is_served_unless_closed(&mut client, &answer).await;
}

/// Where places are short a client that rests gives way, unless it has just asked: its request may have been read in
/// one, and be taken piece by piece.
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
    // Given: resting clients on all places.
    let mut idle = Vec::new();
    for n in 0..DESCRIPTORS / 4 {
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(request_head("GET /look", &n.to_string())).await;
        assert_eq!(client.read_answer().await, Some((200, "a".into())));
        idle.push(client);
    }
    let served = script.requests_at("a");
    // When: as many others connect as those write that have rested longest, in one turn of the proxy.
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
    // Then: each of their requests is served, once.
    for (n, client) in late.iter_mut().enumerate() {
        assert_eq!(client.read_answer().await, Some((200, "a".into())), "{n}");
    }
    assert_eq!(script.requests_at("a"), served + CONCURRENT_REQUESTS);
}

/// What was read in one is taken request by request: a connection that is to give way meanwhile ends with an answer that
/// says so.
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
    // Given: resting clients on all places.
    let mut idle = Vec::new();
    for _ in 0..DESCRIPTORS / 4 {
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(HEALTH_CHECK).await;
        client.read_answer().await.expect("an answer");
        idle.push(client);
    }
    // When: as many others connect as those write that have rested longest, in one turn of the proxy.
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
    // Then: each of them has all its answers, or one that says that there will be no more.
    for (n, client) in late.iter_mut().enumerate() {
        let mut answers = Vec::new();
        while let Some((head, _)) = client.read_message().await {
            answers.push(head);
        }
        let is_last = answers.last().is_some_and(|head| header(head, "connection") == Some("close"));
        assert!(is_last || answers.len() == PIPELINED, "client {n}: {} answers", answers.len());
    }
}

/// A connection rests from the end of its streamed response, however long the client takes for that: the
/// backend closes it by its own clock, and what is written to it from then on may have run.
#[tokio::test]
async fn idle_time_starts_at_the_end_of_a_streamed_response() {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
    const MAX_WRITE_TIME: Duration = Duration::from_millis(20);
    const SIZES: usize = 48;
    const SIZE_STEP_BYTES: usize = 8 * 1024;
    let mut settings = settings();
    settings["caps"]["connIdle"] = (IDLE_TIMEOUT.as_millis() as u64).into();
    let fixture = Fixture::new(settings).await;
    // Given: clients that read nothing of ever shorter responses, until the proxy has passed on all of one. Most of the
    // others the backend has written to their ends.
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
    assert!(!exchanges.is_empty(), "no response has ended before its client took it");
    // When: they read on shortly before the backend's time for a rest is over.
    sleep_until(last_ended_at + IDLE_TIMEOUT * 9 / 10).await;
    let mut idle = Vec::new();
    for (mut client, connection, _) in exchanges {
        client.read_message().await.expect("an answer");
        idle.push(connection);
    }
    sleep_until(last_ended_at + IDLE_TIMEOUT).await;
    // Then: the next request comes on none of these connections.
    let mut client = fixture.client().await;
    client.write(request_head("POST /once", "next")).await;
    let mut connection = fixture.backend.accept().await;
    assert_eq!(connection.read_request().await.expect("a request").0, "next");
}

/// Half a head that comes together with the request before it has the time of a head, and not that of a rest.
#[tokio::test]
async fn incomplete_head_behind_a_request_times_out() {
    let fixture = Fixture::new(settings()).await;
    let mut client = fixture.client().await;
    let started_at = Instant::now();
    client.write("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\nGET /look HTTP/1.1\r\nHost:").await;
    assert_eq!(client.read_answer().await.expect("an answer").0, 200);
    client.read_to_close().await;
    assert!(started_at.elapsed() < BAD_PEER_TIMEOUT, "{:?}", started_at.elapsed());
}

/// The backend's answer to a request whose client has left, or whose time is up, is not the next request's.
#[tokio::test]
async fn response_to_an_abandoned_request_answers_no_other() {
    for is_timeout in [false, true] {
        let fixture = Fixture::new(settings()).await;
        // Given: a request on a kept connection.
        let (mut connection, _) = fixture.kept_connection().await;
        let mut client = fixture.client().await;
        let text = request_head("POST /once", "abandoned");
        let deadline_ms = if is_timeout { "200" } else { "60000" };
        client.write(text.replace("60000", deadline_ms)).await;
        assert_eq!(connection.read_request().await.expect("a request").0, "abandoned");
        // When: it is abandoned, the backend answers all the same, and another request comes.
        if is_timeout {
            assert_ne!(client.read_answer().await.expect("an answer").0, 200);
        } else {
            drop(client);
        }
        assert_eq!(connection.read_to_close().await, b"", "nothing more is sent on it");
        // The proxy may have reset it.
        let _ = connection.stream.write_all(&response(200, "", "abandoned")).await;
        // Then: that gets its own answer.
        fixture.next_is_served_on_a_new_connection().await;
    }
}

/// What comes behind a response that ends its connection belongs to no request, be it a response or an interim one.
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

/// An interim response that is left over, before the next request or behind its first bytes, is no answer.
#[tokio::test]
async fn leftover_interim_response_answers_no_request() {
    const INTERIM: &str = "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n";
    let fixture = Fixture::new(settings()).await;
    // Given: a kept connection, on which an interim response comes behind the next request's bytes.
    let (mut connection, _) = fixture.kept_connection().await;
    let mut client = fixture.client().await;
    client.write(request_head("POST /once", "second")).await;
    assert_eq!(connection.read_request().await.expect("a request").0, "second");
    connection.write(INTERIM).await;
    connection.write(response(200, "", "second")).await;
    assert_eq!(client.read_answer().await, Some((200, "second".into())));
    // When: another comes while the connection rests.
    connection.write(INTERIM).await;
    assert_eq!(connection.read_to_close().await, b"");
    // Then: it ends that connection, and nothing else.
    fixture.next_is_served_on_a_new_connection().await;
}

/// The rest of a response that was longer than its length ends its connection, and answers nothing.
#[tokio::test]
async fn excess_response_bytes_answer_no_request() {
    let fixture = Fixture::new(settings()).await;
    let (mut connection, _) = fixture.kept_connection().await;
    // It looks like a whole response.
    connection.write(response(200, "", "rest")).await;
    assert_eq!(connection.read_to_close().await, b"");
    fixture.next_is_served_on_a_new_connection().await;
}

/// A body that its client aborts is never complete at a backend, and its connection carries nothing more.
#[tokio::test]
async fn aborted_upload_closes_its_backend_connection() {
    let fixture = Fixture::new(settings()).await;
    // Given: the first half of an upload in chunks on a kept connection.
    let (mut connection, _) = fixture.kept_connection().await;
    let mut client = fixture.client().await;
    let chunk = format!("{:x}\r\n{}\r\n", STREAMED_BYTES, "u".repeat(STREAMED_BYTES));
    client.write(request_head_with("POST /once", "aborted", "Transfer-Encoding: chunked") + &chunk).await;
    assert!(connection.read_head().await.expect("a request").contains("req-id: aborted"));
    // When: its client breaks it off.
    client.write("zz\r\n").await;
    // Then: the backend sees no end of it, and the next request goes elsewhere.
    assert_eq!(client.read_answer().await.expect("an answer").0, 400);
    assert!(!connection.read_to_close().await.ends_with(b"0\r\n\r\n"));
    fixture.next_is_served_on_a_new_connection().await;
}

/// Bytes behind a request whose answer is the last one on its connection are no request, however whole they look.
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
    // The next request on the kept connection is another client's.
    let mut other = fixture.client().await;
    other.write(request_head("POST /once", "other")).await;
    assert_eq!(connection.read_request().await.expect("a request").0, "other");
    connection.write(response(200, "", "other")).await;
    assert_eq!(other.read_answer().await, Some((200, "other".into())));
}

/// What a client pipelines is answered in its order, each with its own answer, also behind one that is rejected with a
/// body that looks like a request.
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
    let (head, _) = client.read_message().await.expect("an answer");
    assert!(head.starts_with("http/1.1 404 "), "{head}");
    if header(&head, "connection") == Some("close") {
        assert_eq!(client.read_to_close().await, b"");
        return;
    }
    assert_eq!(connection.read_request().await.expect("a request").0, "three");
    connection.write(response(200, "", "three")).await;
    assert_eq!(client.read_answer().await, Some((200, "three".into())));
}
