//! Backends that send a copy of a response some milliseconds later: no client gets the response to another
//! request.

mod support;

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use support::*;
use tokio::time::sleep;

/// The time from a response to its copy.
const COPY_DELAY: Duration = Duration::from_millis(3);

/// The maximum time that a request waits for another attempt after its backend has declined it.
const MAX_QUEUE_TIME_MS: f64 = 200.0;
/// The maximum time of hundreds of requests in sequence if none of them is held until its deadline of 60 s.
const MAX_EQUAL_RESPONSES_TIME: Duration = Duration::from_secs(10);
/// The number of clients that send requests at the same time.
const CONCURRENT_CLIENTS: usize = 5;
/// The maximum number of wrong responses that they get: one on each connection that a backend has before it
/// is known to send copies.
const MAX_DELIVERED_COPIES: usize = 2 * CONCURRENT_CLIENTS;

#[tokio::test]
async fn no_copy_is_delivered_once_one_was_seen() {
    let backend = ScriptedBackend::start(|_, id| write_twice(&own_response(id))).await;
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    let mut client = proxy.client().await;
    // Given: a copy that was received while its connection was idle.
    assert_eq!(client.call("look").await.0, 200);
    sleep(20 * COPY_DELAY).await;
    // When: requests follow each other without a pause.
    for _ in 0..200 {
        let (id, answer) = client.call_with_id(request("look")).await;
        // Then: each request gets its own response.
        assert_eq!(answer, (200, id));
    }
}

/// Returns steps that write bytes, and write them again after the delay of a copy.
fn write_twice(bytes: &[u8]) -> Vec<Step> {
    vec![Step::Write(bytes.to_vec()), Step::Pause(COPY_DELAY), Step::Write(bytes.to_vec())]
}

/// Starts a proxy in front of a backend, which sends the copy of its first response while no request is open.
async fn start_proxy_that_saw_a_copy(backend: &ScriptedBackend) -> (Discovery, Proxy) {
    let discovery = Discovery::start(vec![endpoint("a", backend.addr, "SERVING")]).await;
    let mut settings = settings();
    for class in settings["classes"].as_array_mut().expect("a list") {
        class["aim"] = MAX_QUEUE_TIME_MS.into();
    }
    let proxy = Proxy::start_with_list_applied(&discovery, settings).await;
    assert_eq!(proxy.call("look").await.0, 200);
    sleep(20 * COPY_DELAY).await;
    (discovery, proxy)
}

/// Returns the answers to requests in sequence to a backend whose first response on a connection has a copy,
/// and whose other responses follow the script.
async fn answers_with_script(
    script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static,
) -> Vec<IdentifiedResponse> {
    let backend =
        ScriptedBackend::start(
            move |count, id| {
                if count == 0 { write_twice(&own_response(id)) } else { script(count, id) }
            },
        )
        .await;
    let (_discovery, proxy) = start_proxy_that_saw_a_copy(&backend).await;
    call_sequentially(&proxy, "look", 50).await
}

/// Checks that each request is served with its own response.
async fn assert_own_responses(script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static) {
    for (id, answer) in answers_with_script(script).await {
        assert_eq!(answer, (200, id));
    }
}

/// Guards against forwarding a copy that is received in pieces, with a pause between them.
#[tokio::test]
async fn copy_in_two_writes_is_dropped() {
    assert_own_responses(|_, id| {
        let own = own_response(id);
        let (first, rest) = own.split_at(30);
        let mut steps = vec![Step::Write(own.clone()), Step::Pause(COPY_DELAY)];
        steps.extend([Step::Write(first.to_vec()), Step::Pause(COPY_DELAY), Step::Write(rest.to_vec())]);
        steps
    })
    .await;
}

/// Guards against forwarding a copy that is received together with its response.
#[tokio::test]
async fn copy_coalesced_with_its_response_is_dropped() {
    assert_own_responses(|_, id| vec![Step::Write(own_response(id).repeat(2))]).await;
}

/// Checks that each request is served with its own response or fails: a backend that sends truncated
/// responses is ejected.
async fn assert_own_responses_or_errors(script: impl Fn(usize, &str) -> Vec<Step> + Send + Sync + 'static) {
    let answers = answers_with_script(script).await;
    assert_eq!(answers[0], (answers[0].0.clone(), (200, answers[0].0.clone())));
    for (id, (status, body)) in answers {
        assert!(status == 503 || (status, &body) == (200, &id), "{id} was answered {status} {body}");
    }
}

/// Guards against taking the response that directly follows a copy truncated in its head or body for the rest
/// of the copy.
#[tokio::test]
async fn truncated_copy_is_dropped() {
    for length in [5, 30, 45] {
        assert_own_responses_or_errors(move |_, id| {
            let own = own_response(id);
            vec![Step::Write(own.clone()), Step::Pause(COPY_DELAY), Step::Write(own[..length].to_vec())]
        })
        .await;
    }
}

/// Guards against forwarding a copy that the close of its connection truncates.
#[tokio::test]
async fn copy_cut_off_by_a_close_is_dropped() {
    assert_own_responses_or_errors(|_, id| {
        let own = own_response(id);
        let truncated = own[..45].to_vec();
        vec![Step::Write(own), Step::Pause(COPY_DELAY), Step::Write(truncated), Step::Close]
    })
    .await;
}

/// Guards against forwarding copies of chunked responses.
#[tokio::test]
async fn chunked_copy_is_dropped() {
    assert_own_responses(|_, id| {
        let head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
        write_twice(format!("{head}10\r\n{id}\r\n0\r\n\r\n").as_bytes())
    })
    .await;
}

/// Guards against forwarding copies of responses that follow an interim response, with and without the
/// interim response.
#[tokio::test]
async fn copy_after_an_interim_response_is_dropped() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    assert_own_responses(|count, id| {
        let own = own_response(id);
        let with_interim = [interim.as_slice(), &own].concat();
        let copy = if count % 2 == 0 { with_interim.clone() } else { own };
        vec![Step::Write(with_interim), Step::Pause(COPY_DELAY), Step::Write(copy)]
    })
    .await;
}

/// Guards against forwarding copies of responses, buffered and streamed ones, that are too long to be stored.
#[tokio::test]
async fn copy_of_a_long_response_is_dropped() {
    for length in [20_000, 100_000] {
        let long = move |id: &str| id.repeat(length / id.len());
        let script = move |_, id: &str| write_twice(&own_response(&long(id)));
        let backend = ScriptedBackend::start(script).await;
        let (_discovery, proxy) = start_proxy_that_saw_a_copy(&backend).await;
        for (id, (status, body)) in call_sequentially(&proxy, "look", 30).await {
            assert_eq!(status, 200);
            assert!(body == long(&id), "the body of {length} bytes is that of another request");
        }
    }
}

/// Guards against taking the copy of an error for the response to the next request, which would be retried
/// although it runs.
#[tokio::test]
async fn copy_of_an_error_does_not_answer_the_next_request() {
    for (status, headers) in [(503, "Srv-Declined: 1\r\n"), (500, "")] {
        let served = Arc::new(Mutex::new(HashMap::<String, usize>::new()));
        let runs = served.clone();
        let script = move |count: usize, id: &str| {
            if count % 2 == 1 {
                return write_twice(&response(status, headers, ""));
            }
            *runs.lock().expect("no panic").entry(id.to_string()).or_default() += 1;
            write_twice(&own_response(id))
        };
        let backend = ScriptedBackend::start(script).await;
        let (_discovery, proxy) = start_proxy_that_saw_a_copy(&backend).await;
        for (id, (status, body)) in call_sequentially(&proxy, "once", 50).await {
            let was_served = served.lock().expect("no panic").contains_key(&id);
            assert_eq!(status == 200, was_served, "{id} was answered {status} by a copy");
            assert!(status != 200 || body == id, "{id} was answered with {body}");
        }
        assert!(served.lock().expect("no panic").values().all(|&runs| runs == 1));
    }
}

/// Checks that equal responses of a backend are served promptly; those that `has_copy` selects have a copy in
/// addition.
async fn assert_equal_responses_are_served(has_copy: impl Fn(usize) -> bool + Send + Sync + 'static) {
    let backend = ScriptedBackend::start(move |count, _| {
        let equal = response(200, "", "equal");
        if has_copy(count) { write_twice(&equal) } else { vec![Step::Write(equal)] }
    })
    .await;
    let (_discovery, proxy) = start_proxy_that_saw_a_copy(&backend).await;
    let started_at = Instant::now();
    for (id, answer) in call_sequentially(&proxy, "once", 300).await {
        assert_eq!(answer, (200, "equal".to_string()));
        assert_eq!(backend.received.lock().expect("no panic")[&id], 1);
    }
    assert!(started_at.elapsed() < MAX_EQUAL_RESPONSES_TIME, "responses were held");
}

#[tokio::test]
async fn equal_responses_without_copies_are_served_at_once() {
    assert_equal_responses_are_served(|_| false).await;
}

#[tokio::test]
async fn equal_responses_with_copies_are_served() {
    assert_equal_responses_are_served(|_| true).await;
}

/// Guards against holding consecutive responses for long that are occasionally equal without being copies.
#[tokio::test]
async fn rare_equal_responses_without_copies_are_served() {
    const CALLS: usize = 200;
    let backend = ScriptedBackend::start(|count, id| {
        let body = if count % 12 >= 10 { "equal" } else { id };
        vec![Step::Write(own_response(body))]
    })
    .await;
    let (_discovery, proxy) = start_proxy_that_saw_a_copy(&backend).await;
    let started_at = Instant::now();
    for (id, (status, body)) in call_sequentially(&proxy, "once", CALLS).await {
        assert_eq!(status, 200);
        assert!(body == id || body == "equal");
    }
    assert!(started_at.elapsed() < MAX_EQUAL_RESPONSES_TIME, "responses were held");
}

/// Guards against detecting a backend that sends copies on each connection anew: it is known from the first
/// copy on, however busy its connections are.
#[tokio::test]
async fn few_copies_are_delivered_before_the_first_is_detected() {
    let mut backends = Vec::new();
    for _ in 0..2 {
        backends.push(ScriptedBackend::start(|_, id| write_twice(&own_response(id))).await);
    }
    let list =
        ["a", "b"].iter().zip(&backends).map(|(name, backend)| endpoint(name, backend.addr, "SERVING"));
    let discovery = Discovery::start(list.collect()).await;
    let proxy = Proxy::start_with_list_applied(&discovery, settings()).await;
    let mut wrong_responses = 0;
    let calls: [_; CONCURRENT_CLIENTS] = std::array::from_fn(|_| call_sequentially(&proxy, "look", 300));
    let [a, b, c, d, e] = calls;
    let answers = tokio::join!(a, b, c, d, e);
    for (id, (status, body)) in [answers.0, answers.1, answers.2, answers.3, answers.4].concat() {
        assert_eq!(status, 200);
        wrong_responses += usize::from(body != id);
    }
    assert!(wrong_responses <= MAX_DELIVERED_COPIES, "{wrong_responses} of 1500 responses were wrong");
}
