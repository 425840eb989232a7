//! The signals that tell the program to end or to read its configuration again. Each sets a mark that cannot be lost; what comes
//! through the pipe only wakes the reader, so it may be short, interrupted or missing.

use async_io::{Async, Timer};
use futures_lite::future;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::{flag, low_level};
use std::io::{self, PipeReader, Read};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A mark whose wake-up went missing is seen after this.
const LOOK: Duration = Duration::from_millis(100);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// To end in order (SIGTERM, SIGINT).
    End,
    /// To read the configuration again (SIGHUP); several that come together ask for one reading.
    Reload,
}

/// The signals of this process.
pub struct Signals {
    end: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
    wakes: Async<PipeReader>,
}

impl Signals {
    /// From now on the signals are marked.
    pub fn new() -> io::Result<Self> {
        let (wakes, wake) = io::pipe()?;
        let marks = [AtomicBool::new(false), AtomicBool::new(false)].map(Arc::new);
        let [end, reload] = marks;
        for (signal, mark) in [(SIGTERM, &end), (SIGINT, &end), (SIGHUP, &reload)] {
            // The mark first: who is woken must find it.
            flag::register(signal, mark.clone())?;
            low_level::pipe::register(signal, wake.try_clone()?)?;
        }
        Ok(Signals { end, reload, wakes: Async::new(wakes)? })
    }

    /// The next signal. An end goes before all else.
    pub async fn next(&self) -> Signal {
        loop {
            if self.end.swap(false, Ordering::AcqRel) {
                return Signal::End;
            }
            if self.reload.swap(false, Ordering::AcqRel) {
                return Signal::Reload;
            }
            let woken = async {
                let _ = self.wakes.readable().await;
            };
            let late = async {
                Timer::after(LOOK).await;
            };
            future::or(woken, late).await;
            // It says nothing but that there is something to look at; an error takes nothing away.
            let _ = future::poll_once(self.wakes.read_with(|mut pipe| pipe.read(&mut [0; 64]))).await;
        }
    }
}
