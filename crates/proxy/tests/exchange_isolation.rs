//! What one exchange leaves behind on a kept connection, of either side, never reaches the next one: each request gets
//! its own answer, once, within its own time. Tests force the order with peers that they drive byte by byte.

mod support;

use serde_json::Value;
use support::*;
use tokio::io::AsyncWriteExt;

/// Bodies longer than 64 KiB are streamed through.
const STREAMED_BYTES: usize = 200_000;

/// A backend that the test drives, and a proxy that knows no other.
struct Fixture {
    backend: RawBackend,
    _discovery: Discovery,
    proxy: Proxy,
}

impl Fixture {
    async fn new(settings: Value) -> Self {
        let backend = RawBackend::start().await;
        let discovery = Discovery::start(vec![line("a", backend.addr, "SERVING")]).await;
        let proxy = Proxy::wait_until_applied(&discovery, settings).await;
        Fixture { backend, _discovery: discovery, proxy }
    }

    async fn client(&self) -> RawConnection {
        RawConnection::connect(self.proxy.addr).await
    }

    /// A connection to the backend that is kept after one exchange, whose response it gives too.
    async fn kept_connection(&self) -> (RawConnection, Vec<u8>) {
        let mut client = self.client().await;
        client.write(call("GET /look", "first")).await;
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
        client.write(call("POST /once", "next")).await;
        let mut connection = self.backend.accept().await;
        assert_eq!(connection.read_request().await.expect("a request").0, "next");
        connection.write(response(200, "", "next")).await;
        assert_eq!(client.read_answer().await, Some((200, "next".into())));
    }
}

/// A request with more headers.
fn call_with(line: &str, id: &str, headers: &str) -> String {
    call(line, id).replace("Host: o\r\n", &format!("Host: o\r\n{headers}\r\n"))
}

fn upload_head(id: &str, length: usize) -> String {
    call_with("POST /once", id, &format!("Content-Length: {length}"))
}

/// A copy of an earlier response comes while an upload is on its way: no backend has begun that request.
#[tokio::test]
async fn a_response_before_the_end_of_an_upload_does_not_serve_it() {
    let s = Fixture::new(settings()).await;
    // Given: a kept connection that carries the first half of an upload.
    let (mut connection, first) = s.kept_connection().await;
    let mut client = s.client().await;
    client.write(upload_head("upload", STREAMED_BYTES)).await;
    client.write("u".repeat(STREAMED_BYTES / 2)).await;
    assert!(connection.read_head().await.expect("a request").contains("req-id: upload"));
    // When: the response before comes once more, and then the rest of the upload.
    connection.write(first).await;
    let answer = client.read_answer().await.expect("an answer");
    // Then: that is not the answer, and the upload never runs.
    assert_ne!(answer.0, 200, "{answer:?} is that of another request");
    connection.read_to_close().await;
    s.next_is_served_on_a_new_connection().await;
}

/// The backend's answer to a request whose client has left, or whose time is up, is not the next request's.
#[tokio::test]
async fn the_response_behind_an_abandoned_request_answers_no_other() {
    for is_late in [false, true] {
        let s = Fixture::new(settings()).await;
        // Given: a request on a kept connection.
        let (mut connection, _) = s.kept_connection().await;
        let mut client = s.client().await;
        let text = call("POST /once", "abandoned");
        let deadline_ms = if is_late { "200" } else { "60000" };
        client.write(text.replace("60000", deadline_ms)).await;
        assert_eq!(connection.read_request().await.expect("a request").0, "abandoned");
        // When: it is abandoned, the backend answers all the same, and another request comes.
        if is_late {
            assert_ne!(client.read_answer().await.expect("an answer").0, 200);
        } else {
            drop(client);
        }
        assert_eq!(connection.read_to_close().await, b"", "nothing more is sent on it");
        // The proxy may have reset it.
        let _ = connection.stream.write_all(&response(200, "", "abandoned")).await;
        // Then: that gets its own answer.
        s.next_is_served_on_a_new_connection().await;
    }
}

/// What comes behind a response that ends its connection belongs to no request, be it a response or an interim one.
#[tokio::test]
async fn what_comes_behind_a_response_that_ends_its_connection_answers_no_other() {
    let interim = b"HTTP/1.1 103 X\r\n\r\n".to_vec();
    for rest in [response(200, "", "other"), response(500, "", ""), interim] {
        let s = Fixture::new(settings()).await;
        let mut client = s.client().await;
        client.write(call("POST /once", "last")).await;
        let mut connection = s.backend.accept().await;
        connection.read_request().await.expect("a request");
        connection.write([response(200, "Connection: close\r\n", "last"), rest].concat()).await;
        assert_eq!(client.read_answer().await, Some((200, "last".into())));
        s.next_is_served_on_a_new_connection().await;
    }
}

/// An interim response that is left over, before the next request or behind its first bytes, is no answer.
#[tokio::test]
async fn an_interim_response_that_is_left_over_answers_no_request() {
    const INTERIM: &str = "HTTP/1.1 103 X\r\nLink: </a>\r\n\r\n";
    let s = Fixture::new(settings()).await;
    // Given: a kept connection, on which an interim response comes behind the next request's bytes.
    let (mut connection, _) = s.kept_connection().await;
    let mut client = s.client().await;
    client.write(call("POST /once", "second")).await;
    assert_eq!(connection.read_request().await.expect("a request").0, "second");
    connection.write(INTERIM).await;
    connection.write(response(200, "", "second")).await;
    assert_eq!(client.read_answer().await, Some((200, "second".into())));
    // When: another comes while the connection rests.
    connection.write(INTERIM).await;
    assert_eq!(connection.read_to_close().await, b"");
    // Then: it ends that connection, and nothing else.
    s.next_is_served_on_a_new_connection().await;
}

/// The rest of a response that was longer than its length ends its connection, and answers nothing.
#[tokio::test]
async fn the_late_rest_of_a_response_longer_than_its_length_answers_no_other() {
    let s = Fixture::new(settings()).await;
    let (mut connection, _) = s.kept_connection().await;
    // It looks like a whole response.
    connection.write(response(200, "", "rest")).await;
    assert_eq!(connection.read_to_close().await, b"");
    s.next_is_served_on_a_new_connection().await;
}

/// A body that its client aborts is never complete at a backend, and its connection carries nothing more.
#[tokio::test]
async fn a_body_that_its_client_aborts_ends_its_connection_to_the_backend() {
    let s = Fixture::new(settings()).await;
    // Given: the first half of an upload in chunks on a kept connection.
    let (mut connection, _) = s.kept_connection().await;
    let mut client = s.client().await;
    let chunk = format!("{:x}\r\n{}\r\n", STREAMED_BYTES, "u".repeat(STREAMED_BYTES));
    client.write(call_with("POST /once", "aborted", "Transfer-Encoding: chunked") + &chunk).await;
    assert!(connection.read_head().await.expect("a request").contains("req-id: aborted"));
    // When: its client breaks it off.
    client.write("zz\r\n").await;
    // Then: the backend sees no end of it, and the next request goes elsewhere.
    assert_eq!(client.read_answer().await.expect("an answer").0, 400);
    assert!(!connection.read_to_close().await.ends_with(b"0\r\n\r\n"));
    s.next_is_served_on_a_new_connection().await;
}

/// Bytes behind a request whose answer is the last one on its connection are no request, however whole they look.
#[tokio::test]
async fn a_request_behind_an_answer_that_was_the_last_does_not_run() {
    let s = Fixture::new(settings()).await;
    let mut client = s.client().await;
    let last = call_with("POST /once", "last", "Connection: close");
    client.write(last + &call("POST /once", "behind")).await;
    let mut connection = s.backend.accept().await;
    assert_eq!(connection.read_request().await.expect("a request").0, "last");
    connection.write(response(200, "", "last")).await;
    assert_eq!(client.read_answer().await, Some((200, "last".into())));
    assert_eq!(client.read_to_close().await, b"");
    // The next request on the kept connection is another client's.
    let mut other = s.client().await;
    other.write(call("POST /once", "other")).await;
    assert_eq!(connection.read_request().await.expect("a request").0, "other");
    connection.write(response(200, "", "other")).await;
    assert_eq!(other.read_answer().await, Some((200, "other".into())));
}

/// What a client pipelines is answered in its order, each with its own answer, also behind one that is rejected with a
/// body that looks like a request.
#[tokio::test]
async fn pipelined_requests_behind_a_rejected_one_get_their_own_answers() {
    let s = Fixture::new(settings()).await;
    let mut client = s.client().await;
    let hidden = call("POST /once", "hidden");
    let rejected =
        call_with("POST /unknown", "rejected", &format!("Content-Length: {}", hidden.len())) + &hidden;
    let texts =
        call("GET /look", "one") + &call("GET /look", "two") + &rejected + &call("POST /once", "three");
    client.write(texts).await;
    let mut connection = s.backend.accept().await;
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
