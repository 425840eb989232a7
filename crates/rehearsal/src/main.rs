//! `cedarbridge-rehearsal`: rehearses scenarios on sockets and in virtual time, and plays experiments.

mod fleet_command;
mod load;
mod rehearsal;

use cedarbridge::routes::RouteTable;
use cedarbridge_rehearsal::capture::CapturedDay;
use cedarbridge_rehearsal::experiment::{Experiment, InputError, Variant};
use cedarbridge_rehearsal::report::{page, table, Row};
use cedarbridge_rehearsal::simulation::simulate;
use cedarbridge_rehearsal::verdict::Verdict;
use cedarbridge_rehearsal::world::{platform, World};
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

Exit codes: 0 as expected, 1 a file was refused or the run was not as expected, 2 the call was wrong, 3 the machine
was too loaded for the run to tell anything.";

#[derive(Parser)]
#[command(
    name = "cedarbridge-rehearsal",
    version,
    about = "Rehearses the forwarder's bad days, on sockets and in virtual time."
)]
#[command(after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct SeedOptions {
    /// Days a load and variant, in place of the file's
    #[arg(long)]
    seeds: Option<u64>,
    /// The first seed; the days are drawn from it and those after it
    #[arg(long, default_value_t = 1)]
    first_seed: u64,
    /// Where to write a page with plots
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
}

/// Days without a number of their own are as many as this.
const DAYS: u64 = 10;

impl SeedOptions {
    fn days(&self) -> rehearsal::Seeds {
        rehearsal::Seeds { count: self.seeds.unwrap_or(DAYS), first: self.first_seed }
    }
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment: each variant on the same days; print the table
    Run {
        /// The experiment (YAML)
        experiment: PathBuf,
        #[command(flatten)]
        options: SeedOptions,
    },
    /// Play the same days two ways: two site files, two scenarios, or two builds of the forwarder (live)
    Compare {
        /// What to compare with
        before: PathBuf,
        /// What to judge
        after: PathBuf,
        /// The experiment whose days are played, in place of its variants
        #[arg(long, conflicts_with = "scenario", required_unless_present = "scenario")]
        experiment: Option<PathBuf>,
        /// The scenario whose days are played
        #[arg(long)]
        scenario: Option<PathBuf>,
        #[command(flatten)]
        options: SeedOptions,
    },
    /// Play an experiment at one load after another, or a scenario with one figure varied
    Sweep {
        /// The experiment or the scenario (YAML)
        file: PathBuf,
        /// What is varied of a scenario
        #[arg(long, default_value = "load")]
        vary: rehearsal::Vary,
        /// The first value; of an experiment the load, as a share of full load
        #[arg(long, alias = "load")]
        from: f64,
        /// The last value
        #[arg(long)]
        to: f64,
        /// How many values, both ends included
        #[arg(long, default_value_t = 5)]
        steps: u32,
        #[command(flatten)]
        options: SeedOptions,
    },
    /// Check scenarios or experiments and the site files that they name, and play nothing
    Check {
        /// The files (YAML); one with `phases` is a scenario
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Rehearse a scenario on sockets, with real forwarders, and leave a page
    Rehearse {
        /// The scenario (YAML)
        scenario: PathBuf,
        #[command(flatten)]
        options: rehearsal::RunOptions,
        #[command(flatten)]
        live: rehearsal::LiveOptions,
    },
    /// Send a load that holds its schedule to a forwarder, and tell how late it was itself
    Load(load::LoadArgs),
    /// Make a captured day of a forwarder's log (JSON, level debug)
    Capture {
        /// The log
        log: PathBuf,
        /// Where to write the day
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// The forwarder itself, as this kit was built with it
    #[command(hide = true)]
    Forwarder {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Starts a program that ends with its parent
    #[command(hide = true)]
    Under {
        /// The parent's process id
        parent: i32,
        #[arg(trailing_var_arg = true, allow_hyphen_values = true, required = true)]
        program: Vec<OsString>,
    },
    /// Play a scenario in virtual time with fleets of several sizes, as its section `fleet` says
    Fleet {
        /// The scenario (YAML)
        scenario: PathBuf,
        #[command(flatten)]
        options: fleet_command::FleetOptions,
    },
    /// Play a scenario in virtual time, without sockets
    Simulate {
        /// The scenario (YAML)
        scenario: PathBuf,
        #[command(flatten)]
        options: rehearsal::RunOptions,
    },
}

/// An experiment with the plan of each of its variants.
struct LoadedExperiment {
    experiment: Experiment,
    plans: Vec<Option<Arc<RouteTable>>>,
}

impl LoadedExperiment {
    fn read(path: &Path, change: impl FnOnce(&mut Experiment)) -> Result<Self, InputError> {
        let mut experiment = Experiment::read(path)?;
        change(&mut experiment);
        let folder = path.parent().unwrap_or(Path::new("."));
        let as_of = platform();
        let plans = experiment.variants.iter().map(|v| experiment.plan(v, folder, &as_of));
        let plans = plans.collect::<Result<Vec<_>, _>>()?;
        Ok(LoadedExperiment { experiment, plans })
    }

    /// Plays all days; true if no rule was broken.
    fn play(mut self, options: &SeedOptions) -> Result<bool, InputError> {
        self.experiment.seeds = options.seeds.unwrap_or(self.experiment.seeds).max(1);
        let experiment = &self.experiment;
        let (begun, mut messages) = (Instant::now(), 0);
        let mut rows = Vec::new();
        for load in &experiment.loads {
            let from = rows.len();
            rows.extend(experiment.variants.iter().map(|v| Row {
                load: *load,
                variant: v.name.clone(),
                days: Vec::new(),
                violations: Vec::new(),
            }));
            for seed in options.first_seed..options.first_seed + experiment.seeds {
                let world = World::draw(experiment, *load, seed);
                for (row, plan) in rows[from..].iter_mut().zip(&self.plans) {
                    messages += world.requests.len();
                    let (figures, violations) = simulate(&world, plan.clone(), seed);
                    row.days.push(figures);
                    row.violations.extend(violations.into_iter().map(|b| format!("seed {seed}, {b}")));
                }
            }
        }
        print!("{}", table(experiment, &rows));
        let took = begun.elapsed().as_secs_f64();
        eprintln!("played {messages} messages in {took:.2} s, {:.0} a second", messages as f64 / took);
        if let Some(out) = &options.out {
            let text = page(experiment, &rows).expect("plots of finite figures");
            std::fs::write(out, text).map_err(|e| InputError::Unreadable(out.into(), e))?;
        }
        Ok(rows.iter().all(|r| r.violations.is_empty()))
    }
}

/// A site file as a variant, found from the folder that the command was called in.
fn variant(site: &Path) -> Result<Variant, InputError> {
    let place = site.canonicalize().map_err(|e| InputError::Unreadable(site.into(), e))?;
    Ok(Variant { name: site.display().to_string(), site: Some(place) })
}

fn run(command: Command) -> Result<ExitCode, InputError> {
    match command {
        Command::Run { experiment, options } => {
            LoadedExperiment::read(&experiment, |_| {})?.play(&options).map(verdict)
        }
        Command::Compare { before, after, experiment: Some(experiment), options, .. } => {
            let variants = vec![variant(&before)?, variant(&after)?];
            LoadedExperiment::read(&experiment, |e| e.variants = variants)?.play(&options).map(verdict)
        }
        Command::Compare { before, after, scenario, options, .. } => {
            let scenario = scenario.expect("one of the two, as the call was read");
            rehearsal::compare(&before, &after, &scenario, &options.days()).map(verdict)
        }
        Command::Sweep { file, vary, from, to, steps, options } => {
            if !(from > 0.0 && to > from && to.is_finite() && steps >= 2) {
                let why = "`--from` must be above zero and under `--to`, with two steps at least";
                return Err(InputError::InvalidFigures(file, why.into()));
            }
            let at = |step: u32| from + (to - from) * f64::from(step) / f64::from(steps - 1);
            if is_scenario(&file)? {
                let values: Vec<f64> = (0..steps).map(at).collect();
                return rehearsal::sweep(&file, vary, &values, &options.days()).map(verdict);
            }
            let loads = (0..steps).map(|s| (at(s), at(s))).collect();
            LoadedExperiment::read(&file, |e| e.loads = loads)?.play(&options).map(verdict)
        }
        Command::Check { files } => {
            let mut fine = true;
            for file in &files {
                fine &= check(file)?;
            }
            Ok(verdict(fine))
        }
        Command::Fleet { scenario, options } => fleet_command::fleet(&scenario, &options).map(verdict),
        Command::Simulate { scenario, options } => rehearsal::simulate(&scenario, &options).map(verdict),
        Command::Rehearse { scenario, options, live } => {
            Ok(match rehearsal::rehearse(&scenario, &options, &live)? {
                Verdict::Passed => ExitCode::SUCCESS,
                Verdict::Failed(_) => ExitCode::FAILURE,
                Verdict::NotJudged(_) => ExitCode::from(NOT_JUDGED),
            })
        }
        Command::Load(args) => args.run().map(verdict),
        Command::Capture { log, out } => capture(&log, &out).map(verdict),
        Command::Forwarder { arguments } => {
            Ok(cedarbridge::cli::main(std::iter::once("cedarbridge".into()).chain(arguments)))
        }
        Command::Under { parent, program } => under(parent, &program),
    }
}

/// The exit code of a run that tells nothing.
const NOT_JUDGED: u8 = 3;

fn verdict(fine: bool) -> ExitCode {
    if fine {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Becomes a program that the system ends together with the parent, however that ends.
fn under(parent: i32, program: &[OsString]) -> Result<ExitCode, InputError> {
    use rustix::process::{getppid, set_parent_process_death_signal, Signal};
    use std::os::unix::process::CommandExt;
    let unfit = |e: std::io::Error| InputError::Unreadable(PathBuf::from(&program[0]), e);
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| unfit(e.into()))?;
    // It may have ended before this was asked for.
    if getppid().map(|p| p.as_raw_nonzero().get()) != Some(parent) {
        return Ok(ExitCode::FAILURE);
    }
    Err(unfit(std::process::Command::new(&program[0]).args(&program[1..]).exec()))
}

fn capture(log: &Path, out: &Path) -> Result<bool, InputError> {
    let unread = |path: &Path| {
        let path = path.to_owned();
        move |e| InputError::Unreadable(path, e)
    };
    let from = std::io::BufReader::new(std::fs::File::open(log).map_err(unread(log))?);
    let (day, odd) = CapturedDay::from_log(from).map_err(unread(log))?;
    day.write(out).map_err(unread(out))?;
    println!("{}: {} messages; {odd} lines of the log are none", out.display(), day.messages.len());
    if day.messages.is_empty() {
        eprintln!(
            "cedarbridge-rehearsal: the log has no `message received`: write it with --log-format json --log-level debug"
        );
    }
    Ok(!day.messages.is_empty())
}

/// A file with `phases` is a scenario, any other an experiment.
fn is_scenario(file: &Path) -> Result<bool, InputError> {
    let text = std::fs::read_to_string(file).map_err(|e| InputError::Unreadable(file.into(), e))?;
    Ok(text.lines().any(|l| l.starts_with("phases:")))
}

fn check(file: &Path) -> Result<bool, InputError> {
    if is_scenario(file)? {
        let ready = rehearsal::LoadedScenario::read(file)?;
        println!(
            "{}: {} partners, {} forwarders, {} s, nothing against it",
            file.display(),
            ready.scenario.destination_count(),
            ready.scenario.forwarders.count,
            ready.scenario.length() / 1_000_000
        );
        return Ok(true);
    }
    let ready = LoadedExperiment::read(file, |_| {})?;
    let (variants, loads) = (ready.plans.len(), ready.experiment.loads.len());
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
