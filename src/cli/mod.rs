//! The command line: parses the arguments, runs a command and returns its exit code. Each command has its own module.

mod check;
mod explain;
mod log;
mod registry;
mod run;

use crate::config_error::{error_lines, ConfigError};
use crate::net::config;
use crate::routes::NamedSettings;
use crate::settings_json::Names;
use crate::site::Site;
use crate::Settings;
use clap::{Args, CommandFactory, Parser, Subcommand};
use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const EXAMPLES: &str = "\
Examples:
  cedarbridge run config.json --site deploy/site.yaml
  cedarbridge check --config config.json deploy/site.yaml
  cedarbridge explain --config config.json deploy/site.yaml --kind cable-operator --class notice
  cedarbridge completions bash > /etc/bash_completion.d/cedarbridge

Without a command the forwarder runs, as with `cedarbridge run`. The configuration file may also be named in ROUTER_CONFIG.
Exit codes: 0 success, 1 a file was rejected or the forwarder could not continue, 2 wrong usage.";

#[derive(Parser)]
#[command(name = "cedarbridge", version, about = "Forwards messages to partner systems.")]
#[command(after_help = EXAMPLES, args_conflicts_with_subcommands = true)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    #[command(flatten)]
    run: run::RunArgs,
}

#[derive(Subcommand)]
enum Command {
    /// Run the forwarder (the default)
    Run(run::RunArgs),
    /// Check a site file against the platform's settings
    Check(check::CheckArgs),
    /// Show which route of a site file applies to a message, and the worst case of its attempts
    Explain(explain::ExplainArgs),
    /// Show which endpoints the forwarder would take from a registry, and why
    Registry(registry::RegistryArgs),
    /// Watch a running forwarder in the terminal (starts the program `cedarbridge-top`)
    Top {
        /// The address on which the forwarder listens, and other arguments of `cedarbridge-top`
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Print a completion script for a shell
    Completions {
        /// The shell
        shell: clap_complete::Shell,
    },
}

/// Replaces this process by `cedarbridge-top`, from the folder of this program or else from the search path. It is a
/// separate program so that the forwarder stays small.
fn exec_top(arguments: &[OsString]) -> Result<(), CommandError> {
    use std::os::unix::process::CommandExt;
    let sibling = std::env::current_exe().ok().map(|path| path.with_file_name("cedarbridge-top"));
    let program = sibling.filter(|path| path.exists()).unwrap_or_else(|| "cedarbridge-top".into());
    let error = std::process::Command::new(&program).args(arguments).exec();
    Err(CommandError::Usage(format!("cannot start `cedarbridge-top`, which the kit provides: {error}")))
}

/// The arguments of the commands that read a site file.
#[derive(Args)]
struct Files {
    /// The platform's configuration file (JSON), against whose settings the site file is checked
    #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
    config: PathBuf,
    /// The site file (YAML)
    site: PathBuf,
    /// Print JSON
    #[arg(long)]
    json: bool,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The command line was wrong, or a file or program that it needs is missing.
    #[error("{0}")]
    Usage(String),
    /// A file was rejected, or the command could not continue.
    #[error("{0}")]
    Rejected(String),
    /// The command failed and has already printed why.
    #[error("the errors were already printed")]
    AlreadyPrinted,
}

impl CommandError {
    /// Prints the error unless it was already printed, and returns its exit code.
    fn report(self) -> ExitCode {
        if !matches!(self, CommandError::AlreadyPrinted) {
            log::print_error(format!("cedarbridge: {self}"));
        }
        match self {
            CommandError::Usage(_) => ExitCode::from(2),
            CommandError::Rejected(_) | CommandError::AlreadyPrinted => ExitCode::FAILURE,
        }
    }
}

/// The platform's settings from a configuration file.
struct PlatformSettings {
    settings: Settings,
    names: Names,
    /// The text of the configuration file.
    json: String,
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|error| CommandError::Usage(format!("cannot read `{}`: {error}", path.display())))
}

impl Files {
    fn platform(&self) -> Result<PlatformSettings, CommandError> {
        let json = read_text(&self.config)?;
        let rejected = |error| CommandError::Rejected(format!("`{}`: {error}", self.config.display()));
        let (settings, names) = config::read_platform_settings(&json).map_err(rejected)?;
        Ok(PlatformSettings { settings, names, json })
    }

    /// Reads the site file. If it has errors, prints them and fails.
    fn valid_site(&self, platform: &PlatformSettings) -> Result<Site, CommandError> {
        self.site(platform)?.map_err(|errors| {
            print(&error_lines(&self.site, &errors));
            CommandError::AlreadyPrinted
        })
    }

    /// Reads the site file; the inner result holds the errors that the check found in it.
    fn site(&self, platform: &PlatformSettings) -> Result<Result<Site, Vec<ConfigError>>, CommandError> {
        let platform = NamedSettings { settings: &platform.settings, names: &platform.names };
        Ok(Site::read(&read_text(&self.site)?, platform))
    }
}

/// Prints a line to standard output.
fn print(text: &str) {
    use std::io::Write;
    // A write fails if the reader has closed the pipe. That is no failure of the command.
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Runs the command that the arguments select and returns its exit code: 0 for success, 1 if a file was rejected or the
/// forwarder could not continue, 2 for wrong usage. The first argument is the name of the program.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(error) => {
            // Printing fails if the reader has closed the pipe; the exit code is the same.
            let _ = error.print();
            return ExitCode::from(error.exit_code() as u8);
        }
    };
    let result = match cli.command {
        None => cli.run.run(),
        Some(Command::Run(args)) => args.run(),
        Some(Command::Check(args)) => args.run(),
        Some(Command::Explain(args)) => args.run(),
        Some(Command::Registry(args)) => args.run(),
        Some(Command::Top { arguments }) => exec_top(&arguments),
        Some(Command::Completions { shell }) => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "cedarbridge", &mut script);
            print(String::from_utf8_lossy(&script).trim_end());
            Ok(())
        }
    };
    result.map_or_else(CommandError::report, |()| ExitCode::SUCCESS)
}
