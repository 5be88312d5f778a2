//! Failures that may pass: when what failed is tried again.

use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// After the first failure; twice as long after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest time between two tries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The next try of something that has failed, if one is due.
pub struct RetryTimer {
    due_at: Option<Instant>,
    next_delay: Duration,
}

impl RetryTimer {
    /// No try is due.
    pub fn idle() -> Self {
        RetryTimer { due_at: None, next_delay: MIN_RETRY_DELAY }
    }

    /// It has failed and is to be tried again, each time after a longer delay.
    pub fn schedule(&mut self) {
        self.due_at = Some(Instant::now() + self.next_delay);
        self.next_delay = (self.next_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Waits until the next try is due; for ever if none is.
    pub async fn wait(&self) {
        match self.due_at {
            Some(due_at) => sleep_until(due_at).await,
            None => pending().await,
        }
    }
}

/// Tries until it succeeds, fails for good, or has failed for so long. `on_failure` gets the first failure that may pass.
pub async fn retry_for<T, E>(
    timeout: Duration,
    attempt: impl Fn() -> Result<T, E>,
    is_transient: impl Fn(&E) -> bool,
    on_failure: impl FnOnce(&E),
) -> Result<T, E> {
    let give_up_at = Instant::now() + timeout;
    let mut retry = RetryTimer::idle();
    let mut on_failure = Some(on_failure);
    loop {
        match attempt() {
            Err(error) if is_transient(&error) && Instant::now() < give_up_at => {
                if let Some(on_failure) = on_failure.take() {
                    on_failure(&error);
                }
                retry.schedule();
                retry.wait().await;
            }
            ended => return ended,
        }
    }
}
