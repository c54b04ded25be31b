//! Arguments of `citrongwctl profile`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

use std::path::PathBuf;

use citrongw_state::id::{ProfileId, Revision};

use crate::edit::Pair;

xflags::xflags! {
    /// Profiles: how classes of traffic are treated.
    cmd profile {
        /// Lists all profiles.
        cmd list {}
        /// Shows one profile.
        cmd show {
            /// Profile.
            required id: ProfileId
        }
        /// Creates a profile from key=value pairs or a file.
        cmd create {
            /// Profile.
            required id: ProfileId
            /// Fields, such as deadline_ms=30000.
            repeated pairs: Pair
            /// JSON file with the fields.
            optional --file path: PathBuf
            /// Version that the change is made from; the newest otherwise.
            optional --base revision: Revision
        }
        /// Edits a profile.
        cmd edit {
            /// Profile.
            required id: ProfileId
            /// Fields, such as deadline_ms=30000; an empty value removes one.
            repeated pairs: Pair
            /// JSON file with the fields.
            optional --file path: PathBuf
            /// Version that the change is made from; the newest otherwise.
            optional --base revision: Revision
        }
        /// Retires a profile that no service runs under.
        cmd retire {
            /// Profile.
            required id: ProfileId
            /// Version that the change is made from; the newest otherwise.
            optional --base revision: Revision
        }
    }
}
