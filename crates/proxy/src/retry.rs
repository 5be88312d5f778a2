//! Retries of operations that failed with a transient error.

use std::future::pending;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// The delay after the first failure; it doubles after each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The maximum delay between two attempts.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(250);

/// The time of the next retry, if one is scheduled.
pub struct RetryTimer {
    due_at: Option<Instant>,
    next_delay: Duration,
}

impl RetryTimer {
    /// Creates a timer without a scheduled retry.
    pub fn idle() -> Self {
        RetryTimer { due_at: None, next_delay: MIN_RETRY_DELAY }
    }

    /// Schedules a retry after a failure. The delay doubles with each call, up to a maximum.
    pub fn schedule(&mut self) {
        self.due_at = Some(Instant::now() + self.next_delay);
        self.next_delay = (self.next_delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Waits until the next retry is due, or forever if none is scheduled.
    pub async fn wait(&self) {
        match self.due_at {
            Some(due_at) => sleep_until(due_at).await,
            None => pending().await,
        }
    }
}

/// Repeats `attempt` until it succeeds, fails with an error that is not transient, or `timeout` has passed.
/// Calls `on_failure` with the first transient error.
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
