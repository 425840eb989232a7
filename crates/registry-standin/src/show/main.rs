//! `cedarbridge-registry-show`: demonstrates how the forwarder reads a registry under load.
//!
//! It starts a registry, endpoints, a platform agent, the forwarder and a load on loopback, changes the registry's entries,
//! and prints how soon the forwarder follows each change. Every wait is limited, and all started processes are ended.

mod changes;
mod config_files;
mod forwarder;
mod load;
mod peers;
mod summary;

use cedarbridge_registry_standin::{FakeRegistry, Instance};
use changes::EndpointChanges;
use clap::Parser;
use forwarder::Forwarder;
use load::{Load, LoadCounts};
use peers::{Endpoints, PlatformAgent};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

type BoxedError = Box<dyn std::error::Error>;

/// The time that the forwarder has to act on the last change.
const SETTLING_TIME: Duration = Duration::from_millis(1500);

#[derive(Parser)]
#[command(
    name = "cedarbridge-registry-show",
    about = "Demonstrates how the forwarder reads a registry under load."
)]
struct Args {
    /// The forwarder's program
    #[arg(long, default_value = "target/release/cedarbridge")]
    daemon: PathBuf,
    /// How long entries change, in seconds
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Changes a second
    #[arg(long, default_value_t = 10)]
    changes: u64,
    /// Endpoints in the registry, two for each partner
    #[arg(long, default_value_t = 40)]
    endpoints: usize,
    /// Messages a second
    #[arg(long, default_value_t = 400)]
    rate: u64,
    /// How long the registry then sends no responses, under load, in seconds
    #[arg(long = "silent", default_value_t = 0)]
    silent_seconds: u64,
    /// Further instances in the registry, ten an application, for partners that get no messages
    #[arg(long = "idle", default_value_t = 0)]
    idle_instances: usize,
    /// Print only the summary
    #[arg(long)]
    brief: bool,
}

/// Adds instances of destinations that get no messages, ten an application.
fn add_idle_instances(registry: &FakeRegistry, count: usize) {
    for number in 0..count {
        let address =
            SocketAddr::from(([127, 1 + (number >> 16) as u8, (number >> 8) as u8, number as u8], 9));
        let destination = 1_000_000 + number as u64 / 10;
        let id = format!("idle-{number}");
        let mut instance = Instance::partner(&id, address, destination, "plain", "room", 5.0);
        instance.app = format!("IDLE{}", number / 10);
        registry.put(instance);
    }
}

/// Runs the demonstration in a temporary folder, which is removed afterwards.
fn run(args: &Args) -> Result<(), BoxedError> {
    let folder = std::env::temp_dir().join(format!("cedarbridge-show-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let result = run_in(args, &folder);
    std::fs::remove_dir_all(&folder)?;
    result
}

/// Runs the demonstration with the forwarder's files in the folder.
fn run_in(args: &Args, folder: &Path) -> Result<(), BoxedError> {
    let registry = FakeRegistry::start()?;
    let endpoints = Endpoints::start(args.endpoints)?;
    let mut changes = EndpointChanges::new(&registry, &endpoints.addresses);
    add_idle_instances(&registry, args.idle_instances);
    // These entries exist from the start, so no delta reports them.
    registry.clear_deltas();
    let agent = PlatformAgent::start()?;
    config_files::write(folder, agent.address, &registry)?;
    let mut forwarder = Forwarder::start(&args.daemon, folder)?;
    let entries = (args.endpoints + args.idle_instances) as u64;
    forwarder.wait_for_entries(entries)?;
    println!("{entries} entries held; the forwarder's memory: {}", forwarder.memory()?);

    let (cpu_before, started) = (forwarder.cpu_seconds()?, Instant::now());
    let load = Load::start(forwarder.address, args.rate as f64, (args.endpoints / 2).max(1) as u64);
    changes.run(args.seconds * args.changes, args.changes as f64);
    thread::sleep(SETTLING_TIME);
    let before_silence = forwarder.counters()?;
    if args.silent_seconds > 0 {
        registry.update_fault_mode(|mode| mode.silent = true);
        thread::sleep(Duration::from_secs(args.silent_seconds));
        registry.update_fault_mode(|mode| mode.silent = false);
    }
    let sent = load.stop();
    let (cpu_used, elapsed) = (forwarder.cpu_seconds()? - cpu_before, started.elapsed().as_secs_f64());
    println!("CPU of the forwarder: {cpu_used:.2} s in {elapsed:.0} s; its memory: {}", forwarder.memory()?);
    let counters = forwarder.wait_until_idle()?;
    let drain_records = forwarder.terminate()?;

    summary::print_drains(&drain_records, args.brief)?;
    println!("registry: {}", counters["registry"]);
    summary::print_messages(&sent, &counters, agent.reports(), endpoints.calls());
    if args.silent_seconds > 0 {
        summary::print_silence(args.silent_seconds, &before_silence, &counters);
    }
    check_none_lost(&sent, &counters)
}

/// Checks that each accepted message has ended.
fn check_none_lost(sent: &LoadCounts, counters: &serde_json::Value) -> Result<(), BoxedError> {
    let ended =
        ["delivered", "failed", "returned"].iter().map(|key| summary::counter(counters, key)).sum::<u64>();
    if sent.accepted != ended {
        return Err("a message was lost".into());
    }
    Ok(())
}

fn main() -> ExitCode {
    match run(&Args::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cedarbridge-registry-show: {e}");
            ExitCode::FAILURE
        }
    }
}
