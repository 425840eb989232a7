//! The journal on real files: recovery after a crash and after damage, and its size limit.

use cedarbridge::journal::encoding::encode;
use cedarbridge::journal::record::{JournalRecord, ProgressStep};
use cedarbridge::journal::{
    AttemptStart, ClockReading, Journal, JournalError, JournaledMessage, Progress, ReportedEnd,
    RestoredJournal, UnknownAttempt, UnreadableSegmentPolicy,
};
use cedarbridge::net::storage::FolderStorage;
use std::collections::VecDeque;
use std::fs;
use std::path::PathBuf;

/// The disk block size in bytes. The platform rounds file sizes up to whole blocks.
const DISK_BLOCK_BYTES: u64 = 512;

fn size_on_disk(size: u64) -> u64 {
    size.div_ceil(DISK_BLOCK_BYTES) * DISK_BLOCK_BYTES
}

fn attempt_start(started_at: u64, zone: &str) -> AttemptStart {
    AttemptStart { started_at, zone: zone.into() }
}

/// The clocks when journals are opened and written, unless a test sets others.
const NOW: ClockReading = ClockReading { boot_id: 7, monotonic_us: 1_000, wall_us: 5_000_000 };

struct JournalFolder(PathBuf);

impl JournalFolder {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("cedarbridge-{test}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        JournalFolder(path)
    }

    fn open(&self, limit: u64) -> (Journal, RestoredJournal) {
        self.open_at(limit, NOW)
    }

    fn open_at(&self, limit: u64, now: ClockReading) -> (Journal, RestoredJournal) {
        let storage = FolderStorage::open(&self.0).expect("a folder");
        Journal::open(Box::new(storage), limit, move || now, 99, UnreadableSegmentPolicy::Fail)
            .expect("opens")
    }

    fn files(&self) -> Vec<PathBuf> {
        let mut files: Vec<_> =
            fs::read_dir(&self.0).expect("a folder").map(|entry| entry.expect("an entry").path()).collect();
        files.sort();
        files
    }

    fn size_on_disk(&self) -> u64 {
        self.files().iter().map(|file| size_on_disk(fs::metadata(file).expect("a file").len())).sum()
    }
}

impl Drop for JournalFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn message(id: &str, size: usize) -> JournaledMessage {
    let message = JournaledMessage {
        request_id: id.into(),
        class: "notice".into(),
        destination: 7,
        ..JournaledMessage::default()
    };
    JournaledMessage { key: Some("k".into()), deadline: 99, body: vec![b'x'; size], ..message }
}

#[test]
fn messages_that_are_not_completed_are_restored_with_their_attempts() {
    let folder = JournalFolder::new("not-completed");
    let (mut journal, _) = folder.open(1 << 20);
    for id in 1..=4 {
        journal.record_received(id, &message(&format!("m{id}"), 10)).expect("space");
    }
    journal.record_attempt(1, 0, attempt_start(5, "east")).expect("written");
    journal.record_never_ran(1, 0);
    journal.record_attempt(2, 0, attempt_start(6, "east")).expect("written");
    // Attempt 1 was not recorded yet, so this must not change attempt 0, which may have run.
    journal.record_never_ran(2, 1);
    journal.record_attempt(2, 1, attempt_start(7, "west")).expect("written");
    journal.record_undelivered(3, ReportedEnd::Returned(Some(500)));
    journal.record_completed(4);
    assert_eq!(journal.unwritten_records(), 0, "all records are written");
    drop(journal);
    let (_, restored) = folder.open(1 << 20);
    let found: Vec<_> =
        restored.messages.iter().map(|(id, message)| (*id, message.progress.clone())).collect();
    let report = Some(ReportedEnd::Returned(Some(500)));
    // The attempt of message 1 never ran and is not its `first_possible_effect`; attempt 0 of message 2 may have run.
    let expected = [
        (1, Progress { attempts: 1, ..Progress::default() }),
        (
            2,
            Progress {
                attempts: 2,
                earlier_attempt_may_have_run: true,
                attempt_in_flight: true,
                may_have_ended: false,
                first_possible_effect: Some(attempt_start(6, "east")),
                unknown_attempt: None,
                report: None,
            },
        ),
        (3, Progress { report, ..Progress::default() }),
    ];
    assert_eq!(found, expected);
    assert_eq!((restored.highest_id, restored.messages[0].1.body.len()), (4, 10));
}

/// Guards against a message that the next process calls again although a response has said that it is over.
#[test]
fn a_message_that_may_have_ended_is_restored_as_one_through_compaction_until_its_next_attempt() {
    let folder = JournalFolder::new("may-have-ended");
    let (mut journal, _) = folder.open(60_000);
    for id in 1..=3 {
        journal.record_received(id, &message(&format!("m{id}"), 300)).expect("space");
        journal.record_attempt(id, 0, attempt_start(5, "east")).expect("written");
        journal.record_may_have_ended(id, 0);
    }
    // The response to an attempt before the last one says nothing of the last one.
    journal.record_attempt(2, 1, attempt_start(6, "east")).expect("written");
    journal.record_may_have_ended(2, 0);
    journal.record_never_ran(3, 0);
    let first_segments = folder.files();
    let mut id = 3;
    while folder.files().iter().any(|file| first_segments.contains(file)) {
        id += 1;
        journal.record_received(id, &message(&format!("m{id}"), 300)).expect("space");
        journal.record_completed(id);
    }
    drop(journal);
    let (_, restored) = folder.open(60_000);
    assert!(restored.damage.is_empty());
    let may_have_ended: Vec<bool> =
        restored.messages.iter().map(|(_, message)| message.progress.may_have_ended).collect();
    assert_eq!(may_have_ended, [true, false, false]);
}

/// Guards against a crash loop: a last record that is torn by a kill or damaged by a bad disk block must not prevent the
/// start.
#[test]
fn a_torn_or_damaged_tail_is_truncated_wherever_it_begins() {
    let folder = JournalFolder::new("torn");
    let (mut journal, _) = folder.open(1 << 20);
    journal.record_received(1, &message("one", 40)).expect("space");
    let first_record_end =
        fs::metadata(folder.files().pop().expect("a segment")).expect("a file").len() as usize;
    journal.record_received(2, &message("two", 40)).expect("space");
    drop(journal);
    let file = folder.files().pop().expect("a segment");
    let bytes = fs::read(&file).expect("read");
    for offset in first_record_end + 1..bytes.len() {
        let mut flipped = bytes.clone();
        flipped[offset] ^= 0x40;
        for damaged in [&bytes[..offset], &flipped] {
            fs::write(&file, damaged).expect("written");
            let (mut journal, restored) = folder.open(1 << 20);
            assert_eq!(restored.messages.iter().map(|m| m.0).collect::<Vec<_>>(), [1]);
            assert_eq!(restored.damage.len(), 1);
            journal.record_received(3, &message("three", 40)).expect("space");
            drop(journal);
            let (_, reopened) = folder.open(1 << 20);
            assert_eq!((reopened.messages.len(), reopened.damage.len()), (2, 0));
            for later_segment in folder.files().into_iter().filter(|f| f != &file) {
                fs::remove_file(later_segment).expect("removed");
            }
        }
    }
}

/// Guards against the loss of intact messages that follow a damaged record in the same segment.
#[test]
fn recovery_continues_after_a_damaged_record() {
    let folder = JournalFolder::new("damaged-record");
    let (mut journal, _) = folder.open(1 << 20);
    let files = folder.files();
    assert!(files.is_empty(), "a segment is created by its first record");
    journal.record_received(1, &message("one", 40)).expect("space");
    let file = folder.files().pop().expect("a segment");
    let first_record_end = fs::metadata(&file).expect("a file").len() as usize;
    // The body is an encoded record. It must not be taken for one, as its checksum does not start from the segment's salt.
    let forged = encode(0, 1, &JournalRecord::Completed);
    journal.record_received(2, &JournaledMessage { body: forged, ..message("two", 0) }).expect("space");
    journal.record_received(3, &message("three", 40)).expect("space");
    drop(journal);
    let mut bytes = fs::read(&file).expect("read");
    bytes[first_record_end + 20] ^= 0x40;
    fs::write(&file, &bytes).expect("written");
    let (_, restored) = folder.open(1 << 20);
    assert_eq!(restored.messages.iter().map(|m| m.0).collect::<Vec<_>>(), [1, 3]);
    assert_eq!(restored.damage.len(), 1);
}

/// Guards against deadlines and deduplication windows that move when the wall clock is set.
#[test]
fn times_are_read_by_the_monotonic_clock_within_one_boot_and_else_by_the_wall_clock() {
    let restored_times = |boot, monotonic, wall| {
        let folder = JournalFolder::new(&format!("times-{boot}-{monotonic}"));
        let (mut journal, _) =
            folder.open_at(1 << 20, ClockReading { boot_id: 7, monotonic_us: 1_000, wall_us: 5_000_000 });
        journal
            .record_received(1, &JournaledMessage { deadline: 9_000, ..message("one", 4) })
            .expect("space");
        journal.record_attempt(1, 0, attempt_start(1_500, "east")).expect("written");
        drop(journal);
        let messages = folder
            .open_at(1 << 20, ClockReading { boot_id: boot, monotonic_us: monotonic, wall_us: wall })
            .1
            .messages;
        (
            messages[0].1.deadline,
            messages[0].1.progress.first_possible_effect.as_ref().expect("an attempt").started_at,
        )
    };
    let same_boot = (9_000, 1_500);
    assert_eq!(restored_times(7, 2_000, 5_001_000), same_boot);
    assert_eq!(restored_times(7, 2_001, 9_999_999_999), same_boot, "the wall clock was set forward");
    assert_eq!(restored_times(7, 2_002, 1), same_boot, "the wall clock was set back");
    // The machine was restarted and 3,000 us have passed: of the 8,000 us until the deadline 5,000 us remain.
    assert_eq!(restored_times(8, 200, 5_003_000), (5_200, 0));
    assert_eq!(restored_times(0, 100_000, 5_003_000), (105_000, 97_500), "the boot is not known");
}

/// Segments of the older format store Unix time and have no header.
#[test]
fn a_segment_of_the_older_format_is_read_by_the_wall_clock() {
    let folder = JournalFolder::new("older");
    fs::create_dir_all(&folder.0).expect("a folder");
    let received = JournaledMessage { deadline: 5_020_000, ..message("one", 4) };
    let mut bytes = encode(0, 4, &JournalRecord::Received(Box::new(received)));
    let attempt = ProgressStep::AttemptStarted { number: 0, start: Some(attempt_start(4_999_500, "west")) };
    bytes.extend(encode(0, 4, &JournalRecord::Progressed(attempt)));
    fs::write(folder.0.join("0000000003.journal"), bytes).expect("written");
    let (mut journal, restored) = folder.open(60_000);
    let (id, restored_message) = &restored.messages[0];
    assert_eq!(
        (*id, restored_message.deadline, restored_message.progress.first_possible_effect.clone()),
        (4, 21_000, Some(attempt_start(500, "west")))
    );
    // Compaction copies the message to a segment of the new format, which must not change it.
    for id in 5..400 {
        journal.record_received(id, &message("other", 300)).expect("space");
        journal.record_completed(id);
    }
    drop(journal);
    let (_, reopened) = folder.open(60_000);
    assert_eq!(reopened.messages, restored.messages);
}

/// Guards against exceeding the limit during compaction if message bodies are large compared with it.
#[test]
fn the_folder_stays_under_its_limit_and_keeps_what_is_not_completed() {
    for (limit, body) in [(3_000_000u64, 65_536usize), (1_000_000, 65_536), (60_000, 300)] {
        let folder = JournalFolder::new(&format!("limit-{limit}"));
        let (mut journal, _) = folder.open(limit);
        let (mut open_ids, mut rejected) = (VecDeque::new(), 0);
        for id in 1..600u64 {
            match journal.record_received(id, &message(&format!("m{id}"), body)) {
                Ok(()) => open_ids.push_back(id),
                Err(JournalError::Failing(error)) => panic!("{error}"),
                Err(_) => {
                    rejected += 1;
                    // The first message stays open to the end, so that compaction has to copy it again and again.
                    for _ in 0..2 {
                        let completed = open_ids.remove(1).expect("several messages fit");
                        journal
                            .record_attempt(completed, 0, attempt_start(1, "east"))
                            .expect("there is always space for an attempt");
                        journal.record_completed(completed);
                        assert_eq!(journal.unwritten_records(), 0, "there is always space for a completion");
                    }
                }
            }
            assert!(folder.size_on_disk() <= limit, "{} of {limit} at {id}", folder.size_on_disk());
        }
        assert!(rejected > 0);
        drop(journal);
        let (_, restored) = folder.open(limit);
        assert_eq!(restored.messages.iter().map(|m| m.0).collect::<VecDeque<_>>(), open_ids);
        assert!(restored.messages.iter().all(|(id, m)| *m == message(&format!("m{id}"), body)));
    }
}

/// Guards against a retry in a zone that does not deduplicate it: compaction, which copies the record of a message, must
/// keep the zone of its first attempt.
#[test]
fn the_first_attempt_is_kept_through_compaction_and_later_attempts() {
    let folder = JournalFolder::new("first-attempt");
    let (mut journal, _) = folder.open(60_000);
    journal.record_received(1, &message("stays", 300)).expect("space");
    journal.record_attempt(1, 0, attempt_start(11, "north-hall")).expect("written");
    let first_segments = folder.files();
    let mut id = 1;
    while folder.files().iter().any(|file| first_segments.contains(file)) {
        id += 1;
        journal.record_received(id, &message(&format!("m{id}"), 300)).expect("space");
        journal.record_completed(id);
    }
    journal.record_attempt(1, 1, attempt_start(12, "south-hall")).expect("written");
    drop(journal);
    let (_, restored) = folder.open(60_000);
    let progress = Progress {
        attempts: 2,
        earlier_attempt_may_have_run: true,
        attempt_in_flight: true,
        may_have_ended: false,
        first_possible_effect: Some(attempt_start(11, "north-hall")),
        unknown_attempt: None,
        report: None,
    };
    assert_eq!(restored.messages, [(1, JournaledMessage { progress, ..message("stays", 300) })]);
}

/// Guards against a journal that keeps only one of two facts about a message that was handed in again: when another
/// forwarder may first have sent it, and when and where this one did.
#[test]
fn the_attempts_of_another_forwarder_and_of_this_one_are_both_kept_through_compaction() {
    let unknown_attempt = Some(UnknownAttempt { earliest_start: Some(7) });
    let handed_in_again = Progress { unknown_attempt, ..Progress::default() };
    for never_ran in [false, true] {
        let folder = JournalFolder::new("handed-in-again");
        let (mut journal, _) = folder.open(60_000);
        let received = JournaledMessage { progress: handed_in_again.clone(), ..message("stays", 300) };
        journal.record_received(1, &received).expect("space");
        journal.record_attempt(1, 0, attempt_start(11, "north-hall")).expect("written");
        let first_segments = folder.files();
        let mut id = 1;
        while folder.files().iter().any(|file| first_segments.contains(file)) {
            id += 1;
            journal.record_received(id, &message(&format!("m{id}"), 300)).expect("space");
            journal.record_completed(id);
        }
        if never_ran {
            journal.record_never_ran(1, 0);
        }
        journal.record_attempt(1, 1, attempt_start(12, "south-hall")).expect("written");
        drop(journal);
        let (_, restored) = folder.open(60_000);
        let first_start =
            if never_ran { attempt_start(12, "south-hall") } else { attempt_start(11, "north-hall") };
        let progress = Progress {
            attempts: 2,
            earlier_attempt_may_have_run: !never_ran,
            attempt_in_flight: true,
            may_have_ended: false,
            first_possible_effect: Some(first_start),
            unknown_attempt,
            report: None,
        };
        assert_eq!(restored.messages, [(1, JournaledMessage { progress, ..message("stays", 300) })]);
    }
}

/// Guards against an attempt that an older release journaled without its start and that is forgotten as soon as a further
/// one is journaled with its start.
#[test]
fn an_attempt_with_an_unknown_start_is_kept_beside_a_later_one() {
    let mut progress = Progress { earlier_attempt_may_have_run: true, ..Progress::default() };
    let start = Some(attempt_start(12, "south-hall"));
    progress.apply(&ProgressStep::AttemptStarted { number: 1, start: start.clone() });
    let unknown_attempt = Some(UnknownAttempt { earliest_start: None });
    assert_eq!((progress.unknown_attempt(), &progress.first_possible_effect), (unknown_attempt, &start));
    progress.apply(&ProgressStep::AttemptNeverRan);
    assert_eq!((progress.unknown_attempt(), &progress.first_possible_effect), (unknown_attempt, &None));
}

/// Guards against an earliest start that stays on the clock of the process before.
#[test]
fn the_time_of_another_forwarders_attempt_is_converted_to_the_clock_of_the_next_boot() {
    let folder = JournalFolder::new("handed-in-again-boot");
    let written_at = ClockReading { boot_id: 1, monotonic_us: 50_000_000, wall_us: 1_800_000_000_000_000 };
    let next_boot = ClockReading { boot_id: 2, monotonic_us: 70_000_000, wall_us: 1_800_000_005_000_000 };
    let at = |earliest_start| Progress {
        unknown_attempt: Some(UnknownAttempt { earliest_start: Some(earliest_start) }),
        ..Progress::default()
    };
    let (mut journal, _) = folder.open_at(60_000, written_at);
    let received = JournaledMessage { progress: at(49_000_000), ..message("again", 30) };
    journal.record_received(1, &received).expect("space");
    drop(journal);
    let (_, restored) = folder.open_at(60_000, next_boot);
    assert_eq!(restored.messages[0].1.progress, at(64_000_000));
}
