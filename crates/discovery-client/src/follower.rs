//! Follows discovery for ever.

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

/// A list older than one that was had before is held against it for so long: what a new address has to tell counts
/// as notified 4 s after the move, and discovery may have started anew.
const VERSION_RESTART_DELAY: Duration = Duration::from_secs(3);
/// Least time between two polls without a change: a watch goes on if polled within 200 ms.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Whoever follows discovery is notified of what it answers.
pub trait EndpointObserver {
    /// Whether some backend takes requests by the list that is held.
    fn has_ready_endpoint(&self) -> bool;
    /// The endpoint list, or changes to it.
    fn on_endpoint_list(self: &Rc<Self>, update: EndpointListUpdate);
    /// A poll failed, where the list has to be polled.
    fn on_poll_failed(self: &Rc<Self>);
    /// Something to be logged: a failure of another kind than the one before, or endpoints that were skipped.
    fn on_warning(&self, warning: &DiscoveryError);
    /// A poll was answered after others had failed.
    fn on_recovery(&self, outage: PollOutage);
    /// A poll was answered with a list that can be used.
    fn on_poll_answered(&self) {}
    /// A poll failed, and so did those before it.
    fn on_outage(&self, _outage: PollOutage, _error: &DiscoveryError) {}
}

/// Where a list comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListOrigin {
    /// The configuration, until discovery has answered.
    Configuration,
    /// A poll for the whole list.
    Poll,
    /// A watch for changes.
    Watch,
}

/// The endpoint list, or changes to it.
#[derive(Debug)]
pub struct EndpointListUpdate {
    /// Relation to the list that is held.
    pub kind: EndpointListKind,
    /// Where it comes from.
    pub origin: ListOrigin,
    /// Discovery's version of the list.
    pub version: u64,
    /// Its endpoints.
    pub endpoints: Vec<EndpointRecord>,
    /// An older list than one that was had before takes backends out like any other, but brings none back.
    pub is_older: bool,
}

/// What is followed, and how.
pub struct FollowOptions {
    /// Where discovery, or its agent, answers.
    pub address: SocketAddr,
    /// Whether the list is pushed or polled.
    pub mode: DiscoveryMode,
    /// How long is waited.
    pub timeouts: WatchTimeouts,
    /// The latest version had from any address.
    pub newest_version: Rc<Cell<u64>>,
    /// Where the list is polled: whether a poll is wanted.
    pub poll_wanted: watch::Receiver<bool>,
}

/// Follows discovery for ever. Where the list has to be polled, it does so when that is wanted and reports
/// failures; elsewhere it watches all the time.
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
    /// The latest version had from any address.
    newest_version: Rc<Cell<u64>>,
    /// For the next poll.
    connection: Option<Connection>,
    /// The version that is held from this address.
    version: Option<u64>,
    outage: Option<CurrentOutage>,
    /// Since when lists are older than one that was had before.
    older_since: Option<Instant>,
    /// A list that names nobody, until the next poll has ended.
    unconfirmed: Option<ReceivedList>,
}

/// A list as it was received.
struct ReceivedList {
    response: DiscoveryResponse,
    kind: PollKind,
    polled_at: Instant,
}

impl<O: EndpointObserver> Follower<O> {
    /// Polls when it may, and waits for what comes of it; none if no poll will be wanted any more.
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

    /// A list that names nobody while backends serve, and is older than one had before, is discovery's fault.
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

    /// Applies a list, but for one that names nobody while backends serve. What a list doesn't name is gone, and a tier
    /// may drain altogether; discovery that has just started may have no list yet. So the list is polled once more, at
    /// once: what comes of that decides.
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

    /// No other list has come: the one that names nobody holds.
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
        // Nor is discovery that repeats itself polled without a pause.
        if (!has_update || is_repeated) && polled_at.elapsed() < MIN_POLL_INTERVAL {
            self.gate.pause(MIN_POLL_INTERVAL);
        }
    }

    /// Whether lists have been older for so long that discovery must have started anew.
    fn has_restarted(&mut self, polled_at: Instant) -> bool {
        // How late an answer is says nothing about how long lists have been older.
        let earliest_start = Instant::now().checked_sub(self.timeouts.response_timeout).unwrap_or(polled_at);
        let first_older_at = polled_at.max(earliest_start);
        self.older_since.get_or_insert(first_older_at).elapsed() > VERSION_RESTART_DELAY
    }

    /// Discovery counts its versions anew: its whole list, which is polled next, holds as it is.
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
