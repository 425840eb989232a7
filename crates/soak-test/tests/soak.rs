//! Short runs of the soak test with fixed seeds. The README has the command for long runs.

use std::process::Command;

/// Runs the soak program with ten forwarders for 8 s; keeps its folder only if it fails.
fn run_soak(seed: &str) {
    let name = format!("cedarbridge-soak-test-test-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_cedarbridge-soak-test"));
    command.args(["run", "--seed", seed, "--forwarders", "10", "--seconds", "8", "--rate", "8", "--keep"]);
    let output = command.arg(&folder).output().expect("the soak program can be started");
    let output_text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "logs are in {}\n{output_text}", folder.display());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn ten_forwarders_keep_every_invariant_under_overlapping_faults() {
    run_soak("11");
}

#[test]
fn ten_forwarders_keep_every_invariant_under_hand_overs_and_idle_clients() {
    run_soak("12");
}
