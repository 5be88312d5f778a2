//! One size of the run: starts the fleet and measures it phase by phase.

use super::backends::{BackendConfig, Backends, Mode, NextHops};
use super::children::Children;
use super::client::{Call, Client, TENANT};
use super::load::{Class, Load, LoadMetrics};
use super::registry::{self, Endpoint, Health, Registry};
use super::requirements::{PROXY_MEMORY_MB, PROXY_SOCKETS, Requirements};
use super::simulated_proxies::{HostConfig, SimulatedProxyConfig};
use super::usage;
use super::{Options, histogram};
use crate::report::{AddedLatency, Phase, Quantiles, Size};
use crate::scenario::{Scenario, zone_name};
use anyhow::Context;
use hyper::Method;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::Ordering::Relaxed;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep, sleep_until};

/// The time within which all proxies must have the first endpoint list.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_secs(30);
/// The slack that the protocol page grants on every time limit.
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(50);
/// The longest duration of the load before the first measured phase with load.
const MAX_WARM_UP: Duration = Duration::from_secs(3);
/// The number of backends per real proxy that direct calls go to: the minimum size of a proxy's subset.
const DIRECT_BACKENDS_PER_PROXY: usize = 5;

/// A running fleet.
struct Fleet<'a> {
    scenario: &'a Scenario,
    size: usize,
    registry: Registry,
    backends: Backends,
    load: Arc<Load>,
    children: &'a mut Children,
    /// The entries of the endpoint list, by the number of the backend.
    endpoints: Vec<Endpoint>,
    rng: StdRng,
    /// Draws the seeds of the loads. It is separate from `rng`, so that a load does not depend on other random draws.
    load_rng: StdRng,
}

/// Runs a size and returns its measurements. The processes that it starts stay in `children`, which stops them.
///
/// # Errors
///
/// Returns an error if the fleet can't be started or one of its processes exits early.
pub async fn run_size(
    scenario: &Scenario,
    options: &Options,
    size: usize,
    children: &mut Children,
) -> anyhow::Result<Size> {
    let requirements = Requirements::for_size(scenario, size, options.with_simulated);
    requirements.check(scenario, size)?;
    let folder = tempfile::tempdir().context("folder for temporary files")?;
    let begun = Instant::now();
    let mut fleet = Fleet::start(scenario, options, size, requirements, children, folder.path()).await?;
    let (registry, real) = (&fleet.registry, requirements.real);
    let proxies_with_list = registry.wait_until_in_force(1, FIRST_LIST_TIMEOUT).await;
    if proxies_with_list < requirements.watches {
        tracing::warn!(
            "size {size}: only {proxies_with_list} proxies have the first endpoint list after {FIRST_LIST_TIMEOUT:?}"
        );
    }
    let start_s = begun.elapsed().as_secs_f64();
    let (whole_list_bytes, _) = (registry.full_list_bytes(), registry.take_propagation());
    let phases = fleet.run_phases().await?;
    let resident = |pid| usage::of_process(pid).map(|u| u.resident_bytes as f64);
    let proxies = fleet.children.proxies.iter().map(|p| p.pid);
    let pids = proxies.chain(fleet.children.hosts.iter().map(|h| h.pid)).chain([std::process::id()]);
    let resident: f64 = pids.map(resident).sum::<anyhow::Result<f64>>()?;
    Ok(Size {
        size,
        real,
        simulated: requirements.watches - real,
        processes: 1 + real + requirements.hosts,
        start_s,
        holding_first_list: proxies_with_list,
        whole_list_bytes,
        total_resident_mb: resident / 1e6,
        phases,
    })
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.max(0.0) / 1000.0)
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Returns the request classes of the settings as a client uses them. The first class gets most of the calls.
fn classes(scenario: &Scenario) -> Vec<Class> {
    let list = scenario.settings.get("classes").and_then(Value::as_array).cloned().unwrap_or_default();
    let number_setting = |class: &Value, key: &str| class[key].as_f64().unwrap_or(0.0);
    let class = |(place, class): (usize, &Value)| Class {
        call: Call {
            class: class["name"].as_str().unwrap_or_default().to_string(),
            method: if class["semantics"] == "retryable" { Method::GET } else { Method::POST },
            has_idempotency_key: class["semantics"] == "dedup",
            query: String::new(),
            time_limit: millis(number_setting(class, "giveUp")),
        },
        call_share: if place == 0 { 8.0 } else { 1.0 },
        priority_weight: number_setting(class, "points"),
        latency_objective: millis(number_setting(class, "aim")),
        late_worth: number_setting(class, "lateWorth"),
    };
    list.iter().enumerate().map(class).collect()
}

impl<'a> Fleet<'a> {
    async fn start(
        scenario: &'a Scenario,
        options: &Options,
        size: usize,
        requirements: Requirements,
        children: &'a mut Children,
        folder: &std::path::Path,
    ) -> anyhow::Result<Self> {
        let (plan, zones) = (&scenario.real, scenario.target.zones);
        let number_setting =
            |part: &str, key: &str| scenario.settings.get(part).and_then(|p| p[key].as_f64());
        let drain_deadline_ms = number_setting("guarantees", "stopSendingWithin").unwrap_or(0.0);
        let warm_up = Duration::from_secs_f64(scenario.backend.cold_s);
        let config = BackendConfig {
            warm_service_time: millis(plan.work_ms),
            cold_service_time: millis(plan.cold_work_ms),
            warm_up,
            drain_deadline: millis(drain_deadline_ms) + TIME_LIMIT_SLACK,
        };
        let backends = Backends::start(size, config).context("simulated backends")?;
        let endpoints = backends.all.iter().enumerate().map(|(number, backend)| {
            let (zone, cell) = (zone_name(number % zones), (number / zones / 4) as u16);
            Endpoint::serving(format!("s-{number:04}"), backend.address, zone, cell)
        });
        let endpoints: Vec<Endpoint> = endpoints.collect();
        let registry = Registry::start(endpoints.clone(), requirements.watches)
            .await
            .context("stand-in of discovery")?;
        let mut rng = StdRng::seed_from_u64(options.seed ^ size as u64);
        let load_rng = StdRng::seed_from_u64(rng.random());
        let settings = |instance: usize| {
            let mut settings =
                scenario.settings_of(instance as u32, size as u32, 0, (instance % zones) as u16);
            settings["tenants"] = json!([{"name": TENANT, "quotaPerS": 1e9}]);
            settings
        };
        let simulated: Vec<usize> = (requirements.real..requirements.watches).collect();
        for instances in simulated.chunks(plan.simulated_per_process) {
            let proxies = instances.iter().map(|&instance| SimulatedProxyConfig {
                settings: settings(instance),
                seed: rng.random(),
                discovery: registry.addresses()[instance],
            });
            children.start_host(&options.program, &HostConfig { proxies: proxies.collect() }).await?;
        }
        for instance in 0..requirements.real {
            let config = json!({
                "name": format!("n{instance}"),
                "listen": "127.0.0.1:0",
                "discovery": registry.addresses()[instance].to_string(),
                "seed": format!("{:016x}", rng.random::<u64>()),
                "limits": {"cores": 1.0, "memory_mb": PROXY_MEMORY_MB, "sockets": PROXY_SOCKETS},
                "settings": settings(instance),
            });
            children.start_proxy(&options.proxy_program, &config, folder).await?;
        }
        let proxies: Vec<_> = children.proxies.iter().map(|p| p.address).collect();
        let direct: Vec<_> = backends.all.iter().map(|b| b.address).collect();
        let direct = direct[..size.min(DIRECT_BACKENDS_PER_PROXY * requirements.real.max(1))].to_vec();
        backends.set_next_hops(NextHops { proxies: proxies.clone(), backends: direct.clone() });
        let load = Arc::new(Load {
            client: Arc::new(Client::new(1)),
            classes: classes(scenario),
            depths: plan.depths.clone(),
            proxies,
            backends: direct,
            late_after: millis(plan.late_ms),
        });
        Ok(Fleet { scenario, size, registry, backends, load, children, endpoints, rng, load_rng })
    }

    async fn run_phases(&mut self) -> anyhow::Result<Vec<Phase>> {
        let zone = self.rng.random_range(0..self.scenario.target.zones);
        let region = self.rng.random_range(0..self.scenario.target.regions);
        let zone_backends: Vec<usize> =
            (0..self.size).filter(|n| n % self.scenario.target.zones == zone).collect();
        let is_in_region =
            |n: &usize| self.scenario.region_of((n % self.scenario.target.zones) as u16) == region;
        let region_backends: Vec<usize> = (0..self.size).filter(is_in_region).collect();
        let mut phases = Vec::new();
        phases.push(self.run_phase("idle", PhaseLoad::None, PhaseEvent::None).await?);
        self.warm_up().await?;
        phases.push(self.run_phase("steady", PhaseLoad::Compared, PhaseEvent::None).await?);
        phases.push(self.run_phase("idle, changes", PhaseLoad::None, PhaseEvent::Changes).await?);
        phases.push(self.run_phase("changes", PhaseLoad::Proxied, PhaseEvent::Changes).await?);
        phases.push(
            self.run_phase("zone lost", PhaseLoad::Proxied, PhaseEvent::BackendsLost(&zone_backends)).await?,
        );
        phases.push(
            self.run_phase("zone back", PhaseLoad::Proxied, PhaseEvent::BackendsRestored(&zone_backends))
                .await?,
        );
        phases.push(
            self.run_phase(
                "region cut",
                PhaseLoad::Proxied,
                PhaseEvent::SetMode(&region_backends, Mode::Unresponsive),
            )
            .await?,
        );
        phases.push(
            self.run_phase(
                "region heard",
                PhaseLoad::Proxied,
                PhaseEvent::SetMode(&region_backends, Mode::Serving),
            )
            .await?,
        );
        phases.push(self.run_phase("resync", PhaseLoad::Proxied, PhaseEvent::Resync).await?);
        Ok(phases)
    }

    /// Runs a load that is not measured, so that connections are established and the proxies adapt their concurrency
    /// limits.
    async fn warm_up(&mut self) -> anyhow::Result<()> {
        let plan = &self.scenario.real;
        let rate = plan.hops_per_s_per_proxy * self.children.proxies.len() as f64;
        let time = Duration::from_secs_f64(plan.phase_s).min(MAX_WARM_UP);
        let (load, seed) = (self.load.clone(), self.load_rng.random());
        let calls = tokio::spawn(async move { load.run(seed, rate, time, true).await });
        calls.await.context("load generator").map(drop)
    }

    /// Runs an event under a load and measures the fleet.
    async fn run_phase(
        &mut self,
        name: &str,
        phase_load: PhaseLoad,
        event: PhaseEvent<'_>,
    ) -> anyhow::Result<Phase> {
        let plan = &self.scenario.real;
        let time = Duration::from_secs_f64(plan.phase_s);
        tracing::info!("size {}: {name}", self.size);
        self.children.take_activity().await?;
        let before = Readings::take(self)?;
        let rate = match phase_load {
            PhaseLoad::None => 0.0,
            _ => plan.hops_per_s_per_proxy * self.children.proxies.len() as f64,
        };
        let (load, seed, direct) =
            (self.load.clone(), self.load_rng.random(), matches!(phase_load, PhaseLoad::Compared));
        let calls = tokio::spawn(async move { load.run(seed, rate, time, direct).await });
        self.run_event(event, Instant::now() + time).await;
        let metrics = calls.await.context("load generator")?;
        // Waits until the last change is in force everywhere. The limit of the target counts from the change itself, so
        // waiting this long after the phase is enough.
        let limit = Duration::from_secs_f64(self.scenario.target.in_force_within_s);
        let version = self.registry.version();
        self.registry.wait_until_in_force(version, limit).await;
        let after = Readings::take(self)?;
        let activity = self.children.take_activity().await?;
        let propagation = self.registry.take_propagation();
        let wall = (after.at - before.at).as_secs_f64();
        let share = |after: &[usage::Usage], before: &[usage::Usage]| -> Vec<f64> {
            let used = after.iter().zip(before).map(|(a, b)| a.cpu_time.saturating_sub(b.cpu_time));
            used.map(|used| 100.0 * used.as_secs_f64() / wall).collect()
        };
        let (real, hosts) = (share(&after.proxies, &before.proxies), share(&after.hosts, &before.hosts));
        let resident = |of: &[usage::Usage]| of.iter().map(|u| u.resident_bytes as f64 / 1e6).sum::<f64>();
        let (count, simulated) =
            (real.len().max(1) as f64, self.children.hosts.iter().map(|h| h.proxy_count).sum::<usize>());
        let mean = real.iter().sum::<f64>() / count;
        let deviation = (real.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / count).sqrt();
        let per_proxy = |x: u64| x as f64 / wall / self.registry.addresses().len() as f64;
        Ok(Phase {
            name: name.to_string(),
            wall_s: wall,
            load_average: usage::load_average(),
            asked: metrics.asked,
            served: metrics.served,
            refused: metrics.refused,
            failed: metrics.failed,
            timed_out: metrics.timed_out,
            served_by_depth: metrics
                .by_depth
                .iter()
                .map(|(&depth, &(asked, served))| (depth, asked, served))
                .collect(),
            worth_lost_percent: 100.0
                * (1.0 - metrics.worth_earned / metrics.worth.max(f64::MIN_POSITIVE))
                * f64::from(u8::from(metrics.worth > 0.0)),
            sends_per_hop: (after.sends - before.sends) as f64 / metrics.hops.max(1) as f64,
            late_to_draining: after.late_to_draining - before.late_to_draining,
            late_calls_percent: 100.0 * metrics.late as f64 / metrics.sent.max(1) as f64,
            real_core_percent: mean,
            real_core_percent_deviation: deviation,
            real_core_percent_max: real.iter().copied().fold(0.0, f64::max),
            simulated_wakes_per_s: activity.wakes as f64 / wall / simulated.max(1) as f64,
            simulated_core_percent: hosts.iter().fold(0.0, |sum, x| sum + x) / simulated.max(1) as f64,
            simulated_host_core_percent_max: hosts.iter().copied().fold(0.0, f64::max),
            simulated_late_timers_percent: 100.0 * activity.late_wakes as f64 / activity.wakes.max(1) as f64,
            registry_core_percent: 100.0 * after.registry.saturating_sub(before.registry).as_secs_f64()
                / wall,
            real_resident_mb: resident(&after.proxies) / count,
            real_resident_max_mb: after
                .proxies
                .iter()
                .map(|u| u.resident_bytes as f64 / 1e6)
                .fold(0.0, f64::max),
            simulated_resident_mb: resident(&after.hosts) / simulated.max(1) as f64,
            control_kb_per_s: per_proxy(after.volume.bytes - before.volume.bytes) / 1000.0,
            control_messages_per_s: per_proxy(after.volume.messages - before.volume.messages),
            changes: propagation.changes,
            changes_not_in_force: propagation.incomplete_changes,
            in_force_ms: Quantiles::of_micros(&propagation.delays),
            in_force_at_last_ms: Quantiles::of_micros(&propagation.last_proxy_delays),
            added: added_latency(&metrics),
        })
    }

    async fn run_event(&mut self, event: PhaseEvent<'_>, end: Instant) {
        match event {
            PhaseEvent::None => sleep_until(end).await,
            PhaseEvent::Changes => self.run_changes(end).await,
            PhaseEvent::BackendsLost(numbers) => {
                numbers.iter().for_each(|&n| self.backends.all[n].set_mode(Mode::Stopped));
                sleep(millis(self.scenario.discovery.notice_ms)).await;
                self.publish_health(numbers, Health::Deleted);
                sleep_until(end).await;
            }
            PhaseEvent::BackendsRestored(numbers) => {
                for &n in numbers {
                    self.backends.all[n].restart();
                    self.backends.all[n].set_mode(Mode::Serving);
                    self.endpoints[n].started_at_ms = unix_ms();
                }
                sleep(millis(self.scenario.discovery.notice_ms)).await;
                self.publish_health(numbers, Health::Serving);
                sleep_until(end).await;
            }
            PhaseEvent::SetMode(numbers, mode) => {
                numbers.iter().for_each(|&n| self.backends.all[n].set_mode(mode));
                sleep_until(end).await;
            }
            PhaseEvent::Resync => {
                self.registry.publish_resync();
                sleep_until(end).await;
            }
        }
    }

    fn publish_health(&mut self, numbers: &[usize], health: Health) {
        for &n in numbers {
            self.endpoints[n].health = health;
        }
        self.registry.publish_change(numbers.iter().map(|&n| self.endpoints[n].clone()).collect());
    }

    /// Drains backends and restarts them as new, cold processes, one change after the other, until `end`.
    async fn run_changes(&mut self, end: Instant) {
        let rate = self.scenario.changes_per_s();
        let max_draining = ((self.size as f64 * self.scenario.real.draining_share) as usize).max(1);
        let mut draining = VecDeque::new();
        let mut next = Instant::now();
        while rate > 0.0 && next < end {
            sleep_until(next).await;
            if draining.len() >= max_draining
                && let Some(n) = draining.pop_front()
            {
                self.restart(n);
            } else {
                let serving: Vec<usize> = (0..self.size).filter(|n| !draining.contains(n)).collect();
                let Some(&n) = serving.choose(&mut self.rng) else { break };
                draining.push_back(n);
                self.backends.all[n].drain();
                self.publish_health(&[n], Health::Draining);
            }
            next += Duration::from_secs_f64(1.0 / rate);
        }
        sleep_until(end).await;
        // The next phase starts with all backends serving.
        for n in draining {
            self.restart(n);
        }
    }

    fn restart(&mut self, n: usize) {
        self.backends.all[n].restart();
        self.endpoints[n].started_at_ms = unix_ms();
        self.publish_health(&[n], Health::Serving);
    }
}

/// The load of a phase.
#[derive(Clone, Copy)]
enum PhaseLoad {
    None,
    Proxied,
    /// Calls through proxies and about as many directly to backends.
    Compared,
}

/// The event of a phase.
enum PhaseEvent<'a> {
    None,
    Changes,
    /// Backends stop, and are removed from the list when discovery notices it.
    BackendsLost(&'a [usize]),
    /// Backends restart as new processes, and are listed again when discovery notices it.
    BackendsRestored(&'a [usize]),
    /// The mode of backends changes without a change of the list.
    SetMode(&'a [usize], Mode),
    /// All proxies receive the full list.
    Resync,
}

/// A snapshot of resource usage and counters.
struct Readings {
    at: Instant,
    proxies: Vec<usage::Usage>,
    hosts: Vec<usage::Usage>,
    registry: Duration,
    volume: super::counted::Volume,
    sends: u64,
    late_to_draining: u64,
}

impl Readings {
    fn take(fleet: &Fleet<'_>) -> anyhow::Result<Self> {
        let usages = |name: &str, pids: Vec<u32>| -> anyhow::Result<Vec<usage::Usage>> {
            let of = |pid| usage::of_process(pid).with_context(|| format!("{name}: exited early"));
            pids.into_iter().map(of).collect()
        };
        let counts = fleet.backends.counts();
        Ok(Readings {
            at: Instant::now(),
            proxies: usages("a real proxy", fleet.children.proxies.iter().map(|p| p.pid).collect())?,
            hosts: usages("simulated proxies", fleet.children.hosts.iter().map(|h| h.pid).collect())?,
            registry: usage::of_thread(registry::THREAD_NAME)?,
            volume: fleet.registry.traffic().volume(),
            sends: counts.calls.load(Relaxed),
            late_to_draining: counts.late_to_draining.load(Relaxed),
        })
    }
}

/// Returns the latency that the proxies add to calls of each depth, compared with direct calls of the same phase.
fn added_latency(metrics: &LoadMetrics) -> Vec<AddedLatency> {
    let mut depths = BTreeMap::new();
    for ((depth, direct), times) in &metrics.times {
        let pair = depths.entry(*depth).or_insert_with(|| (histogram(), histogram()));
        *(if *direct { &mut pair.1 } else { &mut pair.0 }) = times.clone();
    }
    let compared =
        depths.into_iter().filter(|(_, (proxied, direct))| !proxied.is_empty() && !direct.is_empty());
    let added = |(depth, (proxied, direct)): (
        usize,
        (hdrhistogram::Histogram<u64>, hdrhistogram::Histogram<u64>),
    )| {
        let difference =
            |q: f64| (proxied.value_at_quantile(q) as f64 - direct.value_at_quantile(q) as f64) / 1000.0;
        AddedLatency {
            depth,
            straight_ms: Quantiles::of_micros(&direct),
            proxied_ms: Quantiles::of_micros(&proxied),
            p50_ms: difference(0.5),
            p99_ms: difference(0.99),
            p50_ms_per_hop: difference(0.5) / depth as f64,
            p99_ms_per_hop: difference(0.99) / depth as f64,
        }
    };
    compared.map(added).collect()
}
