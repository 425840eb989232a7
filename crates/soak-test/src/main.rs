//! The soak test runs a few dozen real forwarders on loopback, injects faults that overlap and checks invariants from
//! outside. This program provides everything around the forwarders: clients, endpoints and the platform's agents. See
//! `docs/soak.md`.

mod checker;
mod client;
mod copies;
mod deployment;
mod endpoint;
mod environment;
mod faults;
mod forwarder;
mod hold_ups;
mod message;
mod observation;
mod platform;
mod process;
mod slow_start;

use async_executor::LocalExecutor;
use checker::InvariantChecker;
use clap::{Parser, Subcommand};
use environment::{sleep, Environment, RunOptions};
use forwarder::Forwarder;
use rustix::process::{set_parent_process_death_signal, Signal};
use std::ffi::OsString;
use std::fs::File;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the run waits for accepted messages to be delivered or reported after the last submission.
const DRAIN_TIME: Duration = Duration::from_secs(9);
/// Clients keep submitting for this long after the last fault; everything must have recovered by its end.
const RECOVERY_TIME: Duration = Duration::from_millis(3_000);
/// The most violations of one seed that are printed.
const MAX_SHOWN: usize = 40;
/// Time between the start of the clients and the first fault.
const WARM_UP: Duration = Duration::from_millis(500);

#[derive(Parser)]
#[command(about = "Runs real forwarders under overlapping faults and checks invariants from outside.")]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a number of seeds, with hand-overs in every second one, idle clients in every third, and copied responses in four
    /// of five
    Run {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of consecutive seeds to run, one after the other
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Number of forwarder processes
        #[arg(long, default_value_t = 24)]
        forwarders: usize,
        /// Seconds during which faults are injected
        #[arg(long, default_value_t = 30)]
        seconds: u64,
        /// Messages per second to each forwarder
        #[arg(long, default_value_t = 15.0)]
        rate: f64,
        /// Milliseconds that a client waits for its response; the platform's clients wait 400
        #[arg(long, default_value_t = 400)]
        patience: u64,
        /// Folder for files and logs; by default a temporary one that is removed unless an invariant was violated
        #[arg(long)]
        keep: Option<PathBuf>,
    },
    /// Run the forwarder that the soak test was built with
    #[command(hide = true)]
    Forwarder {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

fn main() -> ExitCode {
    match Arguments::parse().command {
        Command::Forwarder { arguments } => {
            // The forwarder is killed when the soak test ends in any way. If the signal cannot be set, `Forwarder::drop`
            // kills it.
            let _ = set_parent_process_death_signal(Some(Signal::KILL));
            cedarbridge::cli::main(std::iter::once(OsString::from("cedarbridge")).chain(arguments))
        }
        Command::Run { seed, seeds, forwarders, seconds, rate, patience, keep } => {
            let client_timeout = Duration::from_millis(patience);
            let fault_duration = Duration::from_secs(seconds);
            let mut violations = 0;
            for seed in seed..seed + seeds {
                let (hand_overs, idle_clients) = (seed.is_multiple_of(2), seed.is_multiple_of(3));
                let copied_responses = seed % 5 != 4;
                let options = RunOptions {
                    forwarders,
                    fault_duration,
                    rate,
                    client_timeout,
                    hand_overs,
                    copied_responses,
                    idle_clients,
                };
                violations += run_seed(seed, options, keep.as_ref());
            }
            println!("{seeds} seeds, {violations} violations");
            if violations == 0 {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
    }
}

/// Runs one seed, prints its violations and counts, and returns the number of violations.
fn run_seed(seed: u64, options: RunOptions, keep: Option<&PathBuf>) -> usize {
    let default_folder =
        std::env::temp_dir().join(format!("cedarbridge-soak-test-{}-{seed}", std::process::id()));
    let folder = keep.map_or(default_folder, |folder| folder.join(format!("seed-{seed}")));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("the run's folder can be created");
    let executor = Rc::new(LocalExecutor::new());
    let environment = Rc::new(Environment {
        executor: executor.clone(),
        options,
        seed,
        random: fastrand::Rng::with_seed(seed).into(),
        checker: InvariantChecker::new(options.forwarders, deployment::DESTINATION_COUNT).into(),
        hold_ups: Vec::new().into(),
        endpoints: Vec::new().into(),
        list_generation: 1.into(),
        discovery: Default::default(),
        classes: deployment::classes(),
        destinations_down: vec![false; deployment::DESTINATION_COUNT].into(),
        faults_ended: false.into(),
        submissions_ended: false.into(),
        started_at: Instant::now(),
        event_log: File::create(folder.join("events")).expect("the event log can be created").into(),
    });
    async_io::block_on(executor.run(execute_run(&environment, &folder)));
    let checker = environment.checker.borrow();
    for violation in checker.violations.iter().take(MAX_SHOWN) {
        println!("seed {seed}: {violation}");
        if let Some(history) = checker.history(violation) {
            println!("{history}");
        }
    }
    let counts: Vec<String> = checker.counts.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("seed {seed}: {} violations; {}", checker.violations.len(), counts.join(", "));
    if checker.violations.is_empty() && keep.is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        println!("seed {seed}: logs in {}", folder.display());
    }
    checker.violations.len()
}

/// Starts endpoints, forwarders and clients, injects faults, lets everything recover, and makes the final checks.
async fn execute_run(environment: &Rc<Environment>, folder: &std::path::Path) {
    for number in 0..deployment::DESTINATION_COUNT * deployment::ENDPOINTS_PER_DESTINATION {
        let endpoint = endpoint::start(
            environment,
            format!("e{number}"),
            number % deployment::DESTINATION_COUNT,
            number % 2,
        );
        endpoint.expect("an endpoint can be started");
    }
    let forwarders: Vec<Rc<Forwarder>> = (0..environment.options.forwarders)
        .map(|number| {
            Rc::new(
                Forwarder::prepare(environment, number, folder).expect("a forwarder's files can be written"),
            )
        })
        .collect();
    let forwarders = Rc::new(forwarders);
    for forwarder in forwarders.iter() {
        forwarder.start(environment).await;
        environment.spawn(client::run(environment.clone(), forwarders.clone(), forwarder.number));
    }
    sleep(WARM_UP).await;
    faults::run(environment.clone(), forwarders.clone()).await;
    sleep(environment.options.fault_duration).await;
    environment.faults_ended.set(true);
    while forwarders.iter().any(|f| f.operation_in_progress.get()) {
        sleep(Duration::from_millis(20)).await;
    }
    // Clients keep submitting while everything recovers.
    sleep(RECOVERY_TIME).await;
    environment.submissions_ended.set(true);
    let drain_deadline = Instant::now() + DRAIN_TIME;
    while environment.checker.borrow().open_messages() > 0 && Instant::now() < drain_deadline {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(500)).await;
    for forwarder in forwarders.iter() {
        forwarder.check_at_end(environment).await;
    }
    for forwarder in forwarders.iter() {
        // All forwarders are terminated at the same time.
        let (environment, forwarder) = (environment.clone(), forwarder.clone());
        environment.clone().spawn(async move { forwarder.terminate(&environment, None).await });
    }
    while forwarders.iter().any(|f| f.is_alive()) {
        sleep(Duration::from_millis(20)).await;
    }
    sleep(Duration::from_millis(100)).await;
    environment.checker.borrow_mut().finish();
}
