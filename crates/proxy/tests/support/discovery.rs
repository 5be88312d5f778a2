//! A stand-in for discovery's agent, which publishes lists and can fail in several ways.

use super::*;

/// Whether discovery's agent answers.
#[derive(Clone, Copy, PartialEq)]
pub enum DiscoveryBehavior {
    Up,
    /// Its connections have ended, and it takes no new ones.
    Refusing,
    /// It takes connections and calls, and answers none.
    Silent,
}

/// Discovery with a list that tests change, and the version that the proxy is known to hold.
pub struct Discovery {
    addr: SocketAddr,
    list: Arc<watch::Sender<(u64, Vec<Value>)>>,
    held: Arc<watch::Sender<u64>>,
    /// How often the whole list was asked for, as a watch does at its beginning.
    pub full_list_requests: Arc<AtomicUsize>,
    /// Connections that are open now.
    pub open_connections: Arc<watch::Sender<usize>>,
    agent: Arc<watch::Sender<DiscoveryBehavior>>,
}

impl Discovery {
    pub async fn start(hosts: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let list = Arc::new(watch::Sender::new((1, hosts)));
        let held = Arc::new(watch::Sender::new(0));
        let open = Arc::new(watch::Sender::new(0));
        let begun = Arc::<AtomicUsize>::default();
        let agent = Arc::new(watch::Sender::new(DiscoveryBehavior::Up));
        let (lists, holds, alive, states) = (list.clone(), held.clone(), open.clone(), agent.clone());
        let beginnings = begun.clone();
        tokio::spawn(async move {
            let mut listener = Some(listener);
            let mut state = states.subscribe();
            loop {
                let taken = async {
                    match &listener {
                        Some(listener) => listener.accept().await.expect("a connection").0,
                        None => std::future::pending().await,
                    }
                };
                let stream = tokio::select! {
                    stream = taken => stream,
                    changed = state.changed() => {
                        changed.expect("open");
                        if *state.borrow() == DiscoveryBehavior::Refusing {
                            listener = None;
                        } else if listener.is_none() {
                            listener = Some(TcpListener::bind(addr).await.expect("its port"));
                        }
                        continue;
                    }
                };
                let (lists, holds, alive) = (lists.clone(), holds.clone(), alive.clone());
                let beginnings = beginnings.clone();
                let (answering, mut refusing) = (states.clone(), states.subscribe());
                let service = service_fn(move |request: Request<Incoming>| {
                    let (mut list, holds, mut state) =
                        (lists.subscribe(), holds.clone(), answering.subscribe());
                    if request.uri().query().is_none() {
                        beginnings.fetch_add(1, SeqCst);
                    }
                    async move {
                        let query = request.uri().query().unwrap_or_default();
                        let told = |name: &str| {
                            query.split('&').find_map(|p| p.strip_prefix(name)?.parse::<u64>().ok())
                        };
                        let after = told("after=");
                        if let Some(after) = after {
                            holds.send_replace(after);
                            let wait = Duration::from_millis(told("wait_ms=").unwrap_or_default());
                            let _ = timeout(wait, list.wait_for(|(seq, _)| *seq > after)).await;
                        }
                        state
                            .wait_for(|state| *state == DiscoveryBehavior::Up)
                            .await
                            .map_err(io::Error::other)?;
                        let (seq, hosts) = list.borrow().clone();
                        let news = after.is_none_or(|after| seq > after);
                        let hosts = if news { hosts } else { Vec::new() };
                        let text = json!({"seq": seq, "whole": news, "hosts": hosts}).to_string();
                        Ok::<_, io::Error>(Response::new(Full::new(Bytes::from(text))))
                    }
                });
                tokio::spawn(async move {
                    alive.send_modify(|n| *n += 1);
                    tokio::select! {
                        _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service) => {}
                        _ = refusing.wait_for(|state| *state == DiscoveryBehavior::Refusing) => {}
                    }
                    alive.send_modify(|n| *n -= 1);
                });
            }
        });
        Discovery { addr, list, held, full_list_requests: begun, open_connections: open, agent }
    }

    /// From now on the agent answers, or not. Where it refuses, its connections have ended.
    pub async fn set_behavior(&self, agent: DiscoveryBehavior) {
        self.agent.send_replace(agent);
        if agent == DiscoveryBehavior::Refusing {
            in_time(self.open_connections.subscribe().wait_for(|open| *open == 0)).await.expect("open");
        }
    }

    /// Changes the list; whether the proxy is told is another matter.
    pub fn replace_list(&self, hosts: Vec<Value>) {
        self.list.send_modify(|(seq, list)| (*seq, *list) = (*seq + 1, hosts));
    }

    /// The configuration of a proxy that asks here.
    pub fn config(&self, settings: Value) -> Value {
        json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": self.addr.to_string(),
               "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
               "settings": settings})
    }

    /// Waits until the proxy holds the present list.
    pub async fn wait_until_applied(&self) {
        let now = self.list.borrow().0;
        in_time(self.held.subscribe().wait_for(|held| *held >= now)).await.expect("open");
    }

    /// Changes the list and waits until the proxy holds it.
    pub async fn publish(&self, hosts: Vec<Value>) {
        self.replace_list(hosts);
        self.wait_until_applied().await;
    }
}
