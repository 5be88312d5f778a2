//! The endpoint list: polling, the listed backends, suspension by the operators, and draining.

use super::state::{Backend, Health};
use super::{POLL_TIMER, Policy};
use crate::api::{Action, BackendId, EndpointInfo, EndpointListKind, NOTIFICATION_DEADLINE_MS, Phase};
use crate::collections::ByClass;
use crate::stats::PriorMean;

/// Maximum delay before a poll in milliseconds. The rest of the notification deadline is left for the
/// polls.
const MAX_POLL_DELAY_MS: f64 = NOTIFICATION_DEADLINE_MS / 3.0;
/// Delay after a first failed poll, as a fraction of the longest delay.
const POLL_RETRY_BASE_FRACTION: f64 = 0.5;
/// Doublings of the retry delay: from the second failure on it is the longest delay.
const MAX_POLL_RETRY_DOUBLINGS: u32 = 1;
/// Maximum fraction by which jitter shortens the retry delay.
const POLL_JITTER_FRACTION: f64 = 0.5;

impl Policy {
    /// Schedules a poll after `share` of the longest delay, unless one is scheduled already.
    pub fn schedule_poll(&mut self, share: f64) {
        if !self.is_poll_scheduled {
            self.is_poll_scheduled = true;
            let max_delay_ms = self.settings.guarantees.poll_within_ms.clamp(1.0, MAX_POLL_DELAY_MS);
            self.actions.push(Action::SetTimer { delay_ms: share * max_delay_ms, token: POLL_TIMER });
        }
    }

    pub fn on_poll_timer(&mut self) {
        self.is_poll_scheduled = false;
        self.actions.push(Action::PollEndpoints);
    }

    pub fn on_endpoint_list(&mut self, kind: EndpointListKind, endpoints: Vec<EndpointInfo>) {
        if kind == EndpointListKind::Failed {
            // Jitter keeps instances whose polls failed together from polling together again.
            let share = self.poll_backoff.next(POLL_RETRY_BASE_FRACTION, MAX_POLL_RETRY_DOUBLINGS);
            let jitter = 1.0 - POLL_JITTER_FRACTION * self.rng.f64();
            return self.schedule_poll(share * jitter);
        }
        self.poll_backoff.reset();
        if kind != EndpointListKind::Delta {
            self.backends.values_mut().for_each(|backend| backend.endpoint.phase = Phase::Removed);
        }
        for endpoint in endpoints {
            self.on_endpoint(endpoint);
        }
        self.backends
            .retain(|_, backend| !backend.calls.is_empty() || backend.endpoint.phase != Phase::Removed);
        self.rebuild_ring();
    }

    fn on_endpoint(&mut self, mut endpoint: EndpointInfo) {
        let id = endpoint.backend;
        endpoint.started_at_ms = endpoint.started_at_ms.max(self.suspensions.resumed_at_ms(id));
        let known = self.backends.get(&id);
        if known.is_none_or(|backend| backend.endpoint.started_at_ms != endpoint.started_at_ms) {
            self.reset_backend(id);
        }
        self.backends.entry(id).or_default().endpoint = endpoint;
        self.close_idle_connections(id);
    }

    /// Resets a backend whose process was replaced: only its endpoint and its calls are kept of its record.
    fn reset_backend(&mut self, id: BackendId) {
        let old = self.backends.remove(&id).unwrap_or_default();
        let mut backend = Backend {
            endpoint: old.endpoint,
            calls: old.calls,
            relative_latency: PriorMean::new(1.0),
            health: ByClass::new(Health::responsive_at(self.now_ms), self.classes.len()),
            slow_start_budget: self.initial_slow_start_budget(id),
            ..Backend::default()
        };
        backend.endpoint.started_at_ms =
            backend.endpoint.started_at_ms.max(self.suspensions.resumed_at_ms(id));
        self.backends.insert(id, backend);
    }

    /// Suspends or resumes a backend. A resumed backend counts as started now: it was restarted, which the
    /// endpoint list may not show.
    pub fn on_set_suspended(&mut self, id: BackendId, is_suspended: bool) {
        if is_suspended == self.suspensions.is_suspended(id) {
            return;
        }
        if is_suspended {
            self.suspensions.suspend(id, self.subset.members().contains(&id));
        } else {
            self.suspensions.resume(id, self.now_ms);
            if self.backends.contains_key(&id) {
                self.reset_backend(id);
            }
        }
        self.actions.push(Action::SetSuspended { backend: id, is_suspended });
        self.rebuild_ring();
    }

    /// Returns the backends that are listed as ready and not suspended, in ring order.
    pub fn ready_backends(&self) -> impl Iterator<Item = (BackendId, &Backend)> {
        let ready = self.backends.iter().filter(|(_, backend)| backend.endpoint.phase == Phase::Ready);
        let members = ready.filter(|(id, _)| !self.suspensions.is_suspended(**id));
        members.map(|(&id, backend)| (id, backend))
    }

    /// Closes the idle connections to a backend that is draining or removed: when the list says so, and
    /// after each outcome at that backend.
    pub fn close_idle_connections(&mut self, id: BackendId) {
        let is_leaving = self.backends.get(&id).is_some_and(|b| b.endpoint.phase != Phase::Ready);
        if is_leaving && self.settings.guarantees.idle_release_ms > 0.0 {
            self.actions.push(Action::CloseIdleConnections { backend: id });
        }
    }
}
