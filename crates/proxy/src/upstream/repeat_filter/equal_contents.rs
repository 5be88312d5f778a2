//! Which contents a backend gives for different requests, and rightly so.

use super::response_content::ContentHash;
use std::collections::VecDeque;

/// Contents of the latest responses that are compared.
const MAX_RECENT: usize = 32;
/// Most contents that are known; the oldest is forgotten.
const MAX_KNOWN: usize = 64;

/// Identifies a connection to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionNumber(pub(super) u64);

/// The contents that a backend gives for different requests. A copy comes on the connection of its response: what comes
/// on two connections is no copy.
#[derive(Default)]
pub(super) struct EqualContents {
    /// The oldest first.
    recent: VecDeque<(ContentHash, ConnectionNumber)>,
    /// The oldest first.
    known: VecDeque<ContentHash>,
}

impl EqualContents {
    /// Whether equal responses of this content tell nothing.
    pub(super) fn contains(&self, content: ContentHash) -> bool {
        self.known.contains(&content)
    }

    /// Different requests got this content. Tells whether that is new.
    pub(super) fn insert(&mut self, content: ContentHash) -> bool {
        if self.known.contains(&content) {
            return false;
        }
        self.known.push_back(content);
        if self.known.len() > MAX_KNOWN {
            self.known.pop_front();
        }
        true
    }

    /// A response came on a connection. Tells whether it is now known that different requests got this content.
    pub(super) fn record(&mut self, content: ContentHash, connection: ConnectionNumber) -> bool {
        let is_equal = self.recent.iter().any(|(earlier, other)| *earlier == content && *other != connection);
        let is_new = is_equal && self.insert(content);
        self.recent.push_back((content, connection));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
        is_new
    }
}
