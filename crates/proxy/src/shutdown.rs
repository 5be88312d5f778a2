//! The steps of a planned stop: the readiness check fails, no new connections are accepted, idle connections
//! are closed, and the process exits.

use crate::dispatcher::Dispatcher;
use crate::downstream::ListenerPhase;
use crate::error::ProxyError;
use crate::log::log;
use crate::milliseconds::duration_from_ms;
use crate::startup::RunningProxy;
use foldhitch_balancer::settings_format::SiteSettings;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};

/// How long new connections may still arrive after SIGTERM.
const ACCEPT_DELAY: Duration = Duration::from_millis(500);
/// A kill follows SIGTERM no sooner than the longest client timeout, which counts up to this maximum, plus
/// [`KILL_MARGIN`].
const MAX_COUNTED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Added to the longest client timeout: all admitted requests must be answered clearly before a kill.
const KILL_MARGIN: Duration = Duration::from_millis(300);

/// The durations of a planned stop.
struct StopTimes {
    /// The time within which all requests must be answered.
    answer_within: Duration,
    /// How long clients may continue to use their connections. Other instances may be down as well, so this
    /// lasts for as long as a request can still meet its latency objective.
    keep_connections_for: Duration,
}

impl StopTimes {
    fn new(dispatcher: &Dispatcher) -> Self {
        let client_timeout = |site: &SiteSettings| {
            let timeout = duration_from_ms(site.longest_client_timeout_ms);
            if timeout.is_zero() {
                MAX_COUNTED_CLIENT_TIMEOUT
            } else {
                timeout.min(MAX_COUNTED_CLIENT_TIMEOUT)
            }
        };
        let objective = |site: &SiteSettings| duration_from_ms(site.longest_latency_objective_ms);
        let answer_within = dispatcher.max_over_settings(client_timeout) + KILL_MARGIN;
        let keep_connections_for = answer_within.saturating_sub(dispatcher.max_over_settings(objective));
        StopTimes { answer_within, keep_connections_for: keep_connections_for.max(ACCEPT_DELAY) }
    }
}

/// Stops a proxy: answers the pending requests, and returns when the last connection is closed.
pub async fn stop(proxy: RunningProxy) -> Result<(), ProxyError> {
    let RunningProxy { dispatcher, admin, phase, mut serving } = proxy;
    log!("stopping, {} requests open", dispatcher.pending_requests());
    if let Some(admin) = &admin {
        admin.stop_serving();
    }
    let times = StopTimes::new(&dispatcher);
    let stop_at = Instant::now() + times.answer_within;
    dispatcher.stop_by(stop_at);
    if *dispatcher.process_count().borrow() > 1 {
        phase.send_replace(ListenerPhase::HandedOver);
        sleep(ACCEPT_DELAY).await;
    } else {
        sleep(ACCEPT_DELAY).await;
        phase.send_replace(ListenerPhase::NotAccepting);
    }
    sleep(times.keep_connections_for.saturating_sub(ACCEPT_DELAY)).await;
    phase.send_replace(ListenerPhase::ClosingIdle);
    if let Ok(served) = timeout_at(stop_at + ACCEPT_DELAY, &mut serving).await {
        return Ok(served?);
    }
    // All requests are answered by then. An exit would cut the long responses that are still forwarded.
    phase.send_replace(ListenerPhase::FinishingAnswers);
    Ok(serving.await?)
}
