//! Overload bench: organisations, one of them very large, request more than the
//! replicas can serve, through nodes that queue, limit and refuse
//! independently.
//!
//! A request is good if its first token and its complete response arrive within
//! their deadlines. The caller disconnects at a missed deadline, and the work
//! already done for the request is wasted.

mod cost;
mod limit;
mod node;
mod outcome;
mod run;
mod scenario;

pub use self::{
    cost::measure_queue_cost,
    limit::{LimitError, LimitScenario, measure_limit},
    node::Policy,
    outcome::{LARGE_ORGANISATION, Outcome},
    run::run,
    scenario::Scenario,
};
