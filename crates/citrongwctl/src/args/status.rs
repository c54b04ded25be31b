//! Arguments of `citrongwctl status`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

xflags::xflags! {
    /// What is not serving, since when, and what is done about it.
    cmd status {}
}
