//! The shipped experiments, on few days: they can be read, repeat themselves, and break no rule.

use cedarbridge_rehearsal::experiment::{Experiment, InputError};
use cedarbridge_rehearsal::report::{page, Row};
use cedarbridge_rehearsal::simulation::simulate;
use cedarbridge_rehearsal::world::{platform, World};
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments")
}

fn rows(experiment: &Experiment) -> Vec<Row> {
    let load = experiment.loads[0];
    let world = World::draw(experiment, load, 5);
    let plays = experiment.variants.iter().map(|v| {
        let plan = experiment.plan(v, &folder(), &platform()).expect("accepted");
        let (figures, violations) = simulate(&world, plan, 5);
        Row {
            load,
            variant: v.name.clone(),
            days: vec![figures],
            violations: violations.iter().map(ToString::to_string).collect(),
        }
    });
    plays.collect()
}

#[test]
fn the_shipped_experiments_break_no_rule_and_give_the_same_bytes_again() {
    for file in ["slow-partner.yaml", "unlike-partners.yaml"] {
        let mut experiment = Experiment::read(&folder().join(file)).expect("a shipped experiment");
        experiment.loads.truncate(1);
        experiment.length.0 /= 2;
        let first = rows(&experiment);
        for row in &first {
            assert_eq!(row.violations, Vec::<String>::new(), "{file}, {}", row.variant);
            // A day on which nothing is sent would break no rule either.
            assert!(
                row.days[0].delivered > 500 && row.days[0].value().share() > 0.5,
                "{file}, {}",
                row.variant
            );
        }
        let again = rows(&experiment);
        assert_eq!(page(&experiment, &first).expect("drawn"), page(&experiment, &again).expect("drawn"));
    }
}

#[test]
fn an_experiment_that_makes_no_sense_is_refused_with_its_place() {
    let good = std::fs::read_to_string(folder().join("slow-partner.yaml")).expect("shipped");
    let path = std::env::temp_dir().join(format!("cedarbridge-rehearsal-{}.yaml", std::process::id()));
    for (from, to, wanted) in [
        ("forwarders: 2", "forwarder: 2", ":5:"),
        ("for: 20s", "for: 20", "unit"),
        ("rank: 2", "rank: 99", "rank"),
        ("kind: slow, size: [10, 24]", "kind: hang, size: [10, 24]", "size"),
        ("[1.1, 1.1]", "[1.1, 1.0]", "range"),
        ("seeds: 10", "seeds: 0", "1 at least"),
    ] {
        assert!(good.contains(from));
        std::fs::write(&path, good.replace(from, to)).expect("written");
        let told = Experiment::read(&path).expect_err(to).to_string();
        assert!(told.contains(wanted), "{told}");
    }
    std::fs::remove_file(&path).expect("removed");
    assert!(matches!(Experiment::read(&path), Err(InputError::Unreadable(..))));
}

#[test]
fn the_commands_compare_sweep_and_check() {
    let kit = |arguments: &[&str]| {
        let program =
            std::process::Command::new(env!("CARGO_BIN_EXE_cedarbridge-rehearsal")).args(arguments).output();
        let output = program.expect("it runs");
        (output.status.code(), String::from_utf8(output.stdout).expect("text"))
    };
    let shipped = folder().join("slow-partner.yaml");
    let shipped = shipped.to_str().expect("text");
    assert_eq!(
        kit(&["check", shipped]),
        (Some(0), format!("{shipped}: 4 variants, 2 loads, nothing against it\n"))
    );
    let path = std::env::temp_dir().join(format!("cedarbridge-rehearsal-short-{}.yaml", std::process::id()));
    let short =
        "title: Short\nlength: 4s\nforwarders: 2\nseeds: 2\nloads: [[0.8, 0.8]]\nvariants: [{name: bare}]\n";
    std::fs::write(&path, short).expect("written");
    let short = path.to_str().expect("text");
    let site = |name: &str| folder().join(name).to_str().expect("text").to_owned();
    let (code, table) =
        kit(&["compare", &site("one-short.yaml"), &site("one-long.yaml"), "--experiment", short]);
    assert_eq!(code, Some(0));
    assert!(table.contains("change against the first variant") && table.contains("one-long.yaml"), "{table}");
    let (code, table) = kit(&["sweep", short, "--load", "0.5", "--to", "0.9", "--steps", "3"]);
    assert_eq!(code, Some(0));
    assert!(["50%", "70%", "90%"].iter().all(|l| table.contains(l)), "{table}");
    assert_eq!(kit(&["sweep", short, "--load", "0.9", "--to", "0.5"]).0, Some(1));
    assert_eq!(kit(&["check", "none.yaml"]).0, Some(2));
    std::fs::remove_file(path).expect("removed");
}
