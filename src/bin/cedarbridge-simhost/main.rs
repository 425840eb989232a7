//! Hosts many forwarder instances on the simulator's wire: one JSON value a line in, one reply a line out.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut host = wire::Host::default();
    let mut out = BufWriter::new(io::stdout().lock());
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("cannot read line {}: {e}", number + 1))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&line).map_err(|e| format!("line {}: {e}", number + 1))?;
        writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| format!("cannot reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("cedarbridge-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
