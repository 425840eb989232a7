//! What is wrong with a line, from the batch down to the field.

use cedarbridge::settings_json::{DecodeError, UnknownName};
use cedarbridge::SettingsError;
use serde_json::Value;
use thiserror::Error;

/// A batch that cannot be answered.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("a batch needs its clock `t`")]
    NoClock,
    #[error("`t`: {0}")]
    Clock(#[source] DecodeError),
    #[error("a batch needs an array `parts`")]
    NoParts,
    #[error("a part needs its `courier-id`")]
    NoInstanceId,
    #[error("`courier-id`: {0}")]
    InstanceId(#[source] DecodeError),
    #[error("a part needs an array `news`")]
    NoEvents,
    #[error("an event starts with its name")]
    NoEventName,
    #[error("event `{name}`: {error}")]
    Event {
        name: String,
        #[source]
        error: EventError,
    },
}

/// An event that cannot be taken.
#[derive(Debug, Error)]
pub enum EventError {
    #[error("unknown event")]
    UnknownEvent,
    #[error("no instance {0} was created")]
    NoInstance(u64),
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    #[error(transparent)]
    Field(#[from] DecodeError),
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    #[error("`entries` is not an array")]
    EntriesNotAnArray,
    #[error("`salt` is not whole")]
    SeedNotWhole,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("no catalog has number {0}")]
    NoList(u64),
    #[error("unknown scope `{0}`")]
    UnknownScope(String),
    #[error("key {0} is not hexadecimal")]
    KeyNotHexadecimal(Value),
    #[error("`note`: {0}")]
    Note(#[source] DecodeError),
    #[error("unknown outcome code {0}")]
    UnknownOutcome(u64),
    #[error("`stats` is not an object: {0}")]
    StatsNotAnObject(Value),
}
