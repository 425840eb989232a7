//! Tests of the results that the model of a destination gives, with fixed seeds and times.

use cedarbridge_endpoint_model::{Answer, DestinationModel, DestinationProfile, Fault, Micros, TimedAnswer};

const SECOND: Micros = 1_000_000;

fn profile() -> DestinationProfile {
    DestinationProfile {
        endpoints: 2,
        service_time: 150_000,
        service_time_variation: 0.5,
        capacity: 20.0,
        limit: Some(10.0),
        rejections_use_limit: false,
        retry_after: Some(300_000),
        queue_length: 4,
        messages_per_call: 10,
        further_message_cost: 0.1,
        error_rate: 0.0,
        slow_start_floor: 0.25,
        slow_start: 8 * SECOND,
        overload_multiple: 2.0,
        overload_window: 3 * SECOND,
    }
}

fn unlimited() -> DestinationProfile {
    DestinationProfile { limit: None, ..profile() }
}

/// Makes calls at an even rate, in calls per second, to both endpoints in turn, and returns how many of them succeed.
fn delivered(destination: &mut DestinationModel, from: Micros, seconds: u64, rate: u64) -> u64 {
    let interval = SECOND / rate;
    let calls = (0..seconds * rate)
        .map(|number| destination.call(from + number * interval, (number % 2) as usize, 1));
    calls.filter(|result| result.answer.is_some_and(|timed| timed.answer == Answer::Ok)).count() as u64
}

#[test]
fn the_limit_admits_its_rate_and_the_capacity_its_own() {
    let admitted = delivered(&mut DestinationModel::new(profile(), 1), 0, 20, 30);
    assert!((200..=210).contains(&admitted), "{admitted}");
    let admitted = delivered(&mut DestinationModel::new(unlimited(), 1), 0, 20, 60);
    assert!((360..=450).contains(&admitted), "{admitted}");
}

#[test]
fn a_reduced_limit_admits_its_share_is_reported_and_rises_again() {
    let mut destination = DestinationModel::new(profile(), 1);
    destination.set_fault(0, Some(Fault::ReducedLimit(0.5)));
    let admitted = delivered(&mut destination, SECOND, 20, 30);
    assert!((100..=106).contains(&admitted), "{admitted}");
    assert_eq!(destination.call(30 * SECOND, 0, 1).report.expect("reported").rate, 5.0);
    destination.set_fault(31 * SECOND, None);
    assert!(!destination.is_warming_up(31 * SECOND), "a reduced limit is no outage");
    let admitted = delivered(&mut destination, 31 * SECOND, 20, 30);
    assert!((200..=210).contains(&admitted), "{admitted}");
}

#[test]
fn the_same_seed_gives_the_same_results() {
    let results = |seed| {
        let mut destination = DestinationModel::new(profile(), seed);
        (0..200).map(|number| destination.call(number * 40_000, 0, 1)).collect::<Vec<_>>()
    };
    assert_eq!(results(3), results(3));
    assert_ne!(results(3), results(4));
}

#[test]
fn each_fault_gives_calls_its_own_result() {
    let result_with = |fault| {
        let mut destination = DestinationModel::new(profile(), 1);
        destination.set_fault(0, Some(fault));
        destination.call(SECOND, 0, 1)
    };
    let at_once = |answer| Some(TimedAnswer { at: SECOND, answer });
    assert_eq!(result_with(Fault::Hang).answer, None);
    assert!(result_with(Fault::Silent).unconnected);
    assert_eq!(result_with(Fault::RefuseConnections).answer, at_once(Answer::ConnectionRefused));
    assert_eq!(result_with(Fault::RejectAll).answer, at_once(Answer::Rejected(None)));
    assert_eq!(result_with(Fault::FailCalls(1.0)).answer, at_once(Answer::Error));
    let mut healthy = DestinationModel::new(profile(), 1);
    let usual_time = healthy.call(SECOND, 0, 1).answer.expect("an answer").at - SECOND;
    let slow_time = result_with(Fault::Slow(10.0)).answer.expect("an answer").at - SECOND;
    assert!(slow_time.abs_diff(10 * usual_time) < 100, "{slow_time} {usual_time}");
}

/// Guards against the end of one fault also ending another one that still lasts.
#[test]
fn faults_that_overlap_each_hold_to_their_own_end() {
    let long_queue = DestinationProfile { queue_length: 1000, ..unlimited() };
    let answer = |faults: Vec<Fault>| {
        let mut destination = DestinationModel::new(long_queue.clone(), 1);
        destination.set_faults(0, faults);
        destination.call(SECOND, 0, 1).answer
    };
    let usual_time = answer(vec![]).expect("an answer").at - SECOND;
    let both = answer(vec![Fault::Slow(3.0), Fault::ResetConnections]).expect("an answer");
    assert_eq!(both.answer, Answer::ConnectionReset);
    assert!((both.at - SECOND).abs_diff(3 * usual_time) < 100, "slow as well: {both:?}");
    assert_eq!(answer(vec![Fault::Slow(3.0), Fault::Hang]), None);
    let mut destination = DestinationModel::new(long_queue.clone(), 1);
    destination.set_faults(0, vec![Fault::Hang, Fault::RefuseConnections]);
    destination.set_faults(SECOND, vec![Fault::RefuseConnections]);
    assert!(!destination.is_warming_up(SECOND), "one outage still lasts");
    destination.set_faults(2 * SECOND, vec![]);
    assert!(destination.is_warming_up(2 * SECOND));
}

#[test]
fn a_destination_that_warms_up_is_overloaded_only_beyond_its_budget() {
    for (rate, overloaded) in [(6, false), (60, true)] {
        let mut destination = DestinationModel::new(unlimited(), 1);
        destination.set_fault(0, Some(Fault::Hang));
        destination.set_fault(10 * SECOND, None);
        delivered(&mut destination, 10 * SECOND, 8, rate);
        assert_eq!(destination.overloaded_at().is_some(), overloaded, "at {rate} a second");
    }
}
