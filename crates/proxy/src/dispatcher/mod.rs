//! The only owner of the balancer: turns what happens on the sockets into its events, in order, and carries out its
//! actions. Keeps the clock, the timers, the open requests and the endpoints.

mod clock;
mod endpoint_table;
mod messages;
mod request_table;
#[cfg(test)]
mod tests;

pub use clock::duration_from_ms;
pub use messages::{Answer, IncomingRequest};

use crate::log::log;
use crate::process_group::ControlState;
use crate::upstream::{Attempt, AttemptOutcome, ConnectionPool, printable_id};
use clock::Clock;
use endpoint_table::{EndpointTable, hash};
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::{
    Action, BackendId, EndpointInfo, EndpointListKind, Event, Outcome, RequestArrival, RequestId,
    SettingsError, SettingsUpdate, TimerToken,
};
use foldhitch_balancer::settings_format::{ResolvedSettings, SiteSettings};
use foldhitch_discovery_client::{DiscoveryError, EndpointListUpdate, EndpointObserver, EndpointRecord};
use request_table::{AttemptRecord, AttemptState, InFlightAttempt, RequestEntry, RequestTable, ResponseSlot};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::fmt::Write;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{oneshot, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// The balancer's deadline lies so much before the client's: a deadline counts from when the client sent the request,
/// and the answer has yet to reach it.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// A request still without an answer so long before the client's deadline is failed whatever the balancer says.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);

struct State {
    balancer: Balancer,
    requests: RequestTable,
    endpoints: EndpointTable,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// The middle of the proxy. Everything runs on one thread, so that events have one order.
pub struct Dispatcher {
    state: RefCell<State>,
    pool: Rc<ConnectionPool>,
    clock: Clock,
    /// The settings in force: they change in the same turn as the balancer's.
    settings: RefCell<Rc<ResolvedSettings>>,
    /// Whether the endpoint list is to be polled.
    poll_wanted: watch::Sender<bool>,
    /// Whether clients are sent elsewhere.
    draining: watch::Sender<bool>,
    /// How many processes act as this proxy; each keeps to its part of what the proxy may hold.
    process_count: watch::Sender<u32>,
    /// From when on nothing is awaited any more; set by a planned stop.
    stop_at: Cell<Option<Instant>>,
}

impl Dispatcher {
    /// Starts the balancer. Its polls for the endpoint list are requested through `poll_wanted`.
    pub fn new(
        settings: ResolvedSettings,
        seed: u64,
        pool: Rc<ConnectionPool>,
        poll_wanted: watch::Sender<bool>,
    ) -> Result<Rc<Self>, SettingsError> {
        let state = State {
            balancer: Balancer::new(settings.balancer.clone(), seed)?,
            requests: RequestTable::new(),
            endpoints: EndpointTable::new(pool.clone()),
            events: VecDeque::new(),
            actions: Vec::new(),
        };
        Ok(Rc::new(Dispatcher {
            state: RefCell::new(state),
            pool,
            clock: Clock::new(),
            settings: RefCell::new(Rc::new(settings)),
            poll_wanted,
            draining: watch::Sender::new(false),
            process_count: watch::Sender::new(1),
            stop_at: Cell::new(None),
        }))
    }

    /// The settings in force.
    pub fn settings(&self) -> Rc<ResolvedSettings> {
        self.settings.borrow().clone()
    }

    /// Version of the settings in force.
    pub fn settings_version(&self) -> u64 {
        self.state.borrow().balancer.version()
    }

    /// Puts other settings in force, here and in the balancer, and returns their version. An error says what is
    /// wrong; nothing has changed then. A class or tenant continues the one of its name.
    pub fn configure(
        self: &Rc<Self>,
        settings: ResolvedSettings,
        version: u64,
        content_hash: u64,
    ) -> Result<u64, SettingsError> {
        let state = &mut *self.state.borrow_mut();
        let old = self.settings();
        let update = SettingsUpdate {
            version,
            settings: settings.balancer.clone(),
            continued_classes: continued(&old.site.class_names, &settings.site.class_names),
            continued_tenants: continued(&old.site.tenant_names, &settings.site.tenant_names),
            content_hash,
        };
        let mut actions = std::mem::take(&mut state.actions);
        let version = state.balancer.configure(self.clock.now_ms(), update, &mut actions)?;
        self.settings.replace(Rc::new(settings));
        self.carry_out(state, actions);
        self.process_events(state);
        Ok(version)
    }

    /// The longest that something takes by the settings in force and by those that pending requests were admitted
    /// under.
    pub fn longest(&self, takes: impl Fn(&SiteSettings) -> Duration) -> Duration {
        let state = self.state.borrow();
        let pending = state.requests.pending().map(|entry| takes(&entry.settings.site));
        pending.fold(takes(&self.settings().site), Duration::max)
    }

    /// Whether the proxy drains, and changes of that.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// How many processes act as this proxy, and changes of that.
    pub fn process_count(&self) -> watch::Receiver<u32> {
        self.process_count.subscribe()
    }

    /// Whether a backend of this name is listed or suspended.
    pub fn knows_backend(&self, name: &str) -> bool {
        self.state.borrow().endpoints.contains(name)
    }

    /// Whether requests can be dispatched: some backend takes them.
    pub fn has_ready_endpoint(&self) -> bool {
        self.state.borrow().endpoints.has_ready()
    }

    /// How many requests have a pending answer.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().requests.pending().count()
    }

    /// Tells the balancer what the operators want: these backends suspended and no others, the proxy draining or not,
    /// and how many processes live.
    pub fn apply_control_state(self: &Rc<Self>, control: &ControlState) {
        let mut events = self.suspension_events(control);
        if *self.draining.borrow() != control.is_draining {
            events.push(Event::SetDraining { is_draining: control.is_draining });
        }
        let count = control.other_processes + 1;
        if *self.process_count.borrow() != count {
            self.process_count.send_replace(count);
            log!("processes of this proxy: {count}");
            events.push(Event::ProcessCount { count });
        }
        for event in events {
            self.handle(event);
        }
    }

    fn suspension_events(&self, control: &ControlState) -> Vec<Event> {
        let state = &mut *self.state.borrow_mut();
        let mut events = Vec::new();
        for name in &control.suspended {
            let (backend, endpoint) = state.endpoints.find_or_add(name);
            if !endpoint.is_suspended {
                events.push(Event::SetSuspended { backend, is_suspended: true });
            }
        }
        for (backend, name) in state.endpoints.suspended() {
            if !control.suspended.contains(name) {
                events.push(Event::SetSuspended { backend, is_suspended: false });
            }
        }
        events
    }

    /// Takes a request and waits for its one answer. Dropped before that, the client has disconnected.
    pub async fn dispatch(self: &Rc<Self>, incoming: IncomingRequest) -> Answer {
        let timeout = self.timeout(&incoming);
        let answer_by = incoming.received_at + timeout;
        let upload = incoming.request.upload().cloned();
        let mut arrival = RequestArrival {
            request: 0,
            key: incoming.ordering_key.as_deref().map_or(0, |key| hash(key).max(1)),
            class: incoming.class,
            tenant: incoming.tenant,
            deadline_ms: self.clock.ms_at(incoming.received_at + timeout.saturating_sub(RESPONSE_MARGIN)),
            is_body_streamed: upload.is_some(),
        };
        let Some((request, answer)) = self.admit(incoming) else {
            return Answer::Rejected { retry_after: None };
        };
        let _client = ClientGuard { dispatcher: self.clone(), request };
        arrival.request = request;
        self.handle(Event::RequestArrived(arrival));
        if let Some(upload) = upload {
            let dispatcher = self.clone();
            tokio::task::spawn_local(async move {
                if let Some(completed_at) = upload.completed().await {
                    let deadline_ms = dispatcher.clock.ms_at(completed_at + upload.client_timeout);
                    dispatcher.handle(Event::BodyReceived { request, deadline_ms });
                }
            });
        }
        tokio::select! {
            biased;
            // None comes to a client that has disconnected; its connection, which is about to notice, ends this.
            Ok(answer) = answer => answer,
            // The balancer answers in time; this guards against a late loop and against its silence.
            () = sleep_until(answer_by - TIMEOUT_MARGIN.min(timeout)) => Answer::TimedOut,
        }
    }

    /// How long a request may last, from when it was received.
    fn timeout(&self, incoming: &IncomingRequest) -> Duration {
        let timeout = incoming.client_timeout + incoming.body_extension;
        match self.stop_at.get() {
            Some(stop_at) => timeout.min(stop_at.saturating_duration_since(incoming.received_at)),
            None => timeout,
        }
    }

    /// Opens a request; none if there are too many.
    fn admit(&self, incoming: IncomingRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let state = &mut *self.state.borrow_mut();
        let settings = self.settings();
        if state.requests.len() >= settings.site.max_open_requests {
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

    /// Takes an endpoint list, or changes to it.
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointListUpdate) {
        let EndpointListUpdate { kind, endpoints, is_older } = update;
        let endpoints = self.resolve_endpoints(kind, &endpoints, is_older);
        self.handle(Event::EndpointList { kind, endpoints });
        self.forget_gone_endpoints();
    }

    fn resolve_endpoints(
        &self,
        kind: EndpointListKind,
        records: &[EndpointRecord],
        is_older: bool,
    ) -> Vec<EndpointInfo> {
        let state = &mut *self.state.borrow_mut();
        let settings = self.settings();
        if kind != EndpointListKind::Delta {
            state.endpoints.begin_full_list();
        }
        let mut endpoints = Vec::with_capacity(records.len());
        for record in records {
            match state.endpoints.update(record, &settings.site.zone_names, is_older) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => log!("discovery: {error}"),
            }
        }
        state.endpoints.end_list();
        endpoints
    }

    /// Forgets the backends that no list names, once no open request was sent to them: the balancer has forgotten
    /// such a backend too. Where backends are replaced by new ones all day, nothing may grow with their number.
    pub fn forget_gone_endpoints(&self) {
        let state = &mut *self.state.borrow_mut();
        if state.endpoints.has_unknown() {
            state.endpoints.remove_unknown(&state.requests.backends());
        }
    }

    /// Answers what is still pending by then, and takes nothing that would last longer.
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
            state.log_request(request, "out of time at a planned stop");
            if let Some(entry) = state.requests.get_mut(request) {
                entry.answer(Answer::TimedOut);
            }
        }
        requests
    }

    /// Tells the balancer of an event and carries out what it decides, and so on until all is quiet.
    fn handle(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        state.events.push_back(event);
        self.process_events(state);
    }

    fn process_events(self: &Rc<Self>, state: &mut State) {
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(self.clock.now_ms(), event, &mut actions);
            self.carry_out(state, actions);
        }
    }

    fn carry_out(self: &Rc<Self>, state: &mut State, mut actions: Vec<Action>) {
        for action in actions.drain(..) {
            self.act(state, action);
        }
        state.actions = actions;
    }

    fn act(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, backend, expires_at_ms } => {
                self.send(state, request, backend, expires_at_ms);
            }
            Action::Reject { request, retry_after_ms } => {
                let retry_after = Some(duration_from_ms(retry_after_ms)).filter(|delay| !delay.is_zero());
                state.log_request(request, "rejected");
                state.requests.answer(request, Answer::Rejected { retry_after });
            }
            Action::Fail { request } => {
                state.log_request(request, "failed");
                state.requests.answer(request, Answer::Failed);
            }
            Action::Cancel { request, attempt } => state.requests.cancel(request, attempt),
            Action::SetTimer { delay_ms, token } => self.set_timer(duration_from_ms(delay_ms), token),
            Action::CloseIdleConnections { backend } => {
                if let Some(endpoint) = state.endpoints.endpoint(backend) {
                    self.pool.close_idle(endpoint);
                }
            }
            Action::PollEndpoints => {
                self.poll_wanted.send_replace(true);
            }
            Action::SetSuspended { backend, is_suspended } => {
                if let Some(name) = state.endpoints.set_suspended(backend, is_suspended) {
                    log!("backend {name} {}", if is_suspended { "suspended" } else { "resumed" });
                }
            }
            Action::SetDraining { is_draining } => {
                self.draining.send_replace(is_draining);
                log!("{}", if is_draining { "draining" } else { "active again" });
            }
        }
    }

    fn set_timer(self: &Rc<Self>, delay: Duration, token: TimerToken) {
        let dispatcher = self.clone();
        tokio::task::spawn_local(async move {
            sleep(delay).await;
            dispatcher.handle(Event::TimerFired { token });
        });
    }

    fn send(self: &Rc<Self>, state: &mut State, request: RequestId, backend: BackendId, expires_at_ms: f64) {
        let Some(entry) = state.requests.get_mut(request) else { return };
        let number = entry.attempts.len();
        let max_attempts = self.settings().balancer.capabilities.max_attempts as usize;
        let client = entry.client().filter(|_| number < max_attempts);
        let Some((endpoint, client)) = state.endpoints.endpoint(backend).zip(client) else {
            let (outcome, latency) = (Outcome::NotSent, Duration::ZERO);
            let attempt_state = AttemptState::Finished { outcome, latency };
            entry.attempts.push(AttemptRecord { backend, state: attempt_state });
            state.events.push_back(entry.attempt_event(request, number, backend, outcome, latency));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        let in_flight = InFlightAttempt { sent_at: Instant::now(), cancel: Some(cancel) };
        entry.attempts.push(AttemptRecord { backend, state: AttemptState::InFlight(in_flight) });
        let attempt = Attempt {
            request: entry.request.clone(),
            endpoint: endpoint.clone(),
            expires_at: self.clock.instant_at(expires_at_ms),
            client,
            cancelled,
        };
        let dispatcher = self.clone();
        tokio::task::spawn_local(async move {
            let outcome = attempt.run(dispatcher.pool.clone()).await;
            dispatcher.finish_attempt(request, number, outcome);
        });
    }

    /// An attempt ended. The first served response goes to the client by itself.
    fn finish_attempt(self: &Rc<Self>, request: RequestId, number: usize, outcome: AttemptOutcome) {
        let events = self.state.borrow_mut().finish_attempt(request, number, outcome);
        for event in events {
            self.handle(event);
        }
    }
}

impl State {
    /// Notes the end of an attempt and answers the client, if that is due; returns what the balancer is to be told.
    fn finish_attempt(&mut self, request: RequestId, number: usize, outcome: AttemptOutcome) -> Vec<Event> {
        let Some(entry) = self.requests.get_mut(request) else { return Vec::new() };
        let finished = entry.finish_attempt(number, outcome.outcome());
        let Some((backend, latency)) = finished else { return Vec::new() };
        let mut events = Vec::new();
        match &outcome {
            AttemptOutcome::Rejected => self.log_request(request, "rejected by a backend"),
            AttemptOutcome::InvalidRequest(status) => {
                self.log_request(request, &format!("aborted by its client, {status}"));
            }
            // What comes next is decided with this outcome, and perhaps at once: a further attempt.
            AttemptOutcome::Unserved(_) if self.complete_if_disconnected(request) => {
                events.push(Event::ClientDisconnected { request });
            }
            AttemptOutcome::Served(_) | AttemptOutcome::Unserved(_) => {}
        }
        let Some(entry) = self.requests.get_mut(request) else { return events };
        let balancer_outcome = outcome.outcome();
        match outcome {
            AttemptOutcome::Served(body) => entry.answer(Answer::Served(body)),
            AttemptOutcome::InvalidRequest(status) => entry.answer(Answer::InvalidRequest(status)),
            AttemptOutcome::Rejected => entry.answer(Answer::Failed),
            AttemptOutcome::Unserved(_) => {}
        }
        events.push(entry.attempt_event(request, number, backend, balancer_outcome, latency));
        self.requests.remove_if_finished(request);
        events
    }

    /// Whether a request's client has disconnected, which then waits for no answer any more.
    fn complete_if_disconnected(&mut self, request: RequestId) -> bool {
        if !self.requests.get(request).is_some_and(RequestEntry::is_client_disconnected) {
            return false;
        }
        self.log_request(request, "client disconnected");
        if let Some(entry) = self.requests.get_mut(request) {
            entry.complete();
        }
        true
    }

    /// A line for a request that is about to end unserved, so that it can be followed by its id.
    fn log_request(&self, request: RequestId, what: &str) {
        let Some(entry) = self.requests.get(request).filter(|entry| entry.is_pending()) else { return };
        let class = &entry.settings.site.class_names[usize::from(entry.class)];
        let id = printable_id(&entry.request.id);
        let age = entry.received_at.elapsed().as_millis();
        let mut line = format!("{id} {class} {what} after {age} ms");
        for attempt in &entry.attempts {
            let name = self.endpoints.name(attempt.backend).unwrap_or("?");
            let (state, latency) = match &attempt.state {
                AttemptState::InFlight(in_flight) => ("in flight".to_string(), in_flight.sent_at.elapsed()),
                AttemptState::Finished { outcome, latency } => (format!("{outcome:?}"), *latency),
            };
            let _ = write!(line, ", {name} {state} {} ms", latency.as_millis());
        }
        log!("{line}");
    }
}

impl EndpointObserver for Dispatcher {
    fn has_ready_endpoint(&self) -> bool {
        Dispatcher::has_ready_endpoint(self)
    }

    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate) {
        self.update_endpoints(update);
    }

    fn on_poll_failed(self: &Rc<Self>) {
        self.poll_wanted.send_replace(false);
        self.handle(Event::EndpointList { kind: EndpointListKind::Failed, endpoints: Vec::new() });
    }

    fn on_warning(&self, warning: &DiscoveryError) {
        log!("discovery: {warning}");
    }
}

/// A client that waits. When it is gone without an answer, the balancer is told.
struct ClientGuard {
    dispatcher: Rc<Dispatcher>,
    request: RequestId,
}

impl ClientGuard {
    /// Whether an answer was pending, which is not any more.
    fn complete(&self) -> bool {
        let state = &mut *self.dispatcher.state.borrow_mut();
        state.log_request(self.request, "client disconnected");
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

/// For each new name the place that it had before. Of two alike the first goes on.
fn continued(old: &[String], new: &[String]) -> Vec<Option<u16>> {
    let mut places: HashMap<&String, u16> = HashMap::new();
    for (place, name) in (0..).zip(old) {
        places.entry(name).or_insert(place);
    }
    new.iter().map(|name| places.remove(name)).collect()
}
