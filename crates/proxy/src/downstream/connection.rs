//! A client connection: serves its requests in order, and closes it.

use super::body_reception::{BodyReception, ReceivedBody, RequestTimes};
use super::connection_table::{
    ConnectionGuard, ConnectionState, InFlightGuard, RequestIdGuard, RequestPhase, ResponseGuard,
};
use super::request_parsing::{
    Rejection, bad_request, check_framing, ordering_key, parse_head, unread_body_bytes,
};
use super::response::{
    ClientResponse, answer_response, close_after, closing_response, empty_response, rejected_response,
    rejected_response_bytes,
};
use super::server::{ListenerPhase, Server};
use crate::dispatcher::{Answer, IncomingRequest};
use crate::transport::{
    ArrivalProbe, ClientLiveness, ClientSocket, MAX_BODY_BYTES, MAX_HEAD_BYTES, MAX_HEADERS, ObservedStream,
    SendGuard, UnreadProbe, configure_socket,
};
use crate::upstream::UpstreamRequest;
use bytes::Bytes;
use foldhitch_balancer::api::Idempotency;
use hyper::body::{Body, Incoming};
use hyper::header::{HOST, HeaderValue};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, StatusCode, Uri};
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};

/// Time from the start of a drain until idle connections are closed. Clients keep sending new requests for up
/// to 0.3 s, and a request that crosses a close would have to be sent again.
const DRAIN_CLOSE_DELAY: Duration = Duration::from_millis(1200);
/// The fraction of the connection limit up to which requests are accepted on connections that have not been
/// served yet. A burst of requests that are not worth serving must leave room for the other clients.
const MAX_UNSERVED_FRACTION: f64 = 0.75;

/// The number of unread bytes behind a request above which its client may have disconnected unnoticed: the
/// kernel receives the end of the input only if it has space for the bytes before. Clients send one request at
/// a time.
const MAX_PIPELINED_BYTES: u64 = 16 * 1024;

/// The time after the receipt of a request for which a disconnect may be unnoticed.
const DISCONNECT_GRACE: Duration = Duration::from_millis(50);

/// An accepted connection, as its requests see it.
pub(super) struct ClientConnection {
    pub(super) server: Rc<Server>,
    socket: ClientSocket,
    pub(super) state: Rc<ConnectionState>,
}

/// An accepted connection that is registered in the connection table.
pub(super) struct AcceptedConnection {
    connection: ClientConnection,
    stream: ObservedStream<ClientSocket>,
    guard: ConnectionGuard,
    is_prepared: bool,
}

impl AcceptedConnection {
    /// Registers a connection in the connection table. `waiting_since` is the earliest time at which it can
    /// have entered the accept queue, if that is known.
    pub(super) fn new(
        server: Rc<Server>,
        stream: TcpStream,
        is_over_limit: bool,
        waiting_since: Option<Instant>,
    ) -> Self {
        let is_prepared = configure_socket(&stream).is_ok();
        let socket = ClientSocket::new(stream);
        let arrival_probe = waiting_since.map(|earliest| ArrivalProbe::new(socket.clone(), earliest));
        let stream =
            ObservedStream::for_client(socket.clone(), server.limits.get().read_bytes, arrival_probe);
        let guard = ConnectionGuard::new(&server.table, stream.progress(), socket.liveness());
        let state = guard.state.clone();
        state.progress.limit_heads(server.table.head_memory().reservation());
        state.progress.expect_head();
        state.is_over_limit.set(is_over_limit);
        let connection = ClientConnection { server, socket, state };
        AcceptedConnection { connection, stream, guard, is_prepared }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn serve(self, phase: watch::Receiver<ListenerPhase>) {
        let AcceptedConnection { connection, stream, guard, is_prepared } = self;
        if !is_prepared {
            return;
        }
        let may_still_send = connection.serve(stream, phase).await;
        if may_still_send {
            guard.state.phase.set(RequestPhase::Closing);
            tokio::select! {
                () = connection.socket.lingering_close() => {}
                () = guard.state.close_request.notified() => {}
            }
        }
    }
}

impl ClientConnection {
    /// Serves requests until the connection is to be closed. Returns whether the client may still send on it.
    async fn serve(
        &self,
        stream: ObservedStream<ClientSocket>,
        mut phase: watch::Receiver<ListenerPhase>,
    ) -> bool {
        let state = &self.state;
        let service = service_fn(async |request| Ok::<_, Infallible>(self.respond(request).await));
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .serve_connection(stream, service);
        let mut connection = pin!(connection);
        let is_in_flight = || state.phase.get() == RequestPhase::InFlight;
        let mut disconnected = pin!(self.socket.disconnected(is_in_flight));
        let mut idle_close_due = pin!(async {
            tokio::select! {
                _ = phase.wait_for(|phase| phase.closes_idle_connections()) => {}
                () = self.drain_close_due() => {}
            }
        });
        loop {
            // Buffered data is processed first, and the kernel's receive buffer is checked last before a
            // close, because a request may arrive at the same moment as the reason to close. The HTTP library
            // processes only a part of one read per poll; it waits for more data once it has processed all of
            // it.
            tokio::select! {
                biased;
                _ = connection.as_mut() => {
                    if state.progress.is_head_refused() {
                        self.socket.write_final_message(&rejected_response_bytes(self.server.retry_after()));
                    }
                    return true;
                }
                // Dropping the connection cancels its request, if there is one.
                () = disconnected.as_mut() => return true,
                () = state.close_request.notified() => {
                    state.is_close_requested.set(false);
                    if !state.can_be_closed() {
                        continue;
                    }
                    let is_empty = state.progress.is_read_pending() && !self.socket.has_unread();
                    if is_empty && !state.is_request_waiting.get() {
                        self.reject_if_unanswered();
                        return !state.was_answered.get() && !self.server.is_full();
                    }
                    // Closes after the answer instead: a client that always sends the next request at once is
                    // never idle, and would hold its connection forever.
                    state.closes_after_answer.set(true);
                    self.server.statistics.record_kept();
                }
                () = idle_close_due.as_mut(), if !state.closes_after_answer.get() => {
                    state.closes_after_answer.set(true);
                }
                () = self.idle_before_close() => {
                    if !self.socket.has_unread() {
                        self.reject_if_unanswered();
                        return true;
                    }
                    // The reactor is about to report the unread bytes.
                    yield_now().await;
                }
            }
        }
    }

    /// Sends a rejection on a connection that is closed before its first answer, so that a request that is
    /// still in transit finds its answer. On a connection that had an answer, the client may retry a request
    /// that crosses the close.
    fn reject_if_unanswered(&self) {
        if !self.state.was_answered.get() {
            self.socket.write_final_message(&rejected_response_bytes(self.server.retry_after()));
        }
    }

    /// Waits until the connection is to be closed and no byte of a request has arrived. Registers no waker:
    /// it is evaluated whenever the connection's task is polled.
    async fn idle_before_close(&self) {
        let can_close = || self.state.closes_after_answer.get() && self.state.is_idle();
        poll_fn(|_| if can_close() { Poll::Ready(()) } else { Poll::Pending }).await;
    }

    /// Waits until the proxy has been draining for [`DRAIN_CLOSE_DELAY`], after which idle connections are
    /// closed.
    async fn drain_close_due(&self) {
        let mut draining = self.server.dispatcher.draining();
        // The dispatcher outlives its connections, so no wait here fails.
        while draining.wait_for(|is_draining| *is_draining).await.is_ok() {
            tokio::select! {
                () = sleep(DRAIN_CLOSE_DELAY) => return,
                _ = draining.wait_for(|is_draining| !*is_draining) => {}
            }
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> ClientResponse {
        let guard = ResponseGuard(self.state.clone());
        if !self.state.progress.take_has_waited() && self.state.was_answered.get() {
            // A client that sends without a pause must not delay others: they get a turn for each request.
            self.state.is_request_waiting.set(true);
            yield_now().await;
            self.state.is_request_waiting.set(false);
        }
        let mut response = self.answer(request).await;
        response.body_mut().hold_guard(guard);
        response
    }

    async fn answer(&self, request: Request<Incoming>) -> ClientResponse {
        let times = self.request_times();
        self.state.progress.expect_message();
        if request.uri().path() == "/health/ready" {
            return self.health();
        }
        self.state.phase.set(RequestPhase::ReadingBody);
        let mut response = match self.read_request(request, times).await {
            Err(rejection) => *rejection,
            Ok(_) if self.is_overloaded() => {
                self.server.statistics.record_rejected();
                rejected_response(self.server.retry_after())
            }
            Ok((request, guard)) => {
                let response = self.dispatch(request, guard).await;
                if self.may_hide_disconnect() {
                    self.state.closes_after_answer.set(true);
                }
                response
            }
        };
        if self.should_close_after_answer() || self.state.is_next_head_uncertain() {
            close_after(&mut response);
        }
        response
    }

    /// Returns when the current request started and when its head was received. A pipelined request has
    /// waited since it was read.
    fn request_times(&self) -> RequestTimes {
        let progress = &self.state.progress;
        let received_at = progress.last_byte_at().unwrap_or_else(Instant::now);
        let is_first = !self.state.was_answered.get();
        let started_at =
            if is_first { Some(self.state.last_active_at.get()) } else { progress.first_byte_at() };
        RequestTimes { started_at: started_at.unwrap_or(received_at), received_at }
    }

    fn health(&self) -> ClientResponse {
        let dispatcher = &self.server.dispatcher;
        let is_ready = dispatcher.has_ready_endpoint() && !*dispatcher.draining().borrow();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        if self.should_close_after_answer() { closing_response(status) } else { empty_response(status) }
    }

    async fn dispatch(&self, request: IncomingRequest, mut guard: RequestIdGuard) -> ClientResponse {
        self.state.phase.set(RequestPhase::InFlight);
        let _in_flight = InFlightGuard::new(&self.server.table);
        guard.keep_claim(true);
        let answer = self.server.dispatcher.dispatch(request).await;
        // A rejected request has not run, and its client may send it again.
        guard.keep_claim(!matches!(answer, Answer::Rejected { .. }));
        if matches!(answer, Answer::Served(_)) {
            self.state.was_served.set(true);
            if self.state.is_over_limit.get() && self.server.can_keep_served() {
                self.state.is_over_limit.set(false);
            }
        }
        answer_response(answer)
    }

    /// Returns whether the connection is to be closed after the current answer.
    fn should_close_after_answer(&self) -> bool {
        self.state.is_over_limit.get()
            || self.state.closes_after_answer.get()
            || *self.server.dispatcher.draining().borrow()
            || self.server.is_handed_over.get()
    }

    /// Returns whether there are too many requests in flight for another one. Idle connections don't count:
    /// only work beyond the capacity is rejected. A connection that sends a request just as it is evicted
    /// stays open, so there may be more connections than the limit; if all of them had a request in flight,
    /// no connection could be accepted any more, not even to be rejected at once.
    fn is_overloaded(&self) -> bool {
        let in_flight = self.server.table.in_flight();
        let limit = self.server.limits.get().max_connections;
        let unserved_limit = (limit as f64 * MAX_UNSERVED_FRACTION) as usize;
        in_flight >= limit || !self.state.was_served.get() && in_flight >= unserved_limit
    }

    /// Reads and validates a request: its head, and its body as far as that is buffered. Returns the error
    /// response if it is not accepted.
    async fn read_request(
        &self,
        request: Request<Incoming>,
        times: RequestTimes,
    ) -> Result<(IncomingRequest, RequestIdGuard), Rejection> {
        let (mut head, body) = request.into_parts();
        detach_from_read_buffer(&mut head);
        let length = body.size_hint().exact();
        self.check_body_framing(&head, length)?;
        let has_body = !body.is_end_stream();
        let settings = self.server.dispatcher.settings();
        let mut parsed = parse_head(&settings, &head, has_body)?;
        // A second open request with the same id could not be distinguished from a repeat of the first, so it
        // is rejected.
        let guard = RequestIdGuard::new(&self.server.table, &parsed.id);
        let conflict = || Box::new(empty_response(StatusCode::CONFLICT));
        let mut guard = guard.ok_or_else(conflict)?;
        let idempotency = settings.balancer.classes[usize::from(parsed.class)].idempotency;
        if idempotency == Idempotency::NonIdempotent {
            guard.claim(&self.server.request_ids).ok_or_else(conflict)?;
        }
        let uri = head.uri.path_and_query().cloned().map(Uri::from).ok_or_else(bad_request)?;
        if length.is_some_and(|length| length > MAX_BODY_BYTES) {
            return Err(Box::new(closing_response(StatusCode::PAYLOAD_TOO_LARGE)));
        }
        let reception = BodyReception { server: &self.server, connection: &self.state };
        let body = reception.read_body(&head, &parsed, body, times, &mut guard).await?;
        // The settings may have changed while the body was read: the request is accepted under those now in
        // force, or rejected.
        let settings_in_force = self.server.dispatcher.settings();
        if !Rc::ptr_eq(&settings, &settings_in_force) {
            let current = parse_head(&settings_in_force, &head, has_body)?;
            parsed.class = current.class;
            parsed.tenant = current.tenant;
        }
        let is_streamed = matches!(body, ReceivedBody::Partial { .. });
        let (payload, extension) = reception.request_payload(body, length, &parsed, times);
        let request = UpstreamRequest {
            host: head.headers.get(HOST).cloned(),
            method: head.method.clone(),
            uri,
            id: parsed.id,
            idempotency_key: parsed.idempotency_key,
            body: payload,
        };
        // A request's deadline counts from its last byte.
        let last_byte_at = self.state.progress.last_byte_at();
        let received_at = last_byte_at.map_or(times.received_at, |at| at.max(times.received_at));
        let incoming = IncomingRequest {
            request,
            class: parsed.class,
            tenant: parsed.tenant,
            ordering_key: ordering_key(&head),
            is_client_connected: self.send_guard(received_at, is_streamed),
            received_at,
            client_timeout: parsed.client_timeout,
            body_extension: extension,
        };
        Ok((incoming, guard))
    }

    /// Checks the framing of a body, and records where the next head begins. `length` is the body's length,
    /// if it is known.
    fn check_body_framing(&self, head: &Parts, length: Option<u64>) -> Result<(), Rejection> {
        let progress = &self.state.progress;
        let raw_head = progress.take_head();
        progress.expect_body(unread_body_bytes(&raw_head, length));
        check_framing(head, &raw_head)
    }

    /// Returns the check of whether the client of a request is still connected.
    fn send_guard(&self, received_at: Instant, is_streamed: bool) -> SendGuard {
        let liveness = self.state.liveness.clone();
        Rc::new(move || {
            let may_hide_disconnect = !is_streamed && has_many_unread(&liveness);
            let was_just_connected = received_at.elapsed() < DISCONNECT_GRACE;
            liveness.is_connected() && (was_just_connected || !may_hide_disconnect)
        })
    }

    /// Returns whether so much lies unread behind the current request that the client may have disconnected
    /// unnoticed. The requests in it must not be sent.
    fn may_hide_disconnect(&self) -> bool {
        !self.state.is_reading_body.get() && has_many_unread(&self.state.liveness)
    }
}

/// Copies the target and the header values of a head. As the HTTP library returns them, they keep its whole read
/// buffer allocated for as long as the request is open.
fn detach_from_read_buffer(head: &mut Parts) {
    if let Ok(uri) = Uri::from_maybe_shared(Bytes::from(head.uri.to_string())) {
        head.uri = uri;
    }
    for value in head.headers.values_mut() {
        if let Ok(copy) = HeaderValue::from_bytes(value.as_bytes()) {
            *value = copy;
        }
    }
}

fn has_many_unread(liveness: &ClientLiveness) -> bool {
    liveness.unread_bytes().is_some_and(|unread_bytes| unread_bytes > MAX_PIPELINED_BYTES)
}
