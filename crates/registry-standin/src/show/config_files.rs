//! The forwarder's configuration file and site file.

use cedarbridge_registry_standin::FakeRegistry;
use serde_json::json;
use std::net::SocketAddr;
use std::path::Path;

/// Writes both files, and creates the folder for the forwarder's state.
pub fn write(folder: &Path, discovery: SocketAddr, registry: &FakeRegistry) -> std::io::Result<()> {
    let class = json!({"name": "notice", "semantics": "token", "promise": 2500.0, "deadline": 28000.0, "gain": 1.0,
        "late-worth": 0.3, "memory-span": 30000.0, "dedup-scope": "all"});
    let settings = json!({
        "azs": ["room"], "zone": "room", "balancers": 1, "kinds": ["plain"], "discovery": "pushed",
        "categories": [class], "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 100000.0}],
        "granularity": 5.0, "weight-source": "nominal", "fees": {}, "callers": {"marks-retry": true},
        "permissions": {"max-open": 20000, "max-attempts": 12, "cancel": true, "retry-after": true,
            "max-retry-after": 3000.0, "conn-idle": 5000.0, "dial-timeout": 1500.0},
        "rules": {"fall-multiple": 2.0, "fall": 3000.0, "cold": 9400.0, "cold-from": 0.23, "drain-grace": 250.0},
        "specifics": {"call-slots": 200, "late": "halving"},
    });
    let config = json!({
        "name": "show", "listen": "127.0.0.1:0", "discovery": discovery.to_string(), "seed": "5eed",
        "state": folder.join("state"), "settings": settings,
        "limits": {"cores": 1.0, "memory_mb": 512, "sockets": 2048, "disk_mb": 64},
    });
    std::fs::create_dir_all(folder.join("state"))?;
    std::fs::write(folder.join("config.json"), config.to_string())?;
    let site = format!(
        "version: 1\nregistry:\n  addresses: [\"{}\"]\n  poll: 100ms\n  timeout: 1s\n  \
         hold-down: {{first: 200ms, longest: 1s, forget: 2s}}\n",
        registry.url()
    );
    std::fs::write(folder.join("site.yaml"), site)
}
