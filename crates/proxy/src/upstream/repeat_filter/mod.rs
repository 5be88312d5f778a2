//! Takes second copies of responses out of what a backend sends.
//!
//! Some backends send a response again, some milliseconds later. HTTP/1.1 has nothing by which such a copy could be
//! told from the response to the next request on its connection but its bytes. Once a backend is known to repeat, what
//! comes for a request is held as long as it equals a response remembered on its connection. All of one is a copy, and
//! is dropped; what differs is passed on unchanged.

mod filtered_stream;
mod repeat_history;
mod response_bytes;
#[cfg(test)]
mod tests;

pub(super) use filtered_stream::FilteredStream;
pub(super) use repeat_history::RepeatHistory;
pub(super) use response_bytes::RESPONSE_START;

use crate::transport::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};
use response_bytes::{
    common_prefix_length, contains_chunked, final_response, find, head_length, is_interim, is_response_start,
};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Most responses of a connection that are remembered: a slow copy may come behind later responses.
const MAX_REMEMBERED_RESPONSES: usize = 8;
/// Most bytes of them.
const MAX_REMEMBERED_BYTES: usize = 16 * 1024;

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

/// A response whose copy has not come.
struct RememberedResponse {
    bytes: Box<[u8]>,
    received_at: Instant,
    /// Until when its connection is not used, if the next response may rightly equal it; it is forgotten then.
    rests_until: Option<Instant>,
}

impl RememberedResponse {
    /// Whether its copy may still come.
    fn is_awaited(&self, history: &RepeatHistory, now: Instant) -> bool {
        match self.rests_until {
            Some(until) => now < until,
            None => now.duration_since(self.received_at) <= history.copy_window(),
        }
    }
}

/// The filter of one connection.
pub(super) struct RepeatFilter {
    phase: Phase,
    /// The oldest first.
    remembered: VecDeque<RememberedResponse>,
    /// What was passed on of the present response.
    present: Vec<u8>,
    /// Whether the present response is too long to be remembered.
    is_present_too_long: bool,
    /// What may be a copy.
    held: BytesMut,
    /// What can be passed on.
    ready: BytesMut,
    /// A copy may have been passed on before the backend was known to repeat: each response since may belong to an
    /// earlier request.
    may_be_out_of_step: bool,
}

/// What came can't be trusted: a copy broke off, and where the next response begins is not certain; or it may belong to
/// an earlier request.
#[derive(Debug)]
pub(super) struct Untrusted;

impl RepeatFilter {
    pub(super) fn new() -> Self {
        RepeatFilter {
            phase: Phase::Idle,
            remembered: VecDeque::new(),
            present: Vec::new(),
            is_present_too_long: false,
            held: BytesMut::new(),
            ready: BytesMut::new(),
            may_be_out_of_step: false,
        }
    }

    /// The first byte of a request is about to be written.
    fn begin_request(&mut self, history: &RepeatHistory, now: Instant) {
        if self.phase == Phase::Idle {
            // Nothing came in all the time in which an earlier response would have come.
            let is_copy_awaited = self.remembered.back().is_some_and(|last| last.is_awaited(history, now));
            self.may_be_out_of_step &= is_copy_awaited;
            self.phase = Phase::Awaiting;
            self.present.clear();
            self.is_present_too_long = false;
        }
    }

    /// Takes what has been read.
    fn receive(&mut self, bytes: &[u8], history: &RepeatHistory, now: Instant) -> Result<(), Untrusted> {
        if self.phase == Phase::Idle && is_response_start(bytes) {
            // Nobody waits for it.
            history.record_repeat(now);
        }
        if self.phase != Phase::Awaiting || !history.is_filtered(now) {
            self.pass_held();
            self.pass(bytes);
            self.phase = Phase::Receiving;
            return Ok(());
        }
        if self.may_be_out_of_step && history.repeats(now) {
            return Err(Untrusted);
        }
        if self.held.is_empty() {
            self.remembered.retain(|response| response.is_awaited(history, now));
        }
        self.held.extend_from_slice(bytes);
        self.compare(history, now)
    }

    /// Drops copies from what is held, and passes on what is none.
    fn compare(&mut self, history: &RepeatHistory, now: Instant) -> Result<(), Untrusted> {
        while !self.held.is_empty() {
            if let Some(index) = self.remembered.iter().position(|copy| self.held.starts_with(&copy.bytes)) {
                let is_all = self.held.len() == self.remembered[index].bytes.len();
                if is_all && !history.repeats(now) {
                    // It is the answer, unless something comes behind it or the backend is known by then.
                    return Ok(());
                }
                self.drop_copy(index, history, now);
                continue;
            }
            if self.remembered.iter().any(|copy| copy.bytes.starts_with(&self.held)) {
                return Ok(());
            }
            if is_interim(&self.held) {
                let Some(end) = head_length(&self.held) else {
                    return if self.held.len() <= MAX_HEAD_BYTES { Ok(()) } else { Err(Untrusted) };
                };
                let head = self.held.split_to(end);
                self.ready.extend_from_slice(&head);
                continue;
            }
            if self.may_be_broken_copy()? {
                return Ok(());
            }
            self.pass_held();
            self.phase = Phase::Receiving;
        }
        Ok(())
    }

    fn drop_copy(&mut self, index: usize, history: &RepeatHistory, now: Instant) {
        let Some(response) = self.remembered.remove(index) else { return };
        self.held.advance(response.bytes.len());
        history.record_copy(now, now.duration_since(response.received_at));
    }

    /// Whether what is held begins like a response that is remembered, and more of it has to come before it is known
    /// not to be a copy that broke off. An error if it is one.
    fn may_be_broken_copy(&self) -> Result<bool, Untrusted> {
        let mut needs_more = false;
        for response in &self.remembered {
            let common = common_prefix_length(&response.bytes, &self.held);
            let Some(head) = head_length(&response.bytes) else { continue };
            let has_equal_head = common >= head;
            // With one head, and so one length, both are equally long.
            let end = if has_equal_head { response.bytes.len() } else { head };
            let compared = &self.held[..self.held.len().min(end + RESPONSE_START.len())];
            if find(&compared[1..], RESPONSE_START).is_some_and(|position| position < common) {
                return Err(Untrusted);
            }
            let has_length = !contains_chunked(&response.bytes[..head]);
            needs_more |= has_equal_head && has_length && self.held.len() < end;
        }
        Ok(needs_more)
    }

    /// Until when bytes are held, where that ends by itself.
    fn held_until(&self, history: &RepeatHistory, now: Instant) -> Option<Instant> {
        if self.held.is_empty() || history.repeats(now) { None } else { history.suspected_until() }
    }

    /// Passes on what was held of a backend that has not turned out to repeat.
    fn release_held(&mut self, history: &RepeatHistory, now: Instant) {
        if !self.held.is_empty() && !history.is_filtered(now) {
            self.pass_held();
            self.phase = Phase::Receiving;
        }
    }

    fn pass_held(&mut self) {
        let held = self.held.split();
        self.pass(&held);
    }

    fn pass(&mut self, bytes: &[u8]) {
        self.ready.extend_from_slice(bytes);
        self.record_passed(bytes);
    }

    /// Keeps what is passed on, as far as it is remembered.
    fn record_passed(&mut self, bytes: &[u8]) {
        if self.present.len() + bytes.len() > MAX_REMEMBERED_BYTES {
            self.is_present_too_long = true;
            self.present = Vec::new();
        }
        if !self.is_present_too_long {
            self.present.extend_from_slice(bytes);
        }
    }

    /// Whether the rest of the present response may go by the filter.
    fn is_bypassed(&self) -> bool {
        self.phase == Phase::Receiving && self.is_present_too_long && self.ready.is_empty()
    }

    /// The present response has been read as a whole, and its connection could be used again.
    pub(super) fn finish_response(&mut self, is_error: bool, history: &RepeatHistory, now: Instant) {
        self.phase = Phase::Idle;
        if self.is_present_too_long {
            return;
        }
        let response = final_response(&self.present);
        let mut rest = None;
        if history.repeats(now) {
            if !is_error {
                history.record_response(response);
            }
            if is_error || history.gives_equal_responses() {
                // The next response may rightly equal it. A copy of it must not be taken for that.
                rest = Some(history.rest_time());
            }
        } else if self.awaits_copy_of(response, history, now) {
            self.may_be_out_of_step = true;
            if !is_error && history.begin_observation(now) {
                rest = Some(repeat_history::OBSERVATION_TIME);
            }
        } else if !is_error {
            history.record_distinct_response();
        }
        let (bytes, rests_until) = (response.into(), rest.map(|rest| now + rest));
        self.remember(RememberedResponse { bytes, received_at: now, rests_until });
    }

    fn awaits_copy_of(&self, response: &[u8], history: &RepeatHistory, now: Instant) -> bool {
        self.remembered.iter().any(|earlier| *earlier.bytes == *response && earlier.is_awaited(history, now))
    }

    fn remember(&mut self, response: RememberedResponse) {
        self.remembered.push_back(response);
        while self.remembered.len() > MAX_REMEMBERED_RESPONSES
            || self.remembered_bytes() > MAX_REMEMBERED_BYTES
        {
            self.remembered.pop_front();
        }
    }

    fn remembered_bytes(&self) -> usize {
        self.remembered.iter().map(|response| response.bytes.len()).sum()
    }

    /// Whether the connection can carry no further request: a copy of a response that is too long to be remembered
    /// could not be told from the next one.
    pub(super) fn is_unusable(&self, history: &RepeatHistory, now: Instant) -> bool {
        history.repeats(now) && (self.is_present_too_long || self.may_be_out_of_step)
    }

    /// Whether the connection is not to be used yet.
    pub(super) fn is_resting(&self, now: Instant) -> bool {
        self.remembered.iter().any(|response| response.rests_until.is_some_and(|until| now < until))
    }
}
