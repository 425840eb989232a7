//! Answers of a registry in JSON, as real servers write it: one element in place of a list, numbers as text,
//! attributes as `"@enabled"` and `"$"`, fields that nobody knows. It gives no meaning to what it reads.

use super::model::{check_text_lengths, Action, Applications, Instance, Status};
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// A text or a number, as text.
#[derive(Default)]
struct Word(String);

struct WordVisitor;

impl Visitor<'_> for WordVisitor {
    type Value = Word;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a text, a number, true or false")
    }

    fn visit_str<E>(self, v: &str) -> Result<Word, E> {
        Ok(Word(v.to_owned()))
    }

    fn visit_string<E>(self, v: String) -> Result<Word, E> {
        Ok(Word(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Word, E> {
        Ok(Word(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Word, E> {
        Ok(Word(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Word, E> {
        Ok(Word(v.to_string()))
    }

    fn visit_bool<E>(self, v: bool) -> Result<Word, E> {
        Ok(Word(v.to_string()))
    }

    fn visit_unit<E>(self) -> Result<Word, E> {
        Ok(Word::default())
    }
}

impl<'de> Deserialize<'de> for Word {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(WordVisitor)
    }
}

impl Word {
    fn number(&self) -> u64 {
        self.0.trim().parse().unwrap_or(0)
    }
}

/// A list, or the one element that stands in its place.
struct Many<T>(Vec<T>);

impl<T> Default for Many<T> {
    fn default() -> Self {
        Many(Vec::new())
    }
}

struct ManyVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ManyVisitor<T> {
    type Value = Many<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list or one element")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Many<T>, A::Error> {
        let mut all = Vec::new();
        while let Some(one) = seq.next_element()? {
            all.push(one);
        }
        Ok(Many(all))
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<Many<T>, A::Error> {
        let one = T::deserialize(serde::de::value::MapAccessDeserializer::new(map))?;
        Ok(Many(vec![one]))
    }

    fn visit_unit<E>(self) -> Result<Many<T>, E> {
        Ok(Many::default())
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Many<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(ManyVisitor(PhantomData))
    }
}

/// A port with its switch, or a bare number.
#[derive(Default)]
struct Port(Option<u16>);

struct PortVisitor;

impl<'de> Visitor<'de> for PortVisitor {
    type Value = Port;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a port")
    }

    fn visit_u64<E>(self, v: u64) -> Result<Port, E> {
        Ok(Port(u16::try_from(v).ok()))
    }

    fn visit_str<E>(self, v: &str) -> Result<Port, E> {
        Ok(Port(v.trim().parse().ok()))
    }

    fn visit_unit<E>(self) -> Result<Port, E> {
        Ok(Port(None))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Port, A::Error> {
        let (mut port, mut enabled) = (None, true);
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "$" => port = map.next_value::<Word>()?.0.trim().parse().ok(),
                "@enabled" => enabled = map.next_value::<Word>()?.0 != "false",
                _ => drop(map.next_value::<IgnoredAny>()?),
            }
        }
        Ok(Port(port.filter(|_| enabled)))
    }
}

impl<'de> Deserialize<'de> for Port {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(PortVisitor)
    }
}

/// Metadata: names and plain values; what has a structure, such as `@class` objects, is passed over.
#[derive(Default)]
struct Metadata(BTreeMap<String, String>);

impl<'de> Deserialize<'de> for Metadata {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let all: Option<BTreeMap<String, serde_json::Value>> = Deserialize::deserialize(d)?;
        let plain = |(name, value): (String, serde_json::Value)| match value {
            serde_json::Value::String(text) if !name.starts_with('@') => Some((name, text)),
            serde_json::Value::Number(number) => Some((name, number.to_string())),
            serde_json::Value::Bool(flag) => Some((name, flag.to_string())),
            _ => None,
        };
        Ok(Metadata(all.unwrap_or_default().into_iter().filter_map(plain).collect()))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[derive(Default)]
struct RawInstance {
    instance_id: Word,
    host_name: Word,
    app: Word,
    ip_addr: Word,
    status: Word,
    port: Port,
    secure_port: Port,
    metadata: Metadata,
    last_updated_timestamp: Word,
    last_dirty_timestamp: Word,
    action_type: Word,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawApplication {
    name: Word,
    instance: Many<RawInstance>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawApplications {
    #[serde(rename = "versions__delta")]
    version: Word,
    #[serde(rename = "apps__hashcode")]
    hash: Option<Word>,
    application: Many<RawApplication>,
}

/// What may stand at the top: all applications, one, or one instance.
#[derive(Deserialize)]
struct Top {
    applications: Option<RawApplications>,
    application: Option<RawApplication>,
}

fn instance(raw: RawInstance, app: &str) -> Result<Instance, String> {
    let first = |a: String, b: &str| if a.is_empty() { b.to_owned() } else { a };
    let read = Instance {
        app: first(raw.app.0, app).to_uppercase(),
        id: first(raw.instance_id.0, &raw.host_name.0),
        ip: first(raw.ip_addr.0, &raw.host_name.0),
        port: raw.port.0.or(raw.secure_port.0),
        status: Status::read(&raw.status.0),
        modified_at_ms: raw.last_updated_timestamp.number().max(raw.last_dirty_timestamp.number()),
        metadata: raw.metadata.0,
        action: if raw.action_type.0 == "DELETED" { Action::Delete } else { Action::Upsert },
    };
    check_text_lengths(&read)?;
    Ok(read)
}

/// Reads an answer to `/apps`, `/apps/delta`, `/apps/{app}` or `/vips/{vip}`.
pub fn read(body: &[u8]) -> Result<Applications, String> {
    let top: Top = serde_json::from_slice(body).map_err(|e| format!("not as JSON should be: {e}"))?;
    let raw = match (top.applications, top.application) {
        (Some(all), _) => all,
        (None, Some(one)) => RawApplications { application: Many(vec![one]), ..RawApplications::default() },
        (None, None) => return Err("neither `applications` nor `application`".into()),
    };
    let mut all = Applications {
        version: raw.version.0.trim().parse().ok(),
        hash: raw.hash.map(|h| h.0),
        instances: Vec::new(),
    };
    for app in raw.application.0 {
        for raw in app.instance.0 {
            all.instances.push(instance(raw, &app.name.0)?);
        }
    }
    Ok(all)
}
