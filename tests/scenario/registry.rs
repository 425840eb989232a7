//! The registry and its replica, which are stand-ins of `crates/registry-standin`.

use super::endpoint::Endpoint;
use super::sockets::poll_until;
use cedarbridge_registry_standin::{FakeRegistry, FaultMode, Instance};
use serde_json::json;
use std::collections::BTreeMap;

/// A registry and a replica of it.
pub struct Registry {
    primary: FakeRegistry,
    replica: FakeRegistry,
}

impl Registry {
    /// Starts both, without instances.
    pub fn start() -> Self {
        let primary = FakeRegistry::start().expect("a port");
        let replica = primary.replica().expect("a port");
        Registry { primary, replica }
    }

    /// Replaces `{registry}` and `{replica}` in a site file by their URLs.
    pub fn insert_urls(&self, site: &str) -> String {
        site.replace("{registry}", &self.primary.url()).replace("{replica}", &self.replica.url())
    }

    /// Runs a line of the script; `rest` is the text after its first word, for `asked` after its second one.
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
            ["replace", name, new_id] => {
                registry.delete(name);
                registry.put(instance(new_id, &endpoints[*name]));
            }
            ["restarts-empty"] => registry.restart_empty(),
            ["loses-deltas"] => registry.clear_deltas(),
            ["silent"] => registry.update_fault_mode(|mode| mode.silent = true),
            ["answers-normally"] => registry.update_fault_mode(|mode| *mode = FaultMode::default()),
            ["sends-truncated-answers"] => registry.update_fault_mode(|mode| mode.truncate_responses = true),
            ["xml"] => registry.update_fault_mode(|mode| mode.xml = true),
            ["gzip"] => registry.update_fault_mode(|mode| mode.gzip = true),
            ["freezes-replica"] => self.replica.freeze(true),
            ["sends-huge-answers"] => {
                registry.update_fault_mode(|mode| mode.body_override = Some(vec![b' '; 100_000_000]))
            }
            ["sends-gzip-bombs"] => registry.update_fault_mode(|mode| {
                (mode.gzip, mode.body_override) = (true, Some(vec![b' '; 3_000_000]))
            }),
            ["sends-deep-nesting"] => {
                registry.update_fault_mode(|mode| mode.body_override = Some(vec![b'['; 1_000_000]))
            }
            ["sends-a-long-name"] => {
                let name = "x".repeat(500_000);
                let app = json!({"name": "A", "instance": [{"instanceId": name, "status": "UP"}]});
                let response = json!({"applications": {"application": [app]}});
                registry
                    .update_fault_mode(|mode| mode.body_override = Some(response.to_string().into_bytes()));
            }
            ["holds", expected] => {
                let (id, status) = expected.split_once('=').expect("id=status");
                let is_held =
                    || registry.statuses("CEDARBRIDGE").get(id).map_or("", String::as_str) == status;
                poll_until(expected, || is_held().then_some(()));
            }
            ["asked", ..] => {
                let has_received = |server: &FakeRegistry| {
                    server.received_requests().iter().any(|a| a.replace("/eureka/v2", "") == rest)
                };
                poll_until(rest, || (has_received(registry) || has_received(&self.replica)).then_some(()));
            }
            _ => panic!("no such step of a registry"),
        }
    }
}
