//! One process replaces another, in the language of `scenario/mod.rs`.

mod scenario;

use scenario::play;

/// What is out stays out at the old process, what waits goes on at the new one, and what comes to the old one is
/// passed on: each message gets one end.
#[test]
fn a_new_process_goes_on_with_all_that_the_old_one_held() {
    play(
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
fn what_is_out_when_the_old_process_dies_may_have_run_and_is_sent_again() {
    play(
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
fn a_told_wait_and_a_cordon_hold_over_an_upgrade() {
    play(
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
fn a_new_process_that_dies_or_cannot_start_leaves_the_old_one_serving() {
    play(
        "with e1=1 operator=on
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         begin-upgrade
         kill
         forget-upgrade
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
fn two_upgrades_in_a_row_and_a_notice_owed_lose_nothing() {
    play(
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

/// Whatever the new one does up to the moment at which it owns, the old one serves on as if nothing had been.
#[test]
fn an_heir_that_goes_wrong_before_it_owns_changes_nothing() {
    play(
        "with e1=1 operator=on
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         successor asks 404 token=guessed
         successor asks 415 format=1
         successor asks 200
         successor disconnects
         log hand-over failed, serving on
         u1 send m2
         u1 expect 202
         e1 expect m2
         successor asks 200
         successor reads-state
         e1 send m2 200
         admin cordon e1 503
         log hand-over failed, serving on
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

/// An end that comes while another process reads the folder must be in the journal if that one goes.
#[test]
fn an_heir_that_dies_as_the_owner_leaves_an_old_process_that_ends_and_a_journal_that_is_whole() {
    play(
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
fn one_that_cannot_be_understood_is_left_to_its_end() {
    play(
        "with e1=1 operator=on
         predecessor owns
         begin-upgrade
         predecessor answers HTTP/1.1 503 No\\r\\nContent-Length: 0\\r\\n\\r\\n
         predecessor answers HTTP/1.1 200 OK\\r\\nContent-Length: 0\\r\\n\\r\\nnoise without end
         log hand-over not possible yet, error: too-large
         predecessor exits
         upgraded
         u1 send m1
         u1 expect 202
         e1 expect m1",
    );
}

#[test]
fn a_hung_process_is_waited_for_and_its_messages_come_from_the_journal() {
    play(
        "with e1=1 operator=on
         start
         u1 send m1
         u1 expect 202
         e1 expect m1
         stop
         begin-upgrade
         log hand-over not possible yet
         old kill
         upgraded
         wait restored=1
         e1 expect m1
         e1 send m1 200
         wait delivered=1",
    );
}

/// The first one passes on to the second, and that to the third: what is out at the first comes back through both.
#[test]
fn a_third_process_takes_over_from_a_second_that_has_just_done_so() {
    play(
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
fn what_a_dead_process_left_in_the_folder_is_no_owner() {
    play(
        "with e1=1 operator=on
         start
         kill
         state-holds owner
         state-holds next
         start
         u1 send m1
         u1 expect 202
         e1 expect m1",
    );
}

/// What operators ask of the old process is done by the one that decides.
#[test]
fn a_quiesce_amid_an_upgrade_sends_user_agents_away_from_the_new_process() {
    play(
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

/// Guards against slots that are never given back: a message that was withdrawn is in no journal, and yet its attempt
/// was out at the process that died.
#[test]
fn what_was_withdrawn_and_out_when_the_old_process_dies_gives_its_slot_back() {
    // On a connection that is there already the attempt is written before the withdrawal is known.
    let warm: String = (1..5)
        .map(|n| format!("u5 send w{n} dest={n}\nu5 expect 202\ne{n} expect w{n}\ne{n} send w{n} 200\n"))
        .collect();
    play(&format!(
        "with e1=1 e2=2 e3=3 e4=4 operator=on tick=300
         start
         {warm}
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

/// Guards against a process that cannot be ended in order while it waits: the page for the person on call backs out so.
#[test]
fn a_new_process_that_waits_for_an_owner_ends_at_a_term() {
    play(
        "with e1=1 operator=on
         predecessor owns
         begin-upgrade
         predecessor answers HTTP/1.1 503 No\\\\r\\\\nContent-Length: 0\\\\r\\\\n\\\\r\\\\n
         log hand-over not possible yet
         term
         exit
         predecessor exits
         start",
    );
}
