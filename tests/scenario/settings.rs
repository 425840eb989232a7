//! The configuration file that a scenario writes for the forwarder.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// The options that a script sets by `with`, `reload`, `config` and `caches-list`.
pub struct Options {
    /// The limit of messages that are open at once.
    pub max_open_messages: u64,
    /// The size limit of the state folder, in megabytes.
    pub disk_megabytes: f64,
    /// The drain grace, in milliseconds.
    pub drain_grace_ms: f64,
    /// The shortest time between two decision steps, in milliseconds.
    pub min_step_interval_ms: f64,
    /// The forwarder's index among all forwarders. It may be any JSON, because tests set invalid indexes too.
    pub forwarder_index: Value,
    /// The deduplication window of class `brief`, in milliseconds. `None` leaves out the classes `zoned` and `brief`.
    pub brief_window_ms: Option<f64>,
    /// Whether the forwarder listens for admin requests.
    pub has_admin_listener: bool,
    /// Values that replace or add settings, each with its path in the configuration.
    pub overrides: Vec<(String, Value)>,
    /// The endpoint list in the configuration, which the forwarder uses until it receives one.
    pub cached_list: Option<Value>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            max_open_messages: 8,
            disk_megabytes: 1.0,
            drain_grace_ms: 250.0,
            min_step_interval_ms: 5.0,
            forwarder_index: json!(0),
            brief_window_ms: None,
            has_admin_listener: false,
            overrides: Vec::new(),
            cached_list: None,
        }
    }
}

/// The folder and addresses that a scenario gives the forwarder.
pub struct Locations<'a> {
    /// The folder of the scenario, which contains the state folder.
    pub folder: &'a Path,
    /// The platform's address.
    pub platform: SocketAddr,
    /// The address at which an earlier process listened for clients, if this one is to listen there too.
    pub kept_listen: Option<SocketAddr>,
}

impl Options {
    /// Sets an option of a `with` line by its name. Returns false if there is no option of that name.
    pub fn set(&mut self, name: &str, value: &str) -> bool {
        let number = || value.parse().expect("the option is a number");
        match name {
            "window" => self.brief_window_ms = Some(number()),
            "grace" => self.drain_grace_ms = number(),
            "tick" => self.min_step_interval_ms = number(),
            "disk" => self.disk_megabytes = number(),
            "open" => self.max_open_messages = value.parse().expect("`open` is a number"),
            "me" => self.forwarder_index = serde_json::from_str(value).expect("`me` is JSON"),
            "operator" => self.has_admin_listener = value == "on",
            _ => return false,
        }
        true
    }

    fn classes(&self) -> Vec<Value> {
        let class = |name: &str, semantics: &str, window: f64, scope: &str| {
            json!({"name": name, "semantics": semantics, "promise": 2000.0, "deadline": 20000.0,
                   "gain": 1.0, "late-worth": 0.3, "memory-span": window, "dedup-scope": scope})
        };
        let mut classes = vec![
            class("notice", "token", 30000.0, "all"),
            class("once", "side_effect", 30000.0, "all"),
            class("free", "pure", 30000.0, "all"),
        ];
        if let Some(window) = self.brief_window_ms {
            classes.push(class("zoned", "token", 30000.0, "zone"));
            classes.push(class("brief", "token", window, "all"));
        }
        classes
    }

    /// Returns the text of the configuration file.
    pub fn configuration(&self, locations: &Locations) -> String {
        let settings = json!({
            "azs": ["east", "west"], "zone": "east", "balancers": 1, "me": self.forwarder_index,
            "kinds": ["one", "many"], "discovery": "pushed",
            "categories": self.classes(),
            "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 1000.0}],
            "granularity": self.min_step_interval_ms, "weight-source": "rough", "fees": {},
            "callers": {"marks-retry": true},
            "permissions": {"max-open": self.max_open_messages, "max-attempts": 3, "cancel": true,
                "retry-after": true, "max-retry-after": 3000.0, "conn-idle": 5000.0, "dial-timeout": 12000.0},
            "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 9000.0, "cold-from": 0.2,
                "drain-grace": self.drain_grace_ms},
            "specifics": {"call-slots": 4, "late": "linear", "own-limits": [false, false],
                "per-call": [1, 3]},
        });
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": locations.platform.to_string(),
            "state": locations.folder.join("state"), "seed": "8c1f30d27a5be964", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": self.disk_megabytes},
        });
        if let Some(list) = &self.cached_list {
            config["known"] = list.clone();
        }
        if let Some(listen) = locations.kept_listen {
            config["listen"] = listen.to_string().into();
        }
        if self.has_admin_listener {
            config["operator"] = "127.0.0.1:0".into();
        }
        for (path, value) in &self.overrides {
            set_at_path(&mut config, path, value.clone());
        }
        config.to_string()
    }
}

/// Sets the value at a path such as `settings/rules/drain-grace`, whose parent must exist.
fn set_at_path(config: &mut Value, path: &str, value: Value) {
    let (parent, last) = path.rsplit_once('/').unwrap_or(("", path));
    let parent = if parent.is_empty() { String::new() } else { format!("/{parent}") };
    config.pointer_mut(&parent).expect("the parent is in the configuration")[last] = value;
}
