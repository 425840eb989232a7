//! One forwarder instance: its delivery policy, and the names that its messages have on the wire.

use cedarbridge::settings_json::Names;
use cedarbridge::{Action, DeliveryPolicy, Event, MessageId, Micros};
use serde_json::{json, Value};
use std::collections::BTreeMap;

/// A forwarder instance.
pub struct Instance {
    pub names: Names,
    policy: DeliveryPolicy,
    ids: BTreeMap<String, MessageId>,
    messages: BTreeMap<MessageId, WireMessage>,
    last_id: u64,
}

/// A message by its name on the wire; forgotten once it is complete and none of its attempts is in flight.
struct WireMessage {
    name: String,
    in_flight: u32,
    complete: bool,
}

impl WireMessage {
    fn is_settled(&self) -> bool {
        self.complete && self.in_flight == 0
    }
}

impl Instance {
    pub fn new(policy: DeliveryPolicy, names: Names) -> Self {
        Instance { names, policy, ids: BTreeMap::new(), messages: BTreeMap::new(), last_id: 0 }
    }

    /// The messages that are not forgotten.
    #[allow(dead_code, reason = "for the test that messages are forgotten")]
    pub fn message_count(&self) -> usize {
        self.messages.len()
    }

    /// The id of a message. A name that is not known gets an id that nothing else has.
    pub fn id_of(&mut self, name: String) -> MessageId {
        if let Some(id) = self.ids.get(&name) {
            return *id;
        }
        self.last_id += 1;
        MessageId(self.last_id)
    }

    /// The id of a new message, known from now on.
    pub fn add(&mut self, name: String) -> MessageId {
        let id = self.id_of(name.clone());
        self.ids.insert(name.clone(), id);
        self.messages.entry(id).or_insert(WireMessage { name, in_flight: 0, complete: false });
        id
    }

    /// Steps the policy and returns its actions for the wire.
    pub fn step(&mut self, now: Micros, events: &[Event]) -> Vec<Value> {
        let mut actions = Vec::new();
        self.policy.step(now, events, &mut actions);
        let written = actions.iter().map(|action| self.write(action)).collect();
        self.forget_settled(events, &actions);
        written
    }

    /// Counts the attempts in flight of each message, and forgets those that are settled.
    fn forget_settled(&mut self, events: &[Event], actions: &[Action]) {
        let mut changed = Vec::new();
        let mut update = |id: &MessageId, change: fn(&mut WireMessage)| {
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
            if self.messages.get(&id).is_some_and(WireMessage::is_settled) {
                if let Some(message) = self.messages.remove(&id) {
                    self.ids.remove(&message.name);
                }
            }
        }
    }

    fn write(&self, action: &Action) -> Value {
        let name = |id: &MessageId| &self.messages[id].name;
        match action {
            Action::Send { id, endpoint, timeout_at, .. } => {
                json!(["submit-to", name(id), millis(*timeout_at), endpoint.0])
            }
            Action::Reject { id, retry_after, .. } => {
                json!(["decline", name(id), retry_after.map_or(0.0, millis)])
            }
            Action::Fail { id, .. } => json!(["finish-error", name(id)]),
            Action::Cancel { id, attempt } => json!(["drop-attempt", name(id), attempt]),
            Action::Timer { delay, token } => json!(["arm", millis(*delay), token]),
            Action::HealthCheck { endpoint } => json!(["ask-load", endpoint.0]),
            Action::CloseIdle { endpoint } => json!(["shut-idle", endpoint.0]),
            Action::Subscribe => json!(["observe", true]),
            Action::Log(line) => json!(["remark", line]),
        }
    }
}

fn millis(time: Micros) -> f64 {
    time as f64 / 1000.0
}
