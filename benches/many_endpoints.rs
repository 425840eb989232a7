//! Compares what a forwarder uses with 200 and with 3,200 endpoints, at the same traffic and total capacity: CPU time,
//! peak memory, file descriptors and connections. The last column is what the platform allows. One entry of the
//! endpoint list changes every 250 ms.
//!
//! `cargo bench --bench many_endpoints [SECONDS]`
#![allow(missing_docs)]

use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

const FEW_ENDPOINTS: usize = 200;
const MANY_ENDPOINTS: usize = 3_200;
const ENDPOINTS_PER_DESTINATION: usize = 2;
const MESSAGES_PER_S: u32 = 48;
const CHANGE_INTERVAL: Duration = Duration::from_millis(250);
/// The number of messages that all destinations together accept in a second.
const TOTAL_CAPACITY_PER_S: f64 = 2_000.0;
/// The states that the changing entry of the list takes in turn.
const LIFECYCLES: [&str; 3] = ["leaving", "left", "active"];
/// The time after which an endpoint answers a call.
const ENDPOINT_LATENCY: Duration = Duration::from_millis(150);
const CLIENTS: usize = 8;
const DEFAULT_SECONDS: u64 = 20;
/// The clock ticks in a second of `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;

/// What a forwarder used in one run.
struct Usage {
    /// CPU time in user and kernel mode, in seconds.
    cpu_s: f64,
    /// Peak resident memory.
    memory_mb: f64,
    /// Open file descriptors at the end.
    descriptors: usize,
    /// Connections that it opened to endpoints.
    connections: u64,
    /// Delivered messages.
    delivered: u64,
}

fn read_head(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    loop {
        let before = head.len();
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
        if &head[before..] == "\r\n" {
            return Some(head);
        }
    }
}

/// Reads a request or a response with its body and returns its head. `None` at the end of the connection.
fn read_message(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let head = read_head(reader)?;
    let length = head.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(head)
}

/// Listens on an address and handles each connection on a thread of its own. Returns the address with the port that was
/// bound.
fn serve(address: SocketAddr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).expect("an address");
    let bound = listener.local_addr().expect("bound");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
    bound
}

fn answer_all(stream: TcpStream, response: &str) {
    let mut writer = stream.try_clone().expect("a handle");
    let mut reader = BufReader::new(stream);
    while read_message(&mut reader).is_some() {
        thread::sleep(ENDPOINT_LATENCY);
        if writer.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

/// An entry of the endpoint list. Each endpoint has its own loopback address, and all have the same port.
fn entry(number: usize, endpoints: usize, port: u16, lifecycle: &str) -> Value {
    let destinations = endpoints / ENDPOINTS_PER_DESTINATION;
    let weight = TOTAL_CAPACITY_PER_S / destinations as f64;
    json!({"instanceId": format!("s-{number}"), "hostPort": format!("127.9.{}.{}:{port}", number / 250, 1 + number % 250),
        "zone": "room", "machineType": "one", "cell": number % destinations, "lifecycle": lifecycle,
        "weight": weight, "startedAtMs": 0})
}

/// Answers a watch of the endpoint list: sends the complete list, then one changed entry per interval. A POST is a
/// delivery report.
fn watch(stream: TcpStream, endpoints: usize, port: u16) {
    let mut writer = stream.try_clone().expect("a handle");
    let mut reader = BufReader::new(stream);
    let Some(head) = read_message(&mut reader) else { return };
    if head.starts_with("POST") {
        // The connection ends after the response, so a failed write needs no handling.
        let _ =
            writer.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return;
    }
    let entries: Vec<Value> = (0..endpoints).map(|number| entry(number, endpoints, port, "active")).collect();
    let mut line = json!({"generation": 1, "reset": true, "instances": entries}).to_string() + "\n";
    let mut sent = writer.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    for generation in 2_usize.. {
        sent = sent.and_then(|()| write!(writer, "{:x}\r\n{line}\r\n", line.len()));
        if sent.is_err() {
            return;
        }
        thread::sleep(CHANGE_INTERVAL);
        // One endpoint after the other drains, is removed and is added again.
        let lifecycle = LIFECYCLES[generation % LIFECYCLES.len()];
        let number = generation / LIFECYCLES.len() * 37 % endpoints;
        let changed = entry(number, endpoints, port, lifecycle);
        line = json!({"generation": generation, "reset": false, "instances": [changed]}).to_string() + "\n";
    }
}

fn configuration(folder: &Path, platform: SocketAddr) -> Value {
    let text = fs::read_to_string(Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/config.json"));
    let mut config: Value = serde_json::from_str(&text.expect("read")).expect("JSON");
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = platform.to_string().into();
    config["state"] = folder.join("state").to_string_lossy().into();
    config["settings"]["kinds"] = json!(["one"]);
    config["settings"]["specifics"]["own-limits"] = json!([false]);
    config["settings"]["specifics"]["per-call"] = json!([1]);
    config.as_object_mut().expect("an object").remove("operator");
    config
}

/// Starts the forwarder. Returns its process and the address to which clients connect.
fn start(folder: &Path, platform: SocketAddr) -> (Child, SocketAddr) {
    let path = folder.join("config.json");
    fs::write(&path, configuration(folder, platform).to_string()).expect("written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_cedarbridge"));
    command.arg(&path).stderr(Stdio::piped()).env_clear();
    let mut process = command.spawn().expect("it starts");
    let lines = BufReader::new(process.stderr.take().expect("a pipe")).lines();
    let mut lines = lines.map_while(Result::ok);
    let address = lines.find_map(|line| {
        let address = line.split("listen: ").nth(1)?.split(',').next()?;
        address.parse().ok()
    });
    thread::spawn(move || lines.for_each(drop));
    (process, address.expect("a log line with its address"))
}

/// Draws destinations at random by Zipf's law: the traffic of a destination is inversely proportional to its rank.
struct Destinations {
    /// For each destination, the share of all traffic that goes to it and those before it.
    cumulative: Vec<f64>,
    random: fastrand::Rng,
}

impl Destinations {
    fn new(count: usize, seed: u64) -> Self {
        let mut sum = 0.0;
        let weights = (1..=count).map(|rank| 1.0 / rank as f64);
        let sums = weights.map(|weight| {
            sum += weight;
            sum
        });
        let sums: Vec<f64> = sums.collect();
        let cumulative = sums.iter().map(|part| part / sum).collect();
        Destinations { cumulative, random: fastrand::Rng::with_seed(seed) }
    }

    fn draw(&mut self) -> usize {
        let share = self.random.f64();
        self.cumulative.partition_point(|cumulative| *cumulative < share).min(self.cumulative.len() - 1)
    }
}

/// Sends messages at the client's share of the rate, over one connection that is opened again after it has ended.
fn send_messages(client: usize, forwarder: SocketAddr, destinations: usize, until: Instant) {
    let mut destinations = Destinations::new(destinations, client as u64);
    let pause = Duration::from_secs(1) * CLIENTS as u32 / MESSAGES_PER_S;
    let mut connection: Option<BufReader<TcpStream>> = None;
    let mut due = Instant::now() + pause * client as u32 / CLIENTS as u32;
    for number in 0_usize.. {
        due += pause;
        if due > until {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let destination = destinations.draw();
        let request = format!(
            "POST /api HTTP/1.1\r\nX-Request-Id: c{client}-{number}\r\nX-Class: notice\r\nX-Tenant: acme\r\n\
             X-Deadline: 9000m\r\nIdempotency-Key: k{client}-{number}\r\nX-Addressing: dest={destination}\r\n\
             Content-Length: 3\r\n\r\nabc"
        );
        let reader = connection
            .get_or_insert_with(|| BufReader::new(TcpStream::connect(forwarder).expect("it listens")));
        let written = reader.get_mut().write_all(request.as_bytes()).is_ok();
        let answered = written.then(|| read_message(reader)).flatten();
        if answered.is_none_or(|head| head.contains("Connection: close")) {
            connection = None;
        }
    }
}

fn cpu_s(process: &Child) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", process.id())).expect("it runs");
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |field: usize| fields[field].parse::<f64>().unwrap_or_default();
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

fn peak_memory_mb(process: &Child) -> f64 {
    let status = fs::read_to_string(format!("/proc/{}/status", process.id())).expect("it runs");
    let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB"));
    peak.and_then(|kb| kb.parse::<f64>().ok()).unwrap_or_default() / 1024.0
}

fn run(endpoints: usize, seconds: u64) -> Usage {
    let folder: PathBuf = std::env::temp_dir().join(format!("cedarbridge-many-{}", std::process::id()));
    fs::create_dir_all(folder.join("state")).expect("a folder");
    let connections = Arc::new(AtomicU64::new(0));
    let connection_count = connections.clone();
    let endpoint = serve(SocketAddr::from(([0, 0, 0, 0], 0)), move |stream| {
        connection_count.fetch_add(1, Ordering::Relaxed);
        answer_all(stream, "HTTP/1.1 200 OK\r\nX-Load: x0=0.9,x1=100\r\nContent-Length: 0\r\n\r\n");
    });
    let platform = serve(SocketAddr::from(([127, 0, 0, 1], 0)), move |stream| {
        watch(stream, endpoints, endpoint.port());
    });
    let (mut process, forwarder) = start(&folder, platform);
    thread::sleep(Duration::from_millis(500));
    let until = Instant::now() + Duration::from_secs(seconds);
    let destinations = endpoints / ENDPOINTS_PER_DESTINATION;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| thread::spawn(move || send_messages(client, forwarder, destinations, until)))
        .collect();
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    let descriptors = fs::read_dir(format!("/proc/{}/fd", process.id())).map_or(0, Iterator::count);
    let mut reader = BufReader::new(TcpStream::connect(forwarder).expect("it listens"));
    reader.get_mut().write_all(b"GET /_counters HTTP/1.1\r\nConnection: close\r\n\r\n").expect("written");
    let mut response = String::new();
    reader.read_to_string(&mut response).expect("the counters");
    let counters: Value =
        serde_json::from_str(response.split("\r\n\r\n").nth(1).expect("a body")).expect("JSON");
    let usage = Usage {
        cpu_s: cpu_s(&process),
        memory_mb: peak_memory_mb(&process),
        descriptors,
        connections: connections.load(Ordering::Relaxed),
        delivered: counters["delivered"].as_u64().unwrap_or_default(),
    };
    process.kill().and_then(|()| process.wait()).expect("it ends");
    fs::remove_dir_all(folder).expect("removed");
    usage
}

fn main() {
    let seconds = std::env::args().filter_map(|argument| argument.parse().ok()).next();
    let seconds = seconds.unwrap_or(DEFAULT_SECONDS);
    let few = run(FEW_ENDPOINTS, seconds);
    let many = run(MANY_ENDPOINTS, seconds);
    let thousands = MANY_ENDPOINTS as f64 / 1_000.0;
    println!(
        "{seconds} s, {MESSAGES_PER_S} messages/s; {FEW_ENDPOINTS} endpoints, {MANY_ENDPOINTS}, allowed"
    );
    let allowed_cpu_s = 1.4 * few.cpu_s + 0.02 + 0.03 * thousands;
    println!("CPU s         {:8.2} {:8.2} {:8.2}", few.cpu_s, many.cpu_s, allowed_cpu_s);
    let allowed_mb = 1.5 * few.memory_mb + 8.0 + 4.0 * thousands;
    println!("peak MB       {:8.1} {:8.1} {:8.1}", few.memory_mb, many.memory_mb, allowed_mb);
    let allowed_descriptors = 2 * few.descriptors + 40;
    println!("descriptors   {:8} {:8} {:8}", few.descriptors, many.descriptors, allowed_descriptors);
    let allowed_connections = few.connections * 5 / 2 + 40;
    println!("connections   {:8} {:8} {:8}", few.connections, many.connections, allowed_connections);
    println!("delivered     {:8} {:8}", few.delivered, many.delivered);
}
