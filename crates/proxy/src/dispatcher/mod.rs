//! The sole owner of the balancer: converts socket events into balancer events, in order, and carries out its
//! actions. It keeps the clock, the timers, the open requests and the endpoints.

mod actions;
mod clock;
mod endpoint_table;
mod endpoints;
mod messages;
mod request_table;
mod requests;
#[cfg(test)]
mod tests;

pub use messages::{Answer, IncomingRequest};

use crate::log::log;
use crate::process_group::ControlState;
use crate::upstream::ConnectionPool;
use clock::Clock;
use endpoint_table::EndpointTable;
use endpoints::DiscoveryStatus;
use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::{Action, Event, SettingsError, SettingsUpdate};
use foldhitch_balancer::settings_format::{ResolvedSettings, SiteSettings};
use request_table::RequestTable;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// The time by which the balancer's deadline precedes the client's. The client's deadline counts from when it
/// sent the request, and the answer still has to reach it.
pub const RESPONSE_MARGIN: Duration = Duration::from_millis(25);
/// A request without an answer this long before the client's deadline times out, whatever the balancer says.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(10);

struct State {
    balancer: Balancer,
    requests: RequestTable,
    endpoints: EndpointTable,
    events: VecDeque<Event>,
    actions: Vec<Action>,
}

/// Connects clients, balancer and backends. Everything runs on one thread, so events have a single order.
pub struct Dispatcher {
    state: RefCell<State>,
    pool: Rc<ConnectionPool>,
    clock: Clock,
    /// The settings in force. They change together with those of the balancer, between two events.
    settings: RefCell<Rc<ResolvedSettings>>,
    /// The status of discovery.
    discovery: DiscoveryStatus,
    /// Whether the balancer wants the endpoint list to be polled.
    poll_wanted: watch::Sender<bool>,
    /// Whether the proxy is draining: clients are asked to connect elsewhere.
    draining: watch::Sender<bool>,
    /// The number of processes that serve as this proxy.
    process_count: watch::Sender<u32>,
    /// The number of processes that share the resource limits of the proxy, including those that are still
    /// starting.
    sharing_count: watch::Sender<u32>,
    /// The time by which all requests must be answered; set by a planned stop.
    stop_at: Cell<Option<Instant>>,
}

impl Dispatcher {
    /// Creates a dispatcher and its balancer. The balancer requests polls of the endpoint list through
    /// `poll_wanted`.
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
            discovery: DiscoveryStatus::default(),
            poll_wanted,
            draining: watch::Sender::new(false),
            process_count: watch::Sender::new(1),
            sharing_count: watch::Sender::new(1),
            stop_at: Cell::new(None),
        }))
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<ResolvedSettings> {
        self.settings.borrow().clone()
    }

    /// Returns the version of the settings in force.
    pub fn settings_version(&self) -> u64 {
        self.state.borrow().balancer.version()
    }

    /// Puts new settings in force, here and in the balancer, and returns their version. If there is an error,
    /// nothing has changed. A class or tenant continues the previous one with the same name.
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
            continued_classes: previous_indices(&old.site.class_names, &settings.site.class_names),
            continued_tenants: previous_indices(&old.site.tenant_names, &settings.site.tenant_names),
            content_hash,
        };
        let mut actions = std::mem::take(&mut state.actions);
        let version = state.balancer.configure(self.clock.now_ms(), update, &mut actions)?;
        self.settings.replace(Rc::new(settings));
        self.carry_out_actions(state, actions);
        self.process_events(state);
        Ok(version)
    }

    /// Returns the maximum of a duration over the settings in force and the settings that pending requests
    /// were admitted under.
    pub fn max_over_settings(&self, value: impl Fn(&SiteSettings) -> Duration) -> Duration {
        let state = self.state.borrow();
        let pending = state.requests.pending().map(|entry| value(&entry.settings.site));
        pending.fold(value(&self.settings().site), Duration::max)
    }

    /// Returns a receiver of whether the proxy is draining.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Returns a receiver of the number of processes that share the resource limits, including those that do
    /// not serve yet.
    pub fn sharing_count(&self) -> watch::Receiver<u32> {
        self.sharing_count.subscribe()
    }

    /// Returns a receiver of the number of processes that serve as this proxy.
    pub fn process_count(&self) -> watch::Receiver<u32> {
        self.process_count.subscribe()
    }

    /// Returns whether a backend with this name is listed or suspended.
    pub fn knows_backend(&self, name: &str) -> bool {
        self.state.borrow().endpoints.contains(name)
    }

    /// Returns whether requests can be dispatched, that is, at least one backend takes them.
    pub fn has_ready_endpoint(&self) -> bool {
        self.state.borrow().endpoints.has_ready()
    }

    /// Returns the number of requests whose answer is pending.
    pub fn pending_requests(&self) -> usize {
        self.state.borrow().requests.pending().count()
    }

    /// Applies the state that the operators have requested: the suspended backends (all others are resumed),
    /// whether the proxy is draining, and the number of live processes. Passes the changes to the balancer.
    pub fn apply_control_state(self: &Rc<Self>, control: &ControlState) {
        let mut events = self.suspension_events(control);
        if *self.draining.borrow() != control.is_draining {
            events.push(Event::SetDraining { is_draining: control.is_draining });
        }
        let count = control.other_processes + 1;
        self.sharing_count.send_if_modified(|sharing| {
            let before = std::mem::replace(sharing, count + control.starting_processes);
            before != *sharing
        });
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
}

/// Returns the previous index of each new name. If a name occurs twice, the first occurrence continues.
fn previous_indices(old: &[String], new: &[String]) -> Vec<Option<u16>> {
    let mut indices: HashMap<&String, u16> = HashMap::new();
    for (index, name) in (0..).zip(old) {
        indices.entry(name).or_insert(index);
    }
    new.iter().map(|name| indices.remove(name)).collect()
}
