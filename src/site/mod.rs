//! Reads the site file. It rejects unknown keys and reports all errors at once, each with its position in the file. The
//! contents of a section are checked by the subsystem that uses it.
//!
//! To add a section, add its key to `SECTIONS`, a field to [`Site`] and a module that reads it.

mod fields;
mod node;
mod registry;
mod routes;

use crate::config_error::{ConfigError, ErrorCode, Position};
use crate::membership::RegistrySettings;
use crate::routes::{check_routes, NamedSettings, RouteTable};
use fields::{read_integer, Fields};

/// The only supported version of the file format.
const VERSION: u64 = 1;
/// The largest file that is read, in bytes; 10,000 routes take about 2 MB.
const MAX_FILE_BYTES: usize = 16 * 1024 * 1024;
const SECTIONS: &[&str] = &["version", "routes", "registry"];

/// The checked contents of a site file.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// The timing of messages by route.
    pub routes: RouteTable,
    /// The registry that is an additional source of the endpoint list; `None` if there is none.
    pub registry: Option<RegistrySettings>,
}

impl Site {
    /// Parses the text of a site file and checks it against the platform's settings.
    ///
    /// # Errors
    ///
    /// All errors in the file, in the order of their positions.
    pub fn read(text: &str, platform: NamedSettings<'_>) -> Result<Site, Vec<ConfigError>> {
        let mut errors = Vec::new();
        let site = read(text, platform, &mut errors);
        errors.sort_by_key(|error| (error.at, error.code));
        match site {
            Some(site) if errors.is_empty() => Ok(site),
            _ => Err(errors),
        }
    }
}

fn read(text: &str, platform: NamedSettings<'_>, errors: &mut Vec<ConfigError>) -> Option<Site> {
    if text.len() > MAX_FILE_BYTES {
        let reason = format!("the file has {} bytes; {MAX_FILE_BYTES} at most are read", text.len());
        errors.push(ConfigError::new(Position::default(), ErrorCode::Syntax, reason));
        return None;
    }
    let root = node::parse(text).map_err(|error| errors.push(error)).ok()?;
    let sections = Fields::open(&root, "the file", SECTIONS, errors)?;
    check_version(&sections, errors);
    let routes = sections.get("routes").map_or_else(Vec::new, |section| routes::read(section, errors));
    let registry = sections.get("registry").and_then(|section| registry::read(section, errors));
    Some(Site { routes: check_routes(&routes, platform, errors), registry })
}

fn check_version(sections: &Fields<'_>, errors: &mut Vec<ConfigError>) {
    let Some(node) = sections.require("version", errors) else { return };
    let Some(version) = read_integer(node, "`version`", errors) else { return };
    if version != VERSION {
        let reason = format!("version {version} is not known; this program reads version {VERSION}");
        errors.push(ConfigError::new(node.at, ErrorCode::Version, reason));
    }
}
