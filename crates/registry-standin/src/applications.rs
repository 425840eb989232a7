//! The registry's state: instances by application, and the changes that a delta reports.

use crate::instance::Instance;
use serde_json::{json, Value};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Changes stay in the delta for this time, as in real servers.
const DELTA_RETENTION: Duration = Duration::from_secs(180);

/// An instance in a response, with its action if the response is a delta.
pub(crate) type Entry<'a> = (&'a Instance, Option<&'static str>);

/// A change of an instance that a delta reports.
struct Change {
    at: Instant,
    instance: Instance,
    action: &'static str,
}

/// The instances of all applications, with their recent changes.
#[derive(Default)]
pub(crate) struct Applications {
    /// The instances, by application and id.
    pub(crate) instances: BTreeMap<(String, String), Instance>,
    /// The latest change of each instance that has changed recently, oldest first.
    recent_changes: VecDeque<Change>,
    version: u64,
    /// The number of changes so far; a restart does not reset it.
    change_count: u64,
}

impl Applications {
    /// The timestamp of the next change: each is 1 ms later than the one before.
    fn next_timestamp(&mut self) -> u64 {
        self.change_count += 1;
        1_700_000_000_000 + self.change_count
    }

    /// Adds a change of an instance to the delta.
    fn record_change(&mut self, instance: Instance, action: &'static str) {
        self.version += 1;
        // A delta has each instance once, in its current state.
        self.recent_changes
            .retain(|change| (&change.instance.app, &change.instance.id) != (&instance.app, &instance.id));
        self.recent_changes.push_back(Change { at: Instant::now(), instance, action });
        while self.recent_changes.front().is_some_and(|change| change.at.elapsed() > DELTA_RETENTION) {
            self.recent_changes.pop_front();
        }
    }

    /// Adds or replaces an instance.
    pub(crate) fn put(&mut self, mut instance: Instance) {
        instance.timestamp = self.next_timestamp();
        let key = (instance.app.clone(), instance.id.clone());
        let action = if self.instances.contains_key(&key) { "MODIFIED" } else { "ADDED" };
        self.instances.insert(key, instance.clone());
        self.record_change(instance, action);
    }

    /// Removes an instance. Returns false if it does not exist.
    pub(crate) fn delete(&mut self, app: &str, id: &str) -> bool {
        let Some(removed) = self.instances.remove(&(app.to_owned(), id.to_owned())) else { return false };
        self.record_change(removed, "DELETED");
        true
    }

    /// Removes the instances with an expired lease.
    pub(crate) fn evict(&mut self) {
        let is_expired = |instance: &Instance| instance.lease.is_some_and(|lease| lease.is_expired());
        let expired: Vec<_> =
            self.instances.iter().filter(|(_, i)| is_expired(i)).map(|(key, _)| key.clone()).collect();
        for (app, id) in &expired {
            self.delete(app, id);
        }
    }

    /// Forgets all instances and changes, as a registry does when it restarts.
    pub(crate) fn clear(&mut self) {
        *self = Applications { change_count: self.change_count, ..Applications::default() };
    }

    /// Forgets the changes that a delta would report.
    pub(crate) fn clear_deltas(&mut self) {
        self.recent_changes.clear();
    }

    /// The protocol's hash of the list: the number of instances by status.
    fn hash(&self) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        self.instances.values().for_each(|i| *counts.entry(&i.status).or_default() += 1);
        counts.iter().map(|(status, count)| format!("{status}_{count}_")).collect()
    }

    /// The body of a response with all instances.
    pub(crate) fn full(&self, xml: bool) -> String {
        let all: Vec<Entry> = self.instances.values().map(|i| (i, None)).collect();
        self.response_body(xml, &all)
    }

    /// The body of a response with the recent changes.
    pub(crate) fn delta(&self, xml: bool) -> String {
        let changed: Vec<Entry> = self.recent_changes.iter().map(|c| (&c.instance, Some(c.action))).collect();
        self.response_body(xml, &changed)
    }

    /// The body of a response with these instances and their actions, by application.
    pub(crate) fn response_body(&self, xml: bool, entries: &[Entry]) -> String {
        let mut by_app: BTreeMap<&str, Vec<Entry>> = BTreeMap::new();
        entries.iter().for_each(|entry| by_app.entry(&entry.0.app).or_default().push(*entry));
        if xml {
            self.xml(&by_app)
        } else {
            self.json(&by_app)
        }
    }

    fn xml(&self, by_app: &BTreeMap<&str, Vec<Entry>>) -> String {
        let application = |(name, entries): (&&str, &Vec<Entry>)| {
            let instances: String = entries.iter().map(|(i, action)| i.xml(*action)).collect();
            format!("<application><name>{name}</name>{instances}</application>")
        };
        let applications: String = by_app.iter().map(application).collect();
        format!(
            "<?xml version=\"1.0\"?><applications><versions__delta>{}</versions__delta>\
             <apps__hashcode>{}</apps__hashcode>{applications}</applications>",
            self.version,
            self.hash()
        )
    }

    fn json(&self, by_app: &BTreeMap<&str, Vec<Entry>>) -> String {
        // A list with one element is written as the element, as some servers do.
        let list = |mut all: Vec<Value>| if all.len() == 1 { all.remove(0) } else { all.into() };
        let application = |(name, entries): (&&str, &Vec<Entry>)| {
            let instances = entries.iter().map(|(i, action)| i.json(*action)).collect();
            json!({"name": name, "instance": list(instances)})
        };
        let applications = list(by_app.iter().map(application).collect());
        json!({"applications": {
            "versions__delta": self.version.to_string(), "apps__hashcode": self.hash(), "application": applications,
        }})
        .to_string()
    }
}
