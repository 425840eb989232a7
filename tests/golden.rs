//! Golden tests: what leaves the process is byte for byte what release 5c6b612 sent. They cover responses to clients,
//! calls to endpoints, requests to the platform, delivery reports, responses to operators, the keys of the counters and
//! what the commands print.
//!
//! `tests/data/golden/` was written by 5c6b612 itself: this file was put into a checkout of it and run with
//! `WRITE_GOLDEN=1`. Since then only error texts in `commands.txt` were updated after they had been reworded.

use serde_json::{json, Value};
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::Duration;

/// How long a test waits for a step before it fails. A correct program needs less for each step.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Compares a transcript with a golden file line by line, or writes the file if `WRITE_GOLDEN` is set.
fn assert_matches_golden_file(name: &str, transcript: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden").join(name);
    if std::env::var_os("WRITE_GOLDEN").is_some() {
        fs::create_dir_all(path.parent().expect("a folder")).expect("created");
        fs::write(path, transcript).expect("written");
        return;
    }
    let expected = fs::read_to_string(path).expect("read");
    for (index, (actual_line, expected_line)) in transcript.lines().zip(expected.lines()).enumerate() {
        assert_eq!(actual_line, expected_line, "line {} of {name}", index + 1);
    }
    assert_eq!(transcript.lines().count(), expected.lines().count(), "lines of {name}");
}

/// A command that runs the program without the environment variables that it reads.
fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cedarbridge"));
    for name in ["NAME", "LISTEN", "DISCOVERY", "STATE", "CONFIG", "OPERATOR"] {
        command.env_remove(format!("ROUTER_{name}"));
    }
    command.env_remove("CEDARBRIDGE_SITE");
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    command
}

struct TestFolder(PathBuf);

impl TestFolder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("cedarbridge-golden-{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).expect("a folder");
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Reads one HTTP message: its head, and as many bytes of body as its `Content-Length` says. `None` at the end of the
/// connection.
fn read_message(stream: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    loop {
        let before = text.len();
        if stream.read_line(&mut text).ok()? == 0 {
            return (!text.is_empty()).then_some(text);
        }
        if &text[before..] == "\r\n" {
            break;
        }
    }
    let length =
        text.lines().find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(text + &String::from_utf8(body).expect("text"))
}

/// Listens on a free port and sends each request to a channel, with the stream on which to respond.
fn listen() -> (SocketAddr, Receiver<(String, TcpStream)>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("bound");
    let (sender, requests) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let sender = sender.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a handle"));
                while let Some(request) = read_message(&mut reader) {
                    let response_stream = stream.try_clone().expect("a handle");
                    if sender.send((request, response_stream)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, requests)
}

/// A record of everything that was received. Values that change from run to run are replaced by fixed names.
#[derive(Default)]
struct Transcript {
    text: String,
    /// The values to replace, each with its fixed name.
    names: Vec<(String, &'static str)>,
}

impl Transcript {
    fn add(&mut self, title: &str, received: &str) {
        let replace_values =
            |text: &str| self.names.iter().fold(text.to_owned(), |text, (from, to)| text.replace(from, to));
        let (title, received) = (replace_values(title), replace_values(received));
        let lines = received.split('\n').map(|line| {
            let line = line.replace('\r', "\\r");
            let Some((before, value)) = line.split_once("X-Deadline: ") else { return line };
            let unit = value.trim_start_matches(|c: char| c.is_ascii_digit());
            format!("{before}X-Deadline: N{unit}")
        });
        self.text += &format!("== {title}\n{}\n", lines.collect::<Vec<_>>().join("\n"));
    }
}

struct Forwarder {
    program: Child,
    /// The address for clients.
    client: SocketAddr,
    /// The address for operators.
    operator: SocketAddr,
}

impl Forwarder {
    /// Starts the program and reads its addresses from its log.
    fn start(config: &Path) -> Self {
        let mut program = program().arg(config).stderr(Stdio::piped()).spawn().expect("it starts");
        let lines = BufReader::new(program.stderr.take().expect("a pipe")).lines();
        let (sender, log) = channel();
        thread::spawn(move || {
            lines.map_while(Result::ok).for_each(|line| {
                eprintln!("  {line}");
                let _ = sender.send(line);
            });
        });
        let address = |line: &str, key: &str| {
            line.split_once(key).and_then(|parts| parts.1.split(',').next()?.trim().parse().ok())
        };
        let (mut client, mut operator) = (None, None);
        while client.is_none() || operator.is_none() {
            let line = log.recv_timeout(TIMEOUT).expect("its addresses");
            client = client.or_else(|| address(&line, "listen: ").filter(|_| line.contains("serving")));
            operator = operator.or_else(|| address(&line, "operator: "));
        }
        Forwarder { program, client: client.expect("just set"), operator: operator.expect("just set") }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

/// Sends a request on a connection of its own and returns the response.
fn exchange(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_read_timeout(Some(TIMEOUT)).expect("set");
    stream.write_all(request.as_bytes()).expect("written");
    read_message(&mut BufReader::new(stream)).expect("a response")
}

fn post(id: &str, class: &str, destination: u32) -> String {
    format!(
        "POST /api HTTP/1.1\r\nX-Request-Id: {id}\r\nX-Class: {class}\r\nX-Tenant: acme\r\nX-Deadline: 9000m\r\n\
         Idempotency-Key: key-{id}\r\nX-Addressing: dest={destination}\r\nContent-Length: 3\r\n\r\nxxx"
    )
}

fn class(name: &str, semantics: &str) -> Value {
    json!({"name": name, "semantics": semantics, "promise": 2000.0, "deadline": 20000.0, "gain": 1.0,
        "late-worth": 0.3, "memory-span": 30000.0, "dedup-scope": "all"})
}

fn configuration(state: &Path, platform: SocketAddr) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "operator": "127.0.0.1:0", "discovery": platform.to_string(),
        "state": state, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256, "disk_mb": 1.0},
        "settings": {
            "azs": ["east", "west"], "zone": "east", "balancers": 1, "me": 0, "kinds": ["one", "many"],
            "discovery": "pushed",
            "categories": [class("notice", "token"), class("once", "side_effect"), class("free", "pure")],
            "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 1000.0}],
            "granularity": 5.0, "weight-source": "rough", "fees": {}, "callers": {"marks-retry": true},
            "permissions": {"max-open": 8, "max-attempts": 3, "cancel": true, "retry-after": true,
                "max-retry-after": 3000.0, "conn-idle": 5000.0, "dial-timeout": 12000.0},
            "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 9000.0, "cold-from": 0.2, "drain-grace": 250.0},
            "specifics": {"call-slots": 4, "late": "linear", "own-limits": [false, false], "per-call": [1, 3]},
        },
    })
}

fn entry(id: &str, address: SocketAddr, kind: &str, destination: u32) -> Value {
    json!({"instanceId": id, "hostPort": address.to_string(), "zone": "east", "machineType": kind,
        "cell": destination, "lifecycle": "active", "weight": 50.0, "startedAtMs": 0})
}

fn wait_for(forwarder: &Forwarder, counter: &str, expected: u64) {
    for _ in 0..1500 {
        if counters(forwarder)[counter] == expected {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{counter} never was {expected}");
}

fn counters(forwarder: &Forwarder) -> Value {
    let response = exchange(forwarder.client, "GET /_counters HTTP/1.1\r\nConnection: close\r\n\r\n");
    serde_json::from_str(response.split_once("\r\n\r\n").expect("a body").1).expect("JSON")
}

/// The path of each key with the type of its value, in order.
fn keys(value: &Value, path: &str) -> Vec<String> {
    match value {
        Value::Object(fields) => fields.iter().flat_map(|(k, v)| keys(v, &format!("{path}/{k}"))).collect(),
        Value::Array(_) => vec![format!("{path} list")],
        Value::Bool(_) => vec![format!("{path} bool")],
        Value::Number(_) => vec![format!("{path} number")],
        Value::String(_) => vec![format!("{path} text")],
        Value::Null => vec![format!("{path} null")],
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "the order of the whole exchange matters")]
fn everything_on_the_wire_is_as_recorded() {
    let folder = TestFolder::new("wire");
    let (platform, requests) = listen();
    let (first, first_calls) = listen();
    let (second, second_calls) = listen();
    let config = folder.0.join("config.json");
    fs::write(&config, configuration(&folder.0.join("state"), platform).to_string()).expect("written");
    let forwarder = Forwarder::start(&config);
    let names = vec![
        (platform.to_string(), "PLATFORM"),
        (first.to_string(), "E1"),
        (second.to_string(), "E2"),
        (forwarder.client.to_string(), "CLIENT"),
        (forwarder.operator.to_string(), "OPERATOR"),
    ];
    let mut transcript = Transcript { names, ..Transcript::default() };

    let (request, mut watch) = requests.recv_timeout(TIMEOUT).expect("a watch");
    transcript.add("watch", &request);
    let list = json!({"generation": 7, "reset": true,
        "instances": [entry("e1", first, "one", 1), entry("e2", second, "many", 2)]});
    let line = list.to_string() + "\n";
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    watch.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).expect("written");
    wait_for(&forwarder, "lists", 1);

    transcript.add("accepted", &exchange(forwarder.client, &post("m1", "notice", 1)));
    let (call, mut response_stream) = first_calls.recv_timeout(TIMEOUT).expect("a call");
    transcript.add("call of one message", &call);
    transcript.add("duplicate", &exchange(forwarder.client, &post("m1", "notice", 1)));
    response_stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
    wait_for(&forwarder, "delivered", 1);
    // While all four call slots are in use, further messages wait and form a batch.
    let mut response_streams: Vec<TcpStream> = Vec::new();
    for id in ["b1", "b2", "b3", "b4"] {
        exchange(forwarder.client, &post(id, "notice", 2));
        let (call, stream) = second_calls.recv_timeout(TIMEOUT).expect("a call");
        assert!(call.contains(id), "{call}");
        response_streams.push(stream);
    }
    exchange(forwarder.client, &post("b5", "notice", 2));
    exchange(forwarder.client, &post("b6", "free", 2));
    for mut stream in response_streams {
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").expect("written");
    }
    let (call, mut stream) = second_calls.recv_timeout(TIMEOUT).expect("a call");
    transcript.add("call of a batch", &call);
    let body = "b5 delivered\r\nb6 delivered\r\n";
    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    stream.write_all(response.as_bytes()).expect("written");
    wait_for(&forwarder, "delivered", 7);
    transcript.add("no retry mark", &exchange(forwarder.client, &post("m3", "once", 1)));
    let (call, response_stream) = first_calls.recv_timeout(TIMEOUT).expect("a call");
    transcript.add("call that must not be repeated", &call);
    response_stream.shutdown(std::net::Shutdown::Both).expect("open");
    let (report, mut response_stream) = requests.recv_timeout(TIMEOUT).expect("a report");
    transcript.add("report of a failure", &report);
    response_stream.write_all(b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n").expect("written");
    wait_for(&forwarder, "notices", 1);

    let valid = post("m9", "notice", 1);
    for (title, request) in [
        ("health", "GET /_health HTTP/1.1\r\n\r\n".to_owned()),
        ("unknown path", "GET /nothing HTTP/1.1\r\n\r\n".to_owned()),
        ("wrong method", "GET /api HTTP/1.1\r\n\r\n".to_owned()),
        ("no HTTP", "nonsense\r\n\r\n".to_owned()),
        ("unknown class", valid.replace("notice", "nothing")),
        ("unknown tenant", valid.replace("acme", "nobody")),
        ("unknown destination", valid.replace("dest=1", "dest=77")),
        ("no destination", valid.replace("X-Addressing: dest=1\r\n", "")),
        ("odd destination", valid.replace("dest=1", "to=1")),
        ("no id", valid.replace("X-Request-Id: m9\r\n", "")),
        ("empty id", valid.replace("X-Request-Id: m9", "X-Request-Id: ")),
        ("no class", valid.replace("X-Class: notice\r\n", "")),
        ("no tenant", valid.replace("X-Tenant: acme\r\n", "")),
        ("no key", valid.replace("Idempotency-Key: key-m9\r\n", "")),
        ("no deadline", valid.replace("X-Deadline: 9000m\r\n", "")),
        ("odd deadline", valid.replace("9000m", "soon")),
        ("no time left", valid.replace("9000m", "0m")),
        ("a header twice", valid.replace("X-Class: notice\r\n", "X-Class: notice\r\nX-Class: notice\r\n")),
        ("no length", valid.replace("Content-Length: 3\r\n", "")),
        ("odd length", valid.replace("Content-Length: 3", "Content-Length: three")),
        ("too large", valid.replace("Content-Length: 3", "Content-Length: 99999999")),
        ("chunked", valid.replace("Content-Length: 3", "Transfer-Encoding: chunked")),
        ("odd retry mark", valid.replace("X-Class:", "X-Retry: maybe\r\nX-Class:")),
        ("HTTP/1.0", "GET /_health HTTP/1.0\r\n\r\n".to_owned()),
        ("asks to close", "GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n".to_owned()),
    ] {
        transcript.add(title, &exchange(forwarder.client, &request));
    }

    let owner = fs::read_to_string(folder.0.join("state/owner")).expect("an owner");
    let owner: Value = serde_json::from_str(&owner).expect("JSON");
    let token = owner["token"].as_str().expect("a token");
    let command = |name: &str, body: &str| {
        format!("POST /admin/{name} HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}", body.len())
    };
    let hand_over = |token: &str, format: u32| {
        format!("POST /admin/handover HTTP/1.1\r\nX-Token: {token}\r\nX-Format: {format}\r\nContent-Length: 0\r\n\r\n")
    };
    for (title, request) in [
        ("admin health", "GET /admin/health HTTP/1.1\r\n\r\n".to_owned()),
        ("cordon", command("cordon", "e1")),
        ("cordon once more", command("cordon", "e1")),
        ("uncordon", command("uncordon", "e1")),
        ("cordon of an unknown one", command("cordon", "nobody")),
        ("uncordon of an unknown one", command("uncordon", "nobody")),
        ("cordon of nothing", command("cordon", "")),
        ("cordon of an odd id", command("cordon", "two words")),
        ("cordon, too long", command("cordon", &"x".repeat(2000))),
        ("cordon by GET", "GET /admin/cordon HTTP/1.1\r\n\r\n".to_owned()),
        ("unknown admin call", command("nothing", "")),
        ("no admin call", "GET /nothing HTTP/1.1\r\n\r\n".to_owned()),
        ("no HTTP to admin", "nonsense\r\n\r\n".to_owned()),
        ("quiesce", command("quiesce", "")),
        ("admin health when quiesced", "GET /admin/health HTTP/1.1\r\n\r\n".to_owned()),
        ("resume", command("resume", "")),
        ("hand-over with a wrong token", hand_over("guessed", 4)),
        ("hand-over in another format", hand_over(token, 3)),
    ] {
        transcript.add(title, &exchange(forwarder.operator, &request));
    }
    transcript.add("counters", &keys(&counters(&forwarder), "").join("\n"));
    assert_matches_golden_file("wire.txt", &transcript.text);
}

#[test]
fn the_commands_print_what_was_recorded() {
    let folder = TestFolder::new("commands");
    let names = vec![(folder.0.display().to_string(), "FOLDER")];
    let mut transcript = Transcript { names, ..Transcript::default() };
    let valid = folder.0.join("good.yaml");
    fs::copy(Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/golden/site.yaml"), &valid)
        .expect("copied");
    let invalid = folder.0.join("bad.yaml");
    let text = "version: 1\nroutes:\n  - name: a\n    match: {kind: nothing, class: notice}\n    timeout: 6\n  - name: a\n    \
                match: {class: notice}\n    timeout: 20s\n    attempts: 9\n    give-up: 99s\n    typo: 1\n";
    fs::write(&invalid, text).expect("written");
    let config = "tests/data/golden/config.json";
    let (valid, invalid) = (valid.display().to_string(), invalid.display().to_string());
    let (mut accepted_commands, mut rejected_commands) = (Vec::new(), Vec::new());
    accepted_commands.push(vec!["check", "--config", config, "--json", &valid]);
    accepted_commands.push(vec!["check", "--config", config, &valid]);
    for options in [
        &["--kind", "cable-operator", "--class", "notice"][..],
        &["--kind", "small-partner", "--class", "notice"],
        &[],
    ] {
        accepted_commands.push([&["explain", "--config", config, "--json", &valid][..], options].concat());
        accepted_commands.push([&["explain", "--config", config, &valid][..], options].concat());
    }
    rejected_commands.push(vec!["check", "--config", config, "--json", &invalid]);
    rejected_commands.push(vec!["check", "--config", config, &invalid]);
    rejected_commands.push(vec![
        "explain",
        "--config",
        config,
        &invalid,
        "--kind",
        "cable-operator",
        "--class",
        "notice",
    ]);
    rejected_commands.push(vec!["check", "--config", "tests/data/golden/missing.json", &valid]);
    rejected_commands.push(vec!["run", "tests/data/golden/site.yaml"]);
    rejected_commands.push(vec!["run"]);
    for arguments in accepted_commands.into_iter().chain(rejected_commands) {
        let output = program().args(&arguments).output().expect("it runs");
        transcript.add(&arguments.join(" "), &format!("exit {:?}", output.status.code()));
        transcript.add("standard output", &String::from_utf8(output.stdout).expect("text"));
        let errors = String::from_utf8(output.stderr).expect("text");
        // Log lines begin with the time, which changes from run to run.
        let errors: Vec<_> = errors.lines().filter(|line| !line.contains(" INFO ")).collect();
        transcript.add("standard error", &errors.join("\n"));
    }
    assert_matches_golden_file("commands.txt", &transcript.text);
}
