//! The command line of the scale test.

#![forbid(unsafe_code)]

use anyhow::{Context, bail};
use clap::{Args, Parser, Subcommand, ValueEnum};
use foldhitch_scale_test::report::{Machine, Real, SimulatedPart, rounded};
use foldhitch_scale_test::scenario::Scenario;
use foldhitch_scale_test::soak::SeedReport;
use foldhitch_scale_test::soak::plan::SoakPlan;
use foldhitch_scale_test::{real, simulated};
use serde_json::{Map, to_value};
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};
use tracing_subscriber::filter::LevelFilter;

/// Runs a fleet of proxies on one machine and measures it at several sizes.
#[derive(Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a scenario and prints the measurements.
    Run {
        /// The scenario file.
        scenario: PathBuf,
        /// Comma-separated sizes that replace those of the file.
        #[arg(long, value_delimiter = ',')]
        sizes: Vec<usize>,
        /// A seed that replaces that of the file.
        #[arg(long)]
        seed: Option<u64>,
        /// The file to which the report is written as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// The path of the proxy's executable.
        #[arg(long = "proxy", default_value = "target/release/foldhitch-proxy")]
        proxy_program: PathBuf,
        /// The part to run.
        #[arg(long, value_enum, default_value_t = Part::All)]
        part: Part,
        /// Runs the real part with real proxies only; the endpoint list still has all backends of the size.
        #[arg(long = "without-hollow")]
        without_simulated: bool,
    },
    /// Checks whether a scenario is valid and the limits allow a run.
    Check {
        /// The scenario file.
        scenario: PathBuf,
    },
    /// Runs soak seeds against the real proxy and checks the observations against the rules. Exits with 1 if a rule is
    /// broken, and with 2 if a seed can't be run or the machine was too busy for a verdict.
    Soak(SoakArguments),
    /// Hosts simulated proxies for a run.
    #[command(name = real::HOST_COMMAND, hide = true)]
    HostSimulatedProxies,
}

#[derive(Args)]
struct SoakArguments {
    /// The first seed.
    #[arg(long)]
    seed: u64,
    /// The number of consecutive seeds to run.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// Starts no further seed after this many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// The path of the proxy's executable.
    #[arg(long = "proxy", default_value = "target/release/foldhitch-proxy")]
    proxy_program: PathBuf,
    /// Prints the settings and the schedule without running them.
    #[arg(long)]
    dry_run: bool,
    /// The file to which the reports are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Part {
    /// The balancers of a simulated fleet on virtual time, deterministic for a seed.
    #[value(name = "hollow")]
    Simulated,
    /// Real processes on loopback sockets.
    Real,
    /// Both parts, the real part first.
    All,
}

fn main() -> ExitCode {
    tracing_subscriber::fmt().with_max_level(LevelFilter::INFO).with_writer(std::io::stderr).init();
    let arguments = Arguments::parse();
    let result = match &arguments.command {
        Command::Soak(soak) => return run_soak(soak),
        _ => run_command(arguments.command),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("scale: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_soak(arguments: &SoakArguments) -> ExitCode {
    match run_seeds(arguments) {
        Ok(verdict) => verdict.exit_code(),
        Err(error) => {
            eprintln!("soak: {error:#}");
            Verdict::Undecided.exit_code()
        }
    }
}

/// The verdict of a soak.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    /// All rules hold.
    Kept,
    /// A seed could not be run, or the machine was too busy for a verdict.
    Undecided,
    /// A rule is broken.
    Broken,
}

impl Verdict {
    fn of(report: &SeedReport) -> Self {
        if report.is_void {
            Verdict::Undecided
        } else if report.broken.is_empty() {
            Verdict::Kept
        } else {
            Verdict::Broken
        }
    }

    fn exit_code(self) -> ExitCode {
        match self {
            Verdict::Kept => ExitCode::SUCCESS,
            Verdict::Broken => ExitCode::from(1),
            Verdict::Undecided => ExitCode::from(2),
        }
    }
}

fn run_seeds(arguments: &SoakArguments) -> anyhow::Result<Verdict> {
    let seeds = arguments.seed..arguments.seed.saturating_add(arguments.count);
    if arguments.dry_run {
        seeds.for_each(|seed| println!("{}", SoakPlan::draw(seed)));
        return Ok(Verdict::Kept);
    }
    if !arguments.proxy_program.is_file() {
        bail!("--proxy: {}: no such program", arguments.proxy_program.display());
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let started_at = Instant::now();
    let mut reports = Vec::new();
    for seed in seeds {
        if arguments.seconds.is_some_and(|seconds| started_at.elapsed().as_secs() >= seconds) {
            break;
        }
        let report = runtime.block_on(foldhitch_scale_test::soak::run(seed, &arguments.proxy_program))?;
        print!("{report}");
        reports.push(report);
    }
    if let Some(path) = &arguments.json {
        std::fs::write(path, serde_json::to_vec(&reports)?)
            .with_context(|| format!("--json: {}", path.display()))?;
    }
    Ok(reports.iter().map(Verdict::of).max().unwrap_or(Verdict::Undecided))
}

fn run_command(command: Command) -> anyhow::Result<()> {
    match command {
        Command::Soak(_) => unreachable!("`main` handles the soak command"),
        Command::HostSimulatedProxies => real::simulated_proxies::serve(),
        Command::Check { scenario } => {
            let scenario = Scenario::load(&scenario)?;
            real::check(&scenario, true)?;
            println!("the scenario can be run: sizes {:?}", scenario.sizes);
            Ok(())
        }
        Command::Run { scenario, sizes, seed, json, proxy_program, part, without_simulated } => {
            let mut scenario = Scenario::load(&scenario)?;
            if !sizes.is_empty() {
                scenario.sizes = sizes;
            }
            scenario.seed = seed.unwrap_or(scenario.seed);
            scenario.check()?;
            let (mut report, started_at) = (Map::new(), Instant::now());
            if part != Part::Simulated {
                let real = run_real(&scenario, proxy_program, !without_simulated)?;
                print!("{real}");
                report.insert("real".to_string(), rounded(to_value(real)?));
            }
            if part != Part::Real {
                let simulated = run_simulated(&scenario, started_at)?;
                print!("{simulated}");
                report.insert("hollow".to_string(), rounded(to_value(simulated)?));
            }
            match json {
                Some(path) => std::fs::write(&path, serde_json::to_vec(&report)?)
                    .with_context(|| format!("--json: {}", path.display())),
                None => Ok(()),
            }
        }
    }
}

/// Runs the simulated part. Starts no further size once the time limit of the whole run is over.
fn run_simulated(scenario: &Scenario, started_at: Instant) -> anyhow::Result<SimulatedPart> {
    let mut sizes = Vec::new();
    for &size in &scenario.sizes {
        let limit = scenario.limits.run_s;
        if started_at.elapsed().as_secs_f64() > limit {
            bail!("limits.run_s: the run is not over after {limit} s");
        }
        tracing::info!("size {size}: running the simulated part");
        sizes.push(simulated::run(scenario, size, scenario.seed)?);
    }
    Ok(SimulatedPart::new(sizes))
}

fn run_real(scenario: &Scenario, proxy_program: PathBuf, with_simulated: bool) -> anyhow::Result<Real> {
    real::check(scenario, with_simulated)?;
    if !proxy_program.is_file() {
        bail!("--proxy: {}: no such program", proxy_program.display());
    }
    let options = real::Options {
        seed: scenario.seed,
        proxy_program,
        program: std::env::current_exe().context("path of this executable")?,
        with_simulated,
        run_timeout: Duration::from_secs_f64(scenario.limits.run_s),
    };
    let machine = Machine {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        load_average_before: real::usage::load_average(),
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let sizes = runtime.block_on(real::run(scenario, &options))?;
    Ok(Real::new(scenario.seed, machine, sizes))
}
