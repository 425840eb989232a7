//! Stand-ins for the cases 6 to 10: the platform's agent, endpoints, clients, and the control of the forwarder's process.
//! They use the standard library alone, listen on loopback addresses and act as the protocol page says.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// How long a case may run at most. After that it ends what it started and could not run.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The processes that were started and not waited for yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// The temporary folder of the case.
static TEMPORARY: Mutex<Option<PathBuf>> = Mutex::new(None);

/// Ends all processes that the case started, removes its temporary folder and exits.
pub fn finish(code: i32) -> ! {
    for id in STARTED.lock().unwrap().drain(..) {
        // SAFETY: the call has no memory effects; the process is a child that was not waited for yet.
        unsafe { kill(id as i32, SIGKILL) };
    }
    if let Some(folder) = TEMPORARY.lock().unwrap().take() {
        thread::sleep(Duration::from_millis(50));
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(code)
}

/// The record of a case: each line has the seconds since the start in front.
#[derive(Clone)]
pub struct Record {
    started_at: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        std::panic::set_hook(Box::new(|info| {
            eprintln!("could not run: {info}");
            finish(2);
        }));
        thread::spawn(|| {
            thread::sleep(TIME_LIMIT);
            println!("could not run: it took too long");
            finish(2);
        });
        Record { started_at: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn seconds(&self) -> f64 {
        self.started_at.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

/// A port on 127.0.0.1 that nobody listens on at present.
pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").expect("a free port").local_addr().expect("its address")
}

/// A received head and body.
pub struct Message {
    pub first_line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(&name.to_ascii_lowercase()).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads one request or response with a `Content-Length`; `None` at the end of the connection.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    let mut bytes = Vec::new();
    let mut part = [0; 16 * 1024];
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break end;
        }
        let count = stream.read(&mut part)?;
        if count == 0 {
            return if bytes.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        bytes.extend_from_slice(&part[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|line| line.split_once(':'));
    let headers: BTreeMap<_, _> =
        fields.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = bytes.split_off(head_end + 4);
    while body.len() < length {
        let count = stream.read(&mut part)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&part[..count]);
    }
    Ok(Some(Message { first_line, headers, body }))
}

/// Accepts connections in the background and serves each on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let _ = stream.set_nodelay(true);
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// A delivery report that the platform received.
#[derive(Clone, Debug)]
pub struct Report {
    pub state: String,
    pub at: Instant,
}

/// The platform's agent: the watch of the endpoint list and the reports.
pub struct Platform {
    pub address: SocketAddr,
    pub reports: Arc<Mutex<BTreeMap<String, Report>>>,
}

impl Platform {
    /// Starts an agent that tells this list, the entries of `instances`, and never changes it.
    pub fn start(record: &Record, instances: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let reports: Arc<Mutex<BTreeMap<String, Report>>> = Arc::default();
        let (received, record) = (reports.clone(), record.clone());
        serve(listener, move |mut stream| {
            while let Ok(Some(request)) = read_message(&mut stream) {
                if request.first_line.starts_with("POST /reports ") {
                    for line in String::from_utf8_lossy(&request.body).lines() {
                        let field = |name: &str| {
                            let start = line.split_once(&format!("\"{name}\":\"")).map(|(_, rest)| rest);
                            start.and_then(|rest| rest.split('"').next()).unwrap_or_default().to_owned()
                        };
                        let (id, state) = (field("id"), field("state"));
                        record.line(format!("notice {id} {state}"));
                        let report = Report { state, at: Instant::now() };
                        received.lock().unwrap().entry(id).or_insert(report);
                    }
                    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
                } else if request.first_line.contains("watch=1") {
                    let _ = serve_watch(&mut stream, &instances);
                    return;
                } else {
                    let list = list_json(&instances);
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    let _ = stream.write_all((head + &list).as_bytes());
                }
            }
        });
        Platform { address, reports }
    }
}

fn list_json(instances: &str) -> String {
    format!("{{\"generation\":2,\"reset\":true,\"instances\":[{instances}]}}")
}

fn serve_watch(stream: &mut TcpStream, instances: &str) -> io::Result<()> {
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    let mut line = list_json(instances) + "\n";
    loop {
        stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes())?;
        thread::sleep(Duration::from_secs(2));
        line = "\n".to_owned();
    }
}

/// One entry of the endpoint list.
pub fn instance(id: &str, address: SocketAddr, kind: &str, cell: u64) -> String {
    format!(
        "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"room\",\"machineType\":\"{kind}\",\
         \"cell\":{cell},\"lifecycle\":\"active\",\"weight\":60.0,\"startedAtMs\":0}}"
    )
}

/// A message within a call.
#[derive(Clone, Debug)]
pub struct Called {
    pub id: String,
    pub key: String,
    pub length: usize,
}

/// The messages of a call: one from its headers, or those in the body of a batch. `None` if the body cannot be read.
pub fn called_messages(request: &Message) -> Option<Vec<Called>> {
    if request.first_line.starts_with("POST /v1/messages ") {
        let (id, key) = (request.header("X-Request-Id").to_owned(), request.header("Idempotency-Key").to_owned());
        return Some(vec![Called { id, key, length: request.body.len() }]);
    }
    let (mut messages, mut rest) = (Vec::new(), request.body.as_slice());
    while !rest.is_empty() {
        let end = rest.windows(2).position(|window| window == b"\r\n")?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let mut words = line.split(' ');
        let (id, key) = (words.next()?.to_owned(), words.next()?.to_owned());
        let length: usize = words.next()?.parse().ok()?;
        rest = rest.get(end + 2 + length + 2..)?;
        messages.push(Called { id, key, length });
    }
    (!messages.is_empty()).then_some(messages)
}

/// The deploy file's value of a key such as `run`.
pub fn deploy_command(key: &str) -> String {
    let text = fs::read_to_string("deploy/balancer.toml").expect("deploy/balancer.toml, read from the root");
    let line = text.lines().find(|line| line.split('=').next().is_some_and(|name| name.trim() == key));
    let value = line.and_then(|line| line.split_once('=')).map(|(_, value)| value.trim());
    let value = value.expect("the key is in the deploy file");
    value.trim_start_matches('"').split('"').next().unwrap_or_default().to_owned()
}

/// A process that was started by the deploy file's `run`.
pub struct Forwarder {
    pub child: Child,
    pub listen: SocketAddr,
}

impl Forwarder {
    /// Starts `run` by `/bin/sh -c` from the root of the repository.
    pub fn start(config: &Path, listen: SocketAddr, temporary: &Path, log: &str) -> Self {
        let log = File::options().create(true).append(true).open(temporary.join(log)).expect("a log file");
        let child = Command::new("/bin/sh")
            .args(["-c", &deploy_command("run")])
            .env("ROUTER_CONFIG", config)
            .env("TMPDIR", temporary)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log.try_clone().expect("a log file")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the forwarder starts");
        STARTED.lock().unwrap().push(child.id());
        Forwarder { child, listen }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the call has no memory effects; the process is a child that was not waited for yet.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Waits until the forwarder answers `GET /_health` with 200.
    pub fn until_ready(&self, limit: Duration) -> bool {
        let started = Instant::now();
        while started.elapsed() < limit {
            if get(self.listen, "/_health").is_some_and(|response| response.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        let has_ended = matches!(self.child.try_wait(), Ok(Some(_)));
        if has_ended {
            self.forget();
        }
        has_ended
    }

    /// Kills the process, unless it has ended, and waits for its end.
    pub fn kill(&mut self) {
        if !self.has_ended() {
            self.signal(SIGKILL);
            self.forget();
            let _ = self.child.wait();
        }
    }

    fn forget(&self) {
        let id = self.child.id();
        STARTED.lock().unwrap().retain(|started| *started != id);
    }

    /// Ends the process as a planned restart does: SIGTERM, and SIGKILL after 3.7 s.
    pub fn terminate(&mut self) {
        self.signal(SIGTERM);
        let started = Instant::now();
        while started.elapsed() < Duration::from_millis(3700) {
            if self.has_ended() {
                return;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.kill();
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn get(address: SocketAddr, path: &str) -> Option<Message> {
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(500))).ok()?;
    stream.write_all(format!("GET {path} HTTP/1.1\r\nHost: api.internal\r\n\r\n").as_bytes()).ok()?;
    read_message(&mut stream).ok()?
}

/// What a client hands in.
#[derive(Clone)]
pub struct Submission {
    pub id: String,
    pub destination: u64,
    pub class: &'static str,
    pub deadline: Duration,
    pub body: Vec<u8>,
}

/// Hands a message in on a new connection and waits 400 ms for the answer, as the platform's clients do. Returns the status, or
/// `None` without an answer.
pub fn hand_in(address: SocketAddr, submission: &Submission) -> Option<u16> {
    let mut stream = TcpStream::connect(address).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(Duration::from_millis(400))).ok()?;
    let Submission { id, destination, class, deadline, body } = submission;
    let mut request = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: acme\r\n\
         X-Deadline: {}m\r\nIdempotency-Key: key-{id}\r\nContent-Length: {}\r\nX-Addressing: dest={destination}\r\n\r\n",
        deadline.as_millis(),
        body.len()
    )
    .into_bytes();
    request.extend_from_slice(body);
    stream.write_all(&request).ok()?;
    let response = read_message(&mut stream).ok()??;
    let _ = stream.shutdown(Shutdown::Both);
    Some(response.status())
}

/// Bytes that do not repeat, from a number.
pub fn body(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut bytes = Vec::with_capacity(length + 8);
    while bytes.len() < length {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        bytes.extend_from_slice(&state.to_le_bytes());
    }
    bytes.truncate(length);
    bytes
}

/// A temporary folder that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    pub fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("cedarbridge-review-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(path.join("state")).expect("a temporary folder");
        *TEMPORARY.lock().unwrap() = Some(path.clone());
        TemporaryFolder(path)
    }

    pub fn state(&self) -> PathBuf {
        self.0.join("state")
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the case runs with its disruption: not with `TROUBLE=0`.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A switch that threads share.
#[derive(Clone, Default)]
pub struct Switch(Arc<AtomicBool>);

impl Switch {
    pub fn set(&self, on: bool) {
        self.0.store(on, Ordering::SeqCst);
    }

    pub fn is_on(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}

/// The largest of the values that threads report.
#[derive(Clone, Default)]
pub struct Maximum(Arc<AtomicU64>);

impl Maximum {
    pub fn raise(&self, value: u64) -> bool {
        self.0.fetch_max(value, Ordering::SeqCst) < value
    }

    pub fn get(&self) -> u64 {
        self.0.load(Ordering::SeqCst)
    }
}
