//! Arguments of `citrongwctl explain`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use citrongw_state::id::{ReplicaId, RequestId};

xflags::xflags! {
    /// What the system decided, and why.
    cmd explain {
        /// About a request.
        cmd request {
            /// Request.
            required id: RequestId
        }
        /// About a replica.
        cmd replica {
            /// Replica.
            required id: ReplicaId
        }
        /// The last refusals.
        cmd refusals {}
    }
}
