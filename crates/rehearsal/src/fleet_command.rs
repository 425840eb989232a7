//! The command `fleet`.

use crate::rehearsal::LoadedScenario;
use cedarbridge_rehearsal::experiment::InputError;
use cedarbridge_rehearsal::fleet::{self, Row, TurnOrder};
use clap::Args;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// How fleets of several sizes are played.
#[derive(Args)]
pub struct FleetOptions {
    /// The sizes, in place of the scenario's
    #[arg(long, value_name = "COUNT", value_delimiter = ',')]
    counts: Vec<usize>,
    /// Days for each, in place of the scenario's
    #[arg(long)]
    seeds: Option<usize>,
    /// Play each size also with turns by chance
    #[arg(long)]
    chance: bool,
    /// Where to write the page with plots
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Where to write the figures as JSON; `-` prints them in place of the table
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Plays a scenario in virtual time with each of its fleets, and one forwarder in place of all; true if all was as
/// expected.
pub fn fleet(path: &Path, options: &FleetOptions) -> Result<bool, InputError> {
    let ready = LoadedScenario::read(path)?;
    let scenario = &ready.scenario;
    let Some(section) = &scenario.fleet else {
        return Err(InputError::Rejected(format!("{}:1:1: it has no section `fleet`", path.display())));
    };
    let counts = match &options.counts[..] {
        [] => section.value.counts.iter().map(|c| c.value).collect(),
        given => given.to_vec(),
    };
    if counts.contains(&0) || options.seeds == Some(0) {
        return Err(InputError::InvalidFigures(
            path.into(),
            "`--counts` and `--seeds` are 1 at least".into(),
        ));
    }
    let days = options.seeds.unwrap_or(section.value.seeds) as u64;
    let mut fleets = vec![(1, TurnOrder::Single)];
    for count in counts {
        fleets.push((count, TurnOrder::Numbered));
        fleets.extend(options.chance.then_some((count, TurnOrder::Random)));
    }
    let mut rows = Vec::new();
    for (count, turns) in fleets {
        let begun = Instant::now();
        let seeds = scenario.seed..scenario.seed + days;
        let one = |seed| -> Result<_, InputError> {
            let plan = ready.plan(&fleet::draw(scenario, count, turns, seed))?;
            Ok(fleet::simulate_fleet_day(scenario, plan, count, turns, seed))
        };
        rows.push(Row { count, turns, days: seeds.map(one).collect::<Result<_, _>>()? });
        eprintln!(
            "{count} forwarders, {}: {days} days in {:.1} s",
            turns.progress_label(),
            begun.elapsed().as_secs_f64()
        );
    }
    let unread = |path: &Path| {
        let path = path.to_owned();
        move |e| InputError::Unreadable(path, e)
    };
    let json = format!("{:#}\n", fleet::as_json(scenario, &rows));
    match &options.json {
        Some(to) if to.as_os_str() == "-" => print!("{json}"),
        Some(to) => std::fs::write(to, json).map_err(unread(to))?,
        None => {}
    }
    if options.json.as_ref().is_none_or(|to| to.as_os_str() != "-") {
        print!("{}", fleet::table(scenario, &rows));
    }
    if let Some(to) = &options.html {
        std::fs::write(to, fleet::page(scenario, &rows).expect("plots of finite figures"))
            .map_err(unread(to))?;
    }
    let unmet = fleet::unmet(scenario, &rows);
    unmet.iter().for_each(|what| eprintln!("NOT AS EXPECTED: {what}"));
    Ok(unmet.is_empty())
}
