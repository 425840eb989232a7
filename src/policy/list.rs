//! What the list of endpoints says, taken in; and when it is to be asked for.

use super::breaker::Breaker;
use super::state::{destination, Destination, Endpoint};
use super::tuning::*;
use super::DeliveryPolicy;
use crate::api::*;

impl DeliveryPolicy {
    pub(super) fn take_list(&mut self, now: Micros, news: &EndpointListUpdate) {
        let (entries, complete) = match news {
            EndpointListUpdate::WatchFailed => {
                self.subscribed = false;
                self.ask_at = now + self.s.max_poll_interval / ASK_AGAIN.1;
                return;
            }
            EndpointListUpdate::Patch(e) => (e, false),
            EndpointListUpdate::Complete(e) | EndpointListUpdate::Cached(e) => (e, true),
        };
        self.subscribed |= !matches!(news, EndpointListUpdate::Cached(_));
        if complete {
            // What is still there is listed again just below.
            self.endpoints.values_mut().for_each(|e| e.entry.lifecycle = Lifecycle::Removed);
        }
        for e in entries {
            let kind = self.s.kinds.get(e.kind.0);
            let d = destination(&mut self.destinations, now, e.destination);
            d.apart = kind.is_some_and(|k| k.per_endpoint_breaker);
            d.per_call = kind.map_or(1, |k| k.messages_per_call);
            d.kind = Some(e.kind);
            if !d.endpoints.contains(&e.endpoint) {
                d.endpoints.push(e.endpoint);
                d.endpoints.sort();
            }
            let new =
                || Endpoint { entry: e.clone(), breaker: Breaker::new(now), last_used: 0, reusable: false };
            let at = |o: &EndpointId| self.endpoints.get(o).map_or(Lifecycle::Removed, |o| o.entry.lifecycle);
            let alone = !d.endpoints.iter().any(|o| *o != e.endpoint && at(o) == Lifecycle::Listed);
            let back = at(&e.endpoint) == Lifecycle::Draining && e.lifecycle == Lifecycle::Listed;
            let ep = self.endpoints.entry(e.endpoint).or_insert_with(new);
            ep.entry = e.clone();
            d.breaker.weight = if e.weight > 0.0 && e.weight.is_finite() { e.weight } else { 0.0 };
            ep.breaker.weight = d.breaker.weight / if d.apart { 1.0 } else { d.endpoints.len() as f64 };
            if back {
                ep.breaker.return_cold(now, &self.s);
                [&mut d.breaker].into_iter().filter(|_| alone).for_each(|b| b.return_cold(now, &self.s));
            }
        }
        // Thousands of endpoints are not gone through at each change.
        let leaves = entries.iter().any(|e| e.lifecycle == Lifecycle::Removed);
        if !(complete || leaves || self.leftovers) {
            return;
        }
        // What is gone is forgotten, but for a told wait (rule 6).
        let kept = |e: &Endpoint| e.entry.lifecycle != Lifecycle::Removed || now < e.breaker.wait_until;
        self.endpoints.retain(|_, e| kept(e));
        self.destinations.values_mut().for_each(|d| d.endpoints.retain(|e| self.endpoints.contains_key(e)));
        // A destination without endpoints is kept while it is in trouble or cold (rule 4).
        let idle = |d: &Destination| d.endpoints.is_empty() && d.waiting.is_empty() && !d.breaker.suspect();
        self.destinations.retain(|_, d| !idle(d) || d.breaker.cold_since.is_some());
        self.leftovers = self.endpoints.values().any(|e| e.entry.lifecycle == Lifecycle::Removed)
            || self.destinations.values().any(|d| d.endpoints.is_empty());
    }

    pub(super) fn ask(&mut self, now: Micros) {
        if !self.s.poll_endpoint_list || self.subscribed {
            return;
        }
        if now >= self.ask_at {
            self.ask_at = now + self.s.max_poll_interval / ASK_AGAIN.0;
            self.actions.push(Action::Subscribe);
        }
        self.wake_at(self.ask_at);
    }
}
