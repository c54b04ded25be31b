//! Arguments of `citrongwctl replica`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use citrongw_state::id::ReplicaId;

xflags::xflags! {
    /// Replicas.
    cmd replica {
        /// Lists all replicas.
        cmd list {}
        /// Shows one replica.
        cmd show {
            /// Replica.
            required id: ReplicaId
        }
        /// Lets a replica finish its work, then disbands it.
        cmd drain {
            /// Replica.
            required id: ReplicaId
        }
    }
}
