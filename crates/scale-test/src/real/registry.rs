//! A stand-in for the discovery service, written to its protocol page: it serves one versioned endpoint list, in full
//! or as changes, and supports watches, which are answered when the list changes.
//!
//! Every proxy polls an address of its own, as if the agent on its machine provided it. The stand-in therefore knows
//! which proxy sent a poll, and the `after` version of the poll shows which version this proxy has applied.

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

/// The name of the thread that runs the stand-in, by which its CPU time is found.
pub const THREAD_NAME: &str = "registry";
/// The longest time that a watch is held open.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

/// The health of a backend, as listed by discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Accepts new requests.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Removed from the list.
    Deleted,
}

/// An entry of the endpoint list.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Endpoint {
    /// The backend's name.
    #[serde(rename = "host")]
    pub name: String,
    /// The address that it listens on.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The name of its zone.
    #[serde(rename = "site")]
    pub zone: String,
    /// The type of its machine.
    #[serde(rename = "class")]
    pub machine_type: &'static str,
    /// The number of its cell.
    #[serde(rename = "block")]
    pub cell: u16,
    /// Its health.
    pub health: Health,
    /// Its capacity relative to the other backends.
    #[serde(rename = "share")]
    pub weight: f64,
    /// The start time of its process, in Unix milliseconds; 0 means long ago.
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

/// How fast changes of the list reached the proxies.
#[derive(Debug, Clone)]
pub struct Propagation {
    /// The number of published changes.
    pub changes: usize,
    /// The number of changes that at least one proxy has not acknowledged yet.
    pub incomplete_changes: usize,
    /// The times from a change until it is in force at a proxy, in microseconds, one per change and proxy.
    pub delays: Histogram<u64>,
    /// The times from a change until it is in force at all proxies, one per change that all of them acknowledged.
    pub last_proxy_delays: Histogram<u64>,
}

struct PendingChange {
    published_at: Instant,
    pending_proxies: usize,
    last_delay: Duration,
}

struct State {
    version: u64,
    /// All entries with the version of their last change. Deleted entries stay, because watches must report them.
    endpoints: Vec<(Endpoint, u64)>,
    index_by_name: HashMap<String, usize>,
    /// Watches with an older `after` version are answered with the full list.
    resync_version: u64,
    /// Response bodies for the current version, by the `after` version that they answer.
    page_cache: HashMap<Option<u64>, Bytes>,
    /// The version that each proxy has acknowledged.
    acknowledged_versions: Vec<u64>,
    /// Changes whose propagation is measured, by version.
    pending_changes: HashMap<u64, PendingChange>,
    delays: Histogram<u64>,
}

impl State {
    /// Returns the body of the response to a watch, or to a request for the full list if `after` is `None`.
    fn page(&mut self, after: Option<u64>) -> Bytes {
        // A version from before the last resync or from another run is answered with the full list.
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

    /// Records that a proxy has applied a version, which its poll for changes after this version shows.
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
    /// The current version of the list.
    version: watch::Sender<u64>,
    /// Notified of every acknowledgement.
    acknowledgements: watch::Sender<()>,
    traffic: Arc<Traffic>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        // A panic with the lock held leaves no entry half written, so the state is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The stand-in for the discovery service. It runs on its own thread until it is dropped.
pub struct Registry {
    shared: Arc<Shared>,
    addresses: Vec<SocketAddr>,
    /// Stops the thread when it is dropped.
    _stop: oneshot::Sender<()>,
}

impl Registry {
    /// Starts the stand-in with an initial list and one address for each of `proxy_count` proxies.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't listen on an address or can't start the thread.
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
                // The receiver may have been dropped already; then `stopped` resolves at once.
                let _ = started.send(addresses);
                let _ = stopped.await;
            });
        })?;
        let addresses = start.await.map_err(io::Error::other)??;
        Ok(Registry { shared, addresses, _stop: stop })
    }

    /// Returns the address that each proxy polls, by the number of the proxy.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Returns the traffic of all its connections, in both directions.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// Adds or replaces entries in one new version and returns this version.
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

    /// Publishes a new version that answers every watch with the full list, and returns this version.
    pub fn publish_resync(&self) -> u64 {
        self.publish_version(|state| state.resync_version = state.version)
    }

    /// Returns the current version of the list.
    pub fn version(&self) -> u64 {
        *self.shared.version.borrow()
    }

    /// Returns the encoded size of the full list in bytes.
    pub fn full_list_bytes(&self) -> usize {
        self.shared.state().page(None).len()
    }

    /// Waits until all proxies have acknowledged a version, for at most `limit`, and returns how many of them have.
    pub async fn wait_until_in_force(&self, version: u64, limit: Duration) -> usize {
        let mut acknowledgements = self.shared.acknowledgements.subscribe();
        let acknowledged_count = || {
            let state = self.shared.state();
            state.acknowledged_versions.iter().filter(|acknowledged| **acknowledged >= version).count()
        };
        let all = async {
            while acknowledged_count() < self.addresses.len() && acknowledgements.changed().await.is_ok() {}
        };
        // The count shows whether the wait ended by a timeout.
        let _ = timeout(limit, all).await;
        acknowledged_count()
    }

    /// Returns the propagation of the changes since the last call, and starts a new measurement.
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

    /// Applies an update to the state in a new version, wakes the watches and returns this version.
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

/// Listens on an address of its own for each proxy, and returns the addresses.
async fn listen(shared: &Arc<Shared>, proxy_count: usize) -> io::Result<Vec<SocketAddr>> {
    let mut addresses = Vec::new();
    for proxy in 0..proxy_count {
        let listener = TcpListener::bind((loopback(2, proxy), 0)).await?;
        addresses.push(listener.local_addr()?);
        let shared = shared.clone();
        spawn_local(async move {
            // `accept` fails if the process is out of file descriptors, for which `Requirements::check` tests before
            // the start. The proxy then gets no list, and the report says how many proxies hold the first list.
            while let Ok((stream, _)) = listener.accept().await {
                // Only the latency depends on this option, so a failure is ignored.
                let _ = stream.set_nodelay(true);
                let shared = shared.clone();
                spawn_local(async move {
                    let io = TokioIo::new(CountedStream::new(stream, shared.traffic.clone()));
                    let service = service_fn(|request| answer(shared.clone(), proxy, request));
                    // After an error the proxy either reconnects or has ended.
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
        // After a timeout the response has no changes. The wait ends at once if `after` is not the current version.
        let _ = timeout(wait, version.wait_for(|version| *version != after)).await;
    }
    let page = shared.state().page(after);
    shared.traffic.record_answer();
    *response.body_mut() = Full::new(page);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(response)
}

impl Endpoint {
    /// Creates an entry for a serving backend that started long ago.
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
