//! Replica control: forms serving replicas from the instances of fabric
//! domains.
//!
//! Each domain has one record in the key-value service and one node that owns
//! it. [`domain::DomainControl`] is the state of one domain on one node: a step
//! function that takes events and returns actions. [`plan`] distributes the
//! configured replicas over the domains and gives the same result on every node
//! for the same input. [`driver`] feeds both from the service, the instance
//! list and the engines.

mod call;
pub mod claim;
pub mod context;
pub mod domain;
mod domain_ownership;
pub mod driver;
mod edit;
mod event;
mod leaving;
mod observed_instance;
pub mod operator_change;
mod order;
pub mod plan;
mod release;
mod replica_repair;
pub mod summary;
