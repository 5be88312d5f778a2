//! Takes second copies of responses out of what a backend sends.
//!
//! Some backends send a response again, some milliseconds later. HTTP/1.1 has nothing by which such a copy could be
//! told from the response to the next request on its connection but its bytes. What comes for a request is held as long
//! as it equals a response remembered on its connection; what differs is passed on unchanged.
//!
//! All of a remembered response is a copy if the backend is known to repeat, or if something comes behind it. If nothing
//! does for as long as the backend's responses take, it is the response, and the backend is known to give equal ones.

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
pub(super) use repeat_history::RepeatHistory;
pub(super) use response_bytes::is_response_start;

use crate::transport::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};
use equal_contents::ConnectionNumber;
use hold::{HeldBytes, Hold};
use remembered_responses::{Divergence, RememberedResponse, RememberedResponses};
use response_bytes::{head_length, is_interim};
use response_content::{PresentResponse, ResponseContent};
use std::time::Duration;
use tokio::time::Instant;

/// How far the exchange on a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No request is open: whatever comes answers none.
    Idle,
    /// A request is written, and nothing of its response has been passed on.
    Awaiting,
    /// The response is being passed on.
    Receiving,
}

/// The filter of one connection.
pub(super) struct RepeatFilter {
    connection: ConnectionNumber,
    phase: Phase,
    remembered: RememberedResponses,
    /// What was passed on of the present response.
    present: PresentResponse,
    /// What may be a copy.
    held: BytesMut,
    /// How long it is held; stays behind what was passed on before that was known to be no copy.
    hold: Option<Hold>,
    /// For how long the present response was held though it was no copy.
    held_for: Duration,
    /// When the present request was written.
    request_began_at: Option<Instant>,
    /// Until when its response is waited for.
    response_expires_at: Option<Instant>,
    /// What can be passed on.
    ready: BytesMut,
    /// A copy may have been passed on before the backend was known to repeat: each response since may belong to an
    /// earlier request.
    may_be_out_of_step: bool,
    /// A response came of which nothing is remembered.
    has_unknown_response: bool,
}

/// What came can't be trusted: a copy broke off, and where the next response begins is not certain; or it may belong to
/// an earlier request.
#[derive(Debug)]
pub(super) struct Untrusted;

impl RepeatFilter {
    /// The filter of a new connection to a backend with this history.
    pub(super) fn new(history: &RepeatHistory) -> Self {
        RepeatFilter {
            connection: history.connection_number(),
            phase: Phase::Idle,
            remembered: RememberedResponses::default(),
            present: PresentResponse::new(),
            held: BytesMut::new(),
            hold: None,
            held_for: Duration::ZERO,
            request_began_at: None,
            response_expires_at: None,
            ready: BytesMut::new(),
            may_be_out_of_step: false,
            has_unknown_response: false,
        }
    }

    /// The response to the next request is waited for until then.
    pub(super) fn expect_response_until(&mut self, expires_at: Instant) {
        self.response_expires_at = Some(expires_at);
    }

    /// For how long the present response was held though it was no copy.
    pub(super) fn held_for(&self) -> Duration {
        self.held_for
    }

    /// The first byte of a request is about to be written.
    fn begin_request(&mut self, history: &RepeatHistory, now: Instant) {
        if self.phase != Phase::Idle {
            self.restart_hold(history, now);
            return;
        }
        history.forget_old_delays(now);
        if self.hold.take().is_some_and(|hold| hold.is_verdict_due(now)) {
            // Nothing came behind a response that was passed on before that was known.
            if let Some(last) = self.remembered.last() {
                history.record_equal(&last.content);
            }
        }
        // Nothing came in all the time in which an earlier response would have come.
        let is_copy_awaited = self.remembered.last().is_some_and(|last| last.is_awaited(history, now));
        self.may_be_out_of_step &= is_copy_awaited;
        self.phase = Phase::Awaiting;
        self.request_began_at = Some(now);
        self.held_for = Duration::ZERO;
        self.present = PresentResponse::new();
    }

    /// More of the present request is written: its response comes behind its last byte only.
    fn restart_hold(&mut self, history: &RepeatHistory, now: Instant) {
        if self.held.is_empty() {
            return;
        }
        if let Some(hold) = self.hold.take() {
            self.hold(hold.bytes, history, now);
        }
    }

    /// Takes what has been read.
    fn receive(&mut self, bytes: &[u8], history: &RepeatHistory, now: Instant) -> Result<(), Untrusted> {
        if self.phase == Phase::Idle && is_response_start(bytes) {
            // Nobody waits for it.
            history.record_repeat(now);
        }
        if self.phase != Phase::Awaiting {
            self.pass(bytes);
            self.phase = Phase::Receiving;
            return Ok(());
        }
        if self.held.is_empty() {
            self.remembered.forget_rested(history, now);
            self.record_response_time(history, now);
        }
        self.held.extend_from_slice(bytes);
        self.compare(history, now)
    }

    fn record_response_time(&self, history: &RepeatHistory, now: Instant) {
        if let Some(began_at) = self.request_began_at {
            history.record_response_time(now, now.duration_since(began_at));
        }
    }

    /// Drops copies from what is held, and passes on what is none.
    fn compare(&mut self, history: &RepeatHistory, now: Instant) -> Result<(), Untrusted> {
        while !self.held.is_empty() {
            if let Some(index) = self.remembered.position_at_start(&self.held) {
                if self.take_equal(index, history, now) {
                    continue;
                }
                return Ok(());
            }
            if self.remembered.any_may_start_with(&self.held) {
                self.hold(HeldBytes::Part, history, now);
                return Ok(());
            }
            if is_interim(&self.held) {
                let Some(end) = head_length(&self.held) else {
                    return if self.held.len() <= MAX_HEAD_BYTES { Ok(()) } else { Err(Untrusted) };
                };
                let head = self.held.split_to(end);
                self.ready.extend_from_slice(&head);
                self.hold = None;
                continue;
            }
            match self.remembered.divergence(&self.held) {
                Divergence::BrokenCopy => return Err(Untrusted),
                Divergence::Unknown => {
                    self.hold(HeldBytes::Part, history, now);
                    return Ok(());
                }
                Divergence::OtherResponse => {}
            }
            if history.repeats(now) && self.may_be_out_of_step {
                return Err(Untrusted);
            }
            self.hold = None;
            self.pass_response();
        }
        Ok(())
    }

    /// Takes a response that equals one that is remembered, as a copy or as the answer; false if that is not known yet.
    fn take_equal(&mut self, index: usize, history: &RepeatHistory, now: Instant) -> bool {
        let remembered = self.remembered.get(index);
        let is_followed = self.held.len() > remembered.content.length();
        let is_awaited = remembered.is_awaited(history, now);
        let is_known_equal = history.is_equal_known(&remembered.content);
        let is_expected = history.repeats(now) && is_awaited;
        let is_copy = is_followed || is_expected && !is_known_equal && !remembered.was_copied;
        let is_answer = is_known_equal && !is_expected;
        if is_copy {
            self.drop_copy(index, history, now);
        } else if is_answer {
            self.hold = None;
            self.pass_response();
        } else {
            self.hold(HeldBytes::Response, history, now);
        }
        is_copy || is_answer
    }

    /// Holds what has come until more comes, and for a limited time.
    fn hold(&mut self, bytes: HeldBytes, history: &RepeatHistory, now: Instant) {
        if self.hold.is_some_and(|hold| hold.bytes == bytes) {
            return;
        }
        let times = match bytes {
            HeldBytes::Part => history.hold_times().without_longest(),
            HeldBytes::Response => history.hold_times_of(&ResponseContent::of(&self.held)),
        };
        self.hold = Some(Hold::begin(bytes, now, times, self.response_expires_at));
    }

    fn drop_copy(&mut self, index: usize, history: &RepeatHistory, now: Instant) {
        let remembered = self.remembered.get_mut(index);
        let is_first = !history.repeats(now) && !remembered.was_copied;
        remembered.was_copied = true;
        let came_at = self.hold.take().map_or(now, |hold| hold.began_at);
        history.record_copy(now, came_at.duration_since(remembered.received_at));
        self.held.advance(remembered.content.length());
        if !is_first {
            self.remembered.remove(index);
        }
    }

    /// Until when bytes are held, where that ends by itself.
    fn held_until(&self, history: &RepeatHistory, now: Instant) -> Option<Instant> {
        let hold = self.hold.filter(|_| !self.held.is_empty())?;
        if self.is_awaited_copy(hold, history, now) { None } else { Some(hold.release_at) }
    }

    /// Whether what is held is the copy, or the beginning of one, that was awaited of a backend that repeats.
    fn is_awaited_copy(&self, hold: Hold, history: &RepeatHistory, now: Instant) -> bool {
        let is_awaited = |copy: &RememberedResponse| {
            copy.content.may_start_with(&self.held)
                && copy.is_awaited(history, hold.began_at)
                && !copy.was_copied
                && !history.is_equal_known(&copy.content)
        };
        history.repeats(now) && self.remembered.iter().any(is_awaited)
    }

    /// Passes on what was held for its time. Its connection stays observed until it is known to be no copy.
    fn release_held(&mut self, history: &RepeatHistory, now: Instant) {
        let Some(hold) = self.hold.filter(|hold| hold.release_at <= now) else { return };
        if self.held.is_empty() || self.is_awaited_copy(hold, history, now) {
            return;
        }
        // The rest of one that is not whole is its backend's to send.
        let content = ResponseContent::of(&self.held);
        if self.remembered.contains(&content) {
            self.held_for = now.duration_since(hold.began_at);
            history.record_released(&content);
            if hold.is_verdict_due(now) {
                history.record_equal(&content);
                self.hold = None;
            }
        }
        self.pass_response();
    }

    /// What is held is no copy, and neither is the rest of its response.
    fn pass_response(&mut self) {
        let held = self.held.split();
        self.pass(&held);
        self.phase = Phase::Receiving;
    }

    fn pass(&mut self, bytes: &[u8]) {
        self.ready.extend_from_slice(bytes);
        self.present.record(bytes);
    }

    /// Whether the rest of the present response may go by the filter.
    fn is_bypassed(&self) -> bool {
        self.phase == Phase::Receiving && self.present.is_too_long() && self.ready.is_empty()
    }

    /// The present response has been read as a whole, and its connection could be used again.
    pub(super) fn finish_response(&mut self, is_error: bool, history: &RepeatHistory, now: Instant) {
        self.phase = Phase::Idle;
        let Some(content) = self.present.take_content() else {
            self.has_unknown_response = true;
            self.hold = None;
            return;
        };
        let is_equal = self.remembered.contains(&content);
        self.may_be_out_of_step |= is_equal;
        if !is_equal {
            history.record_distinct(&content, self.connection);
            self.hold = None;
        }
        let rests_until = self.rest_behind(&content, is_error, history, now);
        let was_copied = false;
        self.remembered.remember(RememberedResponse { content, received_at: now, rests_until, was_copied });
    }

    /// Until when the connection is not used behind a response: a copy of it could be taken for the next one.
    fn rest_behind(
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
            let is_next_maybe_equal = is_error || history.gives_equal_responses();
            return is_next_maybe_equal.then(|| now + history.rest_time());
        }
        let observed_until = self.hold.as_ref().map(|hold| hold.verdict_at);
        let is_copy_awaited_until = is_error.then(|| now + history.copy_window());
        observed_until.max(is_copy_awaited_until)
    }

    /// Whether the connection can carry no further request: a copy of a response of which nothing is remembered could
    /// not be told from the next one. Of a backend that is known to repeat all of it has to be remembered.
    pub(super) fn is_unusable(&self, history: &RepeatHistory, now: Instant) -> bool {
        let is_untrusted = self.present.is_long() || self.may_be_out_of_step;
        self.has_unknown_response || history.repeats(now) && is_untrusted
    }

    /// Whether the connection is not to be used yet.
    pub(super) fn is_resting(&self, now: Instant) -> bool {
        self.remembered.is_resting(now)
    }
}
