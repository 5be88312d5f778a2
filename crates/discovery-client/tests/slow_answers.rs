//! Guards against lists that are never received from slow discovery. While a fleet started, discovery took
//! 0.3 to 1.8 s, but a response later than half the drain deadline (0.5 s at most) was abandoned and polled
//! anew, with the same result. Requests then went to a backend for up to 10 s after it had begun to drain.

mod support;

use std::time::Duration;
use support::*;
use tokio::task::LocalSet;

/// The drain deadlines of the sites in use, and one that is longer than the notification deadline.
const DRAIN_DEADLINES_MS: [u64; 4] = [100, 500, 2000, 10_000];
/// The longest poll interval that occurs in settings, in milliseconds.
const POLL_WITHIN_MS: f64 = 10_000.0;

/// Runs a case with pushed and with polled lists, for each drain deadline and each delay of head or body.
async fn for_each_case(delays_ms: &[u64], case: impl AsyncFn(bool, Duration, AnswerDelay)) {
    for is_polled in [false, true] {
        for drain_deadline in DRAIN_DEADLINES_MS.map(Duration::from_millis) {
            for late in delays_ms.iter().copied().map(Duration::from_millis) {
                let late_head = AnswerDelay { head: late, body: Duration::ZERO };
                let late_body = AnswerDelay { head: Duration::ZERO, body: late };
                for delay in [late_head, late_body] {
                    LocalSet::new().run_until(case(is_polled, drain_deadline, delay)).await;
                }
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn first_list_is_accepted_from_slow_discovery() {
    for_each_case(&[300, 600, 1000, 1700, 2500], async |is_polled, drain_deadline, delay| {
        let (listener, address) = bind_listener().await;
        let calls = slow_discovery(listener, delay, |_| ScriptedAnswer::List(7, true, 2));
        let settings = settings(is_polled, POLL_WITHIN_MS);
        let harness = DiscoveryHarness::follow(address, settings, 1, drain_deadline, false);
        wait_for_calls(&calls, 1).await;
        let first_call = calls.borrow()[0].0;
        let notified = tokio::time::timeout(NOTIFICATION_LIMIT, harness.wait_for_list_of(2)).await;
        let case = format!("polled {is_polled}, drain deadline {drain_deadline:?}, {delay:?}");
        assert!(notified.is_ok(), "{case}: no list after {} calls", calls.borrow().len());
        assert!(notified.expect("checked") - first_call <= NOTIFICATION_LIMIT, "{case}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn slow_change_arrives_in_time_after_silent_watch() {
    for_each_case(&[300, 600, 1000, 1700], async |is_polled, drain_deadline, delay| {
        let (listener, address) = bind_listener().await;
        let calls = slow_discovery(listener, delay, |n| match n {
            0 => ScriptedAnswer::List(7, true, 1),
            1 => ScriptedAnswer::NoAnswer,
            _ => ScriptedAnswer::List(8, true, 2),
        });
        let settings = settings(is_polled, POLL_WITHIN_MS);
        let harness = DiscoveryHarness::follow(address, settings, 1, drain_deadline, true);
        wait_for_calls(&calls, 2).await;
        let silent_since = calls.borrow()[1].0;
        let notified = tokio::time::timeout(NOTIFICATION_LIMIT, harness.wait_for_list_of(2)).await;
        let case = format!("polled {is_polled}, drain deadline {drain_deadline:?}, {delay:?}");
        assert!(notified.is_ok(), "{case}: no change after {} calls", calls.borrow().len());
        assert!(notified.expect("checked") - silent_since <= NOTIFICATION_LIMIT, "{case}");
    })
    .await;
}

/// Guards against unresponsive discovery that exhausts a proxy's descriptors through waiting polls.
#[tokio::test(start_paused = true)]
async fn open_polls_are_bounded_at_unresponsive_discovery() {
    const MAX_WAITING_CALLS: usize = 5;
    for is_polled in [false, true] {
        for drain_deadline in DRAIN_DEADLINES_MS.map(Duration::from_millis) {
            let run = async {
                let (listener, address) = bind_listener().await;
                let open = count_open_connections(listener);
                let settings = settings(is_polled, POLL_WITHIN_MS);
                DiscoveryHarness::follow(address, settings, 1, drain_deadline, true);
                let mut most = 0;
                for _ in 0..2000 {
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    most = most.max(open.get());
                }
                assert!(most >= 1, "no connection was opened");
                assert!(most <= MAX_WAITING_CALLS, "polled {is_polled}, {drain_deadline:?}: {most}");
            };
            LocalSet::new().run_until(run).await;
        }
    }
}

/// Guards against a list that is never received because discovery takes longer than the poll interval.
#[tokio::test(start_paused = true)]
async fn list_is_accepted_after_any_response_delay() {
    for_each_case(&[4_000, 20_000], async |is_polled, drain_deadline, delay| {
        let (listener, address) = bind_listener().await;
        let calls = slow_discovery(listener, delay, |_| ScriptedAnswer::List(7, true, 2));
        let settings = settings(is_polled, POLL_WITHIN_MS);
        let harness = DiscoveryHarness::follow(address, settings, 1, drain_deadline, false);
        wait_for_calls(&calls, 1).await;
        let limit = delay.head + delay.body + NOTIFICATION_LIMIT;
        let notified = tokio::time::timeout(limit, harness.wait_for_list_of(2)).await;
        let case = format!("polled {is_polled}, drain deadline {drain_deadline:?}, {delay:?}");
        assert!(notified.is_ok(), "{case}: no list after {} calls", calls.borrow().len());
    })
    .await;
}

/// Guards against a list that is never received because polls lost in an outage stay overdue.
#[tokio::test(start_paused = true)]
async fn list_is_accepted_when_outage_polls_were_lost() {
    const LOST_CALLS: usize = 30;
    for_each_case(&[2_000, 4_000], async |is_polled, drain_deadline, delay| {
        let (listener, address) = bind_listener().await;
        let calls = slow_discovery(listener, delay, |n| match n {
            0..LOST_CALLS => ScriptedAnswer::NoAnswer,
            _ => ScriptedAnswer::List(7, true, 2),
        });
        let settings = settings(is_polled, POLL_WITHIN_MS);
        let harness = DiscoveryHarness::follow(address, settings, 1, drain_deadline, false);
        wait_for_calls(&calls, LOST_CALLS + 1).await;
        let limit = delay.head + delay.body + NOTIFICATION_LIMIT;
        let notified = tokio::time::timeout(limit, harness.wait_for_list_of(2)).await;
        let case = format!("polled {is_polled}, drain deadline {drain_deadline:?}, {delay:?}");
        assert!(notified.is_ok(), "{case}: no list after {} calls", calls.borrow().len());
    })
    .await;
}

/// Guards against drained backends that return to service because the response with an older list was late.
#[tokio::test(start_paused = true)]
async fn late_older_list_is_not_a_version_restart() {
    for_each_case(&[1_000, 4_000], async |is_polled, drain_deadline, delay| {
        let (listener, address) = bind_listener().await;
        slow_discovery(listener, delay, |n| match n {
            0 => ScriptedAnswer::List(7, true, 1),
            _ => ScriptedAnswer::List(6, true, 2),
        });
        let settings = settings(is_polled, POLL_WITHIN_MS);
        let harness = DiscoveryHarness::follow(address, settings, 1, drain_deadline, true);
        harness.wait_for_list_of(2).await;
        let case = format!("polled {is_polled}, drain deadline {drain_deadline:?}, {delay:?}");
        let first_older = harness.received_lists.borrow().iter().position(|(_, entries)| *entries == 2);
        assert!(harness.older_flags.borrow()[first_older.expect("it was notified")], "{case}");
    })
    .await;
}
