//! Forwarders as real processes: their files, signals, restarts, hand-overs and system-call faults. Each is killed when the
//! soak test ends in any way.

use crate::environment::{sleep, Environment, NOTIFIED_AT_LATEST};
use crate::hold_ups::HoldUps;
use crate::process::{fault_library, forwarder_command, free_address, http_get, send_signal};
use crate::{deployment, platform};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A forwarder must be ready within this time after its start.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// A forwarder must exit within this time after SIGTERM.
const EXIT_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Time between two checks of a process's state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A successor takes over within this time unless a fault prevents it.
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(3);
/// The most successors of one predecessor that are killed.
const MAX_SUCCESSORS_LOST: usize = 3;
/// Share of the successors that are killed shortly after they have taken over.
const KILLED_SUCCESSOR_SHARE: f64 = 0.2;
/// Prefix of the fault rules that stall writes.
const WRITE_STALL_PREFIX: &str = "send stall";
/// Any injected write stall (140 ms) has ended after this time.
const MAX_WRITE_STALL: Duration = Duration::from_millis(160);
/// The most signals that follow a SIGTERM.
const MAX_FOLLOW_UP_SIGNALS: usize = 3;
/// Resident memory that a forwarder may use at the end of the run, in kB.
const MAX_MEMORY_KB: u64 = 64 * 1024;
/// The most descriptors that a forwarder may have open.
const MAX_OPEN_DESCRIPTORS: usize = 256;

/// A forwarder: its files and its present process.
pub struct Forwarder {
    /// Its index among the forwarders, from 0.
    pub number: usize,
    pub listen_address: SocketAddr,
    folder: PathBuf,
    discovery_address: Cell<SocketAddr>,
    /// The setting `max-open`, which reloads change.
    max_open: Cell<usize>,
    /// Address of the admin API, which a successor uses for the hand-over; `None` in runs without hand-overs.
    operator_address: Cell<Option<SocketAddr>>,
    process: RefCell<Option<Child>>,
    /// The process that is being replaced by a successor during a hand-over.
    predecessor: RefCell<Option<Child>>,
    /// Number of starts so far, including the hand-overs that failed and so became restarts.
    pub start_count: Cell<u32>,
    /// When the present process was sent SIGTERM.
    pub sigterm_sent_at: Cell<Option<Instant>>,
    /// The present process was sent SIGKILL: requests that it had read may be lost.
    pub killed: Cell<bool>,
    /// An operation on the process is in progress, such as a restart; only one may be at a time.
    pub operation_in_progress: Cell<bool>,
    /// Whether fault rules that stall writes are in force.
    write_stalls_enabled: Cell<bool>,
    /// The added sets of fault rules, each with the id by which it is removed. Those that stall writes are in force only if
    /// `write_stalls_enabled`.
    fault_rules: RefCell<Vec<(u64, String)>>,
    last_rules_id: Cell<u64>,
}

impl Forwarder {
    /// Creates the forwarder's folder and files. The process is not started yet.
    ///
    /// # Errors
    /// A file or folder cannot be written, or no address is free.
    pub fn prepare(
        environment: &Rc<Environment>,
        number: usize,
        folder: &Path,
    ) -> std::io::Result<Forwarder> {
        let folder = folder.join(format!("forwarder-{number}"));
        fs::create_dir_all(folder.join("state"))?;
        // Each forwarder has an IP address of its own, so that no other process takes its port while it is down.
        let ip = [127, 77, 1 + (number / 250) as u8, 1 + (number % 250) as u8];
        let listen_address = TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()?;
        let discovery_address = platform::start(environment, number)?;
        let operator_address =
            if environment.options.hand_overs { Some(free_address(listen_address)?) } else { None };
        let forwarder = Forwarder {
            number,
            listen_address,
            folder,
            discovery_address: discovery_address.into(),
            max_open: 150.into(),
            operator_address: operator_address.into(),
            process: RefCell::default(),
            predecessor: RefCell::default(),
            start_count: 0.into(),
            sigterm_sent_at: None.into(),
            killed: false.into(),
            operation_in_progress: false.into(),
            write_stalls_enabled: true.into(),
            fault_rules: RefCell::default(),
            last_rules_id: 0.into(),
        };
        forwarder.write_configuration(environment)?;
        forwarder.write_fault_plan();
        environment.hold_ups.borrow_mut().push(HoldUps::new(&forwarder.folder.join("faults")));
        Ok(forwarder)
    }

    /// Replaces the configuration file by a rename.
    fn write_configuration(&self, environment: &Environment) -> std::io::Result<()> {
        let kinds: Vec<&str> = deployment::ENDPOINT_KINDS.iter().map(|kind| kind.name).collect();
        let messages_per_call: Vec<usize> =
            deployment::ENDPOINT_KINDS.iter().map(|kind| kind.messages_per_call).collect();
        let own_limits = [false; deployment::ENDPOINT_KINDS.len()];
        let classes: Vec<Value> = environment.classes.iter().map(deployment::class_settings).collect();
        let settings = json!({
            "azs": deployment::ZONES, "zone": deployment::ZONES[self.number % 2],
            "balancers": environment.options.forwarders, "me": self.number,
            "kinds": kinds, "discovery": "pushed", "categories": classes,
            "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 10000.0}],
            "granularity": 5.0, "weight-source": "rough", "fees": {}, "callers": {"marks-retry": true},
            "permissions": {"max-open": self.max_open.get(), "max-attempts": deployment::MAX_ATTEMPTS, "cancel": true,
                "retry-after": true, "max-retry-after": 3000.0, "conn-idle": 3000.0, "dial-timeout": 1500.0},
            "rules": {"fall-multiple": deployment::OVERLOAD_MULTIPLE,
                "fall": deployment::OVERLOAD_WINDOW.as_millis() as f64,
                "cold": deployment::SLOW_START_DURATION.as_millis() as f64,
                "cold-from": deployment::SLOW_START_INITIAL_SHARE,
                "drain-grace": deployment::DRAIN_GRACE.as_millis() as f64},
            "specifics": {"call-slots": 12, "late": "linear", "own-limits": own_limits, "per-call": messages_per_call},
        });
        let mut config = json!({
            "name": format!("n{}", self.number), "listen": self.listen_address.to_string(),
            "discovery": self.discovery_address.get().to_string(), "state": self.folder.join("state"),
            "seed": format!("{:016x}", environment.seed << 16 | self.number as u64), "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": MAX_OPEN_DESCRIPTORS, "disk_mb": 1.0},
        });
        if let Some(operator_address) = self.operator_address.get() {
            config["operator"] = operator_address.to_string().into();
        }
        let temporary_file = self.folder.join("config.new");
        fs::write(&temporary_file, config.to_string())?;
        fs::rename(temporary_file, self.folder.join("config.json"))
    }

    /// Starts a process with the forwarder's files and the preloaded fault library.
    fn spawn(&self) -> Child {
        let mut command = forwarder_command();
        command.arg("run").arg(self.folder.join("config.json")).env_clear();
        command.env("RUST_BACKTRACE", "1");
        command.env("LD_PRELOAD", fault_library().expect("the library of crates/faultshim is built"));
        command.env("FAULTSHIM_PLAN", self.folder.join("faults"));
        command.env("FAULTSHIM_FOLDER", self.folder.join("state"));
        let log_file = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file.expect("the log file can be opened"));
        command.spawn().expect("the forwarder's process can be started")
    }

    /// Starts a process and waits until it is ready.
    pub async fn start(&self, environment: &Environment) {
        self.sigterm_sent_at.set(None);
        self.killed.set(false);
        self.start_count.set(self.start_count.get() + 1);
        *self.process.borrow_mut() = Some(self.spawn());
        self.wait_until_ready(environment).await;
    }

    /// Waits until the process answers health checks; its exit or a timeout is a violation. Without a list it is not ready, so
    /// it has time for that once discovery can be reached.
    async fn wait_until_ready(&self, environment: &Environment) {
        let mut deadline = Instant::now() + READY_TIMEOUT;
        while self.get("/_health").await.is_none() {
            if !environment.discovery.get().is_reachable() {
                deadline = deadline.max(Instant::now() + NOTIFIED_AT_LATEST);
            }
            if let Some(status) = self.exit_status() {
                return environment
                    .checker
                    .borrow_mut()
                    .record_violation("crash", self.describe(format!("exited during startup: {status}")));
            }
            if Instant::now() > deadline {
                return environment
                    .checker
                    .borrow_mut()
                    .record_violation("ready", self.describe("was not ready within 10 s"));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// The description of a violation, with the forwarder's number before it.
    fn describe(&self, description: impl Into<String>) -> String {
        format!("forwarder {}: {}", self.number, description.into())
    }

    /// The body of a 200 response to a GET; `None` for any other response and after half a second without one.
    pub async fn get(&self, path: &str) -> Option<String> {
        http_get(self.listen_address, path).await
    }

    /// Replaces the process by a successor with the same folder while it serves: the successor takes over, then the
    /// predecessor gets SIGTERM. If a fault prevents the hand-over, this amounts to a restart.
    pub async fn hand_over(&self, environment: &Environment) {
        let Ok(operator_address) = free_address(self.listen_address) else { return };
        self.operator_address.set(Some(operator_address));
        if self.write_configuration(environment).is_err() {
            return;
        }
        let predecessor = self.process.borrow_mut().take();
        *self.predecessor.borrow_mut() = predecessor;
        *self.process.borrow_mut() = Some(self.spawn());
        let deadline = Instant::now() + HAND_OVER_TIMEOUT;
        let mut taken_over = false;
        while !taken_over && Instant::now() < deadline {
            taken_over = http_get(operator_address, "/admin/health").await.is_some();
            sleep(POLL_INTERVAL).await;
        }
        environment.checker.borrow_mut().count(if taken_over {
            "hand-overs"
        } else {
            "hand-overs not possible"
        });
        if taken_over && environment.random_bool(KILLED_SUCCESSOR_SHARE) {
            return self.kill_successors(environment).await;
        }
        if !taken_over {
            environment.checker.borrow_mut().mark_unavailable(self.number);
            self.start_count.set(self.start_count.get() + 1);
        }
        self.terminate_predecessor();
        self.wait_for_predecessor_exit(environment, Instant::now()).await;
        self.wait_until_ready(environment).await;
        if !taken_over {
            environment.checker.borrow_mut().mark_available(self.number);
        }
    }

    /// Kills the successor shortly after it has taken over, and starts the next process while the predecessor's calls in flight
    /// go on. In some cases the next process is killed, too, and the predecessor gets SIGTERM before or after the first kill.
    async fn kill_successors(&self, environment: &Environment) {
        // Drawn apart from the other faults, which stay the same for a seed.
        let mut random = environment.random.borrow().clone();
        sleep(environment.random_duration(0, 300)).await;
        let terminated_at_kill = random.usize(0..3);
        if terminated_at_kill == 0 {
            self.terminate_predecessor();
        }
        let lost_at = Instant::now();
        self.kill_successor(environment).await;
        self.restart(environment, environment.random_duration(0, 600)).await;
        if terminated_at_kill == 1 {
            self.terminate_predecessor();
        }
        for _ in 0..random.usize(0..MAX_SUCCESSORS_LOST) {
            sleep(Duration::from_millis(random.u64(0..300))).await;
            self.kill_successor(environment).await;
            self.restart(environment, Duration::from_millis(random.u64(0..600))).await;
        }
        self.wait_for_predecessor_exit(environment, lost_at).await;
    }

    async fn kill_successor(&self, environment: &Environment) {
        environment.checker.borrow_mut().count("successors lost");
        environment.checker.borrow_mut().mark_unavailable(self.number);
        self.killed.set(true);
        self.signal(Signal::KILL);
        while self.exit_status().is_none() {
            sleep(POLL_INTERVAL).await;
        }
    }

    fn terminate_predecessor(&self) {
        if let Some(predecessor) = self.predecessor.borrow().as_ref() {
            send_signal(predecessor, Signal::TERM);
        }
    }

    /// Waits until the predecessor has exited, which got SIGTERM or lost its successor at `exiting_since`. One that takes too
    /// long is a violation and is killed.
    async fn wait_for_predecessor_exit(&self, environment: &Environment, exiting_since: Instant) {
        let Some(mut predecessor) = self.predecessor.borrow_mut().take() else { return };
        while let Ok(None) = predecessor.try_wait() {
            if exiting_since.elapsed() > EXIT_TIMEOUT {
                let description = self.describe(
                    "the predecessor still ran 3.7 s after SIGTERM, or after its successor was killed",
                );
                environment.checker.borrow_mut().record_violation("leaves", description);
                // An error means that it has just exited.
                let _ = predecessor.kill();
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends some further signals after a SIGTERM: SIGTERM again, or SIGHUP for a reload.
    async fn send_follow_up_signals(&self, environment: &Environment) {
        for _ in 0..environment.random_below(MAX_FOLLOW_UP_SIGNALS + 1) {
            sleep(environment.random_duration(0, 300)).await;
            self.signal(if environment.random_bool(0.5) { Signal::HUP } else { Signal::TERM });
        }
    }

    /// Whether the process was started and has not ended.
    pub fn is_alive(&self) -> bool {
        self.process.borrow_mut().as_mut().is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }

    /// The exit status of the process, once; `None` while it runs, after it was returned, or before any start.
    fn exit_status(&self) -> Option<ExitStatus> {
        let mut process = self.process.borrow_mut();
        let status = process.as_mut()?.try_wait().ok()??;
        *process = None;
        Some(status)
    }

    /// Sends a signal to the process, if there is one.
    pub fn signal(&self, signal: Signal) {
        self.process.borrow().iter().for_each(|process| send_signal(process, signal));
    }

    /// Sends SIGKILL, and starts the forwarder again after `downtime`.
    pub async fn kill_and_restart(&self, environment: &Environment, downtime: Duration) {
        environment.checker.borrow_mut().mark_unavailable(self.number);
        self.killed.set(true);
        self.signal(Signal::KILL);
        while self.exit_status().is_none() {
            sleep(POLL_INTERVAL).await;
        }
        self.restart(environment, downtime).await;
    }

    /// Starts the forwarder again `downtime` after the exit of its process.
    async fn restart(&self, environment: &Environment, downtime: Duration) {
        environment.checker.borrow_mut().record_process_exit(self.number);
        sleep(downtime).await;
        self.start(environment).await;
        environment.checker.borrow_mut().mark_available(self.number);
    }

    /// Sends SIGTERM and further signals, and waits for the exit. Starts the forwarder again after `restart_after`, if
    /// given.
    pub async fn terminate(&self, environment: &Environment, restart_after: Option<Duration>) {
        environment.checker.borrow_mut().mark_unavailable(self.number);
        let sigterm_sent_at = Instant::now();
        self.sigterm_sent_at.set(Some(sigterm_sent_at));
        if environment.random_bool(0.3) {
            self.signal(Signal::HUP);
        }
        self.signal(Signal::TERM);
        self.send_follow_up_signals(environment).await;
        let status = loop {
            if let Some(status) = self.exit_status() {
                break status;
            }
            if sigterm_sent_at.elapsed() > EXIT_TIMEOUT {
                environment
                    .checker
                    .borrow_mut()
                    .record_violation("leaves", self.describe("still ran 3.7 s after SIGTERM"));
                self.killed.set(true);
                self.signal(Signal::KILL);
            }
            sleep(POLL_INTERVAL).await;
        };
        if !status.success() && sigterm_sent_at.elapsed() < EXIT_TIMEOUT {
            environment
                .checker
                .borrow_mut()
                .record_violation("crash", self.describe(format!("exited with {status}")));
        }
        if let Some(downtime) = restart_after {
            self.restart(environment, downtime).await;
        }
    }

    /// Stops the process for a while with SIGSTOP, but not during an injected write stall: together they would exceed the
    /// 150 ms that the platform's terms allow between a process's reading of the clock and its write.
    pub async fn pause(&self, environment: &Environment, duration: Duration) {
        self.write_stalls_enabled.set(false);
        self.write_fault_plan();
        sleep(MAX_WRITE_STALL).await;
        self.stop_and_continue(environment, duration).await;
        self.write_stalls_enabled.set(true);
        self.write_fault_plan();
    }

    /// Sends SIGSTOP, and SIGCONT after the given time.
    async fn stop_and_continue(&self, environment: &Environment, duration: Duration) {
        environment.checker.borrow_mut().mark_unavailable(self.number);
        self.signal(Signal::STOP);
        sleep(duration).await;
        self.signal(Signal::CONT);
        environment.checker.borrow_mut().mark_available(self.number);
    }

    /// Writes a new configuration and sends SIGHUP. In half of the cases the discovery agent gets a new address.
    pub fn reload(&self, environment: &Rc<Environment>) {
        self.max_open.set(100 + environment.random_below(100));
        if environment.random_bool(0.5) {
            if let Ok(discovery_address) = platform::start(environment, self.number) {
                self.discovery_address.set(discovery_address);
            }
        }
        if self.write_configuration(environment).is_ok() {
            self.signal(Signal::HUP);
        }
    }

    /// Puts fault rules in force, one a line; the returned id removes them again.
    pub fn add_fault_rules(&self, rules: &str) -> u64 {
        self.last_rules_id.set(self.last_rules_id.get() + 1);
        self.fault_rules.borrow_mut().push((self.last_rules_id.get(), rules.to_owned()));
        self.write_fault_plan();
        self.last_rules_id.get()
    }

    /// Removes the fault rules that were added under this id.
    pub fn remove_fault_rules(&self, id: u64) {
        self.fault_rules.borrow_mut().retain(|rules| rules.0 != id);
        self.write_fault_plan();
    }

    /// Writes the rules in force to the plan of the fault library.
    fn write_fault_plan(&self) {
        let fault_rules = self.fault_rules.borrow();
        let is_enabled = |rules: &&(u64, String)| {
            self.write_stalls_enabled.get() || !rules.1.starts_with(WRITE_STALL_PREFIX)
        };
        let rule_lines: String =
            fault_rules.iter().filter(is_enabled).map(|rules| rules.1.clone() + "\n").collect();
        let temporary_file = self.folder.join("faults.new");
        let plan = format!("seed {}\n{rule_lines}", self.number * 2 + 1);
        fs::write(&temporary_file, plan)
            .and_then(|()| fs::rename(temporary_file, self.folder.join("faults")))
            .expect("the fault plan can be written");
    }

    /// Checks at the end of the run that the process runs, that its own invariant counters are empty, and that its resident
    /// memory and open descriptors are within the limits. A figure that cannot be read passes.
    pub async fn check_at_end(&self, environment: &Environment) {
        if let Some(status) = self.exit_status() {
            return environment.checker.borrow_mut().record_violation(
                "crash",
                self.describe(format!("exited before the end of the run: {status}")),
            );
        }
        let Some(body) = self.get("/_counters").await else {
            return environment
                .checker
                .borrow_mut()
                .record_violation("ready", self.describe("returned no counters at the end of the run"));
        };
        let counters: Value = serde_json::from_str(&body).unwrap_or_default();
        let violations = counters["invariant_violations"].as_object().cloned().unwrap_or_default();
        for (rule, count) in violations {
            environment
                .checker
                .borrow_mut()
                .record_violation("run-time", self.describe(format!("{rule}: {count}")));
        }
        let process_id = self.process.borrow().as_ref().map(Child::id).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).unwrap_or_default();
        let resident_kb =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.parse().ok());
        let open_descriptors = fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count);
        let mut checker = environment.checker.borrow_mut();
        if resident_kb.is_some_and(|kb: u64| kb > MAX_MEMORY_KB) || open_descriptors > MAX_OPEN_DESCRIPTORS {
            let description = format!(
                "{resident_kb:?} kB resident ({MAX_MEMORY_KB} allowed) and {open_descriptors} open descriptors \
                 ({MAX_OPEN_DESCRIPTORS} allowed)"
            );
            checker.record_violation("limits", self.describe(description));
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        for process in [&self.process, &self.predecessor] {
            if let Some(mut child) = process.borrow_mut().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
