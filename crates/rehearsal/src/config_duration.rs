//! Durations in scenario and experiment files.

use cedarbridge::durations::parse_duration;
use cedarbridge::Micros;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// A duration in microseconds. Files write it with a unit, as the site file does, for example `1500ms`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfigDuration(pub Micros);

impl<'de> Deserialize<'de> for ConfigDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        parse_duration(&text).map(ConfigDuration).map_err(D::Error::custom)
    }
}
