//! A backend that stops at a chosen point of its first request until the test lets it go on.

use super::*;
use std::time::Instant;

/// How far a backend has come with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd)]
pub enum Stage {
    /// It has read the request.
    RequestRead,
    /// It has written the head of the response.
    HeadWritten,
    /// It has written a part of a body that is short enough to be buffered.
    PartWritten,
    /// It has written more of a body than is buffered.
    LongPartWritten,
    /// It has written the whole response.
    ResponseWritten,
}

/// How a response shows where its body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunked,
    ConnectionClose,
}

/// What a backend does once it may go on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuation {
    /// It writes the rest of the response.
    Complete,
    /// It closes its connection.
    Close,
    /// It resets its connection.
    Reset,
    /// It writes what is no part of the response and closes its connection.
    Garbage,
}

/// The response to the first request.
#[derive(Debug, Clone, Copy)]
pub struct StagedResponse {
    pub stage: Stage,
    pub framing: Framing,
    pub body_bytes: usize,
}

impl StagedResponse {
    /// Returns the body, which names its request.
    pub fn body(&self, id: &str) -> Vec<u8> {
        id.bytes().cycle().take(self.body_bytes).collect()
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.body_bytes),
            Framing::Chunked => "Transfer-Encoding: chunked".into(),
            Framing::ConnectionClose => "Connection: close".into(),
        };
        format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n")
    }

    /// Returns a part of the body as it is written.
    fn frame(&self, part: &[u8]) -> Vec<u8> {
        match self.framing {
            Framing::Chunked if part.is_empty() => Vec::new(),
            Framing::Chunked => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
            Framing::Length | Framing::ConnectionClose => part.to_vec(),
        }
    }

    fn end(&self) -> &'static [u8] {
        if self.framing == Framing::Chunked { b"0\r\n\r\n" } else { b"" }
    }

    /// Returns what is written up to the stage, and the rest.
    fn parts(&self, id: &str) -> (Vec<u8>, Vec<u8>) {
        let body = self.body(id);
        let written_bytes = match self.stage {
            Stage::RequestRead | Stage::HeadWritten => 0,
            Stage::PartWritten => self.body_bytes / 2,
            Stage::LongPartWritten => self.body_bytes * 3 / 4,
            Stage::ResponseWritten => self.body_bytes,
        };
        let (first, second) = body.split_at(written_bytes);
        let whole = [self.head().as_bytes(), &self.frame(first), &self.frame(second), self.end()].concat();
        let split_at = match self.stage {
            Stage::RequestRead => 0,
            Stage::ResponseWritten => whole.len(),
            _ => self.head().len() + self.frame(first).len(),
        };
        (whole[..split_at].to_vec(), whole[split_at..].to_vec())
    }
}

/// A response that is short enough to be buffered, and of which most is written.
const PARTLY_WRITTEN: StagedResponse =
    StagedResponse { stage: Stage::LongPartWritten, framing: Framing::Length, body_bytes: 65_536 };

/// The state that the connections of a staged backend share.
struct Shared {
    response: StagedResponse,
    /// How many requests have reached their stage.
    reached: watch::Sender<usize>,
    continuation: watch::Sender<Option<Continuation>>,
    /// When each request was read, with its id.
    requests: Mutex<Vec<(String, Instant)>>,
    /// How many requests were given up by the proxy while they were stopped.
    given_up: watch::Sender<usize>,
    /// How many requests get a part of a response, and no more, before the request that is stopped.
    partly_answered: usize,
}

/// A backend that stops one request at a stage, and answers each later one at once with its id.
pub struct StagedBackend {
    pub addr: SocketAddr,
    shared: Arc<Shared>,
}

impl StagedBackend {
    /// Serves the connections of a listener. The first `partly_answered` requests get a part of a response.
    pub fn on(listener: TcpListener, response: StagedResponse, partly_answered: usize) -> Self {
        let addr = listener.local_addr().expect("a local address");
        let shared = Arc::new(Shared {
            response,
            reached: watch::Sender::new(0),
            continuation: watch::Sender::new(None),
            requests: Mutex::default(),
            given_up: watch::Sender::new(0),
            partly_answered,
        });
        let connections = shared.clone();
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                tokio::spawn(serve(RawConnection::new(stream), connections.clone()));
            }
        });
        StagedBackend { addr, shared }
    }

    /// Waits until `count` requests have reached their stage.
    pub async fn wait_until_reached(&self, count: usize) {
        in_time(self.shared.reached.subscribe().wait_for(|reached| *reached >= count)).await.expect("open");
    }

    /// Lets the stopped requests go on.
    pub fn proceed(&self, continuation: Continuation) {
        self.shared.continuation.send_replace(Some(continuation));
    }

    /// Waits until the proxy has given up a stopped request.
    pub async fn wait_until_given_up(&self) {
        in_time(self.shared.given_up.subscribe().wait_for(|count| *count > 0)).await.expect("open");
    }

    /// Returns how many requests were read later than an instant.
    pub fn requests_after(&self, instant: Instant) -> usize {
        let requests = self.shared.requests.lock().expect("not poisoned");
        requests.iter().filter(|(_, read_at)| *read_at > instant).count()
    }

    /// Returns how many times a request was read.
    pub fn times_read(&self, id: &str) -> usize {
        let requests = self.shared.requests.lock().expect("not poisoned");
        requests.iter().filter(|(read_id, _)| read_id == id).count()
    }
}

/// Serves the requests of a connection.
async fn serve(mut connection: RawConnection, shared: Arc<Shared>) {
    while let Some((id, _)) = read_request(&mut connection).await {
        let number = {
            let mut requests = shared.requests.lock().expect("not poisoned");
            requests.push((id.clone(), Instant::now()));
            requests.len()
        };
        if number <= shared.partly_answered {
            let (first, _) = PARTLY_WRITTEN.parts(&id);
            let _ = connection.stream.write_all(&first).await;
            shared.reached.send_modify(|reached| *reached += 1);
        } else if number > shared.partly_answered + 1 {
            let _ = connection.stream.write_all(&own_response(&id)).await;
        } else if !serve_staged(&mut connection, &shared, &id).await {
            return;
        }
    }
}

/// Reads a request without a time limit, since idle connections stay open.
async fn read_request(connection: &mut RawConnection) -> Option<(String, String)> {
    connection.stream.peek(&mut [0]).await.ok()?;
    connection.read_request().await
}

/// Serves a request that stops at its stage. Returns whether the connection stays open.
async fn serve_staged(connection: &mut RawConnection, shared: &Shared, id: &str) -> bool {
    let (first, rest) = shared.response.parts(id);
    let _ = connection.stream.write_all(&first).await;
    shared.reached.send_modify(|reached| *reached += 1);
    let mut continuation = shared.continuation.subscribe();
    let mut next_byte = [0];
    let continuation = tokio::select! {
        biased;
        continuation = continuation.wait_for(Option::is_some) => *continuation.expect("open"),
        // The proxy sends nothing behind a request, so that this is the end of the connection.
        _ = connection.stream.peek(&mut next_byte) => {
            shared.given_up.send_modify(|count| *count += 1);
            return false;
        }
    };
    match continuation.expect("set") {
        Continuation::Complete => {
            let _ = connection.stream.write_all(&rest).await;
            shared.response.framing != Framing::ConnectionClose
        }
        Continuation::Close => false,
        Continuation::Reset => {
            let socket = socket2::SockRef::from(&connection.stream);
            socket.set_linger(Some(Duration::ZERO)).expect("a linger time");
            false
        }
        Continuation::Garbage => {
            let _ = connection.stream.write_all(b"!?\r\n").await;
            false
        }
    }
}
