//! The rules against which a soak run is checked: those of the protocol and of the balancer's standing test,
//! each with its own tolerance.

use super::plan::SoakSettings;
use super::record::{
    AdminCall, AttemptEffect, AttemptRecord, ColdStart, DiscoveryOutage, Idempotency, ImproperRecord,
    Outcome, ProcessRecord, Records, ReloadRecord, RequestId, RequestRecord, UsageSample, WithdrawalCause,
};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Added to every limit of the protocol, because the run uses real sockets.
const SOCKET_TOLERANCE: Duration = Duration::from_millis(50);
/// Time by which a response may exceed its deadline.
const RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);
/// Time after its client's disconnect at which an attempt may still begin.
const DISCONNECT_TOLERANCE: Duration = Duration::from_millis(100);
/// Time by which the deadline sent to a backend may exceed the remaining time.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(150);
/// A close of a kept connection later than this after a request's last byte did not race with that request.
const CLOSE_RACE_LIMIT: Duration = Duration::from_millis(100);
/// Time within which a client that sends no complete request gets an error response or a close.
const IMPROPER_LIMIT: Duration = Duration::from_secs(3);
/// Time within which a change of the endpoint list takes effect, once discovery has it and is reachable.
const LIST_LIMIT: Duration = Duration::from_secs(6);
/// Time within which a new configuration takes effect after SIGHUP.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(4);
/// Time within which a process becomes ready after its start.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// Time within which the admin API responds.
const ADMIN_LIMIT: Duration = Duration::from_secs(1);
/// Below this mean number of requests the limit for a cold backend has the wider allowance for random
/// variation.
const WIDE_ALLOWANCE_BELOW_REQUESTS: f64 = 30.0;
/// Time after SIGTERM for which new connections are still accepted.
const ACCEPT_TIME_AFTER_SIGTERM: Duration = Duration::from_millis(400);

/// A rule that a run is checked against.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
pub enum Rule {
    /// A request gets one complete final answer in time.
    FinalAnswer,
    /// A request that the proxy has read gets a response.
    ReadAndClosed,
    /// A response belongs to the request that it answers.
    OwnAnswer,
    /// No attempt begins after its client has disconnected.
    DepartedClient,
    /// A request that must not run twice does not, and is not rejected after an attempt that may have run.
    Duplicate,
    /// The deadline sent to a backend is the remaining time.
    ToldDeadline,
    /// No new request is sent to a backend that drains, is suspended or was removed.
    Drain,
    /// A backend that is warming up gets no more requests than the settings allow.
    SlowStart,
    /// A change of the endpoint list takes effect in time.
    ListInForce,
    /// A new configuration takes effect in time.
    ConfigurationInForce,
    /// A client that sends no complete request gets an error response or a close.
    ImproperClient,
    /// A process becomes ready in time.
    Ready,
    /// A process exits only after SIGTERM, without SIGKILL, and successfully.
    Ends,
    /// Descriptors and memory stay within their limits.
    Limits,
    /// The admin API responds in time.
    Admin,
    /// The log has only lines that operators know.
    Log,
}

/// A violation of a rule.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// The request that broke the rule, if it was a single one.
    pub request: Option<RequestId>,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: ", self.rule)?;
        if let Some(request) = self.request {
            write!(formatter, "request {request:016x}: ")?;
        }
        formatter.write_str(&self.detail)
    }
}

/// Checks the records of a run against all rules.
pub fn check(records: &Records, settings: &SoakSettings) -> Vec<Violation> {
    let checker = Checker::new(records, settings);
    let mut violations = Vec::new();
    for (&id, request) in &records.requests {
        violations.extend(checker.check_final_answer(id, request));
        violations.extend(checker.check_own_answer(id, request));
        violations.extend(checker.check_departed_client(id, request));
        violations.extend(checker.check_duplicate(id, request));
        violations.extend(checker.check_told_deadline(id, request));
    }
    violations.extend(records.attempts.iter().filter_map(|attempt| checker.check_drain(attempt)));
    violations.extend(records.cold_starts.iter().filter_map(|start| checker.check_slow_start(start)));
    violations.extend(checker.check_list_in_force());
    violations.extend(records.reloads.iter().find_map(|reload| checker.check_configuration_in_force(reload)));
    violations.extend(records.improper.iter().filter_map(check_improper_client));
    violations.extend(records.processes.iter().flat_map(check_process));
    violations.extend(records.usage.iter().find_map(|sample| checker.check_limits(sample)));
    violations.extend(records.admin_calls.iter().filter_map(check_admin_call));
    violations
}

fn request_violation(rule: Rule, request: RequestId, detail: String) -> Option<Violation> {
    Some(Violation { rule, request: Some(request), detail })
}

struct Checker<'a> {
    records: &'a Records,
    settings: &'a SoakSettings,
    attempts: BTreeMap<RequestId, Vec<&'a AttemptRecord>>,
}

impl<'a> Checker<'a> {
    fn new(records: &'a Records, settings: &'a SoakSettings) -> Self {
        let mut attempts: BTreeMap<RequestId, Vec<&AttemptRecord>> = BTreeMap::new();
        for attempt in &records.attempts {
            attempts.entry(attempt.request).or_default().push(attempt);
        }
        Checker { records, settings, attempts }
    }

    fn attempts_of(&self, id: RequestId) -> &[&'a AttemptRecord] {
        self.attempts.get(&id).map_or(&[], Vec::as_slice)
    }

    fn check_final_answer(&self, id: RequestId, request: &RequestRecord) -> Option<Violation> {
        let complete_at = request.complete_at?;
        let own_latest = complete_at + request.deadline + RESPONSE_TOLERANCE + SOCKET_TOLERANCE;
        // Responses on a connection are sent in the order of the requests.
        let in_turn = self.answered_at(request.behind).map(|at| at + SOCKET_TOLERANCE);
        let latest = in_turn.unwrap_or_default().max(own_latest);
        match &request.outcome {
            Some(Outcome::Left { .. }) => None,
            Some(Outcome::Answered { at, .. }) | Some(Outcome::BrokenAnswer { at }) if *at <= latest => None,
            Some(Outcome::Answered { at, .. }) | Some(Outcome::BrokenAnswer { at }) => {
                request_violation(Rule::FinalAnswer, id, format!("answered {:?} too late", *at - latest))
            }
            Some(Outcome::Closed { at }) => self.check_closed_unanswered(id, request, *at),
            None => request_violation(Rule::FinalAnswer, id, "no answer and no close".to_string()),
        }
    }

    fn answered_at(&self, request: Option<RequestId>) -> Option<Duration> {
        match self.records.requests.get(&request?)?.outcome {
            Some(Outcome::Answered { at, .. }) => Some(at),
            _ => None,
        }
    }

    /// Checks a request whose connection was closed without a response. A connection may be closed between
    /// requests, and a client may send a request that raced with the close again. The connection of a first
    /// request may be closed unread during a crowd or while the listener closes.
    fn check_closed_unanswered(
        &self,
        id: RequestId,
        request: &RequestRecord,
        at: Duration,
    ) -> Option<Violation> {
        if !self.attempts_of(id).is_empty() {
            return request_violation(
                Rule::ReadAndClosed,
                id,
                "attempted, then closed unanswered".to_string(),
            );
        }
        // A request that was pipelined behind another one may not have been read.
        if request.behind.is_some() {
            return None;
        }
        let waited = at - request.complete_at.unwrap_or(at);
        if request.is_first_on_connection {
            if self.is_during_crowd(at) || self.is_listener_closing(at) {
                return None;
            }
            return request_violation(
                Rule::ReadAndClosed,
                id,
                format!("closed unanswered after {waited:?}, a new connection"),
            );
        }
        if waited <= CLOSE_RACE_LIMIT {
            return None;
        }
        request_violation(
            Rule::ReadAndClosed,
            id,
            format!("closed unanswered after {waited:?}, a kept connection"),
        )
    }

    fn is_during_crowd(&self, at: Duration) -> bool {
        self.records.crowd.is_some_and(|(from, until)| (from..=until + RESPONSE_TOLERANCE).contains(&at))
    }

    fn is_listener_closing(&self, at: Duration) -> bool {
        let processes = &self.records.processes;
        let is_ending = |process: &ProcessRecord| {
            process.terminated_at.is_some_and(|terminated_at| at >= terminated_at + ACCEPT_TIME_AFTER_SIGTERM)
        };
        let is_serving = |process: &ProcessRecord| {
            process.ready_at.is_some_and(|ready_at| ready_at <= at)
                && process.terminated_at.is_none_or(|terminated_at| at < terminated_at)
        };
        processes.iter().any(is_ending) && !processes.iter().any(is_serving)
    }

    fn check_own_answer(&self, id: RequestId, request: &RequestRecord) -> Option<Violation> {
        match request.outcome {
            Some(Outcome::Answered { status: 200, is_own_body: false, .. }) => {
                request_violation(Rule::OwnAnswer, id, "served with another body".to_string())
            }
            _ => None,
        }
    }

    fn check_departed_client(&self, id: RequestId, request: &RequestRecord) -> Option<Violation> {
        let Some(Outcome::Left { at }) = request.outcome else { return None };
        let latest = at + DISCONNECT_TOLERANCE + SOCKET_TOLERANCE;
        let late = self.attempts_of(id).iter().find(|attempt| attempt.first_byte_at > latest)?;
        let detail =
            format!("attempt at {} {:?} after its client left", late.backend, late.first_byte_at - at);
        request_violation(Rule::DepartedClient, id, detail)
    }

    fn check_duplicate(&self, id: RequestId, request: &RequestRecord) -> Option<Violation> {
        let mut runs =
            self.attempts_of(id).iter().filter(|attempt| attempt.effect == AttemptEffect::MayHaveRun);
        let first = runs.next()?;
        let is_refused = matches!(request.outcome, Some(Outcome::Answered { status: 429 | 503, .. }));
        match request.idempotency {
            Idempotency::Idempotent => None,
            Idempotency::Deduplicated => {
                let window = self.settings.deduplication_window + SOCKET_TOLERANCE;
                let late = runs.find(|attempt| attempt.first_byte_at > first.first_byte_at + window)?;
                let age = late.first_byte_at - first.first_byte_at;
                request_violation(Rule::Duplicate, id, format!("repeated {age:?} after it may have run"))
            }
            Idempotency::NonIdempotent => match runs.next() {
                Some(again) => {
                    let detail = format!("ran at {} and at {}", first.backend, again.backend);
                    request_violation(Rule::Duplicate, id, detail)
                }
                None if is_refused => {
                    let detail = format!("refused, and may have run at {}", first.backend);
                    request_violation(Rule::Duplicate, id, detail)
                }
                None => None,
            },
        }
    }

    fn check_told_deadline(&self, id: RequestId, request: &RequestRecord) -> Option<Violation> {
        let complete_at = request.complete_at?;
        self.attempts_of(id).iter().find_map(|attempt| {
            let sent = attempt.sent_deadline?;
            let remaining = (complete_at + request.deadline).saturating_sub(attempt.first_byte_at);
            let limit = remaining + DEADLINE_TOLERANCE;
            let detail = format!("{} was told {sent:?}, {remaining:?} were left", attempt.backend);
            if sent > limit { request_violation(Rule::ToldDeadline, id, detail) } else { None }
        })
    }

    /// Returns the earliest time at which discovery was reachable for long enough to deliver a change.
    fn reachable_at(&self, changed_at: Duration) -> Duration {
        let mut reachable_at = changed_at;
        for outage in &self.records.discovery_outages {
            if outage.from < reachable_at + LIST_LIMIT && outage.until > reachable_at {
                reachable_at = outage.until;
            }
        }
        reachable_at
    }

    /// Returns when the proxy counts as notified of a change: as soon as discovery has written it, and at the
    /// latest `LIST_LIMIT` after discovery is reachable. If the list is watched and discovery responds, the
    /// latest time is that of the change; a watch that an outage has broken may take as long as a poll.
    fn notified_at(&self, changed_at: Duration, version: Option<u64>) -> Duration {
        let is_near =
            |outage: &DiscoveryOutage| outage.from <= changed_at && changed_at <= outage.until + LIST_LIMIT;
        let had_outage = self.records.discovery_outages.iter().any(is_near);
        let latest = if self.settings.is_polled || had_outage {
            self.reachable_at(changed_at) + LIST_LIMIT
        } else {
            changed_at
        };
        self.written_at(version).map_or(latest, |written_at| written_at.min(latest))
    }

    /// Returns when discovery had written a version to the only process, or `None` while there are several
    /// processes, because the records do not show which of them got it.
    fn written_at(&self, version: Option<u64>) -> Option<Duration> {
        let version = version?;
        let response = self.records.list_responses.iter().find(|response| response.version >= version)?;
        let is_alive = |process: &&ProcessRecord| {
            process.started_at <= response.at
                && process.ended_at.is_none_or(|ended_at| ended_at > response.at)
        };
        let processes = self.records.processes.iter().filter(is_alive).count();
        if processes > 1 { None } else { Some(response.at) }
    }

    fn check_drain(&self, attempt: &AttemptRecord) -> Option<Violation> {
        let withdrawn = self.records.withdrawals.iter().find(|withdrawal| {
            let deadline = match withdrawal.cause {
                WithdrawalCause::Listed => self.settings.drain_deadline,
                WithdrawalCause::Suspended => Duration::ZERO,
            };
            let notified_at = match withdrawal.cause {
                WithdrawalCause::Listed => self.notified_at(withdrawal.from, withdrawal.version),
                WithdrawalCause::Suspended => withdrawal.from,
            };
            let latest = notified_at + deadline + SOCKET_TOLERANCE;
            let is_over = withdrawal.until.is_some_and(|until| attempt.first_byte_at >= until);
            withdrawal.backend == attempt.backend && attempt.first_byte_at > latest && !is_over
        })?;
        let age = attempt.first_byte_at - withdrawn.from;
        let detail = format!("sent to {} {age:?} after it was {:?}", attempt.backend, withdrawn.cause);
        request_violation(Rule::Drain, attempt.request, detail)
    }

    /// Checks that the number of requests that a cold backend gets in any window of `overload_span` stays
    /// within what the settings allow at that time.
    fn check_slow_start(&self, start: &ColdStart) -> Option<Violation> {
        let end = start.at + self.settings.warm_up;
        let notified_at = self.notified_at(start.at, None);
        let arrivals: Vec<Duration> = self
            .records
            .attempts
            .iter()
            .filter(|attempt| attempt.backend == start.backend)
            .map(|attempt| attempt.complete_at)
            .filter(|at| (notified_at..end).contains(at))
            .collect();
        let span = self.settings.overload_span;
        for (index, &from) in arrivals.iter().enumerate() {
            let count = arrivals[index..].iter().take_while(|&&at| at < from + span).count();
            let limit = self.limit_while_cold(start, from);
            if count as f64 > limit {
                let age = from - start.at;
                let detail = format!(
                    "{} got {count} requests in {span:?}, {age:?} after its start, of {limit:.0}",
                    start.backend
                );
                return Some(Violation { rule: Rule::SlowStart, request: None, detail });
            }
        }
        None
    }

    fn limit_while_cold(&self, start: &ColdStart, from: Duration) -> f64 {
        let settings = self.settings;
        let progress = (from - start.at).as_secs_f64() / settings.warm_up.as_secs_f64();
        let fraction = settings.initial_capacity + (1.0 - settings.initial_capacity) * progress;
        let mean =
            settings.overload_multiple * fraction * start.warm_rate * settings.overload_span.as_secs_f64();
        if mean < WIDE_ALLOWANCE_BELOW_REQUESTS {
            mean + 3.0 * mean.sqrt() + 3.0
        } else {
            mean + 2.0 * mean.sqrt() + 2.0
        }
    }

    /// Checks that each change of the endpoint list, or a later one, takes effect in time in each process
    /// that runs for that long.
    fn check_list_in_force(&self) -> Option<Violation> {
        for process in &self.records.processes {
            for change in &self.records.list_changes {
                let reachable_at = self.reachable_at(change.at);
                let from = process.ready_at.unwrap_or(process.started_at).max(reachable_at);
                let latest = from + LIST_LIMIT + SOCKET_TOLERANCE;
                let ends_at = process.terminated_at.or(process.ended_at);
                if ends_at.is_some_and(|ends_at| ends_at < latest) {
                    continue;
                }
                let reported = process
                    .log
                    .iter()
                    .find(|(_, line)| list_version(line).is_some_and(|version| version >= change.version));
                if reported.is_none_or(|(at, _)| *at > latest) {
                    let detail =
                        format!("version {} is not in force {LIST_LIMIT:?} after {from:?}", change.version);
                    return Some(Violation { rule: Rule::ListInForce, request: None, detail });
                }
            }
        }
        None
    }

    /// Checks that a new configuration, or a later one, takes effect in time in a process that runs for that
    /// long.
    fn check_configuration_in_force(&self, reload: &ReloadRecord) -> Option<Violation> {
        let process = self.records.processes.get(reload.process)?;
        let latest = reload.at + CONFIGURATION_LIMIT + SOCKET_TOLERANCE;
        let ends_at = process.terminated_at.or(process.ended_at);
        if ends_at.is_some_and(|ends_at| ends_at < latest) {
            return None;
        }
        let is_applied = |(at, line): &(Duration, String)| {
            *at <= latest && configuration_version(line).is_some_and(|version| version >= reload.version)
        };
        if process.log.iter().any(is_applied) {
            return None;
        }
        let (version, at) = (reload.version, reload.at);
        let detail = format!("version {version} is not in force {CONFIGURATION_LIMIT:?} after {at:?}");
        Some(Violation { rule: Rule::ConfigurationInForce, request: None, detail })
    }

    fn check_limits(&self, sample: &UsageSample) -> Option<Violation> {
        let is_within = sample.descriptors <= self.settings.max_descriptors
            && sample.memory <= self.settings.memory_bytes;
        let detail =
            format!("{} descriptors, {} bytes at {:?}", sample.descriptors, sample.memory, sample.at);
        if is_within { None } else { Some(Violation { rule: Rule::Limits, request: None, detail }) }
    }
}

/// Returns the version of the endpoint list that a log line reports to be in force, if it reports one.
fn list_version(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("endpoint list ")?;
    let (version, _) = rest.split_once(" in force")?;
    version.parse().ok()
}

/// Returns the version of the configuration that a log line reports to be applied, if it reports one.
fn configuration_version(line: &str) -> Option<u64> {
    let (_, rest) = line.split_once("configuration applied, version ")?;
    let (version, _) = rest.split_once(',')?;
    version.parse().ok()
}

fn check_improper_client(client: &ImproperRecord) -> Option<Violation> {
    let latest = client.connected_at + IMPROPER_LIMIT + SOCKET_TOLERANCE;
    let detail = match client.ended_at {
        Some(ended_at) if ended_at <= latest => return None,
        Some(ended_at) => format!("ended after {:?}", ended_at - client.connected_at),
        None => format!("no error and no close after {:?}", client.connected_at),
    };
    Some(Violation { rule: Rule::ImproperClient, request: None, detail })
}

fn check_process(process: &ProcessRecord) -> Vec<Violation> {
    let mut violations = Vec::new();
    let mut add_violation = |rule, detail: String| violations.push(Violation { rule, request: None, detail });
    let is_terminated_before_ready = process.terminated_at.is_some() && process.ready_at.is_none();
    let is_ready = process.ready_at.is_some_and(|at| at <= process.started_at + READY_LIMIT);
    if !is_ready && !is_terminated_before_ready {
        add_violation(
            Rule::Ready,
            format!("started at {:?}, ready at {:?}", process.started_at, process.ready_at),
        );
    }
    if process.was_killed {
        add_violation(
            Rule::Ends,
            format!("told to end at {:?}, still there at the kill", process.terminated_at),
        );
    } else if process.terminated_at.is_none() && process.ended_at.is_some() {
        add_violation(Rule::Ends, format!("ended at {:?} without being told", process.ended_at));
    } else if process.ended_at.is_some() && process.ready_at.is_some() && !process.is_success {
        add_violation(Rule::Ends, "ended with an error".to_string());
    }
    if let Some((at, line)) = process.log.iter().find(|(_, line)| !is_known_line(line)) {
        add_violation(Rule::Log, format!("at {at:?}: {line}"));
    }
    violations
}

fn check_admin_call(call: &AdminCall) -> Option<Violation> {
    if call.took.is_some_and(|took| took <= ADMIN_LIMIT + SOCKET_TOLERANCE) {
        return None;
    }
    let detail = format!("{} at {:?} took {:?}", call.path, call.at, call.took);
    Some(Violation { rule: Rule::Admin, request: None, detail })
}

/// Parts of the log lines that operators know.
const KNOWN_LINES: [&str; 30] = [
    "admin API at ",
    "listening on ",
    "endpoint list ",
    "discovery: ",
    "processes of this proxy: ",
    "configuration applied",
    "SIGHUP: ",
    "reading the file again for up to ",
    "binding it again for up to ",
    " timed out after",
    "configuration rejected: ",
    "stopping, ",
    "no space for clients",
    "backend ",
    "draining",
    "active again",
    "rejected after",
    "rejected by a backend",
    "failed after",
    "client disconnected",
    "aborted by its client",
    "timed out by the planned stop",
    "lines of this log were lost",
    " rejected ",
    " failed ",
    "in flight",
    "Timeout",
    "Reset",
    "Error",
    "Cancelled",
];

fn is_known_line(line: &str) -> bool {
    !line.contains("panicked") && KNOWN_LINES.iter().any(|known| line.contains(known))
}
