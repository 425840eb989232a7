//! Reads the configuration and starts the forwarder.

use cedarbridge::net::{self, config::Config, Reading};
use slog::{o, Drain};
use std::process::ExitCode;

fn start() -> Result<(), String> {
    let variable = |name: &str| std::env::var(name).ok().filter(|v| !v.is_empty());
    let path = std::env::args().nth(1).or(variable("ROUTER_CONFIG"));
    let path = path.ok_or("no configuration: name its file as the argument or in ROUTER_CONFIG")?;
    let load = move |reading| {
        let json = std::fs::read_to_string(&path).map_err(|e| format!("cannot read `{path}`: {e}"))?;
        let told =
            |name: &str| variable(name).filter(|_| reading == Reading::Start || name != "ROUTER_DISCOVERY");
        Config::read(&json, told).map_err(|e| format!("`{path}`: {e}"))
    };
    let lines = slog_term::PlainSyncDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(lines).use_utc_timestamp().build().ignore_res();
    net::run(&load, slog::Logger::root(drain, o!()))
}

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cedarbridge: {message}");
            ExitCode::FAILURE
        }
    }
}
