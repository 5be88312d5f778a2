//! The kernel's accept queue, and a lower bound for when its connections arrived.

use crate::transport::enable_receive_timestamps;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::os::fd::AsFd;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop::has_budget_remaining;
use tokio::time::Instant;

/// The accept queue of a listening socket.
pub(super) struct AcceptQueue {
    listener: TcpListener,
    has_arrival_timestamps: bool,
    /// Whether the next accept makes a system call. Otherwise it reads only the readiness that the reactor
    /// cached at its last poll.
    queries_kernel: Cell<bool>,
    /// When the queue was last seen empty.
    last_empty_at: Cell<Instant>,
}

impl AcceptQueue {
    /// Creates the accept queue of a listener that has just been bound, and enables receive timestamps on it.
    pub(super) fn new(listener: TcpListener) -> Self {
        AcceptQueue {
            has_arrival_timestamps: enable_receive_timestamps(&listener),
            listener,
            queries_kernel: Cell::new(false),
            last_empty_at: Cell::new(Instant::now()),
        }
    }

    /// Accepts the first connection in the queue.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        poll_fn(|context| self.poll_accept(context)).await
    }

    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<TcpStream>> {
        // A task that has used up its cooperative budget gets `Pending` even if a connection is waiting.
        let has_budget = has_budget_remaining();
        let accepted = self.listener.poll_accept(context);
        if accepted.is_ready() {
            self.queries_kernel.set(true);
        } else if has_budget && self.queries_kernel.replace(false) {
            self.last_empty_at.set(Instant::now());
        }
        accepted.map_ok(|(stream, _)| stream)
    }

    /// Polls the listening socket, and records the time if the queue is empty.
    pub(super) fn check_empty(&self) {
        let mut descriptors = [PollFd::new(self.listener.as_fd(), PollFlags::POLLIN)];
        if poll(&mut descriptors, PollTimeout::ZERO) == Ok(0) {
            self.last_empty_at.set(Instant::now());
        }
    }

    /// Returns the earliest time at which a connection in the queue can have arrived, or `None` if the kernel
    /// does not timestamp received bytes.
    pub(super) fn waiting_since(&self) -> Option<Instant> {
        if self.has_arrival_timestamps { Some(self.last_empty_at.get()) } else { None }
    }

    /// Returns the listener, to be used without the reactor.
    pub(super) fn into_std(self) -> io::Result<std::net::TcpListener> {
        self.listener.into_std()
    }
}
