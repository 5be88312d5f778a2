//! The progress of the messages on a connection.

use crate::memory::MemoryReservation;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// A head up to this size is part of the memory of each connection, in bytes.
const SHORT_HEAD_BYTES: usize = 4096;
/// How often a long head is held: in the read buffer of the HTTP library, which has up to twice its size, as a
/// copy, and in its parsed form.
const LONG_HEAD_COPIES: usize = 4;

/// Returns whether a request that is about to be sent is still allowed and wanted.
pub type SendGuard = Rc<dyn Fn() -> bool>;
/// Returns whether the client is still connected. It can be upgraded as long as the request's final answer is
/// pending.
pub type WeakSendGuard = Weak<dyn Fn() -> bool>;

/// The progress of the messages on a connection, in both directions.
#[derive(Default)]
pub struct StreamProgress {
    pub(super) read: ReadProgress,
    pub(super) write: WriteProgress,
}

/// The progress of reading.
#[derive(Default)]
pub(super) struct ReadProgress {
    pub(super) first_byte_at: Cell<Option<Instant>>,
    pub(super) last_byte_at: Cell<Option<Instant>>,
    /// A copy of the head that is being read, if a copy is wanted.
    pub(super) head: RefCell<Option<Vec<u8>>>,
    /// The memory of a long head, until the next one is expected.
    pub(super) head_memory: RefCell<Option<MemoryReservation>>,
    /// Whether there was no memory for a long head.
    pub(super) is_head_refused: Cell<bool>,
    /// The number of bytes of the body before the next head, if known.
    pub(super) body_remaining: Cell<Option<u64>>,
    /// Whether the last read was pending.
    pub(super) is_pending: Cell<bool>,
    /// Whether a read was pending since the last request.
    pub(super) has_waited: Cell<bool>,
    /// The number of bytes read on the connection.
    pub(super) byte_count: Cell<u64>,
    /// Whether nothing has arrived since the last read, as far as is known.
    pub(super) is_drained: Cell<bool>,
    /// When the bytes arrived that a read last waited for. All that was read since arrived no earlier.
    pub(super) waited_at: Cell<Option<Instant>>,
}

impl ReadProgress {
    /// Reserves the memory of a head of `length` bytes. Returns `false` if there is none.
    pub(super) fn reserve_head(&self, length: usize) -> bool {
        if length <= SHORT_HEAD_BYTES {
            return true;
        }
        let has_memory = match &mut *self.head_memory.borrow_mut() {
            Some(memory) => memory.try_resize(length * LONG_HEAD_COPIES),
            None => true,
        };
        self.is_head_refused.set(!has_memory);
        has_memory
    }

    /// Subtracts bytes of the body that were read. If a head is expected after the body, the end of the body
    /// starts a new message.
    pub(super) fn count_body(&self, bytes: usize) {
        let remaining = self.body_remaining.get().map(|remaining| remaining.saturating_sub(bytes as u64));
        self.body_remaining.set(remaining);
        if remaining == Some(0) && self.head.borrow().is_some() {
            self.first_byte_at.set(None);
        }
    }
}

/// The progress of writing.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// Whether a new request is about to be written.
    pub(super) is_request_due: Cell<bool>,
    pub(super) is_request_started: Cell<bool>,
    pub(super) is_body_taken: Cell<bool>,
    pub(super) is_flushed: Cell<bool>,
    pub(super) has_unsent: Cell<bool>,
    /// The task that waits until the kernel has accepted all bytes.
    pub(super) sent_waker: RefCell<Option<Waker>>,
    /// Called right before the first byte of a request.
    pub(super) guard: RefCell<Option<SendGuard>>,
    /// The task that waits for the first byte of the request to be written.
    pub(super) first_byte_waker: RefCell<Option<Waker>>,
}

impl StreamProgress {
    /// Sets the number of bytes of the body before the next head, if known.
    pub fn expect_body(&self, remaining: Option<u64>) {
        self.read.body_remaining.set(remaining);
    }

    /// Returns whether the end of the current body is known, so that the head after it can be read
    /// separately.
    pub fn is_body_end_known(&self) -> bool {
        self.read.body_remaining.get().is_some()
    }

    /// Expects a head, either now or after the rest of a body, and keeps a copy of it.
    pub fn expect_head(&self) {
        self.read.head.replace(Some(Vec::new()));
        if let Some(memory) = &mut *self.read.head_memory.borrow_mut() {
            memory.resize(0);
        }
    }

    /// Makes heads longer than [`SHORT_HEAD_BYTES`] depend on memory that can be reserved.
    pub fn limit_heads(&self, memory: MemoryReservation) {
        self.read.head_memory.replace(Some(memory));
    }

    /// Returns whether a head could not be read because there was no memory for it.
    pub fn is_head_refused(&self) -> bool {
        self.read.is_head_refused.get()
    }

    /// Takes the copy of the head. It is empty if the head was read together with the bytes before it.
    pub fn take_head(&self) -> Vec<u8> {
        self.read.head.take().unwrap_or_default()
    }

    /// Returns when the last bytes from the peer were read.
    pub fn last_byte_at(&self) -> Option<Instant> {
        self.read.last_byte_at.get()
    }

    /// Returns when the first byte of the current message was read.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.read.first_byte_at.get()
    }

    /// Returns whether the HTTP library waits for more bytes. It reads again only after it has processed all
    /// that it can of the bytes that it has.
    pub fn is_read_pending(&self) -> bool {
        self.read.is_pending.get()
    }

    /// Returns whether a read was pending since the last call. Otherwise the peer sends without a pause.
    pub fn take_has_waited(&self) -> bool {
        self.read.has_waited.take()
    }

    /// Starts a new message with the next byte.
    pub fn expect_message(&self) {
        self.read.first_byte_at.set(None);
    }

    /// Returns whether there are bytes that the kernel has not accepted yet.
    pub fn has_unsent(&self) -> bool {
        self.write.has_unsent.get()
    }

    /// Returns `Ready` once the kernel has accepted all bytes. A body that waits for this before its next frame
    /// leaves no more than one frame in the HTTP library's write buffer.
    pub fn poll_sent(&self, context: &Context<'_>) -> Poll<()> {
        if !self.has_unsent() {
            return Poll::Ready(());
        }
        self.write.sent_waker.replace(Some(context.waker().clone()));
        Poll::Pending
    }

    /// Sets the guard that must allow the next request right before it is sent.
    pub fn guard_next_request(&self, guard: SendGuard) {
        self.write.guard.replace(Some(guard));
    }

    /// Records that a new request is about to be written.
    pub fn begin_request(&self) {
        self.write.is_request_due.set(true);
        self.write.is_body_taken.set(false);
        self.write.is_request_started.set(false);
        self.write.is_flushed.set(false);
    }

    /// Returns whether any byte of the request was written to the socket.
    pub fn is_request_started(&self) -> bool {
        self.write.is_request_started.get()
    }

    /// Returns whether the last byte of the request was written to the socket. The HTTP library flushes a
    /// stream only after it has written its whole buffer, and by then it has taken the whole body.
    pub fn is_request_complete(&self) -> bool {
        self.write.is_flushed.get()
    }
}
