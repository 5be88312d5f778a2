//! The buffered part of a body, in blocks that own the reservation of their memory.

use crate::memory::{MemoryBudget, MemoryReservation};
use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// The size of a block. The first one of a body may be smaller, and the last one partly empty.
const BLOCK_BYTES: usize = 4096;

/// The buffered part of a body. Bytes are copied into it, because those that the HTTP library returns keep its
/// whole read buffer allocated.
///
/// Each block has its own reservation, which is released with the last reference to the block's bytes. The
/// memory so counts until it is free, also while the bytes wait to be written.
pub struct BodyBlocks {
    budget: Arc<MemoryBudget>,
    blocks: Vec<Block>,
    length: usize,
}

struct Block {
    bytes: BytesMut,
    _memory: MemoryReservation,
}

impl AsRef<[u8]> for Block {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBlocks {
    /// Creates an empty body whose blocks are reserved in `budget`.
    pub fn new(budget: Arc<MemoryBudget>) -> Self {
        BodyBlocks { budget, blocks: Vec::new(), length: 0 }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Appends a copy of bytes. Returns whether their memory is within the budget. The caller holds the bytes
    /// already, so they are appended, and counted, even if it is not.
    pub fn push(&mut self, mut bytes: &[u8]) -> bool {
        self.length += bytes.len();
        let mut is_within_budget = true;
        while !bytes.is_empty() {
            let block = match self.blocks.last_mut() {
                Some(block) if block.bytes.len() < block.bytes.capacity() => block,
                _ => {
                    is_within_budget &= self.add_block(bytes.len());
                    continue;
                }
            };
            let space = block.bytes.capacity() - block.bytes.len();
            let (head, rest) = bytes.split_at(bytes.len().min(space));
            block.bytes.extend_from_slice(head);
            bytes = rest;
        }
        is_within_budget
    }

    /// Adds a block for at least a part of `wanted_bytes`. Returns whether it is within the budget.
    fn add_block(&mut self, wanted_bytes: usize) -> bool {
        // Most bodies are short and come in one piece.
        let capacity = if self.blocks.is_empty() { wanted_bytes.min(BLOCK_BYTES) } else { BLOCK_BYTES };
        let bytes = BytesMut::with_capacity(capacity);
        let mut memory = self.budget.reservation();
        let is_within_budget = memory.try_grow(bytes.capacity());
        if !is_within_budget {
            memory.resize(bytes.capacity());
        }
        self.blocks.push(Block { bytes, _memory: memory });
        is_within_budget
    }

    /// Returns the bytes in pieces.
    pub fn into_pieces(self) -> impl Iterator<Item = Bytes> {
        self.blocks.into_iter().map(Bytes::from_owner)
    }
}
