//! The errors of a site file: the place, a code and a reason. The checks themselves are in other modules.

use std::fmt;
use std::path::Path;

/// A position in a file.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line, counted from 1.
    pub line: u32,
    /// The column in characters, counted from 1.
    pub column: u32,
}

/// A value from a file with its position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The value, decoded from the file.
    pub value: T,
    /// The position at which the value starts.
    pub at: Position,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $code:literal),* $(,)?) => {
        /// The kind of an error. Scripts may depend on the codes.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ErrorCode { $($(#[$doc])* $name),* }

        impl ErrorCode {
            /// The code as it is printed.
            pub fn as_str(self) -> &'static str {
                match self { $(ErrorCode::$name => $code),* }
            }
        }
    };
}

codes! {
    /// The file is not YAML, or larger or more deeply nested than allowed.
    Syntax = "syntax",
    /// A value has another type than its key takes.
    Type = "type",
    /// A key does not exist.
    UnknownKey = "unknown-key",
    /// A key is given twice.
    RepeatedKey = "repeated-key",
    /// A required key is missing.
    MissingKey = "missing-key",
    /// This program does not support the version of the file.
    Version = "version",
    /// A duration has no number, or no unit that exists.
    Unit = "unit",
    /// A duration is zero, negative or over a day.
    Time = "time",
    /// The address of a registry is invalid or given twice, or there is none.
    Address = "address",
    /// A lease ends before it is renewed.
    Lease = "lease",
    /// The longest pause is shorter than the first.
    Pause = "pause",
    /// There are no attempts, or more than allowed.
    Attempts = "attempts",
    /// A hedged request, which is meant to follow an attempt that timed out, could be sent while that attempt is in flight.
    HedgedRequest = "second-copy",
    /// More than one attempt may have run in a class that allows one.
    NonIdempotent = "side-effect",
    /// An attempt could start after the deduplication window of the first.
    DeduplicationWindow = "memory-span",
    /// The attempts could end after the class's deadline, or the message would be abandoned after it.
    Deadline = "deadline",
    /// The attempts could end after the route abandons the message.
    AbandonAfter = "give-up",
    /// Two routes are equally specific, and both match some message.
    Overlap = "overlap",
    /// A route can never apply, because others always take precedence.
    Shadowed = "shadowed",
    /// Two routes have the same name.
    RepeatedName = "repeated-name",
    /// The platform's settings do not list the kind.
    UnknownKind = "unknown-kind",
    /// The platform's settings do not list the class.
    UnknownClass = "unknown-class",
    /// A list of destinations is empty.
    NoDestination = "no-destination",
    /// A destination is given twice in one list.
    RepeatedDestination = "repeated-destination",
}

/// One error in a site file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Its position in the file.
    pub at: Position,
    /// The code of the kind of error.
    pub code: ErrorCode,
    /// A text that names the conflicting values and says what would be valid.
    pub reason: String,
}

impl ConfigError {
    /// Creates an error at a position.
    pub fn new(at: Position, code: ErrorCode, reason: impl Into<String>) -> Self {
        ConfigError { at, code, reason: reason.into() }
    }

    /// The error as one line of text, `FILE:LINE:COLUMN: [code] reason`.
    pub fn format_line(&self, file: &str) -> String {
        format!("{file}:{self}")
    }
}

/// The errors of a file as text, one per line.
pub fn error_lines(file: &Path, errors: &[ConfigError]) -> String {
    let file = file.display().to_string();
    errors.iter().map(|error| error.format_line(&file)).collect::<Vec<_>>().join("\n")
}

/// Shortens a text from a file to 60 characters and replaces control characters by spaces, so that a log entry stays on
/// one line.
pub fn shortened(text: &str) -> String {
    const MAX_CHARS: usize = 60;
    let mut short: String =
        text.chars().take(MAX_CHARS).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if text.chars().nth(MAX_CHARS).is_some() {
        short.push('…');
    }
    short
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ConfigError { at, code, reason } = self;
        write!(f, "{}:{}: [{}] {reason}", at.line, at.column, code.as_str())
    }
}
