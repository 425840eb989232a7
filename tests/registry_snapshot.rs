//! The registry's view as it is persisted: replaced atomically, and rejected if damaged.

use cedarbridge::membership::{EntryKey, EntryState, Listing};
use cedarbridge::net::platform::eureka::snapshot::RegistrySnapshot;
use cedarbridge::{DestinationId, KindId, ZoneId};
use std::fs;
use std::net::SocketAddr;

#[test]
fn the_persisted_view_is_read_completely_and_a_damaged_one_is_rejected() {
    let folder = std::env::temp_dir().join(format!("cedarbridge-snapshot-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let snapshot = RegistrySnapshot::new(&folder);
    assert!(snapshot.read().expect("nothing yet").is_none());
    let listing = |n: u16, state| Listing {
        key: EntryKey { group: "APP".into(), id: format!("i{n}") },
        address: SocketAddr::from(([127, 0, 0, 1], n)),
        destination: DestinationId(u64::from(n)),
        zone: ZoneId(0),
        kind: KindId(1),
        weight: 2.5,
        state,
        stamp: 0,
    };
    let all = [listing(1, EntryState::Up), listing(2, EntryState::Draining)];
    assert!(snapshot.write(7, all.iter(), 1_000_000).expect("written").is_some());
    let saved = snapshot.read().expect("sound").expect("there");
    assert_eq!((saved.written_at, saved.listings.as_slice()), (7, &all[..]));
    // One that is too large leaves the earlier one in place.
    assert!(snapshot.write(8, all.iter(), 64).expect("no failure").is_none());
    assert_eq!(snapshot.read().expect("sound").expect("there").written_at, 7);
    let path = folder.join("registry.view");
    let bytes = fs::read(&path).expect("read");
    for at in [0, 5, bytes.len() / 2, bytes.len() - 1] {
        let mut flipped = bytes.clone();
        flipped[at] ^= 0x40;
        fs::write(&path, flipped).expect("written");
        assert!(snapshot.read().is_err(), "a flip at {at}");
        fs::write(&path, &bytes[..at]).expect("written");
        assert!(snapshot.read().is_err(), "a cut at {at}");
    }
    fs::remove_dir_all(folder).expect("removed");
}
