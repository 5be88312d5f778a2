//! The descriptors of the old and the new process in an upgrade whose new process does not serve yet.

mod support;

use serde_json::Value;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::Ordering::SeqCst;
use std::time::Duration;
use support::*;
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

/// The descriptor limit of all processes of the proxy together.
const DESCRIPTOR_LIMIT: usize = 128;
/// The number of clients that connect at the same time, each of which uses a connection to a backend.
const CONCURRENT_CLIENTS: usize = 40;
/// The time in which the backend serves a request.
const SERVICE_TIME_MS: usize = 200;
/// The time for which the descriptors are counted.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// The time between two counts.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

struct Fixture {
    _backend: Backend,
    _discovery: Discovery,
    config: Value,
    old: Proxy,
    clients: Vec<Client>,
}

impl Fixture {
    /// Starts a proxy with many idle connections to clients and backends that have each carried a request.
    async fn new() -> Self {
        let script = Arc::new(BackendScript::default());
        script.service_time_ms.store(SERVICE_TIME_MS, SeqCst);
        let backend = Backend::start("a", &script).await;
        let discovery = Discovery::start(vec![backend.endpoint("SERVING")]).await;
        let mut config = discovery.config(settings());
        config["limits"]["sockets"] = DESCRIPTOR_LIMIT.into();
        config["management"] = "127.0.0.1:0".into();
        let old = Proxy::start_with_command(&config, "exec \"$0\"").await;
        discovery.wait_until_applied().await;
        let clients = Vec::new();
        let mut fixture = Fixture { _backend: backend, _discovery: discovery, config, old, clients };
        fixture.fill_with_connections().await;
        fixture
    }

    /// Connects clients, which stay connected, until more than half of the descriptors are in use.
    async fn fill_with_connections(&mut self) {
        while self.old_descriptors() <= DESCRIPTOR_LIMIT / 2 {
            let mut calls = JoinSet::new();
            for _ in 0..CONCURRENT_CLIENTS {
                let mut client = self.old.client().await;
                calls.spawn(async move {
                    client.call("look").await;
                    client
                });
            }
            self.clients.extend(calls.join_all().await);
        }
    }

    fn old_descriptors(&self) -> usize {
        count_descriptors(&self.old.descriptor_table())
    }

    /// Starts a process next to the old one; it gets no endpoint list and therefore does not serve.
    async fn start_new_process(&self) -> StartingProcess {
        let discovery = Discovery::start(Vec::new()).await;
        discovery.set_behavior(DiscoveryBehavior::Silent).await;
        let mut config = discovery.config(settings());
        config["limits"]["sockets"] = DESCRIPTOR_LIMIT.into();
        config["management"] = "127.0.0.1:0".into();
        config["listen"] = self.config["listen"].clone();
        let child = Command::new(env!("CARGO_BIN_EXE_foldhitch-proxy"))
            .env_remove("RELAY_LISTEN")
            .env("RELAY_DISCOVERY", config["discovery"].as_str().expect("text"))
            .env("RELAY_CONFIG", write_config(&config.to_string()))
            .env("TMPDIR", &self.old.temp_dir)
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("the program starts");
        StartingProcess { child, _discovery: discovery }
    }

    async fn wait_until_old_holds(&self, is_enough: impl Fn(usize) -> bool) {
        in_time(async {
            while !is_enough(self.old_descriptors()) {
                sleep(COUNT_INTERVAL).await;
            }
        })
        .await;
    }
}

struct StartingProcess {
    child: Child,
    _discovery: Discovery,
}

impl StartingProcess {
    fn descriptors(&self) -> usize {
        count_descriptors(&format!("/proc/{}/fd", self.child.id().expect("the process runs")))
    }
}

fn count_descriptors(folder: &str) -> usize {
    std::fs::read_dir(folder).expect("the process runs").count()
}

/// Guards against two processes that together exceed the descriptor limit from the start of the new one on,
/// and against an old process that does not free half of its descriptors.
#[tokio::test]
async fn descriptors_are_shared_with_a_starting_process() {
    let fixture = Fixture::new().await;
    // When: a new process starts.
    let new = fixture.start_new_process().await;
    // Then: both stay within the limit, and the old one frees half of its descriptors.
    let watched_until = Instant::now() + WATCH_DURATION;
    while Instant::now() < watched_until {
        let held = fixture.old_descriptors() + new.descriptors();
        assert!(held <= DESCRIPTOR_LIMIT, "{held} descriptors are in use");
        sleep(COUNT_INTERVAL).await;
    }
    assert!(fixture.old_descriptors() <= DESCRIPTOR_LIMIT / 2);
}

/// Guards against losing the descriptors that were left to a new process which ended before it served.
#[tokio::test]
async fn descriptors_return_when_the_starting_process_ends() {
    let mut fixture = Fixture::new().await;
    // Given: an old process that has freed half of its descriptors for a new one.
    let mut new = fixture.start_new_process().await;
    fixture.wait_until_old_holds(|held| held <= DESCRIPTOR_LIMIT / 2).await;
    // When: the new process ends. Then: the old one uses the freed descriptors again.
    new.child.kill().await.expect("the process runs");
    in_time(fixture.fill_with_connections()).await;
}

/// Guards against handing over to a new process that does not serve yet: the old process shuts down as if it
/// were alone, and serves meanwhile.
#[tokio::test]
async fn shutdown_before_the_new_process_serves_keeps_serving() {
    let mut fixture = Fixture::new().await;
    // Given: a new process that has no endpoint list.
    let _new = fixture.start_new_process().await;
    fixture.wait_until_old_holds(|held| held <= DESCRIPTOR_LIMIT / 2).await;
    // When: the old process gets a SIGTERM. Then: it serves until it ends.
    fixture.old.terminate().await;
    assert_eq!(fixture.old.call("look").await.0, 200);
    assert!(fixture.old.wait_for_exit().await.success());
}
