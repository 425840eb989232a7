//! An instance in the registry, and its form in the protocol.

use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The lease of an instance, which expires without heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    pub(crate) duration: Duration,
    pub(crate) renewed_at: Instant,
}

impl Lease {
    pub(crate) fn is_expired(&self) -> bool {
        self.renewed_at.elapsed() > self.duration
    }

    pub(crate) fn renew(&mut self) {
        self.renewed_at = Instant::now();
    }
}

/// An instance of an application.
#[derive(Clone, Debug)]
pub struct Instance {
    /// The name of its application.
    pub app: String,
    /// Its id, unique within its application.
    pub id: String,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its status in the protocol's form, for example `UP`.
    pub status: String,
    /// Its metadata, which the forwarder reads.
    pub metadata: BTreeMap<String, String>,
    /// The timestamp of its last change, in milliseconds.
    pub(crate) timestamp: u64,
    /// `None` for an instance that a test has added: it never expires.
    pub(crate) lease: Option<Lease>,
}

impl Instance {
    /// Creates an instance with the status `UP` and the metadata of a destination's endpoint, in the application
    /// `PARTNERS`.
    pub fn partner(
        id: &str,
        address: SocketAddr,
        destination: u64,
        kind: &str,
        zone: &str,
        weight: f64,
    ) -> Self {
        let metadata = [
            ("partner", destination.to_string()),
            ("kind", kind.into()),
            ("zone", zone.into()),
            ("weight", weight.to_string()),
        ];
        Instance {
            app: "PARTNERS".into(),
            id: id.into(),
            address,
            status: "UP".into(),
            metadata: metadata.into_iter().map(|(k, v)| (k.into(), v)).collect(),
            timestamp: 0,
            lease: None,
        }
    }

    /// The instance in JSON, with its action if it is part of a delta. Timestamps are strings, as in the protocol.
    pub(crate) fn json(&self, action: Option<&str>) -> Value {
        let mut instance = json!({
            "instanceId": self.id, "hostName": self.address.ip().to_string(), "app": self.app,
            "ipAddr": self.address.ip().to_string(), "status": self.status, "overriddenStatus": "UNKNOWN",
            "port": {"$": self.address.port(), "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1, "dataCenterInfo": {"@class": "MyDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90}, "vipAddress": "partners",
            "metadata": self.metadata, "isCoordinatingDiscoveryServer": "false",
            "lastUpdatedTimestamp": self.timestamp.to_string(), "lastDirtyTimestamp": self.timestamp.to_string(),
        });
        if let Some(action) = action {
            instance["actionType"] = action.into();
        }
        instance
    }

    /// The instance in XML, with its action if it is part of a delta.
    pub(crate) fn xml(&self, action: Option<&str>) -> String {
        let escape = |t: &str| t.replace('&', "&amp;").replace('<', "&lt;");
        let metadata: String =
            self.metadata.iter().map(|(k, v)| format!("<{k}>{}</{k}>", escape(v))).collect();
        let action = action.map_or(String::new(), |a| format!("<actionType>{a}</actionType>"));
        format!(
            "<instance><instanceId>{}</instanceId><hostName>{ip}</hostName><app>{}</app><ipAddr>{ip}</ipAddr>\
             <status>{}</status><port enabled=\"true\">{}</port><securePort enabled=\"false\">443</securePort>\
             <metadata>{metadata}</metadata><lastUpdatedTimestamp>{timestamp}</lastUpdatedTimestamp>\
             <lastDirtyTimestamp>{timestamp}</lastDirtyTimestamp>{action}</instance>",
            escape(&self.id), escape(&self.app), self.status, self.address.port(),
            ip = self.address.ip(), timestamp = self.timestamp,
        )
    }

    /// Reads the body of a registration; `None` if it is malformed.
    pub(crate) fn from_registration(app: &str, body: &[u8]) -> Option<Instance> {
        let registration: Value = serde_json::from_slice(body).ok()?;
        let instance = &registration["instance"];
        let port = instance["port"]["$"].as_u64()?;
        let text = |v: &Value| v.as_str().map(str::to_owned);
        let metadata = instance["metadata"].as_object().into_iter().flatten();
        Some(Instance {
            app: app.into(),
            id: text(&instance["instanceId"])?,
            address: SocketAddr::new(text(&instance["ipAddr"])?.parse().ok()?, u16::try_from(port).ok()?),
            status: text(&instance["status"])?,
            metadata: metadata.filter_map(|(k, v)| Some((k.clone(), text(v)?))).collect(),
            timestamp: 0,
            lease: Some(Lease {
                duration: Duration::from_secs(instance["leaseInfo"]["durationInSecs"].as_u64()?),
                renewed_at: Instant::now(),
            }),
        })
    }
}
