//! Reads and checks the `registry` section of the site file.

use super::fields::{read_duration, read_integer, read_list, read_text, report_wrong_type, Fields};
use super::node::{Node, NodeValue};
use crate::config_error::{ConfigError, ErrorCode, Located};
use crate::durations::format_duration;
use crate::membership::{
    HoldDown, MetadataNames, PollBackoff, PollScope, Registration, RegistryAddress, RegistrySettings,
    ShrinkGuard,
};
use crate::Micros;
use std::collections::BTreeMap;

const KEYS: &[&str] = &[
    "addresses",
    "apps",
    "vip",
    "poll",
    "timeout",
    "back-off",
    "prefer-after",
    "largest-mb",
    "metadata",
    "hold-down",
    "shrink",
    "snapshot-after",
    "register",
];
/// The shortest poll interval that is accepted, so that polls do not overload the registry.
const MIN_POLL_INTERVAL: Micros = 100_000;
const DEFAULT_POLL_INTERVAL: Micros = 1_000_000;
const DEFAULT_TIMEOUT: Micros = 2_000_000;
const DEFAULT_BACKOFF: PausePair = PausePair { first: 200_000, max: 10_000_000 };
const DEFAULT_PREFERRED_RETRY_AFTER: Micros = 60_000_000;
const DEFAULT_MAX_RESPONSE_MB: u64 = 32;
const DEFAULT_HOLD_DOWN: PausePair = PausePair { first: 1_000_000, max: 30_000_000 };
const DEFAULT_HOLD_DOWN_FORGET_AFTER: Micros = 60_000_000;
const DEFAULT_SHRINK_GUARD: ShrinkGuard = ShrinkGuard { max_missing_share: 0.3, confirm_after: 10_000_000 };
const DEFAULT_USE_SNAPSHOT_AFTER: Micros = 3_000_000;
const DEFAULT_RENEWAL_INTERVAL: Micros = 30_000_000;
const DEFAULT_LEASE_DURATION: Micros = 90_000_000;
const BYTES_PER_MB: u64 = 1_000_000;

/// The limits of a pause that grows from a first to a longest value.
#[derive(Clone, Copy)]
struct PausePair {
    first: Micros,
    max: Micros,
}

/// Reads the section. The defaults are those of Eureka's own clients, or put less load on the registry.
pub fn read(node: &Node, errors: &mut Vec<ConfigError>) -> Option<RegistrySettings> {
    let section = Fields::open(node, "`registry`", KEYS, errors)?;
    let poll_interval = read_poll_interval(node, &section, errors);
    let max_response_mb = read_max_response_mb(&section, errors).unwrap_or(DEFAULT_MAX_RESPONSE_MB);
    let hold_down = read_hold_down(&section, errors);
    Some(RegistrySettings {
        addresses: read_addresses(&section, errors),
        scope: read_scope(&section, errors),
        poll_interval,
        timeout: read_duration_or(&section, "timeout", DEFAULT_TIMEOUT, errors),
        backoff: read_backoff(&section, errors),
        preferred_retry_after: read_duration_or(
            &section,
            "prefer-after",
            DEFAULT_PREFERRED_RETRY_AFTER,
            errors,
        ),
        max_response_bytes: (max_response_mb * BYTES_PER_MB) as usize,
        metadata: read_metadata_names(&section, errors),
        hold_down,
        shrink_guard: read_shrink_guard(&section, errors),
        use_snapshot_after: read_duration_or(&section, "snapshot-after", DEFAULT_USE_SNAPSHOT_AFTER, errors),
        registration: read_registration(&section, errors),
    })
}

fn read_duration_or(
    fields: &Fields<'_>,
    key: &str,
    default: Micros,
    errors: &mut Vec<ConfigError>,
) -> Micros {
    let duration = fields.get(key).and_then(|node| read_duration(node, &format!("`{key}`"), errors));
    duration.map_or(default, |duration| duration.value)
}

fn read_poll_interval(node: &Node, section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> Micros {
    let interval = read_duration_or(section, "poll", DEFAULT_POLL_INTERVAL, errors);
    if interval < MIN_POLL_INTERVAL {
        let at = section.get("poll").map_or(node.at, |poll| poll.at);
        let (given, min) = (format_duration(interval), format_duration(MIN_POLL_INTERVAL));
        let reason = format!("polls every {given} overload a registry; the interval must be {min} or more");
        errors.push(ConfigError::new(at, ErrorCode::Time, reason));
    }
    interval
}

fn read_max_response_mb(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> Option<u64> {
    let node = section.get("largest-mb")?;
    let mb = read_integer(node, "`largest-mb`", errors)?;
    if !(1..=1024).contains(&mb) {
        errors.push(ConfigError::new(node.at, ErrorCode::Type, "`largest-mb` must be 1 to 1024"));
    }
    Some(mb)
}

/// Reads a first and a longest pause from a map that may have further keys.
fn read_pause_pair(
    section: &Fields<'_>,
    key: &str,
    default: PausePair,
    further_keys: &[&str],
    errors: &mut Vec<ConfigError>,
) -> PausePair {
    let Some(node) = section.get(key) else { return default };
    let keys = [&["first", "longest"], further_keys].concat();
    let Some(fields) = Fields::open(node, &format!("`{key}`"), &keys, errors) else { return default };
    let first = fields.get("first").and_then(|node| read_duration(node, "`first`", errors));
    let longest = fields.get("longest").and_then(|node| read_duration(node, "`longest`", errors));
    let pair = PausePair {
        first: first.map_or(default.first, |first| first.value),
        max: longest.map_or(default.max, |longest| longest.value),
    };
    if pair.max < pair.first {
        let at = longest.or(first).map_or(node.at, |given| given.at);
        let (max, first) = (format_duration(pair.max), format_duration(pair.first));
        let reason = format!("the longest pause {max} is shorter than the first, {first}");
        errors.push(ConfigError::new(at, ErrorCode::Pause, reason));
    }
    pair
}

fn read_backoff(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> PollBackoff {
    let PausePair { first, max } = read_pause_pair(section, "back-off", DEFAULT_BACKOFF, &[], errors);
    PollBackoff { first, max }
}

fn read_hold_down(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> HoldDown {
    let PausePair { first, max } =
        read_pause_pair(section, "hold-down", DEFAULT_HOLD_DOWN, &["forget"], errors);
    let forget = section.get("hold-down").and_then(|node| match &node.value {
        NodeValue::Map(fields) => fields.iter().find(|(key, _)| key.value == "forget"),
        _ => None,
    });
    let forget_after = forget.and_then(|(_, node)| read_duration(node, "`forget`", errors));
    let forget_after = forget_after.map_or(DEFAULT_HOLD_DOWN_FORGET_AFTER, |given| given.value);
    HoldDown { first, max, forget_after }
}

/// Parses an address such as `http://10.0.0.5:8761/eureka/v2`; `None` if it is invalid.
fn parse_address(text: &str) -> Option<RegistryAddress> {
    let rest = text.strip_prefix("http://")?;
    let (host_and_port, path) = rest.split_once('/').unwrap_or((rest, ""));
    let (host, port) = host_and_port.rsplit_once(':')?;
    let host = host.trim_start_matches('[').trim_end_matches(']');
    let path = path.trim_end_matches('/');
    let is_printable = |text: &str| text.chars().all(|c| c.is_ascii_graphic());
    if host.is_empty() || !is_printable(host) || !is_printable(path) {
        return None;
    }
    let path_prefix = if path.is_empty() { String::new() } else { format!("/{path}") };
    Some(RegistryAddress { host: host.to_owned(), port: port.parse().ok()?, path_prefix })
}

fn read_address(node: &Node, errors: &mut Vec<ConfigError>) -> Option<Located<RegistryAddress>> {
    let given = read_text(node, "an address", errors)?;
    let address = parse_address(&given.value);
    if address.is_none() {
        let reason = format!(
            "`{}` is not a registry address; write it as http://HOST:PORT/PREFIX, such as \
             http://10.0.0.5:8761/eureka/v2",
            given.value
        );
        errors.push(ConfigError::new(given.at, ErrorCode::Address, reason));
    }
    address.map(|value| Located { value, at: given.at })
}

fn read_addresses(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> Vec<RegistryAddress> {
    let Some(node) = section.require("addresses", errors) else { return Vec::new() };
    let Some(items) = read_list(node, "`addresses`", errors) else { return Vec::new() };
    if items.is_empty() {
        errors.push(ConfigError::new(node.at, ErrorCode::Address, "`addresses` lists no registry"));
    }
    let addresses: Vec<_> = items.iter().filter_map(|item| read_address(item, errors)).collect();
    for (index, repeated) in addresses.iter().enumerate() {
        if let Some(first) = addresses[..index].iter().find(|earlier| earlier.value == repeated.value) {
            let reason = format!("this address stands in line {} already", first.at.line);
            errors.push(ConfigError::new(repeated.at, ErrorCode::Address, reason));
        }
    }
    addresses.into_iter().map(|address| address.value).collect()
}

fn read_scope(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> PollScope {
    let items = section.get("apps").and_then(|node| read_list(node, "`apps`", errors)).unwrap_or_default();
    let applications: Vec<String> = items
        .iter()
        .filter_map(|item| read_text(item, "an application", errors))
        .map(|application| application.value)
        .collect();
    let vip = section.get("vip").and_then(|node| read_text(node, "`vip`", errors));
    if let Some(vip) = vip {
        if !applications.is_empty() {
            let reason = "`vip` and `apps` cannot be combined; remove one of them";
            errors.push(ConfigError::new(vip.at, ErrorCode::Type, reason));
        }
        return PollScope::VirtualAddress(vip.value);
    }
    if applications.is_empty() {
        PollScope::All
    } else {
        PollScope::Applications(applications)
    }
}

fn read_metadata_names(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> MetadataNames {
    let mut names = MetadataNames {
        destination: "partner".into(),
        kind: "kind".into(),
        zone: "zone".into(),
        weight: "weight".into(),
    };
    let Some(node) = section.get("metadata") else { return names };
    let keys = ["destination", "kind", "zone", "weight"];
    let Some(fields) = Fields::open(node, "`metadata`", &keys, errors) else { return names };
    let names_by_key = [&mut names.destination, &mut names.kind, &mut names.zone, &mut names.weight];
    for (key, name) in keys.into_iter().zip(names_by_key) {
        let given = fields.get(key).and_then(|node| read_text(node, &format!("`{key}`"), errors));
        if let Some(given) = given {
            *name = given.value;
        }
    }
    names
}

fn read_shrink_guard(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> ShrinkGuard {
    let mut guard = DEFAULT_SHRINK_GUARD;
    let Some(node) = section.get("shrink") else { return guard };
    let Some(fields) = Fields::open(node, "`shrink`", &["share", "confirm"], errors) else { return guard };
    if let Some(share) = fields.get("share") {
        match share.value {
            NodeValue::Float(value) if value > 0.0 && value < 1.0 => guard.max_missing_share = value,
            _ => report_wrong_type(share, "`share`", "a share between 0 and 1", errors),
        }
    }
    guard.confirm_after = read_duration_or(&fields, "confirm", guard.confirm_after, errors);
    guard
}

fn read_registration(section: &Fields<'_>, errors: &mut Vec<ConfigError>) -> Option<Registration> {
    let node = section.get("register")?;
    let fields = Fields::open(node, "`register`", &["app", "renew", "lease", "metadata"], errors)?;
    let application = fields.require("app", errors).and_then(|node| read_text(node, "`app`", errors));
    let renewal_interval = read_duration_or(&fields, "renew", DEFAULT_RENEWAL_INTERVAL, errors);
    let lease_duration = read_duration_or(&fields, "lease", DEFAULT_LEASE_DURATION, errors);
    if lease_duration <= renewal_interval {
        let at = fields.get("lease").or(fields.get("renew")).map_or(node.at, |given| given.at);
        let (lease, renewal) = (format_duration(lease_duration), format_duration(renewal_interval));
        let reason =
            format!("a lease of {lease} expires before its renewal after {renewal}; it must be longer");
        errors.push(ConfigError::new(at, ErrorCode::Lease, reason));
    }
    let metadata = read_published_metadata(&fields, errors);
    Some(Registration { application: application?.value, renewal_interval, lease_duration, metadata })
}

fn read_published_metadata(fields: &Fields<'_>, errors: &mut Vec<ConfigError>) -> BTreeMap<String, String> {
    let mut metadata = BTreeMap::new();
    let Some(node) = fields.get("metadata") else { return metadata };
    let NodeValue::Map(entries) = &node.value else {
        report_wrong_type(node, "`metadata`", "a map", errors);
        return metadata;
    };
    for (key, value) in entries {
        if let Some(text) = read_text(value, &format!("`{}`", key.value), errors) {
            metadata.insert(key.value.clone(), text.value);
        }
    }
    metadata
}
