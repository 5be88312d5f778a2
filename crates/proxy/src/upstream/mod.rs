//! The backends' side: a pool of connections, and attempts with what each ending means.

mod attempt;
mod attempt_outcome;
mod connection;
mod connection_pool;
mod repeat_filter;
mod request;
mod response;
#[cfg(test)]
mod tests;

pub use attempt::Attempt;
pub use attempt_outcome::{AttemptOutcome, FinishedAttempt};
pub use connection_pool::{ConnectionPool, Endpoint, PoolLimits};
pub use request::{UpstreamRequest, printable_id};

/// Bodies up to this many bytes are buffered, longer ones are streamed through.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
