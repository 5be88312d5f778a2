//! The listener: accepts client connections.

use super::accept_queue::AcceptQueue;
use super::connection::AcceptedConnection;
use super::connection_table::EvictionPurpose;
use super::response::rejected_response_bytes;
use super::server::{ListenerPhase, MAX_REJECTING_CONNECTIONS, Server};
use std::io::{Read, Write};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, Interval, interval, sleep};

/// Interval between two checks for overdue connections.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time for which queued connections are accepted while the listener is closed. In a burst, connections
/// arrive faster than they can be accepted.
const QUEUE_DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// The maximum number of queued connections that are rejected when the listener is closed: the size of the
/// accept queue.
const MAX_REJECTED_QUEUED: usize = 1024;
/// The maximum number of bytes that are read from a queued connection that is rejected.
const QUEUED_READ_BYTES: usize = 16 * 1024;
/// Delay after a failed accept.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Time without room for another connection, after which even connections that may be about to send are
/// evicted. Connections that are being rejected usually make room earlier by closing.
const FORCED_EVICTION_DELAY: Duration = Duration::from_millis(5);
/// The number of connections that are evicted at once after [`FORCED_EVICTION_DELAY`].
const FORCED_EVICTION_COUNT: usize = MAX_REJECTING_CONNECTIONS / 2;

/// Accepts and serves connections as `phase` directs, and returns when the last one is closed. No connection
/// is left in the accept queue, where the answer to a request that it holds would be delayed: when the limit
/// is reached, a new connection replaces one that has long been idle.
pub async fn serve(server: Rc<Server>, listener: TcpListener, mut phase: watch::Receiver<ListenerPhase>) {
    let queue = AcceptQueue::new(listener);
    let mut connections = JoinSet::new();
    let mut overdue_check = interval(OVERDUE_CHECK_INTERVAL);
    let connection_phase = phase.clone();
    while *phase.borrow_and_update() == ListenerPhase::Accepting {
        let is_full = server.is_full();
        if is_full {
            server.statistics.record_blocked();
            server.evict(EvictionPurpose::NewConnection);
        }
        // Finished tasks hold memory until they are joined. In a burst, a connection can be accepted at any
        // time, and the random order of `select!` would join fewer tasks than it starts.
        while connections.try_join_next().is_some() {}
        tokio::select! {
            _ = phase.changed() => break,
            Some(_) = connections.join_next() => {}
            _ = overdue_check.tick() => {
                queue.check_empty();
                server.table.close_overdue();
                server.statistics.log_recent_if_full();
            }
            // The connections' tasks may have run for longer than the delay and made room meanwhile.
            () = sleep(FORCED_EVICTION_DELAY), if is_full => if server.is_full() {
                server.force_evictions(FORCED_EVICTION_COUNT);
            },
            accepted = queue.accept(), if !is_full => match accepted {
                Ok(stream) => {
                    server.statistics.record_accepted();
                    // Does not yield, so that the connections in the accept queue don't wait for other tasks.
                    let is_over_limit = !server.has_space();
                    let waiting_since = queue.waiting_since();
                    let connection =
                        AcceptedConnection::new(server.clone(), stream, is_over_limit, waiting_since);
                    connections.spawn_local(connection.serve(connection_phase.clone()));
                }
                // No error ends the loop, not even a lack of descriptors: clients are waiting, and the
                // missing resource becomes available again.
                Err(_) => {
                    server.statistics.record_error();
                    server.evict(EvictionPurpose::BlockedListener);
                    sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
    }
    if *phase.borrow() == ListenerPhase::HandedOver {
        server.is_handed_over.set(true);
    }
    accept_queued(&server, queue, &mut connections, &connection_phase).await;
    wait_for_close(&server, connections, overdue_check, phase).await;
    server.statistics.log_total();
}

/// Waits until the last connection is closed, or the last one on which an answer is being written.
async fn wait_for_close(
    server: &Server,
    mut connections: JoinSet<()>,
    mut overdue_check: Interval,
    mut phase: watch::Receiver<ListenerPhase>,
) {
    while *phase.borrow_and_update() != ListenerPhase::FinishingAnswers
        || server.table.has_unfinished_answer()
    {
        tokio::select! {
            closed = connections.join_next() => if closed.is_none() {
                return;
            },
            _ = overdue_check.tick() => server.table.close_overdue(),
            // The sender lives as long as the process serves.
            _ = phase.changed() => {}
        }
    }
}

/// Accepts the connections that are still in the accept queue, and closes the listener. The reactor may not
/// have reported all of them yet, and closing the listener resets those that remain. If there are too few
/// descriptors, connections are evicted first, as for any new connection.
async fn accept_queued(
    server: &Rc<Server>,
    queue: AcceptQueue,
    connections: &mut JoinSet<()>,
    phase: &watch::Receiver<ListenerPhase>,
) {
    // The reactor knows only the readiness as of its last poll, so this calls accept until the queue is
    // empty.
    let waiting_since = queue.waiting_since();
    let Ok(listener) = queue.into_std() else { return };
    let give_up_at = Instant::now() + QUEUE_DRAIN_TIMEOUT;
    while Instant::now() < give_up_at {
        while connections.try_join_next().is_some() {}
        if server.is_full() {
            server.force_evictions(FORCED_EVICTION_COUNT);
            sleep(FORCED_EVICTION_DELAY).await;
            continue;
        }
        let Ok((stream, _)) = listener.accept() else { return };
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        if let Ok(stream) = TcpStream::from_std(stream) {
            let connection = AcceptedConnection::new(server.clone(), stream, true, waiting_since);
            connections.spawn_local(connection.serve(phase.clone()));
        }
    }
    reject_queued(server.retry_after(), &listener);
}

/// Rejects the connections that are still in the accept queue, one after the other: there is no room to hold
/// all of them at once.
fn reject_queued(retry_after: Option<Duration>, listener: &std::net::TcpListener) {
    let rejection = rejected_response_bytes(retry_after);
    for _ in 0..MAX_REJECTED_QUEUED {
        let Ok((mut stream, _)) = listener.accept() else { return };
        let is_ready = stream.set_nonblocking(true).is_ok();
        // Closing a connection with unread bytes would reset it. A failed write means that the client has
        // disconnected.
        if is_ready && stream.write(&rejection).is_ok() {
            let _ = stream.read(&mut [0; QUEUED_READ_BYTES]);
        }
    }
}
