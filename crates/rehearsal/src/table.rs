//! The table of destinations and tenants in the terminal views of a rehearsal and of a running forwarder.

use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{self, Block, Cell, Paragraph, TableState};
use ratatui::Frame;
use serde_json::Value;
use std::collections::BTreeMap;

/// The order of the destinations in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SortOrder {
    /// In the order of the destinations' ids.
    Id,
    /// Open breakers first, then by the number of open messages.
    Worst,
    /// Most open messages first.
    OpenMessages,
    /// The longest answer times first.
    Slowest,
}

impl SortOrder {
    /// The next order, for the key `s`.
    pub fn next(self) -> Self {
        match self {
            SortOrder::Id => SortOrder::Worst,
            SortOrder::Worst => SortOrder::OpenMessages,
            SortOrder::OpenMessages => SortOrder::Slowest,
            SortOrder::Slowest => SortOrder::Id,
        }
    }

    fn name(self) -> &'static str {
        match self {
            SortOrder::Id => "by number",
            SortOrder::Worst => "worst first",
            SortOrder::OpenMessages => "most held first",
            SortOrder::Slowest => "slowest first",
        }
    }
}

/// The figures of a destination, over all forwarders.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationRow {
    /// The destination's id.
    pub destination: u64,
    /// The destination's name, or its id if it has none.
    pub name: String,
    /// The worst of its breakers: 0 closed, 1 half-open, 2 open.
    pub breaker: u8,
    /// The number of open messages.
    pub open_messages: u64,
    /// The number of calls in flight.
    pub in_flight: u64,
    /// The longest of the forwarders' usual answer times, in milliseconds; `None` before the first answer.
    pub answer_ms: Option<f64>,
    /// The longest time left of a `retry_after`, in milliseconds; 0 without one.
    pub retry_after_ms: f64,
    /// Whether a forwarder has the destination in slow start after a recovery.
    pub in_slow_start: bool,
    /// The limit that it reported, in calls a second.
    pub limit_per_s: Option<f64>,
}

/// The names of the breaker states in the counters and in the table.
const BREAKER_STATES: [&str; 3] = ["closed", "half", "open"];

impl DestinationRow {
    /// The destinations in the forwarders' reports of `/_counters?by=partner`.
    pub fn from_reports(reports: &[&Value], names: Option<&[String]>) -> Vec<DestinationRow> {
        let mut rows: BTreeMap<u64, DestinationRow> = BTreeMap::new();
        for entry in reports.iter().flat_map(|r| r["partners"].as_array().into_iter().flatten()) {
            let Some(destination) = entry["destination"].as_u64() else { continue };
            let row = rows.entry(destination).or_insert_with(|| DestinationRow {
                destination,
                name: names
                    .and_then(|n| n.get(destination as usize).cloned())
                    .unwrap_or_else(|| destination.to_string()),
                breaker: 0,
                open_messages: 0,
                in_flight: 0,
                answer_ms: None,
                retry_after_ms: 0.0,
                in_slow_start: false,
                limit_per_s: None,
            });
            let breaker = BREAKER_STATES.iter().position(|state| entry["breaker"] == *state).unwrap_or(0);
            row.breaker = row.breaker.max(breaker as u8);
            row.open_messages += entry["held"].as_u64().unwrap_or(0);
            row.in_flight += entry["out"].as_u64().unwrap_or(0);
            let answer = entry["answer_ms"].as_f64();
            row.answer_ms = row.answer_ms.map_or(answer, |a| Some(a.max(answer.unwrap_or(a))));
            row.retry_after_ms = row.retry_after_ms.max(entry["wait_ms"].as_f64().unwrap_or(0.0));
            row.in_slow_start |= entry["cold"].as_bool().unwrap_or(false);
            row.limit_per_s = entry["limit_per_s"].as_f64().or(row.limit_per_s);
        }
        rows.into_values().collect()
    }

    /// For each tenant in the forwarders' reports: its name, the messages received from it, and their share of all.
    pub fn tenants(reports: &[&Value]) -> Vec<(String, u64, f64)> {
        let mut received: BTreeMap<String, u64> = BTreeMap::new();
        for entry in reports.iter().flat_map(|r| r["channels"].as_array().into_iter().flatten()) {
            if let (Some(name), Some(n)) = (entry["name"].as_str(), entry["handed_in"].as_u64()) {
                *received.entry(name.to_owned()).or_default() += n;
            }
        }
        let sum: u64 = received.values().sum();
        received.into_iter().map(|(name, n)| (name, n, n as f64 / sum.max(1) as f64)).collect()
    }

    fn cells(&self) -> [String; 7] {
        let or_dash = |x: Option<f64>| x.map_or("-".into(), |x| format!("{x:.0}"));
        [
            self.name.clone(),
            format!(
                "{}{}",
                BREAKER_STATES[self.breaker as usize],
                if self.in_slow_start { ", cold" } else { "" }
            ),
            self.open_messages.to_string(),
            self.in_flight.to_string(),
            or_dash(self.answer_ms),
            if self.retry_after_ms > 0.0 { format!("{:.0}", self.retry_after_ms) } else { "-".into() },
            or_dash(self.limit_per_s),
        ]
    }
}

/// The column titles of the table.
const COLUMN_TITLES: [&str; 7] =
    ["partner", "breaker", "held", "in flight", "answers ms", "waits ms", "limit /s"];

/// The contents of a view, and its selection.
pub struct Table {
    title: String,
    key_help: String,
    /// The line between the title and the table.
    pub headline: String,
    /// The destinations, ordered by id.
    pub rows: Vec<DestinationRow>,
    /// For each tenant: its name, the messages received from it, and their share of all.
    pub tenants: Vec<(String, u64, f64)>,
    /// The order in which the destinations are drawn.
    pub sort_order: SortOrder,
    state: TableState,
}

impl Table {
    /// Creates an empty table with a title, and a line that explains the keys.
    pub fn new(title: &str, key_help: &str) -> Self {
        let (rows, tenants) = (Vec::new(), Vec::new());
        let state = TableState::default().with_selected(0);
        Table {
            title: title.into(),
            key_help: key_help.into(),
            headline: String::new(),
            rows,
            tenants,
            sort_order: SortOrder::Id,
            state,
        }
    }

    /// Selects the next destination.
    pub fn select_next(&mut self) {
        self.state.select_next();
    }

    /// Selects the previous destination.
    pub fn select_previous(&mut self) {
        self.state.select_previous();
    }

    /// The id of the selected destination; `None` if the table is empty.
    pub fn selected(&self) -> Option<u64> {
        self.ordered().get(self.state.selected()?).map(|r| r.destination)
    }

    fn ordered(&self) -> Vec<&DestinationRow> {
        let mut rows: Vec<&DestinationRow> = self.rows.iter().collect();
        match self.sort_order {
            SortOrder::Id => {}
            SortOrder::Worst => rows.sort_by_key(|r| std::cmp::Reverse((r.breaker, r.open_messages))),
            SortOrder::OpenMessages => rows.sort_by_key(|r| std::cmp::Reverse(r.open_messages)),
            SortOrder::Slowest => {
                let answer_ms = |r: &DestinationRow| r.answer_ms.unwrap_or(0.0);
                rows.sort_by(|a, b| answer_ms(b).total_cmp(&answer_ms(a)));
            }
        }
        rows
    }

    /// Draws the view.
    pub fn draw(&mut self, frame: &mut Frame<'_>) {
        let tenants_height = self.tenants.len() as u16 + 2;
        let parts = [
            Constraint::Length(2),
            Constraint::Min(4),
            Constraint::Length(tenants_height),
            Constraint::Length(1),
        ];
        let [header, middle, tenants, footer] = Layout::vertical(parts).areas(frame.area());
        let bold = Style::new().add_modifier(Modifier::BOLD);
        let lines = vec![Line::styled(self.title.clone(), bold), Line::raw(self.headline.clone())];
        frame.render_widget(Paragraph::new(lines), header);
        let rows: Vec<widgets::Row<'_>> = self
            .ordered()
            .into_iter()
            .map(|r| {
                let colour = [Color::Reset, Color::Yellow, Color::Red][r.breaker as usize];
                widgets::Row::new(r.cells().map(Cell::from)).style(Style::new().fg(colour))
            })
            .collect();
        let widths =
            [Constraint::Min(16), Constraint::Length(13)].into_iter().chain([Constraint::Length(10); 5]);
        let table = widgets::Table::new(rows, widths)
            .header(widgets::Row::new(COLUMN_TITLES).style(bold))
            .row_highlight_style(Style::new().add_modifier(Modifier::REVERSED))
            .block(Block::bordered().title(format!("partners, {}", self.sort_order.name())));
        frame.render_stateful_widget(table, middle, &mut self.state);
        let lines: Vec<Line<'_>> = self
            .tenants
            .iter()
            .map(|(name, n, share)| {
                Line::raw(format!("{name:<20} {n:>9} handed in  {:>5.1}%", share * 100.0))
            })
            .collect();
        frame.render_widget(Paragraph::new(lines).block(Block::bordered().title("channels")), tenants);
        frame.render_widget(Paragraph::new(self.key_help.clone()), footer);
    }

    /// The totals of a forwarder's report, in one line.
    pub fn totals(report: &Value) -> String {
        let total = |key: &str| report[key].as_u64().unwrap_or(0);
        format!(
            "{} held, {} taken, {} delivered, {} failed, {} returned, {} unavailable, {} attempts, {} bytes of journal",
            total("open"),
            total("taken"),
            total("delivered"),
            total("failed"),
            total("returned"),
            total("unavailable"),
            total("attempts"),
            total("journal_bytes")
        )
    }

    /// The totals, destinations and tenants of a report as plain text, for output that is not a terminal.
    pub fn plain_text(rows: &[DestinationRow], report: &Value) -> String {
        let mut out = Self::totals(report);
        let line = |cells: &[String]| {
            format!(
                "\n{:<20} {:<13} {:>8} {:>10} {:>10} {:>10} {:>10}",
                cells[0], cells[1], cells[2], cells[3], cells[4], cells[5], cells[6]
            )
        };
        out += &line(&COLUMN_TITLES.map(String::from));
        rows.iter().for_each(|r| out += &line(&r.cells()));
        for (name, n, share) in DestinationRow::tenants(&[report]) {
            out += &format!("\nchannel {name:<12} {n:>8} handed in, {:.1}%", share * 100.0);
        }
        out
    }
}
