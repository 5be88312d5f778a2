//! Counts the distinct responses that a tier has sent in a row.

use std::cell::Cell;

/// Equal responses are rare if at least this many other responses come between two of them.
const MIN_RUN_BETWEEN_EQUALS: u32 = 1000;

/// The number of responses of a tier's backends that differed from all earlier ones, counted since an equal
/// response was last forwarded.
#[derive(Default)]
pub(in crate::upstream) struct DistinctRun {
    /// `None` until the first equal response.
    distinct_since_equal: Cell<Option<u32>>,
}

impl DistinctRun {
    /// Records a response that differed from the earlier ones.
    pub(super) fn record_distinct(&self) {
        self.distinct_since_equal.set(self.distinct_since_equal.get().map(|count| count.saturating_add(1)));
    }

    /// Records that different requests received an equal response, as far as is known.
    pub(super) fn record_equal(&self) {
        self.distinct_since_equal.set(Some(0));
    }

    /// Returns whether equal responses are so rare that holding them for long delays few clients.
    pub(super) fn are_equal_responses_rare(&self) -> bool {
        self.distinct_since_equal.get().is_none_or(|count| count >= MIN_RUN_BETWEEN_EQUALS)
    }
}
