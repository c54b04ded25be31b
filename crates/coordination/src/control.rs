//! Replica control: from instances in fabric domains to serving replicas.
//!
//! Each domain has one record in the key-value service, and one node that owns
//! it. [`domain::DomainControl`] is what a node knows and does for one domain:
//! a step function that takes events and gives actions. [`plan`] divides what
//! the configuration wants among the domains, alike on every node. [`driver`]
//! feeds both from the service, the instance list and the engines.

mod call;
pub mod claim;
pub mod context;
pub mod domain;
mod domain_ownership;
pub mod driver;
mod edit;
mod event;
mod leaving;
pub mod operator_change;
mod order;
pub mod plan;
mod release;
mod replica_repair;
mod seen;
pub mod summary;
