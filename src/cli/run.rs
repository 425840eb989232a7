//! `run`: the forwarder itself, with its log.

use super::CommandError;
use crate::net::config::Config;
use crate::net::runtime::load::LoadError;
use crate::net::{self, Reading};
use crate::routes::NamedSettings;
use crate::site::Site;
use crate::Settings;
use clap::{Args, ValueEnum};
use slog::{o, Drain, Level, LevelFilter, Logger};
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(Args)]
pub struct RunArgs {
    /// The platform's configuration (JSON); without it, the one that ROUTER_CONFIG names
    config: Option<PathBuf>,
    /// Our own settings (YAML), checked before anything starts; also CEDARBRIDGE_SITE
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// How the log is written
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// The least severe entries that are logged
    #[arg(long, value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    /// A line an entry, for people
    Text,
    /// A JSON object a line
    Json,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogLevel {
    /// Nothing but what ends the program
    Critical,
    /// What went wrong
    Error,
    /// And what is odd
    Warning,
    /// And what happens
    Info,
    /// And details
    Debug,
}

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|v| !v.is_empty())
}

fn logger(format: LogFormat, level: LogLevel) -> Logger {
    let level = match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match format {
        LogFormat::Text => {
            let out = slog_term::PlainSyncDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(out).use_utc_timestamp().build().ignore_res();
            Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).ignore_res();
            let drain = std::sync::Mutex::new(drain).ignore_res();
            Logger::root(LevelFilter::new(drain, level).ignore_res(), o!())
        }
    }
}

/// Reads a file as text.
fn read_file(file: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(file).map_err(|error| LoadError::Unreadable { file: file.to_owned(), error })
}

/// Puts what the site file says into the settings.
fn with_site(file: &Path, config: &mut Config, settings: &mut Settings) -> Result<(), LoadError> {
    let text = read_file(file)?;
    let platform = NamedSettings { settings, names: &config.names };
    let site =
        Site::read(&text, platform).map_err(|errors| LoadError::Site { file: file.to_owned(), errors })?;
    settings.routes = Some(Arc::new(site.routes));
    config.registry = site.registry.map(Arc::new);
    Ok(())
}

impl RunArgs {
    pub fn run(self) -> Result<(), CommandError> {
        let path = self.config.or_else(|| variable("ROUTER_CONFIG").map(PathBuf::from));
        let none = "no configuration: name its file as the argument or in ROUTER_CONFIG";
        let path = path.ok_or_else(|| CommandError::Usage(none.into()))?;
        let site = self.site.or_else(|| variable("CEDARBRIDGE_SITE").map(PathBuf::from));
        let load = move |reading| {
            let json = read_file(&path)?;
            let startup_variable = |name: &str| {
                variable(name).filter(|_| reading == Reading::Start || name != "ROUTER_DISCOVERY")
            };
            let (mut config, mut settings) = Config::read(&json, startup_variable)
                .map_err(|error| LoadError::Config { file: path.clone(), error })?;
            if let Some(site) = &site {
                with_site(site, &mut config, &mut settings)?;
            }
            Ok((config, settings))
        };
        net::run(Arc::new(load), logger(self.log_format, self.log_level))
            .map_err(|error| CommandError::Rejected(error.to_string()))
    }
}
