//! The memory limit holds with the least memory and the most descriptors of a deployment, whatever a crowd of
//! clients does.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

/// More clients than the proxy has descriptors for.
const CLIENT_COUNT: usize = 700;
/// How long the clients come again.
const CROWD_DURATION: Duration = Duration::from_secs(4);
/// The pause before a client comes again.
const RETURN_PAUSE: Duration = Duration::from_millis(20);
const READ_BYTES: usize = 4096;
/// The receive buffer of a client that reads slowly.
const SMALL_BUFFER_BYTES: u32 = 4096;
/// The pause of a slow client between two pieces.
const SLOW_PAUSE: Duration = Duration::from_millis(50);
/// What a client with 64 kB/s writes between two pauses.
const SLOW_PIECE_BYTES: usize = 3200;
const LONG_BODY_BYTES: usize = 1_000_000;
const BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// A crowd takes the whole machine, so that there is one at a time.
static ONE_CROWD: Mutex<()> = Mutex::const_new(());

/// How a client writes its request.
#[derive(Clone)]
struct Writing {
    /// The header lines beside the usual ones.
    headers: Arc<str>,
    body: Arc<[u8]>,
    piece_bytes: usize,
    pause: Duration,
    /// How much of the body it writes before it stops and waits.
    stop_after: usize,
}

impl Writing {
    fn body_with_length(length: usize) -> Self {
        Writing {
            headers: format!("Content-Length: {length}\r\n").into(),
            body: vec![b'x'; length].into(),
            piece_bytes: BUFFERED_BODY_BYTES,
            pause: Duration::ZERO,
            stop_after: length,
        }
    }

    fn chunked_body(length: usize, chunk_bytes: usize) -> Self {
        let body = chunked(length, chunk_bytes);
        Writing {
            headers: "Transfer-Encoding: chunked\r\n".into(),
            stop_after: body.len(),
            body: body.into(),
            piece_bytes: BUFFERED_BODY_BYTES,
            pause: Duration::ZERO,
        }
    }

    fn slowly(self) -> Self {
        Writing { piece_bytes: SLOW_PIECE_BYTES, pause: SLOW_PAUSE, ..self }
    }

    fn stopping_after(self, stop_after: usize) -> Self {
        Writing { stop_after, ..self }
    }

    /// Writes the request until it stops.
    async fn write(&self, id: &str, stream: &mut OwnedWriteHalf) -> std::io::Result<()> {
        stream.write_all(head("POST /once", id, &self.headers).as_bytes()).await?;
        for piece in self.body[..self.stop_after].chunks(self.piece_bytes) {
            stream.write_all(piece).await?;
            sleep(self.pause).await;
        }
        Ok(())
    }
}

fn head(line: &str, id: &str, headers: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: 3000\r\n\
         {headers}\r\n"
    )
}

fn chunked(length: usize, chunk_bytes: usize) -> Vec<u8> {
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "x".repeat(chunk_bytes));
    let mut body = chunk.repeat(length / chunk_bytes).into_bytes();
    body.extend_from_slice(b"0\r\n\r\n");
    body
}

/// Starts a backend that reads [`READ_BYTES`] of a body between two pauses and gives each request the same
/// response.
async fn start_backend(read_pause: Duration, response: Vec<u8>) -> SocketAddr {
    let backend = RawBackend::start().await;
    let addr = backend.addr;
    let response: Arc<[u8]> = response.into();
    tokio::spawn(async move {
        loop {
            let connection = backend.accept().await;
            tokio::spawn(serve_backend_connection(connection, read_pause, response.clone()));
        }
    });
    addr
}

async fn serve_backend_connection(mut connection: RawConnection, read_pause: Duration, response: Arc<[u8]>) {
    while let Some(head) = connection.read_head().await {
        let length = header(&head, "content-length").map_or(0, |length| length.parse().expect("a number"));
        let mut received = 0;
        while received < length {
            sleep(read_pause).await;
            let piece_bytes = READ_BYTES.min(length - received);
            if connection.read_bytes(piece_bytes).await.is_none() {
                return;
            }
            received += piece_bytes;
        }
        // A chunked body ends with an empty line, like a head.
        if header(&head, "transfer-encoding").is_some() && connection.read_head().await.is_none() {
            return;
        }
        if connection.stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// Runs a crowd of clients and checks the highest memory of the proxy meanwhile.
async fn expect_memory_within_limit<Visit>(
    backend: SocketAddr,
    visit: impl Fn(SocketAddr, String, watch::Sender<usize>) -> Visit + Clone + Send + Sync + 'static,
) where
    Visit: Future<Output = ()> + Send,
{
    let _one_crowd = ONE_CROWD.lock().await;
    let discovery = Discovery::start(vec![endpoint("a", backend, "SERVING")]).await;
    let proxy = Proxy::start_smallest(&discovery, settings()).await;
    let progress = watch::Sender::new(0);
    let mut clients = JoinSet::new();
    for client in 0..CLIENT_COUNT {
        let (addr, visit, progress) = (proxy.addr, visit.clone(), progress.clone());
        clients.spawn(async move {
            for count in 0.. {
                visit(addr, format!("{client:08x}{count:08x}"), progress.clone()).await;
                sleep(RETURN_PAUSE).await;
            }
        });
    }

    sleep(CROWD_DURATION).await;

    let peak_kb = proxy.peak_resident_kb();
    assert!(*progress.borrow() >= CLIENT_COUNT / 4, "only {} clients got so far", *progress.borrow());
    assert!(peak_kb <= SMALLEST_MEMORY_MB * 1024, "{peak_kb} kB of {SMALLEST_MEMORY_MB} MB");
}

/// Sends a request as described, and reads until its answer or its close. Counts both.
async fn write_request(addr: SocketAddr, id: String, written: watch::Sender<usize>, writing: Writing) {
    let Ok(stream) = TcpStream::connect(addr).await else { return };
    let (mut input, mut output) = stream.into_split();
    let mut buffer = [0; READ_BYTES];
    let write = async {
        if writing.write(&id, &mut output).await.is_ok() {
            written.send_modify(|count| *count += 1);
            std::future::pending().await
        }
    };
    tokio::select! {
        () = write => {}
        _ = input.read(&mut buffer) => written.send_modify(|count| *count += 1),
    }
}

/// Sends a request, counts it once its response begins, and reads the response slowly.
async fn read_slowly(addr: SocketAddr, id: String, answered: watch::Sender<usize>) {
    let socket = TcpSocket::new_v4().expect("create a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).expect("a size");
    let Ok(mut stream) = socket.connect(addr).await else { return };
    if stream.write_all(head("GET /look", &id, "").as_bytes()).await.is_err() {
        return;
    }
    let mut is_first = true;
    let mut buffer = [0; READ_BYTES];
    while stream.read(&mut buffer).await.is_ok_and(|length| length > 0) {
        if std::mem::replace(&mut is_first, false) {
            answered.send_modify(|count| *count += 1);
        }
        sleep(SLOW_PAUSE * 2).await;
    }
}

async fn expect_memory_with_writers(backend: SocketAddr, writing: Writing) {
    let visit = move |addr, id, written| write_request(addr, id, written, writing.clone());
    expect_memory_within_limit(backend, visit).await;
}

fn chunked_response(length: usize, chunk_bytes: usize) -> Vec<u8> {
    let mut response = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    response.extend(chunked(length, chunk_bytes));
    response
}

fn short_response() -> Vec<u8> {
    response(200, "", "served")
}

/// Guards against a process that is killed for its memory by clients that write short bodies slowly.
#[tokio::test]
async fn memory_holds_with_slow_writers_of_short_bodies() {
    let backend = start_backend(Duration::ZERO, short_response()).await;
    expect_memory_with_writers(backend, Writing::body_with_length(BUFFERED_BODY_BYTES).slowly()).await;
}

/// Guards against a process that is killed for its memory by clients that write bodies in tiny chunks.
#[tokio::test]
async fn memory_holds_with_slow_writers_of_tiny_chunks() {
    const CHUNK_BYTES: usize = 64;
    let backend = start_backend(Duration::ZERO, short_response()).await;
    let writing = Writing::chunked_body(BUFFERED_BODY_BYTES - CHUNK_BYTES, CHUNK_BYTES).slowly();
    expect_memory_with_writers(backend, writing).await;
}

/// Guards against a process that is killed for its memory by clients that stop near the end of a short body.
#[tokio::test]
async fn memory_holds_with_clients_that_stop_in_a_short_body() {
    const STOP_AFTER: usize = 60_000;
    let backend = start_backend(Duration::ZERO, short_response()).await;
    let writing = Writing::body_with_length(BUFFERED_BODY_BYTES).stopping_after(STOP_AFTER);
    expect_memory_with_writers(backend, writing).await;
}

/// Guards against a process that is killed for its memory by clients that stop half way through a long body.
#[tokio::test]
async fn memory_holds_with_clients_that_stop_in_a_long_body() {
    let backend = start_backend(Duration::ZERO, short_response()).await;
    let writing = Writing::body_with_length(LONG_BODY_BYTES).stopping_after(LONG_BODY_BYTES / 2);
    expect_memory_with_writers(backend, writing).await;
}

/// Guards against a process that is killed for its memory by clients that stop half way through many chunks.
#[tokio::test]
async fn memory_holds_with_clients_that_stop_in_a_chunked_body() {
    const CHUNK_BYTES: usize = 1000;
    let backend = start_backend(Duration::ZERO, short_response()).await;
    let writing = Writing::chunked_body(LONG_BODY_BYTES, CHUNK_BYTES).stopping_after(LONG_BODY_BYTES / 2);
    expect_memory_with_writers(backend, writing).await;
}

/// Guards against a process that is killed for its memory by uploads to a backend that reads them slowly.
#[tokio::test]
async fn memory_holds_with_uploads_to_a_slow_backend() {
    const READ_PAUSE: Duration = Duration::from_millis(60);
    let backend = start_backend(READ_PAUSE, short_response()).await;
    expect_memory_with_writers(backend, Writing::body_with_length(LONG_BODY_BYTES)).await;
}

/// Guards against a process that is killed for its memory by heads of many short fields.
#[tokio::test]
async fn memory_holds_with_heads_of_many_short_fields() {
    const FIELD_COUNT: usize = 58;
    const READ_PAUSE: Duration = Duration::from_millis(10);
    let backend = start_backend(READ_PAUSE, short_response()).await;
    let fields: String = (0..FIELD_COUNT).map(|number| format!("f{number}: 1\r\n")).collect();
    let writing = Writing::body_with_length(1);
    let headers = format!("{fields}{}", writing.headers).into();
    expect_memory_with_writers(backend, Writing { headers, ..writing }).await;
}

/// Guards against a process that is killed for its memory by clients that stop in heads of almost 16 KiB.
#[tokio::test]
async fn memory_holds_with_clients_that_stop_in_long_heads() {
    const HEAD_BYTES: usize = 15_000;
    let backend = start_backend(Duration::ZERO, short_response()).await;
    let visit = |addr, id: String, written: watch::Sender<usize>| async move {
        let Ok(mut stream) = TcpStream::connect(addr).await else { return };
        let head = head("GET /look", &id, &format!("Long: {}\r\n", "x".repeat(HEAD_BYTES)));
        for piece in head.as_bytes()[..head.len() - 1].chunks(SLOW_PIECE_BYTES) {
            if stream.write_all(piece).await.is_err() {
                return;
            }
            sleep(SLOW_PAUSE).await;
        }
        written.send_modify(|count| *count += 1);
        let _ = stream.read(&mut [0; READ_BYTES]).await;
    };
    expect_memory_within_limit(backend, visit).await;
}

/// Guards against a process that is killed for its memory by clients that read long responses slowly.
#[tokio::test]
async fn memory_holds_with_slow_readers_of_long_responses() {
    let backend = start_backend(Duration::ZERO, response(200, "", &"x".repeat(4 * LONG_BODY_BYTES))).await;
    expect_memory_within_limit(backend, read_slowly).await;
}

/// Guards against a process that is killed for its memory by clients that read chunked responses slowly.
#[tokio::test]
async fn memory_holds_with_slow_readers_of_chunked_responses() {
    const CHUNK_BYTES: usize = 8000;
    let response = chunked_response(4 * LONG_BODY_BYTES, CHUNK_BYTES);
    let backend = start_backend(Duration::ZERO, response).await;
    expect_memory_within_limit(backend, read_slowly).await;
}

/// Guards against a process that is killed for its memory by responses in tiny chunks that are read slowly.
#[tokio::test]
async fn memory_holds_with_slow_readers_of_tiny_chunks() {
    const CHUNK_BYTES: usize = 100;
    let response = chunked_response(LONG_BODY_BYTES, CHUNK_BYTES);
    let backend = start_backend(Duration::ZERO, response).await;
    expect_memory_within_limit(backend, read_slowly).await;
}

/// Guards against a process that is killed for its memory by buffered responses that are read slowly.
#[tokio::test]
async fn memory_holds_with_slow_readers_of_buffered_responses() {
    const BODY_BYTES: usize = 60_000;
    const CHUNK_BYTES: usize = 6000;
    let response = chunked_response(BODY_BYTES, CHUNK_BYTES);
    let backend = start_backend(Duration::ZERO, response).await;
    expect_memory_within_limit(backend, read_slowly).await;
}

/// Guards against a long head for which there is no memory and that is neither answered nor kept waiting.
#[tokio::test]
async fn long_head_without_memory_is_rejected_at_once() {
    const HEAD_BYTES: usize = 15_000;
    const LONG_HEADS: usize = 60;
    let _one_crowd = ONE_CROWD.lock().await;
    let backend = start_backend(Duration::ZERO, short_response()).await;
    let discovery = Discovery::start(vec![endpoint("a", backend, "SERVING")]).await;
    let proxy = Proxy::start_smallest(&discovery, settings()).await;
    // When: more clients stop in long heads than the memory for heads holds.
    let mut clients = Vec::new();
    for number in 0..LONG_HEADS {
        let head =
            head("GET /look", &format!("{number:x}"), &format!("Long: {}\r\n", "x".repeat(HEAD_BYTES)));
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(&head[..head.len() - 1]).await;
        clients.push(client);
    }
    // Then: the last one is rejected while the first still has its time, and a usual request is served.
    let mut last = clients.pop().expect("a client");
    assert_eq!(last.read_answer().await.expect("an answer").0, 503);
    let first = clients[0].stream.try_read(&mut [0; 1]);
    assert!(first.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock));
    assert_eq!(proxy.call("look").await.0, 200);
}
