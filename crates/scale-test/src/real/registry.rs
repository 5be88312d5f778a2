//! A stand-in of discovery, from the protocol page: one versioned list, whole or as changes, and watches that wait for
//! news. Every proxy has an address of its own, as its machine's agent would give it, so that a version that a proxy
//! asks for news of shows which one holds it.

use super::counted::{CountedStream, Traffic};
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
pub const THREAD_NAME: &str = "registry";
/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

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
pub struct Endpoint {
    /// The backend's name.
    #[serde(rename = "host")]
    pub name: String,
    /// Its address.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// Its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// Its kind of machine.
    #[serde(rename = "class")]
    pub machine_type: &'static str,
    /// Its cell.
    #[serde(rename = "block")]
    pub cell: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(rename = "share")]
    pub weight: f64,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    #[serde(rename = "born_ms")]
    pub started_at_ms: u64,
}

#[derive(Serialize)]
struct EndpointListPage<'a> {
    #[serde(rename = "seq")]
    version: u64,
    #[serde(rename = "whole")]
    is_full: bool,
    #[serde(rename = "hosts")]
    endpoints: Vec<&'a Endpoint>,
}

/// How changes came into force.
#[derive(Debug, Clone)]
pub struct Propagation {
    /// Changes made.
    pub changes: usize,
    /// Those that a proxy does not hold yet.
    pub incomplete_changes: usize,
    /// Times from a change to its being in force at a proxy, in microseconds; one for each change and proxy.
    pub delays: Histogram<u64>,
    /// Times to the last proxy; one for each change that all of them hold.
    pub last_proxy_delays: Histogram<u64>,
}

struct PendingChange {
    published_at: Instant,
    pending_proxies: usize,
    last_delay: Duration,
}

struct State {
    version: u64,
    /// Entries by name with the version of their last change; those that are gone stay for the watches.
    endpoints: Vec<(Endpoint, u64)>,
    index_by_name: HashMap<String, usize>,
    /// A watch from before this version is answered with the whole list.
    resync_version: u64,
    /// Answers at the present version, by what was asked for.
    page_cache: HashMap<Option<u64>, Bytes>,
    /// Version that each proxy holds.
    acknowledged_versions: Vec<u64>,
    /// Changes that are being watched, by version.
    pending_changes: HashMap<u64, PendingChange>,
    delays: Histogram<u64>,
}

impl State {
    /// The answer to a watch, or to a call for the whole list.
    fn page(&mut self, after: Option<u64>) -> Bytes {
        // Versions of another time are answered with what holds now.
        let after = after.filter(|&after| after >= self.resync_version && after <= self.version);
        if let Some(page) = self.page_cache.get(&after) {
            return page.clone();
        }
        let endpoints = self.endpoints.iter().filter(|(endpoint, version)| match after {
            Some(after) => *version > after,
            None => endpoint.health != Health::Deleted,
        });
        let endpoints = endpoints.map(|(endpoint, _)| endpoint).collect();
        let page = EndpointListPage { version: self.version, is_full: after.is_none(), endpoints };
        let page = Bytes::from(serde_json::to_vec(&page).unwrap_or_default());
        self.page_cache.insert(after, page.clone());
        page
    }

    /// A proxy asks for news after a version: it holds that one.
    fn acknowledge(&mut self, proxy: usize, after: u64) {
        let Some(version) = self.acknowledged_versions.get_mut(proxy).filter(|version| **version < after)
        else {
            return;
        };
        let before = std::mem::replace(version, after);
        for version in before + 1..=after {
            if let Some(change) = self.pending_changes.get_mut(&version) {
                change.last_delay = change.published_at.elapsed();
                change.pending_proxies = change.pending_proxies.saturating_sub(1);
                self.delays.saturating_record(change.last_delay.as_micros() as u64);
            }
        }
    }
}

struct Shared {
    state: Mutex<State>,
    /// The present version.
    version: watch::Sender<u64>,
    /// Told of every acknowledgement.
    acknowledgements: watch::Sender<()>,
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
    pub async fn start(endpoints: Vec<Endpoint>, proxy_count: usize) -> io::Result<Self> {
        let index_by_name =
            endpoints.iter().enumerate().map(|(index, endpoint)| (endpoint.name.clone(), index)).collect();
        let state = State {
            version: 1,
            endpoints: endpoints.into_iter().map(|endpoint| (endpoint, 1)).collect(),
            index_by_name,
            resync_version: 0,
            page_cache: HashMap::new(),
            acknowledged_versions: vec![0; proxy_count],
            pending_changes: HashMap::new(),
            delays: histogram(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            version: watch::Sender::new(1),
            acknowledgements: watch::Sender::new(()),
            traffic: Arc::default(),
        });
        let (stop, stopped) = oneshot::channel();
        let (started, start) = oneshot::channel();
        let serving = shared.clone();
        std::thread::Builder::new().name(THREAD_NAME.to_string()).spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = match runtime {
                Ok(runtime) => runtime,
                Err(e) => return drop(started.send(Err(e))),
            };
            LocalSet::new().block_on(&runtime, async {
                let addresses = listen(&serving, proxy_count).await;
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
    pub fn publish_change(&self, endpoints: Vec<Endpoint>) -> u64 {
        self.publish_version(|state| {
            for endpoint in endpoints {
                match state.index_by_name.get(&endpoint.name) {
                    Some(&index) => state.endpoints[index] = (endpoint, state.version),
                    None => {
                        state.index_by_name.insert(endpoint.name.clone(), state.endpoints.len());
                        state.endpoints.push((endpoint, state.version));
                    }
                }
            }
        })
    }

    /// Has every watch answered with the whole list, as a new version; returns it.
    pub fn publish_resync(&self) -> u64 {
        self.publish_version(|state| state.resync_version = state.version)
    }

    /// The present version.
    pub fn version(&self) -> u64 {
        *self.shared.version.borrow()
    }

    /// Size of the whole list as it is sent, in bytes.
    pub fn full_list_bytes(&self) -> usize {
        self.shared.state().page(None).len()
    }

    /// Waits until all proxies hold a version, at most so long; how many do.
    pub async fn wait_until_in_force(&self, version: u64, limit: Duration) -> usize {
        let mut acknowledgements = self.shared.acknowledgements.subscribe();
        let acknowledged_count = || {
            let state = self.shared.state();
            state.acknowledged_versions.iter().filter(|acknowledged| **acknowledged >= version).count()
        };
        let all = async {
            while acknowledged_count() < self.addresses.len() && acknowledgements.changed().await.is_ok() {}
        };
        // Whether all or not, the count tells.
        let _ = timeout(limit, all).await;
        acknowledged_count()
    }

    /// How the changes since the last call came into force.
    pub fn take_propagation(&self) -> Propagation {
        let state = &mut *self.shared.state();
        let (mut last_proxy_delays, mut incomplete_changes) = (histogram(), 0);
        let changes: Vec<PendingChange> = std::mem::take(&mut state.pending_changes).into_values().collect();
        for change in &changes {
            if change.pending_proxies == 0 {
                last_proxy_delays.saturating_record(change.last_delay.as_micros() as u64);
            } else {
                incomplete_changes += 1;
            }
        }
        let delays = std::mem::replace(&mut state.delays, histogram());
        Propagation { changes: changes.len(), incomplete_changes, delays, last_proxy_delays }
    }

    fn publish_version(&self, update: impl FnOnce(&mut State)) -> u64 {
        let version = {
            let state = &mut *self.shared.state();
            state.version += 1;
            state.page_cache.clear();
            update(state);
            let change = PendingChange {
                published_at: Instant::now(),
                pending_proxies: state.acknowledged_versions.len(),
                last_delay: Duration::ZERO,
            };
            state.pending_changes.insert(state.version, change);
            state.version
        };
        self.shared.version.send_replace(version);
        version
    }
}

/// Listens for every proxy, each on an address of its own.
async fn listen(shared: &Arc<Shared>, proxy_count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for proxy in 0..proxy_count {
        let listener = TcpListener::bind((loopback(2, proxy), 0)).await?;
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
                    let io = TokioIo::new(CountedStream::new(stream, shared.traffic.clone()));
                    let service = service_fn(|request| answer(shared.clone(), proxy, request));
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
    proxy: usize,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    if request.method() != Method::GET || request.uri().path() != "/registry/instances" {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return Ok(response);
    }
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.parse::<u64>())
    };
    let (after, wait) = match (number("after").transpose(), number("wait_ms").transpose()) {
        (Ok(after), Ok(wait)) => (after, Duration::from_millis(wait.unwrap_or(0)).min(MAX_WATCH_WAIT)),
        _ => {
            *response.status_mut() = StatusCode::BAD_REQUEST;
            return Ok(response);
        }
    };
    if let Some(after) = after {
        let mut version = shared.version.subscribe();
        shared.state().acknowledge(proxy, after);
        shared.acknowledgements.send_replace(());
        // If nothing comes in time, the answer says that there is nothing; a version of another time is over at once.
        let _ = timeout(wait, version.wait_for(|version| *version != after)).await;
    }
    let page = shared.state().page(after);
    shared.traffic.record_answer();
    *response.body_mut() = Full::new(page);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

impl Endpoint {
    /// An entry that serves, started long ago.
    pub fn serving(name: String, address: SocketAddr, zone: String, cell: u16) -> Self {
        Endpoint {
            name,
            address,
            zone,
            machine_type: "m",
            cell,
            health: Health::Serving,
            weight: 1.0,
            started_at_ms: 0,
        }
    }
}
