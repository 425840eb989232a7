//! Decodes a version of the endpoint list as the platform's agent and the configuration write it.

use crate::membership::{Key, Listing, State};
use crate::settings_json::{index_of, Names, UnknownName};
use crate::{DestinationId, KindId, ZoneId};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Why a version of the list, or an entry of it, cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// It is no JSON.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field that must be there is not.
    #[error("missing setting `{0}`")]
    MissingField(&'static str),
    /// A field has a value of another type.
    #[error("setting `{field}`: expected a {expected}, got {found}")]
    WrongType {
        /// The field.
        field: &'static str,
        /// What it should be.
        expected: &'static str,
        /// What it is.
        found: Value,
    },
    /// There is no list of instances.
    #[error("no `instances`")]
    NoInstances,
    /// An instance's address cannot be read.
    #[error("`{0}` has no address")]
    NoAddress(String),
    /// An instance's lifecycle is none of the protocol.
    #[error("`{id}` has the unknown lifecycle `{lifecycle}`")]
    UnknownLifecycle {
        /// The instance.
        id: String,
        /// Its lifecycle.
        lifecycle: String,
    },
    /// An instance's kind or zone is not among the configured ones.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
}

/// A version of the list.
pub struct ListVersion {
    /// Its number.
    pub generation: u64,
    /// It names every endpoint; otherwise only those that have changed.
    pub complete: bool,
    /// Its entries.
    pub listings: Vec<Listing>,
    /// Why each of the entries that cannot be used was left out.
    pub unusable_entries: Vec<DecodeError>,
}

/// A version of the list of which only the JSON has been read.
#[derive(Default, Deserialize)]
pub struct RawList {
    generation: Option<Field<u64>>,
    reset: Option<Field<bool>>,
    instances: Option<Value>,
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

/// A field's value. One of another type is kept as it is, for the error's text.
#[derive(Deserialize)]
#[serde(untagged)]
enum Field<T> {
    Typed(T),
    Other(Value),
}

impl<T> Field<T> {
    fn typed(self) -> Option<T> {
        match self {
            Field::Typed(value) => Some(value),
            Field::Other(_) => None,
        }
    }
}

/// The value of a field that must be there.
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
    required(field, name, "text")
}

fn required_integer(field: Option<Field<u64>>, name: &'static str) -> Result<u64, DecodeError> {
    required(field, name, "whole number")
}

/// Reads the fields of an object. What is no object has none; an array would be read as fields in their order.
fn read_fields<T: Default + for<'de> Deserialize<'de>>(value: Value) -> Result<T, DecodeError> {
    if !value.is_object() {
        return Ok(T::default());
    }
    Ok(serde_json::from_value(value)?)
}

impl RawList {
    /// Reads a line of a watch.
    ///
    /// # Errors
    ///
    /// If it is no JSON.
    pub fn parse(line: &[u8]) -> Result<Self, DecodeError> {
        Self::from_value(serde_json::from_slice(line)?)
    }

    /// Reads a list that the configuration holds.
    ///
    /// # Errors
    ///
    /// None as long as the value came from JSON.
    pub fn from_value(value: Value) -> Result<Self, DecodeError> {
        read_fields(value)
    }

    /// The number of the version, if it has one.
    pub fn generation(&self) -> Option<u64> {
        match self.generation {
            Some(Field::Typed(generation)) => Some(generation),
            _ => None,
        }
    }

    /// It names every endpoint.
    pub fn is_complete(&self) -> bool {
        matches!(self.reset, Some(Field::Typed(true)))
    }

    /// Gives the entries their meaning. One that cannot be used does not hide the others.
    ///
    /// # Errors
    ///
    /// If the number of the version or the list of instances is missing or of another type.
    pub fn decode(self, names: &Names) -> Result<ListVersion, DecodeError> {
        let complete = self.is_complete();
        let generation = required_integer(self.generation, "generation")?;
        let Some(Value::Array(instances)) = self.instances else { return Err(DecodeError::NoInstances) };
        let mut listings = Vec::with_capacity(instances.len());
        let mut unusable_entries = Vec::new();
        for instance in instances {
            match read_fields::<RawInstance>(instance).and_then(|instance| instance.decode(names)) {
                Ok(listing) => listings.push(listing),
                Err(error) => unusable_entries.push(error),
            }
        }
        Ok(ListVersion { generation, complete, listings, unusable_entries })
    }
}

impl RawInstance {
    fn decode(self, names: &Names) -> Result<Listing, DecodeError> {
        let id = required_text(self.instance_id, "instanceId")?;
        let host_port = required_text(self.host_port, "hostPort")?;
        let address: SocketAddr = host_port.parse().map_err(|_| DecodeError::NoAddress(id.clone()))?;
        let state = match required_text(self.lifecycle, "lifecycle")?.as_str() {
            "active" => State::Up,
            "leaving" => State::Draining,
            "left" => State::Removed,
            other => return Err(DecodeError::UnknownLifecycle { id, lifecycle: other.to_owned() }),
        };
        let kind = required_text(self.machine_type, "machineType")?;
        let kind = index_of(&names.kinds, &kind, "kind")?;
        let zone = required_text(self.zone, "zone")?;
        let zone = index_of(&names.zones, &zone, "zone")?;
        Ok(Listing {
            key: Key { group: String::new(), id },
            address,
            destination: DestinationId(required_integer(self.cell, "cell")?),
            zone: ZoneId(zone),
            kind: KindId(kind),
            weight: self.weight.and_then(Field::typed).unwrap_or(1.0),
            state,
            stamp: 0,
        })
    }
}
