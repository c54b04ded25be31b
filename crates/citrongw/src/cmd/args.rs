//! Command-line arguments of `citrongw`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use std::{net::SocketAddr, path::PathBuf};

xflags::xflags! {
    /// Serving system for models whose replicas span several instances.
    cmd citrongw {
        /// Runs a node.
        cmd run {
            /// Settings, an INI file.
            required --config path: PathBuf
        }

        /// Checks a settings file and reports every fault.
        cmd check {
            /// Settings, an INI file.
            required --config path: PathBuf
            /// The file is of a gateway instead of a node.
            optional --gateway
        }

        /// Runs a node with fakes of all its dependencies, in one process.
        cmd demo {
            /// Address for callers.
            optional --listen addr: SocketAddr
            /// Address for operators.
            optional --admin addr: SocketAddr
        }
    }
}
