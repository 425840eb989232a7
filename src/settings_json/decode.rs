//! Decoding of single JSON values, with errors that name the setting at fault.

use crate::Micros;
use serde_json::Value;

/// The first time in milliseconds that is too long to be meant.
const TIME_LIMIT_MS: f64 = 1e15;

/// A name that the settings do not list.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown {what} `{name}`")]
pub struct UnknownName {
    /// What is named, such as a class.
    pub what: &'static str,
    /// The name.
    pub name: String,
}

/// Why a JSON value could not be decoded.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum DecodeError {
    /// A value of another type or range.
    #[error("expected {expected}, got {found}")]
    Unexpected {
        /// What it should be.
        expected: &'static str,
        /// What it is.
        found: Value,
    },
    /// A field that must be there is missing.
    #[error("missing setting `{0}`")]
    Missing(String),
    /// The value of a field could not be decoded.
    #[error("setting `{key}`: {error}")]
    InField {
        /// The field.
        key: String,
        /// Why not.
        error: Box<DecodeError>,
    },
    /// A value that is no list.
    #[error("not a list")]
    NotAList,
    /// A text that is none of the words that are known.
    #[error("unknown word `{0}`")]
    UnknownWord(String),
    /// A name that the settings do not list.
    #[error(transparent)]
    UnknownName(#[from] UnknownName),
    /// The number of this forwarder is not under the count of all.
    #[error("{index} is not under the count of {forwarders}")]
    ForwarderIndex {
        /// Its number.
        index: u64,
        /// The count.
        forwarders: u64,
    },
    /// An entry of the endpoint list that is no array.
    #[error("a list entry is not an array")]
    EntryNotAnArray,
    /// The number of an endpoint that is too large.
    #[error("an endpoint is a number below 2^32")]
    EndpointTooLarge,
}

impl DecodeError {
    /// The same error, as one of a field's value.
    fn in_field(self, key: &str) -> DecodeError {
        DecodeError::InField { key: key.to_owned(), error: Box::new(self) }
    }
}

fn expect<T>(expected: &'static str, decoded: Option<T>, value: &Value) -> Result<T, DecodeError> {
    decoded.ok_or_else(|| DecodeError::Unexpected { expected, found: value.clone() })
}

/// A value as a string.
///
/// # Errors
///
/// If it is of another type.
pub fn string(value: &Value) -> Result<String, DecodeError> {
    expect("a text", value.as_str().map(str::to_owned), value)
}

/// A value as a number.
///
/// # Errors
///
/// If it is of another type.
pub fn number(value: &Value) -> Result<f64, DecodeError> {
    expect("a number", value.as_f64(), value)
}

/// A value as an unsigned integer.
///
/// # Errors
///
/// If it is of another type, negative or fractional.
pub fn unsigned(value: &Value) -> Result<u64, DecodeError> {
    expect("a whole number", value.as_u64(), value)
}

/// A value as true or false.
///
/// # Errors
///
/// If it is of another type.
pub fn boolean(value: &Value) -> Result<bool, DecodeError> {
    expect("true or false", value.as_bool(), value)
}

/// A time in milliseconds as microseconds.
///
/// # Errors
///
/// If it is of another type, negative or longer than any time that is meant.
pub fn micros_from_ms(value: &Value) -> Result<Micros, DecodeError> {
    let ms = Some(number(value)?).filter(|ms| (0.0..TIME_LIMIT_MS).contains(ms));
    Ok((expect("a time", ms, value)? * 1000.0).round() as Micros)
}

/// A number of megabytes as bytes.
///
/// # Errors
///
/// If it is of another type, negative or larger than any disk.
pub fn bytes_from_mb(value: &Value) -> Result<u64, DecodeError> {
    let mb = Some(number(value)?).filter(|mb| (0.0..1e12).contains(mb));
    Ok((expect("megabytes", mb, value)? * 1e6) as u64)
}

/// The position of a name in a list of names.
///
/// # Errors
///
/// If the list does not have it.
pub fn index_of(names: &[String], name: &str, what: &'static str) -> Result<usize, UnknownName> {
    let index = names.iter().position(|known| known == name);
    index.ok_or_else(|| UnknownName { what, name: name.to_owned() })
}

/// A field that may be missing or null.
pub fn optional_field<'a>(object: &'a Value, key: &str) -> Option<&'a Value> {
    object.get(key).filter(|value| !value.is_null())
}

/// A field that must be there.
///
/// # Errors
///
/// If it is missing or null.
pub fn required_field<'a>(object: &'a Value, key: &str) -> Result<&'a Value, DecodeError> {
    optional_field(object, key).ok_or_else(|| DecodeError::Missing(key.to_owned()))
}

/// A field that must be there, decoded.
///
/// # Errors
///
/// If it is missing or cannot be decoded.
pub fn required<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    decode(required_field(object, key)?).map_err(|error| error.in_field(key))
}

/// A field that may be missing, decoded.
///
/// # Errors
///
/// If it is there and cannot be decoded.
pub fn optional<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<Option<T>, DecodeError> {
    let decoded = optional_field(object, key).map(decode).transpose();
    decoded.map_err(|error| error.in_field(key))
}

/// A field that may be missing, zero or false then.
///
/// # Errors
///
/// If it is there and cannot be decoded.
pub fn or_default<T: Default>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<T, DecodeError> {
    Ok(optional(object, key, decode)?.unwrap_or_default())
}

/// The items of a list that must be there.
///
/// # Errors
///
/// If it is missing or no list.
pub fn required_items<'a>(object: &'a Value, key: &str) -> Result<&'a [Value], DecodeError> {
    let list = required_field(object, key)?.as_array();
    list.map(Vec::as_slice).ok_or_else(|| DecodeError::NotAList.in_field(key))
}

/// The items of a list that must be there, each decoded.
///
/// # Errors
///
/// If it is missing, no list, or one of its items cannot be decoded.
pub fn required_list<T>(
    object: &Value,
    key: &str,
    decode: fn(&Value) -> Result<T, DecodeError>,
) -> Result<Vec<T>, DecodeError> {
    let items = required_items(object, key)?;
    items.iter().map(|item| decode(item).map_err(|error| error.in_field(key))).collect()
}

/// The items of a list that may be missing, each decoded; none then.
///
/// # Errors
///
/// If it is there and no list, or one of its items cannot be decoded.
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
