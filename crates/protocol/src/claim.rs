//! Encoding of claims in the key-value service, one value per shard.
//!
//! A shard's key is written only by compare-and-swap and never deleted, so that
//! a delayed write that expects an old revision cannot take effect.

use bytes::Bytes;
use citrongw_state::claim::{ClaimKey, ClaimTable};
use derive_more::{Display, Error};

use crate::store::{Key, MAX_VALUE_BYTES};

/// Key prefix of the shards.
pub const CLAIM_PREFIX: &str = "citrongw/claim/";
/// Number of shards among which claims are distributed.
pub const SHARDS: u32 = 64;
/// Size limit for accepting new claims in a shard. The size includes the space
/// reserved for responses that are not stored yet.
pub const SHARD_LIMIT_BYTES: usize = MAX_VALUE_BYTES - 16 * 1024;
/// Version of the encoding, stored in the first byte.
const FORMAT: u8 = 1;

/// Index of a shard of the claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Returns the shard that stores a claim.
    pub fn of(key: ClaimKey) -> Self {
        Self((key.0 % u128::from(SHARDS)) as u32)
    }

    /// Returns the shard's key in the key-value service.
    pub fn key(self) -> Key {
        format!("{CLAIM_PREFIX}{self}").into()
    }
}

/// A shard could not be encoded, or a value is not a shard in a known format.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("could not encode or decode claims: {reason}")]
pub struct ShardError {
    /// Description of the error.
    pub reason: String,
}

/// Encodes a claim table as the value of a shard.
pub fn encode(table: &ClaimTable) -> Result<Bytes, ShardError> {
    let buf = postcard::to_extend(table, vec![FORMAT]).map_err(shard_error)?;
    Ok(Bytes::from(buf))
}

/// Decodes a claim table from the value of a shard.
pub fn decode(value: &[u8]) -> Result<ClaimTable, ShardError> {
    match value.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(shard_error),
        Some((format, _)) => Err(ShardError { reason: format!("unknown format {format}") }),
        None => Err(ShardError { reason: "value is empty".to_owned() }),
    }
}

#[allow(clippy::needless_pass_by_value, reason = "signature required by map_err")]
fn shard_error(error: postcard::Error) -> ShardError {
    ShardError { reason: error.to_string() }
}

#[cfg(test)]
mod tests;
