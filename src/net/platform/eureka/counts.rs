//! Counters of the polls of the registry.

use crate::Micros;
use serde_json::{json, Value};
use std::cell::Cell;

/// Counters of polls and their answers.
#[derive(Debug, Default)]
pub struct RegistryCounts {
    /// Successful polls.
    pub polls: Cell<u64>,
    /// Successful polls for deltas.
    pub deltas: Cell<u64>,
    /// Successful polls for the complete registry.
    pub complete: Cell<u64>,
    /// Answers whose hash did not match the cached registry.
    pub mismatches: Cell<u64>,
    /// Failed polls.
    pub failures: Cell<u64>,
    /// Entries that have been reported as unusable.
    pub unusable_entries: Cell<usize>,
    /// The index of the address that answered last.
    pub address: Cell<usize>,
}

impl RegistryCounts {
    /// Reports all counters, merged with the endpoint list actor's report of the registry's view.
    pub fn report(&self, view: &Value, now: Micros) -> Value {
        let mut report = json!({
            "polls": self.polls.get(), "deltas": self.deltas.get(), "wholes": self.complete.get(),
            "hash_mismatches": self.mismatches.get(), "failures": self.failures.get(),
            "passed_over": self.unusable_entries.get(), "address": self.address.get(),
        });
        let fields = report.as_object_mut().expect("the report above is an object");
        fields.extend(view.as_object().into_iter().flatten().map(|(k, v)| (k.clone(), v.clone())));
        let received_at = fields.remove("heard").and_then(|at| at.as_u64());
        fields.insert("age_ms".into(), received_at.map(|at| now.saturating_sub(at) / 1000).into());
        report
    }
}

/// Adds one to a counter.
pub(super) fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
