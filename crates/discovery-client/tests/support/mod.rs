//! A scripted discovery server, and an observer that connects discovery to a balancer as the proxy does.

// Each test binary uses a part of this module.
#![allow(dead_code)]

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use foldhitch_discovery_client::{
    DiscoveryError, EndpointListUpdate, EndpointObserver, FollowOptions, PollOutage, WatchTimeouts, follow,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The time limit for a notification: the deadline less a sixth, which is left for a slow machine.
pub const NOTIFICATION_LIMIT: Duration = Duration::from_millis(NOTIFICATION_DEADLINE_MS as u64 / 6 * 5);

/// How the scripted server answers a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ScriptedAnswer {
    /// A list with a version, whether it is a full list, and the number of its endpoints.
    List(u64, bool, usize),
    /// No response at all.
    NoAnswer,
    /// A response that stops in the middle of its body.
    Truncated,
    /// A response whose body goes on without an end.
    EndlessBody,
    /// A response with status 503.
    ServerError,
    /// A closed connection.
    CloseConnection,
}

impl ScriptedAnswer {
    fn bytes(self) -> Option<String> {
        let body = match self {
            ScriptedAnswer::List(seq, whole, hosts) => {
                let host = r#"{"host":"s","dial":"127.0.0.1:9","health":"SERVING"}"#;
                format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, vec![host; hosts].join(","))
            }
            ScriptedAnswer::NoAnswer => return Some(String::new()),
            ScriptedAnswer::Truncated => {
                return Some("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"seq\":".to_string());
            }
            ScriptedAnswer::EndlessBody => {
                return Some("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{\"seq\":".to_string());
            }
            ScriptedAnswer::ServerError => {
                return Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_string());
            }
            ScriptedAnswer::CloseConnection => return None,
        };
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    }
}

/// The calls that were received: the time and the path of each.
pub type Calls = Rc<RefCell<Vec<(Instant, String)>>>;

/// The delay of each response.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerDelay {
    /// The delay of the head after the wait that the call asks for.
    pub head: Duration,
    /// The delay of the body after the head.
    pub body: Duration,
}

/// Starts a server that answers its n-th call at once with `script(n)`.
pub fn scripted_discovery(
    listener: TcpListener,
    script: impl Fn(usize) -> ScriptedAnswer + 'static,
) -> Calls {
    slow_discovery(listener, AnswerDelay::default(), script)
}

/// Starts a server that answers its n-th call with `script(n)` after a delay.
pub fn slow_discovery(
    listener: TcpListener,
    delay: AnswerDelay,
    script: impl Fn(usize) -> ScriptedAnswer + 'static,
) -> Calls {
    let (calls, script) = (Calls::default(), Rc::new(script));
    let recorded = calls.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.set_nodelay(true).expect("open");
            let (recorded, script) = (recorded.clone(), script.clone());
            spawn_local(async move {
                let mut received = Vec::new();
                while stream.read_buf(&mut received).await.is_ok_and(|n| n > 0) {
                    if !received.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let text = String::from_utf8(std::mem::take(&mut received)).expect("text");
                    let path = text.split(' ').nth(1).expect("a path").to_string();
                    let wait = path.split_once("wait_ms=").map_or(0, |(_, ms)| ms.parse().expect("a number"));
                    recorded.borrow_mut().push((Instant::now(), path));
                    let n = recorded.borrow().len() - 1;
                    let Some(answer) = script(n).bytes() else { return };
                    if !delay.head.is_zero() {
                        sleep(Duration::from_millis(wait) + delay.head).await;
                    }
                    // The head and the body are written separately.
                    let head = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
                    let (head, body) = answer.split_at(head);
                    let _ = stream.write_all(head.as_bytes()).await;
                    sleep(delay.body).await;
                    let _ = stream.write_all(body.as_bytes()).await;
                    while script(n) == ScriptedAnswer::EndlessBody && stream.write_all(b" ").await.is_ok() {
                        sleep(Duration::from_millis(10)).await;
                    }
                }
            });
        }
    });
    calls
}

/// An observer that passes lists to a balancer and polls on its request, as the proxy does.
pub struct DiscoveryHarness {
    balancer: RefCell<Balancer>,
    poll_wanted: watch::Sender<bool>,
    has_ready_endpoint: bool,
    start: Instant,
    /// The time and the number of endpoints of each received list.
    pub received_lists: RefCell<Vec<(Instant, usize)>>,
    /// For each received list, whether it was older than one received before.
    pub older_flags: RefCell<Vec<bool>>,
}

impl DiscoveryHarness {
    /// Follows discovery in the background.
    pub fn follow(
        address: SocketAddr,
        settings: Settings,
        seed: u64,
        drain_deadline: Duration,
        has_ready_endpoint: bool,
    ) -> Rc<Self> {
        let mode = settings.discovery_mode;
        let balancer = RefCell::new(Balancer::new(settings, seed).expect("settings are sound"));
        let (poll_wanted, poll_requests) = watch::channel(false);
        let (start, received_lists) = (Instant::now(), RefCell::default());
        let older_flags = RefCell::default();
        let harness = Rc::new(DiscoveryHarness {
            balancer,
            poll_wanted,
            has_ready_endpoint,
            start,
            received_lists,
            older_flags,
        });
        harness.handle_event(Event::EndpointList { kind: EndpointListKind::Cached, endpoints: vec![] });
        let newest_version = Rc::<Cell<u64>>::default();
        let timeouts = WatchTimeouts::new(drain_deadline);
        let options = FollowOptions { address, mode, timeouts, newest_version, poll_wanted: poll_requests };
        spawn_local(follow(harness.clone(), options));
        harness
    }

    /// Waits for the first list with this number of endpoints and returns when it was received.
    pub async fn wait_for_list_of(&self, entries: usize) -> Instant {
        loop {
            if let Some((at, _)) = self.received_lists.borrow().iter().find(|(_, n)| *n == entries) {
                return *at;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn handle_event(self: &Rc<Self>, event: Event) {
        let now = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { delay_ms: delay, token } => {
                    let harness = self.clone();
                    spawn_local(async move {
                        sleep(Duration::from_secs_f64(delay / 1000.0)).await;
                        harness.handle_event(Event::TimerFired { token });
                    });
                }
                Action::PollEndpoints => {
                    self.poll_wanted.send_replace(true);
                }
                _ => {}
            }
        }
    }
}

impl EndpointObserver for DiscoveryHarness {
    fn has_ready_endpoint(&self) -> bool {
        self.has_ready_endpoint
    }
    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate) {
        let EndpointListUpdate { kind, endpoints, is_older, .. } = update;
        assert!(!endpoints.is_empty() || kind == EndpointListKind::Full);
        self.received_lists.borrow_mut().push((Instant::now(), endpoints.len()));
        self.older_flags.borrow_mut().push(is_older);
        self.handle_event(Event::EndpointList { kind, endpoints: vec![] });
    }
    fn on_poll_failed(self: &Rc<Self>) {
        self.poll_wanted.send_replace(false);
        self.handle_event(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: vec![] });
    }
    fn on_warning(&self, _warning: &DiscoveryError) {}
    fn on_recovery(&self, _outage: PollOutage) {}
}

pub fn settings(is_polled: bool, poll_within_ms: f64) -> Settings {
    let discovery_mode = if is_polled { DiscoveryMode::Poll } else { DiscoveryMode::Push };
    let classes = vec![Class { latency_objective_ms: 1000.0, priority_weight: 1.0, ..Class::default() }];
    let guarantees = Guarantees {
        poll_within_ms,
        warm_up_ms: 1000.0,
        initial_capacity_fraction: 0.1,
        overload_multiple: 3.0,
        ..Guarantees::default()
    };
    Settings { instance_count: 1, tick_ms: 5.0, discovery_mode, classes, guarantees, ..Settings::default() }
}

pub async fn bind_listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Waits until `n` calls have been received.
pub async fn wait_for_calls(calls: &Calls, n: usize) {
    while calls.borrow().len() < n {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Accepts connections and reads from them without a response. Returns the number of open connections.
pub fn count_open_connections(listener: TcpListener) -> Rc<Cell<usize>> {
    let open = Rc::<Cell<usize>>::default();
    let counted = open.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            counted.set(counted.get() + 1);
            let counted = counted.clone();
            spawn_local(async move {
                let mut received = Vec::new();
                while stream.read_buf(&mut received).await.is_ok_and(|length| length > 0) {}
                counted.set(counted.get() - 1);
            });
        }
    });
    open
}
