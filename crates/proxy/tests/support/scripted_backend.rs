//! Backends that write responses byte by byte, in the order that a test forces.

use super::*;
use std::collections::HashMap;
use tokio::sync::Semaphore;
use tokio::time::sleep;

/// The head of a message ends behind this.
pub const HEAD_END: &[u8] = b"\r\n\r\n";

/// How often each request came, by its id.
pub type ReceivedRequests = Arc<Mutex<HashMap<String, usize>>>;

/// What a backend does for a request, step by step.
pub enum Step {
    Write(Vec<u8>),
    Pause(Duration),
    Close,
}

/// A backend whose connections are served by a handler.
pub struct ScriptedBackend {
    pub addr: SocketAddr,
    pub received: ReceivedRequests,
}

impl ScriptedBackend {
    /// A backend that takes, for the n-th request on a connection, the steps that the script gives for it and its id.
    pub async fn start(script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static) -> Self {
        let script = Arc::new(script);
        ScriptedBackend::serve(move |connection| follow_script(connection, script.clone())).await
    }

    /// A backend whose connections the handler serves, each in a task of its own.
    pub async fn serve<Served>(handler: impl Fn(BackendConnection) -> Served + Send + Sync + 'static) -> Self
    where
        Served: Future<Output = ()> + Send + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let received = ReceivedRequests::default();
        let seen = received.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                stream.set_nodelay(true).expect("open");
                tokio::spawn(handler(BackendConnection { stream, received: seen.clone() }));
            }
        });
        ScriptedBackend { addr, received }
    }

    /// How often a request came.
    pub fn times_received(&self, id: &str) -> usize {
        self.received.lock().expect("no panic").get(id).copied().unwrap_or_default()
    }
}

/// A connection to the proxy, on the backend's side.
pub struct BackendConnection {
    stream: TcpStream,
    received: ReceivedRequests,
}

impl BackendConnection {
    /// The id of the next request once its last byte has come; none where the connection has ended. Requests have no
    /// body.
    pub async fn read_request(&mut self) -> Option<String> {
        let mut seen = Vec::new();
        // The first of a body may come with it.
        while !seen.windows(HEAD_END.len()).any(|window| window == HEAD_END) {
            if self.stream.read_buf(&mut seen).await.ok()? == 0 {
                return None;
            }
        }
        let text = String::from_utf8_lossy(&seen).to_ascii_lowercase();
        let (_, rest) = text.split_once("req-id: ").expect("an id");
        let id = rest[..16].to_string();
        *self.received.lock().expect("no panic").entry(id.clone()).or_default() += 1;
        Some(id)
    }

    /// Writes what the proxy may not read any more.
    pub async fn write(&mut self, bytes: &[u8]) {
        // The proxy may close the connection in between.
        let _ = self.stream.write_all(bytes).await;
    }
}

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
            }
        }
        count += 1;
    }
}

/// Where backends wait until the test lets them go on.
pub struct Gate {
    arrivals: watch::Sender<usize>,
    permits: Semaphore,
}

impl Gate {
    pub fn closed() -> Arc<Self> {
        Arc::new(Gate { arrivals: watch::Sender::new(0), permits: Semaphore::new(0) })
    }

    /// For a backend: counts as arrived, and goes on once the test has opened the gate for it.
    pub async fn pass(&self) {
        self.arrivals.send_modify(|arrivals| *arrivals += 1);
        self.permits.acquire().await.expect("never closed").forget();
    }

    /// For the test: waits until so many have arrived, those included that have gone on.
    pub async fn wait_for_arrivals(&self, count: usize) {
        in_time(self.arrivals.subscribe().wait_for(|arrivals| *arrivals >= count)).await.expect("open");
    }

    /// For the test: lets so many go on.
    pub fn open(&self, count: usize) {
        self.permits.add_permits(count);
    }
}

/// A response with a length.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

/// The response to a request: its id.
pub fn own_response(id: &str) -> Vec<u8> {
    response(200, "", id)
}

/// Sends requests one after the other without a pause, and gives for each its id and its answer.
pub async fn call_sequentially(proxy: &Proxy, class: &str, count: usize) -> Vec<IdentifiedResponse> {
    send_sequentially(proxy, count, || request(class)).await
}

/// As [`call_sequentially`], with requests as they are made for it.
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
