//! What the balancer decides, by kind of trouble. Each test fails without the piece that it names.

mod support;

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use std::collections::{BTreeMap, BTreeSet};
use support::*;

fn plain(instance_count: u32) -> Settings {
    settings(instance_count, vec![class(1000.0, 1.0, Idempotency::Idempotent)])
}

/// How many calls an instance has out when more are asked than it takes.
fn fill(p: &mut ProxyHarness, class: usize, tenant: u16, asks: usize) -> usize {
    (0..asks).for_each(|_| {
        p.send_request(class, tenant, 1e5);
    });
    p.out().len()
}

fn sends_by_backend(p: &ProxyHarness) -> BTreeMap<BackendId, usize> {
    let mut by = BTreeMap::new();
    p.requests.values().flat_map(|a| &a.sends).for_each(|s| *by.entry(s.backend).or_default() += 1);
    by
}

#[test]
fn limit_grows_while_it_is_used_and_answers_are_quick() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
    let start = fill(&mut p, 0, 0, 400);
    assert!(start >= 30, "a start into full traffic refuses what ten idle backends could serve: {start}");
    for _ in 0..200 {
        p.advance(p.now + 50.0);
        p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
        p.forget();
        fill(&mut p, 0, 0, 400);
    }
    let grown = p.out().len();
    assert!(grown >= 4 * start, "{start} calls out at first, {grown} after 10 s of quick answers");
}

/// Guards against a limit that wanders off on an idle instance.
#[test]
fn limit_stays_while_it_is_not_used() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
    let start = fill(&mut ProxyHarness::new(plain(1), 1, endpoints(10)), 0, 0, 400);
    p.serve(10_000.0, 1, 0, 10.0);
    let after = fill(&mut p, 0, 0, 400);
    assert!(after <= start + 1, "{start} at first, {after} after a quiet time");
}

/// A release takes each backend out and brings it back.
#[test]
fn limit_is_not_worn_down_by_backends_that_leave_and_return() {
    let start = fill(&mut ProxyHarness::new(plain(1), 1, endpoints(10)), 0, 0, 400);
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
    for gone in 1..=10 {
        let left: Vec<EndpointInfo> = endpoints(10).into_iter().filter(|e| e.backend != gone).collect();
        p.list(EndpointListKind::Full, left);
        p.list(EndpointListKind::Full, endpoints(10));
    }
    assert_eq!(fill(&mut p, 0, 0, 400), start);
}

#[test]
fn limit_falls_when_answers_are_slow_and_many_are_dropped() {
    for (wait, outcome) in [(900.0, Outcome::Ok), (60.0, Outcome::Full)] {
        let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
        p.serve(3000.0, 4, 0, 40.0);
        let before = fill(&mut p, 0, 0, 400);
        for _ in 0..12 {
            p.advance(p.now + wait);
            for (i, (id, n, _)) in p.out().into_iter().enumerate() {
                p.finish_attempt(id, n, if i % 3 == 0 { outcome } else { Outcome::Ok });
            }
            p.forget();
            fill(&mut p, 0, 0, 400);
        }
        let after = p.out().len();
        assert!(after < before * 3 / 4, "{outcome:?}: {before} calls out before, {after} after");
    }
}

/// The first answers after a change are the quick ones; a limit that grows on them alone overshoots.
#[test]
fn quick_answers_do_not_speak_for_those_still_out() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
    let start = fill(&mut p, 0, 0, 400);
    for _ in 0..40 {
        p.advance(p.now + 50.0);
        // Only the newest call is answered; all others stay out.
        if let Some((id, n, _)) = p.out().pop() {
            p.finish_attempt(id, n, Outcome::Ok);
        }
    }
    let after = fill(&mut p, 0, 0, 400);
    assert!(after <= start + 1, "{start} at first, {after} on a few quick answers");
}

/// Objection: after the tier shrinks, limits stay high until latency climbs.
#[test]
fn limit_shrinks_with_the_list() {
    let out = |gone: bool| {
        let mut p = ProxyHarness::new(plain(1), 1, endpoints(20));
        if gone {
            p.list(EndpointListKind::Full, endpoints(5));
        }
        fill(&mut p, 0, 0, 400)
    };
    let (full, shrunk) = (out(false), out(true));
    assert!(shrunk * 3 <= full, "{full} calls out over 20 backends, {shrunk} over the 5 left");
}

/// Each of many instances sees few answers in a window; that all of them are slow is enough.
#[test]
fn limits_fall_while_the_few_responses_of_each_instance_are_slow() {
    let (instance_count, mut before, mut after) = (10, 0, 0);
    for instance_index in 0..instance_count {
        let mut p = ProxyHarness::new(Settings { instance_index, ..plain(instance_count) }, 1, endpoints(10));
        before += fill(
            &mut ProxyHarness::new(Settings { instance_index, ..plain(instance_count) }, 1, endpoints(10)),
            0,
            0,
            100,
        );
        // 20 calls a second, answered after 0.2 s and then after 0.55 s; the objective's share is 0.4 s.
        for n in 0..3000 {
            if n % 10 == 0 {
                p.send_request(0, 0, 1e5);
            }
            p.advance(p.now + 5.0);
            let wait = if n < 1000 { 200.0 } else { 550.0 };
            for (id, attempt, s) in p.out() {
                if p.now - s.at >= wait {
                    p.finish_attempt(id, attempt, Outcome::Ok);
                }
            }
            p.forget();
        }
        after += fill(&mut p, 0, 0, 100);
    }
    assert!(
        after * 4 <= before * 3,
        "all copies admit {before} calls at first and {after} when answers are slow"
    );
}

/// Instances that fill queues up together overdrive backends long before answers are late: the limit does not grow
/// into that.
#[test]
fn limits_fall_before_queues_take_a_third_of_the_aim() {
    let mut p = ProxyHarness::new(plain(4), 1, endpoints(10));
    let before = fill(&mut ProxyHarness::new(plain(4), 1, endpoints(10)), 0, 0, 100);
    p.serve(5000.0, 1, 0, 100.0);
    p.serve(10_000.0, 1, 0, 360.0);
    let after = fill(&mut p, 0, 0, 100);
    assert!(after * 4 <= before * 5, "{before} calls out at first, {after} after 10 s of growing queues");
}

/// A backend that is warming up takes longer for the same work. That is no queue, and it is not left as one that is overdriven.
#[test]
fn cold_backends_that_take_their_time_stay_in_service() {
    let served = |cold: bool| {
        let mut p = ProxyHarness::new(plain(1), 1, endpoints(4));
        p.serve(5000.0, 1, 0, 100.0);
        let started_at_ms = if cold { p.now } else { 0.0 };
        p.list(
            EndpointListKind::Delta,
            (5..=12).map(|b| EndpointInfo { started_at_ms, ..endpoint(b) }).collect(),
        );
        let (from, mut sends) = (p.now, 0);
        while p.now < from + 6000.0 {
            p.send_request(0, 0, 1e5);
            p.advance(p.now + 5.0);
            let warmth = 0.12 + 0.88 * (p.now - from) / 20_000.0;
            for (id, n, s) in p.out() {
                sends += usize::from(s.backend >= 5 && s.at + 5.0 >= p.now && s.at >= from + 3000.0);
                if p.now - s.at >= if cold && s.backend >= 5 { 100.0 / warmth } else { 100.0 } {
                    p.finish_attempt(id, n, Outcome::Ok);
                }
            }
            p.forget();
        }
        sends
    };
    let (warm, cold) = (served(false), served(true));
    assert!(cold * 5 >= warm, "{cold} calls to the cold ones, {warm} if they were warm");
}

/// Cold backends bring what they bear and no more: counted in full, their part would go to the warm ones.
#[test]
fn limit_grows_with_cold_backends_as_they_warm() {
    let before = fill(&mut ProxyHarness::new(plain(1), 1, endpoints(10)), 0, 0, 400) as f64;
    let grown = |after: f64| {
        let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
        let started_at_ms = p.now;
        let cold = (11..=20).map(|b| EndpointInfo { started_at_ms, ..endpoint(b) });
        p.list(EndpointListKind::Delta, cold.collect());
        p.advance(p.now + after);
        fill(&mut p, 0, 0, 400) as f64 / before
    };
    let (at_once, warm) = (grown(0.0), grown(20_000.0));
    assert!((1.05..1.2).contains(&at_once), "ten cold backends beside ten warm ones: {at_once} of the limit");
    assert!((1.9..=2.1).contains(&warm), "when they are warm: {warm}");
}

#[test]
fn low_priority_is_rejected_first_and_its_slice_keeps_its_share() {
    let classes =
        vec![class(1000.0, 9.0, Idempotency::Idempotent), class(1000.0, 1.0, Idempotency::Idempotent)];
    let mut p = ProxyHarness::new(settings(1, classes), 1, endpoints(10));
    let total = fill(&mut p, 1, 0, 400);
    let high = fill(&mut p, 0, 0, 400) - total;
    // Past the total, the slice of share 0.9 still fills up to its own limit; that of 0.1 takes no more.
    assert_eq!(high, (total as f64 * 0.9).ceil() as usize);
    assert_eq!(fill(&mut p, 1, 0, 50), total + high);
    // When everything returns, one slot of the low slice is kept under a flood of the high one.
    p.advance(p.now + 1000.0);
    p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
    p.forget();
    let high = fill(&mut p, 0, 0, 400);
    assert_eq!(fill(&mut p, 1, 0, 400) - high, (high as f64 * 0.1).ceil() as usize);
}

/// A tenant past its quota is demoted, not refused: it is served while there is room and last when not.
#[test]
fn greedy_tenant_is_served_from_what_is_left() {
    let mut s = plain(1);
    s.tenants = vec![Tenant { quota_per_s: 10.0 }, Tenant { quota_per_s: 10.0 }];
    let mut p = ProxyHarness::new(s.clone(), 1, endpoints(10));
    let total = fill(&mut p, 0, 0, 400);
    assert!(total >= 20, "capacity left over is used: {total}");
    assert_eq!(fill(&mut p, 0, 1, 9), total + 9, "another tenant within its quota is not kept out");
    // Behind the first tier work is under way already: no demotion.
    s.tier = 1;
    let mut p = ProxyHarness::new(s, 1, endpoints(10));
    let deep = fill(&mut p, 0, 0, 400);
    assert_eq!(fill(&mut p, 0, 1, 9), deep);
}

#[test]
fn queued_requests_are_sent_by_priority_and_rejected_in_time() {
    let classes =
        vec![class(1000.0, 9.0, Idempotency::NonIdempotent), class(1000.0, 1.0, Idempotency::NonIdempotent)];
    let mut p = ProxyHarness::new(settings(1, classes), 1, endpoints(5));
    let out = fill(&mut p, 1, 0, 24); // the low slice fills the total and holds four more
    let low: Vec<_> = p.requests.iter().filter(|(_, a)| a.sends.is_empty()).map(|(&id, _)| id).collect();
    assert_eq!((out, low.len()), (20, 4));
    fill(&mut p, 0, 0, 20); // the high slice fills its own share past the total
    let high = *p.requests.iter().find(|(_, a)| a.class == 0 && a.sends.is_empty()).expect("one is held").0;
    p.advance(p.now + 20.0);
    let (id, n, _) = p.out().pop().expect("a call of the high slice, the last to be sent");
    p.finish_attempt(id, n, Outcome::Ok);
    assert_eq!(p.requests[&high].sends.len(), 1, "the first slot goes to the most worth");
    assert!(low.iter().all(|id| p.requests[id].sends.is_empty()), "though the others came first");
    p.advance(p.now + 300.0);
    assert!(low.iter().all(|id| p.requests[id].ended.is_some_and(|e| e.1 == "refused")), "held for ever");
}

/// Instances tile the tier: every backend is in somebody's subset, and no instance meets the whole tier at low load.
/// At the end of a planned stop there is no time left for an answer.
#[test]
fn what_comes_too_late_is_rejected_at_once_and_not_forwarded() {
    for idempotency in [Idempotency::Idempotent, Idempotency::NonIdempotent] {
        let mut p = ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, idempotency)]), 1, endpoints(10));
        let late = p.send_request(0, 0, 0.0);
        assert_eq!(
            (p.requests[&late].sends.len(), p.requests[&late].ended.map(|e| e.1)),
            (0, Some("refused"))
        );
        let timely = p.send_request(0, 0, 1.0);
        assert_eq!(p.requests[&timely].sends.len(), 1);
    }
}

#[test]
fn subsets_tile_the_tier() {
    for (instance_count, n) in [(10, 60), (40, 100), (3, 30)] {
        let mut met_by: BTreeMap<BackendId, usize> = BTreeMap::new();
        for instance_index in 0..instance_count {
            let mut p =
                ProxyHarness::new(Settings { instance_index, ..plain(instance_count) }, 1, endpoints(n));
            for _ in 0..400 {
                let id = p.send_request(0, 0, 1e5);
                p.advance(p.now + 5.0);
                p.finish_attempt(id, 0, Outcome::Ok);
            }
            let mine = sends_by_backend(&p);
            assert!(
                instance_count < 4 || mine.len() * 2 < n as usize,
                "copy {instance_index} of {instance_count} met {}",
                mine.len()
            );
            mine.keys().for_each(|&b| *met_by.entry(b).or_default() += 1);
        }
        assert_eq!(met_by.len(), n as usize, "{instance_count} copies leave backends out");
    }
}

#[test]
fn subset_widens_with_load_and_narrows_slowly() {
    let met = |p: &mut ProxyHarness, ms: f64| {
        let mut seen = BTreeSet::new();
        for _ in 0..(ms / 50.0) as usize {
            p.send_request(0, 0, 1e5);
            seen.extend(p.out().iter().map(|s| s.2.backend));
            p.advance(p.now + 50.0);
            p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
            p.forget();
        }
        seen.len()
    };
    let mut p = ProxyHarness::new(plain(40), 1, endpoints(80));
    let quiet = met(&mut p, 20_000.0);
    p.serve(6000.0, 6, 0, 200.0);
    let after = met(&mut p, 10_000.0);
    assert!(after > 2 * quiet, "{quiet} when quiet, {after} after a rush");
    met(&mut p, 120_000.0);
    let later = met(&mut p, 20_000.0);
    assert!(later < after, "{after} after the rush, {later} two minutes on");
}

#[test]
fn unlike_backends_are_loaded_by_what_they_answer() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
    let mut sends: BTreeMap<bool, usize> = BTreeMap::new();
    for _ in 0..4000 {
        p.send_request(0, 0, 1e5);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.out() {
            let slow = s.backend <= 5;
            if p.now - s.at >= if slow { 120.0 } else { 40.0 } {
                *sends.entry(slow).or_default() += 1;
                p.finish_attempt(id, n, Outcome::Ok);
            }
        }
        p.forget();
    }
    assert!(sends[&false] > 2 * sends[&true], "quick and slow halves got {sends:?}");
}

/// Runs an instance at a steady rate; `answer` says for a call how it ends now, if it does.
fn run(
    p: &mut ProxyHarness,
    ms: f64,
    answer: impl Fn(&Sent, f64) -> Option<Outcome>,
) -> BTreeMap<BackendId, usize> {
    let (end, mut sends) = (p.now + ms, BTreeMap::new());
    while p.now < end {
        p.send_request(0, 0, 4000.0);
        let at = p.now;
        p.advance(at + 5.0);
        for (id, n, s) in p.out() {
            if s.at >= at {
                *sends.entry(s.backend).or_default() += 1;
            }
            if let Some(outcome) = answer(&s, p.now) {
                p.finish_attempt(id, n, outcome);
            }
        }
        p.forget();
    }
    sends
}

fn well(s: &Sent, now: f64) -> Option<Outcome> {
    (now - s.at >= 50.0).then_some(Outcome::Ok)
}

/// Objection: an unresponsive backend holds slots until time-out. It is ejected, its calls go elsewhere, it comes back.
#[test]
fn an_unresponsive_backend_is_ejected_and_comes_back() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    run(&mut p, 3000.0, |s, now| if s.backend == 2 { None } else { well(s, now) });
    let stuck = p.out().iter().filter(|(_, _, s)| s.backend == 2).count();
    let hanging = run(&mut p, 2000.0, |s, now| if s.backend == 2 { None } else { well(s, now) });
    assert!(
        hanging.get(&2).copied().unwrap_or(0) <= 3,
        "sent on to a hanging backend: {hanging:?}, {stuck} stuck"
    );
    run(&mut p, 30_000.0, well);
    let back = run(&mut p, 3000.0, well);
    assert!(back.get(&2).copied().unwrap_or(0) > 20, "not taken back: {back:?}");
}

/// A backend may answer one class and swallow another, which its answers must not hide: it is left for that class
/// alone, also if nothing of it may run twice, and taken back for it later.
#[test]
fn a_backend_that_is_unresponsive_for_one_class_is_ejected_for_that_class() {
    let classes =
        vec![class(1000.0, 1.0, Idempotency::Idempotent), class(1000.0, 2.0, Idempotency::NonIdempotent)];
    let mut p = ProxyHarness::new(settings(1, classes), 1, endpoints(8));
    // How many of each class were sent to backend 2.
    let mut both = |ms: f64, swallows: bool| {
        let (end, mut sends) = (p.now + ms, [0, 0]);
        while p.now < end {
            let at = p.now;
            for class in 0..2 {
                p.send_request(class, 0, 4000.0);
            }
            p.advance(at + 5.0);
            for (id, n, s) in p.out() {
                let class = p.requests[&id].class;
                sends[class] += usize::from(s.backend == 2 && s.at >= at);
                if !(swallows && s.backend == 2 && class == 1) && p.now - s.at >= 50.0 {
                    p.finish_attempt(id, n, Outcome::Ok);
                }
            }
            p.forget();
        }
        sends
    };
    both(3000.0, false);
    both(1000.0, true);
    let swallowing = both(6000.0, true);
    assert!(swallowing[1] <= 1 && swallowing[0] > 50, "sent there of each class: {swallowing:?}");
    both(20_000.0, false);
    let back = both(3000.0, false);
    assert!(back[1] > 20, "not taken back: {back:?}");
}

/// Backends that fell silent bring nothing to the limit while they are left: their return, cold, takes nothing away.
#[test]
fn limit_does_not_fall_when_unresponsive_backends_come_back_in_slow_start() {
    let limit = |back: bool| {
        let mut p = ProxyHarness::new(plain(1), 1, endpoints(10));
        run(&mut p, 3000.0, well);
        run(&mut p, 4000.0, |s, now| if s.backend <= 4 { None } else { well(s, now) });
        if back {
            let started_at_ms = p.now - 1000.0;
            p.list(
                EndpointListKind::Delta,
                (1..=4).map(|b| EndpointInfo { started_at_ms, ..endpoint(b) }).collect(),
            );
        }
        p.advance(p.now + 100.0);
        let out = p.out().iter().filter(|(_, _, s)| s.backend > 4).count();
        fill(&mut p, 0, 0, 400) - out
    };
    let (before, after) = (limit(false), limit(true));
    assert!(after >= before, "{before} calls admitted before their return, {after} after it");
}

/// A pause looks like a hang. Once all that was out there is answered after all, it waits for no trial.
#[test]
fn a_backend_that_was_only_slow_to_answer_is_in_service_again_at_once() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    run(&mut p, 1000.0, |s, now| if s.backend == 2 { None } else { well(s, now) });
    let left = run(&mut p, 200.0, |s, now| if s.backend == 2 { None } else { well(s, now) });
    assert_eq!(left.get(&2), None, "not left: {left:?}");
    let back = run(&mut p, 300.0, well);
    assert!(back.get(&2).copied().unwrap_or(0) > 2, "not taken back: {back:?}");
}

/// Calls that were out before a backend was left are no trials: their errors must not lengthen its absence.
#[test]
fn late_errors_do_not_keep_a_backend_out() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    run(&mut p, 1000.0, |s, now| if s.backend == 2 { None } else { well(s, now) });
    // It has been left for its silence, for two seconds. What was out there fails now, one after another.
    let stuck: Vec<_> = p.out().into_iter().filter(|(_, _, s)| s.backend == 2).collect();
    assert!(stuck.len() >= 3, "{} calls out there", stuck.len());
    stuck.into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Error));
    run(&mut p, 4000.0, well);
    let back = run(&mut p, 1000.0, well);
    assert!(back.get(&2).copied().unwrap_or(0) > 5, "not taken back: {back:?}");
}

#[test]
fn a_backend_that_fails_fast_is_ejected_and_comes_back() {
    let bad = |s: &Sent, now: f64| if s.backend == 2 { Some(Outcome::Error) } else { well(s, now) };
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    run(&mut p, 1000.0, bad);
    let failing = run(&mut p, 2000.0, bad);
    assert!(failing.get(&2).copied().unwrap_or(0) <= 3, "sent on to a failing backend: {failing:?}");
    run(&mut p, 30_000.0, well);
    let back = run(&mut p, 3000.0, well);
    assert!(back.get(&2).copied().unwrap_or(0) > 20, "not taken back: {back:?}");
}

/// A trouble shared by all is nobody's illness: the fleet is not emptied.
#[test]
fn errors_everywhere_eject_nobody() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    let all = |s: &Sent, now: f64| well(s, now).map(|_| Outcome::Error);
    run(&mut p, 4000.0, all);
    let sends = run(&mut p, 4000.0, all);
    assert!(sends.len() >= 7, "left in service: {sends:?}");
}

/// Incident ie57de5: a third of the fleet silent. The common error rate holds the dead third itself, and must
/// not raise the bar of illness past reach; nor may their failed connections cut the limit.
#[test]
fn a_dead_third_is_ejected() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(9));
    run(&mut p, 3000.0, well);
    let dead = |s: &Sent, now: f64| {
        if s.backend <= 3 { (now - s.at >= 250.0).then_some(Outcome::ConnectFailed) } else { well(s, now) }
    };
    run(&mut p, 4000.0, dead);
    let sends = run(&mut p, 4000.0, dead);
    let wasted: usize = (1..=3).filter_map(|b| sends.get(&b)).sum();
    let all: usize = sends.values().sum();
    assert!(wasted * 20 < all, "{wasted} of {all} sent to the dead third");
    assert!(all > 700, "the limit was cut: {all} sends in 4 s");
}

/// An instance with little evidence ejects nobody on one or two samples.
#[test]
fn two_bad_answers_eject_nobody() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(6));
    run(&mut p, 2000.0, well);
    let mut left = 2;
    for _ in 0..1000 {
        p.send_request(0, 0, 4000.0);
        for (id, n, s) in p.out() {
            if s.backend == 2 && left > 0 {
                left -= 1;
                p.finish_attempt(id, n, Outcome::Error);
            } else if s.backend != 2 {
                p.finish_attempt(id, n, Outcome::Ok);
            }
        }
        p.advance(p.now + 5.0);
        if left == 0 {
            break;
        }
    }
    assert_eq!(left, 0);
    let sends = run(&mut p, 4000.0, well);
    assert!(sends.get(&2).copied().unwrap_or(0) > 20, "ejected on two errors: {sends:?}");
}

/// Repeats of what may have run are a share of the traffic: a failing fleet is not stormed.
#[test]
fn repeats_are_bounded() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    let (mut requests, mut sent) = (0, 0);
    for _ in 0..2000 {
        p.send_request(0, 0, 4000.0);
        requests += 1;
        p.advance(p.now + 5.0);
        for (id, n, s) in p.out() {
            if p.now - s.at >= 20.0 {
                sent += 1;
                p.finish_attempt(id, n, Outcome::Error);
            }
        }
        p.forget();
    }
    assert!(sent * 10 <= requests * 12, "{sent} attempts for {requests} requests that all fail");
}

/// Polls fail: repeated, later and later, and not by all instances at the same moment.
#[test]
fn failed_polls_are_repeated_with_jitter() {
    let send_request = |seed| {
        let mut p = ProxyHarness::new(
            Settings { discovery_mode: DiscoveryMode::Poll, ..plain(4) },
            seed,
            endpoints(6),
        );
        let mut failed = 0;
        for _ in 0..100_000 {
            p.advance(p.now + 5.0);
            if p.polls.len() > failed {
                failed += 1;
                p.list(EndpointListKind::Failed, vec![]);
            }
        }
        assert!(p.polls.len() > 6, "given up after {:?}", p.polls);
        p.polls
    };
    let (a, b) = (send_request(1), send_request(2));
    assert!(a[0] - 1000.0 < 10_000.0, "first asked within the time that is due");
    assert!(a[5] - a[4] > a[1] - a[0], "no backing off: {a:?}");
    assert!(a.iter().zip(&b).all(|(x, y)| (x - y).abs() > 1.0), "in step: {a:?} {b:?}");
}

/// How long an instance waits before its first poll, and after each of so many that fail at once.
fn pauses(poll_within_ms: f64, seed: u64, failures: usize) -> Vec<f64> {
    let mut s = Settings { discovery_mode: DiscoveryMode::Poll, ..plain(4) };
    s.guarantees.poll_within_ms = poll_within_ms;
    let mut balancer = Balancer::new(s, seed).expect("settings are sound");
    let (mut now, mut kind, mut pauses) = (1000.0, EndpointListKind::Cached, Vec::new());
    for _ in 0..=failures {
        let mut actions = Vec::new();
        balancer.handle(now, Event::EndpointList { kind, endpoints: vec![] }, &mut actions);
        // The first event asks for a timer of another kind, too.
        let Some(Action::SetTimer { delay_ms, token }) = actions.pop() else { panic!("a timer") };
        now += delay_ms;
        balancer.handle(now, Event::TimerFired { token }, &mut actions);
        assert!(actions.contains(&Action::PollEndpoints), "the timer is that of the call");
        (kind, _) = (EndpointListKind::Failed, pauses.push(delay_ms));
    }
    pauses
}

/// What discovery has counts as told 6 s after it could be reached, however many calls failed before: a third of
/// that is the most that passes between two calls, and no more than the time in which asking is due.
#[test]
fn polls_follow_each_other_within_a_third_of_the_notification_deadline() {
    for poll_within_ms in [100.0, 300.0, 1000.0, 2000.0, 5000.0, 10_000.0, 60_000.0, 3_600_000.0] {
        let longest = f64::min(poll_within_ms, NOTIFICATION_DEADLINE_MS / 3.0);
        for seed in 0..200 {
            let pauses = pauses(poll_within_ms, seed, 20);
            assert!(pauses.iter().all(|&p| p > 0.0 && p <= longest), "{poll_within_ms} {seed}: {pauses:?}");
            // What keeps failing is asked at most twice in the longest pause.
            assert!(pauses[3..].iter().all(|&p| p >= longest / 2.0), "{poll_within_ms} {seed}: {pauses:?}");
        }
    }
}

/// 720 instances that start, or failed together, do not call together: no tenth of the longest of their pauses holds
/// more than three in ten of their calls, and each makes at most one call in 0.7 of the longest pause, in the mean.
#[test]
fn polls_are_spread_over_the_instances() {
    for poll_within_ms in [300.0, 10_000.0] {
        let fleet: Vec<Vec<f64>> = (0..720).map(|seed| pauses(poll_within_ms, seed, 8)).collect();
        for failures in 0..=8 {
            let mut waits: Vec<f64> = fleet.iter().map(|p| p[failures]).collect();
            waits.sort_by(f64::total_cmp);
            let tenth = waits[719] / 10.0;
            let most =
                (0..720).map(|i| waits[i..].iter().take_while(|&&w| w < waits[i] + tenth).count()).max();
            assert!(
                most < Some(720 * 3 / 10),
                "{poll_within_ms}, failure {failures}: {most:?} calls together"
            );
            let mean = waits.iter().sum::<f64>() / 720.0;
            let longest = f64::min(poll_within_ms, NOTIFICATION_DEADLINE_MS / 3.0);
            assert!(failures < 2 || mean > 0.7 * longest, "{poll_within_ms}: a mean pause of {mean} ms");
        }
    }
}

#[test]
fn unsound_settings_name_the_field() {
    type Change = fn(&mut Settings);
    let cases: [(&str, Change); 6] = [
        ("peersTotal", |s| s.instance_count = 0),
        ("slotNo", |s| s.instance_index = 9),
        ("classes", |s| s.classes.clear()),
        ("classes[0].aim", |s| s.classes[0].latency_objective_ms = 0.0),
        ("tick", |s| s.tick_ms = f64::NAN),
        ("guarantees.coldFrom", |s| s.guarantees.initial_capacity_fraction = -1.0),
    ];
    for (field, change) in cases {
        let mut s = plain(2);
        change(&mut s);
        let error = Balancer::new(s, 1).err().expect("turned down");
        assert_eq!(error.field, field);
        assert!(error.to_string().contains(field));
    }
}

/// Two classes of one priority weight share a slice: in a full queue neither may outlive the other (seen on the bench:
/// 0.62 of one class served and 0.89 of the other, from one slice, for a longer objective).
#[test]
fn a_longer_objective_takes_no_more_of_a_shared_slice() {
    let classes =
        vec![class(1000.0, 1.0, Idempotency::NonIdempotent), class(3000.0, 1.0, Idempotency::NonIdempotent)];
    let mut p = ProxyHarness::new(settings(1, classes), 1, endpoints(5));
    let mut served = [0, 0];
    for round in 0..4000 {
        p.send_request(round % 2, 0, 1e5);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.out() {
            if p.now - s.at >= 500.0 {
                served[p.requests[&id].class] += 1;
                p.finish_attempt(id, n, Outcome::Ok);
            }
        }
        p.forget();
    }
    assert!(served[1] * 4 < served[0] * 5 && served[0] * 4 < served[1] * 5, "served by class: {served:?}");
}

/// Work past its tenant's quota has no claim under overload: one slot is all it keeps.
#[test]
fn demoted_work_keeps_one_slot() {
    let mut s = plain(1);
    s.over_quota_weight = 0.3;
    s.tenants = vec![Tenant { quota_per_s: 1.0 }, Tenant { quota_per_s: 1000.0 }];
    let mut p = ProxyHarness::new(s, 1, endpoints(10));
    let within = fill(&mut p, 0, 1, 400);
    let demoted = fill(&mut p, 0, 0, 100) - within;
    assert_eq!(demoted, 1, "beside {within} calls within quota");
}

/// Incident ic969f0: overdriven backends stay slow until they are left alone for seconds; a trickle keeps
/// them so. One far slower than its fellows is left, and comes back by a quick trial.
#[test]
fn a_far_slower_backend_is_ejected_to_recover() {
    let slow =
        |s: &Sent, now: f64| (now - s.at >= if s.backend == 2 { 250.0 } else { 50.0 }).then_some(Outcome::Ok);
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    run(&mut p, 6000.0, slow);
    let longest = (0..20).fold((0, 0), |(run_, best), _| {
        for _ in 0..4 {
            p.send_request(0, 0, 4000.0);
        }
        let quiet = !run(&mut p, 250.0, slow).contains_key(&2);
        let run_ = if quiet { run_ + 1 } else { 0 };
        (run_, best.max(run_))
    });
    assert!(longest.1 >= 6, "never left alone for 1.5 s: {longest:?}");
    run(&mut p, 30_000.0, well);
    let back = run(&mut p, 3000.0, well);
    assert!(back.get(&2).copied().unwrap_or(0) > 20, "not taken back: {back:?}");
}

/// The share of an instance's last calls that left its zone, where answers take `near` ms and 50 ms beyond.
fn left_the_zone(price: f64, near: f64) -> f64 {
    let mut p = two_zones(price);
    run(&mut p, 4000.0, well);
    let answer =
        |s: &Sent, now: f64| (now - s.at >= if s.backend <= 5 { near } else { 50.0 }).then_some(Outcome::Ok);
    run(&mut p, 8000.0, answer);
    share_beyond(&run(&mut p, 2000.0, answer))
}

/// Where crossing zones has a price calls stay, until the zone's own latency costs more than the crossing.
#[test]
fn calls_leave_the_zone_only_for_more_than_its_price() {
    assert_eq!(left_the_zone(0.2, 50.0), 0.0, "nothing is gained by leaving");
    let overloaded = left_the_zone(0.2, 700.0);
    assert!(overloaded > 0.5, "{overloaded} left a zone that is 0.65 of the aim slower");
    let cheap = left_the_zone(0.0, 50.0);
    assert!((0.3..0.7).contains(&cheap), "{cheap} left where crossing is free: all zones are one pool");
}

/// Two zones of five, the instance in the first; answers take what `near` says there and 50 ms beyond.
fn two_zones(price: f64) -> ProxyHarness {
    let mut s = plain(1);
    s.objective.cross_zone_price = price;
    let zones =
        endpoints(10).into_iter().map(|e| EndpointInfo { zone: u16::from(e.backend > 5), ..e }).collect();
    ProxyHarness::new(s, 1, zones)
}

fn share_beyond(sends: &BTreeMap<BackendId, usize>) -> f64 {
    let far: usize = sends.iter().filter(|(b, _)| **b > 5).map(|(_, n)| n).sum();
    far as f64 / sends.values().sum::<usize>().max(1) as f64
}

/// Incident idf6b26: a zone that was left altogether sends no answers, and its last bad estimate must not keep
/// calls away for good.
#[test]
fn a_zone_that_got_no_calls_is_tried_again() {
    let mut p = two_zones(0.2);
    let ill = |s: &Sent, now: f64| {
        (now - s.at >= if s.backend <= 5 { 1800.0 } else { 50.0 }).then_some(Outcome::Ok)
    };
    run(&mut p, 3000.0, well);
    run(&mut p, 15_000.0, ill);
    let left = share_beyond(&run(&mut p, 2000.0, ill));
    assert!(left > 0.8, "{left} beyond a zone that takes 1.8 aims");
    run(&mut p, 60_000.0, well);
    let back = share_beyond(&run(&mut p, 2000.0, well));
    assert!(back < 0.1, "{back} still beyond, a minute after the zone is well");
}

/// Seen on the bench: clients leave before slow answers come. What they left counts as slow for its zone.
#[test]
fn calls_that_clients_abandoned_count_as_slow_for_their_zone() {
    let mut p = two_zones(0.2);
    run(&mut p, 3000.0, well);
    let (end, mut far, mut all) = (p.now + 15_000.0, 0, 0);
    while p.now < end {
        p.send_request(0, 0, 4000.0);
        p.advance(p.now + 5.0);
        for (id, n, s) in p.out() {
            let open = p.requests[&id].ended.is_none();
            // A third of the zone's answers come quickly: it is not silent.
            if (s.backend > 5 || id % 3 == 0) && p.now - s.at >= 50.0 {
                p.finish_attempt(id, n, Outcome::Ok);
            } else if open && s.backend <= 5 && p.now - s.at >= 900.0 {
                p.disconnect(id);
            }
            if s.at >= p.now - 5.0 && p.now > end - 3000.0 {
                (far, all) = (far + usize::from(s.backend > 5), all + 1);
            }
        }
        p.forget();
    }
    assert!(far * 2 > all, "{far} of {all} calls leave a zone whose clients all give up");
}

/// Hamilton's overloaded day: an instance with few calls must not take a jam for its baseline, however early.
#[test]
fn an_early_overload_is_not_taken_for_normal() {
    let mut p = ProxyHarness::new(plain(1), 1, endpoints(5));
    p.serve(100.0, 1, 0, 40.0);
    let start = fill(&mut p, 0, 0, 400);
    for _ in 0..30 {
        p.advance(p.now + 700.0);
        p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
        p.forget();
        fill(&mut p, 0, 0, 100);
    }
    assert!(p.out().len() < start, "{start} calls at first, {} after answers at 0.7 aims", p.out().len());
}

/// Incident idc7037: answers get lost while those that come are quick. Time-outs alone must not cut the limit to
/// nothing, nor may lost calls pin its slots until their deadline.
#[test]
fn lost_answers_do_not_take_the_limit() {
    let mut p =
        ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, endpoints(8));
    let answer = |s: &Sent, now: f64| (now - s.at >= 150.0).then_some(Outcome::Ok);
    run(&mut p, 6000.0, answer);
    // One answer in six never comes, wherever the call went.
    let lossy = |s: &Sent, now: f64| {
        if ((s.at / 5.0) as u64).is_multiple_of(6) { None } else { answer(s, now) }
    };
    let sends = run(&mut p, 30_000.0, lossy);
    let sent: usize = sends.values().sum();
    assert!(sent * 10 > 6000 * 9, "{sent} of 6000 requests sent");
}

/// A call that is out for many times its class's mean is lost or stuck: it pins no slot until its deadline.
#[test]
fn unresponsive_calls_hold_no_limit_slots() {
    let mut p =
        ProxyHarness::new(settings(1, vec![class(1000.0, 1.0, Idempotency::NonIdempotent)]), 1, endpoints(8));
    run(&mut p, 3000.0, well);
    let first = fill(&mut p, 0, 0, 400);
    p.advance(p.now + 150.0);
    assert_eq!(fill(&mut p, 0, 0, 400), first, "three means: still in the queue, perhaps");
    p.advance(p.now + 150.0);
    assert!(fill(&mut p, 0, 0, 400) >= 2 * first, "six means: {} calls out, {first} at first", p.out().len());
}

/// What the operators leave out gets nothing, whatever lists say, until one call back; then it is cold, and in use
/// again soon. That nothing goes to it meanwhile is checked with each action.
#[test]
fn a_suspended_backend_gets_nothing_until_it_is_resumed() {
    let mut p =
        ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 5, endpoints(3));
    let sent_to = |p: &ProxyHarness, from: f64| {
        let sends = p.requests.values().flat_map(|a| &a.sends);
        sends.filter(|s| s.backend == 2 && s.at >= from).count()
    };
    let serve = |p: &mut ProxyHarness, until: f64| {
        while p.now < until {
            p.send_request(0, 0, 900.0);
            p.advance(p.now + 20.0);
            p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
        }
    };
    serve(&mut p, 5000.0);
    assert!(sent_to(&p, 0.0) > 20, "it is in use");
    for _ in 0..2 {
        p.handle(Event::SetSuspended { backend: 2, is_suspended: true });
    }
    let restarted = EndpointInfo { started_at_ms: 5500.0, ..endpoint(2) };
    for list in [
        (EndpointListKind::Full, endpoints(3)),
        (EndpointListKind::Full, vec![endpoint(1), endpoint(3)]),
        (EndpointListKind::Delta, vec![restarted.clone()]),
        (EndpointListKind::Cached, endpoints(3)),
        (EndpointListKind::Delta, vec![restarted]),
    ] {
        p.list(list.0, list.1);
        let until = p.now + 500.0;
        serve(&mut p, until);
    }
    // Alone with it there is nobody to send to.
    p.list(EndpointListKind::Full, vec![endpoint(2)]);
    let request = p.send_request(0, 0, 900.0);
    p.advance(p.now + 1000.0);
    assert!(p.requests[&request].ended.is_some_and(|(_, how)| how == "refused"));
    p.list(EndpointListKind::Full, endpoints(3));
    assert_eq!(sent_to(&p, 5000.0), 0);
    // The list does not know yet that it was restarted.
    let back = p.now;
    p.handle(Event::SetSuspended { backend: 2, is_suspended: false });
    assert!(p.suspended.is_empty(), "one call back undoes both");
    serve(&mut p, back + 1000.0);
    let cold = sent_to(&p, back);
    serve(&mut p, back + 5000.0);
    assert!((1..8).contains(&cold) && sent_to(&p, back) > cold, "{cold}, then {}", sent_to(&p, back));
}

#[test]
fn clients_are_sent_away_once() {
    let mut p =
        ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 5, endpoints(3));
    for on in [false, true, true, false, false] {
        p.handle(Event::SetDraining { is_draining: on });
    }
    assert_eq!(p.drains, [true, false]);
    p.send_request(0, 0, 900.0);
    assert_eq!(p.out().len(), 1, "requests go on");
}

/// Two processes that act as one instance are one proxy to a backend that is warming up: each sends it half.
#[test]
fn processes_share_the_budget_of_a_cold_backend() {
    let sent = |processes: u32| {
        let mut p =
            ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::Idempotent)]), 5, endpoints(4));
        p.handle(Event::ProcessCount { count: processes });
        let serve = |p: &mut ProxyHarness, until: f64| {
            while p.now < until {
                p.send_request(0, 0, 900.0);
                p.advance(p.now + 5.0);
                p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
            }
        };
        serve(&mut p, 5000.0);
        let born = p.now;
        p.list(EndpointListKind::Delta, vec![EndpointInfo { started_at_ms: born, ..endpoint(2) }]);
        serve(&mut p, born + 4000.0);
        p.requests.values().flat_map(|a| &a.sends).filter(|s| s.backend == 2 && s.at > born).count()
    };
    let (alone, shared) = (sent(1), sent(2));
    assert!(alone >= 20 && (alone * 4 / 10..=alone * 6 / 10).contains(&shared), "{alone} and {shared}");
}

/// However slowly it is written, a request takes none of the limit before its last byte has come; then it does.
#[test]
fn a_request_that_is_still_arriving_takes_no_slot_and_is_sent_once() {
    let mut p =
        ProxyHarness::new(settings(1, vec![class(400.0, 1.0, Idempotency::NonIdempotent)]), 5, endpoints(2));
    let is_body_streamed: Vec<RequestId> = (0..100).map(|_| p.send_streamed_request(0, 60_000.0)).collect();
    assert_eq!(p.out().len(), 100, "all are sent on");
    // Nothing is missed of a backend that has not been given the whole of it.
    p.advance(p.now + 5000.0);
    let short = p.send_request(0, 0, 900.0);
    assert_eq!(p.requests[&short].sends.len(), 1, "there is room");
    p.finish_attempt(short, 0, Outcome::Ok);
    let deadline_ms = p.now + 900.0;
    is_body_streamed.iter().for_each(|&request| p.handle(Event::BodyReceived { request, deadline_ms }));
    let late = p.send_request(0, 0, 900.0);
    assert_eq!(p.requests[&late].sends.len(), 0, "now they fill the limit");
    // What went with its attempt is not sent again, though it never ran.
    p.finish_consumed_attempt(is_body_streamed[0], 0, Outcome::Full);
    assert!(p.requests[&is_body_streamed[0]].ended.is_some_and(|(_, how)| how == "refused"));
    assert_eq!(p.requests[&is_body_streamed[0]].sends.len(), 1);
}

/// A backend that was in use before it was suspended is in use again when it is back, though less load has made the
/// subset narrower since.
#[test]
fn a_resumed_backend_is_used_where_it_was_used_before() {
    let serve = |p: &mut ProxyHarness, until: f64, each: usize| {
        while p.now < until {
            for _ in 0..each {
                p.send_request(0, 0, 900.0);
            }
            p.advance(p.now + 20.0);
            p.out().into_iter().for_each(|(id, n, _)| p.finish_attempt(id, n, Outcome::Ok));
        }
        let sends = std::mem::take(&mut p.requests).into_values().flat_map(|a| a.sends);
        sends.map(|s| s.backend).collect::<std::collections::BTreeSet<_>>()
    };
    for backend in (1..=30).step_by(3) {
        let mut p = ProxyHarness::new(
            settings(3, vec![class(400.0, 1.0, Idempotency::Idempotent)]),
            5,
            endpoints(30),
        );
        assert!(serve(&mut p, 2000.0, 40).contains(&backend), "under load all are in use");
        p.handle(Event::SetSuspended { backend, is_suspended: true });
        assert!(!serve(&mut p, 32_000.0, 1).contains(&backend));
        p.handle(Event::SetSuspended { backend, is_suspended: false });
        assert!(serve(&mut p, 37_000.0, 1).contains(&backend), "{backend} is left unused");
    }
}
