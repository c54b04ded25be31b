//! Arguments of `citrongwctl dump`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

xflags::xflags! {
    /// State of a node as JSON.
    cmd dump {}
}
