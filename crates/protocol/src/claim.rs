//! Claims in the key-value service: one value a shard.
//!
//! A shard's key is written by compare-and-swap alone and never removed, so
//! that a write on an old revision can't take effect later.

use bytes::Bytes;
use citrongw_state::claim::{ClaimKey, ClaimTable};
use derive_more::{Display, Error};

use crate::store::{Key, MAX_VALUE_BYTES};

/// Prefix of the shards.
pub const CLAIM_PREFIX: &str = "citrongw/claim/";
/// Shards that claims are spread over.
pub const SHARDS: u32 = 64;
/// Size up to which a shard takes new claims, counting the answers to come.
pub const SHARD_LIMIT_BYTES: usize = MAX_VALUE_BYTES - 16 * 1024;
/// Version of the encoding, its first byte.
const FORMAT: u8 = 1;

/// One shard of the claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct ShardId(pub u32);

impl ShardId {
    /// Shard of a claim.
    pub fn of(key: ClaimKey) -> Self {
        Self((key.0 % u128::from(SHARDS)) as u32)
    }

    /// Key in the service.
    pub fn key(self) -> Key {
        format!("{CLAIM_PREFIX}{self}").into()
    }
}

/// A value that is not a shard of a known format.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("could not read claims: {reason}")]
pub struct BadShard {
    /// What is wrong.
    pub reason: String,
}

/// Writes a table as a value.
pub fn encode(table: &ClaimTable) -> Result<Bytes, BadShard> {
    let buf = postcard::to_extend(table, vec![FORMAT]).map_err(bad_shard)?;
    Ok(Bytes::from(buf))
}

/// Reads a table from a value.
pub fn decode(value: &[u8]) -> Result<ClaimTable, BadShard> {
    match value.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(bad_shard),
        Some((format, _)) => Err(BadShard { reason: format!("format {format} is not known") }),
        None => Err(BadShard { reason: "value is empty".to_owned() }),
    }
}

#[allow(clippy::needless_pass_by_value, reason = "the shape of map_err")]
fn bad_shard(error: postcard::Error) -> BadShard {
    BadShard { reason: error.to_string() }
}

#[cfg(test)]
mod tests;
