//! A day's traffic without its bodies: read from the forwarder's log, stored compressed, and replayed by the kit.
//!
//! The file is zstd of one JSON object a line: `{"ms":12.5,"destination":7,"channel":"lounatv"}`, the time counted
//! from the first message.

use crate::world::{PlannedMessage, START};
use cedarbridge::Micros;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

/// The log message of a received message: today's, and that of releases up to 5c6b612.
const RECEIVED: [&str; 2] = ["message received", "handed in"];

/// A message of the day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapturedMessage {
    /// When, in milliseconds from the first one.
    pub ms: f64,
    /// For whom: the destination's number.
    pub destination: u64,
    /// From which channel.
    pub channel: String,
}

/// A day that was recorded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapturedDay {
    /// Its messages, in the order of time.
    pub messages: Vec<CapturedMessage>,
}

/// A line of the forwarder's log, as far as it counts here.
#[derive(Deserialize)]
struct LogRecord {
    msg: String,
    wall_ms: Option<f64>,
    destination: Option<u64>,
    channel: Option<String>,
}

impl CapturedDay {
    /// Takes a day from a log in JSON, written at the level `debug`; other lines are passed over. The number of
    /// lines that are no log lines is returned too.
    pub fn from_log(log: impl BufRead) -> io::Result<(Self, usize)> {
        let (mut all, mut odd) = (Vec::new(), 0);
        for message in log.lines() {
            let message = message?;
            let Ok(l) = serde_json::from_str::<LogRecord>(&message) else {
                odd += usize::from(!message.trim().is_empty());
                continue;
            };
            if !RECEIVED.contains(&l.msg.as_str()) {
                continue;
            }
            if let (Some(ms), Some(destination)) = (l.wall_ms, l.destination) {
                all.push(CapturedMessage { ms, destination, channel: l.channel.unwrap_or_default() });
            }
        }
        all.sort_by(|a, b| a.ms.total_cmp(&b.ms));
        let first = all.first().map_or(0.0, |l| l.ms);
        all.iter_mut().for_each(|l| l.ms -= first);
        Ok((CapturedDay { messages: all }, odd))
    }

    /// Writes the file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut out = zstd::Encoder::new(std::fs::File::create(path)?, 0)?;
        for message in &self.messages {
            serde_json::to_writer(&mut out, message)?;
            out.write_all(b"\n")?;
        }
        out.finish()?.sync_all()
    }

    /// Reads a file.
    ///
    /// # Errors
    /// An unreadable file, or a line that is no message, with the line's number.
    pub fn read(path: &Path) -> io::Result<Self> {
        let mut messages = Vec::new();
        let from = BufReader::new(zstd::Decoder::new(std::fs::File::open(path)?)?);
        for (n, message) in from.lines().enumerate() {
            let message = message?;
            let read: CapturedMessage = serde_json::from_str(&message)
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", n + 1)))?;
            if !(read.ms >= 0.0 && read.ms.is_finite()) {
                let why = format!("line {}: `ms` is a time of 0 or more", n + 1);
                return Err(io::Error::new(io::ErrorKind::InvalidData, why));
            }
            messages.push(read);
        }
        messages.sort_by(|a, b| a.ms.total_cmp(&b.ms));
        Ok(CapturedDay { messages })
    }

    /// Its messages as a scenario's: destinations are mapped round robin, channels by name or else to the first, and
    /// messages after the scenario's end are left out.
    pub fn messages(
        &self,
        destinations: &[(String, usize)],
        channels: &[String],
        length: Micros,
    ) -> Vec<PlannedMessage> {
        let channel = |name: &str| channels.iter().position(|c| c == name).unwrap_or(0);
        let at = |l: &CapturedMessage| (l.ms * 1000.0) as Micros;
        let within = self.messages.iter().filter(|l| at(l) < length);
        within
            .map(|l| PlannedMessage {
                at: START + at(l),
                destination: (l.destination % destinations.len() as u64) as usize,
                tenant: channel(&l.channel),
            })
            .collect()
    }
}
