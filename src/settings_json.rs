//! The settings of an instance, from the wire's words to the interface's types. The simulator's wire and the
//! forwarder's configuration hold the same object.

use crate::{
    Class, Decay, DedupScope, DestinationId, EndpointEntry, EndpointId, Idempotency, Kind, KindId, Lifecycle,
    Micros, Settings, Tenant, WeightSource, ZoneId,
};
use serde_json::Value;

/// A value as text.
pub fn text(v: &Value) -> Result<String, String> {
    v.as_str().map(str::to_owned).ok_or_else(|| format!("expected a text, got {v}"))
}

/// A value as a number.
pub fn number(v: &Value) -> Result<f64, String> {
    v.as_f64().ok_or_else(|| format!("expected a number, got {v}"))
}

/// A value as a whole number that is not negative.
pub fn whole(v: &Value) -> Result<u64, String> {
    v.as_u64().ok_or_else(|| format!("expected a whole number, got {v}"))
}

/// A value as true or false.
pub fn flag(v: &Value) -> Result<bool, String> {
    v.as_bool().ok_or_else(|| format!("expected true or false, got {v}"))
}

/// A time in milliseconds as microseconds.
pub fn micros(v: &Value) -> Result<Micros, String> {
    let ms = number(v)?;
    if !(0.0..1e15).contains(&ms) {
        return Err(format!("expected a time, got {v}"));
    }
    Ok((ms * 1000.0).round() as Micros)
}

/// Names that the settings list, by which the wire refers to classes, tenants, zones and kinds.
#[derive(Debug, Default, PartialEq)]
pub struct Names {
    /// By [`crate::ClassId`].
    pub classes: Vec<String>,
    /// By [`crate::TenantId`].
    pub tenants: Vec<String>,
    /// By [`ZoneId`].
    pub zones: Vec<String>,
    /// By [`KindId`].
    pub kinds: Vec<String>,
}

/// The position of a name, or a message that it is unknown.
pub fn index(names: &[String], name: &str, what: &str) -> Result<usize, String> {
    names.iter().position(|n| n == name).ok_or_else(|| format!("unknown {what} `{name}`"))
}

/// A field that must be there.
pub fn field<'a>(v: &'a Value, key: &str) -> Result<&'a Value, String> {
    v.get(key).filter(|f| !f.is_null()).ok_or_else(|| format!("missing setting `{key}`"))
}

/// A field that must be there, read.
pub fn in_field<T>(v: &Value, key: &str, read: fn(&Value) -> Result<T, String>) -> Result<T, String> {
    read(field(v, key)?).map_err(|e| format!("setting `{key}`: {e}"))
}

/// A setting that may be absent, read as zero or false then.
pub fn maybe<T: Default>(v: &Value, key: &str, read: fn(&Value) -> Result<T, String>) -> Result<T, String> {
    if v.get(key).is_none_or(Value::is_null) {
        return Ok(T::default());
    }
    in_field(v, key, read)
}

fn list<'a>(v: &'a Value, key: &str) -> Result<&'a Vec<Value>, String> {
    field(v, key)?.as_array().ok_or_else(|| format!("setting `{key}`: not a list"))
}

/// A list that may be absent, empty then.
fn maybe_list(v: &Value, key: &str) -> Result<Vec<Value>, String> {
    if v.get(key).is_none_or(Value::is_null) {
        return Ok(Vec::new());
    }
    list(v, key).cloned()
}

/// The values of a list, each read.
fn each<T>(list: &[Value], key: &str, read: fn(&Value) -> Result<T, String>) -> Result<Vec<T>, String> {
    list.iter().map(|v| read(v).map_err(|e| format!("setting `{key}`: {e}"))).collect()
}

fn names(v: &Value, key: &str) -> Result<Vec<String>, String> {
    each(list(v, key)?, key, text)
}

fn class(v: &Value) -> Result<Class, String> {
    let effect = match in_field(v, "semantics", text)?.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::WithKey,
        "side_effect" => Idempotency::NonIdempotent,
        other => return Err(format!("setting `semantics`: unknown word `{other}`")),
    };
    let dedup_scope = match maybe(v, "dedup-scope", text)?.as_str() {
        // A cell is a destination, so all of its endpoints drop repeats.
        "" | "all" | "cell" => DedupScope::All,
        "zone" => DedupScope::Zone,
        other => return Err(format!("setting `dedup-scope`: unknown word `{other}`")),
    };
    let memory_span =
        if effect == Idempotency::WithKey { in_field(v, "memory-span", micros)? } else { Default::default() };
    Ok(Class {
        idempotency: effect,
        dedup_scope,
        deduplication_window: memory_span,
        latency_objective: in_field(v, "promise", micros)?,
        deadline: in_field(v, "deadline", micros)?,
        priority_weight: in_field(v, "gain", number)?,
        weight_at_deadline: maybe(v, "late-worth", number)?,
        ordered: maybe(v, "serial-by-key", flag)?,
    })
}

/// The instance's number among all, or why it has none that can be used: it then goes by chance.
pub fn own_number(v: &Value) -> Result<u64, String> {
    let number = in_field(v, "me", whole)?;
    let count = in_field(v, "balancers", whole)?;
    if number >= count {
        return Err(format!("setting `me`: {number} is not under the count of {count}"));
    }
    Ok(number)
}

/// Reads the settings of an instance.
pub fn settings(v: &Value) -> Result<(Settings, Names), String> {
    let special = field(v, "specifics")?;
    let allow = field(v, "permissions")?;
    let rules = field(v, "rules")?;
    let fees = field(v, "fees")?;
    let zones = names(v, "azs")?;
    let kinds = names(v, "kinds")?;
    let categories = list(v, "categories")?;
    let realms = list(v, "realms")?;
    let apart = each(&maybe_list(special, "own-limits")?, "own-limits", flag)?;
    let per_call = each(&maybe_list(special, "per-call")?, "per-call", whole)?;
    // A list that is shorter than the kinds leaves the rest sharing limits, one message a call.
    let kind = |i: usize| Kind {
        per_endpoint_breaker: apart.get(i).is_some_and(|a| *a),
        messages_per_call: per_call.get(i).map_or(1, |n| *n as usize),
    };
    let mut tolls: Vec<f64> = each(&maybe_list(special, "toll")?, "toll", number)?;
    tolls.resize(zones.len(), 0.0);
    let zone = in_field(v, "zone", text)?;
    let tenant = |r: &Value| Ok(Tenant { quota_per_s: in_field(r, "quota-per-s", number)? });
    let settings = Settings {
        forwarders: in_field(v, "balancers", whole)? as usize,
        forwarder_index: own_number(v).ok(),
        wall_clock_offset: 0,
        zone: ZoneId(index(&zones, &zone, "zone")?),
        zone_costs: tolls,
        cross_zone_cost: maybe(fees, "cross-zone", number)?,
        connection_cost: maybe(fees, "handshake", number)?,
        classes: categories.iter().map(class).collect::<Result<_, _>>()?,
        tenants: realms.iter().map(tenant).collect::<Result<_, String>>()?,
        over_quota_weight: maybe(v, "over-share-worth", number)?,
        kinds: (0..kinds.len()).map(kind).collect(),
        decay: match in_field(special, "late", text)?.as_str() {
            "linear" => Decay::Linear,
            "halving" => Decay::Halving,
            other => return Err(format!("setting `late`: unknown word `{other}`")),
        },
        weights: match in_field(v, "weight-source", text)?.as_str() {
            "off" => WeightSource::Off,
            "nominal" => WeightSource::Nominal,
            "rough" => WeightSource::Rough,
            other => return Err(format!("setting `weight-source`: unknown word `{other}`")),
        },
        max_concurrent_calls: in_field(special, "call-slots", whole)? as usize,
        max_open_messages: in_field(allow, "max-open", whole)? as usize,
        max_attempts: u32::try_from(in_field(allow, "max-attempts", whole)?).unwrap_or(u32::MAX),
        may_cancel: maybe(allow, "cancel", flag)?,
        clients_mark_retries: v.get("callers").map_or(Ok(false), |c| maybe(c, "marks-retry", flag))?,
        may_health_check: maybe(allow, "probing", flag)?,
        may_send_retry_after: maybe(allow, "retry-after", flag)?,
        may_hedge: maybe(allow, "second-copies", flag)?,
        max_retry_after: maybe(allow, "max-retry-after", micros)?,
        poll_endpoint_list: match in_field(v, "discovery", text)?.as_str() {
            "pushed" => false,
            "on_request" => true,
            other => return Err(format!("setting `discovery`: unknown word `{other}`")),
        },
        max_poll_interval: maybe(rules, "must-ask-in", micros)?,
        min_step_interval: in_field(v, "granularity", micros)?,
        overload_multiple: in_field(rules, "fall-multiple", number)?,
        overload_window: in_field(rules, "fall", micros)?,
        slow_start: in_field(rules, "cold", micros)?,
        slow_start_floor: in_field(rules, "cold-from", number)?,
        order_key_pause: maybe(rules, "key-rest", micros)?,
        routes: None,
    };
    let category_names = categories.iter().map(|c| in_field(c, "name", text)).collect::<Result<_, _>>()?;
    let tenants = realms.iter().map(|r| in_field(r, "name", text)).collect::<Result<_, _>>()?;
    Ok((settings, Names { classes: category_names, tenants, zones, kinds }))
}

/// Reads an entry of a list, by the names of the instance it goes to.
pub fn entry(v: &Value, names: &Names) -> Result<EndpointEntry, String> {
    let all = v.as_array().ok_or("a list entry is not an array")?;
    let at = |i: usize| all.get(i).unwrap_or(&Value::Null);
    let endpoint = u32::try_from(whole(at(0))?).map_err(|_| "an endpoint is a number below 2^32")?;
    Ok(EndpointEntry {
        endpoint: EndpointId(endpoint),
        destination: DestinationId(whole(at(3))?),
        zone: ZoneId(index(&names.zones, &text(at(1))?, "zone")?),
        kind: KindId(index(&names.kinds, &text(at(2))?, "kind")?),
        lifecycle: match text(at(4))?.as_str() {
            "IN" => Lifecycle::Listed,
            "LAME" => Lifecycle::Draining,
            "OUT" => Lifecycle::Removed,
            other => return Err(format!("unknown lifecycle `{other}`")),
        },
        weight: number(at(5))?,
    })
}
