//! Runs the simulated fleet of the target's scenario and prints its report: `simulated SIZE SEED [EVENT
//! ...]`. The environment variables `EVENT_S` and `STEADY_S` set the duration of the events and of the quiet
//! time before each, in seconds.

use foldhitch_scale_test::scenario::Scenario;
use foldhitch_scale_test::simulated::{self, EVENTS};
use std::time::Instant;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let size: usize = args.first().map_or("90", String::as_str).parse()?;
    let seed: u64 = args.get(1).map_or("1", String::as_str).parse()?;
    let mut events: Vec<&'static str> =
        EVENTS.into_iter().filter(|e| args.iter().skip(2).any(|a| a == e)).collect();
    if args.len() < 3 {
        events = EVENTS.to_vec();
    }
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/target.toml");
    let mut scenario = Scenario::load(path.as_ref())?;
    for (name, value) in [("EVENT_S", &mut scenario.run.event_s), ("STEADY_S", &mut scenario.run.steady_s)] {
        if let Ok(seconds) = std::env::var(name) {
            *value = seconds.parse()?;
        }
    }
    let started = Instant::now();
    let report = simulated::run_events(&scenario, size, seed, &events)?;
    let elapsed_s = started.elapsed().as_secs_f64();
    println!(
        "size {size} seed {seed}: {} proxies, {:.0} virtual s in {elapsed_s:.1} s, decisions {:016x}",
        report.proxies, report.played_s, report.decisions
    );
    for event in &report.events {
        println!("{}", event.name);
        for (name, part) in [("before", &event.before), ("during", &event.during), ("after", &event.after)] {
            let attempts: u64 = part.hops.iter().map(|h| h.attempts).sum();
            let calls: u64 = part.hops.iter().map(|h| h.calls).sum();
            let factors: Vec<String> = part.hops.iter().map(|h| format!("{:.3}", h.factor())).collect();
            println!(
                "  {name:6} share {:.4} requests {} calls/s {:.0} attempts/call {:.4} messages {} entries {}",
                part.worth.share(),
                part.worth.requests,
                calls as f64 / part.seconds,
                attempts as f64 / calls as f64,
                part.control.messages,
                part.control.entries,
            );
            println!("         factor by hop {}", factors.join(" "));
            println!("         {:?}", part.worth);
            println!("         {:?}", part.module);
        }
        let windows: Vec<String> = event.windows.iter().map(|w| format!("{:.3}", w.share())).collect();
        println!("  windows {}", windows.join(" "));
        println!("  lost s of full service: during {:.3}, after {:.3}", event.lost_s[0], event.lost_s[1]);
        let connects = |part: &simulated::Part| part.hops.iter().map(|h| h.connects).sum::<u64>();
        println!(
            "  new connections {} {} {}",
            connects(&event.before),
            connects(&event.during),
            connects(&event.after)
        );
        println!("  in force {:?}, not yet {}", event.in_force, event.not_in_force);
    }
    println!("{:?}", report.checks);
    Ok(())
}
