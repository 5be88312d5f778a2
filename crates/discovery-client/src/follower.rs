//! Follows discovery: polls it, checks the responses and passes them to an observer.

use crate::client::{Connection, PollKind};
use crate::endpoint_list::{DiscoveryResponse, EndpointRecord, ParsedEndpoints};
use crate::error::DiscoveryError;
use crate::outage::{CurrentOutage, PollOutage};
use crate::poll_gate::PollGate;
use crate::polls::{AnsweredPoll, PollEvent, Polls};
use crate::timeouts::WatchTimeouts;
use foldhitch_balancer::api::{DiscoveryMode, EndpointListKind};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long lists may be older than one received before until discovery is taken to have restarted its
/// version numbers. After a move to a new address, what that address reports counts as notified within 4 s,
/// so this must be shorter.
const VERSION_RESTART_DELAY: Duration = Duration::from_secs(3);
/// The minimum interval between polls without a change. A watch continues if polled again within 200 ms.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Receives endpoint lists and failures from [`follow`].
pub trait EndpointObserver {
    /// Returns whether at least one backend of the current list takes requests.
    fn has_ready_endpoint(&self) -> bool;
    /// Called with the endpoint list, or with changes to it.
    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate);
    /// Called after a failed poll in [`DiscoveryMode::Poll`].
    fn on_poll_failed(self: &Rc<Self>);
    /// Called with a warning to log: a failure of a different kind than the last one, or skipped endpoints.
    fn on_warning(&self, warning: &DiscoveryError);
    /// Called when a poll succeeds after failed ones.
    fn on_recovery(&self, outage: PollOutage);
    /// Called when a poll returned a valid response.
    fn on_poll_answered(&self) {}
    /// Called after each failed poll with the failures since the last successful one.
    fn on_outage(&self, _outage: PollOutage, _error: &DiscoveryError) {}
}

/// The source of an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOrigin {
    /// The configuration, until discovery has responded.
    Configuration,
    /// A poll for the full list.
    Poll,
    /// A watch for changes.
    Watch,
}

/// The endpoint list, or changes to it.
#[derive(Debug)]
pub struct EndpointListUpdate {
    /// How the endpoints relate to the current list.
    pub kind: EndpointListKind,
    /// The source of the list.
    pub origin: ListOrigin,
    /// Discovery's version of the list.
    pub version: u64,
    /// The endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// Whether the list is older than one received before. Such a list may take backends out of service, but
    /// brings none back.
    pub is_older: bool,
}

/// The options of [`follow`].
pub struct FollowOptions {
    /// The address of discovery or of its agent.
    pub address: SocketAddr,
    /// Whether the list is pushed or polled.
    pub mode: DiscoveryMode,
    /// The timeouts of polls and watches.
    pub timeouts: WatchTimeouts,
    /// The newest version received from any address.
    pub newest_version: Rc<Cell<u64>>,
    /// Whether the balancer wants a poll; used in [`DiscoveryMode::Poll`] only.
    pub poll_wanted: watch::Receiver<bool>,
}

/// Follows discovery. In [`DiscoveryMode::Poll`] it polls when the balancer wants it, reports failures, and
/// returns once the sender of `poll_wanted` is dropped; otherwise it watches all the time and never returns.
pub async fn follow(observer: Rc<impl EndpointObserver>, options: FollowOptions) {
    let mut follower = Follower {
        observer,
        mode: options.mode,
        timeouts: options.timeouts,
        polls: Polls::new(options.address, options.timeouts),
        gate: PollGate::new(options.mode, options.poll_wanted),
        newest_version: options.newest_version,
        connection: None,
        version: None,
        outage: None,
        older_since: None,
        unconfirmed: None,
    };
    while let Some(event) = follower.next_event().await {
        follower.on_event(event);
    }
}

struct Follower<O> {
    observer: Rc<O>,
    mode: DiscoveryMode,
    timeouts: WatchTimeouts,
    polls: Polls,
    gate: PollGate,
    /// The newest version received from any address.
    newest_version: Rc<Cell<u64>>,
    /// The connection for the next poll.
    connection: Option<Connection>,
    /// The version of the current list from this address, if there is one.
    version: Option<u64>,
    outage: Option<CurrentOutage>,
    /// The time since which lists have been older than one received before.
    older_since: Option<Instant>,
    /// An empty full list that the next poll is to confirm.
    unconfirmed: Option<ReceivedList>,
}

/// A response, the kind of its poll and the time at which the poll was sent.
struct ReceivedList {
    response: DiscoveryResponse,
    kind: PollKind,
    polled_at: Instant,
}

impl<O: EndpointObserver> Follower<O> {
    /// Polls once the gate is open and waits for the result. Returns `None` if no poll will be wanted any
    /// more.
    async fn next_event(&mut self) -> Option<PollEvent> {
        loop {
            let is_polling = self.polls.has_current_poll();
            tokio::select! {
                biased;
                event = self.polls.next_event() => return Some(event),
                is_open = self.gate.wait_until_open(), if !is_polling => {
                    if !is_open {
                        return None;
                    }
                }
            }
            self.start_poll();
        }
    }

    fn start_poll(&mut self) {
        let kind = match self.version {
            None => PollKind::List,
            Some(version) => PollKind::Watch { version, is_retry: self.outage.is_some() },
        };
        self.polls.start(kind, self.connection.take());
    }

    fn on_event(&mut self, event: PollEvent) {
        match event {
            PollEvent::Answered(poll) => self.on_answer(poll),
            PollEvent::Failed(error) => {
                self.apply_unconfirmed();
                self.on_failure(&error);
            }
        }
    }

    fn on_answer(&mut self, poll: AnsweredPoll) {
        let AnsweredPoll { answer, kind, polled_at } = poll;
        self.connection = answer.connection;
        match self.check_response(answer.response, kind) {
            Ok(response) => self.confirm_or_apply(ReceivedList { response, kind, polled_at }),
            Err(error) => {
                self.apply_unconfirmed();
                self.version = None;
                self.on_failure(&error);
            }
        }
    }

    /// Rejects a list that is older than the version that the poll named, and an empty full list that is
    /// older than one received before while backends are serving. Both are faults of discovery.
    fn check_response(
        &self,
        response: DiscoveryResponse,
        kind: PollKind,
    ) -> Result<DiscoveryResponse, DiscoveryError> {
        let is_older = response.version() < self.newest_version.get();
        if is_older && response.is_empty_full_list() && self.observer.has_ready_endpoint() {
            return Err(DiscoveryError::StaleEmptyList);
        }
        response.check_version(kind.known_version())
    }

    /// Applies a list, unless it is an empty full list while backends are serving. A full list removes the
    /// backends that it lacks, and a whole tier may drain; but discovery that has just started may not have
    /// its list yet. Such a list is therefore polled once more, at once, and the result of that poll decides.
    fn confirm_or_apply(&mut self, list: ReceivedList) {
        match self.unconfirmed.take() {
            None if list.response.is_empty_full_list() && self.observer.has_ready_endpoint() => {
                let version = list.response.version();
                self.observer.on_warning(&DiscoveryError::UnconfirmedEmptyList { version });
                self.version = None;
                self.gate.on_answer();
                self.unconfirmed = Some(list);
            }
            Some(unconfirmed) if list.response.version() < unconfirmed.response.version() => {
                self.apply(unconfirmed);
                self.apply(list);
            }
            _ => self.apply(list),
        }
    }

    /// Applies the unconfirmed list, since no other list was received.
    fn apply_unconfirmed(&mut self) {
        if let Some(list) = self.unconfirmed.take() {
            self.apply(list);
        }
    }

    fn apply(&mut self, list: ReceivedList) {
        let ReceivedList { response, kind, polled_at } = list;
        let version = response.version();
        let is_repeated = self.version.replace(version) == Some(version);
        self.gate.on_answer();
        self.report_recovery();
        self.observer.on_poll_answered();
        let is_older = version < self.newest_version.get();
        if is_older && self.has_restarted(polled_at) {
            self.restart_versions(version);
            return;
        }
        if !is_older {
            self.newest_version.set(version);
            self.older_since = None;
        }
        let has_update = response.has_update();
        if has_update {
            self.notify(response, kind, is_older);
        }
        // Avoids polling in a tight loop when nothing has changed or discovery repeats a version.
        if (!has_update || is_repeated) && polled_at.elapsed() < MIN_POLL_INTERVAL {
            self.gate.pause(MIN_POLL_INTERVAL);
        }
    }

    /// Returns whether lists have been older for so long that discovery must have restarted.
    fn has_restarted(&mut self, polled_at: Instant) -> bool {
        // The delay of a slow response does not count as time during which lists have been older.
        let earliest_start = Instant::now().checked_sub(self.timeouts.response_timeout).unwrap_or(polled_at);
        let first_older_at = polled_at.max(earliest_start);
        self.older_since.get_or_insert(first_older_at).elapsed() > VERSION_RESTART_DELAY
    }

    /// Accepts that discovery has restarted its version numbers. The full list, which is polled next, is
    /// applied as it is.
    fn restart_versions(&mut self, version: u64) {
        let newest = self.newest_version.replace(version);
        self.observer.on_warning(&DiscoveryError::RestartedVersions { received: version, newest });
        self.version = None;
        self.older_since = None;
    }

    fn notify(&self, response: DiscoveryResponse, poll: PollKind, is_older: bool) {
        let kind = response.kind();
        let version = response.version();
        let origin = match poll {
            PollKind::List => ListOrigin::Poll,
            PollKind::Watch { .. } => ListOrigin::Watch,
        };
        let ParsedEndpoints { endpoints, skipped } = response.parse_endpoints();
        if let Some(skipped) = skipped {
            self.observer.on_warning(&skipped);
        }
        self.observer.on_endpoint_list(EndpointListUpdate { kind, origin, version, endpoints, is_older });
    }

    fn report_recovery(&mut self) {
        let Some(outage) = self.outage.take() else { return };
        self.observer.on_recovery(outage.summary());
    }

    fn record_failure(&mut self, error: &DiscoveryError) {
        let is_new_kind = self.outage.is_none_or(|outage| outage.is_different_kind(error));
        if is_new_kind {
            self.observer.on_warning(error);
        }
        let outage = self.outage.get_or_insert_with(|| CurrentOutage::new(error)).record_failure(error);
        self.observer.on_outage(outage, error);
    }

    fn on_failure(&mut self, error: &DiscoveryError) {
        self.record_failure(error);
        self.connection = None;
        self.gate.on_failure();
        if self.mode == DiscoveryMode::Poll {
            // The balancer decides when to poll again.
            self.observer.on_poll_failed();
        }
        self.gate.pause(self.timeouts.failure_pause);
    }
}
