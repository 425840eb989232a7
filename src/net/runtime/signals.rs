//! The signals that terminate the process or reload its configuration. A signal's handler sets a flag, which cannot be lost,
//! and writes a byte to a pipe, which only wakes the reader. So no signal is missed if that byte is delayed or lost, or
//! reading it fails.

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The interval at which the flags are checked, in case a wake-up was lost.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// What a signal asks the process to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut down (SIGTERM, SIGINT).
    Terminate,
    /// Reload the configuration (SIGHUP). Several SIGHUPs that arrive before the first is handled cause one reload.
    Reload,
}

/// Receives the signals of this process.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_reader: Async<PipeReader>,
}

impl Signals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Returns an error if the pipe cannot be created or a signal handler cannot be installed.
    pub fn new() -> io::Result<Self> {
        let (wake_reader, wake_writer) = io::pipe()?;
        let (terminate, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, flag) in [(SIGTERM, &terminate), (SIGINT, &terminate), (SIGHUP, &reload)] {
            // Handlers run in the order of their registration: the flag must be set before the byte wakes the reader.
            flag::register(signal, flag.clone())?;
            low_level::pipe::register(signal, wake_writer.try_clone()?)?;
        }
        Ok(Signals { terminate, reload, wake_reader: Async::new(wake_reader)? })
    }

    /// Waits for the next signal. If both kinds are pending, termination comes first.
    pub async fn next(&self) -> Signal {
        loop {
            if self.terminate.swap(false, Ordering::AcqRel) {
                return Signal::Terminate;
            }
            if self.reload.swap(false, Ordering::AcqRel) {
                return Signal::Reload;
            }
            let wake_up = async {
                // An error of the pipe only causes an early wake-up, and the flags are checked again.
                let _ = self.wake_reader.readable().await;
            };
            let polled = async {
                Timer::after(FLAG_POLL_INTERVAL).await;
            };
            future::or(wake_up, polled).await;
            // Empties the pipe. The bytes carry no information and the flags are checked next, so an error has no effect.
            let _ = future::poll_once(self.wake_reader.read_with(|mut pipe| pipe.read(&mut [0; 64]))).await;
        }
    }
}
