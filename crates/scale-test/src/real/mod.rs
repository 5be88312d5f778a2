//! The real part of the scale test: it measures processes, watches and backends on loopback sockets.

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

/// The hidden subcommand that hosts simulated proxies.
pub const HOST_COMMAND: &str = "hollow-proxies";
/// The upper bound of the histograms in microseconds. Longer times are recorded as this one.
const MAX_RECORDED_US: u64 = 120_000_000;

/// The options of the real part.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed of the random numbers.
    pub seed: u64,
    /// The path of the proxy's executable.
    pub proxy_program: PathBuf,
    /// The path of this executable, which hosts the simulated proxies.
    pub program: PathBuf,
    /// Whether simulated proxies are added to the real ones up to the size.
    pub with_simulated: bool,
    /// The time limit for all sizes together.
    pub run_timeout: Duration,
}

/// Checks the requirements of all sizes against the limits of the scenario and of the machine.
///
/// # Errors
///
/// Returns a one-line error that names the limit and the required number.
pub fn check(scenario: &Scenario, with_simulated: bool) -> anyhow::Result<()> {
    scenario.sizes.iter().try_for_each(|&size| {
        requirements::Requirements::for_size(scenario, size, with_simulated).check(scenario, size)
    })
}

/// Runs the sizes one after the other. When it returns, with success or not, all processes that it started have exited.
///
/// # Errors
///
/// Returns an error if a size exceeds a limit, the fleet can't be started, one of its processes exits early, the time
/// limit is over, or SIGINT or SIGTERM is received.
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
            bail!("limits.memory_gb: size {size} uses {:.0} MB", result.total_resident_mb);
        }
        sizes.push(result);
    }
    Ok(sizes)
}

fn histogram() -> Histogram<u64> {
    let Ok(histogram) = Histogram::new_with_max(MAX_RECORDED_US, 3) else {
        unreachable!("the bounds are valid constants")
    };
    histogram
}

/// Returns the loopback address for a number in one of the subnets of the run, 127.`net`.0.0/16.
fn loopback(net: u8, number: usize) -> Ipv4Addr {
    let [.., high, low] = (number as u32 + 1).to_be_bytes();
    Ipv4Addr::new(127, net, high, low)
}
