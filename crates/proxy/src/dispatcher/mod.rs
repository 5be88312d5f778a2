//! The only owner of the balancer: turns what happens on the sockets into its events, in order, and carries out its
//! actions. Keeps the clock, the timers, the open requests and the endpoints.

mod actions;
mod clock;
mod endpoint_table;
mod endpoints;
mod messages;
mod request_table;
mod requests;
#[cfg(test)]
mod tests;

pub use clock::duration_from_ms;
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
    /// What is known of discovery.
    discovery: DiscoveryStatus,
    /// Whether the endpoint list is to be polled.
    poll_wanted: watch::Sender<bool>,
    /// Whether clients are sent elsewhere.
    draining: watch::Sender<bool>,
    /// How many processes act as this proxy; each keeps to its part of what the proxy may hold.
    process_count: watch::Sender<u32>,
    /// Processes that share what the proxy may hold.
    sharing_count: watch::Sender<u32>,
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
            discovery: DiscoveryStatus::default(),
            poll_wanted,
            draining: watch::Sender::new(false),
            process_count: watch::Sender::new(1),
            sharing_count: watch::Sender::new(1),
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

    /// The longest that something takes by the settings in force and by those that pending requests were admitted
    /// under.
    pub fn max_over_settings(&self, value: impl Fn(&SiteSettings) -> Duration) -> Duration {
        let state = self.state.borrow();
        let pending = state.requests.pending().map(|entry| value(&entry.settings.site));
        pending.fold(value(&self.settings().site), Duration::max)
    }

    /// Whether the proxy drains, and changes of that.
    pub fn draining(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// How many processes share what this proxy may hold, with those that do not serve yet, and changes of that.
    pub fn sharing_count(&self) -> watch::Receiver<u32> {
        self.sharing_count.subscribe()
    }

    /// How many processes serve as this proxy, and changes of that.
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

/// For each new name the place that it had before. Of two alike the first goes on.
fn previous_indices(old: &[String], new: &[String]) -> Vec<Option<u16>> {
    let mut indices: HashMap<&String, u16> = HashMap::new();
    for (index, name) in (0..).zip(old) {
        indices.entry(name).or_insert(index);
    }
    new.iter().map(|name| indices.remove(name)).collect()
}
