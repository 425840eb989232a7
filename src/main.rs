//! The `cedarbridge` program: passes its arguments to [`cedarbridge::cli::main`] and returns the exit code.

use std::process::ExitCode;

fn main() -> ExitCode {
    cedarbridge::cli::main(std::env::args_os())
}
