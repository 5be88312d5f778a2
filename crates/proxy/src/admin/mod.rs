//! The admin API: operators suspend backends, drain the proxy, and ask for its readiness and settings. It hands calls
//! over and decides nothing.

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

/// Connections at once. Whoever holds one without a complete call gives way to the next caller, the oldest first.
pub const MAX_CONNECTIONS: usize = 8;
/// A call must have come completely by then.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest head of a call in bytes, the least that the HTTP library takes.
const MAX_HEAD_BYTES: usize = 8192;
/// Longest body of a call in bytes; it says nothing.
const MAX_BODY_BYTES: usize = 4096;
/// Pause when nothing can be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);

type AdminResponse = Response<Full<Bytes>>;

/// The admin API, and what its calls act on.
pub struct AdminServer {
    dispatcher: Rc<Dispatcher>,
    process_group: ProcessGroup,
    reload_status: Rc<ReloadStatus>,
    /// Whether the markers could not be read when last polled.
    are_markers_unreadable: Cell<bool>,
    /// Whether clients are served here: not yet, or not any more.
    is_serving: Cell<bool>,
}

impl AdminServer {
    /// An admin API for the dispatcher. What is marked already holds from now on.
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
            log!("markers: {error}; other processes will not know that this one starts");
        }
        server.apply_markers();
        server
    }

    /// From now on clients are served here, and this process counts as one that serves.
    pub fn start_serving(&self) {
        self.is_serving.set(true);
        if let Err(error) = self.process_group.join() {
            log!("markers: {error}; other processes will not know of this one");
        }
    }

    /// From now on the process is not ready any more.
    pub fn stop_serving(&self) {
        self.is_serving.set(false);
    }

    /// Tells the balancer what the markers say. Markers that can't be read leave all as it was.
    pub fn apply_markers(&self) -> bool {
        let control = self.process_group.control_state();
        let were_unreadable = self.are_markers_unreadable.replace(control.is_err());
        match control {
            Ok(control) => self.dispatcher.apply_control_state(&control),
            Err(error) if !were_unreadable => log!("markers: {error}; what held continues"),
            Err(_) => {}
        }
        // A version that can't be published is shown as none by the others, and published the next time.
        let _ = self.process_group.publish_version(self.dispatcher.settings_version());
        !self.are_markers_unreadable.get()
    }

    /// Takes calls for ever.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut connections = JoinSet::new();
        let mut oldest_first = VecDeque::<AbortHandle>::new();
        loop {
            tokio::select! {
                Some(_) = connections.join_next() => oldest_first.retain(|connection| !connection.is_finished()),
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => {
                        if oldest_first.len() >= MAX_CONNECTIONS {
                            close_oldest(&mut oldest_first);
                        }
                        oldest_first.push_back(connections.spawn_local(self.clone().serve_connection(stream)));
                        // It may hold its call already, and must not give way to the next before that is seen.
                        tokio::task::yield_now().await;
                    }
                    // Out of descriptors or other: callers are waiting, and what is short comes free again.
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
        // However it ends, the call has been answered or its caller has disconnected.
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

    /// Which settings are in force here and in the other processes of this proxy, and the last that were rejected.
    fn settings_response(&self) -> AdminResponse {
        self.apply_markers();
        let processes = self.process_group.versions().unwrap_or_default();
        let version = self.dispatcher.settings_version();
        json_response(self.reload_status.to_json(version, &processes))
    }

    fn set_suspended(&self, backend: Option<String>, is_suspended: bool) -> AdminResponse {
        // The other process may have been notified of more.
        self.apply_markers();
        let Some(name) = backend.filter(|name| self.dispatcher.knows_backend(name)) else {
            return text_response(StatusCode::NOT_FOUND, "no such backend");
        };
        let action = if is_suspended { "suspend" } else { "resume" };
        self.control_response(self.process_group.set_suspended(&name, is_suspended), action, &name)
    }

    /// A success once the marker stands and the balancer has applied it.
    fn control_response(&self, marker_result: io::Result<()>, action: &str, target: &str) -> AdminResponse {
        if let Err(error) = &marker_result {
            log!("{action} {target}: not done, its marker failed: {error}");
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
