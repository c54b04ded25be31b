//! Replica control: forms replicas of models on the instances of each fabric
//! domain, keeps spares with staged weights, and repairs replicas that lost
//! members.
//!
//! Each domain has one record in the platform's key-value service, its plan. The
//! node that owns the domain changes the plan by compare-and-swap and sends the
//! orders that follow from it. An order to a member of a replica carries the
//! replica's epoch, so orders of an earlier owner and orders that are carried out
//! late have no effect. [`step`] makes the decisions; [`driver`] supplies their
//! inputs and carries them out.

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
