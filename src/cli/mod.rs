//! The command line: which command is run, and its exit code. Each command has a module.

mod check;
mod explain;
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

With no command it runs, as `cedarbridge run` does; the configuration may also be named in ROUTER_CONFIG.
Exit codes: 0 fine, 1 a file was read and refused (or the forwarder could not go on), 2 the call was wrong.";

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
    /// Run the forwarder (what also happens with no command)
    Run(run::RunArgs),
    /// Check a site file against the platform's settings
    Check(check::CheckArgs),
    /// Tell which entry of a site file wins for which message, and its worst case
    Explain(explain::ExplainArgs),
    /// Show what the forwarder would hold of a registry, and why
    Registry(registry::RegistryArgs),
    /// Watch a running forwarder in the terminal (`cedarbridge-top` beside this program)
    Top {
        /// Where it listens, and what else `cedarbridge-top` takes
        #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
    /// Print completions for a shell
    Completions {
        /// Which shell
        shell: clap_complete::Shell,
    },
}

/// Replaces this process by `cedarbridge-top`, which is a program of its own so that the forwarder stays small.
fn top(arguments: &[OsString]) -> Result<(), CommandError> {
    use std::os::unix::process::CommandExt;
    let beside = std::env::current_exe().ok().map(|p| p.with_file_name("cedarbridge-top"));
    let program = beside.filter(|p| p.exists()).unwrap_or_else(|| "cedarbridge-top".into());
    let why = std::process::Command::new(&program).args(arguments).exec();
    Err(CommandError::Usage(format!("cannot start `cedarbridge-top`, which the kit brings along: {why}")))
}

/// The two files that a site is checked with.
#[derive(Args)]
struct Files {
    /// The platform's configuration (JSON), whose settings the site file is held against
    #[arg(long, value_name = "FILE", env = "ROUTER_CONFIG")]
    config: PathBuf,
    /// The site file (YAML)
    site: PathBuf,
    /// Answer in JSON
    #[arg(long)]
    json: bool,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The command line was wrong.
    #[error("{0}")]
    Usage(String),
    /// A file was read and rejected, or the forwarder could not go on.
    #[error("{0}")]
    Rejected(String),
    /// The command has printed its result already.
    #[error("the result was printed")]
    AlreadyPrinted,
}

impl CommandError {
    /// Prints the error, if that is not done yet, and gives the exit code for it.
    fn report(self) -> ExitCode {
        if !matches!(self, CommandError::AlreadyPrinted) {
            eprintln!("cedarbridge: {self}");
        }
        match self {
            CommandError::Usage(_) => ExitCode::from(2),
            CommandError::Rejected(_) | CommandError::AlreadyPrinted => ExitCode::FAILURE,
        }
    }
}

/// The platform's settings of a configuration.
struct PlatformSettings {
    settings: Settings,
    names: Names,
    /// The text of the configuration.
    json: String,
}

fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path)
        .map_err(|e| CommandError::Usage(format!("cannot read `{}`: {e}", path.display())))
}

impl Files {
    fn platform(&self) -> Result<PlatformSettings, CommandError> {
        let json = read_text(&self.config)?;
        let refused = |e| CommandError::Rejected(format!("`{}`: {e}", self.config.display()));
        let (settings, names) = config::read_platform_settings(&json).map_err(refused)?;
        Ok(PlatformSettings { settings, names, json })
    }

    /// The site file, checked; if it has errors they are printed.
    fn valid_site(&self, of: &PlatformSettings) -> Result<Site, CommandError> {
        self.site(of)?.map_err(|errors| {
            print(&error_lines(&self.site, &errors));
            CommandError::AlreadyPrinted
        })
    }

    fn site(&self, of: &PlatformSettings) -> Result<Result<Site, Vec<ConfigError>>, CommandError> {
        let platform = NamedSettings { settings: &of.settings, names: &of.names };
        Ok(Site::read(&read_text(&self.site)?, platform))
    }
}

/// Prints to standard output; a reader that has gone is no failure.
fn print(text: &str) {
    use std::io::Write;
    // The reader's end of the pipe is closed: nobody is left to print to.
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Runs the command that the arguments ask for.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(e) => {
            // It is printed for a reader who may have gone; the exit code holds all the same.
            let _ = e.print();
            return ExitCode::from(e.exit_code() as u8);
        }
    };
    let result = match cli.command {
        None => cli.run.run(),
        Some(Command::Run(args)) => args.run(),
        Some(Command::Check(args)) => args.run(),
        Some(Command::Explain(args)) => args.run(),
        Some(Command::Registry(args)) => args.run(),
        Some(Command::Top { arguments }) => top(&arguments),
        Some(Command::Completions { shell }) => {
            let mut out = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "cedarbridge", &mut out);
            print(String::from_utf8_lossy(&out).trim_end());
            Ok(())
        }
    };
    result.map_or_else(CommandError::report, |()| ExitCode::SUCCESS)
}
