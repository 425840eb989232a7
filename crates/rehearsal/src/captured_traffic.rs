//! Recorded traffic without message bodies: read from a forwarder's log, stored compressed, and replayed.
//!
//! The file is JSON Lines, compressed with zstd: `{"ms":12.5,"destination":7,"channel":"lounatv"}`, where `ms` is the time
//! from the first message in milliseconds.

use crate::environment::{PlannedMessage, RUN_START};
use cedarbridge::Micros;
use serde::{Deserialize, Serialize};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;

/// The texts with which forwarders log a received message: the current one, and that of releases up to 5c6b612.
const RECEIVED_TEXTS: [&str; 2] = ["message received", "handed in"];

/// A recorded message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CapturedMessage {
    /// The time from the first message, in milliseconds.
    pub ms: f64,
    /// The destination's id.
    pub destination: u64,
    /// The name of the message's tenant.
    #[serde(rename = "channel")]
    pub tenant: String,
}

/// Traffic that was recorded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CapturedTraffic {
    /// The messages, in the order of time.
    pub messages: Vec<CapturedMessage>,
}

/// The fields of a forwarder's log record that are needed here.
#[derive(Deserialize)]
struct LogRecord {
    msg: String,
    wall_ms: Option<f64>,
    destination: Option<u64>,
    #[serde(rename = "channel")]
    tenant: Option<String>,
}

impl CapturedTraffic {
    /// Reads the received messages from a log in JSON, written at the level `debug`. Also returns the number of lines that
    /// are not log records.
    ///
    /// # Errors
    /// The log cannot be read.
    pub fn from_log(log: impl BufRead) -> io::Result<(Self, usize)> {
        let (mut received, mut invalid_lines) = (Vec::new(), 0);
        for line in log.lines() {
            let line = line?;
            let Ok(record) = serde_json::from_str::<LogRecord>(&line) else {
                invalid_lines += usize::from(!line.trim().is_empty());
                continue;
            };
            if !RECEIVED_TEXTS.contains(&record.msg.as_str()) {
                continue;
            }
            if let (Some(ms), Some(destination)) = (record.wall_ms, record.destination) {
                received.push(CapturedMessage { ms, destination, tenant: record.tenant.unwrap_or_default() });
            }
        }
        received.sort_by(|a, b| a.ms.total_cmp(&b.ms));
        let first = received.first().map_or(0.0, |m| m.ms);
        received.iter_mut().for_each(|m| m.ms -= first);
        Ok((CapturedTraffic { messages: received }, invalid_lines))
    }

    /// Writes the messages to a file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut out = zstd::Encoder::new(std::fs::File::create(path)?, 0)?;
        for message in &self.messages {
            serde_json::to_writer(&mut out, message)?;
            out.write_all(b"\n")?;
        }
        out.finish()?.sync_all()
    }

    /// Reads the messages from a file.
    ///
    /// # Errors
    /// The file cannot be read, or a line is not a valid message; the error has the line's number.
    pub fn read(path: &Path) -> io::Result<Self> {
        let mut messages = Vec::new();
        let from = BufReader::new(zstd::Decoder::new(std::fs::File::open(path)?)?);
        for (n, line) in from.lines().enumerate() {
            let line = line?;
            let message: CapturedMessage = serde_json::from_str(&line)
                .map_err(|e| io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", n + 1)))?;
            if !(message.ms >= 0.0 && message.ms.is_finite()) {
                let reason = format!("line {}: `ms` must be 0 or above", n + 1);
                return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
            }
            messages.push(message);
        }
        messages.sort_by(|a, b| a.ms.total_cmp(&b.ms));
        Ok(CapturedTraffic { messages })
    }

    /// Maps the messages to a scenario's destinations and tenants. Destination ids are taken modulo the number of
    /// destinations; a tenant that the scenario does not have is mapped to the first one. Messages from `length` on, in
    /// microseconds, are left out.
    pub fn planned_messages(
        &self,
        destinations: &[(String, usize)],
        tenants: &[String],
        length: Micros,
    ) -> Vec<PlannedMessage> {
        let tenant_index = |name: &str| tenants.iter().position(|t| t == name).unwrap_or(0);
        let at = |message: &CapturedMessage| (message.ms * 1000.0) as Micros;
        let within_run = self.messages.iter().filter(|m| at(m) < length);
        within_run
            .map(|message| PlannedMessage {
                at: RUN_START + at(message),
                destination: (message.destination % destinations.len() as u64) as usize,
                tenant: tenant_index(&message.tenant),
            })
            .collect()
    }
}
