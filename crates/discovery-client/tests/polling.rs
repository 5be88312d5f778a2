//! Tests of `follow` against a scripted discovery server, over loopback connections and on a paused clock.

mod support;

use std::time::Duration;
use support::*;
use tokio::net::TcpSocket;
use tokio::task::LocalSet;
use tokio::time::{Instant, sleep_until};

/// After an accepted list the next poll is a watch from its version; otherwise it asks for the full list.
#[tokio::test(start_paused = true)]
async fn older_or_empty_lists_are_ignored() {
    let cases = [
        (Some(7), ScriptedAnswer::List(8, false, 1), true, true),
        (Some(7), ScriptedAnswer::List(7, false, 1), true, true), // the same version
        (Some(7), ScriptedAnswer::List(6, false, 1), true, false), // an older version
        (Some(7), ScriptedAnswer::List(8, true, 1), true, true),
        (Some(7), ScriptedAnswer::List(7, true, 1), true, true),
        (Some(7), ScriptedAnswer::List(6, true, 1), true, false),
        (None, ScriptedAnswer::List(6, true, 1), true, true), // discovery has restarted
        (Some(7), ScriptedAnswer::List(7, false, 0), true, true), // no change
        (Some(7), ScriptedAnswer::List(8, true, 0), true, false), // an empty full list
        (None, ScriptedAnswer::List(8, true, 0), true, false),
        (None, ScriptedAnswer::List(0, true, 0), false, true), // empty, and no backend is ready
    ];
    for (held_version, answer, is_serving, is_accepted) in cases {
        let tasks = LocalSet::new();
        tasks
            .run_until(async {
                let (listener, address) = bind_listener().await;
                let first = held_version.map(|seq| ScriptedAnswer::List(seq, true, 1));
                let script: Vec<ScriptedAnswer> = first.into_iter().chain([answer]).collect();
                let calls = scripted_discovery(listener, move |n| {
                    script.get(n).copied().unwrap_or(ScriptedAnswer::NoAnswer)
                });
                let drain_deadline = Duration::from_millis(500);
                let harness =
                    DiscoveryHarness::follow(address, settings(false, 0.0), 1, drain_deadline, is_serving);
                let index = usize::from(held_version.is_some()) + 1;
                wait_for_calls(&calls, index + 1).await;
                let ScriptedAnswer::List(seq, whole, hosts) = answer else {
                    unreachable!("every case is a list")
                };
                let path = calls.borrow()[index].1.clone();
                let is_watched = path.contains(&format!("after={seq}&"));
                assert_eq!(is_watched, is_accepted, "{held_version:?} {answer:?}: {path}");
                let new_lists = usize::from(is_accepted && (whole || hosts > 0));
                assert_eq!(
                    harness.received_lists.borrow().len(),
                    index - 1 + new_lists,
                    "{held_version:?} {answer:?}"
                );
            })
            .await;
    }
}

/// A change counts as notified 6 s after it was made, received or not, so a silent watch or a truncated
/// response must leave time for a second poll. After a silence of discovery as a whole, its changes count as
/// notified at once: then an unanswered poll and the pause must fit into the drain deadline.
#[tokio::test(start_paused = true)]
async fn silent_or_truncated_polls_are_retried_in_time() {
    let first_list = ScriptedAnswer::List(7, true, 1);
    for drain_deadline in [100, 250, 500, 2000, 10_000].map(Duration::from_millis) {
        for (script, within) in [
            (vec![first_list, ScriptedAnswer::NoAnswer], Duration::from_secs(4)),
            (vec![first_list, ScriptedAnswer::Truncated], Duration::from_secs(2)),
            (vec![first_list, ScriptedAnswer::NoAnswer, ScriptedAnswer::NoAnswer], drain_deadline),
            (vec![ScriptedAnswer::NoAnswer, ScriptedAnswer::NoAnswer], drain_deadline),
            (vec![ScriptedAnswer::NoAnswer, ScriptedAnswer::Truncated], drain_deadline),
        ] {
            let tasks = LocalSet::new();
            tasks
                .run_until(async {
                    let (listener, address) = bind_listener().await;
                    let (last, scripted) = (script.len(), script.clone());
                    let calls = scripted_discovery(listener, move |n| {
                        scripted.get(n).copied().unwrap_or(ScriptedAnswer::NoAnswer)
                    });
                    DiscoveryHarness::follow(address, settings(false, 0.0), 1, drain_deadline, true);
                    wait_for_calls(&calls, last + 1).await;
                    let retried_after = calls.borrow()[last].0 - calls.borrow()[last - 1].0;
                    assert!(retried_after <= within, "{script:?} {drain_deadline:?}: {retried_after:?}");
                })
                .await;
        }
    }
}

/// The worst case: discovery recovers just after the last of several failed polls was sent.
#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_after_failed_polls() {
    let mut longest_delay = Duration::ZERO;
    for failure in [
        ScriptedAnswer::NoAnswer,
        ScriptedAnswer::Truncated,
        ScriptedAnswer::EndlessBody,
        ScriptedAnswer::ServerError,
        ScriptedAnswer::CloseConnection,
        ScriptedAnswer::List(9, true, 0),
        ScriptedAnswer::List(6, false, 1),
    ] {
        for (is_polled, has_list) in [(false, false), (false, true), (true, false), (true, true)] {
            if failure == ScriptedAnswer::List(6, false, 1) && !has_list {
                continue; // No version is held that it could be older than.
            }
            for drain_deadline in [100, 500, 2000, 10_000].map(Duration::from_millis) {
                for (poll_within_ms, seed, failures) in
                    [(100.0, 1, 9), (10_000.0, 2, 1), (10_000.0, 3, 9), (60_000.0, 4, 1), (60_000.0, 5, 9)]
                {
                    let tasks = LocalSet::new();
                    let measurement = async {
                        let (listener, address) = bind_listener().await;
                        let calls = scripted_discovery(listener, move |n| match n {
                            0 if has_list => ScriptedAnswer::List(7, true, 1),
                            n if n < failures + usize::from(has_list) => failure,
                            _ => ScriptedAnswer::List(10, true, 2),
                        });
                        let settings = settings(is_polled, poll_within_ms);
                        let harness = DiscoveryHarness::follow(address, settings, seed, drain_deadline, true);
                        let last = failures + usize::from(has_list);
                        let notified = harness.wait_for_list_of(2).await;
                        notified - calls.borrow()[last - 1].0
                    };
                    let delay = tasks.run_until(measurement).await;
                    longest_delay = longest_delay.max(delay);
                    let case = format!(
                        "{failure:?} {is_polled} {has_list} {drain_deadline:?} {poll_within_ms} {failures}"
                    );
                    assert!(delay <= NOTIFICATION_LIMIT, "{case}: {delay:?}");
                }
            }
        }
    }
    println!("longest delay: {longest_delay:?}");
}

/// Guards against a late change where the watch, or a poll after failed ones, gets a late and truncated
/// response, and the next response is as late.
#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_from_slow_discovery() {
    let mut longest_delay = Duration::ZERO;
    for (drain_deadline, late) in [(500, 225), (2000, 450), (10_000, 450)] {
        for (failures, seed) in [1, 9].into_iter().flat_map(|f| (0..10).map(move |seed| (f, seed))) {
            let tasks = LocalSet::new();
            let measurement = async {
                let (listener, address) = bind_listener().await;
                let late = Duration::from_millis(late);
                let delay = AnswerDelay { head: late, body: late };
                let calls = slow_discovery(listener, delay, move |n| match n {
                    0 => ScriptedAnswer::List(7, true, 1),
                    n if n <= failures => ScriptedAnswer::Truncated,
                    _ => ScriptedAnswer::List(10, true, 2),
                });
                let drain_deadline = Duration::from_millis(drain_deadline);
                let harness =
                    DiscoveryHarness::follow(address, settings(true, 60_000.0), seed, drain_deadline, true);
                wait_for_calls(&calls, failures + 1).await;
                harness.wait_for_list_of(2).await - calls.borrow()[failures].0
            };
            let delay = tasks.run_until(measurement).await;
            longest_delay = longest_delay.max(delay);
            assert!(delay <= NOTIFICATION_LIMIT, "{drain_deadline} {failures} {seed}: {delay:?}");
        }
    }
    println!("longest delay: {longest_delay:?}");
}

/// Discovery refuses connections from the start and accepts them after outages of different lengths.
#[tokio::test(start_paused = true)]
async fn changes_arrive_in_time_after_refused_connections() {
    let mut longest_delay = Duration::ZERO;
    for is_polled in [false, true] {
        for (poll_within_ms, seed) in [(100.0, 1), (10_000.0, 2), (60_000.0, 3)] {
            for outage in (0..40).map(|n| Duration::from_millis(500 * n + 130)) {
                let tasks = LocalSet::new();
                let measurement = async {
                    // The port is bound but not listening yet.
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
                    let back_at = Instant::now() + outage;
                    sleep_until(back_at).await;
                    scripted_discovery(socket.listen(16).expect("it listens"), |_| {
                        ScriptedAnswer::List(1, true, 1)
                    });
                    harness.wait_for_list_of(1).await - back_at
                };
                let delay = tasks.run_until(measurement).await;
                longest_delay = longest_delay.max(delay);
                assert!(delay <= NOTIFICATION_LIMIT, "{is_polled} {poll_within_ms} {outage:?}: {delay:?}");
            }
        }
    }
    println!("longest delay: {longest_delay:?}");
}
