//! Measures the cost of the balancer with 25, 180, 720 and 2,880 listed backends: a housekeeping timer, idle
//! and under load; a full list; and memory while the backends are replaced. Prints the minimum and the median
//! of several rounds, because the machine may be shared with other processes.

use foldhitch_balancer::Balancer;
use foldhitch_balancer::api::{
    Action, AttemptResult, BackendId, EndpointInfo, EndpointListKind, Event, Outcome, RequestArrival,
    RequestId, TimerToken,
};
use foldhitch_scale_test::scenario::Scenario;
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 9;
const HOUSEKEEPING_TIMER: TimerToken = TimerToken(0);

fn endpoints(count: usize) -> Vec<EndpointInfo> {
    (1..=count as u32)
        .map(|backend| EndpointInfo {
            backend,
            weight: 1.0,
            zone: (backend % 8) as u16,
            ..EndpointInfo::default()
        })
        .collect()
}

struct LoadedBalancer {
    balancer: Balancer,
    now_ms: f64,
    next_request: RequestId,
    pending_responses: Vec<(f64, RequestId, BackendId, f64)>,
    actions: Vec<Action>,
}

impl LoadedBalancer {
    /// Runs `requests_per_s` requests per second, each answered after 20 ms, for `duration_ms`. Returns the
    /// seconds spent in housekeeping and the number of timers.
    fn run(&mut self, duration_ms: f64, requests_per_s: f64, period_ms: f64) -> (f64, usize) {
        let (end_ms, mut spent_s, mut wakeups) = (self.now_ms + duration_ms, 0.0, 0);
        let mut due_requests = 0.0;
        while self.now_ms < end_ms {
            self.now_ms += period_ms;
            let now_ms = self.now_ms;
            let (ready, waiting) =
                self.pending_responses.iter().partition::<Vec<_>, _>(|response| response.0 <= now_ms);
            self.pending_responses = waiting;
            for (answered_ms, request, backend, sent_ms) in ready {
                let (attempt, outcome, latency_ms) = (0, Outcome::Ok, answered_ms - sent_ms);
                let result = AttemptResult {
                    request,
                    attempt,
                    backend,
                    outcome,
                    latency_ms,
                    is_request_closed: true,
                    is_body_consumed: false,
                };
                self.balancer.handle(self.now_ms, Event::AttemptFinished(result), &mut self.actions);
                self.actions.clear();
            }
            due_requests += requests_per_s * period_ms / 1000.0;
            while due_requests >= 1.0 {
                due_requests -= 1.0;
                let (request, deadline_ms) = (self.next_request, self.now_ms + 1200.0);
                self.next_request += 1;
                let arrival = RequestArrival {
                    request,
                    key: 0,
                    class: 0,
                    tenant: 0,
                    deadline_ms,
                    is_body_streamed: false,
                };
                self.balancer.handle(self.now_ms, Event::RequestArrived(arrival), &mut self.actions);
                for action in self.actions.drain(..) {
                    if let Action::Send { request, backend, .. } = action {
                        self.pending_responses.push((self.now_ms + 20.0, request, backend, self.now_ms));
                    }
                }
            }
            let started = Instant::now();
            self.balancer.handle(
                self.now_ms,
                Event::TimerFired { token: HOUSEKEEPING_TIMER },
                &mut self.actions,
            );
            spent_s += started.elapsed().as_secs_f64();
            wakeups += 1;
            black_box(&self.actions);
            self.actions.clear();
        }
        (spent_s, wakeups)
    }
}

fn min_and_median(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    (values[0], values[values.len() / 2])
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/target.toml");
    let scenario = Scenario::load(path.as_ref())?;
    println!("us: least and median of {ROUNDS} rounds; core share: of the least");
    println!("listed  copies  calls/s  housekeeping us        core share  whole list us");
    for listed in [25, 180, 720, 2880] {
        for (instances, requests_per_s) in [(1, 0.0), (75, 0.0), (1, 65.0), (75, 65.0), (75, 650.0)] {
            let (mut housekeeping_us, mut list_us, mut period_ms) = (Vec::new(), Vec::new(), 0.0);
            for round in 0..ROUNDS {
                let settings = scenario.resolved_settings(0, instances, 1, 0)?.balancer;
                period_ms = settings.tick_ms * 10.0;
                let balancer = Balancer::new(settings, round as u64)?;
                let (now_ms, next_request) = (1000.0, 1);
                let mut instance = LoadedBalancer {
                    balancer,
                    now_ms,
                    next_request,
                    pending_responses: Vec::new(),
                    actions: Vec::new(),
                };
                let full_list =
                    |count| Event::EndpointList { kind: EndpointListKind::Full, endpoints: endpoints(count) };
                instance.balancer.handle(instance.now_ms, full_list(listed), &mut instance.actions);
                instance.run(2000.0, requests_per_s, period_ms);
                let (spent_s, wakeups) = instance.run(10_000.0, requests_per_s, period_ms);
                housekeeping_us.push(spent_s / wakeups as f64 * 1e6);
                let list = full_list(listed);
                let started = Instant::now();
                instance.balancer.handle(instance.now_ms, list, &mut instance.actions);
                list_us.push(started.elapsed().as_secs_f64() * 1e6);
            }
            let ((least, median), (list_least, list_median)) =
                (min_and_median(housekeeping_us), min_and_median(list_us));
            println!(
                "{listed:6}  {instances:6}  {requests_per_s:7.0}  {least:8.2} {median:8.2}  {:12.3}%  {list_least:.1} {list_median:.1}",
                least / period_ms / 10.0
            );
        }
    }
    churn(&scenario)
}

/// Prints the resident memory of 200 balancers whose 720 backends are all replaced, a hundred times over.
fn churn(scenario: &Scenario) -> Result<(), Box<dyn std::error::Error>> {
    const INSTANCES: u32 = 200;
    let resident_kb = || -> Result<f64, procfs::ProcError> {
        Ok(procfs::process::Process::myself()?.statm()?.resident as f64 * procfs::page_size() as f64 / 1024.0)
    };
    let initial_kb = resident_kb()?;
    let mut instances = Vec::new();
    for instance in 0..INSTANCES {
        instances.push(Balancer::new(
            scenario.resolved_settings(instance, INSTANCES, 1, 0)?.balancer,
            instance.into(),
        )?);
    }
    let mut actions = Vec::new();
    for round in 0..=100u32 {
        let now_ms = 1000.0 + 50.0 * f64::from(round);
        for instance in &mut instances {
            let mut list = endpoints(720);
            list.iter_mut().for_each(|endpoint| {
                (endpoint.backend, endpoint.started_at_ms) =
                    (endpoint.backend + round * 720, now_ms * f64::from(round.min(1)));
            });
            instance.handle(
                now_ms,
                Event::EndpointList { kind: EndpointListKind::Full, endpoints: list },
                &mut actions,
            );
            instance.handle(now_ms, Event::TimerFired { token: HOUSEKEEPING_TIMER }, &mut actions);
            actions.clear();
        }
        if [0, 1, 2, 5, 10, 20, 50, 100].contains(&round) {
            let each_kb = (resident_kb()? - initial_kb) / f64::from(INSTANCES);
            println!("churn: {round:3} times all 720 backends replaced, {each_kb:.0} kB resident a copy");
        }
    }
    Ok(())
}
