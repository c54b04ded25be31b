//! Bench of containment: a request that crashes every replica that runs it, and
//! a caller that sends it again and again through many nodes at once.
//!
//! Each node decides by itself on what it saw and on news that comes late.
//! Beside the crashing request run innocent ones, some of them alike, and
//! replicas die for other reasons too.

mod node;
mod run;

pub use self::{
    node::Policy,
    run::{Outcome, Scenario, run},
};
