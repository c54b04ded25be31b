//! Processor time and memory of this process, from `/proc`.

use std::time::Duration;

/// Length of one clock tick in `/proc/self/stat`.
const TICK: Duration = Duration::from_millis(10);
/// Unit of the memory values in `/proc/self/status`.
const KIB_BYTES: u64 = 1024;
/// Index of the user time among the fields after the program name; the system time
/// follows it.
const UTIME_INDEX: usize = 11;

/// Resource usage of the process.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub(super) struct Usage {
    /// User and system time since the start.
    pub(super) cpu: Duration,
    /// Resident set size.
    pub(super) resident_bytes: u64,
}

/// Reads the usage; values that can't be read are zero.
pub(super) fn read() -> Usage {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    Usage {
        cpu: parse_cpu_time(&stat).unwrap_or_default(),
        resident_bytes: parse_resident_bytes(&status).unwrap_or_default(),
    }
}

fn parse_cpu_time(stat: &str) -> Option<Duration> {
    // The program name, in parentheses, may contain spaces and parentheses.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut ticks = fields.split_whitespace().skip(UTIME_INDEX);
    let user: u32 = ticks.next()?.parse().ok()?;
    let system: u32 = ticks.next()?.parse().ok()?;
    Some(TICK * (user + system))
}

fn parse_resident_bytes(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * KIB_BYTES)
}

#[cfg(test)]
mod tests;
