//! The `explain` command: shows which route of a site file applies to a message and why, and the worst case of its
//! attempts.

use super::{print, CommandError, Files, PlatformSettings};
use crate::durations::format_duration;
use crate::policy::max_attempt_timeout;
use crate::routes::{worst_case, Route, RouteTable, RouteTiming, WorstCaseAttempt, MAX_ATTEMPTS_PER_MESSAGE};
use crate::settings_json::index_of;
use crate::{Class, ClassId, DestinationId, KindId, Micros};
use clap::Args;
use serde_json::{json, Value};
use std::fmt::Write;

#[derive(Args)]
pub struct ExplainArgs {
    #[command(flatten)]
    files: Files,
    /// The number of the destination; by default one that no route names
    #[arg(long, value_name = "N")]
    destination: Option<u64>,
    /// The class; by default all classes
    #[arg(long, value_name = "NAME")]
    class: Option<String>,
    /// The kind; by default that of the destination if the configuration lists it, otherwise all kinds
    #[arg(long, value_name = "NAME")]
    kind: Option<String>,
}

/// One case that `explain` describes: the messages with this destination, kind and class.
struct MessageCase<'a> {
    /// The number of the destination; `None` for any destination that no route names.
    destination: Option<u64>,
    kind: KindId,
    class: ClassId,
    platform: &'a PlatformSettings,
    route_table: &'a RouteTable,
}

/// The kind of a destination by the endpoint list in the configuration; `None` if it does not list the destination.
fn listed_kind(platform: &PlatformSettings, destination: u64) -> Option<KindId> {
    let config: Value = serde_json::from_str(&platform.json).ok()?;
    let instances = config.get("known")?.get("instances")?.as_array()?;
    let instance = instances.iter().find(|instance| instance["cell"].as_u64() == Some(destination))?;
    index_of(&platform.names.kinds, instance["machineType"].as_str()?, "kind").ok().map(KindId)
}

/// The index of the given name, or all indexes if none is given. `what` is the kind of name in the error text.
fn selected_indexes(
    names: &[String],
    given: Option<&str>,
    what: &'static str,
) -> Result<Vec<usize>, CommandError> {
    match given {
        None => Ok((0..names.len()).collect()),
        Some(name) => index_of(names, name, what)
            .map(|index| vec![index])
            .map_err(|error| CommandError::Usage(format!("{error}; the settings list {}", names.join(", ")))),
    }
}

impl MessageCase<'_> {
    fn class(&self) -> &Class {
        &self.platform.settings.classes[self.class.0]
    }

    /// The routes that match, the one that applies first.
    fn matching(&self) -> Vec<&Route> {
        // The highest number stands for all destinations that no route names.
        let destination = DestinationId(self.destination.unwrap_or(u64::MAX));
        self.route_table.matching(destination, Some(self.kind), self.class)
    }

    /// The timing of the route that applies; the default if no route matches.
    fn timing(&self) -> RouteTiming {
        self.matching().first().map_or(RouteTiming::default(), |route| route.timing)
    }

    /// The latest time at which an undelivered message ends, in microseconds since it was received.
    fn latest_end(&self) -> Micros {
        self.timing().ends_at(0, self.class().deadline)
    }

    /// The attempts of the worst case: those of the allowed attempts that start before the message ends.
    fn worst_case_attempts(&self) -> Vec<WorstCaseAttempt> {
        let timing = self.timing();
        let timeout = timing.attempt_timeout(max_attempt_timeout(self.class().idempotency));
        let max_attempts =
            timing.max_attempts(self.platform.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE));
        let end = self.latest_end();
        let attempts =
            worst_case(&timing, timeout, max_attempts).into_iter().filter(|attempt| attempt.starts_at < end);
        attempts
            .map(|attempt| WorstCaseAttempt { times_out_at: attempt.times_out_at.min(end), ..attempt })
            .collect()
    }

    /// The first line of the description: which messages the case stands for.
    fn title(&self) -> String {
        let (kinds, classes) = (&self.platform.names.kinds, &self.platform.names.classes);
        let destination = self
            .destination
            .map_or("any destination not named".into(), |destination| format!("destination {destination}"));
        format!("{destination}, kind {}, class {}", kinds[self.kind.0], classes[self.class.0])
    }

    /// Why the first of the matching routes applies.
    fn reason(&self) -> String {
        let matching = self.matching();
        let Some((first, rest)) = matching.split_first() else {
            return "no entry matches: as without a site file".into();
        };
        let names = &self.platform.names;
        let mut reason = format!("matches {}", first.criteria.describe(names));
        for route in rest {
            let _ = write!(
                reason,
                "; more specific than `{}` (line {}: {})",
                route.name,
                route.line,
                route.criteria.describe(names)
            );
        }
        reason
    }

    /// The description of the case as text. `file` is the path of the site file.
    fn text(&self, file: &str) -> String {
        let (timing, mut text) = (self.timing(), self.title());
        let route = self.matching().first().map(|route| format!("`{}` ({file}:{})", route.name, route.line));
        let _ = write!(text, "\n  entry        {}", route.unwrap_or("none".into()));
        let _ = write!(text, "\n  why          {}", self.reason());
        let policy_default = || "left to the module".to_owned();
        let _ =
            write!(text, "\n  timeout      {}", timing.timeout.map_or_else(policy_default, format_duration));
        let max_attempts =
            timing.max_attempts(self.platform.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE));
        let _ = write!(text, "\n  attempts     {max_attempts} at most");
        let pause = timing
            .pause
            .map(|p| format!("{}, doubled up to {}", format_duration(p.first), format_duration(p.max)));
        let _ = write!(text, "\n  pause        {}", pause.unwrap_or_else(policy_default));
        let hedge = timing
            .hedge_after
            .map(|a| format!("{} after an attempt began that was cut, elsewhere", format_duration(a)));
        let _ = write!(text, "\n  second copy  {}", hedge.unwrap_or("none".into()));
        let _ = write!(
            text,
            "\n  ends         {} after it was handed in, at the latest",
            format_duration(self.latest_end())
        );
        let _ = write!(text, "\n  worst case   attempt    begins       cut");
        for attempt in self.worst_case_attempts() {
            let (start, end) = (format_duration(attempt.starts_at), format_duration(attempt.times_out_at));
            let _ = write!(text, "\n               {:>7} {start:>9} {end:>9}", attempt.number);
        }
        text + "\n"
    }

    /// The description of the case as JSON, its times in milliseconds.
    fn json(&self) -> Value {
        let timing = self.timing();
        let ms = |duration: Micros| duration as f64 / 1e3;
        let matching = self.matching();
        let also_matching: Vec<_> =
            matching.iter().skip(1).map(|route| json!({"name": route.name, "line": route.line})).collect();
        let attempt_json = |attempt: &WorstCaseAttempt| json!({"attempt": attempt.number, "begins_ms": ms(attempt.starts_at), "cut_ms": ms(attempt.times_out_at)});
        json!({
            "destination": self.destination, "kind": self.platform.names.kinds[self.kind.0],
            "class": self.platform.names.classes[self.class.0],
            "entry": matching.first().map(|route| json!({"name": route.name, "line": route.line})),
            "why": self.reason(), "also_matching": also_matching,
            "timeout_ms": timing.timeout.map(ms), "attempts": timing.attempts,
            "pause_ms": timing.pause.map(|pause| [ms(pause.first), ms(pause.max)]),
            "second_copy_ms": timing.hedge_after.map(ms), "ends_ms": ms(self.latest_end()),
            "worst_case": self.worst_case_attempts().iter().map(attempt_json).collect::<Vec<_>>(),
        })
    }
}

impl ExplainArgs {
    pub fn run(self) -> Result<(), CommandError> {
        let platform = self.files.platform()?;
        let site = self.files.valid_site(&platform)?;
        let classes = selected_indexes(&platform.names.classes, self.class.as_deref(), "class")?;
        let mut kinds = selected_indexes(&platform.names.kinds, self.kind.as_deref(), "kind")?;
        if self.kind.is_none() {
            let listed = self.destination.and_then(|destination| listed_kind(&platform, destination));
            kinds = listed.map_or(kinds, |kind| vec![kind.0]);
        }
        let route_table = &site.routes;
        let cases =
            kinds.iter().flat_map(|kind| classes.iter().map(move |class| (KindId(*kind), ClassId(*class))));
        let cases: Vec<MessageCase<'_>> = cases
            .map(|(kind, class)| MessageCase {
                destination: self.destination,
                kind,
                class,
                platform: &platform,
                route_table,
            })
            .collect();
        if self.files.json {
            print(&Value::from(cases.iter().map(MessageCase::json).collect::<Vec<_>>()).to_string());
        } else {
            let file = self.files.site.display().to_string();
            let texts: Vec<String> = cases.iter().map(|case| case.text(&file)).collect();
            print(texts.join("\n").trim_end());
        }
        Ok(())
    }
}
