//! Short runs of the soak with fixed seeds; the long ones are behind the README's command.

use std::process::Command;

fn play(seed: &str) {
    let name = format!("cedarbridge-soak-test-test-{}-{seed}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let mut command = Command::new(env!("CARGO_BIN_EXE_cedarbridge-soak-test"));
    command.args(["run", "--seed", seed, "--forwarders", "10", "--seconds", "8", "--rate", "8", "--keep"]);
    let output = command.arg(&folder).output().expect("it runs");
    let output_text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "logs are in {}\n{output_text}", folder.display());
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn ten_forwarders_keep_every_invariant_under_overlapping_faults() {
    play("11");
}

#[test]
fn ten_forwarders_keep_every_invariant_under_hand_overs_and_crowds() {
    play("12");
}
