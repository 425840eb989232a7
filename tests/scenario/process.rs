//! A process of the forwarder, and its log.

use super::sockets::soon;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// The forwarder, without the environment variables that it would read.
pub fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cedarbridge"));
    for name in ["NAME", "LISTEN", "DISCOVERY", "STATE", "CONFIG", "OPERATOR"] {
        command.env_remove(format!("ROUTER_{name}"));
    }
    command.env_remove("CEDARBRIDGE_SITE");
    command
}

/// Where Cargo puts the library of `crates/faultshim`: beside the tests.
pub fn fault_library() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let library = test.with_file_name("libcedarbridge_faultshim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// A process that runs, or none.
#[derive(Default)]
pub struct Process {
    child: Option<Child>,
    /// The address for admin requests.
    pub operator: Option<SocketAddr>,
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("it starts");
        let lines = BufReader::new(child.stderr.take().expect("a pipe")).lines();
        let log = Arc::<Mutex<Vec<String>>>::default();
        let process = Process { child: Some(child), operator: None, log: log.clone() };
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                eprintln!("  {line}");
                log.lock().expect("unpoisoned").push(line);
            }
        });
        process
    }

    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().expect("started")
    }

    pub fn signal(&mut self, name: &str) {
        let id = self.child().id();
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {id}")]).status();
        assert!(sent.expect("a shell").success());
    }

    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("started");
        child.kill().and_then(|()| child.wait()).expect("it ends");
    }

    /// Waits for the end of the process, and fails the test unless it exits with success.
    pub fn wait_for_success(&mut self) {
        let status = self.wait_for_end();
        assert!(status.success(), "{status}");
    }

    /// Waits for the end of the process.
    pub fn wait_for_end(&mut self) -> ExitStatus {
        // Kept until it has ended: a process that hangs is killed with the world.
        let child = self.child();
        let status = soon("the end of the program", || child.try_wait().expect("a child"));
        self.child = None;
        status
    }

    /// Waits for a line of the log that contains a text.
    pub fn wait_for_log_line(&self, text: &str) {
        let there = || self.log.lock().expect("unpoisoned").iter().any(|l| l.contains(text)).then_some(());
        soon(&format!("log line `{text}`"), there);
    }

    /// Waits for an address that a line of the log gives behind a key.
    pub fn logged_address(&self, line: &str, key: &str) -> SocketAddr {
        soon(line, || {
            let log = self.log.lock().expect("unpoisoned");
            let rest = log.iter().find(|l| l.contains(line))?.split_once(key)?.1;
            rest.split(',').next()?.trim().parse().ok()
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail if it has just ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
