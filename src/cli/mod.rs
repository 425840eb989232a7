//! The command line: which command is asked for, and its exit code. What a command does stands in its module.

mod check;
mod explain;
mod registry;
mod run;

use crate::config_error::ConfigError;
use crate::net::config;
use crate::routes::Platform;
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

/// The view is a program of its own, so that the forwarder stays lean.
fn top(arguments: &[OsString]) -> Result<(), Failed> {
    use std::os::unix::process::CommandExt;
    let beside = std::env::current_exe().ok().map(|p| p.with_file_name("cedarbridge-top"));
    let program = beside.filter(|p| p.exists()).unwrap_or_else(|| "cedarbridge-top".into());
    let why = std::process::Command::new(&program).args(arguments).exec();
    Err(Failed::Call(format!("cannot start `cedarbridge-top`, which the kit brings along: {why}")))
}

/// The two files that a site is checked by.
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

/// Why a command did not come to a good end.
enum Failed {
    /// The call itself was wrong.
    Call(String),
    /// A file was read and refused, or the forwarder could not go on.
    Refused(String),
    /// The command has printed its verdict already.
    Told,
}

impl Failed {
    fn exit(self) -> ExitCode {
        let (text, code) = match self {
            Failed::Call(text) => (text, 2),
            Failed::Refused(text) => (text, 1),
            Failed::Told => return ExitCode::FAILURE,
        };
        eprintln!("cedarbridge: {text}");
        ExitCode::from(code)
    }
}

/// The platform's settings of a configuration, as read for `check` and `explain`.
struct Read {
    settings: Settings,
    names: Names,
    json: String,
}

fn read_text(path: &Path) -> Result<String, Failed> {
    std::fs::read_to_string(path).map_err(|e| Failed::Call(format!("cannot read `{}`: {e}", path.display())))
}

impl Files {
    fn platform(&self) -> Result<Read, Failed> {
        let json = read_text(&self.config)?;
        let refused = |e| Failed::Refused(format!("`{}`: {e}", self.config.display()));
        let (settings, names) = config::read_platform_settings(&json).map_err(refused)?;
        Ok(Read { settings, names, json })
    }

    fn site(&self, of: &Read) -> Result<Result<Site, Vec<ConfigError>>, Failed> {
        let platform = Platform { settings: &of.settings, names: &of.names };
        Ok(Site::read(&read_text(&self.site)?, platform))
    }
}

/// Breaches, one a line.
fn lines(file: &Path, errors: &[ConfigError]) -> String {
    let file = file.display().to_string();
    errors.iter().map(|b| b.line(&file)).collect::<Vec<_>>().join("\n")
}

/// Prints to standard output; a reader that has gone is no failure.
fn print(text: &str) {
    use std::io::Write;
    let _ = writeln!(std::io::stdout(), "{text}");
}

/// Runs the command that the arguments ask for.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(e) => {
            let _ = e.print();
            return ExitCode::from(e.exit_code() as u8);
        }
    };
    let done = match cli.command {
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
    done.map_or_else(Failed::exit, |()| ExitCode::SUCCESS)
}
