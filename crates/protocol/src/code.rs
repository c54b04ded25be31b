//! Numbered result codes.
//!
//! Every error for a caller or an operator has a code and the outcome of the
//! request. `docs/result-codes.md` lists all codes.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No backend server ran the request, and none will.
    #[display("not_run")]
    NotRun,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
    /// The request ran.
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
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name),*];

            /// Returns the HTTP status of the code.
            pub fn http_status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the outcome that the code implies.
            pub fn outcome(self) -> Outcome {
                match self { $(Self::$name => Outcome::$outcome,)* }
            }
        }
    };
}

result_codes! {
    /// The body or a header is not valid for the API.
    Malformed = 1001, 400, NotRun, "malformed request";
    /// The API key is missing or unknown.
    Unauthorised = 1002, 401, NotRun, "unknown key";
    /// The path or the method does not exist.
    NotFound = 1003, 404, NotRun, "not found";
    /// The body or the headers exceed the size limit.
    TooLarge = 1004, 413, NotRun, "request too large";
    /// The request was not received in time.
    TooSlow = 1005, 408, NotRun, "request arrived too slowly";
    /// No profile or deployment serves the model.
    UnknownModel = 1006, 404, NotRun, "unknown model";
    /// The role of the caller lacks the permission.
    Forbidden = 1007, 403, NotRun, "not allowed for this role";
    /// The organisation exceeds its limit.
    LimitReached = 2001, 429, NotRun, "limit of the organisation reached";
    /// The queue is full.
    Overloaded = 2002, 503, NotRun, "overloaded";
    /// The deadline of the request cannot be met.
    DeadlineUnreachable = 2003, 503, NotRun, "deadline cannot be met";
    /// No replica can receive requests.
    NoReplica = 2004, 503, NotRun, "no replica is serving";
    /// The node is shutting down.
    Stopping = 2005, 503, NotRun, "node is stopping";
    /// The node has no confirmed configuration.
    NotConfirmed = 2006, 503, NotRun, "configuration is not confirmed";
    /// The request is suspected of crashing backend servers.
    Suspected = 2007, 422, NotRun, "request is suspected of crashing servers";
    /// Every attempt failed before a backend server ran the request.
    NotReached = 2008, 503, NotRun, "no backend server could be reached";
    /// A part of the request crashes backend servers.
    Quarantined = 2009, 503, NotRun, "part of the request crashes servers";
    /// The servers take no more requests for now, by limits that they state.
    ServersLimited = 2010, 503, NotRun, "limits of the backend servers are reached";
    /// The servers are full, and the response would be later than callers expect.
    PoolFull = 2011, 503, NotRun, "servers are full, the response would be late";
    /// The deadline passed while the request was running.
    DeadlinePassed = 3001, 504, Unknown, "deadline passed";
    /// The backend server interrupted the response.
    BrokenOff = 3002, 502, Unknown, "backend server broke off";
    /// The backend server responded with an error.
    EngineError = 3003, 502, Unknown, "backend server failed";
    /// The node terminated while the request was running.
    NodeEnded = 3004, 503, Unknown, "node ended before the answer";
    /// An at-most-once call has no idempotency key.
    KeyMissing = 4001, 400, NotRun, "idempotency key is missing";
    /// The idempotency key was used with a different body.
    KeyReused = 4002, 422, NotRun, "idempotency key was used for another request";
    /// The call with this key is still running.
    StillRunning = 4003, 409, Unknown, "call is still running";
    /// The call with this key may have run. It is not run again.
    OutcomeUnknown = 4004, 409, Unknown, "outcome of the call is unknown";
    /// No claim could be committed.
    ClaimUnavailable = 4005, 503, NotRun, "claim could not be made: this attempt did not run, an earlier one of its key may have";
    /// The call with this key ran. Its response was too large to store.
    AnswerNotKept = 4006, 409, Completed, "call is completed, its answer was too large to keep";
    /// The edit is based on an older revision.
    EditConflict = 5001, 409, NotRun, "edit conflicts with a newer version";
    /// The configuration document is invalid.
    ConfigInvalid = 5002, 422, NotRun, "configuration is not valid";
    /// The change is committed, but a majority of the nodes does not hold it
    /// yet.
    NotAccepted = 5003, 202, Unknown, "change is committed, not yet accepted";
    /// The key-value service did not respond.
    StoreUnavailable = 5004, 503, Unknown, "key-value service is not available";
}

impl ResultCode {
    /// Returns the number of the code.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the code with a number.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.iter().copied().find(|it| it.number() == number)
    }
}

#[cfg(test)]
mod tests;
