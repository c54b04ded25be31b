//! Network endpoints: HTTP server, HTTP client with a connection pool, clients
//! of the platform and the engines, and UDP and TCP between nodes.

pub mod engine_client;
pub mod event_stream;
pub mod http_client;
pub mod http_server;
pub mod instance_list_client;
pub mod memory_budget;
pub mod peer_auth;
pub mod peer_counters;
pub mod peer_tcp;
pub mod peer_udp;
mod small_reads;
pub mod store_client;
pub mod tls;
pub mod weight_store_client;
