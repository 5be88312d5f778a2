//! Decides when the next poll may be sent.

use foldhitch_balancer::api::DiscoveryMode;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Opens for each poll. In [`DiscoveryMode::Poll`] the balancer decides on the first poll and on the first
/// poll after a failure; between these the list is watched, as it always is in [`DiscoveryMode::Push`].
pub(crate) struct PollGate {
    mode: DiscoveryMode,
    /// Whether the balancer wants a poll.
    poll_wanted: watch::Receiver<bool>,
    /// Whether the last poll succeeded, so that the list is being watched.
    is_watching: bool,
    not_before: Instant,
}

impl PollGate {
    pub(crate) fn new(mode: DiscoveryMode, poll_wanted: watch::Receiver<bool>) -> Self {
        PollGate { mode, poll_wanted, is_watching: false, not_before: Instant::now() }
    }

    /// Waits until a poll may be sent. Returns `false` if no poll will be wanted any more.
    pub(crate) async fn wait_until_open(&mut self) -> bool {
        if self.mode == DiscoveryMode::Poll && !self.is_watching {
            let poll_wanted = self.poll_wanted.wait_for(|is_wanted| *is_wanted).await;
            if poll_wanted.is_err() {
                return false;
            }
        }
        sleep_until(self.not_before).await;
        true
    }

    /// Records that a poll was answered.
    pub(crate) fn on_answer(&mut self) {
        self.is_watching = true;
    }

    /// Records that a poll failed.
    pub(crate) fn on_failure(&mut self) {
        self.is_watching = false;
    }

    /// Keeps the gate closed for the given time.
    pub(crate) fn pause(&mut self, pause: Duration) {
        self.not_before = Instant::now() + pause;
    }
}
