//! Decodes a version of the endpoint list from the JSON of the platform's agent or of the configuration.

use crate::membership::{EntryKey, EntryState, Listing};
use crate::settings_json::{index_of, Names, UnknownName};
use crate::{DestinationId, KindId, ZoneId};
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Why a version of the list, or one of its entries, cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The text is not valid JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A required field is missing.
    #[error("missing field `{0}`")]
    MissingField(&'static str),
    /// A field has a value of the wrong type.
    #[error("field `{field}`: expected {expected}, got {found}")]
    WrongType {
        /// The name of the field.
        field: &'static str,
        /// The expected type, with its article.
        expected: &'static str,
        /// The value in the list.
        found: Value,
    },
    /// The array `instances` is missing.
    #[error("missing array `instances`")]
    NoInstances,
    /// The address of an instance cannot be parsed.
    #[error("instance `{0}` has an invalid `hostPort`")]
    InvalidAddress(String),
    /// The lifecycle of an instance is not part of the protocol.
    #[error("instance `{id}` has the unknown lifecycle `{lifecycle}`")]
    UnknownLifecycle {
        /// The id of the instance.
        id: String,
        /// The lifecycle in the list.
        lifecycle: String,
    },
    /// The kind or zone of an instance is not configured.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
}

/// A decoded version of the list.
pub struct ListVersion {
    /// The number of the version; it increases with each.
    pub generation: u64,
    /// Whether it contains every endpoint; otherwise it contains only those that have changed.
    pub complete: bool,
    /// The entries that can be used.
    pub listings: Vec<Listing>,
    /// For each entry that was left out, why it cannot be used.
    pub unusable_entries: Vec<DecodeError>,
}

/// A version of the list whose fields have been found, and whose entries have not been decoded yet. It borrows the text, as the
/// entries of a long list take many times as much when they are all parsed.
#[derive(Default)]
pub struct RawList<'a> {
    fields: HashMap<String, &'a RawValue>,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RawInstance {
    instance_id: Option<Field<String>>,
    host_port: Option<Field<String>>,
    lifecycle: Option<Field<String>>,
    machine_type: Option<Field<String>>,
    zone: Option<Field<String>>,
    cell: Option<Field<u64>>,
    weight: Option<Field<f64>>,
}

/// The value of a field. A value of another type is kept for the error message.
#[derive(Deserialize)]
#[serde(untagged)]
enum Field<T> {
    Typed(T),
    Other(Value),
}

impl<T> Field<T> {
    fn into_value(self) -> Option<T> {
        match self {
            Field::Typed(value) => Some(value),
            Field::Other(_) => None,
        }
    }
}

/// Returns the value of a required field.
fn required<T>(
    field: Option<Field<T>>,
    name: &'static str,
    expected: &'static str,
) -> Result<T, DecodeError> {
    match field {
        Some(Field::Typed(value)) => Ok(value),
        Some(Field::Other(found)) => Err(DecodeError::WrongType { field: name, expected, found }),
        None => Err(DecodeError::MissingField(name)),
    }
}

fn required_text(field: Option<Field<String>>, name: &'static str) -> Result<String, DecodeError> {
    required(field, name, "a string")
}

fn required_integer(field: Option<Field<u64>>, name: &'static str) -> Result<u64, DecodeError> {
    required(field, name, "a non-negative integer")
}

impl<'a> RawList<'a> {
    /// Parses a line of a watch, or the list in a configuration.
    ///
    /// # Errors
    ///
    /// If the text is not valid JSON.
    pub fn parse(text: &'a [u8]) -> Result<Self, DecodeError> {
        let value: &RawValue = serde_json::from_slice(text)?;
        if !value.get().starts_with('{') {
            return Ok(Self::default());
        }
        Ok(RawList { fields: serde_json::from_str(value.get())? })
    }

    fn field<T: DeserializeOwned>(&self, name: &str) -> Option<Field<T>> {
        let value = self.fields.get(name).filter(|value| value.get() != "null")?;
        // The text was parsed before, and a field takes any value.
        serde_json::from_str(value.get()).ok()
    }

    /// The number of the version; `None` if it is missing or of the wrong type.
    pub fn generation(&self) -> Option<u64> {
        self.field("generation").and_then(Field::into_value)
    }

    /// Whether the version contains every endpoint.
    pub fn is_complete(&self) -> bool {
        self.field("reset").and_then(Field::into_value) == Some(true)
    }

    /// Decodes the entries. One that cannot be used is left out and does not affect the others.
    ///
    /// # Errors
    ///
    /// If the version's number or the array of instances is missing or of the wrong type.
    pub fn decode(&self, names: &Names) -> Result<ListVersion, DecodeError> {
        let complete = self.is_complete();
        let generation = required_integer(self.field("generation"), "generation")?;
        let instances = self.fields.get("instances").ok_or(DecodeError::NoInstances)?;
        let instances: Vec<&RawValue> =
            serde_json::from_str(instances.get()).map_err(|_| DecodeError::NoInstances)?;
        let mut listings = Vec::with_capacity(instances.len());
        let mut unusable_entries = Vec::new();
        for instance in instances {
            match RawInstance::parse(instance).and_then(|instance| instance.decode(names)) {
                Ok(listing) => listings.push(listing),
                Err(error) => unusable_entries.push(error),
            }
        }
        Ok(ListVersion { generation, complete, listings, unusable_entries })
    }
}

impl RawInstance {
    /// Reads the fields of an entry. Any value but an object counts as one without fields; without this check serde would read
    /// an array as the fields in their order.
    fn parse(entry: &RawValue) -> Result<Self, DecodeError> {
        let value: Value = serde_json::from_str(entry.get())?;
        if !value.is_object() {
            return Ok(RawInstance::default());
        }
        Ok(serde_json::from_value(value)?)
    }

    fn decode(self, names: &Names) -> Result<Listing, DecodeError> {
        let id = required_text(self.instance_id, "instanceId")?;
        let host_port = required_text(self.host_port, "hostPort")?;
        let address: SocketAddr = host_port.parse().map_err(|_| DecodeError::InvalidAddress(id.clone()))?;
        let state = match required_text(self.lifecycle, "lifecycle")?.as_str() {
            "active" => EntryState::Up,
            "leaving" => EntryState::Draining,
            "left" => EntryState::Removed,
            other => return Err(DecodeError::UnknownLifecycle { id, lifecycle: other.to_owned() }),
        };
        let kind = required_text(self.machine_type, "machineType")?;
        let kind = index_of(&names.kinds, &kind, "kind")?;
        let zone = required_text(self.zone, "zone")?;
        let zone = index_of(&names.zones, &zone, "zone")?;
        Ok(Listing {
            key: EntryKey { group: Arc::default(), id: id.into() },
            address,
            destination: DestinationId(required_integer(self.cell, "cell")?),
            zone: ZoneId(zone),
            kind: KindId(kind),
            weight: self.weight.and_then(Field::into_value).unwrap_or(1.0),
            state,
            stamp: 0,
        })
    }
}
