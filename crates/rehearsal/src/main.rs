//! `cedarbridge-rehearsal`: runs scenarios on sockets and in virtual time, and compares variants in experiments.

mod fleet_command;
mod load_command;
mod scenario_commands;

use cedarbridge::routes::RouteTable;
use cedarbridge_rehearsal::captured_traffic::CapturedTraffic;
use cedarbridge_rehearsal::environment::{platform_defaults, Environment};
use cedarbridge_rehearsal::experiment::{Experiment, InputError, Variant};
use cedarbridge_rehearsal::report::{page, table, Row};
use cedarbridge_rehearsal::simulation::simulate;
use cedarbridge_rehearsal::verdict::Verdict;
use clap::{Args, Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

const EXAMPLES: &str = "\
Examples:
  cedarbridge-rehearsal run crates/rehearsal/experiments/slow-partner.yaml --out report.html
  cedarbridge-rehearsal compare old-site.yaml new-site.yaml --scenario scenarios/overrun-120.yaml --seeds 20
  cedarbridge-rehearsal sweep scenarios/overrun-110.yaml --vary headroom --from 0.8 --to 1.4 --steps 5
  cedarbridge-rehearsal rehearse scenarios/overrun-110.yaml
  cedarbridge-rehearsal simulate scenarios/large.yaml --html large.html
  cedarbridge-rehearsal fleet scenarios/fleet-growth.yaml --html fleet.html
  cedarbridge-rehearsal check scenarios/*.yaml crates/rehearsal/experiments/slow-partner.yaml

Exit codes: 0 as expected, 1 a file has errors or the run was not as expected, 2 the arguments are wrong or a file
cannot be read, 3 the machine was too loaded to judge the run.";

#[derive(Parser)]
#[command(
    name = "cedarbridge-rehearsal",
    version,
    about = "Tests the forwarder under load and faults, on sockets and in virtual time."
)]
#[command(after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct SeedOptions {
    /// Runs for each load and variant, in place of the file's
    #[arg(long)]
    seeds: Option<u64>,
    /// The seed of the first run; the seeds of the others count up from it
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Where to write the HTML page with plots
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// The number of runs of the commands `compare` and `sweep` on a scenario, unless `--seeds` is given.
const DEFAULT_RUNS: u64 = 10;

impl SeedOptions {
    fn seeds(&self) -> scenario_commands::Seeds {
        scenario_commands::Seeds { count: self.seeds.unwrap_or(DEFAULT_RUNS), first: self.first_seed }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Run an experiment: each variant with the same seeds; print the table
    Run {
        /// The experiment (YAML)
        experiment: PathBuf,
        #[command(flatten)]
        options: SeedOptions,
    },
    /// Compare two site files, two scenarios, or two builds of the forwarder (live), with the same seeds
    Compare {
        /// The baseline
        before: PathBuf,
        /// What is compared with the baseline
        after: PathBuf,
        /// The experiment to run, with the two site files in place of its variants
        #[arg(long, conflicts_with = "scenario", required_unless_present = "scenario")]
        experiment: Option<PathBuf>,
        /// The scenario to run
        #[arg(long)]
        scenario: Option<PathBuf>,
        #[command(flatten)]
        options: SeedOptions,
    },
    /// Run an experiment at one load after another, or a scenario with one value varied
    Sweep {
        /// The experiment or the scenario (YAML)
        file: PathBuf,
        /// The value of the scenario that is varied
        #[arg(long, default_value = "load")]
        vary: scenario_commands::Vary,
        /// The first value; for an experiment the load, as a share of full load
        #[arg(long, alias = "load")]
        from: f64,
        /// The last value
        #[arg(long)]
        to: f64,
        /// The number of values, with the first and the last one
        #[arg(long, default_value_t = 5)]
        steps: u32,
        #[command(flatten)]
        options: SeedOptions,
    },
    /// Check scenarios or experiments and the site files that they name, without a run
    Check {
        /// The files (YAML); one with `phases` is a scenario
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Run a scenario on sockets, with real forwarders, and write an HTML page
    Rehearse {
        /// The scenario (YAML)
        scenario: PathBuf,
        #[command(flatten)]
        options: scenario_commands::RunOptions,
        #[command(flatten)]
        live: scenario_commands::LiveOptions,
    },
    /// Send messages to a forwarder on a fixed schedule, and report latencies and late sends
    Load(load_command::LoadArgs),
    /// Extract the traffic from a forwarder's log (JSON, level debug)
    Capture {
        /// The log
        log: PathBuf,
        /// Where to write the captured traffic
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Run the forwarder that this program was built with
    #[command(hide = true)]
    Forwarder {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Run a program that the system ends together with its parent
    #[command(hide = true)]
    Under {
        /// The parent's process id
        parent: i32,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
        program: Vec<OsString>,
    },
    /// Run a scenario in virtual time with the fleets of its section `fleet`
    Fleet {
        /// The scenario (YAML)
        scenario: PathBuf,
        #[command(flatten)]
        options: fleet_command::FleetOptions,
    },
    /// Run a scenario in virtual time, without sockets
    Simulate {
        /// The scenario (YAML)
        scenario: PathBuf,
        #[command(flatten)]
        options: scenario_commands::RunOptions,
    },
}

/// An experiment with the routes of each of its variants.
struct LoadedExperiment {
    experiment: Experiment,
    route_tables: Vec<Option<Arc<RouteTable>>>,
}

impl LoadedExperiment {
    fn read(path: &Path, change: impl FnOnce(&mut Experiment)) -> Result<Self, InputError> {
        let mut experiment = Experiment::read(path)?;
        change(&mut experiment);
        let folder = path.parent().unwrap_or(Path::new("."));
        let platform = platform_defaults();
        let route_tables = experiment.variants.iter().map(|v| experiment.load_routes(v, folder, &platform));
        let route_tables = route_tables.collect::<Result<Vec<_>, _>>()?;
        Ok(LoadedExperiment { experiment, route_tables })
    }

    /// Runs each variant at each load with each seed, and prints the table. Returns whether no rule was violated.
    fn run(mut self, options: &SeedOptions) -> Result<bool, InputError> {
        self.experiment.seeds = options.seeds.unwrap_or(self.experiment.seeds).max(1);
        let experiment = &self.experiment;
        let (started, mut messages) = (Instant::now(), 0);
        let mut rows = Vec::new();
        for load in &experiment.loads {
            let from = rows.len();
            rows.extend(experiment.variants.iter().map(|v| Row {
                load: *load,
                variant: v.name.clone(),
                runs: Vec::new(),
                violations: Vec::new(),
            }));
            for seed in options.first_seed..options.first_seed + experiment.seeds {
                let environment = Environment::generate(experiment, *load, seed);
                for (row, route_table) in rows[from..].iter_mut().zip(&self.route_tables) {
                    messages += environment.requests.len();
                    let (figures, violations) = simulate(&environment, route_table.clone(), seed);
                    row.runs.push(figures);
                    row.violations.extend(violations.into_iter().map(|v| format!("seed {seed}, {v}")));
                }
            }
        }
        print!("{}", table(experiment, &rows));
        let took = started.elapsed().as_secs_f64();
        eprintln!("simulated {messages} messages in {took:.2} s, {:.0} a second", messages as f64 / took);
        if let Some(out) = &options.out {
            let text = page(experiment, &rows).expect("plots of finite figures");
            std::fs::write(out, text).map_err(|e| InputError::Unreadable(out.into(), e))?;
        }
        Ok(rows.iter().all(|r| r.violations.is_empty()))
    }
}

/// A variant with a site file; the path is relative to the working directory.
fn site_variant(site: &Path) -> Result<Variant, InputError> {
    let path = site.canonicalize().map_err(|e| InputError::Unreadable(site.into(), e))?;
    Ok(Variant { name: site.display().to_string(), site: Some(path) })
}

fn run(command: Command) -> Result<ExitCode, InputError> {
    match command {
        Command::Run { experiment, options } => {
            LoadedExperiment::read(&experiment, |_| {})?.run(&options).map(exit_code)
        }
        Command::Compare { before, after, experiment: Some(experiment), options, .. } => {
            let variants = vec![site_variant(&before)?, site_variant(&after)?];
            LoadedExperiment::read(&experiment, |e| e.variants = variants)?.run(&options).map(exit_code)
        }
        Command::Compare { before, after, scenario, options, .. } => {
            let scenario = scenario.expect("clap requires a scenario without an experiment");
            scenario_commands::compare(&before, &after, &scenario, &options.seeds()).map(exit_code)
        }
        Command::Sweep { file, vary, from, to, steps, options } => {
            if !(from > 0.0 && to > from && to.is_finite() && steps >= 2) {
                let reason = "`--from` must be above 0 and below `--to`, and `--steps` at least 2";
                return Err(InputError::InvalidValues(file, reason.into()));
            }
            let value_at = |step: u32| from + (to - from) * f64::from(step) / f64::from(steps - 1);
            if is_scenario(&file)? {
                let values: Vec<f64> = (0..steps).map(value_at).collect();
                return scenario_commands::sweep(&file, vary, &values, &options.seeds()).map(exit_code);
            }
            let loads = (0..steps).map(|s| (value_at(s), value_at(s))).collect();
            LoadedExperiment::read(&file, |e| e.loads = loads)?.run(&options).map(exit_code)
        }
        Command::Check { files } => {
            let mut all_valid = true;
            for file in &files {
                all_valid &= check(file)?;
            }
            Ok(exit_code(all_valid))
        }
        Command::Fleet { scenario, options } => fleet_command::fleet(&scenario, &options).map(exit_code),
        Command::Simulate { scenario, options } => {
            scenario_commands::simulate(&scenario, &options).map(exit_code)
        }
        Command::Rehearse { scenario, options, live } => {
            Ok(match scenario_commands::rehearse(&scenario, &options, &live)? {
                Verdict::Passed => ExitCode::SUCCESS,
                Verdict::Failed(_) => ExitCode::FAILURE,
                Verdict::NotJudged(_) => ExitCode::from(NOT_JUDGED),
            })
        }
        Command::Load(args) => args.run().map(exit_code),
        Command::Capture { log, out } => capture(&log, &out).map(exit_code),
        Command::Forwarder { arguments } => {
            Ok(cedarbridge::cli::main(std::iter::once("cedarbridge".into()).chain(arguments)))
        }
        Command::Under { parent, program } => exec_with_parent(parent, &program),
    }
}

/// The exit code of a run on a machine that was too loaded for a verdict.
const NOT_JUDGED: u8 = 3;

fn exit_code(passed: bool) -> ExitCode {
    if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Replaces this process by a program that the system kills when the parent ends for any reason.
fn exec_with_parent(parent: i32, program: &[OsString]) -> Result<ExitCode, InputError> {
    use rustix::process::{getppid, set_parent_process_death_signal, Signal};
    use std::os::unix::process::CommandExt;
    let cannot_run = |e: std::io::Error| InputError::Unreadable(PathBuf::from(&program[0]), e);
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| cannot_run(e.into()))?;
    // The parent may have ended before the signal was set.
    if getppid().map(|p| p.as_raw_nonzero().get()) != Some(parent) {
        return Ok(ExitCode::FAILURE);
    }
    Err(cannot_run(std::process::Command::new(&program[0]).args(&program[1..]).exec()))
}

/// Writes the traffic of a forwarder's log to a file. Returns whether the log has any messages.
fn capture(log: &Path, out: &Path) -> Result<bool, InputError> {
    let file_error = |path: &Path| {
        let path = path.to_owned();
        move |e| InputError::Unreadable(path, e)
    };
    let reader = std::io::BufReader::new(std::fs::File::open(log).map_err(file_error(log))?);
    let (traffic, invalid_lines) = CapturedTraffic::from_log(reader).map_err(file_error(log))?;
    traffic.write(out).map_err(file_error(out))?;
    println!(
        "{}: {} messages; {invalid_lines} lines of the log are none",
        out.display(),
        traffic.messages.len()
    );
    if traffic.messages.is_empty() {
        eprintln!(
            "cedarbridge-rehearsal: the log has no `message received`: write it with --log-format json --log-level debug"
        );
    }
    Ok(!traffic.messages.is_empty())
}

/// Whether a file is a scenario: it has a section `phases`. Any other file is an experiment.
fn is_scenario(file: &Path) -> Result<bool, InputError> {
    let text = std::fs::read_to_string(file).map_err(|e| InputError::Unreadable(file.into(), e))?;
    Ok(text.lines().any(|l| l.starts_with("phases:")))
}

/// Checks a scenario or an experiment, and prints its sizes.
fn check(file: &Path) -> Result<bool, InputError> {
    if is_scenario(file)? {
        let loaded = scenario_commands::LoadedScenario::read(file)?;
        println!(
            "{}: {} partners, {} forwarders, {} s, nothing against it",
            file.display(),
            loaded.scenario.destination_count(),
            loaded.scenario.forwarders.count,
            loaded.scenario.length() / 1_000_000
        );
        return Ok(true);
    }
    let loaded = LoadedExperiment::read(file, |_| {})?;
    let (variants, loads) = (loaded.route_tables.len(), loaded.experiment.loads.len());
    println!("{}: {variants} variants, {loads} loads, nothing against it", file.display());
    Ok(true)
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("cedarbridge-rehearsal: {e}");
            ExitCode::from(if matches!(e, InputError::Unreadable(..)) { 2 } else { 1 })
        }
    }
}
