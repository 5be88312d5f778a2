//! An agent of discovery that follows a script, and a balancer that follows the agent as the proxy's does.

// Each test program uses a part of it.
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

/// The most that may pass before what discovery has is notified: a sixth of the term is left for a slow machine.
pub const NOTIFIED_WITHIN: Duration = Duration::from_millis(NOTIFICATION_DEADLINE_MS as u64 / 6 * 5);

/// What the agent does with a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AgentBehavior {
    /// Answers with a version, the whole list or not, and so many entries.
    List(u64, bool, usize),
    /// Answers nothing, also not later.
    Hang,
    /// Stops in the middle of its answer.
    Half,
    /// Begins its answer and goes on with it without an end.
    Trickle,
    /// Answers an error.
    Fail,
    /// Ends the connection.
    Close,
}

impl AgentBehavior {
    fn bytes(self) -> Option<String> {
        let body = match self {
            AgentBehavior::List(seq, whole, hosts) => {
                let host = r#"{"host":"s","dial":"127.0.0.1:9","health":"SERVING"}"#;
                format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, vec![host; hosts].join(","))
            }
            AgentBehavior::Hang => return Some(String::new()),
            AgentBehavior::Half => {
                return Some("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"seq\":".to_string());
            }
            AgentBehavior::Trickle => {
                return Some("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{\"seq\":".to_string());
            }
            AgentBehavior::Fail => return Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_string()),
            AgentBehavior::Close => return None,
        };
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    }
}

/// The calls that came: when, and for what.
pub type Calls = Rc<RefCell<Vec<(Instant, String)>>>;

/// How late an agent is with each answer.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerDelay {
    /// Of the head, behind the wait that the call asks for.
    pub head: Duration,
    /// Of the body, behind the head.
    pub body: Duration,
}

/// An agent that answers its n-th call at once, by the script.
pub fn agent(listener: TcpListener, script: impl Fn(usize) -> AgentBehavior + 'static) -> Calls {
    late_agent(listener, AnswerDelay::default(), script)
}

/// An agent that answers its n-th call late, by the script.
pub fn late_agent(
    listener: TcpListener,
    delay: AnswerDelay,
    script: impl Fn(usize) -> AgentBehavior + 'static,
) -> Calls {
    let (calls, script) = (Calls::default(), Rc::new(script));
    let came = calls.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            stream.set_nodelay(true).expect("open");
            let (came, script) = (came.clone(), script.clone());
            spawn_local(async move {
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
                    if !seen.ends_with(b"\r\n\r\n") {
                        continue;
                    }
                    let text = String::from_utf8(std::mem::take(&mut seen)).expect("text");
                    let path = text.split(' ').nth(1).expect("a path").to_string();
                    let wait = path.split_once("wait_ms=").map_or(0, |(_, ms)| ms.parse().expect("a number"));
                    came.borrow_mut().push((Instant::now(), path));
                    let n = came.borrow().len() - 1;
                    let Some(answer) = script(n).bytes() else { return };
                    if !delay.head.is_zero() {
                        sleep(Duration::from_millis(wait) + delay.head).await;
                    }
                    // In two pieces.
                    let head = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
                    let (head, body) = answer.split_at(head);
                    let _ = stream.write_all(head.as_bytes()).await;
                    sleep(delay.body).await;
                    let _ = stream.write_all(body.as_bytes()).await;
                    while script(n) == AgentBehavior::Trickle && stream.write_all(b" ").await.is_ok() {
                        sleep(Duration::from_millis(10)).await;
                    }
                }
            });
        }
    });
    calls
}

/// A proxy between discovery and the balancer, as the real one fills it.
pub struct DiscoveryHarness {
    balancer: RefCell<Balancer>,
    watching: watch::Sender<bool>,
    ready: bool,
    start: Instant,
    /// When lists came, and with how many entries.
    pub notified: RefCell<Vec<(Instant, usize)>>,
    /// Whether each of them was older than one had before.
    pub are_older: RefCell<Vec<bool>>,
}

impl DiscoveryHarness {
    /// Follows an agent in the background.
    pub fn follow(
        address: SocketAddr,
        settings: Settings,
        seed: u64,
        drain_deadline: Duration,
        ready: bool,
    ) -> Rc<Self> {
        let mode = settings.discovery_mode;
        let balancer = RefCell::new(Balancer::new(settings, seed).expect("settings are sound"));
        let (watching, wanted) = watch::channel(false);
        let (start, notified) = (Instant::now(), RefCell::default());
        let are_older = RefCell::default();
        let harness = Rc::new(DiscoveryHarness { balancer, watching, ready, start, notified, are_older });
        harness.tell(Event::EndpointList { kind: EndpointListKind::Cached, endpoints: vec![] });
        let newest = Rc::<Cell<u64>>::default();
        let timeouts = WatchTimeouts::new(drain_deadline);
        let options = FollowOptions { address, mode, timeouts, newest_version: newest, poll_wanted: wanted };
        spawn_local(follow(harness.clone(), options));
        harness
    }

    /// When a list with so many entries is notified first.
    pub async fn notified_of(&self, entries: usize) -> Instant {
        loop {
            if let Some((at, _)) = self.notified.borrow().iter().find(|(_, n)| *n == entries) {
                return *at;
            }
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn tell(self: &Rc<Self>, event: Event) {
        let now = self.start.elapsed().as_secs_f64() * 1000.0;
        let mut actions = Vec::new();
        self.balancer.borrow_mut().handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::SetTimer { delay_ms: delay, token } => {
                    let harness = self.clone();
                    spawn_local(async move {
                        sleep(Duration::from_secs_f64(delay / 1000.0)).await;
                        harness.tell(Event::TimerFired { token });
                    });
                }
                Action::PollEndpoints => {
                    self.watching.send_replace(true);
                }
                _ => {}
            }
        }
    }
}

impl EndpointObserver for DiscoveryHarness {
    fn has_ready_endpoint(&self) -> bool {
        self.ready
    }
    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate) {
        let EndpointListUpdate { kind, endpoints, is_older, .. } = update;
        assert!(!endpoints.is_empty() || kind == EndpointListKind::Full);
        self.notified.borrow_mut().push((Instant::now(), endpoints.len()));
        self.are_older.borrow_mut().push(is_older);
        self.tell(Event::EndpointList { kind, endpoints: vec![] });
    }
    fn on_poll_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: vec![] });
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

pub async fn listening() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Waits until so many calls have come.
pub async fn came(calls: &Calls, n: usize) {
    while calls.borrow().len() < n {
        sleep(Duration::from_millis(5)).await;
    }
}

/// Accepts connections and reads them without an answer; how many are open.
pub fn open_connections(listener: TcpListener) -> Rc<Cell<usize>> {
    let open = Rc::<Cell<usize>>::default();
    let counted = open.clone();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            counted.set(counted.get() + 1);
            let counted = counted.clone();
            spawn_local(async move {
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|length| length > 0) {}
                counted.set(counted.get() - 1);
            });
        }
    });
    open
}
