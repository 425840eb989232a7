//! The errors of a line of input: of its batch, an event in it or a field of the event.

use cedarbridge::settings_json::{DecodeError, UnknownName};
use cedarbridge::SettingsError;
use serde_json::Value;
use thiserror::Error;

/// Why a batch cannot be processed.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("the batch has no clock `t`")]
    NoClock,
    #[error("`t`: {0}")]
    Clock(#[source] DecodeError),
    #[error("the batch has no array `parts`")]
    NoParts,
    #[error("a part has no `courier-id`")]
    NoInstanceId,
    #[error("`courier-id`: {0}")]
    InstanceId(#[source] DecodeError),
    #[error("a part has no array `news`")]
    NoEvents,
    #[error("an event does not begin with its name")]
    NoEventName,
    #[error("event `{name}`: {error}")]
    Event {
        name: String,
        #[source]
        error: EventError,
    },
}

/// Why an event cannot be processed.
#[derive(Debug, Error)]
pub enum EventError {
    #[error("unknown event")]
    UnknownEvent,
    #[error("no instance {0} exists")]
    NoInstance(u64),
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    #[error(transparent)]
    Field(#[from] DecodeError),
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    #[error("`entries` is not an array")]
    EntriesNotAnArray,
    #[error("`salt` is not an integer")]
    SeedNotAnInteger,
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error("no endpoint list has number {0}")]
    UnknownList(u64),
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
