//! Timing rules for the acceptance of a configuration change.

use std::time::Duration;

/// Maximum age of a confirmation or of a majority.
pub const MAX_CONFIRMATION_AGE: Duration = Duration::from_secs(5);
/// Time from acceptance within which a change is in force on every node that
/// takes requests.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);
/// Time from the majority to the acceptance.
pub const ACCEPT_WAIT: Duration = Duration::from_secs(2);

/// Timing rules. Tests may set values that break the guarantees.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// See [`MAX_CONFIRMATION_AGE`].
    pub max_age: Duration,
    /// See [`ACCEPT_WAIT`].
    pub accept_wait: Duration,
}

impl Default for Rules {
    fn default() -> Self {
        Self { max_age: MAX_CONFIRMATION_AGE, accept_wait: ACCEPT_WAIT }
    }
}
