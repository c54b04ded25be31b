//! Arguments that every subcommand takes.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use std::net::SocketAddr;

xflags::xflags! {
    /// Options of every subcommand.
    cmd global {
        /// Operators' address of a node; several are tried in turn.
        repeated --node addr: SocketAddr
        /// Bearer token; the variable CITRONGW_TOKEN holds it otherwise.
        optional --token token: String
        /// Print JSON in place of tables.
        optional --json
        /// Don't ask before dangerous acts.
        optional --yes
    }
}
