//! Tests of bodies of all sizes and of every HTTP/1.1 message framing through the proxy program.

mod support;

use http_body_util::{BodyExt, Full};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LARGE_BODY_BYTES: usize = 1 << 20;
/// The last chunk with a trailer field.
const LAST_CHUNK: &str = "0\r\nTrailer-Field: seen\r\n\r\n";

/// Returns bytes in a changing pattern, so that a missing or repeated part is detected.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n % 251) as u8).collect()
}

struct Fixture {
    script: Arc<BackendScript>,
    proxy: Proxy,
    _discovery: Discovery,
}

async fn fixture() -> Fixture {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    Fixture { script, proxy, _discovery: discovery }
}

/// Returns the head of an upload with further headers.
fn upload_head(id: &str, headers: &str) -> Vec<u8> {
    let head = "POST /once HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n";
    format!("{head}Req-Id: {id}\r\n{headers}\r\n\r\n").into_bytes()
}

/// Returns the data in chunks, with chunk extensions and a trailer field.
fn chunked_body(data: &[u8], size: usize) -> Vec<u8> {
    let mut body = Vec::new();
    for (n, chunk) in data.chunks(size).enumerate() {
        // hyper accepts at most 16 KiB of chunk extensions in a message.
        let extension = if n < 100 { ";name=\"value\"" } else { "" };
        body.extend(format!("{:X}{extension}\r\n", chunk.len()).bytes());
        body.extend(chunk);
        body.extend(b"\r\n");
    }
    body.extend(LAST_CHUNK.bytes());
    body
}

/// Returns the data in chunks, with a malformed chunk size in place of the last chunk.
fn body_with_malformed_chunk(data: &[u8]) -> Vec<u8> {
    let mut body = chunked_body(data, 50_000);
    body.truncate(body.len() - LAST_CHUNK.len());
    body.extend(b"zz\r\n");
    body
}

/// Reads a response and returns its status, or `None` if the connection ends first. Responses with status 200
/// must have a body of one byte.
async fn read_status(stream: &mut TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    while !answer.ends_with(b"\r\n\r\n") {
        answer.push(in_time(stream.read_u8()).await.ok()?);
    }
    let status = String::from_utf8_lossy(&answer).split(' ').nth(1)?.parse().ok()?;
    if status == 200 {
        in_time(stream.read_u8()).await.ok()?;
    }
    Some(status)
}

#[tokio::test]
async fn uploads_of_every_framing_arrive_unchanged() {
    let fixture = fixture().await;
    let (small, large) = (pattern(5000), pattern(LARGE_BODY_BYTES));
    let length = |data: &[u8]| format!("Content-Length: {}", data.len());
    let chunked = "Transfer-Encoding: chunked";
    let forms = [
        (length(&large), large.clone(), &large),
        (chunked.to_string(), chunked_body(&large, 7000), &large),
        (chunked.to_string(), chunked_body(&small, 1), &small),
        (format!("{chunked}\r\nExpect: 100-continue"), chunked_body(&large, 100_000), &large),
    ];
    let mut stream = TcpStream::connect(fixture.proxy.addr).await.expect("connect");
    for (n, (headers, bytes, body)) in forms.into_iter().enumerate() {
        stream.write_all(&upload_head(&n.to_string(), &headers)).await.expect("write");
        if headers.contains("Expect") {
            assert_eq!(read_status(&mut stream).await, Some(100));
        }
        stream.write_all(&bytes).await.expect("write");
        assert_eq!(read_status(&mut stream).await, Some(200), "{headers}");
        fixture.script.wait_for_requests(n + 1).await;
        assert!(fixture.script.seen.borrow()[n].2 == body, "{headers}: the body differs");
    }
}

#[tokio::test]
async fn only_a_buffered_upload_is_retried() {
    let fixture = fixture().await;
    fixture.script.enqueue([BackendBehavior::Decline(503)]);
    let call = request("once").body(Full::from(pattern(LARGE_BODY_BYTES))).expect("a valid request");
    assert_eq!(
        fixture.proxy.client().await.send(call).await.0,
        503,
        "it never ran, so that its client may retry"
    );
    assert_eq!(fixture.script.seen.borrow().len(), 1);
    // A buffered body is sent to the other backend.
    fixture.script.enqueue([BackendBehavior::Decline(503)]);
    let call = request("once").body(Full::from(pattern(64 * 1024))).expect("a valid request");
    assert_eq!(fixture.proxy.client().await.send(call).await.0, 200);
    assert_eq!(fixture.script.seen.borrow().len(), 3);
}

#[tokio::test]
async fn unsent_upload_is_retried_on_another_backend() {
    let script = Arc::new(BackendScript::default());
    let b = Backend::start("b", &script).await;
    let (_held, refusing_addr) = bound_socket_without_listener();
    let discovery =
        Discovery::start(vec![endpoint("a", refusing_addr, "SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    for n in 1..=8 {
        let call = request("once").body(Full::from(pattern(LARGE_BODY_BYTES))).expect("a valid request");
        assert_eq!(proxy.client().await.send(call).await, (200, "b".into()));
        assert_eq!(script.seen.borrow().len(), n);
        // The backend closes the keep-alive connection: the next upload must not lose bytes on it.
        b.close_idle_connections().await;
    }
}

#[tokio::test]
async fn malformed_upload_never_completes_at_a_backend() {
    let fixture = fixture().await;
    let chunked = "Transfer-Encoding: chunked";
    let broken = body_with_malformed_chunk(&pattern(LARGE_BODY_BYTES));
    let short = b"4\r\ngood\r\nzz\r\n".to_vec();
    for (n, bytes) in [broken, short].into_iter().enumerate() {
        let mut stream = TcpStream::connect(fixture.proxy.addr).await.expect("connect");
        stream.write_all(&upload_head(&n.to_string(), chunked)).await.expect("write");
        // The proxy may reject it before it is written completely.
        let _ = stream.write_all(&bytes).await;
        let status = read_status(&mut stream).await;
        assert!(status.is_none_or(|s| s == 400), "{status:?}");
    }
    // An upload that stalls half-way is rejected, and one whose client disconnects is dropped.
    let mut stalling = TcpStream::connect(fixture.proxy.addr).await.expect("connect");
    stalling.write_all(&upload_head("stops", "Content-Length: 1000000")).await.expect("write");
    stalling.write_all(&pattern(100_000)).await.expect("write");
    let mut leaving = TcpStream::connect(fixture.proxy.addr).await.expect("connect");
    leaving.write_all(&upload_head("leaves", "Content-Length: 1000000")).await.expect("write");
    leaving.write_all(&pattern(100_000)).await.expect("write");
    drop(leaving);
    assert_eq!(read_status(&mut stalling).await, Some(408));
    assert_eq!(fixture.script.seen.borrow().len(), 0);
    assert_eq!(fixture.proxy.call("once").await.0, 200);
}

/// Starts a backend that responds to its n-th request with the n-th bytes, and then closes the connection if
/// the flag is set. Returns its address and the number of bytes that it has written.
async fn start_answering_backend(answers: Vec<(Vec<u8>, bool)>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let addr = listener.local_addr().expect("a local address");
    let (written, count) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (counts, answers) = (written.clone(), Arc::new(answers));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let (written, count, answers) = (counts.clone(), count.clone(), answers.clone());
            tokio::spawn(async move {
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
                    if !seen.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    seen.clear();
                    let (bytes, close) = &answers[count.fetch_add(1, SeqCst) % answers.len()];
                    for piece in bytes.chunks(16 * 1024) {
                        if stream.write_all(piece).await.is_err() {
                            return;
                        }
                        written.fetch_add(piece.len(), SeqCst);
                    }
                    if *close {
                        return;
                    }
                }
            });
        }
    });
    (addr, written)
}

/// Starts a proxy with one backend.
async fn proxy_for(addr: SocketAddr) -> (Proxy, Discovery) {
    let discovery = Discovery::start(vec![endpoint("a", addr, "SERVING")]).await;
    (Proxy::start_with_list_applied(&discovery, settings()).await, discovery)
}

/// Sends a request and returns the status and the body of the response.
async fn fetch(proxy: &Proxy) -> Result<(u16, Vec<u8>), hyper::Error> {
    let call = request("look").body(Full::default()).expect("a valid request");
    let mut client = connect(proxy.addr).await;
    let answer = in_time(client.send_request(call)).await?;
    let status = answer.status().as_u16();
    Ok((status, in_time(answer.into_body().collect()).await?.to_bytes().to_vec()))
}

#[tokio::test]
async fn responses_of_every_framing_arrive_unchanged() {
    let (small, large) = (pattern(5000), pattern(LARGE_BODY_BYTES));
    let ok = |headers: &str, bytes: &[u8]| {
        [format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes(), bytes].concat()
    };
    let chunked = "Transfer-Encoding: chunked\r\n";
    let mut forms = Vec::new();
    for body in [&small, &large] {
        let length = format!("Content-Length: {}\r\n", body.len());
        let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".to_vec();
        forms.push((ok(&length, body), false, body));
        forms.push((ok(chunked, &chunked_body(body, 900)), false, body));
        forms.push(([interim, ok(chunked, &chunked_body(body, body.len()))].concat(), false, body));
        forms.push((ok(&format!("Connection: close\r\n{length}"), body), true, body));
        forms.push((ok("Connection: close\r\n", body), true, body));
        forms.push((ok("", body), true, body));
    }
    forms.push((ok(chunked, &chunked_body(&small, 1)), false, &small));
    let answers = forms.iter().map(|(bytes, close, _)| (bytes.clone(), *close)).collect();
    let (addr, _) = start_answering_backend(answers).await;
    let (proxy, _discovery) = proxy_for(addr).await;
    for (n, (_, _, body)) in forms.iter().enumerate() {
        let (status, received) = fetch(&proxy).await.expect("a complete response");
        assert!(status == 200 && received == **body, "form {n}: {status}, {} bytes", received.len());
    }
}

#[tokio::test]
async fn truncated_response_is_never_passed_on_as_complete() {
    let large = pattern(LARGE_BODY_BYTES);
    let truncated = |headers: &str, bytes: &[u8], close| {
        ([format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes(), bytes].concat(), close)
    };
    let mut chunks = chunked_body(&large, 50_000);
    chunks.truncate(LARGE_BODY_BYTES / 2);
    let (length, chunked) =
        (format!("Content-Length: {LARGE_BODY_BYTES}\r\n"), "Transfer-Encoding: chunked\r\n");
    let broken = body_with_malformed_chunk(&large[..LARGE_BODY_BYTES / 2]);
    let answers = vec![
        truncated(&length, &large[..LARGE_BODY_BYTES / 2], true),
        truncated(chunked, &chunks, true),
        truncated(chunked, &broken, false),
        // Longer than its `Content-Length`: the end of the body would be missing.
        truncated(&format!("Content-Length: {}\r\n", LARGE_BODY_BYTES - 9), &large, false),
    ];
    let count = answers.len();
    let (addr, _) = start_answering_backend(answers).await;
    let (proxy, _discovery) = proxy_for(addr).await;
    for n in 0..count {
        assert!(fetch(&proxy).await.is_err(), "response {n} looks complete");
    }
}

/// Clients that don't read their responses apply backpressure to the backend: the proxy buffers little for
/// each.
#[tokio::test]
async fn unread_responses_take_little_memory() {
    const LONG_BODY_BYTES: usize = 32 << 20;
    const CLIENTS: usize = 20;
    let bytes = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n").into_bytes(),
        pattern(LONG_BODY_BYTES),
    ];
    let (addr, written) = start_answering_backend(vec![(bytes.concat(), false)]).await;
    let (proxy, _discovery) = proxy_for(addr).await;
    // Given: clients that read only the heads of long responses.
    let mut answers = Vec::new();
    for _ in 0..CLIENTS {
        let call = request("look").body(Full::<bytes::Bytes>::default()).expect("a valid request");
        let mut client = connect(proxy.addr).await;
        answers.push((in_time(client.send_request(call)).await.expect("a response"), client));
    }
    // When: the proxy reads nothing more from the backend.
    let mut before = 0;
    while before != written.load(SeqCst) || before == 0 {
        before = written.load(SeqCst);
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    // Then: it has buffered little.
    assert!(before < CLIENTS * LONG_BODY_BYTES, "the proxy read all responses though no client reads");
    assert!(proxy.resident_mb() < 24, "{} MB for {CLIENTS} responses", proxy.resident_mb());
    // A client that resumes reading gets its complete response.
    let (answer, _client) = answers.swap_remove(0);
    assert_eq!(
        in_time(answer.into_body().collect()).await.expect("a complete body").to_bytes().len(),
        LONG_BODY_BYTES
    );
}

/// The proxy keeps reading the upload of a rejected client, however long that takes, so that the client gets
/// its response instead of a reset.
#[tokio::test]
async fn rejected_upload_is_read_to_its_end() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut settings = settings();
    settings["caps"]["openCap"] = 1.into();
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    // Given: the one request that may be in flight.
    let release = Arc::new(tokio::sync::Notify::new());
    script.enqueue([BackendBehavior::Hold(release.clone())]);
    let mut client = proxy.client().await;
    let held_call = tokio::spawn(async move { client.call("once").await });
    script.wait_for_requests(1).await;
    // When: an upload arrives slowly after it was rejected.
    let mut stream = TcpStream::connect(proxy.addr).await.expect("connect");
    stream.write_all(&upload_head("slow", "Content-Length: 1000000")).await.expect("write");
    for _ in 0..10 {
        stream.write_all(&pattern(100_000)).await.expect("the proxy reads on");
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }
    // Then: its client gets the response, and the request in flight is served.
    assert_eq!(read_status(&mut stream).await, Some(503));
    release.notify_one();
    assert_eq!(held_call.await.expect("no panic").0, 200);
}
