//! When the next poll may be made.

use foldhitch_balancer::api::DiscoveryMode;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};

/// Opens for each poll. Where the balancer schedules the polls, it is asked for the first one and after failures;
/// between them the list is watched, as it is elsewhere all the time.
pub(crate) struct PollGate {
    mode: DiscoveryMode,
    /// Whether the balancer wants a poll.
    poll_wanted: watch::Receiver<bool>,
    /// Whether the last poll was answered.
    is_watching: bool,
    not_before: Instant,
}

impl PollGate {
    pub(crate) fn new(mode: DiscoveryMode, poll_wanted: watch::Receiver<bool>) -> Self {
        PollGate { mode, poll_wanted, is_watching: false, not_before: Instant::now() }
    }

    /// Waits until a poll may be made; false if none will be any more.
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

    /// A poll was answered.
    pub(crate) fn on_answer(&mut self) {
        self.is_watching = true;
    }

    /// A poll failed.
    pub(crate) fn on_failure(&mut self) {
        self.is_watching = false;
    }

    /// Makes no poll for so long.
    pub(crate) fn pause(&mut self, pause: Duration) {
        self.not_before = Instant::now() + pause;
    }
}
