//! The signals that end the process or reload its configuration. Each sets a flag that cannot be lost; a byte through the pipe
//! only wakes the reader, so it may be short, interrupted or missing.

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A flag whose wake-up was lost is seen after this.
const FLAG_POLL: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Shut down (SIGTERM, SIGINT).
    Terminate,
    /// Reload the configuration (SIGHUP); several that come together ask for one reload.
    Reload,
}

/// The signals of this process.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wake_ups: Async<PipeReader>,
}

impl Signals {
    /// Starts to receive the signals.
    ///
    /// # Errors
    ///
    /// The pipe or a signal's handler cannot be had.
    pub fn new() -> io::Result<Self> {
        let (wake_ups, wake) = io::pipe()?;
        let (terminate, reload) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        for (signal, flag) in [(SIGTERM, &terminate), (SIGINT, &terminate), (SIGHUP, &reload)] {
            // The flag first: who is woken must find it.
            flag::register(signal, flag.clone())?;
            low_level::pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(Signals { terminate, reload, wake_ups: Async::new(wake_ups)? })
    }

    /// The next signal; a termination goes before a reload.
    pub async fn next(&self) -> Signal {
        loop {
            if self.terminate.swap(false, Ordering::AcqRel) {
                return Signal::Terminate;
            }
            if self.reload.swap(false, Ordering::AcqRel) {
                return Signal::Reload;
            }
            let woken = async {
                // An error of the pipe only wakes too early.
                let _ = self.wake_ups.readable().await;
            };
            let polled = async {
                Timer::after(FLAG_POLL).await;
            };
            future::or(woken, polled).await;
            // The byte carries nothing, and the flags are looked at next: an error changes nothing.
            let _ = future::poll_once(self.wake_ups.read_with(|mut pipe| pipe.read(&mut [0; 64]))).await;
        }
    }
}
