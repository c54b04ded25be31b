//! The path of a request under failures, in a node among stand-ins.

mod bad_input;
mod broken_streams;
mod deadlines;
mod policy;
mod rig;
mod stop;
