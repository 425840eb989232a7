//! The forwarder's process: its log, counters, memory and CPU time.

use crate::Failure;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// How long any wait for the forwarder may take.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The usual rate of the system's clock for CPU time.
const TICKS_PER_SECOND: f64 = 100.0;

/// A forwarder that runs; it is killed when this is dropped.
pub struct Forwarder {
    process: Child,
    /// Where it listens.
    pub address: SocketAddr,
    drained: Receiver<Value>,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // Both fail only for a process that has been waited for.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Ends a process that did not come to serve.
struct KillOnDrop(Option<Child>);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        if let Some(process) = &mut self.0 {
            // Both fail only for a process that has been waited for.
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Forwarder {
    /// Starts the program on the folder's configuration and waits until it serves.
    pub fn start(program: &Path, folder: &Path) -> Result<Self, Failure> {
        let mut command = Command::new(program);
        command.arg("run").arg(folder.join("config.json")).arg("--site").arg(folder.join("site.yaml"));
        for name in ["NAME", "LISTEN", "DISCOVERY", "STATE", "CONFIG"] {
            command.env_remove(format!("ROUTER_{name}"));
        }
        command.args(["--log-format", "json"]).stderr(Stdio::piped());
        let mut process = command.spawn().map_err(|error| format!("{}: {error}", program.display()))?;
        let log = process.stderr.take().ok_or("no log")?;
        let mut guard = KillOnDrop(Some(process));
        let (send_address, addresses) = mpsc::channel();
        let (send_drained, drained) = mpsc::channel();
        thread::spawn(move || read_log(log, &send_address, &send_drained));
        let address = addresses.recv_timeout(WAIT_LIMIT).map_err(|_| timed_out("the forwarder's address"))?;
        let process = guard.0.take().ok_or("the process is owned once")?;
        Ok(Forwarder { process, address, drained })
    }

    /// Its counters.
    pub fn counters(&self) -> Result<Value, Failure> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.write_all(b"GET /_counters HTTP/1.1\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(serde_json::from_str(answer.split("\r\n\r\n").nth(1).ok_or("no body")?)?)
    }

    /// Waits until it holds so many entries of the registry.
    pub fn wait_for_entries(&self, count: u64) -> Result<(), Failure> {
        let has_all = |counters: &Value| counters["registry"]["entries"].as_u64() == Some(count);
        poll("the registry's entries", || self.counters().ok().filter(has_all)).map(|_| ())
    }

    /// Waits until no message is open; the counters then.
    pub fn wait_until_idle(&self) -> Result<Value, Failure> {
        let is_idle = |counters: &Value| counters["open"].as_u64() == Some(0);
        poll("the end of all messages", || self.counters().ok().filter(is_idle))
    }

    /// Ends it by SIGTERM; the log lines of the endpoints that left.
    pub fn terminate(&mut self) -> Result<Vec<Value>, Failure> {
        let signal = Command::new("kill").arg(self.process.id().to_string()).status()?;
        if !signal.success() {
            return Err("the forwarder could not be signalled".into());
        }
        let status = poll("the forwarder's end", || self.process.try_wait().ok().flatten())?;
        if !status.success() {
            return Err("the forwarder did not end in order".into());
        }
        // The log's thread ends with the process, and with it the channel.
        Ok(self.drained.iter().collect())
    }

    /// Its memory now and at its peak.
    pub fn memory(&self) -> Result<String, Failure> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let field = |key: &str| text.lines().find_map(|line| line.strip_prefix(key)).map_or("?", str::trim);
        Ok(format!("{} now, {} at its peak", field("VmRSS:"), field("VmHWM:")))
    }

    /// The CPU time that it has used.
    pub fn cpu_seconds(&self) -> Result<f64, Failure> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))?;
        let fields: Vec<&str> = text.rsplit(") ").next().ok_or("no fields")?.split(' ').collect();
        let ticks = |at: usize| fields.get(at).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
    }
}

/// Passes on where the forwarder listens and the lines of endpoints that left.
fn read_log(log: impl Read, address: &Sender<SocketAddr>, drained: &Sender<Value>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let Ok(entry) = serde_json::from_str::<Value>(&line) else { continue };
        match entry["msg"].as_str() {
            Some("serving") => {
                let listen = entry["listen"].as_str().and_then(|listen| listen.parse().ok());
                // The receiver is gone once the first address has come.
                let _ = listen.map(|listen| address.send(listen));
            }
            Some("endpoint left") => {
                // The receiver is gone only if the show has failed.
                let _ = drained.send(entry);
            }
            _ => {}
        }
    }
}

fn poll<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> Result<T, Failure> {
    let until = Instant::now() + WAIT_LIMIT;
    while Instant::now() < until {
        if let Some(found) = look() {
            return Ok(found);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(timed_out(what).into())
}

fn timed_out(what: &str) -> String {
    format!("never came: {what}")
}
