//! Tests of the proxy program at its descriptor limit: it reserves descriptors for discovery, backends and
//! the admin API. The limit on open files of the process equals the configured one, so that one descriptor
//! too many is an error, as in production.

mod support;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::SendRequest;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

/// The descriptor limit of the proxy.
const DESCRIPTORS: usize = 128;
/// The time after the notification of a drain during which a request may still be sent, by the settings.
const DRAIN_DEADLINE: Duration = Duration::from_millis(500);

/// Clients that never send a complete request and reconnect at once when they are disconnected.
struct ReconnectingClients {
    _tasks: JoinSet<()>,
    /// The number of times that a client was disconnected.
    disconnects: Arc<watch::Sender<usize>>,
}

impl ReconnectingClients {
    fn start(addr: SocketAddr, first_bytes: &'static str) -> Self {
        let (mut tasks, disconnects) = (JoinSet::new(), Arc::new(watch::Sender::new(0)));
        for _ in 0..DESCRIPTORS {
            let disconnects = disconnects.clone();
            tasks.spawn(async move {
                loop {
                    if let Ok(mut stream) = TcpStream::connect(addr).await {
                        let _ = stream.write_all(first_bytes.as_bytes()).await;
                        // The connection is closed or reset, or rejected for being too slow.
                        let _ = stream.read_to_end(&mut Vec::new()).await;
                        disconnects.send_modify(|count| *count += 1);
                    }
                    tokio::task::yield_now().await;
                }
            });
        }
        ReconnectingClients { _tasks: tasks, disconnects }
    }

    /// Waits for this many further disconnects.
    async fn wait_for_disconnects(&self, times: usize) {
        let before = *self.disconnects.borrow();
        in_time(self.disconnects.subscribe().wait_for(|n| *n >= before + times)).await.expect("open");
    }
}

fn config(discovery: &Discovery, mode: &str) -> Value {
    let mut settings = settings();
    settings["discovery"] = mode.into();
    settings["guarantees"]["askWithin"] = 1000.0.into();
    let mut config = discovery.config(settings);
    config["management"] = "127.0.0.1:0".into();
    config["limits"]["sockets"] = DESCRIPTORS.into();
    config
}

fn start_command() -> String {
    format!("ulimit -n {DESCRIPTORS}; exec \"$0\"")
}

/// Sends a request and returns the status and the body of the response, or `None` if the connection ends
/// first.
async fn try_call(client: &mut SendRequest<Full<Bytes>>) -> Option<(u16, Bytes)> {
    client.ready().await.ok()?;
    let request = request("look").body(Full::default()).expect("a valid request");
    let answer = client.send_request(request).await.ok()?;
    let status = answer.status().as_u16();
    Some((status, answer.into_body().collect().await.ok()?.to_bytes()))
}

/// Sends requests on new connections until one is served. Among many clients a connection may be closed
/// unread, or its request rejected.
async fn call_until_served(addr: SocketAddr) {
    let call =
        async { while try_call(&mut connect(addr).await).await.is_none_or(|(status, _)| status != 200) {} };
    in_time(call).await;
}

/// Clients that send one request after another; there are more of them than the proxy has space for.
struct BusyClients {
    tasks: JoinSet<()>,
    held_responses: Vec<Arc<Notify>>,
    should_stop: Arc<AtomicBool>,
}

impl BusyClients {
    /// Starts the clients and waits until they have been served. From then on each request that reaches a
    /// backend is held there; returns once the proxy is full of them.
    async fn start_and_saturate(proxy: &Proxy, script: &Arc<BackendScript>) -> Self {
        let (mut tasks, should_stop) = (JoinSet::new(), Arc::new(AtomicBool::new(false)));
        // Responses with status 200; requests that were rejected or whose connection was closed.
        let [served_count, rejected] = [(); 2].map(|()| Arc::new(watch::Sender::new(0)));
        for _ in 0..DESCRIPTORS / 2 {
            let (addr, should_stop) = (proxy.addr, should_stop.clone());
            let (served_count, rejected) = (served_count.clone(), rejected.clone());
            tasks.spawn(async move {
                loop {
                    let mut client = connect(addr).await;
                    while let Some((status, _)) = try_call(&mut client).await {
                        match status {
                            200 => served_count.send_modify(|n| *n += 1),
                            503 => rejected.send_modify(|n| *n += 1),
                            other => panic!("answered {other}"),
                        }
                        if status == 200 && should_stop.load(SeqCst) {
                            return;
                        }
                    }
                    rejected.send_modify(|n| *n += 1);
                }
            });
        }
        in_time(served_count.subscribe().wait_for(|n| *n >= 10 * DESCRIPTORS)).await.expect("open");
        let held_responses: Vec<_> = (0..10 * DESCRIPTORS).map(|_| Arc::new(Notify::new())).collect();
        script.enqueue(held_responses.iter().cloned().map(BackendBehavior::Hold));
        let before = *rejected.borrow();
        let rejected_target = before + 10 * DESCRIPTORS;
        in_time(rejected.subscribe().wait_for(|n| *n >= rejected_target)).await.expect("open");
        BusyClients { tasks, held_responses, should_stop }
    }

    /// Waits until each client has been served once more.
    async fn finish(mut self) {
        self.should_stop.store(true, SeqCst);
        self.held_responses.iter().for_each(|release| release.notify_one());
        while let Some(done) = in_time(self.tasks.join_next()).await {
            done.expect("no panic");
        }
    }
}

/// Samples the number of descriptors that processes hold together, and records the maximum.
struct DescriptorWatcher {
    _task: JoinSet<()>,
    peak: Arc<AtomicUsize>,
}

impl DescriptorWatcher {
    fn start(proxies: &[&Proxy]) -> Self {
        let peak = Arc::<AtomicUsize>::default();
        let mut task = JoinSet::new();
        let (seen, tables) = (peak.clone(), proxies.iter().map(|p| p.descriptor_table()).collect::<Vec<_>>());
        task.spawn(async move {
            loop {
                let held = |table| std::fs::read_dir(table).map_or(0, |entries| entries.count());
                seen.fetch_max(tables.iter().map(held).sum(), SeqCst);
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        });
        DescriptorWatcher { _task: task, peak }
    }
}

/// Clients fill the proxy while discovery is down. When discovery recovers, the watch, the backend
/// connections and the admin API still get their descriptors: the list change of the meantime is applied,
/// requests are served, and the admin API answers.
async fn check_full_while_discovery_is_down(
    mode: &str,
    down: DiscoveryBehavior,
    first_bytes: &'static str,
    with_busy_clients: bool,
) {
    let script = Arc::new(BackendScript::default());
    // Enough backends to hold all requests at the same time.
    let mut backends = Vec::new();
    for name in ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n", "o", "p"] {
        backends.push(Backend::start(name, &script).await);
    }
    let endpoints = |health: &str| {
        let (a, others) = backends.split_first().expect("some");
        let others = others.iter().map(|backend| backend.endpoint("SERVING"));
        std::iter::once(a.endpoint(health)).chain(others).collect::<Vec<_>>()
    };
    let discovery = Discovery::start(endpoints("SERVING")).await;
    let proxy = Proxy::start_with_command(&config(&discovery, mode), &start_command()).await;
    discovery.wait_until_applied().await;
    let watcher = DescriptorWatcher::start(&[&proxy]);
    // Given: discovery is down, and clients fill the proxy.
    discovery.set_behavior(down).await;
    let busy_clients =
        if with_busy_clients { Some(BusyClients::start_and_saturate(&proxy, &script).await) } else { None };
    let clients = ReconnectingClients::start(proxy.addr, first_bytes);
    clients.wait_for_disconnects(2 * DESCRIPTORS).await;
    assert_eq!(proxy.call_admin("GET", "/v1/readyz").await, 200);
    // When: discovery recovers with a changed list.
    discovery.replace_list(endpoints("DRAINING"));
    discovery.set_behavior(DiscoveryBehavior::Up).await;
    discovery.wait_until_applied().await;
    // Then: the list is applied, the admin API answers and requests are served.
    for action in ["suspend", "resume"] {
        assert_eq!(proxy.call_admin("POST", &format!("/v1/backends/b/{action}")).await, 200);
    }
    tokio::time::sleep(DRAIN_DEADLINE).await;
    let before = script.requests_at("a");
    if let Some(busy_clients) = busy_clients {
        busy_clients.finish().await;
    }
    for _ in 0..10 {
        call_until_served(proxy.addr).await;
    }
    assert_eq!(script.requests_at("a"), before, "no new request to the draining backend");
    clients.wait_for_disconnects(1).await;
    let peak = watcher.peak.load(SeqCst);
    assert!(peak < DESCRIPTORS, "no descriptor was free: {peak} were open");
}

const NO_BYTES: &str = "";
const INCOMPLETE_HEAD: &str = "GET /look HTTP/1.1\r\nHost: o\r\n";

#[tokio::test]
async fn full_of_idle_clients_while_discovery_refuses() {
    check_full_while_discovery_is_down("automatic", DiscoveryBehavior::Refusing, NO_BYTES, false).await;
    check_full_while_discovery_is_down("subscribe", DiscoveryBehavior::Refusing, NO_BYTES, false).await;
}

#[tokio::test]
async fn full_of_idle_clients_while_discovery_is_silent() {
    check_full_while_discovery_is_down("automatic", DiscoveryBehavior::Silent, NO_BYTES, false).await;
    check_full_while_discovery_is_down("subscribe", DiscoveryBehavior::Silent, NO_BYTES, false).await;
}

#[tokio::test]
async fn full_of_slow_clients_while_discovery_refuses() {
    check_full_while_discovery_is_down("automatic", DiscoveryBehavior::Refusing, INCOMPLETE_HEAD, false)
        .await;
}

#[tokio::test]
async fn full_of_busy_and_idle_clients_while_discovery_refuses() {
    check_full_while_discovery_is_down("automatic", DiscoveryBehavior::Refusing, NO_BYTES, true).await;
    check_full_while_discovery_is_down("subscribe", DiscoveryBehavior::Refusing, NO_BYTES, true).await;
}

#[tokio::test]
async fn full_of_busy_and_slow_clients_while_discovery_is_silent() {
    check_full_while_discovery_is_down("automatic", DiscoveryBehavior::Silent, INCOMPLETE_HEAD, true).await;
}

/// Guards against accepting more connections from the closing listener than there are free descriptors.
#[tokio::test]
async fn shutdown_with_idle_clients_keeps_a_descriptor_free() {
    let script = Arc::new(BackendScript::default());
    let backend = Backend::start("a", &script).await;
    let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
    let mut proxy = Proxy::start_with_command(&config(&discovery, "automatic"), &start_command()).await;
    discovery.wait_until_applied().await;
    let watcher = DescriptorWatcher::start(&[&proxy]);
    let clients = ReconnectingClients::start(proxy.addr, NO_BYTES);
    clients.wait_for_disconnects(2 * DESCRIPTORS).await;
    // When: the proxy shuts down. Then: it never used its last descriptor.
    proxy.terminate().await;
    assert!(proxy.wait_for_exit().await.success());
    let peak = watcher.peak.load(SeqCst);
    assert!(peak < DESCRIPTORS, "no descriptor was free: {peak} were open");
}
