//! The part of a response that is kept to recognize its copies.

use super::response_bytes::{final_response, is_interim, is_served};
use crate::transport::MAX_HEAD_BYTES;
use crate::upstream::MAX_BUFFERED_BODY_BYTES;
use std::hash::{DefaultHasher, Hasher};

/// The maximum size of a response that is kept in full, in bytes.
pub(super) const MAX_FULLY_KEPT_BYTES: usize = 16 * 1024;
/// How many bytes are kept of a longer response, together with a hash.
const PREFIX_BYTES: usize = 512;
/// The maximum size of a response that is compared, in bytes.
pub(super) const MAX_COMPARED_BYTES: usize = MAX_HEAD_BYTES + MAX_BUFFERED_BODY_BYTES;

/// The kind of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ResponseKind {
    /// The request was served.
    Served,
    /// The request was not served.
    Error,
}

impl ResponseKind {
    fn of(response: &[u8]) -> Self {
        if is_served(response) { ResponseKind::Served } else { ResponseKind::Error }
    }
}

/// The hash of all bytes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ContentHash(u64);

impl ContentHash {
    fn of(response: &[u8]) -> Self {
        let mut hasher = DefaultHasher::new();
        hasher.write(response);
        ContentHash(hasher.finish())
    }
}

/// The part of a response that is kept to compare it with others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ResponseContent {
    /// The first bytes of the response, or all of them.
    prefix: Box<[u8]>,
    length: usize,
    hash: ContentHash,
}

impl ResponseContent {
    /// Creates the content of a complete response.
    pub(super) fn of(response: &[u8]) -> Self {
        let prefix = &response[..response.len().min(MAX_FULLY_KEPT_BYTES)];
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

    /// Returns how many bytes of the response are kept.
    pub(super) fn kept_bytes(&self) -> usize {
        self.prefix.len()
    }

    /// Returns all bytes of the response if they are kept.
    pub(super) fn full_bytes(&self) -> Option<&[u8]> {
        if self.prefix.len() == self.length { Some(&self.prefix) } else { None }
    }

    /// Reduces what is kept of the response. Returns `false` if that is not possible.
    pub(super) fn shorten(&mut self) -> bool {
        if self.prefix.len() <= PREFIX_BYTES {
            return false;
        }
        self.prefix = self.prefix[..PREFIX_BYTES].into();
        true
    }

    /// Returns whether the bytes start with the complete response.
    pub(super) fn is_prefix_of(&self, bytes: &[u8]) -> bool {
        if bytes.len() < self.length || !bytes.starts_with(&self.prefix) {
            return false;
        }
        self.full_bytes().is_some() || ContentHash::of(&bytes[..self.length]) == self.hash
    }

    /// Returns whether the bytes may be the start of the response, or are all of it.
    pub(super) fn may_start_with(&self, bytes: &[u8]) -> bool {
        let compared = bytes.len().min(self.prefix.len());
        let is_alike = bytes.len() <= self.length && bytes[..compared] == self.prefix[..compared];
        is_alike && (bytes.len() < self.length || self.is_prefix_of(bytes))
    }
}

/// The response that is being forwarded.
pub(super) struct CurrentResponse {
    /// The first bytes of the response.
    prefix: Vec<u8>,
    length: usize,
    hasher: DefaultHasher,
}

impl CurrentResponse {
    pub(super) fn new() -> Self {
        CurrentResponse { prefix: Vec::new(), length: 0, hasher: DefaultHasher::new() }
    }

    /// Records bytes that are forwarded.
    pub(super) fn record(&mut self, bytes: &[u8]) {
        self.length += bytes.len();
        if self.is_too_long_to_compare() {
            self.prefix = Vec::new();
            return;
        }
        self.hasher.write(bytes);
        let missing = MAX_FULLY_KEPT_BYTES - self.prefix.len();
        self.prefix.extend_from_slice(&bytes[..bytes.len().min(missing)]);
    }

    /// Returns how many bytes of the response are kept.
    pub(super) fn kept_bytes(&self) -> usize {
        self.prefix.len()
    }

    /// Keeps nothing of the response, like of one that is too long.
    pub(super) fn stop_recording(&mut self) {
        self.length = self.length.max(MAX_COMPARED_BYTES + 1);
        self.prefix = Vec::new();
    }

    /// Returns whether the response is too long to be kept in full.
    pub(super) fn is_too_long_to_keep(&self) -> bool {
        self.length > MAX_FULLY_KEPT_BYTES
    }

    /// Returns whether the response is too long to be compared.
    pub(super) fn is_too_long_to_compare(&self) -> bool {
        self.length > MAX_COMPARED_BYTES
    }

    /// Takes the content of the response without the interim responses before it. Returns `None` if the
    /// response is too long.
    pub(super) fn take_content(&mut self) -> Option<ResponseContent> {
        let prefix = std::mem::take(&mut self.prefix);
        if !self.is_too_long_to_keep() {
            return Some(ResponseContent::of(final_response(&prefix)));
        }
        if self.is_too_long_to_compare() || is_interim(&prefix) {
            return None;
        }
        let hash = ContentHash(self.hasher.finish());
        let mut content = ResponseContent { prefix: prefix.into(), length: self.length, hash };
        content.shorten();
        Some(content)
    }
}
