//! The fields of an event. An event is a JSON array of its name and its fields, which are found by their position.

use super::error::EventError;
use cedarbridge::settings_json::{micros_from_ms, string, unsigned, DecodeError};
use cedarbridge::{EndpointId, Micros};
use serde_json::Value;

/// An event as the simulator sent it.
#[derive(Clone, Copy)]
pub struct Fields<'a>(pub &'a Value);

impl<'a> Fields<'a> {
    /// The field at a position; `None` if it is missing or null.
    pub fn optional(self, position: usize) -> Option<&'a Value> {
        self.0.get(position).filter(|value| !value.is_null())
    }

    /// The field at a position, which must be there. `name` is the field's name in the error text.
    pub fn required(self, position: usize, name: &'static str) -> Result<&'a Value, EventError> {
        self.optional(position).ok_or(EventError::MissingField(name))
    }

    /// Decodes the field at a position, which must be there.
    pub fn decode<T>(
        self,
        position: usize,
        name: &'static str,
        decoder: fn(&Value) -> Result<T, DecodeError>,
    ) -> Result<T, EventError> {
        let value = self.required(position, name)?;
        Ok(decoder(value)?)
    }

    pub fn string(self, position: usize, name: &'static str) -> Result<String, EventError> {
        self.decode(position, name, string)
    }

    pub fn unsigned(self, position: usize, name: &'static str) -> Result<u64, EventError> {
        self.decode(position, name, unsigned)
    }

    /// A duration in microseconds, which the simulator sends in milliseconds.
    pub fn micros(self, position: usize, name: &'static str) -> Result<Micros, EventError> {
        self.decode(position, name, micros_from_ms)
    }

    /// The field `endpoint`, which must be there.
    pub fn endpoint(self, position: usize) -> Result<EndpointId, EventError> {
        Ok(EndpointId(self.unsigned(position, "endpoint")? as u32))
    }
}
