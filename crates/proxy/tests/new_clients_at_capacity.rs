//! New clients of a proxy at its connection limit, whose other clients retry without a pause, are answered as
//! well.

mod support;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

/// The descriptor limit of the proxy, and the number of busy clients.
const DESCRIPTOR_LIMIT: usize = 128;
/// The time in which the backend serves a request.
const SERVICE_TIME_MS: usize = 2000;
/// The deadline of the request of a new client.
const DEADLINE: Duration = Duration::from_secs(1);
/// The maximum time from the deadline of a new client to its answer or the close of its connection.
const SLACK: Duration = Duration::from_millis(500);
/// The number of new clients at the same time.
const CONCURRENT_NEW_CLIENTS: usize = 4;
/// The number of new clients that follow one another in each place.
const NEW_CLIENTS_IN_SEQUENCE: usize = 20;

/// Clients that keep their connections and send the next request at once, whatever the answer to the last one
/// was.
struct BusyClients {
    _tasks: JoinSet<()>,
    rejected: Arc<watch::Sender<usize>>,
}

impl BusyClients {
    /// Starts the clients, and returns once the proxy has rejected twice as many requests as there are
    /// clients.
    async fn start(addr: SocketAddr) -> Self {
        let mut tasks = JoinSet::new();
        let rejected = Arc::new(watch::Sender::new(0));
        for _ in 0..DESCRIPTOR_LIMIT {
            let rejected = rejected.clone();
            tasks.spawn(async move {
                loop {
                    send_until_closed(addr, &rejected).await;
                }
            });
        }
        let min_rejected = 2 * DESCRIPTOR_LIMIT;
        in_time(rejected.subscribe().wait_for(|count| *count >= min_rejected)).await.expect("open");
        BusyClients { _tasks: tasks, rejected }
    }
}

/// Sends requests on one connection until it is closed, and counts the rejected ones.
async fn send_until_closed(addr: SocketAddr, rejected: &watch::Sender<usize>) {
    let Ok(stream) = TcpStream::connect(addr).await else { return };
    let io = hyper_util::rt::TokioIo::new(stream);
    let Ok((mut sender, connection)) = hyper::client::conn::http1::handshake(io).await else { return };
    let _connection = tokio::spawn(connection);
    while sender.ready().await.is_ok() {
        let request = request("look").body(Full::<Bytes>::default()).expect("well formed");
        let Ok(answer) = sender.send_request(request).await else { return };
        let is_rejected = answer.status() == 503;
        if answer.into_body().collect().await.is_err() {
            return;
        }
        if is_rejected {
            rejected.send_modify(|count| *count += 1);
        }
    }
}

/// The answer to a new client, if any, and the time from its connect.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    status: Option<u16>,
    elapsed: Duration,
}

/// Connects, sends a request after a delay, and waits for an answer or the end of the connection, after which
/// it connects again until the deadline of the request.
async fn connect_until_answered(addr: SocketAddr, send_delay: Duration) -> Outcome {
    let started_at = Instant::now();
    loop {
        let status = timeout(DEADLINE + SLACK, request_once(addr, send_delay)).await.ok().flatten();
        let elapsed = started_at.elapsed();
        if status.is_some() || elapsed >= DEADLINE {
            return Outcome { status, elapsed };
        }
    }
}

async fn request_once(addr: SocketAddr, send_delay: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    sleep(send_delay).await;
    let id = format!("{:016x}", unique_id());
    let deadline_ms = DEADLINE.as_millis();
    let head = format!(
        "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    read_status(&mut stream).await
}

/// Returns an id that no other request of this test program has.
fn unique_id() -> usize {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(1 << 60);
    NEXT_ID.fetch_add(1, SeqCst)
}

/// Returns the outcomes of new clients that send their request `send_delay` after their connect.
async fn run_new_clients(addr: SocketAddr, send_delay: Duration) -> Vec<Outcome> {
    let mut tasks = JoinSet::new();
    for _ in 0..CONCURRENT_NEW_CLIENTS {
        tasks.spawn(async move {
            let mut outcomes = Vec::new();
            for _ in 0..NEW_CLIENTS_IN_SEQUENCE {
                outcomes.push(connect_until_answered(addr, send_delay).await);
            }
            outcomes
        });
    }
    tasks.join_all().await.concat()
}

/// Checks that new clients, which send at the latest 0.5 s after their connect, see an answer or a close
/// within 0.5 s of their deadline, and that nine in ten of them get an answer.
async fn assert_new_clients_are_answered(send_delay: Duration) {
    let script = Arc::new(BackendScript::default());
    script.service_time_ms.store(SERVICE_TIME_MS, SeqCst);
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = DESCRIPTOR_LIMIT.into();
    let mut proxy =
        Proxy::start_with_command(&config, &format!("ulimit -n {DESCRIPTOR_LIMIT}; exec \"$0\"")).await;
    let log = collect_log(&mut proxy);
    let busy_clients = BusyClients::start(proxy.addr).await;
    let outcomes = run_new_clients(proxy.addr, send_delay).await;
    let rejected = *busy_clients.rejected.borrow();
    let answered = outcomes.iter().filter(|outcome| outcome.status.is_some()).count();
    let slowest = outcomes.iter().map(|outcome| outcome.elapsed).max().expect("at least one client");
    println!(
        "first byte after {send_delay:?}: {answered} of {} answered, the slowest after {slowest:?}; {rejected} requests of busy clients rejected",
        outcomes.len()
    );
    for line in log.lock().expect("no panic").iter().filter(|line| line.contains("no space")) {
        println!("{line}");
    }
    assert!(slowest <= DEADLINE + SLACK, "{slowest:?}");
    assert!(answered * 10 >= outcomes.len() * 9, "{answered} of {}", outcomes.len());
}

type LogLines = Arc<std::sync::Mutex<Vec<String>>>;

/// Collects the lines that the proxy logs from now on.
fn collect_log(proxy: &mut Proxy) -> LogLines {
    let lines = LogLines::default();
    let collected = lines.clone();
    let mut log = proxy.log.take().expect("the log is not taken");
    tokio::spawn(async move {
        while let Ok(Some(line)) = log.next_line().await {
            collected.lock().expect("no panic").push(line);
        }
    });
    lines
}

#[tokio::test]
async fn new_clients_that_send_at_once_are_answered() {
    assert_new_clients_are_answered(Duration::ZERO).await;
}

#[tokio::test]
async fn new_clients_that_send_after_20_ms_are_answered() {
    assert_new_clients_are_answered(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn new_clients_that_send_after_400_ms_are_answered() {
    assert_new_clients_are_answered(Duration::from_millis(400)).await;
}

/// The number of clients that the proxy has room for.
const CLIENT_CAPACITY: usize = 16;
/// The first half of a request body.
const BODY_START: &str = "bo";
/// The second half of a request body.
const BODY_REST: &str = "dy";

/// Starts a proxy with room for `CLIENT_CAPACITY` clients.
async fn start_proxy_with_small_capacity() -> (Backend, Discovery, Proxy) {
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = (2 * CLIENT_CAPACITY + 32).into();
    let proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    (backend, discovery, proxy)
}

/// Returns a request up to the middle of its body.
fn partial_upload() -> String {
    let head = request_head("POST /once", &format!("{:016x}", unique_id()));
    let length = BODY_START.len() + BODY_REST.len();
    head.replace("Host: o\r\n", &format!("Host: o\r\nContent-Length: {length}\r\n")) + BODY_START
}

/// Guards against evicting a client that has sent a part of its head in favor of new clients.
#[tokio::test]
async fn client_in_the_middle_of_its_head_is_not_evicted() {
    let (_backend, _discovery, proxy) = start_proxy_with_small_capacity().await;
    // Given: a proxy at capacity, whose clients have sent half of their heads.
    let mut senders = Vec::new();
    for _ in 0..CLIENT_CAPACITY {
        let text = request_head("GET /look?k=1", &format!("{:016x}", unique_id()));
        let (first, rest) = text.split_at(text.len() / 2);
        let mut sender = connect_tcp(proxy.addr).await;
        sender.write_all(first.as_bytes()).await.expect("open");
        senders.push((sender, rest.to_string()));
    }
    // When: new clients are served, and then the others send the rest of their heads.
    for _ in 0..4 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    // Then: all of them are answered.
    for (mut sender, rest) in senders {
        sender.write_all(rest.as_bytes()).await.expect("open");
        assert!(read_status(&mut sender).await.is_some(), "the connection was closed without an answer");
    }
}

/// Guards against evicting a client that was served before as idle while it is in the middle of its next
/// body.
#[tokio::test]
async fn client_in_the_middle_of_its_body_is_not_evicted() {
    let (_backend, _discovery, proxy) = start_proxy_with_small_capacity().await;
    // Given: a proxy at capacity, whose clients were served and have sent half of the body of their next
    // request.
    let mut senders = Vec::new();
    for _ in 0..CLIENT_CAPACITY {
        let mut sender = RawConnection::connect(proxy.addr).await;
        sender.write(request_head("GET /look", &format!("{:016x}", unique_id()))).await;
        assert_eq!(sender.read_answer().await.expect("an answer").0, 200);
        sender.write(partial_upload()).await;
        wait_until_read(&proxy, &sender).await;
        senders.push(sender);
    }
    // When: new clients are served, and then the others send the rest of their bodies.
    for _ in 0..4 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    // Then: all of them are answered.
    for sender in &mut senders {
        sender.write(BODY_REST).await;
        assert!(sender.read_answer().await.is_some(), "the connection was closed without an answer");
    }
}

/// Guards against clients that stop in the middle of their bodies and take the room of all new clients.
#[tokio::test]
async fn stalled_uploads_do_not_block_new_clients() {
    let (_backend, _discovery, proxy) = start_proxy_with_small_capacity().await;
    // Given: more stalled uploads than the proxy has room for, some of which it may only reject.
    let mut stalled = Vec::new();
    for _ in 0..4 * CLIENT_CAPACITY {
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(partial_upload()).await;
        stalled.push(client);
    }
    // When: a new client connects. Then: it is served long before the time limit of the stalled uploads.
    let started_at = Instant::now();
    assert_eq!(proxy.call("look").await.0, 200);
    assert!(started_at.elapsed() < DEADLINE, "{:?}", started_at.elapsed());
}

/// The memory limit of the proxy.
const MEMORY_MB: usize = 32;
/// The number of connections that the proxy closes during the test.
const CLOSED_CONNECTIONS: usize = 100_000;

/// Guards against ended connections that stay in the task set of the accept loop and exhaust the memory.
#[tokio::test(flavor = "multi_thread")]
async fn reconnecting_clients_do_not_exhaust_the_memory() {
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTOR_LIMIT});
    let proxy =
        Proxy::start_with_command(&config, &format!("ulimit -n {DESCRIPTOR_LIMIT}; exec \"$0\"")).await;
    let closed = Arc::new(watch::Sender::new(0));
    let mut busy_clients = JoinSet::new();
    for _ in 0..DESCRIPTOR_LIMIT {
        let (addr, closed) = (proxy.addr, closed.clone());
        busy_clients.spawn(async move {
            loop {
                send_malformed_request(addr).await;
                closed.send_modify(|count| *count += 1);
            }
        });
    }
    in_time(closed.subscribe().wait_for(|count| *count >= CLOSED_CONNECTIONS)).await.expect("open");
    let resident_mb = proxy.resident_mb();
    println!("{resident_mb} MB resident");
    assert!(resident_mb < MEMORY_MB, "{resident_mb} MB after {CLOSED_CONNECTIONS} connections");
}

/// Sends bytes that are not an HTTP request, and waits until the connection is closed.
async fn send_malformed_request(addr: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return };
    // A reset counts as a close as well.
    let _ = stream.write_all(b"nothing\r\n\r\n").await;
    let _ = stream.read_to_end(&mut Vec::new()).await;
}
