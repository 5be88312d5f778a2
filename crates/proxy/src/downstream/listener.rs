//! Accepts clients' connections.

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

/// How often connections are looked through for those that are overdue.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// When the listener is closed, connections that wait there are taken for no longer than this: in a crowd more come
/// than can be taken.
const QUEUE_DRAIN_TIMEOUT: Duration = Duration::from_millis(100);
/// No more connections than the system's queue has places are rejected from it.
const MAX_REJECTED_QUEUED: usize = 1024;
/// How much is read of what a connection has sent that is rejected there, in bytes.
const QUEUED_READ_BYTES: usize = 16 * 1024;
/// Pause when nothing can be accepted.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(10);
/// Places of connections that are rejected come free by themselves; only when none does for so long must others give
/// way, who may be about to send.
const FORCED_EVICTION_DELAY: Duration = Duration::from_millis(5);
/// So many of them give way at once.
const FORCED_EVICTION_COUNT: usize = MAX_REJECTING_CONNECTIONS / 2;

/// Accepts connections and, as `phase` says, closes them as they become idle; returns when the last one is closed.
/// Nobody is kept waiting in the system's queue, where requests may lie whose answers are pending: whom there is
/// no space for takes that of a client that has long sent nothing.
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
        // Those that have ended hold memory until they are taken out. In a crowd a connection can be accepted at any time:
        // left to chance, fewer would be taken out than come in.
        while connections.try_join_next().is_some() {}
        tokio::select! {
            _ = phase.changed() => break,
            Some(_) = connections.join_next() => {}
            _ = overdue_check.tick() => {
                queue.check_empty();
                server.table.close_overdue();
                server.statistics.log_recent_if_full();
            }
            // The turns of the connections may have taken longer than the pause, and have made space.
            () = sleep(FORCED_EVICTION_DELAY), if is_full => if server.is_full() {
                server.force_evictions(FORCED_EVICTION_COUNT);
            },
            accepted = queue.accept(), if !is_full => match accepted {
                Ok(stream) => {
                    server.statistics.record_accepted();
                    // Without a pause, so that none waits in the system's queue for the turns of others.
                    let is_over_limit = !server.has_space();
                    let waiting_since = queue.waiting_since();
                    let connection =
                        AcceptedConnection::new(server.clone(), stream, is_over_limit, waiting_since);
                    connections.spawn_local(connection.serve(connection_phase.clone()));
                }
                // No error ends the loop, out of descriptors or other: clients are waiting, and what is short
                // comes free again.
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
    wait_for_close(&server, connections, overdue_check).await;
}

async fn wait_for_close(server: &Server, mut connections: JoinSet<()>, mut overdue_check: Interval) {
    loop {
        tokio::select! {
            closed = connections.join_next() => if closed.is_none() {
                server.statistics.log_total();
                return;
            },
            _ = overdue_check.tick() => server.table.close_overdue(),
        }
    }
}

/// Takes the connections that wait at a listener, and closes it. Clients wait there of which the program was not notified
/// yet; closed over them it would reset them. Past the descriptors others have to give way first, as for any that comes.
async fn accept_queued(
    server: &Rc<Server>,
    queue: AcceptQueue,
    connections: &mut JoinSet<()>,
    phase: &watch::Receiver<ListenerPhase>,
) {
    // The reactor knows only what it was told when it last looked: the system is asked until it says no.
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

/// Answers the connections that still wait at a listener, one after the other: for all at once there is no space.
fn reject_queued(retry_after: Option<Duration>, listener: &std::net::TcpListener) {
    let rejection = rejected_response_bytes(retry_after);
    for _ in 0..MAX_REJECTED_QUEUED {
        let Ok((mut stream, _)) = listener.accept() else { return };
        let is_ready = stream.set_nonblocking(true).is_ok();
        // Closed over unread bytes, the connection would be reset. Who has disconnected needs no answer.
        if is_ready && stream.write(&rejection).is_ok() {
            let _ = stream.read(&mut [0; QUEUED_READ_BYTES]);
        }
    }
}
