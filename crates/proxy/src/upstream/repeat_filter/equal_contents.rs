//! The contents that a backend sends to different requests without repeating itself.

use super::response_content::ContentHash;
use std::collections::VecDeque;

/// The number of recent responses whose contents are compared.
const MAX_RECENT: usize = 32;
/// The maximum number of known contents. The oldest is forgotten first.
const MAX_KNOWN: usize = 64;

/// Identifies a connection to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionNumber(pub(super) u64);

/// The contents that a backend sends to different requests. A copy arrives on the connection of its response,
/// so equal contents on two connections are not copies.
#[derive(Default)]
pub(super) struct EqualContents {
    /// Oldest first.
    recent: VecDeque<(ContentHash, ConnectionNumber)>,
    /// Oldest first.
    known: VecDeque<ContentHash>,
}

impl EqualContents {
    /// Returns whether different requests received this content, so that equal responses of it do not
    /// indicate a copy.
    pub(super) fn contains(&self, content: ContentHash) -> bool {
        self.known.contains(&content)
    }

    /// Records that different requests received this content. Returns whether that is new.
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

    /// Records a response on a connection. Returns whether it shows for the first time that different
    /// requests received this content.
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
