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
enum Do {
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

impl Do {
    fn bytes(self) -> Option<String> {
        let body = match self {
            Do::List(seq, whole, hosts) => {
                let host = r#"{"host":"s","dial":"127.0.0.1:9","health":"SERVING"}"#;
                format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, vec![host; hosts].join(","))
            }
            Do::Hang => return Some(String::new()),
            Do::Half => return Some("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"seq\":".to_string()),
            Do::Trickle => {
                return Some("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n{\"seq\":".to_string());
            }
            Do::Fail => return Some("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n".to_string()),
            Do::Close => return None,
        };
        Some(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()))
    }
}

/// The calls that came: when, and for what.
type Calls = Rc<RefCell<Vec<(Instant, String)>>>;

/// An agent that does with its n-th call as it is told.
fn agent(listener: TcpListener, script: impl Fn(usize) -> Do + 'static) -> Calls {
    late_agent(listener, Duration::ZERO, script)
}

/// The same, but it is so late with each answer, behind the wait that is asked for, and again with its body.
fn late_agent(listener: TcpListener, late: Duration, script: impl Fn(usize) -> Do + 'static) -> Calls {
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
                    while script(n) == Do::Trickle && stream.write_all(b" ").await.is_ok() {
                        sleep(Duration::from_millis(10)).await;
                    }
                }
            });
        }
    });
    calls
}

/// A proxy's place between discovery and the decision module, as the real one fills it.
struct Seat {
    balancer: RefCell<Balancer>,
    watching: watch::Sender<bool>,
    ready: bool,
    start: Instant,
    /// When lists came, and with how many entries.
    told: RefCell<Vec<(Instant, usize)>>,
}

impl Seat {
    /// Follows an agent in the background.
    fn follow(address: SocketAddr, settings: Settings, seed: u64, grace: Duration, ready: bool) -> Rc<Self> {
        let mode = settings.discovery_mode;
        let balancer = RefCell::new(Balancer::new(settings, seed).expect("settings are sound"));
        let (watching, wanted) = watch::channel(false);
        let (start, told) = (Instant::now(), RefCell::default());
        let seat = Rc::new(Seat { balancer, watching, ready, start, told });
        seat.tell(Event::EndpointList { kind: EndpointListKind::Cached, endpoints: vec![] });
        let newest = Rc::<Cell<u64>>::default();
        let timeouts = WatchTimeouts::new(grace);
        let options = FollowOptions { address, mode, timeouts, newest_version: newest, poll_wanted: wanted };
        spawn_local(follow(seat.clone(), options));
        seat
    }

    /// When a list with so many entries is told first.
    async fn told_of(&self, entries: usize) -> Instant {
        loop {
            if let Some((at, _)) = self.told.borrow().iter().find(|(_, n)| *n == entries) {
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
                    let seat = self.clone();
                    spawn_local(async move {
                        sleep(Duration::from_secs_f64(delay / 1000.0)).await;
                        seat.tell(Event::TimerFired { token });
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

impl EndpointObserver for Seat {
    fn has_ready_endpoint(&self) -> bool {
        self.ready
    }
    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate) {
        let EndpointListUpdate { kind, endpoints, .. } = update;
        assert!(!endpoints.is_empty() || kind == EndpointListKind::Full);
        self.told.borrow_mut().push((Instant::now(), endpoints.len()));
        self.tell(Event::EndpointList { kind, endpoints: vec![] });
    }
    fn on_poll_failed(self: &Rc<Self>) {
        self.watching.send_replace(false);
        self.tell(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: vec![] });
    }
    fn on_warning(&self, _warning: &DiscoveryError) {}
}

fn settings(must_ask: bool, poll_within_ms: f64) -> Settings {
    let discovery_mode = if must_ask { DiscoveryMode::Poll } else { DiscoveryMode::Push };
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
        (Some(7), Do::List(8, false, 1), true, true),
        (Some(7), Do::List(7, false, 1), true, true), // the same again
        (Some(7), Do::List(6, false, 1), true, false), // it went back
        (Some(7), Do::List(8, true, 1), true, true),
        (Some(7), Do::List(7, true, 1), true, true),
        (Some(7), Do::List(6, true, 1), true, false),
        (None, Do::List(6, true, 1), true, true), // discovery began anew
        (Some(7), Do::List(7, false, 0), true, true), // no change
        (Some(7), Do::List(8, true, 0), true, false), // nobody
        (None, Do::List(8, true, 0), true, false),
        (None, Do::List(0, true, 0), false, true), // nobody yet
    ];
    for (asked, page, serving, taken) in cases {
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let (listener, address) = listening().await;
                let first = asked.map(|seq| Do::List(seq, true, 1));
                let script: Vec<Do> = first.into_iter().chain([page]).collect();
                let calls = agent(listener, move |n| script.get(n).copied().unwrap_or(Do::Hang));
                let grace = Duration::from_millis(500);
                let seat = Seat::follow(address, settings(false, 0.0), 1, grace, serving);
                let n = usize::from(asked.is_some()) + 1;
                came(&calls, n + 1).await;
                let Do::List(seq, whole, hosts) = page else { unreachable!("they are lists") };
                let path = calls.borrow()[n].1.clone();
                let watched = path.contains(&format!("after={seq}&"));
                assert_eq!(watched, taken, "{asked:?} {page:?}: {path}");
                let news = usize::from(taken && (whole || hosts > 0));
                assert_eq!(seat.told.borrow().len(), n - 1 + news, "{asked:?} {page:?}");
            })
            .await;
    }
}

/// What discovery has to tell counts as told 6 s later, whether or not it arrived: a watch that fell silent and
/// an answer that stopped short leave time for a second try. Where discovery as such was silent, what it has to
/// tell at its return counts at once: then a call that is not answered and the pause fit into a drain's grace.
#[tokio::test(start_paused = true)]
async fn silence_and_half_an_answer_are_noticed_before_the_change_counts_as_notified() {
    let had = Do::List(7, true, 1);
    for grace in [100, 250, 500, 2000, 10_000].map(Duration::from_millis) {
        for (script, within) in [
            (vec![had, Do::Hang], Duration::from_secs(4)),
            (vec![had, Do::Half], Duration::from_secs(2)),
            (vec![had, Do::Hang, Do::Hang], grace),
            (vec![Do::Hang, Do::Hang], grace),
            (vec![Do::Hang, Do::Half], grace),
        ] {
            let tasks = LocalSet::new();
            tasks
                .run_until(async {
                    let (listener, address) = listening().await;
                    let (last, played) = (script.len(), script.clone());
                    let calls = agent(listener, move |n| played.get(n).copied().unwrap_or(Do::Hang));
                    Seat::follow(address, settings(false, 0.0), 1, grace, true);
                    came(&calls, last + 1).await;
                    let again = calls.borrow()[last].0 - calls.borrow()[last - 1].0;
                    assert!(again <= within, "{script:?} {grace:?}: {again:?}");
                })
                .await;
        }
    }
}

/// The most that may pass before what discovery has is told: a sixth of the term is left for a slow machine.
const WITHIN: Duration = Duration::from_millis(NOTIFICATION_DEADLINE_MS as u64 / 6 * 5);

/// The last of many calls that fail comes just before discovery is back.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_after_failed_polls() {
    let mut longest = Duration::ZERO;
    for trouble in
        [Do::Hang, Do::Half, Do::Trickle, Do::Fail, Do::Close, Do::List(9, true, 0), Do::List(6, false, 1)]
    {
        for (must_ask, held) in [(false, false), (false, true), (true, false), (true, true)] {
            if trouble == Do::List(6, false, 1) && !held {
                continue; // Older than nothing.
            }
            for grace in [100, 500, 2000, 10_000].map(Duration::from_millis) {
                for (poll_within_ms, seed, failures) in
                    [(100.0, 1, 9), (10_000.0, 2, 1), (10_000.0, 3, 9), (60_000.0, 4, 1), (60_000.0, 5, 9)]
                {
                    let tasks = LocalSet::new();
                    let work = async {
                        let (listener, address) = listening().await;
                        let calls = agent(listener, move |n| match n {
                            0 if held => Do::List(7, true, 1),
                            n if n < failures + usize::from(held) => trouble,
                            _ => Do::List(10, true, 2),
                        });
                        let settings = settings(must_ask, poll_within_ms);
                        let seat = Seat::follow(address, settings, seed, grace, true);
                        let last = failures + usize::from(held);
                        let told = seat.told_of(2).await;
                        told - calls.borrow()[last - 1].0
                    };
                    let took = tasks.run_until(work).await;
                    longest = longest.max(took);
                    let case = format!("{trouble:?} {must_ask} {held} {grace:?} {poll_within_ms} {failures}");
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
    for (grace, late) in [(500, 225), (2000, 450), (10_000, 450)] {
        for (failures, seed) in [1, 9].into_iter().flat_map(|f| (0..10).map(move |seed| (f, seed))) {
            let tasks = LocalSet::new();
            let work = async {
                let (listener, address) = listening().await;
                let calls = late_agent(listener, Duration::from_millis(late), move |n| match n {
                    0 => Do::List(7, true, 1),
                    n if n <= failures => Do::Half,
                    _ => Do::List(10, true, 2),
                });
                let grace = Duration::from_millis(grace);
                let seat = Seat::follow(address, settings(true, 60_000.0), seed, grace, true);
                came(&calls, failures + 1).await;
                seat.told_of(2).await - calls.borrow()[failures].0
            };
            let took = tasks.run_until(work).await;
            longest = longest.max(took);
            assert!(took <= WITHIN, "{grace} {failures} {seed}: {took:?}");
        }
    }
    println!("the longest: {longest:?}");
}

/// Refused for long, at the start or later, and then reached at any moment.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_after_refused_connections() {
    let mut longest = Duration::ZERO;
    for must_ask in [false, true] {
        for (poll_within_ms, seed) in [(100.0, 1), (10_000.0, 2), (60_000.0, 3)] {
            for back in (0..40).map(|n| Duration::from_millis(500 * n + 130)) {
                let tasks = LocalSet::new();
                let work = async {
                    // The port is taken and nobody listens yet.
                    let socket = TcpSocket::new_v4().expect("a socket");
                    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
                    let address = socket.local_addr().expect("bound");
                    let grace = Duration::from_millis(500);
                    let seat = Seat::follow(address, settings(must_ask, poll_within_ms), seed, grace, false);
                    let back = Instant::now() + back;
                    sleep_until(back).await;
                    agent(socket.listen(16).expect("it listens"), |_| Do::List(1, true, 1));
                    seat.told_of(1).await - back
                };
                let took = tasks.run_until(work).await;
                longest = longest.max(took);
                assert!(took <= WITHIN, "{must_ask} {poll_within_ms} {back:?}: {took:?}");
            }
        }
    }
    println!("the longest: {longest:?}");
}
