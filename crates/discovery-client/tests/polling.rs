//! Following discovery, over loopback connections and on a paused clock: the agent does what a test says.

mod support;

use std::time::Duration;
use support::*;
use tokio::net::TcpSocket;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

/// A list that is taken is watched from its version; after one that is not, the whole list is asked for.
#[tokio::test(start_paused = true)]
async fn lists_that_are_older_or_name_nobody_are_ignored() {
    let cases = [
        (Some(7), AgentBehavior::List(8, false, 1), true, true),
        (Some(7), AgentBehavior::List(7, false, 1), true, true), // the same again
        (Some(7), AgentBehavior::List(6, false, 1), true, false), // it went back
        (Some(7), AgentBehavior::List(8, true, 1), true, true),
        (Some(7), AgentBehavior::List(7, true, 1), true, true),
        (Some(7), AgentBehavior::List(6, true, 1), true, false),
        (None, AgentBehavior::List(6, true, 1), true, true), // discovery began anew
        (Some(7), AgentBehavior::List(7, false, 0), true, true), // no change
        (Some(7), AgentBehavior::List(8, true, 0), true, false), // nobody
        (None, AgentBehavior::List(8, true, 0), true, false),
        (None, AgentBehavior::List(0, true, 0), false, true), // nobody yet
    ];
    for (asked, page, serving, taken) in cases {
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let (listener, address) = listening().await;
                let first = asked.map(|seq| AgentBehavior::List(seq, true, 1));
                let script: Vec<AgentBehavior> = first.into_iter().chain([page]).collect();
                let calls = agent(listener, move |n| script.get(n).copied().unwrap_or(AgentBehavior::Hang));
                let drain_deadline = Duration::from_millis(500);
                let harness =
                    DiscoveryHarness::follow(address, settings(false, 0.0), 1, drain_deadline, serving);
                let n = usize::from(asked.is_some()) + 1;
                came(&calls, n + 1).await;
                let AgentBehavior::List(seq, whole, hosts) = page else { unreachable!("they are lists") };
                let path = calls.borrow()[n].1.clone();
                let watched = path.contains(&format!("after={seq}&"));
                assert_eq!(watched, taken, "{asked:?} {page:?}: {path}");
                let news = usize::from(taken && (whole || hosts > 0));
                assert_eq!(harness.notified.borrow().len(), n - 1 + news, "{asked:?} {page:?}");
            })
            .await;
    }
}

/// What discovery has to tell counts as notified 6 s later, whether or not it arrived: a watch that fell silent and
/// an answer that stopped short leave time for a second try. Where discovery as such was silent, what it has to
/// tell at its return counts at once: then a call that is not answered and the pause fit into a drain's grace.
#[tokio::test(start_paused = true)]
async fn silence_and_half_an_answer_are_noticed_before_the_change_counts_as_notified() {
    let had = AgentBehavior::List(7, true, 1);
    for drain_deadline in [100, 250, 500, 2000, 10_000].map(Duration::from_millis) {
        for (script, within) in [
            (vec![had, AgentBehavior::Hang], Duration::from_secs(4)),
            (vec![had, AgentBehavior::Half], Duration::from_secs(2)),
            (vec![had, AgentBehavior::Hang, AgentBehavior::Hang], drain_deadline),
            (vec![AgentBehavior::Hang, AgentBehavior::Hang], drain_deadline),
            (vec![AgentBehavior::Hang, AgentBehavior::Half], drain_deadline),
        ] {
            let tasks = LocalSet::new();
            tasks
                .run_until(async {
                    let (listener, address) = listening().await;
                    let (last, played) = (script.len(), script.clone());
                    let calls =
                        agent(listener, move |n| played.get(n).copied().unwrap_or(AgentBehavior::Hang));
                    DiscoveryHarness::follow(address, settings(false, 0.0), 1, drain_deadline, true);
                    came(&calls, last + 1).await;
                    let again = calls.borrow()[last].0 - calls.borrow()[last - 1].0;
                    assert!(again <= within, "{script:?} {drain_deadline:?}: {again:?}");
                })
                .await;
        }
    }
}

/// The last of many calls that fail comes just before discovery is back.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_after_failed_polls() {
    let mut longest = Duration::ZERO;
    for trouble in [
        AgentBehavior::Hang,
        AgentBehavior::Half,
        AgentBehavior::Trickle,
        AgentBehavior::Fail,
        AgentBehavior::Close,
        AgentBehavior::List(9, true, 0),
        AgentBehavior::List(6, false, 1),
    ] {
        for (is_polled, held) in [(false, false), (false, true), (true, false), (true, true)] {
            if trouble == AgentBehavior::List(6, false, 1) && !held {
                continue; // Older than nothing.
            }
            for drain_deadline in [100, 500, 2000, 10_000].map(Duration::from_millis) {
                for (poll_within_ms, seed, failures) in
                    [(100.0, 1, 9), (10_000.0, 2, 1), (10_000.0, 3, 9), (60_000.0, 4, 1), (60_000.0, 5, 9)]
                {
                    let tasks = LocalSet::new();
                    let work = async {
                        let (listener, address) = listening().await;
                        let calls = agent(listener, move |n| match n {
                            0 if held => AgentBehavior::List(7, true, 1),
                            n if n < failures + usize::from(held) => trouble,
                            _ => AgentBehavior::List(10, true, 2),
                        });
                        let settings = settings(is_polled, poll_within_ms);
                        let harness = DiscoveryHarness::follow(address, settings, seed, drain_deadline, true);
                        let last = failures + usize::from(held);
                        let notified = harness.notified_of(2).await;
                        notified - calls.borrow()[last - 1].0
                    };
                    let took = tasks.run_until(work).await;
                    longest = longest.max(took);
                    let case = format!(
                        "{trouble:?} {is_polled} {held} {drain_deadline:?} {poll_within_ms} {failures}"
                    );
                    assert!(took <= NOTIFIED_WITHIN, "{case}: {took:?}");
                }
            }
        }
    }
    println!("the longest: {longest:?}");
}

/// The watch, or a call after others that failed, ends late and in the middle of its answer, and the next one
/// is answered as late.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_by_a_late_agent() {
    let mut longest = Duration::ZERO;
    for (drain_deadline, late) in [(500, 225), (2000, 450), (10_000, 450)] {
        for (failures, seed) in [1, 9].into_iter().flat_map(|f| (0..10).map(move |seed| (f, seed))) {
            let tasks = LocalSet::new();
            let work = async {
                let (listener, address) = listening().await;
                let late = Duration::from_millis(late);
                let delay = AnswerDelay { head: late, body: late };
                let calls = late_agent(listener, delay, move |n| match n {
                    0 => AgentBehavior::List(7, true, 1),
                    n if n <= failures => AgentBehavior::Half,
                    _ => AgentBehavior::List(10, true, 2),
                });
                let drain_deadline = Duration::from_millis(drain_deadline);
                let harness =
                    DiscoveryHarness::follow(address, settings(true, 60_000.0), seed, drain_deadline, true);
                came(&calls, failures + 1).await;
                harness.notified_of(2).await - calls.borrow()[failures].0
            };
            let took = tasks.run_until(work).await;
            longest = longest.max(took);
            assert!(took <= NOTIFIED_WITHIN, "{drain_deadline} {failures} {seed}: {took:?}");
        }
    }
    println!("the longest: {longest:?}");
}

/// Refused for long, at the start or later, and then reached at any moment.
#[tokio::test(start_paused = true)]
async fn a_change_is_notified_within_the_deadline_after_refused_connections() {
    let mut longest = Duration::ZERO;
    for is_polled in [false, true] {
        for (poll_within_ms, seed) in [(100.0, 1), (10_000.0, 2), (60_000.0, 3)] {
            for back in (0..40).map(|n| Duration::from_millis(500 * n + 130)) {
                let tasks = LocalSet::new();
                let work = async {
                    // The port is taken and nobody listens yet.
                    let socket = TcpSocket::new_v4().expect("a socket");
                    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
                    let address = socket.local_addr().expect("bound");
                    let drain_deadline = Duration::from_millis(500);
                    let harness = DiscoveryHarness::follow(
                        address,
                        settings(is_polled, poll_within_ms),
                        seed,
                        drain_deadline,
                        false,
                    );
                    let back = Instant::now() + back;
                    sleep_until(back).await;
                    agent(socket.listen(16).expect("it listens"), |_| AgentBehavior::List(1, true, 1));
                    harness.notified_of(1).await - back
                };
                let took = tasks.run_until(work).await;
                longest = longest.max(took);
                assert!(took <= NOTIFIED_WITHIN, "{is_polled} {poll_within_ms} {back:?}: {took:?}");
            }
        }
    }
    println!("the longest: {longest:?}");
}
