//! `cedarbridge-top`: shows the counters of a running forwarder in the terminal, from its `/_counters`.

use cedarbridge_rehearsal::view::top;
use clap::Parser;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

#[derive(Parser)]
#[command(name = "cedarbridge-top", version, about = "Watches a running forwarder in the terminal.")]
struct Args {
    /// The forwarder's client address
    address: SocketAddr,
    /// Milliseconds between two polls of the counters
    #[arg(long = "every", default_value_t = 1000)]
    interval_ms: u64,
    /// Print plain text, also on a terminal
    #[arg(long)]
    plain: bool,
    /// End after this number of polls; with plain text only
    #[arg(long = "looks")]
    polls: Option<u32>,
}

fn main() -> ExitCode {
    let args = Args::parse();
    match top(args.address, Duration::from_millis(args.interval_ms.max(50)), args.plain, args.polls) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("cedarbridge-top: {e}");
            ExitCode::FAILURE
        }
    }
}
