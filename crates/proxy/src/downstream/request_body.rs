//! Reads request bodies within a deadline, and buffers short ones.

use super::connection_table::REQUEST_READ_TIMEOUT;
use crate::memory::{MemoryBudget, MemoryReservation};
use crate::transport::{BodyBlocks, BufferedBody, MAX_BODY_BYTES};
use crate::upstream::MAX_BUFFERED_BODY_BYTES;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::{Body, Incoming};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Minimum time allowed for the body after the head. Otherwise the body shares the time limit of the head,
/// [`REQUEST_READ_TIMEOUT`].
const MIN_BODY_READ_TIME: Duration = Duration::from_millis(400);
/// Minimum transfer rate, a quarter below the slowest rate that clients have. Received data extends the time
/// allowed for the body by the time that the data takes at this rate.
const MIN_BODY_BYTES_PER_S: f64 = 48_000.0;
/// Maximum time between two pieces of a body.
const BODY_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The memory of a body that is streamed: a few pieces that are on their way, and the read buffer that the HTTP
/// library keeps for one of them.
const STREAM_MEMORY_BYTES: usize = 24 * 1024;

/// Returns how much longer than its client timeout a request with a streamed body may take.
pub(super) fn body_extension(length: Option<u64>) -> Duration {
    let bytes = length.unwrap_or(MAX_BODY_BYTES) as f64;
    Duration::from_secs_f64(bytes / MIN_BODY_BYTES_PER_S) + REQUEST_READ_TIMEOUT
}

/// The time left for receiving a body. Time spent waiting for the backend to take the data does not count.
pub(super) struct BodyReadDeadline {
    remaining: Duration,
}

impl BodyReadDeadline {
    /// Creates the deadline for the body of a request that started at `started_at` and whose head has just
    /// been received.
    pub(super) fn new(started_at: Instant) -> Self {
        BodyReadDeadline {
            remaining: REQUEST_READ_TIMEOUT.saturating_sub(started_at.elapsed()).max(MIN_BODY_READ_TIME),
        }
    }

    /// Returns the next non-empty piece of the body, or `None` at its end.
    pub(super) async fn next_data(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, StatusCode> {
        loop {
            let asked_at = Instant::now();
            let frame = timeout(self.remaining.min(BODY_IDLE_TIMEOUT), body.frame()).await;
            let frame = frame.map_err(|_| StatusCode::REQUEST_TIMEOUT)?;
            let Some(frame) = frame else { return Ok(None) };
            // Trailers are dropped.
            let data = frame.map_err(|_| StatusCode::BAD_REQUEST)?.into_data().unwrap_or_default();
            self.remaining = self.remaining.saturating_sub(asked_at.elapsed());
            if !data.is_empty() {
                self.remaining += Duration::from_secs_f64(data.len() as f64 / MIN_BODY_BYTES_PER_S);
                return Ok(Some(data));
            }
        }
    }
}

/// The part of a body that was read before its request is dispatched.
pub(super) enum BodyBeginning {
    /// The whole body.
    Complete(BufferedBody),
    /// The beginning of a body that is too long to be buffered.
    Partial(BodyBlocks),
}

/// Reads a body up to [`MAX_BUFFERED_BODY_BYTES`], as far as it is within `budget`. For a longer body,
/// [`STREAM_MEMORY_BYTES`] are reserved in `stream_memory`.
pub(super) async fn read_beginning(
    body: &mut Incoming,
    deadline: &mut BodyReadDeadline,
    budget: &Arc<MemoryBudget>,
    stream_memory: &mut MemoryReservation,
) -> Result<BodyBeginning, StatusCode> {
    let mut data = BodyBlocks::new(budget.clone());
    let mut exceeds_buffer = body.size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64;
    while !exceeds_buffer {
        let Some(more) = deadline.next_data(body).await? else { break };
        if !data.push(&more) {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        exceeds_buffer = data.len() > MAX_BUFFERED_BODY_BYTES;
    }
    if !exceeds_buffer {
        return Ok(BodyBeginning::Complete(data.into_pieces().collect()));
    }
    if !stream_memory.try_grow(STREAM_MEMORY_BYTES) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    Ok(BodyBeginning::Partial(data))
}
