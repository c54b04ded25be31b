//! Numbered result codes.
//!
//! Every error that a caller or an operator sees carries one, together with
//! what became of the request. The table in `docs/result-codes.md` lists them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No backend server ran it, and none will.
    #[display("not_run")]
    NotRun,
    /// It may have run.
    #[display("unknown")]
    Unknown,
    /// It ran.
    #[display("completed")]
    Completed,
}

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $text:literal;)*) => {
        /// Numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
        pub enum ResultCode {
            $($(#[$doc])* #[display($text)] $name = $number,)*
        }

        impl ResultCode {
            /// Every code, in order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// HTTP status that goes with the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Outcome that the code stands for.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }
        }
    };
}

result_codes! {
    /// Body or header is not what the interface takes.
    Malformed = 1001, 400, NotRun, "malformed request";
    /// No key, or one that nobody has.
    Unauthorised = 1002, 401, NotRun, "unknown key";
    /// Path or method is not served.
    NotFound = 1003, 404, NotRun, "not found";
    /// Body or headers are larger than allowed.
    TooLarge = 1004, 413, NotRun, "request too large";
    /// The request did not arrive in time.
    TooSlow = 1005, 408, NotRun, "request arrived too slowly";
    /// No profile or deployment serves the model.
    UnknownModel = 1006, 404, NotRun, "unknown model";
    /// The role does not allow it.
    Forbidden = 1007, 403, NotRun, "not allowed for this role";
    /// The organisation is above its limit.
    LimitReached = 2001, 429, NotRun, "limit of the organisation reached";
    /// The queue is full.
    Overloaded = 2002, 503, NotRun, "overloaded";
    /// The deadline could not be met.
    DeadlineUnreachable = 2003, 503, NotRun, "deadline cannot be met";
    /// No replica may be routed to.
    NoReplica = 2004, 503, NotRun, "no replica is serving";
    /// The node is stopping.
    Stopping = 2005, 503, NotRun, "node is stopping";
    /// The node has no confirmed configuration.
    NotConfirmed = 2006, 503, NotRun, "configuration is not confirmed";
    /// The request is suspected of crashing servers.
    Suspected = 2007, 422, NotRun, "request is suspected of crashing servers";
    /// Every attempt failed before anything ran.
    NotReached = 2008, 503, NotRun, "no backend server could be reached";
    /// The deadline passed while the request was running.
    DeadlinePassed = 3001, 504, Unknown, "deadline passed";
    /// The backend server broke off.
    BrokenOff = 3002, 502, Unknown, "backend server broke off";
    /// The backend server answered with an error.
    EngineError = 3003, 502, Unknown, "backend server failed";
    /// The node ended while the request was running.
    NodeEnded = 3004, 503, Unknown, "node ended before the answer";
    /// An at-most-once call has no idempotency key.
    KeyMissing = 4001, 400, NotRun, "idempotency key is missing";
    /// The idempotency key was used with another body.
    KeyReused = 4002, 422, NotRun, "idempotency key was used for another request";
    /// The call of this key is still running.
    StillRunning = 4003, 409, Unknown, "call is still running";
    /// The call of this key may have run; it is not run again.
    OutcomeUnknown = 4004, 409, Unknown, "outcome of the call is unknown";
    /// No claim could be committed.
    ClaimUnavailable = 4005, 503, NotRun, "claim could not be made: this attempt did not run, an earlier one of its key may have";
    /// The call of this key ran; its answer was too large to keep.
    AnswerNotKept = 4006, 409, Completed, "call is completed, its answer was too large to keep";
    /// The edit was made from an older version.
    EditConflict = 5001, 409, NotRun, "edit conflicts with a newer version";
    /// The document has faults.
    ConfigInvalid = 5002, 422, NotRun, "configuration is not valid";
    /// The change is committed, and not yet held by a majority.
    NotAccepted = 5003, 202, Unknown, "change is committed, not yet accepted";
    /// The key-value service did not answer.
    StoreUnavailable = 5004, 503, Unknown, "key-value service is not available";
}

impl ResultCode {
    /// Number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Code of a number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|it| it.number() == number)
    }
}

#[cfg(test)]
mod tests;
