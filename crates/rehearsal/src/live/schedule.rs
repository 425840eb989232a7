//! The schedule of a live run, from the start of its processes to their end: carries out the planned faults, list changes
//! and stops at their times.

use super::sampling::{measure_lateness, sample};
use super::{agent, clients, endpoint, forwarder_process, LiveError, LiveRun, ViewCommand, ViewUpdate};
use crate::environment::ListChange;
use crate::scenario::Signal;
use async_channel::{Receiver, Sender};
use async_io::Timer;
use cedarbridge::Micros;
use forwarder_process::LiveForwarder;
use futures_lite::future;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The time that forwarders have to become ready.
pub(super) const READY_LIMIT: Duration = Duration::from_secs(10);
/// The time between the last forwarder's readiness and the start of the run.
const START_DELAY: Duration = Duration::from_millis(300);
/// All messages must have ended this time after the end of the planned requests, in microseconds.
const COMPLETION_LIMIT: Micros = 30_000_000;

/// Runs the schedule from start to end.
pub(super) async fn run_schedule(
    run: &Rc<LiveRun>,
    view: Option<(Sender<ViewUpdate>, Receiver<ViewCommand>)>,
) -> Result<(), LiveError> {
    start_all(run).await?;
    Timer::after(START_DELAY).await;
    run.started.set(Some(Instant::now()));
    run.spawn(measure_lateness(run.clone()));
    spawn_faults(run);
    spawn_list_changes(run);
    let stops = run.environment.stops.len();
    let (stop_done, stops_done) = async_channel::bounded(stops.max(1));
    spawn_stops(run, &stop_done);
    let (updates, commands) = match view {
        Some((updates, commands)) => (Some(updates), Some(commands)),
        None => (None, None),
    };
    run.spawn(sample(run.clone(), updates));
    let completed = async {
        clients::send_requests(run).await;
        for _ in 0..stops {
            // The channel stays open: this function holds a sender.
            let _ = stops_done.recv().await;
        }
        while (run.open_messages.get() > 0 || run.clients_waiting.get() > 0)
            && run.now() < run.environment.end + COMPLETION_LIMIT
        {
            Timer::after(Duration::from_millis(50)).await;
        }
        Ok(())
    };
    future::or(completed, follow_commands(run, commands.as_ref())).await?;
    // One after the other, as an operator ends them.
    let ends = (0..run.environment.fleet.len()).map(|f| forwarder_process::end(run, f));
    for end in ends.collect::<Vec<_>>() {
        end.await;
    }
    Ok(())
}

/// Starts the endpoints, agents and forwarders, and waits until all forwarders are ready.
async fn start_all(run: &Rc<LiveRun>) -> Result<(), LiveError> {
    endpoint::start(run)?;
    for forwarder in 0..run.environment.fleet.len() {
        let agent = agent::start(run, forwarder)?;
        let live_forwarder = LiveForwarder::prepare(run, forwarder, agent)?;
        run.forwarders.borrow_mut().push(live_forwarder);
        forwarder_process::start(run, forwarder)?;
    }
    for forwarder in 0..run.environment.fleet.len() {
        forwarder_process::until_ready(run, forwarder, READY_LIMIT).await?;
    }
    Ok(())
}

/// Spawns tasks that start and end each planned fault at its time.
fn spawn_faults(run: &Rc<LiveRun>) {
    for planned in run.environment.faults.iter().copied() {
        let run = run.clone();
        run.clone().spawn(async move {
            run.sleep_until(planned.start).await;
            run.apply_faults(planned.destination, Some(planned.fault));
            run.sleep_until(planned.end).await;
            run.apply_faults(planned.destination, None);
        });
    }
}

/// Spawns tasks that make each planned change of the endpoint list at its time.
fn spawn_list_changes(run: &Rc<LiveRun>) {
    for ListChange { at, endpoint, lifecycle } in run.environment.list_changes.iter().copied() {
        let run = run.clone();
        run.clone().spawn(async move {
            run.sleep_until(at).await;
            agent::change_lifecycle(&run, endpoint, lifecycle);
        });
    }
}

/// Spawns tasks that stop, reload, stall or upgrade forwarders at the planned times. Each sends a message when it is done.
fn spawn_stops(run: &Rc<LiveRun>, stop_done: &Sender<()>) {
    for stop in run.environment.stops.iter().copied() {
        let (run, stop_done) = (run.clone(), stop_done.clone());
        run.clone().spawn(async move {
            run.sleep_until(stop.at).await;
            match stop.signal {
                Signal::Hup => forwarder_process::signal(&run, stop.forwarder, rustix::process::Signal::HUP),
                Signal::Kill => {
                    forwarder_process::restart(&run, stop.forwarder, false, stop.restart_delay).await
                }
                Signal::Term => {
                    forwarder_process::restart(&run, stop.forwarder, true, stop.restart_delay).await
                }
                Signal::Upgrade => forwarder_process::upgrade(&run, stop.forwarder).await,
                Signal::Stall => forwarder_process::stall(&run, stop.forwarder, stop.restart_delay).await,
            }
            // If the run was aborted, there is no receiver.
            let _ = stop_done.send(()).await;
        });
    }
}

/// Carries out the commands of the view. Returns only with the error that ends the run.
async fn follow_commands(run: &LiveRun, commands: Option<&Receiver<ViewCommand>>) -> Result<(), LiveError> {
    loop {
        let command = match commands {
            Some(commands) => commands.recv().await.ok(),
            None => None,
        };
        match command {
            Some(ViewCommand::InjectFault(destination, Some(fault))) => {
                run.destinations.borrow_mut()[destination].injected_faults.push(fault);
                run.apply_faults(destination, Some(fault));
            }
            Some(ViewCommand::InjectFault(destination, None)) => {
                run.destinations.borrow_mut()[destination].injected_faults.clear();
                run.apply_faults(destination, None);
            }
            Some(ViewCommand::Quit) => return Err(LiveError::Interrupted),
            None => future::pending().await,
        }
    }
}
