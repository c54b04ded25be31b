//! Arguments of `citrongwctl server`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use citrongw_state::id::InstanceId;

xflags::xflags! {
    /// Backend servers.
    cmd server {
        /// Stops new work on an instance.
        cmd leave {
            /// Instance.
            required id: InstanceId
        }
        /// Lets an instance serve again.
        cmd return {
            /// Instance.
            required id: InstanceId
        }
    }
}
