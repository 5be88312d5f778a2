//! Each rule of the soak is checked against records that just keep it and against records that break it.

use foldhitch_scale_test::soak::plan::{SoakPlan, SoakSettings};
use foldhitch_scale_test::soak::record::*;
use foldhitch_scale_test::soak::rules::{Rule, check};
use std::time::Duration;

const ID: RequestId = 7;
/// Time at which the request of these tests was sent completely.
const SENT_AT: Duration = ms(1000);
const DEADLINE: Duration = ms(1000);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn settings() -> SoakSettings {
    SoakSettings {
        is_polled: false,
        drain_deadline: ms(500),
        deduplication_window: ms(2000),
        warm_up: ms(4000),
        initial_capacity: 0.25,
        overload_multiple: 2.0,
        overload_span: ms(1000),
        max_descriptors: 100,
        memory_bytes: 1 << 20,
        ..SoakPlan::draw(1).settings
    }
}

fn request(idempotency: Idempotency, outcome: Option<Outcome>) -> RequestRecord {
    RequestRecord {
        class: "look".to_string(),
        idempotency,
        deadline: DEADLINE,
        is_first_on_connection: true,
        behind: None,
        complete_at: Some(SENT_AT),
        outcome,
    }
}

fn served(at: Duration) -> Option<Outcome> {
    Some(Outcome::Answered { status: 200, is_own_body: true, at })
}

fn attempt(at: Duration, effect: AttemptEffect) -> AttemptRecord {
    AttemptRecord {
        request: ID,
        backend: "s-1".to_string(),
        first_byte_at: at,
        complete_at: at,
        sent_deadline: None,
        effect,
    }
}

fn with_request(request: RequestRecord, attempts: Vec<AttemptRecord>) -> Records {
    Records { requests: [(ID, request)].into(), attempts, ..Records::default() }
}

fn process() -> ProcessRecord {
    ProcessRecord { ready_at: Some(ms(100)), is_success: true, ..ProcessRecord::default() }
}

fn with_process(process: ProcessRecord) -> Records {
    Records { processes: vec![process], ..Records::default() }
}

/// Returns the rules that `records` breaks.
fn broken(records: &Records) -> Vec<Rule> {
    let mut rules: Vec<Rule> =
        check(records, &settings()).into_iter().map(|violation| violation.rule).collect();
    rules.dedup();
    rules
}

fn assert_rule_detects(rule: Rule, kept: &Records, broken_records: &Records) {
    assert_eq!(broken(kept), [], "{rule:?} is kept");
    assert_eq!(broken(broken_records), [rule], "{rule:?} is broken");
}

#[test]
fn final_answer_comes_within_half_a_second_of_the_deadline() {
    let answered = |at| with_request(request(Idempotency::Idempotent, served(at)), Vec::new());
    let latest = SENT_AT + DEADLINE + ms(550);

    assert_rule_detects(Rule::FinalAnswer, &answered(latest), &answered(latest + ms(1)));

    let in_turn = |at| {
        let late = SENT_AT + DEADLINE * 2;
        let first =
            RequestRecord { deadline: DEADLINE * 2, ..request(Idempotency::Idempotent, served(late)) };
        let second =
            RequestRecord { behind: Some(ID), ..request(Idempotency::Idempotent, served(late + at)) };
        Records { requests: [(ID, first), (ID + 1, second)].into(), ..Records::default() }
    };

    assert_rule_detects(Rule::FinalAnswer, &in_turn(ms(50)), &in_turn(ms(51)));

    let never = with_request(request(Idempotency::Idempotent, None), Vec::new());
    assert_eq!(broken(&never), [Rule::FinalAnswer]);
}

#[test]
fn a_request_that_was_read_is_not_closed_unanswered() {
    let closed = |is_first_on_connection, after, attempts| {
        let outcome = Some(Outcome::Closed { at: SENT_AT + after });
        let request = request(Idempotency::Idempotent, outcome);
        with_request(RequestRecord { is_first_on_connection, ..request }, attempts)
    };
    let close_race = closed(false, ms(100), Vec::new());

    assert_rule_detects(Rule::ReadAndClosed, &close_race, &closed(false, ms(101), Vec::new()));
    assert_eq!(broken(&closed(true, ms(1), Vec::new())), [Rule::ReadAndClosed], "a new connection");

    let attempts = vec![attempt(SENT_AT, AttemptEffect::Declined)];
    assert_eq!(
        broken(&closed(false, ms(1), attempts)),
        [Rule::ReadAndClosed],
        "a backend received an attempt"
    );

    let in_crowd = Records { crowd: Some((ms(0), ms(5000))), ..closed(true, ms(1), Vec::new()) };
    assert_eq!(broken(&in_crowd), [], "during a crowd a new connection may be closed unread");
}

#[test]
fn an_answer_is_that_of_its_request() {
    let answered = |is_own_body| {
        let outcome = Outcome::Answered { status: 200, is_own_body, at: SENT_AT };
        with_request(request(Idempotency::Idempotent, Some(outcome)), Vec::new())
    };

    assert_rule_detects(Rule::OwnAnswer, &answered(true), &answered(false));
}

#[test]
fn no_attempt_begins_after_its_client_has_left() {
    let left = |after| {
        let request = request(Idempotency::Idempotent, Some(Outcome::Left { at: SENT_AT }));
        with_request(request, vec![attempt(SENT_AT + after, AttemptEffect::MayHaveRun)])
    };

    assert_rule_detects(Rule::DepartedClient, &left(ms(150)), &left(ms(151)));
}

#[test]
fn a_non_idempotent_request_runs_once_and_is_not_refused_then() {
    let runs = |status, effects: &[AttemptEffect]| {
        let outcome = Outcome::Answered { status, is_own_body: true, at: SENT_AT };
        let attempts = effects.iter().map(|&effect| attempt(SENT_AT, effect)).collect();
        with_request(request(Idempotency::NonIdempotent, Some(outcome)), attempts)
    };
    use AttemptEffect::{Declined, MayHaveRun};
    assert_rule_detects(
        Rule::Duplicate,
        &runs(200, &[Declined, MayHaveRun]),
        &runs(200, &[MayHaveRun, MayHaveRun]),
    );
    assert_rule_detects(Rule::Duplicate, &runs(503, &[Declined]), &runs(503, &[MayHaveRun]));
}

#[test]
fn a_deduplicated_request_is_repeated_within_its_window() {
    let repeated = |after| {
        let attempts = [SENT_AT, SENT_AT + after].map(|at| attempt(at, AttemptEffect::MayHaveRun));
        with_request(request(Idempotency::Deduplicated, served(SENT_AT)), attempts.to_vec())
    };

    assert_rule_detects(Rule::Duplicate, &repeated(ms(2050)), &repeated(ms(2051)));
}

#[test]
fn a_backend_is_told_what_is_left_of_the_deadline() {
    let sent = |deadline| {
        let attempt = attempt(SENT_AT + ms(400), AttemptEffect::MayHaveRun);
        let attempt = AttemptRecord { sent_deadline: Some(deadline), ..attempt };
        with_request(request(Idempotency::Idempotent, served(SENT_AT)), vec![attempt])
    };

    assert_rule_detects(Rule::ToldDeadline, &sent(ms(750)), &sent(ms(751)));
}

fn withdrawn(cause: WithdrawalCause, sent_after: Duration) -> Records {
    let withdrawal =
        Withdrawal { backend: "s-1".to_string(), cause, from: ms(1000), version: Some(2), until: None };
    let attempts = vec![attempt(ms(1000) + sent_after, AttemptEffect::MayHaveRun)];
    Records {
        withdrawals: vec![withdrawal],
        ..with_request(request(Idempotency::Idempotent, served(SENT_AT)), attempts)
    }
}

#[test]
fn nothing_new_goes_to_a_backend_that_drains_or_is_suspended() {
    let listed = |after| withdrawn(WithdrawalCause::Listed, after);

    assert_rule_detects(Rule::Drain, &listed(ms(550)), &listed(ms(551)));

    let suspended = |after| withdrawn(WithdrawalCause::Suspended, after);

    assert_rule_detects(Rule::Drain, &suspended(ms(50)), &suspended(ms(51)));
}

#[test]
fn drain_during_discovery_outage_counts_from_list_delivery() {
    let outage = DiscoveryOutage { from: ms(900), until: ms(2000) };
    let listed = |after| {
        let records = withdrawn(WithdrawalCause::Listed, after);
        Records { discovery_outages: vec![outage], ..records }
    };

    // The remaining 1 s of the outage, 6 s for the list, the drain deadline of 0.5 s, and 50 ms for sockets.
    assert_rule_detects(Rule::Drain, &listed(ms(7550)), &listed(ms(7551)));

    let written = |after| {
        let response = ListResponse { version: 2, at: ms(2500) };
        Records { list_responses: vec![response], ..listed(after) }
    };

    // 1.5 s until discovery has written the list, the drain deadline of 0.5 s, and 50 ms for sockets.
    assert_rule_detects(Rule::Drain, &written(ms(2050)), &written(ms(2051)));
}

#[test]
fn a_backend_that_warms_up_gets_what_the_settings_allow() {
    let arrivals = |count| {
        let start = ColdStart { backend: "s-1".to_string(), at: ms(1000), warm_rate: 32.0 };
        let attempts = (0..count).map(|_| attempt(ms(1000), AttemptEffect::Declined)).collect();
        let request = request(Idempotency::Idempotent, served(SENT_AT));
        Records { cold_starts: vec![start], ..with_request(request, attempts) }
    };

    // A cold capacity of a quarter of 32 requests per second, overloaded twofold for 1 s, gives a mean of 16;
    // the allowance for random variation adds 3 * sqrt(16) + 3.
    assert_rule_detects(Rule::SlowStart, &arrivals(31), &arrivals(32));
}

#[test]
fn a_change_of_the_list_is_in_force_in_time() {
    let reported_at = |at| {
        let log = vec![(
            at,
            "foldhitch-proxy: endpoint list 3 in force: full, 4 endpoints, from a poll".to_string(),
        )];
        let change = ListChange { version: 2, at: ms(1000) };
        Records { list_changes: vec![change], ..with_process(ProcessRecord { log, ..process() }) }
    };

    assert_rule_detects(Rule::ListInForce, &reported_at(ms(7050)), &reported_at(ms(7051)));
}

#[test]
fn a_new_configuration_is_in_force_in_time() {
    let applied_at = |at| {
        let line = "foldhitch-proxy: configuration applied, version 3, discovery at 127.0.0.1:9";
        let log = vec![(at, line.to_string())];
        let reload = ReloadRecord { process: 0, version: 3, at: ms(1000) };
        Records { reloads: vec![reload], ..with_process(ProcessRecord { log, ..process() }) }
    };

    assert_rule_detects(Rule::ConfigurationInForce, &applied_at(ms(5050)), &applied_at(ms(5051)));
}

#[test]
fn an_improper_client_gets_an_error_or_a_close() {
    let ended = |ended_at| {
        let improper = vec![ImproperRecord { connected_at: ms(1000), ended_at }];
        Records { improper, ..Records::default() }
    };

    assert_rule_detects(Rule::ImproperClient, &ended(Some(ms(4050))), &ended(Some(ms(4051))));
    assert_eq!(broken(&ended(None)), [Rule::ImproperClient]);
}

#[test]
fn a_process_is_ready_in_time() {
    let ready = |at| with_process(ProcessRecord { ready_at: Some(at), ..process() });

    assert_rule_detects(Rule::Ready, &ready(ms(10_000)), &ready(ms(10_001)));
}

#[test]
fn a_process_ends_by_itself_once_it_is_told() {
    let terminated = ProcessRecord { terminated_at: Some(ms(5000)), ended_at: Some(ms(6000)), ..process() };
    let killed = ProcessRecord { was_killed: true, ..terminated.clone() };

    assert_rule_detects(Rule::Ends, &with_process(terminated.clone()), &with_process(killed));

    let not_terminated = ProcessRecord { terminated_at: None, ..terminated.clone() };
    assert_eq!(broken(&with_process(not_terminated)), [Rule::Ends]);

    let failed = ProcessRecord { is_success: false, ..terminated };
    assert_eq!(broken(&with_process(failed)), [Rule::Ends]);
}

#[test]
fn descriptors_and_memory_are_within_their_limits() {
    let used = |descriptors, memory| {
        let usage = vec![UsageSample { at: ms(1), descriptors, memory }];
        Records { usage, ..Records::default() }
    };

    assert_rule_detects(Rule::Limits, &used(100, 1 << 20), &used(101, 1 << 20));
    assert_eq!(broken(&used(100, (1 << 20) + 1)), [Rule::Limits]);
}

#[test]
fn the_admin_api_answers_in_time() {
    let took = |took| {
        let call = AdminCall { path: "/v1/proxy/drain".to_string(), at: ms(1), took };
        Records { admin_calls: vec![call], ..Records::default() }
    };

    assert_rule_detects(Rule::Admin, &took(Some(ms(1050))), &took(Some(ms(1051))));
    assert_eq!(broken(&took(None)), [Rule::Admin]);
}

#[test]
fn the_log_has_only_lines_that_are_known() {
    let logged =
        |line: &str| with_process(ProcessRecord { log: vec![(ms(1), line.to_string())], ..process() });
    let known = logged("foldhitch-proxy: draining");

    assert_rule_detects(Rule::Log, &known, &logged("thread 'main' panicked at draining"));
    assert_eq!(broken(&logged("something else")), [Rule::Log]);
}

#[test]
fn a_seed_plays_the_same_each_time() {
    for seed in 1..50 {
        assert_eq!(SoakPlan::draw(seed).to_string(), SoakPlan::draw(seed).to_string());
        assert_ne!(SoakPlan::draw(seed).to_string(), SoakPlan::draw(seed + 1).to_string());
    }
}
