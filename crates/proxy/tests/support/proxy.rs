//! The started program: its configuration, signals, log and admin API.

use super::*;

pub fn settings() -> Value {
    let class = |name: &str, semantics: &str| {
        json!({"name": name, "aim": 20_000.0, "giveUp": 60_000.0, "points": 1.0, "lateWorth": 0.0,
               "semantics": semantics, "group": "all", "window": 60_000.0})
    };
    json!({
        "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": ["a"], "tick": 5.0,
        "overShareWorth": 0.05, "discovery": "automatic", "tenants": [{"name": "acme", "quotaPerS": 1000.0}],
        "classes": [class("look", "retryable"), class("keep", "dedup"), class("once", "fragile")],
        "caps": {"cancelling": true, "mayDuplicate": true, "retryAfter": true, "maxRetryAfter": 1000.0,
                 "tryLimit": 6, "openCap": 1000, "connIdle": 60_000.0, "connectTimeout": 2000.0},
        "guarantees": {"coldFrom": 0.1, "cold": 9000.0, "fallMultiple": 3.0, "fall": 1000.0,
                       "stopSendingWithin": 500.0, "graceToAnswer": 20.0}
    })
}

pub struct Proxy {
    pub addr: SocketAddr,
    /// Where operators call, if it has such an admin API.
    pub admin: Option<SocketAddr>,
    /// Its folder for temporary files.
    pub temp_dir: std::path::PathBuf,
    /// The file of its configuration.
    pub config: std::path::PathBuf,
    child: Child,
    /// Its standard error, until somebody takes it away.
    pub log: Option<tokio::io::Lines<BufReader<ChildStderr>>>,
}

/// Writes a configuration where the program finds it.
pub fn write_config(text: &str) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("the folder for tests takes a file");
    path
}

impl Proxy {
    pub async fn start(discovery: &Discovery, settings: Value) -> Self {
        Proxy::start_with_command(&discovery.config(settings), "exec \"$0\"").await
    }

    /// Starts the program by a shell command in which it is `$0`.
    pub async fn start_with_command(config: &Value, command: &str) -> Self {
        StartingProxy::spawn(config, command).wait_until_listening().await
    }

    /// Starts a second process of a proxy: the same folder for temporary files, other addresses as told.
    pub async fn start_beside(&self, config: &Value) -> Self {
        let path = write_config(&config.to_string());
        StartingProxy::spawn_in(config, "exec \"$0\"", path, self.temp_dir.clone())
            .wait_until_listening()
            .await
    }

    /// The proxy, once it holds discovery's list.
    pub async fn start_with_list_applied(discovery: &Discovery, settings: Value) -> Self {
        let proxy = Proxy::start(discovery, settings).await;
        discovery.wait_until_applied().await;
        proxy
    }

    async fn send_signal(&self, signal: &str) {
        send_signal(&self.child, signal).await;
    }

    /// Stops the program where it is until it is let go on: what happens meanwhile it finds all at once.
    pub async fn pause(&self) {
        self.send_signal("-STOP").await;
        let path = format!("/proc/{}/stat", self.child.id().expect("it runs"));
        // One that has ended never stops.
        in_time(async {
            while !std::fs::read_to_string(&path).expect("a state").contains(") T ") {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    pub async fn resume_process(&self) {
        self.send_signal("-CONT").await;
    }

    /// Sends SIGTERM to a program whose log nobody reads.
    pub async fn terminate_without_log(&self) {
        self.send_signal("-TERM").await;
    }

    /// Sends a signal and waits until the program's log says so.
    async fn signal_and_wait_for_log(&mut self, signal: &str, line_part: &str) {
        self.send_signal(signal).await;
        let log = self.log.as_mut().expect("it is read");
        while !in_time(log.next_line()).await.expect("readable").expect("it goes on").contains(line_part) {}
    }

    /// Sends SIGTERM and waits until the program has taken notice.
    pub async fn terminate(&mut self) {
        self.signal_and_wait_for_log("-TERM", "stopping").await;
    }

    /// Replaces the configuration, sends SIGHUP, and waits until the log has a line that says what came of it.
    pub async fn reload(&mut self, config: &str, line_part: &str) {
        std::fs::write(&self.config, config).expect("the folder for tests takes a file");
        self.signal_and_wait_for_log("-HUP", line_part).await;
    }

    /// Sends SIGHUP whatever the file holds, and waits until the log has a line that says what came of it.
    pub async fn reload_without_writing(&mut self, line_part: &str) {
        self.signal_and_wait_for_log("-HUP", line_part).await;
    }

    /// Replaces the configuration, sends SIGHUP, and gives the log's next line about configurations.
    pub async fn reload_line(&mut self, config: &str) -> String {
        std::fs::write(&self.config, config).expect("the folder for tests takes a file");
        self.send_signal("-HUP").await;
        let log = self.log.as_mut().expect("it is read");
        loop {
            let line = in_time(log.next_line()).await.expect("readable").expect("it goes on");
            if line.contains("configuration ") {
                return line;
            }
        }
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.child.id().expect("it runs")
    }

    /// What the operators' door shows.
    pub async fn admin_json(&self, path: &str) -> Value {
        let mut admin = connect(self.admin.expect("a door")).await;
        let call = Request::get(path).header("host", "door").body(Full::default()).expect("well formed");
        let answer = in_time(admin.send_request(call)).await.expect("an answer");
        let text = in_time(answer.into_body().collect()).await.expect("a whole one").to_bytes();
        serde_json::from_slice(&text).expect("JSON")
    }

    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        in_time(self.child.wait()).await.expect("it ran")
    }

    /// How much memory it holds.
    pub fn resident_mb(&self) -> usize {
        let path = format!("/proc/{}/status", self.child.id().expect("it runs"));
        let text = std::fs::read_to_string(path).expect("a status");
        let line = text.lines().find_map(|l| l.strip_prefix("VmRSS:")).expect("it tells memory");
        line.split_whitespace().next().expect("a figure").parse::<usize>().expect("a number") / 1024
    }

    /// The folder that names the descriptors that it holds.
    pub fn descriptor_table(&self) -> String {
        format!("/proc/{}/fd", self.child.id().expect("it runs"))
    }

    /// An operator's call; its status.
    pub async fn call_admin(&self, method: &str, path: &str) -> u16 {
        let mut admin = connect(self.admin.expect("a door")).await;
        let call = Request::builder().method(method).uri(path).header("host", "door");
        let call = call.body(Full::default()).expect("well formed");
        in_time(admin.send_request(call)).await.expect("an answer").status().as_u16()
    }

    pub async fn client(&self) -> Client {
        Client(connect(self.addr).await)
    }

    /// One call on a connection of its own: status and body.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.client().await.call(class).await
    }
}

/// The program before it listens.
pub struct StartingProxy {
    temp_dir: std::path::PathBuf,
    config: std::path::PathBuf,
    child: Child,
    log: tokio::io::Lines<BufReader<ChildStderr>>,
}

impl StartingProxy {
    /// Starts the program by a shell command in which it is `$0`.
    pub fn spawn(config: &Value, command: &str) -> Self {
        let path = write_config(&config.to_string());
        let temp_dir = path.with_extension("tmp");
        // One of an earlier test run may be left.
        let _ = std::fs::remove_dir_all(&temp_dir);
        std::fs::create_dir_all(&temp_dir).expect("the folder for tests takes a folder");
        StartingProxy::spawn_in(config, command, path, temp_dir)
    }

    fn spawn_in(
        config: &Value,
        command: &str,
        path: std::path::PathBuf,
        temp_dir: std::path::PathBuf,
    ) -> Self {
        let mut child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_foldhitch-proxy")])
            .env_remove("RELAY_LISTEN")
            // As in service: at the start the variable names the address too.
            .env("RELAY_DISCOVERY", config["discovery"].as_str().expect("text"))
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", &temp_dir)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("it starts");
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        StartingProxy { temp_dir, config: path, child, log }
    }

    /// Waits until the log has such a line, as it must before the program listens.
    pub async fn wait_for_log_line(&mut self, line_part: &str) {
        loop {
            let line = in_time(self.log.next_line()).await.expect("readable").expect("it goes on");
            assert!(!line.contains("listening on "), "{line_part}: {line}");
            if line.contains(line_part) {
                return;
            }
        }
    }

    /// Sends a signal.
    pub async fn send_signal(&self, signal: &str) {
        send_signal(&self.child, signal).await;
    }

    /// The proxy, once it listens.
    pub async fn wait_until_listening(self) -> Proxy {
        let StartingProxy { temp_dir, config, child, mut log } = self;
        let mut admin = None;
        let addr = loop {
            let line = in_time(log.next_line()).await.expect("readable").expect("it goes on");
            if let Some((_, addr)) = line.split_once("admin API at ") {
                admin = Some(addr.parse().expect("an address"));
            }
            if let Some((_, addr)) = line.split_once("listening on ") {
                break addr.parse().expect("an address");
            }
        };
        Proxy { addr, admin, temp_dir, config, child, log: Some(log) }
    }
}

async fn send_signal(child: &Child, signal: &str) {
    let id = child.id().expect("it runs").to_string();
    let sent = in_time(Command::new("kill").args([signal, &id]).status()).await;
    assert!(sent.expect("kill runs").success());
}
