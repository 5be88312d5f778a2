//! A discovery agent that publishes the endpoint lists of a test and can fail in several ways.

use super::*;

/// The least memory that a deployment states, in MB.
pub const SMALLEST_MEMORY_MB: usize = 32;
/// The highest descriptor limit that a deployment states.
pub const MOST_DESCRIPTORS: usize = 1024;

/// The behavior of the discovery agent.
#[derive(Clone, Copy, PartialEq)]
pub enum DiscoveryBehavior {
    /// Answers its calls.
    Up,
    /// Has closed its connections and refuses new ones.
    Refusing,
    /// Accepts connections and calls, but answers none.
    Silent,
}

/// A discovery agent whose list the test changes, and the list version that the proxy is known to hold.
pub struct Discovery {
    addr: SocketAddr,
    /// The version and the entries of the current list.
    list: Arc<watch::Sender<(u64, Vec<Value>)>>,
    /// The last version that the proxy reported in a poll.
    held_version: Arc<watch::Sender<u64>>,
    /// The number of requests for the full list; a watch starts with one.
    pub full_list_requests: Arc<AtomicUsize>,
    /// The number of open connections.
    pub open_connections: Arc<watch::Sender<usize>>,
    behavior: Arc<watch::Sender<DiscoveryBehavior>>,
}

impl Discovery {
    /// Starts an agent with a first list.
    pub async fn start(hosts: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let addr = listener.local_addr().expect("a local address");
        let list = Arc::new(watch::Sender::new((1, hosts)));
        let held_version = Arc::new(watch::Sender::new(0));
        let open_connections = Arc::new(watch::Sender::new(0));
        let full_list_requests = Arc::<AtomicUsize>::default();
        let behavior = Arc::new(watch::Sender::new(DiscoveryBehavior::Up));
        let (lists, held_versions, connections, behaviors) =
            (list.clone(), held_version.clone(), open_connections.clone(), behavior.clone());
        let full_list_count = full_list_requests.clone();
        tokio::spawn(async move {
            let mut listener = Some(listener);
            let mut behavior = behaviors.subscribe();
            loop {
                let accepted = async {
                    match &listener {
                        Some(listener) => listener.accept().await.expect("accept a connection").0,
                        None => std::future::pending().await,
                    }
                };
                let stream = tokio::select! {
                    stream = accepted => stream,
                    changed = behavior.changed() => {
                        changed.expect("open");
                        if *behavior.borrow() == DiscoveryBehavior::Refusing {
                            listener = None;
                        } else if listener.is_none() {
                            listener = Some(TcpListener::bind(addr).await.expect("bind the same port again"));
                        }
                        continue;
                    }
                };
                let (lists, held_versions, connections) =
                    (lists.clone(), held_versions.clone(), connections.clone());
                let full_list_count = full_list_count.clone();
                let (behaviors, mut refusing) = (behaviors.clone(), behaviors.subscribe());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (mut list, held_versions, mut behavior) =
                        (lists.subscribe(), held_versions.clone(), behaviors.subscribe());
                    if request.uri().query().is_none() {
                        full_list_count.fetch_add(1, SeqCst);
                    }
                    async move {
                        let query = request.uri().query().unwrap_or_default();
                        let query_number = |name: &str| {
                            query.split('&').find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok())
                        };
                        let after = query_number("after=");
                        if let Some(after) = after {
                            held_versions.send_replace(after);
                            let wait = Duration::from_millis(query_number("wait_ms=").unwrap_or_default());
                            let _ = timeout(wait, list.wait_for(|(seq, _)| *seq > after)).await;
                        }
                        behavior
                            .wait_for(|behavior| *behavior == DiscoveryBehavior::Up)
                            .await
                            .map_err(io::Error::other)?;
                        let (seq, hosts) = list.borrow().clone();
                        let is_newer = after.is_none_or(|after| seq > after);
                        let hosts = if is_newer { hosts } else { Vec::new() };
                        let text = json!({"seq": seq, "whole": is_newer, "hosts": hosts}).to_string();
                        Ok::<_, io::Error>(Response::new(Full::new(Bytes::from(text))))
                    }
                });
                tokio::spawn(async move {
                    connections.send_modify(|n| *n += 1);
                    tokio::select! {
                        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                        _ = refusing.wait_for(|behavior| *behavior == DiscoveryBehavior::Refusing) => {}
                    }
                    connections.send_modify(|n| *n -= 1);
                });
            }
        });
        Discovery { addr, list, held_version, full_list_requests, open_connections, behavior }
    }

    /// Changes the behavior. If the agent is to refuse connections, waits until its open ones have closed.
    pub async fn set_behavior(&self, behavior: DiscoveryBehavior) {
        self.behavior.send_replace(behavior);
        if behavior == DiscoveryBehavior::Refusing {
            in_time(self.open_connections.subscribe().wait_for(|open| *open == 0)).await.expect("open");
        }
    }

    /// Replaces the list without waiting until the proxy holds it.
    pub fn replace_list(&self, hosts: Vec<Value>) {
        self.list.send_modify(|(seq, list)| (*seq, *list) = (*seq + 1, hosts));
    }

    /// Returns the configuration of a proxy that uses this agent.
    pub fn config(&self, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": self.addr.to_string(),
               "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
               "settings": settings})
    }

    /// Returns the configuration of a proxy with the least memory and the most descriptors that a deployment
    /// states, and with an admin API.
    pub fn smallest_config(&self, settings: Value) -> Value {
        let mut config = self.config(settings);
        config["management"] = "127.0.0.1:0".into();
        config["limits"]["memory_mb"] = SMALLEST_MEMORY_MB.into();
        config["limits"]["sockets"] = MOST_DESCRIPTORS.into();
        config
    }

    /// Waits until the proxy holds the current list.
    pub async fn wait_until_applied(&self) {
        let now = self.list.borrow().0;
        in_time(self.held_version.subscribe().wait_for(|held| *held >= now)).await.expect("open");
    }

    /// Replaces the list and waits until the proxy holds it.
    pub async fn publish(&self, hosts: Vec<Value>) {
        self.replace_list(hosts);
        self.wait_until_applied().await;
    }
}
