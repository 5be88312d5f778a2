//! The admin API, with which operators suspend backends, drain the proxy, and query its readiness and
//! settings. It forwards requests to the dispatcher and the process group and decides nothing itself.

mod routes;

use crate::config::reload::ReloadStatus;
use crate::dispatcher::Dispatcher;
use crate::log::log;
use crate::process_group::ProcessGroup;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{ALLOW, CONNECTION, CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use routes::{Route, RouteError};
use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// Maximum number of concurrent connections. Beyond it, a new connection closes the oldest one that has not
/// sent a complete request yet.
pub const MAX_CONNECTIONS: usize = 8;
/// Time limit for a connection, from its accept to the end of its response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a request head in bytes. This is the lowest limit that the HTTP library accepts.
const MAX_HEAD_BYTES: usize = 8192;
/// Maximum length of a request body in bytes. Bodies are read and ignored.
const MAX_BODY_BYTES: usize = 4096;
/// Delay after a failed accept.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

type AdminResponse = Response<Full<Bytes>>;

/// The admin API server, with the state that its requests read and change.
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    process_group: ProcessGroup,
    reload_status: Rc<ReloadStatus>,
    /// Whether the last attempt to read the markers failed.
    are_markers_unreadable: Cell<bool>,
    /// Whether this process serves clients. `false` before the start is complete and after a planned stop has
    /// begun.
    is_serving: Cell<bool>,
}

impl AdminServer {
    /// Creates the admin API server, announces the start of this process, and applies the existing markers.
    pub fn new(
        dispatcher: Rc<Dispatcher>,
        process_group: ProcessGroup,
        reload_status: Rc<ReloadStatus>,
    ) -> Rc<Self> {
        let server = Rc::new(AdminServer {
            dispatcher,
            process_group,
            reload_status,
            are_markers_unreadable: Cell::new(false),
            is_serving: Cell::new(false),
        });
        if let Err(error) = server.process_group.announce_start() {
            log!("markers: cannot announce the start of this process to the others: {error}");
        }
        server.apply_markers();
        server
    }

    /// Marks this process as serving, for the readiness check and for the other processes.
    pub fn start_serving(&self) {
        self.is_serving.set(true);
        if let Err(error) = self.process_group.join() {
            log!("markers: cannot announce to the other processes that this one serves: {error}");
        }
    }

    /// Makes the readiness check fail from now on.
    pub fn stop_serving(&self) {
        self.is_serving.set(false);
    }

    /// Returns the memory that the other serving processes hold, in bytes, as far as the system tells.
    pub fn other_processes_memory_bytes(&self) -> usize {
        self.process_group.other_processes_memory_bytes()
    }

    /// Applies the markers to the balancer. Returns `false` and changes nothing if they can't be read.
    pub fn apply_markers(&self) -> bool {
        let control = self.process_group.control_state();
        let were_unreadable = self.are_markers_unreadable.replace(control.is_err());
        match control {
            Ok(control) => self.dispatcher.apply_control_state(&control),
            Err(error) if !were_unreadable => {
                log!("markers: cannot be read: {error}; the state applied last stays in force");
            }
            Err(_) => {}
        }
        // If publishing fails, the other processes show no version for this one, and the next call tries
        // again.
        let _ = self.process_group.publish_version(self.dispatcher.settings_version());
        !self.are_markers_unreadable.get()
    }

    /// Accepts and serves connections forever.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut oldest_first = VecDeque::<AbortHandle>::new();
        loop {
            tokio::select! {
                Some(_) = connections.join_next() => {
                    oldest_first.retain(|connection| !connection.is_finished());
                }
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        if oldest_first.len() >= MAX_CONNECTIONS {
                            close_oldest(&mut oldest_first);
                        }
                        oldest_first
                            .push_back(connections.spawn_local(self.clone().serve_connection(stream)));
                        // The connection may hold its request already. Lets its task read it before the next
                        // connection can replace it.
                        tokio::task::yield_now().await;
                    }
                    // No error ends the loop, not even a lack of descriptors: callers are waiting, and the
                    // missing resource becomes available again.
                    Err(_) => {
                        close_oldest(&mut oldest_first);
                        sleep(ACCEPT_ERROR_PAUSE).await;
                    }
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, stream: TcpStream) {
        let service = service_fn(async |request| {
            let mut response = self.handle_request(request).await;
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            Ok::<_, Infallible>(response)
        });
        let mut builder = http1::Builder::new();
        let builder = builder.header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
        // The result is ignored: the request was answered, the caller has disconnected, or its time limit has
        // passed.
        let _ = timeout(REQUEST_TIMEOUT, builder.serve_connection(TokioIo::new(stream), service)).await;
    }

    async fn handle_request(&self, request: Request<Incoming>) -> AdminResponse {
        let (head, body) = request.into_parts();
        let route = match Route::parse(&head.method, head.uri.path()) {
            Ok(route) => route,
            Err(error) => return route_error_response(&error),
        };
        if let Err(error) = Limited::new(body, MAX_BODY_BYTES).collect().await {
            let is_too_long = error.is::<http_body_util::LengthLimitError>();
            let status = if is_too_long { StatusCode::PAYLOAD_TOO_LARGE } else { StatusCode::BAD_REQUEST };
            return text_response(status, "a call has no body");
        }
        match route {
            Route::Ready => self.readiness_response(),
            Route::Settings => self.settings_response(),
            Route::Discovery => json_response(self.dispatcher.discovery_json()),
            Route::SetSuspended { backend, is_suspended } => self.set_suspended(backend, is_suspended),
            Route::SetDraining { is_draining } => {
                let action = if is_draining { "drain" } else { "activate" };
                self.control_response(self.process_group.set_draining(is_draining), action, "proxy")
            }
        }
    }

    fn readiness_response(&self) -> AdminResponse {
        if self.dispatcher.has_ready_endpoint() && self.is_serving.get() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    /// Returns the settings versions in force in this process and in the others of the proxy, and the last
    /// rejected configuration.
    fn settings_response(&self) -> AdminResponse {
        self.apply_markers();
        let processes = self.process_group.versions().unwrap_or_default();
        let version = self.dispatcher.settings_version();
        json_response(self.reload_status.to_json(version, &processes))
    }

    fn set_suspended(&self, backend: Option<String>, is_suspended: bool) -> AdminResponse {
        // Another process may have marked a backend as suspended that this one doesn't know yet.
        self.apply_markers();
        let Some(name) = backend.filter(|name| self.dispatcher.knows_backend(name)) else {
            return text_response(StatusCode::NOT_FOUND, "no such backend");
        };
        let action = if is_suspended { "suspend" } else { "resume" };
        self.control_response(self.process_group.set_suspended(&name, is_suspended), action, &name)
    }

    /// Returns a success response if the marker was changed and the balancer has applied it.
    fn control_response(&self, marker_result: io::Result<()>, action: &str, target: &str) -> AdminResponse {
        if let Err(error) = &marker_result {
            log!("{action} {target}: not done, cannot change its marker: {error}");
        }
        if marker_result.is_ok() && self.apply_markers() {
            text_response(StatusCode::OK, &format!("{action} {target}: done"))
        } else {
            text_response(
                StatusCode::INTERNAL_SERVER_ERROR,
                &format!("{action} {target}: not done, see the log"),
            )
        }
    }
}

fn close_oldest(oldest_first: &mut VecDeque<AbortHandle>) {
    if let Some(oldest) = oldest_first.pop_front() {
        oldest.abort();
    }
}

fn route_error_response(error: &RouteError) -> AdminResponse {
    let RouteError::WrongMethod { allowed } = error else {
        return text_response(StatusCode::NOT_FOUND, "no such call");
    };
    let mut response = text_response(StatusCode::METHOD_NOT_ALLOWED, "wrong method");
    let allowed = if allowed == Method::GET { "GET" } else { "POST" };
    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
    response
}

fn json_response(status: Result<String, serde_json::Error>) -> AdminResponse {
    let Ok(status) = status else {
        return text_response(StatusCode::INTERNAL_SERVER_ERROR, "the status can't be written");
    };
    let mut response = text_response(StatusCode::OK, &status);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn text_response(status: StatusCode, text: &str) -> AdminResponse {
    let mut response = Response::new(Full::from(format!("{text}\n")));
    *response.status_mut() = status;
    response
}
