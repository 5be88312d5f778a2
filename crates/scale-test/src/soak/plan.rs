//! The plan of a soak run, drawn from a seed: the proxy's settings, the clients, and the schedule of faults
//! and signals.

use super::record::Idempotency;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};
use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time between the start of the load and the earliest fault.
const FAULT_FREE_START: Duration = Duration::from_millis(500);
/// Time between the start of the load and the stop of the proxy; all faults are scheduled before the stop.
const TRAFFIC_DURATION: Duration = Duration::from_millis(8000);
/// SIGKILL follows SIGTERM after the longest deadline of a class, but at least after this time, plus
/// `KILL_MARGIN`.
const MIN_KILL_DELAY: Duration = Duration::from_secs(3);
/// Added to the longest deadline before SIGKILL is sent.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A request class.
#[derive(Debug, Clone, Serialize)]
pub struct SoakClass {
    /// The name of the class, which is the first segment of the request path.
    pub name: &'static str,
    /// Whether requests of the class may be repeated.
    pub idempotency: Idempotency,
    /// The time for which its clients wait for a response.
    pub deadline: Duration,
}

/// The proxy settings that a seed determines.
#[derive(Debug, Clone, Serialize)]
pub struct SoakSettings {
    /// The request classes.
    pub classes: Vec<SoakClass>,
    /// Names of the tenants.
    pub tenants: Vec<&'static str>,
    /// Names of the zones.
    pub zones: Vec<&'static str>,
    /// Whether the endpoint list is polled instead of watched.
    pub is_polled: bool,
    /// Longest interval between two polls of the endpoint list.
    pub poll_within: Duration,
    /// Time for which requests may still be sent to a draining backend.
    pub drain_deadline: Duration,
    /// Time that a backend takes to warm up.
    pub warm_up: Duration,
    /// Fraction of its capacity that a cold backend starts with.
    pub initial_capacity: f64,
    /// A backend is overloaded by this multiple of its capacity within `overload_span`.
    pub overload_multiple: f64,
    /// The time over which `overload_multiple` is measured.
    pub overload_span: Duration,
    /// Time for which repeated requests with the same idempotency key are dropped.
    pub deduplication_window: Duration,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Whether the proxy may cancel attempts.
    pub can_cancel: bool,
    /// Whether the proxy may send hedged requests.
    pub can_hedge: bool,
    /// Whether rejections carry a `Retry-After` header.
    pub sends_retry_after: bool,
    /// Time after which idle connections to backends are closed.
    pub connection_idle: Duration,
    /// Timeout for connecting to a backend.
    pub connect_timeout: Duration,
    /// Limit of file descriptors for the proxy.
    pub max_descriptors: usize,
    /// Memory limit of the proxy in bytes.
    pub memory_bytes: u64,
}

/// How a backend handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum BackendBehavior {
    /// Serves each request.
    Serve,
    /// Reads requests and sends no response.
    Hang,
    /// Resets the connection after it has read the request.
    Reset,
    /// Resets the connection in the middle of the response.
    HalfAnswer,
    /// Sends extra bytes after the response.
    TooMuch,
    /// Sends a response body one byte at a time, too slowly for it to be completed.
    Endless,
    /// Sends the response a second time after a few milliseconds.
    StrayAnswer,
    /// Takes several times the usual service time.
    Slow,
    /// Responds with status 500.
    Fail,
    /// Declines the request with status 503 and `Srv-Declined: 1`.
    Decline,
}

/// How the discovery agent responds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum DiscoveryBehavior {
    /// Responds at once.
    Answer,
    /// Refuses connections.
    Refuse,
    /// Reads requests and sends no response.
    Hang,
    /// Responds after a delay.
    Slow,
    /// Closes each connection on its next request.
    Reset,
    /// Responds with the endpoint list of the start.
    OldList,
}

/// A scheduled fault, signal or operator action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum SoakEvent {
    /// A backend changes its behavior for some time.
    Backend {
        /// The backend's number.
        backend: usize,
        /// The behavior.
        behavior: BackendBehavior,
        /// The duration of the behavior.
        lasts: Duration,
    },
    /// A backend is listed as draining and is removed some time later.
    Drain {
        /// The backend's number.
        backend: usize,
        /// The time from the start of the drain to the removal.
        gone_after: Duration,
    },
    /// A backend's process ends without notice and restarts cold.
    Crash {
        /// The backend's number.
        backend: usize,
        /// The time until the restart.
        back_after: Duration,
    },
    /// Discovery changes its behavior for some time.
    Discovery {
        /// The behavior.
        behavior: DiscoveryBehavior,
        /// The duration of the behavior.
        lasts: Duration,
    },
    /// The configuration is replaced and SIGHUP is sent, one or more times.
    Reload {
        /// The number of reloads.
        count: u32,
        /// The pause after each reload.
        gap: Duration,
    },
    /// A new process is started beside the old one, which is then stopped with SIGTERM.
    Upgrade {
        /// If set, the new process instead of the old one is stopped, this long after its start.
        abandoned_after: Option<Duration>,
    },
    /// The proxy is drained through the admin API and activated again.
    DrainProxy {
        /// The time until the proxy is activated.
        active_after: Duration,
    },
    /// A backend is suspended through the admin API and resumed.
    Suspend {
        /// The backend's number.
        backend: usize,
        /// The time until the backend is resumed.
        resumed_after: Duration,
    },
}

/// What the clients of a crowd do while they use up the proxy's connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum CrowdKind {
    /// Connect and send nothing.
    Idle,
    /// Connect and send an incomplete request head.
    HalfOpen,
    /// Send requests with almost no pause.
    Busy,
}

/// A crowd: as many clients as the proxy has file descriptors.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CrowdPlan {
    /// What the clients of the crowd do.
    pub kind: CrowdKind,
    /// The number of clients.
    pub clients: usize,
    /// When the crowd connects, relative to the start of the load.
    pub from: Duration,
    /// When the crowd disconnects, which may be after the stop of the proxy.
    pub until: Duration,
}

/// The regular clients, and the probabilities of what they do with a request.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ClientPlan {
    /// The number of clients, each of which sends one request after the other.
    pub clients: usize,
    /// Longest pause between two requests of a client.
    pub pause: Duration,
    /// Probability that a client disconnects before the response.
    pub leaving: f64,
    /// Probability that a client writes its request slowly.
    pub slow: f64,
    /// Probability that a client sends an incomplete request head and keeps the connection open.
    pub stopping: f64,
    /// Probability that a client pipelines two requests.
    pub pipelining: f64,
    /// Probability that a rejected client sends its next request without a pause.
    pub retrying: f64,
}

/// How the proxy is stopped at the end of a run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct StopPlan {
    /// If set, SIGHUP is sent this long before SIGTERM.
    pub reload_before: Option<Duration>,
    /// If set, SIGTERM is sent a second time after this time.
    pub terminate_again: Option<Duration>,
}

/// An event with its time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ScheduledEvent {
    /// The time since the start of the load.
    pub at: Duration,
    /// The event.
    pub event: SoakEvent,
}

/// Combined with the seed, gives torn reloads a random stream of their own.
const TORN_RELOAD_STREAM: u64 = 0x746f_726e;

/// The plan of one soak run.
#[derive(Debug, Clone, Serialize)]
pub struct SoakPlan {
    /// The seed from which the plan is drawn.
    pub seed: u64,
    /// The proxy's settings.
    pub settings: SoakSettings,
    /// The number of backends.
    pub backends: usize,
    /// The time that a warm backend takes for a request.
    pub service_time: Duration,
    /// The number of requests that a backend serves concurrently.
    pub concurrency: usize,
    /// The regular clients.
    pub clients: ClientPlan,
    /// The crowd, which only some runs have.
    pub crowd: Option<CrowdPlan>,
    /// The events, ordered by time.
    pub events: Vec<ScheduledEvent>,
    /// When the proxy is sent SIGTERM, relative to the start of the load.
    pub stop_at: Duration,
    /// How the proxy is stopped.
    pub stop: StopPlan,
    /// If set, the configuration file of the last reload in a series is half written when SIGHUP is sent, and
    /// complete after this time.
    pub torn_reload: Option<Duration>,
}

fn draw_millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

impl SoakSettings {
    fn draw(random: &mut StdRng) -> Self {
        let mut classes = vec![
            SoakClass {
                name: "look",
                idempotency: Idempotency::Idempotent,
                deadline: draw_millis(random, 300, 3000),
            },
            SoakClass {
                name: "keep",
                idempotency: Idempotency::Deduplicated,
                deadline: draw_millis(random, 300, 3000),
            },
            SoakClass {
                name: "once",
                idempotency: Idempotency::NonIdempotent,
                deadline: draw_millis(random, 300, 3000),
            },
        ];
        classes.shuffle(random);
        classes.truncate(random.random_range(2..=3));
        let zones = ["a", "b", "c"];
        let tenants = ["acme", "bolt", "cord"];
        SoakSettings {
            classes,
            tenants: tenants[..random.random_range(1..=3)].to_vec(),
            zones: zones[..random.random_range(1..=3)].to_vec(),
            is_polled: random.random_bool(0.4),
            poll_within: draw_millis(random, 1000, 10_000),
            drain_deadline: draw_millis(random, 300, 2000),
            warm_up: draw_millis(random, 2000, 6000),
            initial_capacity: random.random_range(0.1..0.5),
            overload_multiple: random.random_range(2.0..4.0),
            overload_span: draw_millis(random, 1000, 3000),
            deduplication_window: draw_millis(random, 500, 5000),
            max_attempts: random.random_range(2..=6),
            can_cancel: random.random_bool(0.7),
            can_hedge: random.random_bool(0.5),
            sends_retry_after: random.random_bool(0.5),
            connection_idle: draw_millis(random, 1000, 10_000),
            connect_timeout: draw_millis(random, 150, 1000),
            max_descriptors: *[64, 96, 128, 256].choose(random).unwrap_or(&128),
            memory_bytes: random.random_range(48..=128) << 20,
        }
    }

    /// Returns the longest deadline of any class.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn kill_after(&self) -> Duration {
        self.longest_deadline().max(MIN_KILL_DELAY) + KILL_MARGIN
    }

    /// Returns the settings in the format of the proxy's configuration file.
    pub fn to_json(&self) -> Value {
        let milliseconds = |duration: Duration| duration.as_secs_f64() * 1000.0;
        let class = |class: &SoakClass| {
            let semantics = match class.idempotency {
                Idempotency::Idempotent => "retryable",
                Idempotency::Deduplicated => "dedup",
                Idempotency::NonIdempotent => "fragile",
            };
            json!({"name": class.name, "aim": milliseconds(class.deadline) * 0.6, "lateWorth": 0.0,
                   "giveUp": milliseconds(class.deadline), "points": 1.0, "semantics": semantics, "group": "all",
                   "window": milliseconds(self.deduplication_window)})
        };
        let classes: Vec<Value> = self.classes.iter().map(class).collect();
        let tenants: Vec<Value> =
            self.tenants.iter().map(|name| json!({"name": name, "quotaPerS": 1000.0})).collect();
        json!({
            "slotNo": 0, "peersTotal": 1, "tier": 0, "locality": 0, "localities": self.zones, "tick": 5.0,
            "overShareWorth": 0.05, "discovery": if self.is_polled { "subscribe" } else { "automatic" },
            "tenants": tenants, "classes": classes,
            "caps": {"cancelling": self.can_cancel, "mayDuplicate": self.can_hedge,
                     "retryAfter": self.sends_retry_after, "maxRetryAfter": 1000.0, "tryLimit": self.max_attempts,
                     "openCap": 1000, "connIdle": milliseconds(self.connection_idle),
                     "connectTimeout": milliseconds(self.connect_timeout)},
            "guarantees": {"coldFrom": self.initial_capacity, "cold": milliseconds(self.warm_up),
                           "fallMultiple": self.overload_multiple, "fall": milliseconds(self.overload_span),
                           "stopSendingWithin": milliseconds(self.drain_deadline), "graceToAnswer": 20.0,
                           "askWithin": milliseconds(self.poll_within)}
        })
    }
}

impl SoakPlan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let random = &mut random;
        let settings = SoakSettings::draw(random);
        let backends = random.random_range(4..=8);
        let service_time = draw_millis(random, 5, 40);
        let concurrency = random.random_range(2..=6);
        let clients = ClientPlan {
            clients: random.random_range(4..=12),
            pause: draw_millis(random, 20, 200),
            leaving: random.random_range(0.0..0.15),
            slow: random.random_range(0.0..0.1),
            stopping: random.random_range(0.0..0.03),
            pipelining: random.random_range(0.0..0.1),
            retrying: random.random_range(0.0..1.0),
        };
        let stop_at = TRAFFIC_DURATION;
        let crowd = draw_crowd(random, &settings, stop_at);
        let mut events: Vec<ScheduledEvent> =
            (0..random.random_range(6..=12)).map(|_| draw_event(random, backends, stop_at)).collect();
        events.extend(draw_signals(random, stop_at));
        events.sort_by_key(|scheduled| scheduled.at);
        let stop = StopPlan {
            reload_before: random.random_bool(0.4).then(|| draw_millis(random, 0, 20)),
            terminate_again: random.random_bool(0.4).then(|| draw_millis(random, 0, 300)),
        };
        SoakPlan {
            seed,
            settings,
            backends,
            service_time,
            concurrency,
            clients,
            crowd,
            events,
            stop_at,
            stop,
            torn_reload: draw_torn_reload(seed),
        }
    }
}

/// Draws from a separate random stream, so that the rest of a seed's plan does not depend on it.
fn draw_torn_reload(seed: u64) -> Option<Duration> {
    let random = &mut StdRng::seed_from_u64(seed ^ TORN_RELOAD_STREAM);
    random.random_bool(0.5).then(|| draw_millis(random, 20, 1500))
}

fn draw_crowd(random: &mut StdRng, settings: &SoakSettings, stop_at: Duration) -> Option<CrowdPlan> {
    if !random.random_bool(0.35) {
        return None;
    }
    let kind = *[CrowdKind::Idle, CrowdKind::HalfOpen, CrowdKind::Busy].choose(random)?;
    let from = draw_millis(random, 500, 5000);
    // Half of the crowds stay until the end of the run, that is, through the stop of the proxy.
    let until = if random.random_bool(0.5) { from + draw_millis(random, 1000, 3000) } else { stop_at * 2 };
    Some(CrowdPlan { kind, clients: settings.max_descriptors, from, until })
}

fn draw_event(random: &mut StdRng, backends: usize, stop_at: Duration) -> ScheduledEvent {
    let at = random.random_range(FAULT_FREE_START..stop_at);
    let backend = random.random_range(0..backends);
    let event = match random.random_range(0..10) {
        0..5 => SoakEvent::Backend {
            backend,
            behavior: draw_backend_behavior(random),
            lasts: draw_millis(random, 200, 3000),
        },
        5 => SoakEvent::Drain { backend, gone_after: draw_millis(random, 500, 4000) },
        6 => SoakEvent::Crash { backend, back_after: draw_millis(random, 100, 2000) },
        7 => SoakEvent::Suspend { backend, resumed_after: draw_millis(random, 50, 2000) },
        _ => SoakEvent::Discovery {
            behavior: draw_discovery_behavior(random),
            lasts: draw_millis(random, 300, 4000),
        },
    };
    ScheduledEvent { at, event }
}

fn draw_backend_behavior(random: &mut StdRng) -> BackendBehavior {
    use BackendBehavior::{Decline, Endless, Fail, HalfAnswer, Hang, Reset, Slow, StrayAnswer, TooMuch};
    let behaviors = [Hang, Reset, HalfAnswer, TooMuch, Endless, StrayAnswer, Slow, Fail, Decline];
    *behaviors.choose(random).unwrap_or(&Hang)
}

fn draw_discovery_behavior(random: &mut StdRng) -> DiscoveryBehavior {
    use DiscoveryBehavior::{Hang, OldList, Refuse, Reset, Slow};
    *[Refuse, Hang, Slow, Reset, OldList].choose(random).unwrap_or(&Hang)
}

/// Draws reloads, an upgrade and drains of the proxy.
fn draw_signals(random: &mut StdRng, stop_at: Duration) -> Vec<ScheduledEvent> {
    let mut events = Vec::new();
    let mut add = |random: &mut StdRng, event| {
        // An upgrade must be complete before the proxy is stopped.
        let at = random.random_range(FAULT_FREE_START..stop_at / 2);
        events.push(ScheduledEvent { at, event });
    };
    if random.random_bool(0.5) {
        let event = SoakEvent::Reload { count: random.random_range(1..=4), gap: draw_millis(random, 0, 100) };
        add(random, event);
    }
    if random.random_bool(0.4) {
        let abandoned_after = random.random_bool(0.4).then(|| draw_millis(random, 0, 300));
        add(random, SoakEvent::Upgrade { abandoned_after });
    }
    for _ in 0..random.random_range(0..=2) {
        let active_after = draw_millis(random, 0, 1500);
        add(random, SoakEvent::DrainProxy { active_after });
    }
    events
}

/// Returns the loopback address on which everything in a run listens. It depends on the process id and the
/// seed, so that concurrent runs don't take each other's ports.
pub fn run_address(seed: u64) -> Ipv4Addr {
    let [process, ..] = std::process::id().to_le_bytes();
    let [.., high, low] = (seed % (1 << 16)).to_be_bytes();
    Ipv4Addr::new(127, process.max(1), high, low)
}

impl fmt::Display for SoakPlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "seed {}", self.seed)?;
        writeln!(formatter, "settings {}", self.settings.to_json())?;
        let (descriptors, memory) = (self.settings.max_descriptors, self.settings.memory_bytes >> 20);
        writeln!(formatter, "limits {descriptors} descriptors, {memory} MB")?;
        let (count, service_time, concurrency) = (self.backends, self.service_time, self.concurrency);
        writeln!(formatter, "backends {count}, {concurrency} requests at once, {service_time:?} each")?;
        writeln!(formatter, "clients {:?}", self.clients)?;
        if let Some(crowd) = self.crowd {
            writeln!(formatter, "crowd {crowd:?}")?;
        }
        for scheduled in &self.events {
            writeln!(formatter, "{:>8.3} s  {:?}", scheduled.at.as_secs_f64(), scheduled.event)?;
        }
        if let Some(whole_after) = self.torn_reload {
            writeln!(formatter, "configurations are half written at their signal for {whole_after:?}")?;
        }
        write!(formatter, "{:>8.3} s  stop {:?}", self.stop_at.as_secs_f64(), self.stop)
    }
}
