//! The interface through which a process loads its configuration, at its start and at each reload.

use crate::config_error::{error_lines, ConfigError};
use crate::net::config::{Config, ConfigReadError};
use crate::Settings;
use std::io;
use std::path::PathBuf;

/// Reads and checks the configuration. At a reload, the platform's address in the file takes precedence over the environment
/// variable, which still holds the value of the process's start.
pub type ConfigLoader = dyn Fn(LoadOccasion) -> LoadResult + Send + Sync;
/// The loaded configuration and settings, or why they cannot be used.
pub type LoadResult = Result<(Config, Settings), LoadError>;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file cannot be read.
    #[error("cannot read `{}`: {error}", file.display())]
    Unreadable {
        /// The path of the file.
        file: PathBuf,
        /// The error of the file system.
        error: io::Error,
    },
    /// The platform's configuration is invalid.
    #[error("`{}`: {error}", file.display())]
    Config {
        /// The path of the configuration file.
        file: PathBuf,
        /// The first error in the file.
        error: ConfigReadError,
    },
    /// The site file is invalid.
    #[error("{}", error_lines(file, errors))]
    Site {
        /// The path of the site file.
        file: PathBuf,
        /// All errors found in the file.
        errors: Vec<ConfigError>,
    },
}

/// The occasion on which the configuration is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadOccasion {
    /// The start of the process.
    Start,
    /// A reload on SIGHUP, while the process runs.
    Reload,
}
