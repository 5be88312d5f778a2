//! Measures what the decision module costs at 25, 180, 720 and 2,880 listed backends: a housekeeping, idle
//! and under load, a whole list, and memory under churn. Prints the least and the median of several rounds,
//! for the machine is shared.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::*;
use foldhitch_scale_test::scenario::Scenario;
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 9;
const HOUSEKEEPING: TimerToken = TimerToken(0);

fn entries(n: usize) -> Vec<EndpointInfo> {
    (1..=n as u32)
        .map(|backend| EndpointInfo {
            backend,
            weight: 1.0,
            zone: (backend % 8) as u16,
            ..EndpointInfo::default()
        })
        .collect()
}

struct Copy {
    balancer: Balancer,
    now: f64,
    next: RequestId,
    out: Vec<(f64, RequestId, BackendId, f64)>,
    actions: Vec<Action>,
}

impl Copy {
    /// `per_s` calls a second, each answered after 20 ms, for `ms`; seconds spent in housekeeping, and how
    /// many.
    fn play(&mut self, ms: f64, per_s: f64, period: f64) -> (f64, usize) {
        let (end, mut spent, mut count) = (self.now + ms, 0.0, 0);
        let mut owed = 0.0;
        while self.now < end {
            self.now += period;
            let due = self.now;
            let ready = self.out.iter().partition::<Vec<_>, _>(|o| o.0 <= due);
            self.out = ready.1;
            for (at, request, backend, sent) in ready.0 {
                let (attempt, outcome, wait) = (0, Outcome::Ok, at - sent);
                let r = AttemptResult {
                    request,
                    attempt,
                    backend,
                    outcome,
                    latency_ms: wait,
                    is_request_closed: true,
                    is_body_consumed: false,
                };
                self.balancer.handle(self.now, Event::AttemptFinished(r), &mut self.actions);
                self.actions.clear();
            }
            owed += per_s * period / 1000.0;
            while owed >= 1.0 {
                owed -= 1.0;
                let (request, deadline) = (self.next, self.now + 1200.0);
                self.next += 1;
                let a = RequestArrival {
                    request,
                    key: 0,
                    class: 0,
                    tenant: 0,
                    deadline_ms: deadline,
                    is_body_streamed: false,
                };
                self.balancer.handle(self.now, Event::RequestArrived(a), &mut self.actions);
                for action in self.actions.drain(..) {
                    if let Action::Send { request, backend, .. } = action {
                        self.out.push((self.now + 20.0, request, backend, self.now));
                    }
                }
            }
            let begun = Instant::now();
            self.balancer.handle(self.now, Event::TimerFired { token: HOUSEKEEPING }, &mut self.actions);
            spent += begun.elapsed().as_secs_f64();
            count += 1;
            black_box(&self.actions);
            self.actions.clear();
        }
        (spent, count)
    }
}

fn least_and_median(mut of: Vec<f64>) -> (f64, f64) {
    of.sort_by(f64::total_cmp);
    (of[0], of[of.len() / 2])
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/target.toml");
    let scenario = Scenario::load(path.as_ref())?;
    println!("us: least and median of {ROUNDS} rounds; core share: of the least");
    println!("listed  copies  calls/s  housekeeping us        core share  whole list us");
    for listed in [25, 180, 720, 2880] {
        for (copies, per_s) in [(1, 0.0), (75, 0.0), (1, 65.0), (75, 65.0), (75, 650.0)] {
            let (mut each, mut lists, mut period) = (Vec::new(), Vec::new(), 0.0);
            for round in 0..ROUNDS {
                let settings = scenario.resolved_settings(0, copies, 1, 0)?.balancer;
                period = settings.tick_ms * 10.0;
                let balancer = Balancer::new(settings, round as u64)?;
                let (now, next) = (1000.0, 1);
                let mut copy = Copy { balancer, now, next, out: Vec::new(), actions: Vec::new() };
                let full = |n| Event::EndpointList { kind: EndpointListKind::Full, endpoints: entries(n) };
                copy.balancer.handle(copy.now, full(listed), &mut copy.actions);
                copy.play(2000.0, per_s, period);
                let (spent, count) = copy.play(10_000.0, per_s, period);
                each.push(spent / count as f64 * 1e6);
                let list = full(listed);
                let begun = Instant::now();
                copy.balancer.handle(copy.now, list, &mut copy.actions);
                lists.push(begun.elapsed().as_secs_f64() * 1e6);
            }
            let ((least, median), (list, whole)) = (least_and_median(each), least_and_median(lists));
            println!(
                "{listed:6}  {copies:6}  {per_s:7.0}  {least:8.2} {median:8.2}  {:12.3}%  {list:.1} {whole:.1}",
                least / period / 10.0
            );
        }
    }
    churn(&scenario)
}

/// Resident memory of 200 copies whose 720 backends are all replaced, a hundred times over.
fn churn(scenario: &Scenario) -> Result<(), Box<dyn std::error::Error>> {
    const COPIES: u32 = 200;
    let resident = || -> Result<f64, procfs::ProcError> {
        Ok(procfs::process::Process::myself()?.statm()?.resident as f64 * procfs::page_size() as f64 / 1024.0)
    };
    let begun = resident()?;
    let mut copies = Vec::new();
    for copy in 0..COPIES {
        copies.push(Balancer::new(scenario.resolved_settings(copy, COPIES, 1, 0)?.balancer, copy.into())?);
    }
    let mut actions = Vec::new();
    for round in 0..=100u32 {
        let now = 1000.0 + 50.0 * f64::from(round);
        for copy in &mut copies {
            let mut list = entries(720);
            list.iter_mut().for_each(|e| {
                (e.backend, e.started_at_ms) = (e.backend + round * 720, now * f64::from(round.min(1)));
            });
            copy.handle(
                now,
                Event::EndpointList { kind: EndpointListKind::Full, endpoints: list },
                &mut actions,
            );
            copy.handle(now, Event::TimerFired { token: HOUSEKEEPING }, &mut actions);
            actions.clear();
        }
        if [0, 1, 2, 5, 10, 20, 50, 100].contains(&round) {
            let each = (resident()? - begun) / f64::from(COPIES);
            println!("churn: {round:3} times all 720 backends replaced, {each:.0} kB resident a copy");
        }
    }
    Ok(())
}
