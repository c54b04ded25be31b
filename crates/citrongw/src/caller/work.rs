//! A request accepted for execution.

use std::time::Duration;

use citrongw_state::{config::Profile, id::RequestId, time::Time};

use super::{
    body::BodyShare,
    directory::{Caller, ProfilePermit},
};

/// Request with its permits, which are released on drop.
#[derive(Debug)]
pub(super) struct Work {
    /// Id of the request.
    pub(super) request: RequestId,
    /// Caller that sent the request.
    pub(super) caller: Caller,
    /// Prompt text.
    pub(super) prompt: String,
    /// Maximum number of tokens to generate.
    pub(super) max_tokens: u32,
    /// Arrival time of the request.
    pub(super) arrived_at: Time,
    /// Permit under the profile's limit.
    pub(super) _profile_permit: ProfilePermit,
    /// Reservation in the memory budget of bodies.
    pub(super) _share: BodyShare,
}

impl Work {
    /// Profile of the caller.
    pub(super) fn profile(&self) -> &Profile {
        &self.caller.profile
    }

    /// Deadline of the whole response.
    pub(super) fn response_deadline(&self) -> Time {
        self.arrived_at + self.profile().deadline()
    }

    /// Deadline of the first token.
    pub(super) fn first_token_deadline(&self) -> Time {
        self.response_deadline().min(self.arrived_at + self.profile().first_token())
    }

    /// Deadline of the next token for a caller that has waited since
    /// `waiting_since`.
    pub(super) fn next_token_deadline(&self, waiting_since: Time) -> Time {
        self.response_deadline().min(waiting_since + self.profile().between_tokens())
    }
}

/// Time at which an unresponsive attempt is suspected: half of the time left until
/// `deadline`.
pub(super) fn suspicion_deadline(now: Time, deadline: Time) -> Time {
    let left: Duration = deadline.since(now);
    now + left / 2
}
