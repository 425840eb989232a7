//! The table of destinations and channels that both views draw.

use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::text::Line;
use ratatui::widgets::{self, Block, Cell, Paragraph, TableState};
use ratatui::Frame;
use serde_json::Value;
use std::collections::BTreeMap;

/// How destinations are sorted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SortOrder {
    /// By their numbers.
    Number,
    /// Open breakers first, then by open messages.
    Worst,
    /// Most open messages first.
    Held,
    /// The slowest first.
    Slowest,
}

impl SortOrder {
    /// The next way.
    pub fn next(self) -> Self {
        match self {
            SortOrder::Number => SortOrder::Worst,
            SortOrder::Worst => SortOrder::Held,
            SortOrder::Held => SortOrder::Slowest,
            SortOrder::Slowest => SortOrder::Number,
        }
    }

    fn name(self) -> &'static str {
        match self {
            SortOrder::Number => "by number",
            SortOrder::Worst => "worst first",
            SortOrder::Held => "most held first",
            SortOrder::Slowest => "slowest first",
        }
    }
}

/// A destination, over all forwarders.
#[derive(Clone, Debug, PartialEq)]
pub struct DestinationRow {
    /// Its number.
    pub destination: u64,
    /// What it is called.
    pub name: String,
    /// The worst of its breakers: 0 closed, 1 half, 2 open.
    pub breaker: u8,
    /// Its open messages.
    pub held: u64,
    /// Calls in flight.
    pub out: u64,
    /// The usual time of its answers, in milliseconds, the longest.
    pub answer_ms: Option<f64>,
    /// The longest rest of a retry_after, in milliseconds.
    pub wait_ms: f64,
    /// It has recovered and is in slow start.
    pub slow_start: bool,
    /// The limit that it reported.
    pub limit: Option<f64>,
}

const BREAKERS: [&str; 3] = ["closed", "half", "open"];

impl DestinationRow {
    /// The destinations that these forwarders' counters name.
    pub fn of(reports: &[&Value], names: Option<&[String]>) -> Vec<DestinationRow> {
        let mut all: BTreeMap<u64, DestinationRow> = BTreeMap::new();
        for p in reports.iter().flat_map(|r| r["partners"].as_array().into_iter().flatten()) {
            let Some(destination) = p["destination"].as_u64() else { continue };
            let row = all.entry(destination).or_insert_with(|| DestinationRow {
                destination,
                name: names
                    .and_then(|n| n.get(destination as usize).cloned())
                    .unwrap_or_else(|| destination.to_string()),
                breaker: 0,
                held: 0,
                out: 0,
                answer_ms: None,
                wait_ms: 0.0,
                slow_start: false,
                limit: None,
            });
            let breaker = BREAKERS.iter().position(|b| p["breaker"] == *b).unwrap_or(0);
            row.breaker = row.breaker.max(breaker as u8);
            row.held += p["held"].as_u64().unwrap_or(0);
            row.out += p["out"].as_u64().unwrap_or(0);
            let answer = p["answer_ms"].as_f64();
            row.answer_ms = row.answer_ms.map_or(answer, |a| Some(a.max(answer.unwrap_or(a))));
            row.wait_ms = row.wait_ms.max(p["wait_ms"].as_f64().unwrap_or(0.0));
            row.slow_start |= p["cold"].as_bool().unwrap_or(false);
            row.limit = p["limit_per_s"].as_f64().or(row.limit);
        }
        all.into_values().collect()
    }

    /// The messages received from each channel, and their share of all.
    pub fn channels(reports: &[&Value]) -> Vec<(String, u64, f64)> {
        let mut all: BTreeMap<String, u64> = BTreeMap::new();
        for c in reports.iter().flat_map(|r| r["channels"].as_array().into_iter().flatten()) {
            if let (Some(name), Some(n)) = (c["name"].as_str(), c["handed_in"].as_u64()) {
                *all.entry(name.to_owned()).or_default() += n;
            }
        }
        let sum: u64 = all.values().sum();
        all.into_iter().map(|(name, n)| (name, n, n as f64 / sum.max(1) as f64)).collect()
    }

    fn cells(&self) -> [String; 7] {
        let or_none = |x: Option<f64>| x.map_or("-".into(), |x| format!("{x:.0}"));
        [
            self.name.clone(),
            format!("{}{}", BREAKERS[self.breaker as usize], if self.slow_start { ", cold" } else { "" }),
            self.held.to_string(),
            self.out.to_string(),
            or_none(self.answer_ms),
            if self.wait_ms > 0.0 { format!("{:.0}", self.wait_ms) } else { "-".into() },
            or_none(self.limit),
        ]
    }
}

const HEADS: [&str; 7] = ["partner", "breaker", "held", "in flight", "answers ms", "waits ms", "limit /s"];

/// What is drawn.
pub struct Table {
    title: String,
    keys: String,
    /// One line above all.
    pub headline: String,
    /// The destinations.
    pub rows: Vec<DestinationRow>,
    /// The channels, with their messages and the share of all.
    pub channels: Vec<(String, u64, f64)>,
    /// How destinations are sorted.
    pub sorted: SortOrder,
    state: TableState,
}

impl Table {
    /// An empty table with a title and a line of keys.
    pub fn new(title: &str, keys: &str) -> Self {
        let (rows, channels) = (Vec::new(), Vec::new());
        let state = TableState::default().with_selected(0);
        Table {
            title: title.into(),
            keys: keys.into(),
            headline: String::new(),
            rows,
            channels,
            sorted: SortOrder::Number,
            state,
        }
    }

    /// Selects the next destination.
    pub fn down(&mut self) {
        self.state.select_next();
    }

    /// Selects the previous destination.
    pub fn up(&mut self) {
        self.state.select_previous();
    }

    /// The number of the selected destination.
    pub fn chosen(&self) -> Option<u64> {
        self.ordered().get(self.state.selected()?).map(|r| r.destination)
    }

    fn ordered(&self) -> Vec<&DestinationRow> {
        let mut all: Vec<&DestinationRow> = self.rows.iter().collect();
        match self.sorted {
            SortOrder::Number => {}
            SortOrder::Worst => all.sort_by_key(|r| std::cmp::Reverse((r.breaker, r.held))),
            SortOrder::Held => all.sort_by_key(|r| std::cmp::Reverse(r.held)),
            SortOrder::Slowest => {
                let of = |r: &DestinationRow| r.answer_ms.unwrap_or(0.0);
                all.sort_by(|a, b| of(b).total_cmp(&of(a)));
            }
        }
        all
    }

    /// Draws it.
    pub fn draw(&mut self, frame: &mut Frame<'_>) {
        let below = self.channels.len() as u16 + 2;
        let parts =
            [Constraint::Length(2), Constraint::Min(4), Constraint::Length(below), Constraint::Length(1)];
        let [head, middle, channels, keys] = Layout::vertical(parts).areas(frame.area());
        let bold = Style::new().add_modifier(Modifier::BOLD);
        let lines = vec![Line::styled(self.title.clone(), bold), Line::raw(self.headline.clone())];
        frame.render_widget(Paragraph::new(lines), head);
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
            .header(widgets::Row::new(HEADS).style(bold))
            .row_highlight_style(Style::new().add_modifier(Modifier::REVERSED))
            .block(Block::bordered().title(format!("partners, {}", self.sorted.name())));
        frame.render_stateful_widget(table, middle, &mut self.state);
        let lines: Vec<Line<'_>> = self
            .channels
            .iter()
            .map(|(name, n, share)| {
                Line::raw(format!("{name:<20} {n:>9} handed in  {:>5.1}%", share * 100.0))
            })
            .collect();
        frame.render_widget(Paragraph::new(lines).block(Block::bordered().title("channels")), channels);
        frame.render_widget(Paragraph::new(self.keys.clone()), keys);
    }

    /// A forwarder's totals in a line.
    pub fn totals(report: &Value) -> String {
        let of = |key: &str| report[key].as_u64().unwrap_or(0);
        format!(
            "{} held, {} taken, {} delivered, {} failed, {} returned, {} unavailable, {} attempts, {} bytes of journal",
            of("open"),
            of("taken"),
            of("delivered"),
            of("failed"),
            of("returned"),
            of("unavailable"),
            of("attempts"),
            of("journal_bytes")
        )
    }

    /// All of it as lines, for where there is no terminal.
    pub fn plain(rows: &[DestinationRow], report: &Value) -> String {
        let mut out = Self::totals(report);
        let line = |w: &[String]| {
            format!(
                "\n{:<20} {:<13} {:>8} {:>10} {:>10} {:>10} {:>10}",
                w[0], w[1], w[2], w[3], w[4], w[5], w[6]
            )
        };
        out += &line(&HEADS.map(String::from));
        rows.iter().for_each(|r| out += &line(&r.cells()));
        for (name, n, share) in DestinationRow::channels(&[report]) {
            out += &format!("\nchannel {name:<12} {n:>8} handed in, {:.1}%", share * 100.0);
        }
        out
    }
}
