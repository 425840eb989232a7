//! The section `registry`: read and checked.

use super::fields::{
    format_duration, read_duration, read_list, read_text, read_whole_number, report_wrong_type, Fields,
};
use super::node::{Node, NodeValue};
use crate::config_error::{ConfigError, ErrorCode, Located};
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
/// Polled more often than this, a registry is harmed.
const LEAST_POLL: Micros = 100_000;
const MB: u64 = 1_000_000;

/// A time, or what holds where none is given.
fn time(fields: &Fields<'_>, key: &str, otherwise: Micros, breaches: &mut Vec<ConfigError>) -> Micros {
    let read = fields.get(key).and_then(|n| read_duration(n, &format!("`{key}`"), breaches));
    read.map_or(otherwise, |t| t.value)
}

/// A first time and a longest one.
fn pair(
    section: &Fields<'_>,
    key: &str,
    otherwise: (Micros, Micros),
    more: &[&str],
    breaches: &mut Vec<ConfigError>,
) -> (Micros, Micros) {
    let Some(node) = section.get(key) else { return otherwise };
    let keys = [&["first", "longest"], more].concat();
    let Some(fields) = Fields::open(node, &format!("`{key}`"), &keys, breaches) else { return otherwise };
    let first = fields.get("first").and_then(|n| read_duration(n, "`first`", breaches));
    let longest = fields.get("longest").and_then(|n| read_duration(n, "`longest`", breaches));
    let (a, b) = (first.map_or(otherwise.0, |t| t.value), longest.map_or(otherwise.1, |t| t.value));
    if b < a {
        let at = longest.or(first).map_or(node.at, |t| t.at);
        let reason =
            format!("the longest, {}, is under the first, {}", format_duration(b), format_duration(a));
        breaches.push(ConfigError::new(at, ErrorCode::Pause, reason));
    }
    (a, b)
}

fn address(node: &Node, breaches: &mut Vec<ConfigError>) -> Option<Located<RegistryAddress>> {
    let given = read_text(node, "an address", breaches)?;
    let read = || {
        let rest = given.value.strip_prefix("http://")?;
        let (place, path) = rest.split_once('/').unwrap_or((rest, ""));
        let (host, port) = place.rsplit_once(':')?;
        let host = host.trim_start_matches('[').trim_end_matches(']');
        let path = path.trim_end_matches('/');
        let plain = |s: &str| s.chars().all(|c| c.is_ascii_graphic());
        let prefix = if path.is_empty() { String::new() } else { format!("/{path}") };
        let address =
            RegistryAddress { host: host.to_owned(), port: port.parse().ok()?, path_prefix: prefix };
        (!host.is_empty() && plain(host) && plain(path)).then_some(address)
    };
    let read = read();
    if read.is_none() {
        let reason = format!(
            "`{}` is no address of a registry; write it as http://HOST:PORT/PREFIX, such as \
             http://10.0.0.5:8761/eureka/v2",
            given.value
        );
        breaches.push(ConfigError::new(given.at, ErrorCode::Address, reason));
    }
    read.map(|value| Located { value, at: given.at })
}

fn addresses(section: &Fields<'_>, breaches: &mut Vec<ConfigError>) -> Vec<RegistryAddress> {
    let Some(node) = section.require("addresses", breaches) else { return Vec::new() };
    let Some(all) = read_list(node, "`addresses`", breaches) else { return Vec::new() };
    if all.is_empty() {
        breaches.push(ConfigError::new(node.at, ErrorCode::Address, "`addresses` lists no registry"));
    }
    let read: Vec<Located<RegistryAddress>> = all.iter().filter_map(|n| address(n, breaches)).collect();
    for (n, a) in read.iter().enumerate() {
        if let Some(first) = read[..n].iter().find(|b| b.value == a.value) {
            let reason = format!("this address stands in line {} already", first.at.line);
            breaches.push(ConfigError::new(a.at, ErrorCode::Address, reason));
        }
    }
    read.into_iter().map(|a| a.value).collect()
}

fn ask(section: &Fields<'_>, breaches: &mut Vec<ConfigError>) -> PollScope {
    let apps = section.get("apps").and_then(|n| read_list(n, "`apps`", breaches));
    let apps: Vec<String> = apps
        .unwrap_or_default()
        .iter()
        .filter_map(|n| read_text(n, "an application", breaches).map(|t| t.value))
        .collect();
    let vip = section.get("vip").and_then(|n| read_text(n, "`vip`", breaches));
    if let Some(vip) = vip {
        if !apps.is_empty() {
            let reason = "`vip` and `apps` cannot both be asked for; leave one out";
            breaches.push(ConfigError::new(vip.at, ErrorCode::Type, reason));
        }
        return PollScope::VirtualAddress(vip.value);
    }
    if apps.is_empty() {
        PollScope::All
    } else {
        PollScope::Applications(apps)
    }
}

fn metadata(section: &Fields<'_>, breaches: &mut Vec<ConfigError>) -> MetadataNames {
    let mut names = MetadataNames {
        destination: "partner".into(),
        kind: "kind".into(),
        zone: "zone".into(),
        weight: "weight".into(),
    };
    let Some(node) = section.get("metadata") else { return names };
    let keys = ["destination", "kind", "zone", "weight"];
    let Some(fields) = Fields::open(node, "`metadata`", &keys, breaches) else { return names };
    let into = [&mut names.destination, &mut names.kind, &mut names.zone, &mut names.weight];
    for (key, name) in keys.into_iter().zip(into) {
        let read = fields.get(key).and_then(|n| read_text(n, &format!("`{key}`"), breaches));
        read.into_iter().for_each(|t| *name = t.value);
    }
    names
}

fn shrink(section: &Fields<'_>, breaches: &mut Vec<ConfigError>) -> ShrinkGuard {
    let mut shrink = ShrinkGuard { max_missing_share: 0.3, confirm_after: 10_000_000 };
    let Some(node) = section.get("shrink") else { return shrink };
    let Some(fields) = Fields::open(node, "`shrink`", &["share", "confirm"], breaches) else { return shrink };
    if let Some(share) = fields.get("share") {
        match share.value {
            NodeValue::Real(x) if x > 0.0 && x < 1.0 => shrink.max_missing_share = x,
            _ => report_wrong_type(share, "`share`", "a share between 0 and 1", breaches),
        }
    }
    shrink.confirm_after = time(&fields, "confirm", shrink.confirm_after, breaches);
    shrink
}

fn register(section: &Fields<'_>, breaches: &mut Vec<ConfigError>) -> Option<Registration> {
    let node = section.get("register")?;
    let fields = Fields::open(node, "`register`", &["app", "renew", "lease", "metadata"], breaches)?;
    let app = fields.require("app", breaches).and_then(|n| read_text(n, "`app`", breaches));
    let renew = time(&fields, "renew", 30_000_000, breaches);
    let lease = time(&fields, "lease", 90_000_000, breaches);
    if lease <= renew {
        let at = fields.get("lease").or(fields.get("renew")).map_or(node.at, |n| n.at);
        let (a, b) = (format_duration(lease), format_duration(renew));
        let reason = format!("a lease of {a} ends before it is renewed after {b}; it must be longer");
        breaches.push(ConfigError::new(at, ErrorCode::Lease, reason));
    }
    let mut told = BTreeMap::new();
    if let Some(node) = fields.get("metadata") {
        match &node.value {
            NodeValue::Map(all) => {
                for (key, value) in all {
                    if let Some(v) = read_text(value, &format!("`{}`", key.value), breaches) {
                        told.insert(key.value.clone(), v.value);
                    }
                }
            }
            _ => report_wrong_type(node, "`metadata`", "a map", breaches),
        }
    }
    Some(Registration {
        application: app?.value,
        renewal_interval: renew,
        lease_duration: lease,
        metadata: told,
    })
}

fn backoff(section: &Fields<'_>, breaches: &mut Vec<ConfigError>) -> PollBackoff {
    let (first, max) = pair(section, "back-off", (200_000, 10_000_000), &[], breaches);
    PollBackoff { first, max }
}

/// Reads the section; what it leaves out has the figures that Eureka's own clients use, or milder ones.
pub fn read(node: &Node, breaches: &mut Vec<ConfigError>) -> Option<RegistrySettings> {
    let section = Fields::open(node, "`registry`", KEYS, breaches)?;
    let poll = time(&section, "poll", 1_000_000, breaches);
    if poll < LEAST_POLL {
        let at = section.get("poll").map_or(node.at, |n| n.at);
        let reason = format!(
            "polls every {} harm a registry; {} at least",
            format_duration(poll),
            format_duration(LEAST_POLL)
        );
        breaches.push(ConfigError::new(at, ErrorCode::Time, reason));
    }
    let largest = section.get("largest-mb").and_then(|n| {
        let mb = read_whole_number(n, "`largest-mb`", breaches)?;
        if !(1..=1024).contains(&mb) {
            breaches.push(ConfigError::new(n.at, ErrorCode::Type, "`largest-mb` must be 1 to 1024"));
        }
        Some(mb)
    });
    let hold = pair(&section, "hold-down", (1_000_000, 30_000_000), &["forget"], breaches);
    let forget = section.get("hold-down").and_then(|n| match &n.value {
        NodeValue::Map(all) => all.iter().find(|f| f.0.value == "forget").map(|f| &f.1),
        _ => None,
    });
    let forget = forget.and_then(|n| read_duration(n, "`forget`", breaches)).map_or(60_000_000, |t| t.value);
    Some(RegistrySettings {
        addresses: addresses(&section, breaches),
        scope: ask(&section, breaches),
        poll_interval: poll,
        timeout: time(&section, "timeout", 2_000_000, breaches),
        backoff: backoff(&section, breaches),
        preferred_retry_after: time(&section, "prefer-after", 60_000_000, breaches),
        max_response_bytes: (largest.unwrap_or(32) * MB) as usize,
        metadata: metadata(&section, breaches),
        hold_down: HoldDown { first: hold.0, max: hold.1, forget_after: forget },
        shrink_guard: shrink(&section, breaches),
        use_snapshot_after: time(&section, "snapshot-after", 3_000_000, breaches),
        registration: register(&section, breaches),
    })
}
