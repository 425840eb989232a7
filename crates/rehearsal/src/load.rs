//! The command `load`.

use cedarbridge_rehearsal::capture::CapturedDay;
use cedarbridge_rehearsal::experiment::InputError;
use cedarbridge_rehearsal::live::load::{self, Load, LoadResult, LATE};
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// What the load takes.
#[derive(Args)]
pub struct LoadArgs {
    /// Where the forwarder listens; without it, a sink in a thread beside, to see what the load itself can do
    to: Option<SocketAddr>,
    /// Messages a second
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// For how long
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Connections
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// Destinations, 0 to one less than this, in turn
    #[arg(long, default_value_t = 10)]
    destinations: u64,
    /// The messages' class
    #[arg(long, default_value = "notice")]
    class: String,
    /// The messages' channel
    #[arg(long, default_value = "lounatv")]
    channel: String,
    /// A captured day, sent at its own times in place of the rate
    #[arg(long, value_name = "FILE")]
    capture: Option<PathBuf>,
}

impl LoadArgs {
    /// Sends it and tells what came of it; true if all was sent in time.
    pub fn run(self) -> Result<bool, InputError> {
        let wrong = |what: &str| {
            InputError::Unreadable(PathBuf::from("the call"), std::io::Error::other(what.to_owned()))
        };
        if !(self.rate > 0.0 && self.rate.is_finite()) || self.connections == 0 || self.destinations == 0 {
            return Err(wrong("`--rate`, `--connections` and `--destinations` are above 0"));
        }
        let system = |e| InputError::Unreadable(PathBuf::from("the load"), e);
        let day = match &self.capture {
            Some(path) => Some(CapturedDay::read(path).map_err(|e| InputError::Unreadable(path.clone(), e))?),
            None => None,
        };
        let to = match self.to {
            Some(to) => to,
            None => load::sink().map_err(system)?,
        };
        let load = Load {
            to,
            rate: self.rate,
            length: Duration::from_secs(self.seconds),
            connections: self.connections,
            destinations: self.destinations,
            channel: self.channel,
            class: self.class,
            day,
            name: format!("load-{}-", std::process::id()),
        };
        let result = load::run(load).map_err(system)?;
        print_result(&result);
        Ok(result.late == 0 && result.failed == 0)
    }
}

fn print_result(l: &LoadResult) {
    let took = l.took.as_secs_f64();
    println!(
        "{} sent in {took:.2} s, {:.0} a second: {} taken on, {} turned away, {} failed",
        l.sent,
        l.sent as f64 / took,
        l.taken,
        l.refused,
        l.failed
    );
    println!("{} sent late by more than {} ms", l.late, LATE.as_millis());
    for (what, h) in [("from the plan to the send", &l.lateness), ("from the plan to the answer", &l.answers)]
    {
        let at = |q| h.value_at_quantile(q) as f64 / 1e3;
        println!(
            "{what}: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, most {:.2} ms",
            at(0.5),
            at(0.99),
            at(0.999),
            h.max() as f64 / 1e3
        );
    }
}
