//! The configuration that the program is started with.

use crate::invariants::RepeatPolicy;
use crate::membership::RegistrySettings;
use crate::net::platform::eureka::snapshot::RegistrySnapshot;
use crate::settings_json::{
    bytes_from_mb, decode_settings, forwarder_index, micros_from_ms, optional_field, required,
    required_field, string, unsigned, DecodeError, Names,
};
use crate::{Class, Idempotency, Kind, Micros, Settings, SettingsError};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The largest body of a message, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Connections of operators that may be open at once.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// What the folder keeps free for the cordons and the owner's name, in bytes: each is written anew beside the old one.
pub const OPERATOR_FILES_RESERVE_BYTES: u64 = 32 * 1024;

/// The program's configuration, read and checked.
pub struct Config {
    /// This forwarder's name.
    pub name: String,
    /// Where clients connect.
    pub listen_address: SocketAddr,
    /// Where operators connect, if they may.
    pub operator_address: Option<SocketAddr>,
    /// Where the platform's agent listens.
    pub agent_address: SocketAddr,
    /// The folder that outlasts the process.
    pub state_folder: PathBuf,
    /// For random draws.
    pub seed: u64,
    /// File descriptors that may be open.
    pub max_descriptors: usize,
    /// The most bytes that the folder may hold.
    pub max_disk_bytes: u64,
    /// The endpoint list as the platform last had it, if it passes it on.
    pub initial_endpoint_list: Option<Value>,
    /// An endpoint closes an idle connection after this.
    pub endpoint_idle_timeout: Micros,
    /// A connection that is not established by then never will be.
    pub dial_timeout: Micros,
    /// Work may be sent to an endpoint for so long after it began to drain.
    pub drain_grace: Micros,
    /// The shortest time between two steps of the policy.
    pub min_step_interval: Micros,
    /// Messages that may be open at once.
    pub max_open_messages: usize,
    /// Calls that may be in flight at once.
    pub max_concurrent_calls: usize,
    /// Forwarders that share the traffic, this one included.
    pub forwarders: usize,
    /// Its number among them, or why it has none.
    pub forwarder_index: Result<u64, DecodeError>,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// What classes, tenants, zones and kinds are called.
    pub names: Arc<Names>,
    /// Whether each class needs a key, by class.
    pub requires_key: Vec<bool>,
    /// Whether a message of each class must never run twice, by class.
    pub non_idempotent: Vec<bool>,
    /// How messages of each class may be repeated, by class.
    pub repeat_policies: Vec<RepeatPolicy>,
    /// A registry from which the endpoint list also comes.
    pub registry: Option<Arc<RegistrySettings>>,
    /// The longest time for which a message of each class may be open, by class.
    pub deadlines: Vec<Micros>,
}

/// Why a configuration cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigReadError {
    /// The text is not JSON.
    #[error("the configuration is not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A setting is missing or cannot be decoded.
    #[error(transparent)]
    Decode(#[from] DecodeError),
    /// The platform's settings are out of range.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A value outside of the platform's settings cannot be decoded.
    #[error("{key}: {error}")]
    Value {
        /// Its key.
        key: &'static str,
        /// Why not.
        error: DecodeError,
    },
    /// The seed is a text that is not hexadecimal.
    #[error("seed: `{0}` is not hexadecimal")]
    SeedNotHexadecimal(String),
    /// An address cannot be parsed.
    #[error("{key}: `{text}` is not an address with a port")]
    NotAnAddress {
        /// Its key.
        key: &'static str,
        /// Its text.
        text: String,
    },
    /// There are too few descriptors.
    #[error("setting `sockets`: {descriptors} are too few for {calls} calls")]
    TooFewDescriptors {
        /// File descriptors that may be open.
        descriptors: usize,
        /// Calls that may be in flight.
        calls: usize,
    },
    /// No time is left to connect.
    #[error("setting `dial-timeout`: 0 is out of range, which is above 0")]
    NoDialTimeout,
}

/// Why a changed configuration holds only after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestartReason {
    /// What the process was started with.
    #[error("`name`, `listen` and `state` change only at a start")]
    Process,
    /// What open messages go by.
    #[error("names of classes, tenants, zones and kinds, and what repeats do, change only at a start")]
    Names,
    /// The entry of this forwarder in the registry.
    #[error("`register` of the registry changes only at a start")]
    Registration,
}

/// Decodes and checks the platform's settings within the text of a configuration, and the names that they list.
///
/// # Errors
///
/// If they cannot be decoded or are out of range.
pub fn read_platform_settings(json: &str) -> Result<(Settings, Names), ConfigReadError> {
    platform_settings(&serde_json::from_str(json)?)
}

fn platform_settings(config: &Value) -> Result<(Settings, Names), ConfigReadError> {
    let (settings, names) = decode_settings(required_field(config, "settings")?)?;
    settings.check()?;
    Ok((settings, names))
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigReadError> {
    text.parse().map_err(|_| ConfigReadError::NotAnAddress { key, text })
}

fn read_seed(config: &Value) -> Result<u64, ConfigReadError> {
    match required_field(config, "seed")? {
        Value::String(text) => {
            u64::from_str_radix(text, 16).map_err(|_| ConfigReadError::SeedNotHexadecimal(text.clone()))
        }
        other => unsigned(other).map_err(|error| ConfigReadError::Value { key: "seed", error }),
    }
}

/// The text of the operators' address, if they may connect.
fn read_operator(config: &Value, variable: Option<String>) -> Result<Option<String>, ConfigReadError> {
    if variable.is_some() {
        return Ok(variable);
    }
    let text = optional_field(config, "operator").map(string).transpose();
    text.map_err(|error| ConfigReadError::Value { key: "operator", error })
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
    /// Reads the text of a configuration. Environment variables, as the platform sets them, override what it says.
    ///
    /// # Errors
    ///
    /// The first value that is missing, cannot be decoded or is out of range.
    pub fn read(
        json: &str,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(Self, Settings), ConfigReadError> {
        let json: Value = serde_json::from_str(json)?;
        let text = |name: &str, key: &str| match variable(name) {
            Some(value) => Ok(value),
            None => required(&json, key, string),
        };
        let raw_settings = required_field(&json, "settings")?;
        let (settings, names) = platform_settings(&json)?;
        let permissions = required_field(raw_settings, "permissions")?;
        let limits = required_field(&json, "limits")?;
        let seed = read_seed(&json)?;
        let operator = read_operator(&json, variable("ROUTER_OPERATOR"))?;
        let classes = &settings.classes;
        let config = Config {
            name: text("ROUTER_NAME", "name")?,
            listen_address: parse_address("listen", text("ROUTER_LISTEN", "listen")?)?,
            operator_address: operator.map(|text| parse_address("operator", text)).transpose()?,
            agent_address: parse_address("discovery", text("ROUTER_DISCOVERY", "discovery")?)?,
            state_folder: text("ROUTER_STATE", "state")?.into(),
            seed,
            max_descriptors: required(limits, "sockets", unsigned)? as usize,
            max_disk_bytes: required(limits, "disk_mb", bytes_from_mb)?,
            initial_endpoint_list: optional_field(&json, "known").cloned(),
            endpoint_idle_timeout: required(permissions, "conn-idle", micros_from_ms)?,
            dial_timeout: required(permissions, "dial-timeout", micros_from_ms)?,
            drain_grace: required(required_field(raw_settings, "rules")?, "drain-grace", micros_from_ms)?,
            min_step_interval: settings.min_step_interval,
            max_open_messages: settings.max_open_messages,
            max_concurrent_calls: settings.max_concurrent_calls,
            forwarders: settings.forwarders,
            forwarder_index: forwarder_index(raw_settings),
            kinds: settings.kinds.clone(),
            names: Arc::new(names),
            requires_key: classes.iter().map(|c| c.idempotency == Idempotency::WithKey).collect(),
            non_idempotent: classes.iter().map(|c| c.idempotency == Idempotency::NonIdempotent).collect(),
            repeat_policies: classes.iter().map(|class| repeat_policy(class, &settings)).collect(),
            registry: None,
            deadlines: classes.iter().map(|class| class.deadline).collect(),
        };
        config.check()?;
        Ok((config, settings))
    }

    fn check(&self) -> Result<(), ConfigReadError> {
        let (descriptors, calls) = (self.max_descriptors, self.max_concurrent_calls);
        if descriptors < 64 + 2 * calls {
            return Err(ConfigReadError::TooFewDescriptors { descriptors, calls });
        }
        if self.dial_timeout == 0 {
            return Err(ConfigReadError::NoDialTimeout);
        }
        Ok(())
    }

    /// Why this one cannot replace another while the program runs, if it cannot: open messages go by the other's names, and
    /// address and folder stay as they were opened.
    pub fn needs_restart(&self, other: &Config) -> Option<RestartReason> {
        let same_process = self.name == other.name
            && self.listen_address == other.listen_address
            && self.state_folder == other.state_folder;
        if !same_process {
            return Some(RestartReason::Process);
        }
        let same_names = self.names == other.names
            && self.requires_key == other.requires_key
            && self.non_idempotent == other.non_idempotent;
        if !same_names {
            return Some(RestartReason::Names);
        }
        let registration = |config: &Config| config.registry.as_ref().and_then(|r| r.registration.clone());
        (registration(self) != registration(other)).then_some(RestartReason::Registration)
    }

    /// The size that the journal may have, in bytes: a registry's last view is persisted in the folder too, and the operators'
    /// cordons.
    pub fn journal_limit_bytes(&self) -> u64 {
        let view = if self.registry.is_some() { RegistrySnapshot::max_bytes(self.max_disk_bytes) } else { 0 };
        let operators = if self.operator_address.is_some() { OPERATOR_FILES_RESERVE_BYTES } else { 0 };
        self.max_disk_bytes.saturating_sub(view + operators)
    }

    /// Connections of clients that may be open at once.
    pub fn max_client_connections(&self) -> usize {
        self.max_descriptors / 2
    }

    /// Idle connections to endpoints that may be open at once, beside those that carry calls.
    pub fn max_idle_connections(&self) -> usize {
        let operators = if self.operator_address.is_some() { MAX_OPERATOR_CONNECTIONS } else { 0 };
        (self.max_descriptors / 2).saturating_sub(self.max_concurrent_calls + 32 + operators)
    }
}
