//! Permits for requests to a cold server.
//!
//! The granter and the substitute keep a [`PermitBucket`] that holds far less than that
//! of a server with a stated limit, because the bound counts single seconds. A gateway
//! that reaches neither uses [`ColdShare`].

use std::time::Duration;

use super::{CAPACITY, ColdLimit, GRANTER_PART, SUBSTITUTE_PART};
use crate::{
    server_limit::permits::{Permit, PermitBucket, PermitRequestId, TokenRate},
    time::Time,
};

/// Gateways that are asked for a permit: the granter and one substitute. More would each
/// grant a part of their own to gateways that do not reach the others.
pub const MAX_ASKED: usize = 2;
/// Time for which a token of a share may be used. Tokens that were kept would be used by
/// many gateways at once.
const SHARE_TOKEN_TIME: Duration = Duration::from_millis(200);
/// Longest time that a request without a token of a share is told to wait: a granter may
/// be in reach again after it.
const MAX_SHARE_WAIT: Duration = Duration::from_secs(1);

/// Part that a gateway grants. A substitute never takes the place of the granter: the
/// cold phase is over before it could be sure that the granter is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdGranter {
    /// First of the server's granters.
    Granter,
    /// Any other gateway.
    Substitute,
}

/// Takes a token of a cold server's bucket. A repeated request of another gateway gets
/// the token that it already has.
pub fn take(
    bucket: &mut PermitBucket,
    request: Option<PermitRequestId>,
    limit: ColdLimit,
    granter: ColdGranter,
    now: Time,
) -> Permit {
    let part = match granter {
        ColdGranter::Granter => GRANTER_PART,
        ColdGranter::Substitute => SUBSTITUTE_PART,
    };
    let rate = rate(limit.divided_rate() * part);
    match request {
        Some(request) => bucket.take_at_rate_for(request, rate, now),
        None => bucket.take_at_rate(rate, now),
    }
}

pub(super) fn rate(per_s: f64) -> TokenRate {
    TokenRate { per_s, capacity: (per_s * CAPACITY.as_secs_f64()).max(1.0) }
}

/// Equal share of one gateway in what all may send to a cold server without permits.
///
/// Tokens are due at a fixed interval from a random time on, so that the gateways do not
/// send together, and expire soon.
#[derive(Debug, Clone, Copy, Default)]
pub struct ColdShare {
    next_at: Option<Time>,
}

impl ColdShare {
    /// Takes the token that is due, if any. `random` is from 0 to 1.
    pub fn take(&mut self, limit: ColdLimit, gateways: usize, now: Time, random: f64) -> Permit {
        let interval_s = gateways.max(1) as f64 / limit.share_rate();
        let Ok(interval) = Duration::try_from_secs_f64(interval_s) else {
            return Permit::Denied { wait: MAX_SHARE_WAIT };
        };
        let interval = interval.max(Duration::from_millis(1));
        let first_at = now + interval.mul_f64(random);
        let mut next_at = self.next_at.unwrap_or(first_at).min(now + interval);
        let usable_for = SHARE_TOKEN_TIME.min(interval);
        if usable_for <= now.since(next_at) {
            // The phase stays as it is, so that it remains random.
            let expired = now.since(next_at).as_secs_f64() / interval.as_secs_f64();
            let periods = expired.floor();
            next_at = next_at + interval.mul_f64(periods);
            if usable_for <= now.since(next_at) {
                next_at = next_at + interval;
            }
        }
        if next_at <= now {
            self.next_at = Some(next_at + interval);
            return Permit::Granted;
        }
        self.next_at = Some(next_at);
        Permit::Denied { wait: next_at.since(now).min(MAX_SHARE_WAIT) }
    }
}

#[cfg(test)]
mod tests;
