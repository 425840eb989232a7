//! What a process takes in memory, as the system accounts for it.

use std::fs;

/// The resident memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// What it takes now, in bytes.
    pub resident_bytes: u64,
    /// The most that it has taken so far, in bytes.
    pub peak_bytes: u64,
}

impl ProcessMemory {
    /// Reads the memory of a process; `None` once it has ended.
    pub fn of(process_id: u32) -> Option<ProcessMemory> {
        let status = fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
        let bytes = |name: &str| {
            let line = status.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().strip_suffix(" kB")?.parse().ok().map(|kilobytes: u64| kilobytes * 1024)
        };
        Some(ProcessMemory { resident_bytes: bytes("VmRSS:")?, peak_bytes: bytes("VmHWM:")? })
    }
}
