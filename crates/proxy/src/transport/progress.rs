//! How far the messages on a connection have got.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::task::Waker;
use tokio::time::Instant;

/// Tells whether what is about to be sent is still allowed and wanted.
pub type SendGuard = Rc<dyn Fn() -> bool>;
/// Lives for as long as a request's answer is pending, and then tells whether its client is still connected.
pub type WeakSendGuard = Weak<dyn Fn() -> bool>;

/// How far the messages on a connection have got, in both directions.
#[derive(Default)]
pub struct StreamProgress {
    pub(super) read: ReadProgress,
    pub(super) write: WriteProgress,
}

/// What has been read.
#[derive(Default)]
pub(super) struct ReadProgress {
    pub(super) first_byte_at: Cell<Option<Instant>>,
    pub(super) last_byte_at: Cell<Option<Instant>>,
    /// A copy of the head that is being read, where one is kept.
    pub(super) head: RefCell<Option<Vec<u8>>>,
    /// How many bytes of a body come before the next head, where that is known.
    pub(super) body_remaining: Cell<Option<u64>>,
    /// The last read found nothing.
    pub(super) is_pending: Cell<bool>,
}

impl ReadProgress {
    /// So many bytes of the body were read. Where a head is expected behind it, that is a new message.
    pub(super) fn count_body(&self, bytes: usize) {
        let remaining = self.body_remaining.get().map(|remaining| remaining.saturating_sub(bytes as u64));
        self.body_remaining.set(remaining);
        if remaining == Some(0) && self.head.borrow().is_some() {
            self.first_byte_at.set(None);
        }
    }
}

/// What has been written.
#[derive(Default)]
pub(super) struct WriteProgress {
    /// A request is about to be written.
    pub(super) is_request_due: Cell<bool>,
    pub(super) has_begun: Cell<bool>,
    pub(super) is_body_taken: Cell<bool>,
    pub(super) is_flushed: Cell<bool>,
    pub(super) has_unsent: Cell<bool>,
    /// Asked right before the first byte of a request.
    pub(super) guard: RefCell<Option<SendGuard>>,
    /// Whoever waits for the first byte of the request to be written.
    pub(super) first_byte_waiter: RefCell<Option<Waker>>,
}

impl StreamProgress {
    /// So many bytes of a body come before the next head, if that is known.
    pub fn expect_body(&self, remaining: Option<u64>) {
        self.read.body_remaining.set(remaining);
    }

    /// Whether it is known where the present body ends, so that the head behind it can be seen alone.
    pub fn is_body_end_known(&self) -> bool {
        self.read.body_remaining.get().is_some()
    }

    /// A head is expected, from now on or behind the rest of a body, and a copy of it is kept.
    pub fn expect_head(&self) {
        self.read.head.replace(Some(Vec::new()));
    }

    /// The copy of a head; empty if it was read together with what came before it.
    pub fn take_head(&self) -> Vec<u8> {
        self.read.head.take().unwrap_or_default()
    }

    /// When the latest bytes of the other side were read.
    pub fn last_byte_at(&self) -> Option<Instant> {
        self.read.last_byte_at.get()
    }

    /// When the first byte of the present message was read.
    pub fn first_byte_at(&self) -> Option<Instant> {
        self.read.first_byte_at.get()
    }

    /// Whether the HTTP library waits for more bytes. It asks for them only once it has taken what it can of those that
    /// it has read.
    pub fn is_read_pending(&self) -> bool {
        self.read.is_pending.get()
    }

    /// What comes from now on is a new message.
    pub fn expect_message(&self) {
        self.read.first_byte_at.set(None);
    }

    /// Whether something is written that the system has not taken yet.
    pub fn has_unsent(&self) -> bool {
        self.write.has_unsent.get()
    }

    /// The next request is sent only if the guard allows it by then.
    pub fn guard_next_request(&self, guard: SendGuard) {
        self.write.guard.replace(Some(guard));
    }

    /// A new request is about to be written.
    pub fn begin_request(&self) {
        self.write.is_request_due.set(true);
        self.write.is_body_taken.set(false);
        self.write.has_begun.set(false);
        self.write.is_flushed.set(false);
    }

    /// Whether a byte of the request was given to the system.
    pub fn has_begun(&self) -> bool {
        self.write.has_begun.get()
    }

    /// Whether the request's last byte was given to the system. The HTTP library flushes a stream only once all
    /// that it has buffered is written, and by then it has taken the body.
    pub fn is_request_complete(&self) -> bool {
        self.write.is_flushed.get()
    }
}
