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
    pub shape: Shape,
}

/// The types that YAML tells apart.
#[derive(Clone, Debug)]
pub enum Shape {
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

impl Shape {
    /// What to call it in a reason.
    pub fn name(&self) -> String {
        match self {
            Shape::Null => "nothing".into(),
            Shape::Flag(b) => format!("`{b}`"),
            Shape::Whole(n) => format!("the number {n}"),
            Shape::Real(n) => format!("the number {n}"),
            Shape::Text(t) => format!("the text `{}`", shortened(t)),
            Shape::List(_) => "a list".into(),
            Shape::Map(_) => "a map".into(),
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
    type Value = Shape;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_bool<E>(self, v: bool) -> Result<Shape, E> {
        Ok(Shape::Flag(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Shape, E> {
        Ok(Shape::Whole(v))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Shape, E> {
        Ok(u64::try_from(v).map_or(Shape::Real(v as f64), Shape::Whole))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Shape, E> {
        Ok(Shape::Real(v))
    }

    fn visit_str<E>(self, v: &str) -> Result<Shape, E> {
        Ok(Shape::Text(v.to_owned()))
    }

    fn visit_unit<E>(self) -> Result<Shape, E> {
        Ok(Shape::Null)
    }

    fn visit_none<E>(self) -> Result<Shape, E> {
        Ok(Shape::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, d: D) -> Result<Shape, D::Error> {
        d.deserialize_any(self)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Shape, A::Error> {
        let mut all = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Shape>>()? {
            all.push(item.into());
        }
        Ok(Shape::List(all))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Shape, A::Error> {
        let mut all = Vec::new();
        while let Some((key, value)) = map.next_entry::<Spanned<String>, Spanned<Shape>>()? {
            all.push((Located { at: position(key.referenced), value: key.value }, value.into()));
        }
        Ok(Shape::Map(all))
    }
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(ShapeVisitor)
    }
}

impl From<Spanned<Shape>> for Node {
    fn from(s: Spanned<Shape>) -> Self {
        Node { at: position(s.referenced), shape: s.value }
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
    let read = serde_saphyr::from_str_with_options::<Spanned<Shape>>(text, options);
    read.map(Node::from).map_err(|e| {
        let at = e.location().map(position).unwrap_or(Position { line: 1, column: 1 });
        let plain = e.to_string();
        ConfigError::new(at, ErrorCode::Syntax, plain.lines().next().unwrap_or("not YAML"))
    })
}
