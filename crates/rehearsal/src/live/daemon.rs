//! Forwarders as processes: their files, their starts and ends. None outlives the kit: each is started by the kit's
//! keeper, which asks the system to end it with its parent.

use super::{LiveError, LiveRun, SHUTDOWN_LIMIT};
use crate::figures::Upgrade;
use crate::forwarder_config::{config, ForwarderAddresses};
use crate::scenario;
use async_io::{Async, Timer};
use cedarbridge::net::http::HttpConnection;
use cedarbridge::Micros;
use rustix::process::{kill_process, Pid, Signal};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Answers are overdue again so long after a restarted forwarder is ready.
const AGAIN_DUE: Micros = 1_500_000;
/// How often a process or an address is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A new process must take clients so long after its start.
const MUST_TAKE: Duration = Duration::from_secs(6);
/// Requests that a predecessor rejected are counted up to so long after its end.
const UPGRADE_SETTLE_TIME: Duration = Duration::from_millis(300);

/// A process: ended when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have exited already; then there is nothing to wait for either.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A forwarder, with the process that is being replaced.
pub struct Daemon {
    folder: PathBuf,
    ip: [u8; 4],
    addresses: ForwarderAddresses,
    child: Option<Process>,
    predecessor: Option<Process>,
}

/// Which of a forwarder's processes.
#[derive(Clone, Copy)]
enum ProcessRole {
    Current,
    Predecessor,
}

/// Why a forwarder did not get ready.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// Its process ended.
    #[error("forwarder {number} ended as it started ({status}); see {}", log.display())]
    EndedAtStart {
        /// The forwarder, from 1.
        number: usize,
        /// How the process ended.
        status: ExitStatus,
        /// Its log.
        log: PathBuf,
    },
    /// It did not report ready in time.
    #[error("forwarder {number} was not ready in {} s", within.as_secs())]
    NotReady {
        /// The forwarder, from 1.
        number: usize,
        /// The time that it had.
        within: Duration,
    },
}

fn system(what: &str) -> impl Fn(std::io::Error) -> LiveError + '_ {
    move |e| LiveError::System(what.into(), e)
}

impl Daemon {
    /// Writes its files. It gets an address of its own, so that nobody else takes the port while it is away.
    pub fn prepare(run: &LiveRun, forwarder: usize, agent: SocketAddr) -> Result<Daemon, LiveError> {
        let folder = run.options.folder.join(format!("forwarder-{}", forwarder + 1));
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(system("cannot make a forwarder's folder"))?;
        let ip = [127, 88, 1 + (forwarder / 250) as u8, 1 + (forwarder % 250) as u8];
        let listen = pick(ip)?;
        // Only a day with upgrades needs an operator address.
        let replaced = run.world.stops.iter().any(|s| s.signal == scenario::Signal::Upgrade);
        let operator = replaced.then(|| pick(ip)).transpose()?;
        let daemon = Daemon {
            folder,
            ip,
            addresses: ForwarderAddresses { listen, operator, agent },
            child: None,
            predecessor: None,
        };
        daemon.configure(run, forwarder)?;
        Ok(daemon)
    }

    fn configure(&self, run: &LiveRun, forwarder: usize) -> Result<(), LiveError> {
        let text = config(&run.world, forwarder, self.addresses, &self.folder.join("state")).to_string();
        std::fs::write(self.folder.join("config.json"), text).map_err(system("cannot write a configuration"))
    }

    /// Its client address while its process runs.
    pub fn listen(&self) -> Option<SocketAddr> {
        self.child.as_ref().map(|_| self.addresses.listen)
    }

    /// Its client address.
    pub fn address(&self) -> SocketAddr {
        self.addresses.listen
    }

    fn process(&mut self, role: ProcessRole) -> &mut Option<Process> {
        match role {
            ProcessRole::Current => &mut self.child,
            ProcessRole::Predecessor => &mut self.predecessor,
        }
    }

    fn pid(&mut self, role: ProcessRole) -> Option<Pid> {
        self.process(role).as_ref().and_then(|c| Pid::from_raw(c.0.id() as i32))
    }

    /// Its exit status, once it has exited.
    fn exit_status(&mut self, role: ProcessRole) -> Option<ExitStatus> {
        let process = self.process(role);
        let status = process.as_mut()?.0.try_wait().ok()??;
        *process = None;
        Some(status)
    }
}

fn pick(ip: [u8; 4]) -> Result<SocketAddr, LiveError> {
    let picked = TcpListener::bind(SocketAddr::from((ip, 0)));
    picked.and_then(|l| l.local_addr()).map_err(system("no address for a forwarder"))
}

/// Starts a forwarder.
pub fn start(run: &LiveRun, forwarder: usize) -> Result<(), LiveError> {
    let d = &mut run.daemons.borrow_mut()[forwarder];
    let log = std::fs::OpenOptions::new().create(true).append(true).open(d.folder.join("log"));
    let log = log.map_err(system("cannot open a log"))?;
    let mut command = Command::new(&run.options.keeper);
    command.arg("under").arg(std::process::id().to_string()).args(&run.options.daemon);
    command.arg("run").arg(d.folder.join("config.json")).args([
        "--log-format",
        "json",
        "--log-level",
        &run.options.log_level,
    ]);
    if let Some(site) = &run.options.site {
        command.arg("--site").arg(site);
    }
    for name in [
        "ROUTER_NAME",
        "ROUTER_LISTEN",
        "ROUTER_DISCOVERY",
        "ROUTER_STATE",
        "ROUTER_CONFIG",
        "ROUTER_OPERATOR",
        "CEDARBRIDGE_SITE",
    ] {
        command.env_remove(name);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    d.child = Some(Process(command.spawn().map_err(system("cannot start a forwarder"))?));
    Ok(())
}

async fn healthy(address: SocketAddr, path: &str) -> bool {
    let asked = async {
        let mut wire = HttpConnection::new(Async::<TcpStream>::connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n");
        wire.write(request.as_bytes()).await.ok()?;
        Some(wire.read_response().await.ok()?.status == 200)
    };
    let late = async {
        Timer::after(Duration::from_millis(500)).await;
        None
    };
    futures_lite::future::or(asked, late).await.unwrap_or(false)
}

/// Waits until a forwarder has answered that it is ready.
pub async fn until_ready(run: &LiveRun, forwarder: usize, within: Duration) -> Result<(), DaemonError> {
    let address = run.daemons.borrow()[forwarder].addresses.listen;
    until_healthy(run, forwarder, (address, "/_health"), within).await
}

async fn until_healthy(
    run: &LiveRun,
    forwarder: usize,
    asked: (SocketAddr, &str),
    within: Duration,
) -> Result<(), DaemonError> {
    let until = Instant::now() + within;
    while Instant::now() < until {
        if healthy(asked.0, asked.1).await {
            return Ok(());
        }
        let exit_status = run.daemons.borrow_mut()[forwarder].exit_status(ProcessRole::Current);
        if let Some(status) = exit_status {
            let log = run.daemons.borrow()[forwarder].folder.join("log");
            return Err(DaemonError::EndedAtStart { number: forwarder + 1, status, log });
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Err(DaemonError::NotReady { number: forwarder + 1, within })
}

/// Sends a signal to a forwarder.
pub fn signal(run: &LiveRun, forwarder: usize, signal: Signal) {
    signal_to(run, forwarder, ProcessRole::Current, signal);
}

fn signal_to(run: &LiveRun, forwarder: usize, role: ProcessRole, signal: Signal) {
    if let Some(pid) = run.daemons.borrow_mut()[forwarder].pid(role) {
        // It may just have exited, which is noticed where its exit status is read.
        let _ = kill_process(pid, signal);
    }
}

/// Waits for a forwarder's exit; past the limit it is killed, which is reported.
async fn until_gone(run: &LiveRun, forwarder: usize, role: ProcessRole) {
    let until = Instant::now() + SHUTDOWN_LIMIT;
    loop {
        let exit_status = run.daemons.borrow_mut()[forwarder].exit_status(role);
        match exit_status {
            Some(status) if !status.success() => {
                return run.report_incident(format!("forwarder {} ended with {status}", forwarder + 1));
            }
            Some(_) => return,
            None if Instant::now() > until => {
                run.report_incident(format!("forwarder {} was there 3.7 s after SIGTERM", forwarder + 1));
                signal_to(run, forwarder, role, Signal::KILL);
                while run.daemons.borrow_mut()[forwarder].exit_status(role).is_none() {
                    Timer::after(POLL_INTERVAL).await;
                }
                return;
            }
            None => Timer::after(POLL_INTERVAL).await,
        };
    }
}

/// Ends a forwarder, gracefully or by SIGKILL, and restarts it later.
pub async fn restart(run: &Rc<LiveRun>, forwarder: usize, in_order: bool, back: Micros) {
    // Answers that fall due while it is down are excused until it is running again.
    run.audit.borrow_mut().excuse(forwarder, run.now(), Micros::MAX);
    if in_order {
        signal(run, forwarder, Signal::TERM);
        until_gone(run, forwarder, ProcessRole::Current).await;
    } else {
        signal(run, forwarder, Signal::KILL);
        while run.daemons.borrow_mut()[forwarder].exit_status(ProcessRole::Current).is_none() {
            Timer::after(POLL_INTERVAL).await;
        }
    }
    run.pools.borrow_mut()[forwarder].clear();
    run.audit.borrow_mut().died(run.now(), forwarder);
    Timer::after(Duration::from_micros(back)).await;
    if let Err(e) = start(run, forwarder) {
        return run.report_incident(e.to_string());
    }
    if let Err(why) = until_ready(run, forwarder, super::day::READY).await {
        return run.report_incident(why.to_string());
    }
    run.audit.borrow_mut().excused_until(forwarder, run.now() + AGAIN_DUE);
}

/// Pauses a forwarder's process for a while (SIGSTOP, SIGCONT); its answers are excused meanwhile.
pub async fn stall(run: &Rc<LiveRun>, forwarder: usize, lasts: Micros) {
    run.audit.borrow_mut().excuse(forwarder, run.now(), Micros::MAX);
    signal(run, forwarder, Signal::STOP);
    Timer::after(Duration::from_micros(lasts)).await;
    signal(run, forwarder, Signal::CONT);
    run.audit.borrow_mut().excused_until(forwarder, run.now() + AGAIN_DUE);
}

/// Upgrades a forwarder's process while it serves, as the platform does: a successor on the same folder, with an
/// operator address of its own, and SIGTERM to the predecessor once the successor accepts clients.
pub async fn upgrade(run: &Rc<LiveRun>, forwarder: usize) {
    let begun = run.now();
    run.rejected_in_upgrade.borrow_mut()[forwarder] = Some(0);
    let placed = {
        let d = &mut run.daemons.borrow_mut()[forwarder];
        d.predecessor = d.child.take();
        pick(d.ip).and_then(|operator| {
            d.addresses.operator = Some(operator);
            d.configure(run, forwarder).map(|()| operator)
        })
    };
    let operator = match placed.and_then(|operator| start(run, forwarder).map(|()| operator)) {
        Ok(operator) => operator,
        Err(e) => return run.report_incident(e.to_string()),
    };
    let taken = until_healthy(run, forwarder, (operator, "/admin/health"), MUST_TAKE).await;
    let ready = run.now() - begun;
    if let Err(why) = taken {
        run.report_incident(why.to_string());
    }
    signal_to(run, forwarder, ProcessRole::Predecessor, Signal::TERM);
    until_gone(run, forwarder, ProcessRole::Predecessor).await;
    let left = run.now() - begun - ready;
    Timer::after(UPGRADE_SETTLE_TIME).await;
    let rejected_during_upgrade = run.rejected_in_upgrade.borrow_mut()[forwarder].take().unwrap_or_default();
    run.audit.borrow_mut().replaced(run.now(), forwarder, rejected_during_upgrade);
    run.figures.borrow_mut().upgrades.push(Upgrade { ready, left, rejected_during_upgrade });
}

/// Ends a forwarder at the end of the day.
pub async fn end(run: &LiveRun, forwarder: usize) {
    signal(run, forwarder, Signal::TERM);
    until_gone(run, forwarder, ProcessRole::Current).await;
}
