//! Decodes a registry's answers in XML, for servers that do not support JSON. The values are interpreted elsewhere.

use super::model::{check_text_lengths, Action, Applications, DecodeError, Instance, Status, MAX_TEXT_BYTES};
use quick_xml::events::{BytesRef, BytesStart, Event};
use quick_xml::Reader;
use std::collections::BTreeMap;
use std::fmt::Display;

/// The deepest nesting that is accepted. A valid answer has five levels: applications, application, instance, metadata and a
/// metadata key.
const MAX_DEPTH: usize = 16;

/// Decodes an answer to `/apps`, `/apps/delta`, `/apps/{app}` or `/vips/{vip}`.
///
/// # Errors
///
/// If the body is not valid XML, is nested too deeply, has a name or value that is too long, uses entities that are not
/// predefined, or is not an answer of a registry.
pub fn decode(body: &[u8]) -> Result<Applications, DecodeError> {
    let mut reader = Reader::from_reader(body);
    let mut decoder = Decoder::default();
    loop {
        match reader.read_event().map_err(malformed)? {
            Event::Start(tag) => decoder.start(&tag)?,
            Event::Text(text) => decoder.text.push_str(&text.decode().map_err(malformed)?),
            Event::CData(text) => decoder.text.push_str(&text.decode().map_err(malformed)?),
            Event::GeneralRef(reference) => decoder.reference(&reference)?,
            Event::End(_) => decoder.end()?,
            Event::Eof => return decoder.finish(),
            _ => {}
        }
    }
}

fn malformed(error: impl Display) -> DecodeError {
    DecodeError::Xml(error.to_string())
}

/// The state of decoding an answer.
#[derive(Default)]
struct Decoder {
    answer: Applications,
    /// The names of the open elements, the innermost last.
    path: Vec<String>,
    /// The name of the current application.
    app: String,
    /// The current instance; `None` outside of instances.
    instance: Option<PartialInstance>,
    /// The text since the last start or end of an element.
    text: String,
    /// Whether an `applications` or `application` element was found.
    has_applications: bool,
}

impl Decoder {
    fn start(&mut self, tag: &BytesStart<'_>) -> Result<(), DecodeError> {
        if self.path.len() == MAX_DEPTH {
            return Err(DecodeError::TooDeep(MAX_DEPTH));
        }
        let name = element_name(tag)?;
        match name.as_str() {
            "applications" | "application" if self.path.len() <= 1 => {
                self.has_applications = true;
                self.app.clear();
            }
            "instance" => self.instance = Some(PartialInstance::default()),
            field => {
                if let Some(instance) = self.instance.as_mut().filter(|_| is_disabled(tag)) {
                    instance.disabled.push(field.to_owned());
                }
            }
        }
        self.text.clear();
        self.path.push(name);
        Ok(())
    }

    fn reference(&mut self, reference: &BytesRef<'_>) -> Result<(), DecodeError> {
        let entity = reference.decode().map_err(malformed)?;
        let character = reference.resolve_char_ref().map_err(malformed)?;
        match (quick_xml::escape::resolve_predefined_entity(&entity), character) {
            (Some(text), _) => self.text.push_str(text),
            (None, Some(character)) => self.text.push(character),
            // Entities that a document defines itself are rejected, as a small document can expand to a huge one with them.
            (None, None) => return Err(DecodeError::UnknownEntity(entity.into_owned())),
        }
        Ok(())
    }

    fn end(&mut self) -> Result<(), DecodeError> {
        let name = self.path.pop().unwrap_or_default();
        let value = std::mem::take(&mut self.text);
        if name == "instance" {
            if let Some(instance) = self.instance.take() {
                self.answer.instances.push(instance.finish(&self.app)?);
            }
            return Ok(());
        }
        let parent = self.path.last().map(String::as_str);
        match (&mut self.instance, name.as_str(), parent) {
            (Some(instance), _, Some("instance")) => drop(instance.fields.insert(name, value)),
            (Some(instance), _, Some("metadata")) => drop(instance.metadata.insert(name, value)),
            (None, "versions__delta", _) => self.answer.version = value.trim().parse().ok(),
            (None, "apps__hashcode", _) => self.answer.hash = Some(value.trim().to_owned()),
            (None, "name", Some("application")) => self.app = value,
            _ => {}
        }
        Ok(())
    }

    fn finish(self) -> Result<Applications, DecodeError> {
        if !self.path.is_empty() {
            return Err(DecodeError::Incomplete);
        }
        if !self.has_applications {
            return Err(DecodeError::NoApplications);
        }
        Ok(self.answer)
    }
}

/// The fields of an instance that have been read so far.
#[derive(Default)]
struct PartialInstance {
    fields: BTreeMap<String, String>,
    metadata: BTreeMap<String, String>,
    /// The names of the fields with the attribute `enabled="false"`.
    disabled: Vec<String>,
}

impl PartialInstance {
    fn finish(mut self, app: &str) -> Result<Instance, DecodeError> {
        let host = self.take("hostName");
        let port = self.take_port("port");
        let secure_port = self.take_port("securePort");
        let instance = Instance {
            app: non_empty_or(self.take("app"), app).to_uppercase(),
            id: non_empty_or(self.take("instanceId"), &host),
            ip: non_empty_or(self.take("ipAddr"), &host),
            port: port.or(secure_port),
            status: Status::from_name(self.take("status").trim()),
            modified_at_ms: self
                .take_number("lastUpdatedTimestamp")
                .max(self.take_number("lastDirtyTimestamp")),
            action: if self.take("actionType") == "DELETED" { Action::Delete } else { Action::Upsert },
            metadata: self.metadata,
        };
        check_text_lengths(&instance)?;
        Ok(instance)
    }

    fn take(&mut self, name: &str) -> String {
        self.fields.remove(name).unwrap_or_default()
    }

    fn take_number(&mut self, name: &str) -> u64 {
        self.take(name).trim().parse().unwrap_or(0)
    }

    fn take_port(&mut self, name: &str) -> Option<u16> {
        let port = self.take(name).trim().parse().ok();
        port.filter(|_| !self.disabled.iter().any(|disabled| disabled == name))
    }
}

fn non_empty_or(text: String, default: &str) -> String {
    if text.is_empty() {
        default.to_owned()
    } else {
        text
    }
}

fn element_name(tag: &BytesStart<'_>) -> Result<String, DecodeError> {
    let name = tag.local_name();
    if name.as_ref().len() > MAX_TEXT_BYTES {
        return Err(DecodeError::TextTooLong(name.as_ref().len()));
    }
    Ok(String::from_utf8_lossy(name.as_ref()).into_owned())
}

fn is_disabled(tag: &BytesStart<'_>) -> bool {
    tag.attributes()
        .flatten()
        .any(|a| a.key.local_name().as_ref() == b"enabled" && a.value.as_ref() == b"false")
}
