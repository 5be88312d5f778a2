//! The report of a run, as a table and as JSON.

use crate::fit::{self, Line};
use crate::simulated;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::Value;
use std::fmt::{self, Write};

/// Quantiles of a histogram, in milliseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The maximum.
    pub max: f64,
}

impl Quantiles {
    /// Returns the quantiles of a histogram of microseconds.
    pub fn of_micros(histogram: &Histogram<u64>) -> Self {
        let milliseconds_at = |q| histogram.value_at_quantile(q) as f64 / 1000.0;
        Quantiles {
            count: histogram.len(),
            p50: milliseconds_at(0.5),
            p99: milliseconds_at(0.99),
            max: histogram.max() as f64 / 1000.0,
        }
    }
}

/// The latency that the proxies add to calls of a depth: the quantiles of calls through proxies minus those of direct
/// calls.
#[derive(Debug, Clone, Serialize)]
pub struct AddedLatency {
    /// The number of chained hops.
    pub depth: usize,
    /// The latency of calls through proxies.
    pub proxied_ms: Quantiles,
    /// The latency of direct calls to backends.
    pub straight_ms: Quantiles,
    /// The difference of the medians.
    pub p50_ms: f64,
    /// The difference of the 99th percentiles.
    pub p99_ms: f64,
    /// The difference of the medians per hop.
    pub p50_ms_per_hop: f64,
    /// The difference of the 99th percentiles per hop.
    pub p99_ms_per_hop: f64,
}

/// The measurements of a phase.
#[derive(Debug, Clone, Serialize)]
pub struct Phase {
    /// The name of the phase.
    pub name: String,
    /// The duration of the measurement in seconds.
    pub wall_s: f64,
    /// The load average of the machine over the last minute.
    pub load_average: f64,
    /// Calls of clients through proxies.
    pub asked: u64,
    /// Served calls.
    pub served: u64,
    /// Rejected calls.
    pub refused: u64,
    /// Failed calls.
    pub failed: u64,
    /// Calls without a complete response within the time limit.
    pub timed_out: u64,
    /// For each depth of chained hops: the depth, the number of calls and the number of served calls.
    pub served_by_depth: Vec<(usize, u64, u64)>,
    /// The worth that was not earned by responses, in percent of the worth of all calls.
    pub worth_lost_percent: f64,
    /// Requests that reached backends, per hop that the calls of clients were to make.
    pub sends_per_hop: f64,
    /// Requests that reached a draining backend after its drain deadline.
    pub late_to_draining: u64,
    /// Calls that the load generator sent late, in percent.
    pub late_calls_percent: f64,
    /// The mean CPU time of a real proxy, in percent of a core.
    pub real_core_percent: f64,
    /// The standard deviation of the CPU time over the real proxies.
    pub real_core_percent_deviation: f64,
    /// The CPU time of the busiest real proxy.
    pub real_core_percent_max: f64,
    /// Timers of a simulated proxy that fired per second. On an overloaded machine these are fewer than the balancer
    /// requests.
    #[serde(rename = "hollow_wakes_per_s")]
    pub simulated_wakes_per_s: f64,
    /// The mean CPU time of a simulated proxy, in percent of a core.
    #[serde(rename = "hollow_core_percent")]
    pub simulated_core_percent: f64,
    /// The CPU time of the busiest process of simulated proxies. Near 100, the process is overloaded.
    #[serde(rename = "hollow_host_core_percent_max")]
    pub simulated_host_core_percent_max: f64,
    /// Timers of simulated proxies that fired more than 20 ms late, in percent.
    #[serde(rename = "hollow_late_timers_percent")]
    pub simulated_late_timers_percent: f64,
    /// The CPU time of the stand-in for the discovery service, for all proxies together, in percent of a core.
    pub registry_core_percent: f64,
    /// The mean resident memory of a real proxy.
    pub real_resident_mb: f64,
    /// The largest resident memory of a real proxy.
    pub real_resident_max_mb: f64,
    /// The mean resident memory of a simulated proxy.
    #[serde(rename = "hollow_resident_mb")]
    pub simulated_resident_mb: f64,
    /// The traffic of a proxy's watch in both directions, in kilobytes per second without TCP and IP headers.
    pub control_kb_per_s: f64,
    /// Requests and responses of a proxy's watch per second.
    pub control_messages_per_s: f64,
    /// The number of changes of the list.
    pub changes: usize,
    /// Changes that were not in force at all proxies within the target's time after the phase.
    pub changes_not_in_force: usize,
    /// The time from a change until it is in force at a proxy, over all changes and proxies.
    pub in_force_ms: Quantiles,
    /// The time from a change until it is in force at the last proxy, over all changes.
    pub in_force_at_last_ms: Quantiles,
    /// The added latency, in the phase that compares calls through proxies with direct calls.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub added: Vec<AddedLatency>,
}

/// The measurements of a size.
#[derive(Debug, Clone, Serialize)]
pub struct Size {
    /// The number of backends, each of which has a proxy.
    pub size: usize,
    /// The number of real proxies.
    pub real: usize,
    /// The number of simulated proxies.
    #[serde(rename = "hollow")]
    pub simulated: usize,
    /// The number of processes, including this one.
    pub processes: usize,
    /// The seconds from the start until the proxies had the first endpoint list.
    pub start_s: f64,
    /// The number of proxies that had the first list by then.
    pub holding_first_list: usize,
    /// The encoded size of the full list.
    pub whole_list_bytes: usize,
    /// The resident memory of all processes at the end, in MB.
    pub total_resident_mb: f64,
    /// The measurements of the phases.
    pub phases: Vec<Phase>,
}

/// The growth of a measure with the size.
#[derive(Debug, Clone, Serialize)]
pub struct Slope {
    /// The names of the phase and the measure.
    pub measure: String,
    /// The value of the measure at each size.
    pub points: Vec<(usize, f64)>,
    /// The line fitted to the points. Measures that depend on timing leave out phases in which the machine was
    /// overloaded.
    pub line: Line,
}

/// The machine that a run used.
#[derive(Debug, Clone, Serialize)]
pub struct Machine {
    /// The number of cores.
    pub cores: usize,
    /// The load average over the last minute before the start.
    pub load_average_before: f64,
}

/// The report of the real part.
#[derive(Debug, Clone, Serialize)]
pub struct Real {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The machine that it ran on.
    pub machine: Machine,
    /// The measurements of the sizes.
    pub sizes: Vec<Size>,
    /// The growth of the measures with the size.
    pub slopes: Vec<Slope>,
    /// Descriptions of the overloads of the machine. The measurements of such phases say nothing about a proxy.
    pub not_carried: Vec<String>,
}

/// A process or thread that uses more of a core than this is overloaded.
const MAX_CORE_PERCENT: f64 = 90.0;
/// A phase in which more than this percentage of the calls or timers is late counts as overloaded.
const MAX_LATE_PERCENT: f64 = 1.0;

/// A measure whose growth with the size is reported.
struct Measure {
    name: &'static str,
    value: fn(&Phase) -> f64,
    /// Whether phases in which the machine was overloaded are left out, because they say nothing about the measure.
    excludes_overloaded_phases: bool,
}

const fn measure(name: &'static str, value: fn(&Phase) -> f64, excludes_overloaded_phases: bool) -> Measure {
    Measure { name, value, excludes_overloaded_phases }
}

const MEASURES: [Measure; 8] = [
    measure("core % of a real proxy", |p| p.real_core_percent, false),
    measure("core % of a hollow proxy", |p| p.simulated_core_percent, true),
    measure("core % of discovery", |p| p.registry_core_percent, true),
    measure("MB of a real proxy", |p| p.real_resident_mb, false),
    measure("MB of a hollow proxy", |p| p.simulated_resident_mb, false),
    measure("control KB/s of a proxy", |p| p.control_kb_per_s, true),
    measure("control messages/s of a proxy", |p| p.control_messages_per_s, true),
    measure("ms in force at the last, p99", |p| p.in_force_at_last_ms.p99, true),
];

impl Real {
    /// Creates the report from the measurements of the sizes.
    pub fn new(seed: u64, machine: Machine, sizes: Vec<Size>) -> Self {
        let not_carried = not_carried_lines(&sizes);
        Real { seed, machine, slopes: slopes(&sizes), sizes, not_carried }
    }
}

fn slopes(sizes: &[Size]) -> Vec<Slope> {
    let mut slopes = Vec::new();
    let Some(first) = sizes.first() else { return slopes };
    let mut fit = |measure: String, points: Vec<(usize, f64)>| {
        let line = fit::line(&points.iter().map(|&(size, x)| (size as f64, x)).collect::<Vec<_>>());
        slopes.extend(line.map(|line| Slope { measure, points, line }));
    };
    let bytes = sizes.iter().map(|s| (s.size, s.whole_list_bytes as f64));
    fit("bytes of the whole list".to_string(), bytes.collect());
    for (index, phase) in first.phases.iter().enumerate() {
        for measure in &MEASURES {
            let phases = sizes.iter().filter_map(|s| Some((s.size, s.phases.get(index)?)));
            let usable = phases
                .filter(|(_, phase)| !measure.excludes_overloaded_phases || phase.overloads().is_empty());
            let points: Vec<_> = usable.map(|(size, phase)| (size, (measure.value)(phase))).collect();
            if points.iter().any(|(_, x)| *x != 0.0) {
                fit(format!("{}: {}", phase.name, measure.name), points);
            }
        }
    }
    slopes
}

impl Phase {
    /// Returns the percentage of the calls of a depth that were not served.
    fn unserved_percent(&self, depth: usize) -> f64 {
        let counts = self.served_by_depth.iter().find(|(d, ..)| *d == depth);
        counts.map_or(0.0, |&(_, asked, served)| 100.0 * (1.0 - served as f64 / asked.max(1) as f64))
    }

    /// Returns descriptions of what overloaded the machine in this phase.
    fn overloads(&self) -> Vec<String> {
        let percentages = [
            (
                self.simulated_host_core_percent_max,
                MAX_CORE_PERCENT,
                "of a core for a process of hollow proxies",
            ),
            (
                self.simulated_late_timers_percent,
                MAX_LATE_PERCENT,
                "of hollow proxies' timers more than 20 ms late",
            ),
            (self.late_calls_percent, MAX_LATE_PERCENT, "of the calls sent late"),
            (self.registry_core_percent, MAX_CORE_PERCENT, "of a core for the stand-in of discovery"),
        ];
        let over = percentages.into_iter().filter(|(percent, limit, _)| percent > limit);
        over.map(|(percent, _, subject)| format!("{percent:.1}% {subject}")).collect()
    }
}

fn not_carried_lines(sizes: &[Size]) -> Vec<String> {
    let mut lines = Vec::new();
    for size in sizes {
        let proxies = size.real + size.simulated;
        if size.holding_first_list < proxies {
            let held = size.holding_first_list;
            lines
                .push(format!("size {}: {held} of {proxies} proxies held the first list in time", size.size));
        }
        for phase in &size.phases {
            let overloads = phase.overloads();
            if !overloads.is_empty() {
                lines.push(format!("size {}, {}: {}", size.size, phase.name, overloads.join("; ")));
            }
        }
    }
    lines
}

/// Rounds all floating-point numbers of a report to five significant digits, which keeps it short.
pub fn rounded(report: Value) -> Value {
    match report {
        Value::Number(x) if x.is_f64() => x.as_f64().map_or(Value::Null, |x| round(x).into()),
        Value::Array(list) => list.into_iter().map(rounded).collect(),
        Value::Object(map) => map.into_iter().map(|(key, value)| (key, rounded(value))).collect(),
        other => other,
    }
}

fn round(x: f64) -> f64 {
    // Numbers that are too small or too large to be scaled are not rounded.
    let scale = 10f64.powf(4.0 - x.abs().log10().floor());
    if scale.is_normal() && (x * scale).is_finite() { (x * scale).round() / scale } else { x }
}

impl fmt::Display for Real {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Machine { cores, load_average_before } = self.machine;
        writeln!(
            f,
            "real part, seed {}, {cores} cores, load average {load_average_before:.1} before",
            self.seed
        )?;
        for s in &self.sizes {
            writeln!(
                f,
                "\nsize {}: {} real and {} hollow proxies, {} processes, {:.0} MB in all; first list at {} after \
                 {:.1} s; whole list {:.1} kB",
                s.size,
                s.real,
                s.simulated,
                s.processes,
                s.total_resident_mb,
                s.holding_first_list,
                s.start_s,
                s.whole_list_bytes as f64 / 1000.0
            )?;
            f.write_str(&table(s))?;
            for a in s.phases.iter().flat_map(|p| &p.added) {
                writeln!(
                    f,
                    "  depth {:>2}: added p50 {:.3} ms, p99 {:.3} ms; a hop {:.3}, {:.3} ({} calls, {} straight)",
                    a.depth,
                    a.p50_ms,
                    a.p99_ms,
                    a.p50_ms_per_hop,
                    a.p99_ms_per_hop,
                    a.proxied_ms.count,
                    a.straight_ms.count
                )?;
            }
        }
        write_slopes(f, &self.slopes)?;
        for line in &self.not_carried {
            writeln!(f, "not carried by this machine: {line}")?;
        }
        Ok(())
    }
}

fn write_slopes(f: &mut fmt::Formatter<'_>, slopes: &[Slope]) -> fmt::Result {
    writeln!(
        f,
        "\nslopes: for each 100 listed ± standard error; at size 0 ± standard error; sizes in the fit"
    )?;
    for Slope { measure, line: l, .. } in slopes {
        writeln!(
            f,
            "  {measure:<52} {:>10.4} ± {:<9.4} {:>10.4} ± {:<9.4} {}",
            100.0 * l.slope,
            100.0 * l.slope_error,
            l.intercept,
            l.intercept_error,
            l.points
        )?;
    }
    Ok(())
}

fn table(size: &Size) -> String {
    let mut text = format!(
        "  {:<14}{:>7}{:>7}{:>8}{:>8}{:>7}{:>7}{:>8}{:>8}{:>8}{:>7}{:>8}{:>8}{:>9}{:>9}{:>7}{:>6}{:>6}\n",
        "phase",
        "asked",
        "served",
        "lost %",
        "lost1 %",
        "sends",
        "drain!",
        "real %",
        "+-",
        "hollow%",
        "disc %",
        "real MB",
        "KB/s",
        "msg/s",
        "changes",
        "last99",
        "late%",
        "slow%"
    );
    for p in &size.phases {
        // Writing to a `String` never fails.
        let _ = writeln!(
            text,
            "  {:<14}{:>7}{:>7}{:>8.2}{:>8.2}{:>7.2}{:>7}{:>8.2}{:>8.2}{:>8.2}{:>7.1}{:>8.1}{:>8.2}{:>9.2}{:>9}{:>7.0}{:>6.1}{:>6.1}",
            p.name,
            p.asked,
            p.served,
            p.worth_lost_percent,
            p.unserved_percent(1),
            p.sends_per_hop,
            p.late_to_draining,
            p.real_core_percent,
            p.real_core_percent_deviation,
            p.simulated_core_percent,
            p.registry_core_percent,
            p.real_resident_mb,
            p.control_kb_per_s,
            p.control_messages_per_s,
            format!("{}/{}", p.changes - p.changes_not_in_force, p.changes),
            p.in_force_at_last_ms.p99,
            p.late_calls_percent,
            p.simulated_late_timers_percent
        );
    }
    text
}

/// The report of the simulated part, which runs on virtual time.
#[derive(Debug, Clone, Serialize)]
pub struct SimulatedPart {
    /// The measurements of the sizes.
    pub sizes: Vec<simulated::Report>,
    /// The growth of the measures with the size.
    pub slopes: Vec<Slope>,
}

impl SimulatedPart {
    /// Creates the report from the measurements of the sizes.
    pub fn new(sizes: Vec<simulated::Report>) -> Self {
        let mut slopes = Vec::new();
        let events = sizes.first().map_or(&[][..], |s| &s.events);
        type EventMeasure = fn(&simulated::EventReport, f64) -> f64;
        let measures: [(&str, EventMeasure); 3] = [
            ("s of full service lost", |e, _| e.lost_s.iter().sum()),
            ("ms in force at the last, p99", |e, _| e.in_force.p99),
            ("list entries/s to a proxy", |e, proxies| {
                e.during.control.entries as f64 / e.during.seconds / proxies
            }),
        ];
        for (index, event) in events.iter().enumerate() {
            for (name, value) in measures {
                let point =
                    |s: &simulated::Report| Some((s.size, value(s.events.get(index)?, s.proxies as f64)));
                let points: Vec<_> = sizes.iter().filter_map(point).collect();
                let floats: Vec<_> = points.iter().map(|&(size, x)| (size as f64, x)).collect();
                let measure = format!("{}: {name}", event.name);
                slopes.extend(fit::line(&floats).map(|line| Slope { measure, points, line }));
            }
        }
        SimulatedPart { sizes, slopes }
    }
}

impl fmt::Display for SimulatedPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for s in &self.sizes {
            writeln!(
                f,
                "hollow part, size {}, seed {}: {} proxies, {:.0} virtual s, decisions {:016x}",
                s.size, s.seed, s.proxies, s.played_s, s.decisions
            )?;
            for e in &s.events {
                let [before, during, after] =
                    [&e.before, &e.during, &e.after].map(|p| 100.0 * p.worth.share());
                let attempts: u64 = e.during.hops.iter().map(|h| h.attempts).sum();
                let calls: u64 = e.during.hops.iter().map(|h| h.calls).sum();
                writeln!(
                    f,
                    "  {:<26} served % of worth {before:>6.2} {during:>6.2} {after:>6.2}; lost s {:>6.2}; attempts a call \
                     {:>5.2}; in force p99 {:>6.0} ms, not yet {}",
                    e.name,
                    e.lost_s.iter().sum::<f64>(),
                    attempts as f64 / calls.max(1) as f64,
                    e.in_force.p99,
                    e.not_in_force
                )?;
            }
            writeln!(f, "  {:?}", s.checks)?;
        }
        write_slopes(f, &self.slopes)
    }
}
