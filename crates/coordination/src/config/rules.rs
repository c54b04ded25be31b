//! Times on which the acceptance of a change rests.

use std::time::Duration;

/// Age up to which a confirmation or a majority counts.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);
/// Time from acceptance within which a change is in force on every node that
/// takes requests.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Time from the majority to the acceptance.
pub const ACCEPT_WAIT: Duration = Duration::from_secs(2);

/// Rules that a test may break.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// See [`BOUND`].
    pub max_age: Duration,
    /// See [`ACCEPT_WAIT`].
    pub accept_wait: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self { max_age: MAX_CONFIRMATION_AGE, accept_wait: ACCEPT_WAIT }
    }
}
