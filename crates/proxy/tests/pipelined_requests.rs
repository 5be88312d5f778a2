//! Clients that send several requests at once: what was read is answered, or its connection says before that it
//! will be closed.

mod support;

use std::net::SocketAddr;
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

const DESCRIPTORS: usize = 64;
const CROWD_SIZE: usize = 10;
/// More than there are places for.
const PIPELINING_CLIENTS: usize = 60;
/// So few that all of them are read at once.
const REQUESTS_AT_ONCE: usize = 8;
const TRIAL_TIME: Duration = Duration::from_secs(4);

/// Connects again and again, begins a head, and stops.
async fn crowd(addr: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(addr).await {
            let _ = stream.write_all(b"GET /look HT").await;
            let _ = stream.read_to_end(&mut Vec::new()).await;
        }
        sleep(Duration::from_millis(1)).await;
    }
}

/// What became of the requests that were sent at once.
#[derive(Default, Debug)]
struct Batch {
    answers: usize,
    is_close_announced: bool,
}

/// Sends requests at once and reads their answers.
async fn send_batch(connection: &mut RawConnection) -> Option<Batch> {
    let request =
        || String::from_utf8(StrictRequest::new("look", Duration::from_secs(3)).head()).expect("text");
    let requests: String = (0..REQUESTS_AT_ONCE).map(|_| request()).collect();
    connection.stream.write_all(requests.as_bytes()).await.ok()?;
    let mut batch = Batch::default();
    while batch.answers < REQUESTS_AT_ONCE && !batch.is_close_announced {
        let Some((head, _)) = connection.read_message().await else { break };
        batch.answers += 1;
        batch.is_close_announced = head.contains("connection: close");
    }
    Some(batch)
}

/// Sends batches, on a new connection after each close, and returns those that were begun and broken off.
async fn pipeline(addr: SocketAddr) -> (usize, Vec<Batch>) {
    let (mut sent, mut broken) = (0, Vec::new());
    let until = Instant::now() + TRIAL_TIME;
    while Instant::now() < until {
        let Ok(stream) = TcpStream::connect(addr).await else { continue };
        let mut connection = RawConnection::new(stream);
        while let Some(batch) = send_batch(&mut connection).await {
            sent += 1;
            let is_complete = batch.answers == REQUESTS_AT_ONCE;
            if batch.answers > 0 && !is_complete && !batch.is_close_announced {
                broken.push(batch);
            }
            if !is_complete || Instant::now() >= until {
                break;
            }
        }
    }
    (sent, broken)
}

/// Guards against a request that is read, and closed upon before its answer, to make room for others.
#[tokio::test]
async fn pipelined_requests_that_were_read_are_answered_in_a_crowd() {
    let backend = ScriptedBackend::start(|_, id| vec![Step::Write(own_response(id))]).await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let mut proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    proxy.discard_log();
    let mut clients = JoinSet::new();
    for _ in 0..CROWD_SIZE {
        clients.spawn(crowd(proxy.addr));
    }
    let pipelining = (0..PIPELINING_CLIENTS).map(|_| tokio::spawn(pipeline(proxy.addr)));
    let (mut sent, mut broken) = (0, Vec::new());
    for client in pipelining.collect::<Vec<_>>() {
        let (sent_by_client, broken_of_client) = client.await.expect("no panic");
        sent += sent_by_client;
        broken.extend(broken_of_client);
    }
    assert!(sent > 0, "nothing was sent");
    assert!(broken.is_empty(), "{} of {sent}: {broken:?}", broken.len());
}
