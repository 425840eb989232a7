//! A fake Eureka registry on loopback, for tests and demonstrations. It implements the published REST operations with
//! applications, leases, deltas and hashes, and can be made to misbehave. It serves each connection in its own thread.

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

/// The prefix of the registry's paths.
pub const PREFIX: &str = "/eureka/v2";

/// How a server of the registry misbehaves, and the format of its responses.
#[derive(Clone, Debug, Default)]
pub struct FaultMode {
    /// The server reads requests and sends no responses.
    pub silent: bool,
    /// The server writes half of each response and closes the connection.
    pub truncate_responses: bool,
    /// The server compresses its responses.
    pub gzip: bool,
    /// The server responds in XML rather than in JSON.
    pub xml: bool,
    /// The body of the response to every GET request; `None` to respond with what was asked for.
    pub body_override: Option<Vec<u8>>,
}

/// The state of one server of the registry.
#[derive(Default)]
struct Server {
    mode: FaultMode,
    /// The responses with the complete list and with the delta that it sends while it is frozen.
    frozen: Option<(String, String)>,
    /// The method and path of each request, in order.
    received_requests: Vec<String>,
}

/// One running server of a fake registry. Its replicas are further servers of the same registry and share its instances.
#[derive(Clone)]
pub struct FakeRegistry {
    apps: Arc<Mutex<Applications>>,
    server: Arc<Mutex<Server>>,
    address: SocketAddr,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread that held it has panicked")
}

impl FakeRegistry {
    /// Starts an empty registry on a port that the system picks.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn start() -> std::io::Result<FakeRegistry> {
        FakeRegistry::listen(Arc::default())
    }

    /// Starts another server of the same registry.
    ///
    /// # Errors
    /// No port can be bound.
    pub fn replica(&self) -> std::io::Result<FakeRegistry> {
        FakeRegistry::listen(self.apps.clone())
    }

    fn listen(apps: Arc<Mutex<Applications>>) -> std::io::Result<FakeRegistry> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let registry = FakeRegistry { apps, server: Arc::default(), address: listener.local_addr()? };
        let serving = registry.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        Ok(registry)
    }

    /// The URL of the server, as a site file has it.
    pub fn url(&self) -> String {
        format!("http://{}{PREFIX}", self.address)
    }

    /// Adds an instance, or replaces the instance with the same application and id.
    pub fn put(&self, instance: Instance) {
        lock(&self.apps).put(instance);
    }

    /// Changes the status of an instance; does nothing if no instance has the id.
    pub fn set_status(&self, id: &str, status: &str) {
        let mut apps = lock(&self.apps);
        let found = apps.instances.values().find(|i| i.id == id).cloned();
        if let Some(instance) = found {
            apps.put(Instance { status: status.into(), ..instance });
        }
    }

    /// Removes an instance; does nothing if no instance has the id.
    pub fn delete(&self, id: &str) {
        let mut apps = lock(&self.apps);
        let found = apps.instances.values().find(|i| i.id == id).map(|i| i.app.clone());
        if let Some(app) = found {
            apps.delete(&app, id);
        }
    }

    /// Forgets all instances and changes, as a registry does when it restarts.
    pub fn restart_empty(&self) {
        lock(&self.apps).clear();
    }

    /// Forgets the changes that a delta would report.
    pub fn clear_deltas(&self) {
        lock(&self.apps).clear_deltas();
    }

    /// Freezes the server's list and delta in their current state, or lets it report the actual state again.
    pub fn freeze(&self, frozen: bool) {
        let apps = lock(&self.apps);
        let mut server = lock(&self.server);
        let xml = server.mode.xml;
        server.frozen = frozen.then(|| (apps.full(xml), apps.delta(xml)));
    }

    /// Changes how the server misbehaves.
    pub fn update_fault_mode(&self, change: impl FnOnce(&mut FaultMode)) {
        change(&mut lock(&self.server).mode);
    }

    /// The method and path of each request that the server has received, in order.
    pub fn received_requests(&self) -> Vec<String> {
        lock(&self.server).received_requests.clone()
    }

    /// The statuses of an application's instances, by id, without expired ones.
    pub fn statuses(&self, app: &str) -> BTreeMap<String, String> {
        let mut apps = lock(&self.apps);
        apps.evict();
        let matching = apps.instances.values().filter(|i| i.app == app);
        matching.map(|i| (i.id.clone(), i.status.clone())).collect()
    }

    /// Answers the requests on a connection until it ends.
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(handle), stream);
        while let Some((method, path, body)) = read_request(&mut reader) {
            let mode = {
                let mut server = lock(&self.server);
                server.received_requests.push(format!("{method} {path}"));
                server.mode.clone()
            };
            if mode.silent {
                // Keeps the connection open until the client closes it.
                let _ = reader.read(&mut [0; 1]);
                return;
            }
            let (status, body) = self.answer(&method, &path, &body, &mode);
            if write_response(&mut stream, status, body, &mode).is_err() || mode.truncate_responses {
                return;
            }
        }
    }

    /// The status and body of the response to a request.
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

    /// The status and body of the response to a GET request.
    fn query(&self, apps: &Applications, parts: &[&str], mode: &FaultMode) -> (u16, Vec<u8>) {
        if let Some(body) = &mode.body_override {
            return (200, body.clone());
        }
        let matching = |keep: &dyn Fn(&Instance) -> bool| {
            let entries: Vec<_> = apps.instances.values().filter(|i| keep(i)).map(|i| (i, None)).collect();
            (!entries.is_empty()).then(|| apps.response_body(mode.xml, &entries))
        };
        let frozen = lock(&self.server).frozen.clone();
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

/// Adds the instance of a registration's body.
fn register(apps: &mut Applications, app: &str, body: &[u8]) -> u16 {
    let Some(instance) = Instance::from_registration(app, body) else { return 400 };
    apps.put(instance);
    204
}

/// Renews the lease of an instance.
fn renew(apps: &mut Applications, app: &str, id: &str) -> u16 {
    let Some(instance) = apps.instances.get_mut(&(app.to_owned(), id.to_owned())) else { return 404 };
    if let Some(lease) = &mut instance.lease {
        lease.renew();
    }
    200
}

/// Changes the status of an instance.
fn set_status(apps: &mut Applications, app: &str, id: &str, status: &str) -> u16 {
    let found = apps.instances.get(&(app.to_owned(), id.to_owned())).cloned();
    let Some(instance) = found else { return 404 };
    apps.put(Instance { status: status.to_owned(), ..instance });
    200
}
