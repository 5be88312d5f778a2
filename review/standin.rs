//! Stand-ins and drivers of the review's cases: clients, backends and discovery after the protocol page, on
//! loopback addresses and the real clock. Only the standard library is used.
//!
//!     standin backend NAME KEY=VALUE...   a backend in a process of its own
//!     standin case N                      plays case N for `play.sh`; exit code 0: rule held, 1: broken, 2: no verdict

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn ioctl(descriptor: i32, request: u64, ...) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn listen(descriptor: i32, backlog: i32) -> i32;
    fn setsockopt(descriptor: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;
const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;
/// Bytes that the client has written and that the proxy's machine has not acknowledged yet.
const TIOCOUTQ: u64 = 0x5411;

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn signal(pid: u32, number: i32) {
    unsafe { kill(pid as i32, number) };
}

/// Returns how many written bytes the peer's machine has not accepted yet.
fn unaccepted_bytes(stream: &TcpStream) -> i32 {
    let mut bytes: i32 = -1;
    unsafe { ioctl(stream.as_raw_fd(), TIOCOUTQ, &mut bytes as *mut i32) };
    bytes
}

fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    unsafe { setsockopt(stream.as_raw_fd(), 1, 8, &bytes, 4) };
}

// ---------------------------------------------------------------------------------------------------------
// HTTP/1.1

struct Head {
    start: String,
    headers: HashMap<String, String>,
}

impl Head {
    fn get(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads a head; `None` at the end of the input.
fn read_head(input: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut start = String::new();
    if input.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { start: start.trim_end().to_string(), headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_string());
        }
    }
}

/// Reads the body that follows a head.
fn read_body(input: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").eq_ignore_ascii_case("chunked") {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = line.trim_end().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    let length: u64 = head.get("content-length").parse().unwrap_or(0);
    if input.take(length).read_to_end(&mut body)? as u64 != length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

// ---------------------------------------------------------------------------------------------------------
// Backend

#[derive(Clone)]
struct BackendOptions {
    name: String,
    /// Time of the work for a request.
    work_ms: u64,
    /// Length of the body of an answer.
    body: usize,
    /// Answers are written in pieces of this many bytes at this rate; 0: at once.
    piece: usize,
    bytes_per_s: usize,
    /// Every so many answers are sent a second time, so much later; 0: none.
    copy_every: usize,
    copy_late_ms: u64,
    /// Whether answers are chunked instead of having a length.
    chunked: bool,
    /// In every period, connections come up late if they are made in its first part; 0: never.
    late_ms: u64,
    late_period_ms: u64,
    /// Every so many requests, the connection is reset under the request so long after it has begun; 0: none.
    reset_every: usize,
    reset_after_ms: u64,
    /// Whether the connection is closed after each answer.
    close: bool,
}

fn backend(arguments: &[String]) {
    let mut options = BackendOptions {
        name: arguments[0].clone(),
        work_ms: 20,
        body: 0,
        piece: 0,
        bytes_per_s: 0,
        copy_every: 0,
        copy_late_ms: 0,
        chunked: false,
        late_ms: 0,
        late_period_ms: 0,
        reset_every: 0,
        reset_after_ms: 0,
        close: false,
    };
    for argument in &arguments[1..] {
        let (key, value) = argument.split_once('=').expect("KEY=VALUE");
        let value: usize = value.parse().expect("a number");
        match key {
            "work_ms" => options.work_ms = value as u64,
            "body" => options.body = value,
            "piece" => options.piece = value,
            "bytes_per_s" => options.bytes_per_s = value,
            "copy_every" => options.copy_every = value,
            "copy_late_ms" => options.copy_late_ms = value as u64,
            "chunked" => options.chunked = value > 0,
            "late_ms" => options.late_ms = value as u64,
            "late_period_ms" => options.late_period_ms = value as u64,
            "reset_every" => options.reset_every = value,
            "reset_after_ms" => options.reset_after_ms = value as u64,
            "close" => options.close = value > 0,
            _ => panic!("unknown option {key}"),
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    say(&format!("port {}", listener.local_addr().expect("address").port()));
    let counts = Arc::new(Counts::default());
    let started = Instant::now();
    if options.late_period_ms > 0 {
        // The system's queue holds one connection; while that one is not accepted, others come up only when
        // their machine asks again, a second later.
        unsafe { listen(listener.as_raw_fd(), 0) };
    }
    loop {
        if options.late_period_ms > 0
            && started.elapsed().as_millis() as u64 % options.late_period_ms < options.late_ms
        {
            let _filler = TcpStream::connect(listener.local_addr().expect("address"));
            sleep(ms(options.late_ms));
            let _ = listener.accept();
            continue;
        }
        let _ = listener.set_nonblocking(true);
        let Ok((stream, _)) = listener.accept() else {
            sleep(ms(1));
            continue;
        };
        let _ = stream.set_nonblocking(false);
        let (options, counts) = (options.clone(), counts.clone());
        spawn(move || {
            let _ = serve_backend(stream, &options, &counts);
        });
    }
}

#[derive(Default)]
struct Counts {
    requests: AtomicUsize,
    answers: AtomicUsize,
}

fn say(line: &str) {
    let mut output = io::stdout().lock();
    let _ = writeln!(output, "{line}");
    let _ = output.flush();
}

/// The body of a backend's answer: it names the request in each line.
fn answer_body(id: &str, name: &str, length: usize) -> Vec<u8> {
    let line = format!("answer to {id} from {name}\n");
    let mut body = line.clone().into_bytes();
    while body.len() < length {
        body.extend_from_slice(line.as_bytes());
    }
    body
}

fn answer_with_length(body: &[u8], is_last: bool) -> Vec<u8> {
    let last = if is_last { "Connection: close\r\n" } else { "" };
    let mut answer = format!("HTTP/1.1 200 OK\r\n{last}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    answer.extend_from_slice(body);
    answer
}

/// The answer with a body in chunks of 1,000 bytes.
fn chunked_answer(body: &[u8]) -> Vec<u8> {
    let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(1000) {
        answer.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        answer.extend_from_slice(chunk);
        answer.extend_from_slice(b"\r\n");
    }
    answer.extend_from_slice(b"0\r\n\r\n");
    answer
}

fn write_paced(stream: &mut TcpStream, bytes: &[u8], options: &BackendOptions) -> io::Result<()> {
    if options.piece == 0 {
        return stream.write_all(bytes);
    }
    let started = Instant::now();
    let mut written = 0;
    for piece in bytes.chunks(options.piece) {
        stream.write_all(piece)?;
        written += piece.len();
        let due = Duration::from_secs_f64(written as f64 / options.bytes_per_s as f64);
        sleep(due.saturating_sub(started.elapsed()));
    }
    Ok(())
}

fn serve_backend(mut stream: TcpStream, options: &BackendOptions, counts: &Counts) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut input)? {
        let id = head.get("req-id").to_string();
        let name = &options.name;
        say(&format!("{name} {id} head of {}", head.start));
        let body = read_body(&mut input, &head)?;
        say(&format!("{name} {id} runs, body of {} bytes", body.len()));
        let number = counts.requests.fetch_add(1, SeqCst) + 1;
        if options.reset_every > 0 && number % options.reset_every == 0 {
            sleep(ms(options.reset_after_ms));
            say(&format!("{name} {id} its connection is reset"));
            // A close that doesn't linger resets the connection.
            let linger = [1, 0];
            unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
            return Ok(());
        }
        sleep(ms(options.work_ms));
        // A query names the length of its answer.
        let length = head.start.split("length=").nth(1).and_then(|text| text.split(' ').next()?.parse().ok());
        let body = answer_body(&id, name, length.unwrap_or(options.body));
        let answer =
            if options.chunked { chunked_answer(&body) } else { answer_with_length(&body, options.close) };
        say(&format!("{name} {id} begins to answer"));
        if let Err(error) = write_paced(&mut stream, &answer, options) {
            say(&format!("{name} {id} cut off while it answers: {error}"));
            return Ok(());
        }
        say(&format!("{name} {id} answered"));
        if options.close {
            return Ok(());
        }
        let number = counts.answers.fetch_add(1, SeqCst) + 1;
        if options.copy_every > 0 && number % options.copy_every == 0 {
            sleep(ms(options.copy_late_ms));
            say(&format!("{name} {id} begins to answer a second time"));
            write_paced(&mut stream, &answer, options)?;
        }
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------------------
// The play: record, processes, discovery

/// Writes what was sent, answered and run, with the time since the start of the play.
#[derive(Clone)]
struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
    lines: Arc<Mutex<Vec<String>>>,
    /// The same with their times in milliseconds.
    timed: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    fn new(path: &str) -> Self {
        let file = File::create(path).unwrap_or_else(|error| give_up(&format!("{path}: {error}")));
        Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(file)),
            lines: Arc::default(),
            timed: Arc::default(),
        }
    }

    fn at_ms(&self) -> u128 {
        self.began.elapsed().as_millis()
    }

    fn note(&self, text: &str) {
        let line = format!("{:>6} ms  {text}", self.at_ms());
        let _ = writeln!(self.file.lock().expect("file"), "{line}");
        self.timed.lock().expect("lines").push((self.at_ms(), text.to_string()));
        self.lines.lock().expect("lines").push(text.to_string());
    }

    fn contains(&self, text: &str) -> bool {
        self.lines.lock().expect("lines").iter().any(|line| line.contains(text))
    }
}

fn give_up(why: &str) -> ! {
    eprintln!("could not run: {why}");
    end_children();
    exit(2)
}

/// The processes that the play started; all end with it.
static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn end_children() {
    let mut children = CHILDREN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for child in children.iter_mut() {
        signal(child.id(), SIGCONT);
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// Starts a process that ends with the driver, however that ends.
fn spawn_child(mut command: Command) -> Child {
    const PR_SET_PDEATHSIG: i32 = 1;
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
            Ok(())
        })
    };
    command.spawn().unwrap_or_else(|error| give_up(&error.to_string()))
}

fn keep_child(child: Child) -> u32 {
    let pid = child.id();
    CHILDREN.lock().expect("children").push(child);
    pid
}

struct Play {
    record: Record,
    folder: String,
    trouble: bool,
}

struct BackendProcess {
    name: String,
    port: u16,
    pid: u32,
}

impl Play {
    fn new(case: &str) -> Self {
        let record =
            Record::new(&std::env::var("CASE_RECORD").unwrap_or_else(|_| give_up("CASE_RECORD is not set")));
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.note(&format!("case {case}, trouble: {trouble}"));
        let folder = std::env::var("CASE_FOLDER").unwrap_or_else(|_| give_up("CASE_FOLDER is not set"));
        Play { record, folder, trouble }
    }

    fn start_backend(&self, name: &str, options: &[String]) -> BackendProcess {
        let program = std::env::current_exe().unwrap_or_else(|error| give_up(&error.to_string()));
        let mut command = Command::new(program);
        command.arg("backend").arg(name).args(options).stdout(Stdio::piped()).stdin(Stdio::null());
        let mut child = spawn_child(command);
        let mut output = BufReader::new(child.stdout.take().expect("piped"));
        let mut line = String::new();
        let _ = output.read_line(&mut line);
        let port = line.trim().strip_prefix("port ").and_then(|port| port.parse().ok());
        let port = port.unwrap_or_else(|| give_up("a backend names no port"));
        let record = self.record.clone();
        spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                record.note(&line);
            }
        });
        BackendProcess { name: name.to_string(), port, pid: keep_child(child) }
    }

    /// Starts the deploy file's `run` from the repository's root.
    fn start_proxy(&self, what: &str, config: &str, environment: &[(&str, String)]) -> u32 {
        let run = std::env::var("DEPLOY_RUN").unwrap_or_else(|_| give_up("DEPLOY_RUN is not set"));
        let log = File::create(format!("{}/{what}.log", self.folder)).expect("log");
        let errors = log.try_clone().expect("log");
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(run).env("RELAY_CONFIG", config).env("TMPDIR", format!("{}/tmp", self.folder));
        command.envs(environment.iter().cloned()).stdin(Stdio::null()).stdout(log).stderr(errors);
        let pid = keep_child(spawn_child(command));
        self.record.note(&format!("{what} started, pid {pid}"));
        pid
    }

    /// Copies a proxy's log into the record.
    fn keep_log(&self, what: &str) {
        let log = fs::read_to_string(format!("{}/{what}.log", self.folder)).unwrap_or_default();
        for line in log.lines() {
            self.record.note(&format!("log of {what}: {line}"));
        }
    }

    /// Ends the play with a verdict.
    fn end(self, broken: &[String]) -> ! {
        for line in broken {
            self.record.note(&format!("BROKEN {line}"));
            println!("BROKEN {line}");
        }
        let verdict = if broken.is_empty() { "the rule held" } else { "the rule was broken" };
        self.record.note(verdict);
        println!("{verdict}, trouble: {}", self.trouble);
        end_children();
        exit(i32::from(!broken.is_empty()))
    }
}

/// Returns a free port of the loopback address.
fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
    listener.local_addr().expect("address").port()
}

/// The backends as discovery lists them.
fn list_json(backends: &[BackendProcess]) -> String {
    let entry = |(index, backend): (usize, &BackendProcess)| {
        format!(
            r#"{{"host":"{}","dial":"127.0.0.1:{}","site":"zrh","class":"front-a","block":{},"health":"SERVING","share":1.0,"born_ms":0}}"#,
            backend.name,
            backend.port,
            index / 4
        )
    };
    let entries: Vec<String> = backends.iter().enumerate().map(entry).collect();
    format!(r#"{{"seq":41,"whole":true,"hosts":[{}]}}"#, entries.join(","))
}

/// Starts discovery's agent: the list never changes.
fn start_discovery(list: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| give_up(&error.to_string()));
    let address = listener.local_addr().expect("address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            spawn(move || serve_discovery(stream, &list));
        }
    });
    address
}

fn serve_discovery(mut stream: TcpStream, list: &str) -> io::Result<()> {
    let mut input = BufReader::new(stream.try_clone()?);
    while let Some(head) = read_head(&mut input)? {
        let wait =
            head.start.split("wait_ms=").nth(1).and_then(|text| text.split(['&', ' ']).next()?.parse().ok());
        let text = match wait {
            None => list.to_string(),
            Some(wait) => {
                sleep(ms(wait));
                r#"{"seq":41,"whole":false,"hosts":[]}"#.to_string()
            }
        };
        let length = text.len();
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{text}").as_bytes())?;
    }
    Ok(())
}

/// A configuration with the classes, limits and guarantees of the site `ch-main`.
fn config_json(listen: u16, admin: u16, discovery: SocketAddr, list: &str, sockets: u32) -> String {
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    format!(
        r#"{{"name":"n1","listen":"127.0.0.1:{listen}","management":"127.0.0.1:{admin}","discovery":"{discovery}",
"seed":"{seed:x}","limits":{{"cores":1.0,"memory_mb":64,"sockets":{sockets}}},
"known":{list},
"settings":{{"slotNo":0,"peersTotal":3,"tier":0,"tiers":["front","shard"],"locality":0,"localities":["zrh"],"tick":5.0,
"overShareWorth":0.05,"discovery":"automatic","worthBy":"work","weights":"rough",
"classes":[
{{"name":"query","aim":1200.0,"giveUp":3000.0,"points":2.0,"semantics":"retryable","group":"all","window":5000.0}},
{{"name":"ingest","aim":600.0,"giveUp":1500.0,"points":5.0,"semantics":"fragile","group":"all","window":5000.0}}],
"tenants":[],
"caps":{{"cancelling":true,"mayDuplicate":true,"probes":false,"peers":false,"retryAfter":true,"maxRetryAfter":1500.0,
"tryLimit":4,"openCap":20000,"connIdle":30000.0,"connectTimeout":120.0,"streamsPerConn":1}},
"goal":{{"whole":0.45,"worstWindow":0.35,"worstClass":0.1,"worstTenant":0.1}},
"prices":{{"crossZone":0.01}},
"guarantees":{{"coldFrom":0.17,"cold":24000.0,"fallMultiple":4.0,"fall":1000.0,"stopSendingWithin":500.0,"graceToAnswer":20.0}}}}}}"#
    )
}

/// Waits until a GET is answered with 200.
fn wait_for_yes(port: u16, path: &str, within: Duration) -> bool {
    let began = Instant::now();
    while began.elapsed() < within {
        let answered = TcpStream::connect(("127.0.0.1", port)).and_then(|mut stream| {
            stream.set_read_timeout(Some(ms(1000)))?;
            stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: ops\r\n\r\n").as_bytes())?;
            read_head(&mut BufReader::new(stream))
        });
        if let Ok(Some(head)) = answered {
            if head.start.contains(" 200") {
                return true;
            }
        }
        sleep(ms(50));
    }
    false
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["backend", ..] => backend(&arguments[1..]),
        ["case", case] => play(case),
        _ => give_up("standin backend NAME KEY=VALUE... | standin case N"),
    }
}

// ---------------------------------------------------------------------------------------------------------
// Clients

enum Reply {
    /// Status and body of a whole answer.
    Answer(u16, Vec<u8>),
    /// The connection ended before or inside the answer.
    Broken(String),
}

/// Sends a request and reads its answer; returns the connection if it stays open.
fn exchange(stream: TcpStream, request: &[u8], wait: Duration) -> (Reply, Option<TcpStream>) {
    let mut output = &stream;
    let result = (|| {
        stream.set_read_timeout(Some(wait))?;
        output.write_all(request)?;
        let mut input = BufReader::new(&stream);
        let head = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = read_body(&mut input, &head)?;
        Ok::<_, io::Error>((status, body, head.get("connection").eq_ignore_ascii_case("close")))
    })();
    match result {
        Ok((status, body, true)) => (Reply::Answer(status, body), None),
        Ok((status, body, false)) => (Reply::Answer(status, body), Some(stream)),
        Err(error) => (Reply::Broken(error.to_string()), None),
    }
}

fn query(id: &str, path: &str, deadline_ms: u64) -> Vec<u8> {
    format!(
        "GET {path} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {deadline_ms}\r\n\r\n"
    )
    .into_bytes()
}

fn play(name: &str) {
    // A play lasts half a minute; one that does not end is ended.
    spawn(|| {
        sleep(ms(110_000));
        give_up("the play took too long")
    });
    std::panic::set_hook(Box::new(|panic| give_up(&panic.to_string())));
    match name {
        "1" => copies(Play::new(name)),
        "2" => repeats(Play::new(name)),
        "3" => uploads(Play::new(name)),
        // Seen besides, and not handed in as cases.
        "answers" => answers(Play::new(name)),
        "upgrade" => upgrade(Play::new(name)),
        _ => give_up("no such case"),
    }
}

/// Answers to queries come in small pieces, and every twentieth is sent a second time some milliseconds later.
fn copies(play: Play) {
    const SECONDS: u64 = 35;
    let copy_every = if play.trouble { 20 } else { 0 };
    let options: Vec<String> =
        ["work_ms=40", "body=49152", "piece=1024", "bytes_per_s=64000", "copy_late_ms=8"]
            .map(String::from)
            .to_vec();
    let options = [options, vec![format!("copy_every={copy_every}")]].concat();
    let backends: Vec<_> = (1..=6).map(|n| play.start_backend(&format!("s{n}"), &options)).collect();
    let list = list_json(&backends);
    let discovery = start_discovery(list.clone());
    let (listen, admin) = (free_port(), free_port());
    let config = format!("{}/config.json", play.folder);
    fs::write(&config, config_json(listen, admin, discovery, &list, 512)).expect("config");
    play.start_proxy("proxy", &config, &[]);
    if !wait_for_yes(listen, "/health/ready", ms(5000)) {
        give_up("the proxy is not ready");
    }
    let broken = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..9)
        .map(|client| {
            let (record, broken) = (play.record.clone(), broken.clone());
            spawn(move || {
                let mut stream = None;
                let began = Instant::now();
                for number in 0.. {
                    if began.elapsed() > ms(SECONDS * 1000) {
                        return;
                    }
                    let id = format!("q{client}-{number}");
                    let open = stream.take().or_else(|| TcpStream::connect(("127.0.0.1", listen)).ok());
                    let Some(open) = open else { continue };
                    record.note(&format!("{id} sent"));
                    let (reply, left) = exchange(open, &query(&id, "/query/x", 2400), ms(4000));
                    stream = left;
                    match reply {
                        Reply::Answer(200, body) => {
                            let foreign = String::from_utf8_lossy(&body)
                                .lines()
                                .find(|line| !line.starts_with(&format!("answer to {id} from ")))
                                .map(String::from);
                            record.note(&format!("{id} answered 200, {} bytes", body.len()));
                            if let Some(line) = foreign {
                                broken
                                    .lock()
                                    .expect("broken")
                                    .push(format!("{id} got another request's answer: {line}"));
                            }
                        }
                        Reply::Answer(status, _) => record.note(&format!("{id} answered {status}")),
                        Reply::Broken(why) => record.note(&format!("{id} broken: {why}")),
                    }
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    play.keep_log("proxy");
    let broken = broken.lock().expect("broken").clone();
    play.end(&broken);
}

/// What became of an upload.
struct Upload {
    id: String,
    /// When the client had written the last byte, and when the proxy's machine had accepted it.
    written_at: Instant,
    accepted_at: Option<Instant>,
    /// When the whole answer was there, and its status.
    answered: Option<(Instant, u16)>,
    broke: Option<String>,
}

/// Sends an upload and waits for its answer, at most for `patience` after the last byte was accepted. `None` if it
/// can't be written to its end.
fn upload(
    record: &Record,
    stream: &TcpStream,
    id: &str,
    bytes: usize,
    deadline_ms: u64,
    patience: Duration,
) -> Option<Upload> {
    let head = format!(
        "POST /ingest/push HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {deadline_ms}\r\nContent-Length: {bytes}\r\n\r\n"
    );
    record.note(&format!("{id} begins, body of {bytes} bytes, deadline {deadline_ms} ms"));
    (&*stream).write_all(head.as_bytes()).ok()?;
    (&*stream).write_all(&vec![b'x'; bytes]).ok()?;
    let mut result = Upload {
        id: id.to_string(),
        written_at: Instant::now(),
        accepted_at: None,
        answered: None,
        broke: None,
    };
    record.note(&format!("{id} last byte written"));
    stream.set_read_timeout(Some(ms(5))).ok()?;
    let mut answer = Vec::new();
    loop {
        if result.accepted_at.is_none() && unaccepted_bytes(stream) == 0 {
            result.accepted_at = Some(Instant::now());
            record.note(&format!("{id} last byte accepted by the proxy's machine"));
        }
        if result.accepted_at.unwrap_or(result.written_at).elapsed() > patience {
            record.note(&format!("{id} no answer, the client leaves"));
            return Some(result);
        }
        let mut buffer = [0; 4096];
        match (&*stream).read(&mut buffer) {
            Ok(0) => {
                result.broke = Some("closed".to_string());
                record.note(&format!("{id} closed without an answer"));
                return Some(result);
            }
            Ok(length) => answer.extend_from_slice(&buffer[..length]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(error) => {
                record.note(&format!("{id} broke: {error}"));
                result.broke = Some(error.to_string());
                return Some(result);
            }
        }
        let mut input = &answer[..];
        if let Ok(Some(head)) = read_head(&mut input) {
            if read_body(&mut input, &head).is_ok() {
                let status = head.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
                result.answered = Some((Instant::now(), status));
                record.note(&format!("{id} answered {status}"));
                return Some(result);
            }
        }
    }
}

/// Clients push bodies of about 1 MB while one of ten backends is silent.
fn uploads(play: Play) {
    const DEADLINE_MS: u64 = 1500;
    /// An answer up to half a second after its time only earns nothing; every limit is 50 ms longer.
    const LATEST_MS: u64 = DEADLINE_MS + 500 + 50;
    let options = ["work_ms=40".to_string(), "close=1".to_string()];
    let backends: Vec<_> = (1..=10).map(|n| play.start_backend(&format!("s{n}"), &options)).collect();
    let list = list_json(&backends);
    let discovery = start_discovery(list.clone());
    let (listen, admin) = (free_port(), free_port());
    let config = format!("{}/config.json", play.folder);
    fs::write(&config, config_json(listen, admin, discovery, &list, 512)).expect("config");
    play.start_proxy("proxy", &config, &[]);
    if !wait_for_yes(listen, "/health/ready", ms(5000)) {
        give_up("the proxy is not ready");
    }
    // Quiet traffic, from which the backends in use are known.
    for number in 0..40 {
        let Ok(stream) = TcpStream::connect(("127.0.0.1", listen)) else { continue };
        exchange(stream, &query(&format!("q{number}"), "/query/x", 2400), ms(4000));
    }
    let lines = play.record.lines.lock().expect("lines").clone();
    let used = |backend: &&BackendProcess| {
        let start = format!("{} q", backend.name);
        lines.iter().filter(|line| line.starts_with(&start) && line.ends_with("answered")).count()
    };
    let silent = backends.iter().max_by_key(used).expect("ten backends");
    // Clients that push on connections which they keep, one push after the other.
    let (is_over, is_pausing) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let clients: Vec<_> = (0..32usize)
        .map(|client| {
            let (record, is_over, is_pausing) = (play.record.clone(), is_over.clone(), is_pausing.clone());
            sleep(ms(20));
            spawn(move || {
                let mut results = Vec::new();
                let mut kept = None;
                for number in 0.. {
                    if is_over.load(SeqCst) {
                        break;
                    }
                    if is_pausing.load(SeqCst) {
                        sleep(ms(20));
                        continue;
                    }
                    let stream = kept.take().or_else(|| TcpStream::connect(("127.0.0.1", listen)).ok());
                    let Some(stream) = stream else { break };
                    let id = format!("u{client}-{number}");
                    let result = upload(&record, &stream, &id, 1_300_000, DEADLINE_MS, ms(LATEST_MS + 1000));
                    if result.as_ref().is_some_and(|result| result.answered.is_some()) {
                        kept = Some(stream);
                    }
                    results.extend(result);
                    sleep(ms(300));
                }
                results
            })
        })
        .collect();
    sleep(ms(3000));
    // No push is under way while the backend falls silent: one that it has read in part may be whole in its system.
    is_pausing.store(true, SeqCst);
    sleep(ms(500));
    if play.trouble {
        play.record.note(&format!("{} falls silent", silent.name));
        signal(silent.pid, SIGSTOP);
    }
    is_pausing.store(false, SeqCst);
    sleep(ms(6000));
    is_over.store(true, SeqCst);
    let results: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).flatten().collect();
    // 8.6 s is the shortest silence that the page names; the silent one returns by itself.
    if play.trouble {
        sleep(ms(9000));
        signal(silent.pid, SIGCONT);
        play.record.note(&format!("{} is back", silent.name));
    }
    play.keep_log("proxy");
    let mut broken = Vec::new();
    for result in &results {
        // Without a proof that the proxy's machine had the last byte, nothing is held against the proxy.
        let Some(accepted_at) = result.accepted_at else { continue };
        let late_after = accepted_at + ms(LATEST_MS);
        match result.answered {
            Some((at, _)) if at <= late_after => {}
            Some((at, status)) => {
                let after = at.duration_since(accepted_at).as_millis();
                broken.push(format!("{} answered {status} only {after} ms after its last byte", result.id));
            }
            None if result.broke.is_some() => broken.push(format!("{} closed without an answer", result.id)),
            None => broken.push(format!("{} not answered within {LATEST_MS} ms of its last byte", result.id)),
        }
    }
    let served = results.iter().filter(|result| matches!(result.answered, Some((_, 200)))).count();
    play.record.note(&format!("{} pushes, {served} served", results.len()));
    if results.len() < 100 || served < 50 {
        exit_without_verdict(play, "too few pushes were sent or served for a verdict");
    }
    play.end(&broken);
}

fn exit_without_verdict(play: Play, why: &str) -> ! {
    play.record.note(why);
    give_up(why)
}

/// Slow clients download long answers while the platform starts `run` once more.
fn upgrade(play: Play) {
    const DEADLINE_MS: u64 = 1200;
    const LATEST_MS: u64 = DEADLINE_MS + 500 + 50;
    /// Clients may hold no more than a third of the descriptors for requests: 85 of 256.
    const DOWNLOADS: usize = 75;
    let options = ["work_ms=40".to_string()];
    let backends: Vec<_> = (1..=9).map(|n| play.start_backend(&format!("s{n}"), &options)).collect();
    let list = list_json(&backends);
    let discovery = start_discovery(list.clone());
    let (listen, admin, second_admin) = (free_port(), free_port(), free_port());
    let config = format!("{}/config.json", play.folder);
    fs::write(&config, config_json(listen, admin, discovery, &list, 256)).expect("config");
    let old = play.start_proxy("old", &config, &[]);
    if !wait_for_yes(admin, "/v1/readyz", ms(5000)) {
        give_up("the proxy is not ready");
    }
    let downloading = Arc::new(AtomicUsize::new(0));
    for number in 0..DOWNLOADS {
        let (record, downloading) = (play.record.clone(), downloading.clone());
        sleep(ms(20));
        spawn(move || {
            let Ok(mut stream) = TcpStream::connect(("127.0.0.1", listen)) else { return };
            set_receive_buffer(&stream, 32 * 1024);
            let _ = stream.write_all(&query(&format!("d{number}"), "/query/x?length=4000000", 3000));
            let mut buffer = [0; 8192];
            let mut total = 0;
            while let Ok(length) = stream.read(&mut buffer) {
                if length == 0 {
                    break;
                }
                if total == 0 {
                    downloading.fetch_add(1, SeqCst);
                }
                total += length;
                sleep(Duration::from_secs_f64(length as f64 / 64_000.0));
            }
            record.note(&format!("d{number} ended after {total} bytes"));
        });
    }
    sleep(ms(1500));
    play.record.note(&format!("{} downloads under way", downloading.load(SeqCst)));
    if downloading.load(SeqCst) < DOWNLOADS {
        exit_without_verdict(play, "not all downloads are under way");
    }
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let mut number = 0;
    let mut send_queries = |play: &Play, time: Duration| {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let id = format!("q{number}");
            number += 1;
            let (record, outcomes) = (play.record.clone(), outcomes.clone());
            spawn(move || {
                let sent = Instant::now();
                let reply = match TcpStream::connect(("127.0.0.1", listen)) {
                    Ok(stream) => {
                        record.note(&format!("{id} sent"));
                        exchange(stream, &query(&id, "/query/x", DEADLINE_MS), ms(LATEST_MS + 500)).0
                    }
                    // A refused connection was not taken.
                    Err(error) => return record.note(&format!("{id} not connected: {error}")),
                };
                let after = sent.elapsed();
                let (line, is_lost) = match reply {
                    Reply::Answer(status, _) => (format!("{id} answered {status}"), after > ms(LATEST_MS)),
                    // A reset or a close without any answer on a new connection is priced and not lost.
                    Reply::Broken(why) => (format!("{id} without an answer: {why}"), after > ms(LATEST_MS)),
                };
                record.note(&line);
                outcomes
                    .lock()
                    .expect("outcomes")
                    .push((is_lost, format!("{line} after {} ms", after.as_millis())));
            });
            sleep(ms(100));
        }
    };
    send_queries(&play, ms(1000));
    if play.trouble {
        play.start_proxy("new", &config, &[("RELAY_MANAGEMENT", format!("127.0.0.1:{second_admin}"))]);
        let began = Instant::now();
        if !wait_for_yes(second_admin, "/v1/readyz", ms(6000)) {
            give_up("the new process does not say yes");
        }
        play.record.note(&format!("the new process says yes after {} ms", began.elapsed().as_millis()));
        // The new process has 6 s to say yes; then SIGTERM goes to the old one.
        send_queries(&play, ms(6000).saturating_sub(began.elapsed()));
        signal(old, SIGTERM);
        play.record.note("SIGTERM to the old process");
        send_queries(&play, ms(3700));
        signal(old, SIGKILL);
        play.record.note("SIGKILL to the old process");
    }
    send_queries(&play, ms(2000));
    sleep(ms(LATEST_MS + 600));
    play.keep_log("old");
    play.keep_log("new");
    let outcomes = outcomes.lock().expect("outcomes").clone();
    let broken: Vec<String> =
        outcomes.iter().filter(|(is_lost, _)| *is_lost).map(|(_, line)| line.clone()).collect();
    play.record.note(&format!(
        "{} queries answered or ended, {} of them too late",
        outcomes.len(),
        broken.len()
    ));
    play.end(&broken);
}

/// Backends give long answers in chunks, at the pace of slow peers.
fn answers(play: Play) {
    /// 60% of the class's give-up time.
    const DEADLINE_MS: u64 = 900;
    const REQUESTS: usize = 60;
    let mut options = vec!["work_ms=40".to_string(), "body=200000".to_string(), "chunked=1".to_string()];
    if play.trouble {
        options.extend(["piece=1024".to_string(), "bytes_per_s=64000".to_string()]);
    }
    let backends: Vec<_> = (1..=9).map(|n| play.start_backend(&format!("s{n}"), &options)).collect();
    let list = list_json(&backends);
    let discovery = start_discovery(list.clone());
    let (listen, admin) = (free_port(), free_port());
    let config = format!("{}/config.json", play.folder);
    fs::write(&config, config_json(listen, admin, discovery, &list, 512)).expect("config");
    play.start_proxy("proxy", &config, &[]);
    if !wait_for_yes(listen, "/health/ready", ms(5000)) {
        give_up("the proxy is not ready");
    }
    let calls: Vec<_> = (0..REQUESTS)
        .map(|number| {
            sleep(ms(200));
            let record = play.record.clone();
            spawn(move || {
                let id = format!("i{number}");
                let request = format!(
                    "POST /ingest/x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nReq-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 10\r\n\r\n0123456789"
                );
                let stream = TcpStream::connect(("127.0.0.1", listen)).ok()?;
                record.note(&format!("{id} sent"));
                // Every read may take this long: the answer is timed by its first bytes.
                let (reply, _) = exchange(stream, request.as_bytes(), ms(DEADLINE_MS + 3000));
                let line = match &reply {
                    Reply::Answer(status, body) => format!("{id} answered {status}, {} bytes", body.len()),
                    Reply::Broken(why) => format!("{id} broken: {why}"),
                };
                record.note(&line);
                let is_whole = matches!(&reply, Reply::Answer(200, body) if body.len() >= 200_000);
                Some((id, is_whole, line))
            })
        })
        .collect();
    let results: Vec<_> = calls.into_iter().filter_map(|call| call.join().ok().flatten()).collect();
    play.keep_log("proxy");
    let mut broken = Vec::new();
    for (id, is_whole, line) in &results {
        // Only what a backend was still giving when the proxy closed its connection is held against the proxy.
        let was_cut = play.record.contains(&format!(" {id} cut off while it answers"));
        if !is_whole && was_cut {
            broken.push(format!("{line}, while its backend was still giving the answer"));
        }
    }
    play.record.note(&format!("{} requests, {} of them cut off", results.len(), broken.len()));
    if results.len() < REQUESTS {
        exit_without_verdict(play, "not all requests were sent");
    }
    play.end(&broken);
}

/// Orders with an idempotency key, which backends remember for 1.2 s, while connections are reset under
/// requests and a third of the connections come up late.
fn repeats(play: Play) {
    const WINDOW_MS: u128 = 1200;
    /// Every limit is 50 ms longer, and a proxy may be held up for 150 ms.
    const SLACK_MS: u128 = 200;
    const ORDERS: usize = 160;
    let mut options = vec!["work_ms=300".to_string(), "close=1".to_string()];
    if play.trouble {
        let trouble = ["late_ms=600", "late_period_ms=2000", "reset_every=5", "reset_after_ms=1000"];
        options.extend(trouble.map(String::from));
    }
    let backends: Vec<_> = (1..=6).map(|n| play.start_backend(&format!("s{n}"), &options)).collect();
    let list = list_json(&backends);
    let discovery = start_discovery(list.clone());
    let (listen, admin) = (free_port(), free_port());
    let config = format!("{}/config.json", play.folder);
    let text = config_json(listen, admin, discovery, &list, 512)
        .replace(
            r#""giveUp":1500.0,"points":5.0,"semantics":"fragile","group":"all","window":5000.0"#,
            r#""giveUp":3000.0,"points":5.0,"semantics":"dedup","group":"all","window":1200.0"#,
        )
        .replace(r#""connectTimeout":120.0"#, r#""connectTimeout":1500.0"#);
    fs::write(&config, text).expect("config");
    play.start_proxy("proxy", &config, &[]);
    if !wait_for_yes(listen, "/health/ready", ms(5000)) {
        give_up("the proxy is not ready");
    }
    let calls: Vec<_> = (0..ORDERS)
        .map(|number| {
            sleep(ms(150));
            let record = play.record.clone();
            spawn(move || {
                let id = format!("o{number}");
                let request = format!(
                    "POST /ingest/x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {id}\r\nIdempotency-Key: k{number}\r\nReq-Deadline-Ms: 2400\r\nContent-Length: 10\r\n\r\n0123456789"
                );
                let stream = TcpStream::connect(("127.0.0.1", listen)).ok()?;
                record.note(&format!("{id} sent"));
                let (reply, _) = exchange(stream, request.as_bytes(), ms(4000));
                let line = match &reply {
                    Reply::Answer(status, _) => format!("{id} answered {status}"),
                    Reply::Broken(why) => format!("{id} broken: {why}"),
                };
                record.note(&line);
                Some(())
            })
        })
        .collect();
    let answered = calls.into_iter().filter_map(|call| call.join().ok().flatten()).count();
    play.keep_log("proxy");
    // When each order ran, by its backends' own word.
    let mut runs: HashMap<String, Vec<(u128, String)>> = HashMap::new();
    for (at, line) in play.record.timed.lock().expect("lines").iter() {
        let words: Vec<&str> = line.split(' ').collect();
        if let [backend, id, "runs,", ..] = words[..] {
            runs.entry(id.to_string()).or_default().push((*at, backend.to_string()));
        }
    }
    let mut broken = Vec::new();
    for (id, runs) in &runs {
        let (first_at, first) = &runs[0];
        for (at, backend) in &runs[1..] {
            if at - first_at > WINDOW_MS + SLACK_MS {
                broken.push(format!("{id} ran at {first} and again at {backend} {} ms later", at - first_at));
            }
        }
    }
    broken.sort();
    let again = runs.values().filter(|runs| runs.len() > 1).count();
    play.record.note(&format!(
        "{answered} orders, {again} sent again after they had begun, {} of them too late",
        broken.len()
    ));
    if answered < ORDERS {
        exit_without_verdict(play, "not all orders were sent");
    }
    play.end(&broken);
}
