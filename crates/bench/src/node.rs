//! Resource cost of a node process.

pub mod child;
mod load;
pub mod request;
