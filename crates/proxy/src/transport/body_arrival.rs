//! When the last byte of a streamed body can have arrived.

use super::client_socket::ClientLiveness;
use super::progress::StreamProgress;
use std::rc::Rc;
use tokio::time::Instant;

/// Determines the earliest time at which the last byte of a body can have arrived. A client's timeout counts
/// from that byte, which may be unread for as long as no backend takes the bytes before it.
pub struct BodyArrival {
    socket: ClientLiveness,
    progress: Rc<StreamProgress>,
    earliest_end: Instant,
    last_observation: Observation,
}

/// What had arrived at one time.
struct Observation {
    at: Instant,
    /// The number of bytes that had arrived on the connection, read or not.
    arrived_bytes: u64,
}

impl BodyArrival {
    /// Begins to observe the body of a request whose head arrived at `head_received_at`.
    pub fn new(socket: ClientLiveness, progress: Rc<StreamProgress>, head_received_at: Instant) -> Self {
        let last_observation = Observation { at: head_received_at, arrived_bytes: 0 };
        BodyArrival { socket, progress, earliest_end: head_received_at, last_observation }
    }

    /// Returns the earliest time at which the last byte can have arrived, according to what has arrived by
    /// now. Without a report of the kernel only reads are considered.
    pub fn earliest_end(&mut self) -> Instant {
        let now = Instant::now();
        let read = &self.progress.read;
        if let Some(waited_at) = read.waited_at.get() {
            self.earliest_end = self.earliest_end.max(waited_at);
        }
        if let Some(unread_bytes) = self.socket.unread_bytes() {
            self.observe(now, unread_bytes);
        }
        self.earliest_end
    }

    fn observe(&mut self, now: Instant, unread_bytes: u64) {
        let read = &self.progress.read;
        let body_remaining = read.body_remaining.get();
        // Bytes behind the body belong to the next request.
        let unread_bytes = body_remaining.map_or(unread_bytes, |remaining| unread_bytes.min(remaining));
        let arrived_bytes = read.byte_count.get() + unread_bytes;
        if unread_bytes > 0 {
            read.is_drained.set(false);
        }
        if arrived_bytes > self.last_observation.arrived_bytes {
            self.earliest_end = self.earliest_end.max(self.last_observation.at);
        }
        let is_end_to_come = unread_bytes == 0 && body_remaining.is_some_and(|remaining| remaining > 0);
        if is_end_to_come {
            self.earliest_end = now;
        }
        self.last_observation = Observation { at: now, arrived_bytes };
    }
}
