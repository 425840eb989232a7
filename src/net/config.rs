//! What the program is told at its start.

use crate::invariants::RepeatPolicy;
use crate::membership::RegistrySettings;
use crate::net::platform::eureka::snapshot::Snapshot;
use crate::settings_json::{field, in_field, micros, own_number, settings, text, whole, Names};
use crate::{Class, Kind, Micros, Settings};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The largest body of a message.
pub const BODY_LIMIT: usize = 64 * 1024;
/// Connections of operators held at once.
pub const OPERATORS: usize = 16;
/// What the folder keeps free for the cordons and the owner's name, each written anew beside the old one.
pub const OPERATORS_ROOM: u64 = 32 * 1024;

/// The program's configuration, read and checked.
pub struct Config {
    /// This forwarder's name.
    pub name: String,
    /// Where user agents connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// Where the platform's agent listens.
    pub discovery: SocketAddr,
    /// The folder that outlasts the process.
    pub state: PathBuf,
    /// For random draws.
    pub seed: u64,
    /// Descriptors that may be open.
    pub sockets: usize,
    /// Bytes that the folder may hold.
    pub disk: u64,
    /// The list as last held, if it is told.
    pub known: Option<Value>,
    /// An idle connection is closed by an endpoint after this.
    pub endpoint_idle_timeout: Micros,
    /// A connection that is not made by then never comes.
    pub dial_timeout: Micros,
    /// Work may go to an endpoint for so long after it was told to leave.
    pub drain_grace: Micros,
    /// The shortest time between two steps of the module.
    pub min_step_interval: Micros,
    /// Messages held at once.
    pub max_open_messages: usize,
    /// Calls out at once.
    pub max_concurrent_calls: usize,
    /// Forwarders that share the traffic, this one included.
    pub forwarders: usize,
    /// Its number among them, or why it has none.
    pub forwarder_index: Result<u64, String>,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// What classes, tenants, zones and kinds are called.
    pub names: Arc<Names>,
    /// Whether each class needs a key, by class.
    pub keyed: Vec<bool>,
    /// Whether a message of each class must never run twice, by class.
    pub non_idempotent: Vec<bool>,
    /// How messages of each class may be repeated, by class.
    pub repeats: Vec<RepeatPolicy>,
    /// A registry that the list also comes from.
    pub registry: Option<Arc<RegistrySettings>>,
    /// The longest time for which a message of each class is held, by class.
    pub deadlines: Vec<Micros>,
}

fn address(text: &str, what: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| format!("{what}: `{text}` is not an address with a port"))
}

/// A number of megabytes as bytes.
fn megabytes(v: &Value) -> Result<u64, String> {
    let count = crate::settings_json::number(v)?;
    if !(0.0..1e12).contains(&count) {
        return Err(format!("expected megabytes, got {v}"));
    }
    Ok((count * 1e6) as u64)
}

/// The platform's settings within the text of a configuration, checked, and the names that they list.
pub fn platform(json: &str) -> Result<(Settings, Names), String> {
    platform_of(&parse(json)?)
}

fn parse(json: &str) -> Result<Value, String> {
    serde_json::from_str(json).map_err(|e| format!("the configuration is not JSON: {e}"))
}

fn platform_of(v: &Value) -> Result<(Settings, Names), String> {
    let (settings, names) = settings(field(v, "settings")?)?;
    settings.check().map_err(|e| e.to_string())?;
    Ok((settings, names))
}

fn repeat_policy(class: &Class, settings: &Settings) -> RepeatPolicy {
    RepeatPolicy {
        idempotency: class.idempotency,
        dedup_scope: class.dedup_scope,
        dedup_window: class.deduplication_window,
        max_attempts: settings.max_attempts,
    }
}

impl Config {
    /// Reads the text of a configuration. Variables, as the platform sets them, go before what it says.
    pub fn read(json: &str, variable: impl Fn(&str) -> Option<String>) -> Result<(Self, Settings), String> {
        let v = parse(json)?;
        let told = |name: &str, key: &str| match variable(name) {
            Some(value) => Ok(value),
            None => in_field(&v, key, text),
        };
        let raw = field(&v, "settings")?;
        let (settings, names) = platform_of(&v)?;
        let allow = field(raw, "permissions")?;
        let limits = field(&v, "limits")?;
        let seed = match field(&v, "seed")? {
            Value::String(s) => {
                u64::from_str_radix(s, 16).map_err(|_| format!("seed: `{s}` is not hexadecimal"))?
            }
            other => whole(other).map_err(|e| format!("seed: {e}"))?,
        };
        let operator = match variable("ROUTER_OPERATOR") {
            None => v.get("operator").filter(|o| !o.is_null()).map(text).transpose(),
            told => Ok(told),
        };
        let operator = operator.map_err(|e| format!("operator: {e}"))?;
        let of =
            |want: crate::Idempotency| settings.classes.iter().map(move |c| c.idempotency == want).collect();
        let config = Config {
            name: told("ROUTER_NAME", "name")?,
            listen: address(&told("ROUTER_LISTEN", "listen")?, "listen")?,
            operator: operator.map(|o| address(&o, "operator")).transpose()?,
            discovery: address(&told("ROUTER_DISCOVERY", "discovery")?, "discovery")?,
            state: told("ROUTER_STATE", "state")?.into(),
            seed,
            sockets: in_field(limits, "sockets", whole)? as usize,
            disk: in_field(limits, "disk_mb", megabytes)?,
            known: v.get("known").filter(|k| !k.is_null()).cloned(),
            endpoint_idle_timeout: in_field(allow, "conn-idle", micros)?,
            dial_timeout: in_field(allow, "dial-timeout", micros)?,
            drain_grace: in_field(field(raw, "rules")?, "drain-grace", micros)?,
            min_step_interval: settings.min_step_interval,
            max_open_messages: settings.max_open_messages,
            max_concurrent_calls: settings.max_concurrent_calls,
            forwarders: settings.forwarders,
            forwarder_index: own_number(raw),
            kinds: settings.kinds.clone(),
            names: Arc::new(names),
            keyed: of(crate::Idempotency::WithKey),
            non_idempotent: of(crate::Idempotency::NonIdempotent),
            repeats: settings.classes.iter().map(|c| repeat_policy(c, &settings)).collect(),
            registry: None,
            deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
        };
        if config.sockets < 64 + 2 * config.max_concurrent_calls {
            let (sockets, slots) = (config.sockets, config.max_concurrent_calls);
            return Err(format!("setting `sockets`: {sockets} are too few for {slots} calls"));
        }
        if config.dial_timeout == 0 {
            return Err("setting `dial-timeout`: 0 is out of range, which is above 0".into());
        }
        Ok((config, settings))
    }

    /// Why this one cannot take the place of another while the program runs, if it cannot: what is held goes
    /// by the other's names, and address and folder stay as they were opened.
    pub fn needs_restart(&self, other: &Config) -> Option<&'static str> {
        if self.name != other.name || self.listen != other.listen || self.state != other.state {
            return Some("`name`, `listen` and `state` change only at a start");
        }
        let same = self.names == other.names && self.keyed == other.keyed;
        let same = same && self.non_idempotent == other.non_idempotent;
        if !same {
            return Some(
                "names of classes, tenants, zones and kinds, and what repeats do, change only at a start",
            );
        }
        let register = |c: &Config| c.registry.as_ref().and_then(|r| r.registration.clone());
        (register(self) != register(other)).then_some("`register` of the registry changes only at a start")
    }

    /// What the journal may take of the folder: a registry's last view is kept there too, and what operators set.
    pub fn journal_disk(&self) -> u64 {
        let view = if self.registry.is_some() { Snapshot::room(self.disk) } else { 0 };
        let operators = if self.operator.is_some() { OPERATORS_ROOM } else { 0 };
        self.disk.saturating_sub(view + operators)
    }

    /// Connections of user agents held at once.
    pub fn user_agents(&self) -> usize {
        self.sockets / 2
    }

    /// Idle connections to endpoints kept at once, beside those that carry calls.
    pub fn idle_peers(&self) -> usize {
        let operators = if self.operator.is_some() { OPERATORS } else { 0 };
        (self.sockets / 2).saturating_sub(self.max_concurrent_calls + 32 + operators)
    }
}
