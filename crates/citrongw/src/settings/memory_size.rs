//! Size of a memory.

use std::str::FromStr;

use derive_more::Display;

const BYTES_PER_MB: usize = 1024 * 1024;
/// Smallest memory: a process without callers needs half of it.
const MIN_MB: usize = 16;

/// Size of the memory of a machine, in megabytes of 1,048,576 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display)]
#[display("{megabytes}MB")]
pub struct MemorySize {
    megabytes: usize,
}

impl MemorySize {
    /// Size in bytes.
    pub fn bytes(self) -> usize {
        self.megabytes.saturating_mul(BYTES_PER_MB)
    }
}

/// Text is not a size, or one that is too small.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, derive_more::Error)]
#[display("not a size from {MIN_MB}MB")]
pub struct InvalidSize;

impl FromStr for MemorySize {
    type Err = InvalidSize;

    fn from_str(text: &str) -> Result<Self, InvalidSize> {
        let digits = text.strip_suffix("MB").ok_or(InvalidSize)?;
        let megabytes = digits.trim_end().parse().map_err(|_| InvalidSize)?;
        if megabytes < MIN_MB { Err(InvalidSize) } else { Ok(Self { megabytes }) }
    }
}

#[cfg(test)]
mod tests;
