//! Hosts many forwarder instances on the simulator's wire: one JSON value a line in, one reply a line out.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use thiserror::Error;
use wire::{BatchError, Host};

/// Why the host ends before its input does.
#[derive(Debug, Error)]
enum ServeError {
    #[error("cannot read line {line}: {error}")]
    Read { line: usize, error: io::Error },
    #[error("line {line}: {error}")]
    Batch { line: usize, error: BatchError },
    #[error("cannot reply: {0}")]
    Reply(#[from] io::Error),
}

fn serve() -> Result<(), ServeError> {
    let mut host = Host::default();
    let mut out = BufWriter::new(io::stdout().lock());
    for (index, text) in io::stdin().lock().lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|error| ServeError::Read { line, error })?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = host.batch(&text).map_err(|error| ServeError::Batch { line, error })?;
        writeln!(out, "{reply}")?;
        out.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cedarbridge-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
