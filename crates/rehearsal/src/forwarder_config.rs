//! The configuration file of a forwarder and the entries of its endpoint list, for an environment.

use crate::environment::Environment;
use cedarbridge::{Lifecycle, Micros};
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// The smallest limit of a forwarder's sockets.
const MIN_SOCKETS: usize = 1024;

fn ms(time: Micros) -> f64 {
    time as f64 / 1e3
}

/// The addresses in a forwarder's configuration.
#[derive(Clone, Copy, Debug)]
pub struct ForwarderAddresses {
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the operator interface; `None` to disable the interface.
    pub operator: Option<SocketAddr>,
    /// The address of the platform's agent.
    pub agent: SocketAddr,
}

/// The configuration file of a forwarder, in JSON; `state` is the folder of its journal.
pub fn configuration_json(
    environment: &Environment,
    forwarder: usize,
    addresses: ForwarderAddresses,
    state: &Path,
) -> Value {
    let settings = &environment.settings;
    let class = &settings.classes[0];
    let full: f64 = settings.tenants.iter().map(|t| t.quota_per_s).sum();
    let realm = |(name, tenant): (&String, &cedarbridge::Tenant)| json!({"name": name, "portion": tenant.quota_per_s / full, "quota-per-s": tenant.quota_per_s});
    json!({
        "name": format!("forwarder-{}", forwarder + 1), "listen": addresses.listen.to_string(),
        "operator": addresses.operator.map(|o| o.to_string()), "discovery": addresses.agent.to_string(),
        "seed": format!("{:x}", 0x5eed + forwarder), "state": state,
        "limits": {"cores": 1.0, "memory_mb": 192,
            "sockets": MIN_SOCKETS.max(64 + 4 * settings.max_concurrent_calls), "disk_mb": 16},
        "settings": {
            "azs": environment.names.zones, "zone": environment.names.zones[0], "balancers": settings.forwarders,
            "me": environment.fleet[forwarder].index,
            "kinds": environment.names.kinds, "discovery": "pushed", "granularity": ms(settings.min_step_interval),
            "weight-source": "rough", "callers": {"marks-retry": settings.clients_mark_retries},
            "categories": [{"name": environment.names.classes[0], "semantics": "token", "dedup-scope": "all",
                "memory-span": ms(class.deduplication_window), "promise": ms(class.latency_objective),
                "deadline": ms(class.deadline),
                "gain": class.priority_weight, "late-worth": class.weight_at_deadline}],
            "realms": environment.names.tenants.iter().zip(&settings.tenants).map(realm).collect::<Vec<_>>(),
            "over-share-worth": settings.over_quota_weight,
            "fees": {"handshake": settings.connection_cost},
            "permissions": {"max-open": settings.max_open_messages, "max-attempts": settings.max_attempts,
                "cancel": settings.may_cancel, "retry-after": settings.may_send_retry_after,
                "max-retry-after": ms(settings.max_retry_after), "conn-idle": 5000.0, "dial-timeout": 1500.0},
            "rules": {"fall-multiple": settings.overload_multiple, "fall": ms(settings.overload_window),
                "cold": ms(settings.slow_start_duration), "cold-from": settings.slow_start_floor, "drain-grace": 250.0},
            "specifics": {"call-slots": settings.max_concurrent_calls, "late": "halving",
                "per-call": settings.kinds.iter().map(|k| k.messages_per_call).collect::<Vec<_>>()},
        },
    })
}

/// An entry of the endpoint list, in the JSON that the platform's agent sends.
pub fn endpoint_entry_json(
    environment: &Environment,
    endpoint: usize,
    lifecycle: Lifecycle,
    address: SocketAddr,
) -> Value {
    let listed = &environment.endpoints[endpoint].entry;
    let state = match lifecycle {
        Lifecycle::Listed => "active",
        Lifecycle::Draining => "leaving",
        Lifecycle::Removed => "left",
    };
    json!({"instanceId": format!("e-{}", listed.endpoint.0), "hostPort": address.to_string(),
        "zone": environment.names.zones[listed.zone.0], "machineType": environment.names.kinds[listed.kind.0],
        "cell": listed.destination.0, "lifecycle": state, "weight": listed.weight, "startedAtMs": 0})
}
