//! A stand-in for a Eureka registry on loopback: it keeps applications, leases, changes and hashes as the published
//! REST operations say, and goes wrong on command. It is for tests and shows, and serves each connection in a thread.

use flate2::{write::GzEncoder, Compression};
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// Where its paths begin.
pub const PREFIX: &str = "/eureka/v2";
/// Changes stay in the delta for so long, as at real servers.
const RETAINED: Duration = Duration::from_secs(180);

/// An instance.
#[derive(Clone, Debug)]
pub struct Instance {
    /// Its application.
    pub app: String,
    /// Its id.
    pub id: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its status, in the protocol's words.
    pub status: String,
    /// Its metadata.
    pub metadata: BTreeMap<String, String>,
    stamp: u64,
    lease: Option<(Duration, Instant)>,
}

impl Instance {
    /// One that is up, with the metadata of a partner's endpoint.
    pub fn partner(id: &str, address: SocketAddr, partner: u64, kind: &str, zone: &str, weight: f64) -> Self {
        let metadata = [
            ("partner", partner.to_string()),
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
            stamp: 0,
            lease: None,
        }
    }

    /// As the protocol writes it, numbers as text.
    fn json(&self, action: Option<&str>) -> Value {
        let mut v = json!({
            "instanceId": self.id, "hostName": self.address.ip().to_string(), "app": self.app,
            "ipAddr": self.address.ip().to_string(), "status": self.status, "overriddenStatus": "UNKNOWN",
            "port": {"$": self.address.port(), "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
            "countryId": 1, "dataCenterInfo": {"@class": "MyDataCenterInfo", "name": "MyOwn"},
            "leaseInfo": {"renewalIntervalInSecs": 30, "durationInSecs": 90}, "vipAddress": "partners",
            "metadata": self.metadata, "isCoordinatingDiscoveryServer": "false",
            "lastUpdatedTimestamp": self.stamp.to_string(), "lastDirtyTimestamp": self.stamp.to_string(),
        });
        if let Some(action) = action {
            v["actionType"] = action.into();
        }
        v
    }

    fn xml(&self, action: Option<&str>) -> String {
        let escape = |t: &str| t.replace('&', "&amp;").replace('<', "&lt;");
        let metadata: String =
            self.metadata.iter().map(|(k, v)| format!("<{k}>{}</{k}>", escape(v))).collect();
        let action = action.map_or(String::new(), |a| format!("<actionType>{a}</actionType>"));
        format!(
            "<instance><instanceId>{}</instanceId><hostName>{ip}</hostName><app>{}</app><ipAddr>{ip}</ipAddr>\
             <status>{}</status><port enabled=\"true\">{}</port><securePort enabled=\"false\">443</securePort>\
             <metadata>{metadata}</metadata><lastUpdatedTimestamp>{stamp}</lastUpdatedTimestamp>\
             <lastDirtyTimestamp>{stamp}</lastDirtyTimestamp>{action}</instance>",
            escape(&self.id), escape(&self.app), self.status, self.address.port(),
            ip = self.address.ip(), stamp = self.stamp,
        )
    }
}

#[derive(Default)]
struct Apps {
    instances: BTreeMap<(String, String), Instance>,
    recent: VecDeque<(Instant, Instance, &'static str)>,
    version: u64,
    clock: u64,
}

impl Apps {
    fn stamp(&mut self) -> u64 {
        self.clock += 1;
        1_700_000_000_000 + self.clock
    }

    fn note(&mut self, instance: Instance, action: &'static str) {
        self.version += 1;
        // A delta has each instance once, as it is now.
        self.recent.retain(|r| (&r.1.app, &r.1.id) != (&instance.app, &instance.id));
        self.recent.push_back((Instant::now(), instance, action));
        while self.recent.front().is_some_and(|r| r.0.elapsed() > RETAINED) {
            self.recent.pop_front();
        }
    }

    fn put(&mut self, mut instance: Instance) {
        instance.stamp = self.stamp();
        let key = (instance.app.clone(), instance.id.clone());
        let action = if self.instances.contains_key(&key) { "MODIFIED" } else { "ADDED" };
        self.instances.insert(key, instance.clone());
        self.note(instance, action);
    }

    fn delete(&mut self, app: &str, id: &str) -> bool {
        let Some(gone) = self.instances.remove(&(app.to_owned(), id.to_owned())) else { return false };
        self.note(gone, "DELETED");
        true
    }

    /// Leases that ran out are evicted.
    fn evict(&mut self) {
        let over = |i: &Instance| i.lease.is_some_and(|(span, renewed)| renewed.elapsed() > span);
        let gone: Vec<_> = self.instances.iter().filter(|i| over(i.1)).map(|i| i.0.clone()).collect();
        for (app, id) in &gone {
            self.delete(app, id);
        }
    }

    fn hash(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        self.instances.values().for_each(|i| *counts.entry(&i.status).or_default() += 1);
        counts.iter().map(|(s, n)| format!("{s}_{n}_")).collect()
    }

    /// Instances with their actions, as an answer.
    fn answer(&self, xml: bool, of: &[(&Instance, Option<&str>)]) -> String {
        let mut apps: BTreeMap<&str, Vec<&(&Instance, Option<&str>)>> = BTreeMap::new();
        of.iter().for_each(|i| apps.entry(&i.0.app).or_default().push(i));
        if xml {
            let app = |(name, all): (&&str, &Vec<&(&Instance, Option<&str>)>)| {
                let all: String = all.iter().map(|(i, a)| i.xml(*a)).collect();
                format!("<application><name>{name}</name>{all}</application>")
            };
            let apps: String = apps.iter().map(app).collect();
            return format!(
                "<?xml version=\"1.0\"?><applications><versions__delta>{}</versions__delta>\
                 <apps__hashcode>{}</apps__hashcode>{apps}</applications>",
                self.version,
                self.hash()
            );
        }
        // A list of one is written as its one element, as some servers do.
        let listed = |mut all: Vec<Value>| if all.len() == 1 { all.remove(0) } else { all.into() };
        let app = |(name, all): (&&str, &Vec<&(&Instance, Option<&str>)>)| json!({"name": name, "instance": listed(all.iter().map(|(i, a)| i.json(*a)).collect())});
        let apps = listed(apps.iter().map(app).collect());
        json!({"applications": {
            "versions__delta": self.version.to_string(), "apps__hashcode": self.hash(), "application": apps,
        }})
        .to_string()
    }

    fn whole(&self, xml: bool) -> String {
        self.answer(xml, &self.instances.values().map(|i| (i, None)).collect::<Vec<_>>())
    }

    fn delta(&self, xml: bool) -> String {
        self.answer(xml, &self.recent.iter().map(|(_, i, a)| (i, Some(*a))).collect::<Vec<_>>())
    }
}

/// How a replica goes wrong.
#[derive(Clone, Debug, Default)]
pub struct Mode {
    /// It takes questions and answers none.
    pub silent: bool,
    /// It writes half of each answer and closes.
    pub half: bool,
    /// It packs its answers.
    pub gzip: bool,
    /// It answers in XML.
    pub xml: bool,
    /// It answers this in place of any list.
    pub instead: Option<Vec<u8>>,
}

#[derive(Default)]
struct Replica {
    mode: Mode,
    /// What it knows while it lags: the whole, and what changed.
    frozen: Option<(String, String)>,
    asked: Vec<String>,
}

/// A registry that listens, or a replica of it.
#[derive(Clone)]
pub struct StandIn {
    apps: Arc<Mutex<Apps>>,
    replica: Arc<Mutex<Replica>>,
    address: SocketAddr,
}

fn held<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().expect("no thread that held it has panicked")
}

impl StandIn {
    /// Starts a registry that is empty, on a port that the system picks.
    pub fn start() -> std::io::Result<StandIn> {
        StandIn::listen(Arc::default())
    }

    /// Starts another server of the same registry.
    pub fn replica(&self) -> std::io::Result<StandIn> {
        StandIn::listen(self.apps.clone())
    }

    fn listen(apps: Arc<Mutex<Apps>>) -> std::io::Result<StandIn> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let it = StandIn { apps, replica: Arc::default(), address: listener.local_addr()? };
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
        held(&self.apps).put(instance);
    }

    /// Gives an instance another status.
    pub fn set_status(&self, id: &str, status: &str) {
        let mut apps = held(&self.apps);
        let found = apps.instances.values().find(|i| i.id == id).cloned();
        if let Some(instance) = found {
            apps.put(Instance { status: status.into(), ..instance });
        }
    }

    /// Cancels an instance.
    pub fn delete(&self, id: &str) {
        let mut apps = held(&self.apps);
        let found = apps.instances.values().find(|i| i.id == id).map(|i| i.app.clone());
        if let Some(app) = found {
            apps.delete(&app, id);
        }
    }

    /// Forgets everything, as a registry does that restarts.
    pub fn restart_empty(&self) {
        let mut apps = held(&self.apps);
        let clock = apps.clock;
        *apps = Apps { clock, ..Apps::default() };
    }

    /// Loses the changes that a delta would tell.
    pub fn lose_deltas(&self) {
        held(&self.apps).recent.clear();
    }

    /// From now on it answers what it knows now, or again what is true.
    pub fn freeze(&self, frozen: bool) {
        let apps = held(&self.apps);
        let mut replica = held(&self.replica);
        let xml = replica.mode.xml;
        replica.frozen = frozen.then(|| (apps.whole(xml), apps.delta(xml)));
    }

    /// Changes how it goes wrong.
    pub fn set(&self, change: impl FnOnce(&mut Mode)) {
        change(&mut held(&self.replica).mode);
    }

    /// What it was asked: method and path, in order.
    pub fn asked(&self) -> Vec<String> {
        held(&self.replica).asked.clone()
    }

    /// The statuses of an application's instances, by id.
    pub fn statuses(&self, app: &str) -> BTreeMap<String, String> {
        let mut apps = held(&self.apps);
        apps.evict();
        let of = apps.instances.values().filter(|i| i.app == app);
        of.map(|i| (i.id.clone(), i.status.clone())).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(handle) = stream.try_clone() else { return };
        let (mut reader, mut stream) = (BufReader::new(handle), stream);
        while let Some((method, path, body)) = request(&mut reader) {
            let mode = {
                let mut replica = held(&self.replica);
                replica.asked.push(format!("{method} {path}"));
                replica.mode.clone()
            };
            if mode.silent {
                // Up to the end of the other side's patience.
                let _ = reader.read(&mut [0; 1]);
                return;
            }
            let (status, body) = self.answer(&method, &path, &body, &mode);
            if respond(&mut stream, status, body, &mode).is_err() || mode.half {
                return;
            }
        }
    }

    fn answer(&self, method: &str, path: &str, body: &[u8], mode: &Mode) -> (u16, Vec<u8>) {
        let path = path.strip_prefix(PREFIX).unwrap_or(path);
        let (path, query) = path.split_once('?').unwrap_or((path, ""));
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let mut apps = held(&self.apps);
        apps.evict();
        if method == "GET" {
            if let Some(instead) = &mode.instead {
                return (200, instead.clone());
            }
            let frozen = held(&self.replica).frozen.clone();
            let some = |keep: &dyn Fn(&Instance) -> bool| {
                let of: Vec<_> = apps.instances.values().filter(|i| keep(i)).map(|i| (i, None)).collect();
                if of.is_empty() {
                    (404, Vec::new())
                } else {
                    (200, apps.answer(mode.xml, &of).into_bytes())
                }
            };
            return match (parts.as_slice(), frozen) {
                (["apps"], Some((whole, _))) => (200, whole.into_bytes()),
                (["apps", "delta"], Some((_, delta))) => (200, delta.into_bytes()),
                (["apps"], None) => (200, apps.whole(mode.xml).into_bytes()),
                (["apps", "delta"], None) => (200, apps.delta(mode.xml).into_bytes()),
                (["apps", app], _) => some(&|i| i.app.eq_ignore_ascii_case(app)),
                (["vips", vip], _) => some(&|_| *vip == "partners"),
                _ => (404, Vec::new()),
            };
        }
        match (method, parts.as_slice()) {
            ("POST", ["apps", app]) => match registered(app, body) {
                Some(instance) => {
                    apps.put(instance);
                    (204, Vec::new())
                }
                None => (400, Vec::new()),
            },
            ("PUT", ["apps", app, id]) => match apps.instances.get_mut(&((*app).into(), (*id).into())) {
                Some(i) => {
                    i.lease = i.lease.map(|l| (l.0, Instant::now()));
                    (200, Vec::new())
                }
                None => (404, Vec::new()),
            },
            ("PUT", ["apps", app, id, "status"]) => {
                let found = apps.instances.get(&((*app).into(), (*id).into())).cloned();
                let status = query.strip_prefix("value=").unwrap_or("UNKNOWN").to_owned();
                let known = found.is_some();
                found.into_iter().for_each(|i| apps.put(Instance { status: status.clone(), ..i }));
                (if known { 200 } else { 404 }, Vec::new())
            }
            ("DELETE", ["apps", app, id]) => (if apps.delete(app, id) { 200 } else { 404 }, Vec::new()),
            _ => (404, Vec::new()),
        }
    }
}

fn registered(app: &str, body: &[u8]) -> Option<Instance> {
    let v: Value = serde_json::from_slice(body).ok()?;
    let i = &v["instance"];
    let port = i["port"]["$"].as_u64()?;
    let text = |v: &Value| v.as_str().map(str::to_owned);
    let metadata = i["metadata"].as_object().into_iter().flatten();
    Some(Instance {
        app: app.into(),
        id: text(&i["instanceId"])?,
        address: SocketAddr::new(text(&i["ipAddr"])?.parse().ok()?, u16::try_from(port).ok()?),
        status: text(&i["status"])?,
        metadata: metadata.filter_map(|(k, v)| Some((k.clone(), text(v)?))).collect(),
        stamp: 0,
        lease: Some((Duration::from_secs(i["leaseInfo"]["durationInSecs"].as_u64()?), Instant::now())),
    })
}

/// Reads a request: its method, path and body.
pub fn request(from: &mut BufReader<TcpStream>) -> Option<(String, String, Vec<u8>)> {
    let mut first = String::new();
    from.read_line(&mut first).ok().filter(|n| *n > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        from.read_line(&mut line).ok().filter(|n| *n > 0)?;
        match line.trim().split_once(": ") {
            Some((name, value)) if name.eq_ignore_ascii_case("content-length") => {
                length = value.parse().ok()?
            }
            Some(_) => {}
            None => break,
        }
    }
    let mut body = vec![0; length];
    from.read_exact(&mut body).ok()?;
    let mut words = first.split_whitespace().map(str::to_owned);
    Some((words.next()?, words.next()?, body))
}

/// Writes an answer, in chunks if it is long.
fn respond(stream: &mut TcpStream, status: u16, body: Vec<u8>, mode: &Mode) -> std::io::Result<()> {
    let (body, packed) = if mode.gzip && !body.is_empty() {
        let mut packer = GzEncoder::new(Vec::new(), Compression::fast());
        packer.write_all(&body)?;
        (packer.finish()?, "Content-Encoding: gzip\r\n")
    } else {
        (body, "")
    };
    if mode.half {
        let head = format!("HTTP/1.1 {status} X\r\n{packed}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes())?;
        return stream.write_all(&body[..body.len() / 2]);
    }
    if body.len() < 4096 {
        let head = format!("HTTP/1.1 {status} X\r\n{packed}Content-Length: {}\r\n\r\n", body.len());
        stream.write_all(head.as_bytes())?;
        return stream.write_all(&body);
    }
    stream
        .write_all(format!("HTTP/1.1 {status} X\r\n{packed}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    for part in body.chunks(64 * 1024) {
        stream.write_all(format!("{:x}\r\n", part.len()).as_bytes())?;
        stream.write_all(part)?;
        stream.write_all(b"\r\n")?;
    }
    stream.write_all(b"0\r\n\r\n")
}
