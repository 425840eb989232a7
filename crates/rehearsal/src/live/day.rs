//! A live day from the start of its processes to their end: what is planned happens at its time.

use super::sampling::{sample, watch_own_lateness};
use super::{agent, clients, daemon, endpoint, LiveError, LiveRun, ViewCommand, ViewUpdate};
use crate::scenario::Signal;
use crate::world::ListChange;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use cedarbridge::Micros;
use daemon::Daemon;
use futures_lite::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long forwarders may take to get ready.
pub(super) const READY: Duration = Duration::from_secs(10);
/// Between that and the day's begin.
const START_DELAY: Duration = Duration::from_millis(300);
/// After the day's last message all must have ended within its time and this.
const COMPLETION_LIMIT: Micros = 30_000_000;

/// Plays the day.
pub(super) async fn day(
    run: &Rc<LiveRun>,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> Result<(), LiveError> {
    start_all(run).await?;
    Timer::after(START_DELAY).await;
    run.begun.set(Some(Instant::now()));
    run.spawn(watch_own_lateness(run.clone()));
    spawn_faults(run);
    spawn_list_changes(run);
    let stops = run.world.stops.len();
    let (stopped, all_stopped) = async_channel::bounded(stops.max(1));
    spawn_stops(run, &stopped);
    let (updates, commands) = match view {
        Some((updates, commands)) => (Some(updates), Some(commands)),
        None => (None, None),
    };
    run.spawn(sample(run.clone(), updates));
    let day_done = async {
        clients::run(run).await;
        for _ in 0..stops {
            // The channel lives as long as the day: its sender is above.
            let _ = all_stopped.recv().await;
        }
        while (run.open.get() > 0 || run.clients_waiting.get() > 0)
            && run.now() < run.world.end + COMPLETION_LIMIT
        {
            Timer::after(Duration::from_millis(50)).await;
        }
        Ok(())
    };
    future::or(day_done, follow_commands(run, commands.as_ref())).await?;
    // In order, as an operator would end them.
    let ends = (0..run.world.fleet.len()).map(|f| daemon::end(run, f));
    for end in ends.collect::<Vec<_>>() {
        end.await;
    }
    Ok(())
}

/// Starts endpoints, agents and forwarders, and waits until all forwarders are ready.
async fn start_all(run: &Rc<LiveRun>) -> Result<(), LiveError> {
    endpoint::start(run)?;
    for forwarder in 0..run.world.fleet.len() {
        let agent = agent::start(run, forwarder)?;
        let daemon = Daemon::prepare(run, forwarder, agent)?;
        run.daemons.borrow_mut().push(daemon);
        daemon::start(run, forwarder)?;
    }
    for forwarder in 0..run.world.fleet.len() {
        daemon::until_ready(run, forwarder, READY).await?;
    }
    Ok(())
}

/// Faults begin and end at their times.
fn spawn_faults(run: &Rc<LiveRun>) {
    for planned in run.world.faults.iter().copied() {
        let run = run.clone();
        run.clone().spawn(async move {
            run.until(planned.begin).await;
            run.apply_faults(planned.destination, Some(planned.fault));
            run.until(planned.end).await;
            run.apply_faults(planned.destination, None);
        });
    }
}

/// The endpoint list changes at its times.
fn spawn_list_changes(run: &Rc<LiveRun>) {
    for ListChange { at, endpoint, lifecycle } in run.world.changes.iter().copied() {
        let run = run.clone();
        run.clone().spawn(async move {
            run.until(at).await;
            agent::change(&run, endpoint, lifecycle);
        });
    }
}

/// Forwarders are stopped, reloaded, stalled and upgraded at their times; each stop reports when it is done.
fn spawn_stops(run: &Rc<LiveRun>, all_done: &Sender<()>) {
    for stop in run.world.stops.iter().copied() {
        let (run, stopped) = (run.clone(), all_done.clone());
        run.clone().spawn(async move {
            run.until(stop.at).await;
            match stop.signal {
                Signal::Hup => daemon::signal(&run, stop.forwarder, rustix::process::Signal::HUP),
                Signal::Kill => daemon::restart(&run, stop.forwarder, false, stop.back).await,
                Signal::Term => daemon::restart(&run, stop.forwarder, true, stop.back).await,
                Signal::Upgrade => daemon::upgrade(&run, stop.forwarder).await,
                Signal::Stall => daemon::stall(&run, stop.forwarder, stop.back).await,
            }
            // The day may have been aborted, and with it the receiver.
            let _ = stopped.send(()).await;
        });
    }
}

/// Carries out what the view asks for.
async fn follow_commands(run: &LiveRun, commands: Option<&Receiver<ViewCommand>>) -> Result<(), LiveError> {
    loop {
        let command = match commands {
            Some(commands) => commands.recv().await.ok(),
            None => None,
        };
        match command {
            Some(ViewCommand::InjectFault(destination, Some(fault))) => {
                run.destinations.borrow_mut()[destination].injected.push(fault);
                run.apply_faults(destination, Some(fault));
            }
            Some(ViewCommand::InjectFault(destination, None)) => {
                run.destinations.borrow_mut()[destination].injected.clear();
                run.apply_faults(destination, None);
            }
            Some(ViewCommand::Quit) => return Err(LiveError::BrokenOff),
            None => future::pending().await,
        }
    }
}
