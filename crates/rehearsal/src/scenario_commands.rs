//! The commands that run scenarios: they load a scenario, run it, and write the reports.

use cedarbridge::routes::{NamedSettings, RouteTable};
use cedarbridge::site::Site;
use cedarbridge_rehearsal::audit::RuleViolation;
use cedarbridge_rehearsal::captured_traffic::CapturedTraffic;
use cedarbridge_rehearsal::environment::{Environment, RUN_START};
use cedarbridge_rehearsal::experiment::InputError;
use cedarbridge_rehearsal::figures::Figures;
use cedarbridge_rehearsal::live::proxy::ProxyFault;
use cedarbridge_rehearsal::live::{self, Options};
use cedarbridge_rehearsal::report::mean;
use cedarbridge_rehearsal::scenario::Scenario;
use cedarbridge_rehearsal::scenario_environment::build_environment;
use cedarbridge_rehearsal::simulation::{self, simulate_with_progress};
use cedarbridge_rehearsal::verdict::{self, RunReport, Verdict};
use cedarbridge_rehearsal::view;
use clap::Args;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The time between two progress lines of a long simulation.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The options that the commands `rehearse` and `simulate` share.
#[derive(Args, Clone, Default)]
pub struct RunOptions {
    /// The seed of the run, in place of the scenario's
    #[arg(long)]
    pub seed: Option<u64>,
    /// Captured traffic that replaces the generated messages
    #[arg(long, value_name = "FILE")]
    pub capture: Option<PathBuf>,
    /// Where to write the HTML page with plots
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Where to write the figures as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Where to write the verdict as JUnit XML
    #[arg(long, value_name = "FILE")]
    pub junit: Option<PathBuf>,
}

/// A scenario that was read and checked, together with its site file.
pub struct LoadedScenario {
    /// The checked content of the scenario file.
    pub scenario: Scenario,
    folder: PathBuf,
}

impl LoadedScenario {
    /// Reads and checks a scenario and its site file.
    ///
    /// # Errors
    /// A file cannot be read, or has errors; each is given with its position.
    pub fn read(path: &Path) -> Result<Self, InputError> {
        let scenario = Scenario::read(path).map_err(|errors| {
            let lines: Vec<String> = errors.iter().map(|e| format!("{}:{e}", path.display())).collect();
            InputError::Rejected(lines.join("\n"))
        })?;
        let folder = path.parent().unwrap_or(Path::new(".")).to_owned();
        let loaded = LoadedScenario { scenario, folder };
        loaded.load_routes(&build_environment(&loaded.scenario, 1, Some(&CapturedTraffic::default())))?;
        Ok(loaded)
    }

    /// The path of the site file that the forwarders run with; `None` to run without one.
    pub fn site(&self) -> Option<PathBuf> {
        self.scenario.forwarders.site.as_ref().map(|s| self.folder.join(s))
    }

    /// The routes of the site file, checked as the forwarder checks them; `None` without a site file.
    ///
    /// # Errors
    /// The site file cannot be read, or has errors.
    pub fn load_routes(&self, environment: &Environment) -> Result<Option<Arc<RouteTable>>, InputError> {
        let Some(site) = self.site() else { return Ok(None) };
        let text = std::fs::read_to_string(&site).map_err(|e| InputError::Unreadable(site.clone(), e))?;
        let site_file =
            Site::read(&text, NamedSettings { settings: &environment.settings, names: &environment.names });
        let to_lines = |errors: Vec<cedarbridge::config_error::ConfigError>| {
            let file = site.display().to_string();
            InputError::Rejected(errors.iter().map(|e| e.format_line(&file)).collect::<Vec<_>>().join("\n"))
        };
        Ok(Some(Arc::new(site_file.map_err(to_lines)?.routes)))
    }

    /// The options of a live run. Without a program, the forwarders run the code that this program was built with.
    fn options(
        &self,
        folder: &RunFolder,
        program: Option<&Path>,
        fault: Option<ProxyFault>,
        log_level: &str,
    ) -> Result<Options, InputError> {
        let own_program = std::env::current_exe().map_err(system_error)?;
        let forwarder_command = match program {
            Some(program) => {
                vec![program.canonicalize().map_err(|e| InputError::Unreadable(program.into(), e))?]
            }
            None => vec![own_program.clone(), "forwarder".into()],
        };
        let site =
            self.site().map(|s| s.canonicalize().map_err(|e| InputError::Unreadable(s, e))).transpose()?;
        let time_limit = Duration::from_micros(self.scenario.time_limit.0);
        Ok(Options {
            forwarder_command,
            launcher: own_program,
            folder: folder.0.clone(),
            site,
            log_level: log_level.into(),
            proxy_fault: fault,
            time_limit,
        })
    }

    /// Builds the environment and the routes of a run.
    ///
    /// # Errors
    /// The captured traffic or the site file cannot be read, or has errors.
    pub fn prepare_run(&self, options: &RunOptions) -> Result<PreparedRun, InputError> {
        let captured = match &options.capture {
            Some(path) => {
                Some(CapturedTraffic::read(path).map_err(|e| InputError::Unreadable(path.clone(), e))?)
            }
            None => None,
        };
        let seed = options.seed.unwrap_or(self.scenario.seed);
        let environment = build_environment(&self.scenario, seed, captured.as_ref());
        let route_table = self.load_routes(&environment)?;
        Ok(PreparedRun { environment, seed, route_table })
    }
}

/// What is needed to start a run.
pub struct PreparedRun {
    /// The environment of the run.
    pub environment: Environment,
    /// The seed of the run.
    pub seed: u64,
    /// The routes of the site file; `None` without a site file.
    pub route_table: Option<Arc<RouteTable>>,
}

/// The options of a live rehearsal only.
#[derive(Args)]
pub struct LiveOptions {
    /// The forwarder's program; by default the forwarder that this program was built with
    #[arg(long, value_name = "PROGRAM")]
    pub daemon: Option<PathBuf>,
    /// Where to keep the forwarders' files and logs; by default they are removed after the run
    #[arg(long = "keep", value_name = "FOLDER")]
    pub kept_folder: Option<PathBuf>,
    /// The forwarders' log level; with `debug` the log has a line for each received message, which `capture` reads
    #[arg(long, value_name = "LEVEL", default_value = "warning")]
    pub log_level: String,
    /// Print progress lines in place of the interactive view, also on a terminal
    #[arg(long)]
    pub plain: bool,
    /// A fault of a proxy between forwarders and their peers, to test that the audit detects it
    #[arg(long, hide = true)]
    pub fault: Option<ProxyFault>,
}

/// The folder of a run's files, and whether it is kept. If not, it is removed when this is dropped.
struct RunFolder(PathBuf, bool);

/// An error of the system that concerns no file of the user.
fn system_error(e: std::io::Error) -> InputError {
    InputError::Unreadable(PathBuf::from("this machine"), e)
}

impl RunFolder {
    fn kept(path: &Path) -> Result<Self, InputError> {
        std::fs::create_dir_all(path).map_err(system_error)?;
        Ok(RunFolder(path.to_owned(), true))
    }

    fn temporary() -> Result<Self, InputError> {
        let path = std::env::temp_dir().join(format!("cedarbridge-rehearsal-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(system_error)?;
        Ok(RunFolder(path, false))
    }
}

impl Drop for RunFolder {
    fn drop(&mut self) {
        if !self.1 {
            // A temporary folder that remains does no harm.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Runs a scenario on sockets, with real forwarders. Without `--html` the page is written to the working directory, under
/// the scenario's file name.
///
/// # Errors
/// The scenario has errors, the run cannot be made, or an output file cannot be written.
pub fn rehearse(path: &Path, options: &RunOptions, live: &LiveOptions) -> Result<Verdict, InputError> {
    let loaded = LoadedScenario::read(path)?;
    let PreparedRun { environment, seed, route_table } = loaded.prepare_run(options)?;
    let folder = match &live.kept_folder {
        Some(folder) => RunFolder::kept(folder)?,
        None => RunFolder::temporary()?,
    };
    let live_options = loaded.options(&folder, live.daemon.as_deref(), live.fault, &live.log_level)?;
    let started = Instant::now();
    let view = view::start(&loaded.scenario.title, &environment.destination_names, live.plain);
    let channels = Some(view.channels());
    let (environment, result) = live::rehearse(environment, route_table, seed, live_options, channels);
    drop(view);
    let result = result.map_err(|e| InputError::InvalidValues(path.into(), e.to_string()))?;
    let run = RunReport {
        scenario: &loaded.scenario,
        environment: &environment,
        seed,
        figures: &result.figures,
        violations: &result.violations,
        run_mode: verdict::RunMode::Live(result.lateness),
        incidents: &result.incidents,
        took: started.elapsed(),
    };
    let page = path.file_stem().map(|s| PathBuf::from(s).with_extension("html"));
    let options = RunOptions { html: options.html.clone().or(page), ..options.clone() };
    write_outputs(&run, &options)?;
    if let Some(page) = &options.html {
        println!("the report: {}", page.display());
    }
    Ok(run.verdict())
}

/// Prints the summary and writes the reports that the options name. Returns whether the run passed.
///
/// # Errors
/// A report cannot be written.
pub fn write_outputs(run: &RunReport<'_>, options: &RunOptions) -> Result<bool, InputError> {
    print!("{}", run.summary());
    let write = |path: &Option<PathBuf>, text: &dyn Fn() -> String| match path {
        Some(path) => std::fs::write(path, text()).map_err(|e| InputError::Unreadable(path.clone(), e)),
        None => Ok(()),
    };
    write(&options.html, &|| run.page().expect("plots of finite figures"))?;
    write(&options.json, &|| format!("{:#}\n", run.json()))?;
    write(&options.junit, &|| run.junit())?;
    Ok(matches!(run.verdict(), Verdict::Passed))
}

/// Runs a scenario in virtual time. Returns whether the run passed.
///
/// # Errors
/// The scenario has errors, or a report cannot be written.
pub fn simulate(path: &Path, options: &RunOptions) -> Result<bool, InputError> {
    let loaded = LoadedScenario::read(path)?;
    let PreparedRun { environment, seed, route_table } = loaded.prepare_run(options)?;
    let started = Instant::now();
    let (start, length) = (RUN_START, environment.end - RUN_START);
    let mut last = started;
    let (figures, violations) = simulate_with_progress(&environment, route_table, seed, &mut |now| {
        if last.elapsed() >= PROGRESS_INTERVAL {
            last = Instant::now();
            let share = (now - start) as f64 / length as f64;
            eprintln!(
                "{} {:>5.1} of {:.0} s",
                view::progress_bar(share),
                (now - start) as f64 / 1e6,
                length as f64 / 1e6
            );
        }
    });
    let run = RunReport {
        scenario: &loaded.scenario,
        environment: &environment,
        seed,
        figures: &figures,
        violations: &violations,
        run_mode: verdict::RunMode::Virtual,
        incidents: &[],
        took: started.elapsed(),
    };
    write_outputs(&run, options)
}

/// One side of a comparison: how the scenario is run.
enum ComparedSide {
    /// In virtual time, with a site file or with another scenario.
    Virtual(Box<LoadedScenario>),
    /// On sockets, with this program of the forwarder.
    Program(PathBuf),
}

/// A figure of a run that is compared: its name and value.
type Column = (&'static str, fn(&Figures) -> f64);

const COLUMNS: [Column; 5] = [
    ("worth", |f| f.value().share()),
    ("refused", |f| f.rejected as f64),
    ("failed", |f| f.failed as f64),
    ("attempts", |f| f.attempts as f64),
    ("p99 ms", |f| f.delivery_time(false, 0.99) as f64),
];

/// The seeds of several runs: consecutive numbers.
pub struct Seeds {
    /// The number of runs, one for each seed.
    pub count: u64,
    /// The seed of the first run.
    pub first: u64,
}

/// Reads one side of a comparison: a program of the forwarder, a scenario, or a site file for `scenario`.
fn compared_side(path: &Path, scenario: &Path) -> Result<ComparedSide, InputError> {
    let text = std::fs::read(path).map_err(|e| InputError::Unreadable(path.into(), e))?;
    if text.starts_with(b"\x7fELF") {
        return Ok(ComparedSide::Program(
            path.canonicalize().map_err(|e| InputError::Unreadable(path.into(), e))?,
        ));
    }
    if String::from_utf8_lossy(&text).lines().any(|l| l.starts_with("phases:")) {
        return Ok(ComparedSide::Virtual(Box::new(LoadedScenario::read(path)?)));
    }
    let mut loaded = LoadedScenario::read(scenario)?;
    loaded.scenario.forwarders.site =
        Some(path.canonicalize().map_err(|e| InputError::Unreadable(path.into(), e))?);
    Ok(ComparedSide::Virtual(Box::new(loaded)))
}

/// Runs a scenario in two ways with the same seeds: with two site files, two scenarios, or two builds of the forwarder
/// (live). Prints the difference of the figures, and returns whether no run violated a rule.
///
/// # Errors
/// A file cannot be read or has errors, or a live run cannot be made.
pub fn compare(before: &Path, after: &Path, scenario: &Path, seeds: &Seeds) -> Result<bool, InputError> {
    let (mut rows, mut violations) = ([Vec::new(), Vec::new()], 0);
    for (row, path) in rows.iter_mut().zip([before, after]) {
        let side = compared_side(path, scenario)?;
        for seed in seeds.first..seeds.first + seeds.count.max(1) {
            let options = RunOptions { seed: Some(seed), ..RunOptions::default() };
            let (figures, run_violations) = match &side {
                ComparedSide::Virtual(loaded) => {
                    let PreparedRun { environment, seed, route_table } = loaded.prepare_run(&options)?;
                    simulation::simulate(&environment, route_table, seed)
                }
                ComparedSide::Program(program) => run_live(scenario, &options, program)?,
            };
            violations += run_violations.len();
            for violation in run_violations.iter().take(3) {
                println!("BROKEN {}, seed {seed}: {violation}", path.display());
            }
            row.push(COLUMNS.map(|c| c.1(&figures)));
        }
    }
    println!("{}: {} days", scenario.display(), rows[0].len());
    println!("before: {}\nafter:  {}\n", before.display(), after.display());
    println!("{:<10} {:>12} {:>12} {:>22}", "", "before", "after", "change, 95% interval");
    for (n, (name, _)) in COLUMNS.iter().enumerate() {
        let values = |row: &Vec<[f64; 5]>| row.iter().map(|d| d[n]).collect::<Vec<_>>();
        let (before_values, after_values) = (values(&rows[0]), values(&rows[1]));
        let differences: Vec<f64> = before_values.iter().zip(&after_values).map(|(a, b)| b - a).collect();
        let (change, half) = mean(&differences);
        println!(
            "{name:<10} {:>12.3} {:>12.3} {change:>+12.3} ±{half:.3}",
            mean(&before_values).0,
            mean(&after_values).0
        );
    }
    Ok(violations == 0)
}

/// Runs a scenario on sockets with a program of the forwarder.
fn run_live(
    scenario: &Path,
    options: &RunOptions,
    program: &Path,
) -> Result<(Figures, Vec<RuleViolation>), InputError> {
    let loaded = LoadedScenario::read(scenario)?;
    let PreparedRun { environment, seed, route_table } = loaded.prepare_run(options)?;
    let folder = RunFolder::temporary()?;
    let view = view::start(&loaded.scenario.title, &environment.destination_names, true);
    let options = loaded.options(&folder, Some(program), None, "warning")?;
    let result = live::rehearse(environment, route_table, seed, options, Some(view.channels())).1;
    drop(view);
    let result = result.map_err(|e| InputError::InvalidValues(scenario.into(), e.to_string()))?;
    Ok((result.figures, result.violations))
}

/// A value of a scenario that the command `sweep` can vary. The names are printed as column titles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Vary {
    /// The load of all phases, as a multiple of the scenario's
    Load,
    /// The call slots of each forwarder
    Slots,
    /// The limit of open messages of each forwarder
    Held,
    /// The number of forwarders
    Forwarders,
    /// The partners' headroom, as a multiple of the scenario's
    Headroom,
}

/// Runs a scenario in virtual time with one value varied, and prints a line for each value. Returns whether no run violated
/// a rule.
///
/// # Errors
/// The scenario has errors.
pub fn sweep(path: &Path, vary: Vary, values: &[f64], seeds: &Seeds) -> Result<bool, InputError> {
    let mut violations = 0;
    println!(
        "{:>12} {:>18} {:>10} {:>10} {:>10} {:>10}",
        format!("{vary:?}"),
        "worth",
        "refused",
        "failed",
        "attempts",
        "p99 ms"
    );
    for value in values {
        let mut loaded = LoadedScenario::read(path)?;
        let scenario = &mut loaded.scenario;
        let count = value.round().max(1.0) as usize;
        match vary {
            Vary::Load => scenario.phases.iter_mut().for_each(|p| p.load.value *= value),
            Vary::Headroom => scenario.destinations.iter_mut().for_each(|d| d.headroom *= value),
            Vary::Slots => scenario.forwarders.call_slots = Some(count),
            Vary::Held => scenario.forwarders.max_open_messages = Some(count),
            Vary::Forwarders => scenario.forwarders.count = count,
        }
        let mut rows = Vec::new();
        for seed in seeds.first..seeds.first + seeds.count.max(1) {
            let PreparedRun { environment, seed, route_table } =
                loaded.prepare_run(&RunOptions { seed: Some(seed), ..RunOptions::default() })?;
            let (figures, run_violations) = simulation::simulate(&environment, route_table, seed);
            violations += run_violations.len();
            rows.push(COLUMNS.map(|c| c.1(&figures)));
        }
        let column_mean = |n: usize| mean(&rows.iter().map(|r| r[n]).collect::<Vec<_>>());
        let (value, half) = column_mean(0);
        println!(
            "{value:>12.3} {:>18} {:>10.1} {:>10.1} {:>10.0} {:>10.0}",
            format!("{value:.3} ±{half:.3}"),
            column_mean(1).0,
            column_mean(2).0,
            column_mean(3).0,
            column_mean(4).0
        );
    }
    if violations > 0 {
        println!("{violations} rules broken");
    }
    Ok(violations == 0)
}
