//! A small language for end-to-end tests: a scenario is a script that runs the forwarder and talks to it over sockets.
//!
//! Each line is one step. Its first word is a command, or the name of the party that acts: an endpoint, a client,
//! `platform`, `registry`, `admin`, `old`, `successor` or `predecessor`. A step that waits fails the scenario after 15 s.
//! Blank lines are ignored; scripts use them to set off the setup and the final checks.
//!
//! The forwarder decides in steps: in each decision step the delivery policy receives the events since the previous one and
//! decides which messages are admitted, sent or abandoned. The option `tick` sets the time between two steps.
//!
//! # Setup
//!
//! | line | effect |
//! | --- | --- |
//! | `with e1=1`, `with e2=9:one:leaving` | adds an endpoint; the next table explains its description |
//! | `with open=8 disk=1` | limits: open messages, and megabytes of the state folder; the values here are the defaults |
//! | `with grace=250 tick=5` | the drain grace and the shortest time between two decision steps, in ms; the defaults |
//! | `with address=kept` | each process listens at the address of the first one |
//! | `with me=0` | the forwarder's index among all forwarders, as JSON; the default |
//! | `with destinations=400` | lists 400 more destinations, with an endpoint each at which nothing listens |
//! | `with window=2000` | adds class `zoned`, deduplicated by zone, and class `brief`, deduplicated for 2000 ms only |
//! | `with operator=on`, `with faults=on` | starts the forwarder with an admin listener; with fault injection |
//! | `config settings/rules/drain-grace 500` | sets a configuration value, from the next start or reload on |
//! | `caches-list` | puts the present endpoint list into the configuration, from the next start on |
//! | `site YAML` | writes the site file, in one line; the next `start` names it |
//! | `start-registry` | starts a registry and its replica; a site file names them as `{registry}` and `{replica}` |
//! | `write-byte-by-byte` | from here on clients, endpoints, admin requests and watches are written byte by byte |
//!
//! ## Endpoints of a `with` line
//!
//! The description of an endpoint starts with the number of its destination. The other fields are separated by colons, may
//! be left out, and have any order. `e2=9:one:leaving` is the endpoint e2 of destination 9, of kind `one`, listed as
//! draining.
//!
//! | field | meaning |
//! | --- | --- |
//! | `one` (default), `many` | a call has one message; up to three messages, unless `config` changes this |
//! | `east` (default), `west` | the zone of the endpoint; the forwarder is in `east` |
//! | `leaving`, `hidden` | the endpoint is listed as draining; it is not listed yet (default: listed as active) |
//! | `closed`, `stalled` | it refuses connections; it leaves them unanswered (default: it accepts them) |
//!
//! # Processes
//!
//! | line | effect |
//! | --- | --- |
//! | `start`, `begin-start`, `started` | starts the forwarder and waits until it serves; only starts it; only waits |
//! | `start-without-list` | starts the forwarder and does not wait for the endpoint list |
//! | `stop`, `continue`, `term`, `kill` | sends SIGSTOP, SIGCONT, SIGTERM or SIGKILL; `kill` also waits for the exit |
//! | `exit`, `exit-within 3700`, `exit-with-failure` | waits for the exit, successful (in 3700 ms) or with a failure |
//! | `reload open=4`, `reload` | changes options, writes the configuration and sends SIGHUP |
//! | `reload TEXT` | writes the text as the configuration and sends SIGHUP |
//! | `sleep 900` | waits 900 ms |
//! | `faults write EIO; accept ENFILE count=3` | makes system calls fail (see `crates/faultshim`); `faults` ends it |
//! | `fault-injected write` | waits until the plan in force has made such a system call fail |
//!
//! # Clients
//!
//! A name that belongs to no other party is a client, which connects at its first line.
//!
//! | line | effect |
//! | --- | --- |
//! | `u1 send m1 dest=1 class=notice size=3 deadline=9000m` | sends a message; these values are the defaults |
//! | `u1 send m1 retry=again` | sends it with a header `X-Retry` |
//! | `u1 sends 20 m class=notice` | sends m1 to m20, and expects a 202 for each |
//! | `u1 sends-until-accepted 5 m` | sends m1 to m5, each again with a new id (m1-1, m1-2, …) until it gets a 202 |
//! | `u1 send-raw TEXT`, `u1 connect` | sends the text as it is; only connects |
//! | `u1 expect 202 WORD…`, `u1 expect end` | expects a response with these words in its head; the end of the connection |
//! | `u1 end-sending`, `u1 close` | shuts down the sending side; closes the connection |
//! | `connect-idle 300` | opens 300 more connections, which send nothing and stay open |
//!
//! # Crowds
//!
//! | line | effect |
//! | --- | --- |
//! | `crowd stops-in-middle 900 waves=2` | 900 clients of a shape (see `crates/crowd`) connect at once, twice |
//! | `crowd flood-small 1 time=3000` | one client sends request after request for 3000 ms |
//! | `crowds-answered` | waits for all crowds; each client got an error or the end of its connection within 3 s |
//! | `honest-load 40 notice` | 40 small requests of class `notice` a second, on new and kept connections |
//! | `honest-load-answered` | ends the load; each request was answered within 0.4 s, most were accepted |
//! | `forwarder-unavailable`, `forwarder-available` | requests of the load may fail from here on; must not any more |
//! | `all-ended-once` | each message accepted from these was called once, or not at all and reported |
//! | `all-reported m*12` | waits until m1 to m12 were reported, whatever else was |
//! | `share-core` | the forwarder shares one processor with a busy process from here on |
//! | `log-unread`, `log-read` | nobody reads the forwarder's log from here on; it is read again |
//! | `peak-memory-at-most 32` | the forwarder's processes have never taken more than 32 MB together |
//! | `memory-falls-to 16` | waits until they take at most 16 MB together |
//!
//! # Endpoints
//!
//! | line | effect |
//! | --- | --- |
//! | `e1 expect m1 m2`, `e1 expect-unordered m1 m2` | expects that the next call has these messages, in this or any order |
//! | `e1 expect-no-call 1500` | expects that no call arrives for 1500 ms |
//! | `e1 serves m1 m2`, `e1 serves m*20` | expects calls with these messages (m1 to m20) in any order, and delivers all |
//! | `e1 send m1 200 Header:value m1=delivered …` | responds to the call of m1, with headers and results of messages |
//! | `e1 send-raw m1 TEXT`, `e1 close m1` | writes the text to the connection of that call; closes the connection |
//! | `e1 open` | lets a closed or stalled endpoint accept connections |
//! | `e1 answers-all` | from here on the endpoint itself responds to each call with a 200 |
//! | `e1 answers-all-with copies` | it responds to each call with a kind of `scenario/spoilt_response.rs` |
//! | `all-delivered` | waits until such endpoints have received all messages of `sends-until-accepted` |
//!
//! # Platform
//!
//! | line | effect |
//! | --- | --- |
//! | `platform send e1=leaving` | sets lifecycles (`active`, `leaving`, `left`) in the list and sends them on the watches |
//! | `platform send e1=moved` | moves an endpoint to a new address; connections to its former one stay open |
//! | `platform changes-silently e1=leaving` | sets lifecycles in the list and sends nothing on the watches |
//! | `platform changes-on-old-watches e1=leaving` | sets lifecycles and sends them only on watches at former addresses |
//! | `platform expect m1 failed [alone]` | expects the next delivery report (as the only one of its request) |
//! | `platform expect-all m*20 x1 failed` | expects reports of m1 to m20 and x1 in any order, possibly repeated |
//! | `platform expect-no-report` | expects that no further delivery report has arrived |
//! | `platform expect-watch 1` | expects that the next watch asks for changes since generation 1; `-`: for all |
//! | `platform expect-watch 1 within 500` | expects it in 500 ms |
//! | `platform rejects-reports`, `… accepts-reports` | answers delivery reports with a 500; with a 204 again |
//! | `platform copies-responses` | answers further requests of a connection behind a copy of the response before |
//! | `platform drops-next-report` | leaves the next delivery report unanswered |
//! | `platform answers-reports-after 200` | answers delivery reports after 200 ms |
//! | `platform stops-heartbeats` | sends no heartbeats on the watches |
//! | `platform moves` | answers only at a new address, which is in the configuration from the next start or reload on |
//! | `platform closes-old-watches` | closes the watches at the former addresses |
//! | `platform rejects-watches Retry-After:9`, `… accepts-watches` | answers new watches with a 503; with a list again |
//! | `platform closes-watches` | closes all watches |
//! | `platform delays-list`, `… releases-list` | holds back the complete list on new watches; sends it |
//!
//! # Registry
//!
//! | line | effect |
//! | --- | --- |
//! | `registry put e1 e2`, `… status e1 DOWN`, `… delete e1` | registers, changes or cancels instances |
//! | `registry replace e1 ID` | cancels e1 and registers instance ID at its address |
//! | `registry restarts-empty`, `… loses-deltas` | loses all instances; the recent changes |
//! | `registry silent`, `… sends-truncated-answers` | does not answer; sends half of each answer |
//! | `registry xml`, `… gzip` | answers in XML; with compression |
//! | `registry sends-huge-answers`, `… sends-gzip-bombs` | answers 100 MB; 3 MB that compression makes small |
//! | `registry sends-deep-nesting`, `… sends-a-long-name` | answers a million brackets; an id of 500 000 bytes |
//! | `registry answers-normally` | answers correctly again |
//! | `registry freezes-replica` | from here on the replica answers with its present list |
//! | `registry holds n0=UP`, `registry holds n0=` | waits until instance n0 has this status; is not registered |
//! | `registry asked GET /apps` | waits until the registry or the replica has received this request |
//!
//! # Admin requests
//!
//! | line | effect |
//! | --- | --- |
//! | `admin health 200`, `admin cordon e1 200`, `admin quiesce 200` | sends a request and expects the status |
//! | `admin raw 400 TEXT` | sends the text as a request and expects the status |
//! | `admin connect-idle 20 TEXT` | opens 20 connections, which send only the text and stay open |
//!
//! # Hand-over
//!
//! | line | effect |
//! | --- | --- |
//! | `upgrade`, `begin-upgrade`, `upgraded` | starts a successor and waits until it serves; only starts it; only waits |
//! | `old term`, `old exit`, `old log TEXT`, `old admin …` | the same for the predecessor, which keeps its clients |
//! | `undo-upgrade` | kills the successor if it still runs; further lines are about its predecessor |
//! | `keep-first` | before a second `upgrade`: renames `old` to `first`, as `old` becomes the process then replaced |
//! | `first kill` | kills the process `first` |
//! | `successor asks 200 [token=X] [format=9] [accepts=list-line]` | asks for a hand-over, expects the status |
//! | `successor reads-state` | receives the state of the predecessor |
//! | `successor owns` | declares that it owns the state folder, and expects the confirmation of the predecessor |
//! | `successor expects Take`, `… accepts`, `… disconnects` | expects a frame; accepts its message; disconnects |
//! | `predecessor owns`, `… exits` | owns the state folder, before `begin-upgrade`; releases it |
//! | `predecessor answers TEXT` | receives a request for a hand-over and sends the text in response |
//!
//! # Checks
//!
//! | line | effect |
//! | --- | --- |
//! | `wait delivered=2 lists>=1 routes/NAME/held=1` | waits until counters have these values |
//! | `log TEXT` | waits until the log has a line that contains the text |
//! | `health 503` | waits until a health request of a client gets this status |
//! | `start-timer`, `within 1300` | expects that less than 1300 ms have passed since `start-timer` |
//! | `state-at-most 50000` | expects that the files of the state folder take at most 50 000 bytes |
//! | `state-contains FILE`, `state-create-folder NAME` | waits for a file in the state folder; creates a folder in it |
//! | `damage cut 3`, `damage flip 9` | truncates the newest journal segment by 3 bytes; inverts the byte 9 before its end |
//! | `damage-registry-view` | damages the persisted view of the registry |
//!
//! `damage` takes the file of the state folder whose name sorts last. This is the newest journal segment only if there is
//! neither an admin listener nor a registry.
//!
//! # Counters
//!
//! `wait` reads the counters of the running process from `/_counters`. They count from its start, except those marked "now",
//! which are present values. A missing counter counts as 0.
//!
//! | counter | what it counts |
//! | --- | --- |
//! | `taken` | messages accepted from clients, which got a 202 |
//! | `restored` | messages restored from the journal at the start, also those of which only the report is due |
//! | `inherited` | open messages that the predecessor handed over |
//! | `open` | now: admitted or restored messages that have not ended |
//! | `delivered`, `failed` | messages that an endpoint has processed; that were not delivered and may have taken effect |
//! | `returned` | messages that were not delivered and are returned to their clients by a delivery report |
//! | `withdrawn` | messages that ended because their client disconnected before its response |
//! | `unavailable`, `bad_requests` | requests answered with a 503; malformed or invalid ones |
//! | `notices`, `notices_owed` | delivery reports that the platform has confirmed; now: those not confirmed yet |
//! | `calls`, `attempts` | calls written to endpoints; the attempts in them, one for each message |
//! | `ok`, `error` | attempts that delivered their message; answered with an error |
//! | `full` | attempts that the endpoint rejected, such as with a 429 or 503 |
//! | `timed_out`, `cancelled` | attempts that timed out, or were cancelled, after the first byte |
//! | `connect_failed` | attempts for which no connection could be established, in time or at all |
//! | `reset` | attempts whose connection failed after the request was written |
//! | `stale` | attempts whose reused connection failed within 50 ms of the request and without any response |
//! | `moot` | attempts refused or cancelled before the first byte, or that the endpoint did not run |
//! | `unsent` | attempts that were not sent because they could not be journaled |
//! | `opened`, `reused` | connections to endpoints, once connecting begins; calls on a connection used before |
//! | `accepted`, `user_agents` | connections accepted from clients; now: open ones, with the one that reads the counters |
//! | `lists` | versions of the endpoint list received from the watch, complete ones and changes; not the cached list |
//! | `rejected/REASON`, `given_up/REASON` | messages rejected at admission; abandoned by the delivery policy |
//! | `not_sent/REASON` | attempts that the check before the first byte refused; also counted as `moot` or `unsent` |
//! | `reloads` | reloads of the configuration |
//! | `journal_writable` | now: whether the journal can be written |
//! | `routes/NAME/held` | now: open messages of a route; its other counters are under `routes/NAME` too |
//! | `registry/entries`, `drains/count` | now: entries in the registry's part of the list; drains recorded since the start |

mod admin;
mod client;
mod crowd;
mod endpoint;
mod environment;
mod handover;
mod platform;
pub mod process;
mod registry;
mod script;
mod settings;
mod sockets;
mod spoilt_response;
mod trace;

use environment::TestEnvironment;

/// Runs a scenario. The first line that fails panics, and with that fails the test.
pub fn run_scenario(script: &str) {
    let mut environment = TestEnvironment::new();
    for line in script.lines().map(str::trim).filter(|l| !l.is_empty()) {
        trace::trace(format_args!("> {line}"));
        environment.step(line);
    }
}
