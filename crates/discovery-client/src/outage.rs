//! Outages of discovery: consecutive failed polls, and when to log them.

use crate::error::DiscoveryError;
use std::mem::{Discriminant, discriminant};
use std::time::Duration;
use tokio::time::Instant;

/// An outage is logged after this time, and again each time its duration has doubled.
const FIRST_REPORT_AFTER: Duration = Duration::from_secs(1);

/// A summary of consecutive failed polls.
#[derive(Debug, Clone, Copy)]
pub struct PollOutage {
    /// The number of failed polls.
    pub failed_polls: u32,
    /// The time since the first failure.
    pub duration: Duration,
    /// Whether the outage is due to be logged.
    pub is_report_due: bool,
}

/// The current series of failed polls.
#[derive(Clone, Copy)]
pub(crate) struct CurrentOutage {
    started_at: Instant,
    failed_polls: u32,
    /// The variant of the last error.
    last_error_kind: Discriminant<DiscoveryError>,
    /// The duration after which the outage is logged next.
    next_report_after: Duration,
}

impl CurrentOutage {
    /// Creates an outage that starts now and has no counted failure.
    pub(crate) fn new(error: &DiscoveryError) -> Self {
        CurrentOutage {
            started_at: Instant::now(),
            failed_polls: 0,
            last_error_kind: discriminant(error),
            next_report_after: FIRST_REPORT_AFTER,
        }
    }

    /// Counts a failed poll.
    pub(crate) fn record_failure(&mut self, error: &DiscoveryError) -> PollOutage {
        self.failed_polls += 1;
        self.last_error_kind = discriminant(error);
        let duration = self.started_at.elapsed();
        let is_report_due = duration >= self.next_report_after;
        while self.next_report_after <= duration {
            self.next_report_after *= 2;
        }
        PollOutage { failed_polls: self.failed_polls, duration, is_report_due }
    }

    /// Returns whether the last failure was of a different kind than `error`.
    pub(crate) fn is_different_kind(&self, error: &DiscoveryError) -> bool {
        self.last_error_kind != discriminant(error)
    }

    /// Returns a summary at the end of the outage, which is always due to be logged.
    pub(crate) fn summary(&self) -> PollOutage {
        let duration = self.started_at.elapsed();
        PollOutage { failed_polls: self.failed_polls, duration, is_report_due: true }
    }
}
