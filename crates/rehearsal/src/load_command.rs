//! The command `load`: sends messages to a forwarder on a fixed schedule.

use cedarbridge_rehearsal::captured_traffic::CapturedTraffic;
use cedarbridge_rehearsal::experiment::InputError;
use cedarbridge_rehearsal::live::load::{self, Load, LoadResult, LATE_AFTER};
use clap::Args;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The options of the command `load`.
#[derive(Args)]
pub struct LoadArgs {
    /// The forwarder's client address; by default a local server that accepts everything, to measure the load alone
    to: Option<SocketAddr>,
    /// Messages a second
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// How long messages are sent
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// The number of connections
    #[arg(long, default_value_t = 64)]
    connections: usize,
    /// The number of destinations; messages go to the ids from 0 in turn
    #[arg(long, default_value_t = 10)]
    destinations: u64,
    /// The messages' class
    #[arg(long, default_value = "notice")]
    class: String,
    /// The messages' tenant
    #[arg(long = "channel", default_value = "lounatv")]
    tenant: String,
    /// Captured traffic that is sent at its own times, in place of the rate
    #[arg(long, value_name = "FILE")]
    capture: Option<PathBuf>,
}

impl LoadArgs {
    /// Sends the messages and prints the result. Returns whether all were sent in time and none failed.
    ///
    /// # Errors
    /// An option is out of its range, the captured traffic cannot be read, or the server cannot be reached.
    pub fn run(self) -> Result<bool, InputError> {
        let invalid = |reason: &str| {
            InputError::Unreadable(PathBuf::from("the arguments"), std::io::Error::other(reason.to_owned()))
        };
        if !(self.rate > 0.0 && self.rate.is_finite()) || self.connections == 0 || self.destinations == 0 {
            return Err(invalid("`--rate`, `--connections` and `--destinations` must be above 0"));
        }
        let system_error = |e| InputError::Unreadable(PathBuf::from("the load"), e);
        let captured = match &self.capture {
            Some(path) => {
                Some(CapturedTraffic::read(path).map_err(|e| InputError::Unreadable(path.clone(), e))?)
            }
            None => None,
        };
        let to = match self.to {
            Some(to) => to,
            None => load::start_sink().map_err(system_error)?,
        };
        let load = Load {
            forwarder_address: to,
            rate: self.rate,
            duration: Duration::from_secs(self.seconds),
            connections: self.connections,
            destinations: self.destinations,
            tenant: self.tenant,
            class: self.class,
            captured,
            id_prefix: format!("load-{}-", std::process::id()),
        };
        let result = load::run(load).map_err(system_error)?;
        print_result(&result);
        Ok(result.late == 0 && result.failed == 0)
    }
}

fn print_result(result: &LoadResult) {
    let seconds = result.took.as_secs_f64();
    println!(
        "{} sent in {seconds:.2} s, {:.0} a second: {} taken on, {} turned away, {} failed",
        result.sent,
        result.sent as f64 / seconds,
        result.accepted,
        result.rejected,
        result.failed
    );
    println!("{} sent late by more than {} ms", result.late, LATE_AFTER.as_millis());
    for (span, times) in
        [("from the plan to the send", &result.lateness), ("from the plan to the answer", &result.latencies)]
    {
        let quantile = |q| times.value_at_quantile(q) as f64 / 1e3;
        println!(
            "{span}: p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms, most {:.2} ms",
            quantile(0.5),
            quantile(0.99),
            quantile(0.999),
            times.max() as f64 / 1e3
        );
    }
}
