//! One attempt of a request: its expiry, its cancellation and its outcome.

use super::attempt_outcome::{AttemptOutcome, FinishedAttempt};
use super::buffering_times::BufferingTimes;
use super::connection::{Connection, IdleCheck};
use super::connection_pool::{ConnectionPool, Endpoint};
use super::request::{UpstreamRequest, printable_id};
use super::response::{PartialResponse, ResponseRead, read_response};
use super::response_fault::ResponseFault;
use super::response_stream::ResponseStream;
use crate::log::{WithSources, log};
use crate::transport::{BodyContent, SendGuard, StreamProgress, StreamedBody, WeakSendGuard};
use foldhitch_balancer::api::{Outcome, ResponseBuffering};
use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until, timeout_at};

/// The time limits of an attempt.
#[derive(Clone, Copy)]
pub struct AttemptTimes {
    /// When it is abandoned.
    pub expires_at: Instant,
    /// When its first byte must have been written, if that is limited.
    pub send_by: Option<Instant>,
    /// When the head of the request was received.
    pub received_at: Instant,
    /// How long its response is buffered.
    pub buffering: ResponseBuffering,
}

/// One attempt of a request.
pub struct Attempt {
    /// The request.
    pub request: Rc<UpstreamRequest>,
    /// The backend process that it is sent to.
    pub endpoint: Rc<Endpoint>,
    /// Its time limits.
    pub times: AttemptTimes,
    /// Reports whether the client still waits for the final answer.
    pub client: WeakSendGuard,
    /// Cancels the attempt.
    pub cancelled: oneshot::Receiver<()>,
}

impl Attempt {
    /// Runs the attempt and returns how it ended. The connection of an abandoned attempt is closed. This
    /// tells the backend that the response is no longer wanted, so that it stops the work and frees the slot.
    pub async fn run(self, pool: Rc<ConnectionPool>) -> FinishedAttempt {
        let Attempt { request, endpoint, times, client, cancelled } = self;
        let guard = send_guard(&pool, &endpoint, client, times.send_by);
        let exchange = Exchange {
            pool,
            request: request.clone(),
            endpoint,
            times,
            guard,
            held_for: Cell::default(),
            progress: RefCell::default(),
        };
        let outcome = tokio::select! {
            biased;
            outcome = exchange.run() => outcome,
            () = expired(&request, times.expires_at) => AttemptOutcome::Unserved(exchange.outcome_at_expiry()),
            Ok(()) = cancelled => AttemptOutcome::Unserved(Outcome::Cancelled),
        };
        FinishedAttempt { outcome, held_for: exchange.held_for.get() }
    }
}

/// Returns the check that is made right before a request is sent. While an attempt waits for a connection,
/// its request may complete, its client may disconnect unnoticed, the backend may begin to drain, or backends
/// may forget that the request ran. Half the drain deadline leaves time for a delayed event loop and a slow
/// write.
fn send_guard(
    pool: &ConnectionPool,
    endpoint: &Rc<Endpoint>,
    client: WeakSendGuard,
    send_by: Option<Instant>,
) -> SendGuard {
    let drain_deadline = pool.drain_deadline();
    let endpoint = endpoint.clone();
    Rc::new(move || {
        let is_wanted = client.upgrade().is_some_and(|is_connected| is_connected());
        let is_in_time = send_by.is_none_or(|send_by| Instant::now() < send_by);
        let draining_since = endpoint.draining_since.get();
        is_wanted && is_in_time && draining_since.is_none_or(|since| since.elapsed() <= drain_deadline / 2)
    })
}

/// Waits until the response is too late. For a streamed body the client timeout counts from the last byte.
async fn expired(request: &UpstreamRequest, expires_at: Instant) {
    let client_timeout_over = async {
        match request.upload() {
            Some(upload) => {
                let status = upload.status();
                status.waited_since_last_byte(status.client_timeout).await;
            }
            None => pending().await,
        }
    };
    tokio::select! {
        () = sleep_until(expires_at) => {}
        () = client_timeout_over => {}
    }
}

/// The exchange of a request and its response with a backend.
struct Exchange {
    pool: Rc<ConnectionPool>,
    request: Rc<UpstreamRequest>,
    endpoint: Rc<Endpoint>,
    times: AttemptTimes,
    guard: SendGuard,
    /// How long this proxy held back the response.
    held_for: Cell<Duration>,
    /// The progress of the connection that the request was last sent over.
    progress: RefCell<Option<Rc<StreamProgress>>>,
}

impl Exchange {
    async fn run(&self) -> AttemptOutcome {
        let outcome = match self.send().await {
            Ok((connection, response)) => self.receive(connection, response).await,
            Err(outcome) => AttemptOutcome::Unserved(outcome),
        };
        // Unless the request was served, the client is at fault if it did not send a complete and valid body.
        match self.request.upload().and_then(|upload| upload.status().failure()) {
            Some(status) if !matches!(outcome, AttemptOutcome::Served(_)) => {
                AttemptOutcome::InvalidRequest(status)
            }
            _ => outcome,
        }
    }

    /// Sends the request over an idle connection or a new one.
    async fn send(&self) -> Result<(Connection, Response<Incoming>), Outcome> {
        loop {
            let idle = self.pool.take_idle(&self.endpoint);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => self.connect().await?,
            };
            self.progress.replace(Some(connection.progress.clone()));
            connection.progress.guard_next_request(self.guard.clone());
            connection.expect_response_until(self.times.expires_at);
            let message = self.request.build_message(&connection.progress, self.times.expires_at);
            let message = message.ok_or(Outcome::NotSent)?;
            let error = match connection.sender.send_request(message).await {
                Ok(response) => {
                    self.held_for.set(connection.held_for());
                    return Ok((connection, response));
                }
                Err(error) => error,
            };
            let is_request_started = connection.progress.is_request_started();
            if !is_request_started && !(self.guard)() {
                return Err(Outcome::NotSent);
            }
            // An idle connection turned out to be closed, or to have unread bytes that cannot be the
            // response. Nothing of the request was written, so it is sent over another connection.
            if is_request_started || !is_reused {
                let id = printable_id(&self.request.id);
                let error = WithSources(&error);
                log!("{id}: no response of the backend at {}: {error}", self.endpoint.address);
                // The stream's progress shows whether the backend can have received the complete request.
                let may_have_run = connection.progress.is_request_complete();
                return Err(if may_have_run { Outcome::Reset } else { Outcome::ConnectFailed });
            }
        }
    }

    /// Returns the outcome of an attempt that has expired. An upload of which the backend has not taken the
    /// last byte never ran.
    fn outcome_at_expiry(&self) -> Outcome {
        let progress = self.progress.borrow();
        let is_complete = progress.as_ref().is_some_and(|progress| progress.is_request_complete());
        let is_started = progress.as_ref().is_some_and(|progress| progress.is_request_started());
        match self.request.upload() {
            Some(_) if is_started && !is_complete => Outcome::ConnectFailed,
            Some(_) if !is_started => Outcome::NotSent,
            _ => Outcome::Timeout,
        }
    }

    /// Opens a connection, unless that takes so long that the request could not be sent any more.
    async fn connect(&self) -> Result<Connection, Outcome> {
        let connect = self.pool.connect(&self.endpoint, &self.guard);
        match self.times.send_by {
            Some(send_by) => timeout_at(send_by, connect).await.unwrap_or(Err(Outcome::NotSent)),
            None => connect.await,
        }
    }

    /// Reads the response as far as it is buffered, and streams the rest of a long one.
    async fn receive(&self, connection: Connection, response: Response<Incoming>) -> AttemptOutcome {
        match self.try_receive(connection, response).await {
            Ok(outcome) => outcome,
            Err(fault) => {
                let id = printable_id(&self.request.id);
                let fault = WithSources(&fault);
                log!("{id}: response of the backend at {} is unusable: {fault}", self.endpoint.address);
                // The request may have run, and the connection can't be used again.
                AttemptOutcome::Unserved(Outcome::Reset)
            }
        }
    }

    async fn try_receive(
        &self,
        mut connection: Connection,
        response: Response<Incoming>,
    ) -> Result<AttemptOutcome, ResponseFault> {
        // Backends begin to serve a request when its last byte arrives. A 200 response before that belongs to
        // another request.
        if response.status() == StatusCode::OK && !connection.progress.is_request_complete() {
            return Err(ResponseFault::Early);
        }
        let budget = self.pool.buffered().clone();
        let outcome = match read_response(response, self.buffering_times(), budget).await? {
            ResponseRead::Complete(outcome) => outcome,
            ResponseRead::Partial(partial, body) => return Ok(self.stream(connection, partial, body)),
        };
        match connection.check_idle().await {
            IdleCheck::ResponseCorrupt => return Err(ResponseFault::UnexpectedBytes),
            IdleCheck::NotReusable => {}
            IdleCheck::Reusable => {
                let is_error = !matches!(outcome, AttemptOutcome::Served(_));
                connection.finish_response(is_error);
                self.pool.keep_idle(&self.endpoint, connection);
            }
        }
        Ok(outcome)
    }

    /// Returns how long the response is buffered. For a streamed body the times count from its last byte.
    fn buffering_times(&self) -> BufferingTimes {
        let AttemptTimes { expires_at, received_at, buffering, .. } = self.times;
        let (received_at, client_timeout) = match self.request.upload() {
            None => (received_at, expires_at.saturating_duration_since(received_at)),
            Some(upload) => {
                let status = upload.status();
                (Instant::now() - status.elapsed_since_last_byte(), status.client_timeout)
            }
        };
        BufferingTimes { decision: buffering, received_at, client_timeout }
    }

    fn stream(&self, connection: Connection, partial: PartialResponse, body: Incoming) -> AttemptOutcome {
        if !matches!(partial.outcome, AttemptOutcome::Served(_)) {
            // Only served responses are forwarded, so the rest of the body is not read.
            return partial.outcome;
        }
        let (frames, streamed) = StreamedBody::new(partial.length);
        let stream = ResponseStream {
            request: self.request.clone(),
            body,
            frames,
            pool: self.pool.clone(),
            endpoint: self.endpoint.clone(),
            connection,
            forwarded_bytes: 0,
        };
        tokio::task::spawn_local(stream.run(partial));
        AttemptOutcome::Served(BodyContent::Streamed(streamed))
    }
}
