//! Small stand-ins for the platform, endpoints and clients of cedarbridge, with the standard library only. Everything
//! listens on loopback addresses. Each test case is a program that includes this file.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Whether the case is played with its disruption.
pub fn with_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of a run: each line begins with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        record.line(format!("TROUBLE={}", u8::from(with_trouble())));
        record
    }

    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} {}\n", self.now_ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

/// Ends the program with the result of the case: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub fn finish(record: &Record, verdict: Result<(), String>, forwarders: &mut [Forwarder]) -> ! {
    for forwarder in forwarders.iter_mut() {
        forwarder.end();
    }
    let code = match verdict {
        Ok(()) => {
            record.line("RESULT: the rule held");
            0
        }
        Err(text) => {
            record.line(format!("RESULT: the rule was broken: {text}"));
            1
        }
    };
    std::process::exit(code)
}

/// Ends the program because the case could not run.
pub fn could_not_run(record: &Record, text: &str, forwarders: &mut [Forwarder]) -> ! {
    for forwarder in forwarders.iter_mut() {
        forwarder.end();
    }
    record.line(format!("RESULT: the case could not run: {text}"));
    std::process::exit(2)
}

// ---------------------------------------------------------------------------------------------- HTTP

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
    let head_end = loop {
        if let Some(at) = find(buffer, b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, buffer) {
            return None;
        }
    };
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut first = lines.next()?.split(' ');
    let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while buffer.len() < head_end + 4 + length {
        if !fill(stream, buffer) {
            return None;
        }
    }
    let body = buffer[head_end + 4..head_end + 4 + length].to_vec();
    buffer.drain(..head_end + 4 + length);
    Some(Request { method, target, headers, body })
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> bool {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&bytes[..count]);
            true
        }
        _ => false,
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

// ---------------------------------------------------------------------------------------------- platform

#[derive(Clone)]
pub struct Member {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub destination: u64,
    pub lifecycle: &'static str,
    pub weight: f64,
}

impl Member {
    fn json(&self) -> String {
        format!(
            "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"{}\",\"cell\":{},\"lifecycle\":\"{}\",\"weight\":{:?},\"startedAtMs\":0}}",
            self.id, self.address, self.zone, self.kind, self.destination, self.lifecycle, self.weight
        )
    }
}

#[derive(Default)]
struct PlatformState {
    generation: u64,
    members: Vec<Member>,
    /// The generation of each change with the changed entry.
    changes: Vec<(u64, Member)>,
    /// While this is set, each request for the list is answered with 503.
    refuses: bool,
    refused: usize,
    /// Watches that were opened at a lower number have been ended.
    epoch: u64,
    /// Notices: id, state and time in milliseconds.
    notices: Vec<(String, String, u64)>,
}

/// The platform's agent: the endpoint list, its watch, and the notices.
#[derive(Clone)]
pub struct Platform {
    pub address: SocketAddr,
    name: String,
    record: Record,
    state: Arc<(Mutex<PlatformState>, Condvar)>,
}

impl Platform {
    pub fn start(record: &Record, name: &str, members: Vec<Member>) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let state = PlatformState { generation: 41, members, ..PlatformState::default() };
        let platform = Platform {
            address: listener.local_addr().unwrap(),
            name: name.to_owned(),
            record: record.clone(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = serving.clone();
                thread::spawn(move || platform.serve(stream));
            }
        });
        platform
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer) {
            if request.method == "POST" && request.target == "/reports" {
                self.take_notices(&request.body);
                if stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_err() {
                    return;
                }
                continue;
            }
            if !request.target.starts_with("/catalog/members") {
                let _ = stream.write_all(&response(404, "", ""));
                continue;
            }
            {
                let mut state = self.state.0.lock().unwrap();
                if state.refuses {
                    state.refused += 1;
                    let count = state.refused;
                    drop(state);
                    self.record.line(format!("{}: turns call {count} for the list away with 503", self.name));
                    let _ = stream.write_all(&response(503, "", ""));
                    continue;
                }
            }
            if request.target.contains("watch=1") {
                let after = request.target.split("after=").nth(1).and_then(|text| text.parse().ok());
                let _ = self.watch(&mut stream, after);
                return;
            }
            let list = self.list();
            let _ = stream.write_all(&response(200, "", &list));
        }
    }

    fn list(&self) -> String {
        let state = self.state.0.lock().unwrap();
        let members: Vec<String> =
            state.members.iter().filter(|m| m.lifecycle != "left").map(Member::json).collect();
        format!(
            "{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}",
            state.generation,
            members.join(",")
        )
    }

    fn watch(&self, stream: &mut TcpStream, after: Option<u64>) -> io::Result<()> {
        self.record.line(format!("{}: a watch is opened, after {after:?}", self.name));
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut known = match after {
            Some(after) => after,
            None => {
                let generation = self.state.0.lock().unwrap().generation;
                chunk(stream, &(self.list() + "\n"))?;
                generation
            }
        };
        let mut first = after.is_some();
        let epoch = self.state.0.lock().unwrap().epoch;
        loop {
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            if state.epoch != epoch {
                return Ok(());
            }
            if state.generation == known && !first {
                state = changed.wait_timeout(state, Duration::from_secs(2)).unwrap().0;
            }
            if state.epoch != epoch {
                return Ok(());
            }
            let generation = state.generation;
            let entries: Vec<String> =
                state.changes.iter().filter(|(at, _)| *at > known).map(|(_, member)| member.json()).collect();
            drop(state);
            if generation != known || first {
                chunk(
                    stream,
                    &format!(
                        "{{\"generation\":{generation},\"reset\":false,\"instances\":[{}]}}\n",
                        entries.join(",")
                    ),
                )?;
            } else {
                chunk(stream, "\n")?;
            }
            known = generation;
            first = false;
        }
    }

    fn take_notices(&self, body: &[u8]) {
        for line in String::from_utf8_lossy(body).lines() {
            let field = |name: &str| {
                let rest = line.split(&format!("\"{name}\":\"")).nth(1)?;
                Some(rest.split('"').next()?.to_owned())
            };
            if let (Some(id), Some(state)) = (field("id"), field("state")) {
                self.record.line(format!("{}: notice {state} for {id}", self.name));
                self.state.0.lock().unwrap().notices.push((id, state, self.record.now_ms()));
            }
        }
    }

    /// The notices so far: id, state and time.
    pub fn notices(&self) -> Vec<(String, String, u64)> {
        self.state.0.lock().unwrap().notices.clone()
    }

    /// Changes the list in one version.
    pub fn change(&self, changed: Vec<Member>) {
        let mut state = self.state.0.lock().unwrap();
        state.generation += 1;
        let generation = state.generation;
        for member in changed {
            self.record.line(format!("{}: list {generation}: {}", self.name, member.json()));
            state.members.retain(|known| known.id != member.id);
            state.members.push(member.clone());
            state.changes.push((generation, member));
        }
        self.state.1.notify_all();
    }

    /// Ends the open watches, and turns calls for the list away until it is told otherwise.
    pub fn refuse(&self, refuses: bool) {
        self.record.line(format!(
            "{}: {}",
            self.name,
            if refuses { "ends its watches and turns calls away" } else { "takes calls again" }
        ));
        let mut state = self.state.0.lock().unwrap();
        state.refuses = refuses;
        state.epoch += u64::from(refuses);
        self.state.1.notify_all();
    }

    pub fn refused(&self) -> usize {
        self.state.0.lock().unwrap().refused
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

// ---------------------------------------------------------------------------------------------- endpoints

/// A message in a call.
#[derive(Clone, Debug)]
pub struct Message {
    pub id: String,
    pub key: String,
    pub body: Vec<u8>,
}

/// A call that an endpoint has received completely.
pub struct Call {
    pub messages: Vec<Message>,
    pub is_batch: bool,
    /// The number of the call on its connection, from 0.
    pub number: usize,
    /// The number of the connection, from 0.
    pub connection: usize,
}

/// What an endpoint does with a call.
pub enum Step {
    Wait(u64),
    Write(Vec<u8>),
    /// Writes the bytes, unless something else waits on the connection.
    WriteIfQuiet(Vec<u8>),
    /// Closes the connection.
    Close,
    /// Says nothing more on this connection until the other side ends it.
    Hang,
}

pub type Handler = Arc<dyn Fn(&Call) -> Vec<Step> + Send + Sync>;

/// The whole answer to a call in which all messages are delivered.
pub fn delivered(call: &Call) -> Vec<u8> {
    let body: String = match call.is_batch {
        true => call.messages.iter().map(|message| format!("{} delivered\r\n", message.id)).collect(),
        false => String::new(),
    };
    response(200, "", &body)
}

/// Starts an endpoint; returns its address.
pub fn start_endpoint(handler: Handler) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let handler = handler.clone();
            thread::spawn(move || serve_endpoint(stream, connection, handler));
        }
    });
    address
}

fn serve_endpoint(mut stream: TcpStream, connection: usize, handler: Handler) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    let mut number = 0;
    while let Some(request) = read_request(&mut stream, &mut buffer) {
        let Some(call) = read_call(request, number, connection) else {
            let _ = stream.write_all(&response(400, "", ""));
            continue;
        };
        number += 1;
        for step in handler(&call) {
            match step {
                Step::Wait(ms) => sleep_ms(ms),
                Step::Write(bytes) => {
                    if stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Step::WriteIfQuiet(bytes) => {
                    let is_quiet = buffer.is_empty() && nothing_waits(&stream);
                    if is_quiet && stream.write_all(&bytes).is_err() {
                        return;
                    }
                }
                Step::Close => return,
                Step::Hang => {
                    let mut rest = [0; 4096];
                    while matches!(stream.read(&mut rest), Ok(count) if count > 0) {}
                    return;
                }
            }
        }
    }
}

/// Whether nothing has arrived on the connection that was not read yet.
fn nothing_waits(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0; 1]);
    let _ = stream.set_nonblocking(false);
    matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

fn read_call(request: Request, number: usize, connection: usize) -> Option<Call> {
    if request.method != "POST" {
        return None;
    }
    if request.target == "/v1/messages" {
        let id = request.headers.get("x-request-id")?.clone();
        let key = request.headers.get("idempotency-key").cloned().unwrap_or("-".to_owned());
        let messages = vec![Message { id, key, body: request.body }];
        return Some(Call { messages, is_batch: false, number, connection });
    }
    if request.target != "/v1/messages:batch" {
        return None;
    }
    let (mut rest, mut messages) = (request.body.as_slice(), Vec::new());
    while !rest.is_empty() {
        let end = find(rest, b"\r\n")?;
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let mut words = line.split(' ');
        let (id, key) = (words.next()?.to_owned(), words.next()?.to_owned());
        let length: usize = words.next()?.parse().ok()?;
        let body = rest.get(end + 2..end + 2 + length)?.to_vec();
        messages.push(Message { id, key, body });
        rest = rest.get(end + 2 + length + 2..)?;
    }
    Some(Call { messages, is_batch: true, number, connection })
}

// ---------------------------------------------------------------------------------------------- network

/// A network between a forwarder and an endpoint: bytes take `one_way_ms` in each direction. Returns its address.
pub fn start_delay(target: SocketAddr, one_way_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            carry(near.try_clone().unwrap(), far.try_clone().unwrap(), one_way_ms);
            carry(far, near, one_way_ms);
        }
    });
    address
}

fn carry(mut from: TcpStream, mut to: TcpStream, delay_ms: u64) {
    let (sender, receiver) = std::sync::mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut bytes = [0; 64 * 1024];
        loop {
            let count = from.read(&mut bytes).unwrap_or(0);
            if sender
                .send((Instant::now() + Duration::from_millis(delay_ms), bytes[..count].to_vec()))
                .is_err()
                || count == 0
            {
                return;
            }
        }
    });
    thread::spawn(move || {
        while let Ok((at, bytes)) = receiver.recv() {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}

// ---------------------------------------------------------------------------------------------- clients

pub struct Submission<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: &'a str,
    pub deadline_ms: u64,
    pub key: &'a str,
    pub destination: u64,
    pub retry: Option<&'a str>,
    pub body: &'a [u8],
}

impl Submission<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let retry = self.retry.map_or(String::new(), |retry| format!("X-Retry: {retry}\r\n"));
        let mut bytes = format!(
            "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: {}\r\nX-Class: {}\r\nX-Tenant: {}\r\nX-Deadline: {}m\r\nIdempotency-Key: {}\r\n{retry}Content-Length: {}\r\nX-Addressing: dest={}\r\n\r\n",
            self.id, self.class, self.tenant, self.deadline_ms, self.key, self.body.len(), self.destination
        )
        .into_bytes();
        bytes.extend_from_slice(self.body);
        bytes
    }

    /// Hands the message in on a new connection; returns the status of the answer, or `None` if none came within 400 ms.
    pub fn send(&self, record: &Record, forwarder: SocketAddr) -> Option<u16> {
        let status = TcpStream::connect(forwarder).ok().and_then(|mut stream| {
            let _ = stream.set_nodelay(true);
            stream.write_all(&self.bytes()).ok()?;
            read_status(&mut stream, 400)
        });
        record.line(format!(
            "client: hands in {} (key {}, dest {}, X-Retry {:?}): {}",
            self.id,
            self.key,
            self.destination,
            self.retry,
            status.map_or("no answer".to_owned(), |status| status.to_string())
        ));
        status
    }
}

/// Reads the status of an answer within a time.
pub fn read_status(stream: &mut TcpStream, within_ms: u64) -> Option<u16> {
    stream.set_read_timeout(Some(Duration::from_millis(within_ms))).ok()?;
    let mut bytes = Vec::new();
    while find(&bytes, b"\r\n\r\n").is_none() {
        if !fill(stream, &mut bytes) {
            return None;
        }
    }
    String::from_utf8_lossy(&bytes).split(' ').nth(1)?.parse().ok()
}

// ---------------------------------------------------------------------------------------------- forwarders

/// A forwarder, started with the command of the deploy file.
pub struct Forwarder {
    pub name: String,
    pub listen: SocketAddr,
    child: Option<Child>,
    config: PathBuf,
    folder: PathBuf,
    root: PathBuf,
    record: Record,
    /// Where operators call this process, if it has such an address.
    pub operator: Option<SocketAddr>,
}

pub fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The project's root, from which the deploy file's command is started.
pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("run.sh sets ROOT"))
}

/// The folder of the case, which holds its record.
pub fn case_folder() -> PathBuf {
    PathBuf::from(std::env::var("CASE").expect("run.sh sets CASE"))
}

/// The temporary folder of the run.
pub fn work_folder() -> PathBuf {
    PathBuf::from(std::env::var("WORK").expect("run.sh sets WORK"))
}

impl Forwarder {
    /// Prepares a forwarder with its configuration; `settings` is the object of the same name.
    pub fn prepare(record: &Record, name: &str, platform: &Platform, settings: &str) -> Forwarder {
        let folder = work_folder().join(name);
        fs::create_dir_all(folder.join("state")).expect("a folder for the state");
        fs::create_dir_all(folder.join("tmp")).expect("a temporary folder");
        let listen = free_address();
        let known = platform.list();
        let config = format!(
            "{{\"name\":\"{name}\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"seed\":\"{:x}\",\"state\":\"{}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_mb\":3}},\"known\":{known},\"settings\":{settings}}}",
            platform.address,
            0x8c1f30d27a5be964u64 ^ name.bytes().map(u64::from).sum::<u64>(),
            folder.join("state").display()
        );
        let path = folder.join("config.json");
        fs::write(&path, config).expect("the configuration can be written");
        Forwarder {
            name: name.to_owned(),
            listen,
            child: None,
            config: path,
            folder,
            root: root(),
            record: record.clone(),
            operator: None,
        }
    }

    /// The process that replaces this one while it serves: all is the same but the address for operators.
    pub fn successor(&self, name: &str) -> Forwarder {
        Forwarder {
            name: name.to_owned(),
            listen: self.listen,
            child: None,
            config: self.config.clone(),
            folder: self.folder.clone(),
            root: self.root.clone(),
            record: self.record.clone(),
            operator: Some(free_address()),
        }
    }

    /// Starts the process and waits until it is ready; false if it is not within 10 s.
    pub fn start(&mut self) -> bool {
        let (address, target) = match self.operator {
            Some(operator) => (operator, "/admin/health"),
            None => (self.listen, "/_health"),
        };
        let deploy = fs::read_to_string(self.root.join("deploy/balancer.toml")).expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("the line run");
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log")).unwrap();
        let mut command = Command::new("/bin/sh");
        if let Some(operator) = self.operator {
            command.env("ROUTER_OPERATOR", operator.to_string());
        }
        let child = command
            .arg("-c")
            .arg(run.trim().trim_matches('"'))
            .current_dir(&self.root)
            .env("ROUTER_CONFIG", &self.config)
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the forwarder can be started");
        self.record.line(format!("{}: started", self.name));
        // run.sh ends what is left if this program is ended itself.
        let pids = fs::OpenOptions::new().create(true).append(true).open(work_folder().join("pids"));
        let _ = pids.and_then(|mut file| writeln!(file, "{}", child.id()));
        self.child = Some(child);
        let started_at = Instant::now();
        while started_at.elapsed() < Duration::from_secs(10) {
            if get(address, target) == Some(200) {
                self.record.line(format!("{}: ready", self.name));
                return true;
            }
            sleep_ms(20);
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            self.record.line(format!("{}: signal {signal}", self.name));
            // SAFETY: sends a signal to a process that this program has started and not yet waited for.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Kills the process and waits for its end.
    pub fn end(&mut self) {
        if self.child.is_some() {
            self.signal(SIGKILL);
        }
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        self.end();
    }
}

fn get(address: SocketAddr, target: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok()?;
    stream
        .write_all(format!("GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").as_bytes())
        .ok()?;
    read_status(&mut stream, 500)
}
