//! Tests of the components of the real part on loopback connections, and of the program as a whole. The tests wait for
//! events, never for a fixed time.

use foldhitch_scale_test::real::backends::{BackendConfig, Backends, Mode, NextHops};
use foldhitch_scale_test::real::client::{Answer, Call, Client};
use foldhitch_scale_test::real::registry::{Endpoint, Health, Registry};
use foldhitch_scale_test::scenario::Scenario;
use serde_json::Value;
use std::net::SocketAddr;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Output, Stdio};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::Command;
use tokio::task::JoinHandle;
use tokio::time::timeout;

/// The time limit for every event that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const TARGET: &str = include_str!("../scenarios/target.toml");

async fn within_timeout<T>(future: impl Future<Output = T>) -> T {
    timeout(TEST_TIMEOUT, future).await.expect("the event comes within the time limit")
}

/// A connection of a proxy to the discovery stand-in, and the number of bytes transferred over it.
struct Watch {
    stream: TcpStream,
    bytes: usize,
}

impl Watch {
    async fn open(address: SocketAddr) -> Self {
        let stream =
            within_timeout(TcpStream::connect(address)).await.expect("the address accepts connections");
        Watch { stream, bytes: 0 }
    }

    async fn send_request(&mut self, path: &str) {
        let head = format!("GET {path} HTTP/1.1\r\nHost: registry\r\n\r\n");
        self.stream.write_all(head.as_bytes()).await.expect("the connection is open");
        self.bytes += head.len();
    }

    /// Reads a response and returns its status and body.
    async fn read_response(&mut self) -> (u16, Value) {
        let mut text = Vec::new();
        within_timeout(async {
            loop {
                let head = text.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4);
                if let Some(at) = head {
                    let head = String::from_utf8(text[..at].to_vec()).expect("text").to_lowercase();
                    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("a status");
                    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
                    let length: usize = length.expect("a length").parse().expect("a number");
                    if text.len() == at + length {
                        self.bytes += text.len();
                        return (status, serde_json::from_slice(&text[at..]).unwrap_or(Value::Null));
                    }
                }
                assert_ne!(self.stream.read_buf(&mut text).await.expect("the connection is open"), 0);
            }
        })
        .await
    }

    async fn call(&mut self, path: &str) -> (u16, Value) {
        self.send_request(path).await;
        self.read_response().await
    }

    /// Requests a page of the endpoint list and returns its version, whether it is the full list, and its entries.
    async fn get_page(&mut self, path: &str) -> (u64, bool, Vec<(String, String)>) {
        self.send_request(path).await;
        self.read_page().await
    }

    async fn read_page(&mut self) -> (u64, bool, Vec<(String, String)>) {
        let (status, page) = self.read_response().await;
        assert_eq!(status, 200);
        let host = |h: &Value| {
            assert!(h["dial"].as_str().is_some_and(|dial| dial.parse::<SocketAddr>().is_ok()));
            assert!(h["site"].is_string() && h["class"].is_string() && h["block"].is_u64());
            assert!(h["share"].is_f64() && h["born_ms"].is_u64());
            (h["host"].as_str().expect("a name").into(), h["health"].as_str().expect("a health").into())
        };
        let hosts = page["hosts"].as_array().expect("entries").iter().map(host).collect();
        (page["seq"].as_u64().expect("a version"), page["whole"].as_bool().expect("whole or not"), hosts)
    }
}

fn endpoint(number: u16) -> Endpoint {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + number));
    Endpoint::serving(format!("s-{number}"), address, "z0".to_string(), 0)
}

fn names_and_health(endpoints: &[(u16, &str)]) -> Vec<(String, String)> {
    endpoints.iter().map(|(number, health)| (format!("s-{number}"), (*health).to_string())).collect()
}

#[tokio::test]
async fn watch_waits_for_a_change_and_returns_it() {
    let registry =
        Registry::start(vec![endpoint(1), endpoint(2), endpoint(3)], 1).await.expect("the listeners start");
    let mut watch = Watch::open(registry.addresses()[0]).await;
    let all = names_and_health(&[(1, "SERVING"), (2, "SERVING"), (3, "SERVING")]);
    assert_eq!(watch.get_page("/registry/instances").await, (1, true, all.clone()));
    assert_eq!(
        watch.get_page("/registry/instances?after=1&wait_ms=1").await,
        (1, false, vec![]),
        "no changes"
    );
    // The change is made after the stand-in has received the watch, so the watch has to wait for it.
    watch.send_request("/registry/instances?after=1&wait_ms=60000").await;
    assert_eq!(registry.wait_until_in_force(1, TEST_TIMEOUT).await, 1);
    let drained = Endpoint { health: Health::Draining, ..endpoint(2) };
    assert_eq!(registry.publish_change(vec![drained]), 2);
    assert_eq!(watch.read_page().await, (2, false, names_and_health(&[(2, "DRAINING")])));
    // Changes made between two watches are combined, with the last state of each backend.
    registry.publish_change(vec![Endpoint { health: Health::Deleted, ..endpoint(1) }, endpoint(4)]);
    registry.publish_change(vec![Endpoint { health: Health::Draining, ..endpoint(4) }]);
    let both = names_and_health(&[(1, "DELETED"), (4, "DRAINING")]);
    assert_eq!(watch.get_page("/registry/instances?after=2&wait_ms=60000").await, (4, false, both));
    // The full list has no deleted backends. A watch with an unknown version receives it at once.
    let whole = names_and_health(&[(2, "DRAINING"), (3, "SERVING"), (4, "DRAINING")]);
    assert_eq!(watch.get_page("/registry/instances").await, (4, true, whole.clone()));
    assert_eq!(watch.get_page("/registry/instances?after=99&wait_ms=60000").await, (4, true, whole));
    for (path, status) in [
        ("/registry", 404),
        ("/registry/instances?after=x", 400),
        ("/registry/instances?after=1&wait_ms=-1", 400),
    ] {
        assert_eq!(watch.call(path).await.0, status, "{path}");
    }
    // All bytes in both directions are counted, and all calls that were answered with a list. The stand-in counts
    // bytes after its write has returned, which may be after this test has read them.
    within_timeout(async {
        while registry.traffic().volume().bytes < watch.bytes as u64 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    let volume = registry.traffic().volume();
    assert_eq!((volume.bytes, volume.messages), (watch.bytes as u64, 2 * 6));
}

#[tokio::test]
async fn resync_sends_every_proxy_the_full_list() {
    let registry = Registry::start(vec![endpoint(1), endpoint(2)], 2).await.expect("the listeners start");
    let mut watches = Vec::new();
    for &address in registry.addresses() {
        let mut watch = Watch::open(address).await;
        watch.send_request("/registry/instances?after=1&wait_ms=60000").await;
        watches.push(watch);
    }
    assert_eq!(registry.wait_until_in_force(1, TEST_TIMEOUT).await, 2);
    assert_eq!(registry.publish_resync(), 2);
    let all = names_and_health(&[(1, "SERVING"), (2, "SERVING")]);
    for watch in &mut watches {
        assert_eq!(watch.read_page().await, (2, true, all.clone()));
    }
    // After the resync, watches receive changes again.
    registry.publish_change(vec![endpoint(2)]);
    for watch in &mut watches {
        let changed = watch.get_page("/registry/instances?after=2&wait_ms=60000").await;
        assert_eq!(changed, (3, false, names_and_health(&[(2, "SERVING")])));
    }
}

#[tokio::test]
async fn change_is_in_force_once_a_proxy_acknowledges_it() {
    let registry = Registry::start(vec![endpoint(1)], 2).await.expect("the listeners start");
    let mut watches = Vec::new();
    for &address in registry.addresses() {
        watches.push(Watch::open(address).await);
    }
    let (two, three) =
        (registry.publish_change(vec![endpoint(1)]), registry.publish_change(vec![endpoint(1)]));
    assert_eq!((two, three), (2, 3));
    // One proxy acknowledges both changes, the other only the first.
    watches[0].get_page("/registry/instances?after=3&wait_ms=1").await;
    watches[1].get_page("/registry/instances?after=2&wait_ms=1").await;
    assert_eq!(registry.wait_until_in_force(2, TEST_TIMEOUT).await, 2);
    assert_eq!(registry.wait_until_in_force(3, Duration::ZERO).await, 1);
    let propagation = registry.take_propagation();
    assert_eq!((propagation.changes, propagation.incomplete_changes), (2, 1));
    assert_eq!((propagation.delays.len(), propagation.last_proxy_delays.len()), (3, 1));
    assert_eq!(registry.take_propagation().changes, 0, "changes are reported once");
}

fn backend_config() -> BackendConfig {
    BackendConfig {
        warm_service_time: Duration::ZERO,
        cold_service_time: Duration::ZERO,
        warm_up: TEST_TIMEOUT,
        drain_deadline: Duration::ZERO,
    }
}

fn call(query: &str) -> Call {
    Call {
        class: "query".to_string(),
        method: hyper::Method::GET,
        has_idempotency_key: false,
        query: query.to_string(),
        time_limit: TEST_TIMEOUT,
    }
}

/// Starts connects until one stays in the state SYN_SENT in `/proc/net/tcp`, and returns it. Connects that are
/// established, because the backend has not yet changed its mode, are dropped.
async fn connect_stuck_in_syn_sent(address: SocketAddr) -> JoinHandle<std::io::Result<TcpStream>> {
    const SYN_SENT: &str = "02";
    let port = format!(":{:04X}", address.port());
    let is_connecting = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields.get(2).is_some_and(|remote| remote.ends_with(&port)) && fields.get(3) == Some(&SYN_SENT)
    };
    let is_under_way = || {
        std::fs::read_to_string("/proc/net/tcp")
            .expect("/proc/net/tcp is readable")
            .lines()
            .any(is_connecting)
    };
    let mut found = None;
    within_timeout(async {
        while found.is_none() {
            let connect = tokio::spawn(TcpStream::connect(address));
            while !connect.is_finished() && !is_under_way() {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
            found = Some(connect).filter(|connect| !connect.is_finished());
        }
    })
    .await;
    found.expect("a connect is in SYN_SENT")
}

#[tokio::test]
async fn backend_becomes_unresponsive_stops_and_restarts() {
    let backends = Backends::start(1, backend_config()).expect("the listeners start");
    let (backend, client) = (&backends.all[0], Arc::new(Client::new(1)));
    assert_eq!(client.call(backend.address, &call("")).await, Answer::Served);
    // Unresponsive: the backend has received the call, and answers it once it serves again.
    backend.set_mode(Mode::Unresponsive);
    let (caller, address) = (client.clone(), backend.address);
    let pending_call = tokio::spawn(async move { caller.call(address, &call("")).await });
    within_timeout(async {
        while backends.counts().calls.load(Relaxed) < 2 {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert!(!pending_call.is_finished());
    // A new connection stays in SYN_SENT, and is established once the backend serves again.
    let connect = connect_stuck_in_syn_sent(address).await;
    backend.set_mode(Mode::Serving);
    assert_eq!(within_timeout(pending_call).await.expect("the task ends"), Answer::Served);
    assert!(within_timeout(connect).await.expect("the task ends").is_ok());
    // Stopped: an open connection is closed, and new ones are refused.
    let mut open = TcpStream::connect(address).await.expect("the address accepts connections");
    let _ = client.call(address, &call("")).await;
    backend.set_mode(Mode::Stopped);
    assert!(!within_timeout(open.read(&mut [0; 1])).await.is_ok_and(|n| n > 0));
    within_timeout(async {
        while TcpStream::connect(address).await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(client.call(address, &call("")).await, Answer::Failed);
    backend.restart();
    backend.set_mode(Mode::Serving);
    within_timeout(async {
        while client.call(address, &call("")).await != Answer::Served {
            tokio::task::yield_now().await;
        }
    })
    .await;
    // Requests after the drain deadline are counted.
    assert_eq!(backends.counts().late_to_draining.load(Relaxed), 0);
    backend.drain();
    assert_eq!(client.call(address, &call("")).await, Answer::Served);
    assert_eq!(backends.counts().late_to_draining.load(Relaxed), 1);
}

#[tokio::test]
async fn call_chain_has_its_depth_and_fails_with_its_last_hop() {
    let backends = Backends::start(2, backend_config()).expect("the backends listen");
    let client = Client::new(1);
    let to: Vec<SocketAddr> = backends.all.iter().map(|b| b.address).collect();
    backends.set_next_hops(NextHops { proxies: to.clone(), backends: to.clone() });
    assert_eq!(client.call(to[0], &call("hops=9&direct=0")).await, Answer::Served);
    assert_eq!(backends.counts().calls.load(Relaxed), 10, "each hop is counted");
    assert_eq!(client.call(to[0], &call("hops=9&direct=1")).await, Answer::Served);
    assert_eq!(backends.counts().calls.load(Relaxed), 10, "direct calls are not counted");
    backends.all[1].set_mode(Mode::Stopped);
    within_timeout(async {
        while TcpStream::connect(to[1]).await.is_ok() {
            tokio::task::yield_now().await;
        }
    })
    .await;
    assert_eq!(client.call(to[0], &call("hops=2&direct=0")).await, Answer::Failed);
}

/// Writes a scenario of a few processes, with the given changes to its text, and returns its path.
fn scenario(folder: &Path, changes: &[(&str, &str)]) -> PathBuf {
    let mut text = TARGET.to_string();
    let small =
        [("sizes = [90, 180, 360, 720]", "sizes = [29]"), ("real_processes = 24", "real_processes = 2")];
    for (from, to) in small.iter().chain(changes) {
        assert!(text.contains(from), "{from}");
        text = text.replacen(from, to, 1);
    }
    let path = folder.join("scenario.toml");
    std::fs::write(&path, text).expect("the file can be written");
    path
}

fn program(folder: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foldhitch-scale-test"));
    command.env("TMPDIR", folder).kill_on_drop(true).stdin(Stdio::null());
    command
}

/// Writes a shell script that replaces the real proxy, and returns its path.
fn proxy_script(folder: &Path, script: &str) -> PathBuf {
    let path = folder.join("proxy.sh");
    std::fs::write(&path, format!("#!/bin/sh\n{script}\n")).expect("the file can be written");
    let executable = std::fs::Permissions::from_mode(0o755);
    std::fs::set_permissions(&path, executable).expect("the script can be made executable");
    path
}

/// Returns the ids of the child processes that a log names.
fn started_processes(log: &str) -> Vec<u32> {
    let ids = log.lines().filter_map(|line| line.split_once("process ")?.1.split_once(':'));
    ids.filter_map(|(id, _)| id.parse().ok()).collect()
}

/// Asserts that no child process named in the log and no temporary folder is left.
fn assert_nothing_is_left(log: &str, folder: &Path) {
    let processes = started_processes(log);
    assert!(!processes.is_empty(), "{log}");
    for id in processes {
        assert!(!Path::new(&format!("/proc/{id}")).exists(), "process {id} is left: {log}");
    }
    let folders = std::fs::read_dir(folder)
        .expect("a temporary folder")
        .filter(|e| e.as_ref().is_ok_and(|e| e.path().is_dir()));
    assert_eq!(folders.count(), 0, "temporary folders are left");
}

fn last_line(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).lines().last().unwrap_or_default().to_string()
}

#[tokio::test]
async fn run_whose_proxy_exits_early_leaves_nothing_behind() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (scenario, proxy) =
        (scenario(folder.path(), &[]), proxy_script(folder.path(), "echo no room >&2; exit 3"));
    let run = program(folder.path()).arg("run").arg(scenario).arg("--proxy").arg(proxy).output();
    let output = within_timeout(run).await.expect("the program starts");
    assert!(!output.status.success());
    assert_eq!(last_line(&output), "scale: n0: exited before it listened: no room");
    assert_nothing_is_left(&String::from_utf8_lossy(&output.stderr), folder.path());
}

#[tokio::test]
async fn interrupted_run_leaves_nothing_behind() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let script = "echo listening on 127.0.0.1:1 >&2; exec sleep 600";
    let (scenario, proxy) = (scenario(folder.path(), &[]), proxy_script(folder.path(), script));
    let mut command = program(folder.path());
    let command = command.arg("run").arg(scenario).arg("--proxy").arg(proxy).stderr(Stdio::piped());
    let mut run = command.spawn().expect("the program starts");
    let mut lines = BufReader::new(run.stderr.take().expect("standard error is piped")).lines();
    let mut log = String::new();
    // One process of simulated proxies and two real proxies have been started.
    while started_processes(&log).len() < 3 {
        let line = within_timeout(lines.next_line())
            .await
            .expect("the log is readable")
            .expect("the run is still going");
        log = format!("{log}{line}\n");
    }
    let id = run.id().expect("the run has a process id").to_string();
    let sent = within_timeout(Command::new("kill").args(["-INT", &id]).status()).await;
    assert!(sent.expect("kill runs").success());
    assert!(!within_timeout(run.wait()).await.expect("the run can be waited for").success());
    while let Some(line) = within_timeout(lines.next_line()).await.expect("the log is readable") {
        log = format!("{log}{line}\n");
    }
    assert_eq!(log.lines().last(), Some("scale: interrupted"));
    assert_nothing_is_left(&log, folder.path());
}

#[tokio::test]
async fn invalid_scenario_prints_one_line_that_names_the_key() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    for (from, to, key) in [
        ("phase_s = 4.0", "phase_s = 0.0", "real.phase_s"),
        ("depths = [1, 2, 5, 10]", "depths = [1, 0]", "real.depths[1]"),
        ("hollow_per_process = 60", "hollow_per_process = 0", "real.hollow_per_process"),
        ("work_ms = 0.0", "work_ms = nan", "real.work_ms"),
        ("processes = 300", "processes = 3", "limits.processes"),
    ] {
        let scenario = scenario(folder.path(), &[(from, to)]);
        for command in ["check", "run"] {
            let output = within_timeout(program(folder.path()).arg(command).arg(&scenario).output()).await;
            let output = output.expect("the program starts");
            let stderr = String::from_utf8_lossy(&output.stderr).to_string();
            assert!(!output.status.success() && output.stdout.is_empty(), "{command} {to}");
            assert!(stderr.lines().count() == 1 && stderr.contains(key), "{command} {to}: {stderr}");
        }
    }
    let scenario = scenario(folder.path(), &[]);
    assert!(Scenario::load(&scenario).is_ok());
    let output = within_timeout(program(folder.path()).arg("check").arg(&scenario).output())
        .await
        .expect("the program starts");
    assert!(output.status.success(), "{}", last_line(&output));
}

#[tokio::test]
async fn too_few_descriptors_are_reported_before_the_start() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let scenario = scenario(folder.path(), &[]);
    let command = "ulimit -n 128; exec \"$0\" run \"$1\" --proxy /bin/false";
    let mut shell = Command::new("/bin/sh");
    let shell =
        shell.args(["-c", command, env!("CARGO_BIN_EXE_foldhitch-scale-test")]).arg(scenario).output();
    let output = within_timeout(shell).await.expect("the program starts");
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(stderr, "scale: descriptors: the limit is 128, and size 29 needs 1024\n");
}

/// Runs the whole real part with the release build of the proxy, which must be built before the tests.
#[tokio::test]
async fn small_run_measures_every_phase_and_leaves_nothing() {
    let proxy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../target/release/foldhitch-proxy");
    assert!(proxy.is_file(), "run `cargo build --release` first");
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (scenario, json) =
        (scenario(folder.path(), &[("phase_s = 4.0", "phase_s = 0.5")]), folder.path().join("r.json"));
    let mut command = program(folder.path());
    let run = command
        .arg("run")
        .arg(scenario)
        .arg("--proxy")
        .arg(proxy)
        .args(["--part", "real", "--json"])
        .arg(&json)
        .output();
    let output = within_timeout(run).await.expect("the program starts");
    assert!(output.status.success(), "{}", last_line(&output));
    assert_nothing_is_left(&String::from_utf8_lossy(&output.stderr), folder.path());
    let report: Value = serde_json::from_slice(&std::fs::read(json).expect("a report")).expect("JSON");
    let size = &report["real"]["sizes"][0];
    assert_eq!((&size["size"], &size["real"], &size["hollow"]), (&29.into(), &2.into(), &27.into()));
    assert_eq!(size["holding_first_list"], 29);
    let phases = size["phases"].as_array().expect("phases");
    let names: Vec<&str> = phases.iter().filter_map(|p| p["name"].as_str()).collect();
    let events = ["zone lost", "zone back", "region cut", "region heard", "resync"];
    assert_eq!(names, [&["idle", "steady", "idle, changes", "changes"][..], &events[..]].concat());
    for phase in phases {
        let count = |key: &str| phase[key].as_u64().expect(key);
        let ended = ["served", "refused", "failed", "timed_out"].map(count).iter().sum::<u64>();
        assert_eq!(count("asked"), ended, "{phase}");
        let name = phase["name"].as_str().expect("a name");
        assert_eq!(count("asked") > 0, !name.starts_with("idle"), "{name}");
        assert_eq!(
            count("changes") > 0,
            name.contains("changes") || name.contains("zone") || name == "resync"
        );
    }
}
