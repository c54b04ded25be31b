//! Arguments of `citrongwctl service`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use citrongw_state::id::{ProfileId, Revision, ServiceId};

xflags::xflags! {
    /// Services: who calls, under which profile.
    cmd service {
        /// Lists all services.
        cmd list {}
        /// Lets a service run under a profile.
        cmd assign {
            /// Service.
            required id: ServiceId
            /// Profile.
            required profile: ProfileId
            /// Version that the change is made from; the newest otherwise.
            optional --base revision: Revision
        }
    }
}
