//! Arguments of `citrongwctl log`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

xflags::xflags! {
    /// Changes the level of a node's logs.
    cmd log {
        /// Level, such as info or citrongw=debug.
        required level: String
    }
}
