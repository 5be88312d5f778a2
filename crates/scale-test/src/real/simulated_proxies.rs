//! Simulated proxies: many to a process, each with its own balancer, its own watch on discovery and its timers, as
//! a proxy has them, and no connections of clients or to backends.

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

/// A timer that comes later than this is late.
const LATE_TIMER_THRESHOLD: Duration = Duration::from_millis(20);

/// What a process of simulated proxies gets at its start, as one line.
#[derive(Debug, Serialize, Deserialize)]
pub struct HostConfig {
    /// Its proxies.
    pub proxies: Vec<SimulatedProxyConfig>,
}

/// The same for one of them.
#[derive(Debug, Serialize, Deserialize)]
pub struct SimulatedProxyConfig {
    /// Its settings, as a real proxy's file has them.
    pub settings: serde_json::Value,
    /// Feeds its random numbers.
    pub seed: u64,
    /// Where it asks for the list.
    pub discovery: SocketAddr,
}

/// What the proxies of a process did since they were asked last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Activity {
    /// Timers that came due.
    pub wakes: u64,
    /// Those that came more than 20 ms late: the machine does not carry the process.
    pub late_wakes: u64,
    /// Lists and changes handled.
    pub lists: u64,
    /// Lines for the log.
    pub notes: u64,
}

impl Activity {
    /// Both together.
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
    /// Backends that the list names: the balancer's number, and the start of one that drains.
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
                // The others are about requests and connections, of which there are none.
                _ => {}
            }
        }
    }

    /// The balancer's entry for a line of the list; the same rules as at the real proxy.
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
                // A backend keeps its number from list to list.
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
        tracing::debug!("discovery: answered after {} failed polls", outage.failed_polls);
    }
}

/// The whole life of a process of simulated proxies: its configuration as the first line of its standard input,
/// then for each further line what it did since the last one, and its end with the input's.
///
/// # Errors
///
/// If its configuration can't be read or its settings can't be used.
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
