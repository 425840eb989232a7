//! Tests of the configuration, which is read at the start and again on SIGHUP. Most run a scenario over sockets, in the
//! language of `scenario/mod.rs`.

mod scenario;

use scenario::process::forwarder_command;
use scenario::run_scenario;

#[test]
fn a_bad_configuration_ends_the_program_with_one_line() {
    let folder = std::env::temp_dir().join(format!("cedarbridge-config-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("config.json");
    for (text, expected_error) in
        [("{", "not JSON"), ("{}", "missing setting `settings`"), (r#"{"settings":{}}"#, "specifics")]
    {
        std::fs::write(&path, text).expect("written");
        let output = forwarder_command().arg(&path).output().expect("it runs");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && errors.lines().count() == 1 && errors.contains(expected_error),
            "{errors}"
        );
    }
    let _ = std::fs::remove_dir_all(&folder);
    let output = forwarder_command().output().expect("it runs");
    assert!(!output.status.success() && String::from_utf8_lossy(&output.stderr).contains("no configuration"));
}

/// Guards against a forwarder that exits because of an unusable index, or accepts one without a log line.
#[test]
fn an_unusable_forwarder_index_is_logged_and_the_forwarder_serves_without_it() {
    let cases =
        [("null", "missing setting"), ("-1", "got -1"), ("0.5", "got 0.5"), ("1", "not under the count")];
    for (index, reason) in cases {
        run_scenario(&format!(
            "with e1=1 me={index}
             start
             log no index among the forwarders, time slots are drawn at random
             log {reason}
             u1 send m1 dest=1
             e1 expect m1
             e1 send m1 200
             u1 expect 202
             reload me=0
             log configuration reloaded
             u1 send m2 dest=1
             e1 expect m2
             e1 send m2 200
             u1 expect 202"
        ));
    }
}

/// Guards against a typing error in the configuration that ends the process or leaves it without settings, and against
/// limits that are applied only at a start.
#[test]
fn a_reload_applies_the_complete_file_or_nothing_of_it() {
    run_scenario(
        "with e1=1 e2=9:one:leaving open=1
         start

         u1 send m1 dest=9
         u1 expect 202
         u1 send m2 dest=9
         u1 expect 503
         reload {\"settings\":
         log the previous one stays in force, error
         reload
         log configuration reloaded
         u1 send m3 dest=9
         u1 expect 503
         reload open=3
         wait reloads=2
         u1 send m4 dest=9
         u1 expect 202
         wait open=2 reloads=2
         kill
         start

         wait restored=2",
    );
}

/// Guards against a SIGHUP that is lost because it arrives while the process starts.
#[test]
fn a_reload_during_the_start_is_made_once_the_process_serves() {
    run_scenario(
        "with e1=1 open=1 faults=on
         faults opendir EIO
         begin-start
         fault-injected opendir
         reload open=7
         sleep 100
         faults
         started

         wait reloads=1",
    );
}
