//! Following discovery, over loopback connections and on a paused clock: the agent does what a test says.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use foldhitch_discovery_client::{
    DiscoveryError, EndpointListUpdate, EndpointObserver, FollowOptions, WatchTimeouts, follow,
};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// What the agent does with a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum AgentBehavior {
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
type Calls = Rc<RefCell<Vec<(Instant, String)>>>;

/// An agent that does with its n-th call as it is notified.
fn agent(listener: TcpListener, script: impl Fn(usize) -> AgentBehavior + 'static) -> Calls {
    late_agent(listener, Duration::ZERO, script)
}

/// The same, but it is so late with each answer, behind the wait that is asked for, and again with its body.
fn late_agent(
    listener: TcpListener,
    late: Duration,
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
                    if !late.is_zero() {
                        sleep(Duration::from_millis(wait) + late).await;
                    }
                    // In two pieces.
                    let head = answer.find("\r\n\r\n").map_or(0, |end| end + 4);
                    let (head, body) = answer.split_at(head);
                    let _ = stream.write_all(head.as_bytes()).await;
                    sleep(late).await;
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
struct DiscoveryHarness {
    balancer: RefCell<Balancer>,
    watching: watch::Sender<bool>,
    ready: bool,
    start: Instant,
    /// When lists came, and with how many entries.
    notified: RefCell<Vec<(Instant, usize)>>,
}

impl DiscoveryHarness {
    /// Follows an agent in the background.
    fn follow(
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
        let harness = Rc::new(DiscoveryHarness { balancer, watching, ready, start, notified });
        harness.tell(Event::EndpointList { kind: EndpointListKind::Cached, endpoints: vec![] });
        let newest = Rc::<Cell<u64>>::default();
        let timeouts = WatchTimeouts::new(drain_deadline);
        let options = FollowOptions { address, mode, timeouts, newest_version: newest, poll_wanted: wanted };
        spawn_local(follow(harness.clone(), options));
        harness
    }

    /// When a list with so many entries is notified first.
    async fn notified_of(&self, entries: usize) -> Instant {
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
        let EndpointListUpdate { kind, endpoints, .. } = update;
        assert!(!endpoints.is_empty() || kind == EndpointListKind::Full);
        self.notified.borrow_mut().push((Instant::now(), endpoints.len()));
        self.tell(Event::EndpointList { kind, endpoints: vec![] });
    }
    fn on_poll_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: vec![] });
    }
    fn on_warning(&self, _warning: &DiscoveryError) {}
}

fn settings(is_polled: bool, poll_within_ms: f64) -> Settings {
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

async fn listening() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Waits until so many calls have come.
async fn came(calls: &Calls, n: usize) {
    while calls.borrow().len() < n {
        sleep(Duration::from_millis(5)).await;
    }
}

/// A list that is taken is watched from its version; after one that is not, the whole list is asked for.
#[tokio::test(start_paused = true)]
async fn lists_that_are_older_or_name_nobody_are_ignored() {
    let cases = [
        (Some(7), AgentBehavior::List(8, false, 1), true, true),
        (Some(7), AgentBehavior::List(7, false, 1), true, true), // the same again
        (Some(7), AgentBehavior::List(6, false, 1), true, false), // it went back
        (Some(7), AgentBehavior::List(8, true, 1), true, true),
        (Some(7), AgentBehavior::List(7, true, 1), true, true),
        (Some(7), AgentBehavior::List(6, true, 1), true, false),
        (None, AgentBehavior::List(6, true, 1), true, true), // discovery began anew
        (Some(7), AgentBehavior::List(7, false, 0), true, true), // no change
        (Some(7), AgentBehavior::List(8, true, 0), true, false), // nobody
        (None, AgentBehavior::List(8, true, 0), true, false),
        (None, AgentBehavior::List(0, true, 0), false, true), // nobody yet
    ];
    for (asked, page, serving, taken) in cases {
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let (listener, address) = listening().await;
                let first = asked.map(|seq| AgentBehavior::List(seq, true, 1));
                let script: Vec<AgentBehavior> = first.into_iter().chain([page]).collect();
                let calls = agent(listener, move |n| script.get(n).copied().unwrap_or(AgentBehavior::Hang));
                let drain_deadline = Duration::from_millis(500);
                let harness =
                    DiscoveryHarness::follow(address, settings(false, 0.0), 1, drain_deadline, serving);
                let n = usize::from(asked.is_some()) + 1;
                came(&calls, n + 1).await;
                let AgentBehavior::List(seq, whole, hosts) = page else { unreachable!("they are lists") };
                let path = calls.borrow()[n].1.clone();
                let watched = path.contains(&format!("after={seq}&"));
                assert_eq!(watched, taken, "{asked:?} {page:?}: {path}");
                let news = usize::from(taken && (whole || hosts > 0));
                assert_eq!(harness.notified.borrow().len(), n - 1 + news, "{asked:?} {page:?}");
            })
            .await;
    }
}

/// What discovery has to tell counts as notified 6 s later, whether or not it arrived: a watch that fell silent and
/// an answer that stopped short leave time for a second try. Where discovery as such was silent, what it has to
/// tell at its return counts at once: then a call that is not answered and the pause fit into a drain's grace.
#[tokio::test(start_paused = true)]
async fn silence_and_half_an_answer_are_noticed_before_the_change_counts_as_notified() {
    let had = AgentBehavior::List(7, true, 1);
    for drain_deadline in [100, 250, 500, 2000, 10_000].map(Duration::from_millis) {
        for (script, within) in [
            (vec![had, AgentBehavior::Hang], Duration::from_secs(4)),
            (vec![had, AgentBehavior::Half], Duration::from_secs(2)),
            (vec![had, AgentBehavior::Hang, AgentBehavior::Hang], drain_deadline),
            (vec![AgentBehavior::Hang, AgentBehavior::Hang], drain_deadline),
            (vec![AgentBehavior::Hang, AgentBehavior::Half], drain_deadline),
        ] {
            let tasks = LocalSet::new();
            tasks
                .run_until(async {
                    let (listener, address) = listening().await;
                    let (last, played) = (script.len(), script.clone());
                    let calls =
                        agent(listener, move |n| played.get(n).copied().unwrap_or(AgentBehavior::Hang));
                    DiscoveryHarness::follow(address, settings(false, 0.0), 1, drain_deadline, true);
                    came(&calls, last + 1).await;
                    let again = calls.borrow()[last].0 - calls.borrow()[last - 1].0;
                    assert!(again <= within, "{script:?} {drain_deadline:?}: {again:?}");
                })
                .await;
        }
    }
}

/// The most that may pass before what discovery has is notified: a sixth of the term is left for a slow machine.
const WITHIN: Duration = Duration::from_millis(NOTIFICATION_DEADLINE_MS as u64 / 6 * 5);

/// The last of many calls that fail comes just before discovery is back.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_after_failed_polls() {
    let mut longest = Duration::ZERO;
    for trouble in [
        AgentBehavior::Hang,
        AgentBehavior::Half,
        AgentBehavior::Trickle,
        AgentBehavior::Fail,
        AgentBehavior::Close,
        AgentBehavior::List(9, true, 0),
        AgentBehavior::List(6, false, 1),
    ] {
        for (is_polled, held) in [(false, false), (false, true), (true, false), (true, true)] {
            if trouble == AgentBehavior::List(6, false, 1) && !held {
                continue; // Older than nothing.
            }
            for drain_deadline in [100, 500, 2000, 10_000].map(Duration::from_millis) {
                for (poll_within_ms, seed, failures) in
                    [(100.0, 1, 9), (10_000.0, 2, 1), (10_000.0, 3, 9), (60_000.0, 4, 1), (60_000.0, 5, 9)]
                {
                    let tasks = LocalSet::new();
                    let work = async {
                        let (listener, address) = listening().await;
                        let calls = agent(listener, move |n| match n {
                            0 if held => AgentBehavior::List(7, true, 1),
                            n if n < failures + usize::from(held) => trouble,
                            _ => AgentBehavior::List(10, true, 2),
                        });
                        let settings = settings(is_polled, poll_within_ms);
                        let harness = DiscoveryHarness::follow(address, settings, seed, drain_deadline, true);
                        let last = failures + usize::from(held);
                        let notified = harness.notified_of(2).await;
                        notified - calls.borrow()[last - 1].0
                    };
                    let took = tasks.run_until(work).await;
                    longest = longest.max(took);
                    let case = format!(
                        "{trouble:?} {is_polled} {held} {drain_deadline:?} {poll_within_ms} {failures}"
                    );
                    assert!(took <= WITHIN, "{case}: {took:?}");
                }
            }
        }
    }
    println!("the longest: {longest:?}");
}

/// The watch, or a call after others that failed, ends late and in the middle of its answer, and the next one
/// is answered as late.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_by_a_late_agent() {
    let mut longest = Duration::ZERO;
    for (drain_deadline, late) in [(500, 225), (2000, 450), (10_000, 450)] {
        for (failures, seed) in [1, 9].into_iter().flat_map(|f| (0..10).map(move |seed| (f, seed))) {
            let tasks = LocalSet::new();
            let work = async {
                let (listener, address) = listening().await;
                let calls = late_agent(listener, Duration::from_millis(late), move |n| match n {
                    0 => AgentBehavior::List(7, true, 1),
                    n if n <= failures => AgentBehavior::Half,
                    _ => AgentBehavior::List(10, true, 2),
                });
                let drain_deadline = Duration::from_millis(drain_deadline);
                let harness =
                    DiscoveryHarness::follow(address, settings(true, 60_000.0), seed, drain_deadline, true);
                came(&calls, failures + 1).await;
                harness.notified_of(2).await - calls.borrow()[failures].0
            };
            let took = tasks.run_until(work).await;
            longest = longest.max(took);
            assert!(took <= WITHIN, "{drain_deadline} {failures} {seed}: {took:?}");
        }
    }
    println!("the longest: {longest:?}");
}

/// Refused for long, at the start or later, and then reached at any moment.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_after_refused_connections() {
    let mut longest = Duration::ZERO;
    for is_polled in [false, true] {
        for (poll_within_ms, seed) in [(100.0, 1), (10_000.0, 2), (60_000.0, 3)] {
            for back in (0..40).map(|n| Duration::from_millis(500 * n + 130)) {
                let tasks = LocalSet::new();
                let work = async {
                    // The port is taken and nobody listens yet.
                    let socket = TcpSocket::new_v4().expect("a socket");
                    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
                    let address = socket.local_addr().expect("bound");
                    let drain_deadline = Duration::from_millis(500);
                    let harness = DiscoveryHarness::follow(
                        address,
                        settings(is_polled, poll_within_ms),
                        seed,
                        drain_deadline,
                        false,
                    );
                    let back = Instant::now() + back;
                    sleep_until(back).await;
                    agent(socket.listen(16).expect("it listens"), |_| AgentBehavior::List(1, true, 1));
                    harness.notified_of(1).await - back
                };
                let took = tasks.run_until(work).await;
                longest = longest.max(took);
                assert!(took <= WITHIN, "{is_polled} {poll_within_ms} {back:?}: {took:?}");
            }
        }
    }
    println!("the longest: {longest:?}");
}
