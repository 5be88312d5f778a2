//! The lifecycle of a request in the dispatcher, from its arrival to its final answer.

use super::endpoint_table::hash_str;
use super::messages::{Answer, IncomingRequest};
use super::request_table::{RequestEntry, ResponseSlot};
use super::{Dispatcher, RESPONSE_MARGIN, TIMEOUT_MARGIN};
use crate::log::log;
use crate::transport::{UploadProgress, UploadStatus};
use crate::upstream::printable_id;
use foldhitch_balancer::api::{Event, RequestArrival, RequestId};
use std::cell::Cell;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep_until};

impl Dispatcher {
    /// Dispatches a request and waits for its final answer. If the future is dropped before that, the client
    /// has disconnected.
    pub async fn dispatch(self: &Rc<Self>, incoming: IncomingRequest) -> Answer {
        let timeout = self.timeout(&incoming);
        let answer_by = incoming.received_at + timeout;
        let upload = incoming.request.upload().map(|upload| upload.status().clone());
        let mut arrival = RequestArrival {
            request: 0,
            key: incoming.ordering_key.as_deref().map_or(0, |key| hash_str(key).max(1)),
            class: incoming.class,
            tenant: incoming.tenant,
            deadline_ms: self.clock.ms_at(incoming.received_at + timeout.saturating_sub(RESPONSE_MARGIN)),
            is_body_streamed: upload.is_some(),
        };
        let Some((request, answer)) = self.admit(incoming) else {
            return Answer::Rejected { retry_after: None };
        };
        let client = ClientGuard { dispatcher: self.clone(), request, is_timed_out: Cell::new(false) };
        arrival.request = request;
        self.handle(Event::RequestArrived(arrival));
        if let Some(upload) = upload.clone() {
            tokio::task::spawn_local(self.clone().follow_upload(request, upload));
        }
        tokio::select! {
            biased;
            // A client that has disconnected gets no answer; its connection is about to notice that and drops
            // this future.
            Ok(answer) = answer => answer,
            // The balancer usually answers earlier. This limit covers a delayed event loop and a balancer
            // without an answer.
            () = timed_out(answer_by - TIMEOUT_MARGIN.min(timeout), upload) => {
                client.is_timed_out.set(true);
                Answer::TimedOut
            }
        }
    }

    /// Reports to the balancer when the deadline of a request with a streamed body is known, until the body
    /// has ended.
    async fn follow_upload(self: Rc<Self>, request: RequestId, upload: Rc<UploadStatus>) {
        let mut receiver = upload.progress();
        loop {
            let progress = *receiver.borrow_and_update();
            if let Some(last_byte_at) = progress.last_byte_at() {
                let deadline_ms = self.clock.ms_at(last_byte_at + upload.client_timeout);
                self.handle(match progress {
                    UploadProgress::Complete { .. } => Event::BodyReceived { request, deadline_ms },
                    _ => Event::BodyStalled { request, deadline_ms },
                });
            }
            if matches!(progress, UploadProgress::Complete { .. } | UploadProgress::Failed(_)) {
                return;
            }
            // `upload` owns the sender, so waiting cannot fail.
            let _ = receiver.changed().await;
        }
    }

    /// Returns how long a request may last, counted from its receipt.
    fn timeout(&self, incoming: &IncomingRequest) -> Duration {
        let timeout = incoming.client_timeout + incoming.body_extension;
        match self.stop_at.get() {
            Some(stop_at) => timeout.min(stop_at.saturating_duration_since(incoming.received_at)),
            None => timeout,
        }
    }

    /// Adds a request to the table. Returns `None` if too many requests are open.
    fn admit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let state = &mut *self.state.borrow_mut();
        let settings = self.settings();
        if state.requests.len() >= settings.site.max_open_requests {
            log!("{} rejected after 0 ms (too many open requests)", printable_id(&incoming.request.id));
            return None;
        }
        let (client, answer) = oneshot::channel();
        let is_client_connected = incoming.is_client_connected;
        let request = state.requests.insert(RequestEntry {
            request: Rc::new(incoming.request),
            settings,
            class: incoming.class,
            received_at: incoming.received_at,
            response: ResponseSlot::Pending { answer: client, is_client_connected },
            attempts: Vec::new(),
        });
        Some((request, answer))
    }

    /// Sets the time of a planned stop: requests that are still pending then time out, and new ones get no
    /// more time than that.
    pub fn stop_by(self: &Rc<Self>, stop_at: Instant) {
        self.stop_at.set(Some(stop_at));
        let dispatcher = self.clone();
        tokio::task::spawn_local(async move {
            sleep_until(stop_at).await;
            for request in dispatcher.time_out_all() {
                dispatcher.handle(Event::ClientDisconnected { request });
            }
        });
    }

    fn time_out_all(&self) -> Vec<RequestId> {
        let state = &mut *self.state.borrow_mut();
        let requests = state.requests.ids();
        for &request in &requests {
            state.log_request(request, "timed out by the planned stop");
            if let Some(entry) = state.requests.get_mut(request) {
                entry.answer(Answer::TimedOut);
            }
        }
        requests
    }
}

/// Waits until a request must have its answer. For a streamed body the time counts from the last byte.
async fn timed_out(answer_by: Instant, upload: Option<Rc<UploadStatus>>) {
    let upload_timed_out = async {
        match upload {
            Some(upload) => {
                let margin = RESPONSE_MARGIN - TIMEOUT_MARGIN;
                upload.waited_since_last_byte(upload.client_timeout + margin).await;
            }
            None => pending().await,
        }
    };
    tokio::select! {
        () = sleep_until(answer_by) => {}
        () = upload_timed_out => {}
    }
}

/// A waiting client. If this is dropped while the answer is pending, the disconnect is reported to the
/// balancer.
struct ClientGuard {
    dispatcher: Rc<Dispatcher>,
    request: RequestId,
    /// Whether the client was answered with a timeout, which the balancer handles as a disconnect.
    is_timed_out: Cell<bool>,
}

impl ClientGuard {
    /// Completes the request and returns whether its answer was pending.
    fn complete(&self) -> bool {
        let state = &mut *self.dispatcher.state.borrow_mut();
        let reason = if self.is_timed_out.get() { "timed out" } else { "client disconnected" };
        state.log_request(self.request, reason);
        let Some(entry) = state.requests.get_mut(self.request) else { return false };
        let was_pending = entry.is_pending();
        entry.complete();
        state.requests.remove_if_finished(self.request);
        was_pending
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        if self.complete() {
            self.dispatcher.handle(Event::ClientDisconnected { request: self.request });
        }
    }
}
