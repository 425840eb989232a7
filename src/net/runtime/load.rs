//! How a process gets its configuration, at its start and at each reload.

use crate::config_error::{error_lines, ConfigError};
use crate::net::config::{Config, ConfigReadError};
use crate::Settings;
use std::io;
use std::path::PathBuf;

/// Reads the configuration. At a reload the file's address of the platform goes before the environment variable's, which still
/// tells what was in force at the start.
pub type Load = dyn Fn(Reading) -> Loaded + Send + Sync;
/// A configuration, or why there is none.
pub type Loaded = Result<(Config, Settings), LoadError>;

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// A file cannot be read.
    #[error("cannot read `{}`: {error}", file.display())]
    Unreadable {
        /// Which file.
        file: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// The platform's configuration cannot be used.
    #[error("`{}`: {error}", file.display())]
    Config {
        /// Its file.
        file: PathBuf,
        /// Why.
        error: ConfigReadError,
    },
    /// The site file cannot be used.
    #[error("{}", error_lines(file, errors))]
    Site {
        /// Its file.
        file: PathBuf,
        /// All that is wrong with it.
        errors: Vec<ConfigError>,
    },
}

/// What the configuration is read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    /// The start of the process.
    Start,
    /// A change while it runs.
    Reload,
}
