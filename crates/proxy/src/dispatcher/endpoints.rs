//! The way of an endpoint list through the dispatcher.

use super::Dispatcher;
use crate::log::log;
use foldhitch_balancer::api::{EndpointInfo, EndpointListKind, Event};
use foldhitch_discovery_client::{
    DiscoveryError, EndpointListUpdate, EndpointObserver, EndpointRecord, ListOrigin, PollOutage,
};
use std::rc::Rc;

impl Dispatcher {
    /// Takes an endpoint list, or changes to it.
    pub fn update_endpoints(self: &Rc<Self>, update: EndpointListUpdate) {
        self.log_endpoint_list(&update);
        let EndpointListUpdate { kind, endpoints, is_older, .. } = update;
        let endpoints = self.resolve_endpoints(kind, &endpoints, is_older);
        self.handle(Event::EndpointList { kind, endpoints });
        self.forget_gone_endpoints();
    }

    /// Logs a version of the list once, however often discovery sends it.
    fn log_endpoint_list(&self, update: &EndpointListUpdate) {
        let is_sent = update.origin != ListOrigin::Configuration;
        let version = Some(update.version).filter(|_| is_sent);
        if is_sent && self.logged_list_version.replace(version) == version {
            return;
        }
        let origin = match update.origin {
            ListOrigin::Configuration => "the configuration",
            ListOrigin::Poll => "a poll",
            ListOrigin::Watch => "a watch",
        };
        let extent = if update.kind == EndpointListKind::Delta { "changes to" } else { "full," };
        let age = if update.is_older { ", older than one had before" } else { "" };
        let version = update.version;
        let count = update.endpoints.len();
        log!("endpoint list {version} in force: {extent} {count} endpoints, from {origin}{age}");
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

    fn on_recovery(&self, outage: PollOutage) {
        let PollOutage { failed_polls, duration } = outage;
        log!("discovery: answers again, after {failed_polls} failed polls in {} ms", duration.as_millis());
    }
}
