//! Hedged requests: a second attempt in parallel with a slow first one.
//!
//! Hedges are limited to idempotent calls of profiles that allow them, made
//! only while no part of a response was passed on, and charged to the node's
//! retry budget. After sending the first attempt, a node calls [`plan`] and
//! waits until the returned time or the first token. It then charges
//! [`RetryBudget::try_take`] and sends to another candidate. The first response
//! is used; the other stream is cancelled.

use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{config::CallClass, time::Time};

pub use crate::retry::RetryBudget;

/// Minimum wait before a hedge.
const MIN_WAIT: Duration = Duration::from_millis(50);

/// First attempt of a request, in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FirstAttempt {
    /// Class of the call.
    pub class: CallClass,
    /// Whether the profile allows hedges.
    pub allowed: bool,
    /// Whether another node sent the request as a numbered attempt.
    pub from_node: bool,
    /// Whether the request is suspected of crashing servers.
    pub suspected: bool,
    /// Time at which the attempt was sent.
    pub sent_at: Time,
    /// 95th percentile of the time to the first token.
    pub first_token_p95: Duration,
    /// Latest time for the first token.
    pub deadline: Time,
}

/// Reason for which a request is not hedged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
pub enum NoHedge {
    /// The call must not run twice.
    #[display("the call is at-most-once")]
    AtMostOnce,
    /// The profile does not allow hedges.
    #[display("the profile does not allow hedges")]
    NotAllowed,
    /// The node that sent the attempt decides on the hedge.
    #[display("the node that made the attempt decides")]
    FromNode,
    /// A suspected request runs on one replica at a time.
    #[display("the request is suspected of crashing servers")]
    Suspected,
    /// A second attempt could not respond before the deadline.
    #[display("a second attempt could not answer before the deadline")]
    DeadlineTooNear,
}

/// Time at which to send a second attempt if no token has arrived.
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
