//! The commands that play scenarios: reading, the day, the reports.

use cedarbridge::routes::{NamedSettings, RouteTable};
use cedarbridge::site::Site;
use cedarbridge_rehearsal::audit::RuleViolation;
use cedarbridge_rehearsal::capture::CapturedDay;
use cedarbridge_rehearsal::experiment::InputError;
use cedarbridge_rehearsal::figures::Figures;
use cedarbridge_rehearsal::live::proxy::ProxyFault;
use cedarbridge_rehearsal::live::{self, Options};
use cedarbridge_rehearsal::report::mean;
use cedarbridge_rehearsal::scenario::Scenario;
use cedarbridge_rehearsal::scenario_day::day;
use cedarbridge_rehearsal::simulation::{self, simulate_with_progress};
use cedarbridge_rehearsal::verdict::{self, Run, Verdict};
use cedarbridge_rehearsal::view;
use cedarbridge_rehearsal::world::{World, START};
use clap::Args;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How often a long day in virtual time prints its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// What is common to the ways of playing.
#[derive(Args, Clone, Default)]
pub struct RunOptions {
    /// The day's seed, in place of the scenario's
    #[arg(long)]
    pub seed: Option<u64>,
    /// A captured day whose messages take the place of the drawn ones
    #[arg(long, value_name = "FILE")]
    pub capture: Option<PathBuf>,
    /// Where to write the page with plots
    #[arg(long, value_name = "FILE")]
    pub html: Option<PathBuf>,
    /// Where to write the figures as JSON
    #[arg(long, value_name = "FILE")]
    pub json: Option<PathBuf>,
    /// Where to write the verdict as JUnit's XML
    #[arg(long, value_name = "FILE")]
    pub junit: Option<PathBuf>,
}

/// A scenario, read and checked.
pub struct LoadedScenario {
    /// As it is written.
    pub scenario: Scenario,
    folder: PathBuf,
}

impl LoadedScenario {
    /// Reads a scenario; what is wrong comes with its place.
    pub fn read(path: &Path) -> Result<Self, InputError> {
        let scenario = Scenario::read(path).map_err(|all| {
            let lines: Vec<String> = all.iter().map(|r| format!("{}:{r}", path.display())).collect();
            InputError::Rejected(lines.join("\n"))
        })?;
        let folder = path.parent().unwrap_or(Path::new(".")).to_owned();
        let ready = LoadedScenario { scenario, folder };
        ready.plan(&day(&ready.scenario, 1, Some(&CapturedDay::default())))?;
        Ok(ready)
    }

    /// The site file that the forwarders run with.
    pub fn site(&self) -> Option<PathBuf> {
        self.scenario.forwarders.site.as_ref().map(|s| self.folder.join(s))
    }

    /// Its plan, checked by the forwarder's own check.
    pub fn plan(&self, world: &World) -> Result<Option<Arc<RouteTable>>, InputError> {
        let Some(site) = self.site() else { return Ok(None) };
        let text = std::fs::read_to_string(&site).map_err(|e| InputError::Unreadable(site.clone(), e))?;
        let read = Site::read(&text, NamedSettings { settings: &world.settings, names: &world.names });
        let lines = |b: Vec<cedarbridge::config_error::ConfigError>| {
            let file = site.display().to_string();
            InputError::Rejected(b.iter().map(|b| b.format_line(&file)).collect::<Vec<_>>().join("\n"))
        };
        Ok(Some(Arc::new(read.map_err(lines)?.routes)))
    }

    /// How its forwarders are run: by a program, or as this kit was built with them.
    fn options(
        &self,
        folder: &Folder,
        program: Option<&Path>,
        fault: Option<ProxyFault>,
        log_level: &str,
    ) -> Result<Options, InputError> {
        let own = std::env::current_exe().map_err(system)?;
        let daemon = match program {
            Some(program) => {
                vec![program.canonicalize().map_err(|e| InputError::Unreadable(program.into(), e))?]
            }
            None => vec![own.clone(), "forwarder".into()],
        };
        let site =
            self.site().map(|s| s.canonicalize().map_err(|e| InputError::Unreadable(s, e))).transpose()?;
        let limit = Duration::from_micros(self.scenario.limit.0);
        Ok(Options {
            daemon,
            keeper: own,
            folder: folder.0.clone(),
            site,
            log_level: log_level.into(),
            fault,
            limit,
        })
    }

    /// The day that is to be played.
    pub fn day(&self, options: &RunOptions) -> Result<LoadedDay, InputError> {
        let captured = match &options.capture {
            Some(path) => Some(CapturedDay::read(path).map_err(|e| InputError::Unreadable(path.clone(), e))?),
            None => None,
        };
        let seed = options.seed.unwrap_or(self.scenario.seed);
        let world = day(&self.scenario, seed, captured.as_ref());
        let plan = self.plan(&world)?;
        Ok(LoadedDay { world, seed, plan })
    }
}

/// A day that is ready to be played.
pub struct LoadedDay {
    /// The day.
    pub world: World,
    /// Its seed.
    pub seed: u64,
    /// The site file's plan, if there is one.
    pub plan: Option<Arc<RouteTable>>,
}

/// What a live rehearsal takes beside that.
#[derive(Args)]
pub struct LiveOptions {
    /// The forwarder's program; without it, the one that this kit was built with
    #[arg(long, value_name = "PROGRAM")]
    pub daemon: Option<PathBuf>,
    /// Where to keep the forwarders' files and logs; without it, a folder that goes with the run
    #[arg(long, value_name = "FOLDER")]
    pub keep: Option<PathBuf>,
    /// What the forwarders log; `debug` has a line for each hand-in, of which `capture` makes a day
    #[arg(long, value_name = "LEVEL", default_value = "warning")]
    pub log_level: String,
    /// Plain lines in place of the view, also on a terminal
    #[arg(long)]
    pub plain: bool,
    /// A fault put between forwarder and partners, to see that it is caught
    #[arg(long, hide = true)]
    pub fault: Option<ProxyFault>,
}

/// A folder that goes when it is dropped.
struct Folder(PathBuf, bool);

fn system(e: std::io::Error) -> InputError {
    InputError::Unreadable(PathBuf::from("this machine"), e)
}

impl Folder {
    fn kept(path: &Path) -> Result<Self, InputError> {
        std::fs::create_dir_all(path).map_err(system)?;
        Ok(Folder(path.to_owned(), true))
    }

    fn of_run() -> Result<Self, InputError> {
        let path = std::env::temp_dir().join(format!("cedarbridge-rehearsal-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(system)?;
        Ok(Folder(path, false))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.1 {
            // A temporary folder that stays does no harm.
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// Plays a scenario on sockets, with real forwarders. Without a name for the page it goes beside the working folder's
/// other files, named by the scenario.
pub fn rehearse(path: &Path, options: &RunOptions, live: &LiveOptions) -> Result<Verdict, InputError> {
    let ready = LoadedScenario::read(path)?;
    let LoadedDay { world, seed, plan } = ready.day(options)?;
    let folder = match &live.keep {
        Some(folder) => Folder::kept(folder)?,
        None => Folder::of_run()?,
    };
    let live_options = ready.options(&folder, live.daemon.as_deref(), live.fault, &live.log_level)?;
    let begun = Instant::now();
    let view = view::start(&ready.scenario.title, &world.destination_names, live.plain);
    let channels = Some(view.channels());
    let (world, played) = live::rehearse(world, plan, seed, live_options, channels);
    drop(view);
    let played = played.map_err(|e| InputError::InvalidFigures(path.into(), e.to_string()))?;
    let run = Run {
        scenario: &ready.scenario,
        world: &world,
        seed,
        figures: &played.figures,
        violations: &played.violations,
        run_mode: verdict::RunMode::Live(played.late),
        incidents: &played.incidents,
        took: begun.elapsed(),
    };
    let page = path.file_stem().map(|s| PathBuf::from(s).with_extension("html"));
    let options = RunOptions { html: options.html.clone().or(page), ..options.clone() };
    write_outputs(&run, &options)?;
    if let Some(page) = &options.html {
        println!("the report: {}", page.display());
    }
    Ok(run.verdict())
}

/// Prints the summary and writes what was asked for; true if all was as expected.
pub fn write_outputs(run: &Run<'_>, options: &RunOptions) -> Result<bool, InputError> {
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

/// Plays a scenario in virtual time.
pub fn simulate(path: &Path, options: &RunOptions) -> Result<bool, InputError> {
    let ready = LoadedScenario::read(path)?;
    let LoadedDay { world, seed, plan } = ready.day(options)?;
    let begun = Instant::now();
    let (begin, whole) = (START, world.end - START);
    let mut last = begun;
    let (figures, violations) = simulate_with_progress(&world, plan, seed, &mut |now| {
        if last.elapsed() >= PROGRESS_INTERVAL {
            last = Instant::now();
            let share = (now - begin) as f64 / whole as f64;
            eprintln!(
                "{} {:>5.1} of {:.0} s",
                view::bar(share),
                (now - begin) as f64 / 1e6,
                whole as f64 / 1e6
            );
        }
    });
    let run = Run {
        scenario: &ready.scenario,
        world: &world,
        seed,
        figures: &figures,
        violations: &violations,
        run_mode: verdict::RunMode::Virtual,
        incidents: &[],
        took: begun.elapsed(),
    };
    write_outputs(&run, options)
}

/// What a scenario is played with, for a comparison.
enum ComparedSide {
    /// In virtual time, with a site file or without one, and maybe another scenario's figures.
    Virtual(Box<LoadedScenario>),
    /// Live, with that program.
    Program(PathBuf),
}

/// A figure of a day that is compared.
type Column = (&'static str, fn(&Figures) -> f64);

const COLUMNS: [Column; 5] = [
    ("worth", |f| f.value().share()),
    ("refused", |f| f.refused as f64),
    ("failed", |f| f.failed as f64),
    ("attempts", |f| f.attempts as f64),
    ("p99 ms", |f| f.time(false, 0.99) as f64),
];

/// The days' seeds: as many, from a first one on.
pub struct Seeds {
    /// How many days.
    pub count: u64,
    /// The first seed.
    pub first: u64,
}

fn side(path: &Path, scenario: &Path) -> Result<ComparedSide, InputError> {
    let text = std::fs::read(path).map_err(|e| InputError::Unreadable(path.into(), e))?;
    if text.starts_with(b"\x7fELF") {
        return Ok(ComparedSide::Program(
            path.canonicalize().map_err(|e| InputError::Unreadable(path.into(), e))?,
        ));
    }
    if String::from_utf8_lossy(&text).lines().any(|l| l.starts_with("phases:")) {
        return Ok(ComparedSide::Virtual(Box::new(LoadedScenario::read(path)?)));
    }
    let mut ready = LoadedScenario::read(scenario)?;
    ready.scenario.forwarders.site =
        Some(path.canonicalize().map_err(|e| InputError::Unreadable(path.into(), e))?);
    Ok(ComparedSide::Virtual(Box::new(ready)))
}

/// Plays the same days two ways: with two site files, two scenarios that differ in a setting, or two builds of the
/// forwarder (live), and tells what the change did; true if neither broke a rule.
pub fn compare(before: &Path, after: &Path, scenario: &Path, seeds: &Seeds) -> Result<bool, InputError> {
    let (mut rows, mut violations) = ([Vec::new(), Vec::new()], 0);
    for (row, path) in rows.iter_mut().zip([before, after]) {
        let side = side(path, scenario)?;
        for seed in seeds.first..seeds.first + seeds.count.max(1) {
            let options = RunOptions { seed: Some(seed), ..RunOptions::default() };
            let (figures, rules) = match &side {
                ComparedSide::Virtual(ready) => {
                    let LoadedDay { world, seed, plan } = ready.day(&options)?;
                    simulation::simulate(&world, plan, seed)
                }
                ComparedSide::Program(program) => live_day(scenario, &options, program)?,
            };
            violations += rules.len();
            for b in rules.iter().take(3) {
                println!("BROKEN {}, seed {seed}: {b}", path.display());
            }
            row.push(COLUMNS.map(|c| c.1(&figures)));
        }
    }
    println!("{}: {} days", scenario.display(), rows[0].len());
    println!("before: {}\nafter:  {}\n", before.display(), after.display());
    println!("{:<10} {:>12} {:>12} {:>22}", "", "before", "after", "change, 95% interval");
    for (n, (name, _)) in COLUMNS.iter().enumerate() {
        let of = |row: &Vec<[f64; 5]>| row.iter().map(|d| d[n]).collect::<Vec<_>>();
        let (a, b) = (of(&rows[0]), of(&rows[1]));
        let pairs: Vec<f64> = a.iter().zip(&b).map(|(a, b)| b - a).collect();
        let (change, half) = mean(&pairs);
        println!("{name:<10} {:>12.3} {:>12.3} {change:>+12.3} ±{half:.3}", mean(&a).0, mean(&b).0);
    }
    Ok(violations == 0)
}

fn live_day(
    scenario: &Path,
    options: &RunOptions,
    program: &Path,
) -> Result<(Figures, Vec<RuleViolation>), InputError> {
    let ready = LoadedScenario::read(scenario)?;
    let LoadedDay { world, seed, plan } = ready.day(options)?;
    let folder = Folder::of_run()?;
    let view = view::start(&ready.scenario.title, &world.destination_names, true);
    let options = ready.options(&folder, Some(program), None, "warning")?;
    let played = live::rehearse(world, plan, seed, options, Some(view.channels())).1;
    drop(view);
    let played = played.map_err(|e| InputError::InvalidFigures(scenario.into(), e.to_string()))?;
    Ok((played.figures, played.violations))
}

/// A figure of a scenario that can be varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Vary {
    /// The load of all phases, as a multiple of what the file says
    Load,
    /// The slots of each forwarder
    Slots,
    /// What each forwarder may hold
    Held,
    /// How many forwarders there are
    Forwarders,
    /// The partners' headroom, as a multiple of what the file says
    Headroom,
}

/// Plays a scenario in virtual time with one figure varied over a range; true if no rule was broken.
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
        let mut ready = LoadedScenario::read(path)?;
        let s = &mut ready.scenario;
        let whole = value.round().max(1.0) as usize;
        match vary {
            Vary::Load => s.phases.iter_mut().for_each(|p| p.load.value *= value),
            Vary::Headroom => s.destinations.iter_mut().for_each(|p| p.headroom *= value),
            Vary::Slots => s.forwarders.slots = Some(whole),
            Vary::Held => s.forwarders.held = Some(whole),
            Vary::Forwarders => s.forwarders.count = whole,
        }
        let mut rows = Vec::new();
        for seed in seeds.first..seeds.first + seeds.count.max(1) {
            let LoadedDay { world, seed, plan } =
                ready.day(&RunOptions { seed: Some(seed), ..RunOptions::default() })?;
            let (figures, rules) = simulation::simulate(&world, plan, seed);
            violations += rules.len();
            rows.push(COLUMNS.map(|c| c.1(&figures)));
        }
        let of = |n: usize| mean(&rows.iter().map(|r| r[n]).collect::<Vec<_>>());
        let (value, half) = of(0);
        println!(
            "{value:>12.3} {:>18} {:>10.1} {:>10.1} {:>10.0} {:>10.0}",
            format!("{value:.3} ±{half:.3}"),
            of(1).0,
            of(2).0,
            of(3).0,
            of(4).0
        );
    }
    if violations > 0 {
        println!("{violations} rules broken");
    }
    Ok(violations == 0)
}
