//! Simulated proxies, many per process. Like a real proxy, each has its own balancer, its own watch on the discovery
//! service and its own timers, but it has no connections of clients or to backends.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::{Action, BackendId, EndpointInfo, EndpointListKind, Event, Phase};
use foldhitch_balancer::settings_format::{self, ResolvedSettings};
use foldhitch_discovery_client::{
    DiscoveryError, EndpointListUpdate, EndpointObserver, EndpointRecord, FollowOptions, HealthState,
    PollOutage, WatchTimeouts, follow,
};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, Write};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

/// A timer that fires later than this after its due time counts as late.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(20);

/// The configuration of a process that hosts simulated proxies, which it reads as one line of JSON.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostConfig {
    /// The configurations of its proxies.
    pub proxies: Vec<SimulatedProxyConfig>,
}

/// The configuration of a simulated proxy.
#[derive(Debug, Serialize, Deserialize)]
pub struct SimulatedProxyConfig {
    /// The settings, in the format of a real proxy's configuration file.
    pub settings: serde_json::Value,
    /// The seed of the random numbers.
    pub seed: u64,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
}

/// The activity of the simulated proxies of a process since the last report.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Activity {
    /// Timers that fired.
    pub wakes: u64,
    /// Timers that fired more than 20 ms late, which shows that the machine is too slow for the process.
    pub late_wakes: u64,
    /// Full lists and changes that were handled.
    pub lists: u64,
    /// Warnings that a real proxy would log.
    pub notes: u64,
}

impl Activity {
    /// Returns the sum of two activities.
    pub fn plus(self, other: Activity) -> Activity {
        Activity {
            wakes: self.wakes + other.wakes,
            late_wakes: self.late_wakes + other.late_wakes,
            lists: self.lists + other.lists,
            notes: self.notes + other.notes,
        }
    }
}

struct State {
    balancer: Balancer,
    /// The listed backends by name: the balancer's id, and for a draining backend its start time.
    listed: HashMap<String, (BackendId, Option<f64>)>,
    names: HashMap<BackendId, String>,
    ready_count: usize,
}

struct SimulatedProxy {
    state: RefCell<State>,
    settings: ResolvedSettings,
    start: Instant,
    start_unix_ms: f64,
    poll_wanted: watch::Sender<bool>,
    activity: Rc<Cell<Activity>>,
}

impl SimulatedProxy {
    fn new(config: &SimulatedProxyConfig, activity: Rc<Cell<Activity>>) -> anyhow::Result<Rc<Self>> {
        let settings = settings_format::read(&config.settings)?;
        let balancer = Balancer::new(settings.balancer.clone(), config.seed)?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Ok(Rc::new(SimulatedProxy {
            state: RefCell::new(State {
                balancer,
                listed: HashMap::new(),
                names: HashMap::new(),
                ready_count: 0,
            }),
            settings,
            start: Instant::now(),
            start_unix_ms: unix.as_secs_f64() * 1000.0,
            poll_wanted: watch::Sender::new(false),
            activity,
        }))
    }

    fn update_activity(&self, update: impl FnOnce(&mut Activity)) {
        let mut activity = self.activity.get();
        update(&mut activity);
        self.activity.set(activity);
    }

    fn handle_event(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        let now = self.start_unix_ms + self.start.elapsed().as_secs_f64() * 1000.0;
        self.state.borrow_mut().balancer.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { delay_ms: delay, token } => {
                    let proxy = self.clone();
                    let delay = Duration::from_secs_f64((delay / 1000.0).clamp(0.0, 86_400.0));
                    spawn_local(async move {
                        let due = Instant::now() + delay;
                        sleep(delay).await;
                        let is_late = due.elapsed() > LATE_TIMER_THRESHOLD;
                        proxy.update_activity(|a| {
                            (a.wakes, a.late_wakes) = (a.wakes + 1, a.late_wakes + u64::from(is_late))
                        });
                        proxy.handle_event(Event::TimerFired { token });
                    });
                }
                Action::PollEndpoints => {
                    self.poll_wanted.send_replace(true);
                }
                // The other actions concern requests and connections, which a simulated proxy does not have.
                _ => {}
            }
        }
    }

    /// Returns the balancer's entry for an entry of the list, by the same rules as the real proxy. Returns `None` for
    /// an unknown zone, unless the backend is deleted.
    fn endpoint_info(
        &self,
        state: &mut State,
        endpoint: EndpointRecord,
        is_older: bool,
    ) -> Option<EndpointInfo> {
        let zone = self.settings.site.zone_names.iter().position(|zone| *zone == endpoint.zone);
        if zone.is_none() && endpoint.health != HealthState::Deleted {
            return None;
        }
        let (backend, draining) = state.listed.get(&endpoint.name).copied().unwrap_or_else(|| {
            let mut hasher = DefaultHasher::new();
            endpoint.name.hash(&mut hasher);
            let mut id = hasher.finish() as BackendId;
            while state.names.contains_key(&id) {
                id = id.wrapping_add(1);
            }
            (id, None)
        });
        let phase = match endpoint.health {
            HealthState::Serving if is_older && draining == Some(endpoint.started_at_ms) => Phase::Draining,
            HealthState::Serving => Phase::Ready,
            HealthState::Draining => Phase::Draining,
            HealthState::Deleted => Phase::Removed,
        };
        if phase == Phase::Removed {
            state.listed.remove(&endpoint.name);
            state.names.remove(&backend);
        } else {
            state.names.insert(backend, endpoint.name.clone());
            let draining = (phase == Phase::Draining).then_some(endpoint.started_at_ms);
            state.listed.insert(endpoint.name, (backend, draining));
        }
        Some(EndpointInfo {
            backend,
            phase,
            zone: zone.unwrap_or(0) as u16,
            started_at_ms: endpoint.started_at_ms.max(0.0),
            weight: endpoint.weight.max(0.0),
            cell: endpoint.cell,
        })
    }
}

impl EndpointObserver for SimulatedProxy {
    fn has_ready_endpoint(&self) -> bool {
        self.state.borrow().ready_count > 0
    }

    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate) {
        let EndpointListUpdate { kind, endpoints, is_older, .. } = update;
        let entries = {
            let state = &mut *self.state.borrow_mut();
            let previous = match kind {
                EndpointListKind::Delta => None,
                _ => {
                    state.names.clear();
                    Some(std::mem::take(&mut state.listed))
                }
            };
            let mut entries = Vec::with_capacity(endpoints.len());
            for endpoint in endpoints {
                // A backend keeps its id from one full list to the next.
                if let Some((name, known)) = previous.as_ref().and_then(|b| b.get_key_value(&endpoint.name)) {
                    state.listed.insert(name.clone(), *known);
                }
                entries.extend(self.endpoint_info(state, endpoint, is_older));
            }
            state.ready_count = state.listed.values().filter(|(_, draining)| draining.is_none()).count();
            entries
        };
        self.update_activity(|a| a.lists += 1);
        self.handle_event(Event::EndpointList { kind, endpoints: entries });
    }

    fn on_poll_failed(self: &Rc<Self>) {
        self.poll_wanted.send_replace(false);
        self.handle_event(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: Vec::new() });
    }

    fn on_warning(&self, warning: &DiscoveryError) {
        self.update_activity(|a| a.notes += 1);
        tracing::debug!("discovery: {warning}");
    }

    fn on_recovery(&self, outage: PollOutage) {
        tracing::debug!("discovery: poll succeeded after {} failed polls", outage.failed_polls);
    }
}

/// Runs a process that hosts simulated proxies. It reads its configuration from the first line of standard input and
/// answers each further line with the activity since the previous one, as a line of JSON on standard output. It ends
/// when standard input is closed.
///
/// # Errors
///
/// Returns an error if the configuration can't be read or the settings are invalid.
pub fn serve() -> anyhow::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let mut first = String::new();
    std::io::stdin().lock().read_line(&mut first)?;
    let config: HostConfig = serde_json::from_str(&first)?;
    drop(first);
    let (request_sender, mut requests) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lock().lines() {
            if line.is_err() || request_sender.send(()).is_err() {
                return;
            }
        }
    });
    LocalSet::new().block_on(&runtime, async {
        let activity = Rc::new(Cell::new(Activity::default()));
        for config in &config.proxies {
            let proxy = SimulatedProxy::new(config, activity.clone())?;
            let mode = proxy.settings.balancer.discovery_mode;
            let drain_deadline = Duration::from_secs_f64(
                (proxy.settings.site.drain_deadline_ms / 1000.0).clamp(0.0, 86_400.0),
            );
            let options = FollowOptions {
                address: config.discovery,
                mode,
                timeouts: WatchTimeouts::new(drain_deadline),
                newest_version: Rc::default(),
                poll_wanted: proxy.poll_wanted.subscribe(),
            };
            proxy.handle_event(Event::EndpointList { kind: EndpointListKind::Cached, endpoints: Vec::new() });
            spawn_local(follow(proxy, options));
        }
        drop(config);
        while requests.recv().await.is_some() {
            let mut out = std::io::stdout().lock();
            serde_json::to_writer(&mut out, &activity.take())?;
            writeln!(out)?;
            out.flush()?;
        }
        Ok(())
    })
}
