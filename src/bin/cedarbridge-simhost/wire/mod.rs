//! The simulator's protocol: it sends batches of events for the instances and receives replies with their actions.

mod error;
mod events;
mod fields;
mod instance;

pub use error::BatchError;

use cedarbridge::settings_json::{decode_settings, micros_from_ms, unsigned};
use cedarbridge::{DeliveryPolicy, Event};
use error::EventError;
use fields::Fields;
use instance::Instance;
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// Endpoint lists by the number by which events refer to them.
type EndpointLists = BTreeMap<u64, Vec<Value>>;

/// All instances of this process, by id, and the endpoint lists that were sent for them.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: EndpointLists,
}

impl Host {
    /// Processes a batch, given as a line of JSON, and returns the reply as a line of JSON.
    ///
    /// # Errors
    ///
    /// If the line is not a batch, or one of its events cannot be processed.
    pub fn process_batch(&mut self, line: &str) -> Result<String, BatchError> {
        let batch: Value = serde_json::from_str(line).map_err(BatchError::NotJson)?;
        let clock = batch.get("t").ok_or(BatchError::NoClock)?;
        let now = micros_from_ms(clock).map_err(BatchError::Clock)?;
        let parts = batch.get("parts").and_then(Value::as_array).ok_or(BatchError::NoParts)?;
        let mut replies = Vec::new();
        for part in parts {
            let id = part.get("courier-id").ok_or(BatchError::NoInstanceId)?;
            let id = unsigned(id).map_err(BatchError::InstanceId)?;
            let events = self.parse_events(id, part)?;
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let outbox = instance.step(now, &events);
            if !outbox.is_empty() {
                replies.push(json!({"courier-id": id, "outbox": outbox}));
            }
        }
        Ok(json!({ "parts": replies }).to_string())
    }

    /// The number of messages of an instance that are not forgotten yet; `None` if there is no such instance.
    #[allow(dead_code, reason = "used by tests/simhost_messages.rs")]
    pub fn message_count(&self, id: u64) -> Option<usize> {
        self.instances.get(&id).map(Instance::message_count)
    }

    /// Parses the events for the policy of an instance. Events that create or stop instances or store endpoint lists
    /// take effect at once.
    fn parse_events(&mut self, id: u64, part: &Value) -> Result<Vec<Event>, BatchError> {
        let event_values = part.get("news").and_then(Value::as_array).ok_or(BatchError::NoEvents)?;
        let mut events = Vec::new();
        for event in event_values {
            let name = event.get(0).and_then(Value::as_str).ok_or(BatchError::NoEventName)?;
            self.parse_event(id, name, Fields(event), &mut events)
                .map_err(|error| BatchError::Event { name: name.to_owned(), error })?;
        }
        Ok(events)
    }

    fn parse_event(
        &mut self,
        id: u64,
        name: &str,
        fields: Fields,
        events: &mut Vec<Event>,
    ) -> Result<(), EventError> {
        match name {
            "catalog" => self.store_list(fields)?,
            // Earlier events in the batch were for an earlier instance with this id.
            "create" => {
                self.create(id, fields)?;
                events.clear();
            }
            "stop" => {
                self.instances.remove(&id);
                events.clear();
            }
            _ => {
                let instance = self.instances.get_mut(&id).ok_or(EventError::NoInstance(id))?;
                events.extend(events::parse(name, fields, instance, &self.lists)?);
            }
        }
        Ok(())
    }

    fn store_list(&mut self, fields: Fields) -> Result<(), EventError> {
        let number = fields.unsigned(1, "bank")?;
        let entries = fields.required(2, "entries")?.as_array().ok_or(EventError::EntriesNotAnArray)?;
        self.lists.insert(number, entries.clone());
        Ok(())
    }

    fn create(&mut self, id: u64, fields: Fields) -> Result<(), EventError> {
        let seed = fields.required(1, "salt")?;
        let seed = seed.as_u64().or(seed.as_i64().map(|n| n as u64)).ok_or(EventError::SeedNotAnInteger)?;
        let (settings, names) = fields.decode(2, "params", decode_settings)?;
        let policy = DeliveryPolicy::new(settings, seed)?;
        self.instances.insert(id, Instance::new(policy, names));
        Ok(())
    }
}
