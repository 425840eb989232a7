//! What is wrong with a scenario.

use serde_saphyr::Location;
use std::fmt;

/// What is wrong with a scenario, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScenarioError {
    /// The line, from 1; 0 for the complete file.
    pub line: u64,
    /// The column, from 1.
    pub column: u64,
    /// What is wrong, and what would be right.
    pub reason: String,
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.reason)
    }
}

impl ScenarioError {
    pub(super) fn at(at: Location, reason: impl Into<String>) -> Self {
        ScenarioError { line: at.line(), column: at.column(), reason: reason.into() }
    }
}
