//! The stand-ins of the cases 6 to 10: clients, backends, discovery and the platform, and the play of each
//! case. Threads and blocking sockets of the standard library; every address is a loopback address.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

/// How long a play may take before it counts as one that could not run.
const PLAY_LIMIT: Duration = Duration::from_secs(110);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, a line each, with the time since the start of the play.
struct Record {
    started: Instant,
    lines: Mutex<Vec<(Instant, String)>>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

fn record() -> &'static Record {
    RECORD.get_or_init(|| Record { started: Instant::now(), lines: Mutex::default() })
}

fn note_at(at: Instant, text: String) {
    record().lines.lock().unwrap().push((at, text));
}

fn note(text: String) {
    note_at(Instant::now(), text);
}

fn since_start(at: Instant) -> u128 {
    at.saturating_duration_since(record().started).as_millis()
}

/// Ends all processes that the play started, writes `record.txt` and exits.
fn finish(code: i32, verdict: &str) -> ! {
    note(format!("verdict {code}: {verdict}"));
    for process in PROCESSES.lock().unwrap().iter_mut() {
        let _ = process.kill();
        let _ = process.wait();
    }
    let mut lines = record().lines.lock().unwrap();
    lines.sort_by_key(|line| line.0);
    let mut text = String::new();
    for (at, line) in lines.iter() {
        let _ = writeln!(text, "{:>7} ms  {line}", since_start(*at));
    }
    if let Some(folder) = CASE_FOLDER.get() {
        let _ = fs::write(folder.join("record.txt"), text);
    }
    if let Some(folder) = TEMPORARY.get() {
        let _ = fs::remove_dir_all(folder);
    }
    println!("{verdict}");
    exit(code);
}

/// Whether the record counts requests instead of naming each.
static IS_COUNTED: AtomicBool = AtomicBool::new(false);

/// Notes what happened to one request, unless requests are counted.
fn note_request(at: Instant, text: String) {
    if !IS_COUNTED.load(SeqCst) {
        note_at(at, text);
    }
}

static CASE_FOLDER: OnceLock<PathBuf> = OnceLock::new();
static TEMPORARY: OnceLock<PathBuf> = OnceLock::new();
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

/// Returns whether the play has its disruption.
fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

// ---------------------------------------------------------------- HTTP

/// A message as it was read: its first line, its headers in lower case, and its body.
struct Message {
    first: String,
    headers: HashMap<String, String>,
    body: Vec<u8>,
}

/// A connection and what was read of it beyond the last message.
struct Wire {
    stream: TcpStream,
    rest: Vec<u8>,
    /// How many bytes are read at once and how long the pause behind them is, where it is read slowly.
    pace: Option<(usize, Duration)>,
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Wire { stream, rest: Vec::new(), pace: None }
    }

    fn more(&mut self) -> Option<()> {
        let mut bytes = [0; 65536];
        let (most, pause) = self.pace.unwrap_or((bytes.len(), Duration::ZERO));
        match self.stream.read(&mut bytes[..most]) {
            Ok(count) if count > 0 => {
                sleep(pause);
                self.rest.extend_from_slice(&bytes[..count]);
                Some(())
            }
            _ => None,
        }
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Some(line);
            }
            self.more()?;
        }
    }

    fn bytes(&mut self, count: usize) -> Option<Vec<u8>> {
        while self.rest.len() < count {
            self.more()?;
        }
        Some(self.rest.drain(..count).collect())
    }

    /// Reads a message; `None` at the end of the connection or once it has timed out.
    fn message(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut headers = HashMap::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':')?;
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
        let mut body = Vec::new();
        if headers.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
            loop {
                let size = usize::from_str_radix(self.line()?.split(';').next()?.trim(), 16).ok()?;
                if size == 0 {
                    while !self.line()?.is_empty() {}
                    break;
                }
                body.extend(self.bytes(size)?);
                self.line()?;
            }
        } else if let Some(length) = headers.get("content-length") {
            body = self.bytes(length.parse().ok()?)?;
        }
        Some(Message { first, headers, body })
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }
}

impl Message {
    fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn answer(status: &str, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Listens on a free loopback port and serves each connection by a thread.
fn listen(serve: impl Fn(Wire) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(Wire::new(stream)));
        }
    });
    address
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

// ---------------------------------------------------------------- backends

/// What a backend sends back to a request.
type Handler = dyn Fn(&Backend, &Message, &mut Wire) -> bool + Send + Sync;

/// A backend: its name, and when it got each request.
struct Backend {
    name: String,
    address: OnceLock<SocketAddr>,
    /// When each request's last byte had come, with its id.
    got: Mutex<Vec<(Instant, String)>>,
    count: AtomicU64,
    /// How many answers it has sent.
    sent: AtomicU64,
}

impl Backend {
    /// Starts a backend whose connections are served by `handler`, which returns whether the connection
    /// stays open.
    fn start(
        name: &str,
        handler: impl Fn(&Backend, &Message, &mut Wire) -> bool + Send + Sync + 'static,
    ) -> Arc<Backend> {
        Backend::start_with_pace(name, None, handler)
    }

    /// Starts a backend that reads at a pace.
    fn start_with_pace(
        name: &str,
        pace: Option<(usize, Duration)>,
        handler: impl Fn(&Backend, &Message, &mut Wire) -> bool + Send + Sync + 'static,
    ) -> Arc<Backend> {
        let backend = Arc::new(Backend {
            name: name.to_string(),
            address: OnceLock::new(),
            got: Mutex::default(),
            count: AtomicU64::new(0),
            sent: AtomicU64::new(0),
        });
        let handler: Arc<Handler> = Arc::new(handler);
        let own = backend.clone();
        let address = listen(move |mut wire| {
            wire.pace = pace;
            while let Some(request) = wire.message() {
                let id = request.header("req-id").to_string();
                if id.is_empty() {
                    wire.write(&answer("404 Not Found", "", ""));
                    continue;
                }
                let now = Instant::now();
                own.got.lock().unwrap().push((now, id.clone()));
                own.count.fetch_add(1, SeqCst);
                note_request(now, format!("backend {} got {} {id}", own.name, request.path()));
                if !handler(&own, &request, &mut wire) {
                    return;
                }
            }
        });
        backend.address.set(address).expect("set once");
        backend
    }

    fn address(&self) -> SocketAddr {
        *self.address.get().expect("an address")
    }

    /// Returns the entry of the backend in a list.
    fn entry(&self, health: &str) -> String {
        let (name, address) = (&self.name, self.address());
        format!(
            "{{\"host\":\"{name}\",\"dial\":\"{address}\",\"site\":\"zrh\",\"class\":\"m2\",\"block\":0,\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
        )
    }
}

// ---------------------------------------------------------------- discovery

#[derive(Default)]
struct ListState {
    version: u64,
    /// Each backend's entry, with the version that changed it last.
    entries: Vec<(String, u64, String)>,
    /// Whether discovery is down: the agent reads calls and says nothing.
    is_silent: bool,
}

/// Discovery's agent: the list, its changes, and watches that wait for them.
struct Discovery {
    name: String,
    state: Mutex<ListState>,
    changed: Condvar,
    address: OnceLock<SocketAddr>,
    is_closed: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Discovery {
    fn start(name: &str, version: u64, entries: &[(&str, String)]) -> Arc<Discovery> {
        let entries = entries.iter().map(|(host, entry)| (host.to_string(), version, entry.clone()));
        let state = ListState { version, entries: entries.collect(), is_silent: false };
        let discovery = Arc::new(Discovery {
            name: name.to_string(),
            state: Mutex::new(state),
            changed: Condvar::new(),
            address: OnceLock::new(),
            is_closed: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let own = discovery.clone();
        let address = listen(move |wire| own.serve(wire));
        discovery.address.set(address).expect("set once");
        discovery
    }

    fn address(&self) -> SocketAddr {
        *self.address.get().expect("an address")
    }

    /// Changes a backend's entry, which makes the next version.
    fn change(&self, host: &str, entry: String) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        state.entries.retain(|known| known.0 != host);
        state.entries.push((host.to_string(), version, entry));
        note(format!("discovery {} has version {version}: {host} changed", self.name));
        self.changed.notify_all();
    }

    /// The whole list, as the agent would answer.
    fn whole(&self) -> String {
        let state = self.state.lock().unwrap();
        list(state.version, true, state.entries.iter().filter(|entry| !entry.2.contains("DELETED")))
    }

    fn serve(&self, mut wire: Wire) {
        if self.is_closed.load(SeqCst) {
            return;
        }
        if let Ok(stream) = wire.stream.try_clone() {
            self.connections.lock().unwrap().push(stream);
        }
        while let Some(request) = wire.message() {
            let query = request.path().split_once('?').map_or("", |path| path.1).to_string();
            let number = |name: &str| {
                let mut values = query.split('&').filter_map(|pair| pair.strip_prefix(name));
                values.next().and_then(|value| value.parse::<u64>().ok())
            };
            while self.state.lock().unwrap().is_silent {
                sleep(ms(10));
            }
            let text = match number("after=") {
                None => self.whole(),
                Some(after) => self.watch(after, ms(number("wait_ms=").unwrap_or(0).min(60_000))),
            };
            if self.is_closed.load(SeqCst) || !wire.write(&answer("200 OK", "", &text)) {
                return;
            }
            if !text.ends_with("\"hosts\":[]}") {
                note(format!("discovery {} answered {}: {text}", self.name, request.path()));
            }
        }
    }

    /// Begins or ends an outage of discovery.
    fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
        note(format!("discovery {} is {}", self.name, if is_silent { "silent" } else { "back" }));
        self.changed.notify_all();
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let mut state = self.state.lock().unwrap();
        let until = Instant::now() + wait;
        while state.is_silent || state.version <= after && Instant::now() < until {
            if state.is_silent {
                state = self.changed.wait(state).unwrap();
                continue;
            }
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let version = state.version;
        if version < after {
            return list(version, true, state.entries.iter().filter(|entry| !entry.2.contains("DELETED")));
        }
        list(version, false, state.entries.iter().filter(|entry| entry.1 > after))
    }

    /// Takes no new connection from now on, and closes the open ones after 1.5 s.
    fn retire(self: &Arc<Self>) {
        let own = self.clone();
        note(format!("discovery {} takes no new connection", self.name));
        own.is_closed.store(true, SeqCst);
        thread::spawn(move || {
            sleep(ms(1500));
            for stream in own.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            note(format!("discovery {} closed its connections", own.name));
        });
    }
}

fn list<'a>(version: u64, whole: bool, entries: impl Iterator<Item = &'a (String, u64, String)>) -> String {
    let hosts: Vec<&str> = entries.map(|entry| entry.2.as_str()).collect();
    format!("{{\"seq\":{version},\"whole\":{whole},\"hosts\":[{}]}}", hosts.join(","))
}

// ---------------------------------------------------------------- the proxy

/// The settings of a small deployment, as `WIRE` gives them for a site.
const SETTINGS: &str = r#"{
 "caps": {"cancelling": true, "connIdle": 30000.0, "connectTimeout": 120.0, "maxRetryAfter": 1500.0,
  "mayDuplicate": true, "openCap": 20000, "peers": false, "probes": true, "retryAfter": true,
  "streamsPerConn": 1, "tryLimit": 4},
 "classes": [
  {"aim": 1200.0, "giveUp": 3000.0, "group": "all", "lateWorth": 0.0, "name": "query", "points": 2.0,
   "semantics": "retryable", "stream": false, "window": 5000.0},
  {"aim": 600.0, "giveUp": 1500.0, "group": "all", "lateWorth": 0.0, "name": "ingest", "points": 5.0,
   "semantics": "fragile", "stream": false, "window": 5000.0}],
 "clients": {"marksRetry": false}, "discovery": "automatic", "family": "chain",
 "goal": {"whole": 0.45, "worstClass": 0.1, "worstTenant": 0.1, "worstWindow": 0.35},
 "guarantees": {"askWithin": 10000.0, "cold": 24000.0, "coldFrom": 0.17, "fall": 1000.0,
  "fallMultiple": 4.0, "graceToAnswer": 20.0, "stopSendingWithin": 500.0},
 "kinds": ["front-a", "front-b"], "loadInfo": {"fields": [], "how": "silent"},
 "localities": ["zrh", "gva", "lug"], "locality": 0, "overShareWorth": 0.05, "peersTotal": 1,
 "prices": {"crossZone": 0.01}, "slotNo": 0,
 "tenants": [{"name": "rheinkraft", "quotaPerS": 1250.0, "share": 0.51}],
 "tick": 5.0, "tier": 0, "tiers": ["front", "shard"], "weights": "silent", "worthBy": "request"}"#;

/// The addresses and files of one proxy.
struct Proxy {
    listen: SocketAddr,
    management: SocketAddr,
    config: PathBuf,
    temporary: PathBuf,
    /// The address of discovery in the environment of its processes.
    discovery_variable: SocketAddr,
    memory_mb: u64,
}

impl Proxy {
    fn new(discovery: SocketAddr, known: &str) -> Proxy {
        Proxy::with_memory(discovery, known, 192)
    }

    fn with_memory(discovery: SocketAddr, known: &str, memory_mb: u64) -> Proxy {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        let _ = TEMPORARY.set(folder.clone());
        let proxy = Proxy {
            listen: free_address(),
            management: free_address(),
            config: folder.join("config.json"),
            temporary: folder.join("tmp"),
            discovery_variable: discovery,
            memory_mb,
        };
        proxy.write_config(discovery, known);
        proxy
    }

    /// Replaces the configuration file in one step.
    fn write_config(&self, discovery: SocketAddr, known: &str) {
        let (listen, management, memory_mb) = (self.listen, self.management, self.memory_mb);
        let text = format!(
            "{{\"name\":\"n3\",\"listen\":\"{listen}\",\"management\":\"{management}\",\
             \"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\
             \"known\":{known},\"settings\":{SETTINGS}}}"
        );
        let beside = self.config.with_extension("new");
        fs::write(&beside, text).expect("write the configuration");
        fs::rename(beside, &self.config).expect("move the configuration");
    }

    /// Starts a process by the deploy file's `run`, and returns its process id.
    fn start(&self, management: SocketAddr) -> u32 {
        let deploy = fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
        let line = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("a command");
        let run = line.trim().trim_matches('"').to_string();
        let log = fs::File::create(self.temporary.with_extension(format!("log-{}", management.port())));
        let log = log.expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("TMPDIR", &self.temporary)
            .env("RELAY_NAME", "n3")
            .env("RELAY_LISTEN", self.listen.to_string())
            .env("RELAY_DISCOVERY", self.discovery_variable.to_string())
            .env("RELAY_MANAGEMENT", management.to_string())
            .env("RELAY_CONFIG", &self.config)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn()
            .expect("start the proxy");
        let pid = child.id();
        PROCESSES.lock().unwrap().push(child);
        note(format!("process {pid} started, management {management}"));
        pid
    }

    /// Waits until a process says that it is ready.
    fn wait_until_ready(&self, management: SocketAddr) {
        let until = Instant::now() + ms(6000);
        while Instant::now() < until {
            let request = format!("GET /v1/readyz HTTP/1.1\r\nHost: {management}\r\n\r\n");
            if call(management, request.as_bytes(), ms(1000)).is_some_and(|reply| reply.status() == 200) {
                note(format!("the process with management {management} says it is ready"));
                return;
            }
            sleep(ms(50));
        }
        finish(2, "the proxy was not ready within 6 s");
    }

    fn log(&self, management: SocketAddr) {
        let path = self.temporary.with_extension(format!("log-{}", management.port()));
        for line in fs::read_to_string(path).unwrap_or_default().lines() {
            note(format!("log of {management}: {line}"));
        }
    }
}

fn signal(name: &str, pid: u32) {
    note(format!("{name} to process {pid}"));
    let status = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
    if !status.is_ok_and(|status| status.success()) {
        finish(2, "a signal could not be sent");
    }
}

/// Returns whether a process that the play started has ended.
fn has_ended(pid: u32) -> bool {
    let mut processes = PROCESSES.lock().unwrap();
    let process = processes.iter_mut().find(|process| process.id() == pid);
    process.is_none_or(|process| process.try_wait().is_ok_and(|status| status.is_some()))
}

// ---------------------------------------------------------------- clients

/// One call on a connection of its own.
fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Option<Message> {
    let stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let mut wire = Wire::new(stream);
    if !wire.write(request) {
        return None;
    }
    wire.message()
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// What a client got for a request.
struct Reply {
    id: String,
    status: u16,
    body: String,
}

/// A client that keeps its connection and sends one request at a time.
struct Client {
    address: SocketAddr,
    wire: Option<Wire>,
}

impl Client {
    fn new(address: SocketAddr) -> Client {
        Client { address, wire: None }
    }

    /// Sends a request and waits for its answer. A request that crosses the end of a kept connection is sent
    /// once more on a new one.
    fn send(&mut self, method: &str, path: &str, deadline_ms: u64, body: &str) -> Reply {
        let id = format!("{:016x}", 0x9b1f_0000_0000_0000u64 + NEXT_ID.fetch_add(1, SeqCst));
        let length =
            if method == "POST" { format!("Content-Length: {}\r\n", body.len()) } else { String::new() };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Owner: rheinkraft\r\n\
             Req-Deadline-Ms: {deadline_ms}\r\n{length}\r\n{body}"
        );
        loop {
            let is_kept = self.wire.is_some();
            let wire = match self.wire.take() {
                Some(wire) => Some(wire),
                None => TcpStream::connect_timeout(&self.address, ms(1000)).ok().map(Wire::new),
            };
            let Some(mut wire) = wire else {
                note(format!("client could not connect for {id}"));
                return Reply { id, status: 0, body: String::new() };
            };
            let _ = wire.stream.set_read_timeout(Some(ms(deadline_ms + 600)));
            let sent_at = Instant::now();
            let reply = if wire.write(request.as_bytes()) { wire.message() } else { None };
            let Some(reply) = reply else {
                if is_kept && sent_at.elapsed() < ms(deadline_ms) {
                    continue;
                }
                note(format!("client got no answer to {method} {path} {id}"));
                return Reply { id, status: 0, body: String::new() };
            };
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            let status = reply.status();
            note_request(sent_at, format!("client sent {method} {path} {id}, {deadline_ms} ms"));
            let shown: String = body.chars().take(60).collect();
            note_request(Instant::now(), format!("client got {status} for {path} {id}: {shown}"));
            if !reply.header("connection").eq_ignore_ascii_case("close") {
                self.wire = Some(wire);
            }
            return Reply { id, status, body };
        }
    }
}

// ---------------------------------------------------------------- cases 6 and 7: second answers

/// How a backend that sends some answers twice makes them.
#[derive(Clone, Copy, PartialEq)]
enum Answers {
    /// Reads of one document have equal answers, head and body.
    EqualForOneDocument,
    /// Each answer carries the backend's load report, which counts the answers that it has sent.
    LoadReports,
}

/// One of so many requests is turned away.
const REQUESTS_FOR_A_DECLINE: u64 = 25;
/// One of so many answers is sent a second time, once backends have begun to.
const ANSWERS_FOR_A_SECOND: u64 = 20;

/// Backends send some of their answers a second time, 5 ms later. Clients read a few documents, and ingest.
fn second_answers(answers: Answers) {
    const CLIENTS: u64 = 42;
    let is_spoilt = Arc::new(AtomicBool::new(false));
    // How often each request was run.
    let runs = Arc::new(Mutex::new(HashMap::<String, u32>::new()));
    let handler = {
        let (is_spoilt, runs) = (is_spoilt.clone(), runs.clone());
        move |backend: &Backend, request: &Message, wire: &mut Wire| {
            let number = backend.count.load(SeqCst);
            sleep(ms(12 + number % 7));
            let id = request.header("req-id");
            let is_declined = number % REQUESTS_FOR_A_DECLINE == 7;
            if !is_declined {
                *runs.lock().unwrap().entry(id.to_string()).or_insert(0) += 1;
            }
            let text = match request.first.starts_with("POST") {
                true => format!("ingested {id}"),
                false => format!("text of {}", request.path()),
            };
            let reply = || {
                let sent = backend.sent.fetch_add(1, SeqCst);
                let head = match answers {
                    Answers::EqualForOneDocument => String::new(),
                    Answers::LoadReports => format!("Srv-Load: throughput={sent}\r\n"),
                };
                match is_declined {
                    true => answer("503 Service Unavailable", &format!("{head}Srv-Declined: 1\r\n"), ""),
                    false => answer("200 OK", &head, &text),
                }
            };
            if is_declined {
                note(format!("backend {} declines {id}", backend.name));
                return wire.write(&reply());
            }
            let is_written = wire.write(&reply());
            if is_spoilt.load(SeqCst) && number % ANSWERS_FOR_A_SECOND == 0 {
                sleep(ms(5));
                note(format!("backend {} answers {id} again: {text}", backend.name));
                wire.write(&reply());
            }
            is_written
        }
    };
    let backends: Vec<_> = (1..=14).map(|n| Backend::start(&format!("s-{n}"), handler.clone())).collect();
    let entries: Vec<_> = backends.iter().map(|b| (b.name.as_str(), b.entry("SERVING"))).collect();
    let discovery = Discovery::start("d1", 41, &entries);
    let proxy = Proxy::new(discovery.address(), &discovery.whole());
    proxy.start(proxy.management);
    proxy.wait_until_ready(proxy.management);
    let (wrong, served) = (counter(), counter());
    // The ingests that were sent, with the status of their answers.
    let ingests = Arc::new(Mutex::new(Vec::new()));
    let until = Instant::now() + ms(12_000);
    let client = |number: u64| {
        let (wrong, served, address) = (wrong.clone(), served.clone(), proxy.listen);
        let ingests = ingests.clone();
        move || {
            let mut client = Client::new(address);
            let mut step = number;
            while Instant::now() < until {
                step = step.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                let path = format!("/query/doc-{}", (step >> 33) % 5);
                let is_query = (step >> 45) % 8 != 0;
                let reply = match is_query {
                    true => client.send("GET", &path, 1500, ""),
                    false => client.send("POST", "/ingest/log", 1500, "a line"),
                };
                if !is_query {
                    ingests.lock().unwrap().push((reply.id.clone(), reply.status));
                }
                let own = if is_query { format!("text of {path}") } else { format!("ingested {}", reply.id) };
                if reply.status == 200 {
                    served.fetch_add(1, SeqCst);
                    if reply.body != own {
                        wrong.fetch_add(1, SeqCst);
                        note(format!("WRONG: {} is owed {own:?} and got {:?}", reply.id, reply.body));
                    }
                }
            }
        }
    };
    let clients: Vec<_> = (0..CLIENTS).map(|number| thread::spawn(client(number))).collect();
    sleep(ms(3000));
    is_spoilt.store(has_trouble(), SeqCst);
    for client in clients {
        let _ = client.join();
    }
    proxy.log(proxy.management);
    let (wrong, served) = (wrong.load(SeqCst), served.load(SeqCst));
    if served < 500 {
        finish(2, &format!("only {served} requests were served"));
    }
    let runs = runs.lock().unwrap();
    let (mut twice, mut never) = (0, 0);
    for (id, status) in ingests.lock().unwrap().iter() {
        let count = runs.get(id).copied().unwrap_or(0);
        if count > 1 {
            twice += 1;
            note(format!("TWICE: ingest {id} ran {count} times and was answered {status}"));
        }
        if count == 0 && *status == 200 {
            never += 1;
            note(format!("NEVER: ingest {id} was answered 200 and never ran"));
        }
    }
    let verdict = format!(
        "{wrong} of {served} served requests got another request's answer, {twice} ingests ran twice, \
         {never} were answered 200 and never ran"
    );
    finish(i32::from(wrong + twice + never > 0), &verdict);
}

// ---------------------------------------------------------------- case 8: uploads

/// Clients write long uploads; one of eight backends reads slowly.
fn uploads() {
    const BODY_BYTES: usize = 4_000_000;
    const TIME: Duration = Duration::from_millis(1500);
    /// Half a second in which a late answer only earns nothing, and 50 ms on sockets.
    const SLACK: Duration = Duration::from_millis(550);
    let handler = |backend: &Backend, request: &Message, wire: &mut Wire| {
        let text = format!("{} has {} bytes", backend.name, request.body.len());
        wire.write(&answer("200 OK", "", &text))
    };
    let pace = |number| (number == 1 && has_trouble()).then_some((1024, ms(2)));
    let start = |number| Backend::start_with_pace(&format!("s-{number}"), pace(number), handler);
    let backends: Vec<_> = (1..=8).map(start).collect();
    let entries: Vec<_> = backends.iter().map(|b| (b.name.as_str(), b.entry("SERVING"))).collect();
    let discovery = Discovery::start("d1", 41, &entries);
    let proxy = Proxy::new(discovery.address(), &discovery.whole());
    proxy.start(proxy.management);
    proxy.wait_until_ready(proxy.management);
    let until = Instant::now() + ms(10_000);
    let (late, answered) = (counter(), counter());
    let clients: Vec<_> = (0..8)
        .map(|_| {
            let (late, answered, address) = (late.clone(), answered.clone(), proxy.listen);
            thread::spawn(move || {
                let body = vec![b'x'; BODY_BYTES];
                while Instant::now() < until {
                    let id = format!("{:016x}", 0x9b1f_0000_0000_0000u64 + NEXT_ID.fetch_add(1, SeqCst));
                    let Ok(stream) = TcpStream::connect(address) else { continue };
                    let _ = stream.set_read_timeout(Some(ms(30_000)));
                    let mut wire = Wire::new(stream);
                    let head = format!(
                        "POST /ingest/log HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\n\
                         Req-Owner: rheinkraft\r\nReq-Deadline-Ms: {}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
                        TIME.as_millis()
                    );
                    let began_at = Instant::now();
                    if !wire.write(head.as_bytes()) || !wire.write(&body) {
                        note(format!("client could not write {id} to its end"));
                        continue;
                    }
                    let written_at = Instant::now();
                    note_at(began_at, format!("client began to write {id}, {BODY_BYTES} bytes"));
                    note_at(written_at, format!("client has written the last byte of {id}"));
                    let status = wire.message().map(|reply| reply.status());
                    let took = written_at.elapsed();
                    let is_late = took > TIME + SLACK;
                    late.fetch_add(u64::from(is_late), SeqCst);
                    answered.fetch_add(1, SeqCst);
                    let what = if is_late { "LATE: " } else { "" };
                    note(format!("{what}client got {status:?} for {id} {} ms later", took.as_millis()));
                    sleep(ms(100));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    proxy.log(proxy.management);
    let (late, answered) = (late.load(SeqCst), answered.load(SeqCst));
    if answered < 50 {
        finish(2, &format!("only {answered} uploads ended"));
    }
    let verdict =
        format!("{late} of {answered} uploads were answered over 0.55 s after their time, or never");
    finish(i32::from(late > 0), &verdict);
}

// ---------------------------------------------------------------- case 9: memory

fn counter() -> Arc<AtomicU64> {
    Arc::default()
}

/// Returns the memory that a process has for itself, in kB: without the files that it maps.
fn own_memory_kb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

/// As many clients as a third of the descriptors read documents of 64,000 bytes.
fn many_clients() {
    const MEMORY_MB: u64 = 32;
    IS_COUNTED.store(true, SeqCst);
    let handler = |backend: &Backend, request: &Message, wire: &mut Wire| {
        let number = backend.count.load(SeqCst);
        sleep(ms(100 + number * 37 % 91));
        let text = format!("text of {} for {} ", request.path(), request.header("req-id"));
        wire.write(&answer("200 OK", "", &text.repeat(64_000 / text.len())))
    };
    let backends: Vec<_> = (1..=14).map(|n| Backend::start(&format!("s-{n}"), handler)).collect();
    let entries: Vec<_> = backends.iter().map(|b| (b.name.as_str(), b.entry("SERVING"))).collect();
    let discovery = Discovery::start("d1", 41, &entries);
    let proxy = Proxy::with_memory(discovery.address(), &discovery.whole(), MEMORY_MB);
    let pid = proxy.start(proxy.management);
    proxy.wait_until_ready(proxy.management);
    let count = if has_trouble() { 341 } else { 60 };
    let until = Instant::now() + ms(20_000);
    let (served, refused, other) = (counter(), counter(), counter());
    let clients: Vec<_> = (0..count)
        .map(|number: u64| {
            let (served, refused, other) = (served.clone(), refused.clone(), other.clone());
            let address = proxy.listen;
            thread::spawn(move || {
                let mut client = Client::new(address);
                let lines = "a line of the log\n".repeat(64_000 / 18);
                sleep(ms(number * 10));
                while Instant::now() < until {
                    let reply = match number % 2 {
                        0 => client.send("GET", &format!("/query/doc-{number}"), 2000, ""),
                        _ => client.send("POST", "/ingest/log", 1500, &lines),
                    };
                    let count = match reply.status {
                        200 => &served,
                        429 | 503 => &refused,
                        _ => &other,
                    };
                    count.fetch_add(1, SeqCst);
                    if reply.status != 200 {
                        // A client that was refused comes again after a wait.
                        sleep(ms(500));
                    }
                }
            })
        })
        .collect();
    let (mut most, mut noted_at) = (0, Instant::now());
    while Instant::now() < until {
        if noted_at.elapsed() >= ms(1000) {
            noted_at = Instant::now();
            let [served, refused, other] = [&served, &refused, &other].map(|count| count.load(SeqCst));
            let got: u64 = backends.iter().map(|backend| backend.count.load(SeqCst)).sum();
            note(format!("so far {served} served, {refused} refused, {other} otherwise; backends got {got}"));
        }
        let Some(memory) = own_memory_kb(pid) else { finish(1, "the proxy ended by itself") };
        if memory > most {
            most = memory;
            note(format!("the proxy's own memory is {memory} kB"));
        }
        sleep(ms(50));
    }
    for client in clients {
        let _ = client.join();
    }
    proxy.log(proxy.management);
    let served = served.load(SeqCst);
    if served < 1000 {
        finish(2, &format!("only {served} requests were served"));
    }
    let verdict =
        format!("{most} kB of own memory at most, of {} kB, with {count} clients", MEMORY_MB * 1024);
    finish(i32::from(most > MEMORY_MB * 1024), &verdict);
}

// ---------------------------------------------------------------- discovery moves, and upgrades

/// A backend that answers at once, and notes what it got.
fn quick(backend: &Backend, request: &Message, wire: &mut Wire) -> bool {
    sleep(ms(5));
    wire.write(&answer("200 OK", "", &format!("{} did {}", backend.name, request.header("req-id"))))
}

/// Sends queries one after another until a time.
fn clients_until(address: SocketAddr, count: usize, until: Instant) -> Vec<thread::JoinHandle<()>> {
    let client = move || {
        let mut client = Client::new(address);
        while Instant::now() < until {
            client.send("GET", "/query/doc", 1500, "");
            sleep(ms(20));
        }
    };
    (0..count).map(|_| thread::spawn(client)).collect()
}

/// Returns how many requests a backend got later than `at`, and how much later the last one came.
fn got_after(backend: &Backend, at: Instant) -> (usize, u128) {
    let got = backend.got.lock().unwrap();
    let late = got.iter().filter(|got| got.0 > at);
    let last = late.clone().map(|got| got.0.duration_since(at).as_millis()).max();
    (late.count(), last.unwrap_or(0))
}

/// Case 10. A new configuration moves discovery; later the process is replaced, all else the same; then a backend
/// begins to drain.
fn move_then_upgrade() {
    let backends: Vec<_> = (1..=3).map(|n| Backend::start(&format!("s-{n}"), quick)).collect();
    let entries: Vec<_> = backends.iter().map(|b| (b.name.as_str(), b.entry("SERVING"))).collect();
    let first = Discovery::start("d1", 41, &entries);
    let second = Discovery::start("d2", 41, &entries);
    let proxy = Proxy::new(first.address(), &first.whole());
    let old = proxy.start(proxy.management);
    proxy.wait_until_ready(proxy.management);
    let clients = clients_until(proxy.listen, 4, Instant::now() + ms(16_000));
    sleep(ms(2000));
    let discovery = if has_trouble() {
        proxy.write_config(second.address(), &second.whole());
        signal("HUP", old);
        first.retire();
        second
    } else {
        first
    };
    sleep(ms(4000));
    let management = free_address();
    let new = proxy.start(management);
    proxy.wait_until_ready(management);
    let ready_at = Instant::now();
    signal("TERM", old);
    while !has_ended(old) && ready_at.elapsed() < ms(3700) {
        sleep(ms(20));
    }
    if !has_ended(old) {
        signal("KILL", old);
    }
    // News of discovery binds from 2 s after the yes.
    sleep(ms(2500).saturating_sub(ready_at.elapsed()));
    discovery.change("s-1", backends[0].entry("DRAINING"));
    let told_at = Instant::now();
    for client in clients {
        let _ = client.join();
    }
    if has_ended(new) {
        finish(1, "the new process ended by itself");
    }
    proxy.log(management);
    // The agent answers at once; 2 s more are given. Then 500 ms, and 50 ms on sockets.
    let (late, last) = got_after(&backends[0], told_at + ms(2550));
    let served = backends.iter().map(|b| b.count.load(SeqCst)).sum::<u64>();
    if served < 500 {
        finish(2, &format!("only {served} requests came to the backends"));
    }
    let verdict = format!(
        "{late} requests were sent to a draining backend later than 2.55 s after discovery had the drain, \
         the last {last} ms later than that"
    );
    finish(i32::from(late > 0), &verdict);
}

/// Not a case. A backend drains; then discovery is down for a time, in which the process is replaced.
fn upgrade_in_an_outage() {
    let backends: Vec<_> = (1..=3).map(|n| Backend::start(&format!("s-{n}"), quick)).collect();
    let entries: Vec<_> = backends.iter().map(|b| (b.name.as_str(), b.entry("SERVING"))).collect();
    let discovery = Discovery::start("d1", 41, &entries);
    let proxy = Proxy::new(discovery.address(), &discovery.whole());
    let old = proxy.start(proxy.management);
    proxy.wait_until_ready(proxy.management);
    let clients = clients_until(proxy.listen, 4, Instant::now() + ms(14_000));
    sleep(ms(2000));
    discovery.change("s-1", backends[0].entry("DRAINING"));
    let told_at = Instant::now();
    sleep(ms(2000));
    discovery.set_silent(has_trouble());
    sleep(ms(1000));
    let management = free_address();
    let new = proxy.start(management);
    proxy.wait_until_ready(management);
    let ready_at = Instant::now();
    signal("TERM", old);
    while !has_ended(old) && ready_at.elapsed() < ms(3700) {
        sleep(ms(20));
    }
    if !has_ended(old) {
        signal("KILL", old);
    }
    sleep(ms(7000).saturating_sub(ready_at.elapsed()));
    discovery.set_silent(false);
    for client in clients {
        let _ = client.join();
    }
    if has_ended(new) {
        finish(1, "the new process ended by itself");
    }
    proxy.log(proxy.management);
    proxy.log(management);
    // What discovery has binds a new process from 2 s after its yes. Then 500 ms, and 50 ms on sockets.
    let (late, last) = got_after(&backends[0], told_at.max(ready_at) + ms(2550));
    let (between, _) = got_after(&backends[0], told_at + ms(550));
    let served = backends.iter().map(|b| b.count.load(SeqCst)).sum::<u64>();
    if served < 500 {
        finish(2, &format!("only {served} requests came to the backends"));
    }
    let verdict = format!(
        "{late} requests were sent to a draining backend later than 2.55 s after the new process was ready, \
         the last {last} ms later than that; {between} later than 0.55 s after the drain was told"
    );
    finish(i32::from(late > 0), &verdict);
}

// ---------------------------------------------------------------- an agent that is behind

/// Not a case. A backend is gone; then a new configuration moves discovery to an agent whose list is 1.5 s behind.
fn move_to_a_late_agent() {
    let backends: Vec<_> = (1..=3).map(|n| Backend::start(&format!("s-{n}"), quick)).collect();
    let entries: Vec<_> = backends.iter().map(|b| (b.name.as_str(), b.entry("SERVING"))).collect();
    let first = Discovery::start("d1", 41, &entries);
    let second = Discovery::start("d2", 41, &entries);
    let proxy = Proxy::new(first.address(), &first.whole());
    let pid = proxy.start(proxy.management);
    proxy.wait_until_ready(proxy.management);
    let clients = clients_until(proxy.listen, 4, Instant::now() + ms(9000));
    sleep(ms(2000));
    first.change("s-1", backends[0].entry("DELETED"));
    let told_at = Instant::now();
    if !has_trouble() {
        second.change("s-1", backends[0].entry("DELETED"));
    }
    sleep(ms(1000));
    proxy.write_config(second.address(), &second.whole());
    signal("HUP", pid);
    first.retire();
    sleep(ms(1500));
    if has_trouble() {
        second.change("s-1", backends[0].entry("DELETED"));
    }
    for client in clients {
        let _ = client.join();
    }
    proxy.log(proxy.management);
    let (late, last) = got_after(&backends[0], told_at + ms(550));
    let served = backends.iter().map(|b| b.count.load(SeqCst)).sum::<u64>();
    if served < 500 {
        finish(2, &format!("only {served} requests came to the backends"));
    }
    let verdict = format!(
        "{late} requests were sent to a backend later than 0.55 s after the proxy was told that it is gone, \
         the last {last} ms later than that"
    );
    finish(i32::from(late > 0), &verdict);
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(play), Some(folder)) = (arguments.next(), arguments.next()) else { exit(2) };
    let _ = CASE_FOLDER.set(Path::new(&folder).to_path_buf());
    record();
    thread::spawn(|| {
        sleep(PLAY_LIMIT);
        finish(2, "the play took too long");
    });
    match play.as_str() {
        "second-answers-of-documents" => second_answers(Answers::EqualForOneDocument),
        "second-answers-with-load-reports" => second_answers(Answers::LoadReports),
        "uploads" => uploads(),
        "many-clients" => many_clients(),
        "move-then-upgrade" => move_then_upgrade(),
        "upgrade-in-an-outage" => upgrade_in_an_outage(),
        "move-to-a-late-agent" => move_to_a_late_agent(),
        _ => exit(2),
    }
}
