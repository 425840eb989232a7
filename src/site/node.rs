//! A YAML document as a tree in which every value knows its place. It gives no meaning to what it reads.

use crate::config_error::{ConfigError, ErrorCode, Located, Position};
use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::{DuplicateKeyPolicy, Location, MergeKeyPolicy, Spanned};
use std::fmt;

/// A value of the document.
#[derive(Clone, Debug)]
pub struct Node {
    /// Where it begins.
    pub at: Position,
    /// What it is.
    pub value: NodeValue,
}

/// The types that YAML tells apart.
#[derive(Clone, Debug)]
pub enum NodeValue {
    /// Nothing.
    Null,
    /// True or false.
    Flag(bool),
    /// A whole number that is not negative.
    Whole(u64),
    /// Any other number.
    Real(f64),
    /// A text.
    Text(String),
    /// A list.
    List(Vec<Node>),
    /// Keys and their values, in the order of the file, repeated ones too.
    Map(Vec<(Located<String>, Node)>),
}

impl NodeValue {
    /// What to call it in a reason.
    pub fn name(&self) -> String {
        match self {
            NodeValue::Null => "nothing".into(),
            NodeValue::Flag(b) => format!("`{b}`"),
            NodeValue::Whole(n) => format!("the number {n}"),
            NodeValue::Real(n) => format!("the number {n}"),
            NodeValue::Text(t) => format!("the text `{}`", shortened(t)),
            NodeValue::List(_) => "a list".into(),
            NodeValue::Map(_) => "a map".into(),
        }
    }
}

/// A text from a file, cut so that a line of the log stays a line.
pub fn shortened(text: &str) -> String {
    const LONGEST: usize = 60;
    let mut short: String =
        text.chars().take(LONGEST).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if text.chars().nth(LONGEST).is_some() {
        short.push('…');
    }
    short
}

fn position(l: Location) -> Position {
    Position { line: l.line() as u32, column: l.column() as u32 }
}

struct ShapeVisitor;

impl<'de> Visitor<'de> for ShapeVisitor {
    type Value = NodeValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<NodeValue, E> {
        Ok(NodeValue::Flag(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<NodeValue, E> {
        Ok(NodeValue::Whole(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<NodeValue, E> {
        Ok(u64::try_from(v).map_or(NodeValue::Real(v as f64), NodeValue::Whole))
    }

    fn visit_f64<E>(self, v: f64) -> Result<NodeValue, E> {
        Ok(NodeValue::Real(v))
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
        let mut all = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<NodeValue>>()? {
            all.push(item.into());
        }
        Ok(NodeValue::List(all))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<NodeValue, A::Error> {
        let mut all = Vec::new();
        while let Some((key, value)) = map.next_entry::<Spanned<String>, Spanned<NodeValue>>()? {
            all.push((Located { at: position(key.referenced), value: key.value }, value.into()));
        }
        Ok(NodeValue::Map(all))
    }
}

impl<'de> Deserialize<'de> for NodeValue {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(ShapeVisitor)
    }
}

impl From<Spanned<NodeValue>> for Node {
    fn from(s: Spanned<NodeValue>) -> Self {
        Node { at: position(s.referenced), value: s.value }
    }
}

/// Reads a document. What is not YAML, is nested too deep or expands too far is a breach.
pub fn parse(text: &str) -> Result<Node, ConfigError> {
    let options = serde_saphyr::options! {
        duplicate_keys: DuplicateKeyPolicy::PassThrough,
        merge_keys: MergeKeyPolicy::AsOrdinary,
        strict_booleans: true,
        with_snippet: false,
    };
    let read = serde_saphyr::from_str_with_options::<Spanned<NodeValue>>(text, options);
    read.map(Node::from).map_err(|e| {
        let at = e.location().map(position).unwrap_or(Position { line: 1, column: 1 });
        let plain = e.to_string();
        ConfigError::new(at, ErrorCode::Syntax, plain.lines().next().unwrap_or("not YAML"))
    })
}
