//! Fake key-value service: its state, an in-process client with fault injection,
//! and a server of the etcd v3 JSON API.

pub mod core;
pub mod mem;
pub mod server;
