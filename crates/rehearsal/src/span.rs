//! Spans of time as files write them.

use cedarbridge::durations::parse_duration;
use cedarbridge::Micros;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// A span of time, written as in the site file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Micros);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        parse_duration(&text).map(Span).map_err(D::Error::custom)
    }
}
