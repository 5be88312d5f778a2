//! Unit tests of the repeat filter: single cases, and a property over random cuts and orders of the bytes.

use super::remembered_responses::{MAX_REMEMBERED_BYTES, MAX_REMEMBERED_RESPONSES};
use super::response_bytes::head_length;
use super::response_content::{MAX_COMPARED_BYTES, ResponseContent};
use super::{AmbiguousResponse, DistinctRun, FilterMemory, RepeatFilter, RepeatHistory, repeat_history};
use crate::memory::MemoryBudget;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

fn unlimited_memory() -> FilterMemory {
    let budget = MemoryBudget::new(usize::MAX);
    FilterMemory {
        held: budget.reservation(),
        current: budget.reservation(),
        remembered: budget.reservation(),
    }
}

const BODY_LENGTH: usize = 16;

fn response(status: u16, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn chunked_response(body: &str) -> Vec<u8> {
    let head = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n";
    format!("{head}{:x}\r\n{body}\r\n0\r\n\r\n", body.len()).into_bytes()
}

/// A filter with the history of its backend, on a clock that the test advances.
struct Fixture {
    filter: RepeatFilter,
    history: RepeatHistory,
    now: Instant,
    /// The number of distinct responses that were sent.
    response_count: usize,
}

impl Fixture {
    fn new_backend() -> Self {
        Fixture::of_tier(Rc::default())
    }

    /// Creates the fixture of a new backend of a tier.
    fn of_tier(distinct_run: Rc<DistinctRun>) -> Self {
        let history = RepeatHistory::new((Ipv4Addr::LOCALHOST, 1).into(), distinct_run);
        let filter = RepeatFilter::new(&history, unlimited_memory());
        Fixture { filter, history, now: Instant::now(), response_count: 0 }
    }

    fn repeating_backend() -> Self {
        let fixture = Fixture::new_backend();
        fixture.history.record_repeat(fixture.now);
        fixture
    }

    fn begin_request(&mut self) {
        self.filter.begin_request(&self.history, self.now);
    }

    /// Returns what is forwarded of the received bytes.
    fn receive(&mut self, bytes: &[u8]) -> Result<Vec<u8>, AmbiguousResponse> {
        self.now += Duration::from_millis(1);
        self.filter.receive(bytes, &self.history, self.now)?;
        Ok(self.filter.ready.split().to_vec())
    }

    /// Begins a request whose response expires after `time`.
    fn begin_request_expiring_in(&mut self, time: Duration) {
        self.filter.expect_response_until(self.now + time);
        self.begin_request();
    }

    /// Returns how long an equal response is held if its client has the time.
    fn hold_time(&self) -> Duration {
        self.history.hold_times().longest
    }

    /// Receives a response and expects that it is held.
    fn expect_held(&mut self, response: &[u8]) {
        assert_eq!(self.receive(response).expect("held"), b"");
    }

    /// Advances the clock to the end of the hold and returns what is forwarded.
    fn release(&mut self) -> Vec<u8> {
        self.now = self.filter.held_until(&self.history, self.now).expect("the hold has an end");
        self.filter.release_held(&self.history, self.now);
        self.filter.ready.split().to_vec()
    }

    /// Creates a backend that has sent `count` distinct responses.
    fn with_distinct_responses(count: u32) -> Self {
        let mut fixture = Fixture::new_backend();
        fixture.send_distinct_responses(count);
        fixture
    }

    fn send_distinct_responses(&mut self, count: u32) {
        for _ in 0..count {
            self.response_count += 1;
            self.exchange(&response(200, &format!("distinct {}", self.response_count)), false);
        }
    }

    /// Replaces the connection by another one to the same backend.
    fn reconnect(&mut self) -> RepeatFilter {
        std::mem::replace(&mut self.filter, RepeatFilter::new(&self.history, unlimited_memory()))
    }

    /// Finishes the response. Returns whether the connection can be used again.
    fn finish(&mut self, is_error: bool) -> bool {
        self.filter.finish_response(is_error, &self.history, self.now);
        !self.filter.is_unusable(&self.history, self.now)
    }

    fn is_cooling_down(&self) -> bool {
        self.filter.is_cooling_down(self.now)
    }

    /// Runs a request whose response is forwarded unchanged. Returns whether the connection can be used
    /// again.
    fn exchange(&mut self, response: &[u8], is_error: bool) -> bool {
        self.begin_request();
        assert_eq!(self.receive(response).expect("not a copy"), response);
        self.finish(is_error)
    }
}

#[test]
fn copy_before_the_response_is_dropped() {
    let mut fixture = Fixture::repeating_backend();
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&first, false);
    fixture.begin_request();
    assert_eq!(fixture.receive(&first).expect("copy"), b"");
    assert_eq!(fixture.receive(&second).expect("response"), second);
}

/// A copy that arrives while no request is in flight shows that the backend repeats.
#[test]
fn copy_without_a_request_shows_a_repeating_backend() {
    let mut fixture = Fixture::new_backend();
    let first = response(200, "first");
    fixture.exchange(&first, false);
    assert!(!fixture.history.repeats(fixture.now));
    // The copy is forwarded, and it ends the connection.
    assert_eq!(fixture.receive(&first).expect("copy"), first);
    assert!(fixture.history.repeats(fixture.now));
}

/// Guards against a delay of every response of a backend that sends equal responses but no copies.
#[test]
fn only_the_first_equal_response_is_held() {
    let mut fixture = Fixture::new_backend();
    let equal = response(200, "equal");
    fixture.exchange(&equal, false);
    fixture.begin_request();
    fixture.expect_held(&equal);
    assert_eq!(fixture.release(), equal);
    assert!(fixture.finish(false));
    for _ in 0..10 {
        assert!(fixture.exchange(&equal, false));
        assert!(!fixture.is_cooling_down());
    }
    assert!(!fixture.history.repeats(fixture.now));
}

#[test]
fn followed_equal_response_is_a_copy() {
    for behind in [response(200, "third"), response(503, ""), chunked_response("third")] {
        let mut fixture = Fixture::new_backend();
        let first = response(200, "first");
        fixture.exchange(&first, false);
        fixture.begin_request();
        fixture.expect_held(&first);
        assert_eq!(fixture.receive(&behind).expect("response"), behind);
        assert!(fixture.history.repeats(fixture.now));
    }
}

#[test]
fn copy_in_pieces_of_a_new_backend_is_dropped() {
    for cut in 1..response(200, "first").len() {
        let mut fixture = Fixture::new_backend();
        let (first, second) = (response(200, "first"), response(200, "other"));
        fixture.exchange(&first, false);
        fixture.begin_request();
        fixture.expect_held(&first[..cut]);
        fixture.expect_held(&first[cut..]);
        assert_eq!(fixture.receive(&second).expect("response"), second, "cut at {cut}");
    }
}

/// A backend that repeats sends equal responses to different requests: the first is dropped as a copy each
/// time.
#[test]
fn second_of_repeated_equal_responses_is_forwarded() {
    let mut fixture = Fixture::repeating_backend();
    let equal = response(200, "equal");
    fixture.exchange(&equal, false);
    for _ in 0..10 {
        fixture.begin_request();
        assert_eq!(fixture.receive(&equal).expect("dropped as a copy"), b"");
        assert_eq!(fixture.receive(&equal).expect("response"), equal);
        fixture.finish(false);
    }
}

#[test]
fn hold_is_at_most_half_of_the_remaining_time() {
    let mut fixture = Fixture::new_backend();
    let first = response(200, "first");
    fixture.exchange(&first, false);
    fixture.begin_request_expiring_in(Duration::from_millis(201));
    fixture.expect_held(&first);
    let arrived_at = fixture.now;
    assert_eq!(fixture.release(), first);
    assert_eq!(fixture.now - arrived_at, Duration::from_millis(100));
    assert_eq!(fixture.filter.held_for(), Duration::from_millis(100));
}

/// Creates a connection on which an equal response was forwarded before it was known not to be a copy.
fn forwarded_early() -> Fixture {
    let mut fixture = Fixture::new_backend();
    let first = response(200, "first");
    fixture.exchange(&first, false);
    fixture.begin_request_expiring_in(Duration::from_millis(201));
    fixture.expect_held(&first);
    fixture.release();
    assert!(fixture.finish(false));
    fixture
}

/// Guards against the reuse of a connection on which a copy was forwarded early: the real response follows
/// and would be taken for the response to the next request.
#[test]
fn connection_is_observed_after_an_early_forward() {
    let mut fixture = forwarded_early();
    assert!(fixture.is_cooling_down());
    // The forwarded response was a copy, and the real response arrives now.
    fixture.receive(&response(200, "other")).expect("forwarded; the connection ends");
    assert!(fixture.history.repeats(fixture.now));
}

/// If nothing follows during the observation, the backend sends equal responses, and these are no longer
/// held.
#[test]
fn quiet_observation_makes_equal_responses_known() {
    let mut fixture = forwarded_early();
    fixture.now += fixture.history.hold_times().longest;
    assert!(!fixture.is_cooling_down());
    fixture.exchange(&response(200, "first"), false);
    fixture.exchange(&response(200, "first"), false);
}

/// A copy arrives on the connection of its response.
#[test]
fn equal_content_on_two_connections_is_no_copy() {
    let mut fixture = Fixture::new_backend();
    let equal = response(200, "equal");
    fixture.exchange(&equal, false);
    fixture.reconnect();
    fixture.exchange(&equal, false);
    fixture.exchange(&equal, false);
    // Other responses may still be copies.
    let other = response(200, "other");
    fixture.exchange(&other, false);
    fixture.begin_request();
    fixture.expect_held(&other);
}

/// Guards against a first copy that is forwarded as a response because many other contents are known to be
/// equal.
#[test]
fn many_known_equal_contents_hide_no_other_copies() {
    let mut fixture = Fixture::new_backend();
    for number in 0..1000 {
        fixture.history.record_equal(&ResponseContent::of(&response(200, &number.to_string())));
    }
    let first = response(200, "first");
    fixture.exchange(&first, false);
    assert_copy_is_dropped(&mut fixture, &first);
}

/// Guards against an early forward of a copy where half of the client's remaining time is shorter than the
/// time in which the response after a copy usually arrives.
#[test]
fn hold_lasts_at_least_the_usual_time() {
    let mut fixture = Fixture::new_backend();
    let first = response(200, "first");
    fixture.begin_request();
    fixture.now += Duration::from_millis(49);
    fixture.receive(&first).expect("response");
    fixture.finish(false);
    fixture.begin_request_expiring_in(Duration::from_millis(300));
    fixture.expect_held(&first);
    let arrived_at = fixture.now;
    assert_eq!(fixture.release(), first);
    assert_eq!(fixture.now - arrived_at, Duration::from_millis(400));
}

#[test]
fn partial_response_is_held_for_the_usual_time() {
    let first = response(200, "first");
    let other = response(200, "other");
    for beginning in [&first[..30], &other[..other.len() - 1]] {
        let mut fixture = Fixture::new_backend();
        fixture.exchange(&first, false);
        fixture.begin_request();
        fixture.expect_held(beginning);
        let arrived_at = fixture.now;
        assert_eq!(fixture.release(), beginning);
        assert_eq!(fixture.now - arrived_at, fixture.history.hold_times().usual);
    }
}

/// The backend becomes known to repeat while the response is held, so the hold has no end until more bytes
/// arrive.
#[test]
fn held_response_of_a_new_repeater_is_a_copy() {
    let mut fixture = Fixture::new_backend();
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&first, false);
    fixture.begin_request();
    fixture.expect_held(&first);
    fixture.history.record_repeat(fixture.now);
    assert_eq!(fixture.filter.held_until(&fixture.history, fixture.now), None);
    fixture.now += fixture.hold_time();
    fixture.filter.release_held(&fixture.history, fixture.now);
    assert_eq!(fixture.receive(&second).expect("response"), second);
}

#[test]
fn hold_is_longer_for_slow_responses() {
    let mut fixture = Fixture::new_backend();
    let usual = fixture.history.hold_times().usual;
    fixture.begin_request();
    fixture.now += usual;
    fixture.receive(&response(200, "slow")).expect("response");
    assert!(fixture.history.hold_times().usual > usual);
}

#[test]
fn late_copy_is_dropped() {
    let mut fixture = Fixture::repeating_backend();
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&first, false);
    fixture.now += 2 * fixture.history.copy_window();
    fixture.begin_request();
    fixture.expect_held(&first);
    assert_eq!(fixture.receive(&second).expect("response"), second);
}

/// Equal served responses say nothing about errors.
#[test]
fn equal_error_is_held_despite_known_equal_responses() {
    let mut fixture = Fixture::new_backend();
    fixture.history.record_equal(&ResponseContent::of(&response(200, "first")));
    let error = response(503, "");
    fixture.exchange(&error, true);
    fixture.begin_request();
    fixture.expect_held(&error);
    let second = response(200, "second");
    assert_eq!(fixture.receive(&second).expect("response"), second);
}

/// Guards against responses that reach the wrong client: an equal response was forwarded that turns out to
/// have been a copy, so later responses on the connection belong to earlier requests.
#[test]
fn equal_responses_before_a_first_copy_end_connection() {
    let mut fixture = Fixture::new_backend();
    fixture.history.record_equal(&ResponseContent::of(&response(200, "first")));
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&first, false);
    assert!(fixture.exchange(&second, false));
    // This is a copy, and the next response belongs to the request that received it.
    assert!(fixture.exchange(&first, false));
    fixture.begin_request();
    fixture.history.record_repeat(fixture.now);
    assert!(fixture.filter.is_unusable(&fixture.history, fixture.now));
    assert!(fixture.receive(&response(200, "third")).is_err());
}

/// No response to an earlier request can arrive on such a connection any more.
#[test]
fn quiet_connection_is_trusted_again() {
    let mut fixture = Fixture::new_backend();
    fixture.history.record_equal(&ResponseContent::of(&response(503, "")));
    fixture.exchange(&response(503, ""), true);
    fixture.exchange(&response(503, ""), true);
    fixture.now += 2 * fixture.history.copy_window();
    fixture.begin_request();
    fixture.history.record_repeat(fixture.now);
    assert!(fixture.receive(&response(200, "first")).is_ok());
}

#[test]
fn connection_cools_down_after_an_error() {
    let mut fixture = Fixture::repeating_backend();
    let error = response(503, "");
    fixture.exchange(&error, true);
    assert!(fixture.is_cooling_down());
    fixture.now += fixture.history.cooldown_time();
    assert!(!fixture.is_cooling_down());
    // The first error is forgotten by then, so an equal one is a response.
    fixture.exchange(&error, true);
}

/// A copy could otherwise be taken for an equal response to the next request.
#[test]
fn repeater_with_equal_responses_causes_cooldown() {
    let mut fixture = Fixture::repeating_backend();
    let equal = response(200, "equal");
    fixture.exchange(&equal, false);
    assert!(!fixture.is_cooling_down());
    // Another connection to the same backend.
    fixture.reconnect();
    fixture.exchange(&equal, false);
    assert!(fixture.is_cooling_down());
}

/// Errors are usually equal, so they must not cause a cooldown after served responses.
#[test]
fn equal_errors_do_not_imply_equal_responses() {
    let mut fixture = Fixture::repeating_backend();
    for _ in 0..2 {
        fixture.exchange(&response(503, ""), true);
        fixture.now += fixture.history.cooldown_time();
    }
    fixture.exchange(&response(200, "first"), false);
    assert!(!fixture.is_cooling_down());
}

#[test]
fn copy_after_an_interim_response_is_dropped() {
    let mut fixture = Fixture::repeating_backend();
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&[interim.as_slice(), &first].concat(), false);
    fixture.begin_request();
    let received = [interim.as_slice(), &first, interim, &second].concat();
    let forwarded = fixture.receive(&received).expect("response");
    assert_eq!(forwarded, [interim.as_slice(), interim, &second].concat());
}

#[test]
fn truncated_copy_ends_the_connection() {
    for cut in 1..response(200, "first").len() {
        let mut fixture = Fixture::repeating_backend();
        let (first, second) = (response(200, "first"), response(200, "other"));
        fixture.exchange(&first, false);
        fixture.begin_request();
        assert_eq!(fixture.receive(&first[..cut]).expect("held"), b"");
        assert!(fixture.receive(&second).is_err(), "cut at {cut}");
    }
}

#[test]
fn response_that_starts_like_a_copy_is_unchanged() {
    for cut in 1..response(200, "first").len() {
        let mut fixture = Fixture::repeating_backend();
        let (first, second) = (response(200, "first"), response(200, "fired"));
        fixture.exchange(&first, false);
        fixture.begin_request();
        let mut forwarded = fixture.receive(&second[..cut]).expect("not a copy");
        forwarded.extend(fixture.receive(&second[cut..]).expect("not a copy"));
        assert_eq!(forwarded, second, "cut at {cut}");
    }
}

/// A response that is too long to be kept in full cannot be compared in full with its copy.
#[test]
fn repeater_connection_ends_after_a_long_response() {
    let long = response(200, &"x".repeat(MAX_REMEMBERED_BYTES));
    assert!(!Fixture::repeating_backend().exchange(&long, false));
    assert!(Fixture::new_backend().exchange(&long, false));
}

/// A copy of a response that is too long to be compared could not be distinguished from the next response.
#[test]
fn connection_ends_after_an_unremembered_response() {
    let longest =
        "x".repeat(MAX_COMPARED_BYTES - response(200, "").len() - MAX_COMPARED_BYTES.to_string().len());
    assert!(Fixture::new_backend().exchange(&response(200, &longest), false));
    let too_long = "x".repeat(MAX_COMPARED_BYTES);
    let mut fixture = Fixture::new_backend();
    assert!(!fixture.exchange(&response(200, &too_long), false));
    assert!(!fixture.exchange(&response(200, "short"), false));
}

#[test]
fn remembered_responses_are_bounded() {
    let mut fixture = Fixture::repeating_backend();
    for number in 0..100 {
        fixture.exchange(&response(200, &format!("{number:03}{}", "x".repeat(3000))), false);
        assert!(fixture.filter.remembered.kept_bytes() <= MAX_REMEMBERED_BYTES);
        assert!(fixture.filter.remembered.len() <= MAX_REMEMBERED_RESPONSES);
    }
}

#[test]
fn endless_interim_response_is_rejected() {
    let mut fixture = Fixture::repeating_backend();
    fixture.begin_request();
    assert!(fixture.receive(b"HTTP/1.1 100 Continue\r\nX: ").is_ok());
    let is_rejected = (0..100).any(|_| fixture.receive(&[b'x'; 1024]).is_err());
    assert!(is_rejected, "{} bytes are held", fixture.filter.held.len());
}

/// The backend ceases to be known to repeat while part of a response is held.
#[test]
fn held_bytes_keep_their_order_after_repeating_ends() {
    let mut fixture = Fixture::repeating_backend();
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&first, false);
    fixture.begin_request();
    assert_eq!(fixture.receive(&second[..10]).expect("held"), b"");
    fixture.now += repeat_history::REPEATER_RETENTION;
    assert_eq!(fixture.receive(&second[10..]).expect("not a copy"), second);
}

#[test]
fn repeating_expires_without_copies() {
    let mut fixture = Fixture::repeating_backend();
    assert!(fixture.history.repeats(fixture.now));
    fixture.now += repeat_history::REPEATER_RETENTION;
    assert!(!fixture.history.repeats(fixture.now));
}

/// A connection to a backend that randomly sends responses again, at random times.
struct RandomBackend {
    random: fastrand::Rng,
    fixture: Fixture,
    /// The copies that are still to be sent, with the number of their request.
    copies: VecDeque<(usize, Vec<u8>)>,
    request_count: usize,
}

impl RandomBackend {
    fn new(seed: u64, fixture: Fixture) -> Self {
        let random = fastrand::Rng::with_seed(seed);
        RandomBackend { random, fixture, copies: VecDeque::new(), request_count: 0 }
    }

    /// Creates a response that differs from all others.
    fn response(&mut self) -> (Vec<u8>, bool) {
        let body: String = std::iter::repeat_with(|| self.random.alphanumeric()).take(BODY_LENGTH).collect();
        match self.random.u8(..4) {
            0 => (chunked_response(&body), false),
            1 => (response(500, &body), true),
            _ => (response(200, &body), false),
        }
    }

    /// Takes some of the copies that are still to be sent.
    fn take_copies(&mut self) -> Vec<u8> {
        let oldest = (self.request_count + 1).saturating_sub(MAX_REMEMBERED_RESPONSES);
        let due = self.copies.iter().take_while(|(request, _)| *request <= oldest).count();
        let count = self.random.usize(due..=self.copies.len());
        let mut copies: Vec<_> = self.copies.drain(..count).collect();
        self.random.shuffle(&mut copies);
        copies.into_iter().flat_map(|(_, copy)| copy).collect()
    }

    /// Sends bytes in random pieces and returns what is forwarded.
    fn send(&mut self, mut bytes: &[u8]) -> Vec<u8> {
        let mut forwarded = Vec::new();
        while !bytes.is_empty() {
            let (piece, rest) = bytes.split_at(self.random.usize(1..=bytes.len()));
            forwarded.extend(self.fixture.receive(piece).expect("no truncated copy"));
            bytes = rest;
        }
        forwarded
    }

    /// Waits for the end of the connection's cooldown, as the pool does.
    fn wait_for_cooldown(&mut self) {
        if self.fixture.is_cooling_down() {
            self.fixture.now += self.fixture.history.cooldown_time();
            self.copies.clear();
        }
    }

    /// Runs one request. Returns `false` if the connection can't be used again.
    fn exchange(&mut self) -> bool {
        self.wait_for_cooldown();
        self.fixture.begin_request();
        let (response, is_error) = self.response();
        let mut received = self.take_copies();
        received.extend(&response);
        assert_eq!(self.send(&received), response, "each request receives its own response");
        if self.random.bool() {
            self.copies.push_back((self.request_count, response));
        }
        self.request_count += 1;
        self.fixture.finish(is_error)
    }
}

#[test]
fn each_request_gets_its_response_for_random_cuts() {
    for seed in 0..2000 {
        let fixture = if seed % 2 == 0 { Fixture::repeating_backend() } else { Fixture::new_backend() };
        let mut backend = RandomBackend::new(seed, fixture);
        for _ in 0..30 {
            if !backend.exchange() {
                break;
            }
        }
    }
}

/// The delay of a slow copy after its response.
const COPY_DELAY: Duration = Duration::from_millis(100);

/// Receives a possible copy of a response and then a response that differs from all others. Returns what is
/// forwarded of both.
fn forwarded_of_copy_and_response(fixture: &mut Fixture, copy: &[u8]) -> String {
    fixture.begin_request();
    let mut forwarded = fixture.receive(copy).expect("held or dropped");
    forwarded.extend(fixture.receive(&response(200, "unlike")).expect("response"));
    String::from_utf8(forwarded).expect("UTF-8")
}

fn assert_copy_is_dropped(fixture: &mut Fixture, copy: &[u8]) {
    let forwarded = forwarded_of_copy_and_response(fixture, copy);
    let expected = String::from_utf8(response(200, "unlike")).expect("UTF-8");
    assert!(forwarded == expected, "{} bytes were forwarded instead of {}", forwarded.len(), expected.len());
}

/// Guards against a first copy that is forwarded because the response is too long to be kept in full.
#[test]
fn first_copy_of_a_long_response_is_dropped() {
    let mut fixture = Fixture::new_backend();
    let long = response(200, &"x".repeat(MAX_REMEMBERED_BYTES));
    if fixture.exchange(&long, false) && !fixture.is_cooling_down() {
        assert_copy_is_dropped(&mut fixture, &long);
    }
}

/// Guards against a first copy that is forwarded because a later long response has displaced its response.
#[test]
fn first_copy_before_another_long_response_is_dropped() {
    let mut fixture = Fixture::new_backend();
    let long = |letter: &str| response(200, &letter.repeat(MAX_REMEMBERED_BYTES * 2 / 3));
    fixture.exchange(&long("a"), false);
    fixture.exchange(&long("b"), false);
    assert_copy_is_dropped(&mut fixture, &long("a"));
}

/// Guards against a first copy that is forwarded because many fast responses have displaced its response.
#[test]
fn first_copy_after_many_fast_responses_is_dropped() {
    let mut fixture = Fixture::new_backend();
    let first = response(200, "first");
    fixture.exchange(&first, false);
    let expected_until = fixture.now + fixture.history.copy_window();
    for number in 0.. {
        fixture.exchange(&response(200, &number.to_string()), false);
        fixture.now += Duration::from_millis(10);
        if fixture.now + Duration::from_millis(20) > expected_until {
            break;
        }
    }
    assert_copy_is_dropped(&mut fixture, &first);
}

/// Sends each error on two connections, which shows that they are not copies.
fn send_equal_errors(fixture: &mut Fixture, errors: &[Vec<u8>]) {
    for _ in 0..2 {
        for error in errors {
            fixture.exchange(error, true);
            fixture.now += fixture.history.cooldown_time();
        }
        fixture.reconnect();
    }
}

/// Guards against a first copy that is forwarded because errors of the same backend are known to be equal.
#[test]
fn equal_errors_hide_no_first_copy_of_a_served_response() {
    let mut fixture = Fixture::new_backend();
    let errors = ["full", "draining", "connections", "over"].map(|reason| response(503, reason));
    send_equal_errors(&mut fixture, &errors);
    let first = response(200, "first");
    fixture.exchange(&first, false);
    assert_copy_is_dropped(&mut fixture, &first);
}

/// The same for a backend that is known to repeat.
#[test]
fn equal_errors_hide_no_copy_of_a_repeater() {
    let mut fixture = Fixture::new_backend();
    let errors = ["full", "draining", "connections", "over"].map(|reason| response(503, reason));
    send_equal_errors(&mut fixture, &errors);
    fixture.history.record_repeat(fixture.now);
    let first = response(200, "first");
    fixture.exchange(&first, false);
    fixture.begin_request();
    fixture.expect_held(&first);
    assert_eq!(fixture.filter.held_until(&fixture.history, fixture.now), None, "the copy would be forwarded");
}

/// Guards against a copy of an error that is forwarded as the response to the next request because different
/// requests are known to have received this error.
#[test]
fn first_copy_of_a_known_error_is_not_forwarded() {
    let mut fixture = Fixture::new_backend();
    let error = response(503, "");
    send_equal_errors(&mut fixture, std::slice::from_ref(&error));
    fixture.exchange(&error, true);
    fixture.now += COPY_DELAY;
    // During its cooldown the connection receives no request that the copy could answer.
    if !fixture.is_cooling_down() {
        assert_copy_is_dropped(&mut fixture, &error);
    }
}

/// Guards against responses that reach the wrong client: if the copy of a known error is forwarded, the real
/// response follows and would be taken for the response to the next request.
#[test]
fn first_copy_of_a_known_error_shifts_no_response() {
    let mut fixture = Fixture::new_backend();
    let error = response(503, "");
    send_equal_errors(&mut fixture, std::slice::from_ref(&error));
    fixture.exchange(&error, true);
    fixture.now += COPY_DELAY;
    if fixture.is_cooling_down() {
        return;
    }
    fixture.begin_request();
    let is_forwarded = !fixture.receive(&error).expect("held or forwarded").is_empty();
    let is_used_again = is_forwarded && fixture.finish(true);
    fixture.now += COPY_DELAY;
    if is_used_again && !fixture.is_cooling_down() {
        fixture.begin_request();
        let forwarded = fixture.receive(&response(200, "of the previous request")).unwrap_or_default();
        assert!(forwarded.is_empty(), "a client receives the response to another request");
    }
}

/// Guards against a hold that remains set after the response arrived in pieces.
#[test]
fn known_equal_response_in_pieces_needs_no_cooldown() {
    let equal = response(200, "equal");
    for cut in 1..equal.len() {
        let mut fixture = Fixture::new_backend();
        fixture.history.record_equal(&ResponseContent::of(&equal));
        fixture.exchange(&equal, false);
        fixture.begin_request();
        fixture.expect_held(&equal[..cut]);
        assert_eq!(fixture.receive(&equal[cut..]).expect("response"), equal);
        assert!(fixture.finish(false));
        assert!(!fixture.is_cooling_down(), "cut at {cut}");
    }
}

/// Guards against slow backends that look fast: the time until the rest of a response arrives is the time of
/// the backend and not of the filter.
#[test]
fn partial_response_does_not_count_as_held() {
    let mut fixture = Fixture::new_backend();
    let (first, second) = (response(200, "first"), response(200, "other"));
    fixture.exchange(&first, false);
    fixture.begin_request();
    let cut = head_length(&second).expect("complete head");
    fixture.expect_held(&second[..cut]);
    assert_eq!(fixture.release(), second[..cut]);
    assert_eq!(fixture.receive(&second[cut..]).expect("rest of the response"), second[cut..]);
    assert_eq!(fixture.filter.held_for(), Duration::ZERO);
}

#[test]
fn truncated_first_copy_ends_the_connection() {
    for cut in 1..response(200, "first").len() {
        let mut fixture = Fixture::new_backend();
        let (first, second) = (response(200, "first"), response(200, "other"));
        fixture.exchange(&first, false);
        fixture.begin_request();
        fixture.expect_held(&first[..cut]);
        assert!(fixture.receive(&second).is_err(), "cut at {cut}");
    }
}

/// Two copies of the same response arrive before the next response.
#[test]
fn second_copy_of_a_distinct_response_is_dropped() {
    let mut fixture = Fixture::new_backend();
    let first = response(200, "first");
    fixture.exchange(&first, false);
    assert_copy_is_dropped(&mut fixture, &[first.as_slice(), &first].concat());
}

/// The delay of its earlier copies must be forgotten.
#[test]
fn former_repeater_has_the_usual_cooldown() {
    let mut fixture = Fixture::new_backend();
    let usual = fixture.history.copy_window();
    fixture.history.record_copy(fixture.now, Duration::from_millis(250));
    fixture.now += repeat_history::REPEATER_RETENTION;
    fixture.exchange(&response(503, ""), true);
    fixture.now += usual;
    assert!(!fixture.is_cooling_down());
}

/// Guards against a hold that counts from the start of an interim response in pieces instead of the start of
/// the response.
#[test]
fn split_interim_response_does_not_shorten_the_hold() {
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
    for cut in 1..interim.len() {
        let mut fixture = Fixture::new_backend();
        let first = response(200, "first");
        fixture.exchange(&first, false);
        fixture.begin_request();
        let mut forwarded = fixture.receive(&interim[..cut]).expect("held");
        forwarded.extend(fixture.receive(&interim[cut..]).expect("interim response"));
        assert_eq!(forwarded, interim);
        fixture.now += fixture.hold_time();
        fixture.expect_held(&first);
        let arrived_at = fixture.now;
        assert_eq!(fixture.release(), first);
        assert_eq!(fixture.now - arrived_at, fixture.hold_time(), "cut at {cut}");
    }
}

/// Far more responses than a backend must have sent before equal ones count as rare.
const MANY_RESPONSES: u32 = 20;

/// Sends a response twice, to two requests, and returns how long the second one is held.
fn hold_time_of_equal(fixture: &mut Fixture, body: &str) -> Duration {
    let equal = response(200, body);
    fixture.exchange(&equal, false);
    fixture.begin_request();
    fixture.expect_held(&equal);
    let arrived_at = fixture.now;
    assert_eq!(fixture.release(), equal);
    fixture.finish(false);
    fixture.now - arrived_at
}

/// Such a response is more likely a copy than not.
#[test]
fn rare_equal_response_is_held_for_the_maximum_time() {
    let mut fixture = Fixture::with_distinct_responses(MANY_RESPONSES);
    assert_eq!(hold_time_of_equal(&mut fixture, "equal"), repeat_history::MAX_HOLD_TIME);
}

/// After few responses it is not known that equal ones are rare.
#[test]
fn equal_response_after_few_others_is_held_as_usual() {
    let mut fixture = Fixture::with_distinct_responses(1);
    let usual = fixture.hold_time();
    assert_eq!(hold_time_of_equal(&mut fixture, "equal"), usual);
}

/// Errors are usually equal, so an equal one does not indicate a copy.
#[test]
fn rare_equal_error_is_held_as_usual() {
    let mut fixture = Fixture::with_distinct_responses(MANY_RESPONSES);
    let error = response(503, "");
    fixture.exchange(&error, true);
    fixture.now += fixture.history.copy_window();
    fixture.begin_request();
    fixture.expect_held(&error);
    let arrived_at = fixture.now;
    assert_eq!(fixture.release(), error);
    assert_eq!(fixture.now - arrived_at, fixture.hold_time());
}

/// Guards against a long hold on each backend of a tier that sends equal responses.
#[test]
fn tier_with_equal_responses_has_one_long_hold() {
    let tier = Rc::<DistinctRun>::default();
    let mut first = Fixture::of_tier(tier.clone());
    first.send_distinct_responses(MANY_RESPONSES);
    assert_eq!(hold_time_of_equal(&mut first, "equal"), repeat_history::MAX_HOLD_TIME);
    let mut second = Fixture::of_tier(tier);
    for fixture in [&mut first, &mut second] {
        fixture.send_distinct_responses(MANY_RESPONSES);
        let usual = fixture.hold_time();
        assert_eq!(hold_time_of_equal(fixture, "another"), usual);
    }
}

/// It shows that the tier sends equal responses, so no long hold follows.
#[test]
fn equal_content_on_two_connections_counts_for_tier() {
    let mut fixture = Fixture::with_distinct_responses(MANY_RESPONSES);
    fixture.exchange(&response(200, "equal"), false);
    fixture.reconnect();
    fixture.exchange(&response(200, "equal"), false);
    let usual = fixture.hold_time();
    assert_eq!(hold_time_of_equal(&mut fixture, "another"), usual);
}

#[test]
fn equal_responses_become_rare_again() {
    let mut fixture = Fixture::with_distinct_responses(MANY_RESPONSES);
    hold_time_of_equal(&mut fixture, "equal");
    fixture.send_distinct_responses(1000);
    assert_eq!(hold_time_of_equal(&mut fixture, "another"), repeat_history::MAX_HOLD_TIME);
}

/// Guards against remembered responses that together take more than their memory.
#[test]
fn connection_that_cannot_remember_its_response_is_not_used_again() {
    let mut fixture = Fixture::new_backend();
    let budget = MemoryBudget::new(0);
    let memory = FilterMemory { remembered: budget.reservation(), ..unlimited_memory() };
    fixture.filter = RepeatFilter::new(&fixture.history, memory);
    assert!(!fixture.exchange(&response(200, "first"), false));
    assert_eq!(budget.reserved_bytes(), 0);
}
