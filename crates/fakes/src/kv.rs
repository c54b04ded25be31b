//! Stand-in for the key-value service: its state, an in-process client with
//! faults, and a server of the etcd v3 JSON interface.

pub mod core;
pub mod mem;
pub mod server;
