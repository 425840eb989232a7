//! One forwarder instance: its delivery policy, and the messages by the names that the simulator gives them.

use cedarbridge::settings_json::Names;
use cedarbridge::{Action, DeliveryPolicy, Event, MessageId, Micros};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A forwarder instance. The simulator names messages by strings, the policy by numeric ids; an instance converts them.
pub struct Instance {
    /// The names in the instance's settings, which events refer to.
    pub names: Names,
    policy: DeliveryPolicy,
    ids: BTreeMap<String, MessageId>,
    messages: BTreeMap<MessageId, NamedMessage>,
    /// The highest id that was given to a message.
    last_id: u64,
}

/// A message with its name at the simulator. It is forgotten once it is complete and none of its attempts is in flight.
struct NamedMessage {
    name: String,
    in_flight: u32,
    complete: bool,
}

impl NamedMessage {
    fn is_finished(&self) -> bool {
        self.complete && self.in_flight == 0
    }
}

impl Instance {
    pub fn new(policy: DeliveryPolicy, names: Names) -> Self {
        Instance { names, policy, ids: BTreeMap::new(), messages: BTreeMap::new(), last_id: 0 }
    }

    /// The number of messages that are not forgotten yet.
    #[allow(dead_code, reason = "used by tests/simhost_messages.rs")]
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }

    /// The id of the message with a name. For an unknown name it is a new id, which is not stored.
    pub fn id_of(&mut self, name: String) -> MessageId {
        if let Some(id) = self.ids.get(&name) {
            return *id;
        }
        self.last_id += 1;
        MessageId(self.last_id)
    }

    /// Adds a message by its name and returns its id.
    pub fn add_message(&mut self, name: String) -> MessageId {
        let id = self.id_of(name.clone());
        self.ids.insert(name.clone(), id);
        self.messages.entry(id).or_insert(NamedMessage { name, in_flight: 0, complete: false });
        id
    }

    /// Steps the policy and returns its actions as the simulator reads them.
    pub fn step(&mut self, now: Micros, events: &[Event]) -> Vec<Value> {
        let mut actions = Vec::new();
        self.policy.step(now, events, &mut actions);
        let encoded = actions.iter().map(|action| self.encode(action)).collect();
        self.forget_finished(events, &actions);
        encoded
    }

    /// Updates the messages by the events and actions of a step, and forgets those that are finished.
    fn forget_finished(&mut self, events: &[Event], actions: &[Action]) {
        let mut changed = Vec::new();
        let mut update = |id: &MessageId, change: fn(&mut NamedMessage)| {
            if let Some(message) = self.messages.get_mut(id) {
                change(message);
                changed.push(*id);
            }
        };
        for event in events {
            match event {
                Event::AttemptEnded { id, completes_message, .. } => {
                    update(id, |m| m.in_flight = m.in_flight.saturating_sub(1));
                    if *completes_message {
                        update(id, |m| m.complete = true);
                    }
                }
                Event::Withdrawn { id } => update(id, |m| m.complete = true),
                _ => {}
            }
        }
        for action in actions {
            match action {
                Action::Send { id, .. } => update(id, |m| m.in_flight += 1),
                Action::Reject { id, .. } | Action::Fail { id, .. } => update(id, |m| m.complete = true),
                _ => {}
            }
        }
        for id in changed {
            if self.messages.get(&id).is_some_and(NamedMessage::is_finished) {
                if let Some(message) = self.messages.remove(&id) {
                    self.ids.remove(&message.name);
                }
            }
        }
    }

    fn encode(&self, action: &Action) -> Value {
        let name = |id: &MessageId| &self.messages[id].name;
        match action {
            Action::Send { id, endpoint, timeout_at, .. } => {
                json!(["submit-to", name(id), to_millis(*timeout_at), endpoint.0])
            }
            Action::Reject { id, retry_after, .. } => {
                json!(["decline", name(id), retry_after.map_or(0.0, to_millis)])
            }
            Action::Fail { id, .. } => json!(["finish-error", name(id)]),
            Action::Cancel { id, attempt } => json!(["drop-attempt", name(id), attempt]),
            Action::Timer { delay, token } => json!(["arm", to_millis(*delay), token]),
            Action::HealthCheck { endpoint } => json!(["ask-load", endpoint.0]),
            Action::CloseIdle { endpoint } => json!(["shut-idle", endpoint.0]),
            Action::Subscribe => json!(["observe", true]),
            Action::Log(line) => json!(["remark", line]),
        }
    }
}

/// Converts microseconds to the milliseconds that the simulator uses.
fn to_millis(time: Micros) -> f64 {
    time as f64 / 1000.0
}
