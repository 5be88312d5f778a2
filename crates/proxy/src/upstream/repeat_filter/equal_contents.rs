//! Which contents a backend gives for different requests, and rightly so.

use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Contents of the latest responses that are compared.
const MAX_RECENT: usize = 32;
/// Most contents that are known: a backend that gives more of them more than once may do so with any.
const MAX_KNOWN: usize = 4;

/// Identifies what a response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ContentHash(u64);

impl ContentHash {
    fn of(response: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        response.hash(&mut hasher);
        ContentHash(hasher.finish())
    }
}

/// Identifies a connection to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ConnectionNumber(pub(super) u64);

/// The contents that a backend gives for different requests. A copy comes on the connection of its response: what comes
/// on two connections is no copy.
#[derive(Default)]
pub(super) struct EqualContents {
    /// The oldest first.
    recent: VecDeque<(ContentHash, ConnectionNumber)>,
    known: Vec<ContentHash>,
}

impl EqualContents {
    /// Whether equal responses of this content tell nothing.
    pub(super) fn contains(&self, response: &[u8]) -> bool {
        self.known.len() == MAX_KNOWN || self.known.contains(&ContentHash::of(response))
    }

    /// Different requests got this content.
    pub(super) fn insert(&mut self, response: &[u8]) {
        self.insert_hash(ContentHash::of(response));
    }

    /// A response came on a connection.
    pub(super) fn record(&mut self, response: &[u8], connection: ConnectionNumber) {
        let content = ContentHash::of(response);
        if self.recent.iter().any(|(earlier, other)| *earlier == content && *other != connection) {
            self.insert_hash(content);
        }
        self.recent.push_back((content, connection));
        if self.recent.len() > MAX_RECENT {
            self.recent.pop_front();
        }
    }

    fn insert_hash(&mut self, content: ContentHash) {
        if self.known.len() < MAX_KNOWN && !self.known.contains(&content) {
            self.known.push(content);
        }
    }
}
