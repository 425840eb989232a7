//! Crowds of clients that stop within their requests, send them slowly or read nothing, beside honest clients, at the limits that
//! the platform's pages allow. Each runs a scenario over sockets, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;
use std::sync::Mutex;

/// Crowds use thousands of descriptors and much of the processor, so one scenario runs at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The limits of a deployment.
#[derive(Clone, Copy)]
struct Limits {
    memory_mb: u64,
    sockets: usize,
}

/// The least memory that the platform's pages name, with the most descriptors.
const LEAST_MEMORY: Limits = Limits { memory_mb: 32, sockets: 1_024 };

/// Runs a script with one endpoint that delivers all messages, and checks at its end what holds in each: no message is lost or
/// runs twice, and the processes stay within their memory.
fn run_at(limits: Limits, options: &str, script: &str) {
    let _one_at_a_time = ONE_AT_A_TIME.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    let Limits { memory_mb, sockets } = limits;
    run_scenario(&format!(
        "with e1=1 open=600 disk=3 {options}
         config limits/memory_mb {memory_mb}
         config limits/sockets {sockets}
         config settings/specifics/call-slots 16
         e1 answers-all
         start
         {script}
         all-ended-once
         peak-memory-at-most {memory_mb}"
    ));
}

/// Guards against receive buffers and bodies without a bound from the memory limit.
#[test]
fn crowds_that_stop_within_large_requests_stay_within_the_memory_limit() {
    run_at(
        LEAST_MEMORY,
        "",
        "honest-load 40 notice
         crowd stops-before-last-byte 900
         crowds-answered
         crowd stops-in-middle 450
         crowd head-only 450
         crowds-answered
         honest-load-answered
         memory-falls-to 20",
    );
}

/// Guards against a body in chunks that costs more memory or processor time than the same body with a length.
#[test]
fn crowds_that_send_bodies_in_chunks_of_any_size_delay_no_honest_client() {
    run_at(
        LEAST_MEMORY,
        "",
        "honest-load 40 notice
         crowd chunks-1 900
         crowds-answered
         crowd chunks-4096 450
         crowd whole-chunks-16 450
         crowds-answered
         honest-load-answered
         memory-falls-to 20",
    );
}

/// Guards against heads that are parsed from their start for each piece, and against buffers for them without a bound.
#[test]
fn crowds_with_large_or_slow_heads_delay_no_honest_client() {
    run_at(
        LEAST_MEMORY,
        "",
        "honest-load 40 notice
         crowd large-head 450
         crowd many-fields 450
         crowds-answered
         crowd head-byte-by-byte 450
         crowds-answered
         honest-load-answered
         memory-falls-to 20",
    );
}

/// Guards against bodies of complete requests that are held without a bound while they wait, in waves that come again.
#[test]
fn waves_of_large_requests_stay_within_the_memory_limit() {
    run_at(
        LEAST_MEMORY,
        "",
        "honest-load 40 notice
         crowd whole-large 900 waves=4
         crowds-answered
         honest-load-answered
         memory-falls-to 20",
    );
}

/// Guards against responses that are built for clients that read nothing.
#[test]
fn a_crowd_that_reads_nothing_of_a_long_report_stays_within_the_memory_limit() {
    run_at(
        LEAST_MEMORY,
        "destinations=400",
        "honest-load 40 notice
         crowd reads-nothing 450
         crowds-answered
         honest-load-answered
         memory-falls-to 20",
    );
}

/// Guards against floods that grow the memory or hold up other clients.
#[test]
fn floods_on_one_connection_delay_no_honest_client() {
    run_at(
        LEAST_MEMORY,
        "",
        "honest-load 40 notice
         crowd flood-small 1
         crowd flood-unsound 1
         crowd flood-new-names 1
         crowds-answered
         honest-load-answered
         memory-falls-to 20",
    );
}

/// Guards against a hand-over in which both processes take the memory of the whole budget.
#[test]
fn both_processes_of_a_hand_over_amid_crowds_stay_within_the_memory_limit_together() {
    run_at(
        LEAST_MEMORY,
        "operator=on",
        "honest-load 40 notice
         crowd stops-before-last-byte 900
         sleep 300
         upgrade
         crowd stops-before-last-byte 900
         crowd whole-large 100
         crowds-answered
         old term
         old exit
         crowd stops-in-middle 450
         crowds-answered
         honest-load-answered",
    );
}

/// Guards against a hand-over that holds several copies of a long list and of the delivery policy's state.
#[test]
fn a_hand_over_with_a_long_endpoint_list_stays_within_the_memory_limit() {
    run_at(
        Limits { memory_mb: 64, sockets: 512 },
        "operator=on destinations=3200",
        "honest-load 40 notice
         crowd stops-before-last-byte 400
         sleep 300
         upgrade
         crowds-answered
         old term
         old exit
         honest-load-answered",
    );
}

/// Guards against a shutdown that a crowd holds up or makes exceed the memory limit.
#[test]
fn a_process_amid_crowds_exits_in_time_after_sigterm() {
    run_at(
        LEAST_MEMORY,
        "address=kept",
        "honest-load 40 once
         crowd stops-before-last-byte 450
         crowd whole-large 200
         sleep 300
         forwarder-unavailable
         term
         crowd stops-in-middle 200
         exit-within 3700
         start
         forwarder-available
         crowds-answered
         honest-load-answered",
    );
}

/// Guards against a start amid a crowd that exceeds the memory limit, and against messages lost by kills in a series.
#[test]
fn kills_in_series_amid_crowds_lose_nothing() {
    run_at(
        LEAST_MEMORY,
        "address=kept",
        "honest-load 40 once
         crowd stops-before-last-byte 900
         sleep 500
         forwarder-unavailable
         kill
         start
         forwarder-available
         sleep 600
         forwarder-unavailable
         kill
         start
         forwarder-available
         crowd stops-in-middle 900
         crowds-answered
         honest-load-answered",
    );
}

/// Guards against responses without end that are kept in memory.
#[test]
fn spoilt_responses_beside_a_crowd_stay_within_the_memory_limit() {
    run_at(
        LEAST_MEMORY,
        "e2=2",
        "e2 answers-all-with endless-body
         honest-load 40 notice
         crowd stops-before-last-byte 900
         u1 sends 12 m dest=2 class=once
         crowds-answered
         honest-load-answered
         all-reported m*12",
    );
}

/// Guards against responses that are kept without a bound: an endpoint that answered a given-up call with one after another took
/// all memory within half a second.
#[test]
fn endpoints_whose_responses_do_not_end_take_no_memory_and_delay_no_honest_client() {
    for spoilt in ["late-responses", "endless-head", "stopping-body"] {
        run_at(
            LEAST_MEMORY,
            "e2=2",
            &format!(
                "e2 answers-all-with {spoilt}
                 honest-load 40 notice
                 u1 sends 12 m dest=2 class=notice deadline=4000m
                 all-reported m*12
                 honest-load-answered"
            ),
        );
    }
}

/// Guards against time without end for copies of a response: each was compared with all before it.
#[test]
fn an_endpoint_that_repeats_its_response_without_end_delays_no_honest_client() {
    run_at(
        LEAST_MEMORY,
        "e2=2",
        "e2 answers-all-with copies
         honest-load 40 notice
         u1 sends 4 m dest=2 class=notice deadline=4000m
         sleep 2000
         u1 sends 4 n dest=2 class=notice deadline=4000m
         sleep 3000
         honest-load-answered",
    );
}

/// Guards against freed memory that a process keeps.
#[test]
fn memory_that_a_crowd_took_is_given_back_after_it_has_gone() {
    run_at(
        Limits { memory_mb: 192, sockets: 1_024 },
        "",
        "honest-load 40 notice
         crowd stops-before-last-byte 900
         crowds-answered
         honest-load-answered
         memory-falls-to 16",
    );
}

/// Guards against a budget that holds at one pair of limits only.
#[test]
fn mixed_crowds_stay_within_all_limits_of_the_pages() {
    for limits in [
        Limits { memory_mb: 32, sockets: 256 },
        Limits { memory_mb: 64, sockets: 512 },
        Limits { memory_mb: 192, sockets: 1_024 },
    ] {
        run_at(
            limits,
            "operator=on",
            "honest-load 40 notice
             crowd stops-before-last-byte 300
             crowd chunks-1 100
             crowd large-head 100
             crowd whole-large 300
             sleep 500
             upgrade
             crowds-answered
             old term
             old exit
             honest-load-answered",
        );
    }
}

/// Guards against costly requests that hold up other clients where the forwarder has only a part of a processor.
#[test]
fn costly_requests_delay_no_honest_client_on_a_part_of_a_core() {
    run_at(
        LEAST_MEMORY,
        "",
        "share-core
         honest-load 20 notice
         crowd chunks-1 300
         crowds-answered
         crowd head-byte-by-byte 300
         crowds-answered
         honest-load-answered",
    );
}

/// Guards against a log that stops the process while nobody reads it.
#[test]
fn a_log_that_nobody_reads_holds_up_no_message_and_no_exit() {
    run_at(
        LEAST_MEMORY,
        "",
        "log-unread
         honest-load 200 notice
         sleep 4000
         honest-load-answered
         all-ended-once
         term
         exit-within 3700",
    );
}

/// Guards against log lines that are dropped without a trace.
#[test]
fn log_lines_that_were_dropped_are_counted_once_the_log_is_read_again() {
    run_at(
        LEAST_MEMORY,
        "",
        "log-unread
         honest-load 200 notice
         sleep 4000
         honest-load-answered
         log-read
         log logger dropped messages due to channel overflow, count:",
    );
}
