//! The configuration that the forwarder is given.

use serde_json::{json, Value};
use std::net::SocketAddr;
use std::path::Path;

/// What a script can set by `with`, `reload` and `config`.
pub struct Options {
    /// Messages open at once.
    pub open: u64,
    /// Megabytes of the state folder.
    pub disk: f64,
    /// The drain grace, in milliseconds.
    pub grace: f64,
    /// The shortest time between two steps, in milliseconds.
    pub tick: f64,
    /// The forwarder's index among all.
    pub me: Value,
    /// Adds classes that are deduplicated by zone, and for so many milliseconds only.
    pub window: Option<f64>,
    /// Whether there is an address for admin requests.
    pub operator: bool,
    /// Values at places of the configuration.
    pub values: Vec<(String, Value)>,
    /// The list that the forwarder is given at its start.
    pub known: Option<Value>,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            open: 8,
            disk: 1.0,
            grace: 250.0,
            tick: 5.0,
            me: json!(0),
            window: None,
            operator: false,
            values: Vec::new(),
            known: None,
        }
    }
}

/// The addresses and folders of a scenario.
pub struct Place<'a> {
    pub folder: &'a Path,
    pub discovery: SocketAddr,
    /// Where the predecessor listens, for its successor.
    pub listen: Option<SocketAddr>,
}

impl Options {
    /// Sets an option by its name; false if there is none of that name.
    pub fn set(&mut self, name: &str, value: &str) -> bool {
        let number = || value.parse().expect("a number");
        match name {
            "window" => self.window = Some(number()),
            "grace" => self.grace = number(),
            "tick" => self.tick = number(),
            "disk" => self.disk = number(),
            "open" => self.open = value.parse().expect("a number"),
            "me" => self.me = serde_json::from_str(value).expect("JSON"),
            "operator" => self.operator = value == "on",
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
        if let Some(window) = self.window {
            classes.push(class("zoned", "token", 30000.0, "zone"));
            classes.push(class("brief", "token", window, "all"));
        }
        classes
    }

    /// The text of the configuration.
    pub fn configuration(&self, place: &Place) -> String {
        let settings = json!({
            "azs": ["east", "west"], "zone": "east", "balancers": 1, "me": self.me, "kinds": ["one", "many"],
            "discovery": "pushed",
            "categories": self.classes(),
            "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 1000.0}],
            "granularity": self.tick, "weight-source": "rough", "fees": {}, "callers": {"marks-retry": true},
            "permissions": {"max-open": self.open, "max-attempts": 3, "cancel": true, "retry-after": true,
                "max-retry-after": 3000.0, "conn-idle": 5000.0, "dial-timeout": 12000.0},
            "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 9000.0, "cold-from": 0.2, "drain-grace": self.grace},
            "specifics": {"call-slots": 4, "late": "linear", "own-limits": [false, false], "per-call": [1, 3]},
        });
        let mut config = json!({
            "name": "n0", "listen": "127.0.0.1:0", "discovery": place.discovery.to_string(),
            "state": place.folder.join("state"), "seed": "8c1f30d27a5be964", "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": self.disk},
        });
        if let Some(known) = &self.known {
            config["known"] = known.clone();
        }
        if self.operator {
            config["operator"] = "127.0.0.1:0".into();
            if let Some(listen) = place.listen {
                config["listen"] = listen.to_string().into();
            }
        }
        for (path, value) in &self.values {
            put(&mut config, path, value.clone());
        }
        config.to_string()
    }
}

/// Puts a value at a path such as `settings/rules/drain-grace`.
fn put(config: &mut Value, path: &str, value: Value) {
    let (parent, last) = path.rsplit_once('/').unwrap_or(("", path));
    let parent = if parent.is_empty() { String::new() } else { format!("/{parent}") };
    config.pointer_mut(&parent).expect("a place in the configuration")[last] = value;
}
