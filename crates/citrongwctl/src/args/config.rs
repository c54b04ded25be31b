//! Arguments of `citrongwctl config`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use std::path::PathBuf;

use citrongw_state::id::Revision;

xflags::xflags! {
    /// The configuration as a whole.
    cmd config {
        /// Lists the last changes.
        cmd history {}
        /// Shows what changed between two versions.
        cmd diff {
            /// Older version.
            required from: Revision
            /// Newer version; the newest otherwise.
            optional to: Revision
        }
        /// Shows the configuration in force, or an earlier one.
        cmd show {
            /// Version.
            optional revision: Revision
        }
        /// Writes the whole configuration from a file.
        cmd put {
            /// JSON file.
            required path: PathBuf
            /// Version that the change is made from; the newest otherwise.
            optional --base revision: Revision
            /// Latest version that the service lost, after it was restored to an
            /// older state.
            optional --replaces-lost revision: Revision
        }
    }
}
