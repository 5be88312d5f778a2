//! When a file that could not be read is read again.

use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// After the first failure; twice as long after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest time between two reads.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The next read of a file that could not be read, if one is due.
pub struct ReadRetry {
    due_at: Option<Instant>,
    next_delay: Duration,
}

impl ReadRetry {
    /// No read is due.
    pub fn none() -> Self {
        ReadRetry { due_at: None, next_delay: MIN_RETRY_DELAY }
    }

    /// The file could not be read: it will be read again, each time after a longer delay.
    pub fn schedule(&mut self) {
        self.due_at = Some(Instant::now() + self.next_delay);
        self.next_delay = (self.next_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Waits until the file is to be read again; for ever if it is not.
    pub async fn due(&self) {
        match self.due_at {
            Some(due_at) => sleep_until(due_at).await,
            None => pending().await,
        }
    }
}
