//! Bench of routing: many nodes that decide by themselves, on the same lagging
//! reports, in front of replicas that batch continuously.
//!
//! Capacity is what the replicas that are not stragglers serve with full
//! batches: only they can keep the time between tokens.

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
