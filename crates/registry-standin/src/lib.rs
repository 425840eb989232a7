//! A stand-in for a Eureka registry on loopback: it keeps applications, leases, changes and hashes as the published
//! REST operations say, and goes wrong on command. It is for tests and shows, and serves each connection in a thread.

mod applications;
mod http;
mod instance;

use applications::Applications;
pub use http::read_request;
use http::write_response;
pub use instance::Instance;
use std::collections::BTreeMap;
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

/// Where its paths begin.
pub const PREFIX: &str = "/eureka/v2";

/// How a replica goes wrong.
#[derive(Clone, Debug, Default)]
pub struct FaultMode {
    /// It takes questions and answers none.
    pub silent: bool,
    /// It writes half of each answer and closes.
    pub truncate_responses: bool,
    /// It packs its answers.
    pub gzip: bool,
    /// It answers in XML.
    pub xml: bool,
    /// It answers this in place of any list.
    pub body_override: Option<Vec<u8>>,
}

#[derive(Default)]
struct Replica {
    mode: FaultMode,
    /// What it knows while it lags: the whole, and what changed.
    frozen: Option<(String, String)>,
    received_requests: Vec<String>,
}

/// A registry that listens, or a replica of it.
#[derive(Clone)]
pub struct FakeRegistry {
    apps: Arc<Mutex<Applications>>,
    replica: Arc<Mutex<Replica>>,
    address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread that held it has panicked")
}

impl FakeRegistry {
    /// Starts a registry that is empty, on a port that the system picks.
    pub fn start() -> std::io::Result<FakeRegistry> {
        FakeRegistry::listen(Arc::default())
    }

    /// Starts another server of the same registry.
    pub fn replica(&self) -> std::io::Result<FakeRegistry> {
        FakeRegistry::listen(self.apps.clone())
    }

    fn listen(apps: Arc<Mutex<Applications>>) -> std::io::Result<FakeRegistry> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let it = FakeRegistry { apps, replica: Arc::default(), address: listener.local_addr()? };
        let serving = it.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(it)
    }

    /// As a site file names it.
    pub fn url(&self) -> String {
        format!("http://{}{PREFIX}", self.address)
    }

    /// Adds an instance or changes it.
    pub fn put(&self, instance: Instance) {
        lock(&self.apps).put(instance);
    }

    /// Gives an instance another status.
    pub fn set_status(&self, id: &str, status: &str) {
        let mut apps = lock(&self.apps);
        let found = apps.instances.values().find(|i| i.id == id).cloned();
        if let Some(instance) = found {
            apps.put(Instance { status: status.into(), ..instance });
        }
    }

    /// Cancels an instance.
    pub fn delete(&self, id: &str) {
        let mut apps = lock(&self.apps);
        let found = apps.instances.values().find(|i| i.id == id).map(|i| i.app.clone());
        if let Some(app) = found {
            apps.delete(&app, id);
        }
    }

    /// Forgets everything, as a registry does that restarts.
    pub fn restart_empty(&self) {
        lock(&self.apps).clear();
    }

    /// Loses the changes that a delta would tell.
    pub fn clear_deltas(&self) {
        lock(&self.apps).clear_deltas();
    }

    /// From now on it answers what it knows now, or again what is true.
    pub fn freeze(&self, frozen: bool) {
        let apps = lock(&self.apps);
        let mut replica = lock(&self.replica);
        let xml = replica.mode.xml;
        replica.frozen = frozen.then(|| (apps.full(xml), apps.delta(xml)));
    }

    /// Changes how it goes wrong.
    pub fn update_fault_mode(&self, change: impl FnOnce(&mut FaultMode)) {
        change(&mut lock(&self.replica).mode);
    }

    /// What it was asked: method and path, in order.
    pub fn received_requests(&self) -> Vec<String> {
        lock(&self.replica).received_requests.clone()
    }

    /// The statuses of an application's instances, by id.
    pub fn statuses(&self, app: &str) -> BTreeMap<String, String> {
        let mut apps = lock(&self.apps);
        apps.evict();
        let of = apps.instances.values().filter(|i| i.app == app);
        of.map(|i| (i.id.clone(), i.status.clone())).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(handle), stream);
        while let Some((method, path, body)) = read_request(&mut reader) {
            let mode = {
                let mut replica = lock(&self.replica);
                replica.received_requests.push(format!("{method} {path}"));
                replica.mode.clone()
            };
            if mode.silent {
                // Up to the end of the other side's patience.
                let _ = reader.read(&mut [0; 1]);
                return;
            }
            let (status, body) = self.answer(&method, &path, &body, &mode);
            if write_response(&mut stream, status, body, &mode).is_err() || mode.truncate_responses {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, body: &[u8], mode: &FaultMode) -> (u16, Vec<u8>) {
        let path = path.strip_prefix(PREFIX).unwrap_or(path);
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let mut apps = lock(&self.apps);
        apps.evict();
        if method == "GET" {
            return self.query(&apps, &parts, mode);
        }
        let status = match (method, parts.as_slice()) {
            ("POST", ["apps", app]) => register(&mut apps, app, body),
            ("PUT", ["apps", app, id]) => renew(&mut apps, app, id),
            ("PUT", ["apps", app, id, "status"]) => {
                set_status(&mut apps, app, id, query.strip_prefix("value=").unwrap_or("UNKNOWN"))
            }
            ("DELETE", ["apps", app, id]) if apps.delete(app, id) => 200,
            _ => 404,
        };
        (status, Vec::new())
    }

    fn query(&self, apps: &Applications, parts: &[&str], mode: &FaultMode) -> (u16, Vec<u8>) {
        if let Some(body) = &mode.body_override {
            return (200, body.clone());
        }
        let matching = |keep: &dyn Fn(&Instance) -> bool| {
            let entries: Vec<_> = apps.instances.values().filter(|i| keep(i)).map(|i| (i, None)).collect();
            (!entries.is_empty()).then(|| apps.answer(mode.xml, &entries))
        };
        let frozen = lock(&self.replica).frozen.clone();
        let answer = match (parts, frozen) {
            (["apps"], Some((full, _))) => Some(full),
            (["apps", "delta"], Some((_, delta))) => Some(delta),
            (["apps"], None) => Some(apps.full(mode.xml)),
            (["apps", "delta"], None) => Some(apps.delta(mode.xml)),
            (["apps", app], _) => matching(&|i| i.app.eq_ignore_ascii_case(app)),
            (["vips", vip], _) => matching(&|_| *vip == "partners"),
            _ => None,
        };
        answer.map_or((404, Vec::new()), |answer| (200, answer.into_bytes()))
    }
}

fn register(apps: &mut Applications, app: &str, body: &[u8]) -> u16 {
    let Some(instance) = Instance::from_registration(app, body) else { return 400 };
    apps.put(instance);
    204
}

fn renew(apps: &mut Applications, app: &str, id: &str) -> u16 {
    let Some(instance) = apps.instances.get_mut(&(app.to_owned(), id.to_owned())) else { return 404 };
    if let Some(lease) = &mut instance.lease {
        lease.renew();
    }
    200
}

fn set_status(apps: &mut Applications, app: &str, id: &str, status: &str) -> u16 {
    let found = apps.instances.get(&(app.to_owned(), id.to_owned())).cloned();
    let Some(instance) = found else { return 404 };
    apps.put(Instance { status: status.to_owned(), ..instance });
    200
}
