//! Endpoints: HTTP serving, the HTTP client pool, and clients for the
//! platform and the engines.

pub mod engine_client;
pub mod event_stream;
pub mod http_client;
pub mod http_server;
pub mod instance_list_client;
pub mod store_client;
pub mod tls;
pub mod weight_store_client;
