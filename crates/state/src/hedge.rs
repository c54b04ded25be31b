//! Whether a second attempt runs beside a slow first one.
//!
//! Only for idempotent calls of profiles that allow it, only while nothing of
//! an answer was passed on, and paid from the node's retry budget. How a node
//! drives it: after sending the first attempt ask [`plan`]; wait until the time
//! it gives or the first token; then ask [`RetryBudget::take`] and send to
//! another candidate. The first answer wins, the other stream is cancelled.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{config::CallClass, time::Time};

pub use crate::retry::RetryBudget;

/// Shortest wait before a hedge.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// A first attempt under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAttempt {
    /// Class of the call.
    pub class: CallClass,
    /// Whether the profile allows hedges.
    pub allowed: bool,
    /// Whether the request came as a marked attempt of another node.
    pub from_node: bool,
    /// Whether the request is suspected of crashing servers.
    pub suspected: bool,
    /// When it was sent.
    pub sent_at: Time,
    /// First token time that 95 in 100 requests stay below.
    pub first_token_p95: Duration,
    /// Latest time for the first token.
    pub deadline: Time,
}

/// Why there is no hedge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NoHedge {
    /// It must not run twice.
    #[display("the call is at-most-once")]
    AtMostOnce,
    /// The profile does not allow it.
    #[display("the profile does not allow hedges")]
    NotAllowed,
    /// The node that sent it decides.
    #[display("the node that made the attempt decides")]
    FromNode,
    /// A suspected request runs on one replica at a time.
    #[display("the request is suspected of crashing servers")]
    Suspected,
    /// It could not answer before the deadline.
    #[display("a second attempt could not answer before the deadline")]
    DeadlineTooNear,
}

/// When to send a second attempt, if no token has come by then.
pub fn plan(first: &FirstAttempt) -> Result<Time, NoHedge> {
    if first.class == CallClass::AtMostOnce {
        return Err(NoHedge::AtMostOnce);
    }
    if !first.allowed {
        return Err(NoHedge::NotAllowed);
    }
    if first.from_node {
        return Err(NoHedge::FromNode);
    }
    if first.suspected {
        return Err(NoHedge::Suspected);
    }
    let at = first.sent_at + first.first_token_p95.max(MIN_WAIT);
    if first.deadline <= at {
        return Err(NoHedge::DeadlineTooNear);
    }
    Ok(at)
}

#[cfg(test)]
mod tests;
