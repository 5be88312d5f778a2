//! Backends that send copies of their responses before the proxy has detected that they do: no client gets
//! these first copies.
//!
//! A backend writes the copy of a response once it has read the next request on the connection, and the
//! response to that request once the test opens the gate.

mod support;

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// The time from the copy of the previous response to the response to the current request.
const RESPONSE_DELAY: Duration = Duration::from_millis(100);
/// The deadline of the requests.
const DEADLINE: Duration = Duration::from_secs(3);
/// The deadline of requests that test short deadlines.
const SHORT_DEADLINE: Duration = Duration::from_millis(300);
/// The maximum time from a deadline to the final answer; a request without an answer by then counts as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// The latency objective in tests that depend on it.
const LATENCY_OBJECTIVE: Duration = Duration::from_millis(200);
/// The number of requests that each client sends to backends whose responses are equal without being copies.
const CALLS_PER_CLIENT: usize = 300;
/// The highest mean response time of these requests, as a fraction of the latency objective.
const MAX_MEAN_OBJECTIVE_FRACTION: f64 = 0.1;
/// The number of requests on one connection after the backend has begun to send copies.
const CALLS: usize = 5;
/// The number of clients that send requests at the same time.
const CONCURRENT_CLIENTS: usize = 5;

/// The response of a backend to a request, and how it is sent.
struct Exchange {
    response: Vec<u8>,
    /// Whether a copy of the response is written once the next request on its connection has been read.
    has_copy: bool,
    /// Whether the response waits until the test opens the gate.
    is_held: bool,
}

impl Exchange {
    /// An exchange of a backend that sends no copies.
    fn without_copy(response: Vec<u8>) -> Self {
        Exchange { response, has_copy: false, is_held: false }
    }
}

/// How a copy is written before the response to the next request.
#[derive(Clone, Copy)]
enum CopyDelivery {
    Whole,
    HeadThenBody,
    /// In one write with the response to the next request.
    WithResponse,
}

/// The pause between two pieces of a response.
const PIECE_DELAY: Duration = Duration::from_millis(5);

/// The number of backends and the settings of the proxy.
struct Deployment {
    backends: usize,
    /// The maximum time that a request waits for another attempt after its backend has declined it.
    latency_objective: Duration,
}

impl Default for Deployment {
    fn default() -> Self {
        Deployment { backends: 1, latency_objective: Duration::from_secs(20) }
    }
}

/// Backends that send copies of their responses, and a proxy in front of them.
struct Fixture {
    backends: Vec<ScriptedBackend>,
    gate: Arc<Gate>,
    _discovery: Discovery,
    proxy: Proxy,
}

impl Fixture {
    /// Starts backends that take, for the n-th request on a connection and its id, the exchange that is
    /// given.
    async fn new(
        deployment: Deployment,
        delivery: CopyDelivery,
        exchange: impl Fn(usize, &str) -> Exchange + Send + Sync + 'static,
    ) -> Self {
        let (gate, exchange) = (Gate::closed(), Arc::new(exchange));
        let (mut backends, mut list) = (Vec::new(), Vec::new());
        for number in 0..deployment.backends {
            let (exchange, gate) = (exchange.clone(), gate.clone());
            let handler =
                move |connection| serve_with_copies(connection, delivery, exchange.clone(), gate.clone());
            let backend = ScriptedBackend::serve(handler).await;
            list.push(endpoint(&format!("backend-{number}"), backend.addr, "SERVING"));
            backends.push(backend);
        }
        let discovery = Discovery::start(list).await;
        let mut settings = settings();
        for class in settings["classes"].as_array_mut().expect("a list") {
            class["aim"] = (1000.0 * deployment.latency_objective.as_secs_f64()).into();
        }
        let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
        Fixture { backends, gate, _discovery: discovery, proxy }
    }

    /// Returns how often a request was received by all backends together.
    fn times_received(&self, id: &str) -> usize {
        self.backends.iter().map(|backend| backend.times_received(id)).sum()
    }

    /// Sends requests one after another, each held at the gate for the given time, and returns their ids and
    /// answers.
    async fn call_sequentially(&self, class: &str, count: usize, delay: Duration) -> Vec<IdentifiedResponse> {
        let calls = send_sequentially(&self.proxy, count, || request_with_deadline(class, DEADLINE));
        let openings = async {
            for arrivals in 1.. {
                self.gate.wait_for_arrivals(arrivals).await;
                sleep(delay).await;
                self.gate.open(1);
            }
        };
        tokio::select! {
            answers = calls => answers,
            () = openings => unreachable!("the loop never ends"),
        }
    }

    /// Checks that each request got its own response and ran once.
    fn assert_own_responses(&self, answers: Vec<IdentifiedResponse>) {
        let wrong: Vec<_> =
            answers.iter().enumerate().filter(|(_, (id, answer))| *answer != (200, id.clone())).collect();
        assert!(wrong.is_empty(), "{} of {}: {wrong:?}", wrong.len(), answers.len());
        for (id, _) in answers {
            assert_eq!(self.times_received(&id), 1, "{id} ran twice");
        }
    }
}

/// Serves a connection, and writes the copy of each response that has one before the response to the next
/// request.
async fn serve_with_copies(
    mut connection: BackendConnection,
    delivery: CopyDelivery,
    exchange: Arc<impl Fn(usize, &str) -> Exchange + Send + Sync + 'static>,
    gate: Arc<Gate>,
) {
    let mut copy = Vec::new();
    let mut count = 0;
    while let Some(id) = connection.read_request().await {
        let Exchange { response, has_copy, is_held } = exchange(count, &id);
        match delivery {
            CopyDelivery::Whole => connection.write(&copy).await,
            CopyDelivery::HeadThenBody => {
                let head = copy.windows(HEAD_END.len()).position(|window| window == HEAD_END);
                let (head, body) = copy.split_at(head.map_or(0, |end| end + HEAD_END.len()));
                connection.write(head).await;
                sleep(PIECE_DELAY).await;
                connection.write(body).await;
            }
            CopyDelivery::WithResponse => {}
        }
        if is_held {
            gate.pass().await;
        }
        match delivery {
            CopyDelivery::WithResponse => connection.write(&[copy.as_slice(), &response].concat()).await,
            CopyDelivery::Whole | CopyDelivery::HeadThenBody => connection.write(&response).await,
        }
        copy = if has_copy { response } else { Vec::new() };
        count += 1;
    }
}

/// Checks that one client gets its own responses from a backend that sends copies after `distinct` responses.
async fn assert_first_copy_is_dropped(distinct: usize, delivery: CopyDelivery) {
    let fixture = Fixture::new(Deployment::default(), delivery, move |count, id| Exchange {
        response: own_response(id),
        has_copy: count >= distinct,
        is_held: count > distinct,
    })
    .await;
    let answers = fixture.call_sequentially("once", distinct + CALLS, RESPONSE_DELAY).await;
    fixture.assert_own_responses(answers);
}

/// Guards against taking the copy of a response for the response to the next request on the same connection.
#[tokio::test]
async fn first_copy_does_not_answer_the_next_request() {
    assert_first_copy_is_dropped(3, CopyDelivery::Whole).await;
}

/// Guards against the same when nothing is known about the backend: its first response to the proxy has a
/// copy.
#[tokio::test]
async fn copy_of_the_very_first_response_is_dropped() {
    assert_first_copy_is_dropped(0, CopyDelivery::Whole).await;
}

/// Guards against the same when the backend has sent many responses without copies.
#[tokio::test]
async fn first_copy_after_many_distinct_responses_is_dropped() {
    assert_first_copy_is_dropped(50, CopyDelivery::Whole).await;
}

/// Guards against forwarding the head of a copy when it is received before the body.
#[tokio::test]
async fn first_copy_in_two_writes_is_dropped() {
    assert_first_copy_is_dropped(3, CopyDelivery::HeadThenBody).await;
}

/// Guards against taking the first of two responses in one write and discarding the second.
#[tokio::test]
async fn first_copy_coalesced_with_the_response_is_dropped() {
    assert_first_copy_is_dropped(3, CopyDelivery::WithResponse).await;
}

/// Checks that one client gets its own responses from a backend that sends one copy, and whose response to
/// the next request follows after `delay`.
async fn assert_delayed_response_is_awaited(delay: Duration) {
    const DISTINCT: usize = 20;
    let fixture = Fixture::new(Deployment::default(), CopyDelivery::Whole, |count, id| Exchange {
        response: own_response(id),
        has_copy: count == DISTINCT,
        is_held: count == DISTINCT + 1,
    })
    .await;
    let answers = fixture.call_sequentially("once", DISTINCT + CALLS, delay).await;
    fixture.assert_own_responses(answers);
}

/// Guards against ending the wait for the response after a copy too early, when the response takes longer than
/// any earlier response of its backend.
#[tokio::test]
async fn first_copy_300_ms_before_the_response_is_dropped() {
    assert_delayed_response_is_awaited(Duration::from_millis(300)).await;
}

/// Guards against the same when a third of the deadline has passed.
#[tokio::test]
async fn first_copy_1_s_before_the_response_is_dropped() {
    assert_delayed_response_is_awaited(Duration::from_secs(1)).await;
}

/// Guards against holding every second response of a backend whose responses differ at first, and which later
/// gives each response to two requests: waiting for another response after each possible copy delays every
/// second request.
#[tokio::test]
async fn later_equal_responses_delay_at_most_one_request() {
    const DISTINCT: usize = 20;
    const EQUAL_PAIRS: usize = 10;
    /// Longer than a response is held if its backend is known to send equal responses.
    const LONG_DELAY: Duration = Duration::from_millis(500);
    let received = AtomicUsize::new(0);
    let (_backend, _discovery, proxy) = start_scripted(move |_, _| {
        let count = received.fetch_add(1, SeqCst);
        let number = if count < DISTINCT { count } else { DISTINCT + (count - DISTINCT) / 2 };
        vec![Step::Write(response(200, "", &number.to_string()))]
    })
    .await;
    let mut client = proxy.client().await;
    let mut times = Vec::new();
    for _ in 0..DISTINCT + 2 * EQUAL_PAIRS {
        let started_at = Instant::now();
        let (_, (status, _)) = client.call_with_id(request_with_deadline("once", DEADLINE)).await;
        assert_eq!(status, 200);
        times.push(started_at.elapsed());
    }
    assert!(times.iter().filter(|&&time| time > LONG_DELAY).count() <= 1, "{times:?}");
}

/// Checks that one client gets its own responses from a backend that sends chunked responses.
async fn assert_first_chunked_copy_is_dropped(delivery: CopyDelivery) {
    let fixture = Fixture::new(Deployment::default(), delivery, |count, id| Exchange {
        response: chunked_response(id),
        has_copy: count >= 3,
        is_held: count > 3,
    })
    .await;
    let answers = fixture.call_sequentially("once", 3 + CALLS, RESPONSE_DELAY).await;
    fixture.assert_own_responses(answers);
}

/// Guards against missing the end of a chunked copy, which its framing states as a Content-Length does.
#[tokio::test]
async fn first_chunked_copy_is_dropped() {
    assert_first_chunked_copy_is_dropped(CopyDelivery::Whole).await;
}

/// Guards against forwarding the head of a chunked copy, which states no length, when it is received before
/// the body.
#[tokio::test]
async fn first_chunked_copy_in_two_writes_is_dropped() {
    assert_first_chunked_copy_is_dropped(CopyDelivery::HeadThenBody).await;
}

/// Guards against losing a response that directly follows the last chunk of a copy.
#[tokio::test]
async fn first_chunked_copy_coalesced_with_response_is_dropped() {
    assert_first_chunked_copy_is_dropped(CopyDelivery::WithResponse).await;
}

/// Returns a response in one chunk, the id of its request.
fn chunked_response(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{id}\r\n0\r\n\r\n").into_bytes()
}

/// Returns a response in two chunks, the id of its request and the padding.
fn padded_chunked_response(id: &str, padding: &str) -> Vec<u8> {
    let (head, length) = ("HTTP/1.1 200 X\r\nTransfer-Encoding: chunked", padding.len());
    format!("{head}\r\n\r\n10\r\n{id}\r\n{length:x}\r\n{padding}\r\n0\r\n\r\n").into_bytes()
}

/// Concurrent clients with one request at a time each, each request on its own connection to one of two
/// backends.
struct BusyClients {
    fixture: Fixture,
    clients: Vec<Client>,
    calls: JoinSet<(Client, IdentifiedResponse)>,
    answers: Vec<IdentifiedResponse>,
    rounds: usize,
}

impl BusyClients {
    async fn new(delivery: CopyDelivery) -> Self {
        // The concurrency limit of one unknown backend is lower than the number of clients, hence two
        // backends.
        let deployment = Deployment { backends: 2, ..Deployment::default() };
        let fixture = Fixture::new(deployment, delivery, |_, id| Exchange {
            response: own_response(id),
            has_copy: true,
            is_held: true,
        })
        .await;
        let mut clients = Vec::new();
        for _ in 0..CONCURRENT_CLIENTS {
            clients.push(fixture.proxy.client().await);
        }
        BusyClients { fixture, clients, calls: JoinSet::new(), answers: Vec::new(), rounds: 0 }
    }

    /// Sends one request for each client, and waits until all of them are held at the gate.
    async fn send_all(&mut self) {
        self.rounds += 1;
        for mut client in self.clients.drain(..) {
            self.calls.spawn(async move {
                let answer = client.call_with_id(request("once")).await;
                (client, answer)
            });
        }
        self.fixture.gate.wait_for_arrivals(self.rounds * CONCURRENT_CLIENTS).await;
    }

    /// Waits for the answers to all open requests.
    async fn receive_all(&mut self) {
        while let Some(call) = self.calls.join_next().await {
            let (client, answer) = call.expect("no panic");
            self.clients.push(client);
            self.answers.push(answer);
        }
    }

    /// Waits until `count` connections of the proxy to its backends have unread bytes.
    async fn wait_for_unread_responses(&self, count: usize) {
        let ports: Vec<u16> = self.fixture.backends.iter().map(|backend| backend.addr.port()).collect();
        let is_unread = |row: &TcpTableEntry| ports.contains(&row.remote_port) && row.unread_bytes > 0;
        in_time(async {
            while tcp_table().into_iter().filter(is_unread).count() < count {
                tokio::task::yield_now().await;
            }
        })
        .await;
    }
}

/// Guards against copies on all connections at once, before any response after a copy has shown that the
/// backends send copies.
#[tokio::test]
async fn first_copies_on_all_busy_connections_are_dropped() {
    let mut busy = BusyClients::new(CopyDelivery::Whole).await;
    for _ in 0..CALLS {
        busy.send_all().await;
        sleep(RESPONSE_DELAY).await;
        busy.fixture.gate.open(CONCURRENT_CLIENTS);
        busy.receive_all().await;
    }
    busy.fixture.assert_own_responses(busy.answers);
}

/// Guards against copies that the proxy reads on all connections in one turn, each together with the response
/// that follows it: what the first copy shows about its backend is known too late for the others and for
/// itself.
#[tokio::test]
async fn first_copies_read_with_the_responses_are_dropped() {
    let mut busy = BusyClients::new(CopyDelivery::WithResponse).await;
    // Given: on each connection one response, whose copy is still to come, and one open request.
    busy.send_all().await;
    busy.fixture.gate.open(CONCURRENT_CLIENTS);
    busy.receive_all().await;
    busy.send_all().await;
    // When: each connection has the copy and the response to the open request buffered before the proxy reads
    // again.
    busy.fixture.proxy.pause().await;
    busy.fixture.gate.open(CONCURRENT_CLIENTS);
    busy.wait_for_unread_responses(CONCURRENT_CLIENTS).await;
    busy.fixture.proxy.resume_process().await;
    busy.receive_all().await;
    // Then: each request gets its own response.
    busy.fixture.assert_own_responses(busy.answers);
}

/// Checks that one client gets its own responses from backends that answer the request after `errors_at`
/// others with an error, and send a copy of the error once they have read the next request.
async fn assert_error_copy_is_dropped(backends: usize, status: u16, headers: &'static str, errors_at: usize) {
    let runs = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
    let (backend_runs, received) = (runs.clone(), AtomicUsize::new(0));
    let deployment = Deployment { backends, latency_objective: LATENCY_OBJECTIVE };
    let fixture = Fixture::new(deployment, CopyDelivery::Whole, move |_, id| {
        let received_before = received.fetch_add(1, SeqCst);
        if received_before == errors_at {
            return Exchange { response: response(status, headers, ""), has_copy: true, is_held: false };
        }
        *backend_runs.lock().expect("no panic").entry(id.to_string()).or_default() += 1;
        Exchange { is_held: received_before > errors_at, ..Exchange::without_copy(own_response(id)) }
    })
    .await;
    let answers = fixture.call_sequentially("once", errors_at + 2 * CALLS, RESPONSE_DELAY).await;
    let runs = runs.lock().expect("no panic").clone();
    let is_correct = |(id, (status, body)): &IdentifiedResponse| {
        let served = runs.get(id).copied().unwrap_or_default();
        served <= 1 && (*status == 200) == (served == 1) && (*status != 200 || body == id)
    };
    let wrong: Vec<_> = answers.iter().enumerate().filter(|(_, answer)| !is_correct(answer)).collect();
    assert!(wrong.is_empty(), "{} of {}: {wrong:?}, runs {runs:?}", wrong.len(), answers.len());
    // At most one request is answered with the error.
    assert!(answers.iter().filter(|(_, (status, _))| *status != 200).count() <= 1, "{answers:?}");
}

/// Guards against rejecting a request that runs: the copy of a declined response states that it was not run.
#[tokio::test]
async fn copy_of_a_rejection_does_not_reject_the_next_request() {
    assert_error_copy_is_dropped(1, 503, "Srv-Declined: 1\r\n", 3).await;
}

/// Guards against the same when the first response of the backend is a declined one.
#[tokio::test]
async fn copy_of_a_first_rejection_does_not_reject_the_next() {
    assert_error_copy_is_dropped(1, 503, "Srv-Declined: 1\r\n", 0).await;
}

/// Guards against the same when another backend is left to retry the request on, so that it would run twice.
#[tokio::test]
async fn copy_of_a_rejection_does_not_cause_a_retry() {
    assert_error_copy_is_dropped(2, 503, "Srv-Declined: 1\r\n", 3).await;
}

/// Guards against failing a request with the copy of the previous error although the backend serves it.
#[tokio::test]
async fn copy_of_an_error_does_not_fail_the_next_request() {
    assert_error_copy_is_dropped(1, 500, "", 3).await;
}

/// Guards against the same when the first response of the backend is an error.
#[tokio::test]
async fn copy_of_a_first_error_does_not_fail_the_next_request() {
    assert_error_copy_is_dropped(1, 500, "", 0).await;
}

/// Checks requests of several clients to backends that send the same response to all of them, and a copy of
/// it where `has_copy` says so: each request is served and runs once, and the mean response time is bounded.
async fn assert_equal_responses_are_served(clients: usize, deadline: Duration, has_copy: fn(usize) -> bool) {
    let deployment = Deployment { backends: 2, latency_objective: LATENCY_OBJECTIVE };
    let fixture = Fixture::new(deployment, CopyDelivery::Whole, move |count, _| Exchange {
        has_copy: has_copy(count),
        ..Exchange::without_copy(response(200, "", "equal"))
    })
    .await;
    let fixture = Arc::new(fixture);
    let mut calls = JoinSet::new();
    let started_at = Instant::now();
    for _ in 0..clients {
        let fixture = fixture.clone();
        calls.spawn(async move {
            send_sequentially(&fixture.proxy, CALLS_PER_CLIENT, || request_with_deadline("once", deadline))
                .await
        });
    }
    let answers = calls.join_all().await.concat();
    let mean = started_at.elapsed() / u32::try_from(CALLS_PER_CLIENT).expect("few");
    let wrong: Vec<_> = answers.iter().filter(|(_, answer)| *answer != (200, "equal".to_string())).collect();
    assert!(wrong.is_empty(), "{} of {}: {:?}", wrong.len(), answers.len(), &wrong[..wrong.len().min(5)]);
    for (id, _) in answers {
        assert_eq!(fixture.times_received(&id), 1, "{id} ran twice or never");
    }
    assert!(
        mean <= LATENCY_OBJECTIVE.mul_f64(MAX_MEAN_OBJECTIVE_FRACTION),
        "the mean response time is {mean:?}"
    );
}

/// Guards against holding equal responses as if they were copies.
#[tokio::test]
async fn equal_responses_are_served_to_one_client() {
    assert_equal_responses_are_served(1, DEADLINE, |_| false).await;
}

/// Guards against the same on several connections at once.
#[tokio::test]
async fn equal_responses_are_served_to_busy_clients() {
    assert_equal_responses_are_served(CONCURRENT_CLIENTS, DEADLINE, |_| false).await;
}

/// Guards against holding equal responses beyond short deadlines.
#[tokio::test]
async fn equal_responses_are_served_within_short_deadlines() {
    for clients in [1, CONCURRENT_CLIENTS] {
        assert_equal_responses_are_served(clients, SHORT_DEADLINE, |_| false).await;
    }
}

/// Guards against dropping equal responses as copies where some of them are copies: their requests get no
/// answer.
#[tokio::test]
async fn equal_responses_some_of_them_copied_are_served() {
    for clients in [1, CONCURRENT_CLIENTS] {
        assert_equal_responses_are_served(clients, DEADLINE, |count| count % 5 == 4).await;
    }
}

/// Guards against holding declined responses, which are equal without being copies: the rejection reaches the
/// client too late for a retry.
#[tokio::test]
async fn equal_rejections_do_not_exceed_the_queue_time() {
    const REJECTED_CALLS: usize = 100;
    /// How far the mean may exceed the queue time, as for all time limits.
    const MEAN_SLACK: Duration = Duration::from_millis(50);
    /// How far each request may exceed the queue time, since other tests run at the same time.
    const SLACK: Duration = Duration::from_millis(150);
    let deployment = Deployment { latency_objective: LATENCY_OBJECTIVE, ..Deployment::default() };
    let declining = |_, _: &str| Exchange::without_copy(response(503, "Srv-Declined: 1\r\n", ""));
    let fixture = Fixture::new(deployment, CopyDelivery::Whole, declining).await;
    let fixture = Arc::new(fixture);
    let mut calls = JoinSet::new();
    for _ in 0..CONCURRENT_CLIENTS {
        let fixture = fixture.clone();
        calls.spawn(async move {
            let mut client = fixture.proxy.client().await;
            let mut times = Vec::new();
            for _ in 0..REJECTED_CALLS / CONCURRENT_CLIENTS {
                let started_at = Instant::now();
                let (_, (status, _)) = client.call_with_id(request_with_deadline("once", DEADLINE)).await;
                times.push((started_at.elapsed(), status));
            }
            times
        });
    }
    let times = calls.join_all().await.concat();
    assert!(times.iter().all(|&(_, status)| status == 503), "{times:?}");
    let late: Vec<_> = times.iter().filter(|&&(time, _)| time > LATENCY_OBJECTIVE + SLACK).collect();
    assert!(late.is_empty(), "{} of {}: {late:?}", late.len(), times.len());
    let sum: Duration = times.iter().map(|(time, _)| *time).sum();
    let max_sum = (LATENCY_OBJECTIVE + MEAN_SLACK) * u32::try_from(times.len()).expect("few");
    assert!(sum <= max_sum, "{sum:?} for {} requests", times.len());
}

/// A request whose response waits at the gate after the copy of the previous response.
struct HeldRequest {
    fixture: Fixture,
    id: String,
    client: TcpStream,
}

impl HeldRequest {
    /// Sends the request through a proxy that has served one request before, within `response_time`.
    async fn new(deadline: Duration, response_time: Duration) -> Self {
        let fixture = Fixture::new(Deployment::default(), CopyDelivery::Whole, |count, id| Exchange {
            response: own_response(id),
            has_copy: count == 0,
            is_held: count <= 1,
        })
        .await;
        let release_response = async {
            fixture.gate.wait_for_arrivals(1).await;
            sleep(response_time).await;
            fixture.gate.open(1);
        };
        let (answer, ()) = tokio::join!(fixture.proxy.call("once"), release_response);
        assert_eq!(answer.0, 200);
        let mut client = connect_tcp(fixture.proxy.addr).await;
        let id = "00000000f1257c09".to_string();
        let head = request_head("POST /once", &id);
        let deadline_header = format!("Req-Deadline-Ms: {}", deadline.as_millis());
        let head = head.replace("Req-Deadline-Ms: 60000", &deadline_header);
        client.write_all(head.as_bytes()).await.expect("open");
        fixture.gate.wait_for_arrivals(2).await;
        HeldRequest { fixture, id, client }
    }

    /// Returns what the client receives within some time, or until the end of its connection.
    async fn received_within(&mut self, time: Duration) -> String {
        let mut received = Vec::new();
        let _ = timeout(time, self.client.read_to_end(&mut received)).await;
        String::from_utf8(received).expect("text")
    }

    /// Checks that the proxy serves further requests, and that the held request has run once.
    async fn assert_others_are_served(&self) {
        let answers = self.fixture.call_sequentially("once", CALLS, Duration::ZERO).await;
        self.fixture.assert_own_responses(answers);
        assert_eq!(self.fixture.times_received(&self.id), 1);
    }
}

/// Guards against a connection to the backend that is reused after a client has disconnected while its
/// response was held: the next client on it would get that response.
#[tokio::test]
async fn response_held_at_a_disconnect_reaches_no_other_client() {
    // Given: a request whose response is held.
    let mut held = HeldRequest::new(DEADLINE, Duration::ZERO).await;
    assert_eq!(held.received_within(RESPONSE_DELAY).await, "", "a copy was passed on");
    // When: its client disconnects.
    held.client.shutdown().await.expect("open");
    // The proxy closes the connection of a client that has disconnected, in order or with a reset; there is
    // nothing left to read.
    let end = in_time(held.client.read_to_end(&mut Vec::new())).await;
    assert_eq!(end.unwrap_or_default(), 0);
    // Then: the next requests on the connection get their own responses.
    held.fixture.gate.open(1);
    held.assert_others_are_served().await;
}

/// Guards against wrong answers at the deadline of a request whose response is held until then, since
/// responses may take that long: the copy, two answers, a rejection, or none.
#[tokio::test]
async fn request_with_a_held_response_fails_at_its_deadline() {
    // Given: a request whose response is held.
    let mut held = HeldRequest::new(SHORT_DEADLINE, SHORT_DEADLINE / 4).await;
    // When: its deadline passes. Then: it fails without a 503, since it may have run.
    let answer = held.received_within(SHORT_DEADLINE + MAX_LATENESS).await;
    assert!(answer.starts_with("HTTP/1.1 5"), "{answer}");
    assert!(!answer.starts_with("HTTP/1.1 503"), "a rejection although the request may have run: {answer}");
    // When: the response is received. Then: it is not forwarded, and further requests are served.
    held.fixture.gate.open(1);
    assert_eq!(held.received_within(RESPONSE_DELAY).await, "", "a second answer");
    assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
    held.assert_others_are_served().await;
}

/// Guards against a graceful shutdown that ends the wait for a held response with the copy or without an
/// answer.
#[tokio::test]
async fn held_response_is_sent_during_a_graceful_shutdown() {
    // Given: a request whose response is held.
    let mut held = HeldRequest::new(DEADLINE, Duration::ZERO).await;
    // When: the proxy gets a SIGTERM before it receives the response.
    held.fixture.proxy.terminate().await;
    sleep(RESPONSE_DELAY).await;
    held.fixture.gate.open(1);
    // Then: the request is answered with its own response.
    let answer = held.received_within(DEADLINE).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.ends_with(&held.id), "{answer}");
    assert_eq!(held.fixture.times_received(&held.id), 1);
}

/// Checks that one client gets its own responses of `length` bytes of padding from a backend that begins to
/// send copies.
async fn assert_first_copy_of_length_is_dropped(length: usize) {
    let padding = "x".repeat(length);
    let fixture = Fixture::new(Deployment::default(), CopyDelivery::Whole, move |count, id| Exchange {
        response: response(200, "", &format!("{id}{padding}")),
        has_copy: count >= 3,
        is_held: count > 3,
    })
    .await;
    let answers = fixture.call_sequentially("once", 3 + CALLS, RESPONSE_DELAY).await;
    let strip_padding = |(id, (status, body)): IdentifiedResponse| {
        assert!(status != 200 || body.len() == id.len() + length, "the body has the wrong length");
        (id, (status, body.trim_end_matches('x').to_string()))
    };
    fixture.assert_own_responses(answers.into_iter().map(strip_padding).collect());
}

/// Guards against forwarding the copy of a response that is too long to be stored as a whole for the
/// comparison.
#[tokio::test]
async fn first_copy_of_a_long_response_is_dropped() {
    assert_first_copy_of_length_is_dropped(20 * 1024).await;
}

/// Guards against the same for responses that are longer than the buffer, and therefore streamed.
#[tokio::test]
async fn first_copy_of_a_streamed_response_is_dropped() {
    assert_first_copy_of_length_is_dropped(100 * 1024).await;
}

/// Guards against the same for chunked responses, whose length is known only with the last chunk.
#[tokio::test]
async fn first_copy_of_a_streamed_chunked_response_is_dropped() {
    const PADDING_BYTES: usize = 100 * 1024;
    let padding = "x".repeat(PADDING_BYTES);
    let fixture = Fixture::new(Deployment::default(), CopyDelivery::Whole, move |count, id| Exchange {
        response: padded_chunked_response(id, &padding),
        has_copy: count >= 3,
        is_held: count > 3,
    })
    .await;
    let mut answers = fixture.call_sequentially("once", 3 + CALLS, RESPONSE_DELAY).await;
    for (id, (_, body)) in &mut answers {
        assert_eq!(body.len(), id.len() + PADDING_BYTES, "the body has the wrong length");
        body.truncate(id.len());
    }
    fixture.assert_own_responses(answers);
}

/// Guards against connections that stay open without being reused, and count against the limit of their
/// backend.
#[tokio::test]
async fn connection_closes_after_a_response_too_long_to_compare() {
    let backend = RawBackend::start().await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    // When: a response is longer than the part that can be compared.
    let mut client = RawConnection::connect(proxy.addr).await;
    client.write(request_head("GET /look", "long")).await;
    let mut connection = backend.accept().await;
    connection.read_request().await.expect("a request");
    let body = "x".repeat(100 * 1024);
    connection.write(response(200, "", &body)).await;
    // Then: it is forwarded, and its connection is closed.
    assert_eq!(client.read_answer().await, Some((200, body)));
    assert_eq!(connection.read_to_close().await, b"");
}

/// Guards against closing a connection after a long response that can be compared as a whole.
#[tokio::test]
async fn comparable_streamed_responses_share_one_connection() {
    let padding = "x".repeat(70 * 1024);
    let connections = Arc::new(AtomicUsize::new(0));
    let opened = connections.clone();
    let (_backend, _discovery, proxy) = start_scripted(move |count, id| {
        if count == 0 {
            opened.fetch_add(1, SeqCst);
        }
        vec![Step::Write(response(200, "", &format!("{id}{padding}")))]
    })
    .await;
    for (id, (status, body)) in call_sequentially(&proxy, "once", CALLS).await {
        assert_eq!((status, body.trim_end_matches('x')), (200, id.as_str()));
    }
    assert_eq!(connections.load(SeqCst), 1);
}

/// Guards against concluding that a backend sends equal responses to different requests because it sent the
/// same errors to different requests.
#[tokio::test]
async fn first_copy_after_different_errors_is_dropped() {
    const ERRORS: usize = 4;
    /// An error, a distinct response, the same error on another connection, and a distinct response.
    const CALLS_PER_ERROR: usize = 4;
    const CALLS_WITHOUT_COPIES: usize = ERRORS * CALLS_PER_ERROR;
    let received = AtomicUsize::new(0);
    let fixture = Fixture::new(Deployment::default(), CopyDelivery::Whole, move |_, id| {
        let number = received.fetch_add(1, SeqCst);
        if number < CALLS_WITHOUT_COPIES && number.is_multiple_of(2) {
            return Exchange::without_copy(response(500, "", &format!("cause {}", number / CALLS_PER_ERROR)));
        }
        Exchange {
            response: own_response(id),
            has_copy: number > CALLS_WITHOUT_COPIES,
            is_held: number > CALLS_WITHOUT_COPIES + 1,
        }
    })
    .await;
    let mut answers =
        fixture.call_sequentially("once", CALLS_WITHOUT_COPIES + 2 * CALLS, RESPONSE_DELAY).await;
    assert!(
        answers[..CALLS_WITHOUT_COPIES].iter().step_by(2).all(|(_, (status, _))| *status != 200),
        "{answers:?}"
    );
    fixture.assert_own_responses(answers.split_off(CALLS_WITHOUT_COPIES));
}

/// Starts a backend that follows a script, and a proxy in front of it.
async fn start_scripted(
    script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static,
) -> (ScriptedBackend, Discovery, Proxy) {
    let backend = ScriptedBackend::start(script).await;
    let discovery = Discovery::start(vec![endpoint("backend-0", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    (backend, discovery, proxy)
}

/// Guards against losing a response that is read together with the first bytes of its copy, which are taken
/// for the rest of its body.
#[tokio::test]
async fn response_followed_by_a_partial_copy_is_served() {
    let mut lost = Vec::new();
    for length in 1..=8 {
        let (_backend, _discovery, proxy) = start_scripted(move |_, id| {
            let response = own_response(id);
            let (begin, rest) = response.split_at(length);
            let written = [response.as_slice(), begin].concat();
            vec![Step::Write(written), Step::Pause(PIECE_DELAY), Step::Write(rest.to_vec())]
        })
        .await;
        let (id, answer) = call_sequentially(&proxy, "once", 1).await.remove(0);
        if answer != (200, id) {
            lost.push((length, answer));
        }
    }
    assert!(lost.is_empty(), "{lost:?}");
}

/// Guards against opening a connection for each equal response in two writes, because the previous connection
/// is not reused for a while after such a response.
#[tokio::test]
async fn equal_responses_in_two_writes_need_few_connections() {
    const MAX_CONNECTIONS: usize = 5;
    let connections = Arc::new(AtomicUsize::new(0));
    let opened = connections.clone();
    let (_backend, _discovery, proxy) = start_scripted(move |count, _| {
        if count == 0 {
            opened.fetch_add(1, SeqCst);
        }
        let response = response(200, "", "equal");
        let (head, body) = response.split_at(response.len() - "equal".len());
        vec![Step::Write(head.to_vec()), Step::Pause(PIECE_DELAY), Step::Write(body.to_vec())]
    })
    .await;
    for (_, answer) in call_sequentially(&proxy, "once", 8 * MAX_CONNECTIONS).await {
        assert_eq!(answer, (200, "equal".to_string()));
    }
    let connections = connections.load(SeqCst);
    assert!(connections <= MAX_CONNECTIONS, "{connections}");
}

/// Guards against holding an error after a copy for as long as the copy itself would have been held.
#[tokio::test]
async fn equal_error_after_a_copy_is_held_only_briefly() {
    /// An error is held for at most half a second.
    const MAX_TIME: Duration = Duration::from_secs(1);
    let (first, error) = (response(200, "", "first"), response(500, "", ""));
    let (_backend, _discovery, proxy) = start_scripted(move |count, _| match count {
        0 => vec![Step::Write(first.clone())],
        1 => vec![Step::Write(error.clone())],
        _ => vec![Step::Write(first.clone()), Step::Pause(RESPONSE_DELAY), Step::Write(error.clone())],
    })
    .await;
    let mut client = proxy.client().await;
    for status in [200, 500] {
        let (_, answer) = client.call_with_id(request_with_deadline("once", DEADLINE)).await;
        assert_eq!(answer.0 == 200, status == 200);
    }
    // After an error, the connection is not reused for a while.
    sleep(3 * RESPONSE_DELAY).await;
    let started_at = Instant::now();
    let (_, (status, _)) = client.call_with_id(request_with_deadline("once", DEADLINE)).await;
    assert_ne!(status, 200, "the copy was passed on");
    assert!(started_at.elapsed() < MAX_TIME, "{:?}", started_at.elapsed());
}

/// Guards against forwarding a copy that is received while its request is still being written, because the
/// longest hold time counts from when the copy was received.
#[tokio::test]
async fn copy_received_long_before_the_request_ends_is_dropped() {
    const BODY_BYTES: usize = 100_000;
    /// More than the proxy buffers, so that it begins to stream the request to the backend.
    const FIRST_BYTES: usize = 70_000;
    const PIECES: usize = 50;
    /// Longer than any response is held.
    const UPLOAD_TIME: Duration = Duration::from_secs(3);
    let (first, other) = (response(200, "", "first"), response(200, "", "other"));
    let (_backend, _discovery, proxy) = start_scripted(move |count, _| match count {
        0 => vec![Step::Write(first.clone())],
        _ => vec![
            Step::Write(first.clone()),
            Step::Pause(UPLOAD_TIME + RESPONSE_DELAY),
            Step::Write(other.clone()),
            // The rest of the request is not read.
            Step::Pause(RESPONSE_DELAY),
            Step::Close,
        ],
    })
    .await;
    assert_eq!(proxy.call("once").await, (200, "first".to_string()));
    let mut client = connect_tcp(proxy.addr).await;
    let head = request_head("POST /once", "00000000f1257c0a");
    let length = format!("\r\nContent-Length: {BODY_BYTES}\r\n\r\n");
    client.write_all(head.replace("\r\n\r\n", &length).as_bytes()).await.expect("open");
    client.write_all(&[b'x'; FIRST_BYTES]).await.expect("open");
    let mut received = Vec::new();
    for _ in 0..PIECES {
        client.write_all(&[b'x'; (BODY_BYTES - FIRST_BYTES) / PIECES]).await.expect("open");
        let early = timeout(UPLOAD_TIME / PIECES as u32, client.read_buf(&mut received)).await;
        let received = String::from_utf8_lossy(&received);
        assert!(early.is_err(), "an answer before the response: {received}");
    }
    while ![b"first", b"other"].iter().any(|body| received.ends_with(*body)) {
        assert_ne!(in_time(client.read_buf(&mut received)).await.expect("an answer"), 0);
    }
    assert!(received.ends_with(b"other"), "{}", String::from_utf8_lossy(&received));
}
