//! Views of a running rehearsal: an interactive table of destinations and tenants on a terminal, or else a progress line
//! every two seconds. Also the view of a running forwarder, for `cedarbridge-top`.

use crate::live::{Progress, ViewCommand, ViewUpdate};
use crate::table::{DestinationRow, SortOrder, Table};
use async_channel::{Receiver, Sender};
use cedarbridge_endpoint_model::Fault;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use std::io::IsTerminal;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// The shortest time between two progress lines.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// How long the view waits for a key before it draws again.
const KEY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A view that runs in its own thread. Dropping it ends the thread.
pub struct View {
    updates: Option<Sender<ViewUpdate>>,
    commands: Receiver<ViewCommand>,
    thread: Option<JoinHandle<()>>,
}

impl View {
    /// The sender of the run's updates to the view, and the receiver of the view's commands to the run.
    ///
    /// # Panics
    /// Only while the view is being dropped.
    pub fn channels(&self) -> (Sender<ViewUpdate>, Receiver<ViewCommand>) {
        (self.updates.clone().expect("the view is not dropped yet"), self.commands.clone())
    }
}

impl Drop for View {
    fn drop(&mut self) {
        if let Some(updates) = self.updates.take() {
            updates.close();
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the view does not fail the run.
            let _ = thread.join();
        }
    }
}

/// Starts a view of a run: an interactive one on a terminal, or progress lines if `plain` is set or there is no terminal.
pub fn start(title: &str, destinations: &[String], plain: bool) -> View {
    let (update_sender, updates) = async_channel::bounded(4);
    let (command_sender, commands) = async_channel::unbounded();
    let (title, names) = (title.to_owned(), destinations.to_vec());
    let interactive = !plain && std::io::stdout().is_terminal() && std::io::stdin().is_terminal();
    let thread = std::thread::spawn(move || {
        if interactive {
            run_interactive_view(&title, names, &updates, &command_sender);
        } else {
            print_progress_lines(&updates);
        }
    });
    View { updates: Some(update_sender), commands, thread: Some(thread) }
}

/// A progress bar of 20 characters that is filled to a share from 0 to 1.
pub fn progress_bar(share: f64) -> String {
    let full = (share.clamp(0.0, 1.0) * 20.0).round() as usize;
    format!("[{}{}]", "#".repeat(full), ".".repeat(20 - full))
}

/// A run's progress as one line.
pub fn progress_line(progress: &Progress) -> String {
    let (at, length) = (progress.at.0 as f64 / 1e6, progress.at.1 as f64 / 1e6);
    let open_messages: u64 = progress.forwarders.iter().flatten().filter_map(|f| f["open"].as_u64()).sum();
    let destinations =
        progress.forwarders.iter().flatten().flat_map(|f| f["partners"].as_array().into_iter().flatten());
    let open_breakers = destinations.filter(|d| d["breaker"] == "open").count();
    let running = progress.forwarders.iter().flatten().count();
    format!(
        "{} {at:>5.1} of {length:.0} s  {:>6} sent  worth {:.3}  {open_messages:>4} held  {open_breakers} breakers open  {running} of {} up  {} broken",
        progress_bar(progress.at.0 as f64 / progress.at.1.max(1) as f64),
        progress.sent.0,
        if progress.value.1 > 0.0 { progress.value.0 / progress.value.1 } else { 1.0 },
        progress.forwarders.len(),
        progress.violations
    )
}

/// Prints a progress line at most once every [`LINE_INTERVAL`] until the run ends.
fn print_progress_lines(updates: &Receiver<ViewUpdate>) {
    let mut last: Option<Instant> = None;
    while let Ok(ViewUpdate::Progress(progress)) = updates.recv_blocking() {
        if last.is_none_or(|l| l.elapsed() >= LINE_INTERVAL) {
            eprintln!("{}", progress_line(&progress));
            last = Some(Instant::now());
        }
    }
}

/// The faults that a user can inject: key, name and fault.
const INJECTABLE_FAULTS: [(char, &str, Fault); 5] = [
    ('h', "hang", Fault::Hang),
    ('r', "refuse", Fault::RefuseConnections),
    ('w', "slow ×6", Fault::Slow(6.0)),
    ('f', "fail half", Fault::FailCalls(0.5)),
    ('x', "shut", Fault::RejectAll),
];

/// Draws the table and handles keys until the run ends or the user quits.
fn run_interactive_view(
    title: &str,
    names: Vec<String>,
    updates: &Receiver<ViewUpdate>,
    commands: &Sender<ViewCommand>,
) {
    let mut terminal = ratatui::init();
    let mut table = Table::new(
        title,
        "↑↓ partner, h hang, r refuse, w slow, f fail, x shut, o well again, s sort, p pause, q quit",
    );
    let (mut paused, mut latest) = (false, Progress::default());
    loop {
        match updates.try_recv() {
            Ok(ViewUpdate::Progress(progress)) if !paused => latest = progress,
            Ok(_) => {}
            Err(async_channel::TryRecvError::Closed) => break,
            Err(async_channel::TryRecvError::Empty) => {}
        }
        table.headline = progress_line(&latest);
        let reports: Vec<_> = latest.forwarders.iter().flatten().collect();
        table.rows = DestinationRow::from_reports(&reports, Some(&names));
        table.tenants = DestinationRow::tenants(&reports);
        if terminal.draw(|f| table.draw(f)).is_err() {
            break;
        }
        if !event::poll(KEY_POLL_INTERVAL).unwrap_or(false) {
            continue;
        }
        let Ok(Event::Key(key)) = event::read() else { continue };
        if key.kind != KeyEventKind::Press {
            continue;
        }
        match key.code {
            KeyCode::Char('q') | KeyCode::Esc => {
                // The run may have ended already.
                let _ = commands.try_send(ViewCommand::Quit);
            }
            KeyCode::Char('c') if key.modifiers.contains(event::KeyModifiers::CONTROL) => {
                // The run may have ended already.
                let _ = commands.try_send(ViewCommand::Quit);
            }
            KeyCode::Char('p') => paused = !paused,
            KeyCode::Char('s') => table.sort_order = table.sort_order.next(),
            KeyCode::Char('o') => inject_fault(&table, commands, None),
            KeyCode::Char(c) => {
                if let Some((_, _, fault)) = INJECTABLE_FAULTS.iter().find(|f| f.0 == c) {
                    inject_fault(&table, commands, Some(*fault));
                }
            }
            KeyCode::Down => table.select_next(),
            KeyCode::Up => table.select_previous(),
            _ => {}
        }
    }
    ratatui::restore();
}

/// Asks the run to inject a fault into the selected destination, or to end its injected faults.
fn inject_fault(table: &Table, commands: &Sender<ViewCommand>, fault: Option<Fault>) {
    if let Some(destination) = table.selected() {
        // The run may have ended already.
        let _ = commands.try_send(ViewCommand::InjectFault(destination as usize, fault));
    }
}

/// Watches a running forwarder until the user quits. With `plain` or without a terminal, prints the counters as text at
/// each poll instead, `polls` times or without end.
///
/// # Errors
/// No forwarder answers at the address, or the terminal fails.
pub fn top(
    address: std::net::SocketAddr,
    interval: Duration,
    plain: bool,
    polls: Option<u32>,
) -> std::io::Result<()> {
    let poll = || async_io::block_on(crate::live::counters(address));
    let no_answer = || std::io::Error::other(format!("no forwarder answers at {address}"));
    let mut report = poll().ok_or_else(no_answer)?;
    if plain || !std::io::stdout().is_terminal() {
        let mut printed = 0;
        loop {
            println!("{}", Table::plain_text(&DestinationRow::from_reports(&[&report], None), &report));
            printed += 1;
            if polls.is_some_and(|limit| printed >= limit) {
                return Ok(());
            }
            std::thread::sleep(interval);
            report = poll().ok_or_else(no_answer)?;
        }
    }
    let mut terminal = ratatui::init();
    let mut table = Table::new(&format!("forwarder at {address}"), "↑↓ scroll, s sort, p pause, q quit");
    let (mut last, mut paused, mut answering) = (Instant::now(), false, true);
    table.sort_order = SortOrder::Worst;
    loop {
        if last.elapsed() >= interval && !paused {
            last = Instant::now();
            match poll() {
                Some(latest) => (report, answering) = (latest, true),
                None => answering = false,
            }
        }
        table.headline = if answering { Table::totals(&report) } else { format!("no answer from {address}") };
        table.rows = DestinationRow::from_reports(&[&report], None);
        table.tenants = DestinationRow::tenants(&[&report]);
        if let Err(e) = terminal.draw(|f| table.draw(f)) {
            ratatui::restore();
            return Err(e);
        }
        if !event::poll(KEY_POLL_INTERVAL)? {
            continue;
        }
        let Event::Key(key) = event::read()? else { continue };
        match key.code {
            KeyCode::Char('q') | KeyCode::Esc => break,
            KeyCode::Char('c') if key.modifiers.contains(event::KeyModifiers::CONTROL) => break,
            KeyCode::Char('p') => paused = !paused,
            KeyCode::Char('s') => table.sort_order = table.sort_order.next(),
            KeyCode::Down => table.select_next(),
            KeyCode::Up => table.select_previous(),
            _ => {}
        }
    }
    ratatui::restore();
    Ok(())
}
