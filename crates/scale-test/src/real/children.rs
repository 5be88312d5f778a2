//! The processes of a run: real proxies and hosts of simulated ones. None outlives it.

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

/// No process takes longer than this to say what it must.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// A real proxy.
pub struct ProxyProcess {
    child: Child,
    /// Its process.
    pub pid: u32,
    /// Where clients connect.
    pub address: SocketAddr,
    /// It is not read any more, but a log without an end would be an error to write to.
    _log: Lines<BufReader<ChildStderr>>,
}

/// A process of simulated proxies.
pub struct SimulatedHost {
    child: Child,
    /// Its process.
    pub pid: u32,
    /// How many proxies it holds.
    pub proxy_count: usize,
    input: ChildStdin,
    output: Lines<BufReader<ChildStdout>>,
}

/// All of them. Dropped, they are killed; after [`stop`](Self::stop) none is left, not even as a dead entry.
#[derive(Default)]
pub struct Children {
    /// Real proxies.
    pub proxies: Vec<ProxyProcess>,
    /// Processes of simulated ones.
    pub hosts: Vec<SimulatedHost>,
}

impl Children {
    /// Starts a real proxy and waits until it listens.
    ///
    /// # Errors
    ///
    /// If it can't be started, ends, or does not listen in time.
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
            .with_context(|| format!("{}: does not start", program.display()))?;
        let pid = child.id().ok_or_else(|| anyhow!("{name}: ended at once"))?;
        tracing::info!("process {pid}: real proxy {name}");
        let log = child.stderr.take().ok_or_else(|| anyhow!("{name}: has no log"))?;
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
        let listening = address.await.unwrap_or_else(|_| bail!("{name}: does not listen in time"));
        let address = match listening {
            Ok(Some(address)) => address,
            other => {
                // So that nothing of it is left.
                let _ = child.kill().await;
                return Err(other
                    .err()
                    .unwrap_or_else(|| anyhow!("{name}: ended before it listened: {last_line}")));
            }
        };
        self.proxies.push(ProxyProcess { child, pid, address, _log: log });
        Ok(())
    }

    /// Starts a process of simulated proxies by this program's own hidden command.
    ///
    /// # Errors
    ///
    /// If it can't be started or does not take its configuration.
    pub async fn start_host(&mut self, program: &Path, config: &HostConfig) -> anyhow::Result<()> {
        let mut child = Command::new(program)
            .arg(super::HOST_COMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("{}: does not start", program.display()))?;
        let (pid, pipes) = (child.id(), child.stdin.take().zip(child.stdout.take()));
        let Some((pid, (input, output))) = pid.zip(pipes) else { bail!("simulated proxies: ended at once") };
        tracing::info!("process {pid}: {} simulated proxies", config.proxies.len());
        let output = BufReader::new(output).lines();
        self.hosts.push(SimulatedHost { child, pid, proxy_count: config.proxies.len(), input, output });
        let Some(host) = self.hosts.last_mut() else { unreachable!("it was pushed") };
        let mut line = serde_json::to_vec(config)?;
        line.push(b'\n');
        host.input.write_all(&line).await.context("simulated proxies: ended at their start")?;
        Ok(())
    }

    /// What the simulated proxies did since they were asked last, all together.
    ///
    /// # Errors
    ///
    /// If one of their processes has ended or does not answer in time.
    pub async fn take_activity(&mut self) -> anyhow::Result<Activity> {
        for host in &mut self.hosts {
            host.input.write_all(b"\n").await.context("simulated proxies: ended early")?;
        }
        let mut total = Activity::default();
        for host in &mut self.hosts {
            let line = timeout(RESPONSE_TIMEOUT, host.output.next_line())
                .await
                .context("simulated proxies: unresponsive")??;
            let line = line.ok_or_else(|| anyhow!("simulated proxies: ended early"))?;
            total = total.plus(serde_json::from_str(&line)?);
        }
        Ok(total)
    }

    /// Ends them all and waits until they are gone.
    pub async fn stop(&mut self) {
        let proxies = self.proxies.drain(..).map(|p| p.child);
        let mut children: Vec<Child> = proxies.chain(self.hosts.drain(..).map(|h| h.child)).collect();
        for child in &mut children {
            // One that has ended needs no kill.
            let _ = child.start_kill();
        }
        for child in &mut children {
            // Killed, it ends whatever it does; the wait takes its entry away.
            let _ = child.wait().await;
        }
    }
}
