//! What this process takes in memory, as the system accounts for it.

use crate::net::Context;
use async_io::Timer;
use cedarbridge_allocator::release_free_memory;
use slog::info;
use std::fs;
use std::rc::Rc;
use std::time::Duration;

/// Holds the memory figures of the reading process.
const STATUS_FILE: &str = "/proc/self/status";
/// The interval at which the peak is checked for growth.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// The interval at which freed memory is given back to the system.
const RELEASE_INTERVAL: Duration = Duration::from_secs(4);
/// A peak that has grown by this much since it was last logged is logged again, in bytes.
const LOGGED_GROWTH_BYTES: u64 = 4_000_000;

/// The resident memory of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// What it takes now, in bytes.
    pub resident_bytes: u64,
    /// The most that it has taken so far, in bytes.
    pub peak_bytes: u64,
}

impl ProcessMemory {
    /// Reads the present figures; zero if the system does not tell them.
    pub fn read() -> Self {
        fs::read_to_string(STATUS_FILE).map(|status| ProcessMemory::parse(&status)).unwrap_or_default()
    }

    fn parse(status: &str) -> Self {
        let bytes = |name: &str| {
            let value = status.lines().find_map(|line| line.strip_prefix(name))?;
            value.trim().strip_suffix(" kB")?.parse().ok().map(|kilobytes: u64| kilobytes * 1024)
        };
        ProcessMemory {
            resident_bytes: bytes("VmRSS:").unwrap_or_default(),
            peak_bytes: bytes("VmHWM:").unwrap_or_default(),
        }
    }
}

/// Logs the peak whenever it has grown, with what the process held at that time, for as long as the process runs. A process that
/// is killed for its memory leaves no other line.
pub async fn watch(context: Rc<Context>) {
    let mut logged_peak = ProcessMemory::read().peak_bytes;
    loop {
        Timer::after(POLL_INTERVAL).await;
        let memory = ProcessMemory::read();
        if memory.peak_bytes < logged_peak + LOGGED_GROWTH_BYTES {
            continue;
        }
        logged_peak = memory.peak_bytes;
        let gauges = &context.gauges;
        info!(context.log, "memory has grown"; "resident_bytes" => memory.resident_bytes,
            "peak_bytes" => memory.peak_bytes, "clients" => gauges.client_connections.get(),
            "open" => gauges.open_messages.get(), "reports" => gauges.reports_pending.get());
    }
}

/// Gives freed memory back to the system, for as long as the process runs.
pub async fn release_regularly() {
    loop {
        Timer::after(RELEASE_INTERVAL).await;
        release_free_memory();
    }
}
