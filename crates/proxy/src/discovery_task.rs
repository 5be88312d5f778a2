//! Follows discovery, and moves to another address when a new configuration names one.

use crate::config::reload::{ReloadOutcome, Reloader};
use crate::dispatcher::Dispatcher;
use crate::milliseconds::duration_from_ms;
use crate::retry::RetryTimer;
use foldhitch_discovery_client::{FollowOptions, WatchTimeouts, follow};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::{JoinHandle, spawn_local};

/// The task that follows discovery. It is replaced when the address changes.
pub struct DiscoveryTask {
    dispatcher: Rc<Dispatcher>,
    newest_version: Rc<Cell<u64>>,
    poll_requests: watch::Receiver<bool>,
    task: JoinHandle<()>,
}

impl DiscoveryTask {
    /// Starts to follow discovery at an address.
    pub fn start(
        dispatcher: Rc<Dispatcher>,
        address: SocketAddr,
        poll_requests: watch::Receiver<bool>,
    ) -> Self {
        let newest_version = Rc::<Cell<u64>>::default();
        let task = spawn_follow(&dispatcher, address, &newest_version, &poll_requests);
        DiscoveryTask { dispatcher, newest_version, poll_requests, task }
    }

    /// Moves to another address. The old watch is aborted with its connection and its version, so the new
    /// address is polled for the full list.
    fn restart(&mut self, address: SocketAddr) {
        self.task.abort();
        self.task = spawn_follow(&self.dispatcher, address, &self.newest_version, &self.poll_requests);
    }
}

fn spawn_follow(
    dispatcher: &Rc<Dispatcher>,
    address: SocketAddr,
    newest_version: &Rc<Cell<u64>>,
    poll_requests: &watch::Receiver<bool>,
) -> JoinHandle<()> {
    let settings = dispatcher.settings();
    dispatcher.set_discovery_address(address);
    let options = FollowOptions {
        address,
        mode: settings.balancer.discovery_mode,
        timeouts: WatchTimeouts::new(duration_from_ms(settings.site.drain_deadline_ms)),
        newest_version: newest_version.clone(),
        poll_wanted: poll_requests.clone(),
    };
    spawn_local(follow(dispatcher.clone(), options))
}

/// Reloads the configuration on every SIGHUP, also during a planned stop, since the old address of discovery
/// may stop responding. A file that can't be read is read again until it can be, or until the next signal.
pub async fn follow_reloads(mut reload: Signal, reloader: Reloader, mut discovery: DiscoveryTask) {
    let mut retry = RetryTimer::idle();
    loop {
        tokio::select! {
            signal = reload.recv() => {
                if signal.is_none() {
                    return;
                }
                reloader.on_signal();
                retry = RetryTimer::idle();
            }
            () = retry.wait() => {}
        }
        match reloader.reload() {
            ReloadOutcome::Applied { discovery: address } => {
                retry = RetryTimer::idle();
                if let Some(address) = address {
                    discovery.restart(address);
                }
            }
            ReloadOutcome::Rejected => retry = RetryTimer::idle(),
            ReloadOutcome::TryAgain => retry.schedule(),
        }
    }
}
