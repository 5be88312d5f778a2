//! A stand-in of discovery, from the protocol page: one versioned list, whole or as changes, and watches that wait for
//! news. Every proxy has an address of its own, as its machine's agent would give it, so that a version that a proxy
//! asks for news of shows which one holds it.

use super::counted::{Counted, Traffic};
use super::{histogram, loopback};
use bytes::Bytes;
use hdrhistogram::Histogram;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

/// Name of the thread that it runs on, by which its processor time is found.
pub const THREAD: &str = "registry";
/// Longest wait of a watch.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

/// Whether a backend takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes its work.
    Draining,
    /// Gone.
    Deleted,
}

/// An entry of the list.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Host {
    /// The backend's name.
    pub host: String,
    /// Its address.
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its kind of machine.
    pub class: &'static str,
    /// Its cell.
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    pub share: f64,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    pub born_ms: u64,
}

#[derive(Serialize)]
struct Page<'a> {
    seq: u64,
    whole: bool,
    hosts: Vec<&'a Host>,
}

/// How changes came into force.
#[derive(Debug, Clone)]
pub struct Propagation {
    /// Changes made.
    pub changes: usize,
    /// Those that a proxy does not hold yet.
    pub unfinished: usize,
    /// Times from a change to its being in force at a proxy, in microseconds; one for each change and proxy.
    pub each: Histogram<u64>,
    /// Times to the last proxy; one for each change that all of them hold.
    pub last: Histogram<u64>,
}

struct Change {
    at: Instant,
    missing: usize,
    last: Duration,
}

struct State {
    seq: u64,
    /// Entries by name with the version of their last change; those that are gone stay for the watches.
    hosts: Vec<(Host, u64)>,
    places: HashMap<String, usize>,
    /// A watch from before this version is answered with the whole list.
    resync: u64,
    /// Answers at the present version, by what was asked for.
    pages: HashMap<Option<u64>, Bytes>,
    /// Version that each proxy holds.
    held: Vec<u64>,
    /// Changes that are being watched, by version.
    changes: HashMap<u64, Change>,
    each: Histogram<u64>,
}

impl State {
    /// The answer to a watch, or to a call for the whole list.
    fn page(&mut self, after: Option<u64>) -> Bytes {
        // Versions of another time are answered with what holds now.
        let after = after.filter(|&after| after >= self.resync && after <= self.seq);
        if let Some(page) = self.pages.get(&after) {
            return page.clone();
        }
        let hosts = self.hosts.iter().filter(|(host, seq)| match after {
            Some(after) => *seq > after,
            None => host.health != Health::Deleted,
        });
        let hosts = hosts.map(|(host, _)| host).collect();
        let page = Page { seq: self.seq, whole: after.is_none(), hosts };
        let page = Bytes::from(serde_json::to_vec(&page).unwrap_or_default());
        self.pages.insert(after, page.clone());
        page
    }

    /// A proxy asks for news after a version: it holds that one.
    fn acknowledge(&mut self, watcher: usize, after: u64) {
        let Some(held) = self.held.get_mut(watcher).filter(|held| **held < after) else { return };
        let before = std::mem::replace(held, after);
        for seq in before + 1..=after {
            if let Some(change) = self.changes.get_mut(&seq) {
                change.last = change.at.elapsed();
                change.missing = change.missing.saturating_sub(1);
                self.each.saturating_record(change.last.as_micros() as u64);
            }
        }
    }
}

struct Shared {
    state: Mutex<State>,
    /// The present version.
    seq: watch::Sender<u64>,
    /// Told of every acknowledgement.
    acknowledged: watch::Sender<()>,
    traffic: Arc<Traffic>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        // Whoever panicked with it left whole entries behind.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stand-in, on a thread of its own until it is dropped.
pub struct Registry {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    /// Its drop ends the thread.
    _stop: oneshot::Sender<()>,
}

impl Registry {
    /// Starts with a list, for so many proxies.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on or the thread can't be started.
    pub async fn start(hosts: Vec<Host>, watchers: usize) -> io::Result<Self> {
        let places = hosts.iter().enumerate().map(|(place, h)| (h.host.clone(), place)).collect();
        let state = State {
            seq: 1,
            hosts: hosts.into_iter().map(|host| (host, 1)).collect(),
            places,
            resync: 0,
            pages: HashMap::new(),
            held: vec![0; watchers],
            changes: HashMap::new(),
            each: histogram(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            seq: watch::Sender::new(1),
            acknowledged: watch::Sender::new(()),
            traffic: Arc::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let (started, start) = oneshot::channel();
        let serving = shared.clone();
        std::thread::Builder::new().name(THREAD.to_string()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(e) => return drop(started.send(Err(e))),
            };
            LocalSet::new().block_on(&runtime, async {
                let addresses = listen(&serving, watchers).await;
                // Whoever started it may have gone; then `stopped` ends it.
                let _ = started.send(addresses);
                let _ = stopped.await;
            });
        })?;
        let addresses = start.await.map_err(io::Error::other)??;
        Ok(Registry { shared, addresses, _stop: stop })
    }

    /// Where each proxy asks.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// What went over its connections, both ways.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Changes entries as one version; returns it.
    pub fn change(&self, hosts: Vec<Host>) -> u64 {
        self.step(|s| {
            for host in hosts {
                match s.places.get(&host.host) {
                    Some(&place) => s.hosts[place] = (host, s.seq),
                    None => {
                        s.places.insert(host.host.clone(), s.hosts.len());
                        s.hosts.push((host, s.seq));
                    }
                }
            }
        })
    }

    /// Has every watch answered with the whole list, as a new version; returns it.
    pub fn resync(&self) -> u64 {
        self.step(|s| s.resync = s.seq)
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        *self.shared.seq.borrow()
    }

    /// Size of the whole list as it is sent, in bytes.
    pub fn whole_bytes(&self) -> usize {
        self.shared.state().page(None).len()
    }

    /// Waits until all proxies hold a version, at most so long; how many do.
    pub async fn in_force(&self, seq: u64, most: Duration) -> usize {
        let mut acknowledged = self.shared.acknowledged.subscribe();
        let holding = || self.shared.state().held.iter().filter(|held| **held >= seq).count();
        let all = async { while holding() < self.addresses.len() && acknowledged.changed().await.is_ok() {} };
        // Whether all or not, the count tells.
        let _ = timeout(most, all).await;
        holding()
    }

    /// How the changes since the last call came into force.
    pub fn propagation(&self) -> Propagation {
        let s = &mut *self.shared.state();
        let (mut last, mut unfinished) = (histogram(), 0);
        let changes: Vec<Change> = std::mem::take(&mut s.changes).into_values().collect();
        for change in &changes {
            if change.missing == 0 {
                last.saturating_record(change.last.as_micros() as u64);
            } else {
                unfinished += 1;
            }
        }
        let each = std::mem::replace(&mut s.each, histogram());
        Propagation { changes: changes.len(), unfinished, each, last }
    }

    fn step(&self, what: impl FnOnce(&mut State)) -> u64 {
        let seq = {
            let s = &mut *self.shared.state();
            s.seq += 1;
            s.pages.clear();
            what(s);
            let change = Change { at: Instant::now(), missing: s.held.len(), last: Duration::ZERO };
            s.changes.insert(s.seq, change);
            s.seq
        };
        self.shared.seq.send_replace(seq);
        seq
    }
}

/// Listens for every proxy, each on an address of its own.
async fn listen(shared: &Arc<Shared>, watchers: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for watcher in 0..watchers {
        let listener = TcpListener::bind((loopback(2, watcher), 0)).await?;
        addresses.push(listener.local_addr()?);
        let shared = shared.clone();
        spawn_local(async move {
            // One that can't accept is out of descriptors, which was counted before the start: its proxy stays
            // without a list, and the report says how many hold it.
            while let Ok((stream, _)) = listener.accept().await {
                // It only makes answers quicker.
                let _ = stream.set_nodelay(true);
                let shared = shared.clone();
                spawn_local(async move {
                    let io = TokioIo::new(Counted::new(stream, shared.traffic.clone()));
                    let service = service_fn(|request| answer(shared.clone(), watcher, request));
                    // Its proxy has gone or will call again.
                    let _ = http1::Builder::new().serve_connection(io, service).await;
                });
            }
        });
    }
    Ok(addresses)
}

async fn answer(
    shared: Arc<Shared>,
    watcher: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut reply = Response::new(Full::default());
    if request.method() != Method::GET || request.uri().path() != "/registry/instances" {
        *reply.status_mut() = StatusCode::NOT_FOUND;
        return Ok(reply);
    }
    let query = request.uri().query().unwrap_or_default();
    let figure = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.parse::<u64>())
    };
    let (after, wait) = match (figure("after").transpose(), figure("wait_ms").transpose()) {
        (Ok(after), Ok(wait)) => (after, Duration::from_millis(wait.unwrap_or(0)).min(LONGEST_WAIT)),
        _ => {
            *reply.status_mut() = StatusCode::BAD_REQUEST;
            return Ok(reply);
        }
    };
    if let Some(after) = after {
        let mut seq = shared.seq.subscribe();
        shared.state().acknowledge(watcher, after);
        shared.acknowledged.send_replace(());
        // If nothing comes in time, the answer says that there is nothing; a version of another time is over at once.
        let _ = timeout(wait, seq.wait_for(|seq| *seq != after)).await;
    }
    let page = shared.state().page(after);
    shared.traffic.answered();
    *reply.body_mut() = Full::new(page);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(reply)
}

impl Host {
    /// An entry that serves, started long ago.
    pub fn serving(host: String, dial: SocketAddr, site: String, block: u16) -> Self {
        Host { host, dial, site, class: "m", block, health: Health::Serving, share: 1.0, born_ms: 0 }
    }
}
