//! Batches of events to replies of actions.

use cedarbridge::settings_json::{
    boolean, decode_endpoint_entry, decode_settings, index_of, micros_from_ms, number, string, unsigned,
    Names,
};
use cedarbridge::{
    Action, ClassId, DeliveryPolicy, DestinationId, EndpointId, EndpointListUpdate, Event, LoadReport,
    MessageId, Micros, NewMessage, OrderKey, Outcome, TenantId,
};
use serde_json::{json, Value};
use std::collections::BTreeMap;

fn millis(t: Micros) -> f64 {
    t as f64 / 1000.0
}

struct Instance {
    forwarder: DeliveryPolicy,
    names: Names,
    ids: BTreeMap<String, MessageId>,
    named: BTreeMap<MessageId, Named>,
    next: u64,
}

/// A message by its name on the wire; forgotten once it is over and none of its attempts is out.
struct Named {
    word: String,
    out: u32,
    over: bool,
}

/// All instances of this process and the lists that came for them.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    banks: BTreeMap<u64, Vec<Value>>,
}

impl Host {
    /// Answers one line.
    pub fn batch(&mut self, line: &str) -> Result<String, String> {
        let batch: Value = serde_json::from_str(line).map_err(|e| format!("not JSON: {e}"))?;
        let now = micros_from_ms(batch.get("t").ok_or("a batch needs its clock `t`")?)
            .map_err(|e| format!("`t`: {e}"))?;
        let parts = batch.get("parts").and_then(Value::as_array).ok_or("a batch needs an array `parts`")?;
        let mut replies = Vec::new();
        for part in parts {
            let id = part.get("courier-id").ok_or("a part needs its `courier-id`")?;
            let id = unsigned(id).map_err(|e| format!("`courier-id`: {e}"))?;
            let news = part.get("news").and_then(Value::as_array).ok_or("a part needs an array `news`")?;
            let mut events = Vec::new();
            for event in news {
                let name = event.get(0).and_then(Value::as_str).ok_or("an event starts with its name")?;
                self.event(id, event, name, &mut events).map_err(|e| format!("event `{name}`: {e}"))?;
            }
            let Some(instance) = self.instances.get_mut(&id) else { continue };
            let mut actions = Vec::new();
            instance.forwarder.step(now, &events, &mut actions);
            if !actions.is_empty() {
                let outbox: Vec<Value> = actions.iter().map(|a| instance.action(a)).collect();
                replies.push(json!({"courier-id": id, "outbox": outbox}));
            }
            instance.settle(&events, &actions);
        }
        Ok(json!({ "parts": replies }).to_string())
    }

    fn event(&mut self, id: u64, v: &Value, name: &str, events: &mut Vec<Event>) -> Result<(), String> {
        let field = |i: usize, what: &str| {
            v.get(i).filter(|f| !f.is_null()).ok_or_else(|| format!("missing field `{what}`"))
        };
        match name {
            "catalog" => {
                let bank = unsigned(field(1, "bank")?)?;
                let entries = field(2, "entries")?.as_array().ok_or("`entries` is not an array")?;
                self.banks.insert(bank, entries.clone());
                return Ok(());
            }
            "create" => {
                let salt = field(1, "salt")?;
                let salt = salt.as_u64().or(salt.as_i64().map(|n| n as u64)).ok_or("`salt` is not whole")?;
                let (settings, names) = decode_settings(field(2, "params")?)?;
                let forwarder = DeliveryPolicy::new(settings, salt).map_err(|e| e.to_string())?;
                let instance =
                    Instance { forwarder, names, ids: BTreeMap::new(), named: BTreeMap::new(), next: 0 };
                self.instances.insert(id, instance);
                events.clear();
                return Ok(());
            }
            "stop" => {
                self.instances.remove(&id);
                events.clear();
                return Ok(());
            }
            _ => {}
        }
        let known = self.instances.get_mut(&id).ok_or_else(|| format!("no instance {id} was created"))?;
        let event = match name {
            "discovery" => {
                let scope = string(field(1, "scope")?)?;
                unsigned(field(2, "stamp")?)?;
                let mut entries = Vec::new();
                if scope != "broken" {
                    let bank = unsigned(field(3, "bank")?)?;
                    let held =
                        self.banks.get(&bank).ok_or_else(|| format!("no catalog has number {bank}"))?;
                    entries = held
                        .iter()
                        .map(|e| decode_endpoint_entry(e, &known.names))
                        .collect::<Result<_, _>>()?;
                }
                Event::EndpointList(match scope.as_str() {
                    "patch" => EndpointListUpdate::Patch(entries),
                    "whole" => EndpointListUpdate::Complete(entries),
                    "stale_copy" => EndpointListUpdate::Cached(entries),
                    "broken" => EndpointListUpdate::WatchFailed,
                    other => return Err(format!("unknown scope `{other}`")),
                })
            }
            "job-in" => {
                let class = index_of(&known.names.classes, &string(field(2, "service")?)?, "class")?;
                let tenant = match v.get(3).and_then(Value::as_str) {
                    Some(t) => Some(TenantId(index_of(&known.names.tenants, t, "tenant")?)),
                    None => None,
                };
                let key = match v.get(4).filter(|k| !k.is_null()) {
                    Some(k) => Some(OrderKey(
                        u64::from_str_radix(&string(k)?, 16)
                            .map_err(|_| format!("key {k} is not hexadecimal"))?,
                    )),
                    None => None,
                };
                let word = string(field(1, "corr")?)?;
                let attrs = v.get(8).filter(|a| !a.is_null()).map_or(Ok(0), unsigned)?;
                Event::Message(NewMessage {
                    id: known.enter(word),
                    class: ClassId(class),
                    tenant,
                    key,
                    time_left: micros_from_ms(field(5, "time-left")?)?,
                    destination: DestinationId(unsigned(field(7, "terminates-at")?)?),
                    failed_over: attrs & 16 != 0,
                    first_attempt: None,
                    client_retry: attrs & 2 != 0,
                    restored: false,
                    attempts: 0,
                })
            }
            "head-received" => {
                micros_from_ms(field(2, "elapsed")?)?;
                unsigned(field(3, "endpoint")?)?;
                unsigned(field(4, "round-no")?)?;
                Event::Started { id: known.name(string(field(1, "corr")?)?) }
            }
            "result" => Event::AttemptEnded {
                id: known.name(string(field(1, "corr")?)?),
                attempt: unsigned(field(2, "round-no")?)? as u32,
                endpoint: EndpointId(unsigned(field(3, "endpoint")?)? as u32),
                outcome: outcome(field(4, "code")?, v.get(7))?,
                elapsed: micros_from_ms(field(5, "elapsed")?)?,
                ended: boolean(field(6, "ended")?)?,
                report: report(v.get(8))?,
            },
            "echo" => Event::HealthChecked {
                endpoint: EndpointId(unsigned(field(1, "endpoint")?)? as u32),
                outcome: outcome(field(2, "code")?, None)?,
                elapsed: micros_from_ms(field(3, "elapsed")?)?,
                report: report(v.get(4))?,
            },
            "hangup" => Event::Withdrawn { id: known.name(string(field(1, "corr")?)?) },
            "bell" => Event::Timer { token: unsigned(field(1, "ctx")?)? },
            "peer" => {
                unsigned(field(1, "by")?)?;
                string(field(2, "bytes")?)?;
                return Ok(());
            }
            _ => return Err("unknown event".into()),
        };
        events.push(event);
        Ok(())
    }
}

fn outcome(code: &Value, note: Option<&Value>) -> Result<Outcome, String> {
    let note =
        note.filter(|n| !n.is_null()).map_or(Ok(0), micros_from_ms).map_err(|e| format!("`note`: {e}"))?;
    Ok(match unsigned(code)? {
        200 => Outcome::Ok,
        500 => Outcome::Error,
        503 => Outcome::Rejected((note > 0).then_some(note)),
        504 => Outcome::TimedOut,
        502 => Outcome::ConnectFailed,
        598 => Outcome::Reset,
        499 => Outcome::Cancelled,
        410 => Outcome::NotSent,
        other => return Err(format!("unknown outcome code {other}")),
    })
}

fn report(v: Option<&Value>) -> Result<Option<LoadReport>, String> {
    let Some(stats) = v.filter(|s| !s.is_null()) else { return Ok(None) };
    let stats = stats.as_object().ok_or_else(|| format!("`stats` is not an object: {stats}"))?;
    match (stats.get("x0"), stats.get("x1")) {
        (Some(left), Some(rate)) => {
            Ok(Some(LoadReport { remaining_share: number(left)?, rate: number(rate)? }))
        }
        _ => Ok(None),
    }
}

impl Instance {
    /// The id of a message; a word that is not known gets an id that nothing else has.
    fn name(&mut self, word: String) -> MessageId {
        if let Some(id) = self.ids.get(&word) {
            return *id;
        }
        self.next += 1;
        MessageId(self.next)
    }

    /// The id of a message that has just come.
    fn enter(&mut self, word: String) -> MessageId {
        let id = self.name(word.clone());
        self.ids.insert(word.clone(), id);
        self.named.entry(id).or_insert(Named { word, out: 0, over: false });
        id
    }

    /// Counts what is still to come for each message, and forgets those for which there is nothing.
    fn settle(&mut self, events: &[Event], actions: &[Action]) {
        let mut settled = Vec::new();
        let mut note = |id: &MessageId, sent: bool, back: bool, over: bool| {
            let Some(n) = self.named.get_mut(id) else { return };
            n.out = (n.out + u32::from(sent)).saturating_sub(u32::from(back));
            n.over |= over;
            settled.extend((n.over && n.out == 0).then_some(*id));
        };
        for event in events {
            match event {
                Event::AttemptEnded { id, ended, .. } => note(id, false, true, *ended),
                Event::Withdrawn { id } => note(id, false, false, true),
                _ => {}
            }
        }
        for action in actions {
            match action {
                Action::Send { id, .. } => note(id, true, false, false),
                Action::Reject { id, .. } | Action::Fail { id, .. } => note(id, false, false, true),
                _ => {}
            }
        }
        for id in settled {
            if self.named.get(&id).is_some_and(|n| n.over && n.out == 0) {
                let named = self.named.remove(&id).expect("just seen");
                self.ids.remove(&named.word);
            }
        }
    }

    fn action(&self, action: &Action) -> Value {
        let word = |id: &MessageId| &self.named[id].word;
        match action {
            Action::Send { id, endpoint, timeout_at: cut_at, .. } => {
                json!(["submit-to", word(id), millis(*cut_at), endpoint.0])
            }
            Action::Reject { id, retry_after, .. } => {
                json!(["decline", word(id), retry_after.map_or(0.0, millis)])
            }
            Action::Fail { id, .. } => json!(["finish-error", word(id)]),
            Action::Cancel { id, attempt } => json!(["drop-attempt", word(id), attempt]),
            Action::Timer { delay, token } => json!(["arm", millis(*delay), token]),
            Action::HealthCheck { endpoint } => json!(["ask-load", endpoint.0]),
            Action::CloseIdle { endpoint } => json!(["shut-idle", endpoint.0]),
            Action::Subscribe => json!(["observe", true]),
            Action::Log(line) => json!(["remark", line]),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn messages_that_are_over_are_forgotten() {
        let params = json!({
            "azs": ["east"], "zone": "east", "balancers": 1, "kinds": ["k"], "discovery": "pushed",
            "categories": [{"name": "note", "semantics": "pure", "promise": 1e3, "deadline": 9e3, "gain": 1.0}],
            "realms": [], "granularity": 5.0, "weight-source": "off", "fees": {},
            "permissions": {"max-open": 50, "max-attempts": 4},
            "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 9000.0, "cold-from": 0.2},
            "specifics": {"call-slots": 4, "late": "linear"},
        });
        let mut host = Host::default();
        let mut batch = |t: u32, news: Value| {
            let line = json!({"t": t, "parts": [{"courier-id": 3, "news": news}]}).to_string();
            host.batch(&line).expect("a reply");
            host.instances[&3].named.len()
        };
        let list = json!([[7, "east", "k", 1, "IN", 1.0, null]]);
        batch(1, json!([["create", 1, params], ["catalog", 0, list], ["discovery", "whole", 1, 0]]));
        for i in 0..20u32 {
            let (word, t) = (format!("c:{i}"), 1000 * (i + 1));
            assert_eq!(batch(t, json!([["job-in", word, "note", null, null, 9e3, null, 1, 0]])), 1);
            let done = json!([["result", word, 0, 7, 200, 45.0, true], ["hangup", word], ["hangup", "c:x"]]);
            assert_eq!(batch(t + 50, done), 0);
        }
        // A message that nobody wants any more is kept until its attempt is back.
        batch(90_000, json!([["job-in", "c:z", "note", null, null, 9e3, null, 1, 0]]));
        assert_eq!(batch(90_005, json!([["hangup", "c:z"]])), 1);
        assert_eq!(batch(90_050, json!([["result", "c:z", 0, 7, 504, 45.0, true]])), 0);
    }
}
