//! The command `fleet`: simulates a scenario with fleets of several sizes.

use crate::scenario_commands::LoadedScenario;
use cedarbridge_rehearsal::experiment::InputError;
use cedarbridge_rehearsal::fleet::{self, Row, TurnOrder};
use clap::Args;
use std::path::{Path, PathBuf};
use std::time::Instant;

/// The options of the command `fleet`.
#[derive(Args)]
pub struct FleetOptions {
    /// The numbers of forwarders, in place of the scenario's
    #[arg(long, value_name = "COUNT", value_delimiter = ',')]
    counts: Vec<usize>,
    /// Runs for each fleet, in place of the scenario's
    #[arg(long)]
    seeds: Option<usize>,
    /// Simulate each fleet also with turns at random
    #[arg(long = "chance")]
    random_turns: bool,
    /// Where to write the HTML page with plots
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
    /// Where to write the figures as JSON; `-` prints them in place of the table
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

/// Simulates a scenario with each of its fleets, and with a single forwarder as the reference. Returns whether the fleets
/// met the scenario's expectations.
///
/// # Errors
/// The scenario has errors or no section `fleet`, or an output file cannot be written.
pub fn fleet(path: &Path, options: &FleetOptions) -> Result<bool, InputError> {
    let loaded = LoadedScenario::read(path)?;
    let scenario = &loaded.scenario;
    let Some(section) = &scenario.fleet else {
        return Err(InputError::Rejected(format!(
            "{}:1:1: the scenario has no section `fleet`",
            path.display()
        )));
    };
    let counts = match &options.counts[..] {
        [] => section.value.counts.iter().map(|c| c.value).collect(),
        given => given.to_vec(),
    };
    if counts.contains(&0) || options.seeds == Some(0) {
        return Err(InputError::InvalidValues(
            path.into(),
            "`--counts` and `--seeds` must be at least 1".into(),
        ));
    }
    let runs = options.seeds.unwrap_or(section.value.seeds) as u64;
    let mut fleets = vec![(1, TurnOrder::Single)];
    for count in counts {
        fleets.push((count, TurnOrder::Indexed));
        fleets.extend(options.random_turns.then_some((count, TurnOrder::Random)));
    }
    let mut rows = Vec::new();
    for (count, turn_order) in fleets {
        let started = Instant::now();
        let seeds = scenario.seed..scenario.seed + runs;
        let run = |seed| -> Result<_, InputError> {
            let route_table =
                loaded.load_routes(&fleet::build_fleet_environment(scenario, count, turn_order, seed))?;
            Ok(fleet::simulate_fleet_run(scenario, route_table, count, turn_order, seed))
        };
        rows.push(Row { count, turn_order, runs: seeds.map(run).collect::<Result<_, _>>()? });
        eprintln!(
            "{count} forwarders, {}: {runs} runs in {:.1} s",
            turn_order.progress_label(),
            started.elapsed().as_secs_f64()
        );
    }
    let unwritable = |path: &Path| {
        let path = path.to_owned();
        move |e| InputError::Unreadable(path, e)
    };
    let json = format!("{:#}\n", fleet::as_json(scenario, &rows));
    match &options.json {
        Some(to) if to.as_os_str() == "-" => print!("{json}"),
        Some(to) => std::fs::write(to, json).map_err(unwritable(to))?,
        None => {}
    }
    if options.json.as_ref().is_none_or(|to| to.as_os_str() != "-") {
        print!("{}", fleet::table(scenario, &rows));
    }
    if let Some(to) = &options.html {
        std::fs::write(to, fleet::page(scenario, &rows).expect("plots of finite figures"))
            .map_err(unwritable(to))?;
    }
    let unmet = fleet::unmet_expectations(scenario, &rows);
    unmet.iter().for_each(|reason| eprintln!("NOT AS EXPECTED: {reason}"));
    Ok(unmet.is_empty())
}
