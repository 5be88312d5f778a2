//! How many distinct responses a tier has given in a row.

use std::cell::Cell;

/// Equal responses are rare where at least so many others come between two of them.
const MIN_RUN_BETWEEN_EQUALS: u32 = 1000;

/// The responses of a tier's backends that were unlike all before them, counted since an equal one was last passed on.
#[derive(Default)]
pub(in crate::upstream) struct DistinctRun {
    /// None as long as no equal ones came.
    since_equal: Cell<Option<u32>>,
}

impl DistinctRun {
    /// A response was unlike those before it.
    pub(super) fn record_distinct(&self) {
        self.since_equal.set(self.since_equal.get().map(|count| count.saturating_add(1)));
    }

    /// Different requests got an equal response, as far as can be told.
    pub(super) fn record_equal(&self) {
        self.since_equal.set(Some(0));
    }

    /// Whether an equal response is so rare that waiting for what may come behind it delays few clients.
    pub(super) fn are_equals_rare(&self) -> bool {
        self.since_equal.get().is_none_or(|count| count >= MIN_RUN_BETWEEN_EQUALS)
    }
}
