//! What is kept of a response to recognize a copy of it.

use super::response_bytes::{final_response, is_interim, is_served};
use crate::transport::MAX_HEAD_BYTES;
use crate::upstream::MAX_BUFFERED_BODY_BYTES;
use std::hash::{DefaultHasher, Hasher};

/// Responses up to so many bytes are kept as a whole.
pub(super) const MAX_WHOLE_BYTES: usize = 16 * 1024;
/// Of longer ones so many bytes are kept, and a hash.
const PREFIX_BYTES: usize = 512;
/// Responses of more bytes than this are not compared.
pub(super) const MAX_COMPARED_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES;

/// What a response is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseKind {
    /// Its request was served.
    Served,
    /// Its request was not.
    Error,
}

impl ResponseKind {
    fn of(response: &[u8]) -> Self {
        if is_served(response) { ResponseKind::Served } else { ResponseKind::Error }
    }
}

/// Identifies the bytes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ContentHash(u64);

impl ContentHash {
    fn of(response: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        hasher.write(response);
        ContentHash(hasher.finish())
    }
}

/// A response, or as much of it as tells it from others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ResponseContent {
    /// All of it, or its first bytes.
    prefix: Box<[u8]>,
    length: usize,
    hash: ContentHash,
}

impl ResponseContent {
    /// The content of a whole response.
    pub(super) fn of(response: &[u8]) -> Self {
        let prefix = &response[..response.len().min(MAX_WHOLE_BYTES)];
        ResponseContent { prefix: prefix.into(), length: response.len(), hash: ContentHash::of(response) }
    }

    pub(super) fn length(&self) -> usize {
        self.length
    }

    pub(super) fn hash(&self) -> ContentHash {
        self.hash
    }

    pub(super) fn kind(&self) -> ResponseKind {
        ResponseKind::of(&self.prefix)
    }

    /// How many bytes are kept of it.
    pub(super) fn kept_bytes(&self) -> usize {
        self.prefix.len()
    }

    /// All its bytes, if they are kept.
    pub(super) fn whole(&self) -> Option<&[u8]> {
        if self.prefix.len() == self.length { Some(&self.prefix) } else { None }
    }

    /// Keeps less of it; false if no less can be kept.
    pub(super) fn shorten(&mut self) -> bool {
        if self.prefix.len() <= PREFIX_BYTES {
            return false;
        }
        self.prefix = self.prefix[..PREFIX_BYTES].into();
        true
    }

    /// Whether bytes begin with all of it.
    pub(super) fn is_start_of(&self, bytes: &[u8]) -> bool {
        if bytes.len() < self.length || !bytes.starts_with(&self.prefix) {
            return false;
        }
        self.whole().is_some() || ContentHash::of(&bytes[..self.length]) == self.hash
    }

    /// Whether bytes may be its beginning, or are all of it.
    pub(super) fn may_start_with(&self, bytes: &[u8]) -> bool {
        let compared = bytes.len().min(self.prefix.len());
        let is_alike = bytes.len() <= self.length && bytes[..compared] == self.prefix[..compared];
        is_alike && (bytes.len() < self.length || self.is_start_of(bytes))
    }
}

/// The response that is being passed on.
pub(super) struct PresentResponse {
    /// Its first bytes.
    prefix: Vec<u8>,
    length: usize,
    hasher: DefaultHasher,
}

impl PresentResponse {
    pub(super) fn new() -> Self {
        PresentResponse { prefix: Vec::new(), length: 0, hasher: DefaultHasher::new() }
    }

    /// Takes bytes that are passed on.
    pub(super) fn record(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        if self.is_too_long() {
            return;
        }
        self.hasher.write(bytes);
        let missing = MAX_WHOLE_BYTES - self.prefix.len();
        self.prefix.extend_from_slice(&bytes[..bytes.len().min(missing)]);
    }

    /// Whether it is too long to be kept as a whole.
    pub(super) fn is_long(&self) -> bool {
        self.length > MAX_WHOLE_BYTES
    }

    /// Whether it is too long to be compared.
    pub(super) fn is_too_long(&self) -> bool {
        self.length > MAX_COMPARED_BYTES
    }

    /// What is kept of it, without the interim responses before it; none if it is too long.
    pub(super) fn take_content(&mut self) -> Option<ResponseContent> {
        let prefix = std::mem::take(&mut self.prefix);
        if !self.is_long() {
            return Some(ResponseContent::of(final_response(&prefix)));
        }
        if self.is_too_long() || is_interim(&prefix) {
            return None;
        }
        let hash = ContentHash(self.hasher.finish());
        let mut content = ResponseContent { prefix: prefix.into(), length: self.length, hash };
        content.shorten();
        Some(content)
    }
}
