//! One client that sends requests without a pause delays no other client.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// What the proxy reads of a busy client's requests for each step of another client's request: one head.
const BYTES_PER_STEP: usize = 4096;
/// Another client's request: accept, read, answer, and the delays of this test's own observation.
const STEP_COUNT: usize = 6;
const REQUEST_COUNT: usize = 100_000;
/// More bytes than this wait in the kernel's buffers before the proxy resumes.
const WAITING_BYTES: usize = 60_000;

struct Fixture {
    proxy: Proxy,
    _backend: Backend,
    _discovery: Discovery,
}

async fn fixture() -> Fixture {
    let backend = Backend::start("a", &Default::default()).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let proxy = Proxy::start_smallest(&discovery, settings()).await;
    Fixture { proxy, _backend: backend, _discovery: discovery }
}

/// Sends a request without a pause and counts the answers.
async fn send_without_pause(addr: SocketAddr, request: String, answers: watch::Sender<usize>) {
    let (mut input, mut output) = connect_tcp(addr).await.into_split();
    let requests = request.repeat(REQUEST_COUNT);
    let write = async {
        let _ = output.write_all(requests.as_bytes()).await;
        std::future::pending::<()>().await
    };
    let count = async {
        let mut buffer = vec![0; 64 * 1024];
        while let Ok(length @ 1..) = input.read(&mut buffer).await {
            let count = buffer[..length].windows(9).filter(|bytes| bytes.starts_with(b"HTTP/1.1 ")).count();
            answers.send_modify(|answers| *answers += count);
        }
    };
    tokio::select! {
        () = write => {}
        () = count => {}
    }
}

/// Checks that another client's request, which arrives together with a busy client's, is answered soon.
async fn expect_no_delay_beside(request: &str) {
    let fixture = fixture().await;
    let answers = watch::Sender::new(0);
    let addr = fixture.proxy.addr;
    tokio::spawn(send_without_pause(addr, request.to_string(), answers.clone()));
    in_time(answers.subscribe().wait_for(|answers| *answers > 0)).await.expect("open");
    // Given: a paused proxy, for which requests of both clients wait.
    fixture.proxy.pause().await;
    in_time(wait_for_waiting_bytes(addr)).await;
    let mut other: TcpStream = connect_tcp(addr).await;
    other.write_all(b"GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await.expect("open");
    let answers_before = *answers.borrow();

    // When: it resumes.
    fixture.proxy.resume_process().await;
    assert_eq!(read_status(&mut other).await, Some(200));

    // Then: the busy client has got few answers by the time of the other's.
    let answers_between = *answers.borrow() - answers_before;
    let most_answers = STEP_COUNT * BYTES_PER_STEP / request.len();
    assert!(
        answers_between <= most_answers,
        "{answers_between} of {most_answers} answers before the other's"
    );
}

async fn wait_for_waiting_bytes(addr: SocketAddr) {
    let is_waiting =
        |row: &TcpTableEntry| row.local_port == addr.port() && row.unread_bytes as usize > WAITING_BYTES;
    while !tcp_table().iter().any(is_waiting) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Guards against a client that delays others with small requests.
#[tokio::test]
async fn small_requests_without_a_pause_delay_no_other_client() {
    expect_no_delay_beside("GET /health/ready HTTP/1.1\r\nHost: o\r\n\r\n").await;
}

/// Guards against a client that delays others with requests that name no class.
#[tokio::test]
async fn unsound_requests_without_a_pause_delay_no_other_client() {
    expect_no_delay_beside(&request_head("GET /unknown", "0000000000000001")).await;
}
