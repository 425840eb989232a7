//! Tests of the hand-over from one process to its successor on the same state folder. Each runs a scenario over sockets, in
//! the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Calls in flight complete at the predecessor, queued messages are sent by the successor, and requests to the predecessor
/// are forwarded. Each message gets exactly one result.
#[test]
fn a_successor_takes_over_all_messages_of_its_predecessor() {
    run_scenario(
        "with e1=1 e2=9:one:leaving operator=on
         start

         u1 send m1
         u1 expect 202
         u2 send m2 dest=9
         u2 expect 202
         e1 expect m1
         u3 connect
         upgrade
         wait inherited=2 open=2
         admin health 200
         old admin health 503
         u1 send m3
         u1 expect 202 Connection: close
         u1 expect end
         e1 expect m3
         e1 send m3 200
         wait delivered=1 open=2
         e1 send m1 200
         wait delivered=2 open=1
         old term
         u3 send m4
         u3 expect 202 close
         e1 expect m4
         e1 send m4 200
         old exit
         platform send e2=active
         e2 expect m2
         e2 send m2 200

         wait delivered=4 open=0 failed=0",
    );
}

#[test]
fn attempts_in_flight_when_the_predecessor_dies_may_have_run_and_are_retried() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         u2 send m2 class=once
         u2 expect 202
         e1 expect m1
         e1 expect m2
         upgrade
         old kill
         platform expect m2 failed
         e1 expect m1
         e1 send m1 200

         wait delivered=1 failed=1 open=0",
    );
}

#[test]
fn a_retry_after_and_a_cordon_survive_a_hand_over() {
    run_scenario(
        "with e1=1 e2=2 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         e1 send m1 429 X-RateLimit-Wait-Ms:1500
         admin cordon e2 200
         u2 send m2 dest=2
         u2 expect 202
         wait full=1
         upgrade
         wait inherited=2 calls=0
         old admin uncordon e2 200
         e2 expect m2
         e2 send m2 200
         e1 expect m1
         e1 send m1 200

         wait delivered=2",
    );
}

#[test]
fn a_successor_that_dies_or_cannot_start_leaves_its_predecessor_serving() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         begin-upgrade
         kill
         undo-upgrade
         u2 send m2
         u2 expect 202
         e1 expect m2
         e1 send m2 200
         e1 send m1 200
         wait delivered=2
         upgrade
         old term
         old exit
         u3 send m3

         u3 expect 202
         e1 expect m3",
    );
}

#[test]
fn two_hand_overs_in_a_row_with_a_pending_delivery_report_lose_nothing() {
    run_scenario(
        "with e1=1 e2=2 operator=on
         start

         platform rejects-reports
         u1 send m1 class=once dest=2
         u1 expect 202
         e2 expect m1
         e2 close m1
         wait failed=1 notices_owed=1
         u2 send m2
         u2 expect 202
         e1 expect m2
         upgrade
         wait notices_owed=1
         old term
         old exit
         e1 expect m2
         u3 send m3
         u3 expect 202
         e1 expect m3
         upgrade
         platform accepts-reports
         platform expect m1 failed
         e1 send m2 200
         e1 send m3 200
         wait delivered=2 open=0 notices_owed=0
         old term
         old exit",
    );
}

/// Whatever the successor does before it owns the state folder, the predecessor continues to serve as if nothing had
/// happened.
#[test]
fn a_successor_that_fails_before_it_owns_the_folder_changes_nothing() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         successor asks 404 token=guessed
         successor asks 415 format=1
         successor asks 200
         successor disconnects
         log hand-over failed, continuing to serve
         u1 send m2
         u1 expect 202
         e1 expect m2
         successor asks 200
         successor reads-state
         e1 send m2 200
         admin cordon e1 503
         log hand-over failed, continuing to serve
         successor disconnects
         u1 send m3
         u1 expect 202
         e1 send m1 200
         wait delivered=2 open=1 user_agents=2
         admin uncordon e1 200
         e1 expect m3
         e1 send m3 200
         wait delivered=3
         kill
         start

         wait restored=0",
    );
}

/// Guards against a journal that is incomplete when the successor takes over and then dies. The next process must find in it
/// the message that is still in flight, and must not deliver again the message whose result arrived before the hand-over.
#[test]
fn a_successor_that_dies_as_the_owner_ends_its_predecessor_and_leaves_a_complete_journal() {
    run_scenario(
        "with e1=1 e2=2 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         u2 send m2 dest=2
         u2 expect 202
         e2 expect m2
         e2 send m2 200
         wait delivered=1
         successor asks 200
         successor reads-state
         successor owns
         successor disconnects
         log the successor is gone
         exit-with-failure
         start
         wait restored=1
         e1 expect m1
         e1 send m1 200

         wait delivered=1",
    );
}

#[test]
fn a_predecessor_that_cannot_be_understood_is_waited_for_until_it_exits() {
    run_scenario(
        "with e1=1 operator=on
         predecessor owns
         begin-upgrade
         predecessor answers HTTP/1.1 503 No\\r\\nContent-Length: 0\\r\\n\\r\\n
         predecessor answers HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\nnoise without end
         log hand-over from the predecessor failed, error: too-large
         predecessor exits
         upgraded
         u1 send m1
         u1 expect 202
         e1 expect m1",
    );
}

#[test]
fn a_hung_predecessor_is_waited_for_and_its_messages_are_restored_from_the_journal() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 send m1
         u1 expect 202
         e1 expect m1
         stop
         begin-upgrade
         log hand-over from the predecessor failed
         old kill
         upgraded
         wait restored=1
         e1 expect m1
         e1 send m1 200

         wait delivered=1",
    );
}

/// The first process forwards to the second, and the second to the third. Responses to calls in flight at the first process
/// reach the third through both connections.
#[test]
fn a_third_process_takes_over_from_a_second_that_has_just_done_so() {
    run_scenario(
        "with e1=1 e2=2 operator=on
         start

         u1 send m1
         u1 expect 202
         u2 send m2 dest=2
         u2 expect 202
         e1 expect m1
         e2 expect m2
         upgrade
         keep-first
         upgrade
         wait inherited=2
         e1 send m1 200
         wait delivered=1 open=1
         u1 send m3
         u1 expect 202 Connection: close
         e1 expect m3
         e1 send m3 200
         wait delivered=2 open=1
         first kill
         e2 expect m2
         e2 send m2 200
         wait delivered=3 open=0
         old term
         old exit",
    );
}

#[test]
fn files_left_by_a_dead_process_are_not_taken_for_an_owner() {
    run_scenario(
        "with e1=1 operator=on
         start

         kill
         state-contains owner
         state-contains next
         start
         u1 send m1

         u1 expect 202
         e1 expect m1",
    );
}

/// An admin request to the predecessor is performed by the successor, which makes the decisions.
#[test]
fn a_quiesce_during_a_hand_over_disconnects_clients_of_the_successor() {
    run_scenario(
        "with e1=1 operator=on
         start

         upgrade
         old admin quiesce 200
         admin health 503
         health 503
         old term
         old exit
         admin resume 200
         health 200
         u1 send m1

         u1 expect 202
         e1 expect m1",
    );
}

/// Guards against call slots that are never released. A withdrawn message is not in the journal, but its attempt can still
/// be in flight at the predecessor when that dies.
#[test]
fn withdrawn_attempts_in_flight_when_the_predecessor_dies_release_their_slots() {
    // With a connection already open, the attempt is written before the withdrawal is known. `send-raw X` makes the forwarder
    // withdraw the client's message, because it receives a byte after the request and before the response.
    let opened_connections: String = (1..5)
        .map(|n| format!("u5 send w{n} dest={n}\nu5 expect 202\ne{n} expect w{n}\ne{n} send w{n} 200\n"))
        .collect();
    run_scenario(&format!(
        "with e1=1 e2=2 e3=3 e4=4 operator=on tick=300
         start
         {opened_connections}
         wait delivered=4
         u1 send m1
         u2 send m2 dest=2
         u3 send m3 dest=3
         u4 send m4 dest=4
         wait lists=1 delivered=4
         u1 send-raw X
         u2 send-raw X
         u3 send-raw X
         u4 send-raw X
         u1 expect 400
         e1 expect m1
         e2 expect m2
         e3 expect m3
         e4 expect m4
         wait withdrawn=4 open=0
         upgrade
         old kill
         u5 connect
         u6 send m5
         u6 expect 202
         e1 expect m5
         e1 send m5 200
         wait delivered=1 open=0"
    ));
}

/// Guards against a successor that cannot be shut down gracefully while it waits. The on-call runbook relies on that to back
/// out of an upgrade.
#[test]
fn a_successor_that_waits_for_an_owner_exits_on_sigterm() {
    run_scenario(
        "with e1=1 operator=on
         predecessor owns
         begin-upgrade
         predecessor answers HTTP/1.1 503 No\\\\r\\\\nContent-Length: 0\\\\r\\\\n\\\\r\\\\n
         log hand-over from the predecessor failed
         term
         exit
         predecessor exits
         start",
    );
}

/// Guards against a successor that gives up the hand-over because it fails to open the folder's lock file after it has asked
/// its predecessor to release the lock. The predecessor ended as well, and the calls in flight there were sent a second time.
#[test]
fn a_successor_takes_over_although_opening_files_fails_at_random() {
    let mut script = String::from("with e1=1 operator=on open=64 faults=on\nstart");
    // Each opening of a file fails with a probability of 0.3. The seed determines which ones fail.
    for round in 1..=12 {
        script += &format!(
            "\nc{round} send m{round}
             c{round} expect 202
             e1 expect m{round}
             faults seed {round}; open EIO chance=0.3
             upgrade
             faults
             e1 send m{round} 200
             wait delivered=1
             old term
             old exit"
        );
    }
    run_scenario(&script);
}

/// Guards against calls to a draining endpoint by a successor whose own watch is slow, when only the predecessor's watch has
/// received the drain.
#[test]
fn a_drain_observed_by_the_predecessor_after_the_hand_over_stops_calls_of_the_successor() {
    run_scenario(
        "with e1=1 e2=1:one:hidden operator=on
         start

         platform delays-list
         begin-upgrade
         old log handed over
         platform send e1=leaving
         sleep 400
         u1 send m1
         u1 expect 202
         sleep 100
         platform releases-list
         platform send e2=active
         e2 expect m1
         e2 send m1 200

         wait delivered=1 calls=1",
    );
}

/// Guards against a 503 for a message that the successor may have accepted before it died, as the next process delivers it
/// from the journal. Also guards against `ListLine` frames for a successor of the previous release, which does not know them:
/// the first frame that it gets must be that of the message, although a drain was received before.
#[test]
fn a_client_whose_message_a_lost_successor_may_have_accepted_gets_no_response() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 connect
         wait user_agents=2
         successor asks 200
         successor reads-state
         successor owns
         platform send e1=leaving
         sleep 100
         u1 send m1
         successor expects Take
         successor disconnects

         log the successor is gone
         u1 expect end
         exit-with-failure",
    );
}

/// Guards against a 503 for a message that the successor has accepted, if the client has closed only its sending side and
/// still reads.
#[test]
fn a_client_of_the_predecessor_that_half_closes_gets_the_reply_of_the_successor() {
    run_scenario(
        "with e1=1 operator=on
         start

         u1 connect
         wait user_agents=2
         successor asks 200
         successor reads-state
         successor owns
         u1 send m1
         successor expects Take
         u1 end-sending
         sleep 100
         successor accepts

         u1 expect 202",
    );
}

/// Guards against a drain that is missed because it arrives during a hand-over that then fails. The predecessor had closed its
/// watch before it read the line, and its next watch was slow.
#[test]
fn a_drain_observed_during_a_hand_over_that_fails_stops_calls() {
    run_scenario(
        "with e1=1 e2=1:one:hidden operator=on
         start

         platform delays-list
         successor asks 200
         successor reads-state
         platform send e1=leaving
         sleep 100
         successor disconnects
         log hand-over failed, continuing to serve
         sleep 300
         u1 send m1
         u1 expect 202
         sleep 100
         platform releases-list
         platform send e2=active
         e2 expect m1
         e2 send m1 200

         wait delivered=1 calls=1",
    );
}

/// Guards against a drain that is received after the endpoint list actor has exported the list and before the delivery actor
/// has handed over the rest of the state. It was neither in the list nor passed on as a line, because there was no successor
/// yet.
#[test]
fn a_drain_observed_between_the_list_and_the_hand_over_is_passed_on() {
    run_scenario(
        "with e1=1 operator=on tick=400
         start

         u1 send m1
         u1 expect 202
         successor asks 200 accepts=list-line
         platform send e1=leaving
         successor reads-state
         successor owns
         successor expects ListLine",
    );
}
