//! Checks that settings make sense. They decide nothing.

use crate::api::{Class, Settings, SettingsError, Tenant};

/// A figure by the name that it has in the settings, and what must hold of it.
struct Figure<'a>(&'a str, f64, Range);

/// What a figure may be.
enum Range {
    /// A count of one at least.
    Count,
    /// Any number.
    Fee,
    /// A number that is not negative.
    Rate,
    /// From 0 to 1.
    Share,
    /// Above 0.
    Above,
    /// Above 0 and 1 at most.
    Part,
}

impl Figure<'_> {
    /// Why the figure cannot be used, if it cannot.
    fn refused(&self) -> Option<String> {
        let Figure(name, v, range) = self;
        let (fits, wanted) = match range {
            Range::Count => (*v >= 1.0, "1 at least"),
            Range::Fee => (true, "a number"),
            Range::Rate => (*v >= 0.0, "0 at least"),
            Range::Share => ((0.0..=1.0).contains(v), "from 0 to 1"),
            Range::Above => (*v > 0.0, "above 0"),
            Range::Part => (*v > 0.0 && *v <= 1.0, "above 0 and 1 at most"),
        };
        (!fits || !v.is_finite()).then(|| format!("setting `{name}`: {v} is out of range, which is {wanted}"))
    }
}

impl Settings {
    /// An error that names the setting at fault, if no forwarder could work with these.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError("setting `categories`: there must be one at least".into()));
        }
        if self.zone.0 >= self.zone_costs.len() {
            return Err(SettingsError("setting `zone`: it is not among the zones".into()));
        }
        let general = [
            Figure("call-slots", self.max_concurrent_calls as f64, Range::Count),
            Figure("max-open", self.max_open_messages as f64, Range::Count),
            Figure("max-attempts", f64::from(self.max_attempts), Range::Count),
            Figure("balancers", self.forwarders as f64, Range::Count),
            Figure("cross-zone", self.cross_zone_cost, Range::Fee),
            Figure("handshake", self.connection_cost, Range::Fee),
            Figure("over-share-worth", self.over_quota_weight, Range::Fee),
            Figure("cold-from", self.slow_start_floor, Range::Part),
            Figure("fall-multiple", self.overload_multiple, Range::Above),
        ];
        let kinds = self.kinds.iter().map(|k| Figure("per-call", k.messages_per_call as f64, Range::Count));
        let tolls = self.zone_costs.iter().map(|t| Figure("toll", *t, Range::Fee));
        let quota = |t: &Tenant| Figure("quota-per-s", t.quota_per_s, Range::Rate);
        let all = general.into_iter().chain(kinds).chain(tolls).chain(self.tenants.iter().map(quota));
        let fault = all.chain(self.classes.iter().flat_map(figures)).find_map(|f| f.refused());
        let late = || {
            let at = self.classes.iter().find(|c| c.latency_objective > c.deadline)?;
            Some(format!(
                "setting `promise`: {} ms is past the deadline of {} ms",
                at.latency_objective / 1000,
                at.deadline / 1000
            ))
        };
        fault.or_else(late).map_or(Ok(()), |what| Err(SettingsError(what)))
    }
}

fn figures(c: &Class) -> [Figure<'static>; 3] {
    [
        Figure("deadline", c.deadline as f64, Range::Above),
        Figure("gain", c.priority_weight, Range::Rate),
        Figure("late-worth", c.weight_at_deadline, Range::Share),
    ]
}
