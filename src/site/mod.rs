//! Our own settings file: read as a whole, strictly, with the place of each value kept. What a section means is
//! checked by the subsystem that it is for.
//!
//! A later subsystem adds a key to [`SECTIONS`], a field to [`Site`] and a reader of its own.

mod fields;
mod node;
mod registry;
mod routes;

use crate::config_error::{ConfigError, ErrorCode};
use crate::membership::RegistrySettings;
use crate::routes::{Plan, Platform};
use fields::Fields;

pub use fields::{format_duration, parse_duration};

/// The one version of the file that is known.
const VERSION: u64 = 1;
/// No settings file is larger; 10,000 entries come to about 2 MB.
const LARGEST: usize = 16 * 1024 * 1024;
const SECTIONS: &[&str] = &["version", "routes", "registry"];

/// A site file, checked: what each subsystem goes by.
#[derive(Clone, Debug, Default)]
pub struct Site {
    /// Time-outs, attempts, pauses and ends by route.
    pub routes: Plan,
    /// A registry that the partner list also comes from.
    pub registry: Option<RegistrySettings>,
}

impl Site {
    /// Reads and checks the text of a file against the platform's settings. All breaches come in one go, in
    /// the order of the file.
    pub fn read(text: &str, platform: Platform<'_>) -> Result<Site, Vec<ConfigError>> {
        let mut breaches = Vec::new();
        let site = read(text, platform, &mut breaches);
        breaches.sort_by_key(|b| (b.at, b.code));
        match site {
            Some(site) if breaches.is_empty() => Ok(site),
            _ => Err(breaches),
        }
    }
}

fn read(text: &str, platform: Platform<'_>, breaches: &mut Vec<ConfigError>) -> Option<Site> {
    if text.len() > LARGEST {
        let reason = format!("the file has {} bytes; {LARGEST} at most are read", text.len());
        breaches.push(ConfigError::new(Default::default(), ErrorCode::Syntax, reason));
        return None;
    }
    let root = node::parse(text).map_err(|b| breaches.push(b)).ok()?;
    let top = Fields::open(&root, "the file", SECTIONS, breaches)?;
    if let Some(version) = top.require("version", breaches) {
        match fields::read_whole_number(version, "`version`", breaches) {
            Some(VERSION) | None => {}
            Some(other) => {
                let reason = format!("version {other} is not known; this program reads version {VERSION}");
                breaches.push(ConfigError::new(version.at, ErrorCode::Version, reason));
            }
        }
    }
    let entries = top.get("routes").map_or_else(Vec::new, |n| routes::read(n, breaches));
    let registry = top.get("registry").and_then(|n| registry::read(n, breaches));
    Some(Site { routes: Plan::check(&entries, platform, breaches), registry })
}
