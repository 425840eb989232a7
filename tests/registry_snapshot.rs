//! The persisted view of the registry: it is read completely, and rejected if it is damaged.

use cedarbridge::membership::{EntryKey, EntryState, Listing};
use cedarbridge::net::platform::eureka::snapshot::RegistrySnapshot;
use cedarbridge::{DestinationId, KindId, ZoneId};
use std::fs;
use std::net::SocketAddr;

fn listing(port: u16, state: EntryState) -> Listing {
    Listing {
        key: EntryKey { group: "APP".into(), id: format!("i{port}").into() },
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        destination: DestinationId(u64::from(port)),
        zone: ZoneId(0),
        kind: KindId(1),
        weight: 2.5,
        state,
        stamp: 0,
    }
}

/// Guards against a replacement beside a view from before the limit was lowered, which exceed their share together.
#[test]
fn a_view_that_is_too_large_for_a_lower_limit_is_removed_before_its_replacement_is_written() {
    let folder = std::env::temp_dir().join(format!("cedarbridge-snapshot-lowered-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let snapshot = RegistrySnapshot::new(&folder);
    let many: Vec<Listing> = (1..2_000).map(|port| listing(port, EntryState::Up)).collect();
    assert!(snapshot.write(7, many.iter(), 10_000_000).expect("written").is_some());
    let view = folder.join("registry.view");
    let size = fs::metadata(&view).expect("a view").len();
    // A folder in place of the new file makes the write fail at that moment.
    fs::create_dir(folder.join("registry.next")).expect("created");
    let enough = 16 * (size + 512);
    assert!(snapshot.write(8, many[..9].iter(), enough).is_err());
    assert!(view.exists(), "a view that is not too large stays");
    assert!(snapshot.write(8, many[..9].iter(), 16 * (size - 512)).is_err());
    assert!(!view.exists(), "a view that is too large is removed first");
    fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn the_persisted_view_is_read_completely_and_a_damaged_one_is_rejected() {
    let folder = std::env::temp_dir().join(format!("cedarbridge-snapshot-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    let snapshot = RegistrySnapshot::new(&folder);
    assert!(snapshot.read().expect("nothing yet").is_none());
    let all = [listing(1, EntryState::Up), listing(2, EntryState::Draining)];
    assert!(snapshot.write(7, all.iter(), 1_000_000).expect("written").is_some());
    let saved = snapshot.read().expect("valid").expect("a view");
    assert_eq!((saved.written_at, saved.listings.as_slice()), (7, &all[..]));
    // A view that is too large is not written, and the earlier one stays.
    assert!(snapshot.write(8, all.iter(), 64).expect("no failure").is_none());
    assert_eq!(snapshot.read().expect("valid").expect("a view").written_at, 7);
    let path = folder.join("registry.view");
    let bytes = fs::read(&path).expect("read");
    for position in [0, 5, bytes.len() / 2, bytes.len() - 1] {
        let mut corrupted = bytes.clone();
        corrupted[position] ^= 0x40;
        fs::write(&path, corrupted).expect("written");
        assert!(snapshot.read().is_err(), "a flipped bit at {position}");
        fs::write(&path, &bytes[..position]).expect("written");
        assert!(snapshot.read().is_err(), "truncated at {position}");
    }
    fs::remove_dir_all(folder).expect("removed");
}
