//! The system's queue of connections that wait to be accepted, and since when they may have waited.

use crate::transport::stamp_arrivals;
use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use std::cell::Cell;
use std::future::poll_fn;
use std::io;
use std::os::fd::AsFd;
use std::task::{Context, Poll};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop::has_budget_remaining;
use tokio::time::Instant;

/// The queue of a listener.
pub(super) struct AcceptQueue {
    listener: TcpListener,
    has_arrival_timestamps: bool,
    /// Whether the next accept asks the system, and not only the reactor, which knows what it saw when it last looked.
    queries_kernel: Cell<bool>,
    /// When the queue was last known to be empty.
    last_empty_at: Cell<Instant>,
}

impl AcceptQueue {
    /// The queue of a listener that has just been made.
    pub(super) fn new(listener: TcpListener) -> Self {
        AcceptQueue {
            has_arrival_timestamps: stamp_arrivals(&listener),
            listener,
            queries_kernel: Cell::new(false),
            last_empty_at: Cell::new(Instant::now()),
        }
    }

    /// Takes the first connection out of the queue.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        poll_fn(|context| self.poll_accept(context)).await
    }

    fn poll_accept(&self, context: &mut Context<'_>) -> Poll<io::Result<TcpStream>> {
        // A task that has had its turn is told that there is nothing, whatever there is.
        let has_budget = has_budget_remaining();
        let accepted = self.listener.poll_accept(context);
        if accepted.is_ready() {
            self.queries_kernel.set(true);
        } else if has_budget && self.queries_kernel.replace(false) {
            self.last_empty_at.set(Instant::now());
        }
        accepted.map_ok(|(stream, _)| stream)
    }

    /// Asks the system whether the queue is empty.
    pub(super) fn check_empty(&self) {
        let mut descriptors = [PollFd::new(self.listener.as_fd(), PollFlags::POLLIN)];
        if poll(&mut descriptors, PollTimeout::ZERO) == Ok(0) {
            self.last_empty_at.set(Instant::now());
        }
    }

    /// Since when the connections in the queue may have waited there; none where the system doesn't note when bytes
    /// come.
    pub(super) fn waiting_since(&self) -> Option<Instant> {
        if self.has_arrival_timestamps { Some(self.last_empty_at.get()) } else { None }
    }

    /// The listener, to be asked without the reactor.
    pub(super) fn into_std(self) -> io::Result<std::net::TcpListener> {
        self.listener.into_std()
    }
}
