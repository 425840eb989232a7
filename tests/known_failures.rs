//! The list of known failures: which tests `.ci/tests` skips, prints and runs one by one. A shell script stands in for
//! cargo.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The script in place of cargo: `--list` prints the tests, and the run of a single test fails if its name begins with
/// `red`.
const CARGO_STAND_IN: &str = r#"#!/bin/sh
echo "cargo $*" >>"$CALLS"
case "$*" in
*--list*) printf 'red_a: test\nred_b: test\ngreen: test\ntwice: test\ntwice: test\n' ;;
*"--test file"*red*) exit 101 ;;
*"--test file"*) exit 0 ;;
*) exit "$OTHERS" ;;
esac
"#;

/// The entry of a test that always fails.
const FAILING: &str = "package file red_a; cargo test red_a, seed 7; ends 9 ms late; issue 34\n";
/// The entry of a test that fails sometimes, and fails here.
const FLAKY_FAILING: &str =
    "package file red_b; cargo test red_b, seed 8; one run of six; issue 34; sometimes\n";
/// The entry of a test that fails sometimes, and passes here.
const FLAKY_PASSING: &str =
    "package file green; cargo test green, seed 9; one run of nine; issue 34; sometimes\n";
/// The entry of a soak run, which the script only prints.
const SOAK: &str = "soak 41; soak-test run --seed 41; one message lost; issue 34; sometimes\n";

struct Run {
    succeeded: bool,
    printed: String,
    /// The calls of cargo, one a line.
    calls: String,
}

/// Runs `.ci/tests` on a list of known failures. The tests that are not listed pass or fail as `others_pass` says.
fn run(name: &str, list: &str, others_pass: bool) -> Run {
    let folder = std::env::temp_dir().join(format!("cedarbridge-known-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let cargo = folder.join("cargo");
    fs::write(&cargo, CARGO_STAND_IN).expect("written");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("executable");
    fs::write(folder.join("list"), list).expect("written");
    let output = Command::new(script())
        .arg(folder.join("list"))
        .env("PATH", format!("{}:{}", folder.display(), std::env::var("PATH").expect("a path")))
        .env("CALLS", folder.join("calls"))
        .env("OTHERS", if others_pass { "0" } else { "101" })
        .output()
        .expect("it runs");
    let printed =
        [output.stdout, output.stderr].map(|bytes| String::from_utf8(bytes).expect("text")).concat();
    let calls = fs::read_to_string(folder.join("calls")).unwrap_or_default();
    fs::remove_dir_all(folder).expect("removed");
    Run { succeeded: output.status.success(), printed, calls }
}

fn script() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/tests")
}

#[test]
fn an_empty_list_skips_nothing() {
    let empty = run("empty", "# a comment\n", true);
    assert!(empty.succeeded, "{}", empty.printed);
    assert!(!empty.calls.contains("--skip"), "{}", empty.calls);
}

#[test]
fn listed_tests_are_skipped_printed_and_must_fail() {
    let four = run("four", &[FAILING, FLAKY_FAILING, FLAKY_PASSING, SOAK].concat(), true);
    assert!(four.succeeded, "{}", four.printed);
    assert!(four.calls.contains("--exact --skip red_a --skip red_b --skip green\n"), "{}", four.calls);
    for entry in [FAILING, FLAKY_FAILING, FLAKY_PASSING, SOAK] {
        assert!(four.printed.contains(&format!("known to fail: {entry}")), "{}", four.printed);
    }
    assert!(four.printed.contains("passed this time: green"), "{}", four.printed);
    assert!(!four.calls.contains("soak"), "a soak run is not repeated: {}", four.calls);
}

#[test]
fn a_listed_test_that_passes_fails_the_run_unless_it_fails_only_sometimes() {
    let passes = run("passes", &FLAKY_PASSING.replace("; sometimes", ""), true);
    assert!(!passes.succeeded);
    assert!(passes.printed.contains("green passes: take it off"), "{}", passes.printed);
}

#[test]
fn a_test_that_is_not_listed_fails_the_run() {
    assert!(!run("unlisted", FAILING, false).succeeded);
    assert!(!run("unlisted-empty", "", false).succeeded);
}

#[test]
fn an_entry_that_is_incomplete_or_ambiguous_fails_the_run() {
    for (number, entry) in [
        "package file red_a; ends late; issue 34\n".to_owned(),
        FAILING.replace("issue 34", "soon"),
        FAILING.replace("ends 9 ms late", " "),
        FAILING.replace("file red_a;", "red_a;"),
        FLAKY_FAILING.replace("sometimes", "often"),
        SOAK.replace("soak 41", "soak late"),
        FAILING.replace("red_a;", "twice;"),
        FAILING.replace("red_a;", "unknown;"),
    ]
    .iter()
    .enumerate()
    {
        let rejected = run(&format!("bad-{number}"), entry, true);
        assert!(!rejected.succeeded, "{entry}: {}", rejected.printed);
        assert!(!rejected.calls.contains("--no-fail-fast"), "no test is run: {entry}");
    }
}
