//! Retries of deduplicated requests that may have run: backends drop a repeat only within a window.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use support::*;
use tokio::net::TcpListener;

/// The deduplication window. A connection whose first SYN is dropped comes up 1 s after it, so that it is
/// too late.
const WINDOW: Duration = Duration::from_millis(800);
const DEDUPLICATED_CLASS: usize = 1;

/// Accepts the connections in the queue of a listener, so that it accepts further ones, and serves those.
/// Returns the number of requests received.
fn serve_late_connections(listener: TcpListener, queued: usize) -> Arc<AtomicUsize> {
    let requests = Arc::new(AtomicUsize::new(0));
    let request_count = requests.clone();
    tokio::spawn(async move {
        for _ in 0..queued {
            drop(in_time(listener.accept()).await.expect("a queued connection"));
        }
        while let Ok((stream, _)) = listener.accept().await {
            let mut connection = RawConnection::new(stream);
            while let Some((id, _)) = connection.read_request().await {
                request_count.fetch_add(1, SeqCst);
                connection.write(own_response(&id)).await;
            }
        }
    });
    requests
}

/// Guards against a repeat of a request that runs a second time, because the connection for it comes up only
/// after the deduplication window.
#[tokio::test]
async fn request_that_may_have_run_is_not_sent_after_its_window() {
    let backend = RawBackend::start().await;
    let (late_listener, queue_fillers) = listener_with_full_backlog().await;
    let late_addr = late_listener.local_addr().expect("a local address");
    let mut settings = settings();
    settings["classes"][DEDUPLICATED_CLASS]["window"] = (WINDOW.as_millis() as u64).into();
    settings["caps"]["connectTimeout"] = (TEST_TIMEOUT.as_millis() as u64).into();
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;

    // Given: a request that begins at one backend.
    let mut client = proxy.client().await;
    let call = tokio::spawn(async move { client.call("keep").await });
    let mut connection = backend.accept().await;
    connection.read_request().await.expect("a request");
    let hosts = vec![endpoint("a", backend.addr, "SERVING"), endpoint("b", late_addr, "SERVING")];
    discovery.publish(hosts).await;
    // When: its connection ends, and the connection to the other backend comes up after the window.
    drop(connection);
    in_time(wait_for_connect_attempt(late_addr)).await;
    let repeats = serve_late_connections(late_listener, queue_fillers.len());

    // Then: the client is told that it was not served, and nothing is sent again.
    let (status, _) = in_time(call).await.expect("no panic");
    assert_eq!((status, repeats.load(SeqCst)), (503, 0));
}

/// Guards against giving up a repeat that is still within the window.
#[tokio::test]
async fn request_that_may_have_run_is_sent_again_within_its_window() {
    let script = Arc::new(BackendScript::default());
    let (a, b) = (Backend::start("a", &script).await, Backend::start("b", &script).await);
    let mut settings = settings();
    settings["classes"][DEDUPLICATED_CLASS]["window"] = (TEST_TIMEOUT.as_millis() as u64).into();
    let discovery = Discovery::start(vec![a.endpoint("SERVING"), b.endpoint("SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    script.enqueue([BackendBehavior::CloseWithoutResponse]);

    assert_eq!(proxy.call("keep").await.0, 200);
    assert_eq!(script.seen.borrow().len(), 2);
}
