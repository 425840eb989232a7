//! Typed readers for the parsed tree. Each returns the value or records an error, so that one pass finds all errors.

use super::node::{Node, NodeValue};
use crate::config_error::{shortened, ConfigError, ErrorCode, Located, Position};
use crate::durations::{parse_duration, DurationError};
use crate::Micros;

/// The keys and values of a map whose keys have been checked.
pub struct Fields<'a> {
    at: Position,
    /// What the map is called in errors.
    subject: String,
    entries: &'a [(Located<String>, Node)],
}

impl<'a> Fields<'a> {
    /// Opens a map; returns `None` and records an error if the value is not a map. Records an error for each key that is
    /// unknown or given twice. `subject` is what errors call the map.
    pub fn open(
        node: &'a Node,
        subject: &str,
        known_keys: &[&str],
        errors: &mut Vec<ConfigError>,
    ) -> Option<Self> {
        let NodeValue::Map(entries) = &node.value else {
            report_wrong_type(node, subject, "a map", errors);
            return None;
        };
        for (index, (key, _)) in entries.iter().enumerate() {
            let name = shortened(&key.value);
            if !known_keys.contains(&key.value.as_str()) {
                let reason =
                    format!("{subject} has no key `{name}`; its keys are {}", quoted_list(known_keys));
                errors.push(ConfigError::new(key.at, ErrorCode::UnknownKey, reason));
            } else if let Some((first, _)) = entries[..index].iter().find(|entry| entry.0.value == key.value)
            {
                let reason = format!("`{name}` stands in line {} already", first.at.line);
                errors.push(ConfigError::new(key.at, ErrorCode::RepeatedKey, reason));
            }
        }
        Some(Fields { at: node.at, subject: subject.into(), entries })
    }

    /// The value of an optional key.
    pub fn get(&self, key: &str) -> Option<&'a Node> {
        self.entries.iter().find(|entry| entry.0.value == key).map(|entry| &entry.1)
    }

    /// The value of a required key; records an error if it is missing.
    pub fn require(&self, key: &str, errors: &mut Vec<ConfigError>) -> Option<&'a Node> {
        let value = self.get(key);
        if value.is_none() {
            let reason = format!("{} needs a key `{key}`", self.subject);
            errors.push(ConfigError::new(self.at, ErrorCode::MissingKey, reason));
        }
        value
    }
}

fn quoted_list(keys: &[&str]) -> String {
    keys.iter().map(|key| format!("`{key}`")).collect::<Vec<_>>().join(", ")
}

/// Records that a value has the wrong type.
pub fn report_wrong_type(node: &Node, subject: &str, expected: &str, errors: &mut Vec<ConfigError>) {
    let reason = format!("{subject} must be {expected}, not {}", node.value.description());
    errors.push(ConfigError::new(node.at, ErrorCode::Type, reason));
}

/// Reads a string that is not empty.
pub fn read_text(node: &Node, subject: &str, errors: &mut Vec<ConfigError>) -> Option<Located<String>> {
    match &node.value {
        NodeValue::Text(text) if !text.trim().is_empty() => {
            Some(Located { value: text.clone(), at: node.at })
        }
        _ => {
            report_wrong_type(node, subject, "a text", errors);
            None
        }
    }
}

/// Reads a non-negative integer.
pub fn read_integer(node: &Node, subject: &str, errors: &mut Vec<ConfigError>) -> Option<u64> {
    match node.value {
        NodeValue::Integer(number) => Some(number),
        _ => {
            report_wrong_type(node, subject, "a whole number", errors);
            None
        }
    }
}

/// Reads the items of a list.
pub fn read_list<'a>(node: &'a Node, subject: &str, errors: &mut Vec<ConfigError>) -> Option<&'a [Node]> {
    match &node.value {
        NodeValue::List(items) => Some(items),
        _ => {
            report_wrong_type(node, subject, "a list", errors);
            None
        }
    }
}

/// Reads a duration: a number with the unit `ms`, `s` or `m`, above zero and at most a day.
pub fn read_duration(node: &Node, subject: &str, errors: &mut Vec<ConfigError>) -> Option<Located<Micros>> {
    let parsed = match &node.value {
        NodeValue::Text(text) => parse_duration(text),
        NodeValue::Integer(_) | NodeValue::Float(_) => Err(DurationError::NoUnit),
        _ => {
            report_wrong_type(node, subject, "a time such as 200ms, 6s or 2m", errors);
            return None;
        }
    };
    match parsed {
        Ok(value) => Some(Located { value, at: node.at }),
        Err(error) => {
            errors.push(ConfigError::new(node.at, error.code(), format!("{subject}: {error}")));
            None
        }
    }
}
