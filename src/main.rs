//! Hands the arguments to the command line and its exit code to the system.

use std::process::ExitCode;

fn main() -> ExitCode {
    cedarbridge::cli::main(std::env::args_os())
}
