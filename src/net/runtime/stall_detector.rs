//! Whether this process stood still of late: stopped, starved, or on a machine that slept. What came meanwhile lies unread
//! then, and binds all the same. It looks at nothing but the time that it is told, and reads nothing itself.

use crate::net::runtime::clock::Clock;
use crate::net::Context;
use crate::Micros;
use async_io::Timer;
use slog::warn;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// How often it beats; a stand-still shorter than the grace of a drain less this goes unseen and does no harm.
const BEAT: Micros = 100_000;
/// A beat that is later than this tells that the process stood still.
const LATE: Micros = 100_000;
/// After that, so long goes to reading what came before anything new is sent.
const READS: Micros = 30_000;
/// How often a call that waits for that looks again.
const LOOK: Duration = Duration::from_millis(5);

/// The beats of this process.
#[derive(Debug)]
pub struct StallDetector {
    /// The last beat.
    beat: Cell<Micros>,
    /// The last beat before it stood still, and until when it reads what came since.
    still: Cell<Option<(Micros, Micros)>>,
    /// For how long it stood still, not yet in the log.
    untold: Cell<Option<Micros>>,
}

impl StallDetector {
    /// A process that runs.
    pub fn new(now: Micros) -> Self {
        StallDetector { beat: Cell::new(now), still: Cell::new(None), untold: Cell::new(None) }
    }

    /// Sees whether the process has stood still, whoever asks first.
    fn look(&self, now: Micros) {
        let before = self.beat.get();
        let stood = now.saturating_sub(before);
        if stood <= BEAT + LATE {
            return;
        }
        self.beat.set(now);
        self.untold.set(Some(stood));
        // Still reading from the time before that: what came then may not have been read either.
        let since = self.still.get().filter(|s| before < s.1).map_or(before, |s| s.0);
        self.still.set(Some((since, now + READS)));
    }

    /// What is read now was there at the latest at this time.
    pub fn since(&self, now: Micros) -> Micros {
        self.look(now);
        self.still.get().filter(|s| now < s.1).map_or(now, |s| s.0)
    }

    /// A beat: all that came before it has been read.
    pub fn beat(&self, now: Micros) {
        self.look(now);
        self.beat.set(now);
    }

    /// What came while the process stood still has been read, or it did not stand still.
    pub fn caught_up(&self, now: Micros) -> bool {
        self.look(now);
        self.still.get().is_none_or(|s| now >= s.1)
    }

    /// Comes back once nothing that came while the process stood still binds unread. Guards against a call into a drain or
    /// a told wait that lies in a socket's buffer, as after SIGSTOP and SIGCONT.
    pub async fn until_caught_up(&self, clock: &Clock) {
        while !self.caught_up(clock.now()) {
            Timer::after(LOOK).await;
        }
    }
}

/// Beats, for as long as the process runs.
pub async fn run(context: Rc<Context>) {
    loop {
        Timer::after(Duration::from_micros(BEAT)).await;
        context.stall_detector.beat(context.clock.now());
        if let Some(stood) = context.stall_detector.untold.take() {
            warn!(context.log, "the process stood still"; "reason" => "stalled", "ms" => stood / 1000);
        }
    }
}
