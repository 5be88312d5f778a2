//! The responses of a connection whose copies may still come.

use super::repeat_history::RepeatHistory;
use super::response_bytes::{common_prefix_length, contains_chunked, has_response_start_near, head_length};
use super::response_content::{MAX_WHOLE_BYTES, ResponseContent};
use std::collections::VecDeque;
use tokio::time::Instant;

/// Most responses of a connection that are remembered: a slow copy may come behind later responses.
pub(super) const MAX_REMEMBERED_RESPONSES: usize = 64;
/// Most bytes of them.
pub(super) const MAX_REMEMBERED_BYTES: usize = MAX_WHOLE_BYTES;

/// A response whose copy has not come.
pub(super) struct RememberedResponse {
    pub(super) content: ResponseContent,
    pub(super) received_at: Instant,
    /// Until when its connection is not used, if the next response may rightly equal it. Where the backend is known to
    /// repeat it is forgotten then.
    pub(super) rests_until: Option<Instant>,
    /// A copy of it came, by which the backend is known to repeat: another may come, or an equal response.
    pub(super) was_copied: bool,
}

impl RememberedResponse {
    /// Whether its copy may still come.
    pub(super) fn is_awaited(&self, history: &RepeatHistory, now: Instant) -> bool {
        match self.rests_until {
            Some(until) if history.repeats(now) => now < until,
            _ => now.duration_since(self.received_at) <= history.copy_window(),
        }
    }

    /// Whether its connection has rested so long that no copy of it can come.
    fn is_forgotten(&self, history: &RepeatHistory, now: Instant) -> bool {
        history.repeats(now) && self.rests_until.is_some_and(|until| until <= now)
    }
}

/// What bytes are that begin like a response that is remembered, and then differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Divergence {
    /// Another response.
    OtherResponse,
    /// Another response or a copy that broke off: more has to come before that is known.
    Unknown,
    /// A copy that broke off.
    BrokenCopy,
}

/// The responses that a connection remembers.
#[derive(Default)]
pub(super) struct RememberedResponses {
    /// The oldest first.
    responses: VecDeque<RememberedResponse>,
}

impl RememberedResponses {
    /// Remembers a response, and less of those before it where all would be too much.
    pub(super) fn remember(&mut self, response: RememberedResponse) {
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
    }

    /// Forgets responses of which no copy can come any more.
    pub(super) fn forget_rested(&mut self, history: &RepeatHistory, now: Instant) {
        self.responses.retain(|response| !response.is_forgotten(history, now));
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

    /// The place of the response that bytes begin with.
    pub(super) fn position_at_start(&self, bytes: &[u8]) -> Option<usize> {
        self.responses.iter().position(|response| response.content.is_start_of(bytes))
    }

    /// Whether bytes may be the beginning of one, or all of it.
    pub(super) fn any_may_start_with(&self, bytes: &[u8]) -> bool {
        self.responses.iter().any(|response| response.content.may_start_with(bytes))
    }

    /// Whether one of this content is remembered.
    pub(super) fn contains(&self, content: &ResponseContent) -> bool {
        self.responses.iter().any(|response| response.content.hash() == content.hash())
    }

    /// Whether the connection is not to be used yet.
    pub(super) fn is_resting(&self, now: Instant) -> bool {
        self.responses.iter().any(|response| response.rests_until.is_some_and(|until| now < until))
    }

    /// What bytes are that are no beginning of any of the responses.
    pub(super) fn divergence(&self, bytes: &[u8]) -> Divergence {
        let mut divergence = Divergence::OtherResponse;
        for response in &self.responses {
            match divergence_from(&response.content, bytes) {
                Divergence::BrokenCopy => return Divergence::BrokenCopy,
                Divergence::Unknown => divergence = Divergence::Unknown,
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
    let Some(whole) = content.whole() else { return Divergence::OtherResponse };
    let Some(head) = head_length(whole) else { return Divergence::OtherResponse };
    let common = common_prefix_length(whole, bytes);
    if common < whole.len() && has_response_start_near(bytes, common) {
        return Divergence::BrokenCopy;
    }
    // With one head, and so one length, both are equally long.
    let has_equal_head = common >= head;
    let has_length = !contains_chunked(&whole[..head]);
    if has_equal_head && has_length && bytes.len() < whole.len() {
        return Divergence::Unknown;
    }
    Divergence::OtherResponse
}
