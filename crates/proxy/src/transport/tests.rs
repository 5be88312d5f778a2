//! Unit tests of the transport.

use super::{
    ArrivalProbe, BodyArrival, BodyBlocks, BufferedBody, ClientSocket, MAX_HEAD_BYTES, MAX_READ_BYTES,
    ObservedStream, RequestBody, RequestPayload, StreamedUpload, UnreadProbe, UploadProgress,
    WRITE_STALL_TIMEOUT, enable_receive_timestamps,
};
use crate::memory::MemoryBudget;
use hyper::Request;
use hyper::client::conn::http1::handshake;
use hyper::rt::{Read, Write};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream, duplex};
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

impl UnreadProbe for TokioIo<DuplexStream> {
    fn has_unread(&self) -> bool {
        false
    }
}

/// Sends a request with a body over an in-memory connection whose far end is driven by `drive_far_end` and
/// then closed. Returns whether the request was written completely before that.
async fn completes_before_close(body: usize, drive_far_end: impl AsyncFnOnce(&mut DuplexStream)) -> bool {
    let (near, mut far) = duplex(1024);
    LocalSet::new()
        .run_until(async {
            let stream = ObservedStream::new(TokioIo::new(near), MAX_READ_BYTES);
            let progress = stream.progress();
            let (mut sender, connection) = handshake(stream).await.expect("handshake");
            spawn_local(async move {
                let _ = connection.await;
            });
            let payload = RequestPayload::Buffered([vec![b'x'; body].into()].into_iter().collect());
            let body = RequestBody::new(&payload, progress.clone()).expect("the body is available");
            let request = Request::post("/").header("host", "b").body(body).expect("valid request");
            let response = spawn_local(async move { sender.send_request(request).await.is_ok() });
            drive_far_end(&mut far).await;
            drop(far);
            assert!(!response.await.expect("no panic"), "the far end never responds");
            progress.is_request_complete()
        })
        .await
}

async fn read_request(far: &mut DuplexStream, body: usize) {
    let mut seen = Vec::new();
    while !seen.windows(4).any(|window| window == b"\r\n\r\n") || !seen.ends_with(&vec![b'x'; body]) {
        assert_ne!(far.read_buf(&mut seen).await.expect("open connection"), 0, "the request is truncated");
    }
}

#[tokio::test]
async fn truncated_request_is_not_complete() {
    // The far end reads a part of the body. The HTTP library still has the rest.
    assert!(!completes_before_close(60_000, async |far| drop(far.read(&mut [0; 512]).await)).await);
    assert!(!completes_before_close(60_000, async |_| {}).await);
}

#[tokio::test]
async fn fully_written_request_is_complete() {
    assert!(completes_before_close(60_000, async |far| read_request(far, 60_000).await).await);
    assert!(completes_before_close(0, async |far| read_request(far, 0).await).await);
}

#[tokio::test(start_paused = true)]
async fn stalled_write_times_out() {
    // The far end stays open and reads nothing, so only the timeout ends the write.
    assert!(!completes_before_close(60_000, async |_| sleep(WRITE_STALL_TIMEOUT * 2).await).await);
    let (near, _far) = duplex(8);
    let mut stream = ObservedStream::new(TokioIo::new(near), MAX_READ_BYTES);
    let write = std::future::poll_fn(|context| Pin::new(&mut stream).poll_write(context, &[0; 8]));
    assert_eq!(write.await.expect("buffer space"), 8);
    let write = std::future::poll_fn(|context| Pin::new(&mut stream).poll_write(context, &[0; 8]));
    assert_eq!(write.await.expect_err("stalled write").kind(), io::ErrorKind::TimedOut);
}

#[tokio::test]
async fn client_disconnect_is_seen_at_once() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound socket");
    let pair = async || {
        let far = TcpStream::connect(address).await.expect("connect");
        let (near, _) = listener.accept().await.expect("accept");
        let near = ClientSocket::new(near);
        (near.liveness(), near, far)
    };
    let half_close =
        |far: &TcpStream| SockRef::from(far).shutdown(std::net::Shutdown::Write).expect("open connection");

    let (liveness, _near, far) = pair().await;
    assert!(liveness.is_connected());
    assert_eq!(far.try_write(b"more").expect("buffer space"), 4);
    assert!(liveness.is_connected(), "unread bytes are not a close");
    // Nothing is awaited in between, so neither the reactor nor another task has seen the close.
    let (liveness, _near, far) = pair().await;
    half_close(&far);
    assert!(!liveness.is_connected());
    let (liveness, _near, far) = pair().await;
    SockRef::from(&far).set_linger(Some(Duration::ZERO)).expect("open connection");
    drop(far);
    assert!(!liveness.is_connected(), "reset");
    // The reactor has to report a close behind unread bytes first.
    let (liveness, _near, far) = pair().await;
    assert_eq!(far.try_write(b"more").expect("buffer space"), 4);
    half_close(&far);
    sleep(Duration::ZERO).await;
    while liveness.is_connected() {
        tokio::task::yield_now().await;
    }
    let (liveness, near, _far) = pair().await;
    drop(near);
    assert!(!liveness.is_connected(), "the socket was dropped");
}

#[tokio::test]
async fn request_is_not_written_over_unread_bytes() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound socket");
    let near = TcpStream::connect(address).await.expect("connect");
    let (mut far, _) = listener.accept().await.expect("accept");
    let mut stream = ObservedStream::new(TokioIo::new(near), MAX_READ_BYTES);
    let progress = stream.progress();
    let mut write = async |is_new_request: bool| {
        if is_new_request {
            progress.begin_request();
        }
        std::future::poll_fn(|context| Pin::new(&mut stream).poll_write(context, b"request")).await
    };
    assert_eq!(write(true).await.expect("no unread bytes"), 7);
    // A late response has arrived without the reactor's knowledge. It stops a new request but not one that is
    // already being written.
    far.write_all(b"late").await.expect("open connection");
    assert_eq!(write(false).await.expect("continued request"), 7);
    assert_eq!(write(true).await.expect_err("unread bytes").kind(), io::ErrorKind::InvalidData);
    assert!(!progress.is_request_started());
}

/// How long the bytes wait in these tests. The kernel's clock may differ by `CLOCK_TOLERANCE`.
const WAIT_TIME: Duration = Duration::from_millis(50);
const CLOCK_TOLERANCE: Duration = Duration::from_millis(10);
/// The kernel starts to add timestamps a moment after they are enabled.
const TIMESTAMP_ATTEMPTS: usize = 20;

/// Both ends of a new connection on which bytes have waited, and the limits of their arrival time.
struct WaitingBytes {
    near: ClientSocket,
    _far: TcpStream,
    sent_after: Instant,
    sent_before: Instant,
}

async fn connection_with_waiting_bytes(has_timestamp: bool) -> WaitingBytes {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
    if has_timestamp {
        assert!(enable_receive_timestamps(&listener), "receive timestamps can be enabled");
    }
    let mut far = TcpStream::connect(listener.local_addr().expect("bound socket")).await.expect("connect");
    let sent_after = Instant::now();
    far.write_all(b"request").await.expect("open connection");
    let sent_before = Instant::now();
    sleep(WAIT_TIME).await;
    let (near, _) = listener.accept().await.expect("accept");
    WaitingBytes { near: ClientSocket::new(near), _far: far, sent_after, sent_before }
}

#[tokio::test]
async fn waiting_bytes_count_from_their_arrival() {
    for _ in 0..TIMESTAMP_ATTEMPTS {
        let bytes = connection_with_waiting_bytes(true).await;
        let probe = ArrivalProbe::new(bytes.near.clone(), bytes.sent_after);
        let Some(arrived_at) = probe.arrival_time(MAX_HEAD_BYTES) else { continue };
        assert!(
            arrived_at + CLOCK_TOLERANCE >= bytes.sent_after,
            "{:?} too early",
            bytes.sent_after - arrived_at
        );
        assert!(
            arrived_at <= bytes.sent_before + CLOCK_TOLERANCE,
            "{:?} too late",
            arrived_at - bytes.sent_before
        );
        return;
    }
    panic!("no arrival time was reported");
}

/// Guards against timestamps of a clock that differs from the program's: they would shorten the time that
/// requests have left.
#[tokio::test]
async fn timestamp_before_the_connection_is_ignored() {
    for _ in 0..TIMESTAMP_ATTEMPTS {
        let bytes = connection_with_waiting_bytes(true).await;
        let impossible = ArrivalProbe::new(bytes.near.clone(), Instant::now());
        assert_eq!(impossible.arrival_time(MAX_HEAD_BYTES), None);
        // The same timestamp is accepted where it is possible.
        let possible = ArrivalProbe::new(bytes.near.clone(), bytes.sent_after);
        if possible.arrival_time(MAX_HEAD_BYTES).is_some() {
            return;
        }
    }
    panic!("no arrival time was reported");
}

#[tokio::test]
async fn bytes_without_timestamp_count_from_their_read() {
    let bytes = connection_with_waiting_bytes(false).await;
    let probe = ArrivalProbe::new(bytes.near.clone(), bytes.sent_after);
    assert_eq!(probe.arrival_time(MAX_HEAD_BYTES), None);
}

/// Guards against a reader of the client's body that waits forever for its next frame to be taken after the
/// request has ended.
#[tokio::test]
async fn dropped_upload_closes_its_frame_channel() {
    let (frames, upload) = StreamedUpload::new(None, Duration::ZERO);
    let status = upload.status().clone();
    frames.send(Some("first".into())).await.expect("channel capacity");
    let (sent, ()) = tokio::join!(frames.send(Some("second".into())), async { drop(upload) });
    assert!(sent.is_err());
    // The result of the body can still be recorded.
    status.set_progress(UploadProgress::Failed(hyper::StatusCode::PAYLOAD_TOO_LARGE));
    assert_eq!(status.failure(), Some(hyper::StatusCode::PAYLOAD_TOO_LARGE));
}

/// Guards against a head that is copied together with the body before it when both arrive at once.
#[tokio::test]
async fn read_stops_at_the_body_end_before_a_head() {
    const BODY: &[u8] = b"the rest of a body";
    const HEAD: &[u8] = b"GET /next HTTP/1.1\r\n\r\n";
    let (near, mut far) = duplex(1024);
    far.write_all(&[BODY, HEAD].concat()).await.expect("buffer space");
    let mut stream = ObservedStream::new(TokioIo::new(near), MAX_READ_BYTES);
    let progress = stream.progress();
    progress.expect_body(Some(BODY.len() as u64));
    progress.expect_head();
    assert_eq!(read(&mut stream).await, BODY);
    assert_eq!(progress.first_byte_at(), None, "the next byte starts a new message");
    assert_eq!(read(&mut stream).await, HEAD);
    assert!(progress.first_byte_at().is_some());
    assert_eq!(progress.take_head(), HEAD);
}

/// Returns the bytes of one read.
async fn read<S: Read + Unpin>(stream: &mut ObservedStream<S>) -> Vec<u8> {
    let mut space = [0; 1024];
    let mut buffer = hyper::rt::ReadBuf::new(&mut space);
    poll_fn(|context| Pin::new(&mut *stream).poll_read(context, buffer.unfilled()))
        .await
        .expect("open connection");
    buffer.filled().to_vec()
}

/// A client's connection from which everything was read before an unread byte of a body arrived.
struct UnreadBody {
    near: ClientSocket,
    far: TcpStream,
    stream: ObservedStream<ClientSocket>,
    arrival: BodyArrival,
}

impl UnreadBody {
    async fn open() -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let mut far =
            TcpStream::connect(listener.local_addr().expect("bound socket")).await.expect("connect");
        let near = ClientSocket::new(listener.accept().await.expect("accept").0);
        let mut stream = ObservedStream::for_client(near.clone(), MAX_READ_BYTES, None);
        far.write_all(b"a").await.expect("open connection");
        assert_eq!(read(&mut stream).await, b"a");
        assert!(is_read_pending(&mut stream).await, "everything was read");
        far.write_all(b"b").await.expect("open connection");
        while !near.has_unread() {
            tokio::task::yield_now().await;
        }
        let arrival = BodyArrival::new(near.liveness(), stream.progress(), Instant::now());
        UnreadBody { near, far, stream, arrival }
    }
}

/// Returns whether a read has nothing to return.
async fn is_read_pending(stream: &mut ObservedStream<ClientSocket>) -> bool {
    let mut space = [0; 1];
    let mut buffer = hyper::rt::ReadBuf::new(&mut space);
    poll_fn(|context| Poll::Ready(Pin::new(&mut *stream).poll_read(context, buffer.unfilled()).is_pending()))
        .await
}

/// Guards against a client's time that begins anew when bytes are read that had waited during a stall.
#[tokio::test]
async fn bytes_that_waited_do_not_count_from_their_read() {
    let mut body = UnreadBody::open().await;
    body.arrival.earliest_end();
    let observed_at = Instant::now();
    sleep(WAIT_TIME).await;

    assert_eq!(read(&mut body.stream).await, b"b");

    assert!(body.arrival.earliest_end() <= observed_at);
}

/// Guards against a client's time that is over although its body is still arriving.
#[tokio::test]
async fn newly_arrived_bytes_move_the_earliest_end_of_a_body() {
    let mut body = UnreadBody::open().await;
    let observed_after = Instant::now();
    body.arrival.earliest_end();
    sleep(WAIT_TIME).await;

    body.far.write_all(b"c").await.expect("open connection");
    while body.near.liveness().unread_bytes() != Some(2) {
        tokio::task::yield_now().await;
    }

    assert!(body.arrival.earliest_end() >= observed_after);
}

/// Guards against memory that counts as free while the bytes of a body still wait to be written.
#[test]
fn memory_of_a_buffered_body_is_reserved_until_its_last_byte_is_released() {
    const BODY_BYTES: usize = 10_000;
    let budget = MemoryBudget::new(BODY_BYTES);
    let mut blocks = BodyBlocks::new(budget.clone());
    assert!(blocks.push(&[b'x'; BODY_BYTES / 2]));
    // The last block is not full, and the whole of it counts.
    assert!(!blocks.push(&[b'x'; BODY_BYTES / 2]));
    let reserved_bytes = budget.reserved_bytes();
    assert!(reserved_bytes >= BODY_BYTES);

    let body: BufferedBody = blocks.into_pieces().collect();
    let repeated = body.clone();
    drop(body);
    assert_eq!(budget.reserved_bytes(), reserved_bytes);
    drop(repeated);
    assert_eq!(budget.reserved_bytes(), 0);
}
