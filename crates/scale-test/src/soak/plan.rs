//! What a seed plays: the proxy's settings, the clients, and a schedule of faults and signals.

use super::record::Idempotency;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use serde::Serialize;
use serde_json::{Value, json};
use std::fmt;
use std::net::Ipv4Addr;
use std::time::Duration;

/// Time of the load before the first fault.
const QUIET_START: Duration = Duration::from_millis(500);
/// A stop follows so long after the last scheduled fault.
const TRAFFIC_TIME: Duration = Duration::from_millis(8000);
/// SIGKILL follows SIGTERM no sooner than the longest deadline, counted as this where it is shorter ...
const LEAST_LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// ... and this.
const KILL_MARGIN: Duration = Duration::from_millis(700);

/// A class of requests.
#[derive(Debug, Clone, Serialize)]
pub struct SoakClass {
    /// Its name, the first part of the path.
    pub name: &'static str,
    /// What it allows.
    pub idempotency: Idempotency,
    /// How long its clients wait.
    pub deadline: Duration,
}

/// The settings that are drawn.
#[derive(Debug, Clone, Serialize)]
pub struct SoakSettings {
    /// The classes.
    pub classes: Vec<SoakClass>,
    /// Names of the tenants.
    pub tenants: Vec<&'static str>,
    /// Names of the zones.
    pub zones: Vec<&'static str>,
    /// Whether the list is polled.
    pub is_polled: bool,
    /// Within this the list is polled.
    pub poll_within: Duration,
    /// A draining backend may be sent to for so long.
    pub drain_deadline: Duration,
    /// How long a backend warms up.
    pub warm_up: Duration,
    /// Share of its capacity that it starts with.
    pub initial_capacity: f64,
    /// Multiple of its capacity that overloads it ...
    pub overload_multiple: f64,
    /// ... in so long.
    pub overload_span: Duration,
    /// Repeats by a key are dropped for so long.
    pub deduplication_window: Duration,
    /// Most attempts for a request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub can_cancel: bool,
    /// Whether two attempts may run at once.
    pub can_hedge: bool,
    /// Whether clients are told when to come back.
    pub sends_retry_after: bool,
    /// Connections to backends are closed there after being idle for so long.
    pub connection_idle: Duration,
    /// A connection to a backend comes up within this.
    pub connect_timeout: Duration,
    /// Descriptors of the proxy.
    pub max_descriptors: usize,
    /// Memory of the proxy.
    pub memory_bytes: u64,
}

/// What a backend does with requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum BackendBehavior {
    /// Serves.
    Serve,
    /// Takes requests and answers nothing.
    Hang,
    /// Resets the connection once it has the request.
    Reset,
    /// Ends the connection in the middle of its answer.
    HalfAnswer,
    /// Sends more than belongs to its answer.
    TooMuch,
    /// Begins an answer that has no end.
    Endless,
    /// Sends its answer again some milliseconds later.
    StrayAnswer,
    /// Takes several times as long.
    Slow,
    /// Answers an error.
    Fail,
    /// Declines.
    Decline,
}

/// How discovery's agent answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum DiscoveryBehavior {
    /// At once.
    Answer,
    /// It takes no connection.
    Refuse,
    /// It takes calls and answers none.
    Hang,
    /// It answers late.
    Slow,
    /// It ends each connection at its call.
    Reset,
    /// It answers with a list of long ago.
    OldList,
}

/// What happens at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum SoakEvent {
    /// A backend behaves otherwise for a while.
    Backend {
        /// Its number.
        backend: usize,
        /// What it does.
        behavior: BackendBehavior,
        /// For how long.
        lasts: Duration,
    },
    /// A backend drains and is gone some time later.
    Drain {
        /// Its number.
        backend: usize,
        /// When it is gone.
        gone_after: Duration,
    },
    /// A backend's process ends at once and comes back cold.
    Crash {
        /// Its number.
        backend: usize,
        /// When it is back.
        back_after: Duration,
    },
    /// Discovery behaves otherwise for a while.
    Discovery {
        /// What it does.
        behavior: DiscoveryBehavior,
        /// For how long.
        lasts: Duration,
    },
    /// The configuration is replaced and SIGHUP sent, several times in a row.
    Reload {
        /// How often.
        count: u32,
        /// With this between them.
        gap: Duration,
    },
    /// A new process is started beside the old one, which is then told to end.
    Upgrade {
        /// The new process is told to end so soon after its start, in place of the old one.
        abandoned_after: Option<Duration>,
    },
    /// The operators drain the proxy and activate it again.
    DrainProxy {
        /// When it is activated.
        active_after: Duration,
    },
    /// The operators suspend a backend and resume it.
    Suspend {
        /// Its number.
        backend: usize,
        /// When it is resumed.
        resumed_after: Duration,
    },
}

/// Clients that fill the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum CrowdKind {
    /// They connect and send nothing.
    Idle,
    /// They send half a head.
    HalfOpen,
    /// They send again at once.
    Busy,
}

/// A crowd.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct CrowdPlan {
    /// What its clients do.
    pub kind: CrowdKind,
    /// How many there are.
    pub clients: usize,
    /// When it comes.
    pub from: Duration,
    /// When it goes, which may be after the stop.
    pub until: Duration,
}

/// What most clients do, as shares of their requests.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ClientPlan {
    /// Clients that send requests in turn.
    pub clients: usize,
    /// Longest pause between two requests.
    pub pause: Duration,
    /// Leave before the answer.
    pub leaving: f64,
    /// Write slowly.
    pub slow: f64,
    /// Stop in the middle and stay.
    pub stopping: f64,
    /// Send two requests at once.
    pub pipelining: f64,
    /// Send again at once when they are rejected.
    pub retrying: f64,
}

/// How the play ends.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct StopPlan {
    /// SIGHUP comes so shortly before SIGTERM.
    pub reload_before: Option<Duration>,
    /// SIGTERM comes again so shortly after.
    pub terminate_again: Option<Duration>,
}

/// An event and its time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ScheduledEvent {
    /// When, since the load began.
    pub at: Duration,
    /// What.
    pub event: SoakEvent,
}

/// Tells the random numbers of torn reloads from the others of a seed.
const TORN_RELOAD_STREAM: u64 = 0x746f_726e;

/// What a seed plays.
#[derive(Debug, Clone, Serialize)]
pub struct SoakPlan {
    /// The seed.
    pub seed: u64,
    /// The proxy's settings.
    pub settings: SoakSettings,
    /// How many backends there are.
    pub backends: usize,
    /// Time of a warm backend for a request.
    pub service_time: Duration,
    /// Requests that a backend serves at once.
    pub concurrency: usize,
    /// The clients.
    pub clients: ClientPlan,
    /// The crowd, in some plays.
    pub crowd: Option<CrowdPlan>,
    /// The events in order of time.
    pub events: Vec<ScheduledEvent>,
    /// When the proxy is told to end.
    pub stop_at: Duration,
    /// How.
    pub stop: StopPlan,
    /// The last configuration of a row is half written at its signal, and whole so long after.
    pub torn_reload: Option<Duration>,
}

fn millis(random: &mut StdRng, from: u64, to: u64) -> Duration {
    Duration::from_millis(random.random_range(from..=to))
}

impl SoakSettings {
    fn draw(random: &mut StdRng) -> Self {
        let mut classes = vec![
            SoakClass {
                name: "look",
                idempotency: Idempotency::Idempotent,
                deadline: millis(random, 300, 3000),
            },
            SoakClass {
                name: "keep",
                idempotency: Idempotency::Deduplicated,
                deadline: millis(random, 300, 3000),
            },
            SoakClass {
                name: "once",
                idempotency: Idempotency::NonIdempotent,
                deadline: millis(random, 300, 3000),
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
            poll_within: millis(random, 1000, 10_000),
            drain_deadline: millis(random, 300, 2000),
            warm_up: millis(random, 2000, 6000),
            initial_capacity: random.random_range(0.1..0.5),
            overload_multiple: random.random_range(2.0..4.0),
            overload_span: millis(random, 1000, 3000),
            deduplication_window: millis(random, 500, 5000),
            max_attempts: random.random_range(2..=6),
            can_cancel: random.random_bool(0.7),
            can_hedge: random.random_bool(0.5),
            sends_retry_after: random.random_bool(0.5),
            connection_idle: millis(random, 1000, 10_000),
            connect_timeout: millis(random, 150, 1000),
            max_descriptors: *[64, 96, 128, 256].choose(random).unwrap_or(&128),
            memory_bytes: random.random_range(48..=128) << 20,
        }
    }

    /// The longest deadline of a class.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|class| class.deadline).max().unwrap_or_default()
    }

    /// The earliest time of a kill after SIGTERM.
    pub fn kill_after(&self) -> Duration {
        self.longest_deadline().max(LEAST_LONGEST_DEADLINE) + KILL_MARGIN
    }

    /// The settings as the proxy's configuration has them.
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
    /// Draws a play.
    pub fn draw(seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let random = &mut random;
        let settings = SoakSettings::draw(random);
        let backends = random.random_range(4..=8);
        let service_time = millis(random, 5, 40);
        let concurrency = random.random_range(2..=6);
        let clients = ClientPlan {
            clients: random.random_range(4..=12),
            pause: millis(random, 20, 200),
            leaving: random.random_range(0.0..0.15),
            slow: random.random_range(0.0..0.1),
            stopping: random.random_range(0.0..0.03),
            pipelining: random.random_range(0.0..0.1),
            retrying: random.random_range(0.0..1.0),
        };
        let stop_at = TRAFFIC_TIME;
        let crowd = draw_crowd(random, &settings, stop_at);
        let mut events: Vec<ScheduledEvent> =
            (0..random.random_range(6..=12)).map(|_| draw_event(random, backends, stop_at)).collect();
        events.extend(draw_signals(random, stop_at));
        events.sort_by_key(|scheduled| scheduled.at);
        let stop = StopPlan {
            reload_before: random.random_bool(0.4).then(|| millis(random, 0, 20)),
            terminate_again: random.random_bool(0.4).then(|| millis(random, 0, 300)),
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

/// From random numbers of its own, so that all else of a seed stays what it was.
fn draw_torn_reload(seed: u64) -> Option<Duration> {
    let random = &mut StdRng::seed_from_u64(seed ^ TORN_RELOAD_STREAM);
    random.random_bool(0.5).then(|| millis(random, 20, 1500))
}

fn draw_crowd(random: &mut StdRng, settings: &SoakSettings, stop_at: Duration) -> Option<CrowdPlan> {
    if !random.random_bool(0.35) {
        return None;
    }
    let kind = *[CrowdKind::Idle, CrowdKind::HalfOpen, CrowdKind::Busy].choose(random)?;
    let from = millis(random, 500, 5000);
    // Some stay during the stop.
    let until = if random.random_bool(0.5) { from + millis(random, 1000, 3000) } else { stop_at * 2 };
    Some(CrowdPlan { kind, clients: settings.max_descriptors, from, until })
}

fn draw_event(random: &mut StdRng, backends: usize, stop_at: Duration) -> ScheduledEvent {
    let at = random.random_range(QUIET_START..stop_at);
    let backend = random.random_range(0..backends);
    let event = match random.random_range(0..10) {
        0..5 => {
            SoakEvent::Backend { backend, behavior: draw_behavior(random), lasts: millis(random, 200, 3000) }
        }
        5 => SoakEvent::Drain { backend, gone_after: millis(random, 500, 4000) },
        6 => SoakEvent::Crash { backend, back_after: millis(random, 100, 2000) },
        7 => SoakEvent::Suspend { backend, resumed_after: millis(random, 50, 2000) },
        _ => SoakEvent::Discovery { behavior: draw_discovery(random), lasts: millis(random, 300, 4000) },
    };
    ScheduledEvent { at, event }
}

fn draw_behavior(random: &mut StdRng) -> BackendBehavior {
    use BackendBehavior::{Decline, Endless, Fail, HalfAnswer, Hang, Reset, Slow, StrayAnswer, TooMuch};
    let behaviors = [Hang, Reset, HalfAnswer, TooMuch, Endless, StrayAnswer, Slow, Fail, Decline];
    *behaviors.choose(random).unwrap_or(&Hang)
}

fn draw_discovery(random: &mut StdRng) -> DiscoveryBehavior {
    use DiscoveryBehavior::{Hang, OldList, Refuse, Reset, Slow};
    *[Refuse, Hang, Slow, Reset, OldList].choose(random).unwrap_or(&Hang)
}

/// Signals come in series.
fn draw_signals(random: &mut StdRng, stop_at: Duration) -> Vec<ScheduledEvent> {
    let mut events = Vec::new();
    let mut add = |random: &mut StdRng, event| {
        // An upgrade has to be over before the stop.
        let at = random.random_range(QUIET_START..stop_at / 2);
        events.push(ScheduledEvent { at, event });
    };
    if random.random_bool(0.5) {
        let event = SoakEvent::Reload { count: random.random_range(1..=4), gap: millis(random, 0, 100) };
        add(random, event);
    }
    if random.random_bool(0.4) {
        let abandoned_after = random.random_bool(0.4).then(|| millis(random, 0, 300));
        add(random, SoakEvent::Upgrade { abandoned_after });
    }
    for _ in 0..random.random_range(0..=2) {
        let active_after = millis(random, 0, 1500);
        add(random, SoakEvent::DrainProxy { active_after });
    }
    events
}

/// The loopback address on which all of a play listen: plays beside each other must not take each other's ports.
pub fn play_address(seed: u64) -> Ipv4Addr {
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
