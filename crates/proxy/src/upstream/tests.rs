//! Unit tests of attempts and the connection pool.

use super::connection::Connection;
use super::{Attempt, AttemptTimes, ConnectionPool, Endpoint, PoolLimits, ResponseMemory, UpstreamRequest};
use crate::transport::{BufferedBody, ClientSocket, MAX_READ_BYTES, RequestPayload, SendGuard};
use foldhitch_balancer::api::{Outcome, ResponseBuffering};
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use socket2::SockRef;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::Instant;

fn get_request() -> UpstreamRequest {
    let (id, uri) = (HeaderValue::from_static("1"), Uri::from_static("/look"));
    UpstreamRequest {
        method: Method::GET,
        uri,
        host: None,
        id,
        idempotency_key: None,
        body: RequestPayload::Buffered(BufferedBody::default()),
    }
}

/// The time limit of an attempt that is not to expire.
const LONG_TIME: Duration = Duration::from_secs(20);
const LONG_TIME_MS: f64 = 20_000.0;

/// A pool with a single permit.
fn single_connection_pool() -> Rc<ConnectionPool> {
    let idle_timeout = Duration::from_secs(60);
    Rc::new(ConnectionPool::new(PoolLimits {
        memory: ResponseMemory { buffered_bytes: usize::MAX, remembered_bytes: usize::MAX },
        read_bytes: MAX_READ_BYTES,
        connections: 1,
        connect_timeout: LONG_TIME,
        idle_timeout,
        drain_deadline: LONG_TIME,
    }))
}

/// The only connection that a pool may have, in use by an attempt (`held`) or idle.
struct OnlyConnection {
    pool: Rc<ConnectionPool>,
    endpoint: Rc<Endpoint>,
    backend: TcpStream,
    held: Option<Connection>,
}

impl OnlyConnection {
    async fn open(listener: &TcpListener, is_idle: bool) -> Self {
        let address = listener.local_addr().expect("bound socket");
        let pool = single_connection_pool();
        let endpoint = Rc::new(pool.create_endpoint(address, 0.0));
        let guard: SendGuard = Rc::new(|| true);
        let connection = pool.connect(&endpoint, &guard).await.expect("connect");
        let (backend, _) = listener.accept().await.expect("accept");
        let mut held = Some(connection);
        if is_idle {
            pool.keep_idle(&endpoint, held.take().expect("connection in use"));
        }
        OnlyConnection { pool, endpoint, backend, held }
    }
}

/// Returns an attempt and the sender that cancels it.
fn new_attempt(
    endpoint: &Rc<Endpoint>,
    client: &SendGuard,
    send_by: Option<Instant>,
) -> (Attempt, oneshot::Sender<()>) {
    let (cancel, cancelled) = oneshot::channel();
    let attempt = Attempt {
        request: Rc::new(get_request()),
        endpoint: endpoint.clone(),
        times: AttemptTimes {
            expires_at: Instant::now() + LONG_TIME,
            send_by,
            received_at: Instant::now(),
            buffering: ResponseBuffering {
                latency_objective_ms: LONG_TIME_MS,
                max_error_pause_ms: LONG_TIME_MS,
                max_served_pause_ms: LONG_TIME_MS,
                max_open_ended_pause_ms: LONG_TIME_MS,
            },
        },
        client: Rc::downgrade(client),
        cancelled,
    };
    (attempt, cancel)
}

/// With a single permit: an idle connection is evicted for a new one, and an abandoned attempt releases its
/// permit at once.
#[tokio::test]
async fn connect_waits_for_a_permit() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound socket");
    let pool = single_connection_pool();
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            let endpoint = Rc::new(pool.create_endpoint(address, 0.0));
            let guard: SendGuard = Rc::new(|| true);
            let (attempt, cancel) = new_attempt(&endpoint, &guard, None);
            let ended = spawn_local(attempt.run(pool.clone()));
            let (mut backend, _) = listener.accept().await.expect("accept");
            assert_ne!(backend.read(&mut [0; 1024]).await.expect("open connection"), 0);
            cancel.send(()).expect("the attempt is running");
            assert_eq!(ended.await.expect("no panic").outcome.outcome(), Outcome::Cancelled);
            let connection =
                pool.connect(&endpoint, &guard).await.expect("the abandoned connection is closed");
            pool.keep_idle(&endpoint, connection);
            assert!(pool.connect(&endpoint, &guard).await.is_ok(), "the idle connection is evicted");
        })
        .await;
}

/// Guards against a request that is sent although its client has disconnected. The client's task has not been
/// scheduled since, and an attempt is about to write to an idle connection, or waits for a permit for a new
/// one.
#[tokio::test]
async fn request_of_a_disconnected_client_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let clients = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let client_address = clients.local_addr().expect("bound socket");
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            for is_idle in [true, false] {
                let OnlyConnection { pool, endpoint, mut backend, held } =
                    OnlyConnection::open(&listener, is_idle).await;
                let far = TcpStream::connect(client_address).await.expect("connect");
                let near = ClientSocket::new(clients.accept().await.expect("accept").0);
                let liveness = near.liveness();
                let is_connected: SendGuard = Rc::new(move || liveness.is_connected());
                let (attempt, _cancel) = new_attempt(&endpoint, &is_connected, None);
                let ended = spawn_local(attempt.run(pool.clone()));
                if !is_idle {
                    // The attempt waits for the permit.
                    tokio::task::yield_now().await;
                }
                SockRef::from(&far).shutdown(std::net::Shutdown::Write).expect("open connection");
                drop(held);
                assert_eq!(
                    ended.await.expect("no panic").outcome.outcome(),
                    Outcome::NotSent,
                    "idle connection: {is_idle}"
                );
                pool.close_idle(&endpoint);
                assert_eq!(
                    backend.read(&mut [0; 1024]).await.expect("clean close"),
                    0,
                    "idle connection: {is_idle}"
                );
            }
        })
        .await;
}

/// Guards against an attempt that is sent after its latest time, over an idle connection or once it has waited
/// for a permit.
#[tokio::test]
async fn request_is_not_sent_after_its_latest_time() {
    const PERMIT_WAIT: Duration = Duration::from_millis(50);
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let tasks = LocalSet::new();
    tasks
        .run_until(async {
            for is_idle in [true, false] {
                let OnlyConnection { pool, endpoint, mut backend, held } =
                    OnlyConnection::open(&listener, is_idle).await;
                let guard: SendGuard = Rc::new(|| true);
                let send_by = Instant::now() + if is_idle { Duration::ZERO } else { PERMIT_WAIT };
                let (attempt, _cancel) = new_attempt(&endpoint, &guard, Some(send_by));

                let outcome = attempt.run(pool.clone()).await.outcome.outcome();

                assert_eq!(outcome, Outcome::NotSent, "idle connection: {is_idle}");
                drop(held);
                pool.close_idle(&endpoint);
                let read = backend.read(&mut [0; 1024]).await.expect("clean close");
                assert_eq!(read, 0, "idle connection: {is_idle}");
            }
        })
        .await;
}
