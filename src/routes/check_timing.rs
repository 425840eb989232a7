//! Checks the timing of a route against itself, the settings and the classes that the route matches.

use super::table::MatchCriteria;
use super::{worst_case, NamedSettings, ParsedRoute, RouteTiming, MAX_ATTEMPTS_PER_MESSAGE};
use crate::config_error::{ConfigError, ErrorCode, Position};
use crate::durations::format_duration;
use crate::policy::max_attempt_timeout;
use crate::{Class, Idempotency, Micros};

/// Checks the timing of a route. If several matching classes have the same error, only that of the most restrictive one
/// is reported.
pub(super) fn check_timing(
    route: &ParsedRoute,
    criteria: MatchCriteria,
    timing: &RouteTiming,
    platform: NamedSettings<'_>,
    errors: &mut Vec<ConfigError>,
) {
    let attempts_are_allowed = check_attempts(route, platform, errors);
    let classes = matching_classes(route, criteria, timing, platform);
    check_second_copy(route, timing, &classes, platform.settings.may_hedge, errors);
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
    let with_idempotency_key =
        classes.iter().filter(|checked| checked.class.idempotency == Idempotency::WithKey);
    if let Some(shortest) = with_idempotency_key.min_by_key(|checked| checked.class.deduplication_window) {
        shortest.check_deduplication_window(errors);
    }
}

/// Checks the number of attempts; returns whether it is allowed or left out.
fn check_attempts(route: &ParsedRoute, platform: NamedSettings<'_>, errors: &mut Vec<ConfigError>) -> bool {
    let allowed = platform.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE);
    let Some(attempts) = route.attempts else { return true };
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
    let reason = format!("{problem}; 1 to {allowed} are allowed");
    errors.push(ConfigError::new(attempts.at, ErrorCode::Attempts, reason));
    false
}

fn matching_classes<'a>(
    route: &'a ParsedRoute,
    criteria: MatchCriteria,
    timing: &'a RouteTiming,
    platform: NamedSettings<'a>,
) -> Vec<ClassCheck<'a>> {
    let classes = platform.settings.classes.iter().zip(&platform.names.classes).enumerate();
    let matching = classes.filter(|(index, _)| criteria.class.is_none_or(|class| class.0 == *index));
    let min_step_interval = platform.settings.min_step_interval;
    matching.map(|(_, (class, name))| ClassCheck { route, timing, class, name, min_step_interval }).collect()
}

fn check_second_copy(
    route: &ParsedRoute,
    timing: &RouteTiming,
    classes: &[ClassCheck<'_>],
    settings_allow_second_copies: bool,
    errors: &mut Vec<ConfigError>,
) {
    let Some(after) = route.hedge_after else { return };
    let longest_timeout = classes.iter().map(ClassCheck::attempt_timeout).max().unwrap_or(0);
    if after.value < longest_timeout {
        let (delay, timeout) = (format_duration(after.value), format_duration(longest_timeout));
        let mut reason = format!(
            "a second copy after {delay} would be sent while the first may be in flight for {timeout}; `after` must be \
             {timeout} or more"
        );
        if timing.timeout.is_none() {
            reason += ", or a `timeout` must be set";
        }
        if settings_allow_second_copies {
            reason +=
                " (although the settings allow `second-copies`, a message never has two attempts in flight)";
        }
        errors.push(ConfigError::new(after.at, ErrorCode::HedgedRequest, reason));
    }
    let mut classes = classes.iter();
    if let Some(non_idempotent) =
        classes.find(|checked| checked.class.idempotency == Idempotency::NonIdempotent)
    {
        let reason = format!(
            "class `{}` allows only one attempt that may have run, and a second copy would be another; remove \
             `second-copy`, or match other classes only",
            non_idempotent.name
        );
        errors.push(ConfigError::new(after.at, ErrorCode::NonIdempotent, reason));
    }
}

/// Checks a route against one class that it matches.
struct ClassCheck<'a> {
    route: &'a ParsedRoute,
    timing: &'a RouteTiming,
    class: &'a Class,
    name: &'a str,
    min_step_interval: Micros,
}

impl ClassCheck<'_> {
    /// The longest time that an attempt may be in flight.
    fn attempt_timeout(&self) -> Micros {
        self.timing.attempt_timeout(max_attempt_timeout(self.class.idempotency))
    }

    /// The number of attempts to check: the route's `attempts`, or else those whose timing the route sets, which are
    /// the first if it has a `timeout` and one more if it has a `second-copy`. The policy times other attempts so that
    /// they end in time.
    fn attempts(&self) -> u32 {
        let with_second_copy = 1 + u32::from(self.timing.hedge_after.is_some());
        let default = if self.timing.timeout.is_some() { with_second_copy } else { with_second_copy - 1 };
        self.timing.attempts.unwrap_or(default)
    }

    /// The end of the worst case of the given number of attempts, counted from the receipt of the message.
    fn worst_end_of(&self, attempts: u32) -> Micros {
        let worst_case = worst_case(self.timing, self.attempt_timeout(), attempts);
        worst_case.last().map_or(0, |attempt| attempt.times_out_at)
    }

    fn worst_end(&self) -> Micros {
        self.worst_end_of(self.attempts())
    }

    /// The position at which an error of the worst case is reported.
    fn worst_case_position(&self) -> Position {
        let attempts = self.route.attempts.map(|attempts| attempts.at);
        let timeout = self.route.timeout.map(|timeout| timeout.at);
        attempts.or(timeout).unwrap_or(self.route.at)
    }

    /// Describes how long the attempts take in the worst case.
    fn describe_worst_case(&self) -> String {
        let timeout = format_duration(self.attempt_timeout());
        let is_set = self.timing.timeout.is_some();
        let origin = if is_set { "" } else { " (the longest default, as the route sets no `timeout`)" };
        let has_pauses = self.timing.pause.is_some() || self.timing.hedge_after.is_some();
        let pauses = if has_pauses { ", with the pauses between them," } else { "" };
        let end = format_duration(self.worst_end());
        format!("{} attempts of {timeout} each{origin}{pauses} may take {end}", self.attempts())
    }

    /// Describes how many attempts would end before the limit.
    fn describe_fitting(&self, limit: Micros) -> String {
        let fits = |attempts: &u32| self.worst_end_of(*attempts) + self.min_step_interval <= limit;
        match (1..self.attempts()).rev().find(fits) {
            Some(1) => "only 1 attempt fits".into(),
            Some(count) => format!("only {count} attempts fit"),
            None => format!("a `timeout` under {} is needed", format_duration(limit)),
        }
    }

    fn check_abandon_after(&self, errors: &mut Vec<ConfigError>) {
        let Some(after) = self.route.abandon_after.filter(|after| after.value > self.class.deadline) else {
            return;
        };
        let (given, deadline) = (format_duration(after.value), format_duration(self.class.deadline));
        let reason = format!(
            "`give-up` after {given} is later than the deadline {deadline} of class `{}`; it must be {deadline} or less",
            self.name
        );
        errors.push(ConfigError::new(after.at, ErrorCode::Deadline, reason));
    }

    fn check_end(&self, errors: &mut Vec<ConfigError>) {
        let end = self.worst_end() + self.min_step_interval;
        let deadline = self.class.deadline;
        if end > deadline {
            let reason = format!(
                "{}, which is too long for the deadline {} of class `{}`; {}",
                self.describe_worst_case(),
                format_duration(deadline),
                self.name,
                self.describe_fitting(deadline)
            );
            errors.push(ConfigError::new(self.worst_case_position(), ErrorCode::Deadline, reason));
        }
        if let Some(after) = self.route.abandon_after.filter(|after| end > after.value) {
            let reason = format!(
                "{}, which is too long for `give-up` after {}; {}",
                self.describe_worst_case(),
                format_duration(after.value),
                self.describe_fitting(after.value)
            );
            errors.push(ConfigError::new(after.at, ErrorCode::AbandonAfter, reason));
        }
    }

    fn check_deduplication_window(&self, errors: &mut Vec<ConfigError>) {
        let attempts = worst_case(self.timing, self.attempt_timeout(), self.attempts());
        let window = self.class.deduplication_window;
        let mut retries = attempts.iter().skip(1);
        let Some(late) = retries.find(|retry| retry.starts_at + self.min_step_interval >= window) else {
            return;
        };
        let reason = format!(
            "attempt {} could start {} after the first that may have run, but duplicates of class `{}` are dropped \
             only for {}; the route may allow at most {} attempts",
            late.number,
            format_duration(late.starts_at),
            self.name,
            format_duration(window),
            late.number - 1
        );
        errors.push(ConfigError::new(self.worst_case_position(), ErrorCode::DeduplicationWindow, reason));
    }
}
