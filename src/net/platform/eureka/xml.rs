//! Answers of a registry in XML, for servers that write nothing else. It gives no meaning to what it reads.

use super::model::{check_text_lengths, Action, Applications, Instance, Status, LONGEST_NAME};
use quick_xml::events::{BytesStart, Event};
use quick_xml::Reader;
use std::collections::BTreeMap;

/// No answer nests deeper: applications, application, instance, metadata, a name.
const DEEPEST: usize = 16;

/// An instance of which fields have come.
#[derive(Default)]
struct Partial {
    fields: BTreeMap<String, String>,
    metadata: BTreeMap<String, String>,
    disabled: Vec<String>,
}

impl Partial {
    fn finish(mut self, app: &str) -> Result<Instance, String> {
        let mut take = |name: &str| self.fields.remove(name).unwrap_or_default();
        let first = |a: String, b: &str| if a.is_empty() { b.to_owned() } else { a };
        let host = take("hostName");
        let number = |text: String| text.trim().parse::<u64>().unwrap_or(0);
        let (port, secure) = (take("port"), take("securePort"));
        let enabled = |name: &str, text: String| {
            text.trim().parse().ok().filter(|_| !self.disabled.iter().any(|d| d == name))
        };
        let read = Instance {
            app: first(take("app"), app).to_uppercase(),
            id: first(take("instanceId"), &host),
            ip: first(take("ipAddr"), &host),
            port: enabled("port", port).or(enabled("securePort", secure)),
            status: Status::read(take("status").trim()),
            modified_at_ms: number(take("lastUpdatedTimestamp")).max(number(take("lastDirtyTimestamp"))),
            action: if take("actionType") == "DELETED" { Action::Delete } else { Action::Upsert },
            metadata: self.metadata,
        };
        check_text_lengths(&read)?;
        Ok(read)
    }
}

fn name(tag: &BytesStart<'_>) -> Result<String, String> {
    let name = tag.local_name();
    if name.as_ref().len() > LONGEST_NAME {
        return Err(format!("a name of {} bytes", name.as_ref().len()));
    }
    Ok(String::from_utf8_lossy(name.as_ref()).into_owned())
}

fn disabled(tag: &BytesStart<'_>) -> bool {
    tag.attributes()
        .flatten()
        .any(|a| a.key.local_name().as_ref() == b"enabled" && a.value.as_ref() == b"false")
}

/// Reads an answer to `/apps`, `/apps/delta`, `/apps/{app}` or `/vips/{vip}`.
pub fn read(body: &[u8]) -> Result<Applications, String> {
    let wrong = |e: &dyn std::fmt::Display| format!("not as XML should be: {e}");
    let mut reader = Reader::from_reader(body);
    let mut all = Applications::default();
    let mut path: Vec<String> = Vec::new();
    let (mut app, mut instance, mut text) = (String::new(), None::<Partial>, String::new());
    let mut seen = false;
    loop {
        match reader.read_event().map_err(|e| wrong(&e))? {
            Event::Start(tag) => {
                if path.len() == DEEPEST {
                    return Err(format!("it nests deeper than {DEEPEST}"));
                }
                let name = name(&tag)?;
                match name.as_str() {
                    "applications" | "application" if path.len() <= 1 => {
                        seen = true;
                        app.clear();
                    }
                    "instance" => instance = Some(Partial::default()),
                    field => {
                        if let Some(i) = instance.as_mut().filter(|_| disabled(&tag)) {
                            i.disabled.push(field.to_owned());
                        }
                    }
                }
                text.clear();
                path.push(name);
            }
            Event::Text(t) => text.push_str(&t.decode().map_err(|e| wrong(&e))?),
            Event::CData(t) => text.push_str(&t.decode().map_err(|e| wrong(&e))?),
            Event::GeneralRef(r) => {
                let entity = r.decode().map_err(|e| wrong(&e))?;
                let known = quick_xml::escape::resolve_predefined_entity(&entity);
                let char = r.resolve_char_ref().map_err(|e| wrong(&e))?;
                match (known, char) {
                    (Some(known), _) => text.push_str(known),
                    (None, Some(char)) => text.push(char),
                    // Entities of a document's own are how small files grow without end.
                    (None, None) => return Err(format!("the unknown entity `{entity}`")),
                }
            }
            Event::End(_) => {
                let name = path.pop().unwrap_or_default();
                let inside = path.last().map(String::as_str);
                let value = std::mem::take(&mut text);
                match (&mut instance, name.as_str(), inside) {
                    (_, "instance", _) => {
                        if let Some(partial) = instance.take() {
                            all.instances.push(partial.finish(&app)?);
                        }
                    }
                    (Some(i), _, Some("instance")) => drop(i.fields.insert(name, value)),
                    (Some(i), _, Some("metadata")) => drop(i.metadata.insert(name, value)),
                    (None, "versions__delta", _) => all.version = value.trim().parse().ok(),
                    (None, "apps__hashcode", _) => all.hash = Some(value.trim().to_owned()),
                    (None, "name", Some("application")) => app = value,
                    _ => {}
                }
            }
            Event::Eof => break,
            _ => {}
        }
    }
    if !path.is_empty() {
        return Err("it ends in its middle".into());
    }
    if !seen {
        return Err("neither `applications` nor `application`".into());
    }
    Ok(all)
}
