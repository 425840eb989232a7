//! A small language for scenarios: one line a step, played against the real program over sockets.
//!
//! | line | what it does |
//! | --- | --- |
//! | `with e1=1 e2=2:many:hidden e3=3:one:leaving:west … open=8 disk=1 grace=250 tick=5 me=0` | endpoints and limits, before `start` |
//! | `with window=2000` | adds the classes `zoned`, with repeats dropped by zone, and `brief`, with them dropped for so long |
//! | `config settings/rules/drain-grace 500` | from the next start or reload on this value stands at that place of the configuration, `null` for none |
//! | `caches-list`, `start-without-list` | from the next start on the forwarder is given the list as it is now; starts it without waiting for a list |
//! | `begin-start`, `started` | starts the forwarder without waiting for it; waits until it serves |
//! | `start`, `stop`, `continue`, `kill`, `term`, `exit` | starts the forwarder, signals it, waits for its end |
//! | `exit-within 3700`, `exit-with-failure` | waits for its end, which must come within so many milliseconds; or be no success |
//! | `sleep 900` | so many milliseconds go by while it is stopped |
//! | `mark`, `within 1300` | so many milliseconds may have gone by since the mark |
//! | `u1 send m1 dest=1 class=notice size=3 deadline=9000m` | a client sends a message; any name that is no other party's is a client |
//! | `u1 sends 20 m class=notice` | a client sends m1 to m20, each answered with 202 |
//! | `u1 submits 5 m`, `e1 answers-all`, `all-delivered` | messages under ids that begin so, each sent until one is accepted; calls are answered with 200 from now on; waits until what was accepted has come to such an endpoint |
//! | `u1 send-raw TEXT`, `u1 expect 202 WORD…`, `u1 expect end`, `u1 connect`, `u1 end-sending`, `u1 close` | the rest of a client's life |
//! | `crowd 300` | so many clients connect, send nothing and stay |
//! | `with operator=on`, `admin health 200`, `admin cordon e1 200`, `admin quiesce 200` | operators may call; a call, and its status |
//! | `admin raw 400 TEXT`, `admin crowd 20 TEXT` | a call as it is written; so many callers that write no more than that and stay |
//! | `upgrade`, `begin-upgrade`, `upgraded` | starts a second process on the same folder and waits until it serves; starts it only; waits only |
//! | `keep-first`, `first kill` | the old process is kept as the first of three |
//! | `forget-upgrade` | the new process is forgotten, the old one is the one that runs |
//! | `old term`, `old kill`, `old stop`, `old exit`, `old log TEXT`, `old admin …` | the process that is replaced; clients stay where they connected |
//! | `successor asks 200 [token=X] [format=9] [accepts=list-line]`, `… reads-state`, `… owns`, `… expects Take`, `… accepts`, `… disconnects` | plays a process that wants to replace the one that runs |
//! | `predecessor owns`, `… answers TEXT`, `… exits` | plays a process that owns the folder, ahead of `begin-upgrade` |
//! | `health 503` | waits until the clients' address answers so about its health |
//! | `write-byte-by-byte` | from here on clients, endpoints, operators and the platform's watch write byte by byte |
//! | `e1 expect m1 m2` | the next call at an endpoint holds just these messages |
//! | `e1 expect-unordered m1 m2` | the same, with the messages in any order |
//! | `e1 serves m1 m2`, `e1 serves m*20` | the next calls at an endpoint hold these messages in any order, all are delivered; m1 to m20 |
//! | `e1 send m1 200 Header:value m1=delivered …` | the answer to the call that m1 came in |
//! | `e1 send-raw m1 TEXT` | whatever else is written to the connection that m1 came on |
//! | `e1 close m1`, `e1 open` | ends that call's connection; lets a stalled or closed endpoint accept |
//! | `platform send e1=leaving`, `platform changes-silently e1=leaving` | the list changes; the open watches are not told |
//! | `platform changes-on-old-watches e1=leaving` | a change that only the watches at an address which it has left are told |
//! | `platform expect m1 failed [alone]`, `platform expect-all m*20 returned` | the next report, with no other beside it; reports of all of these in any order, which some may be repeats of |
//! | `platform expect-no-report` | no report has come but those that were expected |
//! | `platform expect-watch 1` | the next watch asks for what came after that generation |
//! | `platform rejects-reports`, `… accepts-reports`, `… drops-next-report`, `… answers-reports-after 200`, `… stops-heartbeats` | how it answers |
//! | `platform moves`, `… delays-list`, `… releases-list`, `… closes-old-watches` | it listens elsewhere; holds lists back; closes what leads to the old address |
//! | `site YAML` | writes the site file, in one line; `start` names it from then on |
//! | `start-registry` | starts a registry and a replica; a site file may name them as `{registry}` and `{replica}` |
//! | `registry put e1 e2`, `… status e1 DOWN`, `… delete e1`, `… replace e1 ID`, `… restarts-empty`, `… loses-deltas` | what the registry holds |
//! | `registry silent`, `… answers`, `… half`, `… xml`, `… gzip`, `… sends-huge-answers`, `… sends-gzip-bombs`, `… sends-deep-nesting`, `… sends-a-long-name`, `… freezes-replica` | how it answers |
//! | `registry holds n0=UP`, `registry holds n0=`, `registry asked GET /apps` | waits for what it holds of an instance, for a request |
//! | `reload open=4 …`, `reload TEXT` | writes the configuration anew and sends SIGHUP |
//! | `wait name=value routes/NAME/held=1 …`, `log TEXT` | waits for counters, for a line in the log |
//! | `with faults=on`, `faults write EIO; accept ENFILE count=3`, `faults` | system calls of the forwarder fail by this plan from now on, by none (`crates/faultshim`) |
//! | `fault-injected write` | waits until such a call has failed by the plan in force |
//! | `state-under N`, `state-holds FILE`, `state-folder NAME`, `damage cut N`, `damage flip N`, `damage-view` | the state folder |

mod admin;
mod client;
mod endpoint;
mod environment;
mod handover;
mod platform;
pub mod process;
mod registry;
mod script;
mod settings;
mod sockets;
mod trace;

use environment::TestEnvironment;

/// Plays a scenario; the first line that does not hold fails the test.
pub fn run_scenario(script: &str) {
    let mut environment = TestEnvironment::new();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        trace::trace(format_args!("> {line}"));
        environment.step(line);
    }
}
