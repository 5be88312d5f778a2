//! The start, as named steps: dispatcher, admin API, discovery, listener.

use crate::admin::AdminServer;
use crate::config::reload::{ReloadStatus, Reloader};
use crate::config::{self, Config, ConfigError};
use crate::discovery_task::{DiscoveryTask, follow_reloads};
use crate::dispatcher::{Dispatcher, duration_from_ms};
use crate::downstream::{self, ListenerPhase, Server};
use crate::error::ProxyError;
use crate::log::log;
use crate::process_group::{self, ProcessGroup};
use crate::resource_limits::ResourceLimits;
use crate::retry::retry_for;
use crate::upstream::{ConnectionPool, PoolLimits};
use foldhitch_balancer::api::EndpointListKind;
use foldhitch_discovery_client::{
    DiscoveryResponse, EndpointListUpdate, EndpointObserver, ListOrigin, ParsedEndpoints,
};
use std::env;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// Clients that the system keeps waiting to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// How often idle connections are looked through for old ones, and backends for those that are gone.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// A failure that may pass delays a start for so long.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// A proxy that has started.
pub struct RunningProxy {
    /// The only owner of the balancer.
    pub dispatcher: Rc<Dispatcher>,
    /// The admin API, where there is one.
    pub admin: Option<Rc<AdminServer>>,
    /// How far a planned stop has come.
    pub phase: watch::Sender<ListenerPhase>,
    /// Serves clients until all connections are closed.
    pub serving: JoinHandle<()>,
}

/// Reads the configuration, and the endpoint list that it brings. A file that can't be read is read again for a while;
/// one that is no configuration ends the start at once.
pub async fn load_config() -> Result<(Config, Option<DiscoveryResponse>), ConfigError> {
    let on_failure = |error: &ConfigError| log!("{error}; it is read again for a while");
    retry_for(START_RETRY_TIMEOUT, config::load, ConfigError::is_unreadable, on_failure).await
}

/// Starts everything; nothing if the proxy was told to stop before it could serve.
pub async fn start(
    config: Config,
    known_endpoints: Option<DiscoveryResponse>,
    terminate: &mut Signal,
    reload: Signal,
) -> Result<Option<RunningProxy>, ProxyError> {
    let limits = ResourceLimits::new(&config);
    let pool = Rc::new(ConnectionPool::new(pool_limits(&config, limits)));
    let (poll_wanted, poll_requests) = watch::channel(false);
    let dispatcher = Dispatcher::new(config.settings.clone(), config.seed, pool.clone(), poll_wanted)?;
    let reload_status = Rc::new(ReloadStatus::new());
    let reloader = Reloader::new(&config, dispatcher.clone(), pool.clone(), reload_status.clone())?;
    apply_known_endpoints(&dispatcher, known_endpoints);
    let admin = match config.admin {
        Some(address) => Some(start_admin(address, &dispatcher, reload_status).await?),
        None => None,
    };
    let discovery = DiscoveryTask::start(dispatcher.clone(), config.discovery, poll_requests);
    spawn_local(follow_reloads(reload, reloader, discovery));
    if !wait_for_endpoint_during_upgrade(&dispatcher, terminate).await {
        return Ok(None);
    }
    let listener = listen("listen", config.listen, admin.is_some()).await?;
    log!("listening on {}", local_address("listen", &listener, config.listen)?);
    spawn_local(maintain(dispatcher.clone(), pool.clone()));
    let (phase, phase_changes) = watch::channel(ListenerPhase::Accepting);
    let server = Rc::new(Server::new(dispatcher.clone(), limits.client_limits(sharing_count(&dispatcher))));
    let serving = spawn_local(downstream::serve(server.clone(), listener, phase_changes));
    spawn_local(share_limits(dispatcher.sharing_count(), limits, server, pool));
    if let Some(admin) = &admin {
        admin.start_serving();
    }
    Ok(Some(RunningProxy { dispatcher, admin, phase, serving }))
}

fn pool_limits(config: &Config, limits: ResourceLimits) -> PoolLimits {
    let site = &config.settings.site;
    PoolLimits {
        connections: limits.upstream_connections(1),
        connect_timeout: duration_from_ms(site.connect_timeout_ms),
        idle_timeout: duration_from_ms(site.connection_idle_ms),
        drain_deadline: duration_from_ms(site.drain_deadline_ms),
    }
}

/// Takes the endpoint list that the configuration brings, until discovery has answered.
fn apply_known_endpoints(dispatcher: &Rc<Dispatcher>, known: Option<DiscoveryResponse>) {
    let version = known.as_ref().map_or(0, DiscoveryResponse::version);
    let ParsedEndpoints { endpoints, skipped } =
        known.map(DiscoveryResponse::parse_endpoints).unwrap_or_default();
    if let Some(skipped) = skipped {
        dispatcher.on_warning(&skipped);
    }
    let kind = EndpointListKind::Cached;
    let origin = ListOrigin::Configuration;
    dispatcher.update_endpoints(EndpointListUpdate { kind, origin, version, endpoints, is_older: false });
}

/// Starts the admin API, and follows the markers that are made at that of another process.
async fn start_admin(
    address: SocketAddr,
    dispatcher: &Rc<Dispatcher>,
    reload_status: Rc<ReloadStatus>,
) -> Result<Rc<AdminServer>, ProxyError> {
    let listener = listen("management", address, false).await?;
    log!("admin API at {}", local_address("management", &listener, address)?);
    let process_group = ProcessGroup::new(env::var_os("TMPDIR").map(Into::into));
    let server = AdminServer::new(dispatcher.clone(), process_group, reload_status);
    spawn_local(server.clone().serve(listener));
    let follower = server.clone();
    spawn_local(async move {
        loop {
            sleep(process_group::POLL_INTERVAL).await;
            follower.apply_markers();
        }
    });
    Ok(server)
}

/// Clients that another process serves are not accepted before they can be served here. False if the proxy was told to
/// stop before.
async fn wait_for_endpoint_during_upgrade(dispatcher: &Dispatcher, terminate: &mut Signal) -> bool {
    let mut process_count = dispatcher.process_count();
    while *process_count.borrow_and_update() > 1 && !dispatcher.has_ready_endpoint() {
        tokio::select! {
            _ = terminate.recv() => return false,
            () = sleep(process_group::POLL_INTERVAL) => {}
        }
    }
    true
}

/// Listens at an address. What the system refuses for a moment, as while a process before still holds the address, is
/// tried again for a while.
async fn listen(what: &'static str, address: SocketAddr, is_shared: bool) -> Result<TcpListener, ProxyError> {
    let on_failure = |error: &io::Error| log!("{what}: {address}: {error}; it is bound again for a while");
    let listener = retry_for(START_RETRY_TIMEOUT, || bind(address, is_shared), |_| true, on_failure).await;
    listener.map_err(|source| ProxyError::Listen { what, address, source })
}

fn local_address(
    what: &'static str,
    listener: &TcpListener,
    address: SocketAddr,
) -> Result<SocketAddr, ProxyError> {
    listener.local_addr().map_err(|source| ProxyError::Listen { what, address, source })
}

/// Binds an address; where another process of this proxy may do so too, beside it.
fn bind(address: SocketAddr, is_shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if is_shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Closes old idle connections and forgets backends that are gone, for ever.
async fn maintain(dispatcher: Rc<Dispatcher>, pool: Rc<ConnectionPool>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        pool.close_old_idle();
        dispatcher.remove_stale_endpoints();
    }
}

/// How many processes share what the proxy may hold.
fn sharing_count(dispatcher: &Dispatcher) -> usize {
    *dispatcher.sharing_count().borrow() as usize
}

/// Keeps to this process's part of what the proxy may hold, as processes come and go.
async fn share_limits(
    mut sharing_count: watch::Receiver<u32>,
    limits: ResourceLimits,
    server: Rc<Server>,
    pool: Rc<ConnectionPool>,
) {
    loop {
        let count = *sharing_count.borrow_and_update() as usize;
        server.resize(limits.client_limits(count));
        while !pool.resize(limits.upstream_connections(count)) {
            sleep(process_group::POLL_INTERVAL).await;
        }
        if sharing_count.changed().await.is_err() {
            return;
        }
    }
}
