//! Requests that end close to a limit: beside their deadline, beside the sizes from which bodies are handled
//! differently, and around the end of a planned stop.

mod support;

use serde_json::Value;
use std::sync::Arc;
use std::time::Duration;
use support::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;

const DEADLINE: Duration = Duration::from_millis(600);
/// By when a final answer must be there, behind the client's deadline.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(50);
/// The longest deadline of the settings, in milliseconds.
const LONGEST_DEADLINE_MS: f64 = 3_000.0;
/// When the backend completes its response, before and behind the deadline.
const COMPLETION_MS: [u64; 9] = [540, 570, 585, 595, 600, 605, 615, 630, 660];
const SHORT_BODY_BYTES: usize = 2_000;
/// Sizes beside those from which bodies are streamed, and from which a connection is not used again.
const BODY_SIZES: [usize; 9] = [0, 1, 65_535, 65_536, 65_537, 65_600, 81_919, 81_920, 81_921];
const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunked, Framing::ConnectionClose];
/// The size and the pace of a response that takes longer than a planned stop.
const PIECE_BYTES: usize = 4_096;
const PIECE_INTERVAL: Duration = Duration::from_millis(64);
const PIECE_COUNT: usize = 80;

fn settings_with_deadline() -> Value {
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = 1_200.0.into();
        class["giveUp"] = LONGEST_DEADLINE_MS.into();
    }
    settings
}

async fn start_staged(response: StagedResponse) -> (StagedBackend, Discovery, Proxy) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind a port");
    let backend = StagedBackend::on(listener, response, 0);
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let mut proxy = Proxy::start_with_list_applied(&discovery, settings_with_deadline()).await;
    proxy.discard_log();
    (backend, discovery, proxy)
}

/// Completes a response at a time after the request, and returns what was broken.
async fn complete_after(
    response: StagedResponse,
    class: &'static str,
    completed_after: Duration,
) -> Option<String> {
    let (backend, _discovery, proxy) = start_staged(response).await;
    let request = StrictRequest::new(class, DEADLINE);
    let mut client = StrictClient::connect(&proxy).await;
    client.send(&request).await;
    let complete = async {
        sleep(completed_after).await;
        backend.proceed(Continuation::Complete);
    };
    let (exchange, ()) = tokio::join!(client.finish(DEADLINE + 2 * ANSWER_TOLERANCE), complete);
    let is_allowed = match &exchange.ending {
        Ending::Answered { status: 200, body } => {
            *body == response.body(&request.id) || body == request.id.as_bytes()
        }
        Ending::Answered { .. } => exchange.ended_after <= DEADLINE + ANSWER_TOLERANCE,
        _ => false,
    };
    let is_once = class == "look" || backend.times_read(&request.id) == 1;
    (!is_allowed || !is_once)
        .then(|| format!("{response:?} {class} completed after {completed_after:?}: {}", exchange.summary()))
}

/// Guards against a request that gets no answer, or an incomplete one, because its response comes beside its
/// deadline.
#[tokio::test]
async fn request_gets_one_answer_around_its_deadline() {
    let mut cases = Vec::new();
    for stage in [Stage::RequestRead, Stage::HeadWritten, Stage::PartWritten] {
        for framing in FRAMINGS {
            for class in ["look", "once"] {
                for completed_after in COMPLETION_MS.map(Duration::from_millis) {
                    let response = StagedResponse { stage, framing, body_bytes: SHORT_BODY_BYTES };
                    cases.push(complete_after(response, class, completed_after));
                }
            }
        }
    }
    expect_none_broken(cases).await;
}

/// Guards against bodies that are cut or changed beside the sizes from which they are handled differently.
#[tokio::test]
async fn bodies_beside_each_size_limit_are_forwarded_unchanged() {
    for framing in FRAMINGS {
        for body_bytes in BODY_SIZES {
            for stage in [Stage::HeadWritten, Stage::PartWritten, Stage::ResponseWritten] {
                let response = StagedResponse { stage, framing, body_bytes };
                let (backend, _discovery, proxy) = start_staged(response).await;
                let mut request = StrictRequest::new("once", DEADLINE);
                request.body = vec![b'x'; body_bytes];
                let mut client = StrictClient::connect(&proxy).await;
                client.send(&request).await;
                backend.wait_until_reached(1).await;
                backend.proceed(Continuation::Complete);
                let exchange = client.finish(DEADLINE + ANSWER_TOLERANCE).await;
                let expected = Ending::Answered { status: 200, body: response.body(&request.id) };
                assert!(exchange.ending == expected, "{response:?}: {}", exchange.summary());
            }
        }
    }
}

/// Guards against a process that exits by itself while it forwards a response.
#[tokio::test]
async fn response_that_outlasts_a_planned_stop_is_forwarded_to_its_end() {
    let backend = RawBackend::start().await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let mut proxy = Proxy::start_with_list_applied(&discovery, settings_with_deadline()).await;
    let begun = Arc::new(tokio::sync::Notify::new());
    let (is_begun, body_bytes) = (begun.clone(), PIECE_BYTES * PIECE_COUNT);
    let respond = async move {
        let mut connection = backend.accept().await;
        connection.read_head().await.expect("a request");
        connection.write(format!("HTTP/1.1 200 OK\r\nContent-Length: {body_bytes}\r\n\r\n")).await;
        for _ in 0..PIECE_COUNT {
            // The proxy may have exited, which the client's side shows.
            let _ = connection.stream.write_all(&[b'x'; PIECE_BYTES]).await;
            is_begun.notify_one();
            sleep(PIECE_INTERVAL).await;
        }
    };
    let mut client = StrictClient::connect(&proxy).await;
    client.send(&StrictRequest::new("look", DEADLINE)).await;
    let finish = async {
        begun.notified().await;
        proxy.terminate().await;
        client.finish(TEST_TIMEOUT).await
    };
    let (exchange, ()) = tokio::join!(finish, respond);
    let expected = Ending::Answered { status: 200, body: vec![b'x'; body_bytes] };
    assert!(exchange.ending == expected, "{}", exchange.summary());
    assert!(proxy.wait_for_exit().await.success());
}
