//! Typed reading of the tree: each reader returns the value or records an error, so that one pass finds them all.

use super::node::{Node, NodeValue};
use crate::config_error::{shortened, ConfigError, ErrorCode, Located, Position};
use crate::durations::{parse_duration, DurationError};
use crate::Micros;

/// The keys of a map, each known and given once.
pub struct Fields<'a> {
    at: Position,
    what: String,
    all: &'a [(Located<String>, Node)],
}

impl<'a> Fields<'a> {
    /// Opens a map; records an error for each key that does not exist or is given twice.
    pub fn open(node: &'a Node, what: &str, known: &[&str], errors: &mut Vec<ConfigError>) -> Option<Self> {
        let NodeValue::Map(all) = &node.value else {
            report_wrong_type(node, what, "a map", errors);
            return None;
        };
        for (at, (key, _)) in all.iter().enumerate() {
            let name = shortened(&key.value);
            if !known.contains(&key.value.as_str()) {
                let reason = format!("{what} has no key `{name}`; its keys are {}", quoted_list(known));
                errors.push(ConfigError::new(key.at, ErrorCode::UnknownKey, reason));
            } else if let Some((first, _)) = all[..at].iter().find(|f| f.0.value == key.value) {
                let reason = format!("`{name}` stands in line {} already", first.at.line);
                errors.push(ConfigError::new(key.at, ErrorCode::RepeatedKey, reason));
            }
        }
        Some(Fields { at: node.at, what: what.into(), all })
    }

    /// The value of a key that may be left out.
    pub fn get(&self, key: &str) -> Option<&'a Node> {
        self.all.iter().find(|f| f.0.value == key).map(|f| &f.1)
    }

    /// The value of a key that must be there.
    pub fn require(&self, key: &str, errors: &mut Vec<ConfigError>) -> Option<&'a Node> {
        let found = self.get(key);
        if found.is_none() {
            let reason = format!("{} needs a key `{key}`", self.what);
            errors.push(ConfigError::new(self.at, ErrorCode::MissingKey, reason));
        }
        found
    }
}

fn quoted_list(keys: &[&str]) -> String {
    keys.iter().map(|key| format!("`{key}`")).collect::<Vec<_>>().join(", ")
}

/// Records that a value has another type than it must have.
pub fn report_wrong_type(node: &Node, what: &str, expected: &str, errors: &mut Vec<ConfigError>) {
    let reason = format!("{what} must be {expected}, not {}", node.value.description());
    errors.push(ConfigError::new(node.at, ErrorCode::Type, reason));
}

/// A text that is not empty.
pub fn read_text(node: &Node, what: &str, errors: &mut Vec<ConfigError>) -> Option<Located<String>> {
    match &node.value {
        NodeValue::Text(t) if !t.trim().is_empty() => Some(Located { value: t.clone(), at: node.at }),
        _ => {
            report_wrong_type(node, what, "a text", errors);
            None
        }
    }
}

/// A whole number that is not negative.
pub fn read_whole_number(node: &Node, what: &str, errors: &mut Vec<ConfigError>) -> Option<u64> {
    match node.value {
        NodeValue::Whole(n) => Some(n),
        _ => {
            report_wrong_type(node, what, "a whole number", errors);
            None
        }
    }
}

/// The items of a list.
pub fn read_list<'a>(node: &'a Node, what: &str, errors: &mut Vec<ConfigError>) -> Option<&'a [Node]> {
    match &node.value {
        NodeValue::List(all) => Some(all),
        _ => {
            report_wrong_type(node, what, "a list", errors);
            None
        }
    }
}

/// A duration: a number with `ms`, `s` or `m`, above zero and a day at most.
pub fn read_duration(node: &Node, what: &str, errors: &mut Vec<ConfigError>) -> Option<Located<Micros>> {
    let parsed = match &node.value {
        NodeValue::Text(text) => parse_duration(text),
        NodeValue::Whole(_) | NodeValue::Real(_) => Err(DurationError::NoUnit),
        _ => {
            report_wrong_type(node, what, "a time such as 200ms, 6s or 2m", errors);
            return None;
        }
    };
    match parsed {
        Ok(value) => Some(Located { value, at: node.at }),
        Err(error) => {
            errors.push(ConfigError::new(node.at, error.code(), format!("{what}: {error}")));
            None
        }
    }
}
