//! The child processes of a run: real proxies and hosts of simulated proxies. None of them outlives the run.

use super::simulated_proxies::{Activity, HostConfig};
use anyhow::{Context, anyhow, bail};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStderr, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

/// The time limit for a child process to start listening or to answer a request for its activity.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// The process of a real proxy.
pub struct ProxyProcess {
    child: Child,
    /// Its process id.
    pub pid: u32,
    /// The address that clients connect to.
    pub address: SocketAddr,
    /// The log is not read any more, but its pipe stays open, because writes to a closed pipe would fail.
    _log: Lines<BufReader<ChildStderr>>,
}

/// A process that hosts simulated proxies.
pub struct SimulatedHost {
    child: Child,
    /// Its process id.
    pub pid: u32,
    /// The number of its simulated proxies.
    pub proxy_count: usize,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

/// All child processes of a run. They are killed when this is dropped. [`stop`](Self::stop) also waits for them, so
/// that no zombie process remains.
#[derive(Default)]
pub struct Children {
    /// The processes of real proxies.
    pub proxies: Vec<ProxyProcess>,
    /// The processes that host simulated proxies.
    pub hosts: Vec<SimulatedHost>,
}

impl Children {
    /// Starts a real proxy and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy can't be started, exits, or does not listen in time.
    pub async fn start_proxy(&mut self, program: &Path, config: &Value, folder: &Path) -> anyhow::Result<()> {
        let name = config["name"].as_str().unwrap_or("proxy");
        let folder = folder.join(name);
        std::fs::create_dir_all(&folder)?;
        let path = folder.join("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut child = Command::new(program)
            .env_remove("RELAY_NAME")
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_MANAGEMENT")
            .env_remove("RELAY_DISCOVERY")
            .env("RELAY_CONFIG", &path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}: can't be started", program.display()))?;
        let pid = child.id().ok_or_else(|| anyhow!("{name}: exited at once"))?;
        tracing::info!("process {pid}: real proxy {name}");
        let log = child.stderr.take().ok_or_else(|| anyhow!("{name}: its standard error is not piped"))?;
        let mut log = BufReader::new(log).lines();
        let mut last_line = String::new();
        let address = timeout(RESPONSE_TIMEOUT, async {
            while let Some(line) = log.next_line().await? {
                if let Some((_, address)) = line.split_once("listening on ") {
                    return Ok(Some(address.parse()?));
                }
                last_line = line;
            }
            anyhow::Ok(None)
        });
        let listening = address.await.unwrap_or_else(|_| bail!("{name}: did not start to listen in time"));
        let address = match listening {
            Ok(Some(address)) => address,
            other => {
                // Also waits for the process, so that no zombie remains.
                let _ = child.kill().await;
                return Err(other
                    .err()
                    .unwrap_or_else(|| anyhow!("{name}: exited before it listened: {last_line}")));
            }
        };
        self.proxies.push(ProxyProcess { child, pid, address, _log: log });
        Ok(())
    }

    /// Starts a process that hosts simulated proxies, by the hidden command of this program.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be started or does not read its configuration.
    pub async fn start_host(&mut self, program: &Path, config: &HostConfig) -> anyhow::Result<()> {
        let mut child = Command::new(program)
            .arg(super::HOST_COMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}: can't be started", program.display()))?;
        let (pid, pipes) = (child.id(), child.stdin.take().zip(child.stdout.take()));
        let Some((pid, (input, output))) = pid.zip(pipes) else {
            bail!("simulated proxies: exited at once, or their pipes are missing")
        };
        tracing::info!("process {pid}: {} simulated proxies", config.proxies.len());
        let output = BufReader::new(output).lines();
        self.hosts.push(SimulatedHost { child, pid, proxy_count: config.proxies.len(), input, output });
        let Some(host) = self.hosts.last_mut() else { unreachable!("the host was just pushed") };
        let mut line = serde_json::to_vec(config)?;
        line.push(b'\n');
        host.input.write_all(&line).await.context("simulated proxies: exited while being started")?;
        Ok(())
    }

    /// Returns the total activity of all simulated proxies since the last call.
    ///
    /// # Errors
    ///
    /// Returns an error if one of their processes has exited or does not answer in time.
    pub async fn take_activity(&mut self) -> anyhow::Result<Activity> {
        for host in &mut self.hosts {
            host.input.write_all(b"\n").await.context("simulated proxies: exited early")?;
        }
        let mut total = Activity::default();
        for host in &mut self.hosts {
            let line = timeout(RESPONSE_TIMEOUT, host.output.next_line())
                .await
                .context("simulated proxies: no answer in time")??;
            let line = line.ok_or_else(|| anyhow!("simulated proxies: exited early"))?;
            total = total.plus(serde_json::from_str(&line)?);
        }
        Ok(total)
    }

    /// Kills all child processes and waits until they have exited.
    pub async fn stop(&mut self) {
        let proxies = self.proxies.drain(..).map(|p| p.child);
        let mut children: Vec<Child> = proxies.chain(self.hosts.drain(..).map(|h| h.child)).collect();
        for child in &mut children {
            // Fails if the process has already exited, which is fine.
            let _ = child.start_kill();
        }
        for child in &mut children {
            // A killed process always exits; the wait removes its entry from the process table.
            let _ = child.wait().await;
        }
    }
}
