//! Decodes the settings of an instance from the platform's JSON into the types of the policy's interface. The
//! simulator's messages and the forwarder's configuration file contain the same object.
//!
//! Operators and scripts read the errors, so their order and texts are fixed. That is why this is not a
//! derived decoder.

mod decode;

pub use decode::{
    boolean, bytes_from_mb, index_of, micros_from_ms, number, optional_field, required, required_field,
    string, unsigned, DecodeError, UnknownName,
};

use crate::{
    Class, Decay, DedupScope, DestinationId, EndpointEntry, EndpointId, Idempotency, Kind, KindId, Lifecycle,
    Settings, Tenant, WeightSource, ZoneId,
};
use decode::{optional, optional_list, or_default, required_items, required_list};
use serde_json::Value;

/// The names of classes, tenants, zones and kinds that the settings list. The platform refers to them by
/// these names.
#[derive(Debug, Default, PartialEq)]
pub struct Names {
    /// The names of the classes, indexed by [`crate::ClassId`].
    pub classes: Vec<String>,
    /// The names of the tenants, indexed by [`crate::TenantId`].
    pub tenants: Vec<String>,
    /// The names of the zones, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The names of the kinds of destination, indexed by [`KindId`].
    pub kinds: Vec<String>,
}

/// The JSON object of the settings and its sections.
struct Sections<'a> {
    root: &'a Value,
    specifics: &'a Value,
    permissions: &'a Value,
    rules: &'a Value,
    fees: &'a Value,
}

impl<'a> Sections<'a> {
    fn read(root: &'a Value) -> Result<Self, DecodeError> {
        Ok(Sections {
            root,
            specifics: required_field(root, "specifics")?,
            permissions: required_field(root, "permissions")?,
            rules: required_field(root, "rules")?,
            fees: required_field(root, "fees")?,
        })
    }
}

/// Decodes the settings of an instance, and the names that they list.
///
/// # Errors
///
/// Returns the error of the first setting that is missing or cannot be decoded.
pub fn decode_settings(json: &Value) -> Result<(Settings, Names), DecodeError> {
    let sections = Sections::read(json)?;
    let zones = required_list(json, "azs", string)?;
    let kinds = required_list(json, "kinds", string)?;
    let categories = required_items(json, "categories")?;
    let realms = required_items(json, "realms")?;
    let kind_settings = decode_kinds(sections.specifics, kinds.len())?;
    let mut zone_costs = optional_list(sections.specifics, "toll", number)?;
    zone_costs.resize(zones.len(), 0.0);
    let zone = required(json, "zone", string)?;
    let Sections { root, specifics, permissions, rules, fees } = sections;
    let settings = Settings {
        forwarders: required(root, "balancers", unsigned)? as usize,
        forwarder_index: forwarder_index(root).ok(),
        wall_clock_offset: 0,
        zone: ZoneId(index_of(&zones, &zone, "zone")?),
        zone_costs,
        cross_zone_cost: or_default(fees, "cross-zone", number)?,
        connection_cost: or_default(fees, "handshake", number)?,
        classes: categories.iter().map(decode_class).collect::<Result<_, _>>()?,
        tenants: realms.iter().map(decode_tenant).collect::<Result<_, _>>()?,
        over_quota_weight: or_default(root, "over-share-worth", number)?,
        kinds: kind_settings,
        decay: required(specifics, "late", decode_decay)?,
        weights: required(root, "weight-source", decode_weight_source)?,
        max_concurrent_calls: required(specifics, "call-slots", unsigned)? as usize,
        max_open_messages: required(permissions, "max-open", unsigned)? as usize,
        max_attempts: u32::try_from(required(permissions, "max-attempts", unsigned)?).unwrap_or(u32::MAX),
        may_cancel: or_default(permissions, "cancel", boolean)?,
        clients_mark_retries: decode_clients_mark_retries(root)?,
        may_health_check: or_default(permissions, "probing", boolean)?,
        may_send_retry_after: or_default(permissions, "retry-after", boolean)?,
        may_hedge: or_default(permissions, "second-copies", boolean)?,
        max_retry_after: or_default(permissions, "max-retry-after", micros_from_ms)?,
        poll_endpoint_list: required(root, "discovery", decode_poll_endpoint_list)?,
        max_poll_interval: or_default(rules, "must-ask-in", micros_from_ms)?,
        min_step_interval: required(root, "granularity", micros_from_ms)?,
        overload_multiple: required(rules, "fall-multiple", number)?,
        overload_window: required(rules, "fall", micros_from_ms)?,
        slow_start_duration: required(rules, "cold", micros_from_ms)?,
        slow_start_floor: required(rules, "cold-from", number)?,
        order_key_pause: or_default(rules, "key-rest", micros_from_ms)?,
        routes: None,
    };
    let classes = names_of(categories)?;
    let tenants = names_of(realms)?;
    Ok((settings, Names { classes, tenants, zones, kinds }))
}

/// The index of this forwarder among all, from 0.
///
/// # Errors
///
/// Returns an error if the index is missing, cannot be decoded or is not below the number of forwarders. The
/// time slots of the forwarder are random then.
pub fn forwarder_index(settings: &Value) -> Result<u64, DecodeError> {
    let index = required(settings, "me", unsigned)?;
    let forwarders = required(settings, "balancers", unsigned)?;
    if index < forwarders {
        return Ok(index);
    }
    let error = Box::new(DecodeError::ForwarderIndex { index, forwarders });
    Err(DecodeError::InField { key: "me".to_owned(), error })
}

fn names_of(objects: &[Value]) -> Result<Vec<String>, DecodeError> {
    objects.iter().map(|object| required(object, "name", string)).collect()
}

/// Decodes the settings of each kind. The lists may be shorter than the list of kinds: for the remaining
/// kinds the circuit breaker is that of the destination, and a call carries one message.
fn decode_kinds(specifics: &Value, kinds: usize) -> Result<Vec<Kind>, DecodeError> {
    let per_endpoint_breaker = optional_list(specifics, "own-limits", boolean)?;
    let messages_per_call = optional_list(specifics, "per-call", unsigned)?;
    let kind = |index: usize| Kind {
        per_endpoint_breaker: per_endpoint_breaker.get(index).copied().unwrap_or(false),
        messages_per_call: messages_per_call.get(index).map_or(1, |count| *count as usize),
    };
    Ok((0..kinds).map(kind).collect())
}

fn decode_class(json: &Value) -> Result<Class, DecodeError> {
    let idempotency = required(json, "semantics", decode_idempotency)?;
    let dedup_scope = optional(json, "dedup-scope", decode_dedup_scope)?.unwrap_or(DedupScope::All);
    let deduplication_window = match idempotency {
        Idempotency::WithKey => required(json, "memory-span", micros_from_ms)?,
        Idempotency::Idempotent | Idempotency::NonIdempotent => 0,
    };
    Ok(Class {
        idempotency,
        dedup_scope,
        deduplication_window,
        latency_objective: required(json, "promise", micros_from_ms)?,
        deadline: required(json, "deadline", micros_from_ms)?,
        priority_weight: required(json, "gain", number)?,
        weight_at_deadline: or_default(json, "late-worth", number)?,
        ordered: or_default(json, "serial-by-key", boolean)?,
    })
}

fn decode_tenant(json: &Value) -> Result<Tenant, DecodeError> {
    Ok(Tenant { quota_per_s: required(json, "quota-per-s", number)? })
}

fn decode_clients_mark_retries(settings: &Value) -> Result<bool, DecodeError> {
    settings.get("callers").map_or(Ok(false), |callers| or_default(callers, "marks-retry", boolean))
}

fn decode_idempotency(json: &Value) -> Result<Idempotency, DecodeError> {
    match string(json)?.as_str() {
        "pure" => Ok(Idempotency::Idempotent),
        "token" => Ok(Idempotency::WithKey),
        "side_effect" => Ok(Idempotency::NonIdempotent),
        other => Err(DecodeError::UnknownVariant(other.to_owned())),
    }
}

fn decode_dedup_scope(json: &Value) -> Result<DedupScope, DecodeError> {
    match string(json)?.as_str() {
        // The platform calls a destination a cell, so all of its endpoints drop repeats.
        "" | "all" | "cell" => Ok(DedupScope::All),
        "zone" => Ok(DedupScope::Zone),
        other => Err(DecodeError::UnknownVariant(other.to_owned())),
    }
}

fn decode_decay(json: &Value) -> Result<Decay, DecodeError> {
    match string(json)?.as_str() {
        "linear" => Ok(Decay::Linear),
        "halving" => Ok(Decay::Halving),
        other => Err(DecodeError::UnknownVariant(other.to_owned())),
    }
}

fn decode_weight_source(json: &Value) -> Result<WeightSource, DecodeError> {
    match string(json)?.as_str() {
        "off" => Ok(WeightSource::Off),
        "nominal" => Ok(WeightSource::Nominal),
        "rough" => Ok(WeightSource::Rough),
        other => Err(DecodeError::UnknownVariant(other.to_owned())),
    }
}

fn decode_poll_endpoint_list(json: &Value) -> Result<bool, DecodeError> {
    match string(json)?.as_str() {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => Err(DecodeError::UnknownVariant(other.to_owned())),
    }
}

fn decode_lifecycle(json: &Value) -> Result<Lifecycle, DecodeError> {
    match string(json)?.as_str() {
        "IN" => Ok(Lifecycle::Listed),
        "LAME" => Ok(Lifecycle::Draining),
        "OUT" => Ok(Lifecycle::Removed),
        other => Err(UnknownName { what: "lifecycle", name: other.to_owned() }.into()),
    }
}

/// Decodes an entry of the endpoint list, which is an array. Its names are looked up in those of the
/// instance.
///
/// # Errors
///
/// Returns an error if a value is missing, has another type or is a name that is not listed.
pub fn decode_endpoint_entry(json: &Value, names: &Names) -> Result<EndpointEntry, DecodeError> {
    let values = json.as_array().ok_or(DecodeError::EntryNotAnArray)?;
    let value = |index: usize| values.get(index).unwrap_or(&Value::Null);
    let endpoint = u32::try_from(unsigned(value(0))?).map_err(|_| DecodeError::EndpointTooLarge)?;
    Ok(EndpointEntry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(unsigned(value(3))?),
        zone: ZoneId(index_of(&names.zones, &string(value(1))?, "zone")?),
        kind: KindId(index_of(&names.kinds, &string(value(2))?, "kind")?),
        lifecycle: decode_lifecycle(value(4))?,
        weight: number(value(5))?,
    })
}
