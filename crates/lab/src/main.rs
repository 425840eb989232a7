//! `cedarbridge-lab`: plays experiments in virtual time.

use cedarbridge_lab::experiment::{Experiment, Unfit};
use cedarbridge_lab::play::play;
use cedarbridge_lab::report::{page, table, Row};
use cedarbridge_lab::world::{platform, World};
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Instant;

const EXAMPLES: &str = "\
Examples:
  cedarbridge-lab run crates/lab/experiments/slow-partner.yaml
  cedarbridge-lab run crates/lab/experiments/slow-partner.yaml --seeds 3 --out report.html

Exit codes: 0 fine, 1 a file was refused or a rule was broken, 2 the call was wrong.";

#[derive(Parser)]
#[command(name = "cedarbridge-lab", version, about = "Plays experiments with the forwarder in virtual time.")]
#[command(after_help = EXAMPLES)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play an experiment: each variant on the same days; print the table
    Run {
        /// The experiment (YAML)
        experiment: PathBuf,
        /// Days a load and variant, in place of the file's
        #[arg(long)]
        seeds: Option<u64>,
        /// The first seed; the days are drawn from it and those after it
        #[arg(long, default_value_t = 1)]
        first_seed: u64,
        /// Where to write a page with plots
        #[arg(long, value_name = "FILE")]
        out: Option<PathBuf>,
    },
}

fn run(path: &Path, seeds: Option<u64>, first: u64, out: Option<&Path>) -> Result<bool, Unfit> {
    let mut experiment = Experiment::read(path)?;
    experiment.seeds = seeds.unwrap_or(experiment.seeds).max(1);
    let folder = path.parent().unwrap_or(Path::new("."));
    let (settings, names) = platform();
    let as_of = (settings, names);
    let plans = experiment.variants.iter().map(|v| experiment.plan(v, folder, &as_of));
    let plans = plans.collect::<Result<Vec<_>, _>>()?;
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
        for seed in first..first + experiment.seeds {
            let world = World::draw(&experiment, *load, seed);
            for (row, plan) in rows[from..].iter_mut().zip(&plans) {
                messages += world.hands.len();
                let (figures, broken) = play(&world, plan.clone(), seed);
                row.days.push(figures);
                row.broken.extend(broken.into_iter().map(|b| format!("seed {seed}, {b}")));
            }
        }
    }
    print!("{}", table(&experiment, &rows));
    let took = begun.elapsed().as_secs_f64();
    eprintln!("played {messages} messages in {took:.2} s, {:.0} a second", messages as f64 / took);
    if let Some(out) = out {
        let text = page(&experiment, &rows).expect("plots of finite figures");
        std::fs::write(out, text).map_err(|e| Unfit::Unread(out.into(), e))?;
    }
    Ok(rows.iter().all(|r| r.broken.is_empty()))
}

fn main() -> ExitCode {
    let Command::Run { experiment, seeds, first_seed, out } = Cli::parse().command;
    match run(&experiment, seeds, first_seed, out.as_deref()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("cedarbridge-lab: {e}");
            ExitCode::from(if matches!(e, Unfit::Unread(..)) { 2 } else { 1 })
        }
    }
}
