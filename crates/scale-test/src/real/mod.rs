//! The real part: processes, watches and backends on loopback sockets, measured.

pub mod backends;
pub mod children;
pub mod client;
pub mod counted;
mod fleet;
pub mod load;
pub mod registry;
pub mod requirements;
pub mod simulated_proxies;
pub mod usage;

use crate::report::Size;
use crate::scenario::Scenario;
use anyhow::{anyhow, bail};
use children::Children;
use hdrhistogram::Histogram;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// The hidden command that hosts simulated proxies.
pub const HOST_COMMAND: &str = "hollow-proxies";
/// Longest time that a histogram tells from longer ones, in microseconds.
const MAX_RECORDED_US: u64 = 120_000_000;

/// How the real part is started.
#[derive(Debug, Clone)]
pub struct Options {
    /// Feeds the random numbers.
    pub seed: u64,
    /// The real proxy's program.
    pub proxy_program: PathBuf,
    /// This program, which hosts the simulated proxies.
    pub program: PathBuf,
    /// Whether simulated proxies fill a size up.
    pub with_simulated: bool,
    /// Time for all sizes.
    pub run_timeout: Duration,
}

/// Whether the scenario's limits and the machine's allow a run.
///
/// # Errors
///
/// A line that names the limit and the need.
pub fn check(scenario: &Scenario, with_simulated: bool) -> anyhow::Result<()> {
    scenario.sizes.iter().try_for_each(|&size| {
        requirements::Requirements::for_size(scenario, size, with_simulated).check(scenario, size)
    })
}

/// Plays the sizes one after the other. No process that it started is left when it returns, however it ends.
///
/// # Errors
///
/// If a size needs more than there is, the fleet can't be started, one of its processes ends early, the time is over,
/// or a signal comes.
pub async fn run(scenario: &Scenario, options: &Options) -> anyhow::Result<Vec<Size>> {
    check(scenario, options.with_simulated)?;
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let mut children = Children::default();
    let result = tokio::select! {
        sizes = run_sizes(scenario, options, &mut children) => sizes,
        () = tokio::time::sleep(options.run_timeout) => {
            Err(anyhow!("limits.run_s: the run is not over after {} s", options.run_timeout.as_secs()))
        }
        _ = interrupt.recv() => Err(anyhow!("interrupted")),
        _ = terminate.recv() => Err(anyhow!("terminated")),
    };
    children.stop().await;
    result
}

async fn run_sizes(
    scenario: &Scenario,
    options: &Options,
    children: &mut Children,
) -> anyhow::Result<Vec<Size>> {
    let mut sizes = Vec::new();
    for &size in &scenario.sizes {
        let result = fleet::run_size(scenario, options, size, children).await?;
        children.stop().await;
        let limit = scenario.limits.memory_gb * 1000.0;
        if result.total_resident_mb > limit {
            bail!("limits.memory_gb: size {size} holds {:.0} MB", result.total_resident_mb);
        }
        sizes.push(result);
    }
    Ok(sizes)
}

fn histogram() -> Histogram<u64> {
    let Ok(histogram) = Histogram::new_with_max(MAX_RECORDED_US, 3) else {
        unreachable!("the bounds are constants that are allowed")
    };
    histogram
}

/// The loopback address of a number in one of the run's nets.
fn loopback(net: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    Ipv4Addr::new(127, net, high, low)
}
