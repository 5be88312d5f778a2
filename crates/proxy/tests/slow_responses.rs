//! Long responses that a backend writes slowly: they reach their client, and their first byte in its time.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep};

const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);
/// How much later than its time an answer's first byte may arrive.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(50);
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CLOSING_HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const LAST_CHUNK: &str = "0\r\n\r\n";
/// A body of two parts, of which the first alone would be buffered.
const PART_BYTES: usize = 60_000;

/// A piece of a response, and the pause before it.
struct Piece {
    pause: Duration,
    bytes: Vec<u8>,
}

fn piece(pause_ms: u64, bytes: impl Into<Vec<u8>>) -> Piece {
    Piece { pause: Duration::from_millis(pause_ms), bytes: bytes.into() }
}

fn chunk(length: usize) -> Vec<u8> {
    format!("{length:x}\r\n{}\r\n", "x".repeat(length)).into_bytes()
}

/// What a client receives.
struct Received {
    head: String,
    /// The time until the first byte.
    first_byte_after: Duration,
    /// All bytes behind the head until the end of the body or of the connection.
    body: Vec<u8>,
}

/// Sends one request to a backend that responds with the pieces and then closes its connection.
async fn request_with_response(class: &str, client_timeout: Duration, pieces: Vec<Piece>) -> Received {
    let backend = RawBackend::start().await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_smallest(&discovery, settings()).await;
    let respond = async {
        let mut connection = backend.accept().await;
        connection.read_head().await.expect("a request");
        for Piece { pause, bytes } in pieces {
            sleep(pause).await;
            // The proxy may have cut the response off, which the client's side shows.
            let _ = connection.stream.write_all(&bytes).await;
        }
    };
    let (received, ()) = tokio::join!(send_request(&proxy, class, client_timeout), respond);
    received
}

async fn send_request(proxy: &Proxy, class: &str, client_timeout: Duration) -> Received {
    let mut client = RawConnection::connect(proxy.addr).await;
    let method = if class == "look" { "GET" } else { "POST" };
    let milliseconds = client_timeout.as_millis();
    let head = format!(
        "{method} /{class} HTTP/1.1\r\nHost: o\r\nReq-Id: 0000000000000001\r\nReq-Owner: acme\r\n\
         Req-Deadline-Ms: {milliseconds}\r\n\r\n"
    );
    client.write(head).await;
    let sent_at = Instant::now();
    in_time(client.stream.readable()).await.expect("open");
    let first_byte_after = sent_at.elapsed();
    let head = client.read_head().await.expect("a head");
    let length = header(&head, "content-length").map(|length| length.parse().expect("a number"));
    let mut body = Vec::new();
    while !body.ends_with(LAST_CHUNK.as_bytes()) && length.is_none_or(|length: usize| body.len() < length) {
        let Some(bytes) = client.read_available().await else { break };
        body.extend(bytes);
    }
    Received { head, first_byte_after, body }
}

/// Checks that the whole body arrived, and its first byte in time.
fn expect_whole(received: &Received, client_timeout: Duration, body_bytes: usize) {
    assert!(received.head.starts_with("http/1.1 200"), "{}", received.head);
    assert!(
        received.first_byte_after <= client_timeout + ANSWER_TOLERANCE,
        "{:?}",
        received.first_byte_after
    );
    let count = received.body.iter().filter(|byte| **byte == b'x').count();
    assert_eq!(count, body_bytes);
    if received.head.contains("chunked") {
        assert!(received.body.ends_with(LAST_CHUNK.as_bytes()), "the end is missing");
    }
}

/// Guards against a sound response that is cut off because its backend pauses behind its head.
#[tokio::test]
async fn response_whose_body_comes_late_is_forwarded() {
    for class in ["once", "look"] {
        let pieces = vec![piece(50, CHUNKED_HEAD), piece(700, chunk(2 * PART_BYTES)), piece(0, LAST_CHUNK)];
        expect_whole(
            &request_with_response(class, CLIENT_TIMEOUT, pieces).await,
            CLIENT_TIMEOUT,
            2 * PART_BYTES,
        );
    }
}

/// Guards against a sound response that is cut off because its backend writes it in lumps.
#[tokio::test]
async fn response_in_lumps_is_forwarded() {
    let pieces = vec![
        piece(50, CHUNKED_HEAD),
        piece(0, chunk(PART_BYTES / 2)),
        piece(600, chunk(PART_BYTES / 2)),
        piece(1600, chunk(PART_BYTES)),
        piece(0, LAST_CHUNK),
    ];
    expect_whole(
        &request_with_response("once", CLIENT_TIMEOUT, pieces).await,
        CLIENT_TIMEOUT,
        2 * PART_BYTES,
    );
}

/// Guards against a response that is cut off at its client's time because its first 64 KiB take longer.
#[tokio::test]
async fn response_that_is_slower_than_its_deadline_is_forwarded() {
    const SHORT_TIMEOUT: Duration = Duration::from_millis(900);
    const PIECE_COUNT: usize = 100;
    const PIECE_BYTES: usize = 1024;
    let mut pieces = vec![piece(20, CHUNKED_HEAD)];
    pieces.extend((0..PIECE_COUNT).map(|_| piece(16, chunk(PIECE_BYTES))));
    pieces.push(piece(0, LAST_CHUNK));
    expect_whole(
        &request_with_response("once", SHORT_TIMEOUT, pieces).await,
        SHORT_TIMEOUT,
        PIECE_COUNT * PIECE_BYTES,
    );
}

/// Guards against a long response of which the first part is held back although its client has time.
#[tokio::test]
async fn first_part_of_a_long_response_is_not_held_back() {
    const LONG_TIMEOUT: Duration = Duration::from_secs(10);
    const MAX_HELD_BACK: Duration = Duration::from_secs(2);
    let pieces = vec![
        piece(0, CHUNKED_HEAD),
        piece(0, chunk(PART_BYTES)),
        piece(2500, chunk(PART_BYTES)),
        piece(0, LAST_CHUNK),
    ];
    let received = request_with_response("once", LONG_TIMEOUT, pieces).await;
    assert!(received.first_byte_after < MAX_HELD_BACK, "{:?}", received.first_byte_after);
    expect_whole(&received, LONG_TIMEOUT, 2 * PART_BYTES);
}

/// Guards against a response that is cut off although its backend has only begun it in its client's time.
#[tokio::test]
async fn response_whose_body_comes_after_the_deadline_is_forwarded() {
    let pieces = vec![piece(50, CHUNKED_HEAD), piece(2500, chunk(2 * PART_BYTES)), piece(0, LAST_CHUNK)];
    expect_whole(
        &request_with_response("once", CLIENT_TIMEOUT, pieces).await,
        CLIENT_TIMEOUT,
        2 * PART_BYTES,
    );
}

/// Guards against a response without a length that is cut off because its backend pauses.
#[tokio::test]
async fn response_that_ends_with_its_connection_is_forwarded() {
    let pieces = vec![
        piece(50, CLOSING_HEAD),
        piece(0, "x".repeat(PART_BYTES)),
        piece(700, "x".repeat(PART_BYTES)),
        piece(50, ""),
    ];
    expect_whole(
        &request_with_response("once", CLIENT_TIMEOUT, pieces).await,
        CLIENT_TIMEOUT,
        2 * PART_BYTES,
    );
}

/// Guards against an error whose long body delays the next attempt.
#[tokio::test]
async fn error_with_a_long_body_is_retried_without_waiting_for_it() {
    // Less than a body of an error may pause.
    const RETRY_TIME: Duration = Duration::from_millis(400);
    let attempts = AtomicUsize::default();
    let script = Arc::new(move |id: &str| {
        if attempts.fetch_add(1, SeqCst) > 0 {
            return vec![Step::Write(own_response(id))];
        }
        let head = format!("HTTP/1.1 500 X\r\nContent-Length: {}\r\n\r\nx", 2 * PART_BYTES);
        vec![Step::Write(head.into_bytes()), Step::Pause(TEST_TIMEOUT)]
    });
    let mut endpoints = Vec::new();
    for name in ["a", "b"] {
        let script = script.clone();
        let backend = ScriptedBackend::start(move |_, id| script(id)).await;
        endpoints.push(endpoint(name, backend.addr, "SERVING"));
    }
    let discovery = Discovery::start(endpoints).await;
    let proxy = Proxy::start_smallest(&discovery, settings()).await;
    let request = StrictRequest::new("look", CLIENT_TIMEOUT);
    let mut client = StrictClient::connect(&proxy).await;
    client.send(&request).await;
    let exchange = client.finish(RETRY_TIME).await;
    assert_eq!(exchange.ending, Ending::Answered { status: 200, body: request.id.into_bytes() });
}

/// Guards against a short response to a request that can't be repeated, cut off because its backend pauses.
#[tokio::test]
async fn short_response_to_a_request_that_cannot_be_repeated_is_waited_for() {
    const BODY_BYTES: usize = 30_000;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\nConnection: close\r\n\r\n");
    let pieces = vec![piece(50, head), piece(700, "x".repeat(BODY_BYTES))];
    let received = request_with_response("once", CLIENT_TIMEOUT, pieces).await;
    expect_whole(&received, CLIENT_TIMEOUT, BODY_BYTES);
}
