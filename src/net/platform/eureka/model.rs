//! What a registry's answers hold, as far as it matters here, and the hash that it takes over them. Source: the
//! published REST operations of Eureka (application/instance documents, `/apps`, `/apps/delta`). It reads nothing.

use std::collections::BTreeMap;

/// Why an answer cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It is no JSON, or has other types than an answer.
    #[error("not as JSON should be: {0}")]
    Json(serde_json::Error),
    /// It is no XML.
    #[error("not as XML should be: {0}")]
    Xml(String),
    /// It has elements within elements beyond this depth.
    #[error("it nests deeper than {0}")]
    TooDeep(usize),
    /// It refers to an entity that XML does not have.
    #[error("the unknown entity `{0}`")]
    UnknownEntity(String),
    /// It ends within an element.
    #[error("it ends in its middle")]
    Incomplete,
    /// It is no answer of a registry.
    #[error("neither `applications` nor `application`")]
    NoApplications,
    /// A name or value has so many bytes, which is too many.
    #[error("a name of {0} bytes")]
    NameTooLong(usize),
}

/// The longest name or value that is taken; no registry has longer ones.
pub const LONGEST_NAME: usize = 4 * 1024;

/// A status of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// Takes traffic.
    Up,
    /// Does not work.
    Down,
    /// Not ready yet.
    Starting,
    /// Taken out on purpose.
    OutOfService,
    /// Nothing is known.
    Unknown,
}

impl Status {
    /// From the protocol's name; any other name is unknown.
    pub fn read(name: &str) -> Status {
        match name.to_ascii_uppercase().as_str() {
            "UP" => Status::Up,
            "DOWN" => Status::Down,
            "STARTING" => Status::Starting,
            "OUT_OF_SERVICE" => Status::OutOfService,
            _ => Status::Unknown,
        }
    }

    /// The protocol's name.
    pub fn name(self) -> &'static str {
        match self {
            Status::Up => "UP",
            Status::Down => "DOWN",
            Status::Starting => "STARTING",
            Status::OutOfService => "OUT_OF_SERVICE",
            Status::Unknown => "UNKNOWN",
        }
    }
}

/// What a delta says of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// It is there, new or changed.
    Upsert,
    /// It is gone.
    Delete,
}

/// An instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// Its application.
    pub app: String,
    /// Its id: `instanceId`, or the host's name where a server sends none.
    pub id: String,
    /// Its address, as text.
    pub ip: String,
    /// Its port, if one is enabled.
    pub port: Option<u16>,
    /// Its status.
    pub status: Status,
    /// The later of `lastUpdatedTimestamp` and `lastDirtyTimestamp`, in milliseconds.
    pub modified_at_ms: u64,
    /// Its metadata.
    pub metadata: BTreeMap<String, String>,
    /// In a delta, what became of it.
    pub action: Action,
}

/// An answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applications {
    /// `versions__delta`, if it is a number.
    pub version: Option<u64>,
    /// `apps__hashcode`; that of an empty registry is empty.
    pub hash: Option<String>,
    /// All instances.
    pub instances: Vec<Instance>,
}

/// The hash over the statuses of all instances: each status that occurs, in the order of its name, with its count,
/// as `DOWN_1_UP_2_`.
pub fn hash_code(statuses: impl Iterator<Item = Status>) -> String {
    const BY_NAME: [Status; 5] =
        [Status::Down, Status::OutOfService, Status::Starting, Status::Unknown, Status::Up];
    let mut counts = [0usize; 5];
    for status in statuses {
        let position = BY_NAME.iter().position(|by_name| *by_name == status);
        counts[position.expect("all statuses are listed above")] += 1;
    }
    let occurring = BY_NAME.iter().zip(counts).filter(|(_, count)| *count > 0);
    occurring.map(|(status, count)| format!("{}_{count}_", status.name())).collect()
}

/// Checks that no text of an instance is longer than any registry's is.
///
/// # Errors
///
/// If one is.
pub fn check_text_lengths(instance: &Instance) -> Result<(), DecodeError> {
    let metadata = instance.metadata.iter().flat_map(|(name, value)| [name, value]);
    let mut texts = [&instance.app, &instance.id, &instance.ip].into_iter().chain(metadata);
    match texts.find(|text| text.len() > LONGEST_NAME) {
        Some(text) => Err(DecodeError::NameTooLong(text.len())),
        None => Ok(()),
    }
}
