//! Follows discovery for ever.

use crate::client::{DiscoveryClient, Poll};
use crate::endpoint_list::{DiscoveryResponse, EndpointRecord, ReadEndpoints};
use crate::error::DiscoveryError;
use crate::timeouts::WatchTimeouts;
use foldhitch_balancer::api::{DiscoveryMode, EndpointListKind};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

/// A list older than one that was had before is held against it for so long: what a new address has to tell counts
/// as notified 4 s after the move, and discovery may have started anew.
const MAX_OLDER_LISTS: Duration = Duration::from_secs(3);
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
    /// Something to be logged: the first of several failures in a row, or endpoints that were skipped.
    fn on_warning(&self, warning: &DiscoveryError);
}

/// The endpoint list, or changes to it.
#[derive(Debug)]
pub struct EndpointListUpdate {
    /// Relation to the list that is held.
    pub kind: EndpointListKind,
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
    let client = DiscoveryClient::new(options.address, options.timeouts);
    let mut follower =
        Follower { observer, client, options, version: None, is_failing: false, older_since: None };
    while follower.wait_until_wanted().await {
        let polled_at = Instant::now();
        match follower.poll().await {
            Ok(response) => follower.on_response(response, polled_at).await,
            Err(error) => follower.on_error(error).await,
        }
    }
}

struct Follower<O> {
    observer: Rc<O>,
    client: DiscoveryClient,
    options: FollowOptions,
    /// The version that is held from this address.
    version: Option<u64>,
    is_failing: bool,
    /// Since when lists are older than one that was had before.
    older_since: Option<Instant>,
}

impl<O: EndpointObserver> Follower<O> {
    /// Waits until a poll is wanted; false if none will be any more.
    async fn wait_until_wanted(&mut self) -> bool {
        if self.options.mode == DiscoveryMode::Push {
            return true;
        }
        self.options.poll_wanted.wait_for(|is_wanted| *is_wanted).await.is_ok()
    }

    async fn poll(&mut self) -> Result<DiscoveryResponse, DiscoveryError> {
        let poll = match self.version {
            None => Poll::List,
            Some(version) => Poll::Watch { version, is_retry: self.is_failing },
        };
        let response = self.client.poll(poll).await?;
        let response = response.validate(self.version, self.observer.has_ready_endpoint());
        if response.is_err() {
            self.version = None;
        }
        response
    }

    async fn on_response(&mut self, response: DiscoveryResponse, polled_at: Instant) {
        let version = response.version;
        let is_repeated = self.version.replace(version) == Some(version);
        self.is_failing = false;
        let is_older = version < self.options.newest_version.get();
        if is_older && self.has_started_anew(polled_at) {
            // Its whole list holds as it is.
            self.options.newest_version.set(version);
            self.version = None;
            self.older_since = None;
            return;
        }
        if !is_older {
            self.options.newest_version.set(version);
            self.older_since = None;
        }
        let has_endpoints = response.has_endpoints();
        if has_endpoints {
            self.notify(response, is_older);
        }
        // Nor is discovery that repeats itself polled without a pause.
        if (!has_endpoints || is_repeated) && polled_at.elapsed() < MIN_POLL_INTERVAL {
            sleep(MIN_POLL_INTERVAL).await;
        }
    }

    /// Whether lists have been older for so long that discovery must have started anew.
    fn has_started_anew(&mut self, polled_at: Instant) -> bool {
        self.older_since.get_or_insert(polled_at).elapsed() > MAX_OLDER_LISTS
    }

    fn notify(&self, response: DiscoveryResponse, is_older: bool) {
        let kind = response.kind();
        let ReadEndpoints { endpoints, skipped } = response.endpoints();
        if let Some(skipped) = skipped {
            self.observer.on_warning(&skipped);
        }
        self.observer.on_endpoint_list(EndpointListUpdate { kind, endpoints, is_older });
    }

    async fn on_error(&mut self, error: DiscoveryError) {
        if !self.is_failing {
            self.observer.on_warning(&error);
        }
        self.is_failing = true;
        self.client.close();
        if self.options.mode == DiscoveryMode::Poll {
            // The balancer decides when to poll again.
            self.observer.on_poll_failed();
        }
        sleep(self.options.timeouts.pause).await;
    }
}
