//! Hash functions for placement.
//!
//! All nodes must compute the same values, so nothing here is seeded per
//! process.

/// Spreads the bits of `value` over the whole word.
pub fn mix(value: u64) -> u64 {
    let mut word = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

/// Hash of two words; depends on their order.
pub fn mix_pair(first: u64, second: u64) -> u64 {
    mix(mix(first) ^ second)
}

/// Hash of a 128-bit number.
pub fn mix_wide(value: u128) -> u64 {
    let low = u64::try_from(value & u128::from(u64::MAX)).unwrap_or_default();
    let high = u64::try_from(value >> 64).unwrap_or_default();
    mix_pair(high, low)
}
