//! Arguments of `citrongwctl digest`.
#![allow(missing_docs, unreachable_pub, reason = "the macro writes the items")]

xflags::xflags! {
    /// Digest of a key or token read from standard input.
    cmd digest {}
}
