//! Order in which an engine takes up requests when it has more than it can run.
//!
//! Answers the load right after an outage, when requests that have waited come
//! together with new ones: taken in turn, all would be late. A stream that was
//! interrupted goes first, then what can still be in time, then what is late.

/// Lowest urgency that engines know.
const LEAST: u8 = 9;
/// Standings within one rank.
const STANDINGS: u8 = 3;

/// How a request stands against what its caller expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Timeliness {
    /// Its caller has a part of its answer.
    Resumed,
    /// It can be answered in time.
    InTime,
    /// It has waited for longer than its caller expects.
    Late,
}

/// Urgency from 0, the highest; a higher rank goes before any standing.
pub(super) fn of(priority: u8, standing: Timeliness) -> u8 {
    let within = match standing {
        Timeliness::Resumed => 0,
        Timeliness::InTime => 1,
        Timeliness::Late => 2,
    };
    priority.saturating_mul(STANDINGS).saturating_add(within).min(LEAST)
}

#[cfg(test)]
mod tests;
