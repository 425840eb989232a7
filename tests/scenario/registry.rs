//! The registry and its replica, played by the stand-in.

use super::endpoint::Endpoint;
use super::sockets::soon;
use cedarbridge_registry_standin::{FakeRegistry, FaultMode, Instance};
use serde_json::json;
use std::collections::BTreeMap;

pub struct Registry {
    primary: FakeRegistry,
    replica: FakeRegistry,
}

impl Registry {
    pub fn start() -> Self {
        let primary = FakeRegistry::start().expect("a port");
        let replica = primary.replica().expect("a port");
        Registry { primary, replica }
    }

    /// A site file with the addresses of both.
    pub fn fill_in(&self, site: &str) -> String {
        site.replace("{registry}", &self.primary.url()).replace("{replica}", &self.replica.url())
    }

    /// Plays a line of the script.
    pub fn step(&self, words: &[&str], rest: &str, endpoints: &BTreeMap<String, Endpoint>) {
        let registry = &self.primary;
        let instance = |id: &str, endpoint: &Endpoint| {
            Instance::partner(id, endpoint.address, endpoint.destination, &endpoint.kind, "east", 50.0)
        };
        match words {
            ["put", names @ ..] => {
                names.iter().for_each(|name| registry.put(instance(name, &endpoints[*name])));
            }
            ["status", name, status] => registry.set_status(name, status),
            ["delete", name] => registry.delete(name),
            ["replace", name, other] => {
                registry.delete(name);
                registry.put(instance(other, &endpoints[*name]));
            }
            ["restarts-empty"] => registry.restart_empty(),
            ["loses-deltas"] => registry.clear_deltas(),
            ["silent"] => registry.update_fault_mode(|m| m.silent = true),
            ["answers"] => registry.update_fault_mode(|m| *m = FaultMode::default()),
            ["half"] => registry.update_fault_mode(|m| m.truncate_responses = true),
            ["xml"] => registry.update_fault_mode(|m| m.xml = true),
            ["gzip"] => registry.update_fault_mode(|m| m.gzip = true),
            ["freezes-replica"] => self.replica.freeze(true),
            ["sends-huge-answers"] => {
                registry.update_fault_mode(|m| m.body_override = Some(vec![b' '; 100_000_000]))
            }
            ["sends-gzip-bombs"] => registry
                .update_fault_mode(|m| (m.gzip, m.body_override) = (true, Some(vec![b' '; 3_000_000]))),
            ["sends-deep-nesting"] => {
                registry.update_fault_mode(|m| m.body_override = Some(vec![b'['; 1_000_000]))
            }
            ["sends-a-long-name"] => {
                let name = "x".repeat(500_000);
                let app = json!({"name": "A", "instance": [{"instanceId": name, "status": "UP"}]});
                let all = json!({"applications": {"application": [app]}});
                registry.update_fault_mode(|m| m.body_override = Some(all.to_string().into_bytes()));
            }
            ["holds", wanted] => {
                let (id, status) = wanted.split_once('=').expect("id=status");
                let look = || registry.statuses("CEDARBRIDGE").get(id).map_or("", String::as_str) == status;
                soon(wanted, || look().then_some(()));
            }
            ["asked", ..] => {
                let asked = |r: &FakeRegistry| {
                    r.received_requests().iter().any(|a| a.replace("/eureka/v2", "") == rest)
                };
                soon(rest, || (asked(registry) || asked(&self.replica)).then_some(()));
            }
            _ => panic!("no such step of a registry"),
        }
    }
}
