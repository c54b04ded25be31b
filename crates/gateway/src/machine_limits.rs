//! Limits that follow from the memory and the descriptors of a gateway's machine, which
//! may be as small as 112 MB and 2,870 descriptors.

use citrongw::settings::{gateway::Settings, memory_size::MemorySize};

/// Memory of the process and its system without callers: the process needs 10 to 20 MB.
const OWN_BYTES: usize = 24 * 1024 * 1024;
/// Parts of the other memory that callers may be charged for: one of two. The charges are
/// estimates, and the allocator and the buffers of the system need memory beside them.
const CALLERS_DIVISOR: usize = 2;

/// Parts of the descriptors, in 64ths. Each connection of a caller or of another gateway
/// may need another one to a server. A quarter is left to the key-value service, to idle
/// connections to servers, and to polls of servers.
const CALLER_PARTS: usize = 18;
const RELAY_PARTS: usize = 4;
const READY_PARTS: usize = 2;
const METRICS_PARTS: usize = 1;
const ALL_PARTS: usize = 64;

/// Maximum number of connections at each port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PortLimits {
    /// Port for callers.
    pub(crate) callers: usize,
    /// Port for requests of other gateways.
    pub(crate) relays: usize,
    /// Readiness port.
    pub(crate) ready: usize,
    /// Port of the metrics.
    pub(crate) metrics: usize,
}

/// Memory that callers may be charged for.
pub(crate) fn callers_bytes(memory: MemorySize) -> usize {
    let bytes = memory.bytes();
    bytes.saturating_sub(OWN_BYTES).max(bytes / 2) / CALLERS_DIVISOR
}

/// Limits of the ports. Without a limit on descriptors only that on callers holds.
pub(crate) fn port_limits(settings: &Settings, default: usize) -> PortLimits {
    let part = |parts: usize| {
        let part = |all: usize| (all.saturating_mul(parts) / ALL_PARTS).max(1);
        settings.max_descriptors.map_or(usize::MAX, part)
    };
    PortLimits {
        callers: settings.max_connections.min(part(CALLER_PARTS)),
        relays: default.min(part(RELAY_PARTS)),
        ready: default.min(part(READY_PARTS)),
        metrics: default.min(part(METRICS_PARTS)),
    }
}

#[cfg(test)]
mod tests;
