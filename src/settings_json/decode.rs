//! Decoders for single JSON values. Their errors name the setting that is wrong.

use crate::Micros;
use serde_json::Value;

/// Times of this many milliseconds or more are rejected, as they must be mistakes.
const TIME_LIMIT_MS: f64 = 1e15;

/// The error for a name that the settings do not list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} `{name}`")]
pub struct UnknownName {
    /// What the name refers to, such as a class.
    pub what: &'static str,
    /// The name that is not known, as given.
    pub name: String,
}

/// The reason why a JSON value could not be decoded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// A value has the wrong type or is out of range.
    #[error("expected {expected}, got {found}")]
    Unexpected {
        /// A description of the valid values.
        expected: &'static str,
        /// The value that was found instead.
        found: Value,
    },
    /// A required field is missing.
    #[error("missing setting `{0}`")]
    Missing(String),
    /// The value of a field could not be decoded.
    #[error("setting `{key}`: {error}")]
    InField {
        /// The name of the field.
        key: String,
        /// The reason why the value of the field could not be decoded.
        error: Box<DecodeError>,
    },
    /// A value is not an array.
    #[error("not a list")]
    NotAList,
    /// A string is none of the valid values.
    #[error("unknown word `{0}`")]
    UnknownVariant(String),
    /// A name is not listed in the settings.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The index of this forwarder is not below the number of forwarders.
    #[error("{index} is not under the count of {forwarders}")]
    ForwarderIndex {
        /// The index of this forwarder.
        index: u64,
        /// The number of forwarders, which the index must be below.
        forwarders: u64,
    },
    /// An entry of the endpoint list is not an array.
    #[error("a list entry is not an array")]
    EntryNotAnArray,
    /// The number of an endpoint is too large.
    #[error("an endpoint is a number below 2^32")]
    EndpointTooLarge,
}

impl DecodeError {
    /// Adds the name of the field that contains the value.
    fn in_field(self, key: &str) -> DecodeError {
        DecodeError::InField { key: key.to_owned(), error: Box::new(self) }
    }
}

fn expect<T>(expected: &'static str, decoded: Option<T>, value: &Value) -> Result<T, DecodeError> {
    decoded.ok_or_else(|| DecodeError::Unexpected { expected, found: value.clone() })
}

/// Decodes a string.
///
/// # Errors
///
/// Returns an error if the value has another type.
pub fn string(value: &Value) -> Result<String, DecodeError> {
    expect("a text", value.as_str().map(str::to_owned), value)
}

/// Decodes a number.
///
/// # Errors
///
/// Returns an error if the value has another type.
pub fn number(value: &Value) -> Result<f64, DecodeError> {
    expect("a number", value.as_f64(), value)
}

/// Decodes an unsigned integer.
///
/// # Errors
///
/// Returns an error if the value has another type, is negative or is fractional.
pub fn unsigned(value: &Value) -> Result<u64, DecodeError> {
    expect("a whole number", value.as_u64(), value)
}

/// Decodes a boolean.
///
/// # Errors
///
/// Returns an error if the value has another type.
pub fn boolean(value: &Value) -> Result<bool, DecodeError> {
    expect("true or false", value.as_bool(), value)
}

/// Decodes a time in milliseconds. Returns it in microseconds.
///
/// # Errors
///
/// Returns an error if the value has another type, is negative or is 10^15 milliseconds or more.
pub fn micros_from_ms(value: &Value) -> Result<Micros, DecodeError> {
    let ms = Some(number(value)?).filter(|ms| (0.0..TIME_LIMIT_MS).contains(ms));
    Ok((expect("a time", ms, value)? * 1000.0).round() as Micros)
}

/// Decodes a size in megabytes. Returns it in bytes.
///
/// # Errors
///
/// Returns an error if the value has another type, is negative or is 10^12 megabytes or more.
pub fn bytes_from_mb(value: &Value) -> Result<u64, DecodeError> {
    let mb = Some(number(value)?).filter(|mb| (0.0..1e12).contains(mb));
    Ok((expect("megabytes", mb, value)? * 1e6) as u64)
}

/// The index of a name in a list of names.
///
/// # Errors
///
/// Returns an error if the list does not contain the name.
pub fn index_of(names: &[String], name: &str, what: &'static str) -> Result<usize, UnknownName> {
    let index = names.iter().position(|known| known == name);
    index.ok_or_else(|| UnknownName { what, name: name.to_owned() })
}

/// Returns a field of an object, or `None` if it is missing or null.
pub fn optional_field<'a>(object: &'a Value, key: &str) -> Option<&'a Value> {
    object.get(key).filter(|value| !value.is_null())
}

/// Returns a required field of an object.
///
/// # Errors
///
/// Returns an error if the field is missing or null.
pub fn required_field<'a>(object: &'a Value, key: &str) -> Result<&'a Value, DecodeError> {
    optional_field(object, key).ok_or_else(|| DecodeError::Missing(key.to_owned()))
}

/// Decodes a required field of an object.
///
/// # Errors
///
/// Returns an error if the field is missing or null, or cannot be decoded.
pub fn required<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    decode(required_field(object, key)?).map_err(|error| error.in_field(key))
}

/// Decodes an optional field of an object. Returns `None` if it is missing or null.
///
/// # Errors
///
/// Returns an error if the field is present and cannot be decoded.
pub fn optional<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<Option<T>, DecodeError> {
    let decoded = optional_field(object, key).map(decode).transpose();
    decoded.map_err(|error| error.in_field(key))
}

/// Decodes an optional field of an object. Returns the default value of its type if it is missing or null.
///
/// # Errors
///
/// Returns an error if the field is present and cannot be decoded.
pub fn or_default<T: Default>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    Ok(optional(object, key, decode)?.unwrap_or_default())
}

/// Returns the items of a required array.
///
/// # Errors
///
/// Returns an error if the field is missing, null or not an array.
pub fn required_items<'a>(object: &'a Value, key: &str) -> Result<&'a [Value], DecodeError> {
    let list = required_field(object, key)?.as_array();
    list.map(Vec::as_slice).ok_or_else(|| DecodeError::NotAList.in_field(key))
}

/// Decodes the items of a required array.
///
/// # Errors
///
/// Returns an error if the field is missing, null or not an array, or if an item cannot be decoded.
pub fn required_list<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let items = required_items(object, key)?;
    items.iter().map(|item| decode(item).map_err(|error| error.in_field(key))).collect()
}

/// Decodes the items of an optional array. Returns no items if it is missing or null.
///
/// # Errors
///
/// Returns an error if the field is present and not an array, or if an item cannot be decoded.
pub fn optional_list<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    match optional_field(object, key) {
        Some(_) => required_list(object, key, decode),
        None => Ok(Vec::new()),
    }
}
