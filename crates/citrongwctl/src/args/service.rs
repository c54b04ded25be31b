//! Arguments of `citrongwctl service`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use citrongw_state::id::{ProfileId, Revision, ServiceId};

xflags::xflags! {
    /// Services: the callers and their profiles.
    cmd service {
        /// Lists all services.
        cmd list {}
        /// Assigns a profile to a service.
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
