//! Which gateway's configuration may decide a relayed request.
//!
//! A gateway that relays a request states the version of its configuration, and the other
//! one serves the request by the same version or a newer one, or declines it. The
//! operators' versions only grow, so they order configurations also after a restore of the
//! key-value service. Former builds neither state a version nor read it:
//!
//! - As receivers they serve by whatever they have. They get requests only while every
//!   listed gateway has been in touch with the key-value service since this gateway's
//!   configuration came into force.
//! - As senders they may have any version. Their requests are served only while this
//!   gateway knows that its configuration is the newest.

use std::time::Duration;

use crate::peers::NODE_LEASE_TIME;

/// Age that a read of the list of gateways may have.
const MAX_LIST_AGE: Duration = Duration::from_secs(5);

/// What a gateway knows of its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KnownConfig {
    /// Version of the active configuration, or 0 if there is none.
    pub(super) version: u64,
    /// Time since that version came into force.
    pub(super) in_force_for: Duration,
    /// Whether it was the newest one a moment ago.
    pub(super) is_confirmed: bool,
    /// Whether the list of gateways was read or confirmed a moment ago.
    pub(super) is_list_current: bool,
}

impl KnownConfig {
    /// Whether this gateway may serve a request of one that has the version `stated`, or
    /// that states none.
    pub(super) fn may_serve(&self, stated: Option<u64>) -> bool {
        match stated {
            Some(version) => version <= self.version,
            None => self.is_confirmed,
        }
    }

    /// Whether a listed gateway that reads no version has this configuration too: its
    /// lease was renewed since, or it would not be listed.
    pub(super) fn is_shared(&self) -> bool {
        self.is_confirmed
            && self.is_list_current
            && NODE_LEASE_TIME + MAX_LIST_AGE <= self.in_force_for
    }
}

#[cfg(test)]
mod tests;
