//! The `run` command: loads the settings and runs the forwarder.

use super::log::{Log, LogFormat, LogLevel};
use super::CommandError;
use crate::net::config::Config;
use crate::net::runtime::load::LoadError;
use crate::net::{self, LoadOccasion};
use crate::routes::NamedSettings;
use crate::site::Site;
use crate::Settings;
use clap::Args;
use std::path::{Path, PathBuf};
use std::sync::Arc;

#[derive(Args)]
pub struct RunArgs {
    /// The platform's configuration file (JSON), by default the one named in ROUTER_CONFIG
    config: Option<PathBuf>,
    /// The site file (YAML), checked before anything starts; by default the one named in CEDARBRIDGE_SITE, if any
    #[arg(long, value_name = "FILE")]
    site: Option<PathBuf>,
    /// The format of the log on standard error
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    /// The least severe level that is logged
    #[arg(long, value_enum, default_value_t = LogLevel::Info)]
    log_level: LogLevel,
}

/// An environment variable; `None` if it is unset, empty or not Unicode.
fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_file(file: &Path) -> Result<String, LoadError> {
    std::fs::read_to_string(file).map_err(|error| LoadError::Unreadable { file: file.to_owned(), error })
}

/// Reads a site file and sets its routes and its registry in the configuration and the settings.
fn apply_site_file(file: &Path, config: &mut Config, settings: &mut Settings) -> Result<(), LoadError> {
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
        let config_file = self.config.or_else(|| environment_variable("ROUTER_CONFIG").map(PathBuf::from));
        let missing_config = "no configuration: give its file as the argument or in ROUTER_CONFIG";
        let config_file = config_file.ok_or_else(|| CommandError::Usage(missing_config.into()))?;
        let site_file = self.site.or_else(|| environment_variable("CEDARBRIDGE_SITE").map(PathBuf::from));
        let load = move |occasion| {
            let json = read_file(&config_file)?;
            // ROUTER_DISCOVERY applies only at the start. A reload reads the address from the file.
            let variable = |name: &str| {
                environment_variable(name)
                    .filter(|_| occasion == LoadOccasion::Start || name != "ROUTER_DISCOVERY")
            };
            let (mut config, mut settings) = Config::read(&json, variable)
                .map_err(|error| LoadError::Config { file: config_file.clone(), error })?;
            if let Some(site_file) = &site_file {
                apply_site_file(site_file, &mut config, &mut settings)?;
            }
            Ok((config, settings))
        };
        let log = Log::start(self.log_format, self.log_level);
        net::run(Arc::new(load), log.logger.clone())
            .map_err(|error| CommandError::Rejected(error.to_string()))
    }
}
