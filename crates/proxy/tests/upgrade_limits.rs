//! An upgrade in which the new process has started and does not serve yet: who holds how many descriptors.

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

/// Descriptors of all processes of the proxy together.
const DESCRIPTOR_LIMIT: usize = 128;
/// Clients that come at once, each with a connection to a backend for so long.
const CONCURRENT_CLIENTS: usize = 40;
const SERVICE_TIME_MS: usize = 200;
/// How long the descriptors are watched.
const WATCH_DURATION: Duration = Duration::from_secs(2);
/// How often they are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(5);

struct Fixture {
    _backend: Backend,
    _discovery: Discovery,
    config: Value,
    old: Proxy,
    clients: Vec<Client>,
}

impl Fixture {
    /// A proxy with many connections that are idle behind a request, on either side.
    async fn new() -> Self {
        let script = Arc::new(BackendScript::default());
        script.service_time_ms.store(SERVICE_TIME_MS, SeqCst);
        let backend = Backend::start("a", &script).await;
        let discovery = Discovery::start(vec![backend.line("SERVING")]).await;
        let mut config = discovery.config(settings());
        config["limits"]["sockets"] = DESCRIPTOR_LIMIT.into();
        config["management"] = "127.0.0.1:0".into();
        let old = Proxy::start_as(&config, "exec \"$0\"").await;
        discovery.wait_until_applied().await;
        let clients = Vec::new();
        let mut fixture = Fixture { _backend: backend, _discovery: discovery, config, old, clients };
        fixture.fill_with_connections().await;
        fixture
    }

    /// Lets clients come at once, and stay, until more than a half of the descriptors is held.
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

    /// A process beside the old one, which gets no endpoint list.
    async fn start_new_process(&self) -> StartingProcess {
        let discovery = Discovery::start(Vec::new()).await;
        discovery.set(DiscoveryBehavior::Silent).await;
        let mut config = discovery.config(settings());
        config["limits"]["sockets"] = DESCRIPTOR_LIMIT.into();
        config["management"] = "127.0.0.1:0".into();
        config["listen"] = self.config["listen"].clone();
        let child = Command::new(env!("CARGO_BIN_EXE_foldhitch-proxy"))
            .env_remove("RELAY_LISTEN")
            .env("RELAY_DISCOVERY", config["discovery"].as_str().expect("text"))
            .env("RELAY_CONFIG", write_config(&config.to_string()))
            .env("TMPDIR", &self.old.folder)
            .stderr(Stdio::null())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
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
        count_descriptors(&format!("/proc/{}/fd", self.child.id().expect("it runs")))
    }
}

fn count_descriptors(folder: &str) -> usize {
    std::fs::read_dir(folder).expect("it runs").count()
}

/// Both hold no more than the limit, from the start of the new one on, and the old one gives up its half.
#[tokio::test]
async fn descriptors_are_shared_with_a_starting_process() {
    let fixture = Fixture::new().await;
    let new = fixture.start_new_process().await;
    let watched_until = Instant::now() + WATCH_DURATION;
    while Instant::now() < watched_until {
        let held = fixture.old_descriptors() + new.descriptors();
        assert!(held <= DESCRIPTOR_LIMIT, "{held} descriptors are held");
        sleep(COUNT_INTERVAL).await;
    }
    assert!(fixture.old_descriptors() <= DESCRIPTOR_LIMIT / 2);
}

/// The half of a process that ends before it serves is there again.
#[tokio::test]
async fn descriptors_return_when_the_starting_process_ends() {
    let mut fixture = Fixture::new().await;
    let mut new = fixture.start_new_process().await;
    fixture.wait_until_old_holds(|held| held <= DESCRIPTOR_LIMIT / 2).await;
    new.child.kill().await.expect("it runs");
    in_time(fixture.fill_with_connections()).await;
}

/// Who does not serve yet is no successor: the process that is told to stop goes on as if it were alone.
#[tokio::test]
async fn shutdown_before_the_new_process_serves_keeps_serving() {
    let mut fixture = Fixture::new().await;
    let _new = fixture.start_new_process().await;
    fixture.wait_until_old_holds(|held| held <= DESCRIPTOR_LIMIT / 2).await;
    fixture.old.terminate().await;
    assert_eq!(fixture.old.call("look").await.0, 200);
    assert!(fixture.old.ended().await.success());
}
