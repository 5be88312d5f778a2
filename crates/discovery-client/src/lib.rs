//! Discovery: the list of backends, and the watch on its changes. The proxy follows it, and so does the scale run,
//! whose hollow proxies are to make the same calls.

use bytes::Bytes;
use foldhitch_balancer::api::{EndpointListKind, NOTIFICATION_DEADLINE_MS};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// A list older than one that was had before is held against it for so long: what a new address has to tell counts as
/// told 4 s after the move, and discovery may have begun anew.
const DOUBT: Duration = Duration::from_secs(3);
/// Pause after an answer without news that came at once; a watch goes on if asked within 200 ms.
const LULL: Duration = Duration::from_millis(100);
/// [`NOTIFICATION_DEADLINE_MS`] in whole milliseconds.
const TOLD: u64 = NOTIFICATION_DEADLINE_MS as u64;
/// Longest list.
const MAX_LIST: usize = 8 << 20;

/// How long is waited. What discovery has to tell once it is back after a silence counts as told at once, so that a
/// whole round of a call that is not answered and the pause after it has to fit well into the grace of a drain. Asking
/// costs nothing: the agent is next door.
///
/// For a long grace, and where the module says when to ask again, [`NOTIFICATION_DEADLINE_MS`] is the bound. Each call takes
/// its wait and at most thrice the patience, for the connection, the answer and the rest of it. A watch that is
/// given up, the module's first pause and an answer as late take 5, 2 and 3 twelfths of the term; a call that is
/// given up after others, the module's longest pause and that answer 3, 4 and 3.
#[derive(Clone, Copy)]
pub struct Waits {
    /// A watch, for a change. One that fell silent has to be noticed long before what it misses counts as told, 6 s
    /// later.
    watch: Duration,
    /// An answer that is later than its wait by this is not coming, nor is the rest of one that stops for so long.
    patience: Duration,
    /// After a failed call.
    pause: Duration,
}

impl Waits {
    /// Those that suit a grace.
    pub fn new(grace: Duration) -> Self {
        let within = |wait: Duration, least, most| {
            wait.clamp(Duration::from_millis(least), Duration::from_millis(most))
        };
        Waits {
            watch: within(grace * 2, 200, TOLD / 6),
            patience: within(grace / 2, 50, TOLD / 12),
            pause: within(grace / 8, 5, 250),
        }
    }
}

/// Whoever follows discovery: is told what it answers.
pub trait Follower {
    /// Whether a backend takes work by the list that is held.
    fn ready(&self) -> bool;
    /// A list, or changes to it; one `older` than what was told before brings no backend back.
    fn list(self: &Rc<Self>, kind: EndpointListKind, hosts: Vec<Host>, older: bool);
    /// A call failed, where the list must be asked for.
    fn list_failed(self: &Rc<Self>);
    /// A line for the log.
    fn note(&self, line: String);
}

/// A list, or changes to one.
#[derive(Deserialize)]
pub struct Page {
    seq: u64,
    whole: bool,
    hosts: Vec<serde_json::Value>,
}

/// An entry of a list.
#[derive(Deserialize)]
pub struct Host {
    /// The backend's name.
    pub host: String,
    /// Its address; one that is gone needs none.
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its cell.
    #[serde(default)]
    pub block: u16,
    /// Whether it takes new work.
    pub health: Health,
    /// Its size beside the others'.
    #[serde(default)]
    pub share: f64,
    /// When it started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub born_ms: f64,
}

/// Whether a backend takes new work.
#[derive(Deserialize, Clone, Copy, PartialEq, Eq)]
#[serde(rename_all = "UPPERCASE")]
pub enum Health {
    /// Takes work.
    Serving,
    /// Finishes its work.
    Draining,
    /// Gone.
    Deleted,
}

impl Page {
    /// Whether it can be the answer to a call after `asked`. A list that names nobody while backends serve is
    /// discovery's fault, and so is one older than what it was asked for: then the whole list is asked for, and
    /// that one holds, for discovery may have begun anew.
    fn sound(self, asked: Option<u64>, serving: bool) -> Result<Page, String> {
        if self.whole && self.hosts.is_empty() && serving {
            return Err("a list that names nobody, the last one stays in use".to_string());
        }
        match asked.filter(|&asked| self.seq < asked) {
            Some(asked) => Err(format!("version {} after {asked}, the last list stays in use", self.seq)),
            None => Ok(self),
        }
    }

    /// Its entries; those that can't be read are passed over, and a line for the log says so.
    pub fn entries(self) -> (Vec<Host>, Option<String>) {
        let (mut good, mut bad, mut example) = (Vec::new(), 0, String::new());
        for value in self.hosts {
            match Host::deserialize(&value) {
                Ok(host) if host.health == Health::Deleted || host.dial.is_some() => good.push(host),
                Ok(host) => (bad, example) = (bad + 1, format!("{}: no address", host.host)),
                Err(e) => (bad, example) = (bad + 1, format!("{value}: {e}")),
            }
        }
        (good, (bad > 0).then(|| format!("discovery: {bad} entries passed over, such as {example}")))
    }
}

/// Follows discovery for ever. Where the list must be asked for, it does so when the module says so and tells
/// it of failures; elsewhere it watches all the time. `newest` is the latest version had from any address.
pub async fn follow(
    follower: Rc<impl Follower>,
    address: SocketAddr,
    must_ask: bool,
    waits: Waits,
    newest: Rc<Cell<u64>>,
    mut wanted: watch::Receiver<bool>,
) {
    let (mut seq, mut link, mut failing, mut doubt) = (None::<u64>, None, false, None::<Instant>);
    loop {
        if must_ask && !*wanted.borrow_and_update() {
            if wanted.changed().await.is_err() {
                return;
            }
            continue;
        }
        let asked = Instant::now();
        let answer = ask(&mut link, address, seq, waits, failing).await;
        let page = answer.and_then(|page| {
            let sound = page.sound(seq, follower.ready());
            seq = seq.filter(|_| sound.is_ok());
            sound
        });
        match page {
            Ok(page) => {
                let repeated = seq.replace(page.seq) == Some(page.seq);
                failing = false;
                let older = page.seq < newest.get();
                let news = page.whole || !page.hosts.is_empty();
                if older && doubt.get_or_insert(asked).elapsed() > DOUBT {
                    // It has begun anew: its whole list holds as it is.
                    newest.set(page.seq);
                    (seq, doubt) = (None, None);
                    continue;
                }
                if !older {
                    newest.set(page.seq);
                    doubt = None;
                }
                if news {
                    let kind = if page.whole { EndpointListKind::Full } else { EndpointListKind::Delta };
                    let (hosts, complaint) = page.entries();
                    complaint.into_iter().for_each(|line| follower.note(line));
                    follower.list(kind, hosts, older);
                }
                // Nor is discovery that repeats itself asked without a pause.
                if (!news || repeated) && asked.elapsed() < LULL {
                    sleep(LULL).await;
                }
            }
            Err(e) => {
                if !std::mem::replace(&mut failing, true) {
                    follower.note(format!("discovery: {e}"));
                }
                link = None;
                if must_ask {
                    // The module decides when to ask again.
                    follower.list_failed();
                }
                sleep(waits.pause).await;
            }
        }
    }
}

type Link = SendRequest<Empty<Bytes>>;

/// One call: the whole list first, then a watch from the version that is held. After a failed one it is only asked
/// what there is, which comes at once or not at all.
async fn ask(
    link: &mut Option<Link>,
    address: SocketAddr,
    seq: Option<u64>,
    waits: Waits,
    failing: bool,
) -> Result<Page, String> {
    let (path, wait) = match seq {
        None => ("/registry/instances".to_string(), Duration::ZERO),
        Some(seq) => {
            let wait = if failing { Duration::from_millis(1) } else { waits.watch };
            (format!("/registry/instances?after={seq}&wait_ms={}", wait.as_millis()), wait)
        }
    };
    let mut sender = match link.take().filter(|l| !l.is_closed()) {
        Some(sender) => sender,
        None => connect(address, waits.patience).await?,
    };
    let request = Request::get(path).header(header::HOST, address.to_string()).body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = timeout(wait + waits.patience, sender.send_request(request)).await;
    let answer = answer.map_err(|_| "no answer in time".to_string())?.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    // The wait is over once an answer has begun: one that stops short must not cost the whole of it again.
    let body = timeout(waits.patience, async {
        let body = Limited::new(answer.into_body(), MAX_LIST).collect().await.map_err(|e| e.to_string())?;
        Ok::<_, String>((body.to_bytes(), sender.ready().await.is_ok()))
    });
    let (body, open) = body.await.map_err(|_| "an answer that stops short".to_string())??;
    *link = open.then_some(sender);
    serde_json::from_slice(&body).map_err(|e| format!("list: {e}"))
}

async fn connect(address: SocketAddr, patience: Duration) -> Result<Link, String> {
    let stream = timeout(patience, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| format!("{address}: no connection in time"))?;
    let stream = stream.map_err(|e| format!("{address}: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    tokio::task::spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}
