//! A process of the forwarder and its log.

use super::sockets::poll_until;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The interval at which it is checked whether the log is to be read again.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns a command that starts the forwarder without the environment variables that it reads.
pub fn forwarder_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_cedarbridge"));
    for name in ["NAME", "LISTEN", "DISCOVERY", "STATE", "CONFIG", "OPERATOR"] {
        command.env_remove(format!("ROUTER_{name}"));
    }
    command.env_remove("CEDARBRIDGE_SITE");
    command
}

/// Returns the path of the library of `crates/faultshim`, which Cargo puts into the folder of the test executables.
pub fn fault_library_path() -> PathBuf {
    let test_executable = std::env::current_exe().expect("the path of the test");
    let library = test_executable.with_file_name("libcedarbridge_faultshim.so");
    assert!(library.exists(), "{} is not built", library.display());
    library
}

/// A process that uses all the time of a processor that it gets. It shares the processor with another process.
pub struct BusyProcess(Child);

impl BusyProcess {
    /// Moves a process to one processor and starts a busy one beside it.
    pub fn beside(process_id: u32) -> Self {
        let moved = Command::new("taskset").args(["-a", "-c", "-p", "0", &process_id.to_string()]).output();
        assert!(moved.expect("taskset runs").status.success());
        let busy = Command::new("taskset").args(["-c", "0", "sh", "-c", "while :; do :; done"]).spawn();
        BusyProcess(busy.expect("taskset runs"))
    }
}

impl Drop for BusyProcess {
    fn drop(&mut self) {
        // Both calls fail if the process has ended, as by a signal to the whole group.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A process of the forwarder that was started, or none.
#[derive(Default)]
pub struct Process {
    child: Option<Child>,
    /// Whether nobody reads the log any more.
    log_is_unread: Arc<AtomicBool>,
    /// The address of the admin listener; `None` if there is none or the process does not serve yet.
    pub admin_address: Option<SocketAddr>,
    /// The lines of standard error so far.
    log: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts a process and collects its log.
    pub fn spawn(mut command: Command) -> Self {
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the process starts");
        let lines = BufReader::new(child.stderr.take().expect("a pipe for standard error")).lines();
        let log = Arc::<Mutex<Vec<String>>>::default();
        let log_is_unread = Arc::<AtomicBool>::default();
        let process = Process {
            child: Some(child),
            log_is_unread: log_is_unread.clone(),
            admin_address: None,
            log: log.clone(),
        };
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                eprintln!("  {line}");
                log.lock().expect("unpoisoned").push(line);
                while log_is_unread.load(Ordering::SeqCst) {
                    thread::sleep(LOG_POLL_INTERVAL);
                }
            }
        });
        process
    }

    /// Reads no more of the log, whose pipe then fills, or reads on.
    pub fn set_log_unread(&self, is_unread: bool) {
        self.log_is_unread.store(is_unread, Ordering::SeqCst);
    }

    /// Whether a process was started and its exit was not awaited yet.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    fn child(&mut self) -> &mut Child {
        self.child.as_mut().expect("the process was started")
    }

    /// The id of the process.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("the process was started").id()
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&mut self, name: &str) {
        let process_id = self.child().id();
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {process_id}")]).status();
        assert!(sent.expect("a shell runs").success());
    }

    /// Kills the process and waits for its exit.
    pub fn kill(&mut self) {
        let mut child = self.child.take().expect("the process was started");
        child.kill().and_then(|()| child.wait()).expect("the process ends");
    }

    /// Waits for the exit of the process, which must be successful.
    pub fn wait_for_success(&mut self) {
        let status = self.wait_for_exit();
        assert!(status.success(), "{status}");
    }

    /// Waits for the exit of the process and returns its status.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        // `self.child` is cleared only after the exit, so that `drop` kills a process that hangs.
        let child = self.child();
        let status = poll_until("the exit of the process", || child.try_wait().expect("a child process"));
        self.child = None;
        status
    }

    /// Waits for a line of the log that contains the text.
    pub fn wait_for_log(&self, text: &str) {
        let find = || self.log.lock().expect("unpoisoned").iter().any(|l| l.contains(text)).then_some(());
        poll_until(&format!("log line `{text}`"), find);
    }

    /// Waits for a line of the log that contains the text `line`, and returns the address after the text `key` in it.
    pub fn wait_for_logged_address(&self, line: &str, key: &str) -> SocketAddr {
        poll_until(line, || {
            let log = self.log.lock().expect("unpoisoned");
            let rest = log.iter().find(|l| l.contains(line))?.split_once(key)?.1;
            rest.split(',').next()?.trim().parse().ok()
        })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.set_log_unread(false);
        if let Some(mut child) = self.child.take() {
            // Both calls fail if the process has just ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
