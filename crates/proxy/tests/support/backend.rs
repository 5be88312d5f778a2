//! Backends whose behavior for each request is scripted by the test.

use super::*;

/// The behavior of a backend for one request.
pub enum BackendBehavior {
    /// Responds with status 200 and the backend's name as the body.
    Serve,
    /// Responds with this status.
    Answer(u16),
    /// Responds with this status and the `Srv-Declined` header.
    Decline(u16),
    /// Closes the connection without a response.
    CloseWithoutResponse,
    /// Closes the connection in the middle of a response.
    TruncateResponse,
    /// Serves the request once notified.
    Hold(Arc<Notify>),
    /// Declines the request with status 503 once notified.
    HoldThenDecline(Arc<Notify>),
}

/// The state that the backends of a test share: the behaviors for the next requests, whichever backend
/// receives them, and the requests received so far.
#[derive(Default)]
pub struct BackendScript {
    behaviors: Mutex<VecDeque<BackendBehavior>>,
    /// The received requests: backend name, head and body.
    pub seen: watch::Sender<Vec<(&'static str, Parts, Bytes)>>,
    /// The number of held requests that were cancelled before their backend responded.
    pub abandoned: watch::Sender<usize>,
    /// The time to serve a request that has no scripted behavior, in milliseconds.
    pub service_time_ms: AtomicUsize,
}

impl BackendScript {
    /// Appends behaviors for the next requests.
    pub fn enqueue(&self, behaviors: impl IntoIterator<Item = BackendBehavior>) {
        self.behaviors.lock().expect("not poisoned").extend(behaviors);
    }

    /// Removes the behaviors that no request has used.
    pub fn clear_behaviors(&self) {
        self.behaviors.lock().expect("not poisoned").clear();
    }

    /// Waits until at least `n` requests have been received.
    pub async fn wait_for_requests(&self, n: usize) {
        in_time(self.seen.subscribe().wait_for(|s| s.len() >= n)).await.expect("open");
    }

    /// Returns the number of requests that the named backend has received.
    pub fn requests_at(&self, name: &str) -> usize {
        self.seen.borrow().iter().filter(|(n, ..)| *n == name).count()
    }
}

/// Counts a request as abandoned if it is dropped while the flag is set.
struct RequestGuard<'a>(&'a BackendScript, bool);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if self.1 {
            self.0.abandoned.send_modify(|n| *n += 1);
        }
    }
}

/// A body that fails after its first frame.
struct BrokenBody(bool);

impl Body for BrokenBody {
    type Data = Bytes;
    type Error = io::Error;
    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let first = !std::mem::replace(&mut self.0, true);
        Poll::Ready(Some(if first { Ok(Frame::data("half".into())) } else { Err(io::Error::other("cut")) }))
    }
}

/// An HTTP backend on a loopback port.
pub struct Backend {
    pub name: &'static str,
    pub addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    close: watch::Sender<()>,
    /// The number of open connections.
    pub open_connections: Arc<watch::Sender<usize>>,
}

impl Backend {
    /// Starts a backend on a free port.
    pub async fn start(name: &'static str, script: &Arc<BackendScript>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        Backend::on(name, listener, script)
    }

    /// Starts a backend on a listener.
    pub fn on(name: &'static str, listener: TcpListener, script: &Arc<BackendScript>) -> Self {
        let addr = listener.local_addr().expect("a local address");
        let (connections, script) = (Arc::<AtomicUsize>::default(), script.clone());
        let (close, open) = (watch::Sender::new(()), Arc::new(watch::Sender::new(0)));
        let (count, closing, open_count) = (connections.clone(), close.clone(), open.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accept a connection");
                count.fetch_add(1, SeqCst);
                open_count.send_modify(|n| *n += 1);
                let (script, open_count, mut closing) =
                    (script.clone(), open_count.clone(), closing.subscribe());
                tokio::spawn(async move {
                    let service = service_fn(|request| respond(name, &script, request));
                    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let mut connection = pin!(connection);
                    let ended = tokio::select! {
                        _ = connection.as_mut() => true,
                        _ = closing.changed() => false,
                    };
                    if !ended {
                        connection.as_mut().graceful_shutdown();
                        let _ = connection.await;
                    }
                    open_count.send_modify(|n| *n -= 1);
                });
            }
        });
        Backend { name, addr, connections, close, open_connections: open }
    }

    /// Returns the number of connections accepted since the start.
    pub fn total_connections(&self) -> usize {
        self.connections.load(SeqCst)
    }

    /// Closes all connections, which must be idle, and waits until they are closed.
    pub async fn close_idle_connections(&self) {
        self.close.send_replace(());
        self.wait_until_all_closed().await;
    }

    /// Waits until no connection is open.
    pub async fn wait_until_all_closed(&self) {
        in_time(self.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
    }

    /// Returns the backend's entry in an endpoint list.
    pub fn endpoint(&self, health: &str) -> Value {
        endpoint(self.name, self.addr, health)
    }
}

/// Starts a backend that responds with prepared bytes. `bytes` returns the response to the n-th request,
/// counted over all connections; its second part is written after a pause of 50 ms. Where it returns `None`,
/// the response has status 200 and a short body. The backend closes no connection.
pub async fn canned_backend(
    bytes: impl Fn(usize) -> Option<[Vec<u8>; 2]> + Send + Sync + 'static,
) -> CannedBackend {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let addr = listener.local_addr().expect("a local address");
    let (count, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(watch::Sender::new(0)));
    let (requests, open_count, bytes) = (count.clone(), open.clone(), Arc::new(bytes));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let (count, open_count, bytes) = (count.clone(), open_count.clone(), bytes.clone());
            tokio::spawn(async move {
                open_count.send_modify(|n| *n += 1);
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
                    // The requests of these tests have no body, so that a head is a complete request.
                    if seen.ends_with(b"\r\n\r\n") {
                        seen.clear();
                        let default_response =
                            || [b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood".to_vec(), Vec::new()];
                        let [first, second] =
                            bytes(count.fetch_add(1, SeqCst)).unwrap_or_else(default_response);
                        let _ = stream.write_all(&first).await;
                        if !second.is_empty() {
                            tokio::time::sleep(Duration::from_millis(50)).await;
                            let _ = stream.write_all(&second).await;
                        }
                    }
                }
                open_count.send_modify(|n| *n -= 1);
            });
        }
    });
    CannedBackend { addr, requests, open_connections: open }
}

/// A backend started by [`canned_backend`].
pub struct CannedBackend {
    pub addr: SocketAddr,
    /// The number of requests received.
    pub requests: Arc<AtomicUsize>,
    /// The number of open connections.
    pub open_connections: Arc<watch::Sender<usize>>,
}

/// Returns an entry of an endpoint list.
pub fn endpoint(host: &str, addr: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": 0})
}

type BackendResponse = Response<BoxBody<Bytes, io::Error>>;

/// Records a request and responds with the next scripted behavior.
async fn respond(
    name: &'static str,
    script: &BackendScript,
    request: Request<Incoming>,
) -> io::Result<BackendResponse> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let behavior =
        script.behaviors.lock().expect("not poisoned").pop_front().unwrap_or(BackendBehavior::Serve);
    script.seen.send_modify(|s| s.push((name, head, body)));
    let text = |text: &'static str| Full::new(Bytes::from(text)).map_err(|e| match e {}).boxed();
    let mut response = Response::new(text(name));
    match behavior {
        BackendBehavior::Serve => {
            let service_time = Duration::from_millis(script.service_time_ms.load(SeqCst) as u64);
            if !service_time.is_zero() {
                tokio::time::sleep(service_time).await;
            }
        }
        BackendBehavior::Answer(status) => {
            *response.status_mut() = StatusCode::from_u16(status).expect("a status")
        }
        BackendBehavior::Decline(status) => {
            *response.status_mut() = StatusCode::from_u16(status).expect("a status");
            response.headers_mut().insert("srv-declined", "1".parse().expect("a value"));
        }
        BackendBehavior::CloseWithoutResponse => return Err(io::Error::other("scripted close")),
        BackendBehavior::TruncateResponse => response = Response::new(BrokenBody(false).boxed()),
        BackendBehavior::Hold(release) => {
            let mut guard = RequestGuard(script, true);
            release.notified().await;
            guard.1 = false;
        }
        BackendBehavior::HoldThenDecline(release) => {
            release.notified().await;
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("srv-declined", "1".parse().expect("a value"));
        }
    }
    Ok(response)
}
