//! What became of messages, by the entry of the site file that they were handed in under. It decides nothing.

use crate::routes::Plan;
use crate::{ClassId, DestinationId, KindId, Micros, Outcome};
use hdrhistogram::Histogram;
use serde_json::{json, Map, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Where messages are counted that no entry matches.
const UNMATCHED: &str = "(unmatched)";
/// Delivery times are kept apart for so many entries, at about 10 kB each; those of further ones together.
const HISTOGRAMS: usize = 256;
/// Delivery times are kept to two figures, in milliseconds, up to the longest that a message can live.
const LONGEST_MS: u64 = 86_400_000;

/// The counts of one entry.
#[derive(Debug, Default)]
pub struct RouteStats {
    held: Cell<u64>,
    attempts: Cell<u64>,
    outcomes: RefCell<BTreeMap<&'static str, u64>>,
    ends: RefCell<BTreeMap<&'static str, u64>>,
    times: RefCell<Option<Rc<RefCell<Histogram<u32>>>>>,
}

fn more(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

fn word(outcome: Outcome) -> &'static str {
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
    /// A message is held from now on.
    pub fn take(&self) {
        more(&self.held);
    }

    /// An attempt has been decided on.
    pub fn attempt(&self) {
        more(&self.attempts);
    }

    /// An attempt has come out.
    pub fn outcome(&self, outcome: Outcome) {
        *self.outcomes.borrow_mut().entry(word(outcome)).or_default() += 1;
    }

    /// A message that was held has ended so.
    pub fn end(&self, how: &'static str) {
        self.held.set(self.held.get().saturating_sub(1));
        *self.ends.borrow_mut().entry(how).or_default() += 1;
    }

    fn report(&self) -> Value {
        let times = self.times.borrow().as_ref().map(|h| {
            let h = h.borrow();
            let at = |q: f64| h.value_at_quantile(q);
            json!({"count": h.len(), "p50": at(0.5), "p99": at(0.99), "p99.9": at(0.999)})
        });
        json!({
            "held": self.held.get(), "attempts": self.attempts.get(), "outcomes": *self.outcomes.borrow(),
            "ends": *self.ends.borrow(), "delivery_ms": times,
        })
    }
}

/// The counts of all entries of the plan that holds.
#[derive(Default)]
pub struct Routes {
    plan: RefCell<Option<Arc<Plan>>>,
    all: RefCell<Vec<Rc<RouteStats>>>,
    unmatched: Rc<RouteStats>,
    shared_times: RefCell<Option<Rc<RefCell<Histogram<u32>>>>>,
    histograms: Cell<usize>,
}

impl Routes {
    /// Another plan holds. An entry that keeps its name keeps its counts; messages that are held stay with the
    /// entry that they were handed in under.
    pub fn apply(&self, plan: Option<Arc<Plan>>) {
        let mut before: BTreeMap<String, Rc<RouteStats>> = BTreeMap::new();
        if let Some(old) = self.plan.borrow().as_ref() {
            let all = self.all.borrow();
            before.extend(old.routes().iter().zip(all.iter()).map(|(r, s)| (r.name.clone(), s.clone())));
        }
        let routes = plan.as_ref().map_or(&[][..], |p| p.routes());
        let all: Vec<_> = routes.iter().map(|r| before.remove(&r.name).unwrap_or_default()).collect();
        let apart = all.iter().filter(|s| s.times.borrow().is_some());
        self.histograms.set(apart.count());
        *self.all.borrow_mut() = all;
        *self.plan.borrow_mut() = plan;
    }

    /// Where a message is counted; nowhere without a site file.
    pub fn of(&self, to: DestinationId, kind: Option<KindId>, class: ClassId) -> Option<Rc<RouteStats>> {
        let plan = self.plan.borrow();
        let found = plan.as_ref()?.find(to, kind, class);
        Some(found.map_or_else(|| self.unmatched.clone(), |r| self.all.borrow()[r.0 as usize].clone()))
    }

    /// Notes how long a message took from its hand-in to its delivery.
    pub fn delivered(&self, stats: &RouteStats, took: Micros) {
        let mut own = stats.times.borrow_mut();
        let times = own.get_or_insert_with(|| {
            let fresh = || {
                let times = Histogram::new_with_bounds(1, LONGEST_MS, 2).expect("bounds that are in order");
                Rc::new(RefCell::new(times))
            };
            if self.histograms.get() < HISTOGRAMS {
                self.histograms.set(self.histograms.get() + 1);
                fresh()
            } else {
                self.shared_times.borrow_mut().get_or_insert_with(fresh).clone()
            }
        });
        times.borrow_mut().saturating_record((took / 1000).max(1));
    }

    /// The counts by name, of the entries that were ever used; none without a site file.
    pub fn report(&self) -> Option<Value> {
        let plan = self.plan.borrow();
        let routes = plan.as_ref()?.routes();
        let all = self.all.borrow();
        let used = |s: &RouteStats| s.held.get() > 0 || !s.ends.borrow().is_empty() || s.attempts.get() > 0;
        let named = routes.iter().map(|r| r.name.as_str()).zip(all.iter());
        let named = named.chain([(UNMATCHED, &self.unmatched)]).filter(|(_, s)| used(s));
        Some(named.map(|(name, s)| (name.to_owned(), s.report())).collect::<Map<_, _>>().into())
    }
}
