//! The soak: a few dozen real forwarders on loopback, with the surroundings that this program plays, under two or three troubles
//! at a time, judged from outside. See `docs/soak.md`.

mod agent;
mod client;
mod endpoint;
mod forwarder;
mod judge;
mod troubles;
mod world;

use async_executor::LocalExecutor;
use clap::{Parser, Subcommand};
use forwarder::Forwarder;
use judge::Judge;
use rustix::process::{set_parent_process_death_signal, Signal};
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};
use world::{sleep, Size, World};

/// What is left may end for so long after the last message.
const TAIL: Duration = Duration::from_secs(9);
/// So long after the last trouble everything must be well again.
const CALM: Duration = Duration::from_millis(3_000);
/// Troubles begin so long after the start.
const LEAD: Duration = Duration::from_millis(500);

#[derive(Parser)]
#[command(about = "Runs real forwarders under overlapping troubles and judges them from outside.")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a number of seeds
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, one after the other
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Forwarders, each a process
        #[arg(long, default_value_t = 24)]
        forwarders: usize,
        /// Seconds of troubles
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Messages a second for each forwarder
        #[arg(long, default_value_t = 15.0)]
        rate: f64,
        /// Milliseconds for which a client waits for its answer; the platform's wait 400
        #[arg(long, default_value_t = 400)]
        patience: u64,
        /// Where to keep files and logs; without it, a folder that goes with a run in which all held
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// The forwarder, as the soak was built with it
    #[command(hide = true)]
    Forwarder {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Forwarder { arguments } => {
            // It ends with the soak, however that ends.
            let _ = set_parent_process_death_signal(Some(Signal::KILL));
            cedarbridge::cli::main(std::iter::once(OsString::from("cedarbridge")).chain(arguments))
        }
        Command::Run { seed, seeds, forwarders, seconds, rate, patience, keep } => {
            let patience = Duration::from_millis(patience);
            let size = Size { forwarders, lasts: Duration::from_secs(seconds), rate, patience };
            let mut broken = 0;
            for seed in seed..seed + seeds {
                broken += play(seed, size, keep.as_ref());
            }
            println!("{seeds} seeds, {broken} violations");
            if broken == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Plays a seed; how many invariants did not hold.
fn play(seed: u64, size: Size, keep: Option<&PathBuf>) -> usize {
    let own = std::env::temp_dir().join(format!("cedarbridge-soak-test-{}-{seed}", std::process::id()));
    let folder = keep.map_or(own, |k| k.join(format!("seed-{seed}")));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    let executor = Rc::new(LocalExecutor::new());
    let world = Rc::new(World {
        executor: executor.clone(),
        size,
        seed,
        random: fastrand::Rng::with_seed(seed).into(),
        judge: Judge::new(size.forwarders).into(),
        endpoints: Vec::new().into(),
        generation: 1.into(),
        discovery: Default::default(),
        classes: troubles::classes(),
        quiet: false.into(),
        closing: false.into(),
        begun: Instant::now(),
    });
    async_io::block_on(executor.run(day(&world, &folder)));
    let judge = world.judge.borrow();
    for violation in judge.violations.iter().take(40) {
        println!("seed {seed}: {violation}");
    }
    let counts: Vec<String> = judge.counts.iter().map(|(what, count)| format!("{what} {count}")).collect();
    println!("seed {seed}: {} violations; {}", judge.violations.len(), counts.join(", "));
    if judge.violations.is_empty() && keep.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("seed {seed}: logs in {}", folder.display());
    }
    judge.violations.len()
}

async fn day(world: &Rc<World>, folder: &std::path::Path) {
    for number in 0..troubles::DESTINATIONS * troubles::ENDPOINTS {
        let begun = endpoint::begin(world, format!("e{number}"), number % troubles::DESTINATIONS, number % 2);
        begun.expect("an endpoint");
    }
    let forwarders: Vec<Rc<Forwarder>> = (0..world.size.forwarders)
        .map(|number| Rc::new(Forwarder::prepare(world, number, folder).expect("a forwarder's files")))
        .collect();
    let forwarders = Rc::new(forwarders);
    for forwarder in forwarders.iter() {
        forwarder.start(world).await;
        world.spawn(client::run(world.clone(), forwarder.clone()));
    }
    sleep(LEAD).await;
    troubles::run(world.clone(), forwarders.clone()).await;
    sleep(world.size.lasts).await;
    world.quiet.set(true);
    while forwarders.iter().any(|f| f.busy.get()) {
        sleep(Duration::from_millis(20)).await;
    }
    // All is well again: what comes now is served.
    sleep(CALM).await;
    world.closing.set(true);
    let until = Instant::now() + TAIL;
    while world.judge.borrow().waits_for() > 0 && Instant::now() < until {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(500)).await;
    for forwarder in forwarders.iter() {
        forwarder.inspect(world).await;
    }
    for forwarder in forwarders.iter() {
        // Together, as at the end of a day.
        let (world, forwarder) = (world.clone(), forwarder.clone());
        world.clone().spawn(async move { forwarder.end(&world, None).await });
    }
    while forwarders.iter().any(|f| f.alive()) {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(100)).await;
    world.judge.borrow_mut().close();
}
