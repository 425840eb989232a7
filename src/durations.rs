//! The text form of durations in a site file, such as `200ms`, `1.5s` or `2m`.

use crate::config_error::{shortened, ErrorCode};
use crate::Micros;

/// The longest duration that a site file may contain: a day.
const MAX_DURATION: Micros = 86_400_000_000;

/// Why a text is not a duration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DurationError {
    /// The value is a number without a unit.
    #[error("it has no unit; write it with `ms`, `s` or `m`")]
    NoUnit,
    /// The text has no unit or an unknown one.
    #[error("`{0}` is not a time; the units are `ms`, `s` and `m`")]
    UnknownUnit(String),
    /// The text has no number before the unit.
    #[error("`{0}` does not begin with a number")]
    NoNumber(String),
    /// The duration is zero or negative.
    #[error("`{0}` is no time; it must be above zero")]
    NotPositive(String),
    /// The duration is over a day.
    #[error("`{0}` is over a day; a message lives for seconds")]
    TooLong(String),
}

impl DurationError {
    /// The code of this error in a site file.
    pub fn code(&self) -> ErrorCode {
        match self {
            DurationError::NoUnit | DurationError::UnknownUnit(_) | DurationError::NoNumber(_) => {
                ErrorCode::Unit
            }
            DurationError::NotPositive(_) | DurationError::TooLong(_) => ErrorCode::Time,
        }
    }
}

/// Parses a duration such as `200ms`, `1.5s` or `2m`. Returns microseconds.
///
/// # Errors
///
/// If the text has no number or no known unit, or the duration is not above zero or is over a day.
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

/// Parses a decimal number. Unlike [`str::parse`], it takes no exponent and no name such as `inf`.
fn parse_plain_number(text: &str) -> Option<f64> {
    let is_plain = text.chars().all(|c| c.is_ascii_digit() || c == '.' || c == '-');
    if is_plain {
        text.parse().ok()
    } else {
        None
    }
}

/// Formats a duration as it would be written in a site file.
pub fn format_duration(duration: Micros) -> String {
    if duration > 0 && duration.is_multiple_of(60_000_000) {
        format!("{}m", duration / 60_000_000)
    } else if duration >= 1_000_000 {
        format!("{}s", duration as f64 / 1e6)
    } else {
        format!("{}ms", duration as f64 / 1e3)
    }
}
