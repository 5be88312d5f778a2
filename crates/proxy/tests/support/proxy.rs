//! The proxy program: its configuration, signals, log and admin API.

use super::*;

/// Returns settings with the classes `look` (retryable), `keep` (dedup) and `once` (fragile).
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

/// A process of the proxy that listens for clients.
pub struct Proxy {
    pub addr: SocketAddr,
    /// The address of the admin API, if one is configured.
    pub admin: Option<SocketAddr>,
    /// Its directory for temporary files (`TMPDIR`).
    pub temp_dir: std::path::PathBuf,
    /// The path of its configuration file.
    pub config: std::path::PathBuf,
    /// The discovery address in its environment.
    discovery_variable: String,
    child: Child,
    /// The lines of its standard error; a test may take them.
    pub log: Option<tokio::io::Lines<BufReader<ChildStderr>>>,
}

/// Writes a configuration to a new file and returns its path.
pub fn write_config(text: &str) -> std::path::PathBuf {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    let name = format!("config-{}-{}.json", std::process::id(), NEXT.fetch_add(1, SeqCst));
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("write the configuration");
    path
}

impl Proxy {
    /// Starts the program with an agent and settings.
    pub async fn start(discovery: &Discovery, settings: Value) -> Self {
        Proxy::start_with_command(&discovery.config(settings), "exec \"$0\"").await
    }

    /// Starts the program by a shell command in which it is `$0`.
    pub async fn start_with_command(config: &Value, command: &str) -> Self {
        StartingProxy::spawn(config, command).wait_until_listening().await
    }

    /// Starts another process of this proxy, with the same directory for temporary files, the environment of
    /// the first process, and `config`.
    pub async fn start_beside(&self, config: &Value) -> Self {
        let path = write_config(&config.to_string());
        let variable = self.discovery_variable.clone();
        StartingProxy::spawn_in(variable, "exec \"$0\"", path, self.temp_dir.clone())
            .wait_until_listening()
            .await
    }

    /// Ends the process with SIGKILL.
    pub async fn kill(&mut self) {
        in_time(self.child.kill()).await.expect("a running process");
    }

    /// Starts the program and waits until it holds the agent's current list.
    pub async fn start_with_list_applied(discovery: &Discovery, settings: Value) -> Self {
        let proxy = Proxy::start(discovery, settings).await;
        discovery.wait_until_applied().await;
        proxy
    }

    async fn send_signal(&self, signal: &str) {
        send_signal(&self.child, signal).await;
    }

    /// Stops the process with SIGSTOP. When it is resumed, all events of the meantime are pending at once.
    pub async fn pause(&self) {
        self.send_signal("-STOP").await;
        let path = format!("/proc/{}/stat", self.child.id().expect("a running process"));
        // A process that has exited never reaches the stopped state, so that the wait needs a timeout.
        in_time(async {
            while !std::fs::read_to_string(&path).expect("a state").contains(") T ") {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }

    /// Resumes a paused process with SIGCONT.
    pub async fn resume_process(&self) {
        self.send_signal("-CONT").await;
    }

    /// Sends SIGTERM without waiting for a log line.
    pub async fn terminate_without_log(&self) {
        self.send_signal("-TERM").await;
    }

    /// Sends a signal and waits for a log line that contains `line_part`.
    async fn signal_and_wait_for_log(&mut self, signal: &str, line_part: &str) {
        self.send_signal(signal).await;
        let log = self.log.as_mut().expect("an open log");
        while !in_time(log.next_line())
            .await
            .expect("a readable log")
            .expect("another log line")
            .contains(line_part)
        {}
    }

    /// Sends SIGTERM and waits until the log confirms it.
    pub async fn terminate(&mut self) {
        self.signal_and_wait_for_log("-TERM", "stopping").await;
    }

    /// Replaces the configuration, sends SIGHUP and waits for a log line that contains `line_part`.
    pub async fn reload(&mut self, config: &str, line_part: &str) {
        std::fs::write(&self.config, config).expect("write the configuration");
        self.signal_and_wait_for_log("-HUP", line_part).await;
    }

    /// Sends SIGHUP without writing the configuration and waits for a log line that contains `line_part`.
    pub async fn reload_without_writing(&mut self, line_part: &str) {
        self.signal_and_wait_for_log("-HUP", line_part).await;
    }

    /// Replaces the configuration, sends SIGHUP and returns the next log line about a configuration.
    pub async fn reload_line(&mut self, config: &str) -> String {
        std::fs::write(&self.config, config).expect("write the configuration");
        self.send_signal("-HUP").await;
        let log = self.log.as_mut().expect("an open log");
        loop {
            let line = in_time(log.next_line()).await.expect("a readable log").expect("another log line");
            if line.contains("configuration ") {
                return line;
            }
        }
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id().expect("a running process")
    }

    /// Requests a path of the admin API and returns the JSON response.
    pub async fn admin_json(&self, path: &str) -> Value {
        let mut admin = connect(self.admin.expect("an admin API")).await;
        let call = Request::get(path).header("host", "door").body(Full::default()).expect("a valid request");
        let answer = in_time(admin.send_request(call)).await.expect("a response");
        let text = in_time(answer.into_body().collect()).await.expect("a complete body").to_bytes();
        serde_json::from_slice(&text).expect("JSON")
    }

    /// Waits until the process has exited.
    pub async fn wait_for_exit(&mut self) -> ExitStatus {
        in_time(self.child.wait()).await.expect("a started process")
    }

    /// Returns the resident memory of the process, in MiB.
    pub fn resident_mb(&self) -> usize {
        self.status_kb("VmRSS:") / 1024
    }

    /// Returns the highest resident memory of the process so far, in KiB.
    pub fn peak_resident_kb(&self) -> usize {
        self.status_kb("VmHWM:")
    }

    /// Returns the memory of two processes of one proxy, in KiB. The program's file is in memory once.
    pub fn resident_kb_with(&self, other: &Proxy) -> usize {
        let figure = |proxy: &Proxy, name| proxy.find_status_kb(name).unwrap_or_default();
        let file_kb = figure(self, "RssFile:").max(figure(other, "RssFile:"));
        figure(self, "RssAnon:") + figure(other, "RssAnon:") + file_kb
    }

    /// Returns whether the process has exited.
    pub fn has_exited(&mut self) -> bool {
        self.child.try_wait().expect("a started process").is_some()
    }

    /// Returns a figure of the process's status, in KiB.
    fn status_kb(&self, name: &str) -> usize {
        self.find_status_kb(name).expect("a running process")
    }

    /// Returns a figure of the process's status, in KiB, or `None` if the process has ended.
    fn find_status_kb(&self, name: &str) -> Option<usize> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        Some(line.split_whitespace().next().expect("a figure").parse().expect("a number"))
    }

    /// Starts the program with the least memory and the most descriptors, and waits until it holds the agent's
    /// current list. Its log is read and discarded.
    pub async fn start_smallest(discovery: &Discovery, settings: Value) -> Self {
        let config = discovery.smallest_config(settings);
        let mut proxy = Proxy::start_with_command(&config, "exec \"$0\"").await;
        discovery.wait_until_applied().await;
        proxy.discard_log();
        proxy
    }

    /// Reads and discards the log, so that the program can always write it.
    pub fn discard_log(&mut self) {
        let mut log = self.log.take().expect("an open log");
        tokio::spawn(async move { while let Ok(Some(_)) = log.next_line().await {} });
    }

    /// Returns the directory that lists the open descriptors of the process.
    pub fn descriptor_table(&self) -> String {
        format!("/proc/{}/fd", self.child.id().expect("a running process"))
    }

    /// Sends a request to the admin API and returns the status.
    pub async fn call_admin(&self, method: &str, path: &str) -> u16 {
        let mut admin = connect(self.admin.expect("an admin API")).await;
        let call = Request::builder().method(method).uri(path).header("host", "door");
        let call = call.body(Full::default()).expect("a valid request");
        in_time(admin.send_request(call)).await.expect("a response").status().as_u16()
    }

    /// Opens a client connection to the proxy.
    pub async fn client(&self) -> Client {
        Client(connect(self.addr).await)
    }

    /// Sends one request on a new connection and returns the status and the body of its response.
    pub async fn call(&self, class: &str) -> (u16, String) {
        self.client().await.call(class).await
    }
}

/// A process of the proxy that does not listen yet.
pub struct StartingProxy {
    temp_dir: std::path::PathBuf,
    config: std::path::PathBuf,
    discovery_variable: String,
    child: Child,
    log: tokio::io::Lines<BufReader<ChildStderr>>,
}

impl StartingProxy {
    /// Starts the program by a shell command in which it is `$0`.
    pub fn spawn(config: &Value, command: &str) -> Self {
        let path = write_config(&config.to_string());
        let temp_dir = path.with_extension("tmp");
        // An earlier test run may have left a directory of this name.
        let _ = std::fs::remove_dir_all(&temp_dir);
        std::fs::create_dir_all(&temp_dir).expect("create the directory");
        // As in production, the environment names the discovery address at the start.
        let discovery_variable = config["discovery"].as_str().expect("text").to_string();
        StartingProxy::spawn_in(discovery_variable, command, path, temp_dir)
    }

    fn spawn_in(
        discovery_variable: String,
        command: &str,
        path: std::path::PathBuf,
        temp_dir: std::path::PathBuf,
    ) -> Self {
        let mut child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_foldhitch-proxy")])
            .env_remove("RELAY_LISTEN")
            .env("RELAY_DISCOVERY", &discovery_variable)
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", &temp_dir)
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("start the program");
        let log = BufReader::new(child.stderr.take().expect("piped")).lines();
        StartingProxy { temp_dir, config: path, discovery_variable, child, log }
    }

    /// Waits for a log line that contains `line_part`, which must be written before the program listens.
    pub async fn wait_for_log_line(&mut self, line_part: &str) {
        loop {
            let line =
                in_time(self.log.next_line()).await.expect("a readable log").expect("another log line");
            assert!(!line.contains("listening on "), "{line_part}: {line}");
            if line.contains(line_part) {
                return;
            }
        }
    }

    /// Sends a signal to the process.
    pub async fn send_signal(&self, signal: &str) {
        send_signal(&self.child, signal).await;
    }

    /// Waits until the program listens and returns the proxy.
    pub async fn wait_until_listening(self) -> Proxy {
        let StartingProxy { temp_dir, config, discovery_variable, child, mut log } = self;
        let mut admin = None;
        let addr = loop {
            let line = in_time(log.next_line()).await.expect("a readable log").expect("another log line");
            if let Some((_, addr)) = line.split_once("admin API at ") {
                admin = Some(addr.parse().expect("an address"));
            }
            if let Some((_, addr)) = line.split_once("listening on ") {
                break addr.parse().expect("an address");
            }
        };
        Proxy { addr, admin, temp_dir, config, discovery_variable, child, log: Some(log) }
    }
}

async fn send_signal(child: &Child, signal: &str) {
    let id = child.id().expect("a running process").to_string();
    let sent = in_time(Command::new("kill").args([signal, &id]).status()).await;
    assert!(sent.expect("run kill").success());
}
