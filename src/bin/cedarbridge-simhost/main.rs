//! The simulator's adapter: hosts many forwarder instances in one process. It reads a batch of events as one line of
//! JSON from standard input and writes one line with the instances' actions to standard output, until the input ends.

mod wire;

use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;
use thiserror::Error;
use wire::{BatchError, Host};

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
enum AdapterError {
    #[error("cannot read line {line}: {error}")]
    Read { line: usize, error: io::Error },
    #[error("line {line}: {error}")]
    Batch { line: usize, error: BatchError },
    #[error("cannot write the reply: {0}")]
    Reply(#[from] io::Error),
}

fn run() -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut output = BufWriter::new(io::stdout().lock());
    for (index, text) in io::stdin().lock().lines().enumerate() {
        let line = index + 1;
        let text = text.map_err(|error| AdapterError::Read { line, error })?;
        if text.trim().is_empty() {
            continue;
        }
        let reply = host.process_batch(&text).map_err(|error| AdapterError::Batch { line, error })?;
        writeln!(output, "{reply}")?;
        output.flush()?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cedarbridge-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
