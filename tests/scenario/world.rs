//! All parties of a scenario, and what the lines that concern none of them alone do.

use super::admin;
use super::client::{submit, Client};
use super::endpoint::Endpoint;
use super::handover::{Predecessor, Successor};
use super::platform::Platform;
use super::process::{fault_library, program, Process};
use super::registry::Registry;
use super::script::{expand_ids, text_behind, unescape};
use super::settings::{Options, Place};
use super::sockets::{soon, write_byte_by_byte};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The unit in which the platform counts files, in bytes.
const FILE_UNIT: u64 = 512;

pub struct World {
    folder: PathBuf,
    options: Options,
    platform: Platform,
    registry: Option<Registry>,
    endpoints: BTreeMap<String, Endpoint>,
    clients: BTreeMap<String, Client>,
    /// Connections of clients and operators that send nothing more and stay open.
    idle_connections: Vec<TcpStream>,
    process: Process,
    /// The predecessor of the process that runs.
    old: Process,
    /// The predecessor of that one.
    first: Process,
    successor: Successor,
    predecessor: Predecessor,
    listen: Option<SocketAddr>,
    /// Whether the forwarder runs with the library that makes its system calls fail.
    faults: bool,
    /// When the scenario last said `mark`.
    marked_at: Instant,
    /// The messages of `submits` that were accepted.
    accepted: BTreeSet<String>,
}

fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("milliseconds"))
}

impl World {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let name = format!("cedarbridge-net-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join("state")).expect("a folder");
        World {
            folder,
            options: Options::default(),
            platform: Platform::start(),
            registry: None,
            endpoints: BTreeMap::new(),
            clients: BTreeMap::new(),
            idle_connections: Vec::new(),
            process: Process::default(),
            old: Process::default(),
            first: Process::default(),
            successor: Successor::default(),
            predecessor: Predecessor::default(),
            listen: None,
            faults: false,
            marked_at: Instant::now(),
            accepted: BTreeSet::new(),
        }
    }

    /// Plays a line of the script.
    pub fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let rest = line.split_once(' ').map_or("", |r| r.1);
        let (name, more) = (words[0], &words[1..]);
        match name {
            "platform" => self.platform_step(more),
            "registry" => {
                let registry = self.registry.as_ref().expect("started");
                registry.step(more, rest.trim_start_matches("asked "), &self.endpoints);
            }
            "admin" => admin_step(&self.process, &mut self.idle_connections, more, rest),
            "successor" => self.successor.step(more, &self.folder.join("state/owner")),
            "predecessor" => self.predecessor.step(more, rest, &self.folder.join("state/owner")),
            "old" => self.old_step(more, rest),
            _ if self.endpoints.contains_key(name) => {
                self.endpoints.get_mut(name).expect("just seen").step(more, rest);
            }
            _ if self.setup_step(name, more, rest)
                || self.process_step(name, more, rest)
                || self.folder_step(name, more, rest)
                || self.observation_step(name, more, rest) => {}
            _ => self.client_step(name, more, rest),
        }
    }

    /// Lines that set something up; false if this is none of them.
    fn setup_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        match name {
            "with" => words.iter().for_each(|w| self.set(w)),
            "caches-list" => self.options.known = serde_json::from_str(&self.platform.complete_list()).ok(),
            "site" => {
                let text = self.registry.as_ref().map_or(rest.to_owned(), |r| r.fill_in(rest));
                fs::write(self.folder.join("site.yaml"), text).expect("written");
            }
            "start-registry" => self.registry = Some(Registry::start()),
            "reload" => self.reload(words, rest),
            "config" => {
                let (path, value) = rest.split_once(' ').expect("a place and a value");
                let value = serde_json::from_str(value).expect("JSON");
                self.options.values.push((path.to_owned(), value));
            }
            "write-byte-by-byte" => write_byte_by_byte(),
            "faults" => self.plan_faults(rest),
            "crowd" => {
                let count: usize = words[0].parse().expect("a number");
                let connect = |_| TcpStream::connect(self.listen.expect("started")).expect("it listens");
                self.idle_connections.extend((0..count).map(connect));
            }
            _ => return false,
        }
        true
    }

    /// Lines on the forwarder's processes; false if this is none of them.
    fn process_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        match name {
            "start" => self.start(),
            "begin-start" => self.spawn(),
            "started" => self.until_serving(),
            "start-without-list" => {
                self.spawn();
                self.until_healthy();
            }
            "upgrade" => {
                self.replace();
                self.start();
            }
            "begin-upgrade" => {
                self.replace();
                self.spawn();
            }
            "upgraded" => self.until_serving(),
            "keep-first" => self.first = std::mem::take(&mut self.old),
            "first" => self.first.kill(),
            "forget-upgrade" => self.process = std::mem::take(&mut self.old),
            "stop" => self.process.signal("STOP"),
            "continue" => self.process.signal("CONT"),
            "term" => self.process.signal("TERM"),
            "kill" => self.process.kill(),
            "exit" => self.process.wait_for_success(),
            "exit-with-failure" => assert!(!self.process.wait_for_end().success()),
            "exit-within" => {
                let begun = Instant::now();
                self.process.wait_for_success();
                assert!(begun.elapsed() < milliseconds(words[0]), "it took {:?}", begun.elapsed());
            }
            // A stopped process shows nothing else that could be waited for.
            "sleep" => thread::sleep(milliseconds(rest)),
            _ => return false,
        }
        true
    }

    /// Lines on the state folder; false if this is none of them.
    fn folder_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        let state = self.folder.join("state");
        match name {
            "state-under" => {
                let sizes = fs::read_dir(state).expect("a folder");
                let sizes = sizes.map(|f| f.expect("a file").metadata().expect("a size").len());
                let all: u64 = sizes.map(|s| s.div_ceil(FILE_UNIT) * FILE_UNIT).sum();
                assert!(all <= words[0].parse().expect("a number"), "{all} bytes of state");
            }
            "state-holds" => {
                let path = state.join(words[0]);
                soon(rest, || path.exists().then_some(()));
            }
            "state-folder" => fs::create_dir(state.join(words[0])).expect("made"),
            "damage-view" => {
                let path = state.join("registry.view");
                let mut bytes = fs::read(&path).expect("kept");
                bytes[5] ^= 0xff;
                fs::write(path, bytes).expect("written");
            }
            "damage" => self.damage_journal(words[0], words[1].parse().expect("a number")),
            _ => return false,
        }
        true
    }

    /// Lines that wait for something or check it; false if this is none of them.
    fn observation_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        match name {
            "wait" => words.iter().for_each(|w| self.wait(w)),
            "log" => self.process.wait_for_log_line(rest),
            "health" => {
                let wanted = format!("HTTP/1.1 {} ", words[0]);
                soon(rest, || self.get("/_health").starts_with(&wanted).then_some(()));
            }
            "fault-injected" => {
                let line = format!("{} ", words[0]);
                soon(rest, || self.injected_faults().lines().any(|l| l.starts_with(&line)).then_some(()));
            }
            "all-delivered" => {
                let is_delivered = |id: &String| self.endpoints.values().any(|e| e.has_answered(id));
                soon(rest, || self.accepted.iter().all(is_delivered).then_some(()));
            }
            "mark" => self.marked_at = Instant::now(),
            "within" => {
                let (passed, allowed) = (self.marked_at.elapsed(), milliseconds(rest));
                assert!(passed < allowed, "it took {passed:?}, {allowed:?} were allowed");
            }
            _ => return false,
        }
        true
    }

    fn set(&mut self, word: &str) {
        let (name, value) = word.split_once('=').expect("name=value");
        if name == "faults" {
            self.faults = value == "on";
        } else if !self.options.set(name, value) {
            self.add_endpoint(name, value);
        }
    }

    /// Adds an endpoint such as `2:many:west:hidden:closed`.
    fn add_endpoint(&mut self, name: &str, description: &str) {
        let words: Vec<&str> = description.split(':').collect();
        let has = |word| words.contains(&word);
        let kind = if has("many") { "many" } else { "one" };
        let destination = words[0].parse().expect("a destination");
        let state = words.iter().find(|w| ["closed", "stalled"].contains(w)).unwrap_or(&"open");
        let zone = if has("west") { "west" } else { "east" };
        self.endpoints.insert(name.to_owned(), Endpoint::new(destination, kind, zone, state));
        if !has("hidden") {
            let lifecycle = if has("leaving") { "leaving" } else { "active" };
            self.list(name, lifecycle);
        }
    }

    /// Puts an endpoint on the platform's list, in the state of a word `name=lifecycle`.
    fn list(&self, name: &str, lifecycle: &str) -> Value {
        let e = &self.endpoints[name];
        let lifecycle = if lifecycle == "moved" { "active" } else { lifecycle };
        let entry = json!({
            "instanceId": name, "hostPort": e.address.to_string(), "zone": e.zone, "machineType": e.kind,
            "cell": e.destination, "lifecycle": lifecycle, "weight": 50.0, "startedAtMs": 0,
        });
        self.platform.set_entry(name, entry.clone());
        entry
    }

    fn list_all(&self, changes: &[&str]) -> Vec<Value> {
        let change = |c: &&str| c.split_once('=').map(|(name, state)| self.list(name, state));
        changes.iter().map(|c| change(c).expect("name=lifecycle")).collect()
    }

    fn platform_step(&mut self, words: &[&str]) {
        match words {
            ["send", changes @ ..] => {
                for name in changes.iter().filter_map(|c| c.strip_suffix("=moved")) {
                    self.endpoints.get_mut(name).expect("known").move_away();
                }
                self.platform.send_changes(self.list_all(changes));
            }
            ["changes-on-old-watches", changes @ ..] => {
                self.platform.send_changes_on_old_watches(self.list_all(changes));
            }
            ["changes-silently", changes @ ..] => {
                self.list_all(changes);
                self.platform.next_generation();
            }
            _ => self.platform.step(words),
        }
    }

    fn old_step(&mut self, words: &[&str], rest: &str) {
        match words[0] {
            "stop" => self.old.signal("STOP"),
            "continue" => self.old.signal("CONT"),
            "term" => self.old.signal("TERM"),
            "kill" => self.old.kill(),
            "exit" => self.old.wait_for_success(),
            "log" => self.old.wait_for_log_line(rest.trim_start_matches("log ")),
            "admin" => admin_step(&self.old, &mut self.idle_connections, &words[1..], rest),
            _ => panic!("no such step of an old process"),
        }
    }

    fn client_step(&mut self, name: &str, words: &[&str], rest: &str) {
        if words[0] == "close" {
            return drop(self.clients.remove(name).expect("connected"));
        }
        let listen = self.listen.expect("started");
        if let ["submits", count, name, more @ ..] = words {
            let ids = expand_ids(&[&format!("{name}*{count}")]);
            return self.accepted.extend(ids.iter().map(|id| submit(listen, id, more)));
        }
        let client = self.clients.entry(name.to_owned()).or_insert_with(|| Client::connect(listen));
        client.step(words, rest);
    }

    fn configure(&self) {
        let listen = self.listen.filter(|_| self.old.is_started());
        let place = Place { folder: &self.folder, discovery: self.platform.address, listen };
        fs::write(self.folder.join("config.json"), self.options.configuration(&place)).expect("written");
    }

    /// Writes the configuration anew, with options or as a text, and sends SIGHUP.
    fn reload(&mut self, words: &[&str], text: &str) {
        if words.iter().all(|w| w.contains('=')) {
            words.iter().for_each(|w| self.set(w));
            self.configure();
        } else {
            fs::write(self.folder.join("config.json"), text).expect("written");
        }
        self.process.signal("HUP");
    }

    fn spawn(&mut self) {
        self.configure();
        let mut command = program();
        if self.faults {
            command.env("LD_PRELOAD", fault_library());
            command.env("FAULTSHIM_PLAN", self.folder.join("faults"));
            command.env("FAULTSHIM_FOLDER", self.folder.join("state"));
        }
        // The platform starts it so; the variable stays as it is while the program runs.
        command.arg(self.folder.join("config.json"));
        command.env("ROUTER_DISCOVERY", self.platform.address.to_string());
        let site = self.folder.join("site.yaml");
        if site.exists() {
            command.arg("--site").arg(site);
        }
        self.process = Process::spawn(command);
    }

    fn start(&mut self) {
        self.spawn();
        self.until_serving();
    }

    /// From here on the next process replaces the one that runs.
    fn replace(&mut self) {
        self.old = std::mem::take(&mut self.process);
    }

    fn until_serving(&mut self) {
        if self.options.operator {
            self.process.operator =
                Some(self.process.logged_address("listening for admin requests", "operator: "));
        }
        self.until_healthy();
        // Until it has the list from the watch, not only a cached one: what is sent from here on is a change.
        self.wait("lists>=1");
    }

    fn until_healthy(&mut self) {
        self.listen = Some(self.process.logged_address("serving", "listen: "));
        soon("its health", || self.get("/_health").starts_with("HTTP/1.1 200").then_some(()));
    }

    fn get(&self, path: &str) -> String {
        // Without an answer, as where a system call of the forwarder fails, whoever waits asks again.
        self.try_get(path).unwrap_or_default()
    }

    fn try_get(&self, path: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect(self.listen.expect("started"))?;
        let request = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Waits until a counter has a value (`name=value`), or more than that (`name>=value`).
    fn wait(&self, condition: &str) {
        let (name, wanted) = condition.split_once('=').expect("name=value");
        let wanted = wanted.parse::<u64>().unwrap_or_else(|_| u64::from(wanted == "true"));
        let look = || {
            let answer = self.get("/_counters");
            let counters: Value = serde_json::from_str(answer.split("\r\n\r\n").nth(1)?).expect("JSON");
            // A route is not in the counters before it is used.
            let value = name.trim_end_matches('>').split('/').fold(&counters, |v, key| &v[key]);
            let value = value.as_u64().unwrap_or(u64::from(value == &Value::Bool(true)));
            (value == wanted || name.ends_with('>') && value > wanted).then_some(())
        };
        soon(condition, look);
    }

    /// Truncates the newest segment by so many bytes, or flips the byte at that distance from its end.
    fn damage_journal(&self, how: &str, from_end: usize) {
        let files = fs::read_dir(self.folder.join("state")).expect("a folder");
        let newest = files.map(|f| f.expect("a file").path()).max().expect("a segment");
        let mut bytes = fs::read(&newest).expect("read");
        let at = bytes.len() - from_end;
        match how {
            "cut" => bytes.truncate(at),
            _ => bytes[at] ^= 0xff,
        }
        fs::write(newest, bytes).expect("written");
    }

    /// Replaces the plan of faults by rules separated by semicolons, and forgets which faults the previous plan injected.
    fn plan_faults(&self, rules: &str) {
        let beside = self.folder.join("faults.new");
        fs::write(&beside, rules.replace(';', "\n")).expect("written");
        let _ = fs::remove_file(self.folder.join("faults.struck"));
        fs::rename(beside, self.folder.join("faults")).expect("replaced");
    }

    fn injected_faults(&self) -> String {
        fs::read_to_string(self.folder.join("faults.struck")).unwrap_or_default()
    }
}

/// An admin request to a process; `crowd 20 TEXT` opens so many connections that stay open.
fn admin_step(process: &Process, idle_connections: &mut Vec<TcpStream>, words: &[&str], rest: &str) {
    let operator = process.operator.expect("the process listens for admin requests");
    match words {
        ["crowd", count, ..] => {
            let text = unescape(text_behind(rest, count));
            idle_connections.extend(admin::open_idle_connections(
                operator,
                count.parse().expect("a number"),
                &text,
            ));
        }
        _ => admin::call(operator, words, rest),
    }
}

impl Drop for World {
    fn drop(&mut self) {
        (self.process, self.old, self.first) = Default::default();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
