//! Checks that the values of the settings are in range.

use crate::api::{Class, Settings, SettingsError, Tenant};
use std::fmt;

/// The range of values that a setting may have. Infinity and NaN are in none.
#[derive(Clone, Copy)]
enum Range {
    Any,
    AtLeastZero,
    AtLeastOne,
    AboveZero,
    ZeroToOne,
    AboveZeroToOne,
}

impl Range {
    fn contains(self, value: f64) -> bool {
        let is_in_range = match self {
            Range::Any => true,
            Range::AtLeastZero => value >= 0.0,
            Range::AtLeastOne => value >= 1.0,
            Range::AboveZero => value > 0.0,
            Range::ZeroToOne => (0.0..=1.0).contains(&value),
            Range::AboveZeroToOne => value > 0.0 && value <= 1.0,
        };
        is_in_range && value.is_finite()
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Range::Any => "a finite number",
            Range::AtLeastZero => "at least 0",
            Range::AtLeastOne => "at least 1",
            Range::AboveZero => "above 0",
            Range::ZeroToOne => "from 0 to 1",
            Range::AboveZeroToOne => "above 0 and at most 1",
        })
    }
}

fn check_range(setting: &str, value: f64, range: Range) -> Result<(), SettingsError> {
    if range.contains(value) {
        return Ok(());
    }
    Err(SettingsError(format!("setting `{setting}`: {value} is out of range, it must be {range}")))
}

impl Settings {
    /// Checks that all settings are in range and consistent.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first setting that is wrong.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError("setting `categories`: at least one category is required".into()));
        }
        if self.zone.0 >= self.zone_costs.len() {
            return Err(SettingsError("setting `zone`: it is not one of the zones in `azs`".into()));
        }
        self.check_general()?;
        for kind in &self.kinds {
            check_range("per-call", kind.messages_per_call as f64, Range::AtLeastOne)?;
        }
        for cost in &self.zone_costs {
            check_range("toll", *cost, Range::Any)?;
        }
        self.tenants.iter().try_for_each(Tenant::check)?;
        self.classes.iter().try_for_each(Class::check_ranges)?;
        self.classes.iter().try_for_each(Class::check_latency_objective)
    }

    fn check_general(&self) -> Result<(), SettingsError> {
        check_range("call-slots", self.max_concurrent_calls as f64, Range::AtLeastOne)?;
        check_range("max-open", self.max_open_messages as f64, Range::AtLeastOne)?;
        check_range("max-attempts", f64::from(self.max_attempts), Range::AtLeastOne)?;
        check_range("balancers", self.forwarders as f64, Range::AtLeastOne)?;
        check_range("cross-zone", self.cross_zone_cost, Range::Any)?;
        check_range("handshake", self.connection_cost, Range::Any)?;
        check_range("over-share-worth", self.over_quota_weight, Range::Any)?;
        check_range("cold-from", self.slow_start_floor, Range::AboveZeroToOne)?;
        check_range("fall-multiple", self.overload_multiple, Range::AboveZero)
    }
}

impl Tenant {
    fn check(&self) -> Result<(), SettingsError> {
        check_range("quota-per-s", self.quota_per_s, Range::AtLeastZero)
    }
}

impl Class {
    fn check_ranges(&self) -> Result<(), SettingsError> {
        check_range("deadline", self.deadline as f64, Range::AboveZero)?;
        check_range("gain", self.priority_weight, Range::AtLeastZero)?;
        check_range("late-worth", self.weight_at_deadline, Range::ZeroToOne)
    }

    fn check_latency_objective(&self) -> Result<(), SettingsError> {
        if self.latency_objective <= self.deadline {
            return Ok(());
        }
        let (objective_ms, deadline_ms) = (self.latency_objective / 1000, self.deadline / 1000);
        let message =
            format!("setting `promise`: {objective_ms} ms is longer than the deadline of {deadline_ms} ms");
        Err(SettingsError(message))
    }
}
