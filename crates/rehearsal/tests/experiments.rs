//! The shipped experiments, with few runs: they can be read, are reproducible, and violate no rule.

use cedarbridge_rehearsal::environment::{platform_defaults, Environment};
use cedarbridge_rehearsal::experiment::{Experiment, InputError};
use cedarbridge_rehearsal::report::{page, Row};
use cedarbridge_rehearsal::simulation::simulate;
use std::path::{Path, PathBuf};

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("experiments")
}

fn rows(experiment: &Experiment) -> Vec<Row> {
    let load = experiment.loads[0];
    let environment = Environment::generate(experiment, load, 5);
    let rows = experiment.variants.iter().map(|v| {
        let route_table = experiment.load_routes(v, &folder(), &platform_defaults()).expect("accepted");
        let (figures, violations) = simulate(&environment, route_table, 5);
        Row {
            load,
            variant: v.name.clone(),
            runs: vec![figures],
            violations: violations.iter().map(ToString::to_string).collect(),
        }
    });
    rows.collect()
}

#[test]
fn the_shipped_experiments_violate_no_rule_and_give_the_same_bytes_again() {
    for file in ["slow-partner.yaml", "unlike-partners.yaml"] {
        let mut experiment = Experiment::read(&folder().join(file)).expect("a shipped experiment");
        experiment.loads.truncate(1);
        experiment.duration.0 /= 2;
        let first = rows(&experiment);
        for row in &first {
            assert_eq!(row.violations, Vec::<String>::new(), "{file}, {}", row.variant);
            // A run in which nothing is sent would violate no rule either.
            assert!(
                row.runs[0].delivered > 500 && row.runs[0].value().share() > 0.5,
                "{file}, {}",
                row.variant
            );
        }
        let again = rows(&experiment);
        assert_eq!(page(&experiment, &first).expect("drawn"), page(&experiment, &again).expect("drawn"));
    }
}

#[test]
fn an_invalid_experiment_is_rejected_with_the_position_of_its_error() {
    let good = std::fs::read_to_string(folder().join("slow-partner.yaml")).expect("shipped");
    let path = std::env::temp_dir().join(format!("cedarbridge-rehearsal-{}.yaml", std::process::id()));
    for (from, to, expected) in [
        ("forwarders: 2", "forwarder: 2", ":5:"),
        ("for: 20s", "for: 20", "unit"),
        ("rank: 2", "rank: 99", "rank"),
        ("kind: slow, size: [10, 24]", "kind: hang, size: [10, 24]", "size"),
        ("[1.1, 1.1]", "[1.1, 1.0]", "range"),
        ("seeds: 10", "seeds: 0", "at least 1"),
    ] {
        assert!(good.contains(from));
        std::fs::write(&path, good.replace(from, to)).expect("written");
        let error = Experiment::read(&path).expect_err(to).to_string();
        assert!(error.contains(expected), "{error}");
    }
    std::fs::remove_file(&path).expect("removed");
    assert!(matches!(Experiment::read(&path), Err(InputError::Unreadable(..))));
}

#[test]
fn the_commands_compare_sweep_and_check() {
    let run = |arguments: &[&str]| {
        let program =
            std::process::Command::new(env!("CARGO_BIN_EXE_cedarbridge-rehearsal")).args(arguments).output();
        let output = program.expect("the rehearsal program");
        (output.status.code(), String::from_utf8(output.stdout).expect("text"))
    };
    let shipped = folder().join("slow-partner.yaml");
    let shipped = shipped.to_str().expect("text");
    assert_eq!(
        run(&["check", shipped]),
        (Some(0), format!("{shipped}: 4 variants, 2 loads, nothing against it\n"))
    );
    let path = std::env::temp_dir().join(format!("cedarbridge-rehearsal-short-{}.yaml", std::process::id()));
    let short =
        "title: Short\nlength: 4s\nforwarders: 2\nseeds: 2\nloads: [[0.8, 0.8]]\nvariants: [{name: bare}]\n";
    std::fs::write(&path, short).expect("written");
    let short = path.to_str().expect("text");
    let site = |name: &str| folder().join(name).to_str().expect("text").to_owned();
    let (code, table) =
        run(&["compare", &site("one-short.yaml"), &site("one-long.yaml"), "--experiment", short]);
    assert_eq!(code, Some(0));
    assert!(table.contains("change against the first variant") && table.contains("one-long.yaml"), "{table}");
    let (code, table) = run(&["sweep", short, "--load", "0.5", "--to", "0.9", "--steps", "3"]);
    assert_eq!(code, Some(0));
    assert!(["50%", "70%", "90%"].iter().all(|l| table.contains(l)), "{table}");
    assert_eq!(run(&["sweep", short, "--load", "0.9", "--to", "0.5"]).0, Some(1));
    assert_eq!(run(&["check", "none.yaml"]).0, Some(2));
    std::fs::remove_file(path).expect("removed");
}
