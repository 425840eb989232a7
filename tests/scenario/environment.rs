//! The environment that a scenario runs in: the forwarder's processes and all parties. It passes each line to its party, and
//! runs the lines that belong to no single party.

use super::admin;
use super::client::{send_until_accepted, Client};
use super::crowd::{Clients, MemoryWatch};
use super::endpoint::Endpoint;
use super::handover::{Predecessor, Successor};
use super::platform::Platform;
use super::process::{fault_library_path, forwarder_command, BusyProcess, Process};
use super::registry::Registry;
use super::script::{expand_ids, text_after, unescape};
use super::settings::{Locations, Options};
use super::sockets::{poll_until, write_byte_by_byte};
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The unit in which the platform counts the size of a file, in bytes.
const DISK_BLOCK_BYTES: u64 = 512;

/// The processes and parties of a scenario. Dropping it kills the processes and removes the folder.
pub struct TestEnvironment {
    /// Contains the state folder, the configuration, the site file and the fault plan.
    folder: PathBuf,
    options: Options,
    platform: Platform,
    registry: Option<Registry>,
    endpoints: BTreeMap<String, Endpoint>,
    clients: BTreeMap<String, Client>,
    /// Connections to the forwarder that send nothing more and stay open.
    idle_connections: Vec<TcpStream>,
    /// The process that a line without `old` or `first` is about.
    process: Process,
    /// The predecessor of `process`.
    old: Process,
    /// The predecessor of `old`.
    first: Process,
    successor: Successor,
    predecessor: Predecessor,
    /// The address at which `process` listens for clients; `None` before the first start.
    listen: Option<SocketAddr>,
    /// Whether each process listens at the address of the first one.
    keeps_address: bool,
    /// Whether the forwarder is started with the fault injection library.
    injects_faults: bool,
    /// When the scenario last ran `start-timer`.
    timer_started_at: Instant,
    /// The ids of the accepted messages of `sends-until-accepted`.
    accepted: BTreeSet<String>,
    /// The crowds and the load of honest clients.
    many_clients: Clients,
    memory: MemoryWatch,
    /// A process that uses the rest of the forwarder's processor, if it has only a part of one.
    busy_process: Option<BusyProcess>,
    /// The ids of the messages that were reported to the platform, as far as a step has asked for them.
    reported: BTreeSet<String>,
}

fn parse_milliseconds(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("the line takes a number of milliseconds"))
}

impl TestEnvironment {
    /// Starts the platform, with an empty list, and creates a folder of its own.
    pub fn new() -> Self {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let name =
            format!("cedarbridge-net-{}-{}", std::process::id(), NEXT_NUMBER.fetch_add(1, Ordering::SeqCst));
        let folder = std::env::temp_dir().join(name);
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(folder.join("state")).expect("the folder is created");
        TestEnvironment {
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
            keeps_address: false,
            injects_faults: false,
            timer_started_at: Instant::now(),
            accepted: BTreeSet::new(),
            many_clients: Clients::default(),
            memory: MemoryWatch::start(),
            busy_process: None,
            reported: BTreeSet::new(),
        }
    }

    /// Runs a line of the script.
    pub fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_whitespace().collect();
        let rest = line.split_once(' ').map_or("", |r| r.1);
        let (name, more) = (words[0], &words[1..]);
        match name {
            "platform" => self.platform_step(more),
            "registry" => {
                let registry = self.registry.as_ref().expect("the registry is started");
                registry.step(more, rest.trim_start_matches("asked "), &self.endpoints);
            }
            "admin" => admin_step(&self.process, &mut self.idle_connections, more, rest),
            "successor" => self.successor.step(more, &self.folder.join("state/owner")),
            "predecessor" => self.predecessor.step(more, rest, &self.folder.join("state/owner")),
            "old" => self.old_step(more, rest),
            _ if self.endpoints.contains_key(name) => {
                self.endpoints.get_mut(name).expect("checked by the guard").step(more, rest);
            }
            _ if self.setup_step(name, more, rest)
                || self.process_step(name, more, rest)
                || self.folder_step(name, more, rest)
                || self.crowd_step(name, more)
                || self.observation_step(name, more, rest) => {}
            _ => self.client_step(name, more, rest),
        }
    }

    /// Runs a line that sets something up. Returns false if the line is no such line.
    fn setup_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        match name {
            "with" => words.iter().for_each(|w| self.set_option(w)),
            "caches-list" => {
                self.options.cached_list = serde_json::from_str(&self.platform.complete_list()).ok()
            }
            "site" => {
                let text = self.registry.as_ref().map_or(rest.to_owned(), |r| r.insert_urls(rest));
                fs::write(self.folder.join("site.yaml"), text).expect("the site file is written");
            }
            "start-registry" => self.registry = Some(Registry::start()),
            "reload" => self.reload(words, rest),
            "config" => {
                let (path, value) = rest.split_once(' ').expect("`config` takes a path and a value");
                let value = serde_json::from_str(value).expect("the value of a `config` line is JSON");
                self.options.overrides.push((path.to_owned(), value));
            }
            "write-byte-by-byte" => write_byte_by_byte(),
            "faults" => self.write_fault_plan(rest),
            "connect-idle" => {
                let count: usize = words[0].parse().expect("`connect-idle` takes a number");
                let connect =
                    |_| TcpStream::connect(self.listen.expect("started")).expect("the forwarder listens");
                self.idle_connections.extend((0..count).map(connect));
            }
            _ => return false,
        }
        true
    }

    /// Runs a line about the forwarder's processes. Returns false if the line is no such line.
    fn process_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        match name {
            "start" => self.start(),
            "begin-start" => self.spawn(),
            "started" => self.wait_until_serving(),
            "start-without-list" => {
                self.spawn();
                self.wait_until_healthy();
            }
            "upgrade" => {
                self.make_process_old();
                self.start();
            }
            "begin-upgrade" => {
                self.make_process_old();
                self.spawn();
            }
            "upgraded" => self.wait_until_serving(),
            "keep-first" => self.first = std::mem::take(&mut self.old),
            "first" => self.first.kill(),
            "undo-upgrade" => self.process = std::mem::take(&mut self.old),
            "stop" => self.process.signal("STOP"),
            "continue" => self.process.signal("CONT"),
            "term" => self.process.signal("TERM"),
            "kill" => self.process.kill(),
            "exit" => self.process.wait_for_success(),
            "exit-with-failure" => assert!(!self.process.wait_for_exit().success()),
            "exit-within" => {
                let started_at = Instant::now();
                self.process.wait_for_success();
                assert!(
                    started_at.elapsed() < parse_milliseconds(words[0]),
                    "it took {:?}",
                    started_at.elapsed()
                );
            }
            // A stopped process offers no event that a line could wait for instead.
            "sleep" => thread::sleep(parse_milliseconds(rest)),
            _ => return false,
        }
        true
    }

    /// Runs a line about the state folder. Returns false if the line is no such line.
    fn folder_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        let state = self.folder.join("state");
        match name {
            "state-at-most" => {
                let files = fs::read_dir(state).expect("the state folder");
                let sizes = files.map(|f| f.expect("a file").metadata().expect("the file's size").len());
                let total: u64 = sizes.map(|s| s.div_ceil(DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES).sum();
                assert!(total <= words[0].parse().expect("a number of bytes"), "{total} bytes of state");
            }
            "state-contains" => {
                let path = state.join(words[0]);
                poll_until(rest, || path.exists().then_some(()));
            }
            "state-create-folder" => fs::create_dir(state.join(words[0])).expect("the folder is created"),
            "damage-registry-view" => {
                let path = state.join("registry.view");
                let mut bytes = fs::read(&path).expect("a persisted view");
                bytes[5] ^= 0xff;
                fs::write(path, bytes).expect("the view is written");
            }
            "damage" => self.damage_journal(words[0], words[1].parse().expect("a number of bytes")),
            _ => return false,
        }
        true
    }

    /// Runs a line about crowds, the load of honest clients, or memory. Returns false if the line is no such line.
    fn crowd_step(&mut self, name: &str, words: &[&str]) -> bool {
        let megabytes = || words[0].parse().expect("a number of megabytes");
        match name {
            "crowd" => self.many_clients.start_crowd(self.listen.expect("started"), words),
            "crowds-answered" => self.many_clients.expect_crowds_answered(),
            "honest-load" => self.many_clients.start_load(self.listen.expect("started"), words[0], words[1]),
            "honest-load-answered" => self.many_clients.expect_load_answered(),
            "forwarder-unavailable" => self.many_clients.set_available(false),
            "forwarder-available" => self.many_clients.set_available(true),
            "all-ended-once" => self.expect_all_ended_once(),
            "all-reported" => {
                let ids = expand_ids(words);
                poll_until("the delivery reports", || {
                    self.reported.extend(self.platform.take_reported_ids());
                    ids.iter().all(|id| self.reported.contains(id)).then_some(())
                });
            }
            "share-core" => self.busy_process = Some(BusyProcess::beside(self.process.id())),
            "log-unread" => self.process.set_log_unread(true),
            "log-read" => self.process.set_log_unread(false),
            "peak-memory-at-most" => self.memory.expect_peak_at_most(megabytes()),
            "memory-falls-to" => self.memory.wait_until_at_most(megabytes()),
            _ => return false,
        }
        true
    }

    /// Expects that each message that was accepted from a crowd or the honest load was called once or reported, and that none
    /// was called twice.
    fn expect_all_ended_once(&mut self) {
        let calls = |id: &String| -> usize { self.endpoints.values().map(|e| e.automatic_calls(id)).sum() };
        let accepted = &self.many_clients.accepted;
        let called_twice: Vec<&String> = accepted.iter().filter(|id| calls(id) > 1).collect();
        assert!(called_twice.is_empty(), "called twice: {called_twice:?}");
        let reported = &mut self.reported;
        poll_until("the end of each accepted message", || {
            reported.extend(self.platform.take_reported_ids());
            accepted.iter().all(|id| calls(id) == 1 || reported.contains(id)).then_some(())
        });
    }

    /// Runs a line that waits for something or checks it. Returns false if the line is no such line.
    fn observation_step(&mut self, name: &str, words: &[&str], rest: &str) -> bool {
        match name {
            "wait" => words.iter().for_each(|w| self.wait_for_counter(w)),
            "log" => self.process.wait_for_log(rest),
            "health" => {
                let status_line = format!("HTTP/1.1 {} ", words[0]);
                poll_until(rest, || self.get("/_health").starts_with(&status_line).then_some(()));
            }
            "fault-injected" => {
                let system_call = format!("{} ", words[0]);
                poll_until(rest, || {
                    self.injected_faults().lines().any(|l| l.starts_with(&system_call)).then_some(())
                });
            }
            "all-delivered" => {
                let is_delivered =
                    |id: &String| self.endpoints.values().any(|e| e.has_responded_automatically(id));
                poll_until(rest, || self.accepted.iter().all(is_delivered).then_some(()));
            }
            "start-timer" => self.timer_started_at = Instant::now(),
            "within" => {
                let (elapsed, limit) = (self.timer_started_at.elapsed(), parse_milliseconds(rest));
                assert!(elapsed < limit, "it took {elapsed:?}, {limit:?} were allowed");
            }
            _ => return false,
        }
        true
    }

    /// Sets an option or adds an endpoint, as a word `name=value` of a `with` line says.
    fn set_option(&mut self, word: &str) {
        let (name, value) = word.split_once('=').expect("name=value");
        if name == "faults" {
            self.injects_faults = value == "on";
        } else if name == "address" {
            self.keeps_address = value == "kept";
        } else if name == "destinations" {
            self.list_more_destinations(value.parse().expect("`destinations` is a number"));
        } else if !self.options.set(name, value) {
            self.add_endpoint(name, value);
        }
    }

    /// Adds an endpoint. Its description, such as `2:many:west:hidden:closed`, is the number of its destination, followed in
    /// any order by words that set its kind, zone, state and place in the list; see "Endpoints of a `with` line" in
    /// `mod.rs`. Unknown words are ignored.
    fn add_endpoint(&mut self, name: &str, description: &str) {
        let words: Vec<&str> = description.split(':').collect();
        let has = |word| words.contains(&word);
        let kind = if has("many") { "many" } else { "one" };
        let destination =
            words[0].parse().expect("an endpoint's description starts with the number of its destination");
        let state = words.iter().find(|w| ["closed", "stalled"].contains(w)).unwrap_or(&"open");
        let zone = if has("west") { "west" } else { "east" };
        self.endpoints.insert(name.to_owned(), Endpoint::new(destination, kind, zone, state));
        if !has("hidden") {
            let lifecycle = if has("leaving") { "leaving" } else { "active" };
            self.set_list_entry(name, lifecycle);
        }
    }

    /// Lists more destinations, from number 1000 on, with one endpoint each at which nothing listens.
    fn list_more_destinations(&self, count: usize) {
        for number in 1_000..1_000 + count {
            let name = format!("more{number}");
            let entry = json!({
                "instanceId": name, "hostPort": "127.0.0.2:1", "zone": "east", "machineType": "one",
                "cell": number, "lifecycle": "active", "weight": 50.0, "startedAtMs": 0,
            });
            self.platform.set_entry(&name, entry);
        }
    }

    /// Sets an endpoint's entry in the platform's list and returns it. The lifecycle `moved` stands for `active`.
    fn set_list_entry(&self, name: &str, lifecycle: &str) -> Value {
        let endpoint = &self.endpoints[name];
        let lifecycle = if lifecycle == "moved" { "active" } else { lifecycle };
        let entry = json!({
            "instanceId": name, "hostPort": endpoint.address.to_string(), "zone": endpoint.zone,
            "machineType": endpoint.kind, "cell": endpoint.destination,
            "lifecycle": lifecycle, "weight": 50.0, "startedAtMs": 0,
        });
        self.platform.set_entry(name, entry.clone());
        entry
    }

    /// Sets the entries of words `name=lifecycle` and returns them.
    fn set_list_entries(&self, changes: &[&str]) -> Vec<Value> {
        let apply =
            |c: &&str| c.split_once('=').map(|(name, lifecycle)| self.set_list_entry(name, lifecycle));
        changes.iter().map(|c| apply(c).expect("name=lifecycle")).collect()
    }

    /// Runs a line of the platform. Lines that name endpoints are run here, the rest by [`Platform::step`].
    fn platform_step(&mut self, words: &[&str]) {
        match words {
            ["send", changes @ ..] => {
                for name in changes.iter().filter_map(|c| c.strip_suffix("=moved")) {
                    self.endpoints.get_mut(name).expect("an endpoint of that name").move_to_new_address();
                }
                self.platform.send_changes(self.set_list_entries(changes));
            }
            ["changes-on-old-watches", changes @ ..] => {
                self.platform.send_changes_on_old_watches(self.set_list_entries(changes));
            }
            ["changes-silently", changes @ ..] => {
                self.set_list_entries(changes);
                self.platform.increment_generation();
            }
            _ => self.platform.step(words),
        }
    }

    /// Runs a line about the predecessor.
    fn old_step(&mut self, words: &[&str], rest: &str) {
        match words[0] {
            "stop" => self.old.signal("STOP"),
            "continue" => self.old.signal("CONT"),
            "term" => self.old.signal("TERM"),
            "kill" => self.old.kill(),
            "exit" => self.old.wait_for_success(),
            "log" => self.old.wait_for_log(rest.trim_start_matches("log ")),
            "admin" => admin_step(&self.old, &mut self.idle_connections, &words[1..], rest),
            _ => panic!("no such step of an old process"),
        }
    }

    /// Runs a line of a client, which connects first if it has not yet.
    fn client_step(&mut self, name: &str, words: &[&str], rest: &str) {
        if words[0] == "close" {
            return drop(self.clients.remove(name).expect("the client is connected"));
        }
        let listen = self.listen.expect("a line of a client follows `start`");
        if let ["sends-until-accepted", count, name, more @ ..] = words {
            let ids = expand_ids(&[&format!("{name}*{count}")]);
            return self.accepted.extend(ids.iter().map(|id| send_until_accepted(listen, id, more)));
        }
        let client = self.clients.entry(name.to_owned()).or_insert_with(|| Client::connect(listen));
        client.step(words, rest);
    }

    /// Writes the configuration file.
    fn write_configuration(&self) {
        let kept_listen = self.listen.filter(|_| self.keeps_address || self.old.is_started());
        let locations = Locations { folder: &self.folder, platform: self.platform.address, kept_listen };
        fs::write(self.folder.join("config.json"), self.options.configuration(&locations))
            .expect("the configuration is written");
    }

    /// Writes the configuration, with changed options or as the given text, and sends SIGHUP.
    fn reload(&mut self, words: &[&str], text: &str) {
        if words.iter().all(|w| w.contains('=')) {
            words.iter().for_each(|w| self.set_option(w));
            self.write_configuration();
        } else {
            fs::write(self.folder.join("config.json"), text).expect("the configuration is written");
        }
        self.process.signal("HUP");
    }

    /// Starts the forwarder without waiting for it.
    fn spawn(&mut self) {
        self.write_configuration();
        let mut command = forwarder_command();
        if self.injects_faults {
            command.env("LD_PRELOAD", fault_library_path());
            command.env("FAULTSHIM_PLAN", self.folder.join("faults"));
            command.env("FAULTSHIM_FOLDER", self.folder.join("state"));
        }
        command.arg(self.folder.join("config.json"));
        // The platform passes its address in this variable. A running process keeps the address that it was started with,
        // also after a line `platform moves`.
        command.env("ROUTER_DISCOVERY", self.platform.address.to_string());
        let site = self.folder.join("site.yaml");
        if site.exists() {
            command.arg("--site").arg(site);
        }
        self.process = Process::spawn(command);
        self.memory.add(self.process.id());
    }

    /// Starts the forwarder and waits until it serves.
    fn start(&mut self) {
        self.spawn();
        self.wait_until_serving();
    }

    /// Makes the running process the predecessor of the one that is started next.
    fn make_process_old(&mut self) {
        self.old = std::mem::take(&mut self.process);
    }

    /// Waits until the forwarder is healthy and has received the endpoint list.
    fn wait_until_serving(&mut self) {
        if self.options.has_admin_listener {
            self.process.admin_address =
                Some(self.process.wait_for_logged_address("listening for admin requests", "operator: "));
        }
        self.wait_until_healthy();
        // The counter `lists` does not count the cached list. Once it is 1, the forwarder has received the complete list, so
        // that everything the platform sends later is a change to that list.
        self.wait_for_counter("lists>=1");
    }

    /// Waits until the forwarder listens for clients and answers a health request with a 200.
    fn wait_until_healthy(&mut self) {
        self.listen = Some(self.process.wait_for_logged_address("serving", "listen: "));
        poll_until("a healthy forwarder", || self.get("/_health").starts_with("HTTP/1.1 200").then_some(()));
    }

    /// Sends a GET request to the forwarder and returns its response. The response is empty if the request fails, as it may
    /// while system calls of the forwarder fail; callers poll.
    fn get(&self, path: &str) -> String {
        self.try_get(path).unwrap_or_default()
    }

    fn try_get(&self, path: &str) -> io::Result<String> {
        let mut stream =
            TcpStream::connect(self.listen.expect("a line that sends a request follows `start`"))?;
        let request = format!("GET {path} HTTP/1.1\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes())?;
        let mut response = String::new();
        stream.read_to_string(&mut response)?;
        Ok(response)
    }

    /// Waits until a counter has a value (`name=value`) or at least that (`name>=value`). A name may be a path, such as
    /// `registry/entries`; values are unsigned integers, `true` and `false`.
    fn wait_for_counter(&self, condition: &str) {
        let (name, expected) = condition.split_once('=').expect("name=value");
        let expected = expected.parse::<u64>().unwrap_or_else(|_| u64::from(expected == "true"));
        let check = || {
            let response = self.get("/_counters");
            let counters: Value =
                serde_json::from_str(response.split("\r\n\r\n").nth(1)?).expect("the counters are JSON");
            // A counter that is missing counts as 0: a route has no counters before it is used.
            let value = name.trim_end_matches('>').split('/').fold(&counters, |v, key| &v[key]);
            let value = value.as_u64().unwrap_or(u64::from(value == &Value::Bool(true)));
            (value == expected || name.ends_with('>') && value > expected).then_some(())
        };
        poll_until(condition, check);
    }

    /// Damages the file of the state folder whose name sorts last, which is the newest journal segment if there is neither
    /// an admin listener nor a registry: truncates it by a number of bytes (`cut`), or inverts the byte at that distance
    /// from its end.
    fn damage_journal(&self, damage: &str, distance_from_end: usize) {
        let files = fs::read_dir(self.folder.join("state")).expect("the state folder");
        let newest = files
            .map(|f| f.expect("an entry of the state folder").path())
            .max()
            .expect("a file in the state folder");
        let mut bytes = fs::read(&newest).expect("the file is read");
        let position = bytes.len() - distance_from_end;
        match damage {
            "cut" => bytes.truncate(position),
            _ => bytes[position] ^= 0xff,
        }
        fs::write(newest, bytes).expect("the file is written");
    }

    /// Writes a fault plan, whose rules are separated by semicolons, and clears the record of the faults that the previous
    /// plan injected. The plan is replaced by a rename, so that the forwarder never reads a part of it.
    fn write_fault_plan(&self, rules: &str) {
        let new_plan = self.folder.join("faults.new");
        fs::write(&new_plan, rules.replace(';', "\n")).expect("the plan is written");
        let _ = fs::remove_file(self.folder.join("faults.struck"));
        fs::rename(new_plan, self.folder.join("faults")).expect("the plan is replaced");
    }

    /// Returns the record of the faults that the present plan has injected, one line each; empty if there are none.
    fn injected_faults(&self) -> String {
        fs::read_to_string(self.folder.join("faults.struck")).unwrap_or_default()
    }
}

/// Runs an `admin` line at a process.
fn admin_step(process: &Process, idle_connections: &mut Vec<TcpStream>, words: &[&str], rest: &str) {
    let admin_address = process.admin_address.expect("the process has an admin listener (`operator=on`)");
    match words {
        ["connect-idle", count, ..] => {
            let text = unescape(text_after(rest, count));
            idle_connections.extend(admin::open_idle_connections(
                admin_address,
                count.parse().expect("`connect-idle` takes a number"),
                &text,
            ));
        }
        _ => admin::send_request(admin_address, words, rest),
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        (self.process, self.old, self.first) = Default::default();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
