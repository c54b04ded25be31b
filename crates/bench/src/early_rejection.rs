//! Early rejection bench: many gateways with delayed load information in front of one
//! pool of replicas, in virtual time, while callers request more than it serves.
//!
//! A response counts as in time if its first event arrives within the target latency
//! of the caller's first try. The baseline sends every request at once, as a gateway
//! without early rejection does. The upper bound is one gateway that knows all loads
//! without delay.

mod gateway;
mod outcome;
mod request;
mod run;
mod scenario;
mod server;

pub use self::{
    outcome::{ClassOutcome, Outcome},
    run::run,
    scenario::{Burst, Class, Policy, Retries, Scenario},
};
