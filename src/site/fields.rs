//! Typed reading of the tree: each reader returns the value or notes a breach, so that one pass finds them all.

use super::node::{shortened, Node, NodeValue};
use crate::config_error::{ConfigError, ErrorCode, Located, Position};
use crate::Micros;

/// No time in a settings file is longer.
const DAY: Micros = 86_400_000_000;

/// The keys of a map, each known and given once.
pub struct Fields<'a> {
    at: Position,
    what: String,
    all: &'a [(Located<String>, Node)],
}

impl<'a> Fields<'a> {
    /// Opens a map; notes keys that do not exist or are given twice.
    pub fn open(node: &'a Node, what: &str, known: &[&str], breaches: &mut Vec<ConfigError>) -> Option<Self> {
        let NodeValue::Map(all) = &node.value else {
            report_wrong_type(node, what, "a map", breaches);
            return None;
        };
        for (at, (key, _)) in all.iter().enumerate() {
            let name = shortened(&key.value);
            if !known.contains(&key.value.as_str()) {
                let reason = format!("{what} has no key `{name}`; its keys are {}", quoted_list(known));
                breaches.push(ConfigError::new(key.at, ErrorCode::UnknownKey, reason));
            } else if let Some((first, _)) = all[..at].iter().find(|f| f.0.value == key.value) {
                let reason = format!("`{name}` stands in line {} already", first.at.line);
                breaches.push(ConfigError::new(key.at, ErrorCode::RepeatedKey, reason));
            }
        }
        Some(Fields { at: node.at, what: what.into(), all })
    }

    /// The value of a key that may be left out.
    pub fn get(&self, key: &str) -> Option<&'a Node> {
        self.all.iter().find(|f| f.0.value == key).map(|f| &f.1)
    }

    /// The value of a key that must be there.
    pub fn require(&self, key: &str, breaches: &mut Vec<ConfigError>) -> Option<&'a Node> {
        let found = self.get(key);
        if found.is_none() {
            let reason = format!("{} needs a key `{key}`", self.what);
            breaches.push(ConfigError::new(self.at, ErrorCode::MissingKey, reason));
        }
        found
    }
}

fn quoted_list(words: &[&str]) -> String {
    words.iter().map(|w| format!("`{w}`")).collect::<Vec<_>>().join(", ")
}

/// Notes that a value has another type than wanted.
pub fn report_wrong_type(node: &Node, what: &str, wanted: &str, breaches: &mut Vec<ConfigError>) {
    let reason = format!("{what} must be {wanted}, not {}", node.value.name());
    breaches.push(ConfigError::new(node.at, ErrorCode::Type, reason));
}

/// A text that is not empty.
pub fn read_text(node: &Node, what: &str, breaches: &mut Vec<ConfigError>) -> Option<Located<String>> {
    match &node.value {
        NodeValue::Text(t) if !t.trim().is_empty() => Some(Located { value: t.clone(), at: node.at }),
        _ => {
            report_wrong_type(node, what, "a text", breaches);
            None
        }
    }
}

/// A whole number that is not negative.
pub fn read_whole_number(node: &Node, what: &str, breaches: &mut Vec<ConfigError>) -> Option<u64> {
    match node.value {
        NodeValue::Whole(n) => Some(n),
        _ => {
            report_wrong_type(node, what, "a whole number", breaches);
            None
        }
    }
}

/// The items of a list.
pub fn read_list<'a>(node: &'a Node, what: &str, breaches: &mut Vec<ConfigError>) -> Option<&'a [Node]> {
    match &node.value {
        NodeValue::List(all) => Some(all),
        _ => {
            report_wrong_type(node, what, "a list", breaches);
            None
        }
    }
}

/// A time: a number with `ms`, `s` or `m`, above zero and a day at most.
pub fn read_duration(node: &Node, what: &str, breaches: &mut Vec<ConfigError>) -> Option<Located<Micros>> {
    let read = match &node.value {
        NodeValue::Text(t) => parse_duration(t),
        NodeValue::Whole(_) | NodeValue::Real(_) => {
            Err((ErrorCode::Unit, "it has no unit; write it with `ms`, `s` or `m`".into()))
        }
        _ => {
            report_wrong_type(node, what, "a time such as 200ms, 6s or 2m", breaches);
            return None;
        }
    };
    match read {
        Ok(value) => Some(Located { value, at: node.at }),
        Err((code, reason)) => {
            breaches.push(ConfigError::new(node.at, code, format!("{what}: {reason}")));
            None
        }
    }
}

/// Reads a time such as `200ms`, `1.5s` or `2m`, in microseconds.
pub fn parse_duration(text: &str) -> Result<Micros, (ErrorCode, String)> {
    let unit_at = text.find(|c: char| c.is_ascii_alphabetic()).unwrap_or(text.len());
    let (number, unit) = text.split_at(unit_at);
    let scale = match unit {
        "ms" => 1e3,
        "s" => 1e6,
        "m" => 60e6,
        _ => {
            let what = format!("`{}` is not a time; the units are `ms`, `s` and `m`", shortened(text));
            return Err((ErrorCode::Unit, what));
        }
    };
    let plain = |c: char| c.is_ascii_digit() || c == '.' || c == '-';
    let number = Some(number).filter(|n| n.chars().all(plain)).and_then(|n| n.parse::<f64>().ok());
    let Some(number) = number else {
        return Err((ErrorCode::Unit, format!("`{}` does not begin with a number", shortened(text))));
    };
    let micros = (number * scale).round();
    if micros < 1.0 {
        return Err((ErrorCode::Time, format!("`{text}` is no time; it must be above zero")));
    }
    if micros > DAY as f64 {
        return Err((ErrorCode::Time, format!("`{text}` is over a day; a message lives for seconds")));
    }
    Ok(micros as Micros)
}

/// A time as a file would have it.
pub fn format_duration(t: Micros) -> String {
    match t {
        t if t % 60_000_000 == 0 && t > 0 => format!("{}m", t / 60_000_000),
        t if t >= 1_000_000 => format!("{}s", t as f64 / 1e6),
        t => format!("{}ms", t as f64 / 1e3),
    }
}
