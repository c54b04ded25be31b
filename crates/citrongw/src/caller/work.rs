//! A caller's request as the node works on it.

use std::time::Duration;

use citrongw_state::{config::Profile, id::RequestId, time::Time};

use super::{
    body::BodyShare,
    directory::{Caller, ProfilePlace},
};

/// Request with its limits. Its shares are given back when it is dropped.
#[derive(Debug)]
pub(super) struct Work {
    /// The request.
    pub(super) request: RequestId,
    /// Who sent it.
    pub(super) caller: Caller,
    /// Prompt.
    pub(super) prompt: String,
    /// Most tokens to generate.
    pub(super) max_tokens: u32,
    /// When it arrived.
    pub(super) arrived_at: Time,
    /// Its place under the profile's limit.
    pub(super) _place: ProfilePlace,
    /// Its share of the memory of bodies.
    pub(super) _share: BodyShare,
}

impl Work {
    /// Profile that it runs under.
    pub(super) fn profile(&self) -> &Profile {
        &self.caller.profile
    }

    /// When the whole answer must have been given.
    pub(super) fn whole_limit(&self) -> Time {
        self.arrived_at + self.profile().deadline()
    }

    /// When the first token must have been given.
    pub(super) fn first_token_limit(&self) -> Time {
        self.whole_limit().min(self.arrived_at + self.profile().first_token())
    }

    /// When the next token must have been given to a caller waiting since
    /// `waiting_since`.
    pub(super) fn next_token_limit(&self, waiting_since: Time) -> Time {
        self.whole_limit().min(waiting_since + self.profile().between_tokens())
    }
}

/// Point at which a silence until `limit` is doubted: half of what is left.
pub(super) fn doubt_limit(now: Time, limit: Time) -> Time {
    let left: Duration = limit.since(now);
    now + left / 2
}
