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
    stage: &Rc<LiveRun>,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> Result<(), LiveError> {
    start_all(stage).await?;
    Timer::after(START_DELAY).await;
    stage.begun.set(Some(Instant::now()));
    stage.spawn(watch_own_lateness(stage.clone()));
    spawn_faults(stage);
    spawn_list_changes(stage);
    let stops = stage.world.stops.len();
    let (stopped, all_stopped) = async_channel::bounded(stops.max(1));
    spawn_stops(stage, &stopped);
    let (updates, commands) = match view {
        Some((updates, commands)) => (Some(updates), Some(commands)),
        None => (None, None),
    };
    stage.spawn(sample(stage.clone(), updates));
    let day_done = async {
        clients::run(stage).await;
        for _ in 0..stops {
            let _ = all_stopped.recv().await;
        }
        while (stage.open.get() > 0 || stage.clients_waiting.get() > 0)
            && stage.now() < stage.world.end + COMPLETION_LIMIT
        {
            Timer::after(Duration::from_millis(50)).await;
        }
        Ok(())
    };
    future::or(day_done, follow_commands(stage, commands.as_ref())).await?;
    // In order, as an operator would end them.
    let ends = (0..stage.world.fleet.len()).map(|f| daemon::end(stage, f));
    for end in ends.collect::<Vec<_>>() {
        end.await;
    }
    Ok(())
}

/// Starts endpoints, agents and forwarders, and waits until all forwarders are ready.
async fn start_all(stage: &Rc<LiveRun>) -> Result<(), LiveError> {
    endpoint::start(stage)?;
    for forwarder in 0..stage.world.fleet.len() {
        let agent = agent::start(stage, forwarder)?;
        let daemon = Daemon::prepare(stage, forwarder, agent)?;
        stage.daemons.borrow_mut().push(daemon);
        daemon::start(stage, forwarder)?;
    }
    for forwarder in 0..stage.world.fleet.len() {
        daemon::until_ready(stage, forwarder, READY).await?;
    }
    Ok(())
}

/// Faults begin and end at their times.
fn spawn_faults(stage: &Rc<LiveRun>) {
    for planned in stage.world.faults.iter().copied() {
        let stage = stage.clone();
        stage.clone().spawn(async move {
            stage.until(planned.begin).await;
            stage.apply_faults(planned.destination, Some(planned.fault));
            stage.until(planned.end).await;
            stage.apply_faults(planned.destination, None);
        });
    }
}

/// The endpoint list changes at its times.
fn spawn_list_changes(stage: &Rc<LiveRun>) {
    for ListChange { at, endpoint, lifecycle } in stage.world.changes.iter().copied() {
        let stage = stage.clone();
        stage.clone().spawn(async move {
            stage.until(at).await;
            agent::change(&stage, endpoint, lifecycle);
        });
    }
}

/// Forwarders are stopped, reloaded, stalled and upgraded at their times; each stop reports when it is done.
fn spawn_stops(stage: &Rc<LiveRun>, all_done: &Sender<()>) {
    for stop in stage.world.stops.iter().copied() {
        let (stage, stopped) = (stage.clone(), all_done.clone());
        stage.clone().spawn(async move {
            stage.until(stop.at).await;
            match stop.signal {
                Signal::Hup => daemon::signal(&stage, stop.forwarder, rustix::process::Signal::HUP),
                Signal::Kill => daemon::restart(&stage, stop.forwarder, false, stop.back).await,
                Signal::Term => daemon::restart(&stage, stop.forwarder, true, stop.back).await,
                Signal::Upgrade => daemon::upgrade(&stage, stop.forwarder).await,
                Signal::Stall => daemon::stall(&stage, stop.forwarder, stop.back).await,
            }
            let _ = stopped.send(()).await;
        });
    }
}

/// Carries out what the view asks for.
async fn follow_commands(stage: &LiveRun, commands: Option<&Receiver<ViewCommand>>) -> Result<(), LiveError> {
    loop {
        let command = match commands {
            Some(commands) => commands.recv().await.ok(),
            None => None,
        };
        match command {
            Some(ViewCommand::InjectFault(destination, Some(fault))) => {
                stage.destinations.borrow_mut()[destination].injected.push(fault);
                stage.apply_faults(destination, Some(fault));
            }
            Some(ViewCommand::InjectFault(destination, None)) => {
                stage.destinations.borrow_mut()[destination].injected.clear();
                stage.apply_faults(destination, None);
            }
            Some(ViewCommand::Quit) => return Err(LiveError::BrokenOff),
            None => future::pending().await,
        }
    }
}
