//! The fields of an event, which is an array: its name, then its fields by position.

use super::error::EventError;
use cedarbridge::settings_json::{micros_from_ms, string, unsigned, DecodeError};
use cedarbridge::{EndpointId, Micros};
use serde_json::Value;

/// An event of the wire.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a Value);

impl<'a> Fields<'a> {
    /// The field at a position, if it is there and not null.
    pub fn optional(self, position: usize) -> Option<&'a Value> {
        self.0.get(position).filter(|value| !value.is_null())
    }

    /// The field at a position, which must be there.
    pub fn required(self, position: usize, name: &'static str) -> Result<&'a Value, EventError> {
        self.optional(position).ok_or(EventError::MissingField(name))
    }

    /// The field at a position, which must be there, as a reader reads it.
    pub fn read<T>(
        self,
        position: usize,
        name: &'static str,
        reader: fn(&Value) -> Result<T, DecodeError>,
    ) -> Result<T, EventError> {
        let value = self.required(position, name)?;
        Ok(reader(value)?)
    }

    pub fn string(self, position: usize, name: &'static str) -> Result<String, EventError> {
        self.read(position, name, string)
    }

    pub fn unsigned(self, position: usize, name: &'static str) -> Result<u64, EventError> {
        self.read(position, name, unsigned)
    }

    pub fn micros(self, position: usize, name: &'static str) -> Result<Micros, EventError> {
        self.read(position, name, micros_from_ms)
    }

    /// The field `endpoint`.
    pub fn endpoint(self, position: usize) -> Result<EndpointId, EventError> {
        Ok(EndpointId(self.unsigned(position, "endpoint")? as u32))
    }
}
