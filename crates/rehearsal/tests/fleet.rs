//! Fleets in virtual time under faults and wrong settings, each at 3, 48, 100 and 300 forwarders.

use cedarbridge_rehearsal::fleet::{
    as_json, build_fleet_environment, page, simulate_fleet_run, table, unmet_expectations, FleetRunResult,
    Row, TurnOrder,
};
use cedarbridge_rehearsal::scenario::Scenario;

const SIZES: [usize; 4] = [3, 48, 100, 300];

/// Destinations with a limit of 1.3 or 1.4 times their traffic at full load, which is 200 messages a second in all.
const DESTINATIONS: &str = "title: a fleet\nrate: 200\npartners:\n\
  - {name: a, kind: small-partner, share: 30, work: 80ms, headroom: 1.3, endpoints: 3}\n\
  - {name: b, kind: small-partner, share: 20, work: 80ms, headroom: 1.3, endpoints: 2}\n\
  - {name: c, kind: small-partner, share: 20, work: 90ms, headroom: 1.3, endpoints: 2, tells-wait: 400ms}\n\
  - {name: d, kind: small-partner, share: 15, work: 90ms, headroom: 1.4, endpoints: 2}\n\
  - {name: e, kind: small-partner, share: 15, work: 90ms, headroom: 1.4, endpoints: 2}\n";

fn scenario(rest: &str) -> Scenario {
    Scenario::parse(&format!("{DESTINATIONS}{rest}")).expect("a scenario")
}

/// Simulates a run with each fleet size, and checks that no rule is violated.
fn simulate_sizes(scenario: &Scenario) -> Vec<(usize, FleetRunResult)> {
    let run = |count| {
        let run = simulate_fleet_run(scenario, None, count, TurnOrder::Indexed, 11);
        assert_eq!(run.violations, Vec::<String>::new(), "{count} forwarders");
        (count, run)
    };
    SIZES.into_iter().map(run).collect()
}

/// Checks that each fleet delivers at least its share of the value, and that at most this share of the calls is rejected.
/// The bounds of the delivered share are 0.03 to 0.04 below the results of one run.
fn assert_served(
    scenario: &Scenario,
    min_shares: [f64; 4],
    max_rejected: f64,
) -> Vec<(usize, FleetRunResult)> {
    let all = simulate_sizes(scenario);
    for ((count, run), min_share) in all.iter().zip(min_shares) {
        assert!(
            run.delivered_share >= min_share,
            "{count} forwarders delivered {:.3}, at least {min_share} expected",
            run.delivered_share
        );
        assert!(
            run.rejected_share <= max_rejected,
            "{count} forwarders: {:.3} of the calls were rejected",
            run.rejected_share
        );
    }
    all
}

/// Checks that in every fleet the first delivery comes within a second of the end of the outage.
fn assert_first_delivery_within_a_second(all: &[(usize, FleetRunResult)]) {
    for (count, run) in all {
        let first = run.time_to_first_delivery.expect("an outage ended");
        assert!(first <= 1_000_000, "{count} forwarders: the first delivery {first} µs after the outage");
    }
}

const STEADY_LOAD: &str = "phases: [{name: all, for: 25s, load: 0.85, clumps: 0.05}]\n";

#[test]
fn most_of_the_fleet_restarts_at_once() {
    let scenario = scenario(&format!(
        "{STEADY_LOAD}fleet: {{counts: [3], dead: {{share: 0.9, at: {{after: 6s}}, for: 500ms}}}}\n"
    ));
    assert_served(&scenario, [0.96, 0.94, 0.89, 0.79], 0.09);
}

#[test]
fn half_of_the_traffic_is_down_for_five_seconds_and_recovers_with_a_slow_start() {
    let scenario = scenario(&format!(
        "{STEADY_LOAD}troubles:\n  - {{partner: a, kind: refuse, at: {{after: 6s}}, for: 5s}}\n\
         \x20 - {{partner: b, kind: refuse, at: {{after: 6s}}, for: 5s}}\nfleet: {{counts: [3]}}\n"
    ));
    let all = assert_served(&scenario, [0.91, 0.85, 0.79, 0.76], 0.08);
    assert_first_delivery_within_a_second(&all);
}

#[test]
fn limits_fall_to_half_for_nine_seconds_and_rise_again() {
    let scenario = scenario(&format!(
        "{STEADY_LOAD}troubles:\n  - {{partner: a, kind: lowered, size: 0.5, at: {{after: 6s}}, for: 9s}}\n\
         \x20 - {{partner: c, kind: lowered, size: 0.5, at: {{after: 6s}}, for: 9s}}\nfleet: {{counts: [3]}}\n"
    ));
    assert_served(&scenario, [0.96, 0.91, 0.85, 0.72], 0.11);
}

#[test]
fn some_forwarders_get_thirty_times_the_mean_traffic() {
    let scenario = scenario(&format!("{STEADY_LOAD}fleet: {{counts: [3], uneven: 1.0}}\n"));
    assert_served(&scenario, [0.96, 0.92, 0.90, 0.86], 0.04);
}

#[test]
fn the_forwarders_clocks_differ() {
    for clocks in ["20ms", "200ms", "5s"] {
        let scenario = scenario(&format!(
            "{STEADY_LOAD}troubles: [{{partner: a, kind: refuse, at: {{after: 6s}}, for: 5s}}]\nfleet: {{counts: [3], clocks: {clocks}}}\n"
        ));
        let all = assert_served(&scenario, [0.93, 0.89, 0.84, 0.81], 0.06);
        assert_first_delivery_within_a_second(&all);
    }
}

#[test]
fn the_forwarder_count_or_an_index_is_wrong() {
    // A count of a quarter of the actual one costs most: half of the calls are rejected, and the fleet holds back no more.
    let cases = [
        ("told: 0.25", [0.92, 0.76, 0.67, 0.62], 0.65),
        ("told: 4.0", [0.90, 0.78, 0.77, 0.79], 0.05),
        ("doubled: 0.5", [0.91, 0.89, 0.84, 0.81], 0.06),
        ("unnumbered: 0.5", [0.92, 0.89, 0.84, 0.80], 0.06),
        ("unnumbered: 1.0", [0.91, 0.89, 0.84, 0.80], 0.06),
    ];
    for (setting, served, rejected) in cases {
        let scenario = scenario(&format!(
            "{STEADY_LOAD}troubles: [{{partner: a, kind: refuse, at: {{after: 6s}}, for: 5s}}]\nfleet: {{counts: [3], {setting}}}\n"
        ));
        assert_served(&scenario, served, rejected);
    }
}

#[test]
fn a_third_of_the_fleet_is_down_for_most_of_the_run() {
    let scenario = scenario(&format!(
        "{STEADY_LOAD}troubles: [{{partner: a, kind: refuse, at: {{after: 8s}}, for: 5s}}]\n\
         fleet: {{counts: [3], dead: {{share: 0.34, at: {{after: 4s}}, for: 15s}}}}\n"
    ));
    assert_served(&scenario, [0.90, 0.87, 0.83, 0.79], 0.06);
}

#[test]
fn a_fleet_grows_from_3_to_300_and_shrinks_back() {
    let scenario = scenario(
        "phases: [{name: all, for: 30s, load: 0.85, clumps: 0.05}]\n\
         fleet:\n  counts: [3]\n  sizes:\n    - {at: {after: 8s}, count: 300, within: 4s}\n    - {at: {after: 18s}, count: 3, within: 4s}\n",
    );
    let run = simulate_fleet_run(&scenario, None, 3, TurnOrder::Indexed, 11);
    assert_eq!(run.violations, Vec::<String>::new());
    assert!(run.delivered_share >= 0.85 && run.rejected_share <= 0.06 && run.fairness >= 0.9, "{run:?}");
}

/// Guards against busy forwarders that overload the destinations because they take the shares of idle ones. Busy
/// forwarders exceed their even share of a limit only until a call is rejected. The traffic here exceeds the limits by
/// half, and a varying share of the fleet is down.
#[test]
fn whatever_share_of_the_fleet_is_busy_it_offers_little_more_than_the_limits() {
    for idle in [0.0, 0.5, 0.9, 0.99] {
        let scenario = scenario(&format!(
            "phases: [{{name: all, for: 25s, load: 1.9}}]\nfleet: {{counts: [3], dead: {{share: {idle}, at: {{after: 50ms}}, for: 24s}}}}\n"
        ));
        for count in [48, 100, 300] {
            let run = simulate_fleet_run(&scenario, None, count, TurnOrder::Indexed, 5);
            assert_eq!(run.violations, Vec::<String>::new(), "{count} forwarders, {idle} idle");
            assert!(run.mean_offered_load <= 1.12, "{count} forwarders, {idle} idle: {run:?}");
        }
    }
}

/// Guards against a slow recovery of a destination that gets few messages: only one forwarder in ten has any for it, so few
/// have observed its outage.
#[test]
fn a_destination_with_few_messages_is_used_again_soon_after_an_outage() {
    let scenario = Scenario::parse(
        "title: few\nrate: 100\npartners:\n  - {name: a, kind: small-partner, share: 97, work: 80ms, headroom: 1.4, endpoints: 3}\n  \
         - {name: b, kind: small-partner, share: 3, work: 80ms, headroom: 1.4}\nphases: [{name: all, for: 30s, load: 0.8}]\n\
         troubles: [{partner: b, kind: refuse, at: {after: 6s}, for: 5s}]\nfleet: {counts: [3]}\n",
    )
    .expect("a scenario");
    for (count, run) in simulate_sizes(&scenario) {
        let first = run.time_to_first_delivery.expect("an outage ended");
        assert!(first <= 2_000_000, "{count} forwarders: {first} µs");
    }
}

/// The same file and seed give the same bytes, and errors in a file are reported with their positions.
#[test]
fn the_table_page_and_json_are_reproducible_and_files_are_checked() {
    let scenario = scenario(&format!(
        "{STEADY_LOAD}fleet: {{counts: [3], prices: {{refused: 0.5}}}}\nexpect: {{worth: 0.999, returns: 1s}}\n"
    ));
    let rows = |turn_orders: &[TurnOrder]| -> Vec<Row> {
        let row = |turn_order: &TurnOrder| Row {
            count: 12,
            turn_order: *turn_order,
            runs: vec![simulate_fleet_run(&scenario, None, 12, *turn_order, 3)],
        };
        turn_orders.iter().map(row).collect()
    };
    let (a, b) = (
        rows(&[TurnOrder::Single, TurnOrder::Indexed, TurnOrder::Random]),
        rows(&[TurnOrder::Single, TurnOrder::Indexed, TurnOrder::Random]),
    );
    assert_eq!(table(&scenario, &a), table(&scenario, &b));
    assert_eq!(page(&scenario, &a).unwrap(), page(&scenario, &b).unwrap());
    let json = as_json(&scenario, &a);
    assert_eq!(json["fleets"][1]["served"]["mean"].as_f64().unwrap(), a[1].runs[0].delivered_share);
    assert!(a[1].runs[0].penalized_share < a[1].runs[0].delivered_share, "rejected calls have a penalty");
    let unmet = unmet_expectations(&scenario, &a);
    assert!(unmet.len() == 1 && unmet[0].contains("0.999 expected"), "{unmet:?}");
    assert_eq!(
        build_fleet_environment(&scenario, 12, TurnOrder::Random, 3)
            .fleet
            .iter()
            .filter(|f| f.index.is_some())
            .count(),
        0
    );
    for (section, line, reason) in [
        ("fleet: {counts: [0]}", 8, "1 to 2000 forwarders"),
        ("fleet: {counts: [], seeds: 1}", 8, "a list of `counts`"),
        ("fleet: {counts: [3], told: 0}", 8, "`told` must be above 0"),
        ("fleet: {counts: [3], unnumbered: 1.5}", 8, "shares from 0 to 1"),
        ("fleet: {counts: [3], clocks: 61m}", 8, "an hour at most"),
        ("fleet: {counts: [3], prices: {refused: -1}}", 8, "from 0 to 10"),
        ("fleet: {counts: [3], uneven: 9}", 8, "exponent from 0 to 5"),
        ("fleet: {counts: [3], dead: {share: 2, at: {after: 1s}, for: 1s}}", 8, "`share` of `dead`"),
        ("fleet: {counts: [3], sizes: [{at: {after: 90s}, count: 2, within: 1s}]}", 8, "the run ends"),
        ("fleet: {counts: [3], crowd: 2}", 8, "unknown field"),
        ("troubles: [{partner: a, kind: lowered, at: {after: 1s}, for: 1s}]", 8, "`lowered` one between"),
    ] {
        let errors = Scenario::parse(&format!("{DESTINATIONS}{STEADY_LOAD}{section}\n")).expect_err(section);
        let found = errors.iter().any(|e| e.line >= line && e.reason.contains(reason));
        assert!(found, "{section}: {errors:?}");
    }
}
