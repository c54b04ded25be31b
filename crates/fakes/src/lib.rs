//! Fakes of the systems around citrongw, for tests, benches and the demo. They are
//! not part of the product.

pub mod engine;
pub mod http;
pub mod kv;
pub mod middlebox;
pub mod partition;
pub mod pass_engine;
pub mod plain_service;
pub mod platform;
