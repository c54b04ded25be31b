//! Token bucket of a limited server at its granter.
//!
//! The bucket starts empty, so that a gateway that has just become the granter adds
//! nothing to what the last one granted. A request that is denied is told when a token
//! is due for it, after those that were denied before, so that gateways do not ask for
//! the same token.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{id::NodeId, time::Time, unit::RequestsPerSecond};

/// Requests are let through at least this often, also to a server whose limit is zero:
/// its response says whether the limit holds on.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(10);
/// Capacity of the bucket, as the time that it takes to fill. With it and the part of a
/// substitute, both together stay below one and a half times the limit over four
/// seconds.
const CAPACITY: Duration = Duration::from_millis(800);
/// Longest time that a denied request is told to wait: after it the limit may be
/// another.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Time for which a granted request may be repeated.
const REPEAT_TIME: Duration = Duration::from_millis(200);
/// Part of the limit that a substitute grants.
const SUBSTITUTE_PART: f64 = 0.25;

/// Which part of a server's limit a gateway grants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GranterRole {
    /// The whole limit.
    Granter,
    /// Part of the limit, while some gateways may still reach the granter.
    Substitute,
    /// An even share of the limit, while neither can be reached.
    Isolated {
        /// Number of gateways.
        gateways: usize,
    },
}

/// Response to a request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Permit {
    /// One attempt may be sent now.
    Granted,
    /// No attempt may be sent until a token is due.
    Denied {
        /// Time until a token is due.
        wait: Duration,
    },
}

/// Request of another gateway for a permit. It has the same id when it is repeated
/// because its reply was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRequestId {
    /// Gateway that sent it.
    pub from: NodeId,
    /// Number of the request at that gateway.
    pub number: u64,
}

/// Rate and capacity at which a bucket fills.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenRate {
    /// Tokens a second.
    pub per_s: f64,
    /// Most tokens that are kept.
    pub capacity: f64,
}

/// Token bucket.
#[derive(Debug, Clone)]
pub struct PermitBucket {
    tokens: f64,
    /// Denied requests that a token is not yet due for.
    denied: f64,
    updated_at: Time,
    opened_at: Time,
    /// Requests that were granted, and when.
    granted: Vec<(PermitRequestId, Time)>,
}

/// Creates an empty bucket.
pub fn open(now: Time) -> PermitBucket {
    PermitBucket { tokens: 0.0, denied: 0.0, updated_at: now, opened_at: now, granted: Vec::new() }
}

impl PermitBucket {
    /// When the bucket was created.
    pub fn opened_at(&self) -> Time {
        self.opened_at
    }

    /// When a token was last taken or denied.
    pub fn updated_at(&self) -> Time {
        self.updated_at
    }

    /// Takes a token for a request of another gateway, unless it already has one.
    pub fn take_for(
        &mut self,
        request: PermitRequestId,
        limit: RequestsPerSecond,
        role: GranterRole,
        now: Time,
    ) -> Permit {
        self.take_at_rate_for(request, rate_of(limit, role), now)
    }

    /// Takes a token of the bucket of a server with this limit.
    pub fn take(&mut self, limit: RequestsPerSecond, role: GranterRole, now: Time) -> Permit {
        self.take_at_rate(rate_of(limit, role), now)
    }

    /// Takes a token of a bucket that fills at this rate for a request of another
    /// gateway, unless it already has one.
    pub fn take_at_rate_for(
        &mut self,
        request: PermitRequestId,
        rate: TokenRate,
        now: Time,
    ) -> Permit {
        self.granted.retain(|(_, at)| now.since(*at) < REPEAT_TIME);
        if self.granted.iter().any(|(granted, _)| *granted == request) {
            return Permit::Granted;
        }
        let permit = self.take_at_rate(rate, now);
        if permit == Permit::Granted {
            self.granted.push((request, now));
        }
        permit
    }

    /// Takes a token of a bucket that fills at this rate.
    pub fn take_at_rate(&mut self, rate: TokenRate, now: Time) -> Permit {
        let TokenRate { per_s: rate, capacity } = rate;
        let due = rate * now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        self.tokens = (self.tokens + due).min(capacity);
        self.denied = (self.denied - due).max(0.0);
        if 1.0 <= self.tokens {
            self.tokens -= 1.0;
            return Permit::Granted;
        }
        let wait_s = (1.0 - self.tokens + self.denied) / rate;
        let max_denied = rate * MAX_WAIT.as_secs_f64();
        self.denied = (self.denied + 1.0).min(max_denied);
        Permit::Denied { wait: Duration::from_secs_f64(wait_s.min(MAX_WAIT.as_secs_f64())) }
    }
}

fn rate_of(limit: RequestsPerSecond, role: GranterRole) -> TokenRate {
    let part = match role {
        GranterRole::Granter => 1.0,
        GranterRole::Substitute => SUBSTITUTE_PART,
        GranterRole::Isolated { gateways } => (gateways.max(1) as f64).recip(),
    };
    let per_s = limit.0.max(TRIAL_INTERVAL.as_secs_f64().recip()) * part;
    TokenRate { per_s, capacity: (per_s * CAPACITY.as_secs_f64()).max(1.0) }
}

#[cfg(test)]
mod tests;
