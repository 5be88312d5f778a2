//! The table of endings: each phase of a request, crossed with what can end it. Whatever happens, a client that
//! stays gets one complete response in its time, unless its response was begun and its backend spoils the rest.

mod support;

use serde_json::Value;
use std::net::SocketAddr;
use std::process::ExitStatus;
use std::time::{Duration, Instant};
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{sleep, timeout};

/// The longest deadline of the settings.
const LONGEST_DEADLINE: Duration = Duration::from_secs(3);
/// The deadline of a request that is to reach it.
const SHORT_DEADLINE: Duration = Duration::from_millis(600);
/// By when a final answer must be there, behind the client's deadline.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(50);
/// How soon after SIGTERM a kill may follow, beyond the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// How long after its client's close an attempt may still begin.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(100);
/// How long a client that stops in the middle of its request may wait for an error.
const MAX_READ_TIME: Duration = Duration::from_secs(3);
/// How long the endings work before the backend goes on.
const EFFECT_TIME: Duration = Duration::from_millis(150);
const SHORT_BODY_BYTES: usize = 2_000;
/// The longest body that is buffered.
const BUFFERED_BODY_BYTES: usize = 65_536;
const LONG_BODY_BYTES: usize = 200_000;
const REQUEST_BODY_BYTES: usize = 20_000;
/// More than a client may write behind its request.
const BYTES_AHEAD: usize = 40_000;
/// The least that a configuration may state.
const FEW_DESCRIPTORS: usize = 64;
/// Memory that has places for [`MEMORY_HOLDERS`] and this request, and less for buffered responses than they take.
const LITTLE_MEMORY_MB: usize = 16;
/// More idle clients than there are places for.
const CROWD_SIZE: usize = 80;
/// The requests whose responses use up the memory for buffered ones.
const MEMORY_HOLDERS: usize = 18;
/// The names under which the backend is listed, so that there is another one for a retry.
const ENDPOINT_NAMES: [&str; 8] = ["a", "b", "c", "d", "e", "f", "g", "h"];

/// The phase in which a request is when something ends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reading,
    Queued,
    Connecting,
    Sent,
    HeadThere,
    PartOfBody,
    Forwarding,
    Answered,
}

impl Phase {
    const ALL: [Phase; 8] = [
        Phase::Reading,
        Phase::Queued,
        Phase::Connecting,
        Phase::Sent,
        Phase::HeadThere,
        Phase::PartOfBody,
        Phase::Forwarding,
        Phase::Answered,
    ];

    fn stage(self) -> Stage {
        match self {
            Phase::Reading | Phase::Queued | Phase::Connecting | Phase::Sent => Stage::RequestRead,
            Phase::HeadThere => Stage::HeadWritten,
            Phase::PartOfBody => Stage::PartWritten,
            Phase::Forwarding => Stage::LongPartWritten,
            Phase::Answered => Stage::ResponseWritten,
        }
    }

    /// Returns the forms of the response that differ in this phase.
    fn responses(self) -> Vec<StagedResponse> {
        use Framing::{Chunked, ConnectionClose, Length};
        let forms: &[(Framing, usize)] = match self {
            Phase::Reading | Phase::Queued | Phase::Connecting | Phase::Sent => &[(Length, SHORT_BODY_BYTES)],
            Phase::HeadThere | Phase::PartOfBody => &[
                (Length, SHORT_BODY_BYTES),
                (Length, BUFFERED_BODY_BYTES),
                (Length, BUFFERED_BODY_BYTES + 1),
                (Chunked, SHORT_BODY_BYTES),
                (ConnectionClose, SHORT_BODY_BYTES),
            ],
            Phase::Forwarding => {
                &[(Length, LONG_BODY_BYTES), (Chunked, LONG_BODY_BYTES), (ConnectionClose, LONG_BODY_BYTES)]
            }
            Phase::Answered => &[
                (Length, SHORT_BODY_BYTES),
                (Length, BUFFERED_BODY_BYTES),
                (Chunked, BUFFERED_BODY_BYTES),
                (Length, LONG_BODY_BYTES),
            ],
        };
        let stage = self.stage();
        forms.iter().map(|&(framing, body_bytes)| StagedResponse { stage, framing, body_bytes }).collect()
    }

    /// Returns whether the backend has the request.
    fn is_at_backend(self) -> bool {
        !matches!(self, Phase::Reading | Phase::Queued | Phase::Connecting)
    }
}

/// What ends a request, or tries to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    BackendCloses,
    BackendResets,
    BackendWritesGarbage,
    ClientCloses,
    /// The client writes a few bytes behind its request that are no request.
    ClientWritesGarbage,
    /// The client writes more behind its request than is read before the response.
    ClientWritesAhead,
    Deadline,
    /// The proxy gets SIGTERM.
    Termination,
    /// The operator drains the proxy.
    ProxyDrain,
    BackendDrains,
    BackendRemoved,
    /// Idle clients take all places.
    Eviction,
    /// Other responses use up the memory.
    Memory,
    /// The process can't open any further descriptor.
    Descriptors,
    /// Other settings come into force.
    Settings,
}

impl Cause {
    /// Returns how the backend spoils its response, if it is the cause.
    fn backend_fault(self) -> Option<Continuation> {
        match self {
            Cause::BackendCloses => Some(Continuation::Close),
            Cause::BackendResets => Some(Continuation::Reset),
            Cause::BackendWritesGarbage => Some(Continuation::Garbage),
            _ => None,
        }
    }
}

/// What a case must not show.
#[derive(Debug, thiserror::Error)]
enum Broken {
    #[error("ended otherwise than allowed: {}", .0.summary())]
    Ending(Exchange),
    #[error("another client got {}", .0.summary())]
    OtherClient(Exchange),
    #[error("ran {0} times")]
    RanAgain(usize),
    #[error("{0} requests began for it")]
    BeganAfterDisconnect(usize),
    #[error("exited with {0}")]
    Exit(ExitStatus),
    #[error("did not exit")]
    NoExit,
}

/// One cell of the table, with the form of the response.
#[derive(Debug, Clone, Copy)]
struct Case {
    class: &'static str,
    phase: Phase,
    cause: Cause,
    response: StagedResponse,
}

/// A request that is in its phase.
struct Scene {
    case: Case,
    proxy: Proxy,
    discovery: Discovery,
    addr: SocketAddr,
    /// The listener of the backend, until it serves.
    listener: Option<TcpListener>,
    backend: Option<StagedBackend>,
    /// Keeps the backend's accept queue full.
    backlog: Vec<TcpStream>,
    /// Becomes `None` when the client closes its connection.
    client: Option<StrictClient>,
    request: StrictRequest,
    /// Clients that take places or memory.
    others: Vec<RawConnection>,
}

impl Case {
    fn deadline(&self) -> Duration {
        if self.cause == Cause::Deadline { SHORT_DEADLINE } else { LONGEST_DEADLINE }
    }

    fn settings(&self) -> Value {
        let mut settings = settings();
        settings["caps"]["connectTimeout"] = 2_500.0.into();
        for class in settings["classes"].as_array_mut().expect("a list") {
            class["aim"] = 1_200.0.into();
            class["giveUp"] = (LONGEST_DEADLINE.as_millis() as f64).into();
        }
        settings
    }

    fn config(&self, discovery: &Discovery) -> Value {
        let mut config = discovery.config(self.settings());
        config["management"] = "127.0.0.1:0".into();
        match self.cause {
            Cause::Eviction => config["limits"]["sockets"] = FEW_DESCRIPTORS.into(),
            Cause::Memory => config["limits"]["memory_mb"] = LITTLE_MEMORY_MB.into(),
            _ => {}
        }
        config
    }

    /// Returns the number of requests that use up the memory before this one.
    fn partly_answered(&self) -> usize {
        if self.cause == Cause::Memory { MEMORY_HOLDERS } else { 0 }
    }

    /// Returns the number of endpoints. Each takes only a few requests at a time.
    fn endpoint_count(&self) -> usize {
        if self.cause == Cause::Memory { ENDPOINT_NAMES.len() } else { 2 }
    }

    /// Returns whether the cause can meet a request in this phase and form.
    fn is_possible(&self) -> bool {
        match self.cause {
            // The end of the connection is the end of such a response, whatever comes before it.
            Cause::BackendWritesGarbage if self.response.framing == Framing::ConnectionClose => false,
            cause if cause.backend_fault().is_some() => self.phase.is_at_backend(),
            // The request is in the queue because its backend drains.
            Cause::BackendDrains | Cause::BackendRemoved => self.phase != Phase::Queued,
            // What it writes is its request.
            Cause::ClientWritesGarbage | Cause::ClientWritesAhead => self.phase != Phase::Reading,
            // No backend can be connected to when these come into force.
            Cause::Descriptors | Cause::Memory => self.phase.is_at_backend(),
            _ => true,
        }
    }

    /// Returns whether the response is longer than what is buffered.
    fn is_long(&self) -> bool {
        self.response.body_bytes > BUFFERED_BODY_BYTES
    }

    /// Returns whether a part of the response was forwarded before its backend spoils the rest.
    fn is_forwarding(&self) -> bool {
        match self.phase {
            Phase::PartOfBody => self.is_long(),
            Phase::Forwarding => true,
            _ => false,
        }
    }

    /// Returns whether a part of the response may be forwarded although what its backend writes is invalid: the
    /// beginning of the body, or what follows a body that a slow client has not read to its end.
    fn may_be_forwarded_with_garbage(&self) -> bool {
        let is_length_declared = self.response.framing == Framing::Length;
        let is_behind_body = self.phase == Phase::Answered;
        self.cause == Cause::BackendWritesGarbage
            && self.is_long()
            && (is_behind_body || is_length_declared && self.phase == Phase::HeadThere)
    }

    /// Returns whether the response may be forwarded at the deadline although it is not complete.
    fn may_be_forwarded_at_deadline(&self) -> bool {
        let has_short_length = self.response.framing == Framing::Length && !self.is_long();
        matches!(self.phase, Phase::HeadThere | Phase::PartOfBody | Phase::Forwarding) && !has_short_length
    }

    /// Brings a request into its phase.
    async fn begin(self) -> Scene {
        let (listener, backlog) = match self.phase {
            Phase::Connecting => listener_with_full_backlog().await,
            _ => (TcpListener::bind("127.0.0.1:0").await.expect("bind a port"), Vec::new()),
        };
        let addr = listener.local_addr().expect("a local address");
        let names = ENDPOINT_NAMES.iter().take(self.endpoint_count());
        let endpoints = names.map(|name| endpoint(name, addr, "SERVING")).collect();
        let discovery = Discovery::start(endpoints).await;
        let command = match self.cause {
            Cause::Descriptors => format!("ulimit -n {FEW_DESCRIPTORS}; exec \"$0\""),
            _ => "exec \"$0\"".into(),
        };
        let mut proxy = Proxy::start_with_command(&self.config(&discovery), &command).await;
        discovery.wait_until_applied().await;
        if self.cause != Cause::Settings {
            proxy.discard_log();
        }
        let mut request = StrictRequest::new(self.class, self.deadline());
        request.body.resize(if self.class == "look" { 0 } else { REQUEST_BODY_BYTES }, b'x');
        // The response does not fit into the client's receive buffer.
        let client = Some(StrictClient::on(RawConnection::connect_with_small_buffer(proxy.addr).await));
        let mut scene = Scene {
            case: self,
            proxy,
            discovery,
            addr,
            listener: Some(listener),
            backend: None,
            backlog,
            client,
            request,
            others: Vec::new(),
        };
        scene.reach_phase().await;
        scene
    }

    /// Plays the case, and returns what was broken.
    async fn play(self) -> Option<String> {
        let mut scene = self.begin().await;
        scene.apply_cause().await;
        let broken = if self.cause == Cause::ClientCloses {
            scene.check_after_disconnect().await
        } else {
            let exchange = scene.finish().await;
            scene.check(exchange).await
        };
        broken.err().map(|broken| format!("{self:?}: {broken}"))
    }
}

impl Scene {
    fn backend(&self) -> &StagedBackend {
        self.backend.as_ref().expect("a serving backend")
    }

    fn client(&mut self) -> &mut StrictClient {
        self.client.as_mut().expect("a client that has not closed its connection")
    }

    fn endpoint(&self, health: &str) -> Value {
        endpoint("a", self.addr, health)
    }

    /// Serves the connections of the backend from now on.
    fn start_backend(&mut self) {
        let listener = self.listener.take().expect("a listener");
        self.backlog.clear();
        let (response, partly_answered) = (self.case.response, self.case.partly_answered());
        self.backend = Some(StagedBackend::on(listener, response, partly_answered));
    }

    async fn reach_phase(&mut self) {
        if self.case.phase == Phase::Connecting {
            self.send().await;
            wait_for_connect_attempt(self.addr).await;
            return;
        }
        self.start_backend();
        match self.case.phase {
            Phase::Reading => {
                let text = self.request.head();
                self.client().connection.write(text).await;
                self.wait_until_read().await;
            }
            Phase::Queued => {
                let drained = self.endpoint("DRAINING");
                self.discovery.publish(vec![drained]).await;
                self.send().await;
                self.wait_until_read().await;
            }
            _ => {
                self.use_up_memory().await;
                self.send().await;
                self.backend().wait_until_reached(self.case.partly_answered() + 1).await;
            }
        }
        if self.case.is_forwarding() {
            self.client().receive_at_least(1).await;
        }
    }

    async fn send(&mut self) {
        let request = self.request.clone();
        self.client().send(&request).await;
    }

    async fn wait_until_read(&mut self) {
        let client = &self.client.as_ref().expect("a client").connection;
        wait_until_read(&self.proxy, client).await;
    }

    /// Lets other requests hold memory for their responses.
    async fn use_up_memory(&mut self) {
        for count in 1..=self.case.partly_answered() {
            let mut client = StrictClient::connect(&self.proxy).await;
            client.send(&StrictRequest::new("once", LONGEST_DEADLINE)).await;
            self.others.push(client.connection);
            self.backend().wait_until_reached(count).await;
        }
    }

    /// Lets the cause work.
    async fn apply_cause(&mut self) {
        match self.case.cause {
            Cause::BackendCloses | Cause::BackendResets | Cause::BackendWritesGarbage => {
                sleep(EFFECT_TIME).await;
                self.backend().proceed(self.case.cause.backend_fault().expect("a fault of the backend"));
            }
            Cause::ClientCloses => self.client = None,
            Cause::ClientWritesGarbage => self.client().send_ahead(b"!?\r\n\r\n").await,
            Cause::ClientWritesAhead => self.client().send_ahead(&vec![b'!'; BYTES_AHEAD]).await,
            Cause::Deadline => sleep(SHORT_DEADLINE).await,
            Cause::Termination => self.proxy.terminate_without_log().await,
            Cause::ProxyDrain => {
                assert_eq!(self.proxy.call_admin("POST", "/v1/proxy/drain").await, 200);
            }
            Cause::BackendDrains => {
                let draining = self.endpoint("DRAINING");
                self.discovery.publish(vec![draining]).await;
            }
            Cause::BackendRemoved => self.discovery.publish(Vec::new()).await,
            Cause::Eviction | Cause::Descriptors => self.crowd().await,
            Cause::Memory => {}
            Cause::Settings => self.reload().await,
        }
        if self.case.cause != Cause::Deadline {
            sleep(EFFECT_TIME).await;
        }
    }

    /// Connects idle clients until there is no place left.
    async fn crowd(&mut self) {
        for _ in 0..CROWD_SIZE {
            let connected = timeout(EFFECT_TIME, RawConnection::connect(self.proxy.addr)).await;
            self.others.extend(connected);
        }
    }

    /// Brings settings into force under which the request would have no time and no class of its own.
    async fn reload(&mut self) {
        let mut config = self.case.config(&self.discovery);
        for class in config["settings"]["classes"].as_array_mut().expect("a list") {
            class["aim"] = 10.0.into();
            class["giveUp"] = 20.0.into();
            class["name"] = format!("new-{}", class["name"].as_str().expect("text")).into();
        }
        self.proxy.reload(&config.to_string(), "configuration applied").await;
    }

    /// Lets everything go on that the cause did not end, and returns what the client sees.
    async fn finish(&mut self) -> Exchange {
        match self.case.phase {
            // A client that stops in the middle of its request gets an error.
            Phase::Reading if self.case.cause == Cause::Deadline => {
                self.client().begin_waiting();
                return self.client().finish(MAX_READ_TIME).await;
            }
            Phase::Reading => {
                let body = self.request.body.clone();
                let _ = self.client().connection.stream.write_all(&body).await;
                self.client().begin_waiting();
                self.backend().proceed(Continuation::Complete);
            }
            _ if self.case.cause == Cause::Deadline && !self.case.may_be_forwarded_at_deadline() => {}
            Phase::Queued => {
                let serving = self.endpoint("SERVING");
                self.discovery.publish(vec![serving]).await;
                self.backend().proceed(Continuation::Complete);
            }
            Phase::Connecting => {
                self.start_backend();
                self.backend().proceed(Continuation::Complete);
            }
            _ if self.case.cause.backend_fault().is_some() => {}
            _ => self.backend().proceed(Continuation::Complete),
        }
        let wait = self.case.deadline() + ANSWER_TOLERANCE;
        let extension = if self.case.is_forwarding() || self.case.may_be_forwarded_at_deadline() {
            TEST_TIMEOUT
        } else {
            Duration::ZERO
        };
        self.client().finish(wait + extension).await
    }

    /// Returns whether a response is the backend's to this request.
    fn is_served(&self, ending: &Ending) -> bool {
        let Ending::Answered { status: 200, body } = ending else { return false };
        let own_body = self.case.response.body(&self.request.id);
        let is_shortened = self.case.response.framing == Framing::ConnectionClose
            && self.case.cause == Cause::BackendCloses
            && own_body.starts_with(body);
        *body == own_body || body == self.request.id.as_bytes() || is_shortened
    }

    /// Returns whether a request may end with an error under this cause.
    fn may_fail(&self) -> bool {
        match self.case.cause {
            Cause::BackendCloses | Cause::BackendResets | Cause::BackendWritesGarbage => {
                !self.case.is_forwarding() && self.case.phase != Phase::Answered
            }
            Cause::Deadline => !matches!(self.case.phase, Phase::Forwarding | Phase::Answered),
            // There is no backend left.
            Cause::BackendDrains | Cause::BackendRemoved => !self.case.phase.is_at_backend(),
            // What lies unread behind a request may hide that its client has left.
            Cause::ClientWritesAhead => !self.case.phase.is_at_backend(),
            // A request that is read under the new settings has no class.
            Cause::Settings => self.case.phase == Phase::Reading,
            _ => false,
        }
    }

    /// Checks what the client saw, and that the proxy works on.
    async fn check(&mut self, exchange: Exchange) -> Result<(), Broken> {
        let is_spoilt = self.case.cause.backend_fault().is_some();
        let is_allowed = match &exchange.ending {
            ending @ Ending::Answered { status: 200, .. } => self.is_served(ending),
            Ending::Answered { .. } => self.may_fail(),
            Ending::Truncated { status: 200, body_bytes } => {
                let is_begun = self.case.is_forwarding() || self.case.may_be_forwarded_with_garbage();
                is_spoilt && is_begun && *body_bytes > 0
            }
            // A client that stops in the middle of its request may be closed upon.
            Ending::Unanswered => self.case.phase == Phase::Reading && self.case.cause == Cause::Deadline,
            Ending::Truncated { .. } | Ending::Pending { .. } => false,
        };
        if !is_allowed {
            return Err(Broken::Ending(exchange));
        }
        let times_run = self.backend.as_ref().map_or(0, |backend| backend.times_read(&self.request.id));
        if self.case.class == "once" && times_run > 1 {
            return Err(Broken::RanAgain(times_run));
        }
        if self.case.cause == Cause::Termination {
            return self.check_exit().await;
        }
        Ok(())
    }

    /// Checks that the process ends by itself before it would be killed.
    async fn check_exit(&mut self) -> Result<(), Broken> {
        let exited = timeout(LONGEST_DEADLINE + KILL_MARGIN, self.proxy.wait_for_exit()).await;
        match exited {
            Ok(status) if status.success() => Ok(()),
            Ok(status) => Err(Broken::Exit(status)),
            Err(_) => Err(Broken::NoExit),
        }
    }

    /// Checks that nothing is begun for a client that has closed its connection, and that others are served.
    async fn check_after_disconnect(&mut self) -> Result<(), Broken> {
        let closed_at = Instant::now() - EFFECT_TIME;
        let is_given_up = self.case.phase.is_at_backend() && self.case.phase != Phase::Answered;
        if is_given_up {
            self.backend().wait_until_given_up().await;
        }
        if self.backend.is_none() {
            self.start_backend();
        }
        if self.case.phase == Phase::Queued {
            let serving = self.endpoint("SERVING");
            self.discovery.publish(vec![serving]).await;
        }
        self.backend().proceed(Continuation::Complete);
        let mut other = StrictClient::connect(&self.proxy).await;
        other.send(&StrictRequest::new("look", LONGEST_DEADLINE)).await;
        let exchange = other.finish(LONGEST_DEADLINE + ANSWER_TOLERANCE).await;
        if exchange.ending.status() != Some(200) {
            return Err(Broken::OtherClient(exchange));
        }
        match self.backend().requests_after(closed_at + DISCONNECT_TOLERANCE) {
            1 => Ok(()),
            count => Err(Broken::BeganAfterDisconnect(count - 1)),
        }
    }
}

/// Returns the cases of one cause.
fn cases(cause: Cause) -> Vec<Case> {
    let mut cases = Vec::new();
    for phase in Phase::ALL {
        for response in phase.responses() {
            for class in ["look", "once"] {
                cases.push(Case { class, phase, cause, response });
            }
        }
    }
    // A request without a body is never in the middle of it.
    cases.retain(|case| case.is_possible() && !(case.phase == Phase::Reading && case.class == "look"));
    cases
}

/// Plays all cases of the causes.
async fn play_all(causes: &[Cause]) {
    let all_cases = causes.iter().copied().flat_map(cases);
    expect_none_broken(all_cases.map(Case::play)).await;
}

/// Guards against a request that ends without an answer because its backend does.
#[tokio::test]
async fn request_whose_backend_fails_gets_one_answer_in_each_phase() {
    play_all(&[Cause::BackendCloses, Cause::BackendResets, Cause::BackendWritesGarbage]).await;
}

/// Guards against work that begins for a client that has left, and against harm to others.
#[tokio::test]
async fn nothing_begins_for_a_client_that_closes_in_each_phase() {
    play_all(&[Cause::ClientCloses]).await;
}

/// Guards against a request that has no answer when its time is over.
#[tokio::test]
async fn request_gets_its_answer_by_the_deadline_in_each_phase() {
    play_all(&[Cause::Deadline]).await;
}

/// Guards against a request that is lost in a planned stop, or in a drain of its proxy or its backend.
#[tokio::test]
async fn request_is_answered_through_drains_in_each_phase() {
    let drains = [Cause::Termination, Cause::ProxyDrain, Cause::BackendDrains, Cause::BackendRemoved];
    play_all(&drains).await;
}

/// Guards against a request that is ended to make room for others.
#[tokio::test]
async fn request_is_answered_without_resources_in_each_phase() {
    play_all(&[Cause::Eviction, Cause::Memory, Cause::Descriptors]).await;
}

/// Guards against a response that is lost because its client has written more than its request.
#[tokio::test]
async fn request_of_a_client_that_writes_more_is_answered_in_each_phase() {
    play_all(&[Cause::ClientWritesGarbage, Cause::ClientWritesAhead]).await;
}

/// Guards against a request that is ended by other settings.
#[tokio::test]
async fn request_is_answered_under_other_settings_in_each_phase() {
    play_all(&[Cause::Settings]).await;
}
