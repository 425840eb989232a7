//! The forwarders' processes: their files, starts, restarts, upgrades and ends.
//!
//! The hidden command `under` starts each process, and asks the system to kill it when its parent ends. So no process
//! outlives the rehearsal.

use super::{LiveError, LiveRun, SHUTDOWN_LIMIT};
use crate::figures::Upgrade;
use crate::forwarder_config::{configuration_json, ForwarderAddresses};
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

/// A forwarder's late answers are excused for this time after it is ready again.
const RECOVERY_GRACE: Micros = 1_500_000;
/// The time between two checks of a process or an address.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A successor must accept clients this time after its start.
const SUCCESSOR_READY_LIMIT: Duration = Duration::from_secs(6);
/// Rejected requests are counted as part of an upgrade until this time after the predecessor's end.
const UPGRADE_SETTLE_TIME: Duration = Duration::from_millis(300);

/// A process that is killed when this is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only for a process that has been waited for.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A forwarder with its process, and its predecessor's process during an upgrade.
pub struct LiveForwarder {
    folder: PathBuf,
    /// Its own loopback address, so that no other program takes its ports while the forwarder is down.
    ip: [u8; 4],
    addresses: ForwarderAddresses,
    current: Option<Process>,
    predecessor: Option<Process>,
}

/// The role of a forwarder's process in an upgrade.
#[derive(Clone, Copy)]
enum ProcessRole {
    Current,
    Predecessor,
}

/// Why a forwarder did not become ready.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The process ended during its start.
    #[error("forwarder {number} ended during its start ({status}); see {}", log.display())]
    EndedAtStart {
        /// The forwarder's number, from 1.
        number: usize,
        /// The exit status of the process.
        status: ExitStatus,
        /// The path of the forwarder's log.
        log: PathBuf,
    },
    /// The forwarder did not answer in time that it is ready.
    #[error("forwarder {number} was not ready within {} s", limit.as_secs())]
    NotReady {
        /// The forwarder's number, from 1.
        number: usize,
        /// The time within which it had to be ready.
        limit: Duration,
    },
}

/// Wraps an error of a system call with its purpose.
fn system_error(purpose: &str) -> impl Fn(std::io::Error) -> LiveError + '_ {
    move |e| LiveError::System(purpose.into(), e)
}

impl LiveForwarder {
    /// Creates the folder of a forwarder, picks its addresses and writes its configuration.
    pub fn prepare(run: &LiveRun, forwarder: usize, agent: SocketAddr) -> Result<LiveForwarder, LiveError> {
        let folder = run.options.folder.join(format!("forwarder-{}", forwarder + 1));
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(system_error("cannot create a forwarder's folder"))?;
        let ip = [127, 88, 1 + (forwarder / 250) as u8, 1 + (forwarder % 250) as u8];
        let listen = pick_address(ip)?;
        // Only a run with upgrades needs an operator address.
        let has_upgrades = run.environment.stops.iter().any(|s| s.signal == scenario::Signal::Upgrade);
        let operator = has_upgrades.then(|| pick_address(ip)).transpose()?;
        let live_forwarder = LiveForwarder {
            folder,
            ip,
            addresses: ForwarderAddresses { listen, operator, agent },
            current: None,
            predecessor: None,
        };
        live_forwarder.configure(run, forwarder)?;
        Ok(live_forwarder)
    }

    /// Writes the configuration file with the current addresses.
    fn configure(&self, run: &LiveRun, forwarder: usize) -> Result<(), LiveError> {
        let text =
            configuration_json(&run.environment, forwarder, self.addresses, &self.folder.join("state"))
                .to_string();
        std::fs::write(self.folder.join("config.json"), text)
            .map_err(system_error("cannot write a forwarder's configuration"))
    }

    /// The client address; `None` while no process runs.
    pub fn running_address(&self) -> Option<SocketAddr> {
        self.current.as_ref().map(|_| self.addresses.listen)
    }

    /// The address on which clients connect, whether or not a process runs.
    pub fn address(&self) -> SocketAddr {
        self.addresses.listen
    }

    fn process(&mut self, role: ProcessRole) -> &mut Option<Process> {
        match role {
            ProcessRole::Current => &mut self.current,
            ProcessRole::Predecessor => &mut self.predecessor,
        }
    }

    fn pid(&mut self, role: ProcessRole) -> Option<Pid> {
        self.process(role).as_ref().and_then(|c| Pid::from_raw(c.0.id() as i32))
    }

    /// The exit status of a process; `None` while it runs, and once the status has been read.
    fn exit_status(&mut self, role: ProcessRole) -> Option<ExitStatus> {
        let process = self.process(role);
        let status = process.as_mut()?.0.try_wait().ok()??;
        *process = None;
        Some(status)
    }
}

/// Picks a free port on a loopback address.
fn pick_address(ip: [u8; 4]) -> Result<SocketAddr, LiveError> {
    let picked = TcpListener::bind(SocketAddr::from((ip, 0)));
    picked.and_then(|l| l.local_addr()).map_err(system_error("cannot bind an address for a forwarder"))
}

/// Starts a forwarder's process.
///
/// # Errors
/// The log cannot be opened, or the process cannot be started.
pub fn start(run: &LiveRun, forwarder: usize) -> Result<(), LiveError> {
    let live_forwarder = &mut run.forwarders.borrow_mut()[forwarder];
    let log = std::fs::OpenOptions::new().create(true).append(true).open(live_forwarder.folder.join("log"));
    let log = log.map_err(system_error("cannot open a forwarder's log"))?;
    let mut command = Command::new(&run.options.launcher);
    command.arg("under").arg(std::process::id().to_string()).args(&run.options.forwarder_command);
    command.arg("run").arg(live_forwarder.folder.join("config.json")).args([
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
    live_forwarder.current =
        Some(Process(command.spawn().map_err(system_error("cannot start a forwarder"))?));
    Ok(())
}

/// Whether a GET of the path returns 200 within 500 ms.
async fn is_healthy(address: SocketAddr, path: &str) -> bool {
    let response = async {
        let mut connection = HttpConnection::new(Async::<TcpStream>::connect(address).await.ok()?);
        let request = format!("GET {path} HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n");
        connection.write(request.as_bytes()).await.ok()?;
        Some(connection.read_response().await.ok()?.status == 200)
    };
    let timeout = async {
        Timer::after(Duration::from_millis(500)).await;
        None
    };
    futures_lite::future::or(response, timeout).await.unwrap_or(false)
}

/// Waits until a forwarder answers that it is ready.
///
/// # Errors
/// The process ends, or the forwarder is not ready within the limit.
pub async fn until_ready(run: &LiveRun, forwarder: usize, limit: Duration) -> Result<(), StartError> {
    let address = run.forwarders.borrow()[forwarder].addresses.listen;
    until_healthy(run, forwarder, (address, "/_health"), limit).await
}

async fn until_healthy(
    run: &LiveRun,
    forwarder: usize,
    target: (SocketAddr, &str),
    limit: Duration,
) -> Result<(), StartError> {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if is_healthy(target.0, target.1).await {
            return Ok(());
        }
        let exit_status = run.forwarders.borrow_mut()[forwarder].exit_status(ProcessRole::Current);
        if let Some(status) = exit_status {
            let log = run.forwarders.borrow()[forwarder].folder.join("log");
            return Err(StartError::EndedAtStart { number: forwarder + 1, status, log });
        }
        Timer::after(POLL_INTERVAL).await;
    }
    Err(StartError::NotReady { number: forwarder + 1, limit })
}

/// Sends a signal to a forwarder's current process.
pub fn signal(run: &LiveRun, forwarder: usize, signal: Signal) {
    signal_to(run, forwarder, ProcessRole::Current, signal);
}

fn signal_to(run: &LiveRun, forwarder: usize, role: ProcessRole, signal: Signal) {
    if let Some(pid) = run.forwarders.borrow_mut()[forwarder].pid(role) {
        // The process may just have exited; its exit status is read elsewhere.
        let _ = kill_process(pid, signal);
    }
}

/// Waits until a process has exited. After [`SHUTDOWN_LIMIT`] it is killed, which is reported as an incident.
async fn wait_for_exit(run: &LiveRun, forwarder: usize, role: ProcessRole) {
    let until = Instant::now() + SHUTDOWN_LIMIT;
    loop {
        let exit_status = run.forwarders.borrow_mut()[forwarder].exit_status(role);
        match exit_status {
            Some(status) if !status.success() => {
                return run.report_incident(format!("forwarder {} ended with {status}", forwarder + 1));
            }
            Some(_) => return,
            None if Instant::now() > until => {
                run.report_incident(format!("forwarder {} still ran 3.7 s after SIGTERM", forwarder + 1));
                signal_to(run, forwarder, role, Signal::KILL);
                while run.forwarders.borrow_mut()[forwarder].exit_status(role).is_none() {
                    Timer::after(POLL_INTERVAL).await;
                }
                return;
            }
            None => Timer::after(POLL_INTERVAL).await,
        };
    }
}

/// Ends a forwarder's process, gracefully or by SIGKILL, and restarts it after a delay.
pub async fn restart(run: &Rc<LiveRun>, forwarder: usize, graceful: bool, restart_delay: Micros) {
    // Answers that are due while the forwarder is down are excused until it is ready again.
    run.audit.borrow_mut().excuse_late_answers(forwarder, run.now(), Micros::MAX);
    if graceful {
        signal(run, forwarder, Signal::TERM);
        wait_for_exit(run, forwarder, ProcessRole::Current).await;
    } else {
        signal(run, forwarder, Signal::KILL);
        while run.forwarders.borrow_mut()[forwarder].exit_status(ProcessRole::Current).is_none() {
            Timer::after(POLL_INTERVAL).await;
        }
    }
    run.idle_connections.borrow_mut()[forwarder].clear();
    run.audit.borrow_mut().forwarder_stopped(run.now(), forwarder);
    Timer::after(Duration::from_micros(restart_delay)).await;
    if let Err(e) = start(run, forwarder) {
        return run.report_incident(e.to_string());
    }
    if let Err(error) = until_ready(run, forwarder, super::schedule::READY_LIMIT).await {
        return run.report_incident(error.to_string());
    }
    run.audit.borrow_mut().end_excused_span(forwarder, run.now() + RECOVERY_GRACE);
}

/// Pauses a forwarder's process (SIGSTOP, SIGCONT). Late answers are excused meanwhile.
pub async fn stall(run: &Rc<LiveRun>, forwarder: usize, duration: Micros) {
    run.audit.borrow_mut().excuse_late_answers(forwarder, run.now(), Micros::MAX);
    signal(run, forwarder, Signal::STOP);
    Timer::after(Duration::from_micros(duration)).await;
    signal(run, forwarder, Signal::CONT);
    run.audit.borrow_mut().end_excused_span(forwarder, run.now() + RECOVERY_GRACE);
}

/// Upgrades a forwarder's process while it serves, as the platform does: starts a successor on the same folder with its
/// own operator address, and sends SIGTERM to the predecessor once the successor accepts clients.
pub async fn upgrade(run: &Rc<LiveRun>, forwarder: usize) {
    let started = run.now();
    run.rejected_in_upgrade.borrow_mut()[forwarder] = Some(0);
    let configured = {
        let live_forwarder = &mut run.forwarders.borrow_mut()[forwarder];
        live_forwarder.predecessor = live_forwarder.current.take();
        pick_address(live_forwarder.ip).and_then(|operator| {
            live_forwarder.addresses.operator = Some(operator);
            live_forwarder.configure(run, forwarder).map(|()| operator)
        })
    };
    let operator = match configured.and_then(|operator| start(run, forwarder).map(|()| operator)) {
        Ok(operator) => operator,
        Err(e) => return run.report_incident(e.to_string()),
    };
    let accepted = until_healthy(run, forwarder, (operator, "/admin/health"), SUCCESSOR_READY_LIMIT).await;
    let ready_time = run.now() - started;
    if let Err(error) = accepted {
        run.report_incident(error.to_string());
    }
    signal_to(run, forwarder, ProcessRole::Predecessor, Signal::TERM);
    wait_for_exit(run, forwarder, ProcessRole::Predecessor).await;
    let exit_time = run.now() - started - ready_time;
    Timer::after(UPGRADE_SETTLE_TIME).await;
    let rejected_during_upgrade = run.rejected_in_upgrade.borrow_mut()[forwarder].take().unwrap_or_default();
    run.audit.borrow_mut().forwarder_upgraded(run.now(), forwarder, rejected_during_upgrade);
    run.figures.borrow_mut().upgrades.push(Upgrade { ready_time, exit_time, rejected_during_upgrade });
}

/// Ends a forwarder gracefully at the end of the run.
pub async fn end(run: &LiveRun, forwarder: usize) {
    signal(run, forwarder, Signal::TERM);
    wait_for_exit(run, forwarder, ProcessRole::Current).await;
}
