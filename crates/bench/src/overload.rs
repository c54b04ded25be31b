//! Bench of overload: organisations, one of them very large, that ask for more
//! than the replicas can serve, through nodes that queue, limit and refuse by
//! themselves.
//!
//! A request is good if its first token and its whole answer come within its
//! deadlines. A caller goes away at its deadline; what a replica did for it is
//! lost.

mod cost;
mod limit;
mod node;
mod outcome;
mod run;

pub use self::{
    cost::measure_queue_cost,
    limit::{LimitError, LimitScenario, measure_limit},
    node::Policy,
    outcome::{LARGE, Outcome},
    run::{Scenario, run},
};
