//! Connections to backends: a pool of connections, and attempts with the meaning of each outcome.

mod attempt;
mod attempt_outcome;
mod buffering_times;
mod connection;
mod connection_pool;
mod repeat_filter;
mod request;
mod response;
mod response_fault;
mod response_stream;
#[cfg(test)]
mod tests;

pub use attempt::{Attempt, AttemptTimes};
pub use attempt_outcome::{AttemptOutcome, FinishedAttempt};
pub use connection_pool::{ConnectionPool, Endpoint, PoolLimits, ResponseMemory};
pub use request::{UpstreamRequest, printable_id};

/// The maximum size of a buffered body, in bytes. Longer bodies are streamed.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
