//! Applies endpoint lists, and keeps the status of discovery.

use super::Dispatcher;
use crate::log::log;
use crate::milliseconds::milliseconds;
use foldhitch_balancer::api::{EndpointInfo, EndpointListKind, Event};
use foldhitch_discovery_client::{
    DiscoveryError, EndpointListUpdate, EndpointObserver, EndpointRecord, ListOrigin, PollOutage,
};
use serde::Serialize;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::Instant;

/// The status of discovery.
#[derive(Default)]
pub(super) struct DiscoveryStatus {
    /// The address that is polled.
    address: Cell<Option<SocketAddr>>,
    /// The version of the list in force. Each version is logged once, however often discovery sends it.
    list_version: Cell<Option<u64>>,
    /// The time at which that list was received first.
    list_changed_at: Cell<Option<Instant>>,
    /// The time of the last answered poll.
    answered_at: Cell<Option<Instant>>,
    /// The number of failed polls since then.
    failed_polls: Cell<u32>,
}

/// The status in the response of the admin API.
#[derive(Debug, Serialize)]
struct StatusResponse {
    address: Option<SocketAddr>,
    list_version: Option<u64>,
    list_age_ms: Option<f64>,
    last_answer_ms_ago: Option<f64>,
    failed_polls: u32,
}

impl DiscoveryStatus {
    fn response(&self) -> StatusResponse {
        let age = |at: &Cell<Option<Instant>>| at.get().map(|at| milliseconds(at.elapsed()).round());
        StatusResponse {
            address: self.address.get(),
            list_version: self.list_version.get(),
            list_age_ms: age(&self.list_changed_at),
            last_answer_ms_ago: age(&self.answered_at),
            failed_polls: self.failed_polls.get(),
        }
    }
}

impl Dispatcher {
    /// Sets the address that is polled from now on, and logs it.
    pub fn set_discovery_address(&self, address: SocketAddr) {
        self.discovery.address.set(Some(address));
        log!("discovery: polling {address}");
    }

    /// Returns the status of discovery as JSON.
    pub fn discovery_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(&self.discovery.response())
    }

    /// Applies an endpoint list, or changes to it.
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointListUpdate) {
        let endpoints = self.resolve_endpoints(update.kind, &update.endpoints, update.is_older);
        self.log_endpoint_list(&update);
        let kind = update.kind;
        self.handle(Event::EndpointList { kind, endpoints });
        self.remove_stale_endpoints();
    }

    /// Logs each version of the list once, however often discovery sends it.
    fn log_endpoint_list(&self, update: &EndpointListUpdate) {
        let is_from_discovery = update.origin != ListOrigin::Configuration;
        let version = Some(update.version).filter(|_| is_from_discovery);
        if is_from_discovery && self.discovery.list_version.replace(version) == version {
            return;
        }
        self.discovery.list_changed_at.set(Some(Instant::now()));
        let origin = match update.origin {
            ListOrigin::Configuration => "the configuration",
            ListOrigin::Poll => "a poll",
            ListOrigin::Watch => "a watch",
        };
        let extent = if update.kind == EndpointListKind::Delta { "changes to" } else { "full," };
        let age = if update.is_older { ", older than one received before" } else { "" };
        let version = update.version;
        let count = update.endpoints.len();
        let ready = self.state.borrow().endpoints.ready_count();
        log!(
            "endpoint list {version} in force: {extent} {count} endpoints, from {origin}{age}; {ready} ready"
        );
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
            state.endpoints.mark_all_unlisted();
        }
        let mut endpoints = Vec::with_capacity(records.len());
        for record in records {
            match state.endpoints.update(record, &settings.site.zone_names, is_older) {
                Ok(endpoint) => endpoints.push(endpoint),
                Err(error) => log!("discovery: {error}"),
            }
        }
        state.endpoints.drain_unlisted();
        endpoints
    }

    /// Removes the backends that are neither listed nor suspended and that no open request was sent to; the
    /// balancer has removed them too. Where new backends replace old ones continuously, memory must not grow
    /// with their number.
    pub fn remove_stale_endpoints(&self) {
        let state = &mut *self.state.borrow_mut();
        if state.endpoints.has_stale() {
            state.endpoints.remove_stale(&state.requests.backends());
        }
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

    fn on_poll_answered(&self) {
        self.discovery.answered_at.set(Some(Instant::now()));
        self.discovery.failed_polls.set(0);
    }

    fn on_outage(&self, outage: PollOutage, error: &DiscoveryError) {
        self.discovery.failed_polls.set(outage.failed_polls);
        if !outage.is_report_due {
            return;
        }
        let PollOutage { failed_polls, duration, .. } = outage;
        let list = self.discovery.list_version.get();
        let list = list.map_or("no list received yet".to_string(), |version| {
            format!("endpoint list {version} stays in force")
        });
        let duration = duration.as_millis();
        log!("discovery: {failed_polls} polls failed in {duration} ms, last error: {error}; {list}");
    }

    fn on_warning(&self, warning: &DiscoveryError) {
        log!("discovery: {warning}");
    }

    fn on_recovery(&self, outage: PollOutage) {
        let PollOutage { failed_polls, duration, .. } = outage;
        log!("discovery: recovered after {failed_polls} failed polls in {} ms", duration.as_millis());
    }
}
