//! Tests of the request path under failures, in a node with fake backends.

mod bad_input;
mod broken_streams;
mod deadlines;
mod policy;
mod rig;
mod stop;
