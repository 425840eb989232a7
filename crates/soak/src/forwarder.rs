//! Forwarders as real processes: their files, signals and system-call faults. Each ends with the soak, however that ends.

use crate::agent;
use crate::world::{sleep, World};
use async_io::Async;
use cedarbridge::net::http::HttpConnection;
use futures_lite::future;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A forwarder must be ready so long after its start.
const READY: Duration = Duration::from_secs(10);
/// It must be out so long after SIGTERM.
const LEAVES: Duration = Duration::from_millis(3_700);
const LOOK: Duration = Duration::from_millis(10);
/// What it may take in the end: resident memory in kB, and descriptors.
const MEMORY_KB: u64 = 64 * 1024;
const DESCRIPTORS: usize = 256;

/// A forwarder.
pub struct Forwarder {
    pub number: usize,
    pub listen: SocketAddr,
    folder: PathBuf,
    discovery: Cell<SocketAddr>,
    max_open: Cell<usize>,
    child: RefCell<Option<Child>>,
    /// Processes begun so far.
    pub starts: Cell<u32>,
    /// When the process was told to end.
    pub going_since: Cell<Option<Instant>>,
    /// The process was killed: what it had read is lost, as it may be.
    pub killed: Cell<bool>,
    /// Something is being done to the process that only one may do at a time.
    pub busy: Cell<bool>,
    /// Faults in force, by who set them.
    faults: RefCell<Vec<(u64, String)>>,
    fault_number: Cell<u64>,
}

/// The program that is run: this one, by its hidden command, or another.
pub fn program() -> Command {
    let own = std::env::current_exe().expect("a path");
    match std::env::var_os("CEDARBRIDGE_SOAK_PROGRAM") {
        Some(other) => Command::new(other),
        None => {
            let mut command = Command::new(own);
            command.arg("forwarder");
            command
        }
    }
}

/// Where Cargo puts the library of `crates/faultshim`: beside the program, or in its `deps`.
fn fault_library() -> Option<PathBuf> {
    let folder = std::env::current_exe().ok()?.parent()?.to_owned();
    let name = "libcedarbridge_faultshim.so";
    [folder.join("deps").join(name), folder.join(name)].into_iter().find(|p| p.exists())
}

impl Forwarder {
    /// Writes its files; it is not started yet.
    pub fn prepare(world: &Rc<World>, number: usize, folder: &Path) -> std::io::Result<Forwarder> {
        let folder = folder.join(format!("forwarder-{number}"));
        fs::create_dir_all(folder.join("state"))?;
        // An address of its own, so that nobody else takes the port while it is away.
        let ip = [127, 77, 1 + (number / 250) as u8, 1 + (number % 250) as u8];
        let listen = TcpListener::bind(SocketAddr::from((ip, 0)))?.local_addr()?;
        let discovery = agent::begin(world, number)?;
        let forwarder = Forwarder {
            number,
            listen,
            folder,
            discovery: discovery.into(),
            max_open: 150.into(),
            child: RefCell::default(),
            starts: 0.into(),
            going_since: None.into(),
            killed: false.into(),
            busy: false.into(),
            faults: RefCell::default(),
            fault_number: 0.into(),
        };
        forwarder.configure(world)?;
        forwarder.write_faults();
        Ok(forwarder)
    }

    fn configure(&self, world: &World) -> std::io::Result<()> {
        let classes: Vec<Value> = world.classes.iter().map(crate::troubles::class).collect();
        let settings = json!({
            "azs": agent::ZONES, "zone": agent::ZONES[self.number % 2], "balancers": world.size.forwarders,
            "me": self.number, "kinds": ["one"], "discovery": "pushed", "categories": classes,
            "realms": [{"name": "acme", "portion": 1.0, "quota-per-s": 10000.0}],
            "granularity": 5.0, "weight-source": "rough", "fees": {}, "callers": {"marks-retry": true},
            "permissions": {"max-open": self.max_open.get(), "max-attempts": crate::judge::MAX_ATTEMPTS, "cancel": true,
                "retry-after": true, "max-retry-after": 3000.0, "conn-idle": 3000.0, "dial-timeout": 1000.0},
            "rules": {"fall-multiple": 2.0, "fall": 2000.0, "cold": 3000.0, "cold-from": 0.3, "drain-grace": 250.0},
            "specifics": {"call-slots": 12, "late": "linear", "own-limits": [false], "per-call": [4]},
        });
        let config = json!({
            "name": format!("n{}", self.number), "listen": self.listen.to_string(),
            "discovery": self.discovery.get().to_string(), "state": self.folder.join("state"),
            "seed": format!("{:016x}", world.seed << 16 | self.number as u64), "settings": settings,
            "limits": {"cores": 1.0, "memory_mb": 128, "sockets": DESCRIPTORS, "disk_mb": 1.0},
        });
        let beside = self.folder.join("config.new");
        fs::write(&beside, config.to_string())?;
        fs::rename(beside, self.folder.join("config.json"))
    }

    /// Starts its process and waits until it is ready.
    pub async fn start(&self, world: &World) {
        let mut command = program();
        command.arg("run").arg(self.folder.join("config.json")).env_clear();
        command.env("RUST_BACKTRACE", "1");
        command.env("LD_PRELOAD", fault_library().expect("the library of crates/faultshim is built"));
        command.env("FAULTSHIM_PLAN", self.folder.join("faults"));
        command.env("FAULTSHIM_FOLDER", self.folder.join("state"));
        let log = fs::OpenOptions::new().create(true).append(true).open(self.folder.join("log"));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log.expect("a log"));
        self.going_since.set(None);
        self.killed.set(false);
        self.starts.set(self.starts.get() + 1);
        *self.child.borrow_mut() = Some(command.spawn().expect("it starts"));
        let until = Instant::now() + READY;
        while self.ask("/_health").await.is_none() {
            if let Some(status) = self.gone() {
                return world
                    .judge
                    .borrow_mut()
                    .violate("crash", self.told(format!("ended at its start: {status}")));
            }
            if Instant::now() > until {
                return world.judge.borrow_mut().violate("ready", self.told("was not ready in 10 s"));
            }
            sleep(LOOK).await;
        }
    }

    fn told(&self, what: impl Into<String>) -> String {
        format!("forwarder {}: {}", self.number, what.into())
    }

    /// The body of a 200 to a question; nothing if it does not come at once.
    pub async fn ask(&self, path: &str) -> Option<String> {
        let asked = async {
            let mut wire = HttpConnection::new(Async::<TcpStream>::connect(self.listen).await.ok()?);
            let text = format!("GET {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n\r\n");
            wire.write(text.as_bytes()).await.ok()?;
            let head = wire.read_response().await.ok().filter(|h| h.status == 200)?;
            String::from_utf8(wire.response_body(&head, 1 << 20).await.ok()?).ok()
        };
        let late = async {
            sleep(Duration::from_millis(500)).await;
            None
        };
        future::or(asked, late).await
    }

    /// Its process runs.
    pub fn alive(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(None)))
    }

    fn gone(&self) -> Option<ExitStatus> {
        let mut child = self.child.borrow_mut();
        let status = child.as_mut()?.try_wait().ok()??;
        *child = None;
        Some(status)
    }

    pub fn signal(&self, signal: Signal) {
        let pid = self.child.borrow().as_ref().and_then(|c| Pid::from_raw(c.id() as i32));
        // It may just have ended, which is seen elsewhere.
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Kills it and starts it again a while later, perhaps with its wall clock set meanwhile.
    pub async fn kill(&self, world: &World, away: Duration) {
        world.judge.borrow_mut().goes_away(self.number);
        self.killed.set(true);
        self.signal(Signal::KILL);
        while self.gone().is_none() {
            sleep(LOOK).await;
        }
        self.come_back(world, away).await;
    }

    async fn come_back(&self, world: &World, away: Duration) {
        world.judge.borrow_mut().died(self.number);
        sleep(away).await;
        self.start(world).await;
        world.judge.borrow_mut().is_back(self.number);
    }

    /// Tells it to end, and starts it again once it has.
    pub async fn end(&self, world: &World, back: Option<Duration>) {
        world.judge.borrow_mut().goes_away(self.number);
        let begun = Instant::now();
        self.going_since.set(Some(begun));
        self.signal(Signal::TERM);
        let status = loop {
            if let Some(status) = self.gone() {
                break status;
            }
            if begun.elapsed() > LEAVES {
                world.judge.borrow_mut().violate("leaves", self.told("was there 3.7 s after SIGTERM"));
                self.killed.set(true);
                self.signal(Signal::KILL);
            }
            sleep(LOOK).await;
        };
        if !status.success() && begun.elapsed() < LEAVES {
            world.judge.borrow_mut().violate("crash", self.told(format!("ended with {status}")));
        }
        if let Some(away) = back {
            self.come_back(world, away).await;
        }
    }

    /// Holds it up.
    pub async fn stall(&self, world: &World, lasts: Duration) {
        world.judge.borrow_mut().goes_away(self.number);
        self.signal(Signal::STOP);
        sleep(lasts).await;
        self.signal(Signal::CONT);
        world.judge.borrow_mut().is_back(self.number);
    }

    /// Gives it a new configuration; discovery may move with it.
    pub fn reload(&self, world: &Rc<World>) {
        self.max_open.set(100 + world.below(100));
        if world.chance(0.5) {
            if let Ok(discovery) = agent::begin(world, self.number) {
                self.discovery.set(discovery);
            }
        }
        if self.configure(world).is_ok() {
            self.signal(Signal::HUP);
        }
    }

    /// Puts faults in force; the number takes them away again.
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
        let rules: String = self.faults.borrow().iter().map(|f| f.1.clone() + "\n").collect();
        let beside = self.folder.join("faults.new");
        let text = format!("seed {}\n{rules}", self.number * 2 + 1);
        fs::write(&beside, text)
            .and_then(|()| fs::rename(beside, self.folder.join("faults")))
            .expect("written");
    }

    /// What the process tells of itself at the end, and what the system tells of it.
    pub async fn inspect(&self, world: &World) {
        if let Some(status) = self.gone() {
            return world.judge.borrow_mut().violate("crash", self.told(format!("has ended with {status}")));
        }
        let Some(text) = self.ask("/_counters").await else {
            return world.judge.borrow_mut().violate("ready", self.told("tells no counters at the end"));
        };
        let counters: Value = serde_json::from_str(&text).unwrap_or_default();
        let violations = counters["invariant_violations"].as_object().cloned().unwrap_or_default();
        for (rule, count) in violations {
            world.judge.borrow_mut().violate("run-time", self.told(format!("{rule}: {count}")));
        }
        let pid = self.child.borrow().as_ref().map(Child::id).unwrap_or_default();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let resident =
            status.lines().find_map(|l| l.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.parse().ok());
        let descriptors = fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        let mut judge = world.judge.borrow_mut();
        if resident.is_some_and(|kb: u64| kb > MEMORY_KB) || descriptors > DESCRIPTORS {
            let what = format!("{resident:?} kB and {descriptors} descriptors");
            judge.violate("limits", self.told(what));
        }
    }
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
