//! Polls that fail in a row, and when that is to be logged.

use crate::error::DiscoveryError;
use std::mem::{Discriminant, discriminant};
use std::time::Duration;
use tokio::time::Instant;

/// An outage is to be logged after so long, and each time it has lasted twice as long.
const FIRST_REPORT_AFTER: Duration = Duration::from_secs(1);

/// Polls that failed in a row.
#[derive(Debug, Clone, Copy)]
pub struct PollOutage {
    /// How many.
    pub failed_polls: u32,
    /// From the first failure until now.
    pub duration: Duration,
    /// Whether the outage has lasted for so long that it is to be logged again.
    pub is_report_due: bool,
}

/// Polls that fail.
#[derive(Clone, Copy)]
pub(crate) struct CurrentOutage {
    started_at: Instant,
    failed_polls: u32,
    /// The kind of the last failure.
    last_error_kind: Discriminant<DiscoveryError>,
    /// How long it lasts when it is to be logged next.
    next_report_after: Duration,
}

impl CurrentOutage {
    /// Begins now.
    pub(crate) fn new(error: &DiscoveryError) -> Self {
        CurrentOutage {
            started_at: Instant::now(),
            failed_polls: 0,
            last_error_kind: discriminant(error),
            next_report_after: FIRST_REPORT_AFTER,
        }
    }

    /// Counts a poll that failed.
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

    /// Whether the last failure was of another kind.
    pub(crate) fn is_different_kind(&self, error: &DiscoveryError) -> bool {
        self.last_error_kind != discriminant(error)
    }

    /// What there is to tell at its end.
    pub(crate) fn summary(&self) -> PollOutage {
        let duration = self.started_at.elapsed();
        PollOutage { failed_polls: self.failed_polls, duration, is_report_due: true }
    }
}
