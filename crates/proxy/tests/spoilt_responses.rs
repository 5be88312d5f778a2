//! Responses that turn out spoilt behind their head: as long as nothing of their body was forwarded, the request
//! gets another backend's response or an error, and never a connection that ends without either.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;
use support::*;

/// The latency objective of the classes.
const OBJECTIVE: Duration = Duration::from_millis(400);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1600);
/// By when a final answer must be there, behind the client's timeout.
const ANSWER_TOLERANCE: Duration = Duration::from_millis(50);
/// Longer than a response with a declared length is buffered.
const LONG_BODY_BYTES: usize = 65_537;
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CLOSING_HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const CHUNK: &str = "1\r\nx\r\n";
const COMPLETE_BODY: &str = "1\r\nx\r\n0\r\n\r\n";

/// When the head comes: at once, and on either side of the times that divide the latency objective and the
/// client's timeout.
const HEAD_DELAYS_MS: [u64; 6] = [0, 250, 350, 390, 450, 800];

/// What spoils a response.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Garbage,
    Close,
    Reset,
}

/// How the fault comes behind the bytes before it.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Spacing {
    OneWrite,
    Pause(Duration),
}

const SPACINGS: [Spacing; 4] = [
    Spacing::OneWrite,
    Spacing::Pause(Duration::ZERO),
    Spacing::Pause(Duration::from_millis(5)),
    Spacing::Pause(Duration::from_millis(50)),
];

/// A spoilt response.
#[derive(Debug, Clone)]
struct Spoilt {
    head: String,
    /// The sound part of the body.
    body: &'static str,
    fault: Fault,
    head_delay: Duration,
    spacing: Spacing,
}

impl Spoilt {
    fn steps(&self) -> Vec<Step> {
        let mut sound = (self.head.clone() + self.body).into_bytes();
        let fault = match self.fault {
            Fault::Garbage => Step::Write(b"!?\r\n".to_vec()),
            Fault::Close => Step::Close,
            Fault::Reset => Step::Reset,
        };
        let mut steps = vec![Step::Pause(self.head_delay)];
        match (self.spacing, fault) {
            (Spacing::OneWrite, Step::Write(garbage)) => {
                sound.extend(garbage);
                steps.extend([Step::Write(sound), Step::Close]);
            }
            (Spacing::OneWrite, fault) => steps.extend([Step::Write(sound), fault]),
            (Spacing::Pause(pause), fault) => {
                steps.extend([Step::Write(sound), Step::Pause(pause), fault, Step::Close]);
            }
        }
        steps
    }

    /// Returns whether a part of the body may have been forwarded before the fault came. A declared length
    /// above what is buffered is forwarded from its first byte.
    fn may_be_forwarded(&self) -> bool {
        let is_long = self.head.contains("Content-Length");
        !self.body.is_empty() && (is_long || matches!(self.spacing, Spacing::Pause(_)))
    }

    /// Returns whether the client may get this ending instead of that of another attempt.
    fn is_own_ending(&self, ending: &Ending) -> bool {
        match ending {
            Ending::Answered { status: 200, body } => self.body == COMPLETE_BODY && body == b"x",
            Ending::Truncated { status: 200, body_bytes } => self.may_be_forwarded() && *body_bytes > 0,
            _ => false,
        }
    }
}

fn spoilt_responses() -> Vec<Spoilt> {
    let long_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
    let forms = [
        (CHUNKED_HEAD, "", Fault::Garbage),
        (CHUNKED_HEAD, CHUNK, Fault::Garbage),
        (CHUNKED_HEAD, COMPLETE_BODY, Fault::Garbage),
        (CHUNKED_HEAD, "", Fault::Close),
        (CHUNKED_HEAD, CHUNK, Fault::Close),
        (CHUNKED_HEAD, "", Fault::Reset),
        (CLOSING_HEAD, "", Fault::Reset),
        (&long_head, "", Fault::Close),
        (&long_head, "x", Fault::Close),
        (&long_head, "", Fault::Reset),
    ];
    let mut responses = Vec::new();
    for (head, body, fault) in forms {
        for head_delay in HEAD_DELAYS_MS.map(Duration::from_millis) {
            for spacing in SPACINGS {
                responses.push(Spoilt { head: head.into(), body, fault, head_delay, spacing });
            }
        }
    }
    responses
}

/// Sends a request whose first attempt gets a spoilt response and each later one a sound response.
async fn send_to_spoilt_backend(class: &'static str, spoilt: &Spoilt) -> (StrictRequest, Exchange) {
    let attempts = Arc::<AtomicUsize>::default();
    let first_response = spoilt.clone();
    let script = move |_: usize, id: &str| {
        let is_first = attempts.fetch_add(1, SeqCst) == 0;
        if is_first { first_response.steps() } else { vec![Step::Write(own_response(id))] }
    };
    let script = Arc::new(script);
    let mut endpoints = Vec::new();
    for name in ["a", "b"] {
        let script = script.clone();
        let backend = ScriptedBackend::start(move |count, id| script(count, id)).await;
        endpoints.push(endpoint(name, backend.addr, "SERVING"));
    }
    let discovery = Discovery::start(endpoints).await;
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = (OBJECTIVE.as_millis() as f64).into();
    }
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    let request = StrictRequest::new(class, CLIENT_TIMEOUT);
    let mut client = StrictClient::connect(&proxy).await;
    client.send(&request).await;
    let exchange = client.finish(CLIENT_TIMEOUT + ANSWER_TOLERANCE).await;
    (request, exchange)
}

/// Plays all spoilt responses. Each must end as `is_allowed` says, or in a way of its own.
async fn play_all(class: &'static str, is_allowed: fn(&StrictRequest, &Ending) -> bool) {
    let play = |spoilt: Spoilt| async move {
        let (request, exchange) = send_to_spoilt_backend(class, &spoilt).await;
        let ending = &exchange.ending;
        let is_broken = !is_allowed(&request, ending) && !spoilt.is_own_ending(ending);
        is_broken.then(|| format!("{}: {spoilt:?}", exchange.summary()))
    };
    expect_none_broken(spoilt_responses().into_iter().map(play)).await;
}

/// Guards against a connection that ends without an answer where another attempt could have served it.
#[tokio::test]
async fn request_with_a_spoilt_response_is_retried_whenever_its_head_comes() {
    let is_served = |request: &StrictRequest, ending: &Ending| {
        *ending == Ending::Answered { status: 200, body: request.id.clone().into_bytes() }
    };
    play_all("look", is_served).await;
}

/// Guards against a connection that ends without an answer where the request can't be repeated.
#[tokio::test]
async fn request_with_a_spoilt_response_that_cannot_be_repeated_gets_an_error() {
    let is_failed = |_: &StrictRequest, ending: &Ending| ending.status() == Some(502);
    play_all("once", is_failed).await;
}
