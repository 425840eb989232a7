//! Durations as they are written in the site file, such as `200ms`, `1.5s` or `2m`.

use crate::config_error::{shortened, ErrorCode};
use crate::Micros;

/// No duration in a settings file is longer.
const MAX_DURATION: Micros = 86_400_000_000;

/// Why a text is no duration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DurationError {
    /// A number alone.
    #[error("it has no unit; write it with `ms`, `s` or `m`")]
    NoUnit,
    /// Another unit than the known ones, or none.
    #[error("`{0}` is not a time; the units are `ms`, `s` and `m`")]
    UnknownUnit(String),
    /// No number before the unit.
    #[error("`{0}` does not begin with a number")]
    NoNumber(String),
    /// Zero or negative.
    #[error("`{0}` is no time; it must be above zero")]
    NotPositive(String),
    /// Longer than any duration that is meant.
    #[error("`{0}` is over a day; a message lives for seconds")]
    TooLong(String),
}

impl DurationError {
    /// The code under which a settings file is refused for it.
    pub fn code(&self) -> ErrorCode {
        match self {
            DurationError::NoUnit | DurationError::UnknownUnit(_) | DurationError::NoNumber(_) => {
                ErrorCode::Unit
            }
            DurationError::NotPositive(_) | DurationError::TooLong(_) => ErrorCode::Time,
        }
    }
}

/// Parses a duration such as `200ms`, `1.5s` or `2m`, to microseconds.
///
/// # Errors
///
/// If it has no number or unit, is not above zero, or is over a day.
pub fn parse_duration(text: &str) -> Result<Micros, DurationError> {
    let unit_start = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_start);
    let unit_micros = match unit {
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        _ => return Err(DurationError::UnknownUnit(shortened(text))),
    };
    let number = parse_plain_number(number).ok_or_else(|| DurationError::NoNumber(shortened(text)))?;
    let micros = (number * unit_micros).round();
    if micros < 1.0 {
        return Err(DurationError::NotPositive(text.to_owned()));
    }
    if micros > MAX_DURATION as f64 {
        return Err(DurationError::TooLong(text.to_owned()));
    }
    Ok(micros as Micros)
}

/// A number without an exponent or a name such as `inf`.
fn parse_plain_number(text: &str) -> Option<f64> {
    let is_plain = text.chars().all(|c| c.is_ascii_digit() || c == '.' || c == '-');
    if is_plain {
        text.parse().ok()
    } else {
        None
    }
}

/// A duration as a file would have it.
pub fn format_duration(duration: Micros) -> String {
    if duration > 0 && duration.is_multiple_of(60_000_000) {
        format!("{}m", duration / 60_000_000)
    } else if duration >= 1_000_000 {
        format!("{}s", duration as f64 / 1e6)
    } else {
        format!("{}ms", duration as f64 / 1e3)
    }
}
