//! Limits that backend servers in need state: the requests a second that a server
//! takes from all gateways together.
//!
//! One gateway, the granter of the server, keeps a token bucket of the limit
//! ([`permits`]); the others request a permit from it for each attempt, and send the
//! attempt elsewhere if it is denied. [`granters`] chooses that gateway and a
//! substitute, and [`statements`] holds what a gateway knows of the limits. Servers
//! that state no limit need no permit.

pub mod granters;
pub mod permits;
pub mod statements;

use derive_more::Display;

use crate::unit::RequestsPerSecond;

/// What a response of a server says of its limit.
#[derive(Debug, Clone, Copy, PartialEq, Default, Display)]
pub enum StatedLimit {
    /// The server has no limit.
    #[default]
    #[display("none")]
    None,
    /// The server states something that is not a rate.
    #[display("unreadable")]
    Unreadable,
    /// Requests from all gateways together.
    #[display("{_0}")]
    Rate(RequestsPerSecond),
}

impl From<f64> for StatedLimit {
    fn from(requests_per_s: f64) -> Self {
        if requests_per_s.is_finite() && 0.0 <= requests_per_s {
            Self::Rate(RequestsPerSecond(requests_per_s))
        } else {
            Self::Unreadable
        }
    }
}

#[cfg(test)]
mod tests;
