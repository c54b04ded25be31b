//! Claims of at-most-once calls in the key-value service.
//!
//! [`shard`] is the step function that decides and batches the claims and
//! settlements of one shard; [`driver`] feeds it, in turns that share the rate
//! of the service; [`permit`] is the life cycle of an attempt, from its claim
//! to its settlement.
//!
//! Any node may write any shard at any time: the compare-and-swap decides.

pub mod counters;
pub mod driver;
pub mod permit;
pub mod shard;
mod write_slots;
