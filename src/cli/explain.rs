//! `explain`: which entry wins for a message and why, and the worst case that follows.

use super::{print, CommandError, Files, PlatformSettings};
use crate::durations::format_duration;
use crate::policy::max_attempt_timeout;
use crate::routes::{worst_case, Route, RouteTable, Timing, WorstCaseAttempt, MAX_ATTEMPTS_PER_MESSAGE};
use crate::settings_json::index_of;
use crate::{Class, ClassId, DestinationId, KindId, Micros};
use clap::Args;
use serde_json::{json, Value};
use std::fmt::Write;

#[derive(Args)]
pub struct ExplainArgs {
    #[command(flatten)]
    files: Files,
    /// The number of a destination; without it, one that no entry names
    #[arg(long, value_name = "N")]
    destination: Option<u64>,
    /// A class; without it, each
    #[arg(long, value_name = "NAME")]
    class: Option<String>,
    /// A kind; without it, that of the destination if the configuration lists it, or else each
    #[arg(long, value_name = "NAME")]
    kind: Option<String>,
}

/// A message of which everything is known that an entry can match.
struct Case<'a> {
    destination: Option<u64>,
    kind: KindId,
    class: ClassId,
    of: &'a PlatformSettings,
    plan: &'a RouteTable,
}

/// The kind that the configuration's list gives a destination.
fn listed_kind(of: &PlatformSettings, destination: u64) -> Option<KindId> {
    let config: Value = serde_json::from_str(&of.json).ok()?;
    let all = config.get("known")?.get("instances")?.as_array()?;
    let entry = all.iter().find(|e| e["cell"].as_u64() == Some(destination))?;
    index_of(&of.names.kinds, entry["machineType"].as_str()?, "kind").ok().map(KindId)
}

fn chosen_indexes(
    all: &[String],
    given: Option<&str>,
    what: &'static str,
) -> Result<Vec<usize>, CommandError> {
    match given {
        None => Ok((0..all.len()).collect()),
        Some(name) => index_of(all, name, what)
            .map(|at| vec![at])
            .map_err(|e| CommandError::Usage(format!("{e}; the settings list {}", all.join(", ")))),
    }
}

impl Case<'_> {
    fn class(&self) -> &Class {
        &self.of.settings.classes[self.class.0]
    }

    fn matching(&self) -> Vec<&Route> {
        // A number that no entry names stands for all that none names.
        let to = DestinationId(self.destination.unwrap_or(u64::MAX));
        self.plan.matching(to, Some(self.kind), self.class)
    }

    fn timing(&self) -> Timing {
        self.matching().first().map_or(Timing::default(), |r| r.timing)
    }

    /// When a message that nothing delivers ends at the latest, counted from its hand-in.
    fn end(&self) -> Micros {
        self.timing().ends_at(0, self.class().deadline)
    }

    /// The attempts of the worst case: of those that are allowed, as many as begin in time.
    fn steps(&self) -> Vec<WorstCaseAttempt> {
        let timing = self.timing();
        let timeout = timing.attempt_timeout(max_attempt_timeout(self.class().idempotency));
        let most = timing.max_attempts(self.of.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE));
        let end = self.end();
        let all = worst_case(&timing, timeout, most).into_iter().filter(|s| s.starts_at < end);
        all.map(|s| WorstCaseAttempt { abandoned_at: s.abandoned_at.min(end), ..s }).collect()
    }

    fn title(&self) -> String {
        let (kinds, classes) = (&self.of.names.kinds, &self.of.names.classes);
        let to = self.destination.map_or("any destination not named".into(), |d| format!("destination {d}"));
        format!("{to}, kind {}, class {}", kinds[self.kind.0], classes[self.class.0])
    }

    fn why(&self) -> String {
        let matching = self.matching();
        let Some((first, rest)) = matching.split_first() else {
            return "no entry matches: as without a site file".into();
        };
        let names = &self.of.names;
        let mut why = format!("matches {}", first.criteria.describe(names));
        for r in rest {
            let _ = write!(
                why,
                "; more specific than `{}` (line {}: {})",
                r.name,
                r.line,
                r.criteria.describe(names)
            );
        }
        why
    }

    fn text(&self, file: &str) -> String {
        let (t, mut out) = (self.timing(), self.title());
        let entry = self.matching().first().map(|r| format!("`{}` ({file}:{})", r.name, r.line));
        let _ = write!(out, "\n  entry        {}", entry.unwrap_or("none".into()));
        let _ = write!(out, "\n  why          {}", self.why());
        let module = || "left to the module".to_owned();
        let _ = write!(out, "\n  timeout      {}", t.timeout.map_or_else(module, format_duration));
        let most = t.max_attempts(self.of.settings.max_attempts.min(MAX_ATTEMPTS_PER_MESSAGE));
        let _ = write!(out, "\n  attempts     {most} at most");
        let pause = t
            .pause
            .map(|p| format!("{}, doubled up to {}", format_duration(p.first), format_duration(p.max)));
        let _ = write!(out, "\n  pause        {}", pause.unwrap_or_else(module));
        let copy = t
            .hedge_after
            .map(|a| format!("{} after an attempt began that was cut, elsewhere", format_duration(a)));
        let _ = write!(out, "\n  second copy  {}", copy.unwrap_or("none".into()));
        let _ = write!(
            out,
            "\n  ends         {} after it was handed in, at the latest",
            format_duration(self.end())
        );
        let _ = write!(out, "\n  worst case   attempt    begins       cut");
        for s in self.steps() {
            let (begins, ends) = (format_duration(s.starts_at), format_duration(s.abandoned_at));
            let _ = write!(out, "\n               {:>7} {begins:>9} {ends:>9}", s.number);
        }
        out + "\n"
    }

    fn json(&self) -> Value {
        let t = self.timing();
        let ms = |t: Micros| t as f64 / 1e3;
        let matching = self.matching();
        let also: Vec<_> = matching.iter().skip(1).map(|r| json!({"name": r.name, "line": r.line})).collect();
        let step = |s: &WorstCaseAttempt| json!({"attempt": s.number, "begins_ms": ms(s.starts_at), "cut_ms": ms(s.abandoned_at)});
        json!({
            "destination": self.destination, "kind": self.of.names.kinds[self.kind.0],
            "class": self.of.names.classes[self.class.0],
            "entry": matching.first().map(|r| json!({"name": r.name, "line": r.line})),
            "why": self.why(), "also_matching": also,
            "timeout_ms": t.timeout.map(ms), "attempts": t.attempts,
            "pause_ms": t.pause.map(|p| [ms(p.first), ms(p.max)]), "second_copy_ms": t.hedge_after.map(ms),
            "ends_ms": ms(self.end()), "worst_case": self.steps().iter().map(step).collect::<Vec<_>>(),
        })
    }
}

impl ExplainArgs {
    pub fn run(self) -> Result<(), CommandError> {
        let of = self.files.platform()?;
        let site = self.files.valid_site(&of)?;
        let classes = chosen_indexes(&of.names.classes, self.class.as_deref(), "class")?;
        let mut kinds = chosen_indexes(&of.names.kinds, self.kind.as_deref(), "kind")?;
        if self.kind.is_none() {
            let listed = self.destination.and_then(|d| listed_kind(&of, d));
            kinds = listed.map_or(kinds, |k| vec![k.0]);
        }
        let plan = &site.routes;
        let cases = kinds.iter().flat_map(|k| classes.iter().map(move |c| (KindId(*k), ClassId(*c))));
        let cases: Vec<Case<'_>> = cases
            .map(|(kind, class)| Case { destination: self.destination, kind, class, of: &of, plan })
            .collect();
        if self.files.json {
            print(&Value::from(cases.iter().map(Case::json).collect::<Vec<_>>()).to_string());
        } else {
            let file = self.files.site.display().to_string();
            let all: Vec<String> = cases.iter().map(|c| c.text(&file)).collect();
            print(all.join("\n").trim_end());
        }
        Ok(())
    }
}
