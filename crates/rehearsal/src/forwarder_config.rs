//! A day's settings as a forwarder's configuration file and endpoint list entries.

use crate::world::World;
use cedarbridge::{Lifecycle, Micros};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// Descriptors that a forwarder may open.
const SOCKETS: usize = 1024;

fn ms(of: Micros) -> f64 {
    of as f64 / 1e3
}

/// The addresses of a forwarder.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderAddresses {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call, if they may.
    pub operator: Option<SocketAddr>,
    /// Where the platform's agent listens.
    pub agent: SocketAddr,
}

/// The configuration of a forwarder.
pub fn config(world: &World, forwarder: usize, places: ForwarderAddresses, state: &Path) -> Value {
    let s = &world.settings;
    let class = &s.classes[0];
    let full: f64 = s.tenants.iter().map(|t| t.quota_per_s).sum();
    let realm = |(name, t): (&String, &cedarbridge::Tenant)| json!({"name": name, "portion": t.quota_per_s / full, "quota-per-s": t.quota_per_s});
    json!({
        "name": format!("forwarder-{}", forwarder + 1), "listen": places.listen.to_string(),
        "operator": places.operator.map(|o| o.to_string()), "discovery": places.agent.to_string(), "seed": format!("{:x}", 0x5eed + forwarder), "state": state,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS.max(64 + 4 * s.max_concurrent_calls), "disk_mb": 16},
        "settings": {
            "azs": world.names.zones, "zone": world.names.zones[0], "balancers": s.forwarders, "me": world.fleet[forwarder].number,
            "kinds": world.names.kinds, "discovery": "pushed", "granularity": ms(s.min_step_interval),
            "weight-source": "rough", "callers": {"marks-retry": s.clients_mark_retries},
            "categories": [{"name": world.names.classes[0], "semantics": "token", "dedup-scope": "all",
                "memory-span": ms(class.deduplication_window), "promise": ms(class.latency_objective), "deadline": ms(class.deadline),
                "gain": class.priority_weight, "late-worth": class.weight_at_deadline}],
            "realms": world.names.tenants.iter().zip(&s.tenants).map(realm).collect::<Vec<_>>(),
            "over-share-worth": s.over_quota_weight,
            "fees": {"handshake": s.connection_cost},
            "permissions": {"max-open": s.max_open_messages, "max-attempts": s.max_attempts, "cancel": s.may_cancel,
                "retry-after": s.may_send_retry_after, "max-retry-after": ms(s.max_retry_after), "conn-idle": 5000.0,
                "dial-timeout": 1500.0},
            "rules": {"fall-multiple": s.overload_multiple, "fall": ms(s.overload_window), "cold": ms(s.slow_start_duration),
                "cold-from": s.slow_start_floor, "drain-grace": 250.0},
            "specifics": {"call-slots": s.max_concurrent_calls, "late": "halving",
                "per-call": s.kinds.iter().map(|k| k.messages_per_call).collect::<Vec<_>>()},
        },
    })
}

/// An entry of the list, in the agent's form.
pub fn entry(world: &World, endpoint: usize, lifecycle: Lifecycle, address: SocketAddr) -> Value {
    let e = &world.list[endpoint].entry;
    let state = match lifecycle {
        Lifecycle::Listed => "active",
        Lifecycle::Draining => "leaving",
        Lifecycle::Removed => "left",
    };
    json!({"instanceId": format!("e-{}", e.endpoint.0), "hostPort": address.to_string(),
        "zone": world.names.zones[e.zone.0], "machineType": world.names.kinds[e.kind.0],
        "cell": e.destination.0, "lifecycle": state, "weight": e.weight, "startedAtMs": 0})
}
