//! Decodes a registry's answers in JSON. Accepts the variations of real servers: a single element in place of a list,
//! numbers as strings, XML attributes as `"@enabled"` and `"$"`, and unknown fields. The values are interpreted elsewhere.

use super::model::{check_text_lengths, Action, Applications, DecodeError, Instance, Status};
use serde::de::{Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

/// The text of a string, number or boolean; empty for null.
#[derive(Default)]
struct LooseText(String);

struct LooseTextVisitor;

impl Visitor<'_> for LooseTextVisitor {
    type Value = LooseText;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a string, a number or a boolean")
    }

    fn visit_str<E>(self, v: &str) -> Result<LooseText, E> {
        Ok(LooseText(v.to_owned()))
    }

    fn visit_string<E>(self, v: String) -> Result<LooseText, E> {
        Ok(LooseText(v))
    }

    fn visit_u64<E>(self, v: u64) -> Result<LooseText, E> {
        Ok(LooseText(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<LooseText, E> {
        Ok(LooseText(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<LooseText, E> {
        Ok(LooseText(v.to_string()))
    }

    fn visit_bool<E>(self, v: bool) -> Result<LooseText, E> {
        Ok(LooseText(v.to_string()))
    }

    fn visit_unit<E>(self) -> Result<LooseText, E> {
        Ok(LooseText::default())
    }
}

impl<'de> Deserialize<'de> for LooseText {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(LooseTextVisitor)
    }
}

impl LooseText {
    fn number(&self) -> u64 {
        self.0.trim().parse().unwrap_or(0)
    }
}

/// A list, or a single element that a server sends in place of a list of one.
struct OneOrMany<T>(Vec<T>);

impl<T> Default for OneOrMany<T> {
    fn default() -> Self {
        OneOrMany(Vec::new())
    }
}

struct OneOrManyVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for OneOrManyVisitor<T> {
    type Value = OneOrMany<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list or one element")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<OneOrMany<T>, A::Error> {
        let mut all = Vec::new();
        while let Some(one) = seq.next_element()? {
            all.push(one);
        }
        Ok(OneOrMany(all))
    }

    fn visit_map<A: MapAccess<'de>>(self, map: A) -> Result<OneOrMany<T>, A::Error> {
        let one = T::deserialize(serde::de::value::MapAccessDeserializer::new(map))?;
        Ok(OneOrMany(vec![one]))
    }

    fn visit_unit<E>(self) -> Result<OneOrMany<T>, E> {
        Ok(OneOrMany::default())
    }
}

impl<'de, T: Deserialize<'de>> Deserialize<'de> for OneOrMany<T> {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        d.deserialize_any(OneOrManyVisitor(PhantomData))
    }
}

/// The number of an enabled port, given as an object with `@enabled` or as a plain number.
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
                "$" => port = map.next_value::<LooseText>()?.0.trim().parse().ok(),
                "@enabled" => enabled = map.next_value::<LooseText>()?.0 != "false",
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

/// The plain values of the metadata as text. Attributes such as `@class` and structured values are left out.
#[derive(Default)]
struct Metadata(BTreeMap<String, String>);

impl<'de> Deserialize<'de> for Metadata {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let all: Option<BTreeMap<String, serde_json::Value>> = Deserialize::deserialize(d)?;
        let as_text = |(name, value): (String, serde_json::Value)| match value {
            serde_json::Value::String(text) if !name.starts_with('@') => Some((name, text)),
            serde_json::Value::Number(number) => Some((name, number.to_string())),
            serde_json::Value::Bool(flag) => Some((name, flag.to_string())),
            _ => None,
        };
        Ok(Metadata(all.unwrap_or_default().into_iter().filter_map(as_text).collect()))
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
#[derive(Default)]
struct RawInstance {
    instance_id: LooseText,
    host_name: LooseText,
    app: LooseText,
    ip_addr: LooseText,
    status: LooseText,
    port: Port,
    secure_port: Port,
    metadata: Metadata,
    last_updated_timestamp: LooseText,
    last_dirty_timestamp: LooseText,
    action_type: LooseText,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawApplication {
    name: LooseText,
    instance: OneOrMany<RawInstance>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct RawApplications {
    #[serde(rename = "versions__delta")]
    version: LooseText,
    #[serde(rename = "apps__hashcode")]
    hash: Option<LooseText>,
    application: OneOrMany<RawApplication>,
}

/// The top level of an answer: all applications, or one of them.
#[derive(Deserialize)]
struct Document {
    applications: Option<RawApplications>,
    application: Option<RawApplication>,
}

fn to_instance(raw: RawInstance, app: &str) -> Result<Instance, DecodeError> {
    let non_empty_or = |text: String, default: &str| if text.is_empty() { default.to_owned() } else { text };
    let is_deleted = raw.action_type.0 == "DELETED";
    let instance = Instance {
        app: non_empty_or(raw.app.0, app).to_uppercase(),
        id: non_empty_or(raw.instance_id.0, &raw.host_name.0),
        ip: non_empty_or(raw.ip_addr.0, &raw.host_name.0),
        port: raw.port.0.or(raw.secure_port.0),
        status: Status::from_name(&raw.status.0),
        modified_at_ms: raw.last_updated_timestamp.number().max(raw.last_dirty_timestamp.number()),
        metadata: raw.metadata.0,
        action: if is_deleted { Action::Delete } else { Action::Upsert },
    };
    check_text_lengths(&instance)?;
    Ok(instance)
}

/// Decodes an answer to `/apps`, `/apps/delta`, `/apps/{app}` or `/vips/{vip}`.
///
/// # Errors
///
/// If the body is not valid JSON, has a name or value that is too long, or is not an answer of a registry.
pub fn decode(body: &[u8]) -> Result<Applications, DecodeError> {
    let document: Document = serde_json::from_slice(body).map_err(DecodeError::Json)?;
    let raw = match (document.applications, document.application) {
        (Some(applications), _) => applications,
        (None, Some(application)) => {
            RawApplications { application: OneOrMany(vec![application]), ..RawApplications::default() }
        }
        (None, None) => return Err(DecodeError::NoApplications),
    };
    let mut answer = Applications {
        version: raw.version.0.trim().parse().ok(),
        hash: raw.hash.map(|hash| hash.0),
        instances: Vec::new(),
    };
    for application in raw.application.0 {
        for raw in application.instance.0 {
            answer.instances.push(to_instance(raw, &application.name.0)?);
        }
    }
    Ok(answer)
}
