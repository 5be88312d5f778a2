//! First requests that cross the close of a new connection: each gets a response, whatever caused the close.

mod support;

use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// The descriptor limit of the proxy: there is space for 16 clients, and for 16 that are being rejected.
const DESCRIPTORS: usize = 64;
/// The number of connections whose requests cross a close.
const CROSSINGS: usize = 200;

struct Fixture {
    _backend: Backend,
    discovery: Discovery,
    config: Value,
    proxy: Proxy,
}

impl Fixture {
    async fn new() -> Self {
        let backend = Backend::start("a", &Arc::new(BackendScript::default())).await;
        let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
        let mut config = discovery.config(settings());
        config["limits"]["sockets"] = DESCRIPTORS.into();
        config["management"] = "127.0.0.1:0".into();
        let proxy =
            Proxy::start_with_command(&config, &format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")).await;
        discovery.wait_until_applied().await;
        Fixture { _backend: backend, discovery, config, proxy }
    }

    fn addr(&self) -> SocketAddr {
        self.proxy.addr
    }
}

/// Sends a first request only after the proxy has decided to close the connection, so that its response or
/// the close can be read, and returns the status of the response.
async fn send_after_close_decision(mut stream: TcpStream, number: usize) -> Option<u16> {
    in_time(stream.readable()).await.expect("open");
    // The proxy may have closed its socket completely, so that the write fails.
    let _ = stream.write_all(request_head("GET /look", &format!("{number:016x}")).as_bytes()).await;
    read_status(&mut stream).await
}

/// Sends such requests on many connections at the same time.
async fn send_all_after_close_decision(streams: Vec<TcpStream>) -> Vec<Option<u16>> {
    let mut crossings = JoinSet::new();
    for (number, stream) in streams.into_iter().enumerate() {
        crossings.spawn(send_after_close_decision(stream, number));
    }
    crossings.join_all().await
}

async fn connect_many(addr: SocketAddr, count: usize) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(connect_tcp(addr).await);
    }
    streams
}

/// Connections without a request are evicted in favor of new ones.
#[tokio::test]
async fn first_request_crossing_an_eviction_is_rejected() {
    let fixture = Fixture::new().await;
    let mut streams = connect_many(fixture.addr(), CROSSINGS + DESCRIPTORS).await;
    // The oldest are evicted.
    streams.truncate(CROSSINGS);
    assert_eq!(send_all_after_close_decision(streams).await, vec![Some(503); CROSSINGS]);
}

/// A connection that sends nothing until its timeout is closed.
#[tokio::test]
async fn first_request_crossing_a_timeout_is_rejected() {
    let fixture = Fixture::new().await;
    let streams = connect_many(fixture.addr(), DESCRIPTORS / 4).await;
    let count = streams.len();
    assert_eq!(send_all_after_close_decision(streams).await, vec![Some(503); count]);
}

/// A graceful shutdown closes connections that were never used.
#[tokio::test]
async fn first_request_crossing_a_stop_is_rejected() {
    let mut fixture = Fixture::new().await;
    let streams = connect_many(fixture.addr(), DESCRIPTORS / 4).await;
    let count = streams.len();
    fixture.proxy.terminate().await;
    assert_eq!(send_all_after_close_decision(streams).await, vec![Some(503); count]);
}

/// When the listener closes, its accept queue holds more connections than the proxy can accept, both without
/// and with another process that continues.
#[tokio::test]
async fn backlog_requests_are_answered_when_the_listener_closes() {
    for is_upgrade in [false, true] {
        let fixture = Fixture::new().await;
        let next = if is_upgrade {
            let next = fixture.proxy.start_beside(&fixture.config).await;
            fixture.discovery.wait_until_applied().await;
            Some(next)
        } else {
            None
        };
        fixture.proxy.pause().await;
        let streams = connect_many(fixture.addr(), CROSSINGS).await;
        fixture.proxy.terminate_without_log().await;
        fixture.proxy.resume_process().await;
        let answers = send_all_after_close_decision(streams).await;
        assert_eq!(answers, vec![Some(503); CROSSINGS], "in an upgrade: {is_upgrade}");
        drop(next);
    }
}
