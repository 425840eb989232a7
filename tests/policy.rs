//! Tests of the delivery policy as a deterministic function of its events, and of its settings.

mod common;
use cedarbridge::*;
use common::*;

#[test]
fn unknown_messages_and_endpoints_and_a_clock_that_jumps_are_tolerated() {
    let mut harness = PolicyHarness::new(settings(), vec![]);
    let message = harness.new_message(IDEMPOTENT, 42);
    let id = message.id;
    let unknown = MessageId(9_999);
    let events = vec![
        Event::Message(message),
        Event::Withdrawn { id: unknown },
        Event::ResponseStarted { id: unknown },
        attempt_ended(unknown, 3, EndpointId(5), Outcome::Ok),
        Event::HealthChecked { endpoint: EndpointId(5), outcome: Outcome::Error, elapsed: 0, report: None },
        Event::Timer { token: 1 },
    ];
    assert!(sends(&harness.step(events)).is_empty());
    // The clock jumps far ahead.
    assert!(is_rejected(&harness.step_after(1_000_000 * SECOND, vec![]), id));
}

#[test]
fn invalid_settings_are_an_error() {
    assert!(DeliveryPolicy::new(Settings::default(), 1).is_err());
    assert!(DeliveryPolicy::new(Settings { max_concurrent_calls: 0, ..settings() }, 1).is_err());
    assert!(DeliveryPolicy::new(Settings { classes: vec![], ..settings() }, 1).is_err());
    assert!(DeliveryPolicy::new(Settings { zone: ZoneId(9), ..settings() }, 1).is_err());
    let error = DeliveryPolicy::new(Settings { forwarders: 0, ..settings() }, 1).err().unwrap();
    assert!(error.to_string().contains("setting `balancers`: 0 is out of range"));
}

/// Runs one script of events and returns the actions. If `beside_another` is set, a second policy instance processes
/// other events between the steps.
fn run_script(beside_another: bool) -> Vec<Action> {
    let mut harness = PolicyHarness::new(settings(), (0..6).map(|i| entry(i, u64::from(i) / 2, 0)).collect());
    let mut other = one_destination();
    let mut all = Vec::new();
    let mut events: Vec<Event> = Vec::new();
    for round in 0..300u64 {
        events.push(Event::Message(harness.new_message((round % 3) as usize, round % 3)));
        let actions = harness.step_after(37 * MS, std::mem::take(&mut events));
        if beside_another {
            let (message, endpoint) = (other.new_message(IDEMPOTENT, 1), EndpointId(7));
            other.step_after(
                37 * MS,
                vec![
                    Event::Message(message.clone()),
                    attempt_ended(message.id, 0, endpoint, Outcome::TimedOut),
                ],
            );
        }
        for action in &actions {
            if let Action::Send { id, endpoint, .. } = action {
                let outcome = if (round / 40) % 3 == 1 { Outcome::ConnectFailed } else { Outcome::Ok };
                if let Some(attempt) = attempt_of(&all, &actions, *id) {
                    events.push(attempt_ended(*id, attempt, *endpoint, outcome));
                }
            }
        }
        all.extend(actions);
    }
    all
}

fn attempt_of(before: &[Action], now: &[Action], id: MessageId) -> Option<u32> {
    let count = |a: &&Action| matches!(a, Action::Send { id: i, .. } if *i == id);
    let sent = before.iter().filter(count).count() + now.iter().filter(count).count();
    u32::try_from(sent).ok()?.checked_sub(1)
}

#[test]
fn the_same_events_give_the_same_actions_alone_and_beside_another_instance() {
    let alone = run_script(false);
    assert!(alone.len() > 300);
    assert_eq!(alone, run_script(false));
    assert_eq!(alone, run_script(true));
}
