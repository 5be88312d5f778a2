//! HTTP clients.

use super::*;

/// Opens a connection for HTTP requests.
pub async fn connect(addr: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = in_time(TcpStream::connect(addr)).await.expect("connect");
    let (sender, connection) = handshake(TokioIo::new(stream)).await.expect("handshake");
    tokio::spawn(connection);
    sender
}

/// Returns a request of a class as clients send it, with a deadline of 60 s.
pub fn request(class: &str) -> hyper::http::request::Builder {
    request_with_deadline(class, Duration::from_secs(60))
}

/// Like [`request`], with another deadline.
pub fn request_with_deadline(class: &str, deadline: Duration) -> hyper::http::request::Builder {
    static NEXT: AtomicUsize = AtomicUsize::new(1);
    let request = Request::builder()
        .method(if class == "look" { "GET" } else { "POST" })
        .uri(format!("/{class}?k=7f3a"))
        .header("host", "origin.svc")
        .header("req-id", format!("{:016x}", NEXT.fetch_add(1, SeqCst)))
        .header("req-owner", "acme")
        .header("req-deadline-ms", deadline.as_millis().to_string());
    if class == "keep" { request.header("idempotency-key", "5c0f6e1a") } else { request }
}

/// A request's id, with the status and the body of its response.
pub type IdentifiedResponse = (String, (u16, String));

/// A client with one connection to the proxy.
pub struct Client(pub SendRequest<Full<Bytes>>);

impl Client {
    /// Sends a request and returns the status and the body of its response.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> (u16, String) {
        in_time(self.0.ready()).await.expect("open");
        let answer = in_time(self.0.send_request(request)).await.expect("a response");
        let status = answer.status().as_u16();
        let body = in_time(answer.into_body().collect()).await.expect("a complete body").to_bytes();
        (status, String::from_utf8(body.to_vec()).expect("text"))
    }

    /// Waits until the proxy has closed the connection.
    pub async fn wait_until_closed(&mut self) {
        while !self.0.is_closed() {
            let _ = self.0.ready().await;
            tokio::task::yield_now().await;
        }
    }

    /// Sends a request without a body and returns its id and its response.
    pub async fn call_with_id(&mut self, request: hyper::http::request::Builder) -> IdentifiedResponse {
        let request = request.body(Full::default()).expect("a valid request");
        let id = request.headers()["req-id"].to_str().expect("text").to_string();
        (id, self.send(request).await)
    }

    /// Sends a request of a class without a body and returns the status and the body of its response.
    pub async fn call(&mut self, class: &str) -> (u16, String) {
        self.send(request(class).body(Full::default()).expect("a valid request")).await
    }
}
