//! Views of a running rehearsal: on a terminal a table of destinations and channels with keys, elsewhere a line every
//! few seconds with a bar.

use crate::live::{Progress, ViewCommand, ViewUpdate};
use crate::table::{DestinationRow, SortOrder, Table};
use async_channel::{Receiver, Sender};
use cedarbridge_endpoint_model::Fault;
use ratatui::crossterm::event::{self, Event, KeyCode, KeyEventKind};
use std::io::IsTerminal;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How often a line is written.
const LINE_INTERVAL: Duration = Duration::from_secs(2);
/// How often keys are looked for.
const KEY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A view in a thread of its own; it ends when this is dropped.
pub struct View {
    updates: Option<Sender<ViewUpdate>>,
    commands: Receiver<ViewCommand>,
    thread: Option<JoinHandle<()>>,
}

impl View {
    /// The run's updates, and the commands to it.
    pub fn channels(&self) -> (Sender<ViewUpdate>, Receiver<ViewCommand>) {
        (self.updates.clone().expect("not dropped yet"), self.commands.clone())
    }
}

impl Drop for View {
    fn drop(&mut self) {
        if let Some(updates) = self.updates.take() {
            updates.close();
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the view is no reason to fail the run.
            let _ = thread.join();
        }
    }
}

/// Starts a view of a run with these destinations.
pub fn start(title: &str, destinations: &[String], plain: bool) -> View {
    let (update_sender, updates) = async_channel::bounded(4);
    let (command_sender, commands) = async_channel::unbounded();
    let (title, names) = (title.to_owned(), destinations.to_vec());
    let rich = !plain && std::io::stdout().is_terminal() && std::io::stdin().is_terminal();
    let thread = std::thread::spawn(move || {
        if rich {
            screen(&title, names, &updates, &command_sender);
        } else {
            lines(&updates);
        }
    });
    View { updates: Some(update_sender), commands, thread: Some(thread) }
}

/// A bar that is full to a share.
pub fn bar(share: f64) -> String {
    let full = (share.clamp(0.0, 1.0) * 20.0).round() as usize;
    format!("[{}{}]", "#".repeat(full), ".".repeat(20 - full))
}

/// A run's progress as a line.
pub fn line(p: &Progress) -> String {
    let (at, length) = (p.at.0 as f64 / 1e6, p.at.1 as f64 / 1e6);
    let held: u64 = p.forwarders.iter().flatten().filter_map(|f| f["open"].as_u64()).sum();
    let open = p.forwarders.iter().flatten().flat_map(|f| f["partners"].as_array().into_iter().flatten());
    let open = open.filter(|p| p["breaker"] == "open").count();
    let up = p.forwarders.iter().flatten().count();
    format!(
        "{} {at:>5.1} of {length:.0} s  {:>6} sent  worth {:.3}  {held:>4} held  {open} breakers open  {up} of {} up  {} broken",
        bar(p.at.0 as f64 / p.at.1.max(1) as f64),
        p.sent.0,
        if p.value.1 > 0.0 { p.value.0 / p.value.1 } else { 1.0 },
        p.forwarders.len(),
        p.violations
    )
}

fn lines(updates: &Receiver<ViewUpdate>) {
    let mut last: Option<Instant> = None;
    while let Ok(ViewUpdate::Progress(p)) = updates.recv_blocking() {
        if last.is_none_or(|l| l.elapsed() >= LINE_INTERVAL) {
            eprintln!("{}", line(&p));
            last = Some(Instant::now());
        }
    }
}

/// The faults that can be injected by hand, by key.
const INJECTABLE_FAULTS: [(char, &str, Fault); 5] = [
    ('h', "hang", Fault::Hang),
    ('r', "refuse", Fault::RefuseConnections),
    ('w', "slow ×6", Fault::Slow(6.0)),
    ('f', "fail half", Fault::FailCalls(0.5)),
    ('x', "shut", Fault::RejectAll),
];

fn screen(title: &str, names: Vec<String>, updates: &Receiver<ViewUpdate>, commands: &Sender<ViewCommand>) {
    let mut terminal = ratatui::init();
    let mut table = Table::new(
        title,
        "↑↓ partner, h hang, r refuse, w slow, f fail, x shut, o well again, s sort, p pause, q quit",
    );
    let (mut paused, mut latest) = (false, Progress::default());
    loop {
        match updates.try_recv() {
            Ok(ViewUpdate::Progress(p)) if !paused => latest = p,
            Ok(_) => {}
            Err(async_channel::TryRecvError::Closed) => break,
            Err(async_channel::TryRecvError::Empty) => {}
        }
        table.headline = line(&latest);
        let reports: Vec<_> = latest.forwarders.iter().flatten().collect();
        table.rows = DestinationRow::of(&reports, Some(&names));
        table.channels = DestinationRow::channels(&reports);
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
                // The run may have ended by now.
                let _ = commands.try_send(ViewCommand::Quit);
            }
            KeyCode::Char('c') if key.modifiers.contains(event::KeyModifiers::CONTROL) => {
                // The run may have ended by now.
                let _ = commands.try_send(ViewCommand::Quit);
            }
            KeyCode::Char('p') => paused = !paused,
            KeyCode::Char('s') => table.sorted = table.sorted.next(),
            KeyCode::Char('o') => inject_fault(&table, commands, None),
            KeyCode::Char(c) => {
                if let Some((_, _, fault)) = INJECTABLE_FAULTS.iter().find(|s| s.0 == c) {
                    inject_fault(&table, commands, Some(*fault));
                }
            }
            KeyCode::Down => table.down(),
            KeyCode::Up => table.up(),
            _ => {}
        }
    }
    ratatui::restore();
}

fn inject_fault(table: &Table, commands: &Sender<ViewCommand>, fault: Option<Fault>) {
    if let Some(destination) = table.chosen() {
        // The run may have ended by now.
        let _ = commands.try_send(ViewCommand::InjectFault(destination as usize, fault));
    }
}

/// Watches a running forwarder until the user quits; without a terminal, a line for each poll.
pub fn top(
    address: std::net::SocketAddr,
    every: Duration,
    plain: bool,
    polls: Option<u32>,
) -> std::io::Result<()> {
    let poll = || async_io::block_on(crate::live::counters(address));
    let no_answer = || std::io::Error::other(format!("no forwarder answers at {address}"));
    let mut report = poll().ok_or_else(no_answer)?;
    if plain || !std::io::stdout().is_terminal() {
        let mut n = 0;
        loop {
            println!("{}", Table::plain(&DestinationRow::of(&[&report], None), &report));
            n += 1;
            if polls.is_some_and(|most| n >= most) {
                return Ok(());
            }
            std::thread::sleep(every);
            report = poll().ok_or_else(no_answer)?;
        }
    }
    let mut terminal = ratatui::init();
    let mut table = Table::new(&format!("forwarder at {address}"), "↑↓ scroll, s sort, p pause, q quit");
    let (mut last, mut paused, mut answering) = (Instant::now(), false, true);
    table.sorted = SortOrder::Worst;
    loop {
        if last.elapsed() >= every && !paused {
            last = Instant::now();
            match poll() {
                Some(r) => (report, answering) = (r, true),
                None => answering = false,
            }
        }
        table.headline = if answering { Table::totals(&report) } else { format!("no answer from {address}") };
        table.rows = DestinationRow::of(&[&report], None);
        table.channels = DestinationRow::channels(&[&report]);
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
            KeyCode::Char('s') => table.sorted = table.sorted.next(),
            KeyCode::Down => table.down(),
            KeyCode::Up => table.up(),
            _ => {}
        }
    }
    ratatui::restore();
    Ok(())
}
