//! Data that release 5c6b612 stored or handed over is still read with the same values. `tests/data/README.md` describes
//! how the data was made.

use cedarbridge::journal::{
    AttemptStart, ClockReading, Journal, JournaledMessage, Progress, ReportedEnd, RestoredJournal,
    UnreadableSegmentPolicy,
};
use cedarbridge::membership::{EntryKey, EntryState, Listing, MembershipSnapshot};
use cedarbridge::net::handover::frames::{
    HandOverState, PredecessorFrame, SuccessorFrame, ACCEPTED_FRAMES_HEADER, FORMAT_VERSION, LIST_LINE_FRAME,
};
use cedarbridge::net::handover::lock;
use cedarbridge::net::operator::cordons::CordonFile;
use cedarbridge::net::platform::eureka::snapshot::RegistrySnapshot;
use cedarbridge::net::storage::FolderStorage;
use cedarbridge::{DeliveryPolicy, DestinationId, EndpointId, KindId, MessageId, ZoneId};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// The clocks when the data was written.
const WRITTEN_AT: ClockReading =
    ClockReading { boot_id: 7, monotonic_us: 50_000_000, wall_us: 1_800_000_000_000_000 };

/// The path of a file or folder with stored data.
fn data_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(name)
}

/// Opens a copy of a stored journal by the given clocks.
fn restored(name: &str, test: &str, now: ClockReading) -> RestoredJournal {
    let folder = std::env::temp_dir().join(format!("cedarbridge-stored-{test}-{}", std::process::id()));
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).expect("a folder");
    let segment = "0000000001.journal";
    fs::copy(data_path(name).join(segment), folder.join(segment)).expect("copied");
    let storage = FolderStorage::open(&folder).expect("a folder");
    let opened = Journal::open(Box::new(storage), 1 << 20, move || now, 1, UnreadableSegmentPolicy::Fail)
        .expect("opens");
    let _ = fs::remove_dir_all(&folder);
    opened.1
}

/// A message of the stored journal; `shift` is added to its times, in microseconds.
fn stored(id: &str, shift: u64, progress: Progress) -> JournaledMessage {
    JournaledMessage {
        request_id: id.into(),
        key: Some(format!("key-{id}")),
        class: "notice".into(),
        tenant: Some("north".into()),
        destination: 7,
        deadline: 90_000_000 + shift,
        body: id.repeat(3).into_bytes(),
        progress,
    }
}

fn attempt_start(at: u64, zone: &str) -> Option<AttemptStart> {
    Some(AttemptStart { started_at: at, zone: zone.into() })
}

/// All messages of the stored journal; `shift` is added to their times, in microseconds.
fn expected(shift: u64) -> Vec<(u64, JournaledMessage)> {
    let no_progress = Progress::default;
    let ended = |end| Progress { report: Some(end), ..no_progress() };
    let plain = JournaledMessage { key: None, tenant: None, ..stored("plain", shift, no_progress()) };
    let sent = Progress {
        attempts: 1,
        attempt_in_flight: true,
        may_have_ended: false,
        first_possible_effect: attempt_start(11_000_000 + shift, "east"),
        ..no_progress()
    };
    let retried = Progress {
        attempts: 2,
        earlier_attempt_may_have_run: true,
        first_possible_effect: attempt_start(13_000_000 + shift, "east"),
        ..no_progress()
    };
    let carried = Progress {
        attempts: 4,
        earlier_attempt_may_have_run: true,
        attempt_in_flight: false,
        may_have_ended: false,
        first_possible_effect: attempt_start(9_000_000 + shift, "west"),
        unknown_attempt: None,
        report: Some(ReportedEnd::Returned(Some(20))),
    };
    vec![
        (1, stored("untried", shift, no_progress())),
        (2, plain),
        (3, stored("sent", shift, sent)),
        (4, stored("never-ran", shift, Progress { attempts: 1, ..no_progress() })),
        (5, stored("retried", shift, retried)),
        (6, stored("failed", shift, ended(ReportedEnd::Failed))),
        (7, stored("returned", shift, ended(ReportedEnd::Returned(None)))),
        (8, stored("returned-after", shift, ended(ReportedEnd::Returned(Some(750))))),
        (10, stored("carried", shift, carried)),
    ]
}

#[test]
fn a_stored_journal_is_read_with_every_record() {
    let restored = restored("journal", "whole", ClockReading { monotonic_us: 60_000_000, ..WRITTEN_AT });
    assert_eq!(restored.messages, expected(0));
    assert_eq!((restored.highest_id, restored.damage), (10, vec![]));
}

/// After a reboot only the wall clock shows how much time has passed.
#[test]
fn a_stored_journal_is_read_on_another_boot_with_its_times_moved() {
    let now = ClockReading { boot_id: 8, monotonic_us: 70_000_000, wall_us: WRITTEN_AT.wall_us + 5_000_000 };
    assert_eq!(restored("journal", "boot", now).messages, expected(15_000_000));
}

#[test]
fn a_stored_journal_with_a_flipped_bit_loses_that_message_alone() {
    let restored =
        restored("journal-flipped", "flipped", ClockReading { monotonic_us: 60_000_000, ..WRITTEN_AT });
    let rest: Vec<_> = expected(0).into_iter().filter(|m| m.0 != 2).collect();
    assert_eq!(restored.messages, rest);
    assert_eq!(restored.damage.len(), 1);
}

#[test]
fn a_stored_journal_that_is_cut_loses_its_last_record_alone() {
    let restored = restored("journal-cut", "cut", ClockReading { monotonic_us: 60_000_000, ..WRITTEN_AT });
    let rest: Vec<_> = expected(0).into_iter().filter(|m| m.0 != 10).collect();
    assert_eq!(restored.messages, rest);
    assert_eq!(restored.damage.len(), 1);
}

#[test]
fn a_stored_journal_without_segment_headers_is_read_by_the_wall_clock() {
    let progress = Progress { attempts: 1, attempt_in_flight: true, ..Progress::default() };
    let restored = restored("journal-headless", "headless", WRITTEN_AT);
    assert_eq!(restored.messages, vec![(1, stored("headless", 0, progress))]);
}

#[test]
fn stored_cordons_are_read() {
    let cordons = CordonFile::new(&data_path("")).read().expect("read");
    assert_eq!(cordons, ["e1", "payments/e2"]);
}

#[test]
fn the_stored_registry_snapshot_is_read() {
    let snapshot = RegistrySnapshot::new(&data_path("")).read().expect("sound").expect("there");
    let listing = |n: u16, state| Listing {
        key: EntryKey { group: "PARTNER".into(), id: format!("partner-{n}").into() },
        address: ([127, 0, 0, 1], n).into(),
        destination: DestinationId(u64::from(n)),
        zone: ZoneId(1),
        kind: KindId(2),
        weight: 2.5,
        state,
        stamp: 0,
    };
    assert_eq!(snapshot.written_at, 1_800_000_000_000_007);
    assert_eq!(snapshot.listings, [listing(4001, EntryState::Up), listing(4002, EntryState::Draining)]);
}

#[test]
fn the_stored_owner_is_read_and_written_unchanged() {
    let owner = lock::read_owner(&data_path("")).expect("named");
    assert_eq!(owner.operator, ([127, 0, 0, 1], 4100).into());
    assert_eq!(owner.token, "0123456789abcdef");
    let text = fs::read_to_string(data_path("owner")).expect("read");
    assert_eq!(serde_json::to_string(&owner).expect("JSON"), text);
}

fn json(name: &str) -> Value {
    serde_json::from_slice(&fs::read(data_path(name)).expect("read")).expect("JSON")
}

/// Guards against a field that is renamed without an attribute that keeps its stored name.
#[test]
fn the_policy_state_is_read_and_written_unchanged() {
    for name in ["policy-1.json", "policy-2.json"] {
        let stored = json(name);
        let policy: DeliveryPolicy = serde_json::from_value(stored.clone()).expect("read");
        assert_eq!(serde_json::to_value(&policy).expect("written"), stored, "{name}");
    }
}

/// The frames of a recorded hand-over, each with its body. They follow the head of an HTTP message.
fn frames(name: &str) -> Vec<(Value, Vec<u8>)> {
    let bytes = fs::read(data_path("hand-over").join(name)).expect("read");
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n").expect("a head");
    let mut rest = &bytes[head_end + 4..];
    let mut frames = Vec::new();
    while let Some((sizes, after_sizes)) = rest.split_first_chunk::<8>() {
        let size = |at: usize| u32::from_le_bytes(sizes[at..at + 4].try_into().expect("four bytes")) as usize;
        let (frame, after_frame) = after_sizes.split_at(size(0));
        let (body, after_body) = after_frame.split_at(size(4));
        frames.push((serde_json::from_slice(frame).expect("JSON"), body.to_vec()));
        rest = after_body;
    }
    frames
}

#[test]
fn the_handed_over_state_is_read_and_written_unchanged() {
    let (frame, _) = frames("from-predecessor").remove(0);
    let state: HandOverState = serde_json::from_value(frame["State"].clone()).expect("read");
    assert_eq!((state.last_id, state.messages.len()), (3, 3));
    assert_eq!(
        (state.messages[0].id, state.messages[0].in_flight),
        (MessageId(1), Some((0, EndpointId(1)).into()))
    );
    let policy: DeliveryPolicy = serde_json::from_str(state.policy.get()).expect("read");
    assert_eq!(serde_json::to_value(&policy).expect("written"), frame["State"]["module"]);
    assert_eq!(serde_json::to_value(&state).expect("written"), frame["State"]);
    assert_eq!(FORMAT_VERSION, 4);
}

/// Decodes each frame and checks that it is encoded to the same JSON.
fn round_trip<T: DeserializeOwned + Serialize>(frames: &[Value]) {
    for frame in frames {
        let decoded: T = serde_json::from_value(frame.clone()).expect("read");
        assert_eq!(serde_json::to_value(&decoded).expect("written"), *frame);
    }
}

/// The names of the frame variants that occur.
fn kinds(frames: &[Value]) -> BTreeSet<String> {
    let kind = |frame: &Value| match frame {
        Value::String(kind) => kind.clone(),
        Value::Object(fields) => fields.keys().next().expect("a kind").clone(),
        other => panic!("not a frame: {other}"),
    };
    frames.iter().map(kind).collect()
}

#[test]
fn all_recorded_frames_are_read_and_written_unchanged() {
    let frames_without_bodies = |name| frames(name).into_iter().map(|f| f.0).collect::<Vec<_>>();
    let predecessor = frames_without_bodies("from-predecessor");
    round_trip::<PredecessorFrame>(&predecessor);
    let expected = ["Granted", "Operate", "Passed", "State", "Take"].map(str::to_owned);
    assert_eq!(kinds(&predecessor), expected.into());
    let successor = frames_without_bodies("from-successor");
    round_trip::<SuccessorFrame>(&successor);
    let expected = ["CallOff", "Operated", "Owns", "Reply"].map(str::to_owned);
    assert_eq!(kinds(&successor), expected.into());
    let bodies: Vec<_> =
        frames("from-predecessor").into_iter().map(|f| f.1).filter(|b| !b.is_empty()).collect();
    assert_eq!(bodies, [b"xxx", b"xxx"]);
}

/// Frames that the recorded hand-over does not contain, with the names that 5c6b612 gives them.
#[test]
fn frames_that_were_not_recorded_are_read_and_written_unchanged() {
    round_trip::<PredecessorFrame>(&[
        json!({"Withdrawn": {"id": 7}}),
        json!({"Passed": {"endpoint": 3, "sent": 5, "parts": [[1, 0], [2, 1]], "ended": {
            "ends": [{"outcome": {"Full": 250}, "ended": false}, {"outcome": "Moot", "ended": false}],
            "report": {"left": 0.5, "rate": 20.0}, "wait": 250}}}),
        json!({"Passed": {"endpoint": 3, "sent": 5, "parts": [], "ended": {
            "ends": [{"outcome": "Error", "ended": false}, {"outcome": "TimedOut", "ended": false},
                {"outcome": "ConnectFailed", "ended": false}, {"outcome": "Reset", "ended": false},
                {"outcome": "Stale", "ended": false}, {"outcome": "Cancelled", "ended": false},
                {"outcome": "Unsent", "ended": false}, {"outcome": {"Full": null}, "ended": false}],
            "report": null, "wait": null}}}),
    ]);
    round_trip::<SuccessorFrame>(&[
        json!({"Reply": {"number": 1, "reply": "Held"}}),
        json!({"Reply": {"number": 1, "reply": {"Unavailable": 1000}}}),
        json!({"Reply": {"number": 1, "reply": "Failed"}}),
        json!({"Operated": {"number": 1, "answer": {"Err": {"NotKept": "no space"}}}}),
        json!({"Operated": {"number": 1, "answer": {"Err": "Gone"}}}),
    ]);
}

/// This frame is newer than 5c6b612. It is sent only to a successor that lists it in a header.
#[test]
fn an_endpoint_list_line_frame_is_read_and_written_unchanged() {
    round_trip::<PredecessorFrame>(&[json!({"ListLine": {"received_at": 7, "address": "127.0.0.1:4001"}})]);
    assert_eq!((ACCEPTED_FRAMES_HEADER, LIST_LINE_FRAME), ("X-Accept-Frames", "list-line"));
}

/// An endpoint list with both forms of an endpoint's key, by name and by address, as 5c6b612 writes it.
#[test]
fn the_handed_over_endpoint_list_is_read_and_written_unchanged() {
    let entry = json!({"key": {"group": "PARTNER", "id": "p1"}, "address": "127.0.0.1:4001", "destination": 7,
        "zone": 1, "kind": 0, "weight": 2.5, "state": "Leaving", "stamp": 3});
    let list = json!({
        "ids": [[{"Named": [0, {"group": "", "id": "e1"}]}, 1], [{"Placed": ["127.0.0.1:4001", "p1"]}, 2]],
        "last_id": 2, "views": [[], [entry]],
    });
    let decoded: MembershipSnapshot = serde_json::from_value(list.clone()).expect("read");
    assert_eq!(serde_json::to_value(&decoded).expect("written"), list);
}
