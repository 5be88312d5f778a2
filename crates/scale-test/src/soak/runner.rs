//! Runs the plan of one seed: backends, discovery, the real proxy program, clients, and the scheduled events.

use super::backend::Backend;
use super::client::Clients;
use super::discovery::Discovery;
use super::plan::{BackendBehavior, CrowdPlan, SoakEvent, SoakPlan};
use super::process::{ProxyInstance, ProxyProcess};
use super::record::{Recorder, Records, Withdrawal, WithdrawalCause};
use anyhow::Context;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rustix::process::Pid;
use serde_json::{Value, json};
use std::collections::HashSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

/// Delay before a series of reloads, so that no process is reloaded sooner than this after its start.
const MIN_AGE_FOR_RELOAD: Duration = Duration::from_secs(1);
/// Minimum number of backends that neither drain nor crash in a run.
const MIN_SERVING_BACKENDS: usize = 2;
/// Delay between the restart of a backend and its entry in the endpoint list.
const RESTART_LISTING_DELAY: Duration = Duration::from_millis(50);

/// A soak run in progress.
struct SoakRun {
    plan: SoakPlan,
    recorder: Recorder,
    backends: Vec<Arc<Backend>>,
    discovery: Arc<Discovery>,
    instance: Arc<ProxyInstance>,
    /// Numbers of the backends that drain or crash in this run.
    withdrawn: Mutex<HashSet<usize>>,
    /// Ids of the processes whose descriptors and memory are sampled.
    pids: Arc<Mutex<Vec<Pid>>>,
}

/// Runs a plan against the real proxy program and returns what was recorded.
///
/// # Errors
///
/// Returns an error if the backends, discovery or the program can't be started, or if a configuration file
/// can't be written.
pub async fn run_plan(plan: &SoakPlan, program: &Path) -> anyhow::Result<Records> {
    let directory = tempfile::tempdir().context("creating a temporary directory")?;
    let recorder = Recorder::start();
    let mut tasks = JoinSet::new();
    let mut backends = Vec::new();
    for number in 0..plan.backends {
        backends.push(Backend::start(number, plan, recorder.clone()).await?);
    }
    let zones = &plan.settings.zones;
    let hosts: Vec<Value> = backends
        .iter()
        .enumerate()
        .map(|(number, backend)| endpoint_json(backend, zones[number % zones.len()], "SERVING", 0))
        .collect();
    let discovery = Discovery::start(plan.seed, hosts, recorder.clone(), &mut tasks).await?;
    let instance = ProxyInstance::new(
        program,
        directory.path(),
        plan.seed,
        plan.settings.clone(),
        discovery.addresses,
        recorder.clone(),
    );
    let instance = instance.await?;
    let soak_run = Arc::new(SoakRun {
        plan: plan.clone(),
        recorder: recorder.clone(),
        backends,
        discovery,
        instance,
        withdrawn: Mutex::default(),
        pids: Arc::default(),
    });
    soak_run.run(&mut tasks).await?;
    tasks.shutdown().await;
    Ok(std::mem::take(&mut *recorder.records()))
}

fn endpoint_json(backend: &Backend, zone: &str, health: &str, started_at_ms: u64) -> Value {
    json!({"host": backend.name, "dial": backend.address.to_string(), "site": zone, "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": started_at_ms})
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl SoakRun {
    async fn run(self: &Arc<Self>, tasks: &mut JoinSet<()>) -> anyhow::Result<()> {
        let process = self.start_process().await?;
        self.instance.wait_until_ready(&process).await;
        tasks.spawn(self.instance.clone().sample_usage(self.pids.clone()));
        let (over_sender, is_over) = watch::channel(false);
        let clients = Clients::new(
            self.instance.address,
            self.plan.settings.clone(),
            self.plan.clients,
            self.recorder.clone(),
            is_over,
        );
        let mut client_tasks = JoinSet::new();
        for number in 0..self.plan.clients.clients {
            client_tasks.spawn(clients.clone().run(self.random_stream(number as u64)));
        }
        let load_started_at = self.recorder.now();
        if let Some(crowd) = self.plan.crowd {
            client_tasks.spawn(self.clone().run_crowd(crowd, load_started_at, clients.clone()));
        }
        self.schedule_faults(load_started_at, tasks);
        let process = self.run_operator_actions(load_started_at, process).await?;
        sleep_until(self.recorder.instant(load_started_at + self.plan.stop_at)).await;
        self.stop(process).await?;
        over_sender.send_replace(true);
        while client_tasks.join_next().await.is_some() {}
        Ok(())
    }

    /// Returns the random stream of one part of the run; each part has its own.
    fn random_stream(&self, part: u64) -> StdRng {
        StdRng::seed_from_u64(self.plan.seed.wrapping_mul(1 << 16).wrapping_add(part + 1))
    }

    async fn start_process(&self) -> anyhow::Result<ProxyProcess> {
        let process = self.instance.start().await?;
        if let Ok(mut pids) = self.pids.lock() {
            pids.push(process.pid());
        }
        Ok(process)
    }

    async fn run_crowd(self: Arc<Self>, crowd: CrowdPlan, load_started_at: Duration, clients: Arc<Clients>) {
        sleep_until(self.recorder.instant(load_started_at + crowd.from)).await;
        self.recorder.records().crowd = Some((load_started_at + crowd.from, load_started_at + crowd.until));
        let (over_sender, is_over) = watch::channel(false);
        let crowd_clients = clients.for_crowd(is_over);
        let mut members = JoinSet::new();
        for number in 0..crowd.clients {
            // The streams after those of the regular clients.
            let random = self.random_stream((1 << 8) + number as u64);
            members.spawn(crowd_clients.clone().run_crowd_client(crowd.kind, random));
        }
        let mut clients_are_over = clients.is_over.clone();
        tokio::select! {
            () = sleep_until(self.recorder.instant(load_started_at + crowd.until)) => {}
            _ = async { clients_are_over.wait_for(|is_over| *is_over).await.is_ok() } => {}
        }
        over_sender.send_replace(true);
        while members.join_next().await.is_some() {}
    }

    /// Spawns one task per fault, because faults of backends and of discovery overlap.
    fn schedule_faults(self: &Arc<Self>, load_started_at: Duration, tasks: &mut JoinSet<()>) {
        for scheduled in &self.plan.events {
            let (soak_run, at, event) = (self.clone(), load_started_at + scheduled.at, scheduled.event);
            tasks.spawn(async move {
                sleep_until(soak_run.recorder.instant(at)).await;
                soak_run.inject_fault(event).await;
            });
        }
    }

    async fn inject_fault(&self, event: SoakEvent) {
        match event {
            SoakEvent::Backend { backend, behavior, lasts } => {
                self.backends[backend].set_behavior(behavior);
                sleep(lasts).await;
                self.backends[backend].set_behavior(BackendBehavior::Serve);
            }
            SoakEvent::Drain { backend, gone_after } => self.drain_backend(backend, gone_after).await,
            SoakEvent::Crash { backend, back_after } => self.crash_backend(backend, back_after).await,
            SoakEvent::Discovery { behavior, lasts } => {
                self.discovery.change_behavior_for(behavior, lasts).await
            }
            SoakEvent::Reload { .. }
            | SoakEvent::Upgrade { .. }
            | SoakEvent::DrainProxy { .. }
            | SoakEvent::Suspend { .. } => {}
        }
    }

    /// Marks a backend as withdrawn. Returns whether it may be: each backend is withdrawn at most once, and
    /// `MIN_SERVING_BACKENDS` never are.
    fn try_withdraw(&self, backend: usize) -> bool {
        let Ok(mut withdrawn) = self.withdrawn.lock() else { return false };
        withdrawn.len() + MIN_SERVING_BACKENDS < self.backends.len() && withdrawn.insert(backend)
    }

    fn zone(&self, backend: usize) -> &str {
        let zones = &self.plan.settings.zones;
        zones[backend % zones.len()]
    }

    async fn drain_backend(&self, number: usize, gone_after: Duration) {
        if !self.try_withdraw(number) {
            return;
        }
        let backend = &self.backends[number];
        let from = self.recorder.now();
        let version = Some(self.discovery.publish(endpoint_json(backend, self.zone(number), "DRAINING", 0)));
        let withdrawal = Withdrawal {
            backend: backend.name.clone(),
            cause: WithdrawalCause::Listed,
            from,
            version,
            until: None,
        };
        self.recorder.records().withdrawals.push(withdrawal);
        sleep(gone_after).await;
        self.discovery.publish(endpoint_json(backend, self.zone(number), "DELETED", 0));
        backend.crash().await;
    }

    async fn crash_backend(&self, number: usize, back_after: Duration) {
        if !self.try_withdraw(number) {
            return;
        }
        let backend = &self.backends[number];
        backend.crash().await;
        sleep(back_after).await;
        let started_at_ms = unix_ms();
        if let Err(error) = backend.restart().await {
            tracing::warn!("{}: backend failed to restart: {error}", backend.name);
            return;
        }
        sleep(RESTART_LISTING_DELAY).await;
        self.discovery.publish(endpoint_json(backend, self.zone(number), "SERVING", started_at_ms));
    }

    /// Runs signals, upgrades and admin calls one after the other. Returns the process that serves at the
    /// end.
    async fn run_operator_actions(
        self: &Arc<Self>,
        load_started_at: Duration,
        mut process: ProxyProcess,
    ) -> anyhow::Result<ProxyProcess> {
        for scheduled in &self.plan.events {
            sleep_until(self.recorder.instant(load_started_at + scheduled.at)).await;
            match scheduled.event {
                SoakEvent::Reload { count, gap } => self.reload_in_series(&process, count, gap).await?,
                SoakEvent::Upgrade { abandoned_after } => {
                    process = self.upgrade(process, abandoned_after).await?
                }
                SoakEvent::DrainProxy { active_after } => {
                    self.instance.call_admin(&process, "POST", "/v1/proxy/drain").await;
                    sleep(active_after).await;
                    self.instance.call_admin(&process, "POST", "/v1/proxy/activate").await;
                }
                SoakEvent::Suspend { backend, resumed_after } => {
                    self.suspend_backend(&process, backend, resumed_after).await;
                }
                SoakEvent::Backend { .. }
                | SoakEvent::Drain { .. }
                | SoakEvent::Crash { .. }
                | SoakEvent::Discovery { .. } => {}
            }
        }
        Ok(process)
    }

    async fn reload_in_series(
        &self,
        process: &ProxyProcess,
        count: u32,
        gap: Duration,
    ) -> anyhow::Result<()> {
        sleep(MIN_AGE_FOR_RELOAD).await;
        for number in 1..=count {
            // Only the last file of a series is torn: one that the next reload replaces as soon as it is
            // complete can't take effect.
            match self.plan.torn_reload.filter(|_| number == count) {
                Some(whole_after) => self.instance.reload_torn(process, whole_after).await?,
                None => self.instance.reload(process).await?,
            }
            sleep(gap).await;
        }
        Ok(())
    }

    /// Starts a process beside the old one. It takes over, or is stopped after `abandoned_after`. Returns the
    /// process that continues.
    async fn upgrade(
        &self,
        mut old: ProxyProcess,
        abandoned_after: Option<Duration>,
    ) -> anyhow::Result<ProxyProcess> {
        let mut new = self.start_process().await?;
        if let Some(abandoned_after) = abandoned_after {
            sleep(abandoned_after).await;
            self.instance.terminate(&new);
            self.instance.wait_for_exit(&mut new).await;
            return Ok(old);
        }
        self.instance.wait_until_ready(&new).await;
        self.instance.terminate(&old);
        self.instance.wait_for_exit(&mut old).await;
        Ok(new)
    }

    async fn suspend_backend(&self, process: &ProxyProcess, number: usize, resumed_after: Duration) {
        let name = &self.backends[number].name;
        if !self.instance.call_admin(process, "POST", &format!("/v1/backends/{name}/suspend")).await {
            return;
        }
        let from = self.recorder.now();
        sleep(resumed_after).await;
        let until = Some(self.recorder.now());
        let cause = WithdrawalCause::Suspended;
        let withdrawal = Withdrawal { backend: name.clone(), cause, from, version: None, until };
        self.recorder.records().withdrawals.push(withdrawal);
        self.instance.call_admin(process, "POST", &format!("/v1/backends/{name}/resume")).await;
    }

    /// Stops the program as planned. The clients continue until it has exited or was killed.
    async fn stop(&self, mut process: ProxyProcess) -> anyhow::Result<()> {
        if let Some(before) = self.plan.stop.reload_before {
            self.instance.reload(&process).await?;
            sleep(before).await;
        }
        self.instance.terminate(&process);
        if let Some(again) = self.plan.stop.terminate_again {
            sleep(again).await;
            self.instance.terminate(&process);
        }
        self.instance.wait_for_exit(&mut process).await;
        Ok(())
    }
}
