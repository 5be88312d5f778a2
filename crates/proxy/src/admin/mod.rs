//! The operators' door: calls to leave a backend out, to send clients away and to ask whether the process is ready.
//! It carries calls over and decides nothing.

use crate::config::reload::Record;
use crate::dispatcher::Engine;
use crate::log::log;
use crate::process_group::Handover;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Connections at once. Whoever holds one without a whole call gives way to the next caller, the oldest first.
pub const CALLERS: usize = 8;
/// A call must have come whole by then.
const ARRIVE: Duration = Duration::from_secs(5);
/// Longest head of a call, the least that the HTTP library takes, and longest body, which says nothing.
const MAX_HEAD: usize = 8192;
const MAX_BODY: usize = 4096;
/// Pause when nothing can be accepted.
const STARVED: Duration = Duration::from_millis(10);

type Reply = Response<Full<Bytes>>;

/// What calls act on.
pub struct Door {
    engine: Rc<Engine>,
    handover: Handover,
    record: Rc<Record>,
    /// Whether the marks could not be read when last looked at.
    blind: Cell<bool>,
    /// Whether clients are served here: not yet, or not any more.
    serving: Cell<bool>,
}

impl Door {
    /// A door to the module. What stands marked already holds from now on.
    pub fn new(engine: Rc<Engine>, handover: Handover, record: Rc<Record>) -> Rc<Self> {
        let (blind, serving) = (Cell::new(false), Cell::new(false));
        let door = Rc::new(Door { engine, handover, record, blind, serving });
        door.look();
        door
    }

    /// From now on clients are served here, and this process counts.
    pub fn serving(&self) {
        self.serving.set(true);
        if let Err(e) = self.handover.enter() {
            log!("marks: {e}; another process will not know of this one");
        }
    }

    /// From now on the process is not ready any more.
    pub fn stopping(&self) {
        self.serving.set(false);
    }

    /// Tells the module what the marks say. Marks that can't be read leave all as it was.
    pub fn look(&self) -> bool {
        let marks = self.handover.marks();
        let was = self.blind.replace(marks.is_err());
        match marks {
            Ok(marks) => self.engine.follow_marks(&marks),
            Err(e) if !was => log!("marks: {e}; what held goes on"),
            Err(_) => {}
        }
        // A version that can't be told is shown as none by the others, and told at the next look.
        let _ = self.handover.tell(self.engine.version());
        !self.blind.get()
    }

    /// Takes calls for ever.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let (mut calls, mut callers) = (JoinSet::new(), VecDeque::<AbortHandle>::new());
        loop {
            tokio::select! {
                Some(_) = calls.join_next() => callers.retain(|c| !c.is_finished()),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        if callers.len() >= CALLERS && let Some(oldest) = callers.pop_front() {
                            oldest.abort();
                        }
                        callers.push_back(calls.spawn_local(self.clone().caller(stream)));
                        // It may hold its call already, and must not give way to the next before that is seen.
                        tokio::task::yield_now().await;
                    }
                    // Out of descriptors or other: callers are waiting, and what is short comes free again.
                    Err(_) => {
                        callers.pop_front().inspect(AbortHandle::abort);
                        sleep(STARVED).await;
                    }
                }
            }
        }
    }

    async fn caller(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(async |request| {
            let mut reply = self.call(request).await;
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            Ok::<_, Infallible>(reply)
        });
        let mut builder = http1::Builder::new();
        let builder = builder.header_read_timeout(None).max_buf_size(MAX_HEAD);
        // However it ends, the call has been answered or its caller has left.
        let _ = timeout(ARRIVE, builder.serve_connection(TokioIo::new(stream), service)).await;
    }

    async fn call(&self, request: Request<Incoming>) -> Reply {
        let (head, body) = request.into_parts();
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        let method = match path[..] {
            ["v1", "readyz" | "settings"] => Method::GET,
            ["v1", "backends", _, "suspend" | "resume"] | ["v1", "proxy", "drain" | "activate"] => {
                Method::POST
            }
            _ => return say(StatusCode::NOT_FOUND, "no such call"),
        };
        if head.method != method {
            let mut reply = say(StatusCode::METHOD_NOT_ALLOWED, "wrong method");
            let allow = if method == Method::GET { "GET" } else { "POST" };
            reply.headers_mut().insert(ALLOW, HeaderValue::from_static(allow));
            return reply;
        }
        if let Err(e) = Limited::new(body, MAX_BODY).collect().await {
            let long = e.is::<http_body_util::LengthLimitError>();
            let status = if long { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST };
            return say(status, "a call has no body");
        }
        match path[..] {
            ["v1", "backends", id, what] => self.backend(id, what == "suspend"),
            ["v1", "proxy", what] => self.mark(self.handover.drain(what == "drain"), what, "proxy"),
            ["v1", "settings"] => self.settings(),
            _ if self.engine.ready() && self.serving.get() => say(StatusCode::OK, "ready"),
            _ => say(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        }
    }

    /// Which settings are in force here and in the other processes of this proxy, and the last that were refused.
    fn settings(&self) -> Reply {
        self.look();
        let processes = self.handover.versions().unwrap_or_default();
        let mut reply =
            say(StatusCode::OK, &self.record.shown(self.engine.version(), &processes).to_string());
        reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        reply
    }

    fn backend(&self, id: &str, suspend: bool) -> Reply {
        // The other process may have been told more of it.
        self.look();
        let name = percent_decode_str(id).decode_utf8();
        let Some(name) = name.ok().filter(|name| self.engine.knows(name)) else {
            return say(StatusCode::NOT_FOUND, "no such backend");
        };
        let what = if suspend { "suspend" } else { "resume" };
        self.mark(self.handover.suspend(&name, suspend), what, &name)
    }

    /// Yes once the mark stands and the module has applied it.
    fn mark(&self, marked: io::Result<()>, what: &str, whom: &str) -> Reply {
        if let Err(e) = &marked {
            log!("{what} {whom}: not done, its mark failed: {e}");
        }
        if marked.is_ok() && self.look() {
            say(StatusCode::OK, &format!("{what} {whom}: done"))
        } else {
            say(StatusCode::INTERNAL_SERVER_ERROR, &format!("{what} {whom}: not done, see the log"))
        }
    }
}

fn say(status: StatusCode, text: &str) -> Reply {
    let mut reply = Response::new(Full::from(format!("{text}\n")));
    *reply.status_mut() = status;
    reply
}
