//! foldhitch-proxy: the balancer's decisions as a real proxy on sockets. Start, signals and wiring.

#![forbid(unsafe_code)]

mod admin;
mod config;
mod dispatcher;
mod downstream;
mod log;
mod process_group;
mod transport;
mod upstream;

use admin::Door;
use config::Config;
use config::reload::{Record, Reload};
use dispatcher::{Engine, millis};
use downstream::{Front, Stop};
use foldhitch_balancer::api::{DiscoveryMode, EndpointListKind};
use foldhitch_balancer::settings_format::SiteSettings;
use foldhitch_discovery_client::{self as discovery, Waits};
use log::log;
use process_group::Handover;
use std::cell::Cell;
use std::env;
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};
use upstream::Pool;

/// After SIGTERM new connections go on coming for so long.
const LINGER: Duration = Duration::from_millis(500);
/// A kill follows SIGTERM no sooner than the longest wait of a client, of which no more than this counts ...
const LONGEST: Duration = Duration::from_secs(3);
/// ... and this: all that was taken must be answered clearly earlier.
const AFTER: Duration = Duration::from_millis(300);
/// How often kept connections are looked through for old ones, and backends for those that are gone.
const SWEEP: Duration = Duration::from_secs(1);
/// Descriptors that are neither callers' nor backends' connections: standard streams, the listener, the
/// reactor, signals, discovery, and connections that are taken only to be refused.
const RESERVED: usize = 16 + downstream::SPARE;
/// Callers that the system keeps waiting to be accepted.
const QUEUE: u32 = 1024;
/// Connections that are left to a process where descriptors are short.
const LEAST: usize = 8;
/// With a door for operators as many again: its callers, its listener, and the folder of marks.
const DOOR: usize = admin::CALLERS + 4;
/// The bodies of open requests may fill this part of the memory; the rest is for buffers, answers and the program.
const BODIES: usize = 4;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            log!("{e}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = config::load()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("runtime: {e}"))?;
    LocalSet::new().block_on(&runtime, run(config))
}

async fn run(config: Config) -> Result<(), String> {
    let mut terminated = signal(SignalKind::terminate()).map_err(|e| format!("SIGTERM: {e}"))?;
    let mut reloaded = signal(SignalKind::hangup()).map_err(|e| format!("SIGHUP: {e}"))?;
    // Each request in work holds a connection on either side; kept ones fill what is left. Processes that act as
    // one proxy share it.
    let reserved = RESERVED + if config.management.is_some() { DOOR } else { 0 };
    let usable = move |processes: usize| (config.sockets / processes).saturating_sub(reserved).max(LEAST);
    let bodies = move |processes: usize| config.memory / BODIES / processes;
    let site = &config.facts.site;
    let pool = Rc::new(Pool::new(upstream::Limits {
        connections: usable(1) / 2,
        connect: millis(site.connect_timeout_ms),
        idle: millis(site.connection_idle_ms),
        drain_grace: millis(site.drain_deadline_ms),
    }));
    let (watching, wanted) = watch::channel(false);
    let must_ask = config.facts.balancer.discovery_mode == DiscoveryMode::Poll;
    let engine = Engine::new(config.facts.clone(), config.seed, pool.clone(), watching);
    let engine = engine.map_err(|e| e.to_string())?;
    let record = Rc::new(Record::new());
    let reload = Reload::new(&config, engine.clone(), pool.clone(), record.clone())?;
    let (known, complaint) = config.known.map(|page| page.entries()).unwrap_or_default();
    complaint.into_iter().for_each(|line| log!("{line}"));
    engine.list(EndpointListKind::Cached, known, false);
    let door = match config.management {
        Some(address) => Some(open_door(address, &engine, record).await?),
        None => None,
    };
    let newest = Rc::<Cell<u64>>::default();
    let follow = move |engine: Rc<Engine>, address| {
        let waits = Waits::new(millis(engine.facts().site.drain_deadline_ms));
        spawn_local(discovery::follow(engine, address, must_ask, waits, newest.clone(), wanted.clone()))
    };
    let (followed, mut following) = (engine.clone(), follow(engine.clone(), config.discovery));
    // Also while the program stops: the old address is about to fall silent.
    spawn_local(async move {
        while reloaded.recv().await.is_some() {
            if let Some(address) = reload.again() {
                // The old watch ends at once, with its connection and its version: the new address is asked for
                // the whole list.
                following.abort();
                following = follow(followed.clone(), address);
            }
        }
    });
    // Clients that another process serves are not taken before they can be served here.
    let mut processes = engine.processes();
    while *processes.borrow_and_update() > 1 && !engine.ready() {
        tokio::select! {
            _ = terminated.recv() => return Ok(()),
            () = sleep(process_group::LOOK) => {}
        }
    }
    let listener = listen(config.listen, door.is_some());
    let listener = listener.map_err(|e| format!("listen: {}: {e}", config.listen))?;
    let bound = listener.local_addr().map_err(|e| format!("listen: {e}"))?;
    log!("listening on {bound}");
    let kept = engine.clone();
    let swept = pool.clone();
    spawn_local(async move {
        loop {
            sleep(SWEEP).await;
            swept.sweep();
            kept.forget_gone();
        }
    });
    let (stop, stopped) = watch::channel(Stop::No);
    let front = Front {
        engine: engine.clone(),
        connections: Cell::new(usable(1) - usable(1) / 2),
        bodies: Cell::new(bodies(1)),
        parting: Cell::new(false),
        room: Rc::default(),
    };
    let front = Rc::new(front);
    let serving = spawn_local(front.clone().serve(listener, stopped));
    let mut shared = engine.processes();
    spawn_local(async move {
        loop {
            let count = *shared.borrow_and_update() as usize;
            front.resize(usable(count) - usable(count) / 2, bodies(count));
            while !pool.resize(usable(count) / 2) {
                sleep(process_group::LOOK).await;
            }
            if shared.changed().await.is_err() {
                return;
            }
        }
    });
    if let Some(door) = &door {
        door.serving();
    }
    let _ = terminated.recv().await;
    log!("stopping, {} requests open", engine.owed());
    door.inspect(|door| door.stopping());
    let (last, stay) = stopping(&engine);
    let end = Instant::now() + last;
    engine.end_by(end);
    if *engine.processes().borrow() > 1 {
        stop.send_replace(Stop::HandedOver);
        sleep(LINGER).await;
    } else {
        sleep(LINGER).await;
        stop.send_replace(Stop::Accepting);
    }
    sleep(stay.saturating_sub(LINGER)).await;
    stop.send_replace(Stop::All);
    // All is answered by then; a caller that does not take its answer must not keep the program.
    let ended = timeout_at(end + LINGER, serving).await;
    ended.map_or(Ok(()), |served| served.map_err(|e| format!("front: {e}")))
}

/// Listens for clients; where another process of this proxy may do so too, beside it.
fn listen(address: SocketAddr, beside: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if beside {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(QUEUE)
}

/// Opens the operators' door, and follows what is marked at that of another process.
async fn open_door(address: SocketAddr, engine: &Rc<Engine>, record: Rc<Record>) -> Result<Rc<Door>, String> {
    let listener = TcpListener::bind(address).await;
    let listener = listener.map_err(|e| format!("management: {address}: {e}"))?;
    let bound = listener.local_addr().map_err(|e| format!("management: {e}"))?;
    log!("operators at {bound}");
    let door = Door::new(engine.clone(), Handover::new(env::var_os("TMPDIR").map(Into::into)), record);
    spawn_local(door.clone().serve(listener));
    let looking = door.clone();
    spawn_local(async move {
        loop {
            sleep(process_group::LOOK).await;
            looking.look();
        }
    });
    Ok(door)
}

/// How long after SIGTERM all must be answered, and how long callers may go on using the connections that they
/// have: others may be down too, so for as long as a request still has the time in which its answer is wanted.
fn stopping(engine: &Engine) -> (Duration, Duration) {
    let told =
        |site: &SiteSettings| Some(millis(site.longest_client_timeout_ms)).filter(|wait| !wait.is_zero());
    let last = engine.longest(|site| told(site).map_or(LONGEST, |wait| wait.min(LONGEST))) + AFTER;
    (last, last.saturating_sub(engine.longest(|site| millis(site.longest_latency_objective_ms))).max(LINGER))
}
