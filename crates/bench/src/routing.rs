//! Routing bench: many nodes that decide independently, on the same delayed
//! reports, in front of replicas with continuous batching.
//!
//! Capacity is the throughput of full batches on the replicas that are not
//! stragglers, as only these can keep the target time between tokens.

mod cost;
mod node;
mod outcome;
mod run;

pub use self::{
    cost::{measure_cost, measure_scan_cost},
    node::Policy,
    outcome::Outcome,
    run::{Scenario, run},
};
