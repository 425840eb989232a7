//! The parts of a registry's answers that the forwarder needs, and the hash over all instances. They follow Eureka's
//! published REST operations (application and instance documents, `/apps`, `/apps/delta`). Parsing is done in `json` and
//! `xml`.

use std::collections::BTreeMap;

/// Why an answer cannot be decoded.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The body is not valid JSON, or a field has the wrong type.
    #[error("invalid JSON: {0}")]
    Json(serde_json::Error),
    /// The body is not valid XML.
    #[error("invalid XML: {0}")]
    Xml(String),
    /// The XML elements are nested more deeply than this limit.
    #[error("elements nested more than {0} deep")]
    TooDeep(usize),
    /// The XML refers to an entity that is not predefined.
    #[error("unknown entity `{0}`")]
    UnknownEntity(String),
    /// The XML ends within an element.
    #[error("unexpected end of XML")]
    Incomplete,
    /// The body is not an answer of a registry.
    #[error("neither `applications` nor `application` found")]
    NoApplications,
    /// A name or value is too long; its length in bytes.
    #[error("name or value too long: {0} bytes")]
    TextTooLong(usize),
}

/// The longest name or value that is accepted, in bytes. Real registries have no longer ones.
pub const MAX_TEXT_BYTES: usize = 4 * 1024;

/// The status of an instance in the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Status {
    /// The instance accepts traffic.
    Up,
    /// The instance does not work.
    Down,
    /// The instance is not ready yet.
    Starting,
    /// The instance was taken out of service deliberately.
    OutOfService,
    /// The status is not known.
    Unknown,
}

impl Status {
    /// Parses the protocol's name in any case; any other name gives [`Status::Unknown`].
    pub fn from_name(name: &str) -> Status {
        match name.to_ascii_uppercase().as_str() {
            "UP" => Status::Up,
            "DOWN" => Status::Down,
            "STARTING" => Status::Starting,
            "OUT_OF_SERVICE" => Status::OutOfService,
            _ => Status::Unknown,
        }
    }

    /// The name of the status in the protocol.
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

/// What a delta does to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// The instance is added or changed.
    Upsert,
    /// The instance is deleted.
    Delete,
}

/// An instance of an application.
#[derive(Clone, Debug, PartialEq)]
pub struct Instance {
    /// The application's name, in upper case.
    pub app: String,
    /// `instanceId`, or the host name if the server sends no id.
    pub id: String,
    /// The IP address as text, or the host name if the server sends no address; not validated.
    pub ip: String,
    /// The plain port, or else the secure one; `None` if neither is enabled.
    pub port: Option<u16>,
    /// The status that the registry reports.
    pub status: Status,
    /// The later of `lastUpdatedTimestamp` and `lastDirtyTimestamp`, in milliseconds of Unix time; 0 if both are missing.
    pub modified_at_ms: u64,
    /// The plain values of the instance's metadata.
    pub metadata: BTreeMap<String, String>,
    /// In a delta, whether the instance was changed or deleted.
    pub action: Action,
}

/// A decoded answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Applications {
    /// `versions__delta`; `None` if it is not a number.
    pub version: Option<u64>,
    /// `apps__hashcode`, which is empty for an empty registry; `None` if the answer has none.
    pub hash: Option<String>,
    /// The instances of all applications.
    pub instances: Vec<Instance>,
}

/// The hash over the statuses of all instances: each status that occurs, sorted by name, with the count of its instances,
/// such as `DOWN_1_UP_2_`.
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

/// Checks that no name or value of an instance is longer than [`MAX_TEXT_BYTES`].
///
/// # Errors
///
/// [`DecodeError::TextTooLong`] for the first one that is longer.
pub fn check_text_lengths(instance: &Instance) -> Result<(), DecodeError> {
    let metadata = instance.metadata.iter().flat_map(|(name, value)| [name, value]);
    let mut texts = [&instance.app, &instance.id, &instance.ip].into_iter().chain(metadata);
    match texts.find(|text| text.len() > MAX_TEXT_BYTES) {
        Some(text) => Err(DecodeError::TextTooLong(text.len())),
        None => Ok(()),
    }
}
