//! Spans of time as files write them.

use cedarbridge::site::time;
use cedarbridge::Micros;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// A span of time, written as in the site file.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span(pub Micros);

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let text = String::deserialize(d)?;
        time(&text).map(Span).map_err(|(_, reason)| D::Error::custom(reason))
    }
}
