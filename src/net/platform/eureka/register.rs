//! Keeps this forwarder's own entry in the registry: registers it, renews its lease, sets it out of service when the
//! shutdown begins, and cancels the lease at the end. Nothing else in the forwarder depends on the entry.

use super::client::{percent_encode, RegistryClient, RegistryError};
use super::clients;
use crate::membership::{Registration, RegistrySettings};
use crate::net::{within, Context};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use serde_json::json;
use slog::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// The pause before the next attempt to register, at the next address.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
/// Time limit for the request that cancels the lease at the end of the process.
pub const CANCEL_TIMEOUT: Duration = Duration::from_millis(150);

/// This forwarder's own entry in the registry.
struct OwnEntry<'a> {
    registration: &'a Registration,
    /// The name of this forwarder, which is its instance id.
    name: String,
    /// The address at which clients connect to this forwarder.
    listen: SocketAddr,
    clients: Vec<RegistryClient>,
    /// The index of the registry address in use.
    address: usize,
}

impl OwnEntry<'_> {
    fn app_path(&self) -> String {
        format!("/apps/{}", percent_encode(&self.registration.application))
    }

    fn path(&self) -> String {
        format!("{}/{}", self.app_path(), percent_encode(&self.name))
    }

    /// The JSON document with which the entry is registered.
    fn registration_document(&self, status: &str) -> String {
        let registration = self.registration;
        let ip = self.listen.ip().to_string();
        json!({"instance": {
            "instanceId": self.name, "hostName": ip, "app": registration.application,
            "ipAddr": ip, "vipAddress": registration.application, "status": status,
            "port": {"$": self.listen.port(), "@enabled": "true"},
            "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {
                "renewalIntervalInSecs": registration.renewal_interval.div_ceil(1_000_000),
                "durationInSecs": registration.lease_duration.div_ceil(1_000_000),
            },
            "metadata": registration.metadata,
        }})
        .to_string()
    }

    /// Sends a request and returns the status of its response. After a failure the next request goes to the next address.
    async fn send(&mut self, method: &str, path: &str, body: Option<&str>) -> Result<u16, RegistryError> {
        let result = self.clients[self.address].send(method, path, body).await;
        if result.is_err() {
            self.address = (self.address + 1) % self.clients.len();
        }
        result.map(|response| response.status)
    }

    /// Registers the entry; returns whether the registry has granted the lease.
    async fn register(&mut self, context: &Context) -> bool {
        let document = self.registration_document("UP");
        let error = match self.send("POST", &self.app_path(), Some(&document)).await {
            Ok(200..=299) => return true,
            Ok(status) => format!("status {status}"),
            Err(error) => error.to_string(),
        };
        warn!(context.log, "registration failed"; "error" => error);
        false
    }

    /// Renews the lease, or registers the entry again if the registry has lost it; returns whether the lease is in place.
    async fn renew(&mut self, context: &Context) -> bool {
        match self.send("PUT", &self.path(), None).await {
            Ok(200..=299) => true,
            Ok(404) => {
                info!(context.log, "registry lease lost, registering again");
                self.register(context).await
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Registers the entry and renews its lease endlessly.
    async fn keep_registered(&mut self, context: &Context) {
        let renewal_interval = Duration::from_micros(self.registration.renewal_interval);
        let mut has_lease = self.register(context).await;
        loop {
            Timer::after(if has_lease { renewal_interval } else { RETRY_PAUSE }).await;
            has_lease = match has_lease {
                true => self.renew(context).await,
                false => self.register(context).await,
            };
        }
    }
}

/// Keeps the entry registered until the shutdown begins, then sets it out of service, and cancels its lease once `end` is
/// closed. Drops `done` when it has finished.
pub async fn run(context: Rc<Context>, settings: Arc<RegistrySettings>, end: Receiver<()>, done: Sender<()>) {
    let Some(registration) = &settings.registration else { return };
    let config = context.config();
    let mut entry = OwnEntry {
        registration,
        name: config.name.clone(),
        listen: context.listen_address(),
        clients: clients(&settings),
        address: 0,
    };
    future::or(entry.keep_registered(&context), context.lifecycle.until_shutdown()).await;
    let path = entry.path();
    let response = entry.send("PUT", &format!("{path}/status?value=OUT_OF_SERVICE"), None).await;
    info!(context.log, "registry entry set out of service"; "answer" => ?response.ok());
    // Nothing is sent on this channel; it returns when the channel is closed.
    let _ = end.recv().await;
    let response = within(CANCEL_TIMEOUT, entry.send("DELETE", &path, None)).await;
    info!(context.log, "registry lease cancelled"; "answer" => ?response.and_then(Result::ok));
    drop(done);
}
