//! Processor time and memory of this process, as the kernel tells them.

use std::time::Duration;

/// Length of one tick of the kernel's accounting.
const TICK: Duration = Duration::from_millis(10);
/// Bytes in the unit of the memory figures.
const KIB_BYTES: u64 = 1024;
/// Places of user and system time, counted after the name of the program.
const USER_PLACE: usize = 11;

/// What the process used.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Usage {
    /// Processor time since the start.
    pub(super) cpu: Duration,
    /// Resident memory.
    pub(super) resident_bytes: u64,
}

/// Reads the usage; zero where the kernel does not tell.
pub(super) fn read() -> Usage {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    Usage {
        cpu: cpu_of(&stat).unwrap_or_default(),
        resident_bytes: resident_of(&status).unwrap_or_default(),
    }
}

fn cpu_of(stat: &str) -> Option<Duration> {
    // The name of the program, in parentheses, may hold blanks.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut ticks = fields.split_whitespace().skip(USER_PLACE);
    let user: u32 = ticks.next()?.parse().ok()?;
    let system: u32 = ticks.next()?.parse().ok()?;
    Some(TICK * (user + system))
}

fn resident_of(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB_BYTES)
}

#[cfg(test)]
mod tests;
