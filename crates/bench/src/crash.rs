//! Crash containment bench: a request that crashes every replica that runs it,
//! and a caller that resends it through many nodes at once.
//!
//! Each node decides independently on what it observed and on gossip items that
//! arrive late. Unrelated ("innocent") requests run at the same time, some of
//! them with the same digest, and replicas also die for other reasons.

mod node;
mod run;
mod scenario;

pub use self::{
    node::Policy,
    run::run,
    scenario::{Outcome, Scenario},
};
