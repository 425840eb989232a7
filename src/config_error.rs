//! What is wrong with a site file: where, under which code, and why. It checks nothing itself.

use std::fmt;
use std::path::Path;

/// A place in a file, both counted from 1.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The line.
    pub line: u32,
    /// The column, in characters.
    pub column: u32,
}

/// A value and where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Where it stands.
    pub at: Position,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $word:literal),* $(,)?) => {
        /// Why a file is refused, one word for each kind of error; scripts may depend on the words.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ErrorCode { $($(#[$doc])* $name),* }

        impl ErrorCode {
            /// Its word.
            pub fn as_str(self) -> &'static str {
                match self { $(ErrorCode::$name => $word),* }
            }
        }
    };
}

codes! {
    /// Not YAML, or larger or deeper than any settings file is.
    Syntax = "syntax",
    /// Another type than the key takes.
    Type = "type",
    /// A key that does not exist.
    UnknownKey = "unknown-key",
    /// A key given twice.
    RepeatedKey = "repeated-key",
    /// A key that must be there.
    MissingKey = "missing-key",
    /// A version of the file that this program does not know.
    Version = "version",
    /// A time without a unit, or with one that does not exist.
    Unit = "unit",
    /// A time of zero, negative or over a day.
    Time = "time",
    /// No address of a registry, or one given twice.
    Address = "address",
    /// A lease that ends before it is renewed.
    Lease = "lease",
    /// A longest pause that is shorter than the first.
    Pause = "pause",
    /// No attempts, or more than are allowed.
    Attempts = "attempts",
    /// A hedged request while the first attempt may be in flight.
    HedgedRequest = "second-copy",
    /// More than one attempt that may have run in a class that allows one.
    NonIdempotent = "side-effect",
    /// An attempt that could start after the deduplication window of the first.
    DeduplicationWindow = "memory-span",
    /// Attempts that cannot end before the class's deadline, or an abandonment beyond it.
    Deadline = "deadline",
    /// Attempts that cannot end before the entry's own abandonment.
    AbandonAfter = "give-up",
    /// Two entries, equally specific, that could both win for some message.
    Overlap = "overlap",
    /// An entry that can never win.
    Shadowed = "shadowed",
    /// A name given to two entries.
    RepeatedName = "repeated-name",
    /// A kind that the platform's settings do not list.
    UnknownKind = "unknown-kind",
    /// A class that the platform's settings do not list.
    UnknownClass = "unknown-class",
    /// A list of destinations with nothing in it.
    NoDestination = "no-destination",
    /// A destination given twice in one list.
    RepeatedDestination = "repeated-destination",
}

/// One error in a site file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Its place in the file.
    pub at: Position,
    /// Its kind.
    pub code: ErrorCode,
    /// The figures that collide, and what would be right.
    pub reason: String,
}

impl ConfigError {
    /// An error at a place.
    pub fn new(at: Position, code: ErrorCode, reason: impl Into<String>) -> Self {
        ConfigError { at, code, reason: reason.into() }
    }

    /// As one line, `FILE:LINE:COLUMN: [code] reason`.
    pub fn line(&self, file: &str) -> String {
        format!("{file}:{self}")
    }
}

/// The errors of a file, one a line.
pub fn error_lines(file: &Path, errors: &[ConfigError]) -> String {
    let file = file.display().to_string();
    errors.iter().map(|error| error.line(&file)).collect::<Vec<_>>().join("\n")
}

/// A text from a file, cut so that a line of the log stays a line.
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
