//! Order in which an engine runs queued requests when it has more than it can run
//! at once.
//!
//! Right after an outage, requests that have waited arrive together with new
//! ones, and all would be late if they ran in order of arrival. An interrupted
//! stream runs first, then requests that can still be in time, then late ones.

/// Lowest urgency that engines accept.
const LOWEST: u8 = 9;
/// Number of `Timeliness` values, which are the urgency levels within one
/// priority.
const LEVELS_PER_PRIORITY: u8 = 3;

/// Whether a response can arrive within the latency that its caller expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// The caller already has part of the response.
    Resumed,
    /// The response can still be in time.
    InTime,
    /// The request has waited for longer than its caller expects.
    Late,
}

/// Urgency from 0, the highest. A higher priority outranks any timeliness.
pub(super) fn of(priority: u8, timeliness: Timeliness) -> u8 {
    let within = match timeliness {
        Timeliness::Resumed => 0,
        Timeliness::InTime => 1,
        Timeliness::Late => 2,
    };
    priority.saturating_mul(LEVELS_PER_PRIORITY).saturating_add(within).min(LOWEST)
}

#[cfg(test)]
mod tests;
