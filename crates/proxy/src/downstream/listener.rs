//! Accepts clients' connections.

use super::connection::serve_connection;
use super::connection_table::ConnectionTable;
use crate::dispatcher::Dispatcher;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinSet, yield_now};
use tokio::time::{Interval, interval, sleep};

/// How often connections are looked through for those that are overdue.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause when nothing can be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Connections past the limit, accepted only to be rejected at once.
pub const MAX_REJECTING_CONNECTIONS: usize = 16;

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerPhase {
    /// There is none.
    Accepting,
    /// No more connections are accepted; those that are open go on.
    NotAccepting,
    /// Another process accepts connections; those that are open go on to their next answer.
    HandedOver,
    /// Connections are closed as they become idle.
    ClosingIdle,
}

/// What is needed to serve clients.
pub struct Server {
    /// Gives their requests their answers.
    pub dispatcher: Rc<Dispatcher>,
    /// Most connections at once.
    pub max_connections: Cell<usize>,
    /// Most bytes in the bodies of open requests.
    pub max_body_bytes: Cell<usize>,
    /// Whether each answer is to be the last on its connection.
    pub is_handed_over: Cell<bool>,
    /// Who is connected.
    pub table: Rc<ConnectionTable>,
}

impl Server {
    /// Keeps to other limits from now on: idle connections above them are closed.
    pub fn resize(&self, max_connections: usize, max_body_bytes: usize) {
        self.max_connections.set(max_connections);
        self.max_body_bytes.set(max_body_bytes);
        for _ in max_connections..self.table.len() {
            if !self.table.evict_idle_connection() {
                break;
            }
        }
    }

    /// Accepts connections and, as `phase` says, closes them as they become idle; returns when the last one is closed.
    /// Nobody is kept waiting in the system's queue, where requests may lie whose answers are pending: whom there is
    /// no space for takes that of a client that has long sent nothing.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut phase: watch::Receiver<ListenerPhase>) {
        let mut connections = JoinSet::new();
        let mut overdue_check = interval(OVERDUE_CHECK_INTERVAL);
        let connection_phase = phase.clone();
        while *phase.borrow_and_update() == ListenerPhase::Accepting {
            let is_full = self.table.len() >= self.max_connections.get() + MAX_REJECTING_CONNECTIONS;
            if is_full {
                self.table.evict_idle_connection();
            }
            tokio::select! {
                _ = phase.changed() => break,
                Some(_) = connections.join_next() => {}
                _ = overdue_check.tick() => self.table.close_overdue(),
                accepted = listener.accept(), if !is_full => match accepted {
                    Ok((stream, _)) => {
                        let is_rejected = !self.has_space();
                        let phase = connection_phase.clone();
                        connections.spawn_local(serve_connection(self.clone(), stream, phase, is_rejected));
                        // It is in the table from now on.
                        yield_now().await;
                    }
                    // No error ends the loop, out of descriptors or other: clients are waiting, and what is short
                    // comes free again.
                    Err(_) => {
                        self.table.evict_idle_connection();
                        sleep(ACCEPT_ERROR_PAUSE).await;
                    }
                }
            }
        }
        if *phase.borrow() == ListenerPhase::HandedOver {
            self.is_handed_over.set(true);
        }
        // Clients wait there of which the program was not notified yet; closed over them it would reset them.
        for stream in queued_connections(listener) {
            let phase = connection_phase.clone();
            connections.spawn_local(serve_connection(self.clone(), stream, phase, true));
        }
        self.wait_for_close(connections, overdue_check).await;
    }

    /// Whether there is space for another connection, perhaps that of an idle one.
    fn has_space(&self) -> bool {
        self.table.len() < self.max_connections.get() || self.table.evict_idle_connection()
    }

    async fn wait_for_close(&self, mut connections: JoinSet<()>, mut overdue_check: Interval) {
        loop {
            tokio::select! {
                closed = connections.join_next() => if closed.is_none() { return },
                _ = overdue_check.tick() => self.table.close_overdue(),
            }
        }
    }
}

/// The connections that wait at a listener, which is closed when there are no more.
fn queued_connections(listener: TcpListener) -> impl Iterator<Item = TcpStream> {
    // The reactor knows only what it was told when it last looked: the system is asked until it says no.
    let listener = listener.into_std().ok();
    let next = move || listener.as_ref()?.accept().ok();
    std::iter::from_fn(next).filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    })
}
