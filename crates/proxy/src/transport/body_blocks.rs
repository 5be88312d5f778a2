//! The buffered part of a body, in blocks whose total size is close to that of the body.

use bytes::{Bytes, BytesMut};

/// The size of a block. The last one of a body may be partly empty.
const BLOCK_BYTES: usize = 4096;

/// The buffered part of a body. Bytes are copied into it, because those that the HTTP library returns keep its
/// whole read buffer allocated.
#[derive(Default)]
pub struct BodyBlocks {
    blocks: Vec<BytesMut>,
    length: usize,
}

impl BodyBlocks {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Appends a copy of bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.length += bytes.len();
        while !bytes.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.len() < block.capacity() => block,
                _ => {
                    self.blocks.push(BytesMut::with_capacity(BLOCK_BYTES));
                    continue;
                }
            };
            let (head, rest) = bytes.split_at(bytes.len().min(block.capacity() - block.len()));
            block.extend_from_slice(head);
            bytes = rest;
        }
    }

    /// Returns all bytes in one piece.
    pub fn into_bytes(self) -> Bytes {
        let mut bytes = Vec::with_capacity(self.length);
        // Each block is released once it is copied.
        for block in self.blocks {
            bytes.extend_from_slice(&block);
        }
        bytes.into()
    }

    /// Returns the bytes in pieces.
    pub fn into_pieces(self) -> impl Iterator<Item = Bytes> {
        self.blocks.into_iter().map(BytesMut::freeze)
    }
}
