//! How long a response is buffered, by the time at which it comes.

use foldhitch_balancer::api::ResponseBuffering;

const OBJECTIVE_MS: f64 = 400.0;
const CLIENT_TIMEOUT_MS: f64 = 1600.0;
/// How long clients let the first part of a response be held back.
const MAX_HELD_BACK_MS: f64 = 2000.0;

fn buffering(latency_objective_ms: f64) -> ResponseBuffering {
    ResponseBuffering {
        latency_objective_ms,
        max_error_pause_ms: 500.0,
        max_served_pause_ms: 500.0,
        max_open_ended_pause_ms: 3000.0,
    }
}

/// Guards against a response that is forwarded at once because it comes late.
#[test]
fn response_is_buffered_whenever_it_comes() {
    for elapsed_ms in [0.0, 299.0, 300.0, 301.0, 399.0, 400.0, 401.0, 1200.0, 1590.0] {
        assert!(buffering(OBJECTIVE_MS).buffer_head_for_ms(elapsed_ms, CLIENT_TIMEOUT_MS) > 0.0);
        assert!(buffering(OBJECTIVE_MS).buffer_body_for_ms(elapsed_ms, CLIENT_TIMEOUT_MS) > 0.0);
    }
}

/// Guards against a response in time whose first byte misses the objective for being buffered.
#[test]
fn early_response_is_forwarded_before_the_objective() {
    for elapsed_ms in [0.0, 50.0] {
        let body_ms = buffering(OBJECTIVE_MS).buffer_body_for_ms(elapsed_ms, CLIENT_TIMEOUT_MS);
        assert!(elapsed_ms + body_ms < OBJECTIVE_MS, "{body_ms}");
    }
}

/// Guards against a wait beyond the client's timeout, or one without an end behind it.
#[test]
fn response_is_not_buffered_behind_the_timeout() {
    for elapsed_ms in [CLIENT_TIMEOUT_MS, CLIENT_TIMEOUT_MS + 1.0, f64::MAX] {
        assert_eq!(buffering(OBJECTIVE_MS).buffer_head_for_ms(elapsed_ms, CLIENT_TIMEOUT_MS), 0.0);
        assert_eq!(buffering(OBJECTIVE_MS).buffer_body_for_ms(elapsed_ms, CLIENT_TIMEOUT_MS), 0.0);
    }
}

/// Guards against a body that is held back for long because its client has time.
#[test]
fn body_is_held_back_for_a_limited_time() {
    for (objective_ms, timeout_ms) in [(20_000.0, 60_000.0), (10.0, 60_000.0), (60_000.0, 60_000.0)] {
        let body_ms = buffering(objective_ms).buffer_body_for_ms(0.0, timeout_ms);
        assert!(body_ms < MAX_HELD_BACK_MS, "{body_ms}");
    }
}
