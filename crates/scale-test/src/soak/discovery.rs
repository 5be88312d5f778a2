//! The simulated discovery agent: a versioned endpoint list and the scheduled faults.

use super::plan::{DiscoveryBehavior, run_address};
use super::record::{DiscoveryOutage, ListChange, ListResponse, Recorder};
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Delay of a response while discovery is slow.
const SLOW_RESPONSE_DELAY: Duration = Duration::from_millis(900);
/// Pause between the two parts in which a response body is written.
const BODY_PART_PAUSE: Duration = Duration::from_millis(5);
/// Version of the endpoint list at the start.
const INITIAL_VERSION: u64 = 1;
/// Maximum size of a request head.
const MAX_REQUEST_HEAD_BYTES: usize = 1 << 14;

/// A version of the endpoint list.
#[derive(Clone)]
pub struct EndpointList {
    version: u64,
    hosts: Vec<Value>,
    /// The endpoints of the first version, which an agent with an old list returns.
    initial_hosts: Vec<Value>,
}

/// The simulated discovery agent.
pub struct Discovery {
    /// The addresses on which the agent listens.
    pub addresses: [SocketAddr; 2],
    list: watch::Sender<EndpointList>,
    behavior: watch::Sender<DiscoveryBehavior>,
    recorder: Recorder,
}

impl Discovery {
    /// Starts the agent with an endpoint list on two free ports.
    pub async fn start(
        seed: u64,
        hosts: Vec<Value>,
        recorder: Recorder,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<Arc<Self>> {
        let listeners = [listen(seed).await?, listen(seed).await?];
        let [first, second] = &listeners;
        let list = EndpointList { version: INITIAL_VERSION, initial_hosts: hosts.clone(), hosts };
        let discovery = Arc::new(Discovery {
            addresses: [first.local_addr()?, second.local_addr()?],
            list: watch::Sender::new(list),
            behavior: watch::Sender::new(DiscoveryBehavior::Answer),
            recorder,
        });
        for (address, listener) in discovery.addresses.into_iter().zip(listeners) {
            tasks.spawn(accept(discovery.clone(), address, listener));
        }
        Ok(discovery)
    }

    /// Changes the agent's behavior for `lasts`, then responds normally again, and records the outage.
    pub async fn change_behavior_for(&self, behavior: DiscoveryBehavior, lasts: Duration) {
        let from = self.recorder.now();
        self.behavior.send_replace(behavior);
        sleep(lasts).await;
        self.behavior.send_replace(DiscoveryBehavior::Answer);
        let until = self.recorder.now();
        let mut records = self.recorder.records();
        records.discovery_outages.push(DiscoveryOutage { from, until });
        records.discovery_outages.sort_by_key(|outage| outage.from);
    }

    /// Adds an endpoint to the list in place of the one with the same name, or removes that one if its health
    /// is `DELETED`. Returns the new version of the list.
    pub fn publish(&self, host: Value) -> u64 {
        let mut version = 0;
        self.list.send_modify(|list| {
            list.hosts.retain(|known| known["host"] != host["host"]);
            if host["health"] != "DELETED" {
                list.hosts.push(host);
            }
            list.version += 1;
            version = list.version;
        });
        let at = self.recorder.now();
        self.recorder.records().list_changes.push(ListChange { version, at });
        version
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        loop {
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                if stream.read_buf(&mut request).await? == 0 || request.len() > MAX_REQUEST_HEAD_BYTES {
                    return Ok(());
                }
            }
            let text = String::from_utf8_lossy(&request).into_owned();
            if !self.respond(&mut stream, &text).await? {
                return Ok(());
            }
        }
    }

    /// Responds to a request. Returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, request: &str) -> io::Result<bool> {
        let path = request.split(' ').nth(1).unwrap_or_default();
        let query_number = |name: &str| {
            let (_, query) = path.split_once('?')?;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.parse::<u64>().ok())
        };
        let after = query_number("after=");
        let wait_time = Duration::from_millis(query_number("wait_ms=").unwrap_or_default());
        if let Some(after) = after {
            let mut list = self.list.subscribe();
            // After the timeout the response reports that nothing has changed.
            let _ = timeout(wait_time, list.wait_for(|list| list.version > after)).await;
        }
        let behavior = *self.behavior.borrow();
        match behavior {
            DiscoveryBehavior::Answer | DiscoveryBehavior::OldList => {}
            DiscoveryBehavior::Slow => sleep(SLOW_RESPONSE_DELAY).await,
            DiscoveryBehavior::Reset | DiscoveryBehavior::Refuse => return Ok(false),
            DiscoveryBehavior::Hang => {
                stream.read_u8().await.ok();
                return Ok(false);
            }
        }
        let is_old = behavior == DiscoveryBehavior::OldList;
        let (version, body) = {
            let list = self.list.borrow();
            (if is_old { INITIAL_VERSION } else { list.version }, list.body(after, is_old))
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes()).await?;
        let (first, rest) = body.split_at(body.len() / 2);
        stream.write_all(first.as_bytes()).await?;
        sleep(BODY_PART_PAUSE).await;
        stream.write_all(rest.as_bytes()).await?;
        let at = self.recorder.now();
        self.recorder.records().list_responses.push(ListResponse { version, at });
        Ok(true)
    }
}

impl EndpointList {
    fn body(&self, after: Option<u64>, is_old: bool) -> String {
        let has_changes = after.is_none_or(|after| self.version > after);
        let body = if is_old {
            json!({"seq": INITIAL_VERSION, "whole": true, "hosts": self.initial_hosts})
        } else if has_changes {
            json!({"seq": self.version, "whole": true, "hosts": self.hosts})
        } else {
            json!({"seq": self.version, "whole": false, "hosts": []})
        };
        // Some discovery agents indent their JSON, so every second version does.
        if self.version.is_multiple_of(2) { format!("{body:#}") } else { body.to_string() }
    }
}

async fn listen(seed: u64) -> io::Result<TcpListener> {
    TcpListener::bind((run_address(seed), 0)).await
}

async fn accept(discovery: Arc<Discovery>, address: SocketAddr, listener: TcpListener) {
    let mut connections = JoinSet::new();
    let mut behavior = discovery.behavior.subscribe();
    let mut listener = Some(listener);
    loop {
        let accepted = async {
            match &listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            accepted = accepted => if let Ok((stream, _)) = accepted {
                let discovery = discovery.clone();
                // A disconnect by the proxy is not an error of the agent.
                connections.spawn(async move { drop(discovery.serve(stream).await) });
            },
            changed = behavior.changed() => {
                if changed.is_err() {
                    return;
                }
                let is_refusing = *behavior.borrow_and_update() == DiscoveryBehavior::Refuse;
                if is_refusing {
                    listener = None;
                    connections.shutdown().await;
                } else if listener.is_none() {
                    listener = TcpListener::bind(address).await.ok();
                }
            }
        }
    }
}
