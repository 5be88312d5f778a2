//! When the last byte of a streamed body can have arrived.

use super::client_socket::ClientLiveness;
use super::progress::StreamProgress;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Determines the earliest time at which the last byte of a body can have arrived. A client's timeout counts
/// from that byte, which may be unread for as long as no backend takes the bytes before it.
pub struct BodyArrival {
    socket: ClientLiveness,
    progress: Rc<StreamProgress>,
    earliest_end: Instant,
    last_observation: Observation,
    /// Since when each observation found nothing unread.
    empty_since: Option<Instant>,
}

/// The maximum number of bytes that a client's machine holds after the client has written them.
const MAX_CLIENT_BUFFER_BYTES: u64 = 4 << 20;

/// The time without unread bytes after which a client's machine certainly holds none.
const UNBLOCKED_AFTER: Duration = Duration::from_millis(20);

/// What had arrived at one time.
struct Observation {
    at: Instant,
    /// The number of bytes that had arrived on the connection, read or not.
    arrived_bytes: u64,
    /// Whether what arrives next was certainly written later: otherwise it may have waited at the client.
    is_client_unblocked: bool,
}

impl BodyArrival {
    /// Begins to observe the body of a request whose head arrived at `head_received_at`.
    pub fn new(socket: ClientLiveness, progress: Rc<StreamProgress>, head_received_at: Instant) -> Self {
        let last_observation =
            Observation { at: head_received_at, arrived_bytes: 0, is_client_unblocked: true };
        BodyArrival { socket, progress, earliest_end: head_received_at, last_observation, empty_since: None }
    }

    /// Returns the earliest time at which the client can have written the last byte, according to what has
    /// arrived by now. Without a report of the kernel only reads are considered.
    pub fn earliest_end(&mut self) -> Instant {
        let now = Instant::now();
        let read = &self.progress.read;
        if let Some(waited_at) = read.waited_at.get().filter(|_| self.last_observation.is_client_unblocked) {
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
        let has_space = self.socket.has_receive_space(unread_bytes);
        // Bytes behind the body belong to the next request.
        let unread_bytes = body_remaining.map_or(unread_bytes, |remaining| unread_bytes.min(remaining));
        let arrived_bytes = read.byte_count.get() + unread_bytes;
        if unread_bytes > 0 {
            read.is_drained.set(false);
        }
        let was_unblocked = self.last_observation.is_client_unblocked;
        if arrived_bytes > self.last_observation.arrived_bytes && was_unblocked {
            self.earliest_end = self.earliest_end.max(self.last_observation.at);
        }
        let bytes_to_come = body_remaining.map(|remaining| remaining - unread_bytes);
        let is_end_to_come = bytes_to_come.is_some_and(|bytes| bytes > MAX_CLIENT_BUFFER_BYTES)
            || unread_bytes == 0 && was_unblocked && bytes_to_come.is_some_and(|bytes| bytes > 0);
        if is_end_to_come {
            self.earliest_end = now;
        }
        self.empty_since = if unread_bytes == 0 { self.empty_since.or(Some(now)) } else { None };
        // A client that was blocked is unblocked once all that arrives is read at once for a while. Of a body
        // of unknown length, what arrives counts as written.
        let is_empty = self.empty_since.is_some_and(|since| now - since >= UNBLOCKED_AFTER);
        let is_client_unblocked =
            body_remaining.is_none() || is_end_to_come || is_empty || has_space && was_unblocked;
        self.last_observation = Observation { at: now, arrived_bytes, is_client_unblocked };
    }
}
