//! Backends that do with each request what a script says.

use super::*;

/// What a backend does with a request.
pub enum BackendBehavior {
    Serve,
    Answer(u16),
    Decline(u16),
    /// Ends the connection with no answer.
    CloseWithoutResponse,
    /// Ends it in the middle of an answer.
    TruncateResponse,
    /// Serves once it is told to.
    Hold(Arc<Notify>),
    /// Declines once it is told to.
    HoldThenDecline(Arc<Notify>),
}

/// What backends have in common: the orders for the next requests, wherever they go, and what came.
#[derive(Default)]
pub struct BackendScript {
    behaviors: Mutex<VecDeque<BackendBehavior>>,
    pub seen: watch::Sender<Vec<(&'static str, Parts, Bytes)>>,
    /// Requests that ended before their backend answered.
    pub abandoned: watch::Sender<usize>,
    /// How long a backend takes for a request without an order of its own, in milliseconds.
    pub service_time_ms: AtomicUsize,
}

impl BackendScript {
    pub fn enqueue(&self, behaviors: impl IntoIterator<Item = BackendBehavior>) {
        self.behaviors.lock().expect("sound").extend(behaviors);
    }
    /// Waits until so many requests have come.
    pub async fn wait_for_requests(&self, n: usize) {
        in_time(self.seen.subscribe().wait_for(|s| s.len() >= n)).await.expect("open");
    }
    pub fn requests_at(&self, name: &str) -> usize {
        self.seen.borrow().iter().filter(|(n, ..)| *n == name).count()
    }
}

struct RequestGuard<'a>(&'a BackendScript, bool);

impl Drop for RequestGuard<'_> {
    fn drop(&mut self) {
        if self.1 {
            self.0.abandoned.send_modify(|n| *n += 1);
        }
    }
}

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

pub struct Backend {
    pub name: &'static str,
    pub addr: SocketAddr,
    connections: Arc<AtomicUsize>,
    close: watch::Sender<()>,
    /// Connections that are open now.
    pub open_connections: Arc<watch::Sender<usize>>,
}

impl Backend {
    pub async fn start(name: &'static str, script: &Arc<BackendScript>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        Backend::on(name, listener, script)
    }

    pub fn on(name: &'static str, listener: TcpListener, script: &Arc<BackendScript>) -> Self {
        let addr = listener.local_addr().expect("bound");
        let (connections, script) = (Arc::<AtomicUsize>::default(), script.clone());
        let (close, open) = (watch::Sender::new(()), Arc::new(watch::Sender::new(0)));
        let (count, closing, open_count) = (connections.clone(), close.clone(), open.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
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

    /// How many connections it has ever had.
    pub fn total_connections(&self) -> usize {
        self.connections.load(SeqCst)
    }

    /// Closes all its connections, which are idle, and waits until they are.
    pub async fn close_idle_connections(&self) {
        self.close.send_replace(());
        self.wait_until_all_closed().await;
    }

    pub async fn wait_until_all_closed(&self) {
        in_time(self.open_connections.subscribe().wait_for(|n| *n == 0)).await.expect("open");
    }

    pub fn endpoint(&self, health: &str) -> Value {
        endpoint(self.name, self.addr, health)
    }
}

/// A backend that answers with bytes as they are: for the n-th request, counted over all its connections, those
/// that `bytes` gives for it, the second part after a moment. It closes nothing, and serves where nothing is given.
pub async fn canned_backend(
    bytes: impl Fn(usize) -> Option<[Vec<u8>; 2]> + Send + Sync + 'static,
) -> CannedBackend {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let (count, open) = (Arc::new(AtomicUsize::new(0)), Arc::new(watch::Sender::new(0)));
    let (requests, open_count, bytes) = (count.clone(), open.clone(), Arc::new(bytes));
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            let (count, open_count, bytes) = (count.clone(), open_count.clone(), bytes.clone());
            tokio::spawn(async move {
                open_count.send_modify(|n| *n += 1);
                let mut seen = Vec::new();
                while stream.read_buf(&mut seen).await.is_ok_and(|n| n > 0) {
                    // Requests of these tests have no body.
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

pub struct CannedBackend {
    pub addr: SocketAddr,
    pub requests: Arc<AtomicUsize>,
    /// Connections that are open now.
    pub open_connections: Arc<watch::Sender<usize>>,
}

pub fn endpoint(host: &str, addr: SocketAddr, health: &str) -> Value {
    json!({"host": host, "dial": addr.to_string(), "site": "a", "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": 0})
}

type BackendResponse = Response<BoxBody<Bytes, io::Error>>;

async fn respond(
    name: &'static str,
    script: &BackendScript,
    request: Request<Incoming>,
) -> io::Result<BackendResponse> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let behavior = script.behaviors.lock().expect("sound").pop_front().unwrap_or(BackendBehavior::Serve);
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
        BackendBehavior::CloseWithoutResponse => return Err(io::Error::other("told to")),
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
