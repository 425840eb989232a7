//! Parses a YAML document to a tree in which every value has its position. The values are interpreted elsewhere.

use crate::config_error::{shortened, ConfigError, ErrorCode, Located, Position};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, MergeKeyPolicy, Spanned};
use std::fmt;

/// A value of the document.
#[derive(Clone, Debug)]
pub struct Node {
    /// The position at which the value starts.
    pub at: Position,
    /// The value with its type.
    pub value: NodeValue,
}

/// A YAML value.
#[derive(Clone, Debug)]
pub enum NodeValue {
    /// A null or empty value.
    Null,
    /// A boolean.
    Bool(bool),
    /// A non-negative integer.
    Integer(u64),
    /// Any other number.
    Float(f64),
    /// A string.
    Text(String),
    /// A sequence.
    List(Vec<Node>),
    /// A mapping in the order of the file, including repeated keys.
    Map(Vec<(Located<String>, Node)>),
}

impl NodeValue {
    /// Describes the value for errors.
    pub fn description(&self) -> String {
        match self {
            NodeValue::Null => "nothing".into(),
            NodeValue::Bool(flag) => format!("`{flag}`"),
            NodeValue::Integer(number) => format!("the number {number}"),
            NodeValue::Float(number) => format!("the number {number}"),
            NodeValue::Text(text) => format!("the text `{}`", shortened(text)),
            NodeValue::List(_) => "a list".into(),
            NodeValue::Map(_) => "a map".into(),
        }
    }
}

fn position(location: Location) -> Position {
    Position { line: location.line() as u32, column: location.column() as u32 }
}

struct NodeValueVisitor;

impl<'de> Visitor<'de> for NodeValueVisitor {
    type Value = NodeValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Bool(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Integer(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<NodeValue, E> {
        Ok(u64::try_from(v).map_or(NodeValue::Float(v as f64), NodeValue::Integer))
    }

    fn visit_f64<E>(self, v: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Float(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<NodeValue, E> {
        Ok(NodeValue::Text(v.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_none<E>(self) -> Result<NodeValue, E> {
        Ok(NodeValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, d: D) -> Result<NodeValue, D::Error> {
        d.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<NodeValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<NodeValue>>()? {
            items.push(item.into());
        }
        Ok(NodeValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<NodeValue, A::Error> {
        let mut fields = Vec::new();
        while let Some((key, value)) = map.next_entry::<Spanned<String>, Spanned<NodeValue>>()? {
            fields.push((Located { at: position(key.referenced), value: key.value }, value.into()));
        }
        Ok(NodeValue::Map(fields))
    }
}

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(NodeValueVisitor)
    }
}

impl From<Spanned<NodeValue>> for Node {
    fn from(spanned: Spanned<NodeValue>) -> Self {
        Node { at: position(spanned.referenced), value: spanned.value }
    }
}

/// Parses a YAML document.
///
/// # Errors
///
/// If the text is not valid YAML, is nested too deeply, or expands to too much through its aliases.
pub fn parse(text: &str) -> Result<Node, ConfigError> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        strict_booleans: true,
        with_snippet: false,
    };
    let parsed = serde_saphyr::from_str_with_options::<Spanned<NodeValue>>(text, options);
    parsed.map(Node::from).map_err(|error| {
        let at = error.location().map(position).unwrap_or(Position { line: 1, column: 1 });
        let text = error.to_string();
        ConfigError::new(at, ErrorCode::Syntax, text.lines().next().unwrap_or("not YAML"))
    })
}
