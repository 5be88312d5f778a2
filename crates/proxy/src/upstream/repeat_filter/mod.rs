//! Removes copies of responses from the bytes that a backend sends.
//!
//! Some backends send a response a second time, some milliseconds after the first. In HTTP/1.1 only the bytes
//! can distinguish such a copy from the response to the next request on the same connection. The bytes that
//! arrive for a request are held as long as they equal a response that is remembered on the connection. Bytes
//! that differ are forwarded unchanged.
//!
//! Held bytes that equal a complete remembered response are a copy if the backend is known to repeat, or if
//! more bytes follow. If none follow within the time that the backend's responses take, the held bytes are
//! the response, and the backend is known to send equal responses.

mod distinct_run;
mod equal_contents;
mod filtered_stream;
mod hold;
mod remembered_responses;
mod repeat_history;
mod response_bytes;
mod response_content;
#[cfg(test)]
mod tests;

pub(super) use distinct_run::DistinctRun;
pub(super) use filtered_stream::FilteredStream;
pub(super) use remembered_responses::MAX_REMEMBERED_BYTES;
pub(super) use repeat_history::RepeatHistory;
pub(super) use response_bytes::is_response_start;

use crate::memory::MemoryReservation;
use crate::transport::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};
use equal_contents::ConnectionNumber;
use hold::{HeldKind, Hold};
use hyper::rt::ReadBufCursor;
use remembered_responses::{Divergence, RememberedResponse, RememberedResponses};
use response_bytes::{head_length, is_interim};
use response_content::{CurrentResponse, ResponseContent};
use std::time::Duration;
use thiserror::Error;
use tokio::time::Instant;

/// The state of the exchange on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request is in flight, so any received bytes belong to no request.
    Idle,
    /// A request was written, and nothing of its response has been forwarded.
    Awaiting,
    /// The response is being forwarded.
    Receiving,
}

/// The memory of a filter.
pub(super) struct FilterMemory {
    /// For bytes that may be a copy.
    pub(super) held: MemoryReservation,
    /// For the response that is being forwarded.
    pub(super) current: MemoryReservation,
    /// For remembered responses.
    pub(super) remembered: MemoryReservation,
}

/// The filter of one connection.
pub(super) struct RepeatFilter {
    connection: ConnectionNumber,
    phase: Phase,
    remembered: RememberedResponses,
    /// The part of the current response that was forwarded.
    current: CurrentResponse,
    /// The memory for what is kept of it.
    current_memory: MemoryReservation,
    /// Bytes that may be a copy.
    held: BytesMut,
    /// The memory for them, and for those that can be forwarded.
    held_memory: MemoryReservation,
    /// How long the bytes are held. Remains set after they were forwarded without knowing that they were not
    /// a copy.
    hold: Option<Hold>,
    /// How long the current response was held although it was not a copy.
    held_for: Duration,
    /// When the current request was written.
    request_began_at: Option<Instant>,
    /// When the wait for its response ends.
    response_expires_at: Option<Instant>,
    /// Bytes that can be forwarded.
    ready: BytesMut,
    /// Whether a copy may have been forwarded before the backend was known to repeat. Each later response may
    /// then belong to an earlier request.
    may_be_desynchronized: bool,
    /// Whether a response was received of which nothing is remembered.
    has_unremembered_response: bool,
}

/// The received bytes can't be attributed to the current request.
#[derive(Debug, Error)]
pub(super) enum AmbiguousResponse {
    /// Either a copy is truncated, so that the start of the next response is uncertain, or they may belong to an
    /// earlier request.
    #[error("the bytes may belong to an earlier request")]
    OtherRequest,
    /// They may be a copy, and can't be held until that is known.
    #[error("there is no memory to hold what may be a copy")]
    NoMemory,
}

impl RepeatFilter {
    /// Creates the filter of a new connection to the backend with this history. Its bytes are
    /// reserved in `memory`.
    pub(super) fn new(history: &RepeatHistory, memory: FilterMemory) -> Self {
        RepeatFilter {
            connection: history.connection_number(),
            phase: Phase::Idle,
            remembered: RememberedResponses::new(memory.remembered),
            current: CurrentResponse::new(),
            held: BytesMut::new(),
            held_memory: memory.held,
            current_memory: memory.current,
            hold: None,
            held_for: Duration::ZERO,
            request_began_at: None,
            response_expires_at: None,
            ready: BytesMut::new(),
            may_be_desynchronized: false,
            has_unremembered_response: false,
        }
    }

    /// Sets when the wait for the response to the next request ends.
    pub(super) fn expect_response_until(&mut self, expires_at: Instant) {
        self.response_expires_at = Some(expires_at);
    }

    /// Returns how long the current response was held although it was not a copy.
    pub(super) fn held_for(&self) -> Duration {
        self.held_for
    }

    /// Called before each write. The first write starts a request.
    fn begin_request(&mut self, history: &RepeatHistory, now: Instant) {
        if self.phase != Phase::Idle {
            self.restart_hold(history, now);
            return;
        }
        history.forget_old_delays(now);
        if self.hold.take().is_some_and(|hold| hold.is_decided(now)) {
            // Nothing followed a response that was forwarded before it was known not to be a copy.
            if let Some(last) = self.remembered.last() {
                history.record_equal(&last.content);
            }
        }
        // A response to an earlier request would have arrived by now.
        let is_copy_possible = self.remembered.last().is_some_and(|last| last.is_copy_possible(history, now));
        self.may_be_desynchronized &= is_copy_possible;
        self.phase = Phase::Awaiting;
        self.request_began_at = Some(now);
        self.held_for = Duration::ZERO;
        self.current = CurrentResponse::new();
    }

    /// Restarts the hold when more of the current request is written: its response follows only its last
    /// byte.
    fn restart_hold(&mut self, history: &RepeatHistory, now: Instant) {
        if self.held.is_empty() {
            return;
        }
        if let Some(hold) = self.hold.take() {
            self.hold(hold.kind, history, now);
        }
    }

    /// Processes bytes that were read.
    fn receive(
        &mut self,
        bytes: &[u8],
        history: &RepeatHistory,
        now: Instant,
    ) -> Result<(), AmbiguousResponse> {
        if self.phase == Phase::Idle && is_response_start(bytes) {
            // This response belongs to no request.
            history.record_repeat(now);
        }
        if self.phase != Phase::Awaiting {
            self.forward(bytes);
            self.phase = Phase::Receiving;
            self.adapt_held_memory();
            return Ok(());
        }
        if self.held.is_empty() {
            self.remembered.forget_expired(history, now);
            self.record_response_time(history, now);
        }
        self.held.extend_from_slice(bytes);
        self.filter_held(history, now)?;
        // Without memory to hold a copy, it can't be told from the response.
        if self.adapt_held_memory() { Ok(()) } else { Err(AmbiguousResponse::NoMemory) }
    }

    /// Reserves the memory of the bytes that are held or can be forwarded, and releases the rest. Returns `false`
    /// if there is not enough to hold bytes. Bytes that can be forwarded count in any case.
    fn adapt_held_memory(&mut self) -> bool {
        if self.held.is_empty() {
            self.held = BytesMut::new();
        }
        let bytes = self.held.capacity() + self.ready.capacity();
        if self.held.is_empty() {
            self.held_memory.resize(bytes);
            return true;
        }
        self.held_memory.try_resize(bytes)
    }

    /// Takes bytes that can be forwarded, at most as many as the buffer has space for.
    fn fill_buffer(&mut self, buffer: &mut ReadBufCursor<'_>) -> bool {
        let length = self.ready.len().min(buffer.remaining());
        buffer.put_slice(&self.ready[..length]);
        self.ready.advance(length);
        if self.ready.is_empty() {
            self.ready = BytesMut::new();
            self.adapt_held_memory();
        }
        length > 0
    }

    fn record_response_time(&self, history: &RepeatHistory, now: Instant) {
        if let Some(began_at) = self.request_began_at {
            history.record_response_time(now, now.duration_since(began_at));
        }
    }

    /// Drops copies from the held bytes and forwards the rest.
    fn filter_held(&mut self, history: &RepeatHistory, now: Instant) -> Result<(), AmbiguousResponse> {
        while !self.held.is_empty() {
            if let Some(index) = self.remembered.position_of_prefix(&self.held) {
                if self.process_equal(index, history, now) {
                    continue;
                }
                return Ok(());
            }
            if self.remembered.any_may_start_with(&self.held) {
                self.hold(HeldKind::Partial, history, now);
                return Ok(());
            }
            if is_interim(&self.held) {
                let Some(end) = head_length(&self.held) else {
                    return if self.held.len() <= MAX_HEAD_BYTES {
                        Ok(())
                    } else {
                        Err(AmbiguousResponse::OtherRequest)
                    };
                };
                let head = self.held.split_to(end);
                self.ready.extend_from_slice(&head);
                self.hold = None;
                continue;
            }
            match self.remembered.divergence(&self.held) {
                Divergence::TruncatedCopy => return Err(AmbiguousResponse::OtherRequest),
                Divergence::Undecided => {
                    self.hold(HeldKind::Partial, history, now);
                    return Ok(());
                }
                Divergence::OtherResponse => {}
            }
            if history.repeats(now) && self.may_be_desynchronized {
                return Err(AmbiguousResponse::OtherRequest);
            }
            self.hold = None;
            self.forward_response();
        }
        Ok(())
    }

    /// Processes held bytes that start with a remembered response: drops a copy, or forwards the response to
    /// the current request. Returns `false` if the two can't be distinguished yet.
    fn process_equal(&mut self, index: usize, history: &RepeatHistory, now: Instant) -> bool {
        let remembered = self.remembered.get(index);
        let is_followed = self.held.len() > remembered.content.length();
        let is_copy_possible = remembered.is_copy_possible(history, now);
        let is_known_equal = history.is_known_equal(&remembered.content);
        let is_expected = history.repeats(now) && is_copy_possible;
        let is_copy = is_followed || is_expected && !is_known_equal && !remembered.was_copied;
        let is_response = is_known_equal && !is_expected;
        if is_copy {
            self.drop_copy(index, history, now);
        } else if is_response {
            self.hold = None;
            self.forward_response();
        } else {
            self.hold(HeldKind::Complete, history, now);
        }
        is_copy || is_response
    }

    /// Holds the received bytes until more arrive, for a limited time.
    fn hold(&mut self, kind: HeldKind, history: &RepeatHistory, now: Instant) {
        if self.hold.is_some_and(|hold| hold.kind == kind) {
            return;
        }
        let times = match kind {
            HeldKind::Partial => history.hold_times().limited_to_usual(),
            HeldKind::Complete => history.hold_times_of(&ResponseContent::of(&self.held)),
        };
        self.hold = Some(Hold::begin(kind, now, times, self.response_expires_at));
    }

    fn drop_copy(&mut self, index: usize, history: &RepeatHistory, now: Instant) {
        let remembered = self.remembered.get_mut(index);
        let is_first = !history.repeats(now) && !remembered.was_copied;
        remembered.was_copied = true;
        let arrived_at = self.hold.take().map_or(now, |hold| hold.began_at);
        history.record_copy(now, arrived_at.duration_since(remembered.received_at));
        self.held.advance(remembered.content.length());
        if !is_first {
            self.remembered.remove(index);
        }
    }

    /// Returns until when bytes are held, if the hold ends without further bytes.
    fn held_until(&self, history: &RepeatHistory, now: Instant) -> Option<Instant> {
        let hold = self.hold.filter(|_| !self.held.is_empty())?;
        if self.is_expected_copy(hold, history, now) { None } else { Some(hold.release_at) }
    }

    /// Returns whether the held bytes are the start or all of a copy that is expected from a repeating
    /// backend.
    fn is_expected_copy(&self, hold: Hold, history: &RepeatHistory, now: Instant) -> bool {
        let is_expected = |copy: &RememberedResponse| {
            copy.content.may_start_with(&self.held)
                && copy.is_copy_possible(history, hold.began_at)
                && !copy.was_copied
                && !history.is_known_equal(&copy.content)
        };
        history.repeats(now) && self.remembered.iter().any(is_expected)
    }

    /// Forwards bytes whose hold time is over. The connection remains under observation until they are known
    /// not to be a copy.
    fn release_held(&mut self, history: &RepeatHistory, now: Instant) {
        let Some(hold) = self.hold.filter(|hold| hold.release_at <= now) else { return };
        if self.held.is_empty() || self.is_expected_copy(hold, history, now) {
            return;
        }
        // Only a complete response counts as held: the rest of a partial one is still to be sent by the
        // backend.
        let content = ResponseContent::of(&self.held);
        if self.remembered.contains(&content) {
            self.held_for = now.duration_since(hold.began_at);
            history.record_released(&content);
            if hold.is_decided(now) {
                history.record_equal(&content);
                self.hold = None;
            }
        }
        self.forward_response();
        self.adapt_held_memory();
    }

    /// Forwards the held bytes. They are not a copy, and neither is the rest of their response.
    fn forward_response(&mut self) {
        let held = self.held.split();
        self.forward(&held);
        self.phase = Phase::Receiving;
    }

    fn forward(&mut self, bytes: &[u8]) {
        self.ready.extend_from_slice(bytes);
        let kept_before = self.current.kept_bytes();
        self.current.record(bytes);
        let has_memory = self.current_memory.try_grow(self.current.kept_bytes().saturating_sub(kept_before));
        if !has_memory {
            self.current.stop_recording();
        }
        if self.current.kept_bytes() == 0 {
            self.current_memory.resize(0);
        }
    }

    /// Returns whether the rest of the current response may bypass the filter.
    fn is_bypassed(&self) -> bool {
        self.phase == Phase::Receiving && self.current.is_too_long_to_compare() && self.ready.is_empty()
    }

    /// Records that the current response was read completely on a connection that may be reused.
    pub(super) fn finish_response(&mut self, is_error: bool, history: &RepeatHistory, now: Instant) {
        self.phase = Phase::Idle;
        self.current_memory.resize(0);
        let Some(content) = self.current.take_content() else {
            self.has_unremembered_response = true;
            self.hold = None;
            return;
        };
        let is_equal = self.remembered.contains(&content);
        self.may_be_desynchronized |= is_equal;
        if !is_equal {
            history.record_distinct(&content, self.connection);
            self.hold = None;
        }
        let cooldown_ends_at = self.cooldown_after(&content, is_error, history, now);
        let was_copied = false;
        let response = RememberedResponse { content, received_at: now, cooldown_ends_at, was_copied };
        if !self.remembered.remember(response) {
            self.has_unremembered_response = true;
        }
    }

    /// Returns until when the connection is not used after a response, because a copy of it could be taken
    /// for the next response.
    fn cooldown_after(
        &self,
        content: &ResponseContent,
        is_error: bool,
        history: &RepeatHistory,
        now: Instant,
    ) -> Option<Instant> {
        if history.repeats(now) {
            if !is_error {
                history.record_response(content);
            }
            let may_next_be_equal = is_error || history.sends_equal_responses();
            return may_next_be_equal.then(|| now + history.cooldown_time());
        }
        let observed_until = self.hold.as_ref().map(|hold| hold.decided_at);
        let copy_expected_until = is_error.then(|| now + history.copy_window());
        observed_until.max(copy_expected_until)
    }

    /// Returns whether the connection can carry no further request. A copy of a response that is not
    /// remembered at all could not be distinguished from the next response. If the backend is known to
    /// repeat, responses have to be remembered in full.
    pub(super) fn is_unusable(&self, history: &RepeatHistory, now: Instant) -> bool {
        let may_be_ambiguous = self.current.is_too_long_to_keep() || self.may_be_desynchronized;
        self.has_unremembered_response || history.repeats(now) && may_be_ambiguous
    }

    /// Returns whether the connection must not be used yet.
    pub(super) fn is_cooling_down(&self, now: Instant) -> bool {
        self.remembered.is_cooling_down(now)
    }
}
