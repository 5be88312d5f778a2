//! The responses of a connection whose copies may still arrive.

use super::repeat_history::RepeatHistory;
use super::response_bytes::{common_prefix_length, has_response_start_near, head_length, is_chunked};
use super::response_content::{MAX_FULLY_KEPT_BYTES, ResponseContent};
use crate::memory::MemoryReservation;
use std::collections::VecDeque;
use tokio::time::Instant;

/// The maximum number of remembered responses of a connection. A slow copy may arrive after several later
/// responses.
pub(super) const MAX_REMEMBERED_RESPONSES: usize = 64;
/// The maximum size of the remembered responses of a connection, in bytes.
pub(in crate::upstream) const MAX_REMEMBERED_BYTES: usize = MAX_FULLY_KEPT_BYTES;

/// A response whose copy may still arrive.
pub(super) struct RememberedResponse {
    pub(super) content: ResponseContent,
    pub(super) received_at: Instant,
    /// Until when the connection is not used, if the next response may legitimately equal this one. If the
    /// backend is known to repeat, the response is forgotten then.
    pub(super) cooldown_ends_at: Option<Instant>,
    /// Whether a copy was received by which the backend became known to repeat. Either another copy or an
    /// equal response may follow.
    pub(super) was_copied: bool,
}

impl RememberedResponse {
    /// Returns whether a copy of the response may still arrive.
    pub(super) fn is_copy_possible(&self, history: &RepeatHistory, now: Instant) -> bool {
        match self.cooldown_ends_at {
            Some(until) if history.repeats(now) => now < until,
            _ => now.duration_since(self.received_at) <= history.copy_window(),
        }
    }

    /// Returns whether the connection's cooldown has lasted so long that no copy can arrive any more.
    fn is_expired(&self, history: &RepeatHistory, now: Instant) -> bool {
        history.repeats(now) && self.cooldown_ends_at.is_some_and(|until| until <= now)
    }
}

/// The meaning of bytes that begin like a remembered response and then differ from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Divergence {
    /// Another response.
    OtherResponse,
    /// Either another response or a truncated copy. More bytes are needed to decide.
    Undecided,
    /// A truncated copy.
    TruncatedCopy,
}

/// The remembered responses of a connection.
pub(super) struct RememberedResponses {
    /// Oldest first.
    responses: VecDeque<RememberedResponse>,
    memory: MemoryReservation,
}

impl RememberedResponses {
    /// Remembers nothing yet.
    pub(super) fn new(memory: MemoryReservation) -> Self {
        RememberedResponses { responses: VecDeque::new(), memory }
    }

    /// Remembers a response. Beyond the limits, less is kept of earlier responses. Returns `false`, and forgets
    /// all responses, if there is no memory for them.
    pub(super) fn remember(&mut self, response: RememberedResponse) -> bool {
        self.responses.push_back(response);
        if self.responses.len() > MAX_REMEMBERED_RESPONSES {
            self.responses.pop_front();
        }
        while self.kept_bytes() > MAX_REMEMBERED_BYTES {
            let was_shortened = self.responses.iter_mut().any(|response| response.content.shorten());
            if !was_shortened {
                self.responses.pop_front();
            }
        }
        let has_memory = self.try_reserve() || self.shorten_all() && self.try_reserve();
        if !has_memory {
            self.responses = VecDeque::new();
            self.memory.resize(0);
        }
        has_memory
    }

    /// Reserves the memory of what is kept. Returns `false` if there is not enough.
    fn try_reserve(&mut self) -> bool {
        let records_bytes = self.responses.capacity() * size_of::<RememberedResponse>();
        self.memory.try_resize(self.kept_bytes() + records_bytes)
    }

    /// Reduces what is kept of each response. Returns whether that makes a difference.
    fn shorten_all(&mut self) -> bool {
        let mut was_shortened = false;
        for response in &mut self.responses {
            was_shortened |= response.content.shorten();
        }
        was_shortened
    }

    /// Forgets responses of which no copy can arrive any more.
    pub(super) fn forget_expired(&mut self, history: &RepeatHistory, now: Instant) {
        self.responses.retain(|response| !response.is_expired(history, now));
    }

    pub(super) fn last(&self) -> Option<&RememberedResponse> {
        self.responses.back()
    }

    pub(super) fn get(&self, index: usize) -> &RememberedResponse {
        &self.responses[index]
    }

    pub(super) fn get_mut(&mut self, index: usize) -> &mut RememberedResponse {
        &mut self.responses[index]
    }

    pub(super) fn remove(&mut self, index: usize) {
        self.responses.remove(index);
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &RememberedResponse> {
        self.responses.iter()
    }

    /// Returns the index of the response that the bytes start with.
    pub(super) fn position_of_prefix(&self, bytes: &[u8]) -> Option<usize> {
        self.responses.iter().position(|response| response.content.is_prefix_of(bytes))
    }

    /// Returns whether the bytes may be the start or all of a remembered response.
    pub(super) fn any_may_start_with(&self, bytes: &[u8]) -> bool {
        self.responses.iter().any(|response| response.content.may_start_with(bytes))
    }

    /// Returns whether a response of this content is remembered.
    pub(super) fn contains(&self, content: &ResponseContent) -> bool {
        self.responses.iter().any(|response| response.content.hash() == content.hash())
    }

    /// Returns whether the connection must not be used yet.
    pub(super) fn is_cooling_down(&self, now: Instant) -> bool {
        self.responses.iter().any(|response| response.cooldown_ends_at.is_some_and(|until| now < until))
    }

    /// Classifies bytes that begin like a remembered response and then differ from it.
    pub(super) fn divergence(&self, bytes: &[u8]) -> Divergence {
        let mut divergence = Divergence::OtherResponse;
        for response in &self.responses {
            match divergence_from(&response.content, bytes) {
                Divergence::TruncatedCopy => return Divergence::TruncatedCopy,
                Divergence::Undecided => divergence = Divergence::Undecided,
                Divergence::OtherResponse => {}
            }
        }
        divergence
    }

    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.responses.len()
    }

    pub(super) fn kept_bytes(&self) -> usize {
        self.responses.iter().map(|response| response.content.kept_bytes()).sum()
    }
}

fn divergence_from(content: &ResponseContent, bytes: &[u8]) -> Divergence {
    let Some(full_bytes) = content.full_bytes() else { return Divergence::OtherResponse };
    let Some(head) = head_length(full_bytes) else { return Divergence::OtherResponse };
    let common = common_prefix_length(full_bytes, bytes);
    if common < full_bytes.len() && has_response_start_near(bytes, common) {
        return Divergence::TruncatedCopy;
    }
    // Equal heads with a `Content-Length` mean equally long responses.
    let has_equal_head = common >= head;
    let has_length = !is_chunked(&full_bytes[..head]);
    if has_equal_head && has_length && bytes.len() < full_bytes.len() {
        return Divergence::Undecided;
    }
    Divergence::OtherResponse
}
