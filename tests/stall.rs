//! Tests of a process that is stopped for a while and continued. Each runs a scenario over sockets, in the language of
//! `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against calls to an endpoint whose drain was announced while the process was stopped (SIGSTOP). The drain was
/// still unread when the process continued, and messages that had arrived meanwhile went to the endpoint in the outdated
/// list.
#[test]
fn a_process_that_stalled_reads_watch_events_before_it_sends() {
    let mut script = String::from(
        "with e1=1 e2=1:one:hidden e3=1:one:hidden e4=1:one:hidden
         start
         u1 send m0 dest=1
         u1 expect 202
         e1 expect m0
         e1 send m0 200
         wait delivered=1
         u2 connect
         u3 connect
         u4 connect
         wait user_agents=5",
    );
    // The order in which the sockets are read is random, so the process is stopped three times.
    for round in 0..3 {
        let (draining, active) = (format!("e{}", round + 1), format!("e{}", round + 2));
        let for_each_client = |line: &str| {
            (1..=4)
                .map(|client| line.replace('U', &client.to_string()).replace('R', &round.to_string()))
                .collect::<String>()
        };
        script += "\nstop";
        script += &for_each_client("\nuU send mRU dest=1");
        script += &format!(
            "\nplatform send {draining}=leaving\nplatform send {active}=active\nsleep 700\ncontinue"
        );
        script += &for_each_client("\nuU expect 202");
        script += &format!("\n{active} serves m{round}1 m{round}2 m{round}3 m{round}4");
        script += &format!("\nwait delivered={0} attempts={0}", 5 + 4 * round);
    }
    run_scenario(&(script + "\nlog process was stalled"));
}
