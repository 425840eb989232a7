//! `cedarbridge-top`: watches a running forwarder in the terminal, by what its `/_counters` tell.

use cedarbridge_rehearsal::view::top;
use clap::Parser;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "cedarbridge-top", version, about = "Watches a running forwarder in the terminal.")]
struct Args {
    /// Where it listens
    address: SocketAddr,
    /// Milliseconds from one look to the next
    #[arg(long, default_value_t = 1000)]
    every: u64,
    /// Plain lines, also on a terminal
    #[arg(long)]
    plain: bool,
    /// End after so many looks; with plain lines only
    #[arg(long)]
    looks: Option<u32>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match top(args.address, Duration::from_millis(args.every.max(50)), args.plain, args.looks) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cedarbridge-top: {e}");
            ExitCode::FAILURE
        }
    }
}
