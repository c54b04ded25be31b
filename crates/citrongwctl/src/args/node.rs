//! Arguments of `citrongwctl node`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use citrongw_state::id::NodeId;

xflags::xflags! {
    /// Nodes of citrongw.
    cmd node {
        /// Lists the live nodes.
        cmd list {}
        /// Starts the planned stop of a node.
        cmd stop {
            /// Node.
            required id: NodeId
        }
    }
}
