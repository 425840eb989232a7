//! Statistics of messages by the route of the site file that applied when they were received. They influence no
//! decision.

use crate::net::message_end::MessageEnd;
use crate::routes::RouteTable;
use crate::{ClassId, DestinationId, KindId, Micros, Outcome};
use hdrhistogram::Histogram;
use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The name in the report for messages that no route matches.
const UNMATCHED_ROUTE_NAME: &str = "(unmatched)";
/// The number of routes with a histogram of delivery times of their own, at about 10 kB each. Further routes share
/// one histogram.
const MAX_HISTOGRAMS: usize = 256;
/// The longest recorded delivery time in milliseconds: one day, the maximum lifetime of a message.
const MAX_DELIVERY_TIME_MS: u64 = 86_400_000;
/// The precision of the recorded delivery times, in decimal digits.
const SIGNIFICANT_FIGURES: u8 = 2;

/// The delivery times of messages, in milliseconds.
type DeliveryTimes = Rc<RefCell<Histogram<u32>>>;

/// The statistics of one route.
#[derive(Debug, Default)]
pub struct RouteStats {
    /// Messages that have not ended.
    open: Cell<u64>,
    /// Attempts that the policy has decided on.
    attempts: Cell<u64>,
    /// Completed attempts, by the name of the outcome.
    outcomes: RefCell<BTreeMap<&'static str, u64>>,
    /// Ended messages, by the name of the end.
    ends: RefCell<BTreeMap<&'static str, u64>>,
    /// `None` until the first message was delivered.
    delivery_times: RefCell<Option<DeliveryTimes>>,
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// The key of an outcome in the report, which is the same as in [`Counters`](crate::net::counters::Counters).
fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected(_) => "full",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::StaleConnection => "stale",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
        Outcome::NotJournaled => "unsent",
    }
}

impl RouteStats {
    /// Counts a message that was opened.
    pub fn message_opened(&self) {
        increment(&self.open);
    }

    /// Counts an attempt that the policy has decided on.
    pub fn attempt_begun(&self) {
        increment(&self.attempts);
    }

    /// Counts a completed attempt by its outcome.
    pub fn attempt_completed(&self, outcome: Outcome) {
        *self.outcomes.borrow_mut().entry(outcome_name(outcome)).or_default() += 1;
    }

    /// Counts the end of an open message.
    pub fn message_ended(&self, end: MessageEnd) {
        self.open.set(self.open.get().saturating_sub(1));
        *self.ends.borrow_mut().entry(end.name()).or_default() += 1;
    }

    fn report(&self) -> Value {
        let times = self.delivery_times.borrow().as_ref().map(|times| {
            let times = times.borrow();
            let value_at = |quantile: f64| times.value_at_quantile(quantile);
            json!({"count": times.len(), "p50": value_at(0.5), "p99": value_at(0.99), "p99.9": value_at(0.999)})
        });
        json!({
            "held": self.open.get(), "attempts": self.attempts.get(), "outcomes": *self.outcomes.borrow(),
            "ends": *self.ends.borrow(), "delivery_ms": times,
        })
    }
}

/// The statistics of all routes of the current route table.
#[derive(Default)]
pub struct RouteStatsTable {
    route_table: RefCell<Option<Arc<RouteTable>>>,
    /// The statistics of the table's routes, in their order.
    entries: RefCell<Vec<Rc<RouteStats>>>,
    /// The statistics of messages that no route matches.
    unmatched: Rc<RouteStats>,
    /// The histogram shared by the routes without a histogram of their own.
    shared_delivery_times: RefCell<Option<DeliveryTimes>>,
    /// The number of routes with a histogram of their own.
    own_histograms: Cell<usize>,
}

impl RouteStatsTable {
    /// Replaces the route table. A route that keeps its name keeps its statistics; open messages stay with the route that
    /// applied when they were received.
    pub fn set_route_table(&self, route_table: Option<Arc<RouteTable>>) {
        let mut previous_stats: BTreeMap<String, Rc<RouteStats>> = BTreeMap::new();
        if let Some(old) = self.route_table.borrow().as_ref() {
            let entries = self.entries.borrow();
            let named = old.routes().iter().zip(entries.iter());
            previous_stats.extend(named.map(|(route, stats)| (route.name.clone(), stats.clone())));
        }
        let routes = route_table.as_ref().map_or(&[][..], |table| table.routes());
        let entries: Vec<_> =
            routes.iter().map(|route| previous_stats.remove(&route.name).unwrap_or_default()).collect();
        let with_histogram = entries.iter().filter(|stats| stats.delivery_times.borrow().is_some());
        self.own_histograms.set(with_histogram.count());
        *self.entries.borrow_mut() = entries;
        *self.route_table.borrow_mut() = route_table;
    }

    /// The statistics of the route that applies to a message; `None` without a site file.
    pub fn stats_for(
        &self,
        destination: DestinationId,
        kind: Option<KindId>,
        class: ClassId,
    ) -> Option<Rc<RouteStats>> {
        let route_table = self.route_table.borrow();
        let matched = route_table.as_ref()?.find(destination, kind, class);
        Some(match matched {
            Some(route) => self.entries.borrow()[route.0 as usize].clone(),
            None => self.unmatched.clone(),
        })
    }

    /// Records the time from the receipt of a message to its delivery, in microseconds.
    pub fn record_delivery(&self, stats: &RouteStats, delivery_time: Micros) {
        let mut own_times = stats.delivery_times.borrow_mut();
        let times = own_times.get_or_insert_with(|| {
            let new_histogram = || {
                let times = Histogram::new_with_bounds(1, MAX_DELIVERY_TIME_MS, SIGNIFICANT_FIGURES)
                    .expect("valid histogram bounds");
                Rc::new(RefCell::new(times))
            };
            if self.own_histograms.get() < MAX_HISTOGRAMS {
                self.own_histograms.set(self.own_histograms.get() + 1);
                new_histogram()
            } else {
                self.shared_delivery_times.borrow_mut().get_or_insert_with(new_histogram).clone()
            }
        });
        times.borrow_mut().saturating_record((delivery_time / 1000).max(1));
    }

    /// The JSON report of all routes that were used, by name; `None` without a site file.
    pub fn report(&self) -> Option<Value> {
        let route_table = self.route_table.borrow();
        let routes = route_table.as_ref()?.routes();
        let entries = self.entries.borrow();
        let is_used = |stats: &RouteStats| {
            stats.open.get() > 0 || !stats.ends.borrow().is_empty() || stats.attempts.get() > 0
        };
        let named = routes.iter().map(|route| route.name.as_str()).zip(entries.iter());
        let named =
            named.chain([(UNMATCHED_ROUTE_NAME, &self.unmatched)]).filter(|(_, stats)| is_used(stats));
        Some(named.map(|(name, stats)| (name.to_owned(), stats.report())).collect::<Map<_, _>>().into())
    }
}
