//! Processes of the real proxy program: their start, signals, log, admin API and resource usage.

use super::plan::{SoakSettings, run_address};
use super::record::{AdminCall, ProcessRecord, Recorder, ReloadRecord, UsageSample};
use anyhow::{Context, anyhow};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, ChildStderr, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Pause between two samples of the processes' resource usage.
const USAGE_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a call to the admin API.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between two readiness checks of a process.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The instance of the proxy, whose processes share an address, a directory and the settings.
pub struct ProxyInstance {
    /// The path of the proxy program.
    pub program: PathBuf,
    /// The address on which clients connect.
    pub address: SocketAddr,
    directory: PathBuf,
    seed: u64,
    config_version: AtomicU64,
    settings: SoakSettings,
    discovery: [SocketAddr; 2],
    recorder: Recorder,
}

/// A process of the proxy instance.
pub struct ProxyProcess {
    number: usize,
    pid: Pid,
    admin: SocketAddr,
    config_path: PathBuf,
    has_exited: watch::Receiver<bool>,
    /// Requests a SIGKILL.
    kill_request: Arc<tokio::sync::Notify>,
}

impl ProxyInstance {
    /// Creates an instance without processes on a free port.
    pub async fn new(
        program: &Path,
        directory: &Path,
        seed: u64,
        settings: SoakSettings,
        discovery: [SocketAddr; 2],
        recorder: Recorder,
    ) -> anyhow::Result<Arc<Self>> {
        let address = free_address(seed).await?;
        Ok(Arc::new(ProxyInstance {
            program: program.to_path_buf(),
            address,
            directory: directory.to_path_buf(),
            seed,
            config_version: AtomicU64::new(0),
            settings,
            discovery,
            recorder,
        }))
    }

    /// Returns a configuration with the next version. The versions alternate between discovery's two
    /// addresses.
    fn next_config(&self, admin: SocketAddr) -> Value {
        let version = self.config_version.fetch_add(1, Relaxed) + 1;
        let discovery = self.discovery[version as usize % self.discovery.len()];
        json!({"name": "n0", "listen": self.address.to_string(), "discovery": discovery.to_string(),
               "management": admin.to_string(), "version": version, "seed": "8c1f30d27a5be964",
               "limits": {"cores": 1.0, "memory_mb": self.settings.memory_bytes >> 20,
                          "sockets": self.settings.max_descriptors},
               "settings": self.settings.to_json()})
    }

    /// Starts a process, without waiting until it is ready.
    pub async fn start(self: &Arc<Self>) -> anyhow::Result<ProxyProcess> {
        let admin = free_address(self.seed).await?;
        let number = self.recorder.records().processes.len();
        let config_path = self.directory.join(format!("config-{number}.json"));
        std::fs::write(&config_path, self.next_config(admin).to_string())?;
        let limit = self.settings.max_descriptors;
        let mut child = Command::new("/bin/sh")
            .arg("-c")
            .arg(format!("ulimit -n {limit}; exec \"$0\""))
            .arg(&self.program)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_MANAGEMENT")
            .env_remove("RELAY_DISCOVERY")
            .env("RELAY_CONFIG", &config_path)
            .env("TMPDIR", &self.directory)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}: failed to start", self.program.display()))?;
        let record = ProcessRecord { started_at: self.recorder.now(), ..ProcessRecord::default() };
        self.recorder.records().processes.push(record);
        let id = child.id().ok_or_else(|| anyhow!("the process exited immediately"))?;
        let pid = Pid::from_raw(i32::try_from(id)?).ok_or_else(|| anyhow!("the process id is 0"))?;
        let log = child.stderr.take().ok_or_else(|| anyhow!("the process has no stderr pipe"))?;
        tokio::spawn(read_log(self.recorder.clone(), number, log));
        let (exit_sender, has_exited) = watch::channel(false);
        let kill_request = Arc::new(tokio::sync::Notify::new());
        tokio::spawn(record_exit(self.recorder.clone(), number, child, kill_request.clone(), exit_sender));
        Ok(ProxyProcess { number, pid, admin, config_path, has_exited, kill_request })
    }

    /// Replaces the configuration file of a process and sends it SIGHUP.
    pub async fn reload(&self, process: &ProxyProcess) -> anyhow::Result<()> {
        let path = process.config_path.with_extension("new");
        std::fs::write(&path, self.next_config(process.admin).to_string())?;
        std::fs::rename(&path, &process.config_path)?;
        self.signal_reload(process);
        Ok(())
    }

    /// Reloads like `reload`, but the file is half written when SIGHUP is sent and complete after
    /// `whole_after`.
    pub async fn reload_torn(&self, process: &ProxyProcess, whole_after: Duration) -> anyhow::Result<()> {
        let text = self.next_config(process.admin).to_string();
        std::fs::write(&process.config_path, &text[..text.len() / 2])?;
        self.signal_reload(process);
        sleep(whole_after).await;
        std::fs::write(&process.config_path, text)?;
        Ok(())
    }

    fn signal_reload(&self, process: &ProxyProcess) {
        let version = self.config_version.load(Relaxed);
        let reload = ReloadRecord { process: process.number, version, at: self.recorder.now() };
        self.recorder.records().reloads.push(reload);
        process.signal(Signal::HUP);
    }

    /// Calls the admin API of a process. Returns whether it answered with a 2xx status.
    pub async fn call_admin(&self, process: &ProxyProcess, method: &str, path: &str) -> bool {
        let at = self.recorder.now();
        let status = timeout(ADMIN_TIMEOUT, request_admin_status(process.admin, method, path)).await;
        let status = status.ok().and_then(Result::ok);
        let took = status.map(|_| self.recorder.now() - at);
        let call = AdminCall { path: path.to_string(), at, took };
        if process.is_running() {
            self.recorder.records().admin_calls.push(call);
        }
        status.is_some_and(|status| (200..300).contains(&status))
    }

    /// Waits until a process is ready or has exited.
    pub async fn wait_until_ready(&self, process: &ProxyProcess) {
        while process.is_running() {
            let status = request_admin_status(process.admin, "GET", "/v1/readyz").await;
            if status.is_ok_and(|status| status == 200) {
                let ready_at = self.recorder.now();
                self.recorder.records().processes[process.number].ready_at.get_or_insert(ready_at);
                return;
            }
            sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    /// Sends SIGTERM to a process.
    pub fn terminate(&self, process: &ProxyProcess) {
        let at = self.recorder.now();
        self.recorder.records().processes[process.number].terminated_at.get_or_insert(at);
        process.signal(Signal::TERM);
    }

    /// Waits until a process has exited after SIGTERM, and kills it if it has not when SIGKILL is due.
    pub async fn wait_for_exit(&self, process: &mut ProxyProcess) {
        let terminated_at = self.recorder.records().processes[process.number].terminated_at;
        let kill_at = terminated_at.unwrap_or_default() + self.settings.kill_after();
        let remaining = kill_at.saturating_sub(self.recorder.now());
        let exited = timeout(remaining, process.has_exited.wait_for(|has_exited| *has_exited)).await.is_ok();
        if !exited {
            self.recorder.records().processes[process.number].was_killed = true;
            process.kill_request.notify_one();
            // A process can't outlive SIGKILL, so the wait needs no timeout.
            let _ = process.has_exited.wait_for(|has_exited| *has_exited).await;
        }
    }

    /// Samples the descriptors and memory of all processes together until the task is aborted.
    pub async fn sample_usage(self: Arc<Self>, pids: Arc<std::sync::Mutex<Vec<Pid>>>) {
        loop {
            let at = self.recorder.now();
            let pids = pids.lock().map(|pids| pids.clone()).unwrap_or_default();
            let usages: Vec<Usage> = pids.into_iter().filter_map(Usage::read).collect();
            let descriptors = usages.iter().map(|usage| usage.descriptors).sum();
            let memory = usages.iter().map(|usage| usage.memory).sum();
            self.recorder.records().usage.push(UsageSample { at, descriptors, memory });
            sleep(USAGE_SAMPLE_INTERVAL).await;
            let lateness = self.recorder.now().saturating_sub(at + USAGE_SAMPLE_INTERVAL);
            let mut records = self.recorder.records();
            records.own_lateness = records.own_lateness.max(lateness);
        }
    }
}

impl ProxyProcess {
    /// Returns the process id.
    pub fn pid(&self) -> Pid {
        self.pid
    }

    /// Returns whether the process has not exited.
    pub fn is_running(&self) -> bool {
        !*self.has_exited.borrow()
    }

    fn signal(&self, signal: Signal) {
        if self.is_running() {
            // Sending fails if the process has exited in the meantime.
            let _ = kill_process(self.pid, signal);
        }
    }
}

/// The resource usage of a process.
struct Usage {
    descriptors: usize,
    memory: u64,
}

impl Usage {
    /// Reads the usage of a process. Returns `None` if the process has exited. Before the shell that starts
    /// the program has replaced itself by it, the values are the shell's.
    fn read(pid: Pid) -> Option<Self> {
        let process = procfs::process::Process::new(pid.as_raw_nonzero().get()).ok()?;
        let descriptors = process.fd_count().ok()?;
        let memory = process.stat().ok()?.rss * procfs::page_size();
        Some(Usage { descriptors, memory })
    }
}

async fn free_address(seed: u64) -> anyhow::Result<SocketAddr> {
    Ok(TcpListener::bind((run_address(seed), 0)).await?.local_addr()?)
}

async fn read_log(recorder: Recorder, number: usize, log: ChildStderr) {
    let mut lines = BufReader::new(log).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        let at = recorder.now();
        recorder.records().processes[number].log.push((at, line));
    }
}

async fn record_exit(
    recorder: Recorder,
    number: usize,
    mut child: Child,
    kill_request: Arc<tokio::sync::Notify>,
    exit_sender: watch::Sender<bool>,
) {
    let status = tokio::select! {
        status = child.wait() => status,
        () = kill_request.notified() => {
            // The kill fails only if the process has exited.
            let _ = child.start_kill();
            child.wait().await
        }
    };
    let at = recorder.now();
    {
        let mut records = recorder.records();
        let process = &mut records.processes[number];
        process.ended_at = Some(at);
        process.is_success = status.is_ok_and(|status| status.success());
    }
    exit_sender.send_replace(true);
}

async fn request_admin_status(address: SocketAddr, method: &str, path: &str) -> anyhow::Result<u16> {
    let mut stream = TcpStream::connect(address).await?;
    let call =
        format!("{method} {path} HTTP/1.1\r\nHost: admin\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    stream.write_all(call.as_bytes()).await?;
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await?;
    let text = String::from_utf8_lossy(&response);
    Ok(text.split(' ').nth(1).ok_or_else(|| anyhow!("the admin API's response has no status"))?.parse()?)
}
