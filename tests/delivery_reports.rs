//! Tests of delivery reports, which are sent to the platform until it confirms them. Each runs a scenario over sockets, in
//! the language of `scenario/mod.rs`.

mod scenario;

use scenario::run_scenario;

/// Guards against sending a message after a restart although its end was already reported to the platform.
#[test]
fn an_unconfirmed_delivery_report_is_sent_again_after_a_kill() {
    run_scenario(
        "with e1=1:one:leaving
         start

         platform rejects-reports
         u1 send m1 deadline=1000m
         u1 expect 202
         wait notices_owed=1
         kill
         platform send e1=active
         start
         log delivery reports rejected
         platform accepts-reports

         platform expect m1 returned
         wait notices_owed=0 attempts=0 restored=1",
    );
}

/// Guards against delivery reports that are still sent to the platform's former address after a reload.
#[test]
fn after_a_reload_pending_delivery_reports_go_to_the_new_address() {
    run_scenario(
        "with e1=1:one:leaving
         start

         platform rejects-reports
         u1 send m1 deadline=500m
         u1 expect 202
         log delivery reports rejected
         platform moves
         platform accepts-reports
         reload
         platform expect m1 returned
         wait notices_owed=0
         u1 send m2 deadline=500m

         u1 expect 202
         platform expect m2 returned",
    );
}

/// Guards against reports that are repeated forever because each request is abandoned just before its response arrives.
#[test]
fn delivery_reports_are_confirmed_although_the_platform_answers_late() {
    run_scenario(
        "with e1=1:one:leaving open=64
         start

         platform answers-reports-after 200
         u1 sends 17 m deadline=500m

         platform expect-all m*17 returned
         wait notices_owed=0",
    );
}
