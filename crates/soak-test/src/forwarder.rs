//! Forwarders as real processes: their files, signals and system-call faults. Each ends with the soak test, however that ends.

use crate::process::{fault_library, free_address, get_from, program, send_signal};
use crate::world::{sleep, World};
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

/// A forwarder must be ready so long after its start.
const READY_WITHIN: Duration = Duration::from_secs(10);
/// A forwarder must have exited so long after SIGTERM.
const EXIT_WITHIN: Duration = Duration::from_millis(3_700);
/// Time between two looks at a process.
const POLL: Duration = Duration::from_millis(10);
/// A successor takes over within this, unless a fault keeps it from it.
const TAKES_OVER_WITHIN: Duration = Duration::from_secs(3);
/// Share of the successors that are killed a moment after they took over.
const LOST_SUCCESSOR_SHARE: f64 = 0.2;
/// How the rules begin that hold up writes.
const WRITE_STALL: &str = "send stall";
/// An injected hold-up of a write is over after this.
const WRITE_STALL_ENDED: Duration = Duration::from_millis(160);
/// The most signals that follow SIGTERM in a series.
const SIGNALS_IN_SERIES: usize = 3;
/// Resident memory that a forwarder may have at the end, in kB.
const MAX_MEMORY_KB: u64 = 64 * 1024;
/// Descriptors that a forwarder may have open.
const MAX_DESCRIPTORS: usize = 256;

/// A forwarder.
pub struct Forwarder {
    pub number: usize,
    pub listen: SocketAddr,
    folder: PathBuf,
    discovery: Cell<SocketAddr>,
    max_open: Cell<usize>,
    /// Where operators call and a successor asks, in runs with hand-overs.
    operator: Cell<Option<SocketAddr>>,
    child: RefCell<Option<Child>>,
    /// The process that a successor replaces.
    predecessor: RefCell<Option<Child>>,
    /// Processes started so far.
    pub starts: Cell<u32>,
    /// When the process was sent SIGTERM.
    pub terminated_at: Cell<Option<Instant>>,
    /// The process was killed: what it had read may be lost.
    pub killed: Cell<bool>,
    /// Something is being done to the process that only one may do at a time.
    pub busy: Cell<bool>,
    /// Writes are held up now and then.
    stalls_writes: Cell<bool>,
    /// Faults in force, by who set them.
    faults: RefCell<Vec<(u64, String)>>,
    fault_number: Cell<u64>,
}

impl Forwarder {
    /// Writes its files; it is not started yet.
    pub fn prepare(world: &Rc<World>, number: usize, folder: &Path) -> std::io::Result<Forwarder> {
        let folder = folder.join(format!("forwarder-{number}"));
        fs::create_dir_all(folder.join("state"))?;
        // An address of its own, so that nobody else takes the port while it is away.
        let ip = [127, 77, 1 + (number / 250) as u8, 1 + (number % 250) as u8];
        let listen = TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()?;
        let discovery = platform::start(world, number)?;
        let operator = if world.options.hand_overs { Some(free_address(listen)?) } else { None };
        let forwarder = Forwarder {
            number,
            listen,
            folder,
            discovery: discovery.into(),
            max_open: 150.into(),
            operator: operator.into(),
            child: RefCell::default(),
            predecessor: RefCell::default(),
            starts: 0.into(),
            terminated_at: None.into(),
            killed: false.into(),
            busy: false.into(),
            stalls_writes: true.into(),
            faults: RefCell::default(),
            fault_number: 0.into(),
        };
        forwarder.configure(world)?;
        forwarder.write_faults();
        Ok(forwarder)
    }

    fn configure(&self, world: &World) -> std::io::Result<()> {
        let kinds: Vec<&str> = deployment::KINDS.iter().map(|kind| kind.name).collect();
        let messages_per_call: Vec<usize> =
            deployment::KINDS.iter().map(|kind| kind.messages_per_call).collect();
        let own_limits = [false; deployment::KINDS.len()];
        let classes: Vec<Value> = world.classes.iter().map(deployment::class).collect();
        let settings = json!({
            "azs": deployment::ZONES, "zone": deployment::ZONES[self.number % 2], "balancers": world.options.forwarders,
            "me": self.number, "kinds": kinds, "discovery": "pushed", "categories": classes,
            "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 10000.0}],
            "granularity": 5.0, "weight-source": "rough", "fees": {}, "callers": {"marks-retry": true},
            "permissions": {"max-open": self.max_open.get(), "max-attempts": deployment::MAX_ATTEMPTS, "cancel": true,
                "retry-after": true, "max-retry-after": 3000.0, "conn-idle": 3000.0, "dial-timeout": 1500.0},
            "rules": {"fall-multiple": deployment::OVERLOAD_MULTIPLE,
                "fall": deployment::OVERLOAD_WINDOW.as_millis() as f64, "cold": deployment::SLOW_START.as_millis() as f64,
                "cold-from": deployment::SLOW_START_FLOOR, "drain-grace": deployment::DRAIN_GRACE.as_millis() as f64},
            "specifics": {"call-slots": 12, "late": "linear", "own-limits": own_limits, "per-call": messages_per_call},
        });
        let mut config = json!({
            "name": format!("n{}", self.number), "listen": self.listen.to_string(),
            "discovery": self.discovery.get().to_string(), "state": self.folder.join("state"),
            "seed": format!("{:016x}", world.seed << 16 | self.number as u64), "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": MAX_DESCRIPTORS, "disk_mb": 1.0},
        });
        if let Some(operator) = self.operator.get() {
            config["operator"] = operator.to_string().into();
        }
        let beside = self.folder.join("config.new");
        fs::write(&beside, config.to_string())?;
        fs::rename(beside, self.folder.join("config.json"))
    }

    /// Starts a process on its files.
    fn spawn(&self) -> Child {
        let mut command = program();
        command.arg("run").arg(self.folder.join("config.json")).env_clear();
        command.env("RUST_BACKTRACE", "1");
        command.env("LD_PRELOAD", fault_library().expect("the library of crates/faultshim is built"));
        command.env("FAULTSHIM_PLAN", self.folder.join("faults"));
        command.env("FAULTSHIM_FOLDER", self.folder.join("state"));
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.expect("a log"));
        command.spawn().expect("it starts")
    }

    /// Starts its process and waits until it is ready.
    pub async fn start(&self, world: &World) {
        self.terminated_at.set(None);
        self.killed.set(false);
        self.starts.set(self.starts.get() + 1);
        *self.child.borrow_mut() = Some(self.spawn());
        self.until_ready(world).await;
    }

    async fn until_ready(&self, world: &World) {
        let until = Instant::now() + READY_WITHIN;
        while self.get("/_health").await.is_none() {
            if let Some(status) = self.exit_status() {
                return world
                    .checker
                    .borrow_mut()
                    .violate("crash", self.describe(format!("ended at its start: {status}")));
            }
            if Instant::now() > until {
                return world.checker.borrow_mut().violate("ready", self.describe("was not ready in 10 s"));
            }
            sleep(POLL).await;
        }
    }

    fn describe(&self, what: impl Into<String>) -> String {
        format!("forwarder {}: {}", self.number, what.into())
    }

    /// The body of a 200 response to a GET; `None` if it does not come at once.
    pub async fn get(&self, path: &str) -> Option<String> {
        get_from(self.listen, path).await
    }

    /// Replaces its process by a successor on the same folder, while it serves: the successor takes over, then the
    /// predecessor is told to end. Where a fault keeps the two from it, this is a restart.
    pub async fn hand_over(&self, world: &World) {
        let Ok(operator) = free_address(self.listen) else { return };
        self.operator.set(Some(operator));
        if self.configure(world).is_err() {
            return;
        }
        let predecessor = self.child.borrow_mut().take();
        *self.predecessor.borrow_mut() = predecessor;
        *self.child.borrow_mut() = Some(self.spawn());
        let until = Instant::now() + TAKES_OVER_WITHIN;
        let mut taken_over = false;
        while !taken_over && Instant::now() < until {
            taken_over = get_from(operator, "/admin/health").await.is_some();
            sleep(POLL).await;
        }
        world.checker.borrow_mut().count(if taken_over { "hand-overs" } else { "hand-overs not possible" });
        if taken_over && world.chance(LOST_SUCCESSOR_SHARE) {
            return self.lose_successor(world).await;
        }
        if !taken_over {
            world.checker.borrow_mut().becomes_unavailable(self.number);
            self.starts.set(self.starts.get() + 1);
        }
        self.end_predecessor(world).await;
        self.until_ready(world).await;
        if !taken_over {
            world.checker.borrow_mut().becomes_available(self.number);
        }
    }

    /// Kills the successor a moment after it has taken over. Its predecessor ends by itself, and the forwarder starts again.
    async fn lose_successor(&self, world: &World) {
        sleep(world.span(0, 300)).await;
        world.checker.borrow_mut().count("successors lost");
        world.checker.borrow_mut().becomes_unavailable(self.number);
        self.killed.set(true);
        self.signal(Signal::KILL);
        while self.exit_status().is_none() {
            sleep(POLL).await;
        }
        self.until_predecessor_ended(world).await;
        self.restart(world, world.span(0, 600)).await;
    }

    /// Tells the predecessor to end, and waits for that.
    async fn end_predecessor(&self, world: &World) {
        if let Some(predecessor) = self.predecessor.borrow().as_ref() {
            send_signal(predecessor, Signal::TERM);
        }
        self.until_predecessor_ended(world).await;
    }

    async fn until_predecessor_ended(&self, world: &World) {
        let Some(mut predecessor) = self.predecessor.borrow_mut().take() else { return };
        let begun = Instant::now();
        while let Ok(None) = predecessor.try_wait() {
            if begun.elapsed() > EXIT_WITHIN {
                let what =
                    self.describe("was there 3.7 s after its successor took over for good, or was lost");
                world.checker.borrow_mut().violate("leaves", what);
                // It may just have ended.
                let _ = predecessor.kill();
            }
            sleep(POLL).await;
        }
    }

    /// What follows SIGTERM in a series: more of it, and new configurations.
    async fn signal_series(&self, world: &World) {
        for _ in 0..world.below(SIGNALS_IN_SERIES + 1) {
            sleep(world.span(0, 300)).await;
            self.signal(if world.chance(0.5) { Signal::HUP } else { Signal::TERM });
        }
    }
    /// Whether its process runs.
    pub fn alive(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    fn exit_status(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status)
    }

    pub fn signal(&self, signal: Signal) {
        self.child.borrow().iter().for_each(|child| send_signal(child, signal));
    }

    /// Kills it and starts it again a while later.
    pub async fn kill(&self, world: &World, away: Duration) {
        world.checker.borrow_mut().becomes_unavailable(self.number);
        self.killed.set(true);
        self.signal(Signal::KILL);
        while self.exit_status().is_none() {
            sleep(POLL).await;
        }
        self.restart(world, away).await;
    }

    async fn restart(&self, world: &World, away: Duration) {
        world.checker.borrow_mut().died(self.number);
        sleep(away).await;
        self.start(world).await;
        world.checker.borrow_mut().becomes_available(self.number);
    }

    /// Sends SIGTERM, and starts it again once it has exited.
    pub async fn terminate(&self, world: &World, back: Option<Duration>) {
        world.checker.borrow_mut().becomes_unavailable(self.number);
        let begun = Instant::now();
        self.terminated_at.set(Some(begun));
        if world.chance(0.3) {
            self.signal(Signal::HUP);
        }
        self.signal(Signal::TERM);
        self.signal_series(world).await;
        let status = loop {
            if let Some(status) = self.exit_status() {
                break status;
            }
            if begun.elapsed() > EXIT_WITHIN {
                world.checker.borrow_mut().violate("leaves", self.describe("was there 3.7 s after SIGTERM"));
                self.killed.set(true);
                self.signal(Signal::KILL);
            }
            sleep(POLL).await;
        };
        if !status.success() && begun.elapsed() < EXIT_WITHIN {
            world.checker.borrow_mut().violate("crash", self.describe(format!("ended with {status}")));
        }
        if let Some(away) = back {
            self.restart(world, away).await;
        }
    }

    /// Stops it for a while, but not within an injected hold-up of a write: the two would add up to more than the platform's terms
    /// let a process be held up between its clock and its write.
    pub async fn stall(&self, world: &World, lasts: Duration) {
        self.stalls_writes.set(false);
        self.write_faults();
        sleep(WRITE_STALL_ENDED).await;
        self.stop_for(world, lasts).await;
        self.stalls_writes.set(true);
        self.write_faults();
    }

    async fn stop_for(&self, world: &World, lasts: Duration) {
        world.checker.borrow_mut().becomes_unavailable(self.number);
        self.signal(Signal::STOP);
        sleep(lasts).await;
        self.signal(Signal::CONT);
        world.checker.borrow_mut().becomes_available(self.number);
    }

    /// Gives it a new configuration; discovery may move with it.
    pub fn reload(&self, world: &Rc<World>) {
        self.max_open.set(100 + world.below(100));
        if world.chance(0.5) {
            if let Ok(discovery) = platform::start(world, self.number) {
                self.discovery.set(discovery);
            }
        }
        if self.configure(world).is_ok() {
            self.signal(Signal::HUP);
        }
    }

    /// Puts faults in force; the number removes them again.
    pub fn add_faults(&self, rules: &str) -> u64 {
        self.fault_number.set(self.fault_number.get() + 1);
        self.faults.borrow_mut().push((self.fault_number.get(), rules.to_owned()));
        self.write_faults();
        self.fault_number.get()
    }

    pub fn remove_faults(&self, number: u64) {
        self.faults.borrow_mut().retain(|f| f.0 != number);
        self.write_faults();
    }

    fn write_faults(&self) {
        let faults = self.faults.borrow();
        let is_in_force =
            |fault: &&(u64, String)| self.stalls_writes.get() || !fault.1.starts_with(WRITE_STALL);
        let rules: String = faults.iter().filter(is_in_force).map(|fault| fault.1.clone() + "\n").collect();
        let beside = self.folder.join("faults.new");
        let text = format!("seed {}\n{rules}", self.number * 2 + 1);
        fs::write(&beside, text)
            .and_then(|()| fs::rename(beside, self.folder.join("faults")))
            .expect("written");
    }

    /// Checks the process's own counters and what the system reports of it.
    pub async fn check_at_end(&self, world: &World) {
        if let Some(status) = self.exit_status() {
            return world
                .checker
                .borrow_mut()
                .violate("crash", self.describe(format!("has ended with {status}")));
        }
        let Some(text) = self.get("/_counters").await else {
            return world
                .checker
                .borrow_mut()
                .violate("ready", self.describe("shows no counters at the end"));
        };
        let counters: Value = serde_json::from_str(&text).unwrap_or_default();
        let violations = counters["invariant_violations"].as_object().cloned().unwrap_or_default();
        for (rule, count) in violations {
            world.checker.borrow_mut().violate("run-time", self.describe(format!("{rule}: {count}")));
        }
        let pid = self.child.borrow().as_ref().map(Child::id).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.parse().ok());
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        let mut checker = world.checker.borrow_mut();
        if resident.is_some_and(|kb: u64| kb > MAX_MEMORY_KB) || descriptors > MAX_DESCRIPTORS {
            let what = format!("{resident:?} kB and {descriptors} descriptors");
            checker.violate("limits", self.describe(what));
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        for process in [&self.child, &self.predecessor] {
            if let Some(mut child) = process.borrow_mut().take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
    }
}
