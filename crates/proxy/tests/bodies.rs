//! Bodies of any size through the started program, in every form that HTTP/1.1 has for them.

mod support;

use http_body_util::{BodyExt, Full};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LARGE: usize = 1 << 20;
const LAST: &str = "0\r\nTrailer-Field: seen\r\n\r\n";

/// Bytes that differ along the way, so that none can be left out or doubled unseen.
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

fn head(id: &str, more: &str) -> Vec<u8> {
    let head = "POST /once HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 60000\r\n";
    format!("{head}Req-Id: {id}\r\n{more}\r\n\r\n").into_bytes()
}

fn chunked(data: &[u8], size: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for (n, chunk) in data.chunks(size).enumerate() {
        // The HTTP library takes 16 KiB of extensions in a message.
        let extension = if n < 100 { ";name=\"value\"" } else { "" };
        text.extend(format!("{:X}{extension}\r\n", chunk.len()).bytes());
        text.extend(chunk);
        text.extend(b"\r\n");
    }
    text.extend(LAST.bytes());
    text
}

/// Chunks of which the last is none.
fn broken_chunk(data: &[u8]) -> Vec<u8> {
    let mut text = chunked(data, 50_000);
    text.truncate(text.len() - LAST.len());
    text.extend(b"zz\r\n");
    text
}

/// Reads an answer and tells its status; nothing if the connection ends before. Served ones have a body of one byte.
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
    let s = fixture().await;
    let (small, large) = (pattern(5000), pattern(LARGE));
    let length = |data: &[u8]| format!("Content-Length: {}", data.len());
    let te = "Transfer-Encoding: chunked";
    let forms = [
        (length(&large), large.clone(), &large),
        (te.to_string(), chunked(&large, 7000), &large),
        (te.to_string(), chunked(&small, 1), &small),
        (format!("{te}\r\nExpect: 100-continue"), chunked(&large, 100_000), &large),
    ];
    let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    for (n, (more, bytes, body)) in forms.into_iter().enumerate() {
        stream.write_all(&head(&n.to_string(), &more)).await.expect("taken");
        if more.contains("Expect") {
            assert_eq!(read_status(&mut stream).await, Some(100));
        }
        stream.write_all(&bytes).await.expect("taken");
        assert_eq!(read_status(&mut stream).await, Some(200), "{more}");
        s.script.wait_for_requests(n + 1).await;
        assert!(s.script.seen.borrow()[n].2 == body, "{more}: not as it was sent");
    }
}

#[tokio::test]
async fn only_a_buffered_upload_is_retried() {
    let s = fixture().await;
    s.script.enqueue([BackendBehavior::Decline(503)]);
    let call = request("once").body(Full::from(pattern(LARGE))).expect("well formed");
    assert_eq!(s.proxy.client().await.send(call).await.0, 503, "it never ran: its caller may come again");
    assert_eq!(s.script.seen.borrow().len(), 1);
    // The same of a body that is kept goes to the other.
    s.script.enqueue([BackendBehavior::Decline(503)]);
    let call = request("once").body(Full::from(pattern(64 * 1024))).expect("well formed");
    assert_eq!(s.proxy.client().await.send(call).await.0, 200);
    assert_eq!(s.script.seen.borrow().len(), 3);
}

#[tokio::test]
async fn unsent_upload_is_retried_on_another_backend() {
    let script = Arc::new(BackendScript::default());
    let b = Backend::start("b", &script).await;
    let (_held, nobody) = bound_socket_without_listener();
    let discovery = Discovery::start(vec![endpoint("a", nobody, "SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    for n in 1..=8 {
        let call = request("once").body(Full::from(pattern(LARGE))).expect("well formed");
        assert_eq!(proxy.client().await.send(call).await, (200, "b".into()));
        assert_eq!(script.seen.borrow().len(), n);
        // A kept connection that was closed meanwhile takes nothing of the next one away.
        b.close_idle_connections().await;
    }
}

#[tokio::test]
async fn malformed_upload_never_completes_at_a_backend() {
    let s = fixture().await;
    let te = "Transfer-Encoding: chunked";
    let broken = broken_chunk(&pattern(LARGE));
    let short = b"4\r\ngood\r\nzz\r\n".to_vec();
    for (n, bytes) in [broken, short].into_iter().enumerate() {
        let mut stream = TcpStream::connect(s.proxy.addr).await.expect("it listens");
        stream.write_all(&head(&n.to_string(), te)).await.expect("taken");
        // It may be rejected before it is written.
        let _ = stream.write_all(&bytes).await;
        let status = read_status(&mut stream).await;
        assert!(status.is_none_or(|s| s == 400), "{status:?}");
    }
    // One that stops half-way is told so, and one whose client leaves is forgotten.
    let mut stops = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    stops.write_all(&head("stops", "Content-Length: 1000000")).await.expect("taken");
    stops.write_all(&pattern(100_000)).await.expect("taken");
    let mut leaves = TcpStream::connect(s.proxy.addr).await.expect("it listens");
    leaves.write_all(&head("leaves", "Content-Length: 1000000")).await.expect("taken");
    leaves.write_all(&pattern(100_000)).await.expect("taken");
    drop(leaves);
    assert_eq!(read_status(&mut stops).await, Some(408));
    assert_eq!(s.script.seen.borrow().len(), 0);
    assert_eq!(s.proxy.call("once").await.0, 200);
}

/// A backend that answers its n-th connection with the n-th bytes, and closes it where that is told.
async fn answering(answers: Vec<(Vec<u8>, bool)>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (written, count) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let (counts, answers) = (written.clone(), Arc::new(answers));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
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

async fn before(addr: SocketAddr) -> (Proxy, Discovery) {
    let discovery = Discovery::start(vec![endpoint("a", addr, "SERVING")]).await;
    (Proxy::start_with_list_applied(&discovery, settings()).await, discovery)
}

async fn fetch(proxy: &Proxy) -> Result<(u16, Vec<u8>), hyper::Error> {
    let call = request("look").body(Full::default()).expect("well formed");
    let mut client = connect(proxy.addr).await;
    let answer = in_time(client.send_request(call)).await?;
    let status = answer.status().as_u16();
    Ok((status, in_time(answer.into_body().collect()).await?.to_bytes().to_vec()))
}

#[tokio::test]
async fn responses_of_every_framing_arrive_unchanged() {
    let (small, large) = (pattern(5000), pattern(LARGE));
    let ok = |headers: &str, bytes: &[u8]| {
        [format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes(), bytes].concat()
    };
    let te = "Transfer-Encoding: chunked\r\n";
    let mut forms = Vec::new();
    for body in [&small, &large] {
        let length = format!("Content-Length: {}\r\n", body.len());
        let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".to_vec();
        forms.push((ok(&length, body), false, body));
        forms.push((ok(te, &chunked(body, 900)), false, body));
        forms.push(([interim, ok(te, &chunked(body, body.len()))].concat(), false, body));
        forms.push((ok(&format!("Connection: close\r\n{length}"), body), true, body));
        forms.push((ok("Connection: close\r\n", body), true, body));
        forms.push((ok("", body), true, body));
    }
    forms.push((ok(te, &chunked(&small, 1)), false, &small));
    let answers = forms.iter().map(|(bytes, close, _)| (bytes.clone(), *close)).collect();
    let (addr, _) = answering(answers).await;
    let (proxy, _discovery) = before(addr).await;
    for (n, (_, _, body)) in forms.iter().enumerate() {
        let (status, got) = fetch(&proxy).await.expect("a whole answer");
        assert!(status == 200 && got == **body, "form {n}: {status}, {} bytes", got.len());
    }
}

#[tokio::test]
async fn truncated_response_is_never_passed_on_as_complete() {
    let large = pattern(LARGE);
    let half = |headers: &str, bytes: &[u8], close| {
        ([format!("HTTP/1.1 200 OK\r\n{headers}\r\n").as_bytes(), bytes].concat(), close)
    };
    let mut chunks = chunked(&large, 50_000);
    chunks.truncate(LARGE / 2);
    let (length, te) = (format!("Content-Length: {LARGE}\r\n"), "Transfer-Encoding: chunked\r\n");
    let broken = broken_chunk(&large[..LARGE / 2]);
    let answers = vec![
        half(&length, &large[..LARGE / 2], true),
        half(te, &chunks, true),
        half(te, &broken, false),
        // Longer than it says: its end would be missing.
        half(&format!("Content-Length: {}\r\n", LARGE - 9), &large, false),
    ];
    let count = answers.len();
    let (addr, _) = answering(answers).await;
    let (proxy, _discovery) = before(addr).await;
    for n in 0..count {
        assert!(fetch(&proxy).await.is_err(), "answer {n} looks whole");
    }
}

/// Clients that read nothing stop the backend, and the proxy holds little for each.
#[tokio::test]
async fn unread_responses_take_little_memory() {
    const LONG_BODY_BYTES: usize = 32 << 20;
    const CALLERS: usize = 20;
    let bytes = [
        format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n").into_bytes(),
        pattern(LONG_BODY_BYTES),
    ];
    let (addr, written) = answering(vec![(bytes.concat(), false)]).await;
    let (proxy, _discovery) = before(addr).await;
    let mut answers = Vec::new();
    for _ in 0..CALLERS {
        let call = request("look").body(Full::<bytes::Bytes>::default()).expect("well formed");
        let mut client = connect(proxy.addr).await;
        answers.push((in_time(client.send_request(call)).await.expect("an answer"), client));
    }
    // Until nothing more is taken from the backend.
    let mut before = 0;
    while before != written.load(SeqCst) || before == 0 {
        before = written.load(SeqCst);
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
    }
    assert!(before < CALLERS * LONG_BODY_BYTES, "all was taken in though nobody reads");
    assert!(proxy.resident_mb() < 24, "{} MB for {CALLERS} answers", proxy.resident_mb());
    // Whoever reads again gets all.
    let (answer, _caller) = answers.swap_remove(0);
    assert_eq!(in_time(answer.into_body().collect()).await.expect("whole").to_bytes().len(), LONG_BODY_BYTES);
}

/// A client that is rejected while it writes still is read on, however long that takes, and sees its answer.
#[tokio::test]
async fn rejected_upload_is_read_to_its_end() {
    let script = Arc::new(BackendScript::default());
    let a = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![a.endpoint("SERVING")]).await;
    let mut settings = settings();
    settings["caps"]["openCap"] = 1.into();
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    let hold = Arc::new(tokio::sync::Notify::new());
    script.enqueue([BackendBehavior::Hold(hold.clone())]);
    let mut client = proxy.client().await;
    let held = tokio::spawn(async move { client.call("once").await });
    script.wait_for_requests(1).await;
    let mut stream = TcpStream::connect(proxy.addr).await.expect("it listens");
    stream.write_all(&head("slow", "Content-Length: 1000000")).await.expect("taken");
    for _ in 0..10 {
        stream.write_all(&pattern(100_000)).await.expect("it is read on");
        tokio::time::sleep(std::time::Duration::from_millis(400)).await;
    }
    assert_eq!(read_status(&mut stream).await, Some(503));
    hold.notify_one();
    assert_eq!(held.await.expect("no panic").0, 200);
}
