//! The configuration file: reads, decodes and checks it.

use crate::invariants::RepeatPolicy;
use crate::journal::FolderLimit;
use crate::membership::RegistrySettings;
use crate::memory::{MemoryLimits, MemoryPlan, TooLittleMemory};
use crate::net::handover::fence;
use crate::net::platform::eureka::snapshot::RegistrySnapshot;
use crate::settings_json::{
    bytes_from_mb, decode_settings, forwarder_index, micros_from_ms, optional_field, required,
    required_field, string, unsigned, DecodeError, Names,
};
use crate::{Class, ClassId, Idempotency, Kind, Micros, Settings, SettingsError};
use serde_json::value::RawValue;
use serde_json::{Map, Value};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

/// The largest body of a message, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The maximum number of operator connections that are open at once.
pub const MAX_OPERATOR_CONNECTIONS: usize = 16;
/// The memory limit of a configuration without one, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 192_000_000;
/// Bytes of the state folder that are reserved for the files of the cordons, of the owner's address and of the fences. Each
/// update of the cordons writes a new file beside the old one.
pub const OPERATOR_FILES_RESERVE_BYTES: u64 = 32 * 1024;
/// The files that use [`OPERATOR_FILES_RESERVE_BYTES`], besides the fences.
const OPERATOR_FILE_NAMES: [&str; 4] = ["owner", "next", "cordons", "cordons.new"];

/// The configuration of a process, decoded and checked.
pub struct Config {
    /// The name of this forwarder.
    pub name: String,
    /// The address on which clients connect.
    pub listen_address: SocketAddr,
    /// The address on which operators connect; `None` if operator access is disabled.
    pub operator_address: Option<SocketAddr>,
    /// The address of the platform's agent.
    pub agent_address: SocketAddr,
    /// The folder for the state that survives a restart.
    pub state_folder: PathBuf,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The maximum number of open file descriptors.
    pub max_descriptors: usize,
    /// The maximum size of the state folder, in bytes.
    pub max_disk_bytes: u64,
    /// What each user of memory may hold, derived from the limits.
    pub memory_plan: MemoryPlan,
    /// The last endpoint list that the platform knew, undecoded; `None` if the platform does not pass one on.
    pub initial_endpoint_list: Option<Box<RawValue>>,
    /// The time after which endpoints close idle connections, in microseconds.
    pub endpoint_idle_timeout: Micros,
    /// The time within which a connection must be established, in microseconds.
    pub dial_timeout: Micros,
    /// How long calls may still be sent to an endpoint after it began to drain, in microseconds.
    pub drain_grace: Micros,
    /// The minimum time between two steps of the policy, in microseconds.
    pub min_step_interval: Micros,
    /// The maximum number of open messages.
    pub max_open_messages: usize,
    /// The maximum number of calls in flight.
    pub max_concurrent_calls: usize,
    /// The number of forwarders that share the traffic, including this one.
    pub forwarders: usize,
    /// The index of this forwarder among all forwarders, or why it cannot be determined.
    pub forwarder_index: Result<u64, DecodeError>,
    /// The kinds of destination.
    pub kinds: Vec<Kind>,
    /// The names of classes, tenants, zones and kinds.
    pub names: Arc<Names>,
    /// By class: whether its messages need an idempotency key.
    pub requires_key: Vec<bool>,
    /// By class: whether its messages must never run twice.
    pub non_idempotent: Vec<bool>,
    /// By class: how its messages may be repeated.
    pub repeat_policies: Vec<RepeatPolicy>,
    /// The registry that also supplies the endpoint list, if there is one.
    pub registry: Option<Arc<RegistrySettings>>,
    /// By class: how long its messages may be open, in microseconds.
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
        /// The key of the value.
        key: &'static str,
        /// Why it cannot be decoded.
        error: DecodeError,
    },
    /// The seed is a string that is not a hexadecimal number.
    #[error("seed: `{0}` is not hexadecimal")]
    SeedNotHexadecimal(String),
    /// An address cannot be parsed.
    #[error("{key}: `{text}` is not an address with a port")]
    NotAnAddress {
        /// The key of the address.
        key: &'static str,
        /// The value of the key.
        text: String,
    },
    /// There are too few file descriptors for the calls that may be in flight.
    #[error("setting `sockets`: {descriptors} file descriptors are too few for {calls} concurrent calls")]
    TooFewDescriptors {
        /// The maximum number of open file descriptors.
        descriptors: usize,
        /// The maximum number of calls in flight.
        calls: usize,
    },
    /// The memory limit is too small.
    #[error(transparent)]
    TooLittleMemory(#[from] TooLittleMemory),
    /// The timeout for connecting to endpoints is zero.
    #[error("setting `dial-timeout`: 0 is out of range, it must be above 0")]
    NoDialTimeout,
}

/// Why a changed configuration takes effect only after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestartReason {
    /// The name, the listen address or the state folder of the process has changed.
    #[error("`name`, `listen` and `state` can be changed only by a restart")]
    Process,
    /// Names, or the idempotency of classes, have changed, on which open messages depend.
    #[error("class, tenant, zone and kind names and class idempotency can be changed only by a restart")]
    Names,
    /// The entry that this forwarder registers in the registry has changed.
    #[error("`register` of the registry can be changed only by a restart")]
    Registration,
}

/// Decodes and checks the platform's settings in the JSON text of a configuration. Returns them with the names that
/// they define.
///
/// # Errors
///
/// Returns an error if the text is not JSON, or the settings cannot be decoded or are out of range.
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

/// The address for operators, not yet parsed; the environment variable takes precedence. `None` if operator access is
/// disabled.
fn read_operator_address(
    config: &Value,
    environment_variable: Option<String>,
) -> Result<Option<String>, ConfigReadError> {
    if environment_variable.is_some() {
        return Ok(environment_variable);
    }
    let text = optional_field(config, "operator").map(string).transpose();
    text.map_err(|error| ConfigReadError::Value { key: "operator", error })
}

/// The key of the last endpoint list that the platform knew.
const INITIAL_LIST_KEY: &str = "known";

/// The JSON of a configuration. The endpoint list in it stays text, as a long one takes many times as much when it is parsed.
struct ConfigJson {
    /// All but the endpoint list.
    json: Value,
    initial_endpoint_list: Option<Box<RawValue>>,
}

impl ConfigJson {
    fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let value: &RawValue = serde_json::from_str(text)?;
        if !value.get().starts_with('{') {
            return Ok(ConfigJson { json: serde_json::from_str(text)?, initial_endpoint_list: None });
        }
        let mut fields: HashMap<String, &RawValue> = serde_json::from_str(text)?;
        let list = fields.remove(INITIAL_LIST_KEY).filter(|list| list.get() != "null");
        let parsed = fields.into_iter().map(|(key, value)| Ok((key, serde_json::from_str(value.get())?)));
        let json = Value::Object(parsed.collect::<Result<Map<_, _>, serde_json::Error>>()?);
        Ok(ConfigJson { json, initial_endpoint_list: list.map(ToOwned::to_owned) })
    }
}

/// The memory limit in bytes, by default [`DEFAULT_MEMORY_BYTES`].
fn read_memory_limit(limits: &Value) -> Result<usize, ConfigReadError> {
    let Some(value) = optional_field(limits, "memory_mb") else { return Ok(DEFAULT_MEMORY_BYTES) };
    let bytes =
        bytes_from_mb(value).map_err(|error| ConfigReadError::Value { key: "limits.memory_mb", error })?;
    Ok(usize::try_from(bytes).unwrap_or(usize::MAX))
}

fn check_descriptors(descriptors: usize, calls: usize) -> Result<(), ConfigReadError> {
    // Half of the descriptors must suffice for all calls and 32 other files; see `max_idle_connections`.
    match descriptors < 64 + 2 * calls {
        true => Err(ConfigReadError::TooFewDescriptors { descriptors, calls }),
        false => Ok(()),
    }
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
    /// Reads a configuration from its JSON text. Environment variables, which `environment_variable` returns by name,
    /// take precedence over it.
    ///
    /// # Errors
    ///
    /// Returns an error for the first value that is missing, cannot be decoded or is out of range.
    pub fn read(
        json: &str,
        environment_variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(Self, Settings), ConfigReadError> {
        let ConfigJson { json, initial_endpoint_list } = ConfigJson::parse(json)?;
        let text_setting = |name: &str, key: &str| match environment_variable(name) {
            Some(value) => Ok(value),
            None => required(&json, key, string),
        };
        let raw_settings = required_field(&json, "settings")?;
        let (settings, names) = platform_settings(&json)?;
        let permissions = required_field(raw_settings, "permissions")?;
        let limits = required_field(&json, "limits")?;
        let seed = read_seed(&json)?;
        let operator = read_operator_address(&json, environment_variable("ROUTER_OPERATOR"))?;
        let classes = &settings.classes;
        let max_descriptors = required(limits, "sockets", unsigned)? as usize;
        check_descriptors(max_descriptors, settings.max_concurrent_calls)?;
        let max_disk_bytes = required(limits, "disk_mb", bytes_from_mb)?;
        let memory_limits = MemoryLimits {
            memory_bytes: read_memory_limit(limits)?,
            descriptors: max_descriptors,
            disk_bytes: max_disk_bytes,
            hands_over: operator.is_some(),
        };
        let config = Config {
            name: text_setting("ROUTER_NAME", "name")?,
            listen_address: parse_address("listen", text_setting("ROUTER_LISTEN", "listen")?)?,
            operator_address: operator.map(|text| parse_address("operator", text)).transpose()?,
            agent_address: parse_address("discovery", text_setting("ROUTER_DISCOVERY", "discovery")?)?,
            state_folder: text_setting("ROUTER_STATE", "state")?.into(),
            seed,
            max_descriptors,
            max_disk_bytes,
            memory_plan: MemoryPlan::derive(&memory_limits)?,
            initial_endpoint_list,
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
            requires_key: classes.iter().map(|class| class.idempotency == Idempotency::WithKey).collect(),
            non_idempotent: classes
                .iter()
                .map(|class| class.idempotency == Idempotency::NonIdempotent)
                .collect(),
            repeat_policies: classes.iter().map(|class| repeat_policy(class, &settings)).collect(),
            registry: None,
            deadlines: classes.iter().map(|class| class.deadline).collect(),
        };
        config.check()?;
        Ok((config, settings))
    }

    fn check(&self) -> Result<(), ConfigReadError> {
        if self.dial_timeout == 0 {
            return Err(ConfigReadError::NoDialTimeout);
        }
        Ok(())
    }

    /// Why this configuration cannot replace `other`, the one in force, without a restart; `None` if it can. Open
    /// messages depend on the names in `other`, and the address and the folder are opened only at the start.
    pub fn restart_reason(&self, other: &Config) -> Option<RestartReason> {
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

    /// The size limit of the state folder, and what of it is reserved for the registry snapshot and the operators' files. The
    /// folder's files count as memory, too.
    pub fn folder_limit(&self) -> FolderLimit {
        let mut limit = FolderLimit::from(self.max_disk_bytes.min(self.memory_plan.file_bytes));
        if self.registry.is_some() {
            limit.reserved_bytes += RegistrySnapshot::max_bytes(self.max_disk_bytes);
            limit.reserved_files.extend(RegistrySnapshot::FILE_NAMES);
        }
        if self.operator_address.is_some() {
            limit.reserved_bytes += OPERATOR_FILES_RESERVE_BYTES;
            limit.reserved_files.extend(OPERATOR_FILE_NAMES);
            limit.reserved_files.extend(fence::file_names());
        }
        limit
    }

    /// The maximum size of the journal, in bytes: the part of the state folder that is not reserved.
    pub fn journal_limit_bytes(&self) -> u64 {
        let limit = self.folder_limit();
        limit.bytes.saturating_sub(limit.reserved_bytes)
    }

    /// How long the id of a message is remembered after its end, in microseconds: as long as its client may hand it in, and as
    /// long as repeats of it are dropped.
    pub fn id_memory(&self, class: ClassId) -> Micros {
        self.deadlines[class.0].max(self.repeat_policies[class.0].dedup_window)
    }

    /// The maximum number of open client connections.
    pub fn max_client_connections(&self) -> usize {
        self.memory_plan.client_connections
    }

    /// The maximum number of idle connections to endpoints. Connections with a call in flight do not count.
    pub fn max_idle_connections(&self) -> usize {
        let operator_connections = if self.operator_address.is_some() { MAX_OPERATOR_CONNECTIONS } else { 0 };
        (self.max_descriptors / 2).saturating_sub(self.max_concurrent_calls + 32 + operator_connections)
    }
}
