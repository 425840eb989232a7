//! `cedarbridge-lab`: plays experiments in virtual time.

use cedarbridge::routes::Plan;
use cedarbridge_lab::experiment::{Experiment, Unfit, Variant};
use cedarbridge_lab::play::play;
use cedarbridge_lab::report::{page, table, Row};
use cedarbridge_lab::world::{platform, World};
use clap::{Args, Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Instant;

const EXAMPLES: &str = "\
Examples:
  cedarbridge-lab run crates/lab/experiments/slow-partner.yaml --out report.html
  cedarbridge-lab compare old-site.yaml new-site.yaml --experiment crates/lab/experiments/slow-partner.yaml --seeds 20
  cedarbridge-lab sweep crates/lab/experiments/slow-partner.yaml --load 0.5 --to 1.3 --steps 5
  cedarbridge-lab check crates/lab/experiments/slow-partner.yaml

Exit codes: 0 fine, 1 a file was refused or a rule was broken, 2 the call was wrong.";

#[derive(Parser)]
#[command(name = "cedarbridge-lab", version, about = "Plays experiments with the forwarder in virtual time.")]
#[command(after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Args)]
struct How {
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

#[derive(Subcommand)]
enum Command {
    /// Play an experiment: each variant on the same days; print the table
    Run {
        /// The experiment (YAML)
        experiment: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Play an experiment's days under two site files, in place of its variants
    Compare {
        /// The site file to compare with
        before: PathBuf,
        /// The site file to judge
        after: PathBuf,
        /// The experiment whose days are played
        #[arg(long)]
        experiment: PathBuf,
        #[command(flatten)]
        how: How,
    },
    /// Play an experiment at one load after another, in place of its loads
    Sweep {
        /// The experiment (YAML)
        experiment: PathBuf,
        /// The first load, as a share of full load
        #[arg(long)]
        load: f64,
        /// The last load
        #[arg(long)]
        to: f64,
        /// How many loads, both ends included
        #[arg(long, default_value_t = 5)]
        steps: u32,
        #[command(flatten)]
        how: How,
    },
    /// Check an experiment and the site files that it names, and play nothing
    Check {
        /// The experiment (YAML)
        experiment: PathBuf,
    },
}

/// An experiment with the plan of each of its variants.
struct Ready {
    experiment: Experiment,
    plans: Vec<Option<Arc<Plan>>>,
}

impl Ready {
    fn read(path: &Path, change: impl FnOnce(&mut Experiment)) -> Result<Self, Unfit> {
        let mut experiment = Experiment::read(path)?;
        change(&mut experiment);
        let folder = path.parent().unwrap_or(Path::new("."));
        let as_of = platform();
        let plans = experiment.variants.iter().map(|v| experiment.plan(v, folder, &as_of));
        let plans = plans.collect::<Result<Vec<_>, _>>()?;
        Ok(Ready { experiment, plans })
    }

    /// Plays all days; true if no rule was broken.
    fn play(mut self, how: &How) -> Result<bool, Unfit> {
        self.experiment.seeds = how.seeds.unwrap_or(self.experiment.seeds).max(1);
        let experiment = &self.experiment;
        let (begun, mut messages) = (Instant::now(), 0);
        let mut rows = Vec::new();
        for load in &experiment.loads {
            let from = rows.len();
            rows.extend(experiment.variants.iter().map(|v| Row {
                load: *load,
                variant: v.name.clone(),
                days: Vec::new(),
                broken: Vec::new(),
            }));
            for seed in how.first_seed..how.first_seed + experiment.seeds {
                let world = World::draw(experiment, *load, seed);
                for (row, plan) in rows[from..].iter_mut().zip(&self.plans) {
                    messages += world.hands.len();
                    let (figures, broken) = play(&world, plan.clone(), seed);
                    row.days.push(figures);
                    row.broken.extend(broken.into_iter().map(|b| format!("seed {seed}, {b}")));
                }
            }
        }
        print!("{}", table(experiment, &rows));
        let took = begun.elapsed().as_secs_f64();
        eprintln!("played {messages} messages in {took:.2} s, {:.0} a second", messages as f64 / took);
        if let Some(out) = &how.out {
            let text = page(experiment, &rows).expect("plots of finite figures");
            std::fs::write(out, text).map_err(|e| Unfit::Unread(out.into(), e))?;
        }
        Ok(rows.iter().all(|r| r.broken.is_empty()))
    }
}

/// A site file as a variant, found from the folder that the command was called in.
fn variant(site: &Path) -> Result<Variant, Unfit> {
    let place = site.canonicalize().map_err(|e| Unfit::Unread(site.into(), e))?;
    Ok(Variant { name: site.display().to_string(), site: Some(place) })
}

fn run(command: Command) -> Result<bool, Unfit> {
    match command {
        Command::Run { experiment, how } => Ready::read(&experiment, |_| {})?.play(&how),
        Command::Compare { before, after, experiment, how } => {
            let variants = vec![variant(&before)?, variant(&after)?];
            Ready::read(&experiment, |e| e.variants = variants)?.play(&how)
        }
        Command::Sweep { experiment, load, to, steps, how } => {
            if !(load > 0.0 && to > load && to.is_finite() && steps >= 2) {
                let why = "`--load` must be above zero and under `--to`, with two steps at least";
                return Err(Unfit::Figures(experiment, why.into()));
            }
            let at = |step: u32| load + (to - load) * f64::from(step) / f64::from(steps - 1);
            let loads = (0..steps).map(|s| (at(s), at(s))).collect();
            Ready::read(&experiment, |e| e.loads = loads)?.play(&how)
        }
        Command::Check { experiment } => {
            let ready = Ready::read(&experiment, |_| {})?;
            let (variants, loads) = (ready.plans.len(), ready.experiment.loads.len());
            println!("{}: {variants} variants, {loads} loads, nothing against it", experiment.display());
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("cedarbridge-lab: {e}");
            ExitCode::from(if matches!(e, Unfit::Unread(..)) { 2 } else { 1 })
        }
    }
}
