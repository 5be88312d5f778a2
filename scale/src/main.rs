//! The command line of the scale run.

#![forbid(unsafe_code)]

use anyhow::{Context, bail};
use clap::{Parser, Subcommand};
use scale::real;
use scale::report::{Machine, Real, rounded};
use scale::scenario::Scenario;
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::filter::LevelFilter;

/// The fleet of a target size on one machine, measured at several sizes.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario and prints what was measured.
    Run {
        /// The scenario file.
        scenario: PathBuf,
        /// Sizes in place of the file's, parted by commas.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<usize>,
        /// A seed in place of the file's.
        #[arg(long)]
        seed: Option<u64>,
        /// A file that takes the report as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The real proxy's program.
        #[arg(long, default_value = "target/release/heathroad")]
        heathroad: PathBuf,
        /// Real proxies alone, with the whole size listed.
        #[arg(long)]
        without_hollow: bool,
    },
    /// Reads a scenario and says whether it and the machine's limits allow a run.
    Check {
        /// The scenario file.
        scenario: PathBuf,
    },
    /// Hosts hollow proxies for a run.
    #[command(name = real::HOST_COMMAND, hide = true)]
    HollowProxies,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_max_level(LevelFilter::INFO).with_writer(std::io::stderr).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("scale: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::HollowProxies => real::copies::serve(),
        Command::Check { scenario } => {
            let scenario = Scenario::load(&scenario)?;
            real::check(&scenario, true)?;
            println!("the scenario can be run: sizes {:?}", scenario.sizes);
            Ok(())
        }
        Command::Run { scenario, sizes, seed, json, heathroad, without_hollow } => {
            let mut scenario = Scenario::load(&scenario)?;
            if !sizes.is_empty() {
                scenario.sizes = sizes;
            }
            scenario.seed = seed.unwrap_or(scenario.seed);
            scenario.check()?;
            run(&scenario, heathroad, !without_hollow, json.as_deref())
        }
    }
}

fn run(scenario: &Scenario, heathroad: PathBuf, hollow: bool, json: Option<&Path>) -> anyhow::Result<()> {
    real::check(scenario, hollow)?;
    if !heathroad.is_file() {
        bail!("--heathroad: {}: no such program", heathroad.display());
    }
    let options = real::Options {
        seed: scenario.seed,
        heathroad,
        program: std::env::current_exe().context("this program's own path")?,
        hollow,
        time: Duration::from_secs_f64(scenario.limits.run_s),
    };
    let machine = Machine {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load_average_before: real::usage::load_average(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let sizes = runtime.block_on(real::run(scenario, &options))?;
    let real = Real::new(scenario.seed, machine, sizes);
    print!("{real}");
    if let Some(path) = json {
        let report = rounded(json!({"real": real}));
        std::fs::write(path, report.to_string()).with_context(|| format!("--json: {}", path.display()))?;
    }
    Ok(())
}
