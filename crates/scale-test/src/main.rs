//! The command line of the scale run.

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
        #[arg(long = "proxy", default_value = "target/release/foldhitch-proxy")]
        proxy_program: PathBuf,
        /// What is played.
        #[arg(long, value_enum, default_value_t = Part::All)]
        part: Part,
        /// In the real part, real proxies alone, with the whole size listed.
        #[arg(long = "without-hollow")]
        without_simulated: bool,
    },
    /// Reads a scenario and says whether it and the machine's limits allow a run.
    Check {
        /// The scenario file.
        scenario: PathBuf,
    },
    /// Plays seeds against the real program and checks what is seen by the rules. Exits with 1 where one is broken, with
    /// 2 where a seed can't be played or the machine was too busy for a verdict.
    Soak(SoakArguments),
    /// Hosts hollow proxies for a run.
    #[command(name = real::HOST_COMMAND, hide = true)]
    HostSimulatedProxies,
}

#[derive(Args)]
struct SoakArguments {
    /// The first seed.
    #[arg(long)]
    seed: u64,
    /// How many seeds, one after the other.
    #[arg(long, default_value_t = 1)]
    count: u64,
    /// No seed is begun after so many seconds.
    #[arg(long)]
    seconds: Option<u64>,
    /// The real proxy's program.
    #[arg(long = "proxy", default_value = "target/release/foldhitch-proxy")]
    proxy_program: PathBuf,
    /// Prints settings and schedule, and plays nothing.
    #[arg(long)]
    dry_run: bool,
    /// A file that takes the reports as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Part {
    /// The decision modules of a fleet on virtual time, the same for a seed.
    #[value(name = "hollow")]
    Simulated,
    /// Processes on loopback sockets.
    Real,
    /// Both, the real part first.
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

/// What comes of a soak.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Verdict {
    /// All rules hold.
    Kept,
    /// It could not be played, or the machine was too busy.
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
        Command::Soak(_) => unreachable!("it was run"),
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

/// Begins no size once the time of the whole run is over.
fn run_simulated(scenario: &Scenario, started_at: Instant) -> anyhow::Result<SimulatedPart> {
    let mut sizes = Vec::new();
    for &size in &scenario.sizes {
        let limit = scenario.limits.run_s;
        if started_at.elapsed().as_secs_f64() > limit {
            bail!("limits.run_s: the run is not over after {limit} s");
        }
        tracing::info!("size {size}: hollow part");
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
        program: std::env::current_exe().context("this program's own path")?,
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
