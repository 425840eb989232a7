//! The figures of an entry, checked against each other, the settings and the classes that the entry is for.

use super::plan::MatchShape;
use super::{worst_case, Platform, Timing, WrittenRoute, MAX_ATTEMPTS_PER_MESSAGE};
use crate::config_error::{ConfigError, ErrorCode, Position};
use crate::durations::format_duration;
use crate::policy::max_attempt_timeout;
use crate::{Class, Idempotency, Micros};

/// Checks the figures of an entry. Of several classes the one with the least slack is reported.
pub(super) fn check_timing(
    entry: &WrittenRoute,
    shape: MatchShape,
    timing: &Timing,
    platform: Platform<'_>,
    errors: &mut Vec<ConfigError>,
) {
    let attempts_are_allowed = check_attempts(entry, platform, errors);
    let classes = matching_classes(entry, shape, timing, platform);
    check_hedge(entry, timing, &classes, platform.settings.may_hedge, errors);
    if let Some(earliest) = classes.iter().min_by_key(|checked| checked.class.deadline) {
        earliest.check_abandon_after(errors);
    }
    if !attempts_are_allowed {
        return;
    }
    let slack = |checked: &&ClassCheck<'_>| checked.class.deadline.saturating_sub(checked.worst_end());
    if let Some(tightest) = classes.iter().min_by_key(slack) {
        tightest.check_end(errors);
    }
    let keyed = classes.iter().filter(|checked| checked.class.idempotency == Idempotency::WithKey);
    if let Some(shortest) = keyed.min_by_key(|checked| checked.class.deduplication_window) {
        shortest.check_deduplication_window(errors);
    }
}

/// Whether the number of attempts is allowed, or not given.
fn check_attempts(entry: &WrittenRoute, platform: Platform<'_>, errors: &mut Vec<ConfigError>) -> bool {
    let allowed = platform.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE);
    let Some(attempts) = entry.attempts else { return true };
    let problem = match attempts.value {
        0 => "0 attempts would send nothing".into(),
        count if count > u64::from(MAX_ATTEMPTS_PER_MESSAGE) => {
            format!("{count} attempts are more than any message may have")
        }
        count if count > u64::from(allowed) => {
            format!("{count} attempts are more than `max-attempts` of the settings allows")
        }
        _ => return true,
    };
    let reason = format!("{problem}; 1 to {allowed} are right");
    errors.push(ConfigError::new(attempts.at, ErrorCode::Attempts, reason));
    false
}

fn matching_classes<'a>(
    entry: &'a WrittenRoute,
    shape: MatchShape,
    timing: &'a Timing,
    platform: Platform<'a>,
) -> Vec<ClassCheck<'a>> {
    let classes = platform.settings.classes.iter().zip(&platform.names.classes).enumerate();
    let matching = classes.filter(|(index, _)| shape.class.is_none_or(|class| class.0 == *index));
    let min_step_interval = platform.settings.min_step_interval;
    matching.map(|(_, (class, name))| ClassCheck { entry, timing, class, name, min_step_interval }).collect()
}

fn check_hedge(
    entry: &WrittenRoute,
    timing: &Timing,
    classes: &[ClassCheck<'_>],
    settings_allow_hedging: bool,
    errors: &mut Vec<ConfigError>,
) {
    let Some(after) = entry.hedge_after else { return };
    let longest_timeout = classes.iter().map(ClassCheck::attempt_timeout).max().unwrap_or(0);
    if after.value < longest_timeout {
        let (copy, cut) = (format_duration(after.value), format_duration(longest_timeout));
        let mut reason = format!(
            "a second copy after {copy} would go out while the first may be out for {cut}; `after` must be {cut} \
             or more"
        );
        if timing.timeout.is_none() {
            reason += ", or a `timeout` be set";
        }
        if settings_allow_hedging {
            reason += " (that the settings allow two at once changes nothing: a message never has two out)";
        }
        errors.push(ConfigError::new(after.at, ErrorCode::HedgedRequest, reason));
    }
    let mut classes = classes.iter();
    if let Some(single) = classes.find(|checked| checked.class.idempotency == Idempotency::NonIdempotent) {
        let reason = format!(
            "class `{}` allows one attempt that may have run, and a second copy would be another; leave it out, \
             or match other classes only",
            single.name
        );
        errors.push(ConfigError::new(after.at, ErrorCode::NonIdempotent, reason));
    }
}

/// An entry checked against one class that it is for.
struct ClassCheck<'a> {
    entry: &'a WrittenRoute,
    timing: &'a Timing,
    class: &'a Class,
    name: &'a str,
    min_step_interval: Micros,
}

impl ClassCheck<'_> {
    /// How long an attempt may be in flight.
    fn attempt_timeout(&self) -> Micros {
        self.timing.attempt_timeout(max_attempt_timeout(self.class.idempotency))
    }

    /// The attempts that the entry sets: what it leaves to the policy ends in time by itself.
    fn attempts(&self) -> u32 {
        let copies = 1 + u32::from(self.timing.hedge_after.is_some());
        let default = if self.timing.timeout.is_some() { copies } else { copies - 1 };
        self.timing.attempts.unwrap_or(default)
    }

    /// The end of the worst case of so many attempts, counted from the receipt of the message.
    fn worst_end_of(&self, attempts: u32) -> Micros {
        let worst_case = worst_case(self.timing, self.attempt_timeout(), attempts);
        worst_case.last().map_or(0, |attempt| attempt.abandoned_at)
    }

    fn worst_end(&self) -> Micros {
        self.worst_end_of(self.attempts())
    }

    /// Where an error of the sum is reported.
    fn sum_position(&self) -> Position {
        let attempts = self.entry.attempts.map(|attempts| attempts.at);
        let timeout = self.entry.timeout.map(|timeout| timeout.at);
        attempts.or(timeout).unwrap_or(self.entry.at)
    }

    /// How the worst case adds up.
    fn describe_sum(&self) -> String {
        let timeout = format_duration(self.attempt_timeout());
        let is_set = self.timing.timeout.is_some();
        let origin = if is_set { "" } else { ", the longest that is left to the module," };
        let has_pauses = self.timing.pause.is_some() || self.timing.hedge_after.is_some();
        let pauses = if has_pauses { " with what lies between them" } else { "" };
        let end = format_duration(self.worst_end());
        format!("{} attempts of {timeout}{origin}{pauses} may take {end}", self.attempts())
    }

    /// How many attempts would end in time.
    fn describe_fitting(&self, limit: Micros) -> String {
        let fits = |attempts: &u32| self.worst_end_of(*attempts) + self.min_step_interval <= limit;
        match (1..self.attempts()).rev().find(fits) {
            Some(1) => "1 attempt would fit".into(),
            Some(count) => format!("{count} attempts would fit"),
            None => format!("a `timeout` under {} is needed", format_duration(limit)),
        }
    }

    fn check_abandon_after(&self, errors: &mut Vec<ConfigError>) {
        let Some(after) = self.entry.abandon_after.filter(|after| after.value > self.class.deadline) else {
            return;
        };
        let (given, deadline) = (format_duration(after.value), format_duration(self.class.deadline));
        let reason = format!(
            "give-up after {given} lies beyond the deadline {deadline} of class `{}`; {deadline} at most is right",
            self.name
        );
        errors.push(ConfigError::new(after.at, ErrorCode::Deadline, reason));
    }

    fn check_end(&self, errors: &mut Vec<ConfigError>) {
        let end = self.worst_end() + self.min_step_interval;
        let deadline = self.class.deadline;
        if end > deadline {
            let reason = format!(
                "{}, which cannot end before the deadline {} of class `{}`; {}",
                self.describe_sum(),
                format_duration(deadline),
                self.name,
                self.describe_fitting(deadline)
            );
            errors.push(ConfigError::new(self.sum_position(), ErrorCode::Deadline, reason));
        }
        if let Some(after) = self.entry.abandon_after.filter(|after| end > after.value) {
            let reason = format!(
                "{}, which cannot end before the give-up after {}; {}",
                self.describe_sum(),
                format_duration(after.value),
                self.describe_fitting(after.value)
            );
            errors.push(ConfigError::new(after.at, ErrorCode::AbandonAfter, reason));
        }
    }

    fn check_deduplication_window(&self, errors: &mut Vec<ConfigError>) {
        let attempts = worst_case(self.timing, self.attempt_timeout(), self.attempts());
        let window = self.class.deduplication_window;
        let mut repeats = attempts.iter().skip(1);
        let Some(late) = repeats.find(|repeat| repeat.starts_at + self.min_step_interval >= window) else {
            return;
        };
        let reason = format!(
            "attempt {} could begin {} after the first that may have run, but repeats of class `{}` are dropped \
             only for {}; {} at most are right",
            late.number,
            format_duration(late.starts_at),
            self.name,
            format_duration(window),
            late.number - 1
        );
        errors.push(ConfigError::new(self.sum_position(), ErrorCode::DeduplicationWindow, reason));
    }
}
