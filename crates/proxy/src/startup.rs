//! The steps of the start: dispatcher, admin API, discovery, listener.

use crate::admin::AdminServer;
use crate::config::reload::{ReloadStatus, Reloader};
use crate::config::{self, Config, ConfigError};
use crate::discovery_task::{DiscoveryTask, follow_reloads};
use crate::dispatcher::Dispatcher;
use crate::downstream::{self, ListenerPhase, Server};
use crate::error::ProxyError;
use crate::log::log;
use crate::milliseconds::duration_from_ms;
use crate::process_group::{self, ProcessGroup, RequestIds};
use crate::resource_limits::{ResourceLimits, Sharing};
use crate::retry::retry_for;
use crate::upstream::{ConnectionPool, PoolLimits};
use foldhitch_balancer::api::EndpointListKind;
use foldhitch_discovery_client::{
    DiscoveryResponse, EndpointListUpdate, EndpointObserver, ListOrigin, ParsedEndpoints,
};
use std::env;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

/// The maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;
/// The interval at which expired idle connections are closed and stale backends are removed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a start retries after a transient failure.
const START_RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// A proxy that has started.
pub struct RunningProxy {
    /// The sole owner of the balancer.
    pub dispatcher: Rc<Dispatcher>,
    /// The admin API, if one is configured.
    pub admin: Option<Rc<AdminServer>>,
    /// The phase of the listener during a planned stop.
    pub phase: watch::Sender<ListenerPhase>,
    /// The task that serves clients until all connections are closed.
    pub serving: JoinHandle<()>,
}

/// Reads the configuration and the endpoint list in it. A file that can't be read is read again for up to
/// [`START_RETRY_TIMEOUT`]; an invalid configuration ends the start at once.
pub async fn load_config() -> Result<(Config, Option<DiscoveryResponse>), ConfigError> {
    let on_failure = |error: &ConfigError| {
        log!("{error}; reading the file again for up to {START_RETRY_TIMEOUT:?}");
    };
    retry_for(START_RETRY_TIMEOUT, config::load, ConfigError::is_unreadable, on_failure).await
}

/// Starts the proxy. Returns `None` if SIGTERM arrived before it could serve.
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
    let request_ids = Rc::new(request_ids(&config));
    let admin = match config.admin {
        Some(address) => Some(start_admin(address, &dispatcher, reload_status, request_ids.clone()).await?),
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
    let server = Rc::new(Server::new(
        dispatcher.clone(),
        limits.client_limits(sharing(&dispatcher, admin.as_deref())),
        request_ids,
    ));
    let serving = spawn_local(downstream::serve(server.clone(), listener, phase_changes));
    spawn_local(share_limits(dispatcher.clone(), admin.clone(), limits, server, pool));
    if let Some(admin) = &admin {
        admin.start_serving();
    }
    Ok(Some(RunningProxy { dispatcher, admin, phase, serving }))
}

fn pool_limits(config: &Config, limits: ResourceLimits) -> PoolLimits {
    let site = &config.settings.site;
    PoolLimits {
        connections: limits.upstream_connections(Sharing::NONE),
        memory: limits.response_memory(Sharing::NONE),
        read_bytes: limits.read_bytes(),
        connect_timeout: duration_from_ms(site.connect_timeout_ms),
        idle_timeout: duration_from_ms(site.connection_idle_ms),
        drain_deadline: duration_from_ms(site.drain_deadline_ms),
    }
}

/// Applies the endpoint list of the configuration, which is used until discovery has responded.
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

fn temporary_folder() -> Option<PathBuf> {
    env::var_os("TMPDIR").map(Into::into)
}

/// Returns the table of request ids. Only a proxy with an admin API is served by several processes.
fn request_ids(config: &Config) -> RequestIds {
    let Some(folder) = temporary_folder().filter(|_| config.admin.is_some()) else {
        return RequestIds::private();
    };
    RequestIds::shared(&folder).unwrap_or_else(|error| {
        log!("request ids: cannot be shared with other processes: {error}");
        RequestIds::private()
    })
}

/// Starts the admin API and the task that applies the marker files that other processes create.
async fn start_admin(
    address: SocketAddr,
    dispatcher: &Rc<Dispatcher>,
    reload_status: Rc<ReloadStatus>,
    request_ids: Rc<RequestIds>,
) -> Result<Rc<AdminServer>, ProxyError> {
    let listener = listen("management", address, false).await?;
    log!("admin API at {}", local_address("management", &listener, address)?);
    let process_group = ProcessGroup::new(temporary_folder());
    let server = AdminServer::new(dispatcher.clone(), process_group, reload_status);
    spawn_local(server.clone().serve(listener));
    let follower = server.clone();
    spawn_local(async move {
        loop {
            sleep(process_group::POLL_INTERVAL).await;
            follower.apply_markers();
            request_ids.find_other_processes();
        }
    });
    Ok(server)
}

/// During an upgrade, when other processes serve as this proxy, waits until a backend is ready, so that
/// clients are not accepted before they can be served. Returns `false` if SIGTERM arrived first.
async fn wait_for_endpoint_during_upgrade(dispatcher: &Dispatcher, terminate: &mut Signal) -> bool {
    let mut process_count = dispatcher.process_count();
    while *process_count.borrow_and_update() > 1 && !dispatcher.has_ready_endpoint() {
        tokio::select! {
            _ = terminate.recv() => return false,
            () = sleep(process_group::POLL_INTERVAL) => {}
        }
    }
    if *process_count.borrow_and_update() > 1 {
        // The others find the request ids of this process meanwhile.
        sleep(2 * process_group::POLL_INTERVAL).await;
    }
    true
}

/// Listens on an address. If that fails, for example because a previous process still holds the address, it
/// is tried again for up to [`START_RETRY_TIMEOUT`].
async fn listen(what: &'static str, address: SocketAddr, is_shared: bool) -> Result<TcpListener, ProxyError> {
    let on_failure = |error: &io::Error| {
        log!(
            "{what}: cannot listen on {address}: {error}; binding it again for up to {START_RETRY_TIMEOUT:?}"
        );
    };
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

/// Binds an address and listens on it. If `is_shared`, other processes of this proxy may bind it too.
fn bind(address: SocketAddr, is_shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.set_reuseaddr(true)?;
    if is_shared {
        socket.set_reuseport(true)?;
    }
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Closes expired idle connections and removes stale backends, at regular intervals.
async fn maintain(dispatcher: Rc<Dispatcher>, pool: Rc<ConnectionPool>) {
    loop {
        sleep(MAINTENANCE_INTERVAL).await;
        pool.close_expired_idle();
        dispatcher.remove_stale_endpoints();
    }
}

/// Returns how this process shares the resource limits of the proxy.
fn sharing(dispatcher: &Dispatcher, admin: Option<&AdminServer>) -> Sharing {
    let processes = *dispatcher.sharing_count().borrow() as usize;
    match admin {
        Some(admin) if processes > 1 => {
            Sharing { processes, others_memory_bytes: admin.other_processes_memory_bytes() }
        }
        _ => Sharing { processes, others_memory_bytes: 0 },
    }
}

/// Adjusts this process's share of the resource limits as processes start and end, and as the others give memory
/// back.
async fn share_limits(
    dispatcher: Rc<Dispatcher>,
    admin: Option<Rc<AdminServer>>,
    limits: ResourceLimits,
    server: Rc<Server>,
    pool: Rc<ConnectionPool>,
) {
    let mut sharing_count = dispatcher.sharing_count();
    loop {
        sharing_count.mark_unchanged();
        let sharing = sharing(&dispatcher, admin.as_deref());
        server.resize(limits.client_limits(sharing));
        pool.set_memory(limits.response_memory(sharing));
        let is_resized = pool.resize(limits.upstream_connections(sharing));
        let is_settled = is_resized && sharing.processes == 1;
        tokio::select! {
            changed = sharing_count.changed() => if changed.is_err() {
                return;
            },
            () = sleep(process_group::POLL_INTERVAL), if !is_settled => {}
        }
    }
}
