//! The binary encoding of a record: a frame that holds the length and the CRC-32 checksum of the content, then the content.
//! All numbers are little-endian.

use super::record::{
    AttemptStart, JournalRecord, JournaledMessage, Progress, ProgressStep, ReportedEnd, UnknownAttempt,
};

/// The size in bytes of the frame in front of a record's content.
pub const FRAME_BYTES: usize = 8;
/// The largest content in bytes. A frame that claims a larger one is damaged.
const MAX_CONTENT_BYTES: usize = 1 << 20;

const KIND_RECEIVED: u8 = 1;
const KIND_ATTEMPT_STARTED: u8 = 2;
const KIND_ATTEMPT_NEVER_RAN: u8 = 3;
const KIND_ENDED: u8 = 4;
const KIND_COMPLETED: u8 = 5;
/// A probe, if nothing follows. Otherwise the next byte is the kind of an extension; releases that do not know it read the record
/// as a probe.
const KIND_PROBE: u8 = 6;
const EXTENSION_MAY_HAVE_ENDED: u8 = 1;

/// An attempt that is not in flight may have run, here or at an unknown endpoint.
const FLAG_EARLIER_ATTEMPT_MAY_HAVE_RUN: u8 = 1;
const FLAG_ATTEMPT_IN_FLIGHT: u8 = 1 << 1;
const FLAG_HAS_KEY: u8 = 1 << 2;
const FLAG_HAS_TENANT: u8 = 1 << 3;
/// Set for readers in later releases. This release tells by the length of the record whether an attempt's start follows.
const FLAG_HAS_FIRST_POSSIBLE_EFFECT: u8 = 1 << 4;
/// An attempt at an unknown endpoint may have run. Releases that do not know the flag pass over it.
const FLAG_UNKNOWN_ATTEMPT: u8 = 1 << 5;
/// With `FLAG_UNKNOWN_ATTEMPT`: an attempt of this forwarder that is not in flight may have run as well.
const FLAG_OWN_EARLIER_ATTEMPT_MAY_HAVE_RUN: u8 = 1 << 6;
/// A response says that the message has ended. Releases that do not know the flag pass over it.
const FLAG_MAY_HAVE_ENDED: u8 = 1 << 7;

/// The value that follows is the earliest start of the attempt at an unknown endpoint, or 0. Releases that do not know such
/// attempts pass over it.
const REPORT_NONE: u8 = 0;
const REPORT_FAILED: u8 = 1;
const REPORT_RETURNED: u8 = 2;
const REPORT_RETURNED_WITH_RETRY_AFTER: u8 = 3;

/// A record with its message's id, as decoded from a frame.
#[derive(Debug)]
pub struct DecodedFrame {
    /// The id of the message that the record belongs to; 0 for a probe.
    pub message_id: u64,
    /// The record's content, its times as they were written.
    pub record: JournalRecord,
    /// The length of the encoded content in bytes, without the frame.
    pub content_length: usize,
}

fn checksum(salt: u32, content: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new_with_initial(salt);
    hasher.update(content);
    hasher.finalize()
}

/// A record encoded with its frame, whose checksum depends on the segment that it is written to.
pub struct EncodedRecord(Vec<u8>);

impl EncodedRecord {
    /// Encodes a record of a message.
    pub fn new(message_id: u64, record: &JournalRecord) -> Self {
        let mut bytes = vec![0; FRAME_BYTES];
        bytes.extend_from_slice(&message_id.to_le_bytes());
        put_record(&mut bytes, record);
        let content_length = (bytes.len() - FRAME_BYTES) as u32;
        bytes[..4].copy_from_slice(&content_length.to_le_bytes());
        EncodedRecord(bytes)
    }

    /// Its size with the frame, in bytes.
    pub fn size(&self) -> u64 {
        self.0.len() as u64
    }

    /// The bytes to write to a segment, whose `salt` is the initial value of the CRC-32.
    pub fn seal(&mut self, salt: u32) -> &[u8] {
        let content_checksum = checksum(salt, &self.0[FRAME_BYTES..]);
        self.0[4..FRAME_BYTES].copy_from_slice(&content_checksum.to_le_bytes());
        &self.0
    }
}

/// Encodes a record with its frame. The segment's `salt` is the initial value of the CRC-32.
pub fn encode(salt: u32, message_id: u64, record: &JournalRecord) -> Vec<u8> {
    EncodedRecord::new(message_id, record).seal(salt).to_vec()
}

fn put_record(buffer: &mut Vec<u8>, record: &JournalRecord) {
    match record {
        JournalRecord::Received(message) => {
            buffer.push(KIND_RECEIVED);
            put_message(buffer, message);
        }
        JournalRecord::Progressed(ProgressStep::AttemptStarted { number, start }) => {
            buffer.push(KIND_ATTEMPT_STARTED);
            buffer.extend_from_slice(&number.to_le_bytes());
            put_attempt_start(buffer, start.as_ref());
        }
        JournalRecord::Progressed(ProgressStep::AttemptNeverRan) => buffer.push(KIND_ATTEMPT_NEVER_RAN),
        JournalRecord::Progressed(ProgressStep::MayHaveEnded) => {
            buffer.extend_from_slice(&[KIND_PROBE, EXTENSION_MAY_HAVE_ENDED]);
        }
        JournalRecord::Progressed(ProgressStep::Ended(end)) => {
            buffer.push(KIND_ENDED);
            put_report(buffer, *end);
        }
        JournalRecord::Completed => buffer.push(KIND_COMPLETED),
        JournalRecord::Probe => buffer.push(KIND_PROBE),
    }
}

fn put_bytes(buffer: &mut Vec<u8>, bytes: &[u8]) {
    buffer.extend_from_slice(&(bytes.len() as u32).to_le_bytes());
    buffer.extend_from_slice(bytes);
}

fn put_message(buffer: &mut Vec<u8>, message: &JournaledMessage) {
    buffer.extend_from_slice(&message.destination.to_le_bytes());
    buffer.extend_from_slice(&message.deadline.to_le_bytes());
    buffer.extend_from_slice(&message.progress.attempts.to_le_bytes());
    buffer.push(encode_flags(message));
    match message.progress.report {
        None => put_unknown_attempt(buffer, message.progress.unknown_attempt),
        Some(end) => put_report(buffer, end),
    }
    put_bytes(buffer, message.request_id.as_bytes());
    put_bytes(buffer, message.class.as_bytes());
    for optional in [&message.key, &message.tenant].into_iter().flatten() {
        put_bytes(buffer, optional.as_bytes());
    }
    put_bytes(buffer, &message.body);
    put_attempt_start(buffer, message.progress.first_possible_effect.as_ref());
}

fn encode_flags(message: &JournaledMessage) -> u8 {
    let progress = &message.progress;
    let has_unknown_attempt = progress.unknown_attempt.is_some();
    let own_may_have_run = progress.earlier_attempt_may_have_run;
    let flags = [
        (FLAG_EARLIER_ATTEMPT_MAY_HAVE_RUN, own_may_have_run || has_unknown_attempt),
        (FLAG_ATTEMPT_IN_FLIGHT, progress.attempt_in_flight),
        (FLAG_HAS_KEY, message.key.is_some()),
        (FLAG_HAS_TENANT, message.tenant.is_some()),
        (FLAG_HAS_FIRST_POSSIBLE_EFFECT, progress.first_possible_effect.is_some()),
        (FLAG_UNKNOWN_ATTEMPT, has_unknown_attempt),
        (FLAG_OWN_EARLIER_ATTEMPT_MAY_HAVE_RUN, own_may_have_run && has_unknown_attempt),
        (FLAG_MAY_HAVE_ENDED, progress.may_have_ended),
    ];
    flags.into_iter().filter(|(_, is_set)| *is_set).map(|(flag, _)| flag).sum()
}

fn put_unknown_attempt(buffer: &mut Vec<u8>, attempt: Option<UnknownAttempt>) {
    let earliest_start = attempt.and_then(|attempt| attempt.earliest_start).unwrap_or(0);
    buffer.push(REPORT_NONE);
    buffer.extend_from_slice(&earliest_start.to_le_bytes());
}

fn put_report(buffer: &mut Vec<u8>, end: ReportedEnd) {
    let (kind, retry_after_ms) = match end {
        ReportedEnd::Failed => (REPORT_FAILED, 0),
        ReportedEnd::Returned(None) => (REPORT_RETURNED, 0),
        ReportedEnd::Returned(Some(retry_after_ms)) => (REPORT_RETURNED_WITH_RETRY_AFTER, retry_after_ms),
    };
    buffer.push(kind);
    buffer.extend_from_slice(&retry_after_ms.to_le_bytes());
}

/// The size in bytes that an attempt's start takes in a record; 0 for `None`.
pub fn attempt_start_size(start: Option<&AttemptStart>) -> u64 {
    let mut bytes = Vec::new();
    put_attempt_start(&mut bytes, start);
    bytes.len() as u64
}

fn put_attempt_start(buffer: &mut Vec<u8>, start: Option<&AttemptStart>) {
    if let Some(start) = start {
        buffer.extend_from_slice(&start.started_at.to_le_bytes());
        put_bytes(buffer, start.zone.as_bytes());
    }
}

/// The content length in bytes that the frame at the start of `bytes` claims. `None` if it is over the largest content,
/// or if `bytes` ends before.
pub fn claimed_content_length(bytes: &[u8]) -> Option<usize> {
    let length = ByteReader(bytes).u32()? as usize;
    (length <= MAX_CONTENT_BYTES && FRAME_BYTES + length <= bytes.len()).then_some(length)
}

/// Decodes the record at the start of `bytes`. `None` if it is incomplete, damaged or of an unknown kind.
pub fn decode(salt: u32, bytes: &[u8]) -> Option<DecodedFrame> {
    let content_length = claimed_content_length(bytes)?;
    let mut frame = ByteReader(bytes);
    let (_, expected_checksum) = (frame.u32()?, frame.u32()?);
    let content = frame.bytes(content_length)?;
    if checksum(salt, content) != expected_checksum {
        return None;
    }
    let mut reader = ByteReader(content);
    let message_id = reader.u64()?;
    let record = reader.record()?;
    Some(DecodedFrame { message_id, record, content_length })
}

/// Reads values one after the other from the front of a byte slice. Each method returns `None` if too few bytes are left or
/// they are no valid value.
pub struct ByteReader<'a>(pub &'a [u8]);

impl<'a> ByteReader<'a> {
    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize) -> Option<&'a [u8]> {
        let (front, rest) = self.0.split_at_checked(count)?;
        self.0 = rest;
        Some(front)
    }

    fn byte(&mut self) -> Option<u8> {
        Some(self.bytes(1)?[0])
    }

    /// Reads a number of four bytes.
    pub fn u32(&mut self) -> Option<u32> {
        Some(u32::from_le_bytes(self.bytes(4)?.try_into().ok()?))
    }

    /// Reads a number of eight bytes.
    pub fn u64(&mut self) -> Option<u64> {
        Some(u64::from_le_bytes(self.bytes(8)?.try_into().ok()?))
    }

    fn text(&mut self) -> Option<String> {
        let length = self.u32()? as usize;
        String::from_utf8(self.bytes(length)?.to_vec()).ok()
    }

    fn optional_text(&mut self, is_present: bool) -> Option<Option<String>> {
        if !is_present {
            return Some(None);
        }
        self.text().map(Some)
    }

    fn record(&mut self) -> Option<JournalRecord> {
        Some(match self.byte()? {
            KIND_RECEIVED => JournalRecord::Received(Box::new(self.message()?)),
            KIND_ATTEMPT_STARTED => {
                let (number, start) = (self.u32()?, self.attempt_start()?);
                JournalRecord::Progressed(ProgressStep::AttemptStarted { number, start })
            }
            KIND_ATTEMPT_NEVER_RAN => JournalRecord::Progressed(ProgressStep::AttemptNeverRan),
            KIND_ENDED => JournalRecord::Progressed(ProgressStep::Ended(self.report()?.0?)),
            KIND_COMPLETED => JournalRecord::Completed,
            KIND_PROBE => self.probe_or_extension(),
            _ => return None,
        })
    }

    /// Reads what follows the kind of a probe. An extension that this release does not know is read as a probe.
    fn probe_or_extension(&mut self) -> JournalRecord {
        match self.byte() {
            Some(EXTENSION_MAY_HAVE_ENDED) => JournalRecord::Progressed(ProgressStep::MayHaveEnded),
            _ => JournalRecord::Probe,
        }
    }

    fn message(&mut self) -> Option<JournaledMessage> {
        let (destination, deadline) = (self.u64()?, self.u64()?);
        let attempts = self.u32()?;
        let flags = self.byte()?;
        let is_set = |flag: u8| flags & flag != 0;
        let (report, earliest_start) = self.report()?;
        let (request_id, class) = (self.text()?, self.text()?);
        let key = self.optional_text(is_set(FLAG_HAS_KEY))?;
        let tenant = self.optional_text(is_set(FLAG_HAS_TENANT))?;
        let body_length = self.u32()? as usize;
        let body = self.bytes(body_length)?.to_vec();
        let has_unknown_attempt = is_set(FLAG_UNKNOWN_ATTEMPT);
        let earlier_flag = if has_unknown_attempt {
            FLAG_OWN_EARLIER_ATTEMPT_MAY_HAVE_RUN
        } else {
            FLAG_EARLIER_ATTEMPT_MAY_HAVE_RUN
        };
        let progress = Progress {
            attempts,
            earlier_attempt_may_have_run: is_set(earlier_flag),
            attempt_in_flight: is_set(FLAG_ATTEMPT_IN_FLIGHT),
            may_have_ended: is_set(FLAG_MAY_HAVE_ENDED),
            first_possible_effect: self.attempt_start()?,
            unknown_attempt: has_unknown_attempt.then_some(UnknownAttempt { earliest_start }),
            report,
        };
        Some(JournaledMessage { request_id, key, class, tenant, destination, deadline, body, progress })
    }

    /// Reads when and where an attempt started, as the last value of a record. `Some(None)` if the record ends before
    /// it: it has no attempt, or an older release wrote it.
    fn attempt_start(&mut self) -> Option<Option<AttemptStart>> {
        if self.0.is_empty() {
            return Some(None);
        }
        Some(Some(AttemptStart { started_at: self.u64()?, zone: self.text()? }))
    }

    /// Reads how a message ended, or the value that an open message has in its place, which is `None` if it is 0.
    fn report(&mut self) -> Option<(Option<ReportedEnd>, Option<u64>)> {
        let (kind, value) = (self.byte()?, self.u64()?);
        let report = match kind {
            REPORT_NONE => return Some((None, Some(value).filter(|value| *value != 0))),
            REPORT_FAILED => ReportedEnd::Failed,
            REPORT_RETURNED => ReportedEnd::Returned(None),
            REPORT_RETURNED_WITH_RETRY_AFTER => ReportedEnd::Returned(Some(value)),
            _ => return None,
        };
        Some((Some(report), None))
    }
}
