//! Counts of accepted, evicted and rejected connections, logged while the connection limit is reached.

use super::connection_table::IdleKind;
use crate::log::log;
use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// Minimum interval between two log lines about the connection limit.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Counts of what happened to client connections and their requests.
#[derive(Debug, Clone, Copy, Default)]
struct AcceptCounts {
    accepted: u64,
    evicted_closing: u64,
    evicted_stalled: u64,
    evicted_rejected: u64,
    evicted_served: u64,
    evicted_arriving: u64,
    /// Connections that were chosen for eviction and kept because a request was arriving on them.
    kept: u64,
    /// Requests that were rejected because too many were in flight.
    rejected: u64,
    errors: u64,
    longest_without_accept: Duration,
}

impl AcceptCounts {
    fn add(&mut self, other: AcceptCounts) {
        self.accepted += other.accepted;
        self.evicted_closing += other.evicted_closing;
        self.evicted_stalled += other.evicted_stalled;
        self.evicted_rejected += other.evicted_rejected;
        self.evicted_served += other.evicted_served;
        self.evicted_arriving += other.evicted_arriving;
        self.kept += other.kept;
        self.rejected += other.rejected;
        self.errors += other.errors;
        self.longest_without_accept = self.longest_without_accept.max(other.longest_without_accept);
    }
}

impl AcceptCounts {
    fn evicted(&self) -> u64 {
        let inactive = self.evicted_closing + self.evicted_stalled + self.evicted_rejected;
        inactive + self.evicted_served + self.evicted_arriving
    }
}

impl fmt::Display for AcceptCounts {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} accepted, {} evicted", self.accepted, self.evicted())?;
        write!(formatter, " ({} closing, {} stalled,", self.evicted_closing, self.evicted_stalled)?;
        write!(formatter, " {} rejected earlier, {} idle,", self.evicted_rejected, self.evicted_served)?;
        write!(formatter, " {} new or sending),", self.evicted_arriving)?;
        write!(formatter, " {} kept because a request was arriving,", self.kept)?;
        write!(formatter, " {} requests rejected, {} errors,", self.rejected, self.errors)?;
        write!(formatter, " longest time without an accept {} ms", self.longest_without_accept.as_millis())
    }
}

/// Counts what happens to client connections. Logs the counts while the connection limit is reached, and at
/// the end.
#[derive(Default)]
pub(super) struct AcceptStatistics {
    /// Counts since the last log line.
    recent: Cell<AcceptCounts>,
    /// Counts up to the last log line.
    total: Cell<AcceptCounts>,
    /// Whether the connection limit was reached since the last log line.
    was_full: Cell<bool>,
    /// When the last line was logged.
    logged_at: Cell<Option<Instant>>,
    /// Since when no connection can be accepted because the limit is reached.
    blocked_since: Cell<Option<Instant>>,
}

impl AcceptStatistics {
    pub(super) fn record_accepted(&self) {
        self.end_blocked_interval();
        self.count(|counts| counts.accepted += 1);
    }

    /// Counts an evicted connection. An eviction implies that the limit was reached.
    pub(super) fn record_evicted(&self, kind: IdleKind) {
        self.was_full.set(true);
        self.count(|counts| match kind {
            IdleKind::Closing => counts.evicted_closing += 1,
            IdleKind::Stalled => counts.evicted_stalled += 1,
            IdleKind::Rejected => counts.evicted_rejected += 1,
            IdleKind::Served => counts.evicted_served += 1,
            IdleKind::New | IdleKind::Sending | IdleKind::OverLimit => counts.evicted_arriving += 1,
        });
    }

    pub(super) fn record_kept(&self) {
        self.count(|counts| counts.kept += 1);
    }

    pub(super) fn record_rejected(&self) {
        self.was_full.set(true);
        self.count(|counts| counts.rejected += 1);
    }

    pub(super) fn record_error(&self) {
        self.was_full.set(true);
        self.count(|counts| counts.errors += 1);
    }

    /// Records that no connection can be accepted now because the limit is reached.
    pub(super) fn record_blocked(&self) {
        self.was_full.set(true);
        let since = self.blocked_since.get().unwrap_or_else(Instant::now);
        self.blocked_since.set(Some(since));
    }

    /// Logs the counts since the last line, if [`LOG_INTERVAL`] has passed and the limit was reached since
    /// then.
    pub(super) fn log_recent_if_full(&self) {
        let is_due = self.logged_at.get().is_none_or(|at| at.elapsed() >= LOG_INTERVAL);
        if !is_due || !self.was_full.replace(false) {
            return;
        }
        self.logged_at.set(Some(Instant::now()));
        self.update_longest_without_accept();
        let recent = self.recent.take();
        self.accumulate(recent);
        log!("no space for clients: {recent}");
    }

    /// Logs the total counts, if the limit was ever reached.
    pub(super) fn log_total(&self) {
        self.end_blocked_interval();
        let was_full = self.was_full.get() || self.logged_at.get().is_some();
        self.accumulate(self.recent.take());
        if was_full {
            log!("no space for clients, total: {}", self.total.get());
        }
    }

    fn count(&self, change: impl FnOnce(&mut AcceptCounts)) {
        let mut recent = self.recent.get();
        change(&mut recent);
        self.recent.set(recent);
    }

    fn accumulate(&self, recent: AcceptCounts) {
        let mut total = self.total.get();
        total.add(recent);
        self.total.set(total);
    }

    fn end_blocked_interval(&self) {
        self.update_longest_without_accept();
        self.blocked_since.set(None);
    }

    fn update_longest_without_accept(&self) {
        let Some(since) = self.blocked_since.get() else { return };
        self.count(|counts| {
            counts.longest_without_accept = counts.longest_without_accept.max(since.elapsed());
        });
    }
}
