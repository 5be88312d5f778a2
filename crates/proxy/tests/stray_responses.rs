//! A backend that sends each response again some milliseconds later.
//!
//! What callers see: one client gets the answer of another's request (soak seed 329). The repeat comes on a connection on
//! which the next request is written already, and is taken for its response. This test fails as long as that is not
//! mended: a rest of 25 ms for the connections of a backend that has sent a repeat mended it, and was taken out, since
//! the backends' connections that had to be made anew cost more service than may be lost.

mod support;

use std::time::Duration;
use support::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// A repeat comes so long after its response.
const REPEAT_DELAY: Duration = Duration::from_millis(3);

/// Answers each request with its id, twice.
async fn repeat_responses(mut stream: TcpStream) {
    let mut seen = Vec::new();
    while stream.read_buf(&mut seen).await.is_ok_and(|length| length > 0) {
        if !seen.ends_with(b"\r\n\r\n") {
            continue;
        }
        let text = String::from_utf8(std::mem::take(&mut seen)).expect("text").to_ascii_lowercase();
        let (_, rest) = text.split_once("req-id: ").expect("an id");
        let id = &rest[..16];
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{id}");
        // The proxy may close the connection in between.
        let _ = stream.write_all(response.as_bytes()).await;
        sleep(REPEAT_DELAY).await;
        let _ = stream.write_all(response.as_bytes()).await;
    }
}

#[tokio::test]
async fn once_a_repeat_was_seen_no_client_gets_the_answer_of_another() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.expect("a connection");
            stream.set_nodelay(true).expect("open");
            tokio::spawn(repeat_responses(stream));
        }
    });
    let discovery = Discovery::start(vec![line("a", addr, "SERVING")]).await;
    let proxy = Proxy::wait_until_applied(&discovery, settings()).await;
    let mut client = proxy.client().await;
    // Given: a repeat that came while its connection was idle.
    assert_eq!(client.call("look").await.0, 200);
    sleep(20 * REPEAT_DELAY).await;
    // When: requests follow each other without a pause.
    for _ in 0..200 {
        let request =
            request("look").body(http_body_util::Full::<bytes::Bytes>::default()).expect("well formed");
        let id = request.headers()["req-id"].to_str().expect("text").to_string();
        // Then: each gets its own answer.
        assert_eq!(client.send(request).await, (200, id));
    }
}
