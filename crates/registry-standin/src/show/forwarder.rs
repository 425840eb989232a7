//! The forwarder's process, with its log, counters, memory and CPU time.

use crate::BoxedError;
use serde_json::Value;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};

/// The limit of each wait for the forwarder.
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The rate of the clock in `/proc` for CPU time, as on most systems.
const TICKS_PER_SECOND: f64 = 100.0;

/// A running forwarder. It is killed when this is dropped.
pub struct Forwarder {
    process: Child,
    /// The address on which clients connect to it.
    pub address: SocketAddr,
    /// The log records of endpoints that left the list.
    drain_records: Receiver<Value>,
}

impl Drop for Forwarder {
    fn drop(&mut self) {
        // Both fail only for a process that has been waited for.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// Kills a process that did not start to serve.
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
    /// Starts the program with the folder's configuration and waits until it serves.
    pub fn start(program: &Path, folder: &Path) -> Result<Self, BoxedError> {
        let mut command = Command::new(program);
        command.arg("run").arg(folder.join("config.json")).arg("--site").arg(folder.join("site.yaml"));
        for name in ["NAME", "LISTEN", "DISCOVERY", "STATE", "CONFIG"] {
            command.env_remove(format!("ROUTER_{name}"));
        }
        command.args(["--log-format", "json"]).stderr(Stdio::piped());
        let mut process = command.spawn().map_err(|error| format!("{}: {error}", program.display()))?;
        let log = process.stderr.take().ok_or("the forwarder's standard error is not piped")?;
        let mut guard = KillOnDrop(Some(process));
        let (address_sender, addresses) = mpsc::channel();
        let (drain_sender, drain_records) = mpsc::channel();
        thread::spawn(move || read_log(log, &address_sender, &drain_sender));
        let address = addresses.recv_timeout(WAIT_LIMIT).map_err(|_| timed_out("the forwarder's address"))?;
        let process = guard.0.take().ok_or("the process was taken already")?;
        Ok(Forwarder { process, address, drain_records })
    }

    /// The forwarder's counters.
    pub fn counters(&self) -> Result<Value, BoxedError> {
        let mut stream = TcpStream::connect(self.address)?;
        stream.write_all(b"GET /_counters HTTP/1.1\r\nConnection: close\r\n\r\n")?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(serde_json::from_str(answer.split("\r\n\r\n").nth(1).ok_or("the response has no body")?)?)
    }

    /// Waits until the forwarder has this number of entries of the registry.
    pub fn wait_for_entries(&self, count: u64) -> Result<(), BoxedError> {
        let has_all = |counters: &Value| counters["registry"]["entries"].as_u64() == Some(count);
        poll("the registry's entries", || self.counters().ok().filter(has_all)).map(|_| ())
    }

    /// Waits until no message is open, and returns the counters.
    pub fn wait_until_idle(&self) -> Result<Value, BoxedError> {
        let is_idle = |counters: &Value| counters["open"].as_u64() == Some(0);
        poll("the end of all messages", || self.counters().ok().filter(is_idle))
    }

    /// Ends the forwarder by SIGTERM, and returns the log records of the endpoints that left.
    pub fn terminate(&mut self) -> Result<Vec<Value>, BoxedError> {
        let signal = Command::new("kill").arg(self.process.id().to_string()).status()?;
        if !signal.success() {
            return Err("cannot send SIGTERM to the forwarder".into());
        }
        let status = poll("the forwarder's end", || self.process.try_wait().ok().flatten())?;
        if !status.success() {
            return Err("the forwarder exited with an error".into());
        }
        // The thread that reads the log ends with the process, which closes the channel.
        Ok(self.drain_records.iter().collect())
    }

    /// The process's resident memory, now and at its peak, as text.
    pub fn memory(&self) -> Result<String, BoxedError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.process.id()))?;
        let field = |key: &str| text.lines().find_map(|line| line.strip_prefix(key)).map_or("?", str::trim);
        Ok(format!("{} now, {} at its peak", field("VmRSS:"), field("VmHWM:")))
    }

    /// The CPU time that the process has used, in seconds.
    pub fn cpu_seconds(&self) -> Result<f64, BoxedError> {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.process.id()))?;
        let fields: Vec<&str> =
            text.rsplit(") ").next().ok_or("`/proc` has no fields of the process")?.split(' ').collect();
        let ticks =
            |index: usize| fields.get(index).and_then(|field| field.parse::<f64>().ok()).unwrap_or(0.0);
        Ok((ticks(11) + ticks(12)) / TICKS_PER_SECOND)
    }
}

/// Reads the forwarder's log, and sends its client address and the records of endpoints that left.
fn read_log(log: impl Read, address_sender: &Sender<SocketAddr>, drain_sender: &Sender<Value>) {
    for line in BufReader::new(log).lines().map_while(Result::ok) {
        let Ok(entry) = serde_json::from_str::<Value>(&line) else { continue };
        match entry["msg"].as_str() {
            Some("serving") => {
                let listen = entry["listen"].as_str().and_then(|listen| listen.parse().ok());
                // There is no receiver after the first address.
                let _ = listen.map(|listen| address_sender.send(listen));
            }
            Some("endpoint left") => {
                // There is no receiver only if the demonstration has failed.
                let _ = drain_sender.send(entry);
            }
            _ => {}
        }
    }
}

/// Calls a check until it returns a value, up to [`WAIT_LIMIT`].
fn poll<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> Result<T, BoxedError> {
    let until = Instant::now() + WAIT_LIMIT;
    while Instant::now() < until {
        if let Some(found) = check() {
            return Ok(found);
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(timed_out(what).into())
}

fn timed_out(what: &str) -> String {
    format!("timed out waiting for {what}")
}
