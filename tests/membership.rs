//! The views and the list that they make, by hand-set time.

use cedarbridge::membership::*;
use cedarbridge::{DestinationId, EndpointId, KindId, Lifecycle, Micros, ZoneId};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const R: SourceId = SourceId(1);
const P: SourceId = SourceId(0);

fn policy() -> SourcePolicy {
    SourcePolicy {
        hold_down: Some(HoldDown { first: SECOND, max: 8 * SECOND, forget_after: 20 * SECOND }),
        shrink_guard: Some(ShrinkGuard { max_missing_share: 0.3, confirm_after: 10 * SECOND }),
        by_address: true,
    }
}

fn membership() -> Membership {
    Membership::new(vec![("pushed", SourcePolicy::default()), ("registry", policy())])
}

fn at(group: &str, id: &str, port: u16, state: State, stamp: u64) -> Listing {
    Listing {
        key: Key { group: group.into(), id: id.into() },
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
    at("A", id, port, State::Up, stamp)
}

fn patch(listings: Vec<Listing>) -> SourceUpdate {
    SourceUpdate::Patch { listings, removed: Vec::new() }
}

fn whole(listings: Vec<Listing>) -> SourceUpdate {
    SourceUpdate::Complete { version: None, listings }
}

/// What changed, as `id lifecycle`.
fn told(changes: &[MembershipChange]) -> Vec<String> {
    changes.iter().map(|c| format!("{} {:?}", c.listing.key.id, c.lifecycle)).collect()
}

fn listed(m: &Membership) -> Vec<String> {
    let all = m.endpoints().filter(|c| c.lifecycle == Lifecycle::Listed);
    let mut all: Vec<String> = all.map(|c| c.listing.key.id.clone()).collect();
    all.sort();
    all
}

#[test]
fn what_leaves_drains_at_once_and_what_comes_back_waits_longer_each_time() {
    let mut m = membership();
    assert_eq!(told(&m.apply(0, R, patch(vec![up("i", 1, 1)]))), ["i Listed"]);
    let (mut now, mut stamp) = (SECOND, 1);
    for wait in [1, 2, 4, 8, 8] {
        stamp += 1;
        let gone = m.apply(now, R, patch(vec![at("A", "i", 1, State::Draining, stamp)]));
        assert_eq!((told(&gone), gone[0].observed_at), (vec!["i Draining".into()], now));
        now += 300 * MS;
        stamp += 1;
        assert!(m.apply(now, R, patch(vec![up("i", 1, stamp)])).is_empty(), "held down");
        assert_eq!(m.next_tick(), Some(now + wait * SECOND));
        assert!(m.tick(now + wait * SECOND - 1).is_empty());
        now += wait * SECOND;
        assert_eq!(told(&m.tick(now)), ["i Listed"]);
        now += 100 * MS;
    }
    // Each span without another forgets one.
    now += 61 * SECOND;
    m.apply(now, R, patch(vec![at("A", "i", 1, State::Draining, stamp + 1)]));
    m.apply(now, R, patch(vec![up("i", 1, stamp + 2)]));
    assert_eq!(m.next_tick(), Some(now + 4 * SECOND));
}

/// Guards against an entry that flaps every 300 ms: it must drain each time and be used hardly ever.
#[test]
fn a_minute_of_flapping_is_a_handful_of_returns() {
    let mut m = membership();
    m.apply(0, R, patch(vec![up("i", 1, 1)]));
    let mut returns = 0;
    for n in 1..=200u64 {
        let now = n * 300 * MS;
        let changes = m.tick(now);
        returns += changes.iter().filter(|c| c.lifecycle == Lifecycle::Listed).count();
        let state = if n % 2 == 1 { State::Draining } else { State::Up };
        let changes = m.apply(now, R, patch(vec![at("A", "i", 1, state, n + 1)]));
        returns += changes.iter().filter(|c| c.lifecycle == Lifecycle::Listed).count();
        if state == State::Draining {
            assert!(listed(&m).is_empty(), "drained at once, at {now}");
        }
    }
    assert_eq!(returns, 0, "never up for as long as it is held down");
    assert_eq!((m.stats(R).flaps, m.stats(R).held_down), (100, 100));
}

#[test]
fn a_registry_that_restarts_empty_is_not_believed_before_it_says_so_again() {
    let all = || (1..=10).map(|n| up(&format!("i{n:02}"), n, u64::from(n))).collect::<Vec<_>>();
    let mut m = membership();
    m.apply(0, R, whole(all()));
    assert!(m.apply(SECOND, R, whole(vec![])).is_empty() && m.needs_complete_poll(R));
    assert!(m.apply(5 * SECOND, R, whole(all()[..3].to_vec())).is_empty());
    assert_eq!(listed(&m).len(), 10);
    // Filled up again: nothing has changed, and nothing is in doubt.
    assert!(m.apply(8 * SECOND, R, whole(all())).is_empty() && !m.needs_complete_poll(R));
    // Empty for good: gone once an answer says so after the set time, not by time alone.
    m.apply(20 * SECOND, R, whole(vec![]));
    assert!(m.tick(40 * SECOND).is_empty());
    assert_eq!(m.apply(41 * SECOND, R, whole(vec![])).len(), 10);
    // Little that is missing is gone at once, and a drain by name is believed whatever is in doubt.
    let mut m = membership();
    m.apply(0, R, whole(all()));
    assert_eq!(told(&m.apply(SECOND, R, whole(all()[1..].to_vec()))), ["i01 Removed"]);
    m.apply(2 * SECOND, R, whole(vec![]));
    let drain = at("A", "i05", 5, State::Draining, 99);
    assert_eq!(told(&m.apply(3 * SECOND, R, patch(vec![drain]))), ["i05 Draining"]);
    let gone = SourceUpdate::Patch {
        listings: vec![],
        removed: vec![(Key { group: "A".into(), id: "i06".into() }, 99)],
    };
    assert_eq!(told(&m.apply(3 * SECOND, R, gone)), ["i06 Removed"]);
}

#[test]
fn an_older_answer_changes_nothing() {
    let mut m = membership();
    m.apply(0, R, patch(vec![up("i", 1, 5), up("j", 2, 6)]));
    m.apply(1, R, patch(vec![at("A", "i", 1, State::Draining, 7)]));
    assert!(m.apply(2, R, patch(vec![up("i", 1, 5)])).is_empty());
    assert!(m.apply(3, R, whole(vec![up("i", 1, 5), up("j", 2, 6)])).is_empty());
    assert_eq!((listed(&m), m.stats(R).stale_entries), (vec!["j".into()], 2));
    // One that was cancelled does not come back by an answer from before.
    let key = Key { group: "A".into(), id: "j".into() };
    m.apply(4, R, SourceUpdate::Patch { listings: vec![], removed: vec![(key, 8)] });
    assert!(m.apply(5, R, patch(vec![up("j", 2, 6)])).is_empty());
    // A replica that lags lacks what is new: its gaps are doubted.
    let mut m = membership();
    m.apply(0, R, whole(vec![up("a", 1, 1), up("b", 2, 2), up("c", 3, 3), up("d", 4, 9)]));
    assert!(m.apply(SECOND, R, whole(vec![up("a", 1, 1), up("b", 2, 2), up("c", 3, 3)])).is_empty());
    assert_eq!(listed(&m).len(), 4);
    // A version that goes back changes nothing, until it has stayed back for the set time.
    let version = |v, listings| SourceUpdate::Complete { version: Some(v), listings };
    let mut m = membership();
    m.apply(0, R, version(9, vec![up("a", 1, 1)]));
    let moved = || vec![up("a", 1, 1), up("b", 2, 2)];
    assert!(m.apply(SECOND, R, version(8, moved())).is_empty() && m.needs_complete_poll(R));
    assert_eq!(told(&m.apply(12 * SECOND, R, version(8, moved()))), ["b Listed"]);
}

#[test]
fn statuses_drain_or_change_nothing_and_add_nothing() {
    let mut m = membership();
    assert!(m.apply(0, R, patch(vec![at("A", "i", 1, State::Draining, 1)])).is_empty(), "never in service");
    assert!(m.apply(1, R, patch(vec![at("A", "j", 2, State::Unknown, 1)])).is_empty());
    assert_eq!(told(&m.apply(2, R, patch(vec![up("i", 1, 2)]))), ["i Listed"]);
    assert!(m.apply(3, R, patch(vec![at("A", "i", 1, State::Unknown, 3)])).is_empty());
    assert_eq!(listed(&m), ["i"]);
}

#[test]
fn an_id_elsewhere_and_another_id_there_are_other_endpoints() {
    let mut m = membership();
    let first = m.apply(0, R, patch(vec![up("i", 1, 1)]))[0].endpoint;
    // At another address.
    let changes = m.apply(1, R, patch(vec![up("i", 2, 2)]));
    assert_eq!(told(&changes), ["i Removed", "i Listed"]);
    assert_eq!(changes[0].endpoint, first);
    assert_ne!(changes[1].endpoint, first);
    // Another id at its address: the newer one stands there, whichever is still listed.
    let changes = m.apply(2, R, patch(vec![up("k", 2, 3)]));
    assert_eq!(told(&changes), ["i Removed", "k Listed"]);
    assert!(m.apply(3, R, patch(vec![up("i", 2, 2)])).is_empty());
    // The same instance in two applications is one endpoint, and a drain in either drains it.
    let mut m = membership();
    m.apply(0, R, patch(vec![at("A", "i", 1, State::Up, 1), at("B", "i", 1, State::Up, 2)]));
    assert_eq!(m.endpoints().count(), 1);
    assert_eq!(told(&m.apply(1, R, patch(vec![at("A", "i", 1, State::Draining, 3)]))), ["i Draining"]);
}

#[test]
fn the_pushed_list_passes_as_it_is_told_and_holds_where_both_name_an_address() {
    let mut m = membership();
    let pushed = |id: &str, port, state| at("", id, port, state, 0);
    let told_in = |m: &mut Membership, now, l| told(&m.apply(now, P, patch(l)));
    assert_eq!(told_in(&mut m, 0, vec![pushed("e", 1, State::Draining)]), ["e Draining"]);
    assert_eq!(
        told_in(&mut m, 1, vec![pushed("e", 1, State::Draining)]),
        ["e Draining"],
        "told again, passed on"
    );
    let moved = m.apply(2, P, patch(vec![pushed("e", 5, State::Up)]));
    assert_eq!(
        (told(&moved), moved[0].endpoint),
        (vec!["e Listed".into()], EndpointId(1)),
        "one id, one endpoint"
    );
    assert!(m.apply(3, R, patch(vec![up("r", 5, 1)])).is_empty(), "the pushed list's word");
    assert_eq!(told_in(&mut m, 4, vec![pushed("e", 5, State::Removed)]), ["e Removed", "r Listed"]);
    assert_eq!(told_in(&mut m, 5, vec![pushed("f", 5, State::Up)]), ["f Listed", "r Removed"]);
}

#[test]
fn a_kept_view_gives_way_to_any_answer() {
    let mut m = membership();
    assert_eq!(told(&m.restore(0, R, vec![up("i", 1, 50), up("j", 2, 60)])), ["i Listed", "j Listed"]);
    assert!(m.stats(R).last_update_at.is_none());
    let answer = whole(vec![at("A", "i", 1, State::Draining, 3), up("j", 2, 4)]);
    assert_eq!(told(&m.apply(SECOND, R, answer)), ["i Draining"]);
}

fn settings(addresses: usize) -> RegistrySettings {
    let address =
        |n| RegistryAddress { host: "127.0.0.1".into(), port: n as u16, path_prefix: String::new() };
    let word = |w: &str| w.to_owned();
    RegistrySettings {
        addresses: (0..addresses).map(address).collect(),
        scope: PollScope::All,
        poll_interval: SECOND,
        timeout: SECOND,
        back_off: (200 * MS, 1600 * MS),
        preferred_retry_after: 30 * SECOND,
        max_response_bytes: 1000,
        metadata: MetadataNames {
            destination: word("d"),
            kind: word("k"),
            zone: word("z"),
            weight: word("w"),
        },
        hold_down: HoldDown { first: SECOND, max: SECOND, forget_after: SECOND },
        shrink_guard: ShrinkGuard { max_missing_share: 0.3, confirm_after: SECOND },
        use_snapshot_after: SECOND,
        registration: None,
    }
}

#[test]
fn a_registry_that_fails_is_left_for_the_next_and_tried_again_later() {
    let mut p = Poller::new(&settings(2), 0);
    let next = |p: &mut Poller| {
        let n = p.next_request();
        (n.at, n.address_index, n.kind)
    };
    assert_eq!(next(&mut p), (0, 0, PollKind::Complete));
    p.succeeded(0, PollKind::Complete, true, false);
    assert_eq!(next(&mut p), (SECOND, 0, PollKind::Delta));
    // A delta that does not fit is followed by the whole at once.
    p.succeeded(SECOND, PollKind::Delta, false, false);
    assert_eq!(next(&mut p), (SECOND, 0, PollKind::Complete));
    p.failed(SECOND, 0.0);
    assert_eq!(next(&mut p), (SECOND, 1, PollKind::Complete), "the next at once, from which all is asked");
    // All have failed: with a pause that grows up to the longest.
    let mut pauses = Vec::new();
    let mut now = SECOND;
    for _ in 0..10 {
        p.failed(now, 0.0);
        let at = p.next_request().at;
        if at > now {
            pauses.push((at - now) / MS);
        }
        now = at;
    }
    assert_eq!(pauses, [200, 400, 800, 1600, 1600]);
    // The second one answers; the preferred one is tried again after its time.
    let mut p = Poller::new(&settings(2), 0);
    p.failed(0, 0.5);
    for n in 0..29 {
        assert_eq!(p.next_request().address_index, 1);
        p.succeeded(n * SECOND, PollKind::Complete, true, false);
    }
    p.succeeded(29 * SECOND, PollKind::Delta, true, false);
    assert_eq!(next(&mut p), (30 * SECOND, 0, PollKind::Complete));
    // What is in doubt is asked for as a whole.
    p.succeeded(30 * SECOND, PollKind::Complete, true, true);
    assert_eq!(p.next_request().kind, PollKind::Complete);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Whatever comes in whatever order, the list is that of a plain reference once answers are true again for the
    /// stated time; and a drain that was heard is never undone by an older word.
    #[test]
    fn the_list_comes_to_what_the_registry_holds(
        steps in proptest::collection::vec((0u8..10, 0usize..6, 0usize..4, any::<bool>()), 1..120),
    ) {
        let mut m = membership();
        let mut truth: BTreeMap<usize, Listing> = BTreeMap::new();
        let mut past: Vec<BTreeMap<usize, Listing>> = vec![truth.clone()];
        let mut recent: Vec<(usize, Option<Listing>, u64)> = Vec::new();
        let mut heard: BTreeMap<String, (u64, State)> = BTreeMap::new();
        let (mut now, mut stamp) = (0, 0);
        for (what, which, lag, lost) in steps {
            now += 400 * MS;
            m.tick(now);
            let id = format!("i{which}");
            match what {
                // The registry changes.
                0..=4 => {
                    stamp += 1;
                    let port = which as u16 + 1 + 100 * u16::from(what == 4);
                    let state = if what == 1 { State::Draining } else { State::Up };
                    let was = truth.contains_key(&which);
                    if what == 2 {
                        if was {
                            truth.remove(&which);
                            recent.push((which, None, stamp));
                        }
                    } else {
                        let listing = at("A", &id, port, state, stamp);
                        truth.insert(which, listing.clone());
                        recent.push((which, Some(listing), stamp));
                    }
                    past.push(truth.clone());
                }
                // A replica that may lag answers as a whole.
                5 | 6 => {
                    let seen = past[past.len().saturating_sub(1 + lag)].clone();
                    for l in seen.values() {
                        let h = heard.entry(l.key.id.clone()).or_insert((0, State::Up));
                        if l.stamp > h.0 { *h = (l.stamp, l.state); }
                    }
                    m.apply(now, R, whole(seen.into_values().collect()));
                }
                // A delta, of which some may be lost.
                7 | 8 => {
                    let from = recent.len().saturating_sub(1 + lag);
                    let mut listings = Vec::new();
                    let mut removed = Vec::new();
                    for (which, listing, stamp) in &recent[from..] {
                        match listing {
                            _ if lost && which % 2 == 0 => {}
                            Some(l) => {
                                let h = heard.entry(l.key.id.clone()).or_insert((0, State::Up));
                                if l.stamp > h.0 { *h = (l.stamp, l.state); }
                                listings.push(l.clone());
                            }
                            None => removed.push((Key { group: "A".into(), id: format!("i{which}") }, *stamp)),
                        }
                    }
                    m.apply(now, R, SourceUpdate::Patch { listings, removed });
                }
                _ => {}
            }
            for c in m.endpoints().filter(|c| c.lifecycle == Lifecycle::Listed) {
                let (stamp, state) = heard[&c.listing.key.id];
                prop_assert!(state == State::Up || stamp < c.listing.stamp, "{} drained and is listed", c.listing.key.id);
            }
        }
        // From here on all answers are true. Confirmation takes 10 s, the longest hold-down 8 s.
        for _ in 0..30 {
            now += SECOND;
            m.tick(now);
            m.apply(now, R, whole(truth.values().cloned().collect()));
        }
        let mut wanted: Vec<String> =
            truth.values().filter(|l| l.state == State::Up).map(|l| l.key.id.clone()).collect();
        wanted.sort();
        prop_assert_eq!(listed(&m), wanted);
    }
}
