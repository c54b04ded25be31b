//! Replica control: forms replicas of models on the instances of each fabric
//! domain, keeps spares with staged weights beside them, and repairs.
//!
//! Each domain has one record in the platform's key-value service. The node
//! that owns the domain changes it by compare-and-swap and gives the orders
//! that follow from it; an order carries the epoch of the record, so that one
//! of an earlier owner, or one that is carried out late, does no harm.
//! [`step`] decides, [`driver`] feeds it.

pub(crate) mod campaign;
mod driver;
pub mod layout;
mod lease;
pub mod loads;
mod ownership;
pub mod plan;
mod reports;
pub mod step;
mod suspension;
