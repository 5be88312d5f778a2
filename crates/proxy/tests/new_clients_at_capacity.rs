//! The started program full of clients that send again at once: a client that comes new gets its answer too.

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

/// Descriptors of the proxy, and clients in the crowd.
const DESCRIPTORS: usize = 128;
/// A backend's time for a request.
const SERVICE_TIME_MS: usize = 2000;
/// A newcomer's deadline.
const DEADLINE: Duration = Duration::from_secs(1);
/// A newcomer learns its fate so long after its deadline at the latest.
const SLACK: Duration = Duration::from_millis(500);
/// Newcomers that are under way at once, and how many come in turn in the place of each.
const NEWCOMERS_AT_ONCE: usize = 4;
const NEWCOMERS_IN_TURN: usize = 20;

/// Clients that keep their connections and send again at once, whatever they were answered.
struct BusyCrowd {
    _tasks: JoinSet<()>,
    rejected: Arc<watch::Sender<usize>>,
}

impl BusyCrowd {
    /// Returns once the proxy has rejected as many requests as there are clients.
    async fn start(addr: SocketAddr) -> Self {
        let mut tasks = JoinSet::new();
        let rejected = Arc::new(watch::Sender::new(0));
        for _ in 0..DESCRIPTORS {
            let rejected = rejected.clone();
            tasks.spawn(async move {
                loop {
                    send_until_closed(addr, &rejected).await;
                }
            });
        }
        let enough = 2 * DESCRIPTORS;
        in_time(rejected.subscribe().wait_for(|count| *count >= enough)).await.expect("open");
        BusyCrowd { _tasks: tasks, rejected }
    }
}

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

/// What a newcomer learnt, and how long after its connect.
#[derive(Debug, Clone, Copy)]
struct Fate {
    status: Option<u16>,
    took: Duration,
}

/// Connects, sends its request so much later, and waits for its fate: an answer, or the end of its connection, after
/// which it comes again as long as its deadline lasts.
async fn come_new(addr: SocketAddr, first_byte_after: Duration) -> Fate {
    let began = Instant::now();
    loop {
        let status = timeout(DEADLINE + SLACK, try_once(addr, first_byte_after)).await.ok().flatten();
        let took = began.elapsed();
        if status.is_some() || took >= DEADLINE {
            return Fate { status, took };
        }
    }
}

async fn try_once(addr: SocketAddr, first_byte_after: Duration) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    sleep(first_byte_after).await;
    let id = format!("{:016x}", fresh_id());
    let deadline_ms = DEADLINE.as_millis();
    let head = format!(
        "GET /look HTTP/1.1\r\nHost: o\r\nReq-Id: {id}\r\nReq-Owner: acme\r\nReq-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    status(&mut stream).await
}

/// An id that no other request of this program has.
fn fresh_id() -> usize {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(1 << 60);
    NEXT_ID.fetch_add(1, SeqCst)
}

/// The fates of newcomers that send so long after their connect.
async fn newcomers(addr: SocketAddr, first_byte_after: Duration) -> Vec<Fate> {
    let mut lanes = JoinSet::new();
    for _ in 0..NEWCOMERS_AT_ONCE {
        lanes.spawn(async move {
            let mut fates = Vec::new();
            for _ in 0..NEWCOMERS_IN_TURN {
                fates.push(come_new(addr, first_byte_after).await);
            }
            fates
        });
    }
    lanes.join_all().await.concat()
}

/// Newcomers that send at the latest 0.5 s after their connect learn their fate within their deadline and 0.5 s, nine in
/// ten of them by an answer.
async fn newcomers_are_answered(first_byte_after: Duration) {
    let script = Arc::new(BackendScript::default());
    script.service_time_ms.store(SERVICE_TIME_MS, SeqCst);
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = DESCRIPTORS.into();
    let mut proxy = Proxy::start_as(&config, &format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")).await;
    let log = collect_log(&mut proxy);
    let crowd = BusyCrowd::start(proxy.addr).await;
    let fates = newcomers(proxy.addr, first_byte_after).await;
    let rejected = *crowd.rejected.borrow();
    let answered = fates.iter().filter(|fate| fate.status.is_some()).count();
    let slowest = fates.iter().map(|fate| fate.took).max().expect("some came");
    println!(
        "first byte after {first_byte_after:?}: {answered} of {} answered, the slowest after {slowest:?}; {rejected} of the crowd rejected",
        fates.len()
    );
    for line in log.lock().expect("no panic").iter().filter(|line| line.contains("no space")) {
        println!("{line}");
    }
    assert!(slowest <= DEADLINE + SLACK, "{slowest:?}");
    assert!(answered * 10 >= fates.len() * 9, "{answered} of {}", fates.len());
}

type LogLines = Arc<std::sync::Mutex<Vec<String>>>;

/// Reads the program's log from now on.
fn collect_log(proxy: &mut Proxy) -> LogLines {
    let lines = LogLines::default();
    let collected = lines.clone();
    let mut log = proxy.log.take().expect("nobody has it");
    tokio::spawn(async move {
        while let Ok(Some(line)) = log.next_line().await {
            collected.lock().expect("no panic").push(line);
        }
    });
    lines
}

#[tokio::test]
async fn newcomers_that_send_at_once_are_answered() {
    newcomers_are_answered(Duration::ZERO).await;
}

#[tokio::test]
async fn newcomers_that_send_20_ms_after_their_connect_are_answered() {
    newcomers_are_answered(Duration::from_millis(20)).await;
}

#[tokio::test]
async fn newcomers_that_send_400_ms_after_their_connect_are_answered() {
    newcomers_are_answered(Duration::from_millis(400)).await;
}

/// Clients that the proxy has places for.
const PLACES: usize = 16;
/// The halves of a body.
const BODY_BEGIN: &str = "bo";
const BODY_REST: &str = "dy";

async fn proxy_with_few_places() -> (Backend, Discovery, Proxy) {
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"]["sockets"] = (2 * PLACES + 32).into();
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.wait_until_applied().await;
    (backend, discovery, proxy)
}

/// A request up to the middle of its body.
fn begin_upload() -> String {
    let head = call("POST /once", &format!("{:016x}", fresh_id()));
    let length = BODY_BEGIN.len() + BODY_REST.len();
    head.replace("Host: o\r\n", &format!("Host: o\r\nContent-Length: {length}\r\n")) + BODY_BEGIN
}

/// Guards against evicting a client that has sent a part of its head for any that comes.
#[tokio::test]
async fn a_client_in_the_middle_of_its_head_does_not_give_way_to_one_that_comes() {
    let (_backend, _discovery, proxy) = proxy_with_few_places().await;
    // Given: all places are taken by clients that have sent half of their heads.
    let mut senders = Vec::new();
    for _ in 0..PLACES {
        let text = call("GET /look?k=1", &format!("{:016x}", fresh_id()));
        let (first, rest) = text.split_at(text.len() / 2);
        let mut sender = connected(proxy.addr).await;
        sender.write_all(first.as_bytes()).await.expect("open");
        senders.push((sender, rest.to_string()));
    }
    // When: others come and are served, and the rest of the heads after them.
    for _ in 0..4 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    // Then: all have their answers.
    for (mut sender, rest) in senders {
        sender.write_all(rest.as_bytes()).await.expect("open");
        assert!(status(&mut sender).await.is_some(), "it was closed unanswered");
    }
}

/// The same for its body: a client that was served before is not idle in the middle of it.
#[tokio::test]
async fn a_client_in_the_middle_of_its_body_does_not_give_way_to_one_that_comes() {
    let (_backend, _discovery, proxy) = proxy_with_few_places().await;
    // Given: all places are taken by clients that were served, and have sent half of the body of their next request.
    let mut senders = Vec::new();
    for _ in 0..PLACES {
        let mut sender = RawConnection::connect(proxy.addr).await;
        sender.write(call("GET /look", &format!("{:016x}", fresh_id()))).await;
        assert_eq!(sender.read_answer().await.expect("an answer").0, 200);
        sender.write(begin_upload()).await;
        all_is_read(&proxy, &sender).await;
        senders.push(sender);
    }
    // When: others come and are served, and the rest of the bodies after them.
    for _ in 0..4 {
        assert_eq!(proxy.call("look").await.0, 200);
    }
    // Then: all have their answers.
    for sender in &mut senders {
        sender.write(BODY_REST).await;
        assert!(sender.read_answer().await.is_some(), "it was closed unanswered");
    }
}

/// Guards against clients that stop in the middle of their bodies and keep all others out.
#[tokio::test]
async fn clients_that_stop_in_the_middle_of_their_bodies_keep_nobody_out() {
    let (_backend, _discovery, proxy) = proxy_with_few_places().await;
    // Given: more of them than there are places, those included whose clients are only rejected.
    let mut stopped = Vec::new();
    for _ in 0..4 * PLACES {
        let mut client = RawConnection::connect(proxy.addr).await;
        client.write(begin_upload()).await;
        stopped.push(client);
    }
    // When: another comes. Then: it is served, long before their time is over.
    let begun_at = Instant::now();
    assert_eq!(proxy.call("look").await.0, 200);
    assert!(begun_at.elapsed() < DEADLINE, "{:?}", begun_at.elapsed());
}

/// Memory that the proxy may use.
const MEMORY_MB: usize = 32;
/// So often a client of the crowd is shut out.
const SHUT_OUT_TIMES: usize = 100_000;

/// Guards against ended connections that stay in the accept loop's set and fill the memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_crowd_that_comes_again_and_again_does_not_fill_the_memory() {
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
    let mut config = discovery.config(settings());
    config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS});
    let proxy = Proxy::start_as(&config, &format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")).await;
    let shut_out = Arc::new(watch::Sender::new(0));
    let mut crowd = JoinSet::new();
    for _ in 0..DESCRIPTORS {
        let (addr, shut_out) = (proxy.addr, shut_out.clone());
        crowd.spawn(async move {
            loop {
                send_improper_request(addr).await;
                shut_out.send_modify(|count| *count += 1);
            }
        });
    }
    in_time(shut_out.subscribe().wait_for(|count| *count >= SHUT_OUT_TIMES)).await.expect("open");
    let resident_mb = proxy.resident_mb();
    println!("{resident_mb} MB");
    assert!(resident_mb < MEMORY_MB, "{resident_mb} MB after {SHUT_OUT_TIMES} connections");
}

/// Sends what is no request, and waits until the connection is shut.
async fn send_improper_request(addr: SocketAddr) {
    let Ok(mut stream) = TcpStream::connect(addr).await else { return };
    // One that is reset was shut, too.
    let _ = stream.write_all(b"nothing\r\n\r\n").await;
    let _ = stream.read_to_end(&mut Vec::new()).await;
}
