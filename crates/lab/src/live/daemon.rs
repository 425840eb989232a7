//! Forwarders as processes: their files, their starts and ends. None outlives the kit: each is started by the kit's
//! keeper, which asks the system to end it with its parent.

use super::{Failure, Stage, MUST_LEAVE};
use crate::words::config;
use async_io::{Async, Timer};
use cedarbridge::net::http::Wire;
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
const LOOK: Duration = Duration::from_millis(5);

/// A forwarder: ended when this is dropped.
pub struct Daemon {
    folder: PathBuf,
    listen: SocketAddr,
    child: Option<Child>,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

fn system(what: &str) -> impl Fn(std::io::Error) -> Failure + '_ {
    move |e| Failure::System(what.into(), e)
}

impl Daemon {
    /// Writes its files. It gets an address of its own, so that nobody else takes the port while it is away.
    pub fn prepare(stage: &Stage, forwarder: usize, agent: SocketAddr) -> Result<Daemon, Failure> {
        let folder = stage.options.folder.join(format!("forwarder-{}", forwarder + 1));
        let state = folder.join("state");
        std::fs::create_dir_all(&state).map_err(system("cannot make a forwarder's folder"))?;
        let ip = [127, 88, 1 + (forwarder / 250) as u8, 1 + (forwarder % 250) as u8];
        let picked = TcpListener::bind(SocketAddr::from((ip, 0)));
        let listen = picked.and_then(|l| l.local_addr()).map_err(system("no address for a forwarder"))?;
        let text = config(&stage.world, forwarder, listen, agent, &state).to_string();
        std::fs::write(folder.join("config.json"), text).map_err(system("cannot write a configuration"))?;
        Ok(Daemon { folder, listen, child: None })
    }

    /// Where it listens.
    pub fn listen(&self) -> Option<SocketAddr> {
        self.child.as_ref().map(|_| self.listen)
    }

    /// Where it listens when it is there.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    fn pid(&self) -> Option<Pid> {
        self.child.as_ref().and_then(|c| Pid::from_raw(c.id() as i32))
    }

    /// How it ended, once it has.
    fn gone(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }
}

/// Starts a forwarder.
pub fn start(stage: &Stage, forwarder: usize) -> Result<(), Failure> {
    let d = &mut stage.daemons.borrow_mut()[forwarder];
    let log = std::fs::OpenOptions::new().create(true).append(true).open(d.folder.join("log"));
    let log = log.map_err(system("cannot open a log"))?;
    let mut command = Command::new(&stage.options.keeper);
    command.arg("under").arg(std::process::id().to_string()).args(&stage.options.daemon);
    command.arg("run").arg(d.folder.join("config.json")).args([
        "--log-format",
        "json",
        "--log-level",
        &stage.options.log_level,
    ]);
    if let Some(site) = &stage.options.site {
        command.arg("--site").arg(site);
    }
    for name in [
        "ROUTER_NAME",
        "ROUTER_LISTEN",
        "ROUTER_DISCOVERY",
        "ROUTER_STATE",
        "ROUTER_CONFIG",
        "CEDARBRIDGE_SITE",
    ] {
        command.env_remove(name);
    }
    command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
    d.child = Some(command.spawn().map_err(system("cannot start a forwarder"))?);
    Ok(())
}

async fn healthy(address: SocketAddr) -> bool {
    let asked = async {
        let mut wire = Wire::new(Async::<TcpStream>::connect(address).await.ok()?);
        wire.write(b"GET /_health HTTP/1.1\r\nHost: kit\r\nConnection: close\r\n\r\n").await.ok()?;
        Some(wire.read_answer().await.ok()?.status == 200)
    };
    let late = async {
        Timer::after(Duration::from_millis(500)).await;
        None
    };
    futures_lite::future::or(asked, late).await.unwrap_or(false)
}

/// Waits until a forwarder has answered that it is ready.
pub async fn until_ready(stage: &Stage, forwarder: usize, within: Duration) -> Result<(), String> {
    let address = stage.daemons.borrow()[forwarder].listen;
    let until = Instant::now() + within;
    while Instant::now() < until {
        if healthy(address).await {
            return Ok(());
        }
        let gone = stage.daemons.borrow_mut()[forwarder].gone();
        if let Some(status) = gone {
            let log = stage.daemons.borrow()[forwarder].folder.join("log");
            return Err(format!(
                "forwarder {} ended as it started ({status}); see {}",
                forwarder + 1,
                log.display()
            ));
        }
        Timer::after(LOOK).await;
    }
    Err(format!("forwarder {} was not ready in {} s", forwarder + 1, within.as_secs()))
}

/// Sends a signal to a forwarder.
pub fn signal(stage: &Stage, forwarder: usize, signal: Signal) {
    if let Some(pid) = stage.daemons.borrow()[forwarder].pid() {
        // It may just have ended, which is seen elsewhere.
        let _ = kill_process(pid, signal);
    }
}

/// Waits for a forwarder's end; after its time it is killed, which is a mishap.
async fn until_gone(stage: &Stage, forwarder: usize) {
    let until = Instant::now() + MUST_LEAVE;
    loop {
        let gone = stage.daemons.borrow_mut()[forwarder].gone();
        match gone {
            Some(status) if !status.success() => {
                return stage.mishap(format!("forwarder {} ended with {status}", forwarder + 1));
            }
            Some(_) => return,
            None if Instant::now() > until => {
                stage.mishap(format!("forwarder {} was there 3.7 s after SIGTERM", forwarder + 1));
                signal(stage, forwarder, Signal::KILL);
                while stage.daemons.borrow_mut()[forwarder].gone().is_none() {
                    Timer::after(LOOK).await;
                }
                return;
            }
            None => Timer::after(LOOK).await,
        };
    }
}

/// Ends a forwarder, in order or at once, and starts it again a while later.
pub async fn restart(stage: &Rc<Stage>, forwarder: usize, in_order: bool, back: Micros) {
    // What falls due while it is away is excused until it is back, whenever that is.
    stage.audit.borrow_mut().excuse(forwarder, stage.now(), Micros::MAX);
    if in_order {
        signal(stage, forwarder, Signal::TERM);
        until_gone(stage, forwarder).await;
    } else {
        signal(stage, forwarder, Signal::KILL);
        while stage.daemons.borrow_mut()[forwarder].gone().is_none() {
            Timer::after(LOOK).await;
        }
    }
    stage.pools.borrow_mut()[forwarder].clear();
    stage.audit.borrow_mut().died(stage.now(), forwarder);
    Timer::after(Duration::from_micros(back)).await;
    if let Err(e) = start(stage, forwarder) {
        return stage.mishap(e.to_string());
    }
    if let Err(why) = until_ready(stage, forwarder, super::READY).await {
        return stage.mishap(why);
    }
    stage.audit.borrow_mut().excused_until(forwarder, stage.now() + AGAIN_DUE);
}

/// Ends a forwarder for good.
pub async fn end(stage: &Stage, forwarder: usize) {
    signal(stage, forwarder, Signal::TERM);
    until_gone(stage, forwarder).await;
}
