//! The merged endpoint list, the views of its sources and the schedule of polls. Time is passed as an argument.

use cedarbridge::membership::*;
use cedarbridge::{DestinationId, EndpointId, KindId, Lifecycle, Micros, ZoneId};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const REGISTRY: SourceId = SourceId(1);
const PUSHED: SourceId = SourceId(0);

fn policy() -> SourcePolicy {
    SourcePolicy {
        hold_down: Some(HoldDown { first: SECOND, max: 8 * SECOND, forget_after: 20 * SECOND }),
        shrink_guard: Some(ShrinkGuard { max_missing_share: 0.3, confirm_after: 10 * SECOND }),
        identifies_by_address: true,
    }
}

fn pushed_and_registry() -> Membership {
    Membership::new(vec![("pushed", SourcePolicy::default()), ("registry", policy())])
}

fn listing(group: &str, id: &str, port: u16, state: EntryState, stamp: u64) -> Listing {
    Listing {
        key: EntryKey { group: group.into(), id: id.into() },
        address: ([127, 0, 0, 1], port).into(),
        destination: DestinationId(u64::from(port) / 10),
        zone: ZoneId(0),
        kind: KindId(0),
        weight: 1.0,
        state,
        stamp,
    }
}

fn up(id: &str, port: u16, stamp: u64) -> Listing {
    listing("A", id, port, EntryState::Up, stamp)
}

fn patch(listings: Vec<Listing>) -> SourceUpdate {
    SourceUpdate::Patch { listings, removed: Vec::new() }
}

fn complete(listings: Vec<Listing>) -> SourceUpdate {
    SourceUpdate::Complete { version: None, listings }
}

/// Each change as its id and lifecycle.
fn summary(changes: &[MembershipChange]) -> Vec<String> {
    changes.iter().map(|change| format!("{} {:?}", change.listing.key.id, change.lifecycle)).collect()
}

/// The ids of the listed endpoints, sorted.
fn listed_ids(membership: &Membership) -> Vec<String> {
    let listed = membership.endpoints().filter(|change| change.lifecycle == Lifecycle::Listed);
    let mut ids: Vec<String> = listed.map(|change| change.listing.key.id.to_string()).collect();
    ids.sort();
    ids
}

#[test]
fn an_entry_that_leaves_service_drains_at_once_and_is_held_down_longer_each_time() {
    let mut membership = pushed_and_registry();
    assert_eq!(summary(&membership.apply(0, REGISTRY, patch(vec![up("i", 1, 1)]))), ["i Listed"]);
    let (mut now, mut stamp) = (SECOND, 1);
    for wait in [1, 2, 4, 8, 8] {
        stamp += 1;
        let drained =
            membership.apply(now, REGISTRY, patch(vec![listing("A", "i", 1, EntryState::Draining, stamp)]));
        assert_eq!((summary(&drained), drained[0].observed_at), (vec!["i Draining".into()], now));
        now += 300 * MS;
        stamp += 1;
        assert!(membership.apply(now, REGISTRY, patch(vec![up("i", 1, stamp)])).is_empty(), "held down");
        assert_eq!(membership.next_tick(), Some(now + wait * SECOND));
        assert!(membership.tick(now + wait * SECOND - 1).is_empty());
        now += wait * SECOND;
        assert_eq!(summary(&membership.tick(now)), ["i Listed"]);
        now += 100 * MS;
    }
    // One flap is forgotten for each 20 s without another.
    now += 61 * SECOND;
    membership.apply(now, REGISTRY, patch(vec![listing("A", "i", 1, EntryState::Draining, stamp + 1)]));
    membership.apply(now, REGISTRY, patch(vec![up("i", 1, stamp + 2)]));
    assert_eq!(membership.next_tick(), Some(now + 4 * SECOND));
}

/// Guards against calls to an entry that flaps every 300 ms: it must drain each time and stay held down in between.
#[test]
fn an_entry_that_flaps_for_a_minute_is_never_used() {
    let mut membership = pushed_and_registry();
    membership.apply(0, REGISTRY, patch(vec![up("i", 1, 1)]));
    let mut returns = 0;
    for step in 1..=200u64 {
        let now = step * 300 * MS;
        let changes = membership.tick(now);
        returns += changes.iter().filter(|change| change.lifecycle == Lifecycle::Listed).count();
        let state = if step % 2 == 1 { EntryState::Draining } else { EntryState::Up };
        let changes = membership.apply(now, REGISTRY, patch(vec![listing("A", "i", 1, state, step + 1)]));
        returns += changes.iter().filter(|change| change.lifecycle == Lifecycle::Listed).count();
        if state == EntryState::Draining {
            assert!(listed_ids(&membership).is_empty(), "drained at once, at {now}");
        }
    }
    assert_eq!(returns, 0, "it is never up for as long as its hold-down");
    assert_eq!((membership.stats(REGISTRY).flaps, membership.stats(REGISTRY).held_down), (100, 100));
}

#[test]
fn a_registry_that_restarts_empty_is_accepted_only_once_it_is_confirmed() {
    let all = || (1..=10).map(|port| up(&format!("i{port:02}"), port, u64::from(port))).collect::<Vec<_>>();
    let mut membership = pushed_and_registry();
    membership.apply(0, REGISTRY, complete(all()));
    assert!(
        membership.apply(SECOND, REGISTRY, complete(vec![])).is_empty()
            && membership.needs_complete_poll(REGISTRY)
    );
    assert!(membership.apply(5 * SECOND, REGISTRY, complete(all()[..3].to_vec())).is_empty());
    assert_eq!(listed_ids(&membership).len(), 10);
    // The registry is complete again: nothing has changed, and nothing is in doubt.
    assert!(
        membership.apply(8 * SECOND, REGISTRY, complete(all())).is_empty()
            && !membership.needs_complete_poll(REGISTRY)
    );
    // The registry stays empty: the entries are removed by an update that comes after the confirmation time, not by the
    // passing of time.
    membership.apply(20 * SECOND, REGISTRY, complete(vec![]));
    assert!(membership.tick(40 * SECOND).is_empty());
    assert_eq!(membership.apply(41 * SECOND, REGISTRY, complete(vec![])).len(), 10);
    // If few entries are missing, they are removed at once. An explicit drain or removal is accepted even in doubt.
    let mut membership = pushed_and_registry();
    membership.apply(0, REGISTRY, complete(all()));
    assert_eq!(summary(&membership.apply(SECOND, REGISTRY, complete(all()[1..].to_vec()))), ["i01 Removed"]);
    membership.apply(2 * SECOND, REGISTRY, complete(vec![]));
    let drain = listing("A", "i05", 5, EntryState::Draining, 99);
    assert_eq!(summary(&membership.apply(3 * SECOND, REGISTRY, patch(vec![drain]))), ["i05 Draining"]);
    let removal = SourceUpdate::Patch {
        listings: vec![],
        removed: vec![(EntryKey { group: "A".into(), id: "i06".into() }, 99)],
    };
    assert_eq!(summary(&membership.apply(3 * SECOND, REGISTRY, removal)), ["i06 Removed"]);
}

#[test]
fn an_older_update_changes_nothing() {
    let mut membership = pushed_and_registry();
    membership.apply(0, REGISTRY, patch(vec![up("i", 1, 5), up("j", 2, 6)]));
    membership.apply(1, REGISTRY, patch(vec![listing("A", "i", 1, EntryState::Draining, 7)]));
    assert!(membership.apply(2, REGISTRY, patch(vec![up("i", 1, 5)])).is_empty());
    assert!(membership.apply(3, REGISTRY, complete(vec![up("i", 1, 5), up("j", 2, 6)])).is_empty());
    assert_eq!((listed_ids(&membership), membership.stats(REGISTRY).stale_entries), (vec!["j".into()], 2));
    // A removed entry is not added again by an older update.
    let key = EntryKey { group: "A".into(), id: "j".into() };
    membership.apply(4, REGISTRY, SourceUpdate::Patch { listings: vec![], removed: vec![(key, 8)] });
    assert!(membership.apply(5, REGISTRY, patch(vec![up("j", 2, 6)])).is_empty());
    // A replica that lags lacks new entries: an update with lower stamps that lacks an entry is not accepted at once.
    let mut membership = pushed_and_registry();
    membership.apply(0, REGISTRY, complete(vec![up("a", 1, 1), up("b", 2, 2), up("c", 3, 3), up("d", 4, 9)]));
    assert!(membership
        .apply(SECOND, REGISTRY, complete(vec![up("a", 1, 1), up("b", 2, 2), up("c", 3, 3)]))
        .is_empty());
    assert_eq!(listed_ids(&membership).len(), 4);
    // An update with a lower version changes nothing, until versions have stayed lower for the confirmation time.
    let with_version = |version, listings| SourceUpdate::Complete { version: Some(version), listings };
    let mut membership = pushed_and_registry();
    membership.apply(0, REGISTRY, with_version(9, vec![up("a", 1, 1)]));
    let with_another = || vec![up("a", 1, 1), up("b", 2, 2)];
    assert!(
        membership.apply(SECOND, REGISTRY, with_version(8, with_another())).is_empty()
            && membership.needs_complete_poll(REGISTRY)
    );
    assert_eq!(
        summary(&membership.apply(12 * SECOND, REGISTRY, with_version(8, with_another()))),
        ["b Listed"]
    );
}

#[test]
fn a_state_other_than_up_drains_or_changes_nothing_and_adds_nothing() {
    let mut membership = pushed_and_registry();
    assert!(
        membership.apply(0, REGISTRY, patch(vec![listing("A", "i", 1, EntryState::Draining, 1)])).is_empty(),
        "never in service"
    );
    assert!(membership
        .apply(1, REGISTRY, patch(vec![listing("A", "j", 2, EntryState::Unknown, 1)]))
        .is_empty());
    assert_eq!(summary(&membership.apply(2, REGISTRY, patch(vec![up("i", 1, 2)]))), ["i Listed"]);
    assert!(membership
        .apply(3, REGISTRY, patch(vec![listing("A", "i", 1, EntryState::Unknown, 3)]))
        .is_empty());
    assert_eq!(listed_ids(&membership), ["i"]);
}

#[test]
fn an_id_at_another_address_and_another_id_at_its_address_are_other_endpoints() {
    let mut membership = pushed_and_registry();
    let first = membership.apply(0, REGISTRY, patch(vec![up("i", 1, 1)]))[0].endpoint;
    // The id moves to another address.
    let changes = membership.apply(1, REGISTRY, patch(vec![up("i", 2, 2)]));
    assert_eq!(summary(&changes), ["i Removed", "i Listed"]);
    assert_eq!(changes[0].endpoint, first);
    assert_ne!(changes[1].endpoint, first);
    // Another id is registered at this address: the newer entry is listed, and the older one stays replaced.
    let changes = membership.apply(2, REGISTRY, patch(vec![up("k", 2, 3)]));
    assert_eq!(summary(&changes), ["i Removed", "k Listed"]);
    assert!(membership.apply(3, REGISTRY, patch(vec![up("i", 2, 2)])).is_empty());
    // The same instance in two applications is one endpoint, which drains as soon as either entry drains.
    let mut membership = pushed_and_registry();
    membership.apply(
        0,
        REGISTRY,
        patch(vec![listing("A", "i", 1, EntryState::Up, 1), listing("B", "i", 1, EntryState::Up, 2)]),
    );
    assert_eq!(membership.endpoints().count(), 1);
    assert_eq!(
        summary(&membership.apply(1, REGISTRY, patch(vec![listing("A", "i", 1, EntryState::Draining, 3)]))),
        ["i Draining"]
    );
}

#[test]
fn the_pushed_list_is_passed_on_as_sent_and_wins_where_both_list_an_address() {
    let mut membership = pushed_and_registry();
    let pushed = |id: &str, port, state| listing("", id, port, state, 0);
    let apply_pushed =
        |membership: &mut Membership, now, listings| summary(&membership.apply(now, PUSHED, patch(listings)));
    assert_eq!(apply_pushed(&mut membership, 0, vec![pushed("e", 1, EntryState::Draining)]), ["e Draining"]);
    assert_eq!(
        apply_pushed(&mut membership, 1, vec![pushed("e", 1, EntryState::Draining)]),
        ["e Draining"],
        "an entry that is sent again is passed on"
    );
    let moved = membership.apply(2, PUSHED, patch(vec![pushed("e", 5, EntryState::Up)]));
    assert_eq!(
        (summary(&moved), moved[0].endpoint),
        (vec!["e Listed".into()], EndpointId(1)),
        "one id, one endpoint"
    );
    assert!(membership.apply(3, REGISTRY, patch(vec![up("r", 5, 1)])).is_empty(), "the pushed list wins");
    assert_eq!(
        apply_pushed(&mut membership, 4, vec![pushed("e", 5, EntryState::Removed)]),
        ["e Removed", "r Listed"]
    );
    assert_eq!(
        apply_pushed(&mut membership, 5, vec![pushed("f", 5, EntryState::Up)]),
        ["f Listed", "r Removed"]
    );
}

#[test]
fn a_restored_view_is_overridden_by_any_update() {
    let mut membership = pushed_and_registry();
    assert_eq!(
        summary(&membership.restore(0, REGISTRY, vec![up("i", 1, 50), up("j", 2, 60)])),
        ["i Listed", "j Listed"]
    );
    assert!(membership.stats(REGISTRY).last_update_at.is_none());
    let update = complete(vec![listing("A", "i", 1, EntryState::Draining, 3), up("j", 2, 4)]);
    assert_eq!(summary(&membership.apply(SECOND, REGISTRY, update)), ["i Draining"]);
}

fn settings(addresses: usize) -> RegistrySettings {
    let address =
        |index| RegistryAddress { host: "127.0.0.1".into(), port: index as u16, path_prefix: String::new() };
    let name = |name: &str| name.to_owned();
    RegistrySettings {
        addresses: (0..addresses).map(address).collect(),
        scope: PollScope::All,
        poll_interval: SECOND,
        timeout: SECOND,
        backoff: PollBackoff { first: 200 * MS, max: 1600 * MS },
        preferred_retry_after: 30 * SECOND,
        max_response_bytes: 1000,
        metadata: MetadataNames {
            destination: name("d"),
            kind: name("k"),
            zone: name("z"),
            weight: name("w"),
        },
        hold_down: HoldDown { first: SECOND, max: SECOND, forget_after: SECOND },
        shrink_guard: ShrinkGuard { max_missing_share: 0.3, confirm_after: SECOND },
        use_snapshot_after: SECOND,
        registration: None,
    }
}

#[test]
fn after_a_failure_the_next_registry_is_polled_and_the_preferred_one_retried_later() {
    let mut schedule = PollSchedule::new(&settings(2), 0);
    let next = |schedule: &mut PollSchedule| {
        let request = schedule.next_request();
        (request.at, request.address_index, request.kind)
    };
    assert_eq!(next(&mut schedule), (0, 0, PollKind::Complete));
    schedule.succeeded(0, PollKind::Complete, true, false);
    assert_eq!(next(&mut schedule), (SECOND, 0, PollKind::Delta));
    // After a delta with a hash mismatch, the complete list is polled at once. The flags of `succeeded` say whether the hash
    // matches and whether the view is in doubt.
    schedule.succeeded(SECOND, PollKind::Delta, false, false);
    assert_eq!(next(&mut schedule), (SECOND, 0, PollKind::Complete));
    schedule.failed(SECOND, 0.0);
    assert_eq!(
        next(&mut schedule),
        (SECOND, 1, PollKind::Complete),
        "the next one at once, for the complete list"
    );
    // After each round in which all addresses have failed, there is a pause that doubles up to `backoff.max`.
    let mut pauses = Vec::new();
    let mut now = SECOND;
    for _ in 0..10 {
        schedule.failed(now, 0.0);
        let at = schedule.next_request().at;
        if at > now {
            pauses.push((at - now) / MS);
        }
        now = at;
    }
    assert_eq!(pauses, [200, 400, 800, 1600, 1600]);
    // With a short poll interval the pauses end earlier, so that a change is known in 6 s.
    let backoff = PollBackoff { first: 200 * MS, max: 60 * SECOND };
    for (poll_interval, longest) in [(2 * SECOND, 3500 * MS), (20 * SECOND, 20 * SECOND)] {
        let mut schedule = PollSchedule::new(&RegistrySettings { backoff, poll_interval, ..settings(1) }, 0);
        (0..20).for_each(|_| schedule.failed(0, 0.0));
        assert_eq!(schedule.next_request().at, longest);
    }
    // The second address answers; the preferred one is polled again 30 s after its failure.
    let mut schedule = PollSchedule::new(&settings(2), 0);
    schedule.failed(0, 0.5);
    for second in 0..29 {
        assert_eq!(schedule.next_request().address_index, 1);
        schedule.succeeded(second * SECOND, PollKind::Complete, true, false);
    }
    schedule.succeeded(29 * SECOND, PollKind::Delta, true, false);
    assert_eq!(next(&mut schedule), (30 * SECOND, 0, PollKind::Complete));
    // While the view is in doubt, the complete list is polled.
    schedule.succeeded(30 * SECOND, PollKind::Complete, true, true);
    assert_eq!(schedule.next_request().kind, PollKind::Complete);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// After any sequence of updates, the list equals the registry's contents once only complete and current updates have
    /// arrived for 30 s. A drain that was received is never undone by an older update.
    ///
    /// A step consists of an action, the number of the instance, how many changes the replica lags behind (in a delta: how
    /// many changes before the last one it contains), and whether a delta lacks the changes of instances with an even
    /// number. Actions 0 and 3 register the instance or update its entry, 1 lets it drain, 2 removes it, 4 moves it to
    /// another port, 5 and 6 send a complete list, 7 and 8 send a delta, and 9 lets only time pass.
    #[test]
    fn the_list_converges_to_what_the_registry_holds(
        steps in proptest::collection::vec((0u8..10, 0usize..6, 0usize..4, any::<bool>()), 1..120),
    ) {
        let mut membership = pushed_and_registry();
        let mut registry: BTreeMap<usize, Listing> = BTreeMap::new();
        let mut history: Vec<BTreeMap<usize, Listing>> = vec![registry.clone()];
        let mut changes: Vec<(usize, Option<Listing>, u64)> = Vec::new();
        let mut received: BTreeMap<String, (u64, EntryState)> = BTreeMap::new();
        let (mut now, mut stamp) = (0, 0);
        for (action, instance, lag, lost) in steps {
            now += 400 * MS;
            membership.tick(now);
            let id = format!("i{instance}");
            match action {
                // The registry changes.
                0..=4 => {
                    stamp += 1;
                    let port = instance as u16 + 1 + 100 * u16::from(action == 4);
                    let state = if action == 1 { EntryState::Draining } else { EntryState::Up };
                    let was_registered = registry.contains_key(&instance);
                    if action == 2 {
                        if was_registered {
                            registry.remove(&instance);
                            changes.push((instance, None, stamp));
                        }
                    } else {
                        let listing = listing("A", &id, port, state, stamp);
                        registry.insert(instance, listing.clone());
                        changes.push((instance, Some(listing), stamp));
                    }
                    history.push(registry.clone());
                }
                // A replica that may lag sends the complete list.
                5 | 6 => {
                    let replica = history[history.len().saturating_sub(1 + lag)].clone();
                    for listing in replica.values() {
                        let newest = received.entry(listing.key.id.to_string()).or_insert((0, EntryState::Up));
                        if listing.stamp > newest.0 { *newest = (listing.stamp, listing.state); }
                    }
                    membership.apply(now, REGISTRY, complete(replica.into_values().collect()));
                }
                // The registry sends a delta from which some changes may be missing.
                7 | 8 => {
                    let from = changes.len().saturating_sub(1 + lag);
                    let mut listings = Vec::new();
                    let mut removed = Vec::new();
                    for (instance, listing, stamp) in &changes[from..] {
                        match listing {
                            _ if lost && instance % 2 == 0 => {}
                            Some(listing) => {
                                let newest = received.entry(listing.key.id.to_string()).or_insert((0, EntryState::Up));
                                if listing.stamp > newest.0 { *newest = (listing.stamp, listing.state); }
                                listings.push(listing.clone());
                            }
                            None => removed.push((EntryKey { group: "A".into(), id: format!("i{instance}").into() }, *stamp)),
                        }
                    }
                    membership.apply(now, REGISTRY, SourceUpdate::Patch { listings, removed });
                }
                _ => {}
            }
            for change in membership.endpoints().filter(|change| change.lifecycle == Lifecycle::Listed) {
                let (stamp, state) = received[&*change.listing.key.id];
                prop_assert!(
                    state == EntryState::Up || stamp < change.listing.stamp,
                    "{} drained and is listed",
                    change.listing.key.id
                );
            }
        }
        // From here on all updates are complete and current. Confirmation takes 10 s, the longest hold-down 8 s.
        for _ in 0..30 {
            now += SECOND;
            membership.tick(now);
            membership.apply(now, REGISTRY, complete(registry.values().cloned().collect()));
        }
        let mut expected: Vec<String> = registry
            .values()
            .filter(|listing| listing.state == EntryState::Up)
            .map(|listing| listing.key.id.to_string())
            .collect();
        expected.sort();
        prop_assert_eq!(listed_ids(&membership), expected);
    }
}
