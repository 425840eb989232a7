//! This forwarder as an entry of the registry: registered, renewed, taken out of service when it starts to end, and
//! cancelled at its end. Nothing that it decides depends on it.

use super::client::{path_part, Client, Failed};
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

/// After a failure the next address is tried after this.
const AGAIN: Duration = Duration::from_secs(1);
/// At the end, a word to the registry may take so long.
pub const LAST_WORD: Duration = Duration::from_millis(150);

struct Entry<'a> {
    registration: &'a Registration,
    name: String,
    listen: SocketAddr,
    clients: Vec<Client>,
    at: usize,
}

impl Entry<'_> {
    fn path(&self) -> String {
        format!("/apps/{}/{}", path_part(&self.registration.application), path_part(&self.name))
    }

    fn document(&self, status: &str) -> String {
        let r = self.registration;
        json!({"instance": {
            "instanceId": self.name, "hostName": self.listen.ip().to_string(), "app": r.application,
            "ipAddr": self.listen.ip().to_string(), "vipAddress": r.application, "status": status,
            "port": {"$": self.listen.port(), "@enabled": "true"},
            "dataCenterInfo": {"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {"renewalIntervalInSecs": r.renewal_interval.div_ceil(1_000_000), "durationInSecs": r.lease_duration.div_ceil(1_000_000)},
            "metadata": r.metadata,
        }})
        .to_string()
    }

    async fn ask(&mut self, method: &str, path: &str, body: Option<&str>) -> Result<u16, Failed> {
        let asked = self.clients[self.at].ask(method, path, body).await;
        if asked.is_err() {
            self.at = (self.at + 1) % self.clients.len();
        }
        asked.map(|a| a.0)
    }

    async fn register(&mut self, context: &Context) -> bool {
        let (app, document) =
            (format!("/apps/{}", path_part(&self.registration.application)), self.document("UP"));
        let told = match self.ask("POST", &app, Some(&document)).await {
            Ok(200..=299) => return true,
            Ok(status) => format!("status {status}"),
            Err(e) => e.to_string(),
        };
        warn!(context.log, "not registered"; "error" => told);
        false
    }

    /// True while the registry has the lease; a lost one is registered again.
    async fn renew(&mut self, context: &Context) -> bool {
        match self.ask("PUT", &self.path(), None).await {
            Ok(200..=299) => true,
            Ok(404) => {
                info!(context.log, "the lease was lost");
                self.register(context).await
            }
            Ok(_) | Err(_) => false,
        }
    }
}

/// Keeps the entry until the program starts to end, then takes it out of service; cancels it once `end` is closed.
/// `gone` is closed when nothing more is to be done.
pub async fn run(context: Rc<Context>, settings: Arc<RegistrySettings>, end: Receiver<()>, gone: Sender<()>) {
    let Some(registration) = &settings.registration else { return };
    let clients = || {
        let all = settings.addresses.iter();
        all.map(|a| Client::new(a.clone(), settings.timeout, settings.max_response_bytes)).collect()
    };
    let config = context.config();
    let mut entry = Entry {
        registration,
        name: config.name.clone(),
        listen: context.listen(),
        clients: clients(),
        at: 0,
    };
    let keeping = async {
        let mut held = entry.register(&context).await;
        loop {
            let pause = if held { Duration::from_micros(registration.renewal_interval) } else { AGAIN };
            Timer::after(pause).await;
            held = if held { entry.renew(&context).await } else { entry.register(&context).await };
        }
    };
    future::or(keeping, context.until_closing()).await;
    // A question may have been cut short: its connection is of no more use.
    entry.clients = clients();
    let path = entry.path();
    let out = entry.ask("PUT", &format!("{path}/status?value=OUT_OF_SERVICE"), None).await;
    info!(context.log, "taken out of service"; "answer" => ?out.ok());
    let _ = end.recv().await;
    let cancelled = within(LAST_WORD, entry.ask("DELETE", &path, None)).await;
    info!(context.log, "lease cancelled"; "answer" => ?cancelled.and_then(Result::ok));
    drop(gone);
}
