//! Counts of messages by the entry of the site file that applied when they were received. It decides nothing.

use crate::net::message_end::MessageEnd;
use crate::routes::RouteTable;
use crate::{ClassId, DestinationId, KindId, Micros, Outcome};
use hdrhistogram::Histogram;
use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// The name under which messages are counted that no entry matches.
const UNMATCHED: &str = "(unmatched)";
/// So many entries have a histogram of delivery times of their own, at about 10 kB each; further ones share one.
const MAX_HISTOGRAMS: usize = 256;
/// The longest time that a message can live: one day. Delivery times up to this are recorded in milliseconds.
const MAX_DELIVERY_MS: u64 = 86_400_000;
/// Precision of the recorded delivery times.
const SIGNIFICANT_FIGURES: u8 = 2;

type DeliveryTimes = Rc<RefCell<Histogram<u32>>>;

/// The counts of one entry.
#[derive(Debug, Default)]
pub struct RouteStats {
    open: Cell<u64>,
    attempts: Cell<u64>,
    outcomes: RefCell<BTreeMap<&'static str, u64>>,
    ends: RefCell<BTreeMap<&'static str, u64>>,
    delivery_times: RefCell<Option<DeliveryTimes>>,
}

fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

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
    /// A message was opened.
    pub fn message_opened(&self) {
        increment(&self.open);
    }

    /// An attempt was decided on.
    pub fn attempt_begun(&self) {
        increment(&self.attempts);
    }

    /// An attempt is complete.
    pub fn attempt_completed(&self, outcome: Outcome) {
        *self.outcomes.borrow_mut().entry(outcome_name(outcome)).or_default() += 1;
    }

    /// An open message has ended.
    pub fn message_ended(&self, end: MessageEnd) {
        self.open.set(self.open.get().saturating_sub(1));
        *self.ends.borrow_mut().entry(end.name()).or_default() += 1;
    }

    fn report(&self) -> Value {
        let times = self.delivery_times.borrow().as_ref().map(|times| {
            let times = times.borrow();
            let at = |quantile: f64| times.value_at_quantile(quantile);
            json!({"count": times.len(), "p50": at(0.5), "p99": at(0.99), "p99.9": at(0.999)})
        });
        json!({
            "held": self.open.get(), "attempts": self.attempts.get(), "outcomes": *self.outcomes.borrow(),
            "ends": *self.ends.borrow(), "delivery_ms": times,
        })
    }
}

/// The counts of all entries of the plan in force.
#[derive(Default)]
pub struct Routes {
    plan: RefCell<Option<Arc<RouteTable>>>,
    /// One for each entry of the plan, in its order.
    entries: RefCell<Vec<Rc<RouteStats>>>,
    unmatched: Rc<RouteStats>,
    shared_delivery_times: RefCell<Option<DeliveryTimes>>,
    histograms: Cell<usize>,
}

impl Routes {
    /// Puts another plan in force. An entry that keeps its name keeps its counts; open messages stay with the entry that applied
    /// when they were received.
    pub fn apply(&self, plan: Option<Arc<RouteTable>>) {
        let mut before: BTreeMap<String, Rc<RouteStats>> = BTreeMap::new();
        if let Some(old) = self.plan.borrow().as_ref() {
            let entries = self.entries.borrow();
            let named = old.routes().iter().zip(entries.iter());
            before.extend(named.map(|(route, stats)| (route.name.clone(), stats.clone())));
        }
        let routes = plan.as_ref().map_or(&[][..], |p| p.routes());
        let entries: Vec<_> =
            routes.iter().map(|route| before.remove(&route.name).unwrap_or_default()).collect();
        let with_histogram = entries.iter().filter(|stats| stats.delivery_times.borrow().is_some());
        self.histograms.set(with_histogram.count());
        *self.entries.borrow_mut() = entries;
        *self.plan.borrow_mut() = plan;
    }

    /// Where a message is counted; `None` without a site file.
    pub fn of(
        &self,
        destination: DestinationId,
        kind: Option<KindId>,
        class: ClassId,
    ) -> Option<Rc<RouteStats>> {
        let plan = self.plan.borrow();
        let found = plan.as_ref()?.find(destination, kind, class);
        Some(match found {
            Some(route) => self.entries.borrow()[route.0 as usize].clone(),
            None => self.unmatched.clone(),
        })
    }

    /// Records the time from a message's receipt to its delivery.
    pub fn delivered(&self, stats: &RouteStats, delivery_time: Micros) {
        let mut own = stats.delivery_times.borrow_mut();
        let times = own.get_or_insert_with(|| {
            let fresh = || {
                let times = Histogram::new_with_bounds(1, MAX_DELIVERY_MS, SIGNIFICANT_FIGURES)
                    .expect("bounds that are in order");
                Rc::new(RefCell::new(times))
            };
            if self.histograms.get() < MAX_HISTOGRAMS {
                self.histograms.set(self.histograms.get() + 1);
                fresh()
            } else {
                self.shared_delivery_times.borrow_mut().get_or_insert_with(fresh).clone()
            }
        });
        times.borrow_mut().saturating_record((delivery_time / 1000).max(1));
    }

    /// The counts by name, of the entries that were ever used; `None` without a site file.
    pub fn report(&self) -> Option<Value> {
        let plan = self.plan.borrow();
        let routes = plan.as_ref()?.routes();
        let entries = self.entries.borrow();
        let used = |stats: &RouteStats| {
            stats.open.get() > 0 || !stats.ends.borrow().is_empty() || stats.attempts.get() > 0
        };
        let named = routes.iter().map(|route| route.name.as_str()).zip(entries.iter());
        let named = named.chain([(UNMATCHED, &self.unmatched)]).filter(|(_, stats)| used(stats));
        Some(named.map(|(name, stats)| (name.to_owned(), stats.report())).collect::<Map<_, _>>().into())
    }
}
