//! Errors in a scenario file, with their positions.

use serde_saphyr::Location;
use std::fmt;

/// An error in a scenario file, with its position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The line, from 1; 0 if the file cannot be read.
    pub line: u64,
    /// The column, from 1; 0 if the file cannot be read.
    pub column: u64,
    /// What is wrong, and which values are accepted.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.reason)
    }
}

impl ScenarioError {
    pub(super) fn at(location: Location, reason: impl Into<String>) -> Self {
        ScenarioError { line: location.line(), column: location.column(), reason: reason.into() }
    }
}
