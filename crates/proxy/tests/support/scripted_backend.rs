//! Backends that write responses byte by byte, to force an order of events.

use super::*;
use std::collections::HashMap;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The end of a message head.
pub const HEAD_END: &[u8] = b"\r\n\r\n";

/// The number of times that each request was received, by request id.
pub type ReceivedRequests = Arc<Mutex<HashMap<String, usize>>>;

/// One step of a backend's response to a request.
pub enum Step {
    Write(Vec<u8>),
    Pause(Duration),
    Close,
    /// Closes the connection so that the peer gets a reset.
    Reset,
}

/// A backend that serves its connections with a handler.
pub struct ScriptedBackend {
    pub addr: SocketAddr,
    pub received: ReceivedRequests,
}

impl ScriptedBackend {
    /// Starts a backend with a script, which returns the steps for the n-th request on a connection and its
    /// id.
    pub async fn start(script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        ScriptedBackend::serve(move |connection| follow_script(connection, script.clone())).await
    }

    /// Starts a backend that runs the handler for each connection, in a separate task.
    pub async fn serve<Served>(handler: impl Fn(BackendConnection) -> Served + Send + Sync + 'static) -> Self
    where
        Served: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
        let addr = listener.local_addr().expect("a local address");
        let received = ReceivedRequests::default();
        let seen = received.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accept a connection");
                stream.set_nodelay(true).expect("open");
                tokio::spawn(handler(BackendConnection { stream, received: seen.clone() }));
            }
        });
        ScriptedBackend { addr, received }
    }

    /// Returns the number of times that a request was received.
    pub fn times_received(&self, id: &str) -> usize {
        self.received.lock().expect("not poisoned").get(id).copied().unwrap_or_default()
    }
}

/// The backend's side of a connection with the proxy.
pub struct BackendConnection {
    stream: TcpStream,
    received: ReceivedRequests,
}

impl BackendConnection {
    /// Reads the next request and returns its id, or `None` if the connection has ended. The request must
    /// have no body.
    pub async fn read_request(&mut self) -> Option<String> {
        let mut seen = Vec::new();
        // The first bytes of a body may be read together with the head.
        while !seen.windows(HEAD_END.len()).any(|window| window == HEAD_END) {
            if self.stream.read_buf(&mut seen).await.ok()? == 0 {
                return None;
            }
        }
        let text = String::from_utf8_lossy(&seen).to_ascii_lowercase();
        let (_, rest) = text.split_once("req-id: ").expect("an id");
        let id = rest[..16].to_string();
        *self.received.lock().expect("not poisoned").entry(id.clone()).or_default() += 1;
        Some(id)
    }

    /// Writes bytes and ignores errors, because the proxy may have closed the connection.
    pub async fn write(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes).await;
    }

    /// Closes the connection so that the peer gets a reset.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(&self.stream);
        socket.set_linger(Some(Duration::ZERO)).expect("a linger time");
    }
}

/// Serves a connection by a script.
async fn follow_script(
    mut connection: BackendConnection,
    script: Arc<impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static>,
) {
    let mut count = 0;
    while let Some(id) = connection.read_request().await {
        for step in script(count, &id) {
            match step {
                Step::Write(bytes) => connection.write(&bytes).await,
                Step::Pause(pause) => sleep(pause).await,
                Step::Close => return,
                Step::Reset => return connection.reset(),
            }
        }
        count += 1;
    }
}

/// A point where backends wait until the test lets them continue.
pub struct Gate {
    arrivals: watch::Sender<usize>,
    permits: Semaphore,
}

impl Gate {
    /// Creates a closed gate.
    pub fn closed() -> Arc<Self> {
        Arc::new(Gate { arrivals: watch::Sender::new(0), permits: Semaphore::new(0) })
    }

    /// Called by a backend: records an arrival and waits until the test opens the gate for it.
    pub async fn pass(&self) {
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
        self.permits.acquire().await.expect("never closed").forget();
    }

    /// Called by the test: waits until `count` arrivals were recorded, including those that have passed.
    pub async fn wait_for_arrivals(&self, count: usize) {
        in_time(self.arrivals.subscribe().wait_for(|arrivals| *arrivals >= count)).await.expect("open");
    }

    /// Called by the test: lets `count` backends pass.
    pub fn open(&self, count: usize) {
        self.permits.add_permits(count);
    }
}

/// Returns a response with a `Content-Length`.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// Returns the response to a request, with its id as the body.
pub fn own_response(id: &str) -> Vec<u8> {
    response(200, "", id)
}

/// Sends requests on one connection without pauses and returns the id and the response of each.
pub async fn call_sequentially(proxy: &Proxy, class: &str, count: usize) -> Vec<IdentifiedResponse> {
    send_sequentially(proxy, count, || request(class)).await
}

/// Like [`call_sequentially`], with the requests that `make_request` returns.
pub async fn send_sequentially(
    proxy: &Proxy,
    count: usize,
    make_request: impl Fn() -> hyper::http::request::Builder,
) -> Vec<IdentifiedResponse> {
    let mut client = proxy.client().await;
    let mut answers = Vec::new();
    for _ in 0..count {
        answers.push(client.call_with_id(make_request()).await);
    }
    answers
}
